//! Simulates daemons that share engines which keep the prompt parts that they have read, in virtual
//! time.

use crate::burst_pool::{arrived, urgency_plan};
use crate::session::source;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;
use tarragonknot::policy::{
    DispatchOutcome, FleetGroup, Moment, PeerWaiting, PeerWork, PoolAction, PoolEvent,
    PoolScheduler, PrefixMark, PrefixPlan, RequestId, RequestSizes, UpstreamIndex, UpstreamSource,
};
use tarragonknot::table::PrefixReuse;

/// Engines, of which every third takes [`SLOW_FACTOR`] times as long, and slots per engine.
pub const ENGINES: usize = 12;
const SLOTS: u32 = 4;
const SLOW_FACTOR: f64 = 4.4;
/// Microseconds per prompt token and per output token of an engine of full speed.
const PROMPT_MICROS: f64 = 16.0;
const GAP_MICROS: f64 = 2_100.0;
/// Tokens of each prompt and answer, and per event.
pub const PROMPT_TOKENS: u32 = 3_720;
const OUTPUT_TOKENS: u32 = 120;
const EVENT_TOKENS: u32 = 6;
const OBJECTIVE_MS: u64 = 800;
const ROUND_TRIP_MS: u64 = 2;
/// Interval between load reports to peers, and their age on arrival.
const REPORT_INTERVAL_MS: u64 = 50;
const REPORT_AGE_MS: u64 = 70;
/// Time between the ticks of a daemon.
const TICK_MS: u64 = 20;
/// Spreads the numbers of the shared starts like hashes.
const HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// Requests that arrive before are not counted, since the engines' speeds are not yet known.
const WARMUP_MS: u64 = 3_000;

/// The load of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct PrefixLoad {
    /// Tokens at the start of each prompt that others share.
    pub shared_tokens: u32,
    /// Number of different shared starts.
    pub prefixes: u64,
    /// Share of the requests that have the first of them; the others are equally frequent.
    pub hot_share: f64,
    pub daemons: usize,
    /// Arrivals relative to the slots' capacity if nothing is kept.
    pub load: f64,
    /// Memory of one engine, in tokens.
    pub memory: u64,
    pub duration_ms: u64,
}

/// A failure during a simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    None,
    /// Every engine loses all that it keeps, unnoticed.
    Forgotten {
        at: u64,
    },
    /// An engine starts again under its name, and is empty.
    Restart {
        at: u64,
        engine: usize,
    },
    /// A daemon is lost with its knowledge; its successor starts without any.
    LostDaemon {
        at: u64,
    },
}

/// What callers and engines saw.
#[derive(Clone, Debug, Default)]
pub struct PrefixOutcome {
    pub total: u32,
    pub in_time: u32,
    /// Times to the first event in milliseconds, sorted.
    pub first_events: Vec<f64>,
    /// Prompt tokens that the engines processed, and of these the ones that another request had brought
    /// to one of them before.
    pub read: u64,
    pub read_again: u64,
    /// Prompt tokens that daemons expected to be held, and those that were.
    pub expected: u64,
    pub held: u64,
    pub changed_choices: u64,
    /// The most requests that an engine got, relative to the mean of the engines of its speed.
    pub max_engine_share: f64,
}

impl PrefixOutcome {
    pub fn quantile(&self, share: f64) -> f64 {
        let last = self.first_events.len().saturating_sub(1);
        self.first_events.get((last as f64 * share) as usize).copied().unwrap_or(f64::NAN)
    }

    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.total.max(1))
    }
}

/// An engine's memory of prompt parts: the least recently used ones are evicted first.
#[derive(Default)]
struct PartCache {
    parts: HashMap<u64, (u64, u64)>,
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    uses: u64,
}

impl PartCache {
    /// Marks a part as used and returns true if it was held.
    fn use_part(&mut self, hash: u64, tokens: u64, room: u64) -> bool {
        self.uses += 1;
        let before = self.parts.insert(hash, (tokens, self.uses));
        match before {
            Some((_, last)) => drop(self.by_use.remove(&last)),
            None => self.tokens += tokens,
        }
        self.by_use.insert(self.uses, hash);
        while self.tokens > room {
            let Some((_, oldest)) = self.by_use.pop_first() else { break };
            let (evicted, _) = self.parts.remove(&oldest).unwrap_or_default();
            self.tokens -= evicted;
        }
        before.is_some()
    }
}

#[derive(Default)]
struct PrefixEngine {
    cache: PartCache,
    running: u32,
    /// When it has read the prompts that it has got, in microseconds.
    read_until: u64,
    served: u64,
    /// Indexes of its earlier incarnations are not valid any more.
    restarts: u64,
}

enum DueEvent {
    Arrive,
    Tick(usize),
    Report,
    Rows(usize, Vec<(tarragonknot::table::UpstreamName, PeerWork)>),
    Reach(usize, RequestId, UpstreamIndex),
    FirstEvent { daemon: usize, id: RequestId, after: Duration, gap: Duration },
    End { daemon: usize, id: RequestId, engine: usize, restarts: u64 },
    Fail,
}

struct PrefixSimulation {
    load: PrefixLoad,
    plan: tarragonknot::policy::PoolPlan,
    daemons: Vec<PoolScheduler>,
    engines: Vec<PrefixEngine>,
    sources: Vec<UpstreamSource>,
    requests: HashMap<RequestId, (u64, u64)>,
    sent_at: HashMap<RequestId, u64>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, DueEvent>,
    next_id: u64,
    rng: ChaCha8Rng,
    seen: std::collections::HashSet<u64>,
    outcome: PrefixOutcome,
    failure: Failure,
}

/// Runs `load` with a way of prefix reuse.
pub fn simulate(load: PrefixLoad, mode: PrefixReuse, failure: Failure, seed: u64) -> PrefixOutcome {
    let mut plan = urgency_plan();
    plan.has_reservations = true;
    plan.first_guess = SLOTS;
    plan.event_tokens = EVENT_TOKENS;
    plan.prefix = PrefixPlan { mode, memory_tokens: Some(load.memory) };
    let sources: Vec<UpstreamSource> = (1..=ENGINES)
        .map(|number| {
            let mut source = source(&format!("e{number:03}"), number as u16);
            source.incarnation = 1;
            source
        })
        .collect();
    let daemons = (0..load.daemons).map(|_| PoolScheduler::new(plan.clone())).collect();
    let mut simulation = PrefixSimulation {
        load,
        plan,
        daemons,
        engines: (0..ENGINES).map(|_| PrefixEngine::default()).collect(),
        sources,
        requests: HashMap::new(),
        sent_at: HashMap::new(),
        due: BinaryHeap::new(),
        events: HashMap::new(),
        next_id: 0,
        rng: ChaCha8Rng::seed_from_u64(seed),
        seen: std::collections::HashSet::new(),
        outcome: PrefixOutcome::default(),
        failure,
    };
    simulation.run();
    simulation.finish()
}

fn speed_factor(engine: usize) -> f64 {
    if engine % 3 == 2 { SLOW_FACTOR } else { 1.0 }
}

impl PrefixSimulation {
    fn push(&mut self, at: u64, event: DueEvent) {
        self.next_id += 1;
        self.due.push(Reverse((at, self.next_id)));
        self.events.insert(self.next_id, event);
    }

    fn deliver(&mut self, daemon: usize, event: PoolEvent, now: u64) {
        let mut actions = Vec::new();
        let at = Moment::from_millis(now);
        self.daemons[daemon].handle(event, at, &mut self.rng, &mut actions);
        for action in actions {
            if let PoolAction::Dispatch { id, upstream } = action {
                self.sent_at.insert(id, now);
                self.push(now + ROUND_TRIP_MS, DueEvent::Reach(daemon, id, upstream));
            }
        }
    }

    /// The times between arrivals are drawn before anything else, so that all ways meet the same ones.
    fn run(&mut self) {
        let run_micros = |engine| {
            let prompt = f64::from(PROMPT_TOKENS) * PROMPT_MICROS;
            (prompt + f64::from(OUTPUT_TOKENS) * GAP_MICROS) * speed_factor(engine)
        };
        let capacity: f64 =
            (0..ENGINES).map(|engine| f64::from(SLOTS) * 1e3 / run_micros(engine)).sum();
        let gap = 1.0 / (capacity * self.load.load);
        let mut at = 0.0;
        while (at as u64) < self.load.duration_ms {
            self.push(at as u64, DueEvent::Arrive);
            at += gap * self.rng.random_range(0.2..1.8);
        }
        for daemon in 0..self.load.daemons {
            let sources = self.sources.clone();
            self.deliver(daemon, PoolEvent::Sources(sources), 0);
            self.push(daemon as u64 % TICK_MS, DueEvent::Tick(daemon));
        }
        self.push(REPORT_INTERVAL_MS, DueEvent::Report);
        match self.failure {
            Failure::None => {}
            Failure::Forgotten { at }
            | Failure::Restart { at, .. }
            | Failure::LostDaemon { at } => self.push(at, DueEvent::Fail),
        }
        while let Some(Reverse((now, number))) = self.due.pop() {
            if now >= self.load.duration_ms + 3_000 {
                break;
            }
            let Some(event) = self.events.remove(&number) else { continue };
            self.handle(event, now);
        }
    }

    fn handle(&mut self, event: DueEvent, now: u64) {
        match event {
            DueEvent::Arrive => self.arrive(now),
            DueEvent::Tick(daemon) => {
                self.deliver(daemon, PoolEvent::Tick, now);
                self.push(now + TICK_MS, DueEvent::Tick(daemon));
            }
            DueEvent::Report => self.report(now),
            DueEvent::Rows(daemon, rows) => {
                let waiting = PeerWaiting::default();
                let group = FleetGroup::default();
                self.deliver(daemon, PoolEvent::PeerLoad { rows, group, waiting }, now);
            }
            DueEvent::Reach(daemon, id, upstream) => self.reach(daemon, id, upstream, now),
            DueEvent::FirstEvent { daemon, id, after, gap } => {
                self.deliver(daemon, PoolEvent::FirstToken { id, after }, now);
                self.deliver(daemon, PoolEvent::TokenGap { id, gap }, now);
            }
            DueEvent::End { daemon, id, engine, restarts } => {
                let is_current = self.engines[engine].restarts == restarts;
                self.engines[engine].running -= u32::from(is_current);
                let outcome = DispatchOutcome::Completed {
                    prompt_tokens: None,
                    output_tokens: OUTPUT_TOKENS,
                };
                self.deliver(daemon, PoolEvent::Ended { id, outcome }, now);
            }
            DueEvent::Fail => self.fail(now),
        }
    }

    fn arrive(&mut self, now: u64) {
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let is_hot = self.rng.random::<f64>() < self.load.hot_share;
        let drawn = self.rng.random_range(0..self.load.prefixes);
        let prefix = if is_hot { 0 } else { drawn };
        self.requests.insert(id, (now, prefix));
        let counts = now >= WARMUP_MS;
        self.outcome.total += u32::from(counts);
        let daemon = self.rng.random_range(0..self.load.daemons);
        let mut request = arrived(id.0, 0, OUTPUT_TOKENS, now);
        request.objective = Some(Moment::from_millis(now + OBJECTIVE_MS));
        request.sizes = Some(RequestSizes { prompt: PROMPT_TOKENS, output: OUTPUT_TOKENS });
        let hash = (1 + prefix).wrapping_mul(HASH_FACTOR);
        request.prefix = [PrefixMark { hash, tokens: self.load.shared_tokens }].into();
        self.deliver(daemon, PoolEvent::Arrived(request), now);
    }

    /// Reserves a slot at an engine, which begins to read the prompt at once.
    fn reach(&mut self, daemon: usize, id: RequestId, upstream: UpstreamIndex, now: u64) {
        let status = self.daemons[daemon].upstreams().get(upstream);
        let port = status.map(|status| status.source.address.port());
        let number = port.map(|port| usize::from(port) - 1);
        let known = status.map(|status| status.source.incarnation);
        let is_current = number.zip(known).is_some_and(|(number, known)| {
            known == self.sources[number].incarnation && self.engines[number].running < SLOTS
        });
        let Some(number) = number.filter(|_| is_current) else {
            let event = PoolEvent::Ended { id, outcome: DispatchOutcome::NoSlot };
            return self.deliver(daemon, event, now);
        };
        let (at, prefix) = self.requests[&id];
        let expected = self.daemons[daemon].kept_tokens(id).unwrap_or_default();
        self.deliver(daemon, PoolEvent::Granted(id), now);
        let (load, engine) = (self.load, &mut self.engines[number]);
        engine.running += 1;
        engine.served += 1;
        let in_use = u64::from(engine.running) * u64::from(PROMPT_TOKENS + OUTPUT_TOKENS);
        let room = load.memory.saturating_sub(in_use);
        let is_held = engine.cache.use_part(1 + prefix, u64::from(load.shared_tokens), room);
        let own_tokens = PROMPT_TOKENS - load.shared_tokens;
        engine.cache.use_part(id.0 << 32, u64::from(own_tokens + OUTPUT_TOKENS), room);
        let held = if is_held { load.shared_tokens } else { 0 };
        let factor = speed_factor(number);
        let read_micros = (f64::from(PROMPT_TOKENS - held) * PROMPT_MICROS * factor) as u64;
        let start = engine.read_until.max(now * 1_000);
        engine.read_until = start + read_micros;
        let gap = GAP_MICROS * factor;
        let first = engine.read_until + (2.0 * gap) as u64;
        let end = first + (f64::from(OUTPUT_TOKENS) * gap) as u64;
        let restarts = engine.restarts;
        let is_known = !self.seen.insert(prefix);
        if at >= WARMUP_MS {
            let outcome = &mut self.outcome;
            let first_ms = first as f64 / 1e3 - at as f64;
            outcome.first_events.push(first_ms);
            outcome.in_time += u32::from(first_ms <= OBJECTIVE_MS as f64);
            outcome.read += u64::from(PROMPT_TOKENS - held);
            let is_again = is_known && !is_held;
            outcome.read_again += if is_again { u64::from(load.shared_tokens) } else { 0 };
            outcome.expected += u64::from(expected);
            outcome.held += u64::from(held);
        }
        let after = Duration::from_micros(first.saturating_sub(self.sent_at[&id] * 1_000));
        let gap = Duration::from_micros(gap as u64);
        self.push(first / 1_000, DueEvent::FirstEvent { daemon, id, after, gap });
        self.push(end / 1_000, DueEvent::End { daemon, id, engine: number, restarts });
    }

    fn fail(&mut self, now: u64) {
        match self.failure {
            Failure::None => {}
            Failure::Forgotten { .. } => {
                self.engines.iter_mut().for_each(|engine| engine.cache = PartCache::default());
            }
            Failure::Restart { engine, .. } => {
                let restarts = self.engines[engine].restarts + 1;
                self.engines[engine] = PrefixEngine { restarts, ..PrefixEngine::default() };
                self.sources[engine].incarnation += 1;
                for daemon in 0..self.load.daemons {
                    let sources = self.sources.clone();
                    self.deliver(daemon, PoolEvent::Sources(sources), now);
                }
            }
            Failure::LostDaemon { .. } => {
                self.daemons[0] = PoolScheduler::new(self.plan.clone());
                let sources = self.sources.clone();
                self.deliver(0, PoolEvent::Sources(sources), now);
            }
        }
    }

    /// Reports to each daemon the work of its peers.
    fn report(&mut self, now: u64) {
        let mut sums = vec![PeerWork::default(); ENGINES];
        let own = |daemon: &PoolScheduler| {
            let mut rows = vec![(0, 0, 0); ENGINES];
            for status in daemon.upstreams().iter() {
                let row = &mut rows[usize::from(status.source.address.port()) - 1];
                row.0 += status.in_flight;
                row.1 += status.unread_tokens;
                row.2 = status.gap_micros.map_or(row.2, |gap| gap as u32);
            }
            rows
        };
        let rows: Vec<_> = self.daemons.iter().map(own).collect();
        for (sum, engine) in
            rows.iter().flat_map(|rows| rows.iter().zip(0..)).map(|(row, engine)| (*row, engine))
        {
            let work: &mut PeerWork = &mut sums[engine];
            work.requests += sum.0;
            work.unread_tokens += sum.1;
            work.gap_micros = work.gap_micros.max(sum.2);
        }
        for (daemon, own) in rows.iter().enumerate() {
            let of_peers = |engine: usize| PeerWork {
                requests: sums[engine].requests - own[engine].0,
                unread_tokens: sums[engine].unread_tokens - own[engine].1,
                ..sums[engine]
            };
            let names = self.sources.iter().map(|source| source.name.clone());
            let report = names.zip((0..ENGINES).map(of_peers)).collect();
            self.push(now + REPORT_AGE_MS, DueEvent::Rows(daemon, report));
        }
        self.push(now + REPORT_INTERVAL_MS, DueEvent::Report);
    }

    fn finish(mut self) -> PrefixOutcome {
        self.outcome.first_events.sort_by(f64::total_cmp);
        let counts = self.daemons.iter().filter_map(PoolScheduler::prefix_counts);
        self.outcome.changed_choices = counts.map(|counts| counts.changed_choices).sum();
        let fast = || (0..ENGINES).filter(|engine| speed_factor(*engine) == 1.0);
        let served = || fast().map(|engine| self.engines[engine].served as f64);
        let mean = served().sum::<f64>() / fast().count() as f64;
        self.outcome.max_engine_share = served().fold(0.0, f64::max) / mean.max(1.0);
        self.outcome
    }
}
