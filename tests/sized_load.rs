//! Simulates daemons that share engines of unequal speed, in virtual time, under requests with
//! long-tailed sizes.

use crate::burst_pool::{arrived, urgency_plan};
use crate::session::source;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;
use tarragonknot::policy::{
    ArrivedRequest, DispatchOutcome, FleetGroup, Moment, PeerWaiting, PeerWork, PlacementDemand,
    PoolAction, PoolEvent, PoolPlan, PoolScheduler, RequestId, RequestSizes, RouteKey, RouteSizes,
    UpstreamIndex, WaitingLevels,
};

/// Requests that each engine runs at a time.
const PLACES_PER_ENGINE: u32 = 8;
/// Decode time per output token and prefill time per prompt token, at an engine of slowness 1.0.
const DECODE_US: f64 = 4_000.0;
const PREFILL_US: f64 = 10.0;
/// Round trip to an engine.
const ROUND_TRIP_US: u64 = 1_000;
/// Interval between load reports to peers, and their age on arrival.
const PEER_LOAD_INTERVAL_US: u64 = 200_000;
const PEER_LOAD_AGE_US: u64 = 100_000;
/// A caller leaves without a first event after its patience, and in any case at its deadline.
const PATIENCE_MS: u64 = 1_800;
const DEADLINE_MS: u64 = 12_000;
const OBJECTIVE_MS: u64 = 300;
/// Upper bound on prompt and output sizes, as a multiple of the mean of their kind.
const MAX_SIZE_IN_MEANS: f64 = 10.0;

/// Size distribution and arrival rate of one kind of request.
#[derive(Clone, Copy, Debug)]
pub struct SizedKind {
    pub rank: u8,
    pub prompt: f64,
    pub output: f64,
    /// Share of all arrivals.
    pub share: f64,
    /// Multiplies the arrival rate of this kind.
    pub burst_factor: f64,
}

/// Parameters of a simulated load.
#[derive(Clone, Debug)]
pub struct SizedLoad {
    pub daemons: usize,
    /// Multiplier of the service times of each engine.
    pub engine_slowness: Vec<f64>,
    pub kinds: Vec<SizedKind>,
    /// Arriving work relative to the capacity of the engines.
    pub load_factor: f64,
    /// Standard deviation of the logarithm of the callers' error in estimating the output.
    pub guess_error: f64,
    pub seconds: u64,
    /// Half of the engines leave half-way through the run.
    pub has_engine_loss: bool,
    pub seed: u64,
}

impl SizedLoad {
    /// Three kinds of requests on engines of three speeds, at twice their capacity.
    pub fn overload(daemons: usize) -> Self {
        let kind = |rank, prompt, output, share| SizedKind {
            rank,
            prompt,
            output,
            share,
            burst_factor: 1.0,
        };
        SizedLoad {
            daemons,
            engine_slowness: [0.55, 1.0, 2.8]
                .into_iter()
                .cycle()
                .take(12.max(daemons * 3 / 2))
                .collect(),
            kinds: vec![
                kind(0, 6_600.0, 380.0, 0.28),
                kind(1, 630.0, 290.0, 0.2),
                kind(2, 1_800.0, 24.0, 0.52),
            ],
            load_factor: 2.0,
            guess_error: 0.5,
            seconds: 30,
            has_engine_loss: false,
            seed: 1,
        }
    }
}

/// Outcome of one request.
#[derive(Clone, Copy, Debug)]
pub struct SizedOutcome {
    pub kind: usize,
    pub size: f64,
    pub is_served: bool,
    /// True if it was served and its first event met the objective.
    pub is_in_time: bool,
    /// True if an engine started it and it was not served.
    pub is_lost: bool,
}

/// Returns the fraction of `outcomes` that was served.
pub fn served_fraction<'a>(outcomes: impl Iterator<Item = &'a SizedOutcome>) -> f64 {
    let (served, all) = outcomes
        .fold((0, 0), |(served, all), outcome| (served + u32::from(outcome.is_served), all + 1));
    f64::from(served) / f64::from(all.max(1))
}

/// Returns the fraction of `outcomes` that was served within the objective.
pub fn in_time_fraction(outcomes: &[SizedOutcome]) -> f64 {
    outcomes.iter().filter(|outcome| outcome.is_in_time).count() as f64
        / outcomes.len().max(1) as f64
}

/// Returns the requests of a kind in ascending order of size.
pub fn sorted_by_size(outcomes: &[SizedOutcome], kind: usize) -> Vec<SizedOutcome> {
    let mut own: Vec<SizedOutcome> =
        outcomes.iter().copied().filter(|outcome| outcome.kind == kind).collect();
    own.sort_by(|a, b| a.size.total_cmp(&b.size));
    own
}

struct SizedRequest {
    kind: usize,
    daemon: usize,
    prompt: f64,
    output: f64,
    deadline: u64,
    is_served: bool,
    is_in_time: bool,
    is_begun: bool,
}

enum DueEvent {
    Arrive(usize),
    Tick(usize),
    SharePeerLoad,
    RemoveEngines,
    Deliver { daemon: usize, event: PoolEvent },
    ReachEngine { id: RequestId, upstream: UpstreamIndex },
    End { id: RequestId, upstream: UpstreamIndex, is_whole: bool },
}

struct SizedSimulation<'a> {
    load: &'a SizedLoad,
    daemons: Vec<(PoolScheduler, Vec<RouteSizes>)>,
    running: Vec<u32>,
    requests: HashMap<RequestId, SizedRequest>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, DueEvent>,
    next_id: u64,
    rng: ChaCha8Rng,
}

/// Simulates a load and returns the outcome of each request.
pub fn simulate(load: &SizedLoad) -> Vec<SizedOutcome> {
    simulate_with(load, |_| ())
}

/// As [`simulate`], with `change` applied to the pool plan.
pub fn simulate_with(load: &SizedLoad, change: impl Fn(&mut PoolPlan)) -> Vec<SizedOutcome> {
    let mut simulation = SizedSimulation::new(load, change);
    simulation.run();
    let outcomes = simulation.requests.values().map(|request| SizedOutcome {
        kind: request.kind,
        size: request.prompt + 10.0 * request.output,
        is_served: request.is_served,
        is_in_time: request.is_served && request.is_in_time,
        is_lost: request.is_begun && !request.is_served,
    });
    outcomes.collect()
}

impl<'a> SizedSimulation<'a> {
    fn new(load: &'a SizedLoad, change: impl Fn(&mut PoolPlan)) -> Self {
        let mut plan = urgency_plan();
        plan.has_reservations = true;
        plan.first_guess = PLACES_PER_ENGINE;
        change(&mut plan);
        let sizes = vec![RouteSizes::default(); load.kinds.len()];
        let daemons = (0..load.daemons).map(|_| (PoolScheduler::new(plan.clone()), sizes.clone()));
        let mut simulation = SizedSimulation {
            load,
            daemons: daemons.collect(),
            running: vec![0; load.engine_slowness.len()],
            requests: HashMap::new(),
            due: BinaryHeap::new(),
            events: HashMap::new(),
            next_id: 0,
            rng: ChaCha8Rng::seed_from_u64(load.seed),
        };
        simulation.list_engines(load.engine_slowness.len());
        (0..load.kinds.len()).for_each(|kind| simulation.push(0, DueEvent::Arrive(kind)));
        (0..load.daemons)
            .for_each(|daemon| simulation.push(daemon as u64 * 97, DueEvent::Tick(daemon)));
        simulation.push(0, DueEvent::SharePeerLoad);
        if load.has_engine_loss {
            simulation.push(load.seconds * 500_000, DueEvent::RemoveEngines);
        }
        simulation
    }

    /// Sends all daemons a list of the first `count` engines.
    fn list_engines(&mut self, count: usize) {
        let numbers = 1..=count as u16;
        let sources: Vec<_> = numbers.map(|number| source(&format!("e{number}"), number)).collect();
        for daemon in 0..self.daemons.len() {
            let event = PoolEvent::Sources(sources.clone());
            self.push(0, DueEvent::Deliver { daemon, event });
        }
    }

    fn push(&mut self, at: u64, event: DueEvent) {
        self.next_id += 1;
        self.due.push(Reverse((at, self.next_id)));
        self.events.insert(self.next_id, event);
    }

    /// Arrival rate of a kind per second.
    fn rate(&self, kind: usize) -> f64 {
        let mean = |own: &SizedKind| (own.prompt * PREFILL_US + own.output * DECODE_US) * own.share;
        let work: f64 = self.load.kinds.iter().map(mean).sum();
        let speed: f64 = self.load.engine_slowness.iter().map(|slowness| 1.0 / slowness).sum();
        let all = speed * f64::from(PLACES_PER_ENGINE) * 1e6 / work * self.load.load_factor;
        all * self.load.kinds[kind].share * self.load.kinds[kind].burst_factor
    }

    fn run(&mut self) {
        let until = self.load.seconds * 1_000_000;
        while let Some(Reverse((now, id))) = self.due.pop() {
            let Some(event) = self.events.remove(&id) else { continue };
            match event {
                DueEvent::Arrive(kind) if now < until => self.arrive(kind, now),
                DueEvent::Tick(daemon) if now < until + DEADLINE_MS * 1_000 => {
                    self.deliver(daemon, PoolEvent::Tick, now);
                    self.push(now + 10_000, DueEvent::Tick(daemon));
                }
                DueEvent::SharePeerLoad if now < until => self.share_peer_load(now),
                DueEvent::RemoveEngines => self.list_engines(self.load.engine_slowness.len() / 2),
                DueEvent::Deliver { daemon, event } => self.deliver(daemon, event, now),
                DueEvent::ReachEngine { id, upstream } => self.reach_engine(id, upstream, now),
                DueEvent::End { id, upstream, is_whole } => {
                    self.end(id, upstream, is_whole, now);
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, daemon: usize, event: PoolEvent, now: u64) {
        let mut actions = Vec::new();
        self.daemons[daemon].0.handle(event, Moment(now), &mut self.rng, &mut actions);
        for action in actions {
            if let PoolAction::Dispatch { id, upstream } = action {
                self.push(now + ROUND_TRIP_US, DueEvent::ReachEngine { id, upstream });
            }
        }
    }

    fn arrive(&mut self, kind: usize, now: u64) {
        let own = self.load.kinds[kind];
        let tail = |mean: f64, sigma: f64| {
            LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma)
                .expect("valid log-normal parameters")
        };
        let prompt =
            tail(own.prompt, 0.8).sample(&mut self.rng).min(own.prompt * MAX_SIZE_IN_MEANS);
        let output =
            tail(own.output, 1.2).sample(&mut self.rng).clamp(1.0, own.output * MAX_SIZE_IN_MEANS);
        let error =
            LogNormal::new(0.0, self.load.guess_error).expect("valid log-normal parameters");
        let guess = (output * error.sample(&mut self.rng)).min(own.output * MAX_SIZE_IN_MEANS);
        let sizes = RequestSizes { prompt: prompt as u32, output: guess as u32 };
        let daemon = self.rng.random_range(0..self.daemons.len());
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let deadline = now + DEADLINE_MS * 1_000;
        let request = SizedRequest {
            kind,
            daemon,
            prompt,
            output,
            deadline,
            is_served: false,
            is_in_time: false,
            is_begun: false,
        };
        self.requests.insert(id, request);
        let at = |millis: u64| Moment(now + millis * 1_000);
        let decile = self.daemons[daemon].1[kind].decile(sizes);
        let event = PoolEvent::Arrived(ArrivedRequest {
            deadline: at(DEADLINE_MS),
            objective: Some(at(OBJECTIVE_MS)),
            patience: Some(at(PATIENCE_MS)),
            sizes: Some(sizes),
            size_tenth: decile,
            demand: PlacementDemand::default(),
            may_be_resumed: false,
            must_stay: false,
            route: RouteKey::of(&kind.to_string()),
            ..arrived(id.0, own.rank, 0, 0)
        });
        self.deliver(daemon, event, now);
        let gap = 1e6 / self.rate(kind) * self.rng.random_range(0.1..1.9);
        self.push(now + gap as u64, DueEvent::Arrive(kind));
    }

    /// Grants the request a place, or reports that the engine has none free.
    fn reach_engine(&mut self, id: RequestId, upstream: UpstreamIndex, now: u64) {
        let request = self.requests.get_mut(&id).expect("a known request");
        let daemon = request.daemon;
        let engine = upstream.0 as usize;
        if self.running[engine] >= PLACES_PER_ENGINE {
            let event = PoolEvent::Ended { id, outcome: DispatchOutcome::NoSlot };
            return self.deliver(daemon, event, now);
        }
        self.running[engine] += 1;
        request.is_begun = true;
        let slowness = self.load.engine_slowness[engine];
        let first =
            (request.prompt * PREFILL_US * slowness) as u64 + 2 * (DECODE_US * slowness) as u64;
        let due = request.deadline - (DEADLINE_MS - OBJECTIVE_MS) * 1_000;
        request.is_in_time = now + first <= due;
        let whole = now + first + (request.output * DECODE_US * slowness) as u64;
        let (until, is_whole) = (whole.min(request.deadline), whole <= request.deadline);
        let after = Duration::from_micros(first);
        let gap = Duration::from_micros((DECODE_US * slowness) as u64);
        self.deliver(daemon, PoolEvent::Granted(id), now);
        let first_token = PoolEvent::FirstToken { id, after };
        self.push(now + first, DueEvent::Deliver { daemon, event: first_token });
        let token_gap = PoolEvent::TokenGap { id, gap };
        self.push(now + first + 1, DueEvent::Deliver { daemon, event: token_gap });
        self.push(until.max(now + first + 2), DueEvent::End { id, upstream, is_whole });
    }

    fn end(&mut self, id: RequestId, upstream: UpstreamIndex, is_whole: bool, now: u64) {
        self.running[upstream.0 as usize] -= 1;
        let request = self.requests.get_mut(&id).expect("a known request");
        request.is_served = is_whole;
        let output_tokens = request.output as u32;
        let outcome = match is_whole {
            true => DispatchOutcome::Completed { prompt_tokens: None, output_tokens },
            false => DispatchOutcome::Failed,
        };
        self.deliver(self.requests[&id].daemon, PoolEvent::Ended { id, outcome }, now);
    }

    /// Reports to each daemon the in-flight and waiting requests of its peers.
    fn share_peer_load(&mut self, now: u64) {
        let own = |scheduler: &PoolScheduler| -> BTreeMap<_, u32> {
            let rows = scheduler.upstreams().iter();
            rows.map(|status| (status.source.name.clone(), status.in_flight)).collect()
        };
        let rows: Vec<_> = self.daemons.iter().map(|(scheduler, _)| own(scheduler)).collect();
        let mut all: BTreeMap<_, u32> = BTreeMap::new();
        rows.iter()
            .flatten()
            .for_each(|(name, count)| *all.entry(name.clone()).or_default() += count);
        let mut levels = WaitingLevels::default();
        let waiting = self.daemons.iter().map(|(scheduler, _)| scheduler.waiting_levels());
        let waiting: Vec<WaitingLevels> = waiting.collect();
        let each = waiting.iter().flat_map(WaitingLevels::iter);
        each.for_each(|(level, count)| levels.add(level, count));
        for daemon in 0..self.daemons.len() {
            let mut others = levels.clone();
            waiting[daemon].iter().for_each(|(level, count)| others.subtract(level, count));
            let work = all.iter().map(|(name, count)| {
                let requests = count - rows[daemon].get(name).copied().unwrap_or(0);
                (name.clone(), PeerWork { requests, ..PeerWork::default() })
            });
            let age = Duration::from_micros(PEER_LOAD_AGE_US + PEER_LOAD_INTERVAL_US);
            let waiting = PeerWaiting { levels: others, age };
            let group = FleetGroup::default();
            let event = PoolEvent::PeerLoad { rows: work.collect(), group, waiting };
            self.push(now + PEER_LOAD_AGE_US, DueEvent::Deliver { daemon, event });
        }
        self.push(now + PEER_LOAD_INTERVAL_US, DueEvent::SharePeerLoad);
    }
}
