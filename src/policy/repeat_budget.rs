//! Retry budget: limits how many requests are sent to a second upstream.

/// Fraction of the operators' bound that daemons use. The rest is a margin: the request rate may
/// fall faster than saved retries are spent, and the known size of the fleet lags behind.
const USED_PART: f64 = 0.5;
/// Minimum number of daemons to divide the bound's slack by, while few others are known.
const LEAST_DAEMONS: usize = 6;

/// The operators' bound on retries, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBound {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed in one window.
    pub slack: u64,
}

impl Default for RepeatBound {
    /// The bound where operators set none: a fifth of the requests, and a few more.
    fn default() -> Self {
        RepeatBound { ratio: 0.2, slack: 24 }
    }
}

impl RepeatBound {
    /// Retries added to the balance by each first attempt.
    fn earned(&self) -> f64 {
        self.ratio * USED_PART
    }

    /// Largest balance of one of `daemons`, since all of them may spend theirs at once.
    fn saved(&self, daemons: usize) -> f64 {
        self.slack as f64 * USED_PART / daemons.max(LEAST_DAEMONS) as f64
    }
}

/// A daemon's part of the fleet's retry budget for one service.
///
/// Each daemon keeps its own part, so that the budget also holds while the voters are unavailable.
/// Without it, a failing service is sent every request as often as routes allow, and fails more.
#[derive(Clone, Copy, Debug)]
pub struct RepeatBudget {
    bound: RepeatBound,
    saved: f64,
}

impl RepeatBudget {
    /// Creates the budget of one of `daemons` under a bound.
    pub fn new(bound: RepeatBound, daemons: usize) -> Self {
        RepeatBudget { bound, saved: bound.saved(daemons) }
    }

    /// Adds to the balance for a first attempt by one of `daemons`.
    pub fn earn(&mut self, daemons: usize) {
        let most = self.bound.saved(daemons).max(1.0);
        self.saved = (self.saved + self.bound.earned()).min(most);
    }

    /// Returns a retry that was not sent after all.
    pub fn refund(&mut self) {
        self.saved += 1.0;
    }

    /// Takes one retry from the balance; false if none is left.
    pub fn spend(&mut self) -> bool {
        let can_spend = self.saved >= 1.0;
        if can_spend {
            self.saved -= 1.0;
        }
        can_spend
    }
}
