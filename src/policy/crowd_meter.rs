//! How long requests wait inside the upstreams of a pool, as their answers tell.
//!
//! What goes wrong without it: plain services queue by themselves, and many daemons with few requests each cannot know what
//! the others have sent. In a burst every queue is full, and calls that came back after a refusal, late in any case, stand
//! before newcomers, which become late behind them. One would notice by answers that all take as long as a full queue.

use super::Moment;
use std::time::Duration;

/// Time over which reports of queues are averaged.
const MEMORY: Duration = Duration::from_millis(400);
/// Weight of one report at least: a daemon with few requests must not follow a burst seconds late.
const LEAST_WEIGHT: f64 = 0.2;
/// Time in which a report that no other follows loses most of its weight: a daemon that sends little hears late that the
/// queues are short again.
const FORGOTTEN_IN: Duration = Duration::from_millis(700);
/// Requests that wait for each place from which on queues are long.
const LONG_QUEUE: f64 = 1.0;

/// Queues at a pool's upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrowdMeter {
    /// Requests that wait for each place.
    queued: f64,
    reported_at: Option<Moment>,
}

impl CrowdMeter {
    /// An upstream with `places` said that `queued` requests wait there.
    pub fn report(&mut self, queued: u32, places: u32, now: Moment) {
        let sample = f64::from(queued) / f64::from(places.max(1));
        let age = self.reported_at.map_or(MEMORY, |at| now.since(at));
        let weight = 1.0 - (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.queued += (sample - self.queued) * weight.max(LEAST_WEIGHT);
        self.reported_at = Some(now);
    }

    /// True while the queues are long.
    pub fn is_crowded(&self, now: Moment) -> bool {
        let Some(at) = self.reported_at else { return false };
        let age = now.since(at).as_secs_f64() / FORGOTTEN_IN.as_secs_f64();
        self.queued * (-age).exp() >= LONG_QUEUE
    }
}
