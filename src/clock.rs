//! The clock that control and traffic share.

use crate::policy::Moment;
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// Monotonic time as [`Moment`]s.
///
/// Time in which the machine was suspended counts. What goes wrong with a clock that stands still meanwhile: a
/// leader that was suspended believes in its lease after another was elected, and answers a read with an old
/// table. One would notice by a read that is older than an edit acknowledged before it.
#[derive(Clone, Copy, Debug)]
pub struct TrafficClock(Duration);

impl TrafficClock {
    /// A clock that starts a moment before now, so that 0 never occurs.
    pub fn start() -> Self {
        TrafficClock(since_boot().saturating_sub(Duration::from_millis(1)))
    }

    /// Now.
    pub fn now(&self) -> Moment {
        Moment(since_boot().saturating_sub(self.0).as_micros() as u64)
    }
}

/// Time since the machine's start, suspended time included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
