//! The scheduler of one pool: admission, waiting, placement, eviction and refusal.

use super::{
    CostModel, DrainMeter, FairQueue, FifoQueue, FloorOrder, LearnedLimit, LoadReport, Moment,
    OrganisationIndex, OthersWork, PlacementPolicy, PlacementQuery, RequestId, RequestSizes,
    RoomKind, ShedAudit, ShedFloor, TierRank, TierShare, UpstreamIndex, UpstreamSet,
    UpstreamSource, UpstreamState, UpstreamStatus, UpstreamWord, UrgencyQueue, WaitingQueue,
    WaitingRequest, placement_policy,
};
use crate::answer::AnswerKind;
use crate::table::{
    LimitChoice, PlacementChoice, QueueChoice, ServiceKind, ServiceRow, UpstreamName,
};
use rand::RngCore;
use std::collections::HashMap;
use std::time::Duration;

/// Share of dispatches that may be repeated because the first provably sent nothing.
const REDISPATCH_SHARE: f64 = 0.1;
/// Most repeats saved up.
const REDISPATCH_BURST: f64 = 20.0;
/// Refuse a deadline as too short only if it is less than this share of the estimated run time,
/// since estimates are means and a short answer may still make it.
const TOO_SHORT_SHARE: f64 = 0.5;
/// A request is let in if its wait takes at most this part of the time it can spare: the rest is for the
/// error of the estimate.
const PATIENCE: f64 = 0.6;
/// The part of each engine's limit that only the highest tier may use. What goes wrong without it: under load
/// only the engine that has just ended something has room, so a request of the highest tier, which comes
/// seldom and is long, goes there and computes its prompt anew. One would notice by wasted prefill that is
/// low at low load and as high as without affinity at high load.
const HEADROOM: f64 = 0.15;
/// The part of an objective that is left for what an estimate misses: the way to the engine, the step under way.
const OBJECTIVE_MARGIN: f64 = 0.1;
/// A pool is taken to work off at least this part of what its limits should carry, before it has shown more.
const LEAST_DRAIN: f64 = 0.5;
/// The part of a pool's speed that late requests can reckon with: those that come meanwhile go before them.
const LATE_DRAIN: f64 = 0.5;
/// Time between judgements of stragglers.
const JUDGE_PAUSE: Duration = Duration::from_millis(500);
/// A late request that may not be shed yet is looked at again after this long.
const LATE_PAUSE: Duration = Duration::from_millis(50);
/// A first token later than this many times its expected prefill, and than half its objective, is a
/// sign of waiting inside the engine.
const FIRST_TOKEN_RATIO: f64 = 3.0;
/// First guess of the mean cost of a model request, in tokens.
const FIRST_MEAN_COST: f64 = 512.0;
/// Weight of a new cost in the mean.
const COST_WEIGHT: f64 = 0.05;

/// What the table says of one pool, in the scheduler's terms.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolPlan {
    /// Tiers, highest first.
    pub tiers: Vec<TierShare>,
    /// Order of waiting requests.
    pub queue: QueueChoice,
    /// Choice of upstream.
    pub placement: PlacementChoice,
    /// Bound on the work at one upstream.
    pub limit: LimitChoice,
    /// Requests per upstream to begin with.
    pub first_guess: u32,
    /// Most requests waiting.
    pub waiting_limit: usize,
    /// True for model engines.
    pub counts_tokens: bool,
    /// Objective between tokens.
    pub token_gap: Duration,
    /// Objective to the first token.
    pub first_token: Duration,
    /// True if a request whose deadline cannot be met is refused while it waits; false in experiments only.
    pub refuses_late: bool,
    /// True if placement avoids stragglers; false in experiments only.
    pub avoids_stragglers: bool,
    /// True if room is kept for the highest tier; false in experiments only.
    pub keeps_headroom: bool,
    /// True if this daemon sheds by itself, without the fleet's floor: what it refuses is what it cannot serve
    /// in time, whatever others still admit.
    pub sheds_alone: bool,
}

impl PoolPlan {
    /// The plan for a service's row and the table's tiers.
    pub fn new(row: &ServiceRow, tiers: &[TierShare]) -> Self {
        let mut tiers = tiers.to_vec();
        tiers.sort_by_key(|share| share.rank);
        PoolPlan {
            tiers,
            queue: row.queue,
            placement: row.placement,
            limit: row.limit,
            first_guess: row.first_guess,
            waiting_limit: row.waiting_limit as usize,
            counts_tokens: row.kind == ServiceKind::Model,
            token_gap: row.token_gap_ms,
            first_token: row.first_token_ms,
            refuses_late: true,
            avoids_stragglers: true,
            keeps_headroom: true,
            sheds_alone: false,
        }
    }

    fn queue(&self) -> Box<dyn WaitingQueue> {
        match self.queue {
            QueueChoice::Weighted => Box::new(FairQueue::new(&self.tiers)),
            QueueChoice::Fifo => Box::new(FifoQueue::default()),
            QueueChoice::Urgency => Box::new(UrgencyQueue::new(&self.tiers)),
        }
    }

    fn ranks(&self) -> Vec<TierRank> {
        self.tiers.iter().map(|share| share.rank).collect()
    }

    /// Room at each upstream for the highest tier alone, where a choice of upstream is worth it.
    fn headroom(&self) -> f64 {
        let has_choice = self.placement == PlacementChoice::Affinity;
        let has_tiers = self.queue == QueueChoice::Weighted && self.tiers.len() > 1;
        if has_choice && has_tiers && self.keeps_headroom { HEADROOM } else { 0.0 }
    }

    fn mean_cost(&self) -> f64 {
        if self.counts_tokens { FIRST_MEAN_COST } else { 1.0 }
    }

    /// The bound of an upstream that works on `places` requests at once, where that is known.
    fn limit_of(&self, places: Option<u32>) -> LearnedLimit {
        LearnedLimit::new(
            places.unwrap_or(self.first_guess),
            self.mean_cost(),
            self.limit == LimitChoice::Learned,
        )
    }
}

/// A request at the pool's door.
#[derive(Clone, Debug, PartialEq)]
pub struct ArrivedRequest {
    /// Its id.
    pub id: RequestId,
    /// Whose it is.
    pub organisation: OrganisationIndex,
    /// The organisation's weight.
    pub weight: u32,
    /// Its tier.
    pub tier: TierRank,
    /// Bytes of prompt.
    pub prompt_bytes: usize,
    /// Most output tokens, if it says.
    pub output_limit: Option<u32>,
    /// When the answer must be complete.
    pub deadline: Moment,
    /// Its rank within the tier, 0 the highest.
    pub rank: u8,
    /// When its first event or answer is due to be worth most.
    pub objective: Option<Moment>,
    /// When its caller leaves if no event has come.
    pub patience: Option<Moment>,
    /// Its size, where the caller says; else it is estimated.
    pub sizes: Option<RequestSizes>,
    /// Hashes of the prompt's leading blocks.
    pub prefix: Box<[u64]>,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// A whole answer; counts are zero for plain services.
    Completed {
        /// Prompt tokens as the engine counted them.
        prompt_tokens: Option<u32>,
        /// Output tokens.
        output_tokens: u32,
    },
    /// No byte was sent.
    NotSent,
    /// Sent, and no whole answer.
    Failed,
    /// The caller left.
    Cancelled,
}

/// What the scheduler is told.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolEvent {
    /// A request came.
    Arrived(ArrivedRequest),
    /// A waiting request's caller left.
    CallerLeft(RequestId),
    /// The first token of a dispatched request came.
    FirstToken {
        /// The request.
        id: RequestId,
        /// Time since it was sent.
        after: Duration,
    },
    /// Mean time between a request's tokens over the last stretch.
    TokenGap {
        /// The request.
        id: RequestId,
        /// The mean gap.
        gap: Duration,
    },
    /// A dispatch ended.
    Ended {
        /// The request.
        id: RequestId,
        /// How.
        outcome: DispatchOutcome,
    },
    /// An upstream reported its load.
    Reported {
        /// The upstream.
        upstream: UpstreamIndex,
        /// The report.
        report: LoadReport,
    },
    /// Something was learned of an upstream's life.
    Word {
        /// The upstream.
        upstream: UpstreamIndex,
        /// What.
        word: UpstreamWord,
    },
    /// An upstream dropped a prefix block from its cache.
    CacheEvicted {
        /// The upstream.
        upstream: UpstreamIndex,
        /// The block's hash.
        block: u64,
    },
    /// The merged list of upstreams changed.
    Sources(Vec<UpstreamSource>),
    /// The table changed.
    Plan(PoolPlan),
    /// This daemon's share of every upstream's limit changed.
    Share {
        /// 0.0 to 1.0.
        share: f64,
    },
    /// This daemon may not act on its table any more: what waits is refused.
    LeaseLapsed,
    /// The fleet's word on the shed floor.
    FleetFloor(FloorOrder),
    /// What the other daemons have at each upstream, as last heard.
    Others(Vec<(UpstreamName, OthersWork)>),
    /// Time passed.
    Tick,
}

/// What the scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolAction {
    /// Send a request to an upstream.
    Dispatch {
        /// The request.
        id: RequestId,
        /// Where.
        upstream: UpstreamIndex,
    },
    /// Refuse a request.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why.
        kind: AnswerKind,
    },
}

#[derive(Debug)]
struct RunningRequest {
    request: WaitingRequest,
    upstream: UpstreamIndex,
    /// True if the upstream's bound, not the demand, held work back when this was sent.
    was_bound: bool,
    dispatched: Moment,
    /// Prompt tokens that the upstream has not yet read, as far as is known.
    unread: u32,
}

/// Numbers of a pool, for status and metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolStatus {
    /// Requests waiting.
    pub waiting: usize,
    /// Requests at upstreams.
    pub running: usize,
    /// Live upstreams.
    pub live: usize,
    /// The lowest tier admitted, if the floor is raised.
    pub floor: Option<TierRank>,
}

/// The scheduler of one pool. Pure: its only inputs are events, time and a random generator.
pub struct PoolScheduler {
    plan: PoolPlan,
    queue: Box<dyn WaitingQueue>,
    placement: Box<dyn PlacementPolicy>,
    upstreams: UpstreamSet,
    model: CostModel,
    floor: ShedFloor,
    audit: ShedAudit,
    running: HashMap<RequestId, RunningRequest>,
    mean_cost: f64,
    mean_run: Option<f64>,
    meter: DrainMeter,
    redispatches: f64,
    judged_at: Moment,
}

impl PoolScheduler {
    /// A scheduler with no upstreams and nothing waiting.
    pub fn new(plan: PoolPlan) -> Self {
        let mut floor = ShedFloor::default();
        floor.set_ranks(plan.ranks());
        let mut upstreams = UpstreamSet::default();
        upstreams.set_headroom(plan.headroom());
        PoolScheduler {
            queue: plan.queue(),
            placement: placement_policy(plan.placement),
            upstreams,
            model: CostModel::new(plan.counts_tokens),
            floor,
            audit: ShedAudit::default(),
            running: HashMap::new(),
            mean_cost: plan.mean_cost(),
            mean_run: None,
            meter: DrainMeter::default(),
            redispatches: REDISPATCH_BURST,
            judged_at: Moment(0),
            plan,
        }
    }

    /// Takes one event and appends what must be done to `actions`.
    pub fn handle(
        &mut self,
        event: PoolEvent,
        now: Moment,
        rng: &mut dyn RngCore,
        actions: &mut Vec<PoolAction>,
    ) {
        match event {
            PoolEvent::Arrived(request) => self.arrived(request, now, actions),
            PoolEvent::CallerLeft(id) => {
                self.queue.remove(id);
            }
            PoolEvent::FirstToken { id, after } => self.first_token(id, after, now),
            PoolEvent::TokenGap { id, gap } => self.token_gap(id, gap, now),
            PoolEvent::Ended { id, outcome } => self.ended(id, outcome, now, actions),
            PoolEvent::Reported { upstream, report } => {
                self.upstreams.reported(upstream, report, now)
            }
            PoolEvent::Word { upstream, word } => self.upstreams.tell(upstream, word),
            PoolEvent::CacheEvicted { upstream, block } => self.placement.evicted(block, upstream),
            PoolEvent::Sources(sources) => {
                let plan = &self.plan;
                self.upstreams.set_sources(&sources, |places| plan.limit_of(places))
            }
            PoolEvent::Plan(plan) => self.replace_plan(plan),
            PoolEvent::Share { share } => self.upstreams.set_share(share),
            PoolEvent::LeaseLapsed => self.refuse_waiting(AnswerKind::TableStale, actions),
            PoolEvent::FleetFloor(order) => {
                self.floor.take(order);
                self.evict_below_floor(now, actions);
            }
            PoolEvent::Others(rows) => self.upstreams.set_others(&rows),
            PoolEvent::Tick => self.tick(now, actions),
        }
        self.pump(now, rng, actions);
    }

    fn arrived(&mut self, request: ArrivedRequest, now: Moment, actions: &mut Vec<PoolAction>) {
        let id = request.id;
        let mut refuse = |kind| actions.push(PoolAction::Refuse { id, kind });
        if self.upstreams.live_count() == 0 {
            return refuse(AnswerKind::UpstreamAbsent);
        }
        let request = self.estimated(request, now);
        let slack = request.deadline.since(now);
        if self.plan.refuses_late
            && !self.plan.sheds_alone
            && request.run_time.mul_f64(TOO_SHORT_SHARE) > slack
        {
            return refuse(AnswerKind::DeadlineTooShort);
        }
        if self.plan.queue == QueueChoice::Fifo {
            match self.queue.len() >= self.plan.waiting_limit {
                true => self.refuse_shed(&request, AnswerKind::Overloaded, now, actions),
                false => self.enqueue(request, now),
            }
            return;
        }
        if !self.floor.admits(request.tier) {
            return self.refuse_shed(&request, AnswerKind::Overloaded, now, actions);
        }
        if self.queue.len() >= self.plan.waiting_limit
            && !self.make_room(request.tier, now, actions)
        {
            return self.shed(request, AnswerKind::Overloaded, now, actions);
        }
        if self.plan.sheds_alone {
            match self.plan.refuses_late && self.has_no_chance(&request, now) {
                true => self.refuse_shed(&request, AnswerKind::DeadlineWaiting, now, actions),
                false => self.enqueue(request, now),
            }
            return;
        }
        if self.would_be_late(&request, slack) {
            return self.shed(request, AnswerKind::DeadlineWaiting, now, actions);
        }
        self.enqueue(request, now);
    }

    fn estimated(&self, request: ArrivedRequest, now: Moment) -> WaitingRequest {
        let estimate = match request.sizes {
            Some(sizes) => self.model.of_sizes(sizes),
            None => self.model.estimate(
                request.organisation,
                request.tier,
                request.prompt_bytes,
                request.output_limit,
            ),
        };
        let mut waiting = WaitingRequest {
            id: request.id,
            organisation: request.organisation,
            weight: request.weight,
            tier: request.tier,
            rank: request.rank,
            start_by: request.deadline,
            cost: estimate.cost,
            prompt_tokens: estimate.prompt_tokens,
            output_tokens: estimate.output_tokens,
            deadline: request.deadline,
            run_time: estimate.run_time,
            arrived: now,
            prefix: request.prefix,
            prompt_bytes: request.prompt_bytes,
            late_at: request.deadline,
        };
        // An estimate of the run time longer than the whole slack must not make the request late at
        // once: it was let in above because estimates are means.
        waiting.start_by = match request.objective {
            Some(objective) => self.start_by(&waiting, objective, now),
            None => waiting.latest_start(),
        };
        if self.plan.queue != QueueChoice::Fifo && self.plan.refuses_late {
            waiting.late_at = waiting
                .latest_start()
                .max(now + request.deadline.since(now).mul_f64(TOO_SHORT_SHARE));
        }
        if let Some(patience) = request.patience {
            // Its caller would leave before the first event of a later start.
            waiting.late_at = waiting.late_at.min(self.start_by(&waiting, patience, now));
        }
        waiting
    }

    /// The last moment to send a request so that its first event comes within its objective.
    fn start_by(&self, request: &WaitingRequest, objective: Moment, now: Moment) -> Moment {
        let margin = objective.since(now).mul_f64(OBJECTIVE_MARGIN);
        let first = match self.plan.counts_tokens {
            true => {
                let micros = f64::from(request.prompt_tokens) * self.model.speed().prefill_micros;
                Duration::from_micros(micros as u64)
            }
            false => request.run_time,
        };
        Moment(objective.0.saturating_sub((margin + first).as_micros() as u64))
    }

    /// True if a request should be refused at once, because by what waits before it and how fast the pool works
    /// that off, it can meet neither its objective nor, as a late one, its deadline.
    fn has_no_chance(&mut self, request: &WaitingRequest, now: Moment) -> bool {
        if self.queue.is_empty() {
            return false;
        }
        let rate = self.meter.total_rate().max(self.drain_rate() * LEAST_DRAIN);
        let wait = |cost: u64, rate: f64| {
            Duration::try_from_secs_f64(cost as f64 / rate).unwrap_or(Duration::MAX)
        };
        let before = self.queue.cost_before(request, false, now);
        if now + wait(before, rate) <= request.start_by {
            return false;
        }
        let before = self.queue.cost_before(request, true, now);
        now + wait(before, rate * LATE_DRAIN) > request.late_at
    }

    /// Lets a request wait.
    fn enqueue(&mut self, request: WaitingRequest, now: Moment) {
        self.audit.admitted(request.tier, now);
        self.queue.push(request);
    }

    /// Refuses a request for want of capacity.
    fn refuse_shed(
        &mut self,
        request: &WaitingRequest,
        kind: AnswerKind,
        now: Moment,
        actions: &mut Vec<PoolAction>,
    ) {
        let lower = self.plan.tiers.iter().filter(|share| share.rank > request.tier);
        let lower_waiting = lower.map(|share| self.queue.waiting_count(share.rank)).sum();
        self.audit.shed(request.tier, lower_waiting, now);
        actions.push(PoolAction::Refuse { id: request.id, kind });
    }

    /// Makes room for a request of `tier` by evicting one of the lowest tier that waits, if that is lower
    /// and may be shed. False if nothing lower waits; the queue may overrun its limit by as much again
    /// while the fleet has not yet confirmed that the lower tier may go.
    fn make_room(&mut self, tier: TierRank, now: Moment, actions: &mut Vec<PoolAction>) -> bool {
        let waits = |share: &&TierShare| self.queue.waiting_count(share.rank) > 0;
        let Some(lowest) = self.plan.tiers.iter().rev().find(waits).map(|share| share.rank) else {
            return false;
        };
        if lowest <= tier {
            return false;
        }
        if self.plan.sheds_alone || self.floor.raise(lowest, now) {
            self.evict_one(tier, now, actions);
            return true;
        }
        self.queue.len() < 2 * self.plan.waiting_limit
    }

    fn evict_one(&mut self, tier: TierRank, now: Moment, actions: &mut Vec<PoolAction>) -> bool {
        let evicted = self.queue.evict_below(tier);
        evicted
            .iter()
            .for_each(|request| self.refuse_shed(request, AnswerKind::Evicted, now, actions));
        evicted.is_some()
    }

    /// True if the request would miss its deadline even if all lower tiers' waiting work made room.
    fn would_be_late(&self, request: &WaitingRequest, slack: Duration) -> bool {
        if self.queue.is_empty() || !self.plan.refuses_late {
            return false;
        }
        let wait = self.least_wait(request);
        wait > slack
            .saturating_sub(request.run_time)
            .max(slack.mul_f64(1.0 - TOO_SHORT_SHARE))
            .mul_f64(PATIENCE)
    }

    /// Estimated wait of a request that arrives now, with no lower tier in its way: as its tier's queue was seen
    /// to move, or, before any backlog, at what the limits should carry.
    fn least_wait(&self, request: &WaitingRequest) -> Duration {
        let (tier, organisation) = (request.tier, request.organisation);
        let span = self.queue.virtual_span(tier, organisation, request.weight);
        let measured = self.meter.wait(tier, span);
        let reckoned = || self.queue.waiting_tokens(tier) as f64 / self.drain_rate();
        Duration::try_from_secs_f64(measured.unwrap_or_else(reckoned)).unwrap_or(Duration::MAX)
    }

    /// Tokens a second that the pool should work off, by Little's law: tokens in flight over their mean time.
    fn drain_rate(&self) -> f64 {
        let speed = self.model.speed();
        let output = if self.plan.counts_tokens { self.model.mean_output() } else { 1.0 };
        let estimated = output * speed.gap_micros / 1e6;
        let run = self.mean_run.unwrap_or(estimated).max(1e-4);
        (self.upstreams.live_limit(self.mean_cost) / run).max(1.0)
    }

    /// Sheds `request`, but only once nothing lower is admitted anywhere; until then it waits.
    fn shed(
        &mut self,
        mut request: WaitingRequest,
        kind: AnswerKind,
        now: Moment,
        actions: &mut Vec<PoolAction>,
    ) {
        if self.plan.sheds_alone {
            return self.refuse_shed(&request, kind, now, actions);
        }
        let confirmed = self.floor.raise(request.tier, now);
        self.evict_below_floor(now, actions);
        if confirmed || now >= request.deadline {
            return self.refuse_shed(&request, kind, now, actions);
        }
        request.late_at = request.deadline.min(now + LATE_PAUSE);
        self.queue.push_back_first(request);
    }

    fn evict_below_floor(&mut self, now: Moment, actions: &mut Vec<PoolAction>) {
        let Some(lowest) = self.floor.lowest_admitted() else { return };
        while self.evict_one(lowest, now, actions) {}
    }

    fn first_token(&mut self, id: RequestId, after: Duration, now: Moment) {
        let Some(running) = self.running.get_mut(&id) else { return };
        let unread = std::mem::take(&mut running.unread);
        let prompt_tokens = running.request.prompt_tokens;
        let upstream = running.upstream;
        self.upstreams.update(upstream, |status| status.read(unread));
        let expected = f64::from(prompt_tokens) * self.model.speed().prefill_micros;
        self.model.learn_prefill(prompt_tokens, after);
        let micros = after.as_micros() as f64;
        let is_late = after > self.plan.first_token / 2 && micros > FIRST_TOKEN_RATIO * expected;
        if is_late {
            // An engine that reports its queue says better than a late first token whether it is crowded:
            // a long prompt in the same step is late by itself.
            self.upstreams.update(upstream, |status| {
                if !status.reports_no_queue() {
                    status.limit.slowed(now);
                }
            });
        }
    }

    fn token_gap(&mut self, id: RequestId, gap: Duration, now: Moment) {
        let Some(running) = self.running.get(&id) else { return };
        self.model.learn_gap(gap);
        let is_late = gap > self.plan.token_gap;
        self.upstreams.update(running.upstream, |status| {
            status.learn_gap(gap.as_micros() as f64);
            if is_late {
                status.limit.slowed(now);
            }
        });
    }

    fn ended(
        &mut self,
        id: RequestId,
        outcome: DispatchOutcome,
        now: Moment,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(running) = self.running.remove(&id) else { return };
        let RunningRequest { ref request, upstream, unread, .. } = running;
        self.upstreams.ended(upstream, request.cost, now);
        self.upstreams.update(upstream, |status| status.read(unread));
        self.upstreams.judge_end(upstream, outcome, now);
        match outcome {
            DispatchOutcome::Completed { prompt_tokens, output_tokens } => {
                self.completed(&running, prompt_tokens, output_tokens, now);
            }
            DispatchOutcome::NotSent => self.redispatch(running.request, upstream, now, actions),
            DispatchOutcome::Failed | DispatchOutcome::Cancelled => {}
        }
    }

    fn completed(
        &mut self,
        running: &RunningRequest,
        prompt_tokens: Option<u32>,
        output_tokens: u32,
        now: Moment,
    ) {
        let RunningRequest { request, upstream, .. } = running;
        let time = now.since(running.dispatched);
        self.upstreams.tell(*upstream, UpstreamWord::Answered);
        if self.plan.counts_tokens {
            let (organisation, tier) = (request.organisation, request.tier);
            self.model.learn_counts(
                organisation,
                tier,
                request.prompt_bytes,
                prompt_tokens,
                output_tokens,
            );
        } else {
            self.model.learn_gap(time);
            let is_late = time > self.plan.first_token;
            self.upstreams.update(*upstream, |status| {
                status.learn_gap(time.as_micros() as f64);
                if is_late {
                    status.limit.slowed(now);
                }
            });
        }
        self.learn_run(request.cost, time);
        if running.was_bound {
            self.upstreams.update(*upstream, |status| status.limit.succeeded(request.cost));
        }
    }

    /// Mean run time weighted by cost, as Little's law on tokens needs it.
    fn learn_run(&mut self, cost: u32, time: Duration) {
        let weight = COST_WEIGHT * (f64::from(cost) / self.mean_cost).min(4.0);
        self.mean_cost += (f64::from(cost) - self.mean_cost) * COST_WEIGHT;
        let sample = time.as_secs_f64();
        self.mean_run = Some(self.mean_run.map_or(sample, |mean| mean + (sample - mean) * weight));
    }

    /// The first dispatch provably sent nothing, so a second one keeps "at most once". The budget
    /// keeps a pool that refuses all connections from being tried by every request in turn.
    fn redispatch(
        &mut self,
        request: WaitingRequest,
        upstream: UpstreamIndex,
        now: Moment,
        actions: &mut Vec<PoolAction>,
    ) {
        self.upstreams.tell(upstream, UpstreamWord::Unreachable);
        let can_try =
            self.redispatches >= 1.0 && self.upstreams.live_count() > 0 && now < request.deadline;
        if can_try {
            self.redispatches -= 1.0;
            self.queue.push_back_first(request);
        } else {
            actions
                .push(PoolAction::Refuse { id: request.id, kind: AnswerKind::UpstreamUnreachable });
        }
    }

    /// Waiting requests keep their places as far as the new plan's order allows.
    fn replace_plan(&mut self, plan: PoolPlan) {
        if plan == self.plan {
            return;
        }
        if plan.placement != self.plan.placement {
            self.placement = placement_policy(plan.placement);
        }
        if plan.queue != self.plan.queue || plan.tiers != self.plan.tiers {
            let waiting = self.queue.drain();
            self.queue = plan.queue();
            waiting.into_iter().for_each(|request| self.queue.push(request));
        }
        if plan.limit != self.plan.limit || plan.first_guess != self.plan.first_guess {
            self.upstreams.update_all(|status| status.limit = plan.limit_of(status.source.places));
        }
        self.upstreams.set_headroom(plan.headroom());
        self.plan = plan;
        self.floor.set_ranks(self.plan.ranks());
    }

    fn tick(&mut self, now: Moment, actions: &mut Vec<PoolAction>) {
        while let Some(request) = self.queue.pop_late(now) {
            match self.plan.queue {
                QueueChoice::Weighted | QueueChoice::Urgency => {
                    self.shed(request, AnswerKind::DeadlineWaiting, now, actions)
                }
                QueueChoice::Fifo => {
                    self.refuse_shed(&request, AnswerKind::DeadlineWaiting, now, actions);
                }
            }
        }
        let progress = self.plan.tiers.iter().map(|share| self.queue.progress(share.rank));
        self.meter.tick(progress, now);
        self.floor.relax(now);
        if self.plan.avoids_stragglers && now.since(self.judged_at) >= JUDGE_PAUSE {
            self.judged_at = now;
            self.upstreams.judge_stragglers();
        }
        if self.upstreams.live_count() == 0
            && self.upstreams.iter().all(|status| status.state() != UpstreamState::Suspect)
        {
            self.refuse_waiting(AnswerKind::UpstreamAbsent, actions);
        }
    }

    /// Dispatches waiting requests while an upstream has room.
    fn pump(&mut self, now: Moment, rng: &mut dyn RngCore, actions: &mut Vec<PoolAction>) {
        while let Some(lowest) = self.lowest_served() {
            let Some(request) = self.queue.pop(lowest, now) else { return };
            let query = PlacementQuery {
                prefix: &request.prefix,
                prompt_tokens: request.prompt_tokens,
                output_tokens: request.output_tokens,
                speed: self.model.speed(),
                room: self.room(request.tier),
                now,
            };
            let Some(upstream) = self.placement.place(&self.upstreams, &query, rng) else {
                self.queue.push_back_first(request);
                return;
            };
            self.dispatch(request, upstream, now, actions);
        }
    }

    /// The lowest tier that some upstream has room for; none if all are full.
    fn lowest_served(&self) -> Option<TierRank> {
        if !self.upstreams.open(RoomKind::Usual).is_empty() {
            return Some(TierRank(u8::MAX));
        }
        let highest = self.plan.tiers.first().map(|share| share.rank);
        highest.filter(|_| !self.upstreams.open(RoomKind::Highest).is_empty())
    }

    fn room(&self, tier: TierRank) -> RoomKind {
        match self.plan.tiers.first() {
            Some(highest) if tier <= highest.rank => RoomKind::Highest,
            _ => RoomKind::Usual,
        }
    }

    fn dispatch(
        &mut self,
        request: WaitingRequest,
        upstream: UpstreamIndex,
        now: Moment,
        actions: &mut Vec<PoolAction>,
    ) {
        self.placement.dispatched(&request.prefix, upstream);
        self.upstreams.dispatched(upstream, request.cost, now);
        let unread = request.prompt_tokens;
        self.upstreams.update(upstream, |status| status.unread_tokens += u64::from(unread));
        self.meter.dispatched(request.tier, request.cost);
        self.redispatches = (self.redispatches + REDISPATCH_SHARE).min(REDISPATCH_BURST);
        actions.push(PoolAction::Dispatch { id: request.id, upstream });
        let was_bound = !self.queue.is_empty()
            || self.upstreams.get(upstream).is_some_and(|status| status.load() > 0.8);
        let running = RunningRequest { upstream, was_bound, dispatched: now, unread, request };
        self.running.insert(running.request.id, running);
    }

    fn refuse_waiting(&mut self, kind: AnswerKind, actions: &mut Vec<PoolAction>) {
        let waiting = self.queue.drain().into_iter();
        actions.extend(waiting.map(|request| PoolAction::Refuse { id: request.id, kind }));
    }

    /// The upstreams.
    pub fn upstreams(&self) -> &UpstreamSet {
        &self.upstreams
    }

    /// The floor this daemon wants for the fleet.
    pub fn wanted_floor(&self) -> Option<TierRank> {
        self.floor.wanted()
    }

    /// Breaks of the shedding order; 0 unless the code is wrong or the queue has no tiers.
    pub fn order_breaks(&self) -> u64 {
        self.audit.breaks()
    }

    /// The floor that this daemon keeps until the next order.
    pub fn guaranteed_floor(&self) -> Option<TierRank> {
        self.floor.guaranteed()
    }

    /// The lowest tier that is admitted here and may be waiting; none while every tier is.
    pub fn kept_floor(&self) -> Option<TierRank> {
        self.floor.lowest_admitted()
    }

    /// Estimated tokens waiting and running here.
    pub fn demand_tokens(&self) -> u64 {
        let waiting: u64 =
            self.plan.tiers.iter().map(|share| self.queue.waiting_tokens(share.rank)).sum();
        let running: u64 = self.upstreams.iter().map(|status| status.in_flight_tokens).sum();
        waiting + running
    }

    /// The largest part of an upstream's limit that work of this daemon takes up.
    pub fn used_share(&self) -> f64 {
        let used = self.upstreams.iter().map(UpstreamStatus::used);
        used.fold(0.0, f64::max)
    }

    /// The estimate for a request, as admission will see it.
    pub fn cost_of(
        &self,
        organisation: OrganisationIndex,
        tier: TierRank,
        prompt_bytes: usize,
        output_limit: Option<u32>,
    ) -> u32 {
        self.model.estimate(organisation, tier, prompt_bytes, output_limit).cost
    }

    /// Numbers for status and metrics.
    pub fn status(&self) -> PoolStatus {
        PoolStatus {
            waiting: self.queue.len(),
            running: self.running.len(),
            live: self.upstreams.live_count(),
            floor: self.floor.lowest_admitted(),
        }
    }
}
