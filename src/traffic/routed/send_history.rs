//! The sends of a request, and whether one of them may have run it.

use super::attempt::SendError;
use crate::traffic::relay::RelayTicket;

/// The sends of one request so far. A send counts as a possible run until its end proves the
/// contrary.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendHistory {
    /// Sends, without those that wrote no byte.
    sent: u32,
    /// Sends that the upstream declared not to have run.
    not_run: u32,
}

impl SendHistory {
    /// The sends of a request at the peer that has passed it on.
    pub fn of_ticket(ticket: &RelayTicket) -> Self {
        SendHistory { sent: ticket.sent, not_run: ticket.not_run.min(ticket.sent) }
    }

    /// Number of upstreams that the request was sent to.
    pub fn sent(self) -> u32 {
        self.sent
    }

    /// Number of those that declared not to have run the request.
    pub fn not_run(self) -> u32 {
        self.not_run
    }

    /// Takes back a send to a peer that has not sent the request to any upstream that ran it.
    pub fn retract_send(&mut self) {
        self.sent -= 1;
    }

    /// True if one of them may have run the request.
    pub fn may_have_run(self) -> bool {
        self.possible_runs() > 0
    }

    /// Number of sends that may have run the request.
    pub fn possible_runs(self) -> u32 {
        self.sent - self.not_run
    }

    /// Counts a send, before its first byte is written.
    pub fn begin_send(&mut self) {
        self.sent += 1;
    }

    /// Takes the end of the last send into account. Without this call it stays a possible run.
    pub fn end_send(&mut self, error: &SendError) {
        match error {
            SendError::NotSent(_) => self.retract_send(),
            SendError::NotRun { .. } => self.not_run += 1,
            SendError::UnprovenStatus(_)
            | SendError::ConnectionBroken(_)
            | SendError::Unanswered(_)
            | SendError::NoUsableAnswer(_) => {}
        }
    }
}
