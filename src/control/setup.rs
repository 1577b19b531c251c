//! Configuration of the control loop.

use super::links::FleetKey;
use crate::clock::MonotonicClock;
use crate::replica::ReplicaConfig;
use crate::settings::PeerRow;
use crate::table::DaemonName;
use slog::Logger;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Configuration with which the control loop starts.
#[derive(Clone, Debug)]
pub struct ControlSetup {
    /// The name of this daemon.
    pub daemon: DaemonName,
    /// The address of its control interface.
    pub control: SocketAddr,
    /// The data folder; `None` for a diskless daemon.
    pub data_folder: Option<PathBuf>,
    /// The other voters.
    pub peers: Vec<PeerRow>,
    /// The voters that found the fleet together, including this one; empty if no fleet is to be
    /// founded this way.
    pub founders: Vec<PeerRow>,
    /// True if lost voters are replaced by new ones automatically.
    pub replaces_voters: bool,
    /// True if this daemon may found a fleet once every peer answers that it belongs to none.
    pub may_found_fleet: bool,
    /// The key shared by the fleet.
    pub key: FleetKey,
    /// How long a table counts as current after the leader confirmed it.
    pub lease: Duration,
    /// Maximum share of a service's requests for a version on trial.
    pub rollout_share: f64,
    /// Timing of the replica.
    pub replica: ReplicaConfig,
    /// The clock shared with the traffic code.
    pub clock: MonotonicClock,
    /// The logger.
    pub log: Logger,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(super) fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
