//! What is kept of each daemon that is heard.

use crate::fleet_state::work_tables::TimedRows;
use crate::fleet_state::{WaitingRow, WorkRow};
use crate::policy::Moment;
use std::net::SocketAddr;
use std::time::Duration;

/// A daemon that reports here.
#[derive(Clone, Debug)]
pub struct Reporter {
    pub address: SocketAddr,
    /// The hash of its name.
    pub hash: u32,
    pub work: Vec<WorkRow>,
    pub waiting: Vec<WaitingRow>,
    pub heard: Moment,
    pub can_read_list: bool,
}

/// Another aggregator.
#[derive(Clone, Debug)]
pub struct PeerAggregator {
    pub address: SocketAddr,
    /// Those whom it covers, by hash of their names.
    pub members: Vec<u32>,
    pub work: TimedRows,
    pub heard: Moment,
    /// Age of its oldest part when it was heard.
    pub age: Duration,
    pub can_read_list: bool,
}

/// What the aggregator of this daemon said last.
#[derive(Clone, Debug)]
pub struct SummaryView {
    pub address: SocketAddr,
    pub covers: u32,
    /// Age of its oldest part when it was heard.
    pub age: Duration,
    pub heard: Moment,
    /// Requests of the whole group, this daemon's among them.
    pub work: Vec<WorkRow>,
    pub waiting: Vec<WaitingRow>,
}
