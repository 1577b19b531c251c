//! A simulation of a fleet in virtual time: daemons with their limits, and messages that are
//! delayed, lost or duplicated.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use tarragonknot::fleet_state::{
    DaemonIdentity, FleetMessage, FleetState, FlowRow, LocalState, OrganisationHash, WorkRow,
};
use tarragonknot::policy::{
    LimitTable, LimitTolerance, Moment, OrganisationIndex, OrganisationLimit,
};
use tarragonknot::quarantine::CrashTable;

/// The organisation whose limit is under test.
pub const HOT: OrganisationIndex = OrganisationIndex(0);
/// Rate in tokens per second and burst size in tokens of the limit of `HOT`.
pub const RATE: u64 = 100_000;
/// Least network delay of a message in microseconds: that between two data centres, with a slow
/// timer.
const MIN_NETWORK_DELAY_MICROS: u64 = 2_000;

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

pub fn hot_hash() -> OrganisationHash {
    OrganisationHash::of(&"hot".into())
}

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, (number / 250) as u8, 0, (number % 250) as u8 + 1], 7_600))
}

pub fn daemon_name(number: usize) -> String {
    format!("entry-{number}")
}

/// A simulated daemon.
pub struct SimulatedDaemon {
    pub fleet: FleetState,
    pub limits: LimitTable,
    pub crashes: CrashTable,
    pub work: Vec<WorkRow>,
    pub is_running: bool,
    pub has_left: bool,
    /// Messages sent, messages received, and the bytes of both.
    pub sent: u64,
    pub received: u64,
    pub bytes: u64,
}

impl SimulatedDaemon {
    fn new(number: usize, boot: u64, initial_credit: f64, now: Moment) -> Self {
        let daemon = daemon_name(number).as_str().into();
        let identity = DaemonIdentity { daemon, boot, address: address(number) };
        let mut limits = hot_limits(now);
        limits.set_initial_credit(initial_credit);
        SimulatedDaemon {
            fleet: FleetState::new(identity),
            limits,
            crashes: CrashTable::default(),
            work: Vec::new(),
            is_running: true,
            has_left: false,
            sent: 0,
            received: 0,
            bytes: 0,
        }
    }

    fn local_state(&mut self, now: Moment) -> LocalState {
        let flow = FlowRow {
            organisation: hot_hash(),
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

    fn apply_charges(&mut self, now: Moment) {
        for (organisation, tokens) in self.fleet.drain_charges() {
            assert_eq!(organisation, hot_hash());
            self.limits.charge(HOT, tokens, now);
        }
        self.limits.set_forecast(HOT, self.fleet.forecasts(now)(hot_hash()));
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
    pub daemons: Vec<SimulatedDaemon>,
    pub now: Moment,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, DueEvent>,
    last_event_id: u64,
    last_boot: u64,
    rng: ChaCha8Rng,
    delivery_rule: DeliveryRule,
    /// How far limits may be exceeded.
    tolerance: LimitTolerance,
    /// Daemons that neither send nor receive messages.
    pub is_cut_off: BTreeSet<usize>,
}

impl FleetSimulation {
    /// Starts `count` daemons within 300 ms of each other; a second later each receives the serving
    /// list.
    pub fn new(count: usize, seed: u64, delivery_rule: DeliveryRule) -> Self {
        let mut simulation = FleetSimulation {
            daemons: Vec::new(),
            now: Moment::from_millis(1_000),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_event_id: 0,
            last_boot: 1,
            rng: ChaCha8Rng::seed_from_u64(seed),
            delivery_rule,
            tolerance: LimitTolerance::default(),
            is_cut_off: BTreeSet::new(),
        };
        for number in 0..count {
            let initial_credit = simulation.rng.random();
            simulation.daemons.push(SimulatedDaemon::new(
                number,
                1,
                initial_credit,
                simulation.now,
            ));
            let at =
                simulation.now + Duration::from_micros(simulation.rng.random_range(0..300_000));
            simulation.push(at, DueEvent::Tick { daemon: number, boot: 1 });
        }
        simulation.run_for(1_000);
        simulation.send_serving_list();
        simulation
    }

    /// Like `new`, with every message delivered exactly once.
    pub fn lossless(count: usize, seed: u64) -> Self {
        Self::new(count, seed, Box::new(|_, _, _, _| 1))
    }

    fn push(&mut self, at: Moment, event: DueEvent) {
        self.last_event_id += 1;
        self.queue.push(Reverse((at.0, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    /// Sends the leader's serving list, which holds the running daemons that have not left, to all
    /// running daemons.
    pub fn send_serving_list(&mut self) {
        let is_serving = |daemon: &SimulatedDaemon| daemon.is_running && !daemon.has_left;
        let numbered = self.daemons.iter().enumerate();
        let serving: Vec<SocketAddr> = numbered
            .filter(|(_, daemon)| is_serving(daemon))
            .map(|(number, _)| address(number))
            .collect();
        let now = self.now;
        let daemons = self.daemons.iter_mut().filter(|daemon| daemon.is_running);
        daemons.for_each(|daemon| daemon.fleet.set_serving_list(serving.clone(), now));
    }

    /// Sets how far the daemons' limits may be exceeded.
    pub fn set_tolerance(&mut self, tolerance: LimitTolerance) {
        self.tolerance = tolerance;
        self.daemons.iter_mut().for_each(|daemon| daemon.limits.set_tolerance(tolerance));
    }

    /// Stops a daemon without a departure message.
    pub fn kill(&mut self, number: usize) {
        self.daemons[number].is_running = false;
    }

    /// Starts a daemon, for the first time or again, with no knowledge of its peers.
    pub fn start(&mut self, number: usize) {
        self.last_boot += 1;
        let initial_credit = self.rng.random();
        let mut daemon = SimulatedDaemon::new(number, self.last_boot, initial_credit, self.now);
        daemon.limits.set_tolerance(self.tolerance);
        match self.daemons.get_mut(number) {
            Some(known) => *known = daemon,
            None => self.daemons.push(daemon),
        }
        self.push(self.now, DueEvent::Tick { daemon: number, boot: self.last_boot });
    }

    /// Advances time; while `has_leader`, the serving list is sent every 400 ms.
    pub fn run(&mut self, millis: u64, has_leader: bool) {
        for _ in 0..millis.div_ceil(400) {
            self.run_for(400.min(millis));
            if has_leader {
                self.send_serving_list();
            }
        }
    }

    /// Advances time without a serving list from the leader.
    pub fn run_for(&mut self, millis: u64) {
        let until = self.now.0 + millis * 1_000;
        while let Some(Reverse((at, id))) =
            self.queue.peek().copied().filter(|next| next.0.0 <= until)
        {
            self.queue.pop();
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
        let rate = daemon.limits.rate(HOT).expect("HOT has a limit");
        let local_state = daemon.local_state(now);
        let outgoing = daemon.fleet.tick(local_state, &[(hot_hash(), rate)], now);
        daemon.apply_charges(now);
        let interval = daemon.fleet.send_interval();
        let mut deliveries = Vec::new();
        for out in outgoing {
            let bytes = postcard::to_stdvec(&out.message).expect("message is encoded").len() as u64;
            daemon.sent += out.to.len() as u64;
            daemon.bytes += bytes * out.to.len() as u64;
            deliveries.extend(out.to.into_iter().map(|to| (to, out.message.clone())));
        }
        // Timers fire slightly late.
        let timer_delay_micros = self.rng.random_range(0..3_000);
        self.push(
            now + interval + Duration::from_micros(timer_delay_micros),
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
        if self.is_cut_off.contains(&from) || self.is_cut_off.contains(&number) {
            return;
        }
        let copies = (self.delivery_rule)(from, number, self.now, self.rng.random());
        for _ in 0..copies {
            // One message in fifty takes 60 ms longer and is overtaken by later ones.
            let extra_micros = if self.rng.random_bool(0.02) { 60_000 } else { 0 };
            let delay_micros =
                MIN_NETWORK_DELAY_MICROS + self.rng.random_range(0..1_000) + extra_micros;
            let message = Box::new(message.clone());
            self.push(
                self.now + Duration::from_micros(delay_micros),
                DueEvent::Message { to, message },
            );
        }
    }

    fn deliver(&mut self, to: SocketAddr, message: FleetMessage) {
        let number = (0..self.daemons.len()).find(|number| address(*number) == to);
        let Some(daemon) = number.map(|number| &mut self.daemons[number]) else { return };
        if !daemon.is_running {
            return;
        }
        daemon.received += 1;
        daemon.bytes += postcard::to_stdvec(&message).expect("message is encoded").len() as u64;
        let (from, suspects) = (message.source().daemon.clone(), message.suspects().clone());
        let result = daemon.fleet.receive(message, self.now);
        if result.is_ok() {
            daemon.crashes.merge_update(&from, &suspects, self.now);
        }
        let estimates = result.unwrap_or_default();
        daemon.apply_charges(self.now);
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
        (load_factor, cost): (f64, u32),
        seconds: u64,
        choose_daemon: impl Fn(f64) -> usize,
    ) -> LoadOutcome {
        let interval_micros = f64::from(cost) / (load_factor * RATE as f64) * 1e6;
        let mut outcome = LoadOutcome::default();
        for _ in 0..seconds {
            let mut admitted_tokens = 0;
            let start = self.now.0;
            let mut at = 0.0;
            let mut lists_sent = 0;
            while at < 1e6 {
                let until = start + at as u64;
                self.run_for((until - self.now.0) / 1_000);
                self.now = Moment(until);
                if at >= f64::from(lists_sent) * 400_000.0 {
                    self.send_serving_list();
                    lists_sent += 1;
                }
                let number = choose_daemon(self.rng.random());
                let now = self.now;
                let daemon = &mut self.daemons[number];
                if daemon.is_running && !daemon.has_left {
                    let is_admitted = daemon.limits.admit(HOT, cost, now).is_ok();
                    admitted_tokens += u64::from(is_admitted) * u64::from(cost);
                    outcome.requests += 1;
                    outcome.refused += u64::from(!is_admitted);
                }
                at += interval_micros * self.rng.random_range(0.5..1.5);
            }
            self.now = Moment(start + 1_000_000);
            outcome.admitted.push(admitted_tokens);
        }
        outcome
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
