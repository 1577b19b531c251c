//! Scheduler of one pool: admission, queueing, placement, eviction and refusal of requests.

mod admission;
mod events;
mod feedback;
mod plan;
mod reservations;
mod resumed;
mod slot_offers;

pub use events::{ArrivedRequest, DispatchOutcome, PeerWaiting, PoolAction, PoolEvent};
pub use plan::PoolPlan;
use reservations::ReservationLimiter;
use resumed::ResumedQueue;

use super::{
    CapacityClass, CostModel, DrainMeter, EngineSpeed, FirstEventModel, Mechanism, MemoryNeed,
    Moment, OrganisationIndex, OrganisationShares, PlacementPolicy, PlacementQuery, ReachMonitor,
    RequestId, RequiredFit, SentPrompt, ShedAudit, ShedFloor, SizeShares, TierRank, UpstreamEvent,
    UpstreamIndex, UpstreamQueueMeter, UpstreamSet, UpstreamState, UpstreamStatus, WaitingLevels,
    WaitingQueue, WaitingRequest, placement_policy,
};
use crate::answer::AnswerKind;
use crate::table::{PrefixReuse, QueueDiscipline};
use rand::{Rng, RngCore};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Redispatches allowed per dispatch, where the failed attempt provably sent no byte.
const REDISPATCH_SHARE: f64 = 0.1;
/// Upper bound on accumulated redispatches.
const REDISPATCH_BURST: f64 = 20.0;
/// Consecutive requests to skip because no upstream with room suits them.
const MAX_SKIPPED_REQUESTS: usize = 8;
/// Further requests to skip in one round because they don't fit into the memory of any upstream with
/// room. More would cost too much time for each event while all engines are full.
const MAX_SKIPPED_FOR_MEMORY: usize = 16;
/// An upstream's rest is prolonged by up to this share of it.
const MAX_REST_SPREAD: f64 = 0.1;
/// Lower bound on the run time, which prevents a division by zero.
const MIN_RUN_SECONDS: f64 = 1e-4;
/// Time between straggler checks.
const STRAGGLER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct RunningRequest {
    request: WaitingRequest,
    upstream: UpstreamIndex,
    /// True if the upstream's limit, rather than demand, was the bottleneck at dispatch.
    was_limited: bool,
    dispatched_at: Moment,
    /// Prompt tokens that the upstream is not yet known to have prefilled.
    unread_tokens: u32,
    /// Prompt tokens to prefill before the first event, this request's included.
    tokens_ahead: u64,
    /// Estimated slowdown of the upstream relative to the pool, at dispatch.
    slowness: f64,
    /// True until the upstream grants or refuses the slot reservation.
    is_reserving: bool,
    /// Prompt tokens that the upstream is expected to hold, at dispatch.
    kept_tokens: u32,
}

impl RunningRequest {
    /// The prompt as sent to the upstream.
    fn sent_prompt(&self) -> SentPrompt<'_> {
        let tokens = self.request.prompt_tokens.saturating_sub(self.kept_tokens);
        let new_tokens = u64::from(tokens) + u64::from(self.request.output_tokens);
        SentPrompt { prefix: &self.request.prefix, new_tokens }
    }
}

/// Counters of the effect of prefix reuse.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixCounts {
    /// Prompt tokens that the upstreams of sent requests were expected to hold.
    pub kept_tokens: u64,
    /// Choices that differ from those without regard to what upstreams hold.
    pub changed_choices: u64,
}

/// Pool counters for status pages and metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolStatus {
    /// Requests in the queue.
    pub waiting: usize,
    /// Requests dispatched to upstreams.
    pub running: usize,
    /// Upstreams in the live state.
    pub live: usize,
    /// Lowest admitted tier; `None` if all tiers are admitted.
    pub floor: Option<TierRank>,
}

/// Scheduler of one pool. Deterministic and free of I/O: its only inputs are events, the time and a
/// random number generator.
pub struct PoolScheduler {
    plan: PoolPlan,
    queue: Box<dyn WaitingQueue>,
    resumed: ResumedQueue,
    placement: Box<dyn PlacementPolicy>,
    upstreams: UpstreamSet,
    model: CostModel,
    first_events: FirstEventModel,
    floor: ShedFloor,
    shed_audit: ShedAudit,
    running: HashMap<RequestId, RunningRequest>,
    mean_cost: f64,
    mean_run_seconds: Option<f64>,
    drain_meter: DrainMeter,
    redispatch_budget: f64,
    stragglers_checked_at: Moment,
    reservations: ReservationLimiter,
    peer_waiting: PeerWaiting,
    reach: ReachMonitor,
    size_shares: SizeShares,
    /// Queue lengths inside the upstreams of a plain service.
    upstream_queues: UpstreamQueueMeter,
    /// Slots to offer to the group's other daemons.
    unused_slots: Vec<UpstreamIndex>,
    organisation_shares: OrganisationShares,
    prefix_counts: PrefixCounts,
}

impl PoolScheduler {
    /// Creates a scheduler with no upstreams and an empty queue.
    pub fn new(plan: PoolPlan) -> Self {
        let mut floor = ShedFloor::default();
        floor.set_ranks(plan.tier_ranks());
        let mut upstreams = UpstreamSet::default();
        upstreams.set_headroom(plan.headroom());
        upstreams.set_cold_bound(plan.cold_bound);
        PoolScheduler {
            queue: plan.new_queue(),
            resumed: ResumedQueue::default(),
            placement: placement_policy(plan.placement, plan.prefix),
            upstreams,
            model: CostModel::new(plan.counts_tokens),
            first_events: FirstEventModel::default(),
            floor,
            shed_audit: ShedAudit::default(),
            running: HashMap::new(),
            mean_cost: plan.initial_mean_cost(),
            mean_run_seconds: None,
            drain_meter: DrainMeter::default(),
            redispatch_budget: REDISPATCH_BURST,
            stragglers_checked_at: Moment(0),
            reservations: ReservationLimiter::default(),
            peer_waiting: PeerWaiting::default(),
            reach: ReachMonitor::default(),
            size_shares: SizeShares::default(),
            upstream_queues: UpstreamQueueMeter::default(),
            unused_slots: Vec::new(),
            organisation_shares: OrganisationShares::default(),
            prefix_counts: PrefixCounts::default(),
            plan,
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        event: PoolEvent,
        now: Moment,
        rng: &mut dyn RngCore,
        actions: &mut Vec<PoolAction>,
    ) {
        let was_cut_off = self.reach.is_cut_off();
        let mut left_slot = None;
        match event {
            PoolEvent::Arrived(request) => self.handle_arrival(request, now, rng, actions),
            PoolEvent::CallerLeft(id) => {
                if let Some(request) = self.queue.remove(id).or_else(|| self.resumed.remove(id)) {
                    self.record_end(&request, false);
                }
            }
            PoolEvent::Granted(id) => self.handle_grant(id, now),
            PoolEvent::FirstToken { id, after } => self.handle_first_token(id, after, now),
            PoolEvent::TokenGap { id, gap } => self.handle_token_gap(id, gap, now),
            PoolEvent::Ended { id, outcome } => {
                left_slot = self.left_slot(id, outcome);
                self.handle_end(id, outcome, now, actions);
            }
            PoolEvent::SlotFreed { upstream } => self.handle_slot_offer(upstream, now),
            PoolEvent::LoadReported { upstream, report } => {
                self.reach.record_contact();
                self.record_upstream_queue(upstream, report.queued, now);
                self.upstreams.reported(upstream, report, now)
            }
            PoolEvent::Lifecycle { upstream, event } => {
                self.upstreams.apply_event(upstream, event);
                match event {
                    UpstreamEvent::Answered => self.reach.record_contact(),
                    UpstreamEvent::Unreachable => self.record_unreached(upstream, now),
                    UpstreamEvent::Leaving | UpstreamEvent::Absent | UpstreamEvent::Idle => {}
                }
            }
            PoolEvent::Unanswered { upstream } => {
                let is_last = self.upstreams.is_last_reachable(upstream);
                self.reach.record_unanswered(upstream, is_last, now);
            }
            PoolEvent::Reached => self.reach.record_contact(),
            PoolEvent::Peers { has_peers } => self.reach.set_has_peers(has_peers),
            PoolEvent::CacheEvicted { upstream, block } => self.placement.evicted(block, upstream),
            PoolEvent::Sources(sources) => {
                let plan = &self.plan;
                self.upstreams.set_sources(&sources, |places| plan.initial_limit(places), now)
            }
            PoolEvent::IncarnationReported { upstream, incarnation } => {
                let plan = &self.plan;
                let new_limit = |places| plan.initial_limit(places);
                self.upstreams.observe_incarnation(upstream, incarnation, new_limit, now)
            }
            PoolEvent::ColdReported { upstream, left } => {
                let until = left.map(|left| now + left);
                self.upstreams.report_cold(upstream, until, now);
            }
            PoolEvent::RateStated { upstream, rate } => {
                self.upstreams.state_rate(upstream, rate, now);
            }
            PoolEvent::RejectionBoundStated { upstream, bound } => {
                self.upstreams.update(upstream, |status| status.rejection_bound = bound);
            }
            PoolEvent::RestAsked { upstream, time } => {
                // Daemons that learn of a rest together do not return together.
                let spread = 1.0 + MAX_REST_SPREAD * rng.random::<f64>();
                self.upstreams.rest(upstream, now + time.mul_f64(spread));
                self.refuse_through_rest(now, actions);
            }
            PoolEvent::DepartureStated { upstream } => {
                self.upstreams.announce_departure(upstream, now);
            }
            PoolEvent::Owners(owners) => self.upstreams.set_owners(owners, now),
            PoolEvent::Plan(plan) => self.replace_plan(plan),
            PoolEvent::Share { share } => self.upstreams.set_share(share),
            PoolEvent::LeaseExpired => self.refuse_waiting(AnswerKind::TableStale, actions),
            PoolEvent::FleetFloor(order) => {
                self.floor.apply(order);
                self.evict_below_floor(now, actions);
            }
            PoolEvent::PeerLoad { rows, group, waiting } => {
                self.upstreams.set_peer_work(&rows, now);
                self.upstreams.set_group(group);
                self.peer_waiting = waiting;
            }
            PoolEvent::OrganisationFlows(flows) => {
                self.organisation_shares.set_fleet(&flows, now);
            }
            PoolEvent::Tick => self.tick(now, actions),
        }
        if self.reach.is_cut_off() && !was_cut_off {
            self.refuse_waiting(AnswerKind::UpstreamUnreachable, actions);
        }
        self.dispatch_resumed(now, rng, actions);
        self.dispatch_waiting(now, rng, actions);
        left_slot.into_iter().for_each(|left| self.note_unused_slot(left));
    }

    /// Applies a new plan. Waiting requests keep their positions as far as the new queue order
    /// allows.
    fn replace_plan(&mut self, plan: PoolPlan) {
        if plan == self.plan {
            return;
        }
        if plan.placement != self.plan.placement || plan.prefix != self.plan.prefix {
            self.placement = placement_policy(plan.placement, plan.prefix);
        }
        if plan.queue != self.plan.queue
            || plan.tiers != self.plan.tiers
            || plan.mechanisms != self.plan.mechanisms
        {
            let waiting = self.queue.drain();
            self.queue = plan.new_queue();
            waiting.into_iter().for_each(|request| self.queue.push(request));
        }
        if plan.limit != self.plan.limit || plan.first_guess != self.plan.first_guess {
            self.upstreams
                .update_all(|status| status.limit = plan.initial_limit(status.source.places));
        }
        self.upstreams.set_headroom(plan.headroom());
        self.upstreams.set_cold_bound(plan.cold_bound);
        if !plan.marks_shares() {
            self.organisation_shares = OrganisationShares::default();
        }
        self.plan = plan;
        self.floor.set_ranks(self.plan.tier_ranks());
    }

    fn tick(&mut self, now: Moment, actions: &mut Vec<PoolAction>) {
        while let Some(request) = self.queue.pop_for_review(now) {
            match self.plan.queue {
                QueueDiscipline::Weighted => {
                    self.shed_when_confirmed(request, AnswerKind::DeadlineWaiting, now, actions)
                }
                QueueDiscipline::Urgency => self.recheck_late(request, now, actions),
                QueueDiscipline::Fifo => {
                    self.shed_now(&request, AnswerKind::DeadlineWaiting, now, actions);
                }
            }
        }
        self.review_resumed(now, actions);
        self.upstreams.resume_paused(now);
        let progress = self.plan.tiers.iter().map(|share| self.queue.progress(share.rank));
        self.drain_meter.tick(progress, now);
        self.floor.relax(now);
        if self.plan.avoids_stragglers
            && now.since(self.stragglers_checked_at) >= STRAGGLER_CHECK_INTERVAL
        {
            self.stragglers_checked_at = now;
            self.upstreams.update_stragglers();
        }
        if self.upstreams.live_count() == 0
            && self.upstreams.iter().all(|status| status.state() != UpstreamState::Suspect)
        {
            self.refuse_waiting(AnswerKind::UpstreamAbsent, actions);
        }
    }

    /// Dispatches waiting requests while any upstream has room.
    fn dispatch_waiting(
        &mut self,
        now: Moment,
        rng: &mut dyn RngCore,
        actions: &mut Vec<PoolAction>,
    ) {
        // Only the queue ordered by value per cost can take back a request without disturbing the
        // order of the rest.
        let max_skipped = if self.plan.sheds_locally { MAX_SKIPPED_REQUESTS } else { 1 };
        let mut skipped = Vec::new();
        let mut skipped_for_memory = 0;
        while let Some(lowest) =
            self.lowest_tier_with_room().filter(|_| self.reservations.may_reserve(now))
        {
            let Some(request) = self.queue.pop(lowest, now) else { break };
            if self.has_to_yield(&request, now) {
                skipped.push(request);
                break;
            }
            match self.choose_upstream(&request, now, rng) {
                Some(upstream) => self.dispatch(request, upstream, now, actions),
                None => {
                    let is_kept_out = self.is_kept_out_by_memory(&request, now);
                    skipped_for_memory += usize::from(is_kept_out && max_skipped > 1);
                    skipped.push(request);
                }
            }
            if skipped.len() >= max_skipped + skipped_for_memory.min(MAX_SKIPPED_FOR_MEMORY) {
                break;
            }
        }
        skipped.into_iter().for_each(|request| self.queue.requeue_front(request));
    }

    /// Returns whether a request must leave free slots to requests of higher value.
    ///
    /// True for a late request if more requests precede it at the group's other daemons than slots
    /// are expected to free up before those daemons report again. Otherwise, after a burst, late
    /// requests of some daemons take slots while requests of other daemons become late. Requests
    /// still in time are exempt: the group order alone would starve the lowest lanes.
    fn has_to_yield(&mut self, request: &WaitingRequest, now: Moment) -> bool {
        let is_in_time = now <= request.start_by;
        if !is_in_time && self.has_long_upstream_queues(now) {
            return true;
        }
        let has_order =
            self.plan.has_reservations && self.plan.mechanisms.has(Mechanism::GroupOrder);
        if is_in_time || request.is_underserved || !has_order {
            return false;
        }
        let Some(level) = self.queue.density_level(request, now) else { return false };
        let before = self.peer_waiting.levels.above(level);
        f64::from(before) > self.expected_free_slots(self.peer_waiting.age)
    }

    /// Returns whether the upstreams of a plain service have long queues. A late request sent there
    /// would make requests late that are still in time.
    fn has_long_upstream_queues(&self, now: Moment) -> bool {
        !self.plan.counts_tokens
            && self.plan.sheds_locally
            && self.plan.mechanisms.has(Mechanism::LateWait)
            && self.upstream_queues.has_long_queues(now)
    }

    /// Expected number of the group's upstream slots that free up within `time`, by Little's law.
    fn expected_free_slots(&self, time: Duration) -> f64 {
        let home = self.upstreams.iter().filter(|status| status.is_in_group);
        let running: u32 = home.map(|status| status.in_flight + status.peer_work.requests).sum();
        f64::from(running) / self.run_seconds() * time.as_secs_f64()
    }

    /// Mean run time in seconds: measured if known, otherwise estimated.
    pub(super) fn run_seconds(&self) -> f64 {
        let output = if self.plan.counts_tokens { self.model.mean_output() } else { 1.0 };
        let estimated = output * self.model.speed().gap_micros / 1e6;
        self.mean_run_seconds.unwrap_or(estimated).max(MIN_RUN_SECONDS)
    }

    /// Numbers of waiting requests by value per cost.
    pub fn waiting_levels(&self) -> WaitingLevels {
        self.queue.waiting_levels()
    }

    /// Requests waiting at the other daemons of the group, as last reported.
    pub fn peer_waiting(&self) -> &PeerWaiting {
        &self.peer_waiting
    }

    /// The shares of the organisations; without any where the plan does not call for them.
    pub fn organisation_shares(&self) -> &OrganisationShares {
        &self.organisation_shares
    }

    /// True if organisations share this pool's service.
    pub fn shares_organisations(&self) -> bool {
        self.plan.marks_shares()
    }

    fn choose_upstream(
        &mut self,
        request: &WaitingRequest,
        now: Moment,
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamIndex> {
        let lone = match request.may_be_resumed && request.demand.version.is_none() {
            true => self.upstreams.lone_versions(),
            false => Arc::default(),
        };
        let query = PlacementQuery {
            prefix: &request.prefix,
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            speed: self.speed(),
            capacity: self.room_kind(request.tier),
            event_tokens: self.plan.event_tokens,
            max_pause: request.pause,
            demand: &request.demand,
            avoided: &lone,
            time_left: request.deadline.since(now),
            required_fit: self.required_fit(request, now),
            memory: self.memory_need(request),
            now,
        };
        let placed = self.placement.place(&self.upstreams, &query, rng);
        if placed.is_some() {
            return placed;
        }
        let any = PlacementQuery { avoided: &[], ..query };
        let placed = match lone.is_empty() {
            true => None,
            false => self.placement.place(&self.upstreams, &any, rng),
        };
        if placed.is_none() && any.memory.is_some() {
            self.upstreams.note_memory_shortage(&any);
        }
        placed
    }

    /// What a request needs of its upstream's memory; `None` if that is not counted.
    fn memory_need(&self, request: &WaitingRequest) -> Option<MemoryNeed> {
        let capacity = self.plan.engine_memory_tokens?;
        let peer_mean = self.upstreams.mean_held_tokens();
        Some(MemoryNeed { capacity, tokens: request.held_tokens, peer_mean })
    }

    /// Returns whether no upstream with room has enough memory for the request.
    fn is_kept_out_by_memory(&self, request: &WaitingRequest, now: Moment) -> bool {
        let Some(need) = self.memory_need(request) else { return false };
        let open = self.upstreams.open(self.room_kind(request.tier)).iter();
        let mut open = open.filter_map(|index| self.upstreams.get(*index));
        !open.any(|status| status.meets(&request.demand) && status.has_memory(&need, now))
    }

    /// Returns how well an upstream must suit the request for it to be dispatched now.
    fn required_fit(&self, request: &WaitingRequest, now: Moment) -> RequiredFit {
        if !self.plan.mechanisms.has(Mechanism::FitPlaces) || request.demand.version.is_some() {
            return RequiredFit::Any;
        }
        match now < request.start_by {
            true => RequiredFit::Safe,
            false => RequiredFit::Likely,
        }
    }

    /// Engine speed of the pool, as learned so far.
    pub(super) fn speed(&self) -> EngineSpeed {
        let speed = self.model.speed();
        if !self.has_first_event_model() {
            return speed;
        }
        EngineSpeed { prefill_micros: self.first_events.slope_micros(), ..speed }
    }

    /// Returns whether time to first event is modelled as a base plus a time per prompt token.
    pub(super) fn has_first_event_model(&self) -> bool {
        self.plan.sheds_locally && self.plan.mechanisms.has(Mechanism::FirstEvents)
    }

    /// Lowest tier for which some upstream has room; `None` if all are full.
    fn lowest_tier_with_room(&self) -> Option<TierRank> {
        if !self.upstreams.open(CapacityClass::Regular).is_empty() {
            return Some(TierRank(u8::MAX));
        }
        let highest = self.plan.tiers.first().map(|share| share.rank);
        highest.filter(|_| !self.upstreams.open(CapacityClass::WithHeadroom).is_empty())
    }

    fn room_kind(&self, tier: TierRank) -> CapacityClass {
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
        self.upstreams.hold_tokens(upstream, request.held_tokens, now);
        let kept_tokens = self.placement.kept_tokens().min(request.prompt_tokens);
        let unread_tokens = request.prompt_tokens - kept_tokens;
        let (tokens_ahead, slowness) = self.prefill_ahead(upstream, unread_tokens);
        self.upstreams.update(upstream, |status| status.unread_tokens += u64::from(unread_tokens));
        self.drain_meter.dispatched(request.tier, request.cost);
        self.organisation_shares.record_dispatch(request.organisation, request.cost, now);
        self.redispatch_budget = (self.redispatch_budget + REDISPATCH_SHARE).min(REDISPATCH_BURST);
        actions.push(PoolAction::Dispatch { id: request.id, upstream });
        let was_limited = !self.queue.is_empty()
            || self.upstreams.get(upstream).is_some_and(|status| status.load() > 0.8);
        let is_reserving = self.plan.has_reservations;
        if is_reserving {
            self.reservations.record_request();
        }
        let running = RunningRequest {
            upstream,
            was_limited,
            dispatched_at: now,
            unread_tokens,
            tokens_ahead,
            slowness,
            is_reserving,
            kept_tokens,
            request,
        };
        if !is_reserving {
            self.record_prefix_send(&running, now);
        }
        self.running.insert(running.request.id, running);
    }

    /// Records a request that an upstream has a slot for.
    fn record_prefix_send(&mut self, running: &RunningRequest, now: Moment) {
        self.prefix_counts.kept_tokens += u64::from(running.kept_tokens);
        self.placement.record_send(running.sent_prompt(), running.upstream, now);
    }

    /// Prompt tokens that the upstream of a running request is expected to hold; `None` if the pool
    /// does not take them into account.
    pub fn kept_tokens(&self, id: RequestId) -> Option<u32> {
        let is_on = self.plan.prefix.mode != PrefixReuse::Off;
        self.running.get(&id).filter(|_| is_on).map(|running| running.kept_tokens)
    }

    /// Counters of the effect of prefix reuse; `None` if it is off.
    pub fn prefix_counts(&self) -> Option<PrefixCounts> {
        let is_on = self.plan.prefix.mode != PrefixReuse::Off;
        let changed_choices = self.placement.changed_choices();
        is_on.then_some(PrefixCounts { changed_choices, ..self.prefix_counts })
    }

    /// Prompt tokens that an upstream must prefill before the first event of a request dispatched
    /// now, and the upstream's slowdown.
    fn prefill_ahead(&self, upstream: UpstreamIndex, own: u32) -> (u64, f64) {
        let Some(status) = self.upstreams.get(upstream) else { return (u64::from(own), 1.0) };
        (status.total_unread_tokens() + u64::from(own), self.slowness(upstream))
    }

    /// Time between tokens of an upstream divided by the pool's mean; 1 if unknown.
    pub fn slowness(&self, upstream: UpstreamIndex) -> f64 {
        let usual = self.model.speed().gap_micros.max(1.0);
        let gap = self.upstreams.get(upstream).and_then(UpstreamStatus::gap);
        gap.map_or(1.0, |gap| gap / usual)
    }

    fn refuse_waiting(&mut self, kind: AnswerKind, actions: &mut Vec<PoolAction>) {
        for request in self.queue.drain().into_iter().chain(self.resumed.drain()) {
            self.record_end(&request, false);
            actions.push(PoolAction::Refuse { id: request.id, kind });
        }
    }

    /// Records that no connection to an upstream could be opened.
    pub(super) fn record_unreached(&mut self, upstream: UpstreamIndex, now: Moment) {
        self.reach.record_unreachable(upstream, self.upstreams.iter().count(), now);
    }

    /// Whether this daemon reaches the pool's upstreams.
    pub fn reach(&self) -> &ReachMonitor {
        &self.reach
    }

    /// All upstreams of the pool.
    pub fn upstreams(&self) -> &UpstreamSet {
        &self.upstreams
    }

    /// Shed floor that this daemon requests from the fleet.
    pub fn wanted_floor(&self) -> Option<TierRank> {
        self.floor.wanted()
    }

    /// Violations of the shedding order; nonzero only through a bug or if the queue has no tiers.
    pub fn shed_order_violations(&self) -> u64 {
        self.shed_audit.violations()
    }

    /// Shed floor that this daemon guarantees to keep until the next order.
    pub fn guaranteed_floor(&self) -> Option<TierRank> {
        self.floor.guaranteed()
    }

    /// Lowest tier admitted here, which may therefore be waiting; `None` if all tiers are admitted.
    pub fn effective_floor(&self) -> Option<TierRank> {
        self.floor.lowest_admitted()
    }

    /// Estimated tokens of this daemon's waiting and running requests.
    pub fn demand_tokens(&self) -> u64 {
        let waiting: u64 =
            self.plan.tiers.iter().map(|share| self.queue.waiting_tokens(share.rank)).sum();
        let running: u64 = self.upstreams.iter().map(|status| status.in_flight_tokens).sum();
        waiting + self.resumed.waiting_tokens() + running
    }

    /// Largest utilisation of any upstream's limit, as a fraction.
    pub fn max_utilisation(&self) -> f64 {
        let used = self.upstreams.iter().map(UpstreamStatus::utilisation);
        used.fold(0.0, f64::max)
    }

    /// Estimated cost of a request, as admission computes it.
    pub fn estimate_cost(
        &self,
        organisation: OrganisationIndex,
        tier: TierRank,
        prompt_bytes: usize,
        output_limit: Option<u32>,
    ) -> u32 {
        self.model.estimate(organisation, tier, prompt_bytes, output_limit).cost
    }

    /// Current counters for status pages and metrics.
    pub fn status(&self) -> PoolStatus {
        PoolStatus {
            waiting: self.queue.len() + self.resumed.len(),
            running: self.running.len(),
            live: self.upstreams.live_count(),
            floor: self.floor.lowest_admitted(),
        }
    }
}
