//! The learned bound on work in flight at one upstream.
//!
//! Additive increase and multiplicative decrease (Chiu and Jain, 1989) on estimated tokens. The
//! signal to decrease is time, not the engine's word: a first token that came later than prefill
//! explains, or tokens further apart than the objective. The number the engine's maker gives is
//! only where it starts.

use super::Moment;
use std::time::Duration;

/// Factor of one decrease.
const DECREASE: f64 = 0.85;
/// Share of the limit added for each limit's worth of work done while the limit was binding.
const INCREASE: f64 = 0.06;
/// At most one decrease in this time, so that one burst is not punished many times.
const DECREASE_PAUSE: Duration = Duration::from_millis(300);
/// The limit stays within this factor of the first guess, either way.
const LIMIT_RANGE: f64 = 16.0;

/// One upstream's bound, in estimated tokens (requests, for plain services).
#[derive(Clone, Debug)]
pub struct LearnedLimit {
    tokens: f64,
    least: f64,
    most: f64,
    last_decrease: Moment,
    learns: bool,
}

impl LearnedLimit {
    /// Starts at `guess` requests of `mean_cost` tokens each; with `learns` false it stays there.
    pub fn new(guess: u32, mean_cost: f64, learns: bool) -> Self {
        let tokens = f64::from(guess) * mean_cost;
        LearnedLimit {
            tokens,
            least: (tokens / LIMIT_RANGE).max(mean_cost),
            most: tokens * LIMIT_RANGE,
            last_decrease: Moment(0),
            learns,
        }
    }

    /// The present bound in tokens.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// A sign of overload: the first token, or the gap between tokens, came too late.
    pub fn overloaded(&mut self, now: Moment) {
        let paused = self.last_decrease.0 > 0 && now.since(self.last_decrease) < DECREASE_PAUSE;
        if self.learns && !paused {
            self.tokens = (self.tokens * DECREASE).max(self.least);
            self.last_decrease = now;
        }
    }

    /// Work of `cost` tokens ended within its objectives while the bound was binding.
    pub fn succeeded(&mut self, cost: u32) {
        if self.learns {
            self.tokens = (self.tokens + INCREASE * f64::from(cost)).min(self.most);
        }
    }
}
