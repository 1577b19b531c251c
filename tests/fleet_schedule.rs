//! Drives the leader's registry and the daemons' members together under a seeded schedule of lost
//! and late messages, pauses, crashes, restarts and changes of leader. Invariants are checked after
//! every step.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use tarragonknot::control::{
    DaemonOrders, DaemonReport, FleetMember, FleetRegistry, ORGANISATION_LIMITS_POOL, PoolState,
    ReportOutcome, SHARE_UNITS,
};
use tarragonknot::policy::{FloorOrder, Moment, ShedFloor, TierRank};
use tarragonknot::table::{DaemonName, VersionedTable, read_table};

const DAEMONS: usize = 4;
const LEASE: Duration = Duration::from_millis(600);
const STEP_MICROS: u64 = 2_000;
const RANKS: [TierRank; 4] = [TierRank(0), TierRank(1), TierRank(2), TierRank(3)];

/// A rule that is broken on purpose, to show that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenRule {
    Nothing,
    /// A new leader assigns shares as if no other daemon held any.
    ForgetUnheardMembers,
    /// A daemon applies orders that answer an earlier report.
    TakeLateOrders,
    /// A daemon continues after its lease has expired.
    IgnoreLease,
    /// A leader accepts reports that were made for an earlier leader.
    IgnoreTerm,
}

struct TestDaemon {
    name: DaemonName,
    boot: u64,
    member: FleetMember,
    floor: ShedFloor,
    share: f64,
    limit_share: f64,
    current_until: Moment,
    /// Lowest admitted tier in the step before, if the daemon held a lease then.
    lowest_admitted_before: Option<Option<TierRank>>,
    speed: f64,
    paused_until: u64,
    down_until: u64,
    sequence: u64,
    report_at: u64,
}

enum Message {
    Report(Box<DaemonReport>),
    Orders { to: usize, boot: u64, sequence: u64, orders: Box<DaemonOrders> },
    Term { to: usize, boot: u64, sequence: u64, term: u64 },
}

/// A leader's registry, its daemons and the messages in flight between them.
pub struct FleetSchedule {
    rng: ChaCha8Rng,
    rule: BrokenRule,
    now: u64,
    daemons: Vec<TestDaemon>,
    members: BTreeMap<DaemonName, u64>,
    leader: FleetRegistry,
    table: VersionedTable,
    in_flight: Vec<(u64, Message)>,
    /// Steps in which more than 0.9 of the shares was in use.
    pub full_share_steps: u64,
    /// Steps in which a daemon could shed a tier above the lowest.
    pub shed_steps: u64,
}

fn table() -> VersionedTable {
    let text = r#"{
        "tiers": [{"tier": "only", "rank": 0, "weight": 1}],
        "organisations": [],
        "services": [{"service": "pack-llm", "kind": "model", "default_tier": "only", "deadline_ms": 1000}]
    }"#;
    VersionedTable::new(1, read_table(text).expect("table is valid"))
}

impl FleetSchedule {
    pub fn new(seed: u64, rule: BrokenRule) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let daemons: Vec<TestDaemon> =
            (0..DAEMONS).map(|number| daemon(number, 1, &mut rng)).collect();
        let members = daemons.iter().map(|daemon| (daemon.name.clone(), daemon.boot)).collect();
        FleetSchedule {
            rng,
            rule,
            now: 5_000_000,
            leader: FleetRegistry::new(1, LEASE, Moment(5_000_000), &members),
            daemons,
            members,
            table: table(),
            in_flight: Vec::new(),
            full_share_steps: 0,
            shed_steps: 0,
        }
    }

    pub fn run(&mut self, seconds: u64) -> Result<(), String> {
        let end = self.now + seconds * 1_000_000;
        while self.now < end {
            self.now += STEP_MICROS;
            self.inject_fault();
            self.deliver();
            (0..DAEMONS).for_each(|number| self.step_daemon(number));
            self.check()?;
        }
        Ok(())
    }

    fn inject_fault(&mut self) {
        let draw: f64 = self.rng.random();
        let number = self.rng.random_range(0..DAEMONS);
        if draw < 0.0008 {
            self.daemons[number].paused_until = self.now + self.rng.random_range(50_000..1_200_000);
        } else if draw < 0.0014 {
            let boot = self.daemons[number].boot + 1;
            self.daemons[number] = daemon(number, boot, &mut self.rng);
            self.daemons[number].down_until = self.now + self.rng.random_range(50_000..1_500_000);
        } else if draw < 0.0022 {
            let mut members = self.members.clone();
            if self.rule == BrokenRule::ForgetUnheardMembers {
                members.clear();
            }
            let term = self.leader.term() + 1;
            self.leader = FleetRegistry::new(term, LEASE, Moment(self.now), &members);
        }
    }

    fn local_time(&self, number: usize) -> Moment {
        Moment((self.now as f64 * self.daemons[number].speed) as u64)
    }

    fn is_awake(&self, number: usize) -> bool {
        self.daemons[number].paused_until <= self.now && self.daemons[number].down_until <= self.now
    }

    fn send(&mut self, message: Message) {
        if !self.rng.random_bool(0.05) {
            let at = self.now + self.rng.random_range(500..30_000);
            self.in_flight.push((at, message));
        }
    }

    fn deliver(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= self.now);
        self.in_flight = later;
        for (_, message) in due {
            match message {
                Message::Report(report) => self.handle_report(*report),
                Message::Term { to, boot, sequence, term } => {
                    let report_at = self.now;
                    let daemon = &mut self.daemons[to];
                    if daemon.boot == boot && daemon.sequence == sequence {
                        daemon.member.set_term(term);
                        daemon.report_at = report_at;
                    }
                }
                Message::Orders { to, boot, sequence, orders } if self.is_awake(to) => {
                    self.apply_orders(to, boot, sequence, *orders)
                }
                Message::Orders { to, boot, sequence, orders } => {
                    let at = self.daemons[to].paused_until.max(self.daemons[to].down_until) + 1;
                    self.in_flight.push((at, Message::Orders { to, boot, sequence, orders }));
                }
            }
        }
    }

    /// Handles a report as the leader: an unknown boot is first added to the replicated members and
    /// gets orders only for a later report.
    fn handle_report(&mut self, report: DaemonReport) {
        let now = Moment(self.now);
        let (daemon, boot, sequence) = (report.daemon.clone(), report.boot, report.sequence);
        let has_lease = report.has_lease;
        let outcome = match self.rule {
            BrokenRule::IgnoreTerm => {
                self.leader.record(DaemonReport { term: self.leader.term(), ..report.clone() }, now)
            }
            _ => self.leader.record(report.clone(), now),
        };
        if outcome == ReportOutcome::TermMismatch {
            let to = self
                .daemons
                .iter()
                .position(|known| known.name == daemon)
                .expect("report comes from a known daemon");
            let term = self.leader.term();
            return self.send(Message::Term { to, boot, sequence, term });
        }
        if outcome == ReportOutcome::UnknownBoot {
            let is_newer = self.members.get(&report.daemon).is_none_or(|boot| *boot <= report.boot);
            if is_newer {
                self.members.insert(report.daemon.clone(), report.boot);
                let known = if self.rule == BrokenRule::ForgetUnheardMembers {
                    BTreeMap::from([(report.daemon.clone(), report.boot)])
                } else {
                    self.members.clone()
                };
                self.leader.set_members(&known);
            }
            return;
        }
        if !has_lease && !self.leader.has_heard_all(now) {
            return;
        }
        let orders = self.leader.orders(&daemon, &self.table, now);
        self.leader.record_sent_orders(&daemon, &orders.pools);
        let to = self
            .daemons
            .iter()
            .position(|known| known.name == daemon)
            .expect("report comes from a known daemon");
        self.send(Message::Orders { to, boot, sequence, orders: Box::new(orders) });
    }

    fn apply_orders(&mut self, to: usize, boot: u64, sequence: u64, orders: DaemonOrders) {
        let daemon = &mut self.daemons[to];
        let is_current = sequence == daemon.sequence || self.rule == BrokenRule::TakeLateOrders;
        if daemon.boot != boot || !is_current {
            return;
        }
        let now = Moment((self.now as f64 * daemon.speed) as u64);
        let Some(changes) = daemon.member.apply(orders, now) else { return };
        for change in changes.pools {
            match change.service.as_str() {
                ORGANISATION_LIMITS_POOL => daemon.limit_share = change.share,
                _ => {
                    daemon.share = change.share;
                    daemon.floor.apply(change.floor);
                }
            }
        }
        daemon.current_until = changes.current_until;
        daemon.report_at = self.now;
    }

    /// Steps one daemon: raises floors at random, relaxes them and sends reports.
    fn step_daemon(&mut self, number: usize) {
        if !self.is_awake(number) {
            return;
        }
        let now = self.local_time(number);
        let raises_floor = self.rng.random_bool(0.002);
        let tier = RANKS[self.rng.random_range(0..RANKS.len())];
        let daemon = &mut self.daemons[number];
        let before = (daemon.floor.wanted(), daemon.floor.lowest_admitted());
        if raises_floor {
            daemon.floor.raise(tier, now);
        }
        daemon.floor.relax(now);
        let after = (daemon.floor.wanted(), daemon.floor.lowest_admitted());
        let has_changed = before != after;
        if !has_changed && self.now < daemon.report_at {
            return;
        }
        daemon.report_at = self.now + 100_000;
        let pool = PoolState {
            service: "pack-llm".into(),
            wanted: daemon.floor.wanted(),
            guaranteed: daemon.floor.guaranteed(),
            demand: self.rng.random_range(0..1_000),
            utilisation: 0.0,
        };
        let limits = PoolState {
            service: ORGANISATION_LIMITS_POOL.into(),
            wanted: None,
            guaranteed: None,
            // Uses no random draw, so that the schedules of existing seeds do not change.
            demand: self.now / STEP_MICROS % 10,
            utilisation: 0.0,
        };
        let report = daemon.member.report(1, vec![pool, limits], false, now);
        daemon.sequence = report.sequence;
        self.send(Message::Report(Box::new(report)));
    }

    fn has_lease(&self, number: usize) -> bool {
        let is_alive = self.daemons[number].down_until <= self.now;
        is_alive
            && (self.rule == BrokenRule::IgnoreLease
                || self.local_time(number) < self.daemons[number].current_until)
    }

    fn check(&mut self) -> Result<(), String> {
        let current: Vec<usize> = (0..DAEMONS).filter(|number| self.has_lease(*number)).collect();
        let limits: f64 = current.iter().map(|number| self.daemons[*number].limit_share).sum();
        if limits > 1.0 + 1.0 / f64::from(SHARE_UNITS) {
            return Err(format!("shares of the organisations' limits add up to {limits}"));
        }
        let sum: f64 = current.iter().map(|number| self.daemons[*number].share).sum();
        if sum > 1.0 + 1.0 / f64::from(SHARE_UNITS) {
            return Err(format!("shares add up to {sum}"));
        }
        self.full_share_steps += u64::from(sum > 0.9);
        self.check_drops(&current)?;
        for shedding in &current {
            for tier in RANKS {
                let floor = &self.daemons[*shedding].floor;
                let may_shed =
                    floor.wanted().is_some_and(|wanted| wanted <= tier) && floor.may_shed(tier);
                let admits = |number: &&usize| {
                    self.daemons[**number]
                        .floor
                        .lowest_admitted()
                        .is_none_or(|lowest| lowest > tier)
                };
                let is_lowest = tier == RANKS[RANKS.len() - 1];
                if may_shed && !is_lowest {
                    self.shed_steps += 1;
                    if let Some(other) = current.iter().find(admits) {
                        return Err(format!(
                            "daemon {shedding} may shed tier {} while {other} admits below it",
                            tier.0
                        ));
                    }
                }
            }
        }
        Ok(())
    }

    /// A daemon that has just raised its floor has shed the waiting requests of the dropped tiers,
    /// so no daemon may admit a tier below them.
    fn check_drops(&mut self, current: &[usize]) -> Result<(), String> {
        for number in 0..DAEMONS {
            let floor = self.daemons[number].floor.lowest_admitted();
            let before = self.daemons[number].lowest_admitted_before;
            self.daemons[number].lowest_admitted_before =
                current.contains(&number).then_some(floor);
            let (Some(before), Some(floor)) = (before, floor) else { continue };
            let dropped =
                |rank: &&TierRank| **rank > floor && before.is_none_or(|before| **rank <= before);
            for tier in RANKS.iter().filter(dropped) {
                let admits = |other: &&usize| {
                    self.daemons[**other]
                        .floor
                        .lowest_admitted()
                        .is_none_or(|lowest| lowest > *tier)
                };
                let is_lowest = *tier == RANKS[RANKS.len() - 1];
                if let Some(other) = current.iter().find(admits).filter(|_| !is_lowest) {
                    return Err(format!(
                        "daemon {number} dropped tier {} while {other} admits below it",
                        tier.0
                    ));
                }
            }
        }
        Ok(())
    }
}

fn daemon(number: usize, boot: u64, rng: &mut ChaCha8Rng) -> TestDaemon {
    let name: DaemonName = format!("entry-{number}").as_str().into();
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7_000 + number as u16));
    let mut floor = ShedFloor::default();
    floor.set_ranks(RANKS.to_vec());
    floor.apply(FloorOrder::default());
    TestDaemon {
        member: FleetMember::new(name.clone(), boot, address, LEASE),
        name,
        boot,
        floor,
        share: 0.0,
        limit_share: 0.0,
        current_until: Moment(0),
        lowest_admitted_before: None,
        speed: rng.random_range(0.97..1.03),
        paused_until: 0,
        down_until: 0,
        sequence: 0,
        report_at: 0,
    }
}
