//! Pace of the VM that an upstream runs on: how long work takes there at the moment.
//!
//! A VM whose neighbours use its processor is slower for some tenths of a second. The pace tells this
//! from the steady speed of the upstream itself, which stays the same for its whole life. Measured
//! times are divided by the pace before they are learned, and estimates are multiplied by it.

use super::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The usual pace, in percent.
const USUAL_PERCENT: u16 = 100;
/// Reported paces are clamped to this range, in percent.
const MIN_PERCENT: u16 = 10;
const MAX_PERCENT: u16 = 1_000;
/// Larger figures are no pace, but another quantity or garbage.
const MAX_PLAUSIBLE_FIGURE: f64 = 100_000.0;
/// Time for which a pace lasts on the given platform. A reported pace loses its weight linearly over
/// this time: if a pace changes at regular intervals, this is the probability that it has not changed.
const PACE_DURATION: Duration = Duration::from_millis(600);
/// Number of independent paces that the mean covers at most, so that it follows an upstream that is
/// moved to another VM within 20 s.
const MAX_MEAN_SAMPLES: f64 = 32.0;
/// Without a new report, the mean gives way within this time to the pace at which the upstream was
/// measured. Otherwise an upstream that once reported a high pace would get no request, and could
/// never report another one.
const MEAN_TTL: Duration = Duration::from_secs(5);
/// Lower bound on the weight of a time measured at an outdated pace, so that an upstream which reports
/// its pace seldom is measured nevertheless.
const MIN_CONFIDENCE: f64 = 0.1;
/// Reservations in a row that are given up at an upstream because of its pace. The next one is used
/// whatever pace is reported, since the upstream may report a wrong one.
const MAX_GIVE_UPS: u32 = 3;

/// A pace as an upstream reports it, in percent of the usual one: at 250, work takes two and a half
/// times as long as usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PacePercent(u16);

impl PacePercent {
    /// Reads a reported figure, clamped to the range from 10 to 1,000; `None` if it is not a positive
    /// number, or too large for a pace.
    pub fn from_figure(figure: f64) -> Option<Self> {
        let is_plausible = figure > 0.0 && figure <= MAX_PLAUSIBLE_FIGURE;
        let clamped = figure.clamp(f64::from(MIN_PERCENT), f64::from(MAX_PERCENT));
        is_plausible.then_some(PacePercent(clamped.round() as u16))
    }

    /// The pace as a factor of the time that work takes; 1.0 is usual.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / f64::from(USUAL_PERCENT)
    }
}

/// Pace of one upstream's VM, as reported to this daemon or to another one.
#[derive(Clone, Copy, Debug)]
pub struct HostPace {
    last: Option<(PacePercent, Moment)>,
    /// Mean of the reported paces, each weighted by the time for which it may have lasted, and the
    /// number of paces in it.
    mean: f64,
    mean_samples: f64,
    /// Mean of the paces at which the upstream's learned speed was measured.
    measured: Option<f64>,
    give_ups: u32,
}

impl Default for HostPace {
    /// Until an upstream reports a pace, it counts as usual.
    fn default() -> Self {
        HostPace { last: None, mean: 1.0, mean_samples: 1.0, measured: None, give_ups: 0 }
    }
}

impl HostPace {
    /// Records a pace reported at `at`. Reports older than the latest one are ignored.
    pub fn record(&mut self, pace: PacePercent, at: Moment) {
        let since = match self.last {
            Some((_, last)) if last > at => return,
            Some((_, last)) => at.since(last).min(PACE_DURATION),
            None => PACE_DURATION,
        };
        // Reports that follow each other closely are of the same pace.
        let weight = since.as_secs_f64() / PACE_DURATION.as_secs_f64();
        self.mean_samples = (self.mean_samples + weight).min(MAX_MEAN_SAMPLES);
        self.mean += (pace.factor() - self.mean) * weight / self.mean_samples;
        self.last = Some((pace, at));
    }

    /// Discards all reports and starts anew.
    pub fn reset(&mut self) {
        *self = HostPace::default();
    }

    /// The last reported pace and its time.
    pub fn last(&self) -> Option<(PacePercent, Moment)> {
        self.last
    }

    /// The pace now, as a factor; 1.0 if none was ever reported.
    pub fn now(&self, now: Moment) -> f64 {
        self.over(now, Duration::ZERO)
    }

    /// The expected mean pace from `now` on for `span`, as a factor.
    pub fn over(&self, now: Moment, span: Duration) -> f64 {
        let Some((last, at)) = self.last else { return 1.0 };
        let age = now.since(at).as_secs_f64();
        let weight = mean_weight(age, span.as_secs_f64());
        let mean_age = (age / MEAN_TTL.as_secs_f64()).min(1.0);
        let usual = self.mean + (self.measured.unwrap_or(1.0) - self.mean) * mean_age;
        usual + (last.factor() - usual) * weight
    }

    /// How far the pace now is known, from [`MIN_CONFIDENCE`] to 1.0. It is 1.0 for an upstream that
    /// reports none.
    pub fn confidence(&self, now: Moment) -> f64 {
        let Some((_, at)) = self.last else { return 1.0 };
        mean_weight(now.since(at).as_secs_f64(), 0.0).max(MIN_CONFIDENCE)
    }

    /// Records that the upstream's speed was measured at `pace`, with the weight of the measurement.
    pub fn record_measurement(&mut self, pace: f64, weight: f64) {
        self.measured =
            Some(self.measured.map_or(pace, |measured| measured + (pace - measured) * weight));
        self.give_ups = 0;
    }

    /// True if a reservation may be given up for the upstream's pace.
    pub fn may_give_up(&self) -> bool {
        self.give_ups < MAX_GIVE_UPS
    }

    /// Records that a reservation was given up for the upstream's pace.
    pub fn record_give_up(&mut self) {
        self.give_ups += 1;
    }

    /// Records that a reservation was used.
    pub fn record_use(&mut self) {
        self.give_ups = 0;
    }
}

/// Mean weight of a report from its age `age` on for `span`, in seconds.
fn mean_weight(age: f64, span: f64) -> f64 {
    let duration = PACE_DURATION.as_secs_f64();
    if span < 1e-6 {
        return (1.0 - age / duration).max(0.0);
    }
    // Integral of the weight from 0 to an age.
    let integral = |age: f64| {
        let age = age.min(duration);
        age - age * age / (2.0 * duration)
    };
    ((integral(age + span) - integral(age)) / span).max(0.0)
}

/// The pace over a time in which it changed from `begin` to `end`, both factors: the work done in
/// that time is proportional to the mean of the reciprocals.
pub fn pace_between(begin: f64, end: f64) -> f64 {
    2.0 / (1.0 / begin + 1.0 / end)
}
