//! Which callers have been here before, by the time that they still have.
//!
//! A caller who was refused and comes back counts its time from its first attempt: most often its objective has passed.
//! What goes wrong without knowing it: in a burst those who return are taken for newcomers and are served, late, in the
//! stead of others who could have been in time.

use std::collections::VecDeque;
use std::time::Duration;

/// Attempts that are looked back upon.
const ATTEMPTS: usize = 64;
/// Fewer say nothing of what is usual.
const LEAST_ATTEMPTS: usize = 8;
/// The place of the usual time in the order of all: most callers that return name less, a few may name much more.
const USUAL_PART: f64 = 0.9;
/// A caller with less than this part of the usual time has spent some of it already. Callers of one kind differ a little
/// in their patience, and refusals name a fifth of what is left as the earliest return.
const FIRST_PART: f64 = 0.81;

/// The time that callers of one route have when they come.
#[derive(Clone, Debug, Default)]
pub struct CallerTimes {
    recent: VecDeque<Duration>,
}

impl CallerTimes {
    /// Takes the time that a caller says it will wait. True if it has been here before.
    pub fn has_returned(&mut self, time: Duration) -> bool {
        if self.recent.len() == ATTEMPTS {
            self.recent.pop_front();
        }
        self.recent.push_back(time);
        if self.recent.len() < LEAST_ATTEMPTS {
            return false;
        }
        let mut times: Vec<Duration> = self.recent.iter().copied().collect();
        let place = ((times.len() - 1) as f64 * USUAL_PART) as usize;
        let (_, usual, _) = times.select_nth_unstable(place);
        time < usual.mul_f64(FIRST_PART)
    }
}
