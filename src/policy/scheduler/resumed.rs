//! Requests that resume a stream at the version that began it.
//!
//! They wait apart from new work and are placed before it: only some of the upstreams can serve them,
//! and new work may begin anywhere. In the queue of new work they would hold up requests that other
//! upstreams have room for.

use super::{ArrivedRequest, PoolAction, PoolScheduler};
use crate::answer::AnswerKind;
use crate::policy::{Moment, RequestId, WaitingRequest};
use rand::RngCore;
use std::collections::VecDeque;

/// Waiting requests that resume streams, in the order of arrival.
#[derive(Debug, Default)]
pub(super) struct ResumedQueue(VecDeque<WaitingRequest>);

impl ResumedQueue {
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<WaitingRequest> {
        let at = self.0.iter().position(|request| request.id == id)?;
        self.0.remove(at)
    }

    pub(super) fn push(&mut self, request: WaitingRequest) {
        self.0.push_back(request);
    }

    pub(super) fn drain(&mut self) -> Vec<WaitingRequest> {
        self.0.drain(..).collect()
    }

    /// Estimated tokens of the requests.
    pub(super) fn waiting_tokens(&self) -> u64 {
        self.0.iter().map(|request| u64::from(request.cost)).sum()
    }
}

impl PoolScheduler {
    /// Queues a request that resumes a stream. A full version is waited for, until the deadline.
    pub(super) fn handle_resumed_arrival(
        &mut self,
        request: ArrivedRequest,
        now: Moment,
        rng: &mut dyn RngCore,
        actions: &mut Vec<PoolAction>,
    ) {
        let id = request.id;
        if self.exceeds_memory(&request) {
            return actions.push(PoolAction::Refuse { id, kind: AnswerKind::ExceedsMemory });
        }
        if !self.upstreams.has_in_service(&request.demand) {
            return actions.push(PoolAction::Refuse { id, kind: AnswerKind::VersionAbsent });
        }
        let is_left_to_others = self.upstreams.has_usable(&request.demand)
            && !self.upstreams.takes_requests_before(&request.demand, request.deadline);
        let request = self.to_waiting_request(request, now);
        self.claim_owed_service(&request, now, rng);
        if is_left_to_others || self.resumed.len() >= self.plan.waiting_limit {
            return self.shed_when_confirmed(request, AnswerKind::Overloaded, now, actions);
        }
        self.resumed.0.push_back(request);
    }

    /// Returns a request that was not sent to the front of the queue that it came from.
    pub(super) fn requeue(&mut self, request: WaitingRequest) {
        match request.demand.version {
            Some(_) => self.resumed.0.push_front(request),
            None => self.queue.requeue_front(request),
        }
    }

    /// Places the requests whose versions have room.
    pub(super) fn dispatch_resumed(
        &mut self,
        now: Moment,
        rng: &mut dyn RngCore,
        actions: &mut Vec<PoolAction>,
    ) {
        for request in self.resumed.drain() {
            let may_place = self.reservations.may_reserve(now);
            match may_place.then(|| self.choose_upstream(&request, now, rng)).flatten() {
                Some(upstream) => self.dispatch(request, upstream, now, actions),
                None => self.resumed.0.push_back(request),
            }
        }
    }

    /// Refuses the requests whose deadlines have passed or whose versions have left.
    pub(super) fn review_resumed(&mut self, now: Moment, actions: &mut Vec<PoolAction>) {
        for request in self.resumed.drain() {
            let has_left = !self.upstreams.has_in_service(&request.demand);
            let kind = match now >= request.deadline {
                true => AnswerKind::DeadlineWaiting,
                false if has_left => AnswerKind::VersionAbsent,
                false => {
                    self.resumed.0.push_back(request);
                    continue;
                }
            };
            self.record_end(&request, false);
            actions.push(PoolAction::Refuse { id: request.id, kind });
        }
    }
}
