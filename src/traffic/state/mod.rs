//! What all requests of one daemon share: the snapshot, the pools, the limits, the clock.

mod versions;

pub use versions::ChosenPool;
use versions::version_sources;

use super::access::{AccessIndex, OrganisationNumbers};
use super::crash_check::CrashChecks;
use super::fleet_exchange::FleetExchange;
use super::pool_runtime::PoolRuntime;
use super::quarantine_gate::QuarantineGate;
use super::rollout_gate::RolloutGate;
use super::routed::CallDialect;
use crate::clock::TrafficClock;
use crate::control::ClaimClient;
use crate::policy::{
    LimitTable, Mechanism, MechanismSet, Moment, PoolEvent, PoolPlan, RequestSizes, RetryBound,
    RetryBudget, RetryDetector, RouteSizes, SizeDecile,
};
use crate::rollout::version_pool;
use crate::table::{
    DaemonName, OperatorTable, ServiceKind, ServiceName, TableReader, VersionedTable,
};
use crate::upstream::{ConnectionPool, EngineDriver, PlainDriver, PlatformList, UpstreamDriver};
use arc_swap::ArcSwap;
use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::{Logger, error, info};
use std::borrow::Cow;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// One table as traffic sees it; replaced whole.
#[derive(Clone, Debug, Default)]
pub struct TableSnapshot {
    /// The table's version; 0 before any table was confirmed.
    pub version: u64,
    /// The index over it.
    pub access: AccessIndex,
}

/// A platform's manner of speaking: how its tables are read, and its headers.
pub struct PlatformManner {
    /// Reads tables.
    pub reader: Arc<dyn TableReader>,
    /// Reads and writes headers.
    pub dialect: Arc<dyn CallDialect>,
}

/// Shared state of one daemon's traffic.
pub struct TrafficState {
    /// The daemon's name.
    pub daemon: DaemonName,
    /// Logs.
    pub log: Logger,
    /// Time.
    pub clock: TrafficClock,
    snapshot: ArcSwap<TableSnapshot>,
    pools: ArcSwap<HashMap<ServiceName, Arc<PoolRuntime>>>,
    numbers: Mutex<OrganisationNumbers>,
    limits: Mutex<LimitTable>,
    platform: ArcSwap<PlatformList>,
    connections: Arc<ConnectionPool>,
    /// The table counts as current until then, in microseconds of the clock.
    current_until: AtomicU64,
    /// True if requests are admitted under the last known table when it cannot be confirmed.
    serves_cut_off: AtomicBool,
    /// The platform's manner of speaking, where one is served.
    manner: OnceLock<PlatformManner>,
    repeats: Mutex<HashMap<ServiceName, RetryBudget>>,
    repeat_bound: OnceLock<RetryBound>,
    mechanisms: OnceLock<MechanismSet>,
    /// The time that callers have, by route.
    caller_times: Mutex<HashMap<String, RetryDetector>>,
    /// Sizes of recent requests, by route.
    route_sizes: Mutex<HashMap<String, RouteSizes>>,
    is_ready: AtomicBool,
    is_drained: AtomicBool,
    claims: OnceLock<ClaimClient>,
    /// Told when a table is put in force.
    pub table_news: Notify,
    /// True once a list of upstreams was received, or if none is read.
    has_list: watch::Sender<bool>,
    /// The other daemons that serve callers.
    pub fleet: FleetExchange,
    /// Requests under which upstreams end.
    pub quarantine: QuarantineGate,
    /// Roll-outs of upstreams' software.
    pub rollouts: RolloutGate,
    /// Looks at upstreams whose connections broke.
    pub crash_checks: CrashChecks,
    /// Told when the leader should hear of a floor at once.
    pub floor_news: Notify,
    in_progress: AtomicUsize,
    next_request: AtomicU64,
    boot: u64,
    rng: Mutex<ChaCha8Rng>,
}

impl TrafficState {
    /// State with no table: nothing is admitted until [`TrafficState::apply_table`] and
    /// [`TrafficState::set_current_until`].
    pub fn new(daemon: DaemonName, log: Logger, seed: u64) -> Arc<Self> {
        let rng = ChaCha8Rng::seed_from_u64(seed);

        Arc::new(TrafficState {
            daemon,
            log,
            clock: TrafficClock::start(),
            snapshot: ArcSwap::default(),
            pools: ArcSwap::default(),
            numbers: Mutex::default(),
            limits: Mutex::default(),
            platform: ArcSwap::default(),
            connections: Arc::default(),
            current_until: AtomicU64::new(0),
            serves_cut_off: AtomicBool::new(false),
            manner: OnceLock::new(),
            repeats: Mutex::default(),
            repeat_bound: OnceLock::new(),
            mechanisms: OnceLock::new(),
            caller_times: Mutex::default(),
            route_sizes: Mutex::default(),
            is_ready: AtomicBool::new(true),
            is_drained: AtomicBool::new(false),
            claims: OnceLock::new(),
            table_news: Notify::new(),
            has_list: watch::Sender::new(true),
            fleet: FleetExchange::default(),
            quarantine: QuarantineGate::default(),
            rollouts: RolloutGate::default(),
            crash_checks: CrashChecks::default(),
            floor_news: Notify::new(),
            in_progress: AtomicUsize::new(0),
            next_request: AtomicU64::new(1),
            boot: seed,
            rng: Mutex::new(rng),
        })
    }

    /// The present snapshot.
    pub fn snapshot(&self) -> Arc<TableSnapshot> {
        self.snapshot.load_full()
    }

    /// The pool of a service, that of the version in use where it has been rolled out.
    pub fn pool(&self, service: &ServiceName) -> Option<Arc<PoolRuntime>> {
        self.choose_pool(service, false).map(|chosen| chosen.pool)
    }

    /// All pools.
    pub fn pools(&self) -> Arc<HashMap<ServiceName, Arc<PoolRuntime>>> {
        self.pools.load_full()
    }

    /// The organisations' limits.
    pub fn limits(&self) -> std::sync::MutexGuard<'_, LimitTable> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a table in force. Versions only rise: an older one is passed over.
    pub fn apply_table(&self, versioned: &VersionedTable) {
        let mut numbers = self.numbers.lock().unwrap_or_else(PoisonError::into_inner);
        if versioned.version <= self.snapshot.load().version {
            return;
        }
        let Some(table) = self.read_table(versioned) else { return };
        let access = AccessIndex::new(&table, &mut numbers);
        self.limits().set_limits(access.limits().clone());
        self.update_pools(&access);
        self.snapshot.store(Arc::new(TableSnapshot { version: versioned.version, access }));
        self.table_news.notify_waiters();
        info!(self.log, "table in force"; "version" => versioned.version, "hash" => &versioned.hash);
    }

    /// The table itself, read from its document where there is one.
    fn read_table<'a>(&self, versioned: &'a VersionedTable) -> Option<Cow<'a, OperatorTable>> {
        let Some(document) = &versioned.document else {
            return Some(Cow::Borrowed(&versioned.table));
        };
        let reader = self.manner.get().map(|manner| &manner.reader);
        match reader.map(|reader| reader.read(document)) {
            Some(Ok((_, table))) => Some(Cow::Owned(table)),
            Some(Err(faults)) => {
                error!(self.log, "table not read; the one before stays in force"; "version" => versioned.version, "faults" => faults.to_string());
                None
            }
            None => {
                error!(self.log, "table in another format, and no platform is set"; "version" => versioned.version);
                None
            }
        }
    }

    /// Serves a platform's interface; only the first call counts.
    pub fn set_manner(&self, manner: PlatformManner) {
        let _ = self.manner.set(manner);
    }

    /// The platform's manner of speaking, if one is served.
    pub fn manner(&self) -> Option<&PlatformManner> {
        self.manner.get()
    }

    /// Admits under the last known table from now on, if the lease runs out.
    pub fn serve_cut_off(&self) {
        self.serves_cut_off.store(true, Ordering::Release);
    }

    /// True if requests are admitted under the last known table when the lease runs out.
    pub fn may_serve_cut_off(&self) -> bool {
        self.serves_cut_off.load(Ordering::Acquire)
    }

    /// Where a service's upstreams are asked whether they are sound, if it says.
    pub fn health_path(&self, service: &ServiceName) -> Option<String> {
        let snapshot = self.snapshot();
        let row = snapshot.access.table().service(service.as_str());
        row.and_then(|row| row.health_path.clone())
    }

    /// The connections to upstreams.
    pub fn connections(&self) -> &Arc<ConnectionPool> {
        &self.connections
    }

    /// Sets the operators' bound on repeats; only the first call counts, before any request.
    pub fn set_repeat_bound(&self, bound: RetryBound) {
        let _ = self.repeat_bound.set(bound);
    }

    /// Switches mechanisms off; only the first call counts, before any table is in force.
    pub fn set_mechanisms(&self, mechanisms: MechanismSet) {
        self.limits().set_mechanisms(mechanisms.clone());
        let _ = self.mechanisms.set(mechanisms);
    }

    fn mechanisms(&self) -> MechanismSet {
        self.mechanisms.get().cloned().unwrap_or_default()
    }

    /// True if a caller of `route` that has `time` left has been here before, as far as that can be told.
    pub fn has_returned(&self, route: &str, time: Duration) -> bool {
        if !self.mechanisms().has(Mechanism::KnownReturns) {
            return false;
        }
        let mut times = self.caller_times.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(times) = times.get_mut(route) {
            return times.is_retry(time);
        }
        times.entry(route.to_owned()).or_default().is_retry(time)
    }

    /// The tenth by size of a request among the recent ones of its route; none while too few are known.
    pub fn size_tenth(&self, route: &str, sizes: RequestSizes) -> Option<SizeDecile> {
        self.with_route_sizes(route, |known| known.decile(sizes))
    }

    /// Takes what a request of a route costs of its organisation's limit; what one usually costs.
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

    /// The budget for second sends to a service.
    pub fn with_repeats<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut repeats = self.repeats.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = repeats.entry(service.clone()).or_insert_with(|| {
            let bound = self.repeat_bound.get().copied().unwrap_or_default();
            RetryBudget::new(bound, self.fleet.daemon_count())
        });
        change(budget)
    }

    fn update_pools(&self, access: &AccessIndex) {
        let old = self.pools.load();
        let mut pools = HashMap::new();
        let shares = access.tier_shares();
        for (row, version) in access.services().flat_map(|row| self.versions_of(row)) {
            let mut plan = PoolPlan::new(row, &shares);
            plan.sheds_locally = !access.table().routes.is_empty();
            plan.mechanisms = self.mechanisms();
            let name = version_pool(&row.service, version.as_ref());
            let pool = match old.get(&name) {
                Some(pool) => {
                    pool.tell(PoolEvent::Plan(plan));
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
            pool.set_manner(row);
            pools.insert(name, pool);
        }
        self.pools.store(Arc::new(pools));
        let routes: HashSet<&str> =
            access.table().routes.iter().map(|row| row.route.as_str()).collect();
        let mut times = self.caller_times.lock().unwrap_or_else(PoisonError::into_inner);
        times.retain(|route, _| routes.contains(route.as_str()));
        drop(times);
        let mut sizes = self.route_sizes.lock().unwrap_or_else(PoisonError::into_inner);
        sizes.retain(|route, _| routes.contains(route.as_str()));
        drop(sizes);
        self.update_sources(access.table());
    }

    /// The platform's list as it is in force.
    pub fn platform(&self) -> Arc<PlatformList> {
        self.platform.load_full()
    }

    /// A list of upstreams is read from now on, and none is known yet.
    pub fn expect_list(&self) {
        self.has_list.send_replace(false);
    }

    /// Waits for the first list of upstreams, `most` at most.
    pub async fn list_soon(&self, most: Duration) {
        if *self.has_list.borrow() {
            return;
        }
        let mut news = self.has_list.subscribe();
        let _ = tokio::time::timeout(most, news.wait_for(|has_list| *has_list)).await;
    }

    /// Takes a new platform list.
    pub fn apply_platform(&self, list: PlatformList) {
        self.platform.store(Arc::new(list));
        self.update_sources(self.snapshot.load().access.table());
        self.has_list.send_replace(true);
    }

    fn update_sources(&self, table: &OperatorTable) {
        let platform = self.platform.load();
        for pool in self.pools.load().values() {
            let sources = match self.rollouts.row(&pool.service) {
                Some(row) => version_sources(&row, &platform, table, pool),
                None => platform.merged(table, &pool.service),
            };
            pool.tell(PoolEvent::Sources(sources));
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

    /// A number in 0.0..1.0 for jitter.
    pub fn jitter(&self) -> f64 {
        (self.seed() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The daemon's boot number.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// A new request number and the id that goes to upstreams and callers.
    pub fn new_request_id(&self) -> (u64, Arc<str>) {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        (number, Arc::from(format!("{}-{:x}-{number}", self.daemon, self.boot)))
    }

    /// The table counts as current until `until`.
    pub fn set_current_until(&self, until: Moment) {
        self.current_until.store(until.0, Ordering::Release);
    }

    /// True while this daemon may admit requests under its table.
    pub fn is_current(&self) -> bool {
        let goes_on =
            self.serves_cut_off.load(Ordering::Acquire) && self.snapshot.load().version > 0;
        goes_on || self.clock.now().0 < self.current_until.load(Ordering::Acquire)
    }

    /// True while the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire) && self.is_current()
    }

    /// Turns readiness off for good.
    pub fn turn_unready(&self) {
        self.is_ready.store(false, Ordering::Release);
    }

    /// The drain is complete: nothing is admitted or waits here any more.
    pub fn set_drained(&self) {
        self.is_drained.store(true, Ordering::Release);
    }

    /// True once the drain is complete.
    pub fn is_drained(&self) -> bool {
        self.is_drained.load(Ordering::Acquire)
    }

    /// Gives the traffic its way to claims; only the first call counts.
    pub fn set_claims(&self, client: ClaimClient) {
        let _ = self.claims.set(client);
    }

    /// The way to claims.
    pub fn claims(&self) -> Option<&ClaimClient> {
        self.claims.get()
    }

    /// Requests in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Counts a request in progress until the guard drops.
    pub fn begin(self: &Arc<Self>) -> ProgressGuard {
        self.in_progress.fetch_add(1, Ordering::AcqRel);
        ProgressGuard(Arc::clone(self))
    }
}

/// A request in progress.
pub struct ProgressGuard(Arc<TrafficState>);

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}
