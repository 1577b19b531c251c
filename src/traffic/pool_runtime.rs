//! One pool at run time: the pure scheduler behind a lock, and who waits for its word.

use crate::answer::AnswerKind;
use crate::clock::TrafficClock;
use crate::policy::{
    ArrivedRequest, DispatchOutcome, Moment, OrganisationIndex, PoolAction, PoolEvent, PoolPlan,
    PoolScheduler, PoolStatus, RequestId, TierRank, UpstreamIndex, UpstreamState, UpstreamStatus,
};
use crate::table::{ServiceName, ServiceRow, SoftwareVersion, UpstreamName};
use crate::upstream::UpstreamDriver;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// The scheduler's word on a waiting request.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementWord {
    /// Send it there.
    Go {
        /// The upstream's number.
        upstream: UpstreamIndex,
        /// Its name.
        name: UpstreamName,
        /// Its address.
        address: SocketAddr,
    },
    /// Refuse it.
    Refuse(AnswerKind),
}

struct PoolCore {
    scheduler: PoolScheduler,
    rng: ChaCha8Rng,
    waiters: HashMap<RequestId, oneshot::Sender<PlacementWord>>,
    actions: Vec<PoolAction>,
}

/// A pool at run time.
pub struct PoolRuntime {
    /// The service.
    pub service: ServiceName,
    /// The version of its upstreams' software; none if it takes any.
    pub version: Option<SoftwareVersion>,
    /// How to talk to its upstreams.
    pub driver: Arc<dyn UpstreamDriver>,
    clock: TrafficClock,
    event_tokens: AtomicU32,
    /// How long an upstream reserves a place at most, in milliseconds; 0 if it reserves none.
    reservation: AtomicU64,
    core: Mutex<PoolCore>,
}

impl PoolRuntime {
    /// A pool without upstreams.
    pub fn new(
        service: ServiceName,
        version: Option<SoftwareVersion>,
        plan: PoolPlan,
        driver: Arc<dyn UpstreamDriver>,
        clock: TrafficClock,
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
            core: Mutex::new(core),
        })
    }

    fn lock(&self) -> MutexGuard<'_, PoolCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells the scheduler something and passes on its words.
    pub fn tell(&self, event: PoolEvent) {
        self.tell_locked(&mut self.lock(), event);
    }

    fn tell_locked(&self, core: &mut PoolCore, event: PoolEvent) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut core.actions);
        core.scheduler.handle(event, now, &mut core.rng, &mut actions);
        for action in actions.drain(..) {
            let (id, word) = match action {
                PoolAction::Refuse { id, kind } => (id, PlacementWord::Refuse(kind)),
                PoolAction::Dispatch { id, upstream } => {
                    match core.scheduler.upstreams().get(upstream) {
                        Some(status) => {
                            let source = &status.source;
                            (
                                id,
                                PlacementWord::Go {
                                    upstream,
                                    name: source.name.clone(),
                                    address: source.address,
                                },
                            )
                        }
                        None => (id, PlacementWord::Refuse(AnswerKind::UpstreamAbsent)),
                    }
                }
            };
            // A waiter that has left is dropped here; its guard tells the scheduler.
            if let Some(waiter) = core.waiters.remove(&id) {
                let _ = waiter.send(word);
            }
        }
        core.actions = actions;
    }

    /// Hands a request to the scheduler. The guard withdraws it when dropped.
    pub fn arrive(
        self: &Arc<Self>,
        request: ArrivedRequest,
    ) -> (RequestGuard, oneshot::Receiver<PlacementWord>) {
        let id = request.id;
        let (sender, receiver) = oneshot::channel();
        let mut core = self.lock();
        core.waiters.insert(id, sender);
        self.tell_locked(&mut core, PoolEvent::Arrived(request));
        drop(core);
        (RequestGuard { pool: Arc::clone(self), id, is_open: true }, receiver)
    }

    /// Numbers for status and metrics.
    pub fn status(&self) -> PoolStatus {
        self.lock().scheduler.status()
    }

    /// Breaks of the shedding order.
    pub fn order_breaks(&self) -> u64 {
        self.lock().scheduler.shed_order_violations()
    }

    /// The estimated cost of a request.
    pub fn cost_of(
        &self,
        organisation: OrganisationIndex,
        tier: TierRank,
        prompt_bytes: usize,
        output_limit: Option<u32>,
    ) -> u32 {
        self.lock().scheduler.estimate_cost(organisation, tier, prompt_bytes, output_limit)
    }

    /// Reads the scheduler's state.
    pub fn inspect<T>(&self, read: impl FnOnce(&PoolScheduler) -> T) -> T {
        read(&self.lock().scheduler)
    }

    /// Numbers and addresses of all upstreams, and whether each could not be reached last.
    pub fn addresses(&self) -> Vec<(UpstreamIndex, SocketAddr, bool)> {
        let core = self.lock();
        let is_suspect = |status: &UpstreamStatus| status.state() == UpstreamState::Suspect;
        let statuses = core.scheduler.upstreams().iter();
        statuses.map(|status| (status.index, status.source.address, is_suspect(status))).collect()
    }

    /// Upstreams that could not be reached.
    pub fn suspects(&self) -> Vec<(UpstreamIndex, UpstreamName, SocketAddr)> {
        let core = self.lock();
        let statuses = core.scheduler.upstreams().iter();
        let suspects = statuses.filter(|status| status.state() == UpstreamState::Suspect);
        suspects
            .map(|status| (status.index, status.source.name.clone(), status.source.address))
            .collect()
    }

    /// The incarnation of an upstream; 0 if it is not known, or the upstream is not known any more.
    pub fn incarnation(&self, upstream: UpstreamIndex) -> u64 {
        self.inspect(|scheduler| {
            scheduler.upstreams().get(upstream).map_or(0, |status| status.source.incarnation)
        })
    }

    /// How many times slower than the pool's usual an upstream is; 1 if that is not known.
    pub fn slowness(&self, upstream: UpstreamIndex) -> f64 {
        self.inspect(|scheduler| scheduler.slowness(upstream))
    }

    /// True if the upstream is the one that it was when a place there was asked for, and takes work. Its own word on its
    /// birth, if it came with the place, is taken first.
    pub fn is_still(&self, upstream: UpstreamIndex, incarnation: Option<u64>) -> bool {
        if let Some(incarnation) = incarnation {
            self.tell(PoolEvent::IncarnationReported { upstream, incarnation });
        }
        let core = self.lock();
        let status = core.scheduler.upstreams().get(upstream);
        status.is_some_and(|status| status.state() != UpstreamState::Leaving)
    }

    /// Tokens in one event of a stream.
    pub fn event_tokens(&self) -> u32 {
        self.event_tokens.load(Ordering::Relaxed).max(1)
    }

    /// How long an upstream reserves a place at most; none if it reserves none.
    pub fn reservation(&self) -> Option<Duration> {
        let time = Duration::from_millis(self.reservation.load(Ordering::Relaxed));
        (!time.is_zero()).then_some(time)
    }

    /// Takes what the service's row says of its upstreams.
    pub fn set_manner(&self, row: &ServiceRow) {
        self.event_tokens.store(row.event_tokens, Ordering::Relaxed);
        let reservation = row.reservation_ms.unwrap_or_default().as_millis() as u64;
        self.reservation.store(reservation, Ordering::Relaxed);
    }

    /// Now.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }
}

/// A request in the scheduler's hands. Dropped early, it leaves the queue or gives back its place.
pub struct RequestGuard {
    pool: Arc<PoolRuntime>,
    id: RequestId,
    is_open: bool,
}

impl RequestGuard {
    /// Nothing was sent, for the reason that `outcome` names: the request waits again.
    pub fn requeue(&mut self, outcome: DispatchOutcome) -> oneshot::Receiver<PlacementWord> {
        let (sender, receiver) = oneshot::channel();
        let mut core = self.pool.lock();
        core.waiters.insert(self.id, sender);
        let event = PoolEvent::Ended { id: self.id, outcome };
        self.pool.tell_locked(&mut core, event);
        drop(core);
        receiver
    }

    /// The upstream has a place for the request.
    pub fn granted(&self) {
        self.pool.tell(PoolEvent::Granted(self.id));
    }

    /// The dispatch ended.
    pub fn end(&mut self, outcome: DispatchOutcome) {
        if std::mem::take(&mut self.is_open) {
            self.pool.tell(PoolEvent::Ended { id: self.id, outcome });
        }
    }

    /// The scheduler refused: nothing to give back.
    pub fn refused(&mut self) {
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
        self.pool.tell_locked(&mut core, PoolEvent::CallerLeft(self.id));
        let event = PoolEvent::Ended { id: self.id, outcome: DispatchOutcome::Cancelled };
        self.pool.tell_locked(&mut core, event);
    }
}
