//! How many requests may be sent to a second upstream.

/// Repeats earned by each first send. The platform's bound is a fifth of the requests over all daemons; half
/// of it leaves room for windows in which requests fall faster than what was earned before them is spent.
const EARNED: f64 = 0.1;
/// Repeats saved up at most by one daemon. Small, since every daemon saves up for itself: 74 daemons may spend
/// this all at once, and the platform's allowance beyond the share is 168 there (52 for 6).
const SAVED: f64 = 2.0;

/// A daemon's part of the fleet's budget for second sends to one service.
///
/// Kept by each daemon alone, so that it holds while the voters are away. What goes wrong without it: a service
/// that fails is sent every request as often as routes allow, and fails more.
#[derive(Clone, Copy, Debug)]
pub struct RepeatBudget {
    saved: f64,
}

impl Default for RepeatBudget {
    fn default() -> Self {
        RepeatBudget { saved: SAVED }
    }
}

impl RepeatBudget {
    /// Counts a request's first send.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(SAVED);
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
