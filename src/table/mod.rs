//! The operators' table: tiers, organisations, services, assignments and upstreams.

mod checks;
mod difference;
mod names;
mod review;
mod routes;
mod whole_number;

pub use checks::{FaultList, TableFault, read_checked, read_table, semantic_faults};
pub use difference::{CellChange, diff_tables};
pub use names::{
    DaemonName, DataCentreName, OrganisationName, RegionName, ServiceName, SoftwareVersion,
    TierName, UpstreamName,
};

pub use review::{TableWarning, WarningKind, review_table};
pub use routes::{RouteKind, RouteRow, RouteTarget};
pub use whole_number::WholeNumber;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::time::Duration;

/// The whole table, in the format that operators write.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OperatorTable {
    /// Tiers, in any order; their importance is given by `rank`.
    pub tiers: Vec<TierRow>,
    /// Organisations and their limits.
    pub organisations: Vec<OrganisationRow>,
    /// Services; each is a pool of upstreams with the same interface.
    pub services: Vec<ServiceRow>,
    /// Assignments of requests to tiers; the first matching row applies.
    #[serde(default)]
    pub assignments: Vec<AssignmentRow>,
    /// Upstreams with fixed addresses; the platform's list may add more.
    #[serde(default)]
    pub upstreams: Vec<UpstreamRow>,
    /// Routes by host and path, for daemons that serve a platform's interface.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<RouteRow>,
}

/// A tier of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TierRow {
    /// The tier's name.
    pub tier: TierName,
    /// Order of importance: 0 is the highest and is shed last.
    #[schemars(range(min = 0, max = 15))]
    pub rank: u8,
    /// Relative share of a pool's tokens while tiers compete for them.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub weight: u32,
}

impl TierRow {
    /// Creates the tier of a rank for operators' formats that have ranks but no tiers.
    pub fn of_rank(rank: u8) -> Self {
        let weight =
            RANK_0_WEIGHT >> (HALVINGS_PER_RANK * u32::from(rank)).min(RANK_0_WEIGHT.ilog2());
        TierRow { tier: tier_name_of_rank(rank), rank, weight }
    }
}

/// Weight of the tier of rank 0.
const RANK_0_WEIGHT: u32 = 1 << 12;
/// The weight is halved this many times from one rank to the next.
const HALVINGS_PER_RANK: u32 = 2;

/// The name of the tier that [`TierRow::of_rank`] creates.
pub fn tier_name_of_rank(rank: u8) -> TierName {
    TierName::from(format!("rank-{rank}").as_str())
}

/// An organisation: its keys, its weight and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OrganisationRow {
    /// The organisation's name.
    pub organisation: OrganisationName,
    /// SHA-256 digests of its bearer keys, in hexadecimal.
    pub key_digests: Vec<KeyDigest>,
    /// Relative share of a tier's tokens while organisations compete for them.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub weight: u32,
    /// Limit on estimated tokens per second over all services; absent means no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1))]
    pub tokens_per_second: Option<u64>,
    /// Burst size in tokens; the default is ten seconds at the rate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1))]
    pub burst_tokens: Option<u64>,
    /// Limit on requests in progress, including waiting ones; absent means no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1))]
    pub concurrent: Option<u32>,
    /// Unit of the rate limit.
    #[serde(default, skip_serializing_if = "LimitUnit::is_default")]
    pub limit_unit: LimitUnit,
    /// Tokens charged for a request that does not state its size; absent means the daemon's
    /// estimate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub uncounted_tokens: Option<u32>,
    /// Regions in which its requests may be served; absent means anywhere.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub regions: Option<Vec<RegionName>>,
}

/// Unit of an organisation's rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LimitUnit {
    /// Tokens.
    #[default]
    Tokens,
    /// Requests.
    Requests,
}

impl LimitUnit {
    fn is_default(&self) -> bool {
        *self == LimitUnit::default()
    }
}

/// A SHA-256 digest in lower-case hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(transparent)]
pub struct KeyDigest(#[schemars(regex(pattern = "^[0-9a-f]{64}$"))] pub String);

impl KeyDigest {
    /// The digest of a bearer key.
    pub fn of(key: &str) -> Self {
        KeyDigest(hex(&Sha256::digest(key.as_bytes())))
    }
}

/// Kind of a service's upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines: chat and completions as JSON, streamed or not.
    Model,
    /// Plain HTTP services: any method and path under the service's route.
    Plain,
}

/// Queue discipline of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum QueueDiscipline {
    /// Weighted fair queueing by tier, then organisation, with shedding by tier.
    #[default]
    Weighted,
    /// First in, first out; a baseline for comparisons.
    Fifo,
    /// By value density, with requests that can still meet their latency objective first.
    Urgency,
}

/// Placement policy of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementMode {
    /// Prefix affinity up to a load bound, otherwise the least corrected load.
    #[default]
    Affinity,
    /// Round robin; a baseline for comparisons.
    RoundRobin,
    /// The least reported load; a baseline for comparisons.
    LeastReported,
    /// The earliest expected first event, from the unread prompts and speed of each upstream.
    Earliest,
}

/// Kind of concurrency limit per upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LimitMode {
    /// Learned from step times and times to the first token.
    #[default]
    Learned,
    /// Fixed at `first_guess` requests; a baseline for comparisons.
    Fixed,
}

/// How placement takes into account the prompt parts that upstreams hold; it applies to the placement
/// policy `earliest`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum PrefixReuse {
    /// Not at all.
    #[default]
    Off,
    /// By the daemon's own recent sends.
    Recent,
    /// By consistent hashing with bounded loads, on which all daemons agree.
    Ring,
}

impl PrefixReuse {
    fn is_off(&self) -> bool {
        *self == PrefixReuse::Off
    }
}

/// A service: a pool of upstreams and how callers reach it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServiceRow {
    /// The service's name; plain services are reached under `/NAME/`, models by `"model": "NAME"`.
    pub service: ServiceName,
    /// Model or plain.
    pub kind: ServiceKind,
    /// Organisations that may use it; absent means all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisations: Option<Vec<OrganisationName>>,
    /// Tier of requests without a matching assignment.
    pub default_tier: TierName,
    /// Deadline of requests that state none, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(range(min = 1))]
    pub deadline_ms: Duration,
    /// Time without a byte after which a stream counts as silent and is resumed, in milliseconds.
    #[serde(default = "default_silence")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(range(min = 10))]
    pub silence_ms: Duration,
    /// Initial concurrency limit per upstream, in requests; the learned limit starts from it.
    #[serde(default = "default_guess")]
    #[schemars(range(min = 1, max = 100_000))]
    pub first_guess: u32,
    /// Objective for the time between tokens, in milliseconds; the learned limit is kept low enough
    /// to meet it.
    #[serde(default = "default_token_gap")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(range(min = 1))]
    pub token_gap_ms: Duration,
    /// Objective for the time to the first token, in milliseconds.
    #[serde(default = "default_first_token")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(range(min = 1))]
    pub first_token_ms: Duration,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body_limit")]
    #[schemars(range(min = 1, max = 67_108_864))]
    pub body_limit: u32,
    /// Maximum number of waiting requests per daemon.
    #[serde(default = "default_waiting_limit")]
    #[schemars(range(min = 1, max = 10_000_000))]
    pub waiting_limit: u32,
    /// Methods whose requests may be retried; absent means all methods for models, and GET, HEAD,
    /// OPTIONS, PUT and DELETE for plain services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent_methods: Option<Vec<String>>,
    /// Retention time of the outcome of a request with an idempotency key, in milliseconds.
    #[serde(default = "default_claim_life")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(range(min = 1_000))]
    pub claim_life_ms: Duration,
    /// Path of the upstreams' health check; absent if they have none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<String>,
    /// Tokens per event of a stream whose events do not state a number.
    #[serde(default = "default_event_tokens")]
    #[schemars(range(min = 1))]
    pub event_tokens: u32,
    /// How long an upstream reserves a slot for a request that is about to be sent, in
    /// milliseconds; absent if the upstreams have no reservations.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[schemars(with = "Option<u64>")]
    pub reservation_ms: Option<Duration>,
    /// Tokens that fit into the memory of one upstream, of all requests that it holds together;
    /// absent if they are not counted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1))]
    pub engine_memory_tokens: Option<u64>,
    /// Requests per second that an upstream takes while it is cold, that is for some seconds after
    /// its start or at any other moment that the platform's list names; absent if cold upstreams
    /// take as many as others.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 0.0))]
    pub cold_requests_per_second: Option<f64>,
    /// How long an upstream is cold after its start, in milliseconds.
    #[serde(default, skip_serializing_if = "Duration::is_zero")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[schemars(with = "u64")]
    pub cold_start_ms: Duration,
    /// Guaranteed service by request size, in percent: each size decile of a route is served at
    /// least this fraction as often as its lane.
    #[serde(default = "default_size_share", skip_serializing_if = "is_default_size_share")]
    #[schemars(range(max = 100))]
    pub size_share_percent: u8,
    /// Queue discipline.
    #[serde(default)]
    pub queue: QueueDiscipline,
    /// Placement policy.
    #[serde(default)]
    pub placement: PlacementMode,
    /// Kind of concurrency limit per upstream.
    #[serde(default)]
    pub limit: LimitMode,
    /// Whether placement takes into account the prompt parts that upstreams hold.
    #[serde(default, skip_serializing_if = "PrefixReuse::is_off")]
    pub prefix_reuse: PrefixReuse,
}

impl ServiceRow {
    /// Creates a service with default values.
    pub fn new(service: ServiceName, kind: ServiceKind, default_tier: TierName) -> Self {
        ServiceRow {
            service,
            kind,
            organisations: None,
            default_tier,
            deadline_ms: DEFAULT_DEADLINE,
            silence_ms: default_silence(),
            first_guess: default_guess(),
            token_gap_ms: default_token_gap(),
            first_token_ms: default_first_token(),
            body_limit: default_body_limit(),
            waiting_limit: default_waiting_limit(),
            idempotent_methods: None,
            claim_life_ms: default_claim_life(),
            health_path: None,
            event_tokens: default_event_tokens(),
            reservation_ms: None,
            engine_memory_tokens: None,
            cold_requests_per_second: None,
            cold_start_ms: Duration::ZERO,
            size_share_percent: default_size_share(),
            queue: QueueDiscipline::default(),
            placement: PlacementMode::default(),
            limit: LimitMode::default(),
            prefix_reuse: PrefixReuse::Off,
        }
    }

    /// True if a request with `method` may be retried.
    pub fn is_idempotent(&self, method: &str) -> bool {
        match (&self.idempotent_methods, self.kind) {
            (Some(methods), _) => methods.iter().any(|known| known == method),
            (None, ServiceKind::Model) => true,
            (None, ServiceKind::Plain) => {
                matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE")
            }
        }
    }

    /// True if `organisation` may use the service.
    pub fn allows(&self, organisation: &OrganisationName) -> bool {
        self.organisations.as_ref().is_none_or(|allowed| allowed.contains(organisation))
    }
}

/// Default of [`ServiceRow::deadline_ms`] for services created by [`ServiceRow::new`].
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

fn default_silence() -> Duration {
    Duration::from_millis(2_000)
}

fn default_guess() -> u32 {
    32
}

fn default_token_gap() -> Duration {
    Duration::from_millis(63)
}

fn default_first_token() -> Duration {
    Duration::from_millis(750)
}

pub(crate) fn default_size_share() -> u8 {
    75
}

fn is_default_size_share(percent: &u8) -> bool {
    *percent == default_size_share()
}

fn default_event_tokens() -> u32 {
    1
}

fn default_claim_life() -> Duration {
    Duration::from_secs(24 * 3_600)
}

fn default_body_limit() -> u32 {
    1 << 20
}

fn default_waiting_limit() -> u32 {
    10_000
}

/// Assigns requests to a tier; absent members match every request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AssignmentRow {
    /// The service, or any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceName>,
    /// The organisation, or any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationName>,
    /// The value of the `tarragonknot-purpose` header, or any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub purpose: Option<String>,
    /// The tier of matching requests.
    pub tier: TierName,
}

/// An upstream with a fixed address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct UpstreamRow {
    /// The upstream's name.
    pub upstream: UpstreamName,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Address and port.
    #[schemars(with = "String")]
    pub address: std::net::SocketAddr,
    /// The data centre it runs in.
    pub data_centre: DataCentreName,
    /// Increases when another process takes over the name or address.
    #[serde(default)]
    pub incarnation: u64,
}

/// A table with its version and hash.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedTable {
    /// Increases by one with each accepted edit; 0 is the empty table of a new fleet.
    pub version: u64,
    /// SHA-256 of the table's canonical JSON, in hexadecimal.
    pub hash: String,
    /// The table; empty if `document` is present.
    pub table: OperatorTable,
    /// The table in another format, as the operator wrote it; each daemon parses it again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<Arc<str>>,
}

/// Parses tables written in another format.
pub trait TableReader: Send + Sync {
    /// Parses a document into its version and table, or returns all its faults.
    fn read(&self, document: &str) -> Result<(u64, OperatorTable), FaultList>;
}

impl VersionedTable {
    /// Creates a versioned table from a document in another format.
    pub fn from_document(version: u64, document: &Arc<str>) -> Self {
        VersionedTable {
            version,
            hash: hex(&Sha256::digest(document.as_bytes())),
            table: OperatorTable::default(),
            document: Some(Arc::clone(document)),
        }
    }

    /// Creates a versioned table with the hash of `table`.
    pub fn new(version: u64, table: OperatorTable) -> Self {
        VersionedTable { version, hash: table_hash(&table), table, document: None }
    }
}

/// SHA-256 of the table's canonical JSON: members in declaration order, no white space.
pub fn table_hash(table: &OperatorTable) -> String {
    let bytes = serde_json::to_vec(table).unwrap_or_default();
    hex(&Sha256::digest(&bytes))
}

/// Formats bytes as lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

impl OperatorTable {
    /// Number of rows of all kinds.
    pub fn row_count(&self) -> usize {
        self.tiers.len()
            + self.organisations.len()
            + self.services.len()
            + self.assignments.len()
            + self.upstreams.len()
            + self.routes.len()
    }

    /// The row of a tier.
    pub fn tier(&self, name: &TierName) -> Option<&TierRow> {
        self.tiers.iter().find(|row| row.tier == *name)
    }

    /// The row of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceRow> {
        self.services.iter().find(|row| row.service.as_str() == name)
    }

    /// The tier of a request: that of the first matching assignment, or the service's default.
    pub fn tier_of<'a>(
        &'a self,
        service: &'a ServiceRow,
        organisation: &OrganisationName,
        purpose: Option<&str>,
    ) -> &'a TierName {
        let matches = |row: &&AssignmentRow| {
            row.service.as_ref().is_none_or(|name| *name == service.service)
                && row.organisation.as_ref().is_none_or(|name| name == organisation)
                && row.purpose.as_deref().is_none_or(|text| Some(text) == purpose)
        };
        self.assignments.iter().find(matches).map_or(&service.default_tier, |row| &row.tier)
    }
}
