//! Monotonic clock shared by control and traffic.

use crate::policy::Moment;
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Clock that returns monotonic time as [`Moment`]s and also counts the time while the machine is
/// suspended.
///
/// With a clock that stops during suspension, a leader that was suspended would still trust its
/// lease after another leader was elected, and would answer reads from an old table: a read could
/// miss an edit that was acknowledged before it.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock(Duration);

impl MonotonicClock {
    /// Creates a clock whose origin is 1 ms ago, so that `now` never returns 0.
    pub fn start() -> Self {
        MonotonicClock(time_since_boot().saturating_sub(Duration::from_millis(1)))
    }

    /// Returns the time since the clock's origin.
    pub fn now(&self) -> Moment {
        Moment(time_since_boot().saturating_sub(self.0).as_micros() as u64)
    }
}

/// Returns the time since boot, including time in suspension.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
