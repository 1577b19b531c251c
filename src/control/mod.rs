//! The control plane of a daemon: the control thread runs the replica, the claims and the
//! coordination of the fleet, and talks to other daemons over JSON-RPC (jsonrpsee).

mod agent;
mod claims;
mod control_loop;
mod fleet;
mod fleet_member;
mod held_reports;
mod joining;
mod leader_route;
mod ledger;
mod links;
mod operator_client;
mod packed_table;
mod quarantine_log;
mod requests;
mod rpc;
mod server;
mod serving_history;
mod setup;
mod table_versions;
mod voter_folder;
mod voting;
mod waiters;

pub use agent::{AgentSettings, start_agent};
pub use claims::{ClaimClient, ClaimClientSettings};
pub use control_loop::start_control;
pub use fleet::{
    DaemonOrders, DaemonReport, FleetRegistry, MemberView, ORGANISATION_LIMITS_POOL, PoolOrder,
    PoolReport, ReportAnswer, ReportOutcome, SHARE_UNITS, ServingChange, ServingList,
};
pub use fleet_member::{FleetMember, MemberChange, PoolChange, PoolState};
pub use held_reports::{CommonOrders, HeldReports};
pub use leader_route::{LeaderRoute, leader_route};
pub use ledger::{
    ControlCommand, ControlLedger, ControlReply, EditConflict, EditOutcome, EditRecord,
    NumberedOutcome, NumberedTable, TableEdit,
};
pub use links::{CallError, FleetKey, KnownVoters, LeaderHint, connect};
pub use operator_client::{OperatorAnswer, OperatorClient};
pub use packed_table::{PackedTableCache, pack, unpack};
pub use quarantine_log::{QuarantineLog, QuarantineRow};
pub use requests::{ControlHandle, ControlRequest};
pub use rpc::{
    ApplyAnswer, ControlApiClient, ControlApiServer, DaemonStatus, EditProgress, HistoryRow,
    JoinAnswer, LeaderAnswer, VoterExit, VoterRow,
};
pub use server::start_server;
pub use serving_history::{ServingHistory, ServingUpdate};
pub use setup::ControlSetup;
pub use table_versions::{TableVersionRow, table_versions};
pub use voting::{AbsentMembers, absent_members, losses_borne, may_join, next_membership};
pub use waiters::HeldReport;
