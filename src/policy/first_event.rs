//! Models the time from dispatch to first event as a base plus a time per prompt token.
//!
//! With a time per token alone, short prompts, whose first event takes the engine's fixed start-up
//! time, inflate the estimate per token. Long prompts are then expected to stall engines that they
//! would not stall, and short requests that are dispatched too late are expected to be on time.

use std::time::Duration;

/// Weight of a new sample after the first [`WARM_COUNT`] samples.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Number of initial samples that are weighted equally.
const WARM_COUNT: f64 = 50.0;
/// Number of samples below which the initial estimates apply.
const LEAST_COUNT: f64 = 8.0;
/// Initial base time: two steps of an engine that generates 100 tokens per second.
const FIRST_BASE_MICROS: f64 = 20_000.0;
/// Initial time per prompt token.
const FIRST_SLOPE_MICROS: f64 = 40.0;
/// Samples are capped at this multiple of the expected time, since one delayed first event says
/// nothing about the others.
const MOST_SURPRISE: f64 = 4.0;

/// Linear regression of the time to first event on the number of prompt tokens processed before it,
/// with exponentially weighted moments.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstEventModel {
    count: f64,
    tokens: f64,
    micros: f64,
    tokens_spread: f64,
    joint_spread: f64,
}

impl FirstEventModel {
    /// Learns from a first event that came `after` its dispatch, with `tokens` prompt tokens
    /// processed before it. The time is divided by `slowness`, the engine's slowdown relative to
    /// the pool.
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

    /// Estimated time per prompt token, in microseconds.
    pub fn slope_micros(&self) -> f64 {
        if !self.is_known() {
            return FIRST_SLOPE_MICROS;
        }
        let most = self.micros / self.tokens.max(1.0);
        (self.joint_spread / self.tokens_spread).clamp(0.0, most)
    }

    /// Estimated time that does not depend on the prompt, in microseconds.
    pub fn base_micros(&self) -> f64 {
        if !self.is_known() {
            return FIRST_BASE_MICROS;
        }
        (self.micros - self.slope_micros() * self.tokens).max(0.0)
    }
}
