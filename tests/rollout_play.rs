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
pub const BOUND: f64 = 0.1;
pub const SLACK: f64 = 50.0;
const DURATION_MS: u64 = 12_000;
const ROUTES: usize = 5;
const OLD_ENGINES: u64 = 40;
/// Time from the order until engines of the new version are available.
const ENGINES_COME_MS: u64 = 1_500;
const REPORT_MS: u64 = 400;
/// A daemon without contact to the leader for this long sends nothing to a version on trial.
const HEARD_FOR_MS: u64 = 1_500;
/// Upper bound on the duration of a request, and so on how long the old version drains.
const LONGEST_MS: u64 = 3_000;

/// Fault of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Badness {
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
pub struct PlayOutcome {
    pub stage: RolloutStage,
    pub ended_ms: u64,
    /// Requests to the new version and to the whole service within the ordered duration.
    pub on_new: f64,
    pub on_all: f64,
    /// Requests sent to the new version after it was rolled back.
    pub after_roll_back: u32,
}

impl PlayOutcome {
    /// True if a bad version received more than its exposure limit.
    pub fn is_overexposed(&self) -> bool {
        self.on_new > self.on_all * BOUND + SLACK
    }
}

struct PlayDaemon {
    name: DaemonName,
    pace: SharePacer,
    counts: OutcomeCounts,
    row: Option<RolloutRow>,
    on_old: u32,
    report_at: u64,
    heard_at: u64,
}

struct Answer {
    daemon: usize,
    arm: VersionArm,
    group: RequestGroup,
    engine: u64,
    count: VersionOutcome,
}

/// Simulates one roll-out of a service that receives `rate` requests per second.
pub struct RolloutPlay {
    pub daemons: usize,
    pub rate: f64,
    pub badness: Badness,
    pub trouble: Trouble,
    pub seed: u64,
}

fn hash(arm: VersionArm, engine: u64) -> UpstreamHash {
    let name: UpstreamName = format!("{arm:?}-{engine}").as_str().into();
    UpstreamHash::of(&"pool".into(), &name, 0)
}

impl RolloutPlay {
    /// Runs until the roll-out has ended or twice its duration has passed.
    pub fn play(&self) -> PlayOutcome {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let service: ServiceName = "pool".into();
        let mut log = RolloutLog::default();
        let order =
            RolloutOrder { service: service.clone(), to: "v2".into(), duration_ms: DURATION_MS };
        let RolloutReply::Accepted(first) = log.begin(&order, 0) else { unreachable!("empty") };
        let mut director = RolloutController::new(&first, 0, Moment(0));
        let mut daemons: Vec<PlayDaemon> = (0..self.daemons)
            .map(|number| PlayDaemon {
                name: format!("d{number}").as_str().into(),
                pace: SharePacer::new(rng.random()),
                counts: OutcomeCounts::default(),
                row: None,
                on_old: 0,
                report_at: rng.random_range(0..REPORT_MS),
                heard_at: 0,
            })
            .collect();
        let live: BTreeMap<DaemonName, u64> =
            daemons.iter().map(|daemon| (daemon.name.clone(), 1)).collect();
        let speeds: Vec<f64> = (0..2 * OLD_ENGINES)
            .map(|_| if rng.random::<f64>() < 0.3 { 2.0 } else { 0.7 })
            .collect();
        let sizes = LogNormal::new(0.0, 0.5).expect("a spread");
        let mut answers: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
        let mut open: BTreeMap<u64, Answer> = BTreeMap::new();
        let mut busy: BTreeMap<(VersionArm, u64), u32> = BTreeMap::new();
        let mut outcome = PlayOutcome {
            stage: RolloutStage::Trial,
            ended_ms: 0,
            on_new: 0.0,
            on_all: 0.0,
            after_roll_back: 0,
        };
        let mut number = 0;
        let mut owed = 0.0;
        let mut asleep_until = 0;
        for now in 0..DURATION_MS * 2 {
            owed += self.rate / 1_000.0;
            while owed >= 1.0 {
                owed -= 1.0;
                number += 1;
                let at = rng.random_range(0..self.daemons);
                let has_new = self.badness != Badness::Absent && now >= ENGINES_COME_MS;
                let arm = choose(&mut daemons[at], has_new, now);
                let row = daemons[at].row.clone();
                let engine = pick_engine(arm, row.as_ref(), &mut rng);
                let key = (arm, engine);
                let load = busy.entry(key).or_default();
                *load += 1;
                let load = *load;
                let route = rng.random_range(0..ROUTES);
                let tenth = SizeDecile::of_rank(rng.random_range(0..10), 10);
                let group = RequestGroup::of(RouteKey::of(&format!("r{route}")), Some(tenth));
                let speed = speeds
                    [(engine + if arm == VersionArm::New { OLD_ENGINES } else { 0 }) as usize];
                let slower = if arm == VersionArm::New { self.slower() } else { 1.0 };
                let time = 100.0 * sizes.sample(&mut rng) * speed * slower;
                let fails = self.fails(arm, engine, route, load, now, &mut rng);
                let after = Duration::from_micros((time * 1_000.0) as u64);
                let count =
                    if fails { VersionOutcome::Failed } else { VersionOutcome::served(after) };
                let whole = (time * rng.random_range(1.0..8.0)).min(LONGEST_MS as f64) as u64;
                if arm == VersionArm::Old {
                    daemons[at].on_old += 1;
                }
                answers.push(Reverse((now + whole.max(1), number)));
                open.insert(number, Answer { daemon: at, arm, group, engine, count });
                if now < DURATION_MS {
                    outcome.on_all += 1.0;
                    outcome.on_new += if arm == VersionArm::New { 1.0 } else { 0.0 };
                }
                let is_back =
                    outcome.stage == RolloutStage::RolledBack && now > outcome.ended_ms + REPORT_MS;
                outcome.after_roll_back += u32::from(is_back && arm == VersionArm::New);
            }
            while answers.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                let Some(Reverse((_, number))) = answers.pop() else { break };
                let Some(answer) = open.remove(&number) else { continue };
                let daemon = &mut daemons[answer.daemon];
                if answer.arm == VersionArm::Old {
                    daemon.on_old -= 1;
                }
                *busy.entry((answer.arm, answer.engine)).or_default() -= 1;
                let upstream = hash(answer.arm, answer.engine);
                daemon.counts.record(answer.arm, answer.group, upstream, answer.count);
            }
            if self.trouble == Trouble::LeaderLost && now == 4_000 {
                asleep_until = 7_000;
            }
            if now < asleep_until {
                continue;
            }
            let moment = Moment::from_millis(now);
            let record = log.get(&service).expect("the roll-out").clone();
            if asleep_until == now && now > 0 {
                director = RolloutController::new(&record, record.elapsed_at(now), moment);
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
                    director.record_report(&daemon.name, 1, report);
                }
                daemon.row = Some(RolloutRow::new(&record, BOUND));
                daemon.heard_at = now;
            }
            let decision = director.decide(&record, &live, moment);
            if decision.is_some() || now % 1_000 == 0 {
                log.step(&RolloutStep {
                    service: service.clone(),
                    number: record.number,
                    event: decision.map(|decision| decision.event),
                    elapsed_ms: director.elapsed_ms(moment),
                    at: now,
                });
            }
            let stage = log.get(&service).expect("the roll-out").stage;
            if stage != record.stage {
                // Daemons learn of a stage change at once, since the leader holds their reports
                // open and answers them.
                let record = log.get(&service).expect("the roll-out");
                daemons.iter_mut().for_each(|daemon| {
                    daemon.row = Some(RolloutRow::new(record, BOUND));
                    daemon.heard_at = now;
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

    fn slower(&self) -> f64 {
        if let Badness::Slow(times) = self.badness { times } else { 1.0 }
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
        let part = match self.badness {
            Badness::Fails(part) if is_new => part,
            Badness::Later(part) if is_new && now as f64 > part * DURATION_MS as f64 => 0.5,
            Badness::OneRoute if is_new && route == 0 => 0.5,
            Badness::UnderLoad if is_new && load > 2 => 0.5,
            _ => 0.005,
        };
        let in_trouble = engine % 6 == 5;
        let part: f64 = match self.trouble {
            Trouble::GreyEngines if in_trouble => part.max(0.4),
            Trouble::Crashes if in_trouble && (4_000..6_000).contains(&now) => 1.0,
            _ => part,
        };
        rng.random::<f64>() < part
    }
}

fn choose(daemon: &mut PlayDaemon, has_new: bool, now: u64) -> VersionArm {
    let has_new = has_new && now < daemon.heard_at + HEARD_FOR_MS;
    let Some(row) = &daemon.row else { return VersionArm::Old };
    match row.stage {
        RolloutStage::Draining | RolloutStage::Completed => VersionArm::New,
        RolloutStage::Trial | RolloutStage::Expanding if has_new && daemon.pace.try_take() => {
            VersionArm::New
        }
        _ => {
            daemon.pace.record_old_send(row.share().min(0.99));
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
    all.iter().position(|known| *known == chosen).expect("one of all") as u64
}

/// True if the roll-out was rolled back.
pub fn is_rolled_back(outcome: &PlayOutcome) -> bool {
    outcome.stage == RolloutStage::RolledBack
}

/// All roll-out events, for exhaustive walks through the chart.
pub const EVENTS: [RolloutEvent; 3] =
    [RolloutEvent::Approved, RolloutEvent::Condemned, RolloutEvent::Drained];
