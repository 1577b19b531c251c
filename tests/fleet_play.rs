//! A simulation of a fleet in virtual time: daemons with their limits, and messages that are
//! delayed, lost or duplicated.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use tarragonknot::fleet_state::{
    DaemonIdentity, FleetMessage, FleetState, FlowRow, LocalState, OrganisationHash, WorkRow,
};
use tarragonknot::policy::{LimitTable, Moment, OrganisationIndex, OrganisationLimit};
use tarragonknot::quarantine::CrashTable;

/// The organisation whose limit is under test.
pub const HOT: OrganisationIndex = OrganisationIndex(0);
/// Rate in tokens per second and burst size in tokens of the limit of `HOT`.
pub const RATE: u64 = 100_000;
/// Least network delay of a message in microseconds: that between two data centres, with a slow
/// timer.
const WAY: u64 = 2_000;

/// A daemon's limits, with buckets that are empty at `began`.
pub fn hot_limits(began: Moment) -> LimitTable {
    let mut limits = LimitTable::default();
    let limit = OrganisationLimit {
        tokens_per_second: Some(RATE),
        burst_tokens: Some(RATE),
        concurrent: None,
    };
    limits.set_limits(HashMap::from([(HOT, limit)]));
    limits.start_empty(began);
    limits
}

pub fn hot() -> OrganisationHash {
    OrganisationHash::of(&"hot".into())
}

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, (number / 250) as u8, 0, (number % 250) as u8 + 1], 7_600))
}

pub fn name(number: usize) -> String {
    format!("entry-{number}")
}

/// A simulated daemon.
pub struct PlayedDaemon {
    pub fleet: FleetState,
    pub limits: LimitTable,
    pub crashes: CrashTable,
    pub work: Vec<WorkRow>,
    pub is_running: bool,
    pub has_left: bool,
    /// Messages sent, messages received, and the bytes of both.
    pub sent: u64,
    pub heard: u64,
    pub bytes: u64,
}

impl PlayedDaemon {
    fn new(number: usize, boot: u64, draw: f64, now: Moment) -> Self {
        let daemon = name(number).as_str().into();
        let identity = DaemonIdentity { daemon, boot, address: address(number) };
        let mut limits = hot_limits(now);
        limits.set_initial_credit(draw);
        PlayedDaemon {
            fleet: FleetState::new(identity),
            limits,
            crashes: CrashTable::default(),
            work: Vec::new(),
            is_running: true,
            has_left: false,
            sent: 0,
            heard: 0,
            bytes: 0,
        }
    }

    fn reading(&mut self, now: Moment) -> LocalState {
        let flow = FlowRow {
            organisation: hot(),
            taken: self.limits.admitted_tokens(HOT),
            asked: self.limits.requested_tokens(HOT),
            refill_ms: self.limits.time_to_full(HOT, now).as_millis() as u32,
        };
        LocalState {
            flows: vec![flow],
            work: self.work.clone(),
            waiting: Vec::new(),
            list: None,
            can_read_list: true,
            has_left: self.has_left,
            suspects: self.crashes.next_update(now),
        }
    }

    fn settle(&mut self, now: Moment) {
        for (organisation, tokens) in self.fleet.drain_charges() {
            assert_eq!(organisation, hot());
            self.limits.charge(HOT, tokens, now);
        }
        self.limits.set_forecast(HOT, self.fleet.forecasts(now)(hot()));
    }
}

/// A scheduled event.
#[derive(Clone, Debug)]
enum DueEvent {
    Tick { daemon: usize, boot: u64 },
    Message { to: SocketAddr, message: Box<FleetMessage> },
}

/// Decides how many copies of a message arrive, from the sender, the receiver, the time and a
/// uniform random draw in 0.0..1.0.
pub type DeliveryRule = Box<dyn Fn(usize, usize, Moment, f64) -> usize>;

/// The simulated fleet and its event queue.
pub struct FleetSimulation {
    pub daemons: Vec<PlayedDaemon>,
    pub now: Moment,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, DueEvent>,
    next: u64,
    boots: u64,
    rng: ChaCha8Rng,
    weather: DeliveryRule,
}

impl FleetSimulation {
    /// Starts `count` daemons within 300 ms of each other; a second later each receives the serving
    /// list.
    pub fn new(count: usize, seed: u64, weather: DeliveryRule) -> Self {
        let mut play = FleetSimulation {
            daemons: Vec::new(),
            now: Moment::from_millis(1_000),
            due: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            boots: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
            weather,
        };
        for number in 0..count {
            let draw = play.rng.random();
            play.daemons.push(PlayedDaemon::new(number, 1, draw, play.now));
            let at = play.now + Duration::from_micros(play.rng.random_range(0..300_000));
            play.push(at, DueEvent::Tick { daemon: number, boot: 1 });
        }
        play.run_for(1_000);
        play.name_all();
        play
    }

    /// Like `new`, with every message delivered exactly once.
    pub fn lossless(count: usize, seed: u64) -> Self {
        Self::new(count, seed, Box::new(|_, _, _, _| 1))
    }

    fn push(&mut self, at: Moment, event: DueEvent) {
        self.next += 1;
        self.due.push(Reverse((at.0, self.next)));
        self.events.insert(self.next, event);
    }

    /// Sends the leader's serving list, which holds the running daemons that have not left, to all
    /// running daemons.
    pub fn name_all(&mut self) {
        let running = |daemon: &PlayedDaemon| daemon.is_running && !daemon.has_left;
        let numbered = self.daemons.iter().enumerate();
        let named: Vec<SocketAddr> = numbered
            .filter(|(_, daemon)| running(daemon))
            .map(|(number, _)| address(number))
            .collect();
        let now = self.now;
        let daemons = self.daemons.iter_mut().filter(|daemon| daemon.is_running);
        daemons.for_each(|daemon| daemon.fleet.set_serving_list(named.clone(), now));
    }

    /// Stops a daemon without a departure message.
    pub fn kill(&mut self, number: usize) {
        self.daemons[number].is_running = false;
    }

    /// Starts a daemon, for the first time or again, with no knowledge of its peers.
    pub fn start(&mut self, number: usize) {
        self.boots += 1;
        let draw = self.rng.random();
        let daemon = PlayedDaemon::new(number, self.boots, draw, self.now);
        match self.daemons.get_mut(number) {
            Some(known) => *known = daemon,
            None => self.daemons.push(daemon),
        }
        self.push(self.now, DueEvent::Tick { daemon: number, boot: self.boots });
    }

    /// Advances time; while `has_leader`, the serving list is sent every 400 ms.
    pub fn run(&mut self, millis: u64, has_leader: bool) {
        for _ in 0..millis.div_ceil(400) {
            self.run_for(400.min(millis));
            if has_leader {
                self.name_all();
            }
        }
    }

    /// Advances time without a serving list from the leader.
    pub fn run_for(&mut self, millis: u64) {
        let until = self.now.0 + millis * 1_000;
        while let Some(Reverse((at, id))) =
            self.due.peek().copied().filter(|next| next.0.0 <= until)
        {
            self.due.pop();
            self.now = Moment(at);
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.now = Moment(until);
    }

    fn handle(&mut self, event: DueEvent) {
        match event {
            DueEvent::Tick { daemon, boot } => self.tick(daemon, boot),
            DueEvent::Message { to, message } => self.deliver(to, *message),
        }
    }

    fn tick(&mut self, number: usize, boot: u64) {
        let now = self.now;
        if !self.daemons[number].is_running || boot != self.daemons[number].fleet.boot() {
            return;
        }
        let daemon = &mut self.daemons[number];
        let rate = daemon.limits.rate(HOT).expect("a limit");
        let reading = daemon.reading(now);
        let outgoing = daemon.fleet.tick(reading, &[(hot(), rate)], now);
        daemon.settle(now);
        let pause = daemon.fleet.send_interval();
        let mut deliveries = Vec::new();
        for out in outgoing {
            let bytes = postcard::to_stdvec(&out.message).expect("written").len() as u64;
            daemon.sent += out.to.len() as u64;
            daemon.bytes += bytes * out.to.len() as u64;
            deliveries.extend(out.to.into_iter().map(|to| (to, out.message.clone())));
        }
        // Timers fire slightly late.
        let late = self.rng.random_range(0..3_000);
        self.push(
            now + pause + Duration::from_micros(late),
            DueEvent::Tick { daemon: number, boot },
        );
        for (to, message) in deliveries {
            self.send(number, to, message);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: FleetMessage) {
        let Some(number) = (0..self.daemons.len()).find(|number| address(*number) == to) else {
            return;
        };
        let copies = (self.weather)(from, number, self.now, self.rng.random());
        for _ in 0..copies {
            // One message in fifty takes 60 ms longer and is overtaken by later ones.
            let slow = if self.rng.random_bool(0.02) { 60_000 } else { 0 };
            let way = WAY + self.rng.random_range(0..1_000) + slow;
            let message = Box::new(message.clone());
            self.push(self.now + Duration::from_micros(way), DueEvent::Message { to, message });
        }
    }

    fn deliver(&mut self, to: SocketAddr, message: FleetMessage) {
        let number = (0..self.daemons.len()).find(|number| address(*number) == to);
        let Some(daemon) = number.map(|number| &mut self.daemons[number]) else { return };
        if !daemon.is_running {
            return;
        }
        daemon.heard += 1;
        daemon.bytes += postcard::to_stdvec(&message).expect("written").len() as u64;
        let (from, suspects) = (message.source().daemon.clone(), message.suspects().clone());
        let taken = daemon.fleet.receive(message, self.now);
        if taken.is_ok() {
            daemon.crashes.merge_update(&from, &suspects, self.now);
        }
        let estimates = taken.unwrap_or_default();
        daemon.settle(self.now);
        for row in estimates.rows {
            let refill = Duration::from_millis(u64::from(row.refill_ms));
            daemon.limits.converge(HOT, refill, estimates.senders, self.now);
        }
    }

    /// Offers `times` the limit for some seconds, in requests of `cost` tokens at daemons chosen by
    /// `whom` (from a draw in 0.0..1.0 to a daemon's number). Returns the tokens admitted in each
    /// second, and the counts of all and of refused requests.
    pub fn offer_load(
        &mut self,
        (times, cost): (f64, u32),
        seconds: u64,
        whom: impl Fn(f64) -> usize,
    ) -> LoadOutcome {
        let gap = f64::from(cost) / (times * RATE as f64) * 1e6;
        let mut asked = LoadOutcome::default();
        for _ in 0..seconds {
            let mut passed = 0;
            let start = self.now.0;
            let mut at = 0.0;
            let mut named = 0;
            while at < 1e6 {
                let until = start + at as u64;
                self.run_for((until - self.now.0) / 1_000);
                self.now = Moment(until);
                if at >= f64::from(named) * 400_000.0 {
                    self.name_all();
                    named += 1;
                }
                let number = whom(self.rng.random());
                let now = self.now;
                let daemon = &mut self.daemons[number];
                if daemon.is_running {
                    let is_admitted = daemon.limits.admit(HOT, cost, now).is_ok();
                    passed += u64::from(is_admitted) * u64::from(cost);
                    asked.requests += 1;
                    asked.refused += u64::from(!is_admitted);
                }
                at += gap * self.rng.random_range(0.5..1.5);
            }
            self.now = Moment(start + 1_000_000);
            asked.admitted.push(passed);
        }
        asked
    }
}

/// The outcome of an offered load.
#[derive(Clone, Debug, Default)]
pub struct LoadOutcome {
    /// Tokens admitted, by second.
    pub admitted: Vec<u64>,
    pub requests: u64,
    pub refused: u64,
}

impl LoadOutcome {
    /// The most tokens admitted in any `seconds` consecutive seconds.
    pub fn max_admitted(&self, seconds: usize) -> u64 {
        self.admitted.windows(seconds).map(|window| window.iter().sum()).max().unwrap_or(0)
    }

    /// Mean tokens admitted per second, from the given second on.
    pub fn mean_admitted_from(&self, second: usize) -> f64 {
        let rest = &self.admitted[second..];
        rest.iter().sum::<u64>() as f64 / rest.len() as f64
    }
}
