//! What one process is told: its name, addresses, data centre, peers and data folder.

use crate::policy::{Mechanism, RetryBound};
use crate::table::{DaemonName, DataCentreName, FaultList, WholeNumber, read_checked};
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
    /// Where callers connect; absent for a voter that serves none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub callers: Option<SocketAddr>,
    /// Where the balancer asks for readiness, and metrics are read; absent means at `callers`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub readiness: Option<SocketAddr>,
    /// Where operators' and the other daemons' commands connect.
    #[schemars(with = "String")]
    pub control: SocketAddr,
    /// The data folder; with one the daemon is a voter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub data_folder: Option<PathBuf>,
    /// A file holding the fleet's shared key; absent means that whoever reaches `control` may speak there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub fleet_key_file: Option<PathBuf>,
    /// The other daemons that are voters, by control address.
    #[serde(default)]
    pub peers: Vec<PeerRow>,
    /// Some of the voters, by any address of theirs: only the IP counts, the port is that of `control` here.
    /// For fleets whose voters are named by their IPs. With seeds, the voters among them found the fleet
    /// together, and other voters are replaced without an operator.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// At the fleet's first start only: true on exactly one voter, which begins a new fleet; with seeds, on all.
    #[serde(default)]
    pub found_fleet: bool,
    /// What a daemon does whose lease ran out: refuse, or go on under the last table it knows.
    #[serde(default)]
    pub when_cut_off: CutOffChoice,
    /// How far organisations' limits on tokens may be exceeded, as a share of rate and burst.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub limit_overage: f64,
    /// The same as a number of tokens beside that; a fraction is rounded down.
    #[serde_as(as = "WholeNumber")]
    #[serde(default)]
    pub limit_slack_tokens: u64,
    /// Requests that may be sent to a second upstream, for each request of a service, over all daemons.
    #[serde(default = "default_repeat_ratio")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub repeat_ratio: f64,
    /// The same as a number of requests beside that, in one window; a fraction is rounded down.
    #[serde_as(as = "WholeNumber")]
    #[serde(default = "default_repeat_slack")]
    pub repeat_slack: u64,
    /// The largest share of a service's requests that a new software version may get before it has proved sound.
    #[serde(default = "default_rollout_share")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub rollout_share: f64,
    /// Where metrics are read beside `callers` and `readiness`, on a port that does not change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub metrics: Option<SocketAddr>,
    /// Mechanisms of the policy that are switched off, to measure what each is worth.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub mechanisms_off: Vec<Mechanism>,
    /// The platform whose manner of speaking is used towards callers, upstreams and operators; absent means
    /// tarragonknot's own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform: Option<PlatformSettings>,
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

/// What a daemon does that cannot confirm its table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum CutOffChoice {
    /// It refuses new requests: an accepted edit is in force wherever requests are admitted.
    #[default]
    Refuse,
    /// It goes on under the last table it knows: callers are served while the quorum is lost.
    Serve,
}

/// Where the platform's own interfaces are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Where operators call in the platform's manner; on voters.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub operators: Option<SocketAddr>,
    /// Where the list of upstreams is read; absent where none is needed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub list: Option<SocketAddr>,
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

/// The name of a voter that is known by its address alone.
pub fn voter_name(control: SocketAddr) -> DaemonName {
    DaemonName::from(control.ip().to_string().as_str())
}

fn default_balancer_wait() -> Duration {
    Duration::from_millis(3_000)
}

fn default_currency() -> Duration {
    Duration::from_millis(3_000)
}

fn default_repeat_ratio() -> f64 {
    RetryBound::default().ratio
}

fn default_repeat_slack() -> u64 {
    RetryBound::default().slack
}

fn default_rollout_share() -> f64 {
    0.1
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

    /// The other voters that this daemon knows of at its start.
    pub fn known_voters(&self) -> Vec<PeerRow> {
        let seeds = self.seeds.iter().map(|seed| {
            let control = SocketAddr::new(seed.ip(), self.control.port());
            PeerRow { daemon: voter_name(control), control }
        });
        let others = seeds.filter(|peer| peer.control != self.control);
        self.peers.iter().cloned().chain(others).collect()
    }

    /// The voters that found the fleet together: those among the seeds, this daemon being one of them; none
    /// where one daemon founds it alone, or the fleet exists.
    pub fn founders(&self) -> Vec<PeerRow> {
        let is_seed = self.seeds.iter().any(|seed| seed.ip() == self.control.ip());
        if !self.found_fleet || !is_seed {
            return Vec::new();
        }
        let own = PeerRow { daemon: self.daemon.clone(), control: self.control };
        let mut founders = self.known_voters();
        founders.push(own);
        founders.sort_by_key(|peer| peer.control);
        founders
    }

    fn faults(&self) -> FaultList {
        let mut faults = FaultList::default();
        if self.callers == Some(self.control) && self.control.port() != 0 {
            faults.add("/control", self.control, "an address other than /callers");
        }
        if self.callers.is_none() && self.data_folder.is_none() {
            faults.add(
                "/callers",
                "nothing",
                "an address, or a /data_folder: this daemon has no work",
            );
        }
        if !self.seeds.is_empty() && self.daemon != voter_name(self.control) {
            faults.add(
                "/daemon",
                &self.daemon,
                "the IP of /control, by which seeds name the voters",
            );
        }
        if self.found_fleet && self.data_folder.is_none() {
            faults.add(
                "/found_fleet",
                true,
                "false, or a /data_folder: only a voter can begin a fleet",
            );
        }
        if self.data_folder.is_none() && self.peers.is_empty() && self.seeds.is_empty() {
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
