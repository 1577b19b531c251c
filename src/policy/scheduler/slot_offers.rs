//! Slots that this daemon's requests have left and that it has no use for itself.
//!
//! In a large fleet each daemon sees a few requests a second, so under a burst many have requests waiting
//! while others have none. Without an offer, a slot that is left by a request of a daemon without waiting
//! work stays free until the next reports of the group, about 0.1 s, which is a third of a run: a fifth of
//! all slots were free while requests of the group waited for them.

use super::{DispatchOutcome, PoolScheduler};
use crate::policy::{Moment, RequestId, UpstreamIndex, UpstreamStatus};

/// This daemon's requests at an upstream before one of them ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeftSlot {
    upstream: UpstreamIndex,
    before: u32,
}

impl PoolScheduler {
    /// The slot that the end of a request frees; `None` if it held none, or if no offers are made.
    pub(super) fn left_slot(&self, id: RequestId, outcome: DispatchOutcome) -> Option<LeftSlot> {
        let running = self.running.get(&id).filter(|running| !running.is_reserving)?;
        let held_slot = !matches!(outcome, DispatchOutcome::NotSent | DispatchOutcome::NoSlot);
        // Without reservations, the receiver would send its request to the upstream's own queue if another
        // daemon was faster.
        let is_reserved = self.plan.has_slot_offers && self.plan.has_reservations;
        if !held_slot || !is_reserved {
            return None;
        }
        let before = self.upstreams.get(running.upstream)?.in_flight;
        Some(LeftSlot { upstream: running.upstream, before })
    }

    /// Records a slot that is still unused after the waiting requests of this daemon had their turn, if
    /// requests of the group's other daemons wait.
    pub(super) fn note_unused_slot(&mut self, left: LeftSlot) {
        let Some(status) = self.upstreams.get(left.upstream) else { return };
        let is_unused = status.in_flight < left.before;
        let is_wanted = self.peer_waiting.levels.iter().next().is_some();
        if is_unused && is_wanted && status.is_in_group && status.takes_requests_here() {
            self.unused_slots.push(left.upstream);
        }
    }

    /// Upstreams with slots to offer to the group's other daemons since the last call.
    pub fn take_unused_slots(&mut self) -> Vec<UpstreamIndex> {
        std::mem::take(&mut self.unused_slots)
    }

    /// Records that a request of another daemon has left a slot at an upstream. The next report of that
    /// daemon replaces the corrected count.
    pub(super) fn handle_slot_offer(&mut self, upstream: UpstreamIndex, now: Moment) {
        self.upstreams.update(upstream, |status| {
            status.peer_work.requests = status.peer_work.requests.saturating_sub(1);
            if status.is_refusing(now) {
                UpstreamStatus::clear_refusals(status);
            }
        });
        self.reservations.reset_backoff();
    }

    /// True if requests wait for a slot here.
    pub fn has_waiting(&self) -> bool {
        self.queue.len() + self.resumed.len() > 0
    }
}
