//! Bounds the requests that the fleet sends to a cold upstream.
//!
//! An upstream that has just started, or was without work for a while, is cold for some seconds and
//! crashes under a rate of requests that it would otherwise take. All daemons together must stay
//! below that rate, also those that are cut off from each other, and a daemon sees only its own
//! requests in time. Therefore each upstream has one owner among the daemons: while it is cold, only
//! the owner sends it requests, and no more per second than a part of the bound. The part is small
//! enough that two further daemons may believe to be the owner, because they know an older list of
//! daemons.

use super::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of daemons that may send requests to a cold upstream at the same time: the present owner
/// and those of two earlier lists of daemons.
const MAX_OWNERS_AT_ONCE: f64 = 3.0;
/// Requests are counted over one second, plus the time by which a delayed request may close up on
/// the next one.
const COUNTED_TIME: Duration = Duration::from_millis(1_100);

/// How the requests to the cold upstreams of a pool are bounded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Requests that one owner may send to a cold upstream within a second.
    pub sends_per_owner: usize,
    /// How long an upstream is cold after its start.
    pub duration: Duration,
}

/// Tolerances of the bound on requests to a cold upstream, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Factor of the service's rate.
    pub overage: f64,
    /// Additional requests per second.
    pub slack: u64,
}

impl Default for ColdTolerance {
    fn default() -> Self {
        ColdTolerance { overage: 1.0, slack: 0 }
    }
}

impl ColdBound {
    /// Creates the bound for upstreams that take `rate` requests per second while they are cold, and
    /// are cold for `duration` after their start.
    pub fn new(rate: f64, duration: Duration, tolerance: ColdTolerance) -> Self {
        let fleet = rate * tolerance.overage + tolerance.slack as f64;
        ColdBound { sends_per_owner: (fleet / MAX_OWNERS_AT_ONCE) as usize, duration }
    }
}

/// This daemon's recent requests to one upstream, and until when that upstream is cold.
#[derive(Clone, Debug, Default)]
pub struct ColdPace {
    /// End of the time for which the upstream is cold without the list saying so.
    until: Option<Moment>,
    /// Times of the last requests; at most as many as the bound allows per second.
    sends: VecDeque<Moment>,
}

impl ColdPace {
    /// Records that the upstream is cold until `until`, or that it is not cold.
    pub fn set_cold_until(&mut self, until: Option<Moment>) {
        self.until = until;
    }

    /// Returns true if the upstream is cold without the list saying so.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Records a request. Requests to a warm upstream are recorded too, because it may turn out to
    /// have been cold.
    pub fn record_send(&mut self, bound: &ColdBound, now: Moment) {
        self.sends.push_back(now);
        while self.sends.len() > bound.sends_per_owner.max(1) {
            self.sends.pop_front();
        }
    }

    /// Takes back the last recorded request, which was not sent.
    pub fn retract_send(&mut self) {
        self.sends.pop_back();
    }

    /// Returns true if the bound allows a further request to a cold upstream that this daemon owns.
    pub fn has_room(&self, bound: &ColdBound, now: Moment) -> bool {
        let counted = self.sends.iter().filter(|at| now.since(**at) < COUNTED_TIME).count();
        counted < bound.sends_per_owner
    }
}
