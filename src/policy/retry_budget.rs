//! Retry budget: limits how many requests are sent to a second upstream.

/// Fraction of the operators' bound that daemons use. The rest is a margin: the request rate may
/// fall faster than saved retries are spent, and the known size of the fleet lags behind.
const USED_RATIO: f64 = 0.5;
/// Minimum number of daemons to divide the bound's slack by, while few others are known.
const MIN_DAEMONS: usize = 6;

/// The operators' bound on retries, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBound {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed in one window.
    pub slack: u64,
}

impl Default for RetryBound {
    /// The bound where operators set none: a fifth of the requests, and a few more.
    fn default() -> Self {
        RetryBound { ratio: 0.2, slack: 24 }
    }
}

impl RetryBound {
    /// Retries added to the balance by each first attempt.
    fn deposit_per_request(&self) -> f64 {
        self.ratio * USED_RATIO
    }

    /// Largest balance of one of `daemons`, since all of them may spend theirs at once.
    fn max_balance(&self, daemons: usize) -> f64 {
        self.slack as f64 * USED_RATIO / daemons.max(MIN_DAEMONS) as f64
    }
}

/// A daemon's part of the fleet's retry budget for one service.
///
/// Each daemon keeps its own part, so that the budget also holds while the voters are unavailable.
/// Without it, a failing service is sent every request as often as routes allow, and fails more.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    bound: RetryBound,
    balance: f64,
}

impl RetryBudget {
    /// Creates the budget of one of `daemons` under a bound.
    pub fn new(bound: RetryBound, daemons: usize) -> Self {
        RetryBudget { bound, balance: bound.max_balance(daemons) }
    }

    /// Adds to the balance for a first attempt by one of `daemons`.
    pub fn deposit(&mut self, daemons: usize) {
        let max_balance = self.bound.max_balance(daemons).max(1.0);
        self.balance = (self.balance + self.bound.deposit_per_request()).min(max_balance);
    }

    /// Returns a retry that was not sent after all.
    pub fn refund(&mut self) {
        self.balance += 1.0;
    }

    /// True if the balance has a retry left.
    pub fn has_retry(&self) -> bool {
        self.balance >= 1.0
    }

    /// Takes one retry from the balance; false if none is left.
    pub fn try_withdraw(&mut self) -> bool {
        let has_balance = self.has_retry();
        if has_balance {
            self.balance -= 1.0;
        }
        has_balance
    }
}
