//! How many places are asked for at once, and how often, while upstreams say that they have none.

use crate::policy::Moment;
use std::time::Duration;

/// Places asked for at once while each is granted.
const MOST_ASKED: usize = 16;
/// The same after a refusal. Two, so that one upstream that says nothing does not hold up everything.
const LEAST_ASKED: usize = 2;
/// Refusals in a row after which the asking pauses: with fresh word of the others most places asked for are there, and
/// a wrong guess should cost no more than the way to the next engine.
const FREE_REFUSALS: u32 = 4;
/// The first pause; doubled with each further refusal.
const FIRST_PAUSE: Duration = Duration::from_millis(2);
/// Most doublings: 32 ms. Each daemon asks 30 times a second at most while nothing is free, which costs it a part in
/// a hundred of a small machine's processor.
const MOST_DOUBLINGS: u32 = 4;

/// Paces the asking.
///
/// What goes wrong without a bound on the places asked for at once: in a burst every waiting request asks, and the place
/// that is free goes to any of them instead of to the one that the queue puts first (measured: half of the answers to
/// the most urgent requests late, though all of them could have been in time). Without pauses every daemon asks every
/// upstream all the time. The end of a request of one's own ends the pause, since it frees a place.
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
    /// True if a place may be asked for.
    pub(super) fn may_try(&self, now: Moment) -> bool {
        now >= self.next_at && self.asked < self.most_asked
    }

    /// A place is asked for.
    pub(super) fn asked(&mut self) {
        self.asked += 1;
    }

    /// A place that was asked for was granted, or its request has gone.
    pub(super) fn settled(&mut self) {
        self.asked = self.asked.saturating_sub(1);
    }

    /// A place was granted.
    pub(super) fn granted(&mut self) {
        self.settled();
        self.most_asked = (self.most_asked * 2).min(MOST_ASKED);
        self.freed();
    }

    /// An upstream had no place.
    pub(super) fn refused(&mut self, now: Moment) {
        self.settled();
        self.most_asked = LEAST_ASKED;
        self.refused_in_row += 1;
        if let Some(beyond) = self.refused_in_row.checked_sub(FREE_REFUSALS + 1) {
            self.next_at = now + FIRST_PAUSE * 2u32.pow(beyond.min(MOST_DOUBLINGS));
        }
    }

    /// A request ended: there may be a place.
    pub(super) fn freed(&mut self) {
        self.refused_in_row = 0;
        self.next_at = Moment(0);
    }
}
