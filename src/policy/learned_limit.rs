//! An adaptive limit on the work in flight at one upstream.
//!
//! Additive increase and multiplicative decrease (Chiu and Jain, 1989) of two bounds: requests,
//! since an engine's batch has a fixed number of slots, and estimated tokens, since each token in
//! the batch slows the step. The limit decreases on queueing inside the engine and on slow
//! responses seen by callers; the concurrency stated by the engine's vendor is only its initial
//! value.

use super::Moment;
use std::time::Duration;

/// Factor applied by one decrease.
const DECREASE_FACTOR: f64 = 0.85;
/// Share of the bound added per bound's worth of work completed while the bound was reached.
const INCREASE_SHARE: f64 = 0.06;
/// The increase before the first decrease, since the initial value may be far too low (compare slow
/// start, Jacobson, 1988).
const INITIAL_INCREASE_SHARE: f64 = 0.5;
/// Minimum time between two decreases, so that one burst counts only once.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(300);
/// The bound stays within this factor of its initial value, in either direction.
const LIMIT_RANGE: f64 = 16.0;
/// Initial token bound as a multiple of the initial requests at their mean cost: the batch's slots
/// limit first, and tokens only once steps take longer than the objective.
const INITIAL_TOKEN_FACTOR: f64 = 4.0;
/// Token bound used where tokens are not limited.
const UNBOUNDED_TOKENS: f64 = 1e15;

/// One adaptive bound.
#[derive(Clone, Debug)]
struct LearnedBound {
    value: f64,
    min: f64,
    max: f64,
    last_decrease: Option<Moment>,
}

impl LearnedBound {
    fn new(value: f64, min: f64) -> Self {
        LearnedBound { value, min, max: value * LIMIT_RANGE, last_decrease: None }
    }

    fn decrease(&mut self, now: Moment) {
        if self.last_decrease.is_none_or(|last| now.since(last) >= MIN_DECREASE_INTERVAL) {
            self.value = (self.value * DECREASE_FACTOR).max(self.min);
            self.last_decrease = Some(now);
        }
    }

    fn increase(&mut self, amount: f64) {
        let share =
            if self.last_decrease.is_none() { INITIAL_INCREASE_SHARE } else { INCREASE_SHARE };
        self.value = (self.value + share * amount).min(self.max);
    }
}

/// The limit on requests and tokens in flight at one upstream.
#[derive(Clone, Debug)]
pub struct LearnedLimit {
    tokens: LearnedBound,
    requests: LearnedBound,
    is_adaptive: bool,
}

impl LearnedLimit {
    /// Creates a limit of `initial_requests` requests of `mean_cost` tokens each. If `is_adaptive`
    /// is false, the limit stays at `initial_requests` requests of any size.
    pub fn new(initial_requests: u32, mean_cost: f64, is_adaptive: bool) -> Self {
        let initial_requests = f64::from(initial_requests);
        let tokens = if is_adaptive {
            initial_requests * mean_cost * INITIAL_TOKEN_FACTOR
        } else {
            UNBOUNDED_TOKENS
        };
        LearnedLimit {
            tokens: LearnedBound::new(tokens, (tokens / LIMIT_RANGE).max(mean_cost)),
            requests: LearnedBound::new(
                initial_requests,
                (initial_requests / LIMIT_RANGE).max(1.0),
            ),
            is_adaptive,
        }
    }

    /// The current bound in tokens.
    pub fn tokens(&self) -> f64 {
        self.tokens.value
    }

    /// The current bound in requests.
    pub fn requests(&self) -> f64 {
        self.requests.value
    }

    /// The share of the limit that this much work uses; above 1.0 if it exceeds the limit.
    pub fn utilisation(&self, tokens: u64, requests: u32) -> f64 {
        (tokens as f64 / self.tokens.value).max(f64::from(requests) / self.requests.value)
    }

    /// Tokens that the limit allows if requests cost `mean_cost` each.
    pub fn tokens_at_mean_cost(&self, mean_cost: f64) -> f64 {
        self.tokens.value.min(self.requests.value * mean_cost)
    }

    /// Records that the upstream queues requests internally while `running` requests are in its
    /// batch. These fill the batch, so the bound is not decreased below their number.
    pub fn record_queueing(&mut self, running: u32, now: Moment) {
        if self.is_adaptive && f64::from(running) < self.requests.value {
            self.requests.decrease(now);
            self.requests.value = self.requests.value.max(f64::from(running));
        }
    }

    /// Records that a first token or the gap between tokens exceeded its objective.
    pub fn record_slow_response(&mut self, now: Moment) {
        if self.is_adaptive {
            self.tokens.decrease(now);
        }
    }

    /// Records that work of `cost` tokens finished within its objectives while the limit was
    /// reached.
    pub fn record_success(&mut self, cost: u32) {
        if self.is_adaptive {
            self.tokens.increase(f64::from(cost));
            self.requests.increase(1.0);
        }
    }
}
