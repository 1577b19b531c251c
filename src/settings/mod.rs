//! What one process is told: its name, addresses, data centre, peers and data folder.

use crate::table::{DaemonName, DataCentreName, FaultList, read_checked};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The settings of one daemon.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// The daemon's name, unique in the fleet.
    pub daemon: DaemonName,
    /// The data centre it runs in.
    pub data_centre: DataCentreName,
    /// Where callers connect.
    #[schemars(with = "String")]
    pub callers: SocketAddr,
    /// Where operators and the other daemons connect.
    #[schemars(with = "String")]
    pub control: SocketAddr,
    /// The data folder; with one the daemon is a voter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub data_folder: Option<PathBuf>,
    /// A file holding the fleet's shared key.
    #[schemars(with = "String")]
    pub fleet_key_file: PathBuf,
    /// The other daemons that are voters, by control address.
    #[serde(default)]
    pub peers: Vec<PeerRow>,
    /// True on exactly one voter, at the fleet's first start only: it begins a new fleet.
    #[serde(default)]
    pub found_fleet: bool,
    /// The platform's list of VMs: the path of a JSON file, or an `http://` URL; read again twice a second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform_list: Option<String>,
    /// How long a daemon keeps accepting after it turned unready, in milliseconds.
    #[serde(default = "default_balancer_wait")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub balancer_wait_ms: Duration,
    /// How long a daemon may admit without confirming its table, in milliseconds.
    #[serde(default = "default_currency")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(range(min = 100, max = 60_000))]
    pub currency_lease_ms: Duration,
    /// Traffic threads; absent means one for each processor.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 1024))]
    pub traffic_threads: Option<usize>,
    /// Time between polled load reports of one upstream, in milliseconds.
    #[serde(default = "default_poll")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(range(min = 10))]
    pub report_poll_ms: Duration,
}

/// Another voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerRow {
    /// The voter's name.
    pub daemon: DaemonName,
    /// Its control address.
    #[schemars(with = "String")]
    pub control: SocketAddr,
}

fn default_balancer_wait() -> Duration {
    Duration::from_millis(3_000)
}

fn default_currency() -> Duration {
    Duration::from_millis(3_000)
}

fn default_poll() -> Duration {
    Duration::from_millis(200)
}

impl DaemonSettings {
    /// Reads settings, reporting every fault at once.
    pub fn read(text: &str) -> Result<Self, FaultList> {
        let settings: DaemonSettings = read_checked(text)?;
        let faults = settings.faults();
        if faults.0.is_empty() { Ok(settings) } else { Err(faults) }
    }

    fn faults(&self) -> FaultList {
        let mut faults = FaultList::default();
        if self.callers == self.control && self.callers.port() != 0 {
            faults.add("/control", self.control, "an address other than /callers");
        }
        if self.found_fleet && self.data_folder.is_none() {
            faults.add(
                "/found_fleet",
                true,
                "false, or a /data_folder: only a voter can begin a fleet",
            );
        }
        if self.data_folder.is_none() && self.peers.is_empty() {
            faults.add("/peers", "[]", "at least one voter, since this daemon has no /data_folder");
        }
        for (i, peer) in self.peers.iter().enumerate() {
            if peer.daemon == self.daemon {
                faults.add(
                    format!("/peers/{i}/daemon"),
                    &peer.daemon,
                    "another daemon than this one",
                );
            }
            if self.peers[..i].iter().any(|other| other.control == peer.control) {
                faults.add(
                    format!("/peers/{i}/control"),
                    peer.control,
                    "a value that no earlier row has",
                );
            }
        }
        faults
    }
}
