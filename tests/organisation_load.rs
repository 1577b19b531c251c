//! Simulates daemons that share engines in virtual time, under the demand of organisations of very
//! different sizes of which some send several times as much as usual for some seconds.
//!
//! Scaled from a deployment of 63 daemons with 90 engines of 4 slots, whose demand rises to about
//! twice the usual. Callers who are refused come back.

use crate::burst_pool::{arrived, urgency_plan};
use crate::session::source;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;
use tarragonknot::policy::{
    ArrivedRequest, DispatchOutcome, FleetGroup, Moment, OrganisationFlow, OrganisationIndex,
    PeerWaiting, PeerWork, PoolAction, PoolEvent, PoolPlan, PoolScheduler, RequestId, RequestSizes,
    RouteKey, UpstreamIndex, WaitingLevels,
};

const PLACES_PER_ENGINE: u32 = 4;
/// Time per prompt token, and per output token at an engine of slowness 1.0.
const PREFILL_US: f64 = 16.2;
const STEP_US: f64 = 3_090.0;
const TOKENS_PER_EVENT: f64 = 6.0;
const ROUND_TRIP_US: u64 = 1_000;
/// Interval between messages of the daemons, and their age on arrival.
const MESSAGE_INTERVAL_US: u64 = 200_000;
const MESSAGE_AGE_US: u64 = 200_000;
/// Time constant of the fleet's rates.
const RATE_SECONDS: f64 = 1.0;
const PATIENCE_US: u64 = 2_400_000;
const DEADLINE_US: u64 = 10_000_000;
/// Time after which a refused caller comes back.
const RETURN_US: u64 = 300_000;
/// Demand falls with the rank of the organisation's size, to this power.
const DEMAND_EXPONENT: f64 = 1.2;

/// Rank, prompt tokens, events, objective for the first event, and requests per second in the
/// deployment, of each kind of request.
const KINDS: [(u8, f64, f64, u64, f64); 3] = [
    (0, 3_720.0, 20.0, 800_000, 154.0),
    (1, 2_890.0, 9.0, 600_000, 121.0),
    (2, 1_110.0, 29.0, 500_000, 247.0),
];

/// What the daemons learn of the whole fleet's demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FleetSums {
    Exchanged,
    Absent,
    /// Exchanged until this time, in microseconds.
    Until(u64),
}

/// Parameters of a simulated load.
#[derive(Clone, Debug)]
pub struct OrganisationLoad {
    pub daemons: usize,
    /// Weight in the shares, by organisation; the first has the largest demand.
    pub weights: Vec<u32>,
    /// Organisations that send more than usual from second 4 to second 15, and by which factor.
    pub bursting: Vec<usize>,
    pub burst_factor: f64,
    /// Usual work relative to the capacity of the engines.
    pub usual_load: f64,
    pub has_shares: bool,
    pub sums: FleetSums,
    /// True if all requests are of one rank.
    pub has_one_rank: bool,
    /// All daemons start anew at this time, in microseconds.
    pub restart_at: Option<u64>,
    /// This organisation sends nothing before the burst and after it.
    pub visitor: Option<usize>,
    pub seed: u64,
}

/// The burst, in microseconds.
pub const BURST: std::ops::Range<u64> = 4_000_000..15_000_000;
const END_US: u64 = 18_000_000;

impl OrganisationLoad {
    /// Sixteen organisations at a usual load of 0.75 of the capacity.
    pub fn of(daemons: usize, bursting: &[usize], burst_factor: f64) -> Self {
        OrganisationLoad {
            daemons,
            weights: vec![1; 16],
            bursting: bursting.to_vec(),
            burst_factor,
            usual_load: 0.75,
            has_shares: true,
            sums: FleetSums::Exchanged,
            has_one_rank: false,
            restart_at: None,
            visitor: None,
            seed: 1,
        }
    }

    fn engine_slowness(&self) -> Vec<f64> {
        let count = (self.daemons * 90).div_ceil(63).max(3);
        [0.68, 0.68, 3.0].into_iter().cycle().take(count).collect()
    }

    fn usual_share(&self, organisation: usize) -> f64 {
        let demand = |position: usize| (position as f64 + 1.0).powf(-DEMAND_EXPONENT);
        demand(organisation) / (0..self.weights.len()).map(demand).sum::<f64>()
    }

    /// Demand of an organisation at a time, in parts of the usual demand of all.
    fn demand(&self, organisation: usize, now: u64) -> f64 {
        let usual = self.usual_share(organisation);
        let is_burst = BURST.contains(&now);
        if self.visitor == Some(organisation) && !is_burst {
            return 0.0;
        }
        match is_burst && self.bursting.contains(&organisation) {
            true => usual * self.burst_factor,
            false => usual,
        }
    }

    /// Requests per second at the usual demand of all.
    fn usual_rate(&self) -> f64 {
        let all: f64 = KINDS.iter().map(|kind| kind.4).sum();
        let throughput = |slowness: f64| {
            let work = |(_, prompt, events, _, rate): (u8, f64, f64, u64, f64)| {
                service_us(prompt, events * TOKENS_PER_EVENT, slowness) * rate / all
            };
            1e6 / KINDS.into_iter().map(work).sum::<f64>()
        };
        let engines = self.engine_slowness();
        let capacity: f64 = engines.into_iter().map(throughput).sum();
        capacity * f64::from(PLACES_PER_ENGINE) * self.usual_load
    }
}

fn service_us(prompt: f64, output: f64, slowness: f64) -> f64 {
    prompt * PREFILL_US + output * STEP_US * slowness
}

/// What became of the callers of one organisation that first came during the burst.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerCounts {
    pub callers: u32,
    pub served: u32,
    /// Served with the first event within the objective of the first attempt.
    pub in_time: u32,
}

impl CallerCounts {
    pub fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.callers.max(1))
    }

    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.callers.max(1))
    }

    fn add(&mut self, caller: &Caller) {
        self.callers += 1;
        self.served += u32::from(caller.is_served);
        self.in_time += u32::from(caller.is_served && caller.is_in_time);
    }
}

/// Result of a simulated load.
#[derive(Clone, Debug)]
pub struct OrganisationOutcomes {
    pub by_organisation: Vec<CallerCounts>,
    /// As `by_organisation`, of the callers who came after the burst.
    pub later: Vec<CallerCounts>,
    /// Engine time of requests served, whenever they came, at an engine of slowness 1.0.
    pub served_work: f64,
    /// Part of the slots that was free, on average over the burst, while as many requests waited.
    pub idle_share: f64,
}

impl OrganisationOutcomes {
    /// The counts of some organisations together.
    pub fn of(&self, organisations: impl Iterator<Item = usize>) -> CallerCounts {
        organisations.fold(CallerCounts::default(), |all, organisation| {
            let own = self.by_organisation[organisation];
            CallerCounts {
                callers: all.callers + own.callers,
                served: all.served + own.served,
                in_time: all.in_time + own.in_time,
            }
        })
    }
}

struct Caller {
    organisation: usize,
    kind: usize,
    prompt: f64,
    output: f64,
    came: u64,
    daemon: usize,
    is_served: bool,
    is_in_time: bool,
}

enum DueEvent {
    Arrive(usize),
    Return(RequestId),
    Tick(usize),
    Exchange,
    Restart,
    Deliver { daemon: usize, event: PoolEvent },
    ReachEngine { id: RequestId, upstream: UpstreamIndex },
    End { id: RequestId, upstream: UpstreamIndex, daemon: usize },
}

struct OrganisationSimulation<'a> {
    load: &'a OrganisationLoad,
    plan: PoolPlan,
    engines: Vec<f64>,
    usual_rate: f64,
    daemons: Vec<PoolScheduler>,
    /// Number of the daemon's start, by which requests of an earlier one are told apart.
    boot: u32,
    boots: HashMap<RequestId, u32>,
    running: Vec<u32>,
    callers: HashMap<RequestId, Caller>,
    /// Requested and admitted in the fleet, by organisation, decaying.
    flows: Vec<(f64, f64)>,
    flows_at: u64,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, DueEvent>,
    next_id: u64,
    rng: ChaCha8Rng,
    waiting: Vec<usize>,
    idle_slot_us: f64,
    idle_since: u64,
}

/// Simulates a load and returns what its callers got.
pub fn simulate(load: &OrganisationLoad) -> OrganisationOutcomes {
    let mut simulation = OrganisationSimulation::new(load);
    simulation.run();
    simulation.outcomes()
}

impl<'a> OrganisationSimulation<'a> {
    fn new(load: &'a OrganisationLoad) -> Self {
        let mut plan = urgency_plan();
        plan.has_reservations = true;
        plan.first_guess = PLACES_PER_ENGINE;
        plan.event_tokens = TOKENS_PER_EVENT as u32;
        plan.shares_organisations = load.has_shares;
        let engines = load.engine_slowness();
        let daemons = (0..load.daemons).map(|_| PoolScheduler::new(plan.clone()));
        let mut simulation = OrganisationSimulation {
            usual_rate: load.usual_rate(),
            daemons: daemons.collect(),
            boot: 0,
            boots: HashMap::new(),
            running: vec![0; engines.len()],
            callers: HashMap::new(),
            flows: vec![(0.0, 0.0); load.weights.len()],
            flows_at: 0,
            due: BinaryHeap::new(),
            events: HashMap::new(),
            next_id: 0,
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            waiting: vec![0; load.daemons],
            idle_slot_us: 0.0,
            idle_since: 0,
            engines,
            plan,
            load,
        };
        simulation.list_engines(0);
        (0..load.weights.len()).for_each(|organisation| simulation.schedule(organisation, 0));
        (0..load.daemons)
            .for_each(|daemon| simulation.push(daemon as u64 * 97, DueEvent::Tick(daemon)));
        simulation.push(0, DueEvent::Exchange);
        if let Some(at) = load.restart_at {
            simulation.push(at, DueEvent::Restart);
        }
        simulation
    }

    fn list_engines(&mut self, now: u64) {
        let numbers = 1..=self.engines.len() as u16;
        let sources: Vec<_> = numbers.map(|number| source(&format!("e{number}"), number)).collect();
        for daemon in 0..self.daemons.len() {
            self.deliver(daemon, PoolEvent::Sources(sources.clone()), now);
        }
    }

    fn push(&mut self, at: u64, event: DueEvent) {
        self.next_id += 1;
        self.due.push(Reverse((at, self.next_id)));
        self.events.insert(self.next_id, event);
    }

    /// Schedules the next caller of an organisation.
    fn schedule(&mut self, organisation: usize, now: u64) {
        let rate = self.usual_rate * self.load.demand(organisation, now);
        // Demand changes at the burst, so that no gap may pass over its ends.
        let edges = [BURST.start, BURST.end, END_US];
        let edge = edges.into_iter().find(|edge| *edge > now).unwrap_or(END_US);
        let gap = match rate > 0.0 {
            true => Exp::new(rate / 1e6).expect("a positive rate").sample(&mut self.rng) as u64 + 1,
            false => u64::MAX / 2,
        };
        if now + gap > edge {
            if edge < END_US {
                self.push(edge, DueEvent::Return(RequestId(u64::MAX - organisation as u64)));
            }
            return;
        }
        self.push(now + gap, DueEvent::Arrive(organisation));
    }

    fn run(&mut self) {
        while let Some(Reverse((now, id))) = self.due.pop() {
            let Some(event) = self.events.remove(&id) else { continue };
            self.count_idle(now);
            match event {
                DueEvent::Arrive(organisation) => self.arrive(organisation, now),
                DueEvent::Return(RequestId(id)) if id > u64::MAX / 2 => {
                    self.schedule((u64::MAX - id) as usize, now);
                }
                DueEvent::Return(id) => self.attempt(id, now),
                DueEvent::Tick(daemon) if now < END_US + DEADLINE_US => {
                    self.deliver(daemon, PoolEvent::Tick, now);
                    self.push(now + 10_000, DueEvent::Tick(daemon));
                }
                DueEvent::Exchange if now < END_US + PATIENCE_US => self.exchange(now),
                DueEvent::Restart => self.restart(now),
                DueEvent::Deliver { daemon, event } => self.deliver(daemon, event, now),
                DueEvent::ReachEngine { id, upstream } => self.reach_engine(id, upstream, now),
                DueEvent::End { id, upstream, daemon } => self.end(id, upstream, daemon, now),
                DueEvent::Tick(_) | DueEvent::Exchange => {}
            }
        }
    }

    /// Adds the time for which slots were free although requests waited.
    fn count_idle(&mut self, now: u64) {
        if BURST.contains(&self.idle_since) {
            let waiting: usize = self.waiting.iter().sum();
            let used: u32 = self.running.iter().sum();
            let free = self.engines.len() * PLACES_PER_ENGINE as usize - used as usize;
            self.idle_slot_us += (now - self.idle_since) as f64 * waiting.min(free) as f64;
        }
        self.idle_since = now;
    }

    fn deliver(&mut self, daemon: usize, event: PoolEvent, now: u64) {
        let mut actions = Vec::new();
        let scheduler = &mut self.daemons[daemon];
        scheduler.handle(event, Moment(now), &mut self.rng, &mut actions);
        self.waiting[daemon] = scheduler.status().waiting;
        for action in actions {
            match action {
                PoolAction::Dispatch { id, upstream } => {
                    self.push(now + ROUND_TRIP_US, DueEvent::ReachEngine { id, upstream });
                }
                PoolAction::Refuse { id, .. } => self.refuse(id, now),
            }
        }
    }

    fn decay_flows(&mut self, now: u64) {
        let factor = (-((now - self.flows_at) as f64) / 1e6 / RATE_SECONDS).exp();
        self.flows.iter_mut().for_each(|(asked, taken)| {
            *asked *= factor;
            *taken *= factor;
        });
        self.flows_at = now;
    }

    fn refuse(&mut self, id: RequestId, now: u64) {
        self.decay_flows(now);
        let caller = &self.callers[&id];
        let taken = &mut self.flows[caller.organisation].1;
        *taken = (*taken - 1.0).max(0.0);
        if now + RETURN_US < caller.came + PATIENCE_US {
            self.push(now + RETURN_US, DueEvent::Return(id));
        }
    }

    fn arrive(&mut self, organisation: usize, now: u64) {
        let draw = self.rng.random_range(0.0..KINDS.iter().map(|kind| kind.4).sum::<f64>());
        let mut left = draw;
        let kind = KINDS.iter().position(|kind| {
            left -= kind.4;
            left < 0.0
        });
        let kind = kind.unwrap_or(0);
        let spread = LogNormal::new(-0.125, 0.5).expect("valid log-normal parameters");
        let (_, prompt, events, ..) = KINDS[kind];
        let caller = Caller {
            organisation,
            kind,
            prompt: prompt * spread.sample(&mut self.rng),
            output: events * TOKENS_PER_EVENT * spread.sample(&mut self.rng),
            came: now,
            daemon: 0,
            is_served: false,
            is_in_time: false,
        };
        self.next_id += 1;
        let id = RequestId(self.next_id);
        self.callers.insert(id, caller);
        self.schedule(organisation, now);
        self.attempt(id, now);
    }

    /// Sends a caller's request to a daemon, for the first time or again.
    fn attempt(&mut self, id: RequestId, now: u64) {
        self.decay_flows(now);
        let daemon = self.rng.random_range(0..self.daemons.len());
        let caller = self.callers.get_mut(&id).expect("a known caller");
        caller.daemon = daemon;
        let flows = &mut self.flows[caller.organisation];
        *flows = (flows.0 + 1.0, flows.1 + 1.0);
        let (rank, .., objective, _) = KINDS[caller.kind];
        let rank = if self.load.has_one_rank { 0 } else { rank };
        let event = PoolEvent::Arrived(ArrivedRequest {
            organisation: OrganisationIndex(caller.organisation as u32),
            weight: self.load.weights[caller.organisation],
            deadline: Moment(caller.came + DEADLINE_US),
            objective: Some(Moment(caller.came + objective)),
            patience: Some(Moment(caller.came + PATIENCE_US)),
            sizes: Some(RequestSizes {
                prompt: caller.prompt as u32,
                output: caller.output as u32 + 1,
            }),
            route: RouteKey::of(&caller.kind.to_string()),
            ..arrived(id.0, rank, 0, 0)
        });
        self.boots.insert(id, self.boot);
        self.deliver(daemon, event, now);
    }

    /// Replaces all daemons; the requests that they held are lost.
    fn restart(&mut self, now: u64) {
        self.boot += 1;
        let (count, plan) = (self.daemons.len(), self.plan.clone());
        self.daemons = (0..count).map(|_| PoolScheduler::new(plan.clone())).collect();
        self.flows.fill((0.0, 0.0));
        self.list_engines(now);
    }

    fn is_current(&self, id: RequestId) -> bool {
        self.boots.get(&id) == Some(&self.boot)
    }

    /// Grants the request a place, or reports that the engine has none free.
    fn reach_engine(&mut self, id: RequestId, upstream: UpstreamIndex, now: u64) {
        if !self.is_current(id) {
            return;
        }
        let engine = upstream.0 as usize;
        let caller = self.callers.get_mut(&id).expect("a known caller");
        let daemon = caller.daemon;
        if self.running[engine] >= PLACES_PER_ENGINE {
            let event = PoolEvent::Ended { id, outcome: DispatchOutcome::NoSlot };
            return self.deliver(daemon, event, now);
        }
        self.running[engine] += 1;
        let slowness = self.engines[engine];
        let first = service_us(caller.prompt, TOKENS_PER_EVENT, slowness) as u64;
        let whole = service_us(caller.prompt, caller.output, slowness) as u64;
        caller.is_in_time = now + first <= caller.came + KINDS[caller.kind].3;
        let gap = Duration::from_micros((STEP_US * slowness) as u64);
        let after = Duration::from_micros(first);
        self.deliver(daemon, PoolEvent::Granted(id), now);
        let first_token = PoolEvent::FirstToken { id, after };
        self.push(now + first, DueEvent::Deliver { daemon, event: first_token });
        let token_gap = PoolEvent::TokenGap { id, gap };
        self.push(now + first + 1, DueEvent::Deliver { daemon, event: token_gap });
        self.push(now + whole.max(first + 2), DueEvent::End { id, upstream, daemon });
    }

    fn end(&mut self, id: RequestId, upstream: UpstreamIndex, daemon: usize, now: u64) {
        self.running[upstream.0 as usize] -= 1;
        if !self.is_current(id) {
            return;
        }
        let caller = self.callers.get_mut(&id).expect("a known caller");
        caller.is_served = true;
        let output_tokens = caller.output as u32;
        let outcome = DispatchOutcome::Completed { prompt_tokens: None, output_tokens };
        self.deliver(daemon, PoolEvent::Ended { id, outcome }, now);
    }

    /// Delivers to each daemon the requests of its peers, and the fleet's flows.
    fn exchange(&mut self, now: u64) {
        self.decay_flows(now);
        let own = |scheduler: &PoolScheduler| -> BTreeMap<_, u32> {
            let rows = scheduler.upstreams().iter();
            rows.map(|status| (status.source.name.clone(), status.in_flight)).collect()
        };
        let rows: Vec<_> = self.daemons.iter().map(own).collect();
        let mut all: BTreeMap<_, u32> = BTreeMap::new();
        rows.iter()
            .flatten()
            .for_each(|(name, count)| *all.entry(name.clone()).or_default() += count);
        let waiting: Vec<WaitingLevels> =
            self.daemons.iter().map(PoolScheduler::waiting_levels).collect();
        let mut levels = WaitingLevels::default();
        let each = waiting.iter().flat_map(WaitingLevels::iter);
        each.for_each(|(level, count)| levels.add(level, count));
        let flows = self.organisation_flows();
        let sends_flows = match self.load.sums {
            FleetSums::Exchanged => true,
            FleetSums::Absent => false,
            FleetSums::Until(end) => now < end,
        };
        for daemon in 0..self.daemons.len() {
            let mut others = levels.clone();
            waiting[daemon].iter().for_each(|(level, count)| others.subtract(level, count));
            let work = all.iter().map(|(name, count)| {
                let requests = count - rows[daemon].get(name).copied().unwrap_or(0);
                (name.clone(), PeerWork { requests, ..PeerWork::default() })
            });
            let age = Duration::from_micros(MESSAGE_AGE_US + MESSAGE_INTERVAL_US);
            let waiting = PeerWaiting { levels: others, age };
            let (rows, group) = (work.collect(), FleetGroup::default());
            let event = PoolEvent::PeerLoad { rows, group, waiting };
            self.push(now + MESSAGE_AGE_US, DueEvent::Deliver { daemon, event });
            if sends_flows && self.load.has_shares {
                let event = PoolEvent::OrganisationFlows(flows.clone());
                self.push(now + MESSAGE_AGE_US, DueEvent::Deliver { daemon, event });
            }
        }
        self.push(now + MESSAGE_INTERVAL_US, DueEvent::Exchange);
    }

    fn organisation_flows(&self) -> Vec<OrganisationFlow> {
        let rows = self.flows.iter().zip(&self.load.weights).enumerate();
        let flows = rows.map(|(organisation, ((asked, taken), weight))| OrganisationFlow {
            organisation: OrganisationIndex(organisation as u32),
            weight: *weight,
            asked: *asked,
            taken: *taken,
        });
        flows.collect()
    }

    fn outcomes(&self) -> OrganisationOutcomes {
        let count = self.load.weights.len();
        let (mut by_organisation, mut later) =
            (vec![CallerCounts::default(); count], vec![CallerCounts::default(); count]);
        for caller in self.callers.values() {
            if BURST.contains(&caller.came) {
                by_organisation[caller.organisation].add(caller);
            } else if caller.came >= BURST.end {
                later[caller.organisation].add(caller);
            }
        }
        let served = self.callers.values().filter(|caller| caller.is_served);
        let served_work = served.map(|caller| service_us(caller.prompt, caller.output, 1.0)).sum();
        let slots = self.engines.len() as f64 * f64::from(PLACES_PER_ENGINE);
        let idle_share = self.idle_slot_us / (slots * (BURST.end - BURST.start) as f64);
        OrganisationOutcomes { by_organisation, later, served_work, idle_share }
    }
}
