//! Messages in which daemons report their state to each other.

use super::ReadingOrder;
use crate::policy::{DensityLevel, Moment, PeerWork, UpstreamHash};
use crate::quarantine::SuspectUpdate;
use crate::table::{DaemonName, OrganisationName, ServiceName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Identifies an organisation in messages. In a fleet of 3,300 organisations, the probability that
/// two have the same hash is 1 in 800; each of the two would then be charged for both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrganisationHash(u32);

impl OrganisationHash {
    pub fn of(organisation: &OrganisationName) -> Self {
        OrganisationHash(xxh3_64(organisation.as_str().as_bytes()) as u32)
    }
}

/// Token counters of one organisation, cumulative since the source of the row began to count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowRow {
    pub organisation: OrganisationHash,
    /// Tokens admitted, less those refunded.
    pub taken: i64,
    /// Tokens requested, including refused ones.
    pub asked: u64,
    /// Milliseconds until the organisation's bucket is full again, as estimated by the source.
    pub refill_ms: u32,
}

/// Identifies a service in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceHash(u32);

impl ServiceHash {
    pub fn of(service: &ServiceName) -> Self {
        ServiceHash(xxh3_64(service.as_str().as_bytes()) as u32)
    }
}

impl From<u32> for ServiceHash {
    fn from(number: u32) -> Self {
        ServiceHash(number)
    }
}

impl fmt::LowerHex for ServiceHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::LowerHex::fmt(&self.0, formatter)
    }
}

/// A number of waiting requests of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingRow {
    pub service: ServiceHash,
    /// What they are worth for their cost.
    pub level: DensityLevel,
    /// How many.
    pub count: u32,
}

/// Requests at one upstream.
pub type WorkRow = (UpstreamHash, PeerWork);

/// The sender of a message, and the position of the message among those of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageSource {
    pub daemon: DaemonName,
    /// The number of the daemon's process start. Its counters begin at zero with each start.
    pub boot: u64,
    /// Sequence number; increases with each message.
    pub sequence: u64,
    /// The address at which the daemon receives messages.
    pub address: SocketAddr,
}

/// A reading of the platform's list, as known to a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListStamp {
    pub digest: u64,
    pub order: ReadingOrder,
    /// Milliseconds since the reading began.
    pub age_ms: u32,
}

impl ListStamp {
    /// When the reading began, if the stamp was received at `now`.
    pub fn read_at(&self, now: Moment) -> Moment {
        now.before(Duration::from_millis(u64::from(self.age_ms)))
    }
}

/// Whether this is the last message from a daemon to its receiver, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Departure {
    /// The daemon continues to report.
    #[default]
    Stays,
    /// The daemon reports to another aggregator from now on, which counts what the sums have not
    /// included.
    Moved,
    /// The daemon has drained and admits no more requests.
    Left,
}

/// The report of one daemon to its aggregator, or to all other daemons in a mesh.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberReport {
    pub source: MessageSource,
    /// Its token counters; rows that have not changed recently may be left out.
    pub flows: Vec<FlowRow>,
    /// True if only rows at zero are left out of `flows`.
    pub is_whole: bool,
    /// If `is_whole`, the token counters that an aggregator's sums have included so far.
    pub counted: Vec<FlowRow>,
    /// All of its requests at upstreams.
    pub work: Vec<WorkRow>,
    /// All of its waiting requests.
    pub waiting: Vec<WaitingRow>,
    /// The last reading of the platform's list that agrees with the list in force at the sender.
    pub list: Option<ListStamp>,
    /// False while the platform does not let the sender read the list.
    pub can_read_list: bool,
    /// Whether the daemon continues to report.
    pub departure: Departure,
    /// What the sender knows of requests under which upstreams ended.
    pub suspects: SuspectUpdate,
}

/// The sums of the daemons that report to an aggregator, sent to the other aggregators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupSum {
    /// The aggregator.
    pub source: MessageSource,
    /// The daemons that the sums cover, by hash of their names.
    pub members: Vec<u32>,
    /// Age of the oldest included report, in milliseconds.
    pub age_ms: u32,
    /// The number of the aggregator's count; increases with each within a process start.
    pub count: u64,
    /// Milliseconds since the count began.
    pub counting_ms: u32,
    /// Their token counters since the count began.
    pub flows: Vec<FlowRow>,
    /// Their requests at upstreams. If there are too many rows for one message, a part of them in
    /// round-robin order.
    pub work: Vec<WorkRow>,
    /// True if `work` is complete.
    pub is_whole: bool,
    /// The last reading of the platform's list, as in [`MemberReport::list`].
    pub list: Option<ListStamp>,
    /// See [`MemberReport::can_read_list`].
    pub can_read_list: bool,
    /// True if the aggregator will send no more sums.
    pub is_leaving: bool,
    /// What the sender knows of requests under which upstreams ended.
    pub suspects: SuspectUpdate,
}

/// The sums of the whole fleet, sent by an aggregator to the members of its group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetSummary {
    /// The aggregator.
    pub source: MessageSource,
    /// Number of daemons that the sums cover.
    pub covered_daemons: u32,
    /// Age of the oldest included report, in milliseconds.
    pub age_ms: u32,
    /// The fleet's token counters since the aggregator began to count.
    pub flows: Vec<FlowRow>,
    /// All requests of the group at upstreams.
    pub work: Vec<WorkRow>,
    /// All waiting requests of the group.
    pub waiting: Vec<WaitingRow>,
    /// Some of the requests of other groups at upstreams; the rest follows in the next summaries.
    pub other_groups: Vec<WorkRow>,
    /// The sequence number of the last included report of each member, by hash of the member's
    /// name.
    pub included_reports: Vec<(u32, u64)>,
    /// The last reading of the platform's list, as in [`MemberReport::list`].
    pub list: Option<ListStamp>,
    /// True if the aggregator will send no more summaries.
    pub is_leaving: bool,
    /// What the sender knows of requests under which upstreams ended.
    pub suspects: SuspectUpdate,
}

/// Any message between daemons about the fleet's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetMessage {
    Report(MemberReport),
    Sum(GroupSum),
    Summary(FleetSummary),
}

impl FleetMessage {
    pub fn source(&self) -> &MessageSource {
        match self {
            FleetMessage::Report(report) => &report.source,
            FleetMessage::Sum(sum) => &sum.source,
            FleetMessage::Summary(summary) => &summary.source,
        }
    }

    /// Returns what the message says of requests under which upstreams ended.
    pub fn suspects(&self) -> &SuspectUpdate {
        match self {
            FleetMessage::Report(report) => &report.suspects,
            FleetMessage::Sum(sum) => &sum.suspects,
            FleetMessage::Summary(summary) => &summary.suspects,
        }
    }

    /// Returns the reading of the platform's list that the message names.
    pub fn list(&self) -> Option<ListStamp> {
        match self {
            FleetMessage::Report(report) => report.list,
            FleetMessage::Sum(sum) => sum.list,
            FleetMessage::Summary(summary) => summary.list,
        }
    }
}

/// Why a message is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageRefusal {
    /// The message is a duplicate, arrived after a later one from the same source, or is this
    /// daemon's own. This is common.
    Overtaken,
    /// A counter that can only increase has decreased within one process start of the source.
    FallingCounter,
    /// The message reports impossible values, or has no address to reply to.
    Implausible,
}

impl MessageRefusal {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            MessageRefusal::Overtaken => "overtaken",
            MessageRefusal::FallingCounter => "falling-counter",
            MessageRefusal::Implausible => "implausible",
        }
    }
}

/// Maximum number of requests of one daemon or group at one upstream. An upstream works on tens of
/// requests at once.
const MAX_REQUESTS: u32 = 1 << 20;
/// Maximum number of tokens that a source counts for one organisation: a century at 12 million per
/// second.
const MAX_TOKENS: u64 = 1 << 55;

impl FleetMessage {
    /// Rejects messages that report impossible values.
    pub fn validate(&self) -> Result<(), MessageRefusal> {
        // Sums include estimates for silent daemons, so the tokens admitted may exceed those
        // requested.
        let (flows, work, is_report) = match self {
            FleetMessage::Report(report) => (&report.flows, &report.work, true),
            FleetMessage::Sum(sum) => (&sum.flows, &sum.work, false),
            FleetMessage::Summary(summary) => (&summary.flows, &summary.work, false),
        };
        let address = self.source().address;
        let is_reachable = address.port() != 0 && !address.ip().is_unspecified();
        let is_valid_flow = |row: &FlowRow| {
            let max_taken = if is_report { row.asked } else { MAX_TOKENS };
            row.asked <= MAX_TOKENS && row.taken.unsigned_abs() <= max_taken
        };
        let is_valid_work = |row: &WorkRow| row.1.requests <= MAX_REQUESTS;
        let counted = match self {
            FleetMessage::Report(report) => report.counted.as_slice(),
            FleetMessage::Sum(_) | FleetMessage::Summary(_) => &[],
        };
        let is_plausible = is_reachable
            && flows.iter().chain(counted).all(is_valid_flow)
            && work.iter().all(is_valid_work)
            && self.suspects().is_plausible();
        if is_plausible { Ok(()) } else { Err(MessageRefusal::Implausible) }
    }
}

/// Returns the hash that identifies a daemon in messages.
pub fn daemon_hash(daemon: &DaemonName) -> u32 {
    xxh3_64(daemon.as_str().as_bytes()) as u32
}
