//! Limits the concurrency and rate of slot reservations while upstreams refuse them.

use crate::policy::Moment;
use std::time::Duration;

/// Maximum number of pending reservations while all are granted.
const MOST_ASKED: usize = 16;
/// Maximum number of pending reservations after a refusal. Two, so that a single unresponsive
/// upstream does not block all dispatches.
const LEAST_ASKED: usize = 2;
/// Consecutive refusals tolerated before backing off. With fresh reports from the other daemons
/// most reservations succeed, and a wrong guess should cost no more than a round trip to the next
/// engine.
const FREE_REFUSALS: u32 = 4;
/// Initial backoff; doubled with each further refusal.
const FIRST_PAUSE: Duration = Duration::from_millis(2);
/// Maximum number of doublings, for a backoff of 32 ms. This limits each daemon to 30 reservations
/// per second while nothing is free, which costs it 1 % of a small machine's processor.
const MOST_DOUBLINGS: u32 = 4;

/// Limits pending reservations and backs off after refusals.
///
/// Without a limit on pending reservations, every waiting request tries to reserve a slot during a
/// burst, and a free slot goes to an arbitrary request instead of the head of the queue: half of
/// the answers to the most urgent requests were late, though all could have been in time. Without
/// backoff every daemon constantly polls every upstream. The end of one of this daemon's own
/// requests frees a slot and therefore ends the backoff.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReservationPace {
    asked: usize,
    most_asked: usize,
    refused_in_row: u32,
    next_at: Moment,
}

impl Default for ReservationPace {
    fn default() -> Self {
        ReservationPace { asked: 0, most_asked: MOST_ASKED, refused_in_row: 0, next_at: Moment(0) }
    }
}

impl ReservationPace {
    /// Returns whether a slot may be reserved now.
    pub(super) fn may_try(&self, now: Moment) -> bool {
        now >= self.next_at && self.asked < self.most_asked
    }

    /// Records a reservation request.
    pub(super) fn asked(&mut self) {
        self.asked += 1;
    }

    /// Records the end of a pending reservation: granted, refused or abandoned.
    pub(super) fn settled(&mut self) {
        self.asked = self.asked.saturating_sub(1);
    }

    /// Records a granted reservation.
    pub(super) fn granted(&mut self) {
        self.settled();
        self.most_asked = (self.most_asked * 2).min(MOST_ASKED);
        self.freed();
    }

    /// Records a refused reservation.
    pub(super) fn refused(&mut self, now: Moment) {
        self.settled();
        self.most_asked = LEAST_ASKED;
        self.refused_in_row += 1;
        if let Some(beyond) = self.refused_in_row.checked_sub(FREE_REFUSALS + 1) {
            self.next_at = now + FIRST_PAUSE * 2u32.pow(beyond.min(MOST_DOUBLINGS));
        }
    }

    /// Ends the backoff because a slot may have become free.
    pub(super) fn freed(&mut self) {
        self.refused_in_row = 0;
        self.next_at = Moment(0);
    }
}
