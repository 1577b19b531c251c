//! Estimates the cost and run time of requests, learning from their answers.

use super::{OrganisationIndex, TierRank};
use std::collections::HashMap;
use std::time::Duration;

/// Bytes of prompt text per token, until answers provide a better estimate.
const INITIAL_BYTES_PER_TOKEN: f64 = 4.0;
/// Expected output tokens, until answers provide a better estimate.
const INITIAL_OUTPUT_TOKENS: f64 = 128.0;
/// Weight of a new sample in the exponential moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Prompt tokens from which prefill dominates the time to first token.
const LONG_PROMPT_TOKENS: f64 = 1_024.0;
/// Initial prefill time per prompt token, in microseconds.
const INITIAL_PREFILL_MICROS: f64 = 40.0;
/// Initial time between tokens, in microseconds.
const INITIAL_GAP_MICROS: f64 = 10_000.0;

/// Prompt tokens that occupy an engine for as long as one output token. By the engines' data
/// sheets, a prompt token takes 0.02 ms of the whole batch, and an output token 6 ms of one of its
/// 6 slots.
const OUTPUT_TOKEN_COST: u32 = 50;

/// The size of a request as declared by its caller, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSizes {
    /// Prompt tokens.
    pub prompt: u32,
    /// Expected output tokens.
    pub output: u32,
}

/// The estimated cost of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostEstimate {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Output tokens.
    pub output_tokens: u32,
    /// Cost in tokens of prompt and output together, as counted by queues and limits.
    pub cost: u32,
    /// Time from dispatch to the end of the answer on an engine of average speed.
    pub run_time: Duration,
}

/// The speed of a pool's engines, as learned from answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Time to first token per prompt token, in microseconds.
    pub prefill_micros: f64,
    /// Time between tokens, in microseconds.
    pub gap_micros: f64,
}

#[derive(Clone, Copy, Debug)]
struct OutputMean {
    tokens: f64,
}

/// Learns the bytes per token, output lengths and engine speed of one pool.
#[derive(Clone, Debug)]
pub struct CostModel {
    bytes_per_token: f64,
    output_means: HashMap<(OrganisationIndex, TierRank), OutputMean>,
    pool_mean_output: f64,
    speed: EngineSpeed,
    /// False for plain services, where each request costs one and no tokens are estimated.
    counts_tokens: bool,
}

impl CostModel {
    /// Creates a model without samples; `counts_tokens` is false for plain services.
    pub fn new(counts_tokens: bool) -> Self {
        CostModel {
            bytes_per_token: INITIAL_BYTES_PER_TOKEN,
            output_means: HashMap::new(),
            pool_mean_output: INITIAL_OUTPUT_TOKENS,
            speed: EngineSpeed {
                prefill_micros: INITIAL_PREFILL_MICROS,
                gap_micros: INITIAL_GAP_MICROS,
            },
            counts_tokens,
        }
    }

    /// Estimates a request with a prompt of `prompt_bytes` and at most `output_limit` output
    /// tokens.
    pub fn estimate(
        &self,
        organisation: OrganisationIndex,
        tier: TierRank,
        prompt_bytes: usize,
        output_limit: Option<u32>,
    ) -> CostEstimate {
        if !self.counts_tokens {
            let run_time = Duration::from_micros(self.speed.gap_micros as u64);
            return CostEstimate { prompt_tokens: 0, output_tokens: 1, cost: 1, run_time };
        }
        let prompt_tokens = (prompt_bytes as f64 / self.bytes_per_token).ceil() as u32;
        let learned = self
            .output_means
            .get(&(organisation, tier))
            .map_or(self.pool_mean_output, |mean| mean.tokens);
        let output_tokens =
            output_limit.map_or(learned, |limit| learned.min(f64::from(limit))).max(1.0);
        let micros = f64::from(prompt_tokens) * self.speed.prefill_micros
            + output_tokens * self.speed.gap_micros;
        CostEstimate {
            prompt_tokens,
            output_tokens: output_tokens as u32,
            cost: prompt_tokens + output_tokens as u32,
            run_time: Duration::from_micros(micros as u64),
        }
    }

    /// Estimates a request whose sizes its caller has declared.
    pub fn estimate_from_sizes(&self, sizes: RequestSizes) -> CostEstimate {
        if !self.counts_tokens {
            return self.estimate(OrganisationIndex(0), TierRank(0), 0, None);
        }
        let micros = f64::from(sizes.prompt) * self.speed.prefill_micros
            + f64::from(sizes.output) * self.speed.gap_micros;
        CostEstimate {
            prompt_tokens: sizes.prompt,
            output_tokens: sizes.output.max(1),
            cost: sizes.prompt + sizes.output.max(1) * OUTPUT_TOKEN_COST,
            run_time: Duration::from_micros(micros as u64),
        }
    }

    /// Learns from the token counts of an answer.
    pub fn learn_counts(
        &mut self,
        organisation: OrganisationIndex,
        tier: TierRank,
        prompt_bytes: usize,
        prompt_tokens: Option<u32>,
        output_tokens: u32,
    ) {
        if let Some(tokens) = prompt_tokens.filter(|tokens| *tokens > 0) {
            update_mean(
                &mut self.bytes_per_token,
                (prompt_bytes as f64 / f64::from(tokens)).clamp(0.5, 16.0),
            );
        }
        let output = f64::from(output_tokens);
        update_mean(&mut self.pool_mean_output, output);
        let first = self.pool_mean_output;
        let mean =
            self.output_means.entry((organisation, tier)).or_insert(OutputMean { tokens: first });
        update_mean(&mut mean.tokens, output);
    }

    /// Learns from a time to first token. Whatever the prompt's length, one step passes before its
    /// turn and another produces the token, so a short prompt says little about prefill and gets a
    /// small weight.
    pub fn learn_prefill(&mut self, prompt_tokens: u32, time: Duration) {
        let micros = (time.as_micros() as f64 - 2.0 * self.speed.gap_micros).max(0.0);
        let tokens = f64::from(prompt_tokens.max(1));
        let weight = SAMPLE_WEIGHT * (tokens / LONG_PROMPT_TOKENS).min(1.0);
        self.speed.prefill_micros += (micros / tokens - self.speed.prefill_micros) * weight;
    }

    /// Learns from a time between tokens, or from a whole run time for plain services.
    pub fn learn_gap(&mut self, gap: Duration) {
        update_mean(&mut self.speed.gap_micros, gap.as_micros() as f64);
    }

    /// The engine speed learned so far.
    pub fn speed(&self) -> EngineSpeed {
        self.speed
    }

    /// Mean output tokens per answer of the pool.
    pub fn mean_output(&self) -> f64 {
        self.pool_mean_output
    }
}

fn update_mean(mean: &mut f64, sample: f64) {
    *mean += (sample - *mean) * SAMPLE_WEIGHT;
}
