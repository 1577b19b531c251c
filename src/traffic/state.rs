//! What all requests of one daemon share: the snapshot, the pools, the limits, the clock.

use super::access::{AccessIndex, OrganisationNumbers};
use super::pool_runtime::PoolRuntime;
use crate::control::ClaimKeeper;
use crate::platform::PlatformList;
use crate::policy::{LimitBook, Moment, PoolEvent, PoolPlan, UpstreamSource};
use crate::table::{DaemonName, OperatorTable, ServiceKind, ServiceName, VersionedTable};
use crate::upstream::{ConnectionPool, EngineDriver, PlainDriver, UpstreamDriver};
use arc_swap::ArcSwap;
use rand::RngCore;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Monotonic time as [`Moment`]s.
#[derive(Clone, Copy, Debug)]
pub struct TrafficClock(Instant);

impl TrafficClock {
    /// A clock that starts a moment before now, so that 0 never occurs.
    pub fn start() -> Self {
        TrafficClock(Instant::now() - Duration::from_millis(1))
    }

    /// Now.
    pub fn now(&self) -> Moment {
        Moment(self.0.elapsed().as_micros() as u64)
    }
}

/// One table as traffic sees it; replaced whole.
#[derive(Clone, Debug, Default)]
pub struct TableSnapshot {
    /// The table's version; 0 before any table was confirmed.
    pub version: u64,
    /// The index over it.
    pub access: AccessIndex,
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
    limits: Mutex<LimitBook>,
    platform: ArcSwap<PlatformList>,
    connections: Arc<ConnectionPool>,
    /// The table counts as current until then, in microseconds of the clock.
    current_until: AtomicU64,
    is_ready: AtomicBool,
    is_drained: AtomicBool,
    claims: OnceLock<ClaimKeeper>,
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
            is_ready: AtomicBool::new(true),
            is_drained: AtomicBool::new(false),
            claims: OnceLock::new(),
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

    /// The pool of a service.
    pub fn pool(&self, service: &ServiceName) -> Option<Arc<PoolRuntime>> {
        self.pools.load().get(service).cloned()
    }

    /// All pools.
    pub fn pools(&self) -> Arc<HashMap<ServiceName, Arc<PoolRuntime>>> {
        self.pools.load_full()
    }

    /// The organisations' limits.
    pub fn limits(&self) -> std::sync::MutexGuard<'_, LimitBook> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a table in force. Versions only rise: an older one is passed over.
    pub fn apply_table(&self, versioned: &VersionedTable) {
        let mut numbers = self.numbers.lock().unwrap_or_else(PoisonError::into_inner);
        if versioned.version <= self.snapshot.load().version {
            return;
        }
        let access = AccessIndex::new(&versioned.table, &mut numbers);
        self.limits().set_limits(access.limits().clone());
        self.update_pools(&access);
        self.snapshot.store(Arc::new(TableSnapshot { version: versioned.version, access }));
        info!(self.log, "table in force"; "version" => versioned.version, "hash" => &versioned.hash);
    }

    fn update_pools(&self, access: &AccessIndex) {
        let old = self.pools.load();
        let mut pools = HashMap::new();
        let shares = access.tier_shares();
        for row in access.services() {
            let plan = PoolPlan::new(row, &shares);
            let pool = match old.get(&row.service) {
                Some(pool) => {
                    pool.tell(PoolEvent::Plan(plan));
                    Arc::clone(pool)
                }
                None => PoolRuntime::new(
                    row.service.clone(),
                    plan,
                    self.driver(row.kind),
                    self.clock,
                    self.seed(),
                ),
            };
            pools.insert(row.service.clone(), pool);
        }
        self.pools.store(Arc::new(pools));
        self.update_sources(access.table());
    }

    /// Takes a new platform list.
    pub fn apply_platform(&self, list: PlatformList) {
        self.platform.store(Arc::new(list));
        self.update_sources(self.snapshot.load().access.table());
    }

    fn update_sources(&self, table: &OperatorTable) {
        let platform = self.platform.load();
        for (service, pool) in self.pools.load().iter() {
            let sources: Vec<UpstreamSource> = platform.merged(table, service);
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
        self.clock.now().0 < self.current_until.load(Ordering::Acquire)
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
    pub fn set_claims(&self, keeper: ClaimKeeper) {
        let _ = self.claims.set(keeper);
    }

    /// The way to claims.
    pub fn claims(&self) -> Option<&ClaimKeeper> {
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
