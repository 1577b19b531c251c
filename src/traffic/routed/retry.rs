//! Whether a request may be sent to one more upstream.

use super::placing::PlacingRule;
use super::request::RoutedRequest;
use super::send_history::SendHistory;
use crate::table::ServiceName;

/// What stands in the way of sending a request once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryObstacle {
    /// It may have run, and its route does not allow a second run.
    RunsOnce,
    /// A peer has passed it on and repeats it itself.
    LeftToPeer,
    /// It is quarantined.
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

    /// True if the obstacle stays for the life of the request.
    pub fn is_final(self) -> bool {
        match self {
            RetryObstacle::RunsOnce
            | RetryObstacle::LeftToPeer
            | RetryObstacle::Attempts
            | RetryObstacle::Deadline => true,
            RetryObstacle::Quarantined | RetryObstacle::Budget => false,
        }
    }
}

impl RoutedRequest {
    /// True if the request may be sent to one more upstream now; spends a unit of the retry budget.
    pub fn may_send_again(&self, service: &ServiceName, history: SendHistory) -> bool {
        self.withdraw_retry(service, history, PlacingRule::InForce).is_ok()
    }

    /// Spends a unit of the retry budget for sending the request to one more upstream, or returns what
    /// stands in the way.
    pub fn withdraw_retry(
        &self,
        service: &ServiceName,
        history: SendHistory,
        rule: PlacingRule,
    ) -> Result<(), RetryObstacle> {
        if let Some(obstacle) = self.retry_obstacle(service, history, rule) {
            return Err(obstacle);
        }
        match self.state.with_retry_budget(service, |budget| budget.try_withdraw()) {
            true => Ok(()),
            false => Err(RetryObstacle::Budget),
        }
    }

    /// Returns what stands in the way of a retry now, without spending any of the budget.
    pub fn check_retry(
        &self,
        service: &ServiceName,
        history: SendHistory,
        rule: PlacingRule,
    ) -> Result<(), RetryObstacle> {
        let has_budget = self.state.with_retry_budget(service, |budget| budget.has_retry());
        match self.retry_obstacle(service, history, rule) {
            Some(obstacle) => Err(obstacle),
            None if !has_budget => Err(RetryObstacle::Budget),
            None => Ok(()),
        }
    }

    fn retry_obstacle(
        &self,
        service: &ServiceName,
        history: SendHistory,
        rule: PlacingRule,
    ) -> Option<RetryObstacle> {
        let is_allowed = !history.may_have_run() || self.route.kind.may_repeat();
        // The daemon that passed the request on repeats it, as it counts the sends of all peers.
        let has_run_here =
            self.ticket.is_some_and(|ticket| history.possible_runs() > ticket.possible_runs());
        if !is_allowed {
            Some(RetryObstacle::RunsOnce)
        } else if has_run_here {
            Some(RetryObstacle::LeftToPeer)
        } else if rule.counted_sends(history) >= self.route.attempts {
            Some(RetryObstacle::Attempts)
        } else if self.time_left().is_zero() {
            Some(RetryObstacle::Deadline)
        } else {
            self.held_for(service).map(|_| RetryObstacle::Quarantined)
        }
    }
}
