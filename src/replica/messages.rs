//! Messages between replicas, and the records that they store.

use super::log::{LogEntry, LogPosition, ReplicatedCommand};
use super::membership::{FleetId, FleetMembership, VoterId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// State that a replica must persist in addition to its log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: u64,
    /// The candidate that received its vote in that term.
    pub vote: Option<VoterId>,
}

/// A stored snapshot of the state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// Position of the last entry covered.
    pub at: LogPosition,
    /// The membership at that position.
    pub membership: FleetMembership,
    /// The serialised state machine.
    pub state: Arc<str>,
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReplicaMessage<C> {
    /// Asks whether the receiver would vote for the sender in the next term; changes no state at
    /// the receiver.
    PreVote {
        /// Position of the sender's last entry.
        last: LogPosition,
    },
    /// Reply to [`ReplicaMessage::PreVote`].
    PreVoteReply {
        /// True if the receiver would vote for the candidate.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Position of the sender's last entry.
        last: LogPosition,
    },
    /// Reply to [`ReplicaMessage::Vote`].
    VoteReply {
        /// True if the vote was granted.
        granted: bool,
    },
    /// Entries to append; a heartbeat if there are none.
    Append {
        /// Position of the entry before the first one sent.
        previous: LogPosition,
        /// The entries to append.
        entries: Vec<LogEntry<C>>,
        /// The leader's commit index.
        commit: u64,
        /// Number of the heartbeat round, echoed in the reply; the lease starts when the round was
        /// sent.
        round: u64,
    },
    /// Reply to [`ReplicaMessage::Append`] and [`ReplicaMessage::Snapshot`].
    AppendReply {
        /// True if the log matches at the preceding entry.
        accepted: bool,
        /// The last matching index if accepted, otherwise the index after which to retry.
        index: u64,
        /// Number of the heartbeat round.
        round: u64,
    },
    /// A snapshot for a member whose next entry has been compacted.
    Snapshot {
        /// The snapshot.
        snapshot: SnapshotRecord,
        /// Number of the heartbeat round.
        round: u64,
    },
    /// A part of a snapshot that is too large for one message.
    SnapshotPart {
        /// The part.
        part: SnapshotPart,
        /// Number of the heartbeat round.
        round: u64,
    },
    /// Reply to [`ReplicaMessage::SnapshotPart`], unless the part completed the snapshot.
    SnapshotPartReply {
        /// Position of the snapshot.
        at: LogPosition,
        /// Number of bytes received, and offset of the part to send next.
        received: usize,
        /// Number of the heartbeat round.
        round: u64,
    },
}

/// A part of a [`SnapshotRecord`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Position of the last entry covered by the snapshot.
    pub at: LogPosition,
    /// The membership at that position.
    pub membership: FleetMembership,
    /// Offset of this part in the serialised state machine, in bytes.
    pub offset: usize,
    /// This part of the serialised state machine.
    pub text: String,
    /// True for the last part.
    pub is_last: bool,
}

impl<C: ReplicatedCommand> ReplicaMessage<C> {
    /// Approximate size of the entries or the snapshot in the message, in bytes.
    pub fn size_bytes(&self) -> usize {
        match self {
            ReplicaMessage::Append { entries, .. } => {
                entries.iter().map(LogEntry::size_bytes).sum()
            }
            ReplicaMessage::Snapshot { snapshot, .. } => snapshot.state.len(),
            ReplicaMessage::SnapshotPart { part, .. } => part.text.len(),
            _ => 0,
        }
    }
}

/// A message with its sender, receiver and term.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaEnvelope<C> {
    /// The fleet.
    pub fleet: FleetId,
    /// The sender.
    pub from: VoterId,
    /// The receiver.
    pub to: VoterId,
    /// The sender's term; for a pre-vote, the term of the election it would start.
    pub term: u64,
    /// The message.
    pub message: ReplicaMessage<C>,
}
