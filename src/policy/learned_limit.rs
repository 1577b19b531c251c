//! The learned bound on work in flight at one upstream.
//!
//! Additive increase and multiplicative decrease (Chiu and Jain, 1989) on two numbers: requests, since
//! an engine's batch has so many places, and estimated tokens, since each token in the batch slows the
//! step. The signals to decrease are the engine's own queue and the times that callers see, not the
//! number that its maker gives, which is only where the bound starts.

use super::Moment;
use std::time::Duration;

/// Factor of one decrease.
const DECREASE: f64 = 0.85;
/// Share of the bound added for each bound's worth of work done while it was binding.
const INCREASE: f64 = 0.06;
/// The same before the first decrease: the guess may be far too low (compare slow start, Jacobson, 1988).
const FIRST_INCREASE: f64 = 0.5;
/// At most one decrease in this time, so that one burst is not punished many times.
const DECREASE_PAUSE: Duration = Duration::from_millis(300);
/// The bound stays within this factor of the first guess, either way.
const LIMIT_RANGE: f64 = 16.0;
/// Room for tokens at first, as a multiple of the guessed requests at their mean cost: the batch's places
/// bind first, and tokens only once steps grow longer than the objective.
const TOKEN_ROOM: f64 = 4.0;
/// Stands for no bound on tokens.
const NO_BOUND: f64 = 1e15;

/// One learned number.
#[derive(Clone, Debug)]
struct LearnedBound {
    value: f64,
    least: f64,
    most: f64,
    last_decrease: Option<Moment>,
}

impl LearnedBound {
    fn new(value: f64, least: f64) -> Self {
        LearnedBound { value, least, most: value * LIMIT_RANGE, last_decrease: None }
    }

    fn decrease(&mut self, now: Moment) {
        if self.last_decrease.is_none_or(|last| now.since(last) >= DECREASE_PAUSE) {
            self.value = (self.value * DECREASE).max(self.least);
            self.last_decrease = Some(now);
        }
    }

    fn increase(&mut self, amount: f64) {
        let share = if self.last_decrease.is_none() { FIRST_INCREASE } else { INCREASE };
        self.value = (self.value + share * amount).min(self.most);
    }
}

/// One upstream's bound.
#[derive(Clone, Debug)]
pub struct LearnedLimit {
    tokens: LearnedBound,
    requests: LearnedBound,
    learns: bool,
}

impl LearnedLimit {
    /// Starts at `guess` requests of `mean_cost` tokens each; with `learns` false it stays at `guess`
    /// requests of any size.
    pub fn new(guess: u32, mean_cost: f64, learns: bool) -> Self {
        let guess = f64::from(guess);
        let tokens = if learns { guess * mean_cost * TOKEN_ROOM } else { NO_BOUND };
        LearnedLimit {
            tokens: LearnedBound::new(tokens, (tokens / LIMIT_RANGE).max(mean_cost)),
            requests: LearnedBound::new(guess, (guess / LIMIT_RANGE).max(1.0)),
            learns,
        }
    }

    /// The present bound in tokens.
    pub fn tokens(&self) -> f64 {
        self.tokens.value
    }

    /// The present bound in requests.
    pub fn requests(&self) -> f64 {
        self.requests.value
    }

    /// The part of the bound that this much work takes up, above 1.0 if it is too much.
    pub fn used(&self, tokens: u64, requests: u32) -> f64 {
        (tokens as f64 / self.tokens.value).max(f64::from(requests) / self.requests.value)
    }

    /// Tokens that the bound allows if requests cost `mean_cost` each.
    pub fn usual_tokens(&self, mean_cost: f64) -> f64 {
        self.tokens.value.min(self.requests.value * mean_cost)
    }

    /// The upstream holds requests back in a queue of its own while `running` are in its batch: that many
    /// fill it, so the bound falls no lower than that.
    pub fn crowded(&mut self, running: u32, now: Moment) {
        if self.learns && f64::from(running) < self.requests.value {
            self.requests.decrease(now);
            self.requests.value = self.requests.value.max(f64::from(running));
        }
    }

    /// A first token, or the gap between tokens, came later than the objective.
    pub fn slowed(&mut self, now: Moment) {
        if self.learns {
            self.tokens.decrease(now);
        }
    }

    /// Work of `cost` tokens ended within its objectives while the bound was binding.
    pub fn succeeded(&mut self, cost: u32) {
        if self.learns {
            self.tokens.increase(f64::from(cost));
            self.requests.increase(1.0);
        }
    }
}
