//! Simulates a roll-out in virtual time: daemons that send requests and count outcomes, engines of
//! two versions, and a leader that decides.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;
use tarragonknot::policy::{Moment, RouteKey, SizeDecile, UpstreamHash};
use tarragonknot::rollout::{
    OutcomeCounts, RequestGroup, RolloutController, RolloutEvent, RolloutLog, RolloutOrder,
    RolloutReply, RolloutReport, RolloutRow, RolloutStage, RolloutStep, SharePacer, VersionArm,
    VersionOutcome,
};
use tarragonknot::table::{DaemonName, ServiceName, UpstreamName};

/// Exposure limit of a bad version: a share of all requests, plus a fixed number of requests.
pub const SHARE_LIMIT: f64 = 0.1;
pub const EXTRA_REQUESTS: f64 = 50.0;
const DURATION_MS: u64 = 12_000;
const ROUTES: usize = 5;
const OLD_ENGINES: u64 = 40;
/// Time from the order until engines of the new version are available.
const NEW_ENGINES_AFTER_MS: u64 = 1_500;
const REPORT_MS: u64 = 400;
/// A daemon without contact to the leader for this long sends nothing to a version on trial.
const LEADER_CONTACT_TIMEOUT_MS: u64 = 1_500;
/// Upper bound on the duration of a request, and so on how long the old version drains.
const MAX_REQUEST_MS: u64 = 3_000;

/// Fault of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum VersionFault {
    Nothing,
    /// This fraction of its answers fails.
    Fails(f64),
    /// It is slower by this factor.
    Slow(f64),
    /// Half of its answers fail after this fraction of the ordered duration.
    Later(f64),
    /// Half of its answers fail on one route.
    OneRoute,
    /// Half of its answers fail while an engine runs more than two requests.
    UnderLoad,
    /// Its engines never become available.
    Absent,
}

/// Fault that is unrelated to the version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    Nothing,
    /// A sixth of the engines of both versions fail four in ten requests.
    GreyEngines,
    /// A sixth of the engines of both versions crash during the roll-out and fail every request
    /// for 2 s.
    Crashes,
    /// The leader stalls for 3 s, then another one takes over.
    LeaderLost,
}

/// Result of a simulated roll-out.
#[derive(Clone, Copy, Debug)]
pub struct RolloutOutcome {
    pub stage: RolloutStage,
    pub ended_ms: u64,
    /// Requests to the new version and to the whole service within the ordered duration.
    pub new_requests: f64,
    pub all_requests: f64,
    /// Requests sent to the new version after it was rolled back.
    pub after_roll_back: u32,
}

impl RolloutOutcome {
    /// True if a bad version received more than its exposure limit.
    pub fn is_overexposed(&self) -> bool {
        self.new_requests > self.all_requests * SHARE_LIMIT + EXTRA_REQUESTS
    }
}

struct SimulatedDaemon {
    name: DaemonName,
    pacer: SharePacer,
    counts: OutcomeCounts,
    row: Option<RolloutRow>,
    on_old: u32,
    report_at: u64,
    leader_contact_at: u64,
}

struct Answer {
    daemon: usize,
    arm: VersionArm,
    group: RequestGroup,
    engine: u64,
    count: VersionOutcome,
}

/// Simulates one roll-out of a service that receives `rate` requests per second.
pub struct RolloutSimulation {
    pub daemons: usize,
    pub rate: f64,
    pub version_fault: VersionFault,
    pub trouble: Trouble,
    pub seed: u64,
}

fn hash(arm: VersionArm, engine: u64) -> UpstreamHash {
    let name: UpstreamName = format!("{arm:?}-{engine}").as_str().into();
    UpstreamHash::of(&"pool".into(), &name, 0)
}

impl RolloutSimulation {
    /// Runs until the roll-out has ended or twice its duration has passed.
    pub fn run(&self) -> RolloutOutcome {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let service: ServiceName = "pool".into();
        let mut log = RolloutLog::default();
        let order =
            RolloutOrder { service: service.clone(), to: "v2".into(), duration_ms: DURATION_MS };
        let RolloutReply::Accepted(first) = log.begin(&order, 0) else { unreachable!("empty") };
        let mut controller = RolloutController::new(&first, 0, Moment(0));
        let mut daemons: Vec<SimulatedDaemon> = (0..self.daemons)
            .map(|number| SimulatedDaemon {
                name: format!("d{number}").as_str().into(),
                pacer: SharePacer::new(rng.random()),
                counts: OutcomeCounts::default(),
                row: None,
                on_old: 0,
                report_at: rng.random_range(0..REPORT_MS),
                leader_contact_at: 0,
            })
            .collect();
        let live: BTreeMap<DaemonName, u64> =
            daemons.iter().map(|daemon| (daemon.name.clone(), 1)).collect();
        let speeds: Vec<f64> = (0..2 * OLD_ENGINES)
            .map(|_| if rng.random::<f64>() < 0.3 { 2.0 } else { 0.7 })
            .collect();
        let sizes = LogNormal::new(0.0, 0.5).expect("valid log-normal parameters");
        let mut answers: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
        let mut pending: BTreeMap<u64, Answer> = BTreeMap::new();
        let mut running: BTreeMap<(VersionArm, u64), u32> = BTreeMap::new();
        let mut outcome = RolloutOutcome {
            stage: RolloutStage::Trial,
            ended_ms: 0,
            new_requests: 0.0,
            all_requests: 0.0,
            after_roll_back: 0,
        };
        let mut number = 0;
        let mut arrival_credit = 0.0;
        let mut stalled_until = 0;
        for now in 0..DURATION_MS * 2 {
            arrival_credit += self.rate / 1_000.0;
            while arrival_credit >= 1.0 {
                arrival_credit -= 1.0;
                number += 1;
                let at = rng.random_range(0..self.daemons);
                let has_new =
                    self.version_fault != VersionFault::Absent && now >= NEW_ENGINES_AFTER_MS;
                let arm = choose_version(&mut daemons[at], has_new, now);
                let row = daemons[at].row.clone();
                let engine = pick_engine(arm, row.as_ref(), &mut rng);
                let key = (arm, engine);
                let load = running.entry(key).or_default();
                *load += 1;
                let load = *load;
                let route = rng.random_range(0..ROUTES);
                let decile = SizeDecile::of_rank(rng.random_range(0..10), 10);
                let group = RequestGroup::of(RouteKey::of(&format!("r{route}")), Some(decile));
                let speed = speeds
                    [(engine + if arm == VersionArm::New { OLD_ENGINES } else { 0 }) as usize];
                let slowdown = if arm == VersionArm::New { self.slowdown() } else { 1.0 };
                let time = 100.0 * sizes.sample(&mut rng) * speed * slowdown;
                let fails = self.fails(arm, engine, route, load, now, &mut rng);
                let after = Duration::from_micros((time * 1_000.0) as u64);
                let count =
                    if fails { VersionOutcome::Failed } else { VersionOutcome::served(after) };
                let whole = (time * rng.random_range(1.0..8.0)).min(MAX_REQUEST_MS as f64) as u64;
                if arm == VersionArm::Old {
                    daemons[at].on_old += 1;
                }
                answers.push(Reverse((now + whole.max(1), number)));
                pending.insert(number, Answer { daemon: at, arm, group, engine, count });
                if now < DURATION_MS {
                    outcome.all_requests += 1.0;
                    outcome.new_requests += if arm == VersionArm::New { 1.0 } else { 0.0 };
                }
                let is_after_roll_back =
                    outcome.stage == RolloutStage::RolledBack && now > outcome.ended_ms + REPORT_MS;
                outcome.after_roll_back += u32::from(is_after_roll_back && arm == VersionArm::New);
            }
            while answers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                let Some(Reverse((_, number))) = answers.pop() else { break };
                let Some(answer) = pending.remove(&number) else { continue };
                let daemon = &mut daemons[answer.daemon];
                if answer.arm == VersionArm::Old {
                    daemon.on_old -= 1;
                }
                *running.entry((answer.arm, answer.engine)).or_default() -= 1;
                let upstream = hash(answer.arm, answer.engine);
                daemon.counts.record(answer.arm, answer.group, upstream, answer.count);
            }
            if self.trouble == Trouble::LeaderLost && now == 4_000 {
                stalled_until = 7_000;
            }
            if now < stalled_until {
                continue;
            }
            let moment = Moment::from_millis(now);
            let record = log.get(&service).expect("the roll-out").clone();
            if stalled_until == now && now > 0 {
                controller = RolloutController::new(&record, record.elapsed_at(now), moment);
            }
            for daemon in daemons.iter_mut().filter(|daemon| daemon.report_at <= now) {
                daemon.report_at = now + REPORT_MS;
                if let Some(row) = &daemon.row {
                    let report = RolloutReport {
                        number: row.number,
                        stage: row.stage,
                        on_old: daemon.on_old,
                        counts: daemon.counts.clone(),
                    };
                    controller.record_report(&daemon.name, 1, report);
                }
                daemon.row = Some(RolloutRow::new(&record, SHARE_LIMIT));
                daemon.leader_contact_at = now;
            }
            let decision = controller.decide(&record, &live, moment);
            if decision.is_some() || now % 1_000 == 0 {
                log.step(&RolloutStep {
                    service: service.clone(),
                    number: record.number,
                    event: decision.map(|decision| decision.event),
                    elapsed_ms: controller.elapsed_ms(moment),
                    at: now,
                });
            }
            let stage = log.get(&service).expect("the roll-out").stage;
            if stage != record.stage {
                // Daemons learn of a stage change at once, since the leader holds their reports
                // open and answers them.
                let record = log.get(&service).expect("the roll-out");
                daemons.iter_mut().for_each(|daemon| {
                    daemon.row = Some(RolloutRow::new(record, SHARE_LIMIT));
                    daemon.leader_contact_at = now;
                });
            }
            if stage.is_final() && !outcome.stage.is_final() {
                outcome.ended_ms = now;
            }
            outcome.stage = stage;
            if stage.is_final() && now > outcome.ended_ms + 2_000 {
                break;
            }
        }
        outcome
    }

    fn slowdown(&self) -> f64 {
        if let VersionFault::Slow(times) = self.version_fault { times } else { 1.0 }
    }

    fn fails(
        &self,
        arm: VersionArm,
        engine: u64,
        route: usize,
        load: u32,
        now: u64,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let is_new = arm == VersionArm::New;
        let fraction = match self.version_fault {
            VersionFault::Fails(fraction) if is_new => fraction,
            VersionFault::Later(after) if is_new && now as f64 > after * DURATION_MS as f64 => 0.5,
            VersionFault::OneRoute if is_new && route == 0 => 0.5,
            VersionFault::UnderLoad if is_new && load > 2 => 0.5,
            _ => 0.005,
        };
        let is_faulty_engine = engine % 6 == 5;
        let fraction: f64 = match self.trouble {
            Trouble::GreyEngines if is_faulty_engine => fraction.max(0.4),
            Trouble::Crashes if is_faulty_engine && (4_000..6_000).contains(&now) => 1.0,
            _ => fraction,
        };
        rng.random::<f64>() < fraction
    }
}

fn choose_version(daemon: &mut SimulatedDaemon, has_new: bool, now: u64) -> VersionArm {
    let has_new = has_new && now < daemon.leader_contact_at + LEADER_CONTACT_TIMEOUT_MS;
    let Some(row) = &daemon.row else { return VersionArm::Old };
    match row.stage {
        RolloutStage::Draining | RolloutStage::Completed => VersionArm::New,
        RolloutStage::Trial | RolloutStage::Expanding if has_new && daemon.pacer.try_take() => {
            VersionArm::New
        }
        _ => {
            daemon.pacer.record_old_send(row.share().min(0.99));
            VersionArm::Old
        }
    }
}

fn pick_engine(arm: VersionArm, row: Option<&RolloutRow>, rng: &mut ChaCha8Rng) -> u64 {
    let row = row.filter(|_| arm == VersionArm::New);
    let Some(row) = row else { return rng.random_range(0..OLD_ENGINES) };
    let all: Vec<UpstreamHash> = (0..OLD_ENGINES).map(|engine| hash(arm, engine)).collect();
    let in_use = row.active_upstreams(all.clone());
    let chosen = in_use[rng.random_range(0..in_use.len())];
    all.iter().position(|known| *known == chosen).expect("a known engine") as u64
}

/// True if the roll-out was rolled back.
pub fn is_rolled_back(outcome: &RolloutOutcome) -> bool {
    outcome.stage == RolloutStage::RolledBack
}

/// All roll-out events, for exhaustive walks through the chart.
pub const EVENTS: [RolloutEvent; 3] =
    [RolloutEvent::Approved, RolloutEvent::Condemned, RolloutEvent::Drained];
