//! Who waits for what in the control loop.

use super::fleet::ReportAnswer;
use super::ledger::NumberedOutcome;
use super::quarantine_log::QuarantineRow;
use super::rpc::{ApplyAnswer, LeaderAnswer, VoterRow};
use crate::claim::ClaimReply;
use crate::policy::Moment;
use crate::rollout::RolloutReply;
use crate::table::DaemonName;
use std::collections::VecDeque;
use std::net::SocketAddr;
use tokio::sync::oneshot;

/// Where an answer that only the leader can give goes.
pub type ReplyTo<T> = oneshot::Sender<LeaderAnswer<T>>;

/// Who waits for an entry to be applied.
pub enum EntryWaiter {
    Edit { wait: bool, reply: ReplyTo<ApplyAnswer> },
    Replace { reply: ReplyTo<NumberedOutcome> },
    Claims { replies: Vec<ClaimReply>, left: usize, reply: ReplyTo<Vec<ClaimReply>> },
    Voters { reply: ReplyTo<Vec<VoterRow>> },
    Quarantine { reply: ReplyTo<Vec<QuarantineRow>> },
    Rollout { reply: ReplyTo<RolloutReply> },
    Nobody,
}

/// A report that is held until its orders change.
pub struct HeldReport {
    pub daemon: DaemonName,
    pub has_lease: bool,
    /// True if only a newer table is news to the daemon: it takes no shares and floors.
    pub divides_alone: bool,
    pub knows_serving: u64,
    pub wants_suspects: bool,
    /// Digest of the roll-outs that the daemon knows.
    pub knows_rollouts: u64,
    pub version: u64,
    pub since: Moment,
    pub reply: ReplyTo<ReportAnswer>,
}

/// An accepted edit that waits until it is in force.
pub struct ForceWait {
    pub answer: ApplyAnswer,
    pub version: u64,
    pub until: Moment,
    pub reply: ReplyTo<ApplyAnswer>,
}

/// Everybody who waits for something.
#[derive(Default)]
pub struct Waiting {
    /// By the index of the last entry waited for, with the term it was proposed in.
    pub entries: VecDeque<(u64, u64, EntryWaiter)>,
    pub reports: Vec<HeldReport>,
    pub force: Vec<ForceWait>,
}

impl EntryWaiter {
    /// Tells the waiter to ask elsewhere.
    pub fn elsewhere(self, leader: Option<SocketAddr>) {
        match self {
            EntryWaiter::Edit { reply, .. } => drop(reply.send(LeaderAnswer::Elsewhere(leader))),
            EntryWaiter::Replace { reply } => drop(reply.send(LeaderAnswer::Elsewhere(leader))),
            EntryWaiter::Claims { reply, .. } => drop(reply.send(LeaderAnswer::Elsewhere(leader))),
            EntryWaiter::Voters { reply } => drop(reply.send(LeaderAnswer::Elsewhere(leader))),
            EntryWaiter::Quarantine { reply } => drop(reply.send(LeaderAnswer::Elsewhere(leader))),
            EntryWaiter::Rollout { reply } => drop(reply.send(LeaderAnswer::Elsewhere(leader))),
            EntryWaiter::Nobody => {}
        }
    }

    /// Entries that the waiter waits for.
    pub fn entry_count(&self) -> usize {
        if let EntryWaiter::Claims { left, .. } = self { *left } else { 1 }
    }
}
