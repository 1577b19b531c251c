//! The JSON-RPC control interface, used between daemons and by operators' commands.

use super::fleet::{DaemonReport, MemberView, ReportAnswer};
use super::ledger::{ControlCommand, EditOutcome, EditRecord, TableEdit};
use super::quarantine_log::QuarantineRow;
use crate::claim::{ClaimCommand, ClaimReply};
use crate::evacuation::{EvacuationOrder, EvacuationRecord};
use crate::quarantine::RequestFingerprint;
use crate::replica::{FleetId, ReplicaEnvelope, VoterId};
use crate::rollout::{RolloutOrder, RolloutRecord, RolloutReply};
use crate::table::{CellChange, DaemonName, VersionedTable};
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// An answer that only the leader can give.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaderAnswer<T> {
    /// The leader's answer.
    Done(T),
    /// The control address of the leader to ask instead; `None` if no leader is known.
    Elsewhere(Option<SocketAddr>),
}

/// The progress of an accepted edit towards being in force on all daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EditProgress {
    /// True once the version is in force on every live daemon.
    pub is_in_force: bool,
    /// Daemons that may still admit requests under an older version.
    pub lagging: Vec<DaemonName>,
}

/// The answer to an edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// Whether the edit was accepted or conflicts with another one.
    pub outcome: EditOutcome,
    /// The progress of an accepted edit.
    pub progress: EditProgress,
}

/// A row in the output of `table history`.
pub type HistoryRow = EditRecord;

/// A voter, or a learner that is becoming one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterRow {
    /// The identity of the voter or learner.
    pub voter: VoterId,
    /// The address of its control interface.
    pub control: SocketAddr,
    /// True for a voter, false for a learner.
    pub votes: bool,
    /// The highest log index known to be stored there; reported by the leader only.
    pub matched: Option<u64>,
}

/// The answer to a request to join the voters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinAnswer {
    /// The id of the fleet.
    pub fleet: FleetId,
    /// False if operators have removed this daemon from the voters.
    pub is_accepted: bool,
}

/// What the leader does about a voter whose process is about to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VoterExit {
    /// A change of the voters is under way or due; ask again.
    Pending,
    /// It is no voter any more. It may join again once it is back.
    Left,
    /// It remains a voter while it is down, as the set would bear no more losses without it.
    Stays,
}

/// The status of one daemon and, on the leader, of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The name of the daemon.
    pub daemon: String,
    /// `leader`, `follower`, `candidate`, `joining` or `diskless`.
    pub role: String,
    /// The current term of its replica.
    pub term: u64,
    /// The control address of the leader, if known.
    pub leader: Option<SocketAddr>,
    /// The table version that its replica has applied.
    pub table_version: u64,
    /// The hash of that version.
    pub table_hash: String,
    /// Number of log entries after the snapshot.
    pub log_length: usize,
    /// The index of the last applied log entry.
    pub applied: u64,
    /// Number of stored claims.
    pub claims: usize,
    /// Number of further voters whose loss leaves a quorum; `None` without a quorum of voters that
    /// answer, and on daemons that do not lead.
    #[serde(default)]
    pub losses_borne: Option<usize>,
    /// Voters that are silent or stopping; reported by the leader only.
    #[serde(default)]
    pub absent_voters: Vec<VoterId>,
    /// The members of the fleet; reported by the leader only.
    pub members: Vec<MemberView>,
}

/// The control interface.
#[rpc(server, client, namespace = "control")]
pub trait ControlApi {
    /// Delivers a replica's message and returns the replies to its sender.
    #[method(name = "replica")]
    async fn replica(
        &self,
        envelope: ReplicaEnvelope<ControlCommand>,
    ) -> RpcResult<Vec<ReplicaEnvelope<ControlCommand>>>;

    /// Receives a daemon's report. Answered with orders once they change, or after a timeout.
    #[method(name = "report")]
    async fn report(&self, report: DaemonReport) -> RpcResult<LeaderAnswer<ReportAnswer>>;

    /// Applies claim commands, and answers once they are committed.
    #[method(name = "claims")]
    async fn claims(&self, commands: Vec<ClaimCommand>)
    -> RpcResult<LeaderAnswer<Vec<ClaimReply>>>;

    /// Asks to join the voters.
    #[method(name = "join")]
    async fn join(
        &self,
        voter: VoterId,
        control: SocketAddr,
    ) -> RpcResult<LeaderAnswer<JoinAnswer>>;

    /// Announces that the process of a voter or learner is about to end. Repeated until it ends.
    #[method(name = "voter_stopping")]
    async fn voter_stopping(&self, voter: VoterId) -> RpcResult<LeaderAnswer<VoterExit>>;

    /// Returns the id of the fleet to which this daemon belongs, if any.
    #[method(name = "fleet")]
    async fn fleet(&self) -> RpcResult<Option<FleetId>>;

    /// Applies an edit. With `wait`, answers once it is in force or after a few seconds.
    #[method(name = "apply")]
    async fn apply(&self, edit: TableEdit, wait: bool) -> RpcResult<LeaderAnswer<ApplyAnswer>>;

    /// Returns the table in force, or an older version that is still stored.
    #[method(name = "table")]
    async fn table(&self, version: Option<u64>) -> RpcResult<LeaderAnswer<Option<VersionedTable>>>;

    /// Returns the newest table that this daemon knows to be committed. Called by earlier builds.
    #[method(name = "known_table")]
    async fn known_table(&self) -> RpcResult<Option<VersionedTable>>;

    /// Returns the newest table that this daemon knows to be committed, packed, if its version is
    /// above `known`. A still newer one may exist.
    #[method(name = "newer_table")]
    async fn newer_table(&self, known: u64) -> RpcResult<Option<Arc<str>>>;

    /// Returns the number of daemons on the member list that this daemon knows.
    #[method(name = "fleet_size")]
    async fn fleet_size(&self) -> RpcResult<usize>;

    /// Returns the control addresses of the members that serve callers, as far as this daemon knows.
    /// Some may have ended.
    #[method(name = "serving_members")]
    async fn serving_members(&self) -> RpcResult<Vec<SocketAddr>>;

    /// Returns the difference between two stored versions.
    #[method(name = "diff")]
    async fn diff(
        &self,
        before: u64,
        after: u64,
    ) -> RpcResult<LeaderAnswer<Option<Vec<CellChange>>>>;

    /// Returns at most `most` accepted edits, newest first.
    #[method(name = "history")]
    async fn history(&self, most: usize) -> RpcResult<LeaderAnswer<Vec<HistoryRow>>>;

    /// Lists voters and learners.
    #[method(name = "voters")]
    async fn voters(&self) -> RpcResult<LeaderAnswer<Vec<VoterRow>>>;

    /// Allows a daemon to become a voter, or removes it from the voters.
    #[method(name = "voter_rule")]
    async fn voter_rule(
        &self,
        daemon: DaemonName,
        allowed: bool,
    ) -> RpcResult<LeaderAnswer<Vec<VoterRow>>>;

    /// Lists quarantined contents.
    #[method(name = "quarantine")]
    async fn quarantine(&self) -> RpcResult<LeaderAnswer<Vec<QuarantineRow>>>;

    /// Releases a content from quarantine, and returns those that remain.
    #[method(name = "release")]
    async fn release(
        &self,
        request: RequestFingerprint,
    ) -> RpcResult<LeaderAnswer<Vec<QuarantineRow>>>;

    /// Begins a rollout, and answers once a quorum has stored the order.
    #[method(name = "rollout")]
    async fn rollout(&self, order: RolloutOrder) -> RpcResult<LeaderAnswer<RolloutReply>>;

    /// Returns the newest rollout of each service.
    #[method(name = "rollouts")]
    async fn rollouts(&self) -> RpcResult<LeaderAnswer<Vec<RolloutRecord>>>;

    /// Evacuates a data centre or returns it to use, and answers once a quorum has stored the
    /// order.
    #[method(name = "evacuate")]
    async fn evacuate(&self, order: EvacuationOrder) -> RpcResult<LeaderAnswer<EvacuationRecord>>;

    /// Returns the stage of each data centre that was ever evacuated.
    #[method(name = "evacuations")]
    async fn evacuations(&self) -> RpcResult<LeaderAnswer<Vec<EvacuationRecord>>>;

    /// Returns the status of this daemon.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<DaemonStatus>;

    /// Starts draining this daemon.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<()>;
}
