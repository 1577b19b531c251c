//! The order of the fleet's readings of the platform's list, and the clock that numbers them.

use super::ListStamp;
use crate::policy::Moment;
use serde::{Deserialize, Serialize};

/// Position of a reading among all readings of the fleet.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReadingOrder {
    /// When the reading began, in milliseconds of the fleet's [`ReadingClock`].
    pub number: u64,
    /// Drawn at random when the reader's process started; orders readings with equal numbers.
    pub reader: u32,
}

/// A reading that has begun. The list is at least as new as the beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BegunReading {
    pub order: ReadingOrder,
    pub begun_at: Moment,
}

/// A clock that the daemons of a fleet share without synchronised clocks: each follows the one that
/// is furthest ahead, by the readings that it hears of and their ages. A daemon that is cut off goes
/// on by its own clock, so that its readings remain comparable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadingClock {
    /// Milliseconds by which the clock is ahead of this daemon's own.
    ahead: u64,
}

impl ReadingClock {
    /// Follows the clock of a daemon that sent this stamp.
    pub fn observe(&mut self, stamp: &ListStamp, now: Moment) {
        let theirs = stamp.order.number.saturating_add(u64::from(stamp.age_ms));
        self.ahead = self.ahead.max(theirs.saturating_sub(now.millis()));
    }

    /// The number of a reading that begins at `now`, after one with the number `last`.
    pub fn next_number(&self, last: u64, now: Moment) -> u64 {
        now.millis().saturating_add(self.ahead).max(last.saturating_add(1))
    }
}
