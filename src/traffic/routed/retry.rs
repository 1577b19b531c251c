//! Why a request is not sent to one more upstream.

/// What stands in the way of sending a request once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryObstacle {
    /// It may have run, and its route does not allow a second run.
    RunsOnce,
    /// A peer has passed it on and repeats it itself.
    LeftToPeer,
    /// Its content is quarantined.
    Quarantined,
    /// It was sent as often as its route allows.
    Attempts,
    /// Its deadline has passed.
    Deadline,
    /// The retry budget of its service is spent.
    Budget,
}

impl RetryObstacle {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RetryObstacle::RunsOnce => "runs-once",
            RetryObstacle::LeftToPeer => "left-to-peer",
            RetryObstacle::Quarantined => "quarantined",
            RetryObstacle::Attempts => "attempts-spent",
            RetryObstacle::Deadline => "deadline",
            RetryObstacle::Budget => "budget-spent",
        }
    }
}
