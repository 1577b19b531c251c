//! Detects retries by the time that callers have left.
//!
//! A caller that retries after a refusal counts its time from its first attempt, so its objective
//! has usually passed. Unless retries are detected, a burst's retries are treated as new requests
//! and are served late, in place of requests that could still have been on time.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of recent attempts considered.
const WINDOW_ATTEMPTS: usize = 64;
/// Below this number of attempts the typical time is unknown.
const MIN_ATTEMPTS: usize = 8;
/// Quantile of the recent times taken as typical: most retries have less time, and a few callers
/// may have much more.
const TYPICAL_QUANTILE: f64 = 0.9;
/// A caller with less than this share of the typical time has already used some of it. Callers of
/// the same kind differ slightly in patience, and a refusal suggests a retry after a fifth of the
/// remaining time at the earliest.
const FIRST_ATTEMPT_SHARE: f64 = 0.81;

/// The recent times that callers of one route allowed for an answer.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    recent: VecDeque<Duration>,
}

impl RetryDetector {
    /// Records the time that a caller will wait for an answer, and returns true if the request
    /// looks like a retry.
    pub fn is_retry(&mut self, time: Duration) -> bool {
        if self.recent.len() == WINDOW_ATTEMPTS {
            self.recent.pop_front();
        }
        self.recent.push_back(time);
        if self.recent.len() < MIN_ATTEMPTS {
            return false;
        }
        let mut times: Vec<Duration> = self.recent.iter().copied().collect();
        let position = ((times.len() - 1) as f64 * TYPICAL_QUANTILE) as usize;
        let (_, typical, _) = times.select_nth_unstable(position);
        time < typical.mul_f64(FIRST_ATTEMPT_SHARE)
    }
}
