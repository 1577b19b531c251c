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
const STEP: u64 = 2_000;
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
    kept_before: Option<Option<TierRank>>,
    speed: f64,
    paused_until: u64,
    dead_until: u64,
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
    book: FleetRegistry,
    table: VersionedTable,
    flights: Vec<(u64, Message)>,
    /// Steps in which more than 0.9 of the shares was in use.
    pub full_shares: u64,
    /// Steps in which a daemon could shed a tier above the lowest.
    pub sheds: u64,
}

fn table() -> VersionedTable {
    let text = r#"{
        "tiers": [{"tier": "only", "rank": 0, "weight": 1}],
        "organisations": [],
        "services": [{"service": "pack-llm", "kind": "model", "default_tier": "only", "deadline_ms": 1000}]
    }"#;
    VersionedTable::new(1, read_table(text).expect("a good table"))
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
            book: FleetRegistry::new(1, LEASE, Moment(5_000_000), &members),
            daemons,
            members,
            table: table(),
            flights: Vec::new(),
            full_shares: 0,
            sheds: 0,
        }
    }

    pub fn run(&mut self, seconds: u64) -> Result<(), String> {
        let end = self.now + seconds * 1_000_000;
        while self.now < end {
            self.now += STEP;
            self.hurt();
            self.deliver();
            (0..DAEMONS).for_each(|number| self.act(number));
            self.check()?;
        }
        Ok(())
    }

    fn hurt(&mut self) {
        let dice: f64 = self.rng.random();
        let number = self.rng.random_range(0..DAEMONS);
        if dice < 0.0008 {
            self.daemons[number].paused_until = self.now + self.rng.random_range(50_000..1_200_000);
        } else if dice < 0.0014 {
            let boot = self.daemons[number].boot + 1;
            self.daemons[number] = daemon(number, boot, &mut self.rng);
            self.daemons[number].dead_until = self.now + self.rng.random_range(50_000..1_500_000);
        } else if dice < 0.0022 {
            let mut members = self.members.clone();
            if self.rule == BrokenRule::ForgetUnheardMembers {
                members.clear();
            }
            let term = self.book.term() + 1;
            self.book = FleetRegistry::new(term, LEASE, Moment(self.now), &members);
        }
    }

    fn local(&self, number: usize) -> Moment {
        Moment((self.now as f64 * self.daemons[number].speed) as u64)
    }

    fn is_awake(&self, number: usize) -> bool {
        self.daemons[number].paused_until <= self.now && self.daemons[number].dead_until <= self.now
    }

    fn send(&mut self, message: Message) {
        if !self.rng.random_bool(0.05) {
            let at = self.now + self.rng.random_range(500..30_000);
            self.flights.push((at, message));
        }
    }

    fn deliver(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.flights).into_iter().partition(|(at, _)| *at <= self.now);
        self.flights = later;
        for (_, message) in due {
            match message {
                Message::Report(report) => self.lead(*report),
                Message::Term { to, boot, sequence, term } => {
                    let report_at = self.now;
                    let daemon = &mut self.daemons[to];
                    if daemon.boot == boot && daemon.sequence == sequence {
                        daemon.member.set_term(term);
                        daemon.report_at = report_at;
                    }
                }
                Message::Orders { to, boot, sequence, orders } if self.is_awake(to) => {
                    self.obey(to, boot, sequence, *orders)
                }
                Message::Orders { to, boot, sequence, orders } => {
                    let at = self.daemons[to].paused_until.max(self.daemons[to].dead_until) + 1;
                    self.flights.push((at, Message::Orders { to, boot, sequence, orders }));
                }
            }
        }
    }

    /// Handles a report as the leader: an unknown boot is first added to the replicated members and
    /// gets orders only for a later report.
    fn lead(&mut self, report: DaemonReport) {
        let now = Moment(self.now);
        let (daemon, boot, sequence) = (report.daemon.clone(), report.boot, report.sequence);
        let has_lease = report.has_lease;
        let outcome = match self.rule {
            BrokenRule::IgnoreTerm => {
                self.book.record(DaemonReport { term: self.book.term(), ..report.clone() }, now)
            }
            _ => self.book.record(report.clone(), now),
        };
        if outcome == ReportOutcome::TermMismatch {
            let to = self
                .daemons
                .iter()
                .position(|known| known.name == daemon)
                .expect("a daemon of the test");
            let term = self.book.term();
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
                self.book.set_members(&known);
            }
            return;
        }
        if !has_lease && !self.book.has_heard_all(now) {
            return;
        }
        let orders = self.book.orders(&daemon, &self.table, now);
        self.book.record_sent_orders(&daemon, &orders.pools);
        let to = self
            .daemons
            .iter()
            .position(|known| known.name == daemon)
            .expect("a daemon of the test");
        self.send(Message::Orders { to, boot, sequence, orders: Box::new(orders) });
    }

    fn obey(&mut self, to: usize, boot: u64, sequence: u64, orders: DaemonOrders) {
        let daemon = &mut self.daemons[to];
        let is_last = sequence == daemon.sequence || self.rule == BrokenRule::TakeLateOrders;
        if daemon.boot != boot || !is_last {
            return;
        }
        let now = Moment((self.now as f64 * daemon.speed) as u64);
        let Some(moves) = daemon.member.apply(orders, now) else { return };
        for step in moves.pools {
            match step.service.as_str() {
                ORGANISATION_LIMITS_POOL => daemon.limit_share = step.share,
                _ => {
                    daemon.share = step.share;
                    daemon.floor.apply(step.floor);
                }
            }
        }
        daemon.current_until = moves.current_until;
        daemon.report_at = self.now;
    }

    /// Steps one daemon: raises floors at random, relaxes them and sends reports.
    fn act(&mut self, number: usize) {
        if !self.is_awake(number) {
            return;
        }
        let now = self.local(number);
        let wants = self.rng.random_bool(0.002);
        let tier = RANKS[self.rng.random_range(0..RANKS.len())];
        let daemon = &mut self.daemons[number];
        let before = (daemon.floor.wanted(), daemon.floor.lowest_admitted());
        if wants {
            daemon.floor.raise(tier, now);
        }
        daemon.floor.relax(now);
        let after = (daemon.floor.wanted(), daemon.floor.lowest_admitted());
        let is_news = before != after;
        if !is_news && self.now < daemon.report_at {
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
            demand: self.now / STEP % 10,
            utilisation: 0.0,
        };
        let report = daemon.member.report(1, vec![pool, limits], false, now);
        daemon.sequence = report.sequence;
        self.send(Message::Report(Box::new(report)));
    }

    fn has_lease(&self, number: usize) -> bool {
        let is_alive = self.daemons[number].dead_until <= self.now;
        is_alive
            && (self.rule == BrokenRule::IgnoreLease
                || self.local(number) < self.daemons[number].current_until)
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
        self.full_shares += u64::from(sum > 0.9);
        self.check_drops(&current)?;
        for shedding in &current {
            for tier in RANKS {
                let floor = &self.daemons[*shedding].floor;
                let sheds =
                    floor.wanted().is_some_and(|wanted| wanted <= tier) && floor.may_shed(tier);
                let admits = |number: &&usize| {
                    self.daemons[**number]
                        .floor
                        .lowest_admitted()
                        .is_none_or(|lowest| lowest > tier)
                };
                let lowest_tier = tier == RANKS[RANKS.len() - 1];
                if sheds && !lowest_tier {
                    self.sheds += 1;
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
            let kept = self.daemons[number].floor.lowest_admitted();
            let before = self.daemons[number].kept_before;
            self.daemons[number].kept_before = current.contains(&number).then_some(kept);
            let (Some(before), Some(kept)) = (before, kept) else { continue };
            let dropped =
                |rank: &&TierRank| **rank > kept && before.is_none_or(|before| **rank <= before);
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
        kept_before: None,
        speed: rng.random_range(0.97..1.03),
        paused_until: 0,
        dead_until: 0,
        sequence: 0,
        report_at: 0,
    }
}
