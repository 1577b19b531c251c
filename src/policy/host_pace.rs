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

/// Step of the paces in messages, in percent, and of their ages.
const MESSAGE_STEP_PERCENT: u16 = 5;
const MESSAGE_STEP_AGE: Duration = Duration::from_millis(20);
/// Number of ages in messages. Older paces are not sent, as they say nothing more: 1.26 s is twice the
/// time for which a pace lasts.
const MESSAGE_AGES: u16 = 64;

/// A pace and its age in a message between daemons; the default states no pace. A pace takes two
/// bytes and none takes one, since a fleet sends one of them per upstream in each message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerPace(u16);

impl PeerPace {
    /// The pace reported at `at`, as sent at `now`.
    pub fn new(pace: PacePercent, at: Moment, now: Moment) -> Self {
        // Rounded up, which also covers the time that the message takes.
        let age = now.since(at).as_micros() / MESSAGE_STEP_AGE.as_micros() + 1;
        let steps = (pace.0 + MESSAGE_STEP_PERCENT / 2) / MESSAGE_STEP_PERCENT;
        match u16::try_from(age) {
            Ok(age) if age < MESSAGE_AGES => PeerPace(steps * MESSAGE_AGES + age),
            _ => PeerPace::default(),
        }
    }

    /// The pace, and when it was reported, of a message received at `now`; `None` if it states none.
    pub fn read(self, now: Moment) -> Option<(PacePercent, Moment)> {
        let percent = u32::from(self.0 / MESSAGE_AGES) * u32::from(MESSAGE_STEP_PERCENT);
        let pace = PacePercent::from_figure(f64::from(percent))?;
        Some((pace, now.before(MESSAGE_STEP_AGE * u32::from(self.0 % MESSAGE_AGES))))
    }
}

/// Pace of one upstream's VM, as reported to this daemon or to another one.
#[derive(Clone, Copy, Debug)]
pub struct HostPace {
    last: Option<(PacePercent, Moment)>,
    /// The last pace that the upstream reported to this daemon itself. Only this one is sent to other
    /// daemons; two that repeated each other's reports would keep them in use.
    own: Option<(PacePercent, Moment)>,
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
        HostPace {
            last: None,
            own: None,
            mean: 1.0,
            mean_samples: 1.0,
            measured: None,
            give_ups: 0,
        }
    }
}

impl HostPace {
    /// Records a pace that the upstream reported to this daemon at `at`.
    pub fn record(&mut self, pace: PacePercent, at: Moment) {
        if self.own.is_none_or(|(_, last)| last <= at) {
            self.own = Some((pace, at));
        }
        self.record_remote(pace, at);
    }

    /// Records a pace that the upstream reported to any daemon at `at`. Reports older than the latest one are ignored.
    pub fn record_remote(&mut self, pace: PacePercent, at: Moment) {
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

    /// The last pace reported to this daemon itself, for a message to others.
    pub fn own_report(&self, now: Moment) -> PeerPace {
        self.own.map(|(pace, at)| PeerPace::new(pace, at, now)).unwrap_or_default()
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
