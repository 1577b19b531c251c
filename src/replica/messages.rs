//! Messages between replicas, and the records they keep.

use super::log::{LogEntry, LogPosition};
use super::membership::{FleetId, FleetMembership, VoterId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What a replica must remember over a restart beside its log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term seen.
    pub term: u64,
    /// Whom it voted for in that term.
    pub vote: Option<VoterId>,
}

/// A snapshot of the state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The last entry it covers.
    pub at: LogPosition,
    /// The membership then.
    pub membership: FleetMembership,
    /// The state machine as text.
    pub state: Arc<str>,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaMessage<C> {
    /// Would you vote for me in the next term? Changes nothing at either end.
    PreVote {
        /// The sender's last entry.
        last: LogPosition,
    },
    /// The answer.
    PreVoteReply {
        /// Yes or no.
        granted: bool,
    },
    /// Vote for me.
    Vote {
        /// The sender's last entry.
        last: LogPosition,
    },
    /// The answer.
    VoteReply {
        /// Yes or no.
        granted: bool,
    },
    /// Entries, or none as a heartbeat.
    Append {
        /// The entry before the first one sent.
        previous: LogPosition,
        /// Entries.
        entries: Vec<LogEntry<C>>,
        /// The leader's commit index.
        commit: u64,
        /// The heartbeat's number, echoed in the answer; the lease counts from when it was sent.
        round: u64,
    },
    /// The answer.
    AppendReply {
        /// True if the entries fit.
        accepted: bool,
        /// The last index that matches, or a hint where to try next.
        index: u64,
        /// The heartbeat's number.
        round: u64,
    },
    /// A snapshot, for a follower whose next entry is no longer in the log.
    Snapshot {
        /// The snapshot.
        snapshot: SnapshotRecord,
        /// The heartbeat's number.
        round: u64,
    },
}

/// A message with its way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaEnvelope<C> {
    /// The fleet.
    pub fleet: FleetId,
    /// The sender.
    pub from: VoterId,
    /// The receiver.
    pub to: VoterId,
    /// The sender's term; for a pre-vote, the term it would begin.
    pub term: u64,
    /// The message.
    pub message: ReplicaMessage<C>,
}
