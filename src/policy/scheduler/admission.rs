//! Admission: what waits, what is refused at once, and what makes room.

use super::{ArrivedRequest, PoolAction, PoolScheduler};
use crate::answer::AnswerKind;
use crate::policy::{Mechanism, Moment, TierRank, TierShare, WaitingRequest};
use crate::table::QueueChoice;
use rand::{Rng, RngCore};
use std::time::Duration;

/// Refuse a deadline as too short only if it is less than this share of the estimated run time,
/// since estimates are means and a short answer may still make it.
const TOO_SHORT_SHARE: f64 = 0.5;
/// A request is let in if its wait takes at most this part of the time it can spare: the rest is for the
/// error of the estimate.
const PATIENCE: f64 = 0.6;
/// The part of an objective that is left for what an estimate misses: the way to the engine, the step under way.
const OBJECTIVE_MARGIN: f64 = 0.1;
/// A pool is taken to work off at least this part of what its limits should carry, before it has shown more.
const LEAST_DRAIN: f64 = 0.5;
/// The part of a pool's speed that late requests can reckon with: those that come meanwhile go before them.
const LATE_DRAIN: f64 = 0.5;
/// The part of its time left within which a returned caller's request must have the prospect of a place.
const PROSPECT_PART: f64 = 0.5;
/// A late request that may not be shed yet is looked at again after this long.
const LATE_PAUSE: Duration = Duration::from_millis(50);

impl PoolScheduler {
    pub(super) fn arrived(
        &mut self,
        request: ArrivedRequest,
        now: Moment,
        rng: &mut dyn RngCore,
        actions: &mut Vec<PoolAction>,
    ) {
        let id = request.id;
        let mut refuse = |kind| actions.push(PoolAction::Refuse { id, kind });
        if self.upstreams.live_count() == 0 {
            return refuse(AnswerKind::UpstreamAbsent);
        }
        let mut request = self.estimated(request, now);
        let slack = request.deadline.since(now);
        if self.plan.refuses_late
            && !self.plan.sheds_alone
            && request.run_time.mul_f64(TOO_SHORT_SHARE) > slack
        {
            return refuse(AnswerKind::DeadlineTooShort);
        }
        request.is_underserved = self.is_owed(&request, now, rng);
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

    /// True if the prospects of returned callers are looked at.
    fn looks_at_late(&self) -> bool {
        self.plan.sheds_alone
            && self.plan.queue == QueueChoice::Urgency
            && self.plan.mechanisms.has(Mechanism::LateRefusal)
    }

    /// Looks at a request whose time to be looked at has come: it waits on while it has a prospect of a place. Without one its
    /// caller would hear of the refusal only when its time is over, and places go to requests that can no longer be ended.
    pub(super) fn look_at_late(
        &mut self,
        mut request: WaitingRequest,
        now: Moment,
        actions: &mut Vec<PoolAction>,
    ) {
        let may_wait = now < request.expires_at && self.looks_at_late();
        if may_wait && (request.is_underserved || self.has_prospect(&request, now)) {
            request.review_at = request.expires_at.min(now + LATE_PAUSE);
            return self.queue.requeue_front(request);
        }
        self.shed(request, AnswerKind::DeadlineWaiting, now, actions);
    }

    /// True if what goes before a late request, here and in the group, should be worked off well before its caller gives up.
    fn has_prospect(&mut self, request: &WaitingRequest, now: Moment) -> bool {
        let left = request.expires_at.since(now).mul_f64(PROSPECT_PART);
        let rate = self.meter.total_rate().max(self.drain_rate() * LEAST_DRAIN) * LATE_DRAIN;
        let before = self.queue.cost_ahead(request, true, now) as f64;
        if before > rate * left.as_secs_f64() {
            return false;
        }
        let Some(level) = self.queue.density_level(request, now) else { return true };
        let others = f64::from(self.others_waiting.levels.above(level));
        others <= self.freed_places(left) * LATE_DRAIN
    }

    /// True if the request is owed service, since too few of its size are served.
    fn is_owed(&mut self, request: &WaitingRequest, now: Moment, rng: &mut dyn RngCore) -> bool {
        self.plan.queue == QueueChoice::Urgency
            && self.plan.mechanisms.has(Mechanism::SizeShare)
            && self.shares.record_arrival(&request.size_claim(), rng.random(), now)
    }

    /// Counts the end of a request by its size.
    pub(super) fn count_end(&mut self, request: &WaitingRequest, is_served: bool) {
        self.shares.record_end(&request.size_claim(), is_served, self.plan.size_share);
    }

    pub(super) fn estimated(&self, request: ArrivedRequest, now: Moment) -> WaitingRequest {
        let estimate = match request.sizes {
            Some(sizes) => self.model.estimate_from_sizes(sizes),
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
            is_underserved: false,
        };
        // An estimate of the run time longer than the whole slack must not make the request late at
        // once: it was let in above because estimates are means.
        waiting.start_by = match request.objective {
            Some(objective) => self.start_by(&waiting, objective, now),
            None => waiting.latest_start(),
        };
        if self.plan.queue != QueueChoice::Fifo && self.plan.refuses_late {
            waiting.review_at = waiting
                .latest_start()
                .max(now + request.deadline.since(now).mul_f64(TOO_SHORT_SHARE));
        }
        if let Some(patience) = request.patience {
            // Its caller would leave before the first event of a later start.
            waiting.review_at = waiting.review_at.min(self.start_by(&waiting, patience, now));
        }
        waiting.expires_at = waiting.review_at;
        let has_returned = request.objective.is_some_and(|objective| objective <= now);
        if has_returned && request.patience.is_some() && self.looks_at_late() {
            waiting.review_at = waiting.review_at.min(now + LATE_PAUSE);
        }
        waiting
    }

    /// The last moment to send a request so that its first event comes within its objective.
    pub(super) fn start_by(
        &self,
        request: &WaitingRequest,
        objective: Moment,
        now: Moment,
    ) -> Moment {
        let margin = objective.since(now).mul_f64(OBJECTIVE_MARGIN);
        let first = match self.plan.counts_tokens {
            true => {
                let base = match self.knows_first_events() {
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

    /// True if a request should be refused at once, because by what waits before it and how fast the pool works
    /// that off, it can meet neither its objective nor, as a late one, its deadline.
    pub(super) fn has_no_chance(&mut self, request: &WaitingRequest, now: Moment) -> bool {
        if self.queue.is_empty() || request.is_underserved {
            return false;
        }
        let rate = self.meter.total_rate().max(self.drain_rate() * LEAST_DRAIN);
        let wait = |cost: u64, rate: f64| {
            Duration::try_from_secs_f64(cost as f64 / rate).unwrap_or(Duration::MAX)
        };
        let before = self.queue.cost_ahead(request, false, now);
        if now + wait(before, rate) <= request.start_by {
            return false;
        }
        let before = self.queue.cost_ahead(request, true, now);
        now + wait(before, rate * LATE_DRAIN) > request.review_at
    }

    /// Lets a request wait.
    pub(super) fn enqueue(&mut self, request: WaitingRequest, now: Moment) {
        self.audit.admitted(request.tier, now);
        self.queue.push(request);
    }

    /// Refuses a request for want of capacity.
    pub(super) fn refuse_shed(
        &mut self,
        request: &WaitingRequest,
        kind: AnswerKind,
        now: Moment,
        actions: &mut Vec<PoolAction>,
    ) {
        let lower = self.plan.tiers.iter().filter(|share| share.rank > request.tier);
        let lower_waiting = lower.map(|share| self.queue.waiting_count(share.rank)).sum();
        self.audit.shed(request.tier, lower_waiting, now);
        self.count_end(request, false);
        actions.push(PoolAction::Refuse { id: request.id, kind });
    }

    /// Makes room for a request of `tier` by evicting one of the lowest tier that waits, if that is lower
    /// and may be shed. False if nothing lower waits; the queue may overrun its limit by as much again
    /// while the fleet has not yet confirmed that the lower tier may go.
    pub(super) fn make_room(
        &mut self,
        tier: TierRank,
        now: Moment,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
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

    pub(super) fn evict_one(
        &mut self,
        tier: TierRank,
        now: Moment,
        actions: &mut Vec<PoolAction>,
    ) -> bool {
        let evicted = self.queue.evict_below(tier);
        evicted
            .iter()
            .for_each(|request| self.refuse_shed(request, AnswerKind::Evicted, now, actions));
        evicted.is_some()
    }

    /// True if the request would miss its deadline even if all lower tiers' waiting work made room.
    pub(super) fn would_be_late(&self, request: &WaitingRequest, slack: Duration) -> bool {
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
    pub(super) fn least_wait(&self, request: &WaitingRequest) -> Duration {
        let (tier, organisation) = (request.tier, request.organisation);
        let span = self.queue.virtual_span(tier, organisation, request.weight);
        let measured = self.meter.wait_seconds(tier, span);
        let reckoned = || self.queue.waiting_tokens(tier) as f64 / self.drain_rate();
        Duration::try_from_secs_f64(measured.unwrap_or_else(reckoned)).unwrap_or(Duration::MAX)
    }

    /// Tokens a second that the pool should work off, by Little's law: tokens in flight over their mean time.
    pub(super) fn drain_rate(&self) -> f64 {
        (self.upstreams.live_limit(self.mean_cost) / self.run_seconds()).max(1.0)
    }

    /// Sheds `request`, but only once nothing lower is admitted anywhere; until then it waits.
    pub(super) fn shed(
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
        request.review_at = request.deadline.min(now + LATE_PAUSE);
        self.queue.requeue_front(request);
    }

    pub(super) fn evict_below_floor(&mut self, now: Moment, actions: &mut Vec<PoolAction>) {
        let Some(lowest) = self.floor.lowest_admitted() else { return };
        while self.evict_one(lowest, now, actions) {}
    }
}
