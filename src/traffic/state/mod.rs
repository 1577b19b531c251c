//! State shared by all requests of one daemon: table snapshot, pools, limits and clock.

mod outgoing_pools;
mod versions;

use outgoing_pools::{OutgoingPools, PoolMap};
pub use versions::ChosenPool;
use versions::version_sources;

use super::access::{AccessIndex, OrganisationIndices};
use super::crash_check::CrashChecks;
use super::fleet_exchange::FleetExchange;
use super::memory_budget::MemoryBudget;
use super::pool_runtime::PoolRuntime;
use super::quarantine_gate::QuarantineGate;
use super::relay::PeerRelay;
use super::rollout_gate::RolloutGate;
use super::routed::CallDialect;
use super::stop_plan::StopPlan;
use super::stream_origins::StreamOrigins;
use crate::clock::MonotonicClock;
use crate::control::ClaimClient;
use crate::evacuation::EvacuatedSet;
use crate::policy::{
    AnswerTimes, ColdBound, ColdTolerance, LimitTable, Mechanism, MechanismSet, Moment, PoolEvent,
    PoolPlan, RequestSizes, RetryBound, RetryBudget, RetryDetector, RouteSizes, SizeDecile,
    UpstreamIndex, VersionHash,
};
use crate::rollout::version_pool_name;
use crate::table::{
    DaemonName, DataCentreName, OperatorTable, RegionName, RouteRow, ServiceKind, ServiceName,
    ServiceRow, TableReader, UpstreamName, VersionedTable,
};
use crate::traffic::start_times::StartTimes;
use crate::traffic::table_source::TableOrigin;
use crate::upstream::{ConnectionPool, EngineDriver, PlainDriver, PlatformList, UpstreamDriver};
use arc_swap::{ArcSwap, ArcSwapOption};
use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::{Logger, error, info};
use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore, watch};

/// Memory that incomplete events larger than 1 MiB may take together.
const EVENT_MEMORY_MIB: usize = 18;

/// The table in force, as used by the data plane; replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct TableSnapshot {
    /// Version of the table; 0 before any table was confirmed.
    pub version: u64,
    /// Index over the table.
    pub access: AccessIndex,
}

/// Interface of a platform: its table format and its headers.
pub struct PlatformInterface {
    /// Parses the platform's tables.
    pub reader: Arc<dyn TableReader>,
    /// Reads and writes the platform's headers.
    pub dialect: Arc<dyn CallDialect>,
}

/// Shared state of one daemon's data plane.
pub struct TrafficState {
    pub daemon: DaemonName,
    pub log: Logger,
    pub clock: MonotonicClock,
    snapshot: ArcSwap<TableSnapshot>,
    pools: ArcSwap<PoolMap>,
    outgoing_pools: OutgoingPools,
    /// Locked while tables, lists, evacuations or roll-outs are applied, so that the last one holds.
    organisation_indices: Mutex<OrganisationIndices>,
    limits: Mutex<LimitTable>,
    platform_list: ArcSwap<PlatformList>,
    /// Evacuated data centres; empty until the leader has sent them.
    evacuated: ArcSwapOption<EvacuatedSet>,
    cold_tolerance: OnceLock<ColdTolerance>,
    /// Region of each data centre.
    regions: OnceLock<BTreeMap<DataCentreName, RegionName>>,
    connections: Arc<ConnectionPool>,
    /// When the table took effect, in microseconds of the clock.
    table_since: AtomicU64,
    /// End of the table's lease, in microseconds of the clock.
    current_until: AtomicU64,
    /// True if requests are admitted under the last known table after its lease has expired.
    may_use_expired_table: AtomicBool,
    /// Interface of the platform, if one is served.
    interface: OnceLock<PlatformInterface>,
    retry_budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    retry_bound: OnceLock<RetryBound>,
    mechanisms: OnceLock<MechanismSet>,
    /// True if slots that this daemon leaves unused are offered to other daemons.
    has_slot_offers: AtomicBool,
    shares_organisations: AtomicBool,
    /// Detectors of retries by the callers' remaining time, by route.
    retry_detectors: Mutex<HashMap<String, RetryDetector>>,
    /// Sizes of recent requests, by route.
    route_sizes: Mutex<HashMap<String, RouteSizes>>,
    /// Times that answers take, by route.
    answer_times: Mutex<HashMap<String, AnswerTimes>>,
    /// The time left for answers once the daemon stops.
    pub stop: StopPlan,
    is_ready: AtomicBool,
    is_drained: AtomicBool,
    claims: OnceLock<ClaimClient>,
    /// Notified when a table takes effect.
    pub table_changes: Notify,
    /// True once a list of upstreams was received, or if none is read at all.
    has_upstream_list: watch::Sender<bool>,
    /// Exchange with the other daemons that serve callers.
    pub fleet: FleetExchange,
    /// Memory for large events of streams, in MiB, one permit each.
    pub event_memory: Arc<Semaphore>,
    /// Memory for request bodies and answers.
    pub memory: MemoryBudget,
    /// Quarantine of requests that crashed upstreams.
    pub quarantine: QuarantineGate,
    /// Roll-outs of upstreams' software.
    pub rollouts: RolloutGate,
    /// Requests that are passed on between this daemon and its peers.
    pub relay: PeerRelay,
    /// Where streams began.
    pub origins: StreamOrigins,
    /// Checks in progress of upstreams whose connections broke.
    pub crash_checks: CrashChecks,
    /// Notified when a shed floor must be reported to the leader at once.
    pub floor_changes: Notify,
    /// Where the table in force came from.
    pub table_origin: TableOrigin,
    /// Times from the start to the first table, list and answer.
    pub start_times: StartTimes,
    in_progress: AtomicUsize,
    next_request: AtomicU64,
    boot: u64,
    rng: Mutex<ChaCha8Rng>,
}

impl TrafficState {
    /// Creates the state without a table: nothing is admitted until [`TrafficState::apply_table`]
    /// and [`TrafficState::set_current_until`] were called.
    pub fn new(daemon: DaemonName, log: Logger, seed: u64) -> Arc<Self> {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let clock = MonotonicClock::start();
        Arc::new(TrafficState {
            memory: MemoryBudget::new(log.clone()),
            daemon,
            log,
            clock,
            snapshot: ArcSwap::default(),
            pools: ArcSwap::default(),
            outgoing_pools: OutgoingPools::default(),
            organisation_indices: Mutex::default(),
            limits: Mutex::default(),
            platform_list: ArcSwap::default(),
            evacuated: ArcSwapOption::empty(),
            cold_tolerance: OnceLock::new(),
            regions: OnceLock::new(),
            connections: Arc::default(),
            table_since: AtomicU64::new(0),
            current_until: AtomicU64::new(0),
            may_use_expired_table: AtomicBool::new(false),
            interface: OnceLock::new(),
            retry_budgets: Mutex::default(),
            retry_bound: OnceLock::new(),
            mechanisms: OnceLock::new(),
            has_slot_offers: AtomicBool::new(false),
            shares_organisations: AtomicBool::new(false),
            retry_detectors: Mutex::default(),
            route_sizes: Mutex::default(),
            answer_times: Mutex::default(),
            stop: StopPlan::default(),
            is_ready: AtomicBool::new(true),
            is_drained: AtomicBool::new(false),
            claims: OnceLock::new(),
            table_changes: Notify::new(),
            has_upstream_list: watch::Sender::new(true),
            fleet: FleetExchange::default(),
            event_memory: Arc::new(Semaphore::new(EVENT_MEMORY_MIB)),
            quarantine: QuarantineGate::default(),
            rollouts: RolloutGate::default(),
            relay: PeerRelay::default(),
            origins: StreamOrigins::default(),
            crash_checks: CrashChecks::default(),
            floor_changes: Notify::new(),
            table_origin: TableOrigin::default(),
            start_times: StartTimes::new(clock.now()),
            in_progress: AtomicUsize::new(0),
            next_request: AtomicU64::new(1),
            boot: seed,
            rng: Mutex::new(rng),
        })
    }

    pub fn snapshot(&self) -> Arc<TableSnapshot> {
        self.snapshot.load_full()
    }

    /// Pool of a service in the table; if the service has a roll-out, the pool of the version in use.
    pub fn pool(&self, service: &ServiceName) -> Option<Arc<PoolRuntime>> {
        let is_in_table = self.pools.load().contains_key(service);
        self.choose_pool(service, false).filter(|_| is_in_table).map(|chosen| chosen.pool)
    }

    /// All pools, with those that have left the table while requests use them.
    pub fn pools(&self) -> Arc<PoolMap> {
        self.outgoing_pools.joined_with(self.pools.load_full())
    }

    /// Passes an event of an upstream to each pool of its service that has it: those of a roll-out's
    /// versions, and the one of all versions, which is used before and after.
    pub fn notify_pools(
        &self,
        service: &ServiceName,
        name: &UpstreamName,
        event: impl Fn(UpstreamIndex) -> PoolEvent,
    ) {
        for pool in self.pools().values().filter(|pool| pool.service == *service) {
            pool.find(name).into_iter().for_each(|upstream| pool.handle_event(event(upstream)));
        }
    }

    /// The shortest time for which an upstream of a service still rests, if all of them rest.
    pub fn rest_left(&self, service: &ServiceName) -> Option<Duration> {
        let pools = self.pools();
        let rests = pools.values().filter(|pool| pool.service == *service);
        rests.filter_map(|pool| pool.rest_left()).min()
    }

    /// Forgets the pools that have left the table and that no request uses any more.
    pub fn release_idle_pools(&self) {
        self.outgoing_pools.release_idle(self.clock.now());
    }

    /// Locks the organisations' limits.
    pub fn limits(&self) -> std::sync::MutexGuard<'_, LimitTable> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a table in force, unless its version is not newer than that of the current one.
    pub fn apply_table(&self, versioned: &VersionedTable) {
        let is_newer = || versioned.version > self.snapshot.load().version;
        if !is_newer() {
            return;
        }
        // Read before the lock is taken: lists must not wait while a large table is parsed.
        let Some(table) = self.read_table(versioned) else { return };
        let mut indices = self.lock_changes();
        if !is_newer() {
            return;
        }
        let access = AccessIndex::new(&table, &mut indices);
        self.limits().set_limits(access.limits().clone());
        if has_moved_route(self.snapshot.load().access.table(), access.table()) {
            self.origins.record_route_change(self);
        }
        self.update_pools(&access);
        self.snapshot.store(Arc::new(TableSnapshot { version: versioned.version, access }));
        self.table_since.store(self.clock.now().0, Ordering::Release);
        self.start_times.record_table(self.clock.now());
        self.table_changes.notify_waiters();
        info!(self.log, "table in force"; "version" => versioned.version, "hash" => &versioned.hash);
    }

    /// Locks out other changes of what the pools are built from.
    fn lock_changes(&self) -> MutexGuard<'_, OrganisationIndices> {
        self.organisation_indices.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// When the table in force took effect.
    pub fn table_since(&self) -> Moment {
        Moment(self.table_since.load(Ordering::Acquire))
    }

    /// Returns the table, parsed from the platform's document if there is one.
    fn read_table<'a>(&self, versioned: &'a VersionedTable) -> Option<Cow<'a, OperatorTable>> {
        let Some(document) = &versioned.document else {
            return Some(Cow::Borrowed(&versioned.table));
        };
        let reader = self.interface.get().map(|interface| &interface.reader);
        match reader.map(|reader| reader.read(document)) {
            Some(Ok((_, table))) => Some(Cow::Owned(table)),
            Some(Err(faults)) => {
                error!(self.log, "cannot parse table; keeping the previous one"; "version" => versioned.version, "faults" => faults.to_string());
                None
            }
            None => {
                error!(self.log, "table is in a platform's format, but no platform is configured"; "version" => versioned.version);
                None
            }
        }
    }

    /// Sets the platform interface to serve; only the first call has an effect.
    pub fn set_interface(&self, interface: PlatformInterface) {
        let _ = self.interface.set(interface);
    }

    /// Interface of the platform, if one is served.
    pub fn interface(&self) -> Option<&PlatformInterface> {
        self.interface.get()
    }

    /// Allows requests to be admitted under the last known table after its lease has expired.
    pub fn allow_expired_table(&self) {
        self.may_use_expired_table.store(true, Ordering::Release);
    }

    /// True if requests are admitted under the last known table after its lease has expired.
    pub fn may_use_expired_table(&self) -> bool {
        self.may_use_expired_table.load(Ordering::Acquire)
    }

    /// Path of the health check of a service's upstreams, if the service has one. A service that has
    /// left the table keeps its path while requests use its pool.
    pub fn health_path(&self, service: &ServiceName) -> Option<String> {
        let snapshot = self.snapshot();
        match snapshot.access.table().service(service.as_str()) {
            Some(row) => row.health_path.clone(),
            None => self.outgoing_pools.get(service).and_then(|pool| pool.health_path()),
        }
    }

    /// True if the upstreams of a service are model engines by the table in force.
    pub fn has_model_engines(&self, service: &ServiceName) -> bool {
        let snapshot = self.snapshot();
        let row = snapshot.access.table().service(service.as_str());
        row.is_some_and(|row| row.kind == ServiceKind::Model)
    }

    pub fn connections(&self) -> &Arc<ConnectionPool> {
        &self.connections
    }

    /// Sets the operators' bound on retries, before the first request; only the first call has an
    /// effect.
    pub fn set_retry_bound(&self, bound: RetryBound) {
        let _ = self.retry_bound.set(bound);
    }

    /// Sets the tolerance of the bound on requests to cold upstreams, before any table is in force;
    /// only the first call has an effect.
    pub fn set_cold_tolerance(&self, tolerance: ColdTolerance) {
        let _ = self.cold_tolerance.set(tolerance);
    }

    /// Sets the region of each data centre, before any list is applied; only the first call has an
    /// effect.
    pub fn set_regions(&self, regions: BTreeMap<DataCentreName, RegionName>) {
        let _ = self.regions.set(regions);
    }

    fn cold_bound(&self, row: &ServiceRow) -> Option<ColdBound> {
        let tolerance = self.cold_tolerance.get().copied().unwrap_or_default();
        let rate = row.cold_requests_per_second?;
        Some(ColdBound::new(rate, row.cold_start_ms, tolerance))
    }

    /// Sets the enabled mechanisms, before any table is in force; only the first call has an
    /// effect.
    pub fn set_mechanisms(&self, mechanisms: MechanismSet) {
        self.limits().set_mechanisms(mechanisms.clone());
        let _ = self.mechanisms.set(mechanisms);
    }

    /// Offers slots that this daemon leaves unused to other daemons; set before any table is in force.
    pub fn enable_slot_offers(&self) {
        self.has_slot_offers.store(true, Ordering::Release);
    }

    /// Lets organisations share services that are too small for all; called before any table is in
    /// force.
    pub fn enable_organisation_shares(&self) {
        self.shares_organisations.store(true, Ordering::Release);
    }

    /// True if organisations share services that are too small for all.
    pub fn shares_organisations(&self) -> bool {
        self.shares_organisations.load(Ordering::Acquire)
    }

    fn mechanisms(&self) -> MechanismSet {
        self.mechanisms.get().cloned().unwrap_or_default()
    }

    /// True if a request to `route` whose caller has `time` left appears to be a retry.
    pub fn is_retry(&self, route: &str, time: Duration) -> bool {
        if !self.mechanisms().has(Mechanism::KnownReturns) {
            return false;
        }
        let mut detectors = self.retry_detectors.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(detector) = detectors.get_mut(route) {
            return detector.is_retry(time);
        }
        detectors.entry(route.to_owned()).or_default().is_retry(time)
    }

    /// Decile of a request's size among the recent requests of its route; `None` while too few are
    /// known.
    pub fn size_decile(&self, route: &str, sizes: RequestSizes) -> Option<SizeDecile> {
        self.with_route_sizes(route, |known| known.decile(sizes))
    }

    /// Records the cost of a request against its organisation's limit, and returns the usual cost
    /// of the route's requests.
    pub fn usual_cost(&self, route: &str, cost: u32) -> u32 {
        self.with_route_sizes(route, |known| known.usual_cost(cost))
    }

    fn with_route_sizes<T>(&self, route: &str, take: impl FnOnce(&mut RouteSizes) -> T) -> T {
        let mut known = self.route_sizes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = known.get_mut(route) {
            return take(known);
        }
        take(known.entry(route.to_owned()).or_default())
    }

    /// Records the time from the send of a request to its whole answer.
    pub fn record_answer_time(&self, route: &str, time: Duration) {
        let mut known = self.answer_times.lock().unwrap_or_else(PoisonError::into_inner);
        match known.get_mut(route) {
            Some(times) => times.record(time),
            None => known.entry(route.to_owned()).or_default().record(time),
        }
    }

    /// Time within which nearly all answers of a route end; `None` before the first one.
    pub fn answer_time(&self, route: &str) -> Option<Duration> {
        let known = self.answer_times.lock().unwrap_or_else(PoisonError::into_inner);
        known.get(route)?.upper_estimate()
    }

    /// Calls `change` with the budget for retries to a service.
    pub fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.retry_budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let bound = self.retry_bound.get().copied().unwrap_or_default();
            RetryBudget::new(bound, self.fleet.daemon_count())
        });
        change(budget)
    }

    fn update_pools(&self, access: &AccessIndex) {
        let old = self.pools();
        let mut pools = PoolMap::new();
        let shares = access.tier_shares();
        for (row, version) in access.services().flat_map(|row| self.versions_of(row)) {
            let mut plan = PoolPlan::new(row, &shares);
            plan.sheds_locally = !access.table().routes.is_empty();
            plan.mechanisms = self.mechanisms();
            plan.cold_bound = self.cold_bound(row);
            plan.has_slot_offers = self.has_slot_offers.load(Ordering::Acquire);
            plan.shares_organisations = self.shares_organisations();
            let name = version_pool_name(&row.service, version.as_ref());
            let pool = match old.get(&name) {
                Some(pool) => {
                    pool.handle_event(PoolEvent::Plan(plan));
                    Arc::clone(pool)
                }
                None => PoolRuntime::new(
                    row.service.clone(),
                    version,
                    plan,
                    self.driver(row.kind),
                    self.clock,
                    self.seed(),
                ),
            };
            pool.offer_slots_to(self.fleet.offer_sender());
            pool.apply_service_row(row);
            pools.insert(name, pool);
        }
        self.outgoing_pools.add_missing(&self.pools.load(), &pools, self.clock.now());
        let pools = Arc::new(pools);
        self.pools.store(Arc::clone(&pools));
        self.outgoing_pools.remove_returned(&pools);
        let routes: HashSet<&str> =
            access.table().routes.iter().map(|row| row.route.as_str()).collect();
        let mut detectors = self.retry_detectors.lock().unwrap_or_else(PoisonError::into_inner);
        detectors.retain(|route, _| routes.contains(route.as_str()));
        drop(detectors);
        let mut sizes = self.route_sizes.lock().unwrap_or_else(PoisonError::into_inner);
        sizes.retain(|route, _| routes.contains(route.as_str()));
        drop(sizes);
        let mut times = self.answer_times.lock().unwrap_or_else(PoisonError::into_inner);
        times.retain(|route, _| routes.contains(route.as_str()));
        drop(times);
        self.update_sources(access.table());
    }

    pub fn platform_list(&self) -> Arc<PlatformList> {
        self.platform_list.load_full()
    }

    /// Declares that a list of upstreams will be read. Requests wait for it unless a peer has sent one
    /// already.
    pub fn expect_upstream_list(&self) {
        let _changes = self.lock_changes();
        let has_upstreams = !self.platform_list.load().vms.is_empty();
        self.has_upstream_list.send_replace(has_upstreams);
    }

    /// Waits for the first list of upstreams, for at most `max_wait`.
    pub async fn wait_for_upstream_list(&self, max_wait: Duration) {
        if *self.has_upstream_list.borrow() {
            return;
        }
        let mut changes = self.has_upstream_list.subscribe();
        let _ = tokio::time::timeout(
            max_wait,
            changes.wait_for(|has_upstream_list| *has_upstream_list),
        )
        .await;
    }

    /// Applies a new platform list.
    pub fn apply_platform_list(&self, list: PlatformList) {
        let changes = self.lock_changes();
        self.platform_list.store(Arc::new(list));
        self.update_sources(self.snapshot.load().access.table());
        drop(changes);
        self.start_times.record_list(self.clock.now());
        self.has_upstream_list.send_replace(true);
    }

    /// Applies the current list again, as an upstream may have become usable since it was applied.
    pub fn refresh_sources(&self) {
        let _changes = self.lock_changes();
        self.update_sources(self.snapshot.load().access.table());
    }

    /// Digest of the evacuated data centres known here; 0 if none were received.
    pub fn evacuated_digest(&self) -> u64 {
        self.evacuated.load().as_deref().map_or(0, EvacuatedSet::digest)
    }

    /// Applies the evacuated data centres received from the leader.
    pub fn apply_evacuated(&self, evacuated: EvacuatedSet) {
        let _changes = self.lock_changes();
        let known = self.evacuated.load_full();
        if known.as_deref() == Some(&evacuated) {
            return;
        }
        let names = |set: &EvacuatedSet| set.iter().map(DataCentreName::to_string).collect();
        let before: Vec<String> = known.as_deref().map(names).unwrap_or_default();
        let now: Vec<String> = names(&evacuated);
        for name in before.iter().chain(&now) {
            let is_evacuated = f64::from(u8::from(now.contains(name)));
            metrics::gauge!("data_centre_evacuated", "data_centre" => name.clone())
                .set(is_evacuated);
        }
        if before != now {
            info!(self.log, "evacuated data centres changed"; "evacuated" => now.join(","), "before" => before.join(","));
        }
        self.evacuated.store(Some(Arc::new(evacuated)));
        self.update_sources(self.snapshot.load().access.table());
    }

    fn update_sources(&self, table: &OperatorTable) {
        let platform = self.platform_list.load();
        for row in &table.services {
            let sources = platform.upstream_sources(table, &row.service);
            self.origins.apply_sources(self, &row.service, &sources);
        }
        self.origins.announce_versions(self);
        let evacuated = self.evacuated.load();
        for pool in self.pools().values() {
            // A table without the service says nothing of the upstreams that another one listed.
            if platform.vms.is_empty() && table.service(pool.service.as_str()).is_none() {
                continue;
            }
            let mut sources = match self.rollouts.row(&pool.service) {
                Some(row) => version_sources(&row, &platform, table, pool),
                None => platform.upstream_sources(table, &pool.service),
            };
            let held_back = self.origins.held_back(self, &pool.service);
            for source in &mut sources {
                let version = source.version.as_ref().map(VersionHash::of);
                source.is_unannounced = version.is_some_and(|it| held_back.contains(&it));
                let Some(name) = &source.data_centre else { continue };
                source.region = self.regions.get().and_then(|regions| regions.get(name).cloned());
                source.is_evacuated = evacuated.as_ref().is_some_and(|set| set.contains(name));
            }
            pool.handle_event(PoolEvent::Sources(sources));
        }
    }

    fn driver(&self, kind: ServiceKind) -> Arc<dyn UpstreamDriver> {
        let connections = Arc::clone(&self.connections);
        match kind {
            ServiceKind::Model => Arc::new(EngineDriver::new(connections)),
            ServiceKind::Plain => Arc::new(PlainDriver::new(connections)),
        }
    }

    fn seed(&self) -> u64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).next_u64()
    }

    /// Random number in 0.0..1.0 for jitter.
    pub fn jitter(&self) -> f64 {
        (self.seed() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A new generator of random numbers.
    pub fn new_rng(&self) -> ChaCha8Rng {
        ChaCha8Rng::seed_from_u64(self.seed())
    }

    /// Boot number of the daemon.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Returns a new request number and the request id sent to upstreams and callers.
    pub fn new_request_id(&self) -> (u64, Arc<str>) {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        (number, Arc::from(format!("{}-{:x}-{number}", self.daemon, self.boot)))
    }

    /// Sets the end of the table's lease.
    pub fn set_current_until(&self, until: Moment) {
        self.current_until.store(until.0, Ordering::Release);
    }

    /// True while this daemon may admit requests under its table.
    pub fn is_current(&self) -> bool {
        let may_use_expired =
            self.may_use_expired_table.load(Ordering::Acquire) && self.snapshot.load().version > 0;
        may_use_expired || self.clock.now().0 < self.current_until.load(Ordering::Acquire)
    }

    /// True while the load balancer should send requests to this daemon.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire) && self.is_current()
    }

    /// Turns readiness off permanently.
    pub fn turn_unready(&self) {
        self.is_ready.store(false, Ordering::Release);
    }

    /// Marks the drain as complete: no request is admitted or waiting any more.
    pub fn set_drained(&self) {
        self.is_drained.store(true, Ordering::Release);
    }

    /// True once the drain is complete.
    pub fn is_drained(&self) -> bool {
        self.is_drained.load(Ordering::Acquire)
    }

    /// Sets the [`ClaimKeeper`]; only the first call has an effect.
    pub fn set_claims(&self, client: ClaimClient) {
        let _ = self.claims.set(client);
    }

    /// The [`ClaimKeeper`], once set.
    pub fn claims(&self) -> Option<&ClaimClient> {
        self.claims.get()
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> ProgressGuard {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        ProgressGuard(Arc::clone(self))
    }
}

/// True if a route of both tables has other services in the new one.
fn has_moved_route(old: &OperatorTable, new: &OperatorTable) -> bool {
    let services = |row: &RouteRow| row.services().cloned().collect::<BTreeSet<ServiceName>>();
    let known: HashMap<&str, &RouteRow> =
        old.routes.iter().map(|row| (row.route.as_str(), row)).collect();
    let mut pairs = new.routes.iter().filter_map(|row| Some((row, known.get(row.route.as_str())?)));
    pairs.any(|(row, known)| services(row) != services(known))
}

/// Counts a request as in progress until dropped.
pub struct ProgressGuard(Arc<TrafficState>);

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
