//! Runtime of one pool: the scheduler, which performs no I/O, behind a lock, and the requests that
//! wait for its decisions.

use super::fleet_exchange::SlotOffer;
use crate::answer::AnswerKind;
use crate::clock::MonotonicClock;
use crate::fleet_state::ServiceHash;
use crate::policy::{
    ArrivedRequest, DispatchOutcome, Moment, OrganisationIndex, PlacementDemand, PoolAction,
    PoolEvent, PoolPlan, PoolScheduler, PoolStatus, RateStatement, RequestId, TierRank,
    UpstreamHash, UpstreamIndex, UpstreamState, UpstreamStatus,
};
use crate::table::{ServiceName, ServiceRow, SoftwareVersion, UpstreamName};
use crate::upstream::UpstreamDriver;
use arc_swap::ArcSwapOption;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The scheduler's decision on a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolDecision {
    /// Dispatch the request to an upstream.
    Send {
        /// Index of the upstream in the pool.
        upstream: UpstreamIndex,
        name: UpstreamName,
        address: SocketAddr,
        /// The upstream's software version, if it is known.
        version: Option<SoftwareVersion>,
    },
    /// Refuse the request.
    Refuse(AnswerKind),
}

struct PoolCore {
    scheduler: PoolScheduler,
    rng: ChaCha8Rng,
    waiters: HashMap<RequestId, oneshot::Sender<PoolDecision>>,
    actions: Vec<PoolAction>,
}

/// Runtime of one pool.
pub struct PoolRuntime {
    pub service: ServiceName,
    /// Software version of the pool's upstreams; `None` if it accepts any version.
    pub version: Option<SoftwareVersion>,
    pub driver: Arc<dyn UpstreamDriver>,
    clock: MonotonicClock,
    event_tokens: AtomicU32,
    /// Longest time that an upstream reserves a slot, in milliseconds; 0 without reservations.
    reservation: AtomicU64,
    /// Path of the upstreams' health check.
    health_path: ArcSwapOption<String>,
    /// Where unused slots are offered to other daemons; unset without an exchange.
    offers: OnceLock<mpsc::Sender<SlotOffer>>,
    core: Mutex<PoolCore>,
}

impl PoolRuntime {
    /// Creates a pool without upstreams.
    pub fn new(
        service: ServiceName,
        version: Option<SoftwareVersion>,
        plan: PoolPlan,
        driver: Arc<dyn UpstreamDriver>,
        clock: MonotonicClock,
        seed: u64,
    ) -> Arc<Self> {
        let core = PoolCore {
            scheduler: PoolScheduler::new(plan),
            rng: ChaCha8Rng::seed_from_u64(seed),
            waiters: HashMap::new(),
            actions: Vec::new(),
        };
        Arc::new(PoolRuntime {
            service,
            version,
            driver,
            clock,
            event_tokens: AtomicU32::new(1),
            reservation: AtomicU64::new(0),
            health_path: ArcSwapOption::empty(),
            offers: OnceLock::new(),
            core: Mutex::new(core),
        })
    }

    fn lock(&self) -> MutexGuard<'_, PoolCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an event to the scheduler and its decisions to the waiting requests.
    pub fn handle_event(&self, event: PoolEvent) {
        self.handle_event_locked(&mut self.lock(), event);
    }

    fn handle_event_locked(&self, core: &mut PoolCore, event: PoolEvent) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut core.actions);
        core.scheduler.handle(event, now, &mut core.rng, &mut actions);
        for action in actions.drain(..) {
            let (id, decision) = match action {
                PoolAction::Refuse { id, kind } => (id, PoolDecision::Refuse(kind)),
                PoolAction::Dispatch { id, upstream } => {
                    match core.scheduler.upstreams().get(upstream) {
                        Some(status) => {
                            let source = &status.source;
                            (
                                id,
                                PoolDecision::Send {
                                    upstream,
                                    name: source.name.clone(),
                                    address: source.address,
                                    version: source.version.clone(),
                                },
                            )
                        }
                        None => (id, PoolDecision::Refuse(AnswerKind::UpstreamAbsent)),
                    }
                }
            };
            // A failed send means that the waiter is gone; its guard notifies the scheduler.
            if let Some(waiter) = core.waiters.remove(&id) {
                let _ = waiter.send(decision);
            }
        }
        core.actions = actions;
        self.offer_unused_slots(&mut core.scheduler);
    }

    /// Sets where unused slots are offered to other daemons; only the first call has an effect.
    pub fn offer_slots_to(&self, sender: mpsc::Sender<SlotOffer>) {
        let _ = self.offers.set(sender);
    }

    fn offer_unused_slots(&self, scheduler: &mut PoolScheduler) {
        let unused = scheduler.take_unused_slots();
        let Some(sender) = self.offers.get() else { return };
        for status in unused.iter().filter_map(|index| scheduler.upstreams().get(*index)) {
            let source = &status.source;
            let offer = SlotOffer {
                service: ServiceHash::of(&self.service),
                upstream: UpstreamHash::of(&self.service, &source.name, source.incarnation),
                is_forwarded: false,
            };
            // A full queue means that many offers are under way already.
            let _ = sender.try_send(offer);
        }
    }

    /// Submits a request to the scheduler. Dropping the guard withdraws the request.
    pub fn submit(
        self: &Arc<Self>,
        request: ArrivedRequest,
    ) -> (RequestGuard, oneshot::Receiver<PoolDecision>) {
        let id = request.id;
        let (sender, receiver) = oneshot::channel();
        let mut core = self.lock();
        core.waiters.insert(id, sender);
        self.handle_event_locked(&mut core, PoolEvent::Arrived(request));
        drop(core);
        (RequestGuard { pool: Arc::clone(self), id, is_open: true }, receiver)
    }

    /// Counters for status pages and metrics.
    pub fn status(&self) -> PoolStatus {
        self.lock().scheduler.status()
    }

    /// Number of violations of the shedding order.
    pub fn shed_order_violations(&self) -> u64 {
        self.lock().scheduler.shed_order_violations()
    }

    pub fn estimate_cost(
        &self,
        organisation: OrganisationIndex,
        tier: TierRank,
        prompt_bytes: usize,
        output_limit: Option<u32>,
    ) -> u32 {
        self.lock().scheduler.estimate_cost(organisation, tier, prompt_bytes, output_limit)
    }

    /// Calls `read` with the locked scheduler.
    pub fn inspect<T>(&self, read: impl FnOnce(&PoolScheduler) -> T) -> T {
        read(&self.lock().scheduler)
    }

    /// Index and address of all upstreams, and whether each is suspect, that is, was unreachable at
    /// the last attempt.
    pub fn addresses(&self) -> Vec<(UpstreamIndex, SocketAddr, bool)> {
        let core = self.lock();
        let is_suspect = |status: &UpstreamStatus| status.state() == UpstreamState::Suspect;
        let statuses = core.scheduler.upstreams().iter();
        statuses.map(|status| (status.index, status.source.address, is_suspect(status))).collect()
    }

    /// Upstreams that were unreachable at the last attempt.
    pub fn suspects(&self) -> Vec<(UpstreamIndex, UpstreamName, SocketAddr)> {
        let core = self.lock();
        let statuses = core.scheduler.upstreams().iter();
        let suspects = statuses.filter(|status| status.state() == UpstreamState::Suspect);
        suspects
            .map(|status| (status.index, status.source.name.clone(), status.source.address))
            .collect()
    }

    /// Upstreams that are in service, whether this daemon reaches them or not.
    pub fn usable_or_suspect(&self) -> Vec<(UpstreamIndex, UpstreamName, SocketAddr)> {
        let core = self.lock();
        let statuses = core.scheduler.upstreams().iter().filter(|status| {
            matches!(status.state(), UpstreamState::Live | UpstreamState::Suspect)
        });
        statuses
            .map(|status| (status.index, status.source.name.clone(), status.source.address))
            .collect()
    }

    /// Incarnation of an upstream; 0 if it is unknown or the upstream is no longer in the pool.
    pub fn incarnation(&self, upstream: UpstreamIndex) -> u64 {
        self.inspect(|scheduler| {
            scheduler.upstreams().get(upstream).map_or(0, |status| status.source.incarnation)
        })
    }

    /// Applies the rate that an upstream states. Returns the rate stated before if it differs.
    pub fn state_rate(
        &self,
        upstream: UpstreamIndex,
        rate: RateStatement,
    ) -> Option<RateStatement> {
        let before = self.inspect(|scheduler| {
            scheduler.upstreams().get(upstream).map(|status| status.rate_pace.rate())
        })?;
        if (before, rate) != (RateStatement::Unlimited, RateStatement::Unlimited) {
            self.handle_event(PoolEvent::RateStated { upstream, rate });
        }
        (before != rate).then_some(before)
    }

    /// Stores the rejections per second that an upstream states it bears. Returns the bound stated
    /// before if it differs.
    pub fn state_rejection_bound(
        &self,
        upstream: UpstreamIndex,
        bound: Option<u32>,
    ) -> Option<Option<u32>> {
        let before = self.inspect(|scheduler| {
            scheduler.upstreams().get(upstream).map(|status| status.rejection_bound)
        })?;
        if before == bound {
            return None;
        }
        self.handle_event(PoolEvent::RejectionBoundStated { upstream, bound });
        Some(before)
    }

    /// Slowdown of an upstream relative to the rest of the pool, as a factor; 1 if unknown.
    pub fn slowness(&self, upstream: UpstreamIndex) -> f64 {
        self.inspect(|scheduler| scheduler.slowness(upstream))
    }

    /// Prompt tokens that the upstream of a request is expected to hold; `None` if prefix reuse is off.
    pub fn kept_tokens(&self, id: RequestId) -> Option<u32> {
        self.inspect(|scheduler| scheduler.kept_tokens(id))
    }

    /// True if the upstream is still the incarnation at which a slot was requested, and may be sent
    /// work. An incarnation that the upstream reported with the slot is recorded first.
    pub fn may_send_to(&self, upstream: UpstreamIndex, incarnation: Option<u64>) -> bool {
        if let Some(incarnation) = incarnation {
            self.handle_event(PoolEvent::IncarnationReported { upstream, incarnation });
        }
        let core = self.lock();
        let status = core.scheduler.upstreams().get(upstream);
        status.is_some_and(|status| {
            status.state() != UpstreamState::Leaving
                && !status.source.is_evacuated
                && !status.is_resting()
        })
    }

    /// The shortest time for which an upstream still rests, if all that are in use rest.
    pub fn rest_left(&self) -> Option<Duration> {
        let now = self.clock.now();
        let end =
            self.inspect(|scheduler| scheduler.upstreams().rest_end(&PlacementDemand::default()));
        end.map(|end| end.since(now))
    }

    /// True if the upstream is in the pool and not leaving.
    pub fn is_in_service(&self, upstream: UpstreamIndex) -> bool {
        let is_in_service = |status: &UpstreamStatus| status.is_in_service();
        self.inspect(|scheduler| scheduler.upstreams().get(upstream).is_some_and(is_in_service))
    }

    /// The index of the upstream with this name.
    pub fn find(&self, name: &UpstreamName) -> Option<UpstreamIndex> {
        self.inspect(|scheduler| scheduler.upstreams().find(name))
    }

    /// True if some usable upstream may serve requests with this demand.
    pub fn has_usable(&self, demand: &PlacementDemand) -> bool {
        self.inspect(|scheduler| scheduler.upstreams().has_usable(demand))
    }

    /// True if an upstream may serve a request with this demand.
    pub fn meets(&self, upstream: UpstreamIndex, demand: &PlacementDemand) -> bool {
        let meets = |status: &UpstreamStatus| status.meets(demand);
        demand.is_empty()
            || self.inspect(|scheduler| scheduler.upstreams().get(upstream).is_some_and(meets))
    }

    /// True if another upstream has taken the address of this one.
    pub fn is_replaced(&self, upstream: UpstreamIndex) -> bool {
        self.inspect(|scheduler| scheduler.upstreams().is_replaced(upstream))
    }

    /// True if the version of any upstream of the pool is known.
    pub fn has_versions(&self) -> bool {
        self.inspect(|scheduler| scheduler.upstreams().has_versions())
    }

    /// Number of tokens in one event of a stream.
    pub fn event_tokens(&self) -> u32 {
        self.event_tokens.load(Ordering::Relaxed).max(1)
    }

    /// Longest time that an upstream reserves a slot; `None` without reservations.
    pub fn reservation(&self) -> Option<Duration> {
        let time = Duration::from_millis(self.reservation.load(Ordering::Relaxed));
        (!time.is_zero()).then_some(time)
    }

    /// Applies the settings of the service's row that concern its upstreams.
    pub fn apply_service_row(&self, row: &ServiceRow) {
        self.event_tokens.store(row.event_tokens, Ordering::Relaxed);
        let reservation = row.reservation_ms.unwrap_or_default().as_millis() as u64;
        self.reservation.store(reservation, Ordering::Relaxed);
        self.health_path.store(row.health_path.clone().map(Arc::new));
    }

    /// Path of the upstreams' health check, as last set by the service's row.
    pub fn health_path(&self) -> Option<String> {
        self.health_path.load().as_deref().cloned()
    }

    /// True if this daemon probably reaches none of the pool's upstreams.
    pub fn is_cut_off(&self) -> bool {
        self.inspect(|scheduler| scheduler.reach().is_cut_off())
    }

    /// True if other daemons report requests at the pool's upstreams.
    pub fn is_used_by_peers(&self) -> bool {
        self.inspect(|scheduler| {
            scheduler.upstreams().iter().any(|status| status.peer_work.requests > 0)
        })
    }

    pub fn now(&self) -> Moment {
        self.clock.now()
    }
}

/// Guard of a request submitted to the scheduler. Dropping it early withdraws the request from the
/// queue or releases its slot.
pub struct RequestGuard {
    pool: Arc<PoolRuntime>,
    id: RequestId,
    is_open: bool,
}

impl RequestGuard {
    /// Returns the request to the queue, since nothing was sent; `outcome` is the reason.
    pub fn requeue(&mut self, outcome: DispatchOutcome) -> oneshot::Receiver<PoolDecision> {
        let (sender, receiver) = oneshot::channel();
        let mut core = self.pool.lock();
        core.waiters.insert(self.id, sender);
        let event = PoolEvent::Ended { id: self.id, outcome };
        self.pool.handle_event_locked(&mut core, event);
        drop(core);
        receiver
    }

    /// Reports that the upstream granted the request a slot.
    pub fn granted(&self) {
        self.pool.handle_event(PoolEvent::Granted(self.id));
    }

    /// Reports the end of the dispatch.
    pub fn end(&mut self, outcome: DispatchOutcome) {
        if std::mem::take(&mut self.is_open) {
            self.pool.handle_event(PoolEvent::Ended { id: self.id, outcome });
        }
    }

    /// Disarms the guard after the scheduler refused the request, as there is nothing to release.
    pub fn disarm(&mut self) {
        self.is_open = false;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let mut core = self.pool.lock();
        core.waiters.remove(&self.id);
        self.pool.handle_event_locked(&mut core, PoolEvent::CallerLeft(self.id));
        let event = PoolEvent::Ended { id: self.id, outcome: DispatchOutcome::Cancelled };
        self.pool.handle_event_locked(&mut core, event);
    }
}
