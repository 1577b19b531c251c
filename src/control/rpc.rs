//! The control interface: between daemons, and from operators' commands. Carried by jsonrpsee.

use super::fleet::{DaemonReport, MemberView, ReportAnswer};
use super::ledger::{ControlCommand, EditOutcome, EditRecord, TableEdit};
use super::quarantine_log::QuarantineRow;
use crate::claim::{ClaimCommand, ClaimReply};
use crate::quarantine::RequestFingerprint;
use crate::replica::{FleetId, ReplicaEnvelope, VoterId};
use crate::rollout::{RolloutOrder, RolloutRecord, RolloutReply};
use crate::table::{CellChange, DaemonName, VersionedTable};
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An answer that only the leader can give.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaderAnswer<T> {
    /// The leader's answer.
    Done(T),
    /// Ask there; none if no leader is known now.
    Elsewhere(Option<SocketAddr>),
}

/// How far an accepted edit has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EditProgress {
    /// True once every live daemon has the version in force.
    pub is_in_force: bool,
    /// Daemons that may still admit under an older version.
    pub lagging: Vec<DaemonName>,
}

/// The answer to an edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ApplyAnswer {
    /// Accepted or in conflict.
    pub outcome: EditOutcome,
    /// For accepted edits, how far they have come.
    pub progress: EditProgress,
}

/// A row of `table history`.
pub type HistoryRow = EditRecord;

/// A voter, or a learner on its way to become one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterRow {
    /// Its identity.
    pub voter: VoterId,
    /// Its control address.
    pub control: SocketAddr,
    /// True for a voter, false for a learner.
    pub votes: bool,
    /// The last log index known to be kept there; on the leader only.
    pub matched: Option<u64>,
}

/// The answer to a voter that asks to join.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinAnswer {
    /// The fleet.
    pub fleet: FleetId,
    /// False if operators have removed this daemon from the voters.
    pub is_accepted: bool,
}

/// One daemon's view of itself and, on the leader, of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The daemon.
    pub daemon: String,
    /// `leader`, `follower`, `candidate`, `joining` or `diskless`.
    pub role: String,
    /// Its term.
    pub term: u64,
    /// The leader's control address, as far as it knows.
    pub leader: Option<SocketAddr>,
    /// The version its replica has applied.
    pub table_version: u64,
    /// The version's hash.
    pub table_hash: String,
    /// Entries behind the snapshot.
    pub log_length: usize,
    /// The last applied index.
    pub applied: u64,
    /// Claims kept.
    pub claims: usize,
    /// The fleet's members; on the leader only.
    pub members: Vec<MemberView>,
}

/// The control interface.
#[rpc(server, client, namespace = "control")]
pub trait ControlApi {
    /// A replica's message; the answer is the replies to its sender.
    #[method(name = "replica")]
    async fn replica(
        &self,
        envelope: ReplicaEnvelope<ControlCommand>,
    ) -> RpcResult<Vec<ReplicaEnvelope<ControlCommand>>>;

    /// A daemon's report, answered with orders when they change or after a while.
    #[method(name = "report")]
    async fn report(&self, report: DaemonReport) -> RpcResult<LeaderAnswer<ReportAnswer>>;

    /// Claims, answered once they are committed.
    #[method(name = "claims")]
    async fn claims(&self, commands: Vec<ClaimCommand>)
    -> RpcResult<LeaderAnswer<Vec<ClaimReply>>>;

    /// A voter asks to join.
    #[method(name = "join")]
    async fn join(
        &self,
        voter: VoterId,
        control: SocketAddr,
    ) -> RpcResult<LeaderAnswer<JoinAnswer>>;

    /// The fleet this daemon belongs to, if any.
    #[method(name = "fleet")]
    async fn fleet(&self) -> RpcResult<Option<FleetId>>;

    /// Applies an edit; with `wait`, answers once it is in force or a few seconds have passed.
    #[method(name = "apply")]
    async fn apply(&self, edit: TableEdit, wait: bool) -> RpcResult<LeaderAnswer<ApplyAnswer>>;

    /// The table in force, or an older version that is still kept.
    #[method(name = "table")]
    async fn table(&self, version: Option<u64>) -> RpcResult<LeaderAnswer<Option<VersionedTable>>>;

    /// The newest table that this daemon knows to be committed; there may be a newer one.
    #[method(name = "known_table")]
    async fn known_table(&self) -> RpcResult<Option<VersionedTable>>;

    /// The difference between two versions that are still kept.
    #[method(name = "diff")]
    async fn diff(
        &self,
        before: u64,
        after: u64,
    ) -> RpcResult<LeaderAnswer<Option<Vec<CellChange>>>>;

    /// Accepted edits, newest first.
    #[method(name = "history")]
    async fn history(&self, most: usize) -> RpcResult<LeaderAnswer<Vec<HistoryRow>>>;

    /// Voters and learners.
    #[method(name = "voters")]
    async fn voters(&self) -> RpcResult<LeaderAnswer<Vec<VoterRow>>>;

    /// Lets a daemon become a voter, or removes it from the voters.
    #[method(name = "voter_rule")]
    async fn voter_rule(
        &self,
        daemon: DaemonName,
        allowed: bool,
    ) -> RpcResult<LeaderAnswer<Vec<VoterRow>>>;

    /// Contents that are held back.
    #[method(name = "quarantine")]
    async fn quarantine(&self) -> RpcResult<LeaderAnswer<Vec<QuarantineRow>>>;

    /// Lets a content through; the answer is what is held back after that.
    #[method(name = "release")]
    async fn release(
        &self,
        request: RequestFingerprint,
    ) -> RpcResult<LeaderAnswer<Vec<QuarantineRow>>>;

    /// Orders a roll-out; answered once a quorum has kept it.
    #[method(name = "rollout")]
    async fn rollout(&self, order: RolloutOrder) -> RpcResult<LeaderAnswer<RolloutReply>>;

    /// The newest roll-out of each service.
    #[method(name = "rollouts")]
    async fn rollouts(&self) -> RpcResult<LeaderAnswer<Vec<RolloutRecord>>>;

    /// This daemon's status.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<DaemonStatus>;

    /// Begins this daemon's drain.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<()>;
}
