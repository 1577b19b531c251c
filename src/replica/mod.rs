//! The replicated log, pure: messages and time in, records to sync and messages out.
//!
//! Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, a leader lease on monotonic time
//! and changes of one voter at a time (Ongaro's thesis, chapters 4, 6 and 9). The driver must sync
//! what [`ReplicaOutput`] asks to keep before it sends the messages or acts on the commits beside it.

mod core;
mod election;
mod log;
mod membership;
mod messages;
mod replication;

pub use self::core::{ReplicaConfig, ReplicaCore, ReplicaOutput, ReplicaRole, ReplicaStart};
pub use log::{EntryPayload, LogEntry, LogPosition, MemoryLog};
pub use membership::{FleetId, FleetMembership, VoterId};
pub use messages::{HardState, ReplicaEnvelope, ReplicaMessage, SnapshotRecord};

use snafu::Snafu;

/// Why a proposal was not taken.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ProposalFault {
    /// This replica does not lead; the leader, if known, does.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// Who leads, as far as this replica knows.
        leader: Option<VoterId>,
    },
    /// A change of voters is under way, or the leader has not yet committed in its term.
    #[snafu(display("a change of voters is under way"))]
    ChangePending,
}
