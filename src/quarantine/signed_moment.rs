//! Timestamps that may lie before the start of this process.

use crate::policy::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Microseconds on this daemon's monotonic clock. Negative for events before its start, since other
/// daemons often report older events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SignedMoment(i64);

impl SignedMoment {
    /// The moment `age_ms` milliseconds before `now`; a negative age yields a moment after `now`.
    pub fn from_age_ms(age_ms: i64, now: Moment) -> Self {
        SignedMoment((now.0 as i64).saturating_sub(age_ms.saturating_mul(1_000)))
    }

    /// Milliseconds from this moment to `now`; negative if the moment is in the future.
    pub fn age_ms(self, now: Moment) -> i64 {
        (now.0 as i64).saturating_sub(self.0) / 1_000
    }

    /// This moment plus `time`.
    pub fn after(self, time: Duration) -> Self {
        SignedMoment(self.0.saturating_add(time.as_micros() as i64))
    }

    /// Time from `now` until this moment, or none if it has passed.
    pub fn remaining(self, now: Moment) -> Option<Duration> {
        let left = self.0.saturating_sub(now.0 as i64);
        (left > 0).then(|| Duration::from_micros(left as u64))
    }
}

impl From<Moment> for SignedMoment {
    fn from(moment: Moment) -> Self {
        SignedMoment(moment.0 as i64)
    }
}
