//! The replicated log, without I/O: its inputs are messages and the time, its outputs are records
//! to sync and messages to send.
//!
//! Implements Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, a leader lease on
//! monotonic time and single-server membership changes (Ongaro's thesis, chapters 4, 6 and 9). The
//! driver must sync the records in a [`ReplicaOutput`] before it sends the messages or applies the
//! committed entries of the same output.

mod core;
mod election;
mod log;
mod membership;
mod messages;
mod replication;
mod transfer;

pub use self::core::{
    InitialState, LeadershipEnd, ReplicaConfig, ReplicaCore, ReplicaLag, ReplicaOutput, ReplicaRole,
};
pub use log::{EntryPayload, LogEntry, LogPosition, MemoryLog, ReplicatedCommand};
pub use membership::{FleetId, FleetMembership, VoterId};
pub use messages::{HardState, ReplicaEnvelope, ReplicaMessage, SnapshotPart, SnapshotRecord};

use snafu::Snafu;

/// Error returned for a rejected proposal.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ProposalError {
    /// This replica is not the leader.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// The current leader, if known.
        leader: Option<VoterId>,
    },
    /// A membership change is uncommitted, or the leader has not yet committed an entry of its
    /// term.
    #[snafu(display("a membership change is in progress"))]
    ChangePending,
}
