//! Updates the estimates, limits and upstream states of a pool from the results of dispatches.

use super::{DispatchOutcome, PoolAction, PoolScheduler, RunningRequest};
use crate::answer::AnswerKind;
use crate::policy::{
    Moment, RequestId, UpstreamEvent, UpstreamIndex, UpstreamStatus, WaitingRequest,
};
use std::time::Duration;

/// A first token later than this multiple of the expected prefill time, and later than half its
/// objective, indicates queueing inside the engine.
const LATE_FIRST_TOKEN_RATIO: f64 = 3.0;
/// Weight of a new sample in the moving average of request cost.
const COST_SAMPLE_WEIGHT: f64 = 0.05;

impl PoolScheduler {
    pub(super) fn handle_first_token(&mut self, id: RequestId, after: Duration, now: Moment) {
        self.reach.record_contact();
        let Some(running) = self.running.get_mut(&id) else { return };
        let unread_tokens = std::mem::take(&mut running.unread_tokens);
        let prompt_tokens = running.request.prompt_tokens.saturating_sub(running.kept_tokens);
        let (tokens_ahead, slowness) = (running.tokens_ahead, running.slowness);
        let upstream = running.upstream;
        self.upstreams.update(upstream, |status| status.record_processed_tokens(unread_tokens));
        let expected = f64::from(prompt_tokens) * self.model.speed().prefill_micros;
        self.model.learn_prefill(prompt_tokens, after);
        self.first_events.learn(tokens_ahead, slowness, after);
        let micros = after.as_micros() as f64;
        let is_late =
            after > self.plan.first_token / 2 && micros > LATE_FIRST_TOKEN_RATIO * expected;
        if is_late {
            // A queue length reported by the engine is a better sign of overload than a late first
            // token, which a long prompt in the same step also causes.
            self.upstreams.update(upstream, |status| {
                if !status.reports_no_queue() {
                    status.limit.record_slow_response(now);
                }
            });
        }
    }

    pub(super) fn handle_token_gap(&mut self, id: RequestId, gap: Duration, now: Moment) {
        let Some(running) = self.running.get(&id) else { return };
        self.model.learn_gap(gap);
        let is_late = gap > self.plan.token_gap;
        self.upstreams.update(running.upstream, |status| {
            status.learn_gap(gap.as_micros() as f64, now);
            if is_late {
                status.limit.record_slow_response(now);
            }
        });
    }

    pub(super) fn handle_end(
        &mut self,
        id: RequestId,
        outcome: DispatchOutcome,
        now: Moment,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(running) = self.running.remove(&id) else { return };
        let RunningRequest { ref request, upstream, unread_tokens, is_reserving, .. } = running;
        self.upstreams.release_tokens(upstream, request.held_tokens);
        self.upstreams.ended(upstream, request.cost, now);
        if is_reserving && outcome != DispatchOutcome::NoSlot {
            self.reservations.release_pending();
        }
        if !is_reserving && outcome != DispatchOutcome::NotSent {
            self.upstreams.update(upstream, UpstreamStatus::clear_refusals);
            self.reservations.reset_backoff();
        }
        self.upstreams.update(upstream, |status| status.record_processed_tokens(unread_tokens));
        self.upstreams.record_outcome(upstream, outcome, now);
        if matches!(outcome, DispatchOutcome::NotSent | DispatchOutcome::NoSlot) {
            self.organisation_shares.record_return(request.organisation, request.cost, now);
            self.upstreams.update(upstream, |status| status.cold_pace.retract_send());
        }
        // A refused reservation has reached the upstream, so it counts against the stated rate.
        if outcome == DispatchOutcome::NotSent {
            self.placement.retract_send(&request.prefix, upstream);
            self.upstreams.update(upstream, |status| status.rate_pace.retract_send());
        }
        match outcome {
            DispatchOutcome::Completed { prompt_tokens, output_tokens } => {
                self.handle_completion(&running, prompt_tokens, output_tokens, now);
            }
            DispatchOutcome::NotSent => self.redispatch(running.request, upstream, now, actions),
            DispatchOutcome::NoSlot => self.handle_no_slot(running.request, upstream, now),
            DispatchOutcome::Failed | DispatchOutcome::Cancelled => {
                self.record_end(&running.request, false);
            }
        }
    }

    /// Records the reported queue length of an upstream of a plain service.
    pub(super) fn record_upstream_queue(
        &mut self,
        upstream: UpstreamIndex,
        queued: u32,
        now: Moment,
    ) {
        if self.plan.counts_tokens {
            return;
        }
        let Some(status) = self.upstreams.get(upstream) else { return };
        self.upstream_queues.record(queued, status.limit.requests() as u32, now);
    }

    /// Handles a granted slot reservation; the request is sent to the upstream.
    pub(super) fn handle_grant(&mut self, id: RequestId, now: Moment) {
        let Some(mut running) = self.running.remove(&id) else { return };
        if std::mem::take(&mut running.is_reserving) {
            self.record_prefix_send(&running, now);
            self.reach.record_contact();
            let upstream = running.upstream;
            self.upstreams.update(upstream, UpstreamStatus::clear_refusals);
            self.reservations.record_grant();
        }
        self.running.insert(id, running);
    }

    /// Handles a refused slot reservation: the request returns to the front of its queue.
    fn handle_no_slot(&mut self, request: WaitingRequest, upstream: UpstreamIndex, now: Moment) {
        self.reach.record_contact();
        self.upstreams.update(upstream, |status| status.record_refusal(now));
        self.reservations.record_refusal(now);
        self.requeue(request);
    }

    pub(super) fn handle_completion(
        &mut self,
        running: &RunningRequest,
        prompt_tokens: Option<u32>,
        output_tokens: u32,
        now: Moment,
    ) {
        let RunningRequest { request, upstream, .. } = running;
        let time = now.since(running.dispatched_at);
        self.record_end(request, true);
        self.upstreams.apply_event(*upstream, UpstreamEvent::Answered);
        self.reach.record_contact();
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
                status.learn_gap(time.as_micros() as f64, now);
                if is_late {
                    status.limit.record_slow_response(now);
                }
            });
        }
        self.update_mean_run(request.cost, time);
        if running.was_limited {
            self.upstreams.update(*upstream, |status| status.limit.record_success(request.cost));
        }
    }

    /// Updates the mean run time, weighted by cost as Little's law on tokens requires.
    pub(super) fn update_mean_run(&mut self, cost: u32, time: Duration) {
        let weight = COST_SAMPLE_WEIGHT * (f64::from(cost) / self.mean_cost).min(4.0);
        self.mean_cost += (f64::from(cost) - self.mean_cost) * COST_SAMPLE_WEIGHT;
        let sample = time.as_secs_f64();
        self.mean_run_seconds =
            Some(self.mean_run_seconds.map_or(sample, |mean| mean + (sample - mean) * weight));
    }

    /// Requeues a request whose dispatch provably sent no byte, so a second dispatch preserves
    /// at-most-once execution. The budget bounds repeated attempts when all connections are
    /// refused.
    pub(super) fn redispatch(
        &mut self,
        request: WaitingRequest,
        upstream: UpstreamIndex,
        now: Moment,
        actions: &mut Vec<PoolAction>,
    ) {
        self.upstreams.apply_event(upstream, UpstreamEvent::Unreachable);
        self.record_unreached(upstream, now);
        let may_retry = self.redispatch_budget >= 1.0
            && self.upstreams.live_count() > 0
            && now < request.deadline;
        if may_retry {
            self.redispatch_budget -= 1.0;
            self.requeue(request);
        } else {
            self.record_end(&request, false);
            actions
                .push(PoolAction::Refuse { id: request.id, kind: AnswerKind::UpstreamUnreachable });
        }
    }
}
