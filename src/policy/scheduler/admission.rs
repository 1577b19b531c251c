//! Admission control: queues, sheds or evicts requests.

use super::{ArrivedRequest, PoolAction, PoolScheduler};
use crate::answer::AnswerKind;
use crate::policy::{Mechanism, Moment, PlacementDemand, TierRank, TierShare, WaitingRequest};
use crate::table::QueueDiscipline;
use rand::{Rng, RngCore};
use std::time::Duration;

/// A deadline is too short if it leaves less than this share of the estimated run time. The
/// estimate is a mean, so a short answer may still meet a deadline shorter than it.
const MIN_DEADLINE_SHARE: f64 = 0.5;
/// A request is admitted if its estimated wait takes at most this share of its spare time; the rest
/// allows for the estimation error.
const MAX_WAIT_SHARE: f64 = 0.6;
/// Share of an objective reserved for delays that the estimate omits: network transfer and the
/// engine step in progress.
const OBJECTIVE_MARGIN: f64 = 0.1;
/// Lower bound on the assumed drain rate of a pool, as a share of the rate expected from its
/// limits. Applies until a higher rate is measured.
const MIN_DRAIN_SHARE: f64 = 0.5;
/// Share of the drain rate available to late requests, since requests that arrive meanwhile are
/// served before them.
const LATE_DRAIN_SHARE: f64 = 0.5;
/// A late request keeps waiting only if it should start within this share of its remaining time.
const MAX_LATE_WAIT_SHARE: f64 = 0.5;
/// Time after which a late request that was not shed is checked again.
const LATE_RECHECK_INTERVAL: Duration = Duration::from_millis(50);

impl PoolScheduler {
    pub(super) fn handle_arrival(
        &mut self,
        request: ArrivedRequest,
        now: Moment,
        rng: &mut dyn RngCore,
        actions: &mut Vec<PoolAction>,
    ) {
        let id = request.id;
        let must_leave = self.reach.is_cut_off() && !request.must_stay;
        if request.demand.version.is_some() && !must_leave {
            return self.handle_resumed_arrival(request, now, rng, actions);
        }
        let mut refuse = |kind| actions.push(PoolAction::Refuse { id, kind });
        if self.exceeds_memory(&request) {
            return refuse(AnswerKind::ExceedsMemory);
        }
        if !self.upstreams.has_usable(&request.demand) {
            return refuse(AnswerKind::UpstreamAbsent);
        }
        if must_leave {
            return refuse(AnswerKind::UpstreamUnreachable);
        }
        let mut request = self.to_waiting_request(request, now);
        let slack = request.deadline.since(now);
        if self.plan.refuses_late
            && !self.plan.sheds_locally
            && request.run_time.mul_f64(MIN_DEADLINE_SHARE) > slack
        {
            return refuse(AnswerKind::DeadlineTooShort);
        }
        if !self.upstreams.takes_requests_before(&request.demand, request.start_by) {
            return match self.upstreams.rest_end(&request.demand) {
                Some(_) => self.shed_now(&request, AnswerKind::UpstreamResting, now, actions),
                None => self.shed_when_confirmed(request, AnswerKind::Overloaded, now, actions),
            };
        }
        request.is_underserved = self.claim_owed_service(&request, now, rng);
        request.is_over_share = self.is_over_share(&request, now, rng);
        if self.plan.queue == QueueDiscipline::Fifo {
            match self.queue.len() >= self.plan.waiting_limit {
                true => self.shed_now(&request, AnswerKind::Overloaded, now, actions),
                false => self.enqueue(request, now),
            }
            return;
        }
        if !self.floor.admits(request.tier) {
            return self.shed_now(&request, AnswerKind::Overloaded, now, actions);
        }
        if self.queue.len() >= self.plan.waiting_limit
            && !self.make_room(request.tier, now, actions)
        {
            return self.shed_when_confirmed(request, AnswerKind::Overloaded, now, actions);
        }
        if self.plan.sheds_locally {
            match self.plan.refuses_late && self.is_infeasible(&request, now) {
                true => self.shed_now(&request, AnswerKind::DeadlineWaiting, now, actions),
                false => self.enqueue(request, now),
            }
            return;
        }
        if self.is_likely_late(&request, slack) {
            return self.shed_when_confirmed(request, AnswerKind::DeadlineWaiting, now, actions);
        }
        self.enqueue(request, now);
    }

    /// Refuses waiting requests that would be late by the time that the first upstream ends its rest.
    /// They may be served elsewhere, or come back then.
    pub(super) fn refuse_through_rest(&mut self, now: Moment, actions: &mut Vec<PoolAction>) {
        if self.upstreams.rest_end(&PlacementDemand::default()).is_none() {
            return;
        }
        for request in self.queue.drain() {
            match self.upstreams.takes_requests_before(&request.demand, request.start_by) {
                true => self.queue.push(request),
                false => self.shed_now(&request, AnswerKind::UpstreamResting, now, actions),
            }
        }
        for request in self.resumed.drain() {
            match self.upstreams.takes_requests_before(&request.demand, request.deadline) {
                true => self.resumed.push(request),
                false => self.shed_now(&request, AnswerKind::UpstreamResting, now, actions),
            }
        }
    }

    /// Returns whether late requests of returning callers are refused early if they have no chance.
    fn has_late_refusal(&self) -> bool {
        self.plan.sheds_locally
            && self.plan.queue == QueueDiscipline::Urgency
            && self.plan.mechanisms.has(Mechanism::LateRefusal)
    }

    /// Checks a request whose `late_at` has passed, and sheds it unless it is likely to get a slot.
    ///
    /// Without this check its caller would learn of the refusal only once its time is over, and
    /// slots would go to requests that can no longer complete.
    pub(super) fn recheck_late(
        &mut self,
        mut request: WaitingRequest,
        now: Moment,
        actions: &mut Vec<PoolAction>,
    ) {
        let may_wait = now < request.expires_at && self.has_late_refusal();
        if may_wait && (request.is_underserved || self.is_likely_to_start(&request, now)) {
            request.review_at = request.expires_at.min(now + LATE_RECHECK_INTERVAL);
            return self.queue.requeue_front(request);
        }
        self.shed_when_confirmed(request, AnswerKind::DeadlineWaiting, now, actions);
    }

    /// Returns whether the work ahead of a late request, here and in the group, should be finished
    /// well before its caller gives up.
    fn is_likely_to_start(&mut self, request: &WaitingRequest, now: Moment) -> bool {
        let left = request.expires_at.since(now).mul_f64(MAX_LATE_WAIT_SHARE);
        let rate = self.drain_meter.total_rate().max(self.expected_drain_rate() * MIN_DRAIN_SHARE)
            * LATE_DRAIN_SHARE;
        let before = self.queue.cost_ahead(request, true, now) as f64;
        if before > rate * left.as_secs_f64() {
            return false;
        }
        let Some(level) = self.queue.density_level(request, now) else { return true };
        let others = f64::from(self.peer_waiting.levels.above(level));
        others <= self.expected_free_slots(left) * LATE_DRAIN_SHARE
    }

    /// Returns whether the request is owed service because too few requests of its size are served.
    pub(super) fn claim_owed_service(
        &mut self,
        request: &WaitingRequest,
        now: Moment,
        rng: &mut dyn RngCore,
    ) -> bool {
        self.plan.queue == QueueDiscipline::Urgency
            && self.plan.mechanisms.has(Mechanism::SizeShare)
            && self.size_shares.record_arrival(&request.size_claim(), rng.random(), now)
    }

    /// Returns whether the request is beyond its organisation's share. One that is owed service by
    /// its size is within it.
    fn is_over_share(
        &mut self,
        request: &WaitingRequest,
        now: Moment,
        rng: &mut dyn RngCore,
    ) -> bool {
        if !self.plan.marks_shares() {
            return false;
        }
        let organisation = (request.organisation, request.weight);
        let draw = rng.random();
        let is_over =
            self.organisation_shares.record_arrival(organisation, request.cost, draw, now);
        is_over && !request.is_underserved
    }

    /// Records whether a request was served, in the account of its size. A search for another place
    /// that finds none says nothing: the request goes on where it is.
    pub(super) fn record_end(&mut self, request: &WaitingRequest, is_served: bool) {
        if request.demand.except.is_some() && !is_served {
            return;
        }
        self.size_shares.record_end(&request.size_claim(), is_served, self.plan.size_share);
    }

    pub(super) fn to_waiting_request(
        &self,
        request: ArrivedRequest,
        now: Moment,
    ) -> WaitingRequest {
        let estimate = match request.sizes {
            Some(sizes) => self.model.estimate_from_sizes(sizes),
            None => self.model.estimate(
                request.organisation,
                request.tier,
                request.prompt_bytes,
                request.output_limit,
            ),
        };
        let limit = request.output_limit.unwrap_or(estimate.output_tokens);
        let held_tokens = estimate.prompt_tokens.saturating_add(limit);
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
            pause: request.pause,
            deadline: request.deadline,
            run_time: estimate.run_time,
            arrived: now,
            prefix: request.prefix,
            prompt_bytes: request.prompt_bytes,
            review_at: request.deadline,
            expires_at: request.deadline,
            route: request.route,
            size_tenth: request.size_tenth,
            demand: request.demand,
            may_be_resumed: request.may_be_resumed,
            is_underserved: false,
            held_tokens,
            is_over_share: false,
        };
        // A run time estimate longer than the whole slack must not make the request late at once:
        // such requests are admitted because the estimate is a mean.
        waiting.start_by = match request.objective {
            Some(objective) => self.latest_start_for(&waiting, objective, now),
            None => waiting.latest_start(),
        };
        if self.plan.queue != QueueDiscipline::Fifo && self.plan.refuses_late {
            waiting.review_at = waiting
                .latest_start()
                .max(now + request.deadline.since(now).mul_f64(MIN_DEADLINE_SHARE));
        }
        if let Some(patience) = request.patience {
            // If it started later, the caller would leave before the first event.
            waiting.review_at =
                waiting.review_at.min(self.latest_start_for(&waiting, patience, now));
        }
        waiting.expires_at = waiting.review_at;
        let has_returned = request.objective.is_some_and(|objective| objective <= now);
        if has_returned && request.patience.is_some() && self.has_late_refusal() {
            waiting.review_at = waiting.review_at.min(now + LATE_RECHECK_INTERVAL);
        }
        waiting
    }

    /// Returns whether a request of known size does not fit into the memory of an idle upstream.
    pub(super) fn exceeds_memory(&self, request: &ArrivedRequest) -> bool {
        let (Some(capacity), Some(sizes)) = (self.plan.engine_memory_tokens, request.sizes) else {
            return false;
        };
        let output = request.output_limit.unwrap_or(sizes.output);
        u64::from(sizes.prompt) + u64::from(output) > capacity
    }

    /// Latest dispatch time at which the first event still meets the objective.
    pub(super) fn latest_start_for(
        &self,
        request: &WaitingRequest,
        objective: Moment,
        now: Moment,
    ) -> Moment {
        let margin = objective.since(now).mul_f64(OBJECTIVE_MARGIN);
        let first = match self.plan.counts_tokens {
            true => {
                let base = match self.has_first_event_model() {
                    true => self.first_events.base_micros(),
                    false => 0.0,
                };
                let micros = base + f64::from(request.prompt_tokens) * self.speed().prefill_micros;
                Duration::from_micros(micros as u64)
            }
            false => request.run_time,
        };
        Moment(objective.0.saturating_sub((margin + first).as_micros() as u64))
    }

    /// Returns whether to refuse a request on arrival.
    ///
    /// True if, given the work ahead of it and the drain rate of the pool, it can meet neither its
    /// objective nor, as a late request, its deadline.
    pub(super) fn is_infeasible(&mut self, request: &WaitingRequest, now: Moment) -> bool {
        if self.queue.is_empty() || request.is_underserved {
            return false;
        }
        let rate = self.drain_meter.total_rate().max(self.expected_drain_rate() * MIN_DRAIN_SHARE);
        let wait = |cost: u64, rate: f64| {
            Duration::try_from_secs_f64(cost as f64 / rate).unwrap_or(Duration::MAX)
        };
        let before = self.queue.cost_ahead(request, false, now);
        if now + wait(before, rate) <= request.start_by {
            return false;
        }
        let before = self.queue.cost_ahead(request, true, now);
        now + wait(before, rate * LATE_DRAIN_SHARE) > request.review_at
    }

    /// Adds an admitted request to the queue.
    pub(super) fn enqueue(&mut self, request: WaitingRequest, now: Moment) {
        self.shed_audit.admitted(request.tier, now);
        self.queue.push(request);
    }

    /// Refuses a request for lack of capacity and records it in the shed audit.
    pub(super) fn shed_now(
        &mut self,
        request: &WaitingRequest,
        kind: AnswerKind,
        now: Moment,
        actions: &mut Vec<PoolAction>,
    ) {
        let lower = self.plan.tiers.iter().filter(|share| share.rank > request.tier);
        let lower_waiting = lower.map(|share| self.queue.waiting_count(share.rank)).sum();
        self.shed_audit.shed(request.tier, lower_waiting, now);
        self.record_end(request, false);
        actions.push(PoolAction::Refuse { id: request.id, kind });
    }

    /// Makes room for a request of `tier` by evicting a request of the lowest waiting tier, if that
    /// tier is lower and may be shed.
    ///
    /// Returns false if no lower tier waits. Until the fleet confirms that the lower tier may be
    /// shed, the queue may grow to twice its limit.
    pub(super) fn make_room(
        &mut self,
        tier: TierRank,
        now: Moment,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let has_waiting = |share: &&TierShare| self.queue.waiting_count(share.rank) > 0;
        let Some(lowest) = self.plan.tiers.iter().rev().find(has_waiting).map(|share| share.rank)
        else {
            return false;
        };
        if lowest <= tier {
            return false;
        }
        if self.plan.sheds_locally || self.floor.raise(lowest, now) {
            self.evict_one(tier, now, actions);
            return true;
        }
        self.queue.len() < 2 * self.plan.waiting_limit
    }

    pub(super) fn evict_one(
        &mut self,
        tier: TierRank,
        now: Moment,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let evicted = self.queue.evict_below(tier);
        evicted
            .iter()
            .for_each(|request| self.shed_now(request, AnswerKind::Evicted, now, actions));
        evicted.is_some()
    }

    /// Returns whether the request would miss its deadline even with no waiting work of lower
    /// tiers.
    pub(super) fn is_likely_late(&self, request: &WaitingRequest, slack: Duration) -> bool {
        if self.queue.is_empty() || !self.plan.refuses_late {
            return false;
        }
        let wait = self.estimated_wait(request);
        wait > slack
            .saturating_sub(request.run_time)
            .max(slack.mul_f64(1.0 - MIN_DEADLINE_SHARE))
            .mul_f64(MAX_WAIT_SHARE)
    }

    /// Estimated wait of a request that arrives now, not counting lower tiers. Uses the measured
    /// progress of its tier's queue or, before the first backlog, the rate expected from the
    /// limits.
    pub(super) fn estimated_wait(&self, request: &WaitingRequest) -> Duration {
        let (tier, organisation) = (request.tier, request.organisation);
        let span = self.queue.virtual_span(tier, organisation, request.weight);
        let measured = self.drain_meter.wait_seconds(tier, span);
        let expected = || self.queue.waiting_tokens(tier) as f64 / self.expected_drain_rate();
        Duration::try_from_secs_f64(measured.unwrap_or_else(expected)).unwrap_or(Duration::MAX)
    }

    /// Expected throughput of the pool in tokens per second, by Little's law: tokens in flight
    /// divided by the mean run time.
    pub(super) fn expected_drain_rate(&self) -> f64 {
        let run_seconds = self.run_seconds();
        (self.upstreams.live_limit(self.mean_cost, run_seconds) / run_seconds).max(1.0)
    }

    /// Sheds `request` once no daemon admits a lower tier; until then it waits in the queue.
    pub(super) fn shed_when_confirmed(
        &mut self,
        mut request: WaitingRequest,
        kind: AnswerKind,
        now: Moment,
        actions: &mut Vec<PoolAction>,
    ) {
        if self.plan.sheds_locally {
            return self.shed_now(&request, kind, now, actions);
        }
        let confirmed = self.floor.raise(request.tier, now);
        self.evict_below_floor(now, actions);
        if confirmed || now >= request.deadline {
            return self.shed_now(&request, kind, now, actions);
        }
        request.review_at = request.deadline.min(now + LATE_RECHECK_INTERVAL);
        self.requeue(request);
    }

    pub(super) fn evict_below_floor(&mut self, now: Moment, actions: &mut Vec<PoolAction>) {
        let Some(lowest) = self.floor.lowest_admitted() else { return };
        while self.evict_one(lowest, now, actions) {}
    }
}
