//! A fleet of any size in virtual time whose daemons exchange the platform's list while it changes,
//! over links that lose messages, with daemons that die, freeze and are cut off.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tarragonknot::fleet_state::{
    BegunReading, FleetLayout, ListMessage, ListOutgoing, ListPeers, ListStamp, ListSync,
};
use tarragonknot::policy::{ListedUpstream, Moment};

/// Length of a step of virtual time, which is also the time that a message takes.
pub const STEP_MILLIS: u64 = 10;
/// Bytes that a daemon's link carries in a step: 10 Mbit/s.
const LINK_BYTES: usize = 12_500;
/// Bytes that wait at a link; what comes on top is lost.
const LINK_QUEUE_BYTES: usize = 50 * LINK_BYTES;
/// Bytes that wait at the socket of a frozen process; what comes on top is lost.
const SOCKET_BYTES: usize = 200 << 10;
/// Bytes of the headers of a datagram.
const DATAGRAM_OVERHEAD: usize = 60;
/// Time that a reading of the list takes, and the pause before the next one.
const READING_MILLIS: u64 = 500;
const READ_PAUSE_MILLIS: u64 = 1_000;
/// Interval at which a daemon that does not read the list checks whether it has to.
const READER_CHECK_MILLIS: u64 = 100;
/// Rows on a page of the list, and calls that the platform takes in a second.
const PAGE_ROWS: usize = 200;
pub const CALLS_PER_SECOND: f64 = 190.0;
/// Time until a daemon that has fallen silent is replaced as an aggregator or a reader.
const SILENCE_MILLIS: u64 = 500;
/// Longest time that the clock of a process shows at the start of a play.
const MAX_UPTIME_MILLIS: u64 = 86_400_000;

/// The platform's list, which changes once a second: it first grows, then a part of the upstreams is
/// replaced with each version, after having been listed as leaving in the version before.
#[derive(Clone, Copy, Debug)]
pub struct ListSchedule {
    pub upstreams: usize,
    /// Versions until the list has all upstreams; 1 for a list that is whole from the start.
    pub growth: u32,
    /// Upstreams that leave in each version after that.
    pub leaving: usize,
    /// Number of versions.
    pub versions: u32,
    /// When the first version is replaced by the second one.
    pub first_change: u64,
}

impl ListSchedule {
    pub fn version_at(&self, millis: u64) -> u32 {
        let changes = (millis + 1_000).saturating_sub(self.first_change) / 1_000;
        (changes as u32).min(self.versions - 1)
    }

    /// When a version is listed first.
    pub fn listed_at(&self, version: u32) -> u64 {
        if version == 0 { 0 } else { self.first_change + u64::from(version - 1) * 1_000 }
    }

    fn rows(&self, version: u32) -> Vec<ListedUpstream> {
        let step = version + 1;
        let listed = self.upstreams * step.min(self.growth) as usize / self.growth as usize;
        let release = step.saturating_sub(self.growth) as usize;
        let row = |slot: usize| {
            let is_replaced = slot < self.leaving * release.saturating_sub(1);
            let is_leaving = !is_replaced && slot < self.leaving * release;
            upstream(slot + self.upstreams * usize::from(is_replaced), is_leaving)
        };
        let marker = ListedUpstream {
            service: "a-version".into(),
            places: Some(version + 1),
            ..upstream(0, false)
        };
        (0..listed).map(row).chain([marker]).collect()
    }
}

pub fn upstream(number: usize, is_leaving: bool) -> ListedUpstream {
    let name = format!("i-{:08x}", number.wrapping_mul(2_654_435_761) as u32);
    ListedUpstream {
        service: "pack-llm".into(),
        upstream: name.as_str().into(),
        address: ([10, 2, (number >> 8) as u8, number as u8], 8_080).into(),
        incarnation: 1_791_638_460_000 + number as u64 * 37 % 4_001,
        is_leaving,
        places: Some(5),
        version: Some("v1".into()),
        data_centre: Some(format!("hall-{}", number % 5).as_str().into()),
        is_cold: false,
    }
}

pub fn address(daemon: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (daemon >> 8) as u8, daemon as u8], 7_600))
}

/// What a daemon can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Running,
    /// It does nothing; what is sent to it waits.
    Frozen,
    /// It runs, but no message and no call reaches it or leaves it.
    Cut,
    Dead,
}

/// A change of a daemon's condition at a time.
pub type FleetEvent = (u64, usize, Condition);

#[derive(Clone, Debug)]
enum Received {
    List(ListMessage),
    Stamp(ListStamp),
}

#[derive(Debug)]
struct SimulatedDaemon {
    sync: ListSync,
    /// What its clock shows at the start of the play or of the process, in milliseconds. The clocks of
    /// daemons are unrelated.
    clock_start: u64,
    started_at: u64,
    condition: Condition,
    condition_since: u64,
    /// Messages that wait at its link, with their sizes.
    link: VecDeque<(usize, ListOutgoing)>,
    link_bytes: usize,
    /// Bytes that its link may carry now; below zero while a message is under way.
    link_credit: i64,
    /// Messages that wait for a frozen process.
    inbox: VecDeque<(SocketAddr, Received)>,
    inbox_bytes: usize,
    /// A reading that has begun: its end and the version that it reads.
    reading: Option<(u64, u32)>,
    begun: Option<BegunReading>,
    next_read: u64,
    /// The version of its list; `None` without one.
    version: Option<u32>,
    sent_bytes: usize,
}

/// What the daemons of a fleet had to wait for the list, and what it cost.
#[derive(Clone, Debug, Default)]
pub struct FleetFigures {
    /// Longest time for which a daemon in touch had an older list than the platform.
    pub worst_millis: u64,
    /// Times after which daemons in touch had a new version, one for each daemon and version.
    pub delays: Vec<u64>,
    /// How often a daemon's list was replaced by an older one.
    pub regressions: usize,
    /// Calls to the platform, and those that it refused.
    pub calls: usize,
    pub refused_calls: usize,
    /// Most bytes that one daemon sent, and the mean.
    pub most_sent: usize,
    pub mean_sent: usize,
}

impl FleetFigures {
    pub fn p99_millis(&self) -> u64 {
        let mut delays = self.delays.clone();
        delays.sort_unstable();
        delays.get(delays.len() * 99 / 100).copied().unwrap_or(0)
    }
}

/// The fleet. All daemons know each other and have a table.
pub struct ListFleet {
    schedule: ListSchedule,
    lists: Vec<Vec<ListedUpstream>>,
    daemons: Vec<SimulatedDaemon>,
    numbers: BTreeMap<SocketAddr, usize>,
    layout: FleetLayout,
    /// The aggregator of each group.
    aggregators: Vec<usize>,
    events: VecDeque<FleetEvent>,
    loss: f64,
    free_calls: f64,
    figures: FleetFigures,
    /// Delays are counted for versions listed from this time on.
    counted_from: u64,
    rng: ChaCha8Rng,
    millis: u64,
}

impl ListFleet {
    pub fn new(daemons: usize, schedule: ListSchedule, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let lists = (0..schedule.versions).map(|version| schedule.rows(version)).collect();
        let layout = FleetLayout::new((0..daemons).map(address).collect());
        ListFleet {
            schedule,
            lists,
            daemons: (0..daemons).map(|_| new_daemon(&mut rng)).collect(),
            numbers: (0..daemons).map(|daemon| (address(daemon), daemon)).collect(),
            aggregators: vec![0; layout.group_count()],
            layout,
            events: VecDeque::new(),
            loss: 0.01,
            free_calls: CALLS_PER_SECOND,
            figures: FleetFigures::default(),
            counted_from: 0,
            rng,
            millis: 0,
        }
    }

    pub fn with_loss(mut self, loss: f64) -> Self {
        self.loss = loss;
        self
    }

    pub fn with_events(mut self, mut events: Vec<FleetEvent>) -> Self {
        events.sort_by_key(|(at, daemon, _)| (*at, *daemon));
        self.events = events.into();
        self
    }

    /// Counts delays only for versions listed from `millis` on.
    pub fn counting_from(mut self, millis: u64) -> Self {
        self.counted_from = millis;
        self
    }

    /// Gives every daemon the first version, as if the fleet had run for long.
    pub fn with_known_list(mut self) -> Self {
        for daemon in &mut self.daemons {
            daemon.clock_start = self.rng.random_range(10_000..MAX_UPTIME_MILLIS);
            let now = Moment::from_millis(daemon.clock_start);
            let begun = daemon.sync.begin_reading(now);
            daemon.sync.store_reading(begun, self.lists[0].iter().cloned(), now);
            daemon.version = Some(0);
        }
        self
    }

    /// Plays until `end_millis` and returns the figures.
    pub fn run(mut self, end_millis: u64) -> FleetFigures {
        let interval = self.layout.send_interval().as_millis() as u64;
        while self.millis < end_millis {
            self.apply_events();
            self.choose_aggregators();
            self.free_calls = (self.free_calls + CALLS_PER_SECOND * STEP_MILLIS as f64 / 1_000.0)
                .min(CALLS_PER_SECOND);
            for (from, to, message) in self.transmit() {
                self.deliver(from, to, Received::List(message));
            }
            let reader = self.reader();
            for daemon in 0..self.daemons.len() {
                if matches!(self.daemons[daemon].condition, Condition::Frozen | Condition::Dead) {
                    continue;
                }
                self.empty_inbox(daemon);
                self.read_if_due(daemon, reader);
                if (self.millis + daemon as u64 * 7) % interval < STEP_MILLIS {
                    self.send_stamp(daemon);
                }
                self.send_messages(daemon, reader);
                self.count_delay(daemon);
            }
            self.millis += STEP_MILLIS;
        }
        let sent = self.daemons.iter().map(|daemon| daemon.sent_bytes);
        self.figures.most_sent = sent.clone().max().unwrap_or(0);
        self.figures.mean_sent = sent.sum::<usize>() / self.daemons.len().max(1);
        self.figures
    }

    fn now(&self, daemon: usize) -> Moment {
        let daemon = &self.daemons[daemon];
        Moment::from_millis(daemon.clock_start + self.millis - daemon.started_at)
    }

    fn apply_events(&mut self) {
        while let Some((at, number, condition)) = self.events.front().copied()
            && at <= self.millis
        {
            self.events.pop_front();
            let was = self.daemons[number].condition;
            if was == Condition::Dead || condition == Condition::Dead {
                self.daemons[number] = new_daemon(&mut self.rng);
                self.daemons[number].started_at = self.millis;
            }
            let daemon = &mut self.daemons[number];
            (daemon.condition, daemon.condition_since) = (condition, self.millis);
        }
    }

    /// True if the others have noticed that a daemon is gone, and not yet that it is back.
    fn is_missed(&self, number: usize) -> bool {
        let daemon = &self.daemons[number];
        let is_silent = daemon.condition != Condition::Running;
        is_silent && self.millis >= daemon.condition_since + SILENCE_MILLIS
    }

    fn choose_aggregators(&mut self) {
        for group in 0..self.layout.group_count() {
            let members = self.layout.members(group);
            let live = members.iter().find(|member| !self.is_missed(self.numbers[member]));
            self.aggregators[group] = self.numbers[live.unwrap_or(&members[0])];
        }
    }

    fn group_index(&self, daemon: usize) -> usize {
        self.layout.group_of(address(daemon)).index
    }

    fn group(&self, daemon: usize) -> &[SocketAddr] {
        self.layout.members(self.group_index(daemon))
    }

    fn is_aggregator(&self, daemon: usize) -> bool {
        self.aggregators[self.group_index(daemon)] == daemon
    }

    /// The aggregator that reads the list: the first that is not known to have failed.
    fn reader(&self) -> usize {
        let live = self.aggregators.iter().filter(|number| !self.is_missed(**number));
        let can_read = |number: usize| self.daemons[number].sync.can_read(self.now(number));
        live.min_by_key(|number| (!can_read(**number), **number)).copied().unwrap_or(0)
    }

    fn peers(&mut self, daemon: usize, reader: usize) -> ListPeers {
        let is_forwarder = self.is_aggregator(daemon);
        let aggregators: Vec<SocketAddr> =
            self.aggregators.iter().map(|number| address(*number)).collect();
        let sources = match is_forwarder {
            true if aggregators.len() > 1 => aggregators.clone(),
            false if self.rng.random_bool(0.5) => {
                vec![aggregators[self.group_index(daemon)]]
            }
            true | false => self.group(daemon).to_vec(),
        };
        let source = sources[self.rng.random_range(0..sources.len())];
        let mut receivers = if daemon == reader { aggregators } else { Vec::new() };
        let group = self.group(daemon).iter().filter(|member| !receivers.contains(member));
        receivers.extend(group.copied().collect::<Vec<_>>());
        receivers.retain(|receiver| *receiver != address(daemon));
        ListPeers { receivers, source: Some(source), is_forwarder }
    }

    fn read_if_due(&mut self, number: usize, reader: usize) {
        let (now, millis, count) = (self.now(number), self.millis, self.daemons.len());
        let ended = self.daemons[number].reading.filter(|(until, _)| *until <= millis);
        if let Some((_, version)) = ended {
            self.daemons[number].reading = None;
            self.daemons[number].next_read = millis + READ_PAUSE_MILLIS;
            let rows = self.lists[version as usize].iter().cloned();
            let daemon = &mut self.daemons[number];
            if let Some(begun) = daemon.begun.take() {
                daemon.sync.store_reading(begun, rows, now);
            }
            self.note_version(number);
        }
        let daemon = &mut self.daemons[number];
        let is_checked = (millis + number as u64 * 10) % READER_CHECK_MILLIS < STEP_MILLIS;
        // A daemon that is cut off hears no other.
        let count = if daemon.condition == Condition::Cut { 1 } else { count };
        let is_due = number == reader || is_checked && daemon.sync.is_overdue(count, true, now);
        if !is_due || daemon.reading.is_some() || millis < daemon.next_read {
            return;
        }
        let pages = self.schedule.upstreams.div_ceil(PAGE_ROWS);
        let has_failed = daemon.condition == Condition::Cut || self.free_calls < pages as f64;
        if !has_failed {
            self.free_calls -= pages as f64;
            self.figures.calls += pages;
            daemon.reading = Some((millis + READING_MILLIS, self.schedule.version_at(millis)));
            daemon.begun = Some(daemon.sync.begin_reading(now));
            return;
        }
        if daemon.condition != Condition::Cut {
            self.figures.calls += 1;
            self.figures.refused_calls += 1;
        }
        daemon.sync.record_failure(now);
        daemon.next_read = millis + READ_PAUSE_MILLIS;
    }

    /// An aggregator states its reading to the other aggregators and its group, a member to its
    /// aggregator.
    fn send_stamp(&mut self, number: usize) {
        let Some(stamp) = self.daemons[number].sync.stamp(self.now(number)) else { return };
        let to: Vec<usize> = match self.is_aggregator(number) {
            true => {
                let group = self.group(number).iter().map(|member| self.numbers[member]);
                self.aggregators.iter().copied().chain(group).collect()
            }
            false => vec![self.aggregators[self.group_index(number)]],
        };
        for receiver in to {
            if receiver != number
                && self.daemons[number].condition == Condition::Running
                && !self.rng.random_bool(self.loss)
            {
                self.deliver(number, receiver, Received::Stamp(stamp));
            }
        }
    }

    fn send_messages(&mut self, number: usize, reader: usize) {
        if self.daemons[number].sync.tick_interval().is_none() {
            return;
        }
        let (peers, now) = (self.peers(number, reader), self.now(number));
        let daemon = &mut self.daemons[number];
        for outgoing in daemon.sync.tick(&peers, now) {
            let size = postcard::to_stdvec(&outgoing.message).map_or(0, |bytes| bytes.len());
            let size = size + DATAGRAM_OVERHEAD;
            for to in outgoing.to {
                if daemon.link_bytes + size <= LINK_QUEUE_BYTES {
                    let message = outgoing.message.clone();
                    daemon.link.push_back((size, ListOutgoing { to: vec![to], message }));
                    daemon.link_bytes += size;
                }
            }
        }
    }

    /// Returns the messages that leave their links in this step: sender, receiver and message.
    fn transmit(&mut self) -> Vec<(usize, usize, ListMessage)> {
        let mut arrived = Vec::new();
        for (number, daemon) in self.daemons.iter_mut().enumerate() {
            // A message that is larger than a step's bytes takes several steps.
            daemon.link_credit = (daemon.link_credit + LINK_BYTES as i64).min(LINK_BYTES as i64);
            while daemon.link_credit > 0
                && let Some((size, outgoing)) = daemon.link.pop_front()
            {
                daemon.link_credit -= size as i64;
                daemon.link_bytes -= size;
                daemon.sent_bytes += size;
                let is_lost = self.rng.random_bool(self.loss);
                if !is_lost && daemon.condition == Condition::Running {
                    arrived.push((number, self.numbers[&outgoing.to[0]], outgoing.message));
                }
            }
        }
        arrived
    }

    fn deliver(&mut self, from: usize, to: usize, received: Received) {
        let daemon = &mut self.daemons[to];
        match daemon.condition {
            Condition::Running => self.handle(from, to, received),
            Condition::Frozen => {
                let size = match &received {
                    Received::List(message) => {
                        postcard::to_stdvec(message).map_or(0, |bytes| bytes.len())
                    }
                    Received::Stamp(_) => DATAGRAM_OVERHEAD,
                };
                if daemon.inbox_bytes + size <= SOCKET_BYTES {
                    daemon.inbox_bytes += size;
                    daemon.inbox.push_back((address(from), received));
                }
            }
            Condition::Cut | Condition::Dead => {}
        }
    }

    fn empty_inbox(&mut self, number: usize) {
        self.daemons[number].inbox_bytes = 0;
        while let Some((from, received)) = self.daemons[number].inbox.pop_front() {
            self.handle(self.numbers[&from], number, received);
        }
    }

    fn handle(&mut self, from: usize, to: usize, received: Received) {
        let (now, is_forwarder) = (self.now(to), self.is_aggregator(to));
        let sync = &mut self.daemons[to].sync;
        match received {
            Received::Stamp(stamp) => sync.handle_stamp(address(from), stamp, now),
            Received::List(message) => {
                if sync.handle(address(from), message, is_forwarder, now) {
                    self.note_version(to);
                }
            }
        }
    }

    /// Records the version of a daemon's list after a change.
    fn note_version(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        let version = daemon.sync.rows().next().and_then(|row| row.places).map(|places| places - 1);
        if version < daemon.version {
            self.figures.regressions += 1;
        }
        let before = daemon.version.map_or(0, |before| before + 1);
        let touched = daemon.condition_since;
        daemon.version = version;
        for version in before..version.map_or(0, |version| version + 1) {
            let listed_at = self.schedule.listed_at(version);
            if listed_at >= self.counted_from {
                self.figures.delays.push(self.millis - listed_at.max(touched).min(self.millis));
            }
        }
    }

    fn count_delay(&mut self, number: usize) {
        let daemon = &self.daemons[number];
        let next = daemon.version.map_or(0, |version| version + 1);
        if daemon.condition != Condition::Running || next > self.schedule.version_at(self.millis) {
            return;
        }
        let listed_at = self.schedule.listed_at(next).max(self.counted_from);
        let delay = self.millis.saturating_sub(listed_at.max(daemon.condition_since));
        self.figures.worst_millis = self.figures.worst_millis.max(delay);
    }
}

fn new_daemon(rng: &mut ChaCha8Rng) -> SimulatedDaemon {
    SimulatedDaemon {
        sync: ListSync::new(rng.random()).with_platform_rate(Some(CALLS_PER_SECOND)),
        started_at: 0,
        clock_start: rng.random_range(0..MAX_UPTIME_MILLIS),
        condition: Condition::Running,
        condition_since: 0,
        link: VecDeque::new(),
        link_bytes: 0,
        link_credit: 0,
        inbox: VecDeque::new(),
        inbox_bytes: 0,
        reading: None,
        begun: None,
        next_read: 0,
        version: None,
        sent_bytes: 0,
    }
}
