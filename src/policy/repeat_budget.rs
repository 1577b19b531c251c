//! How many requests may be sent to a second upstream.

/// The part of the operators' bound that daemons use: requests may fall faster than what was earned before them is
/// spent, and reports of the fleet's size are late.
const USED_PART: f64 = 0.5;
/// Daemons that the bound's slack is divided among, at least, while few others are known.
const LEAST_DAEMONS: usize = 6;

/// The operators' bound on repeats, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside that, in one window.
    pub slack: u64,
}

impl Default for RepeatBound {
    /// A fifth of the requests and a few more, where operators say nothing.
    fn default() -> Self {
        RepeatBound { ratio: 0.2, slack: 24 }
    }
}

impl RepeatBound {
    /// Repeats earned by each first send.
    fn earned(&self) -> f64 {
        self.ratio * USED_PART
    }

    /// Repeats saved up at most by one of `daemons`, since each of them may spend its own at once.
    fn saved(&self, daemons: usize) -> f64 {
        self.slack as f64 * USED_PART / daemons.max(LEAST_DAEMONS) as f64
    }
}

/// A daemon's part of the fleet's budget for second sends to one service.
///
/// Kept by each daemon alone, so that it holds while the voters are away. What goes wrong without it: a service
/// that fails is sent every request as often as routes allow, and fails more.
#[derive(Clone, Copy, Debug)]
pub struct RepeatBudget {
    bound: RepeatBound,
    saved: f64,
}

impl RepeatBudget {
    /// The budget of one of `daemons` under a bound.
    pub fn new(bound: RepeatBound, daemons: usize) -> Self {
        RepeatBudget { bound, saved: bound.saved(daemons) }
    }

    /// Counts a request's first send by one of `daemons`.
    pub fn earn(&mut self, daemons: usize) {
        let most = self.bound.saved(daemons).max(1.0);
        self.saved = (self.saved + self.bound.earned()).min(most);
    }

    /// Gives back a repeat that was not sent after all.
    pub fn refund(&mut self) {
        self.saved += 1.0;
    }

    /// Takes one repeat; false if none is left.
    pub fn spend(&mut self) -> bool {
        let can_spend = self.saved >= 1.0;
        if can_spend {
            self.saved -= 1.0;
        }
        can_spend
    }
}
