//! Whether a request may be sent to one more upstream.

use super::placing::PlacingRule;
use super::request::RoutedRequest;
use super::send_history::SendHistory;
use crate::table::ServiceName;
use crate::traffic::state::TrafficState;
use std::sync::Arc;

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

/// A unit of a service's retry budget, which returns to the budget unless it is spent.
pub struct RetryPermit {
    state: Arc<TrafficState>,
    service: ServiceName,
    is_spent: bool,
}

impl RetryPermit {
    /// Spends the unit, as the request is sent.
    pub fn spend(mut self) {
        self.is_spent = true;
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.is_spent {
            self.state.with_retry_budget(&self.service, |budget| budget.refund());
        }
    }
}

impl RoutedRequest {
    /// True if the request may be sent to one more upstream now; spends a unit of the retry budget.
    pub fn may_send_again(&self, service: &ServiceName, history: SendHistory) -> bool {
        let permit = self.retry_permit(service, history, PlacingRule::InForce);
        permit.map(RetryPermit::spend).is_ok()
    }

    /// Takes a unit of the retry budget for sending the request to one more upstream, or returns what
    /// stands in the way.
    pub fn retry_permit(
        &self,
        service: &ServiceName,
        history: SendHistory,
        rule: PlacingRule,
    ) -> Result<RetryPermit, RetryObstacle> {
        if let Some(obstacle) = self.retry_obstacle(history, rule) {
            return Err(obstacle);
        }
        match self.state.with_retry_budget(service, |budget| budget.try_withdraw()) {
            true => Ok(RetryPermit {
                state: Arc::clone(&self.state),
                service: service.clone(),
                is_spent: false,
            }),
            false => Err(RetryObstacle::Budget),
        }
    }

    fn retry_obstacle(&self, history: SendHistory, rule: PlacingRule) -> Option<RetryObstacle> {
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
            let held = self.state.quarantine.held_for(self.fingerprint, self.state.clock.now());
            held.map(|_| RetryObstacle::Quarantined)
        }
    }
}
