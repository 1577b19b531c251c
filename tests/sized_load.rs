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
    ArrivedRequest, DispatchOutcome, FleetGroup, Moment, PeerWaiting, PeerWork, PoolAction,
    PoolEvent, PoolPlan, PoolScheduler, RequestId, RequestSizes, RouteKey, RouteSizes,
    UpstreamIndex, WaitingLevels,
};

/// Requests that each engine runs at a time.
const PLACES: u32 = 8;
/// Decode time per output token and prefill time per prompt token at an engine with slowness 1.0.
const GAP: f64 = 4_000.0;
const READ: f64 = 10.0;
/// Round trip to an engine.
const WAY: u64 = 1_000;
/// Interval between load reports to peers, and their age on arrival.
const PAUSE: u64 = 200_000;
const WORD_AGE: u64 = 100_000;
/// A caller leaves without a first event after its patience, and in any case at its deadline.
const PATIENCE: u64 = 1_800;
const DEADLINE: u64 = 12_000;
const OBJECTIVE: u64 = 300;
/// Upper bound on prompt and output sizes, as a multiple of the mean of their kind.
const LONGEST: f64 = 10.0;

/// Size distribution and arrival rate of one kind of request.
#[derive(Clone, Copy, Debug)]
pub struct SizedKind {
    pub rank: u8,
    pub prompt: f64,
    pub output: f64,
    /// Fraction of all arrivals.
    pub part: f64,
    /// Multiplies the arrival rate of this kind.
    pub burst: f64,
}

/// Parameters of a simulated load.
#[derive(Clone, Debug)]
pub struct SizedLoad {
    pub daemons: usize,
    /// Multiplier of the service times of each engine.
    pub engines: Vec<f64>,
    pub kinds: Vec<SizedKind>,
    /// Arriving work relative to the capacity of the engines.
    pub times: f64,
    /// Standard deviation of the logarithm of the callers' error in estimating the output.
    pub guess_error: f64,
    pub seconds: u64,
    /// Half of the engines leave half-way through the run.
    pub loses_half: bool,
    pub seed: u64,
}

impl SizedLoad {
    /// Three kinds of requests on engines of three speeds, at twice their capacity.
    pub fn overload(daemons: usize) -> Self {
        let kind =
            |rank, prompt, output, part| SizedKind { rank, prompt, output, part, burst: 1.0 };
        SizedLoad {
            daemons,
            engines: [0.55, 1.0, 2.8].into_iter().cycle().take(12.max(daemons * 3 / 2)).collect(),
            kinds: vec![
                kind(0, 6_600.0, 380.0, 0.28),
                kind(1, 630.0, 290.0, 0.2),
                kind(2, 1_800.0, 24.0, 0.52),
            ],
            times: 2.0,
            guess_error: 0.5,
            seconds: 30,
            loses_half: false,
            seed: 1,
        }
    }
}

/// Outcome of one request.
#[derive(Clone, Copy, Debug)]
pub struct SizedEnd {
    pub kind: usize,
    pub size: f64,
    pub is_served: bool,
    /// True if it was served and its first event met the objective.
    pub is_in_time: bool,
    /// True if an engine started it and it was not served.
    pub is_lost: bool,
}

/// Returns the fraction of `ends` that was served.
pub fn served_part<'a>(ends: impl Iterator<Item = &'a SizedEnd>) -> f64 {
    let (served, all) =
        ends.fold((0, 0), |(served, all), end| (served + u32::from(end.is_served), all + 1));
    f64::from(served) / f64::from(all.max(1))
}

/// Returns the fraction of `ends` that was served within the objective.
pub fn in_time_part(ends: &[SizedEnd]) -> f64 {
    ends.iter().filter(|end| end.is_in_time).count() as f64 / ends.len().max(1) as f64
}

/// Returns the requests of a kind in ascending order of size.
pub fn by_size(ends: &[SizedEnd], kind: usize) -> Vec<SizedEnd> {
    let mut own: Vec<SizedEnd> = ends.iter().copied().filter(|end| end.kind == kind).collect();
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
    Speak,
    Leave,
    Tell { daemon: usize, event: PoolEvent },
    Ask { id: RequestId, upstream: UpstreamIndex },
    End { id: RequestId, upstream: UpstreamIndex, is_whole: bool },
}

struct SizedPlay<'a> {
    load: &'a SizedLoad,
    daemons: Vec<(PoolScheduler, Vec<RouteSizes>)>,
    running: Vec<u32>,
    requests: HashMap<RequestId, SizedRequest>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, DueEvent>,
    next: u64,
    rng: ChaCha8Rng,
}

/// Simulates a load and returns the outcome of each request.
pub fn play(load: &SizedLoad) -> Vec<SizedEnd> {
    play_with(load, |_| ())
}

/// As [`play`], with `change` applied to the pool plan.
pub fn play_with(load: &SizedLoad, change: impl Fn(&mut PoolPlan)) -> Vec<SizedEnd> {
    let mut play = SizedPlay::new(load, change);
    play.run();
    let ends = play.requests.values().map(|request| SizedEnd {
        kind: request.kind,
        size: request.prompt + 10.0 * request.output,
        is_served: request.is_served,
        is_in_time: request.is_served && request.is_in_time,
        is_lost: request.is_begun && !request.is_served,
    });
    ends.collect()
}

impl<'a> SizedPlay<'a> {
    fn new(load: &'a SizedLoad, change: impl Fn(&mut PoolPlan)) -> Self {
        let mut plan = urgency_plan();
        plan.has_reservations = true;
        plan.first_guess = PLACES;
        change(&mut plan);
        let sizes = vec![RouteSizes::default(); load.kinds.len()];
        let daemons = (0..load.daemons).map(|_| (PoolScheduler::new(plan.clone()), sizes.clone()));
        let mut play = SizedPlay {
            load,
            daemons: daemons.collect(),
            running: vec![0; load.engines.len()],
            requests: HashMap::new(),
            due: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            rng: ChaCha8Rng::seed_from_u64(load.seed),
        };
        play.list(load.engines.len());
        (0..load.kinds.len()).for_each(|kind| play.push(0, DueEvent::Arrive(kind)));
        (0..load.daemons).for_each(|daemon| play.push(daemon as u64 * 97, DueEvent::Tick(daemon)));
        play.push(0, DueEvent::Speak);
        if load.loses_half {
            play.push(load.seconds * 500_000, DueEvent::Leave);
        }
        play
    }

    /// Sends all daemons a list of the first `count` engines.
    fn list(&mut self, count: usize) {
        let numbers = 1..=count as u16;
        let sources: Vec<_> = numbers.map(|number| source(&format!("e{number}"), number)).collect();
        for daemon in 0..self.daemons.len() {
            let event = PoolEvent::Sources(sources.clone());
            self.push(0, DueEvent::Tell { daemon, event });
        }
    }

    fn push(&mut self, at: u64, event: DueEvent) {
        self.next += 1;
        self.due.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
    }

    /// Arrival rate of a kind per second.
    fn rate(&self, kind: usize) -> f64 {
        let mean = |kind: &SizedKind| (kind.prompt * READ + kind.output * GAP) * kind.part;
        let work: f64 = self.load.kinds.iter().map(mean).sum();
        let speed: f64 = self.load.engines.iter().map(|slowness| 1.0 / slowness).sum();
        let all = speed * f64::from(PLACES) * 1e6 / work * self.load.times;
        all * self.load.kinds[kind].part * self.load.kinds[kind].burst
    }

    fn run(&mut self) {
        let until = self.load.seconds * 1_000_000;
        while let Some(Reverse((now, id))) = self.due.pop() {
            let Some(event) = self.events.remove(&id) else { continue };
            match event {
                DueEvent::Arrive(kind) if now < until => self.arrive(kind, now),
                DueEvent::Tick(daemon) if now < until + DEADLINE * 1_000 => {
                    self.tell(daemon, PoolEvent::Tick, now);
                    self.push(now + 10_000, DueEvent::Tick(daemon));
                }
                DueEvent::Speak if now < until => self.speak(now),
                DueEvent::Leave => self.list(self.load.engines.len() / 2),
                DueEvent::Tell { daemon, event } => self.tell(daemon, event, now),
                DueEvent::Ask { id, upstream } => self.ask(id, upstream, now),
                DueEvent::End { id, upstream, is_whole } => {
                    self.end(id, upstream, is_whole, now);
                }
                _ => {}
            }
        }
    }

    fn tell(&mut self, daemon: usize, event: PoolEvent, now: u64) {
        let mut actions = Vec::new();
        self.daemons[daemon].0.handle(event, Moment(now), &mut self.rng, &mut actions);
        for action in actions {
            if let PoolAction::Dispatch { id, upstream } = action {
                self.push(now + WAY, DueEvent::Ask { id, upstream });
            }
        }
    }

    fn arrive(&mut self, kind: usize, now: u64) {
        let own = self.load.kinds[kind];
        let tail = |mean: f64, sigma: f64| {
            LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma).expect("a size")
        };
        let prompt = tail(own.prompt, 0.8).sample(&mut self.rng).min(own.prompt * LONGEST);
        let output = tail(own.output, 1.2).sample(&mut self.rng).clamp(1.0, own.output * LONGEST);
        let error = LogNormal::new(0.0, self.load.guess_error).expect("an error");
        let guess = (output * error.sample(&mut self.rng)).min(own.output * LONGEST);
        let sizes = RequestSizes { prompt: prompt as u32, output: guess as u32 };
        let daemon = self.rng.random_range(0..self.daemons.len());
        self.next += 1;
        let id = RequestId(self.next);
        let deadline = now + DEADLINE * 1_000;
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
        let tenth = self.daemons[daemon].1[kind].decile(sizes);
        let event = PoolEvent::Arrived(ArrivedRequest {
            deadline: at(DEADLINE),
            objective: Some(at(OBJECTIVE)),
            patience: Some(at(PATIENCE)),
            sizes: Some(sizes),
            size_tenth: tenth,
            route: RouteKey::of(&kind.to_string()),
            ..arrived(id.0, own.rank, 0, 0)
        });
        self.tell(daemon, event, now);
        let gap = 1e6 / self.rate(kind) * self.rng.random_range(0.1..1.9);
        self.push(now + gap as u64, DueEvent::Arrive(kind));
    }

    /// Grants the request a place, or reports that the engine has none free.
    fn ask(&mut self, id: RequestId, upstream: UpstreamIndex, now: u64) {
        let request = self.requests.get_mut(&id).expect("a request");
        let daemon = request.daemon;
        let engine = upstream.0 as usize;
        if self.running[engine] >= PLACES {
            let event = PoolEvent::Ended { id, outcome: DispatchOutcome::NoSlot };
            return self.tell(daemon, event, now);
        }
        self.running[engine] += 1;
        request.is_begun = true;
        let slowness = self.load.engines[engine];
        let first = (request.prompt * READ * slowness) as u64 + 2 * (GAP * slowness) as u64;
        let due = request.deadline - (DEADLINE - OBJECTIVE) * 1_000;
        request.is_in_time = now + first <= due;
        let whole = now + first + (request.output * GAP * slowness) as u64;
        let (until, is_whole) = (whole.min(request.deadline), whole <= request.deadline);
        let after = Duration::from_micros(first);
        let gap = Duration::from_micros((GAP * slowness) as u64);
        self.tell(daemon, PoolEvent::Granted(id), now);
        let first_token = PoolEvent::FirstToken { id, after };
        self.push(now + first, DueEvent::Tell { daemon, event: first_token });
        let token_gap = PoolEvent::TokenGap { id, gap };
        self.push(now + first + 1, DueEvent::Tell { daemon, event: token_gap });
        self.push(until.max(now + first + 2), DueEvent::End { id, upstream, is_whole });
    }

    fn end(&mut self, id: RequestId, upstream: UpstreamIndex, is_whole: bool, now: u64) {
        self.running[upstream.0 as usize] -= 1;
        let request = self.requests.get_mut(&id).expect("a request");
        request.is_served = is_whole;
        let output_tokens = request.output as u32;
        let outcome = match is_whole {
            true => DispatchOutcome::Completed { prompt_tokens: None, output_tokens },
            false => DispatchOutcome::Failed,
        };
        self.tell(self.requests[&id].daemon, PoolEvent::Ended { id, outcome }, now);
    }

    /// Reports to each daemon the in-flight and waiting requests of its peers.
    fn speak(&mut self, now: u64) {
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
            let age = Duration::from_micros(WORD_AGE + PAUSE);
            let waiting = PeerWaiting { levels: others, age };
            let group = FleetGroup::default();
            let event = PoolEvent::PeerLoad { rows: work.collect(), group, waiting };
            self.push(now + WORD_AGE, DueEvent::Tell { daemon, event });
        }
        self.push(now + PAUSE, DueEvent::Speak);
    }
}
