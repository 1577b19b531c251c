//! Callers that wait for an event in the control loop.

use super::fleet::ReportAnswer;
use super::held_reports::HeldReports;
use super::ledger::{NumberedOutcome, NumberedTable};
use super::quarantine_log::QuarantineRow;
use super::requests::ControlRequest;
use super::rpc::{ApplyAnswer, LeaderAnswer, VoterRow};
use crate::claim::ClaimReply;
use crate::evacuation::{EvacuationOrder, EvacuationRecord};
use crate::policy::Moment;
use crate::rollout::{RolloutOrder, RolloutReply};
use crate::table::DaemonName;
use std::collections::VecDeque;
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// Channel for an answer that only the leader can give.
pub type LeaderReplySender<T> = oneshot::Sender<LeaderAnswer<T>>;

/// A caller that waits until its log entries are applied.
pub enum EntryWaiter {
    Edit {
        wait: bool,
        reply: LeaderReplySender<ApplyAnswer>,
    },
    Replace {
        numbered: Box<NumberedTable>,
        /// One for each copy of the order.
        replies: Vec<LeaderReplySender<NumberedOutcome>>,
    },
    Claims {
        replies: Vec<ClaimReply>,
        entries_left: usize,
        reply: LeaderReplySender<Vec<ClaimReply>>,
    },
    Voters {
        reply: LeaderReplySender<Vec<VoterRow>>,
    },
    Quarantine {
        reply: LeaderReplySender<Vec<QuarantineRow>>,
    },
    Rollout {
        order: RolloutOrder,
        reply: LeaderReplySender<RolloutReply>,
    },
    Evacuation {
        order: EvacuationOrder,
        reply: LeaderReplySender<EvacuationRecord>,
    },
    NoReply,
}

/// A daemon's report whose answer is held until its orders change.
pub struct HeldReport {
    pub daemon: DaemonName,
    pub has_lease: bool,
    /// True if the daemon takes no shares and floors, so that only a newer table warrants an
    /// answer.
    pub divides_alone: bool,
    pub knows_serving: u64,
    pub takes_serving_changes: bool,
    pub wants_suspects: bool,
    /// Digest of the rollouts known to the daemon.
    pub knows_rollouts: u64,
    /// Digest of the evacuated data centres known to the daemon.
    pub knows_evacuated: u64,
    pub version: u64,
    pub since: Moment,
    pub reply: LeaderReplySender<ReportAnswer>,
}

/// A caller that waits until its accepted edit is in force.
pub struct InForceWaiter {
    pub answer: ApplyAnswer,
    pub version: u64,
    pub until: Moment,
    pub reply: LeaderReplySender<ApplyAnswer>,
}

/// All waiting callers.
#[derive(Default)]
pub struct WaiterTable {
    /// Index of the last entry, the term in which it was proposed, and the waiting caller; ordered
    /// by index.
    pub entries: VecDeque<(u64, u64, EntryWaiter)>,
    pub reports: HeldReports,
    pub in_force: Vec<InForceWaiter>,
}

impl EntryWaiter {
    /// Redirects the caller to `leader`.
    pub fn redirect(self, leader: Option<SocketAddr>) {
        match self {
            EntryWaiter::Edit { reply, .. } => drop(reply.send(LeaderAnswer::Elsewhere(leader))),
            EntryWaiter::Replace { replies, .. } => replies.into_iter().for_each(|reply| {
                let _ = reply.send(LeaderAnswer::Elsewhere(leader));
            }),
            EntryWaiter::Claims { reply, .. } => drop(reply.send(LeaderAnswer::Elsewhere(leader))),
            EntryWaiter::Voters { reply } => drop(reply.send(LeaderAnswer::Elsewhere(leader))),
            EntryWaiter::Quarantine { reply } => drop(reply.send(LeaderAnswer::Elsewhere(leader))),
            EntryWaiter::Rollout { reply, .. } => drop(reply.send(LeaderAnswer::Elsewhere(leader))),
            EntryWaiter::Evacuation { reply, .. } => {
                drop(reply.send(LeaderAnswer::Elsewhere(leader)))
            }
            EntryWaiter::NoReply => {}
        }
    }

    /// The requests of operators who wait, to be decided anew; the waiter itself if it is no
    /// operator's order or cannot be given twice.
    pub fn into_requests(self) -> Result<Vec<ControlRequest>, Self> {
        match self {
            EntryWaiter::Replace { numbered, replies } => Ok(replies
                .into_iter()
                .map(|reply| ControlRequest::Replace { numbered: numbered.clone(), reply })
                .collect()),
            EntryWaiter::Rollout { order, reply } => {
                Ok(vec![ControlRequest::Rollout { order, reply }])
            }
            EntryWaiter::Evacuation { order, reply } => {
                Ok(vec![ControlRequest::Evacuate { order, reply }])
            }
            waiter => Err(waiter),
        }
    }

    /// Number of entries for which the caller waits.
    pub fn entry_count(&self) -> usize {
        if let EntryWaiter::Claims { entries_left, .. } = self { *entries_left } else { 1 }
    }
}
