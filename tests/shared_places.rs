//! Simulates a group of daemons that share the places of a few engines, in virtual time.

use crate::burst_pool::{arrived, urgency_plan};
use crate::session::source;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;
use tarragonknot::policy::{
    DispatchOutcome, FleetGroup, Mechanism, MechanismSet, Moment, PeerWaiting, PeerWork,
    PoolAction, PoolEvent, PoolPlan, PoolScheduler, RequestId, UpstreamIndex, WaitingLevels,
};

/// Number of daemons, of engines, and of requests that each engine runs at a time.
const DAEMONS: usize = 16;
const ENGINES: u16 = 4;
const PLACES_PER_ENGINE: u32 = 6;
/// Service time of a request; the 24 places together complete 48 requests per second.
const SERVICE_MS: u64 = 500;
/// Round trip to an engine, and time from the grant of a place to the first event.
const ROUND_TRIP_MS: u64 = 2;
const FIRST_EVENT_MS: u64 = 50;
/// Interval between load reports to peers, and their age on arrival.
const PEER_LOAD_INTERVAL_MS: u64 = 50;
const PEER_LOAD_AGE_MS: u64 = 70;
/// Must equal the objective that [`arrived`] sets.
const OBJECTIVE_MS: u64 = 500;
/// Time that an offer of an unused slot takes: to the aggregator, and on to a member.
const OFFER_MS: u64 = 2;

enum DueEvent {
    Arrive,
    Tick(usize),
    SharePeerLoad,
    Deliver { daemon: usize, event: PoolEvent },
    ReachEngine { daemon: usize, id: RequestId, upstream: UpstreamIndex },
    End { daemon: usize, id: RequestId, upstream: UpstreamIndex },
}

/// Outcomes of the requests that arrived in one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondOutcomes {
    pub total: u32,
    pub in_time: u32,
}

impl SecondOutcomes {
    pub fn in_time_fraction(seconds: &[SecondOutcomes]) -> f64 {
        let total: u32 = seconds.iter().map(|second| second.total).sum();
        let in_time: u32 = seconds.iter().map(|second| second.in_time).sum();
        f64::from(in_time) / f64::from(total.max(1))
    }
}

struct SharedPlacesSimulation {
    daemons: Vec<PoolScheduler>,
    running: Vec<u32>,
    arrivals: HashMap<RequestId, (u64, u8)>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, DueEvent>,
    next_id: u64,
    rng: ChaCha8Rng,
    seconds: Vec<SecondOutcomes>,
    /// Milliseconds that slots were used, by the second in which the use began.
    used_ms: Vec<u64>,
    /// Number of offers sent.
    offers: u32,
    /// True if offers are lost on their way.
    loses_offers: bool,
}

/// What became of the offers of unused slots in a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferMode {
    Off,
    On,
    /// Offers are sent, but none arrives.
    Lost,
}

/// Result of [`simulate_offers`].
#[derive(Clone, Debug)]
pub struct OfferOutcome {
    pub seconds: Vec<SecondOutcomes>,
    /// Fraction of all slots that were used, by second.
    pub used: Vec<f64>,
    /// Number of offers sent.
    pub offers: u32,
}

/// Simulates the same as [`simulate`], with or without offers of unused slots.
pub fn simulate_offers(loads: &[f64], mode: OfferMode, seed: u64) -> OfferOutcome {
    let mut plan = SharedPlacesSimulation::plan(&[]);
    plan.has_slot_offers = mode != OfferMode::Off;
    let mut simulation = SharedPlacesSimulation::new(&plan, seed);
    simulation.loses_offers = mode == OfferMode::Lost;
    simulation.play(loads, None);
    let slots = u64::from(u32::from(ENGINES) * PLACES_PER_ENGINE);
    let used = simulation.used_ms.iter().map(|used| *used as f64 / (slots * 1_000) as f64);
    OfferOutcome { used: used.collect(), offers: simulation.offers, seconds: simulation.seconds }
}

/// Simulates one second for each of `loads` (arrival rate relative to capacity) with the mechanisms
/// `disabled` turned off. Requests of two ranks arrive equally often; returns, for each second, the
/// outcomes of those with `rank`, or of all if it is `None`.
pub fn simulate(
    loads: &[f64],
    disabled: &[Mechanism],
    rank: Option<u8>,
    seed: u64,
) -> Vec<SecondOutcomes> {
    let plan = SharedPlacesSimulation::plan(disabled);
    let mut simulation = SharedPlacesSimulation::new(&plan, seed);
    simulation.play(loads, rank);
    simulation.seconds
}

impl SharedPlacesSimulation {
    fn new(plan: &PoolPlan, seed: u64) -> Self {
        let daemons = (0..DAEMONS).map(|_| PoolScheduler::new(plan.clone())).collect();
        let mut simulation = SharedPlacesSimulation {
            daemons,
            running: vec![0; usize::from(ENGINES)],
            arrivals: HashMap::new(),
            due: BinaryHeap::new(),
            events: HashMap::new(),
            next_id: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            seconds: Vec::new(),
            used_ms: Vec::new(),
            offers: 0,
            loses_offers: false,
        };
        let sources: Vec<_> =
            (1..=ENGINES).map(|number| source(&format!("e{number}"), number)).collect();
        (0..DAEMONS)
            .for_each(|daemon| simulation.deliver(daemon, PoolEvent::Sources(sources.clone()), 0));
        simulation
    }

    fn plan(disabled: &[Mechanism]) -> PoolPlan {
        let mut plan = urgency_plan();
        plan.has_reservations = true;
        plan.first_guess = PLACES_PER_ENGINE;
        plan.mechanisms = MechanismSet::without(disabled);
        plan
    }

    fn play(&mut self, loads: &[f64], rank: Option<u8>) {
        self.seconds = vec![SecondOutcomes::default(); loads.len()];
        self.used_ms = vec![0; loads.len()];
        let capacity =
            f64::from(u32::from(ENGINES) * PLACES_PER_ENGINE) * 1_000.0 / SERVICE_MS as f64;
        let mut at = 0.0;
        while (at as usize) < loads.len() * 1_000 {
            self.push(at as u64, DueEvent::Arrive);
            let gap = 1_000.0 / (capacity * loads[at as usize / 1_000]);
            at += gap * self.rng.random_range(0.2..1.8);
        }
        (0..DAEMONS).for_each(|daemon| self.push(daemon as u64 % 10, DueEvent::Tick(daemon)));
        self.push(0, DueEvent::SharePeerLoad);
        self.run(loads.len() as u64 * 1_000, rank);
    }

    /// Offers the slots that a daemon has left unused to the one with the most waiting requests.
    fn offer_unused(&mut self, daemon: usize, now: u64) {
        for upstream in self.daemons[daemon].take_unused_slots() {
            self.offers += 1;
            let others = (0..DAEMONS).filter(|other| *other != daemon);
            let waiting = |other: &usize| self.daemons[*other].status().waiting;
            let most = others.max_by_key(waiting).filter(|other| waiting(other) > 0);
            if let Some(daemon) = most.filter(|_| !self.loses_offers) {
                let event = PoolEvent::SlotFreed { upstream };
                self.push(now + OFFER_MS, DueEvent::Deliver { daemon, event });
            }
        }
    }

    fn push(&mut self, at: u64, event: DueEvent) {
        self.next_id += 1;
        self.due.push(Reverse((at, self.next_id)));
        self.events.insert(self.next_id, event);
    }

    fn deliver(&mut self, daemon: usize, event: PoolEvent, now: u64) {
        let mut actions = Vec::new();
        let scheduler = &mut self.daemons[daemon];
        scheduler.handle(event, Moment::from_millis(now), &mut self.rng, &mut actions);
        for action in actions {
            if let PoolAction::Dispatch { id, upstream } = action {
                self.push(now + ROUND_TRIP_MS, DueEvent::ReachEngine { daemon, id, upstream });
            }
        }
        self.offer_unused(daemon, now);
    }

    fn run(&mut self, until: u64, rank: Option<u8>) {
        while let Some(Reverse((now, id))) = self.due.pop() {
            if now >= until {
                break;
            }
            match self.events.remove(&id) {
                Some(DueEvent::Arrive) => self.arrive(now, rank),
                Some(DueEvent::Tick(daemon)) => {
                    self.deliver(daemon, PoolEvent::Tick, now);
                    self.push(now + 10, DueEvent::Tick(daemon));
                }
                Some(DueEvent::SharePeerLoad) => self.share_peer_load(now),
                Some(DueEvent::Deliver { daemon, event }) => self.deliver(daemon, event, now),
                Some(DueEvent::ReachEngine { daemon, id, upstream }) => {
                    self.reach_engine((daemon, id, upstream), rank, now)
                }
                Some(DueEvent::End { daemon, id, upstream }) => {
                    self.running[upstream.0 as usize] -= 1;
                    let outcome =
                        DispatchOutcome::Completed { prompt_tokens: None, output_tokens: 10 };
                    self.deliver(daemon, PoolEvent::Ended { id, outcome }, now);
                }
                None => {}
            }
        }
    }

    fn arrive(&mut self, now: u64, rank: Option<u8>) {
        self.next_id += 1;
        let id = self.next_id;
        let own = self.rng.random_range(0..2);
        self.arrivals.insert(RequestId(id), (now, own));
        let counts = rank.is_none_or(|rank| rank == own);
        self.seconds[now as usize / 1_000].total += u32::from(counts);
        let daemon = self.rng.random_range(0..DAEMONS);
        self.deliver(daemon, PoolEvent::Arrived(arrived(id, own, 10, now)), now);
    }

    /// Grants the request a place, or reports that the engine has none free.
    fn reach_engine(
        &mut self,
        sent: (usize, RequestId, UpstreamIndex),
        rank: Option<u8>,
        now: u64,
    ) {
        let (daemon, id, upstream) = sent;
        let running = &mut self.running[upstream.0 as usize];
        if *running >= PLACES_PER_ENGINE {
            let event = PoolEvent::Ended { id, outcome: DispatchOutcome::NoSlot };
            return self.deliver(daemon, event, now);
        }
        *running += 1;
        let (at, own) = self.arrivals[&id];
        let is_in_time = now + FIRST_EVENT_MS <= at + OBJECTIVE_MS;
        let counts = is_in_time && rank.is_none_or(|rank| rank == own);
        self.seconds[at as usize / 1_000].in_time += u32::from(counts);
        self.used_ms[now as usize / 1_000] += SERVICE_MS;
        self.deliver(daemon, PoolEvent::Granted(id), now);
        self.push(now + SERVICE_MS, DueEvent::End { daemon, id, upstream });
    }

    /// Reports to each daemon the in-flight and waiting requests of its peers.
    fn share_peer_load(&mut self, now: u64) {
        for daemon in 0..DAEMONS {
            let mut levels = WaitingLevels::default();
            let mut work: BTreeMap<_, PeerWork> = BTreeMap::new();
            let others = self.daemons.iter().enumerate().filter(|(other, _)| *other != daemon);
            for (_, other) in others {
                other.waiting_levels().iter().for_each(|(level, count)| levels.add(level, count));
                for status in other.upstreams().iter() {
                    work.entry(status.source.name.clone()).or_default().requests +=
                        status.in_flight;
                }
            }
            let age = Duration::from_millis(PEER_LOAD_AGE_MS + PEER_LOAD_INTERVAL_MS);
            let waiting = PeerWaiting { levels, age };
            let rows = work.into_iter().collect();
            let event = PoolEvent::PeerLoad { rows, group: FleetGroup::default(), waiting };
            self.push(now + PEER_LOAD_AGE_MS, DueEvent::Deliver { daemon, event });
        }
        self.push(now + PEER_LOAD_INTERVAL_MS, DueEvent::SharePeerLoad);
    }
}
