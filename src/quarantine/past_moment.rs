//! Moments that may lie before this process began.

use crate::policy::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Microseconds of this daemon's clock, below nought for what was before its start: what others tell is often older.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PastMoment(i64);

impl PastMoment {
    /// The moment that was `age_ms` milliseconds before `now`; after it where the age is below nought.
    pub fn of_age(age_ms: i64, now: Moment) -> Self {
        PastMoment((now.0 as i64).saturating_sub(age_ms.saturating_mul(1_000)))
    }

    /// Milliseconds from this moment to `now`; below nought if it is still to come.
    pub fn age_ms(self, now: Moment) -> i64 {
        (now.0 as i64).saturating_sub(self.0) / 1_000
    }

    /// This moment and some time.
    pub fn after(self, time: Duration) -> Self {
        PastMoment(self.0.saturating_add(time.as_micros() as i64))
    }

    /// How long it is until this moment; none if it is past.
    pub fn remaining(self, now: Moment) -> Option<Duration> {
        let left = self.0.saturating_sub(now.0 as i64);
        (left > 0).then(|| Duration::from_micros(left as u64))
    }
}

impl From<Moment> for PastMoment {
    fn from(moment: Moment) -> Self {
        PastMoment(moment.0 as i64)
    }
}
