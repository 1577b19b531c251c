//! Tokens that the known requests may use of one engine's memory.
//!
//! An engine crashes if the requests that it holds exceed its memory. This daemon knows its own
//! requests there, with their prompts and maximum outputs. Of the other daemons' requests it knows
//! only the number, so these count with the mean size of its own.

use super::Moment;
use std::time::Duration;

/// The estimate of the other daemons' tokens counts in full for this long while it alone keeps a
/// request out: several times the interval at which daemons report their requests.
const ESTIMATE_HOLD: Duration = Duration::from_secs(1);
/// After that, its weight is halved in each such time, so that a wrong estimate does not keep a slot
/// free for longer than a few seconds.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_secs(1);
/// Time in which a reduced weight doubles again.
const ESTIMATE_RECOVERY: Duration = Duration::from_secs(5);
/// A reduced weight does not fall below this, so that it can recover.
const MIN_WEIGHT: f64 = 0.01;
/// A shortage that was not seen for this long has ended.
const SHORTAGE_GAP: Duration = Duration::from_millis(500);

/// Tokens of an engine's memory that a request and the other daemons' requests are expected to use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryNeed {
    /// Tokens that fit into the engine's memory.
    pub capacity: u64,
    /// Prompt and maximum output of the request.
    pub tokens: u32,
    /// Estimated tokens of one request of another daemon.
    pub peer_mean: f64,
}

/// What this daemon knows of the memory of one engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineMemory {
    /// Prompt and maximum output of this daemon's requests there.
    held_tokens: u64,
    /// Weight of the other daemons' estimated tokens at `weight_at`, 0.0 to 1.0.
    weight: f64,
    weight_at: Moment,
    /// When the estimate began to keep a request out, and when it last did.
    shortage: Option<(Moment, Moment)>,
}

impl Default for EngineMemory {
    fn default() -> Self {
        EngineMemory { held_tokens: 0, weight: 1.0, weight_at: Moment(0), shortage: None }
    }
}

impl EngineMemory {
    /// Prompt and maximum output of this daemon's requests there, in tokens.
    pub fn held_tokens(&self) -> u64 {
        self.held_tokens
    }

    /// True if the request fits besides this daemon's own requests.
    pub fn fits_own(&self, need: &MemoryNeed) -> bool {
        self.held_tokens + u64::from(need.tokens) <= need.capacity
    }

    /// True if the request fits besides all known requests, of which `peers` are the other daemons'.
    pub fn fits(&self, need: &MemoryNeed, peers: u32, now: Moment) -> bool {
        let estimated = f64::from(peers) * need.peer_mean * self.estimate_weight(now);
        let own = self.held_tokens + u64::from(need.tokens);
        own as f64 + estimated <= need.capacity as f64
    }

    /// Counts a request that is placed at the engine.
    pub fn hold(&mut self, tokens: u32, now: Moment) {
        self.held_tokens += u64::from(tokens);
        self.set_weight(self.estimate_weight(now), now);
    }

    /// Releases the tokens of a request that has ended there.
    pub fn release(&mut self, tokens: u32) {
        self.held_tokens = self.held_tokens.saturating_sub(u64::from(tokens));
    }

    /// Records that only the estimate of the other daemons' tokens keeps a request out.
    pub fn note_shortage(&mut self, now: Moment) {
        match &mut self.shortage {
            Some((_, last)) if now.since(*last) <= SHORTAGE_GAP => *last = now,
            _ => {
                self.set_weight(self.estimate_weight(now), now);
                self.shortage = Some((now, now));
            }
        }
    }

    /// Records that a request failed at the engine: the estimate may have been too low.
    pub fn note_failure(&mut self, now: Moment) {
        self.set_weight(1.0, now);
    }

    fn set_weight(&mut self, weight: f64, now: Moment) {
        (self.weight, self.weight_at, self.shortage) = (weight.max(MIN_WEIGHT), now, None);
    }

    /// Weight of the other daemons' estimated tokens, 0.0 to 1.0.
    fn estimate_weight(&self, now: Moment) -> f64 {
        let ratio = |time: Duration, unit: Duration| time.as_secs_f64() / unit.as_secs_f64();
        match self.shortage {
            Some((since, last)) if now.since(last) <= SHORTAGE_GAP => {
                let excess = now.since(since).saturating_sub(ESTIMATE_HOLD);
                self.weight * 0.5_f64.powf(ratio(excess, ESTIMATE_HALF_LIFE))
            }
            _ => {
                let recovered = ratio(now.since(self.weight_at), ESTIMATE_RECOVERY);
                (self.weight * recovered.exp2()).min(1.0)
            }
        }
    }
}
