//! Limits the concurrency and rate of slot reservations while upstreams refuse them.

use crate::policy::Moment;
use std::time::Duration;

/// Maximum number of pending reservations while all are granted.
const MAX_PENDING: usize = 16;
/// Maximum number of pending reservations after a refusal. Two, so that a single unresponsive
/// upstream does not block all dispatches.
const MAX_PENDING_AFTER_REFUSAL: usize = 2;
/// Consecutive refusals tolerated before backing off. With fresh reports from the other daemons
/// most reservations succeed, and a wrong guess should cost no more than a round trip to the next
/// engine.
const REFUSALS_BEFORE_BACKOFF: u32 = 4;
/// Initial backoff; doubled with each further refusal.
const INITIAL_BACKOFF: Duration = Duration::from_millis(2);
/// Maximum number of doublings, for a backoff of 32 ms. This limits each daemon to 30 reservations
/// per second while nothing is free, which costs it 1 % of a small machine's processor.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Limits pending reservations and backs off after refusals.
///
/// Without a limit on pending reservations, every waiting request tries to reserve a slot during a
/// burst, and a free slot goes to an arbitrary request instead of the head of the queue: half of
/// the answers to the most urgent requests were late, though all could have been in time. Without
/// backoff every daemon constantly polls every upstream. The end of one of this daemon's own
/// requests frees a slot and therefore ends the backoff.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReservationLimiter {
    pending: usize,
    max_pending: usize,
    consecutive_refusals: u32,
    next_attempt_at: Moment,
}

impl Default for ReservationLimiter {
    fn default() -> Self {
        ReservationLimiter {
            pending: 0,
            max_pending: MAX_PENDING,
            consecutive_refusals: 0,
            next_attempt_at: Moment(0),
        }
    }
}

impl ReservationLimiter {
    /// Returns whether a slot may be reserved now.
    pub(super) fn may_reserve(&self, now: Moment) -> bool {
        now >= self.next_attempt_at && self.pending < self.max_pending
    }

    /// Records a reservation request.
    pub(super) fn record_request(&mut self) {
        self.pending += 1;
    }

    /// Records the end of a pending reservation: granted, refused or abandoned.
    pub(super) fn release_pending(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Records a granted reservation.
    pub(super) fn record_grant(&mut self) {
        self.release_pending();
        self.max_pending = (self.max_pending * 2).min(MAX_PENDING);
        self.reset_backoff();
    }

    /// Records a refused reservation.
    pub(super) fn record_refusal(&mut self, now: Moment) {
        self.release_pending();
        self.max_pending = MAX_PENDING_AFTER_REFUSAL;
        self.consecutive_refusals += 1;
        if let Some(excess) = self.consecutive_refusals.checked_sub(REFUSALS_BEFORE_BACKOFF + 1) {
            self.next_attempt_at =
                now + INITIAL_BACKOFF * 2u32.pow(excess.min(MAX_BACKOFF_DOUBLINGS));
        }
    }

    /// Ends the backoff because a slot may have become free.
    pub(super) fn reset_backoff(&mut self) {
        self.consecutive_refusals = 0;
        self.next_attempt_at = Moment(0);
    }
}
