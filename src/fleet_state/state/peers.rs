//! State kept for each daemon that sends messages to this one.

use crate::fleet_state::work_tables::ExpiringRows;
use crate::fleet_state::{WaitingRow, WorkRow};
use crate::policy::Moment;
use std::net::SocketAddr;
use std::time::Duration;

/// A daemon that reports to this one.
#[derive(Clone, Debug)]
pub struct MemberState {
    pub address: SocketAddr,
    /// Hash of the daemon's name.
    pub hash: u32,
    pub work: Vec<WorkRow>,
    pub waiting: Vec<WaitingRow>,
    /// Free slots of which it was told since its last report.
    pub offered_slots: u32,
    pub last_heard: Moment,
    pub can_read_list: bool,
}

/// Another aggregator.
#[derive(Clone, Debug)]
pub struct PeerAggregator {
    pub address: SocketAddr,
    /// The daemons that its sums cover, by hash of their names.
    pub members: Vec<u32>,
    pub work: ExpiringRows,
    pub last_heard: Moment,
    /// Age of the oldest report in its sums when they arrived.
    pub age: Duration,
    pub can_read_list: bool,
}

/// The last summary from this daemon's aggregator.
#[derive(Clone, Debug)]
pub struct LastSummary {
    pub address: SocketAddr,
    pub covered_daemons: u32,
    /// Age of the oldest report in the summary when it arrived.
    pub age: Duration,
    pub last_heard: Moment,
    /// Requests of the whole group, including those of this daemon.
    pub work: Vec<WorkRow>,
    pub waiting: Vec<WaitingRow>,
}
