//! How long after its send a request's first event comes, learned as a base and a part for each prompt token.
//!
//! What goes wrong with a single time for each token: short prompts, whose first event takes as long as the engine's own
//! start of an answer, make every token seem dear, so long prompts are thought to stall engines that they do not, and
//! short requests are thought to be on time when they are sent too late.

use std::time::Duration;

/// Weight of a new sample once there are [`WARM_COUNT`].
const SAMPLE_WEIGHT: f64 = 0.02;
/// Samples over which all count alike.
const WARM_COUNT: f64 = 50.0;
/// Samples before which the first guesses hold.
const LEAST_COUNT: f64 = 8.0;
/// First guess of the base: two steps of an engine that makes 100 tokens a second.
const FIRST_BASE_MICROS: f64 = 20_000.0;
/// First guess of the time for each prompt token.
const FIRST_SLOPE_MICROS: f64 = 40.0;
/// A sample counts as at most this many times what was expected: one that was held up says nothing of the rest.
const MOST_SURPRISE: f64 = 4.0;

/// A line through the times of first events, by the prompt tokens that had to be read before them.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstEventModel {
    count: f64,
    tokens: f64,
    micros: f64,
    tokens_spread: f64,
    joint_spread: f64,
}

impl FirstEventModel {
    /// Learns from a first event that came `after` its send, with `tokens` of prompts to be read before it. An engine that
    /// is `slowness` times slower than usual counts as if it were usual.
    pub fn learn(&mut self, tokens: u64, slowness: f64, after: Duration) {
        let tokens = tokens as f64;
        let most = (self.base_micros() + self.slope_micros() * tokens) * MOST_SURPRISE;
        let micros = (after.as_micros() as f64 / slowness.max(0.01)).min(most);
        self.count = (self.count + 1.0).min(WARM_COUNT);
        let weight = (1.0 / self.count).max(SAMPLE_WEIGHT);
        let (more_tokens, more_micros) = (tokens - self.tokens, micros - self.micros);
        self.tokens += more_tokens * weight;
        self.micros += more_micros * weight;
        let rest = 1.0 - weight;
        self.tokens_spread = rest * (self.tokens_spread + weight * more_tokens * more_tokens);
        self.joint_spread = rest * (self.joint_spread + weight * more_tokens * more_micros);
    }

    fn is_known(&self) -> bool {
        self.count >= LEAST_COUNT && self.tokens_spread > 0.0
    }

    /// Microseconds for each prompt token.
    pub fn slope_micros(&self) -> f64 {
        if !self.is_known() {
            return FIRST_SLOPE_MICROS;
        }
        let most = self.micros / self.tokens.max(1.0);
        (self.joint_spread / self.tokens_spread).clamp(0.0, most)
    }

    /// Microseconds whatever the prompt.
    pub fn base_micros(&self) -> f64 {
        if !self.is_known() {
            return FIRST_BASE_MICROS;
        }
        (self.micros - self.slope_micros() * self.tokens).max(0.0)
    }
}
