//! How often places are asked for while upstreams say that they have none.

use crate::policy::Moment;
use std::time::Duration;

/// Refusals in a row after which the asking pauses: with fresh word of the others most places asked for are there, and
/// a wrong guess should cost no more than the way to the next engine.
const FREE_REFUSALS: u32 = 4;
/// The first pause; doubled with each further refusal.
const FIRST_PAUSE: Duration = Duration::from_millis(2);
/// Most doublings: 32 ms. Each daemon asks 30 times a second at most while nothing is free, which costs it a part in
/// a hundred of a small machine's processor.
const MOST_DOUBLINGS: u32 = 4;

/// Paces the asking. What goes wrong without it: in a burst every daemon asks every upstream for a place all the time.
/// One would notice by processors busy with calls that end in a refusal. The end of a request of one's own ends the
/// pause, since it frees a place.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReservationPace {
    refused_in_row: u32,
    next_at: Moment,
}

impl ReservationPace {
    /// True if a place may be asked for.
    pub(super) fn may_try(&self, now: Moment) -> bool {
        now >= self.next_at
    }

    /// An upstream had no place.
    pub(super) fn refused(&mut self, now: Moment) {
        self.refused_in_row += 1;
        if let Some(beyond) = self.refused_in_row.checked_sub(FREE_REFUSALS + 1) {
            self.next_at = now + FIRST_PAUSE * 2u32.pow(beyond.min(MOST_DOUBLINGS));
        }
    }

    /// A request ended, or one was let in: there may be a place.
    pub(super) fn freed(&mut self) {
        *self = ReservationPace::default();
    }
}
