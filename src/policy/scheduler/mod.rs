//! The scheduler of one pool: admission, waiting, placement, eviction and refusal.

mod admission;
mod events;
mod feedback;
mod plan;
mod reservations;

pub use events::{ArrivedRequest, DispatchOutcome, OthersWaiting, PoolAction, PoolEvent};
pub use plan::PoolPlan;
use reservations::ReservationPace;

use super::{
    CapacityClass, CostModel, DrainMeter, EngineSpeed, FirstEventModel, Mechanism, Moment,
    OrganisationIndex, PlacementPolicy, PlacementQuery, RequestId, RequiredFit, ShedAudit,
    ShedFloor, SizeShares, TierRank, UpstreamIndex, UpstreamQueueMeter, UpstreamSet, UpstreamState,
    UpstreamStatus, WaitingLevels, WaitingQueue, WaitingRequest, placement_policy,
};
use crate::answer::AnswerKind;
use crate::table::QueueChoice;
use rand::RngCore;
use std::collections::HashMap;
use std::time::Duration;

/// Share of dispatches that may be repeated because the first provably sent nothing.
const REDISPATCH_SHARE: f64 = 0.1;
/// Most repeats saved up.
const REDISPATCH_BURST: f64 = 20.0;
/// Requests that are passed over at most, one after the other, for want of a fitting place.
const MOST_PASSED_OVER: usize = 8;
/// A run takes this many seconds at least, so that a time that was measured as nought divides nothing.
const LEAST_RUN_SECONDS: f64 = 1e-4;
/// Time between judgements of stragglers.
const JUDGE_PAUSE: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct RunningRequest {
    request: WaitingRequest,
    upstream: UpstreamIndex,
    /// True if the upstream's bound, not the demand, held work back when this was sent.
    was_bound: bool,
    dispatched: Moment,
    /// Prompt tokens that the upstream has not yet read, as far as is known.
    unread: u32,
    /// Prompt tokens that the upstream had to read before its first event, its own among them.
    ahead: u64,
    /// How many times slower than usual the upstream was thought to be.
    slowness: f64,
    /// True until the upstream has said whether it has a place.
    is_asking: bool,
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
    first_events: FirstEventModel,
    floor: ShedFloor,
    audit: ShedAudit,
    running: HashMap<RequestId, RunningRequest>,
    mean_cost: f64,
    mean_run: Option<f64>,
    meter: DrainMeter,
    redispatches: f64,
    judged_at: Moment,
    reservations: ReservationPace,
    others_waiting: OthersWaiting,
    shares: SizeShares,
    /// Queues inside the upstreams of a plain service.
    crowd: UpstreamQueueMeter,
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
            first_events: FirstEventModel::default(),
            floor,
            audit: ShedAudit::default(),
            running: HashMap::new(),
            mean_cost: plan.mean_cost(),
            mean_run: None,
            meter: DrainMeter::default(),
            redispatches: REDISPATCH_BURST,
            judged_at: Moment(0),
            reservations: ReservationPace::default(),
            others_waiting: OthersWaiting::default(),
            shares: SizeShares::default(),
            crowd: UpstreamQueueMeter::default(),
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
            PoolEvent::Arrived(request) => self.arrived(request, now, rng, actions),
            PoolEvent::CallerLeft(id) => {
                if let Some(request) = self.queue.remove(id) {
                    self.count_end(&request, false);
                }
            }
            PoolEvent::Granted(id) => self.granted(id),
            PoolEvent::FirstToken { id, after } => self.first_token(id, after, now),
            PoolEvent::TokenGap { id, gap } => self.token_gap(id, gap, now),
            PoolEvent::Ended { id, outcome } => self.ended(id, outcome, now, actions),
            PoolEvent::Reported { upstream, report } => {
                self.note_crowd(upstream, report.queued, now);
                self.upstreams.reported(upstream, report, now)
            }
            PoolEvent::Word { upstream, word } => self.upstreams.apply_event(upstream, word),
            PoolEvent::CacheEvicted { upstream, block } => self.placement.evicted(block, upstream),
            PoolEvent::Sources(sources) => {
                let plan = &self.plan;
                self.upstreams.set_sources(&sources, |places| plan.limit_of(places))
            }
            PoolEvent::Born { upstream, incarnation } => {
                let plan = &self.plan;
                self.upstreams
                    .observe_incarnation(upstream, incarnation, |places| plan.limit_of(places))
            }
            PoolEvent::Plan(plan) => self.replace_plan(plan),
            PoolEvent::Share { share } => self.upstreams.set_share(share),
            PoolEvent::LeaseLapsed => self.refuse_waiting(AnswerKind::TableStale, actions),
            PoolEvent::FleetFloor(order) => {
                self.floor.apply(order);
                self.evict_below_floor(now, actions);
            }
            PoolEvent::Others { rows, group, waiting } => {
                self.upstreams.set_peer_work(&rows, now);
                self.upstreams.set_group(group);
                self.others_waiting = waiting;
            }
            PoolEvent::Tick => self.tick(now, actions),
        }
        self.pump(now, rng, actions);
    }

    /// Waiting requests keep their places as far as the new plan's order allows.
    fn replace_plan(&mut self, plan: PoolPlan) {
        if plan == self.plan {
            return;
        }
        if plan.placement != self.plan.placement {
            self.placement = placement_policy(plan.placement);
        }
        if plan.queue != self.plan.queue
            || plan.tiers != self.plan.tiers
            || plan.mechanisms != self.plan.mechanisms
        {
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
        while let Some(request) = self.queue.pop_for_review(now) {
            match self.plan.queue {
                QueueChoice::Weighted => {
                    self.shed(request, AnswerKind::DeadlineWaiting, now, actions)
                }
                QueueChoice::Urgency => self.look_at_late(request, now, actions),
                QueueChoice::Fifo => {
                    self.refuse_shed(&request, AnswerKind::DeadlineWaiting, now, actions);
                }
            }
        }
        self.upstreams.resume_paused(now);
        let progress = self.plan.tiers.iter().map(|share| self.queue.progress(share.rank));
        self.meter.tick(progress, now);
        self.floor.relax(now);
        if self.plan.avoids_stragglers && now.since(self.judged_at) >= JUDGE_PAUSE {
            self.judged_at = now;
            self.upstreams.update_stragglers();
        }
        if self.upstreams.live_count() == 0
            && self.upstreams.iter().all(|status| status.state() != UpstreamState::Suspect)
        {
            self.refuse_waiting(AnswerKind::UpstreamAbsent, actions);
        }
    }

    /// Dispatches waiting requests while an upstream has room.
    fn pump(&mut self, now: Moment, rng: &mut dyn RngCore, actions: &mut Vec<PoolAction>) {
        // Only the order by worth can take a request back without harm to the order of the rest.
        let most = if self.plan.sheds_alone { MOST_PASSED_OVER } else { 1 };
        let mut passed_over = Vec::new();
        while let Some(lowest) = self.lowest_served().filter(|_| self.reservations.may_try(now)) {
            let Some(request) = self.queue.pop(lowest, now) else { break };
            if self.leaves_places(&request, now) {
                passed_over.push(request);
                break;
            }
            match self.place(&request, now, rng) {
                Some(upstream) => self.dispatch(request, upstream, now, actions),
                None => passed_over.push(request),
            }
            if passed_over.len() >= most {
                break;
            }
        }
        passed_over.into_iter().for_each(|request| self.queue.requeue_front(request));
    }

    /// True if a late request has more before it at the group's other daemons than places will become free until those
    /// daemons are heard again. One in time takes its chance: the group's order alone would starve the lowest lanes.
    /// Without it, late requests of some daemons take places after a burst while requests of others become late.
    fn leaves_places(&mut self, request: &WaitingRequest, now: Moment) -> bool {
        let is_in_time = now <= request.start_by;
        if !is_in_time && self.leaves_queues(now) {
            return true;
        }
        let has_order = self.plan.reserves && self.plan.mechanisms.has(Mechanism::GroupOrder);
        if is_in_time || request.is_underserved || !has_order {
            return false;
        }
        let Some(level) = self.queue.density_level(request, now) else { return false };
        let before = self.others_waiting.levels.above(level);
        f64::from(before) > self.freed_places(self.others_waiting.age)
    }

    /// True while the upstreams of a plain service have long queues. A late request there makes those in time late.
    fn leaves_queues(&self, now: Moment) -> bool {
        !self.plan.counts_tokens
            && self.plan.sheds_alone
            && self.plan.mechanisms.has(Mechanism::LateWait)
            && self.crowd.has_long_queues(now)
    }

    /// Places of the group's upstreams that become free within a time, by Little's law.
    fn freed_places(&self, time: Duration) -> f64 {
        let home = self.upstreams.iter().filter(|status| status.is_in_group);
        let running: u32 = home.map(|status| status.in_flight + status.peer_work.requests).sum();
        f64::from(running) / self.run_seconds() * time.as_secs_f64()
    }

    /// Mean time of a run, in seconds: as measured, or else as estimated.
    pub(super) fn run_seconds(&self) -> f64 {
        let output = if self.plan.counts_tokens { self.model.mean_output() } else { 1.0 };
        let estimated = output * self.model.speed().gap_micros / 1e6;
        self.mean_run.unwrap_or(estimated).max(LEAST_RUN_SECONDS)
    }

    /// Waiting requests by what they are worth for their cost.
    pub fn waiting_levels(&self) -> WaitingLevels {
        self.queue.waiting_levels()
    }

    /// What waits at the other daemons of the group, as last heard.
    pub fn others_waiting(&self) -> &OthersWaiting {
        &self.others_waiting
    }

    fn place(
        &mut self,
        request: &WaitingRequest,
        now: Moment,
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamIndex> {
        let query = PlacementQuery {
            prefix: &request.prefix,
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            speed: self.speed(),
            capacity: self.room(request.tier),
            event_tokens: self.plan.event_tokens,
            max_pause: request.pause,
            time_left: request.deadline.since(now),
            required_fit: self.fit(request, now),
            now,
        };
        self.placement.place(&self.upstreams, &query, rng)
    }

    /// How well a place must fit the request, or it waits for another one.
    fn fit(&self, request: &WaitingRequest, now: Moment) -> RequiredFit {
        if !self.plan.mechanisms.has(Mechanism::FitPlaces) {
            return RequiredFit::Any;
        }
        match now < request.start_by {
            true => RequiredFit::Safe,
            false => RequiredFit::Likely,
        }
    }

    /// The pool's speed as far as it is learned.
    pub(super) fn speed(&self) -> EngineSpeed {
        let speed = self.model.speed();
        if !self.knows_first_events() {
            return speed;
        }
        EngineSpeed { prefill_micros: self.first_events.slope_micros(), ..speed }
    }

    /// True if times of first events are a base and a part for each token.
    pub(super) fn knows_first_events(&self) -> bool {
        self.plan.sheds_alone && self.plan.mechanisms.has(Mechanism::FirstEvents)
    }

    /// The lowest tier that some upstream has room for; none if all are full.
    fn lowest_served(&self) -> Option<TierRank> {
        if !self.upstreams.open(CapacityClass::Regular).is_empty() {
            return Some(TierRank(u8::MAX));
        }
        let highest = self.plan.tiers.first().map(|share| share.rank);
        highest.filter(|_| !self.upstreams.open(CapacityClass::WithHeadroom).is_empty())
    }

    fn room(&self, tier: TierRank) -> CapacityClass {
        match self.plan.tiers.first() {
            Some(highest) if tier <= highest.rank => CapacityClass::WithHeadroom,
            _ => CapacityClass::Regular,
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
        let (ahead, slowness) = self.ahead_of(upstream, unread);
        self.upstreams.update(upstream, |status| status.unread_tokens += u64::from(unread));
        self.meter.dispatched(request.tier, request.cost);
        self.redispatches = (self.redispatches + REDISPATCH_SHARE).min(REDISPATCH_BURST);
        actions.push(PoolAction::Dispatch { id: request.id, upstream });
        let was_bound = !self.queue.is_empty()
            || self.upstreams.get(upstream).is_some_and(|status| status.load() > 0.8);
        let is_asking = self.plan.reserves;
        if is_asking {
            self.reservations.asked();
        }
        let running = RunningRequest {
            upstream,
            was_bound,
            dispatched: now,
            unread,
            ahead,
            slowness,
            is_asking,
            request,
        };
        self.running.insert(running.request.id, running);
    }

    /// Prompt tokens that an upstream reads before the first event of a request sent now, and how slow it is.
    fn ahead_of(&self, upstream: UpstreamIndex, own: u32) -> (u64, f64) {
        let Some(status) = self.upstreams.get(upstream) else { return (u64::from(own), 1.0) };
        (status.total_unread_tokens() + u64::from(own), self.slowness(upstream))
    }

    /// How many times slower than the pool's usual an upstream is; 1 if that is not known.
    pub fn slowness(&self, upstream: UpstreamIndex) -> f64 {
        let usual = self.model.speed().gap_micros.max(1.0);
        let gap = self.upstreams.get(upstream).and_then(UpstreamStatus::gap);
        gap.map_or(1.0, |gap| gap / usual)
    }

    fn refuse_waiting(&mut self, kind: AnswerKind, actions: &mut Vec<PoolAction>) {
        for request in self.queue.drain() {
            self.count_end(&request, false);
            actions.push(PoolAction::Refuse { id: request.id, kind });
        }
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
        self.audit.violations()
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
        let used = self.upstreams.iter().map(UpstreamStatus::utilisation);
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
