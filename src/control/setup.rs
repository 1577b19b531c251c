//! What the control loop is started with.

use super::links::FleetKey;
use crate::clock::TrafficClock;
use crate::replica::ReplicaConfig;
use crate::settings::PeerRow;
use crate::table::DaemonName;
use slog::Logger;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What the control loop needs to start.
#[derive(Clone, Debug)]
pub struct ControlSetup {
    /// The daemon.
    pub daemon: DaemonName,
    /// Its control address.
    pub control: SocketAddr,
    /// Its data folder; none for a diskless daemon.
    pub data_folder: Option<PathBuf>,
    /// The other voters.
    pub peers: Vec<PeerRow>,
    /// The voters that found the fleet together, this one among them; empty where that is not to be done.
    pub founders: Vec<PeerRow>,
    /// True if voters that are lost are replaced by new ones without an operator.
    pub replaces_voters: bool,
    /// True if it may found a fleet when every peer answers that it belongs to none.
    pub found_fleet: bool,
    /// The fleet's key.
    pub key: FleetKey,
    /// The currency lease.
    pub lease: Duration,
    /// The largest share of a service's requests that a version on trial may get.
    pub rollout_share: f64,
    /// Times of the replica.
    pub replica: ReplicaConfig,
    /// The clock shared with traffic.
    pub clock: TrafficClock,
    /// Logs.
    pub log: Logger,
    /// Seed of random numbers.
    pub seed: u64,
}

/// Wall-clock time in milliseconds.
pub(super) fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
