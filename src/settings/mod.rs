//! Settings of one daemon, such as its name, addresses, data centre, peers and data folder.

use crate::policy::{Mechanism, RetryBound};
use crate::table::{
    DaemonName, DataCentreName, FaultList, PrefixReuse, RegionName, WholeNumber, read_checked,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};
use std::collections::BTreeMap;
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
    /// All data centres of the fleet, each with its region. Orders to evacuate a data centre must
    /// name one of them; if there are none, any name is accepted.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub data_centres: BTreeMap<DataCentreName, RegionName>,
    /// Address for callers; absent for a voter that serves none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub callers: Option<SocketAddr>,
    /// Address for the load balancer's readiness checks and for metrics; absent means `callers`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub readiness: Option<SocketAddr>,
    /// Address for commands of operators and other daemons.
    #[schemars(with = "String")]
    pub control: SocketAddr,
    /// The data folder; a daemon with a data folder is a voter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub data_folder: Option<PathBuf>,
    /// File that contains the fleet's shared key; absent means that `control` accepts commands
    /// without authentication.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub fleet_key_file: Option<PathBuf>,
    /// The other voters, with their control addresses.
    #[serde(default)]
    pub peers: Vec<PeerRow>,
    /// Some of the voters, for fleets whose voters are named by their IPs. Only the IP of each
    /// address is used; the port is that of `control`. With seeds, the voters among them found the
    /// fleet together, and other voters are replaced without an operator.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// True on the voter that founds a new fleet, at the fleet's first start only. It must be set
    /// on exactly one voter, or on all of them if there are seeds.
    #[serde(default)]
    pub found_fleet: bool,
    /// Behaviour of a daemon whose table lease has expired.
    #[serde(default)]
    pub when_cut_off: LeaseExpiryMode,
    /// Tolerance by which organisations' token limits may be exceeded, as a share of rate and
    /// burst.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub limit_overage: f64,
    /// Additional tolerance of these limits, in tokens; a fraction is rounded down.
    #[serde_as(as = "WholeNumber")]
    #[serde(default)]
    pub limit_slack_tokens: u64,
    /// Retries allowed per request of a service, over all daemons.
    #[serde(default = "default_repeat_ratio")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub repeat_ratio: f64,
    /// Additional retries allowed in one window; a fraction is rounded down.
    #[serde_as(as = "WholeNumber")]
    #[serde(default = "default_repeat_slack")]
    pub repeat_slack: u64,
    /// Maximum share of a service's requests sent to a new software version before it is accepted.
    #[serde(default = "default_rollout_share")]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub rollout_share: f64,
    /// Tolerance by which a cold upstream may receive more requests than its service's rate, as a
    /// factor of that rate.
    #[serde(default = "default_cold_overage")]
    #[schemars(range(min = 0.0))]
    pub cold_overage: f64,
    /// Additional requests per second that a cold upstream may receive; a fraction is rounded down.
    #[serde_as(as = "WholeNumber")]
    #[serde(default)]
    pub cold_slack: u64,
    /// True if organisations share a service that is too small for all, so that one that asks for
    /// more than its share bears the refusals. A platform's contracts may enable it as well.
    #[serde(default)]
    pub organisation_shares: bool,
    /// Additional address for metrics, with a fixed port, beside `callers` and `readiness`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub metrics: Option<SocketAddr>,
    /// True if a daemon that may serve while cut off uses the members that a voter names until a
    /// leader names the daemons that serve callers; absent means as the platform's contracts say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub presumes_members: Option<bool>,
    /// Address at which this daemon accepts requests that other daemons pass on, on the same port as
    /// all of them; absent means that no requests are passed on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub relay: Option<SocketAddr>,
    /// True if slots at upstreams that this daemon leaves unused are offered to daemons of its group
    /// that have requests waiting.
    #[serde(default)]
    pub slot_offers: bool,
    /// Mechanisms of the policy that are disabled, to measure the effect of each.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub mechanisms_off: Vec<Mechanism>,
    /// The platform whose interfaces are used towards callers, upstreams and operators; absent
    /// means tarragonknot's own interfaces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform: Option<PlatformSettings>,
    /// The platform's list of VMs, as the path of a JSON file or an `http://` URL; reread twice a
    /// second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub platform_list: Option<String>,
    /// How long a draining daemon still accepts requests after it became unready, in milliseconds.
    #[serde(default = "default_balancer_wait")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub balancer_wait_ms: Duration,
    /// Time between the signal to stop and the end of the process by force, in seconds. Requests that
    /// would not end in it are refused, and new ones are accepted for at most half of it.
    #[serde(default = "default_stop_grace")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[schemars(with = "f64", range(min = 0.0, max = 86_400.0))]
    pub stop_grace_s: Duration,
    /// Duration of the table lease: how long a daemon may admit requests without confirming that
    /// its table is current, in milliseconds.
    #[serde(default = "default_currency")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(range(min = 100, max = 60_000))]
    pub currency_lease_ms: Duration,
    /// Number of traffic threads; absent means one per processor.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 1024))]
    pub traffic_threads: Option<usize>,
    /// The daemon's memory, in MiB; request bodies and answers that it holds are bounded by a fraction
    /// of it. Absent means that there is no bound.
    #[serde_as(as = "Option<WholeNumber>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<f64>", range(min = 1))]
    pub memory_mb: Option<u64>,
    /// Polling interval for the load reports of an upstream, in milliseconds.
    #[serde(default = "default_poll")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(range(min = 10))]
    pub report_poll_ms: Duration,
}

/// Behaviour of a daemon that cannot confirm that its table is current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseExpiryMode {
    /// Refuses new requests, so that an accepted edit is in force wherever requests are admitted.
    #[default]
    Refuse,
    /// Continues with the last known table, so that callers are served while the quorum is lost.
    Serve,
}

/// Addresses of the platform's interfaces.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the platform's interface for operators, on voters.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub operators: Option<SocketAddr>,
    /// Address of the platform's list of upstreams; absent if none is needed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub list: Option<SocketAddr>,
    /// Calls per second that the list's address takes from all daemons together; absent if unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 0.0))]
    pub list_calls_per_second: Option<f64>,
    /// Names of the optional requirements that the platform sets for the deployment. The platform's
    /// adapter enables the parts that they call for; unknown names are ignored.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub contracts: Vec<String>,
    /// How placement uses the prompt parts that model engines hold; the platform's configuration does
    /// not state it.
    #[serde(default)]
    pub prefix_reuse: PrefixReuse,
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

/// The name of a voter of which only the address is known.
pub fn voter_name(control: SocketAddr) -> DaemonName {
    DaemonName::from(control.ip().to_string().as_str())
}

fn default_balancer_wait() -> Duration {
    Duration::from_millis(3_000)
}

fn default_stop_grace() -> Duration {
    Duration::from_secs(30)
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

fn default_cold_overage() -> f64 {
    1.0
}

fn default_rollout_share() -> f64 {
    0.1
}

fn default_poll() -> Duration {
    Duration::from_millis(200)
}

impl DaemonSettings {
    /// Parses settings, reporting all faults at once.
    pub fn read(text: &str) -> Result<Self, FaultList> {
        let settings: DaemonSettings = read_checked(text)?;
        let faults = settings.faults();
        if faults.0.is_empty() { Ok(settings) } else { Err(faults) }
    }

    /// The other voters known to this daemon at its start.
    pub fn known_voters(&self) -> Vec<PeerRow> {
        let seeds = self.seeds.iter().map(|seed| {
            let control = SocketAddr::new(seed.ip(), self.control.port());
            PeerRow { daemon: voter_name(control), control }
        });
        let others = seeds.filter(|peer| peer.control != self.control);
        self.peers.iter().cloned().chain(others).collect()
    }

    /// The voters that found the fleet together: the seeds, including this daemon. Empty if one
    /// daemon founds it alone, or if the fleet exists.
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
