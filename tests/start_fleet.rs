//! A fleet of any size in virtual time that loses power and starts again: each daemon gets a table
//! from a voter, and a leader names the daemons about a second later.

use crate::list_fleet::{address, upstream};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use tarragonknot::fleet_state::{
    BegunReading, DaemonIdentity, FleetMessage, FleetState, ListMessage, ListPeers, ListSync,
    LocalState, is_list_read_due,
};
use tarragonknot::policy::Moment;

/// Length of a step of virtual time, which is also the least time that a message takes.
const STEP_MILLIS: u64 = 5;
/// Bytes that a daemon's link carries in a step: 10 Mbit/s.
const LINK_BYTES: i64 = 6_250;
/// Bytes of the headers of a datagram, and of its authentication.
const DATAGRAM_OVERHEAD: usize = 60;
/// Time that a reading of the list takes, and further time for each of its pages.
const READING_MILLIS: u64 = 75;
const PAGE_MILLIS: u64 = 25;
const READ_PAUSE_MILLIS: u64 = 1_000;
/// Interval at which a daemon that does not read the list checks whether it has to.
const READER_CHECK_MILLIS: u64 = 100;
const PAGE_ROWS: usize = 200;
/// Time within which all processes start, as seen after a loss of power of 63 daemons.
const START_SPREAD_MILLIS: u64 = 430;
/// Time from the start of a daemon to its table, as seen then.
const TABLE_MILLIS: std::ops::Range<u64> = 100..350;
const LOSS: f64 = 0.01;

/// How a fleet starts.
#[derive(Clone, Debug)]
pub struct StartPlan {
    pub daemons: usize,
    /// Calls that the platform takes in a second.
    pub calls_per_second: f64,
    /// True if voters name the daemons with the table.
    pub presumes: bool,
    /// Daemons that are named and do not start.
    pub gone: Vec<usize>,
    /// When the leader names the daemons.
    pub leader_at: u64,
}

/// What a start took.
#[derive(Clone, Debug, Default)]
pub struct StartFigures {
    /// Time from the table to the list for each daemon that started, in ascending order.
    pub waits: Vec<u64>,
    /// When the platform was called, in milliseconds; one entry for each call.
    pub calls: Vec<u64>,
}

impl StartFigures {
    pub fn wait_at(&self, quantile: f64) -> u64 {
        self.waits[((self.waits.len() - 1) as f64 * quantile) as usize]
    }

    /// Most calls within any second.
    pub fn most_calls(&self) -> usize {
        let within = |begin: &u64| {
            self.calls.iter().filter(|at| (*begin..begin + 1_000).contains(at)).count()
        };
        self.calls.iter().map(within).max().unwrap_or(0)
    }
}

#[derive(Clone, Debug)]
enum Sent {
    State(FleetMessage),
    List(ListMessage),
}

struct StartingDaemon {
    fleet: FleetState,
    sync: ListSync,
    started_at: u64,
    table_at: u64,
    has_table: bool,
    is_named: bool,
    next_tick: u64,
    next_check: u64,
    reading: Option<(u64, BegunReading)>,
    known_at: Option<u64>,
    link: VecDeque<(usize, SocketAddr, Sent)>,
    link_credit: i64,
}

/// The fleet that starts.
pub struct StartFleet {
    plan: StartPlan,
    daemons: Vec<StartingDaemon>,
    numbers: BTreeMap<SocketAddr, usize>,
    figures: StartFigures,
    rng: ChaCha8Rng,
    millis: u64,
}

impl StartFleet {
    pub fn new(plan: StartPlan, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        StartFleet {
            daemons: (0..plan.daemons).map(|number| new_daemon(number, &plan, &mut rng)).collect(),
            numbers: (0..plan.daemons).map(|number| (address(number), number)).collect(),
            figures: StartFigures::default(),
            plan,
            rng,
            millis: 0,
        }
    }

    /// Plays until every daemon that starts has the list, or for 20 s.
    pub fn run(mut self) -> StartFigures {
        while self.millis < 20_000 && !(0..self.daemons.len()).all(|number| self.is_done(number)) {
            for (from, to, sent) in self.transmit() {
                self.receive(from, to, sent);
            }
            for number in 0..self.daemons.len() {
                if self.is_running(number) {
                    self.step(number);
                }
            }
            self.millis += STEP_MILLIS;
        }
        let daemons = self.daemons.iter().enumerate();
        let started = daemons.filter(|(number, _)| !self.plan.gone.contains(number));
        let wait = |(_, daemon): (usize, &StartingDaemon)| {
            daemon.known_at.map_or(u64::MAX, |at| at.saturating_sub(daemon.table_at))
        };
        self.figures.waits = started.map(wait).collect();
        self.figures.waits.sort_unstable();
        self.figures
    }

    fn is_done(&self, number: usize) -> bool {
        self.plan.gone.contains(&number) || self.daemons[number].known_at.is_some()
    }

    fn is_running(&self, number: usize) -> bool {
        !self.plan.gone.contains(&number) && self.daemons[number].started_at <= self.millis
    }

    fn now(&self, number: usize) -> Moment {
        Moment::from_millis(1 + self.millis - self.daemons[number].started_at)
    }

    fn pages(&self) -> u64 {
        (self.plan.daemons * 3).div_ceil(PAGE_ROWS) as u64
    }

    fn step(&mut self, number: usize) {
        self.hear_control(number);
        self.read_if_due(number);
        self.send_state(number);
        self.send_list(number);
        if self.daemons[number].sync.is_known() {
            self.daemons[number].known_at.get_or_insert(self.millis);
        }
    }

    /// Receives the table from a voter, and later the list of daemons from the leader.
    fn hear_control(&mut self, number: usize) {
        let (now, millis) = (self.now(number), self.millis);
        let all: Vec<SocketAddr> = (0..self.plan.daemons).map(address).collect();
        let live = |number: &usize| !self.plan.gone.contains(number);
        let serving: Vec<SocketAddr> = (0..self.plan.daemons).filter(live).map(address).collect();
        let daemon = &mut self.daemons[number];
        if !daemon.has_table && millis >= daemon.table_at {
            daemon.has_table = true;
            if self.plan.presumes {
                daemon.fleet.presume_daemons(all, now);
                daemon.sync.await_first_readers();
                daemon.next_check = millis;
            }
        }
        if !daemon.is_named && millis >= self.plan.leader_at + number as u64 % 150 {
            daemon.is_named = true;
            daemon.fleet.set_serving_list(serving, now);
        }
    }

    fn read_if_due(&mut self, number: usize) {
        let (now, millis, pages) = (self.now(number), self.millis, self.pages());
        let expected = self.plan.daemons;
        let daemon = &mut self.daemons[number];
        if let Some((until, begun)) = daemon.reading {
            if until > millis {
                return;
            }
            let rows = (0..expected * 3).map(|number| upstream(number, false));
            daemon.sync.store_reading(begun, rows, now);
            daemon.reading = None;
            daemon.next_check = millis + READ_PAUSE_MILLIS;
        }
        if millis < daemon.next_check {
            return;
        }
        daemon.next_check = millis + READER_CHECK_MILLIS;
        let known = (expected, daemon.has_table);
        if is_list_read_due(&daemon.fleet, &mut daemon.sync, known, now) {
            daemon.reading = Some((
                millis + READING_MILLIS + PAGE_MILLIS * pages,
                daemon.sync.begin_reading(now),
            ));
            let calls = (0..pages).map(|page| millis + PAGE_MILLIS * page);
            self.figures.calls.extend(calls);
        }
    }

    fn send_state(&mut self, number: usize) {
        let (now, millis) = (self.now(number), self.millis);
        let daemon = &mut self.daemons[number];
        if millis < daemon.next_tick {
            return;
        }
        let local = LocalState {
            list: daemon.sync.stamp(now),
            can_read_list: daemon.sync.can_read(now),
            ..LocalState::default()
        };
        let outgoing = daemon.fleet.tick(local, &[], now);
        daemon.next_tick = millis + daemon.fleet.send_interval().as_millis() as u64;
        for outgoing in outgoing {
            let size = postcard::to_stdvec(&outgoing.message).map_or(0, |bytes| bytes.len());
            let sent = Sent::State(outgoing.message);
            let copies = outgoing.to.into_iter();
            daemon.link.extend(copies.map(|to| (size + DATAGRAM_OVERHEAD, to, sent.clone())));
        }
    }

    fn send_list(&mut self, number: usize) {
        let now = self.now(number);
        let draw = self.rng.random();
        let daemon = &mut self.daemons[number];
        let Some(interval) = daemon.sync.tick_interval() else { return };
        if self.millis % (interval.as_millis() as u64).max(STEP_MILLIS) >= STEP_MILLIS
            && interval > Duration::from_millis(10)
            && !daemon.sync.has_changes()
        {
            return;
        }
        let fleet = &daemon.fleet;
        let has_changes = daemon.sync.has_changes();
        let peers = ListPeers {
            receivers: if has_changes { fleet.list_receivers(now) } else { Vec::new() },
            source: fleet.list_source(draw, now),
            is_forwarder: fleet.is_list_forwarder(now),
        };
        for outgoing in daemon.sync.tick(&peers, now) {
            let size = postcard::to_stdvec(&outgoing.message).map_or(0, |bytes| bytes.len());
            let sent = Sent::List(outgoing.message);
            let copies = outgoing.to.into_iter();
            daemon.link.extend(copies.map(|to| (size + DATAGRAM_OVERHEAD, to, sent.clone())));
        }
    }

    /// Returns the messages that leave their links in this step: sender, receiver and message.
    fn transmit(&mut self) -> Vec<(usize, usize, Sent)> {
        let mut arrived = Vec::new();
        for (number, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.link_credit = (daemon.link_credit + LINK_BYTES).min(LINK_BYTES);
            while daemon.link_credit > 0
                && let Some((size, to, sent)) = daemon.link.pop_front()
            {
                daemon.link_credit -= size as i64;
                if !self.rng.random_bool(LOSS) {
                    arrived.push((number, self.numbers[&to], sent));
                }
            }
        }
        arrived
    }

    fn receive(&mut self, from: usize, to: usize, sent: Sent) {
        if !self.is_running(to) {
            return;
        }
        let now = self.now(to);
        let daemon = &mut self.daemons[to];
        match sent {
            Sent::State(message) => {
                let stamp = message.list();
                let is_taken = daemon.fleet.receive(message, now).is_ok();
                if let Some(stamp) = stamp.filter(|_| is_taken) {
                    daemon.sync.handle_stamp(address(from), stamp, now);
                }
            }
            Sent::List(message) => {
                let is_forwarder = daemon.fleet.is_list_forwarder(now);
                daemon.sync.handle(address(from), message, is_forwarder, now);
            }
        }
    }
}

fn new_daemon(number: usize, plan: &StartPlan, rng: &mut ChaCha8Rng) -> StartingDaemon {
    let daemon = format!("entry-{number}").as_str().into();
    let identity = DaemonIdentity { daemon, boot: rng.random(), address: address(number) };
    let started_at = rng.random_range(0..START_SPREAD_MILLIS) / STEP_MILLIS * STEP_MILLIS;
    let sync = ListSync::new(rng.random()).with_platform_rate(Some(plan.calls_per_second));
    StartingDaemon {
        fleet: FleetState::new(identity),
        sync,
        started_at,
        table_at: started_at + rng.random_range(TABLE_MILLIS),
        has_table: false,
        is_named: false,
        next_tick: started_at,
        next_check: started_at,
        reading: None,
        known_at: None,
        link: VecDeque::new(),
        link_credit: 0,
    }
}
