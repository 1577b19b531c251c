//! Requests to the control loop, and the handle that sends them.

use super::fleet::{DaemonReport, ReportAnswer};
use super::ledger::{ControlCommand, NumberedOutcome, NumberedTable, TableEdit};
use super::quarantine_log::QuarantineRow;
use super::rpc::{
    ApplyAnswer, DaemonStatus, HistoryRow, JoinAnswer, LeaderAnswer, VoterExit, VoterRow,
};
use crate::claim::{ClaimCommand, ClaimReply};
use crate::evacuation::{EvacuationOrder, EvacuationRecord};
use crate::quarantine::RequestFingerprint;
use crate::replica::{FleetId, ReplicaEnvelope, VoterId};
use crate::rollout::{RolloutOrder, RolloutRecord, RolloutReply};
use crate::table::{CellChange, DaemonName, VersionedTable};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};

/// A request to the control loop.
#[derive(Debug)]
#[allow(missing_docs)]
pub enum ControlRequest {
    Replica {
        envelope: Box<ReplicaEnvelope<ControlCommand>>,
        reply: oneshot::Sender<Vec<ReplicaEnvelope<ControlCommand>>>,
    },
    Report {
        report: DaemonReport,
        reply: oneshot::Sender<LeaderAnswer<ReportAnswer>>,
    },
    Claims {
        commands: Vec<ClaimCommand>,
        reply: oneshot::Sender<LeaderAnswer<Vec<ClaimReply>>>,
    },
    Join {
        voter: VoterId,
        control: SocketAddr,
        reply: oneshot::Sender<LeaderAnswer<JoinAnswer>>,
    },
    VoterStopping {
        voter: VoterId,
        reply: oneshot::Sender<LeaderAnswer<VoterExit>>,
    },
    Fleet {
        reply: oneshot::Sender<Option<FleetId>>,
    },
    Apply {
        edit: Box<TableEdit>,
        wait: bool,
        reply: oneshot::Sender<LeaderAnswer<ApplyAnswer>>,
    },
    Replace {
        numbered: Box<NumberedTable>,
        reply: oneshot::Sender<LeaderAnswer<NumberedOutcome>>,
    },
    FleetSize {
        reply: oneshot::Sender<usize>,
    },
    ServingMembers {
        reply: oneshot::Sender<Vec<SocketAddr>>,
    },
    KnownTable {
        reply: oneshot::Sender<Option<VersionedTable>>,
    },
    NewerTable {
        known: u64,
        reply: oneshot::Sender<Option<Arc<str>>>,
    },
    Table {
        version: Option<u64>,
        reply: oneshot::Sender<LeaderAnswer<Option<VersionedTable>>>,
    },
    Diff {
        before: u64,
        after: u64,
        reply: oneshot::Sender<LeaderAnswer<Option<Vec<CellChange>>>>,
    },
    History {
        most: usize,
        reply: oneshot::Sender<LeaderAnswer<Vec<HistoryRow>>>,
    },
    Voters {
        reply: oneshot::Sender<LeaderAnswer<Vec<VoterRow>>>,
    },
    VoterRule {
        daemon: DaemonName,
        allowed: bool,
        reply: oneshot::Sender<LeaderAnswer<Vec<VoterRow>>>,
    },
    Quarantine {
        reply: oneshot::Sender<LeaderAnswer<Vec<QuarantineRow>>>,
    },
    Release {
        request: RequestFingerprint,
        reply: oneshot::Sender<LeaderAnswer<Vec<QuarantineRow>>>,
    },
    Rollout {
        order: RolloutOrder,
        reply: oneshot::Sender<LeaderAnswer<RolloutReply>>,
    },
    Rollouts {
        reply: oneshot::Sender<LeaderAnswer<Vec<RolloutRecord>>>,
    },
    Evacuate {
        order: EvacuationOrder,
        reply: oneshot::Sender<LeaderAnswer<EvacuationRecord>>,
    },
    Evacuations {
        reply: oneshot::Sender<LeaderAnswer<Vec<EvacuationRecord>>>,
    },
    Status {
        reply: oneshot::Sender<DaemonStatus>,
    },
    Drain {
        reply: oneshot::Sender<()>,
    },
}

/// A handle for sending requests to the control loop.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    pub(super) sender: mpsc::UnboundedSender<ControlRequest>,
    /// True once it is known whether the voters do without this daemon while it is down.
    pub(super) exit_decided: watch::Receiver<bool>,
}

impl ControlHandle {
    /// Resolves once the leader has decided whether this daemon remains a voter while it is down.
    pub async fn exit_decided(&self) {
        let mut decided = self.exit_decided.clone();
        let _ = decided.wait_for(|is_decided| *is_decided).await;
    }

    /// Sends a request and waits for the answer; returns `None` if the loop has ended.
    pub async fn ask<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.sender.send(request(sender)).ok()?;
        receiver.await.ok()
    }
}
