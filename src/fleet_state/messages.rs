//! The messages in which daemons report their state.

use crate::policy::{DensityLevel, PeerWork, UpstreamHash};
use crate::quarantine::SuspectNews;
use crate::table::{DaemonName, OrganisationName, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Stands for an organisation in messages. In a fleet of 3,300 organisations two have the same hash once in 800 fleets; each
/// would then be charged for both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrganisationHash(u32);

impl OrganisationHash {
    /// The hash of an organisation's name.
    pub fn of(organisation: &OrganisationName) -> Self {
        OrganisationHash(xxh3_64(organisation.as_str().as_bytes()) as u32)
    }
}

/// Tokens of one organisation, counted since the source of the row began to count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowRow {
    /// The organisation.
    pub organisation: OrganisationHash,
    /// Tokens let through, less those given back.
    pub taken: i64,
    /// Tokens asked for, refused ones among them.
    pub asked: u64,
    /// Milliseconds until its bucket is full again, as the source estimates.
    pub refill_ms: u32,
}

/// Stands for a service in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceHash(u32);

impl ServiceHash {
    /// The hash of a service's name.
    pub fn of(service: &ServiceName) -> Self {
        ServiceHash(xxh3_64(service.as_str().as_bytes()) as u32)
    }
}

/// Requests that wait for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingRow {
    /// The service.
    pub service: ServiceHash,
    /// What they are worth for their cost.
    pub level: DensityLevel,
    /// How many.
    pub count: u32,
}

/// Work at one upstream.
pub type WorkRow = (UpstreamHash, PeerWork);

/// Who sent a message, and which of its messages it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageSource {
    /// The daemon.
    pub daemon: DaemonName,
    /// The number of its start; its counters begin at nought with it.
    pub boot: u64,
    /// Rises with each message.
    pub sequence: u64,
    /// Where it hears messages.
    pub address: SocketAddr,
}

/// A reading of the platform's list, as far as a daemon knows of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListStamp {
    /// Digest of the list that was read.
    pub digest: u64,
    /// Milliseconds since it was read.
    pub age_ms: u32,
}

/// Whether this is the last message of a daemon to the one that gets it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Departure {
    /// It goes on reporting.
    #[default]
    Stays,
    /// It reports to another aggregator from now on.
    Moved,
    /// It has drained and lets nothing through any more.
    Left,
}

/// The report of one daemon to its aggregator, or to all others in a small fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    /// The daemon.
    pub source: MessageSource,
    /// What it let through; rows that have not changed lately may be left out.
    pub flows: Vec<FlowRow>,
    /// True if no row is left out but those at nought.
    pub is_whole: bool,
    /// All of its requests at upstreams.
    pub work: Vec<WorkRow>,
    /// All of its requests that wait.
    pub waiting: Vec<WaitingRow>,
    /// The last reading of the platform's list that agrees with the list it has in force.
    pub list: Option<ListStamp>,
    /// False while the platform does not let it read the list.
    pub can_read_list: bool,
    /// Whether it goes on reporting.
    pub departure: Departure,
    /// What its sender knows of requests under which upstreams ended.
    pub suspects: SuspectNews,
}

/// The sum of those that report to an aggregator, for the other aggregators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupSum {
    /// The aggregator.
    pub source: MessageSource,
    /// The daemons that it covers, by hash of their names.
    pub members: Vec<u32>,
    /// Age of the oldest part, in milliseconds.
    pub age_ms: u32,
    /// What they let through since the aggregator began to count.
    pub flows: Vec<FlowRow>,
    /// Their requests at upstreams; where those are many, some of them, in turn.
    pub work: Vec<WorkRow>,
    /// True if `work` leaves nothing out.
    pub is_whole: bool,
    /// The last reading of the platform's list, as in [`MemberReport::list`].
    pub list: Option<ListStamp>,
    /// See [`MemberReport::can_read_list`].
    pub can_read_list: bool,
    /// True if the aggregator will send no more sums.
    pub is_leaving: bool,
    /// What its sender knows of requests under which upstreams ended.
    pub suspects: SuspectNews,
}

/// The sums of the whole fleet, from an aggregator to the members of its group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetSummary {
    /// The aggregator.
    pub source: MessageSource,
    /// Daemons that the sums cover.
    pub covers: u32,
    /// Age of the oldest part, in milliseconds.
    pub age_ms: u32,
    /// What the fleet let through since the aggregator began to count.
    pub flows: Vec<FlowRow>,
    /// All requests of the group at upstreams.
    pub work: Vec<WorkRow>,
    /// All requests of the group that wait.
    pub waiting: Vec<WaitingRow>,
    /// Some of the requests of other groups; the rest comes with the next summaries.
    pub away: Vec<WorkRow>,
    /// The last report of each member that the sums hold, by hash of its name.
    pub included: Vec<(u32, u64)>,
    /// The last reading of the platform's list, as in [`MemberReport::list`].
    pub list: Option<ListStamp>,
    /// True if the aggregator will send no more summaries.
    pub is_leaving: bool,
    /// What its sender knows of requests under which upstreams ended.
    pub suspects: SuspectNews,
}

/// Any message between daemons about the fleet's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// A member's own state.
    Report(MemberReport),
    /// The sum of a group.
    Sum(GroupSum),
    /// The sums of the fleet.
    Summary(FleetSummary),
}

impl FleetMessage {
    /// Who sent it.
    pub fn source(&self) -> &MessageSource {
        match self {
            FleetMessage::Report(report) => &report.source,
            FleetMessage::Sum(sum) => &sum.source,
            FleetMessage::Summary(summary) => &summary.source,
        }
    }

    /// What it says of requests under which upstreams ended.
    pub fn suspects(&self) -> &SuspectNews {
        match self {
            FleetMessage::Report(report) => &report.suspects,
            FleetMessage::Sum(sum) => &sum.suspects,
            FleetMessage::Summary(summary) => &summary.suspects,
        }
    }

    /// The reading of the platform's list that it names.
    pub fn list(&self) -> Option<ListStamp> {
        match self {
            FleetMessage::Report(report) => report.list,
            FleetMessage::Sum(sum) => sum.list,
            FleetMessage::Summary(summary) => summary.list,
        }
    }
}

/// Why a message is passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageRefusal {
    /// It came twice, or after a later one of the same source, or it is this daemon's own. That is usual.
    Overtaken,
    /// A counter that can only rise has fallen within one start of the source.
    FallingCounter,
    /// It says what no daemon can have done, or names no address to answer to.
    Implausible,
}

impl MessageRefusal {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            MessageRefusal::Overtaken => "overtaken",
            MessageRefusal::FallingCounter => "falling-counter",
            MessageRefusal::Implausible => "implausible",
        }
    }
}

/// Requests of one daemon or group at one upstream, at most: an upstream works on tens at once.
const MOST_REQUESTS: u32 = 1 << 20;
/// Tokens that a source counts of one organisation, at most: a century at 12 million a second.
const MOST_TOKENS: u64 = 1 << 55;

impl FleetMessage {
    /// Refuses what no daemon can have done.
    pub fn check(&self) -> Result<(), MessageRefusal> {
        // Sums hold what is assumed of silent daemons, which nobody asked for.
        let (flows, work, is_own) = match self {
            FleetMessage::Report(report) => (&report.flows, &report.work, true),
            FleetMessage::Sum(sum) => (&sum.flows, &sum.work, false),
            FleetMessage::Summary(summary) => (&summary.flows, &summary.work, false),
        };
        let address = self.source().address;
        let is_reachable = address.port() != 0 && !address.ip().is_unspecified();
        let counts = |row: &FlowRow| {
            let most = if is_own { row.asked } else { MOST_TOKENS };
            row.asked <= MOST_TOKENS && row.taken.unsigned_abs() <= most
        };
        let works = |row: &WorkRow| row.1.requests <= MOST_REQUESTS;
        let is_plausible = is_reachable
            && flows.iter().all(counts)
            && work.iter().all(works)
            && self.suspects().is_plausible();
        if is_plausible { Ok(()) } else { Err(MessageRefusal::Implausible) }
    }
}

/// The hash by which messages name a daemon.
pub fn daemon_hash(daemon: &DaemonName) -> u32 {
    xxh3_64(daemon.as_str().as_bytes()) as u32
}
