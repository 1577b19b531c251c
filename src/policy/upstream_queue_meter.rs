//! Estimates queue lengths inside a pool's upstreams from the reports in their answers.
//!
//! Plain services queue internally, and with many daemons that send few requests each, no daemon
//! knows what the others have sent. In a burst every queue fills up, and retries of refused calls,
//! which are already late, delay new calls behind them. Without this estimate every answer takes as
//! long as a full queue.

use super::Moment;
use std::time::Duration;

/// Time constant of the running average of queue reports.
const AVERAGING_TIME: Duration = Duration::from_millis(400);
/// Minimum weight of one report, so that a daemon with few requests does not lag a burst by
/// seconds.
const MIN_WEIGHT: f64 = 0.2;
/// Time constant with which the latest report loses weight: a daemon that sends little learns late
/// that queues are short again.
const DECAY_TIME: Duration = Duration::from_millis(700);
/// Waiting requests per slot from which queues count as long.
const LONG_QUEUE_PER_SLOT: f64 = 1.0;

/// Running average of the queue lengths at a pool's upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamQueueMeter {
    /// Waiting requests per slot.
    queued_per_slot: f64,
    reported_at: Option<Moment>,
}

impl UpstreamQueueMeter {
    /// Records that `queued` requests wait at an upstream with `places` slots.
    pub fn record(&mut self, queued: u32, places: u32, now: Moment) {
        let sample = f64::from(queued) / f64::from(places.max(1));
        let age = self.reported_at.map_or(AVERAGING_TIME, |at| now.since(at));
        let weight = 1.0 - (-age.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.queued_per_slot += (sample - self.queued_per_slot) * weight.max(MIN_WEIGHT);
        self.reported_at = Some(now);
    }

    /// True while the queues are long.
    pub fn has_long_queues(&self, now: Moment) -> bool {
        let Some(at) = self.reported_at else { return false };
        let age = now.since(at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.queued_per_slot * (-age).exp() >= LONG_QUEUE_PER_SLOT
    }
}
