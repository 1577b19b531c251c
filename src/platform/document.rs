//! The operator's configuration document.

use super::ContractFeatures;
use crate::table::{
    AssignmentRow, FaultList, KeyDigest, LimitMode, LimitUnit, OperatorTable, OrganisationRow,
    PlacementMode, PrefixReuse, QueueDiscipline, RegionName, RouteKind, RouteRow, RouteTarget,
    ServiceKind, ServiceRow, TableReader, TierRow, semantic_faults, tier_name_of_rank,
};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::time::Duration;

/// A configuration document as the operator sends it. Unknown fields are ignored.
#[derive(Debug, Deserialize)]
struct ConfigDocument {
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    #[serde(default)]
    tenants: Vec<WireTenant>,
}

#[derive(Debug, Deserialize)]
struct WireRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: WireKind,
    timeout_ms: u64,
    #[serde(default)]
    latency_slo_ms: u64,
    #[serde(default)]
    gap_slo_ms: Option<u64>,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    service: Option<String>,
    #[serde(default)]
    backends: Vec<WireBackend>,
    #[serde(default = "one")]
    max_attempts: u32,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    /// Absent or empty if the route has no homes.
    #[serde(default)]
    allowed_regions: Vec<String>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireKind {
    Safe,
    Unsafe,
    Stream,
}

#[derive(Debug, Deserialize)]
struct WireBackend {
    service: String,
    weight: u32,
}

#[derive(Debug, Deserialize)]
struct WireService {
    name: String,
    #[serde(default)]
    health_path: Option<String>,
    #[serde(default)]
    cold_start_s: f64,
    /// 0 if cold engines take as many requests as others.
    #[serde(default)]
    cold_per_s: f64,
    #[serde(default)]
    engine: Option<WireEngine>,
}

#[derive(Debug, Deserialize)]
struct WireEngine {
    slots: u32,
    /// Tokens per stream event.
    #[serde(default = "one")]
    stride: u32,
    /// Maximum lifetime of a reservation; absent or 0 if the engines take no reservations.
    #[serde(default)]
    hold_ms: f64,
    /// Tokens that fit into an engine's memory; absent or 0 if not stated.
    #[serde(default)]
    kv_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct WireTenant {
    name: String,
    #[serde(default)]
    api_keys: Vec<String>,
    #[serde(default)]
    priority: Option<u8>,
    #[serde(default)]
    unit: Option<String>,
    #[serde(default)]
    plain_tokens: Option<u32>,
    /// Absent or 0 means no limit, as for `burst`.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
    /// Absent or empty if the tenant has no homes.
    #[serde(default)]
    allowed_regions: Vec<String>,
}

fn regions(names: &[String]) -> Option<Vec<RegionName>> {
    let regions = names.iter().map(|name| name.as_str().into());
    (!names.is_empty()).then(|| regions.collect())
}

fn one() -> u32 {
    1
}

/// Parses and validates configuration documents.
#[derive(Debug, Default)]
pub struct DocumentReader {
    features: ContractFeatures,
    prefix_reuse: PrefixReuse,
}

impl DocumentReader {
    /// Creates a reader for a deployment with these features and this prefix reuse.
    pub fn new(features: ContractFeatures, prefix_reuse: PrefixReuse) -> Self {
        DocumentReader { features, prefix_reuse }
    }
}

impl TableReader for DocumentReader {
    fn read(&self, document: &str) -> Result<(u64, OperatorTable), FaultList> {
        let document: ConfigDocument = serde_json::from_str(document).map_err(|error| {
            let mut faults = FaultList::default();
            let place = format!("line {}, column {}", error.line(), error.column());
            faults.add("/", place, format!("a configuration ({error})"));
            faults
        })?;
        let table = document.table(self);
        let faults = semantic_faults(&table);
        if faults.0.is_empty() { Ok((document.version, table)) } else { Err(faults) }
    }
}

impl ConfigDocument {
    fn table(&self, reader: &DocumentReader) -> OperatorTable {
        OperatorTable {
            tiers: self.tiers(),
            organisations: self.tenants.iter().map(WireTenant::organisation).collect(),
            services: self.services.iter().map(|service| service.service(reader)).collect(),
            assignments: self.tenants.iter().filter_map(WireTenant::assignment).collect(),
            upstreams: Vec::new(),
            routes: self.routes.iter().map(WireRoute::route).collect(),
        }
    }

    /// Returns one tier per priority in use, plus the highest, which is the default of services.
    fn tiers(&self) -> Vec<TierRow> {
        let routes = self.routes.iter().map(|route| route.priority);
        let tenants = self.tenants.iter().filter_map(|tenant| tenant.priority);
        let ranks: BTreeSet<u8> = routes.chain(tenants).chain([0]).collect();
        ranks.into_iter().map(TierRow::of_rank).collect()
    }
}

impl WireRoute {
    fn route(&self) -> RouteRow {
        let kind = match (self.kind, self.resumable) {
            (WireKind::Safe, _) => RouteKind::Safe,
            (WireKind::Unsafe, _) => RouteKind::Unsafe,
            (WireKind::Stream, true) => RouteKind::ResumableStream,
            (WireKind::Stream, false) => RouteKind::Stream,
        };
        let weighted_targets = self.backends.iter().map(|backend| RouteTarget {
            service: backend.service.as_str().into(),
            weight: backend.weight,
        });
        let single_target = self
            .service
            .iter()
            .filter(|_| self.backends.is_empty())
            .map(|service| RouteTarget { service: service.as_str().into(), weight: 1 });
        RouteRow {
            route: self.name.clone(),
            host: self.host.clone(),
            path_prefix: self.path_prefix.clone(),
            kind,
            timeout_ms: Duration::from_millis(self.timeout_ms),
            objective_ms: Duration::from_millis(self.latency_slo_ms),
            gap_ms: self.gap_slo_ms.map(Duration::from_millis),
            patience_ms: kind.is_stream().then(|| self.patience()),
            tier: tier_name_of_rank(self.priority),
            attempts: self.max_attempts.max(1),
            is_public: self.public,
            regions: regions(&self.allowed_regions),
            targets: weighted_targets.chain(single_target).collect(),
        }
    }
}

impl WireRoute {
    /// How long the platform's callers wait for an event: the largest of 2 seconds, 4 times the
    /// latency objective and 8 times the objective for the longest pause.
    fn patience(&self) -> Duration {
        let by_objective = 4 * self.latency_slo_ms;
        let by_gap = 8 * self.gap_slo_ms.unwrap_or(0);
        Duration::from_millis(by_objective.max(by_gap).max(2_000))
    }
}

impl WireService {
    fn service(&self, reader: &DocumentReader) -> ServiceRow {
        let kind = if self.engine.is_some() { ServiceKind::Model } else { ServiceKind::Plain };
        let mut row = ServiceRow::new(self.name.as_str().into(), kind, tier_name_of_rank(0));
        row.health_path.clone_from(&self.health_path);
        row.placement = PlacementMode::Earliest;
        row.queue = QueueDiscipline::Urgency;
        row.limit = LimitMode::Fixed;
        row.cold_requests_per_second = (self.cold_per_s > 0.0).then_some(self.cold_per_s);
        row.cold_start_ms = Duration::try_from_secs_f64(self.cold_start_s).unwrap_or_default();
        if let Some(engine) = &self.engine {
            row.first_guess = engine.slots.max(1);
            row.event_tokens = engine.stride.max(1);
            let reservation = Duration::from_millis(engine.hold_ms as u64);
            row.reservation_ms = (!reservation.is_zero()).then_some(reservation);
            let memory = Some(engine.kv_tokens).filter(|tokens| *tokens > 0);
            row.engine_memory_tokens = memory.filter(|_| reader.features.bounds_memory);
            row.prefix_reuse = reader.prefix_reuse;
        }
        row
    }
}

impl WireTenant {
    fn organisation(&self) -> OrganisationRow {
        let keys: BTreeSet<&String> = self.api_keys.iter().collect();
        let counts_tokens = self.unit.as_deref() == Some("tokens");
        let limit = |value: f64| (value > 0.0).then(|| value.ceil() as u64);
        OrganisationRow {
            organisation: self.name.as_str().into(),
            key_digests: keys.into_iter().map(|key| KeyDigest::of(key)).collect(),
            weight: 1,
            tokens_per_second: limit(self.rate_per_s),
            burst_tokens: limit(self.burst),
            concurrent: None,
            limit_unit: if counts_tokens { LimitUnit::Tokens } else { LimitUnit::Requests },
            uncounted_tokens: self.plain_tokens,
            regions: regions(&self.allowed_regions),
        }
    }

    fn assignment(&self) -> Option<AssignmentRow> {
        self.priority.map(|priority| AssignmentRow {
            service: None,
            organisation: Some(self.name.as_str().into()),
            purpose: None,
            tier: tier_name_of_rank(priority),
        })
    }
}
