//! Models the time from dispatch to first event as a base plus a time per prompt token.
//!
//! With a time per token alone, short prompts, whose first event takes the engine's fixed start-up
//! time, inflate the estimate per token. Long prompts are then expected to stall engines that they
//! would not stall, and short requests that are dispatched too late are expected to be on time.

use std::time::Duration;

/// Weight of a new sample after the first [`WARMUP_SAMPLES`] samples.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Number of initial samples that are weighted equally.
const WARMUP_SAMPLES: f64 = 50.0;
/// Number of samples below which the initial estimates apply.
const MIN_SAMPLES: f64 = 8.0;
/// Initial base time: two steps of an engine that generates 100 tokens per second.
const INITIAL_BASE_MICROS: f64 = 20_000.0;
/// Initial time per prompt token.
const INITIAL_SLOPE_MICROS: f64 = 40.0;
/// Samples are capped at this multiple of the expected time, since one delayed first event says
/// nothing about the others.
const MAX_OUTLIER_RATIO: f64 = 4.0;

/// Linear regression of the time to first event on the number of prompt tokens processed before it,
/// with exponentially weighted moments.
#[derive(Clone, Copy, Debug, Default)]
pub struct FirstEventModel {
    sample_count: f64,
    mean_tokens: f64,
    mean_micros: f64,
    tokens_variance: f64,
    covariance: f64,
}

impl FirstEventModel {
    /// Learns from a first event that came `after` its dispatch, with `tokens` prompt tokens
    /// processed before it. The time is divided by `slowness`, the engine's slowdown relative to
    /// the pool.
    pub fn learn(&mut self, tokens: u64, slowness: f64, after: Duration) {
        let tokens = tokens as f64;
        let max_micros = (self.base_micros() + self.slope_micros() * tokens) * MAX_OUTLIER_RATIO;
        let micros = (after.as_micros() as f64 / slowness.max(0.01)).min(max_micros);
        self.sample_count = (self.sample_count + 1.0).min(WARMUP_SAMPLES);
        let weight = (1.0 / self.sample_count).max(SAMPLE_WEIGHT);
        let (tokens_delta, micros_delta) = (tokens - self.mean_tokens, micros - self.mean_micros);
        self.mean_tokens += tokens_delta * weight;
        self.mean_micros += micros_delta * weight;
        let retained_weight = 1.0 - weight;
        self.tokens_variance =
            retained_weight * (self.tokens_variance + weight * tokens_delta * tokens_delta);
        self.covariance =
            retained_weight * (self.covariance + weight * tokens_delta * micros_delta);
    }

    fn has_enough_samples(&self) -> bool {
        self.sample_count >= MIN_SAMPLES && self.tokens_variance > 0.0
    }

    /// Estimated time per prompt token, in microseconds.
    pub fn slope_micros(&self) -> f64 {
        if !self.has_enough_samples() {
            return INITIAL_SLOPE_MICROS;
        }
        let max_slope = self.mean_micros / self.mean_tokens.max(1.0);
        (self.covariance / self.tokens_variance).clamp(0.0, max_slope)
    }

    /// Estimated time that does not depend on the prompt, in microseconds.
    pub fn base_micros(&self) -> f64 {
        if !self.has_enough_samples() {
            return INITIAL_BASE_MICROS;
        }
        (self.mean_micros - self.slope_micros() * self.mean_tokens).max(0.0)
    }
}
