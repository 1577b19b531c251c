//! How long the answers of a route take.

use std::time::Duration;

/// Weight of a new sample in the mean time, as in RFC 6298.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new sample in the variation, as in RFC 6298.
const VARIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Number of variations above the mean within which nearly all answers end, as in RFC 6298.
const VARIATIONS: f64 = 4.0;

/// Smoothed mean and variation of the times from a send to the whole answer, estimated as RFC 6298
/// estimates round trips.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTimes {
    /// Mean and variation, in seconds; `None` before the first answer.
    estimate: Option<(f64, f64)>,
}

impl AnswerTimes {
    /// Records the time that an answer took.
    pub fn record(&mut self, time: Duration) {
        let sample = time.as_secs_f64();
        let (mean, variation) = match self.estimate {
            None => (sample, sample / 2.0),
            Some((mean, variation)) => (
                mean + (sample - mean) * MEAN_WEIGHT,
                variation + ((sample - mean).abs() - variation) * VARIATION_WEIGHT,
            ),
        };
        self.estimate = Some((mean, variation));
    }

    /// Time within which nearly all answers end; `None` before the first one.
    pub fn upper_estimate(&self) -> Option<Duration> {
        let (mean, variation) = self.estimate?;
        Some(Duration::from_secs_f64(mean + VARIATIONS * variation))
    }
}
