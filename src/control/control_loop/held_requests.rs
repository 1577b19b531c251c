//! Operators' requests that wait until it is known who leads.
//!
//! An operator that is refused pauses, each time for longer, while a leader may be elected within
//! milliseconds.

use super::ControlLoop;
use crate::control::leader_route::{LeaderRoute, leader_route};
use crate::control::requests::ControlRequest;
use crate::policy::Moment;
use slog::info;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum time for which a request is held, below the timeout of those who ask.
const MAX_HOLD: Duration = Duration::from_millis(800);

/// A request and the time since which it is held.
pub struct HeldRequest {
    request: ControlRequest,
    since: Moment,
}

fn is_from_operator(request: &ControlRequest) -> bool {
    matches!(
        request,
        ControlRequest::Replace { .. }
            | ControlRequest::Rollout { .. }
            | ControlRequest::Rollouts { .. }
            | ControlRequest::Evacuate { .. }
            | ControlRequest::Evacuations { .. }
            | ControlRequest::Table { .. }
    )
}

impl ControlLoop {
    /// Where an operator's request is to go; `None` on a daemon that is no member of the voters.
    fn leader_route(&self) -> Option<LeaderRoute> {
        let core = self.core.as_ref()?;
        Some(leader_route(core, self.named_voters, self.now()))
    }

    fn is_unsettled(&self) -> bool {
        self.leader_route() == Some(LeaderRoute::Unsettled)
    }

    /// The address to which an operator's request is sent, if this daemon cannot decide it.
    pub(super) fn operators_leader(&mut self) -> Option<SocketAddr> {
        let Some(LeaderRoute::Elsewhere(voter)) = self.leader_route() else { return None };
        self.named_voters = self.named_voters.wrapping_add(1);
        self.address_of(&voter)
    }

    /// Holds an operator's request while it is not known who leads; returns any other.
    pub(super) fn hold_if_unsettled(&mut self, request: ControlRequest) -> Option<ControlRequest> {
        if !is_from_operator(&request) || !self.is_unsettled() {
            return Some(request);
        }
        self.hold(request);
        None
    }

    pub(super) fn hold(&mut self, request: ControlRequest) {
        let since = self.now();
        self.held_requests.push(HeldRequest { request, since });
    }

    /// Decides the held requests once it is known who leads, and those that have been held for too
    /// long.
    pub(super) fn retry_held(&mut self) {
        if self.held_requests.is_empty() {
            return;
        }
        let (now, is_unsettled) = (self.now(), self.is_unsettled());
        let is_over = |held: &mut HeldRequest| !is_unsettled || now.since(held.since) >= MAX_HOLD;
        let over: Vec<HeldRequest> = self.held_requests.extract_if(.., is_over).collect();
        for HeldRequest { request, since } in over {
            info!(self.setup.log, "operator request was held"; "held_ms" => now.since(since).as_millis() as u64,
                "leader_known" => !is_unsettled);
            self.decide(request);
        }
        self.propose_pending();
    }
}
