//! The event loop of an experiment.

use super::engine::SimulatedEngine;
use super::plan::{ExperimentPlan, FaultKind, MechanismSwitch};
use super::poison::{ATTEMPT_PAUSE, CrashKnowledge, NEWS_PAUSE, RESTART_TIME, SENDS};
use super::summary::RunSummary;
use crate::control::{DaemonOrders, FleetMember, FleetRegistry, PoolState, ReportOutcome};
use crate::load::{PlannedRequest, RequestKind};
use crate::policy::{
    ArrivedRequest, DispatchOutcome, LoadReport, Moment, OrganisationIndex, PoolAction, PoolEvent,
    PoolScheduler, RequestId, RouteKey, TierRank, UpstreamEvent, UpstreamIndex, UpstreamSource,
    prefix_hashes,
};
use crate::standin::{EngineJob, JobId, PrefillLedger};
use crate::table::{DaemonName, VersionedTable};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

/// Network delay of a request, there and back, added on the way from the daemon to the engine.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Interval at which daemons poll load reports.
const POLL_PAUSE: Duration = Duration::from_millis(100);
/// Age of a load report when a daemon reads it.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Interval between the ticks of a daemon's scheduler.
const TICK: Duration = Duration::from_millis(10);
/// Interval between a daemon's reports to the leader. A changed floor is reported at the next tick.
const FLEET_PAUSE: Duration = Duration::from_millis(100);
/// Term of the only leader.
const TERM: u64 = 1;
/// Lease granted to a daemon that reports to the leader.
const FLEET_LEASE: Duration = Duration::from_secs(3);
/// Number of tokens over which a token gap is averaged for the scheduler, as in the production
/// relay.
const GAP_STRETCH: u32 = 16;
/// Index of the engine that faults of a single engine affect.
const STRUCK: usize = 1;
/// Keeps the random numbers of the daemons' choices apart from those of the arrivals.
const CHOICE_SEED: u64 = 0x5eed;

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RunEvent {
    Arrive(usize),
    Submit {
        request: usize,
        engine: usize,
    },
    StepEnd(usize),
    Deadline(usize),
    Poll,
    Reports(usize),
    Tick(usize),
    Fault,
    /// An attempt, by its number, of the caller that sends the poison request.
    Poison(usize),
    Restart(usize),
    News,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestPhase {
    Coming,
    Waiting,
    Running(usize),
    Ended,
}

/// A request and its progress.
struct SimulatedRequest {
    planned: PlannedRequest,
    at: Duration,
    daemon: usize,
    phase: RequestPhase,
    prefix: Box<[u64]>,
    sent_at: Moment,
    first_at: Option<Moment>,
    tokens: u32,
    gap_from: (u32, Moment),
}

/// A daemon: its scheduler and its fleet membership.
struct SimulatedDaemon {
    name: DaemonName,
    scheduler: PoolScheduler,
    member: FleetMember,
    rng: ChaCha8Rng,
    report_at: Moment,
    floor_before: (Option<TierRank>, Option<TierRank>),
}

/// Runs an experiment until every request has ended.
pub fn run_experiment(plan: &ExperimentPlan) -> RunSummary {
    let mut run = ExperimentRun::new(plan);
    run.run();
    run.summary
}

struct ExperimentRun<'a> {
    plan: &'a ExperimentPlan,
    now: Moment,
    events: BinaryHeap<Reverse<(u64, u64, RunEvent)>>,
    sequence: u64,
    requests: Vec<SimulatedRequest>,
    daemons: Vec<SimulatedDaemon>,
    engines: Vec<SimulatedEngine>,
    book: FleetRegistry,
    table: VersionedTable,
    ledger: PrefillLedger,
    reports: Vec<Vec<Option<LoadReport>>>,
    open: usize,
    crashes: CrashKnowledge,
    summary: RunSummary,
}

impl<'a> ExperimentRun<'a> {
    fn new(plan: &'a ExperimentPlan) -> Self {
        let daemons: Vec<SimulatedDaemon> =
            (0..plan.daemons).map(|number| daemon(plan, number)).collect();
        let members: BTreeMap<DaemonName, u64> =
            daemons.iter().map(|daemon| (daemon.name.clone(), 1)).collect();
        let names: Vec<DaemonName> = daemons.iter().map(|daemon| daemon.name.clone()).collect();
        let has_quarantine = plan.without != Some(MechanismSwitch::Quarantine);
        let crashes = CrashKnowledge::new(names.into_iter(), plan.profile.engines, has_quarantine);
        let mut run = ExperimentRun {
            plan,
            crashes,
            now: Moment(0),
            events: BinaryHeap::new(),
            sequence: 0,
            requests: requests(plan),
            daemons,
            engines: (0..plan.profile.engines)
                .map(|_| SimulatedEngine::new(plan.profile.shape))
                .collect(),
            book: FleetRegistry::new(TERM, FLEET_LEASE, Moment(0), &members),
            table: VersionedTable::new(1, plan.profile.table(&[], &[], plan.policy)),
            ledger: PrefillLedger::default(),
            reports: Vec::new(),
            open: 0,
            summary: RunSummary::new(&plan.profile),
        };
        run.open = run.requests.len();
        run.start();
        run
    }

    fn start(&mut self) {
        for number in 0..self.daemons.len() {
            let sources = sources(self.plan.profile.engines);
            self.tell(number, PoolEvent::Sources(sources));
            self.push(TICK / (number as u32 + 1), RunEvent::Tick(number));
        }
        for request in 0..self.requests.len() {
            let at = self.requests[request].at;
            self.push(at, RunEvent::Arrive(request));
        }
        self.push(POLL_PAUSE, RunEvent::Poll);
        if !matches!(self.plan.fault, FaultKind::None | FaultKind::Bursts) {
            self.push(self.plan.fault_at(), RunEvent::Fault);
        }
    }

    fn push(&mut self, after: Duration, event: RunEvent) {
        self.sequence += 1;
        self.events.push(Reverse(((self.now + after).0, self.sequence, event)));
    }

    fn run(&mut self) {
        while self.open > 0
            && let Some(Reverse((at, _, event))) = self.events.pop()
        {
            self.now = Moment(at);
            match event {
                RunEvent::Arrive(request) => self.arrive(request),
                RunEvent::Submit { request, engine } => self.submit(request, engine),
                RunEvent::StepEnd(engine) => self.end_step(engine),
                RunEvent::Deadline(request) => self.deadline(request),
                RunEvent::Poll => self.poll(),
                RunEvent::Reports(number) => self.deliver_reports(number),
                RunEvent::Tick(number) => self.tick(number),
                RunEvent::Fault => self.strike(),
                RunEvent::Poison(attempt) => self.attempt_poison(attempt),
                RunEvent::Restart(engine) => self.restart(engine),
                RunEvent::News => self.tell_news(),
            }
        }
        self.summary.prefill_tokens = self.ledger.computed_tokens();
        self.summary.wasted_tokens = self.ledger.wasted_tokens();
        self.summary.order_breaks =
            self.daemons.iter().map(|daemon| daemon.scheduler.shed_order_violations()).sum();
    }

    /// Passes an event to a daemon's scheduler and executes the resulting actions.
    fn tell(&mut self, number: usize, event: PoolEvent) {
        let mut actions = Vec::new();
        let daemon = &mut self.daemons[number];
        daemon.scheduler.handle(event, self.now, &mut daemon.rng, &mut actions);
        for action in actions {
            match action {
                PoolAction::Dispatch { id, upstream } => self.dispatch(id, upstream),
                PoolAction::Refuse { id, kind } => {
                    self.summary.refused(kind, self.plan.measures(self.requests[id.0 as usize].at));
                    self.end(id.0 as usize, false);
                }
            }
        }
    }

    fn arrive(&mut self, request: usize) {
        let class = &self.plan.profile.classes[self.requests[request].planned.class];
        let arrived = &mut self.requests[request];
        arrived.phase = RequestPhase::Waiting;
        let event = ArrivedRequest {
            id: RequestId(request as u64),
            organisation: OrganisationIndex(arrived.planned.organisation as u32),
            weight: 1,
            tier: TierRank(class.rank),
            prompt_bytes: arrived.planned.prompt_tokens as usize * 4,
            output_limit: Some(arrived.planned.output_tokens),
            deadline: self.now + class.deadline,
            sizes: None,
            size_tenth: None,
            route: RouteKey::default(),
            rank: 0,
            objective: None,
            patience: None,
            pause: None,
            prefix: arrived.prefix.clone(),
        };
        let number = arrived.daemon;
        if self.plan.measures(arrived.at) {
            self.summary.offered(arrived.planned.class);
        }
        self.push(class.deadline, RunEvent::Deadline(request));
        self.tell(number, PoolEvent::Arrived(event));
    }

    fn dispatch(&mut self, id: RequestId, upstream: UpstreamIndex) {
        let request = id.0 as usize;
        let engine = upstream.0 as usize;
        self.requests[request].phase = RequestPhase::Running(engine);
        self.requests[request].sent_at = self.now;
        self.push(ROUND_TRIP, RunEvent::Submit { request, engine });
    }

    fn submit(&mut self, request: usize, engine: usize) {
        let sent = &self.requests[request];
        if sent.phase != RequestPhase::Running(engine) {
            return;
        }
        let job = EngineJob {
            id: JobId(request as u64),
            prompt_tokens: sent.planned.prompt_tokens,
            blocks: sent.prefix.clone(),
            output_tokens: sent.planned.output_tokens,
        };
        if self.engines[engine].submit(job) {
            return self.begin_step(engine);
        }
        self.requests[request].phase = RequestPhase::Waiting;
        let event =
            PoolEvent::Ended { id: RequestId(request as u64), outcome: DispatchOutcome::NotSent };
        self.tell(self.requests[request].daemon, event);
    }

    fn begin_step(&mut self, engine: usize) {
        if let Some(micros) = self.engines[engine].begin_step(&self.ledger) {
            self.push(Duration::from_micros(micros), RunEvent::StepEnd(engine));
        }
    }

    fn end_step(&mut self, engine: usize) {
        let Some(step) = self.engines[engine].end_step() else { return };
        step.emitted.iter().for_each(|id| self.token(id.0 as usize));
        for id in &step.finished {
            let request = id.0 as usize;
            let planned = &self.requests[request].planned;
            let outcome = DispatchOutcome::Completed {
                prompt_tokens: Some(planned.prompt_tokens),
                output_tokens: planned.output_tokens,
            };
            let daemon = self.requests[request].daemon;
            self.crashes.note_answer(daemon, request, self.now);
            self.finish(request, outcome, true);
        }
        self.begin_step(engine);
    }

    fn token(&mut self, request: usize) {
        let (now, id) = (self.now, RequestId(request as u64));
        let running = &mut self.requests[request];
        let number = running.daemon;
        running.tokens += 1;
        if running.first_at.is_none() {
            running.first_at = Some(now);
            running.gap_from = (1, now);
            let after = now.since(running.sent_at);
            return self.tell(number, PoolEvent::FirstToken { id, after });
        }
        let (from, at) = running.gap_from;
        let count = running.tokens - from;
        if count >= GAP_STRETCH {
            running.gap_from = (running.tokens, now);
            self.tell(number, PoolEvent::TokenGap { id, gap: now.since(at) / count });
        }
    }

    fn finish(&mut self, request: usize, outcome: DispatchOutcome, is_whole: bool) {
        if self.requests[request].phase == RequestPhase::Ended {
            return;
        }
        self.end(request, is_whole);
        let event = PoolEvent::Ended { id: RequestId(request as u64), outcome };
        self.tell(self.requests[request].daemon, event);
    }

    /// Marks a request as ended and counts it in the summary; called once per request.
    fn end(&mut self, request: usize, is_whole: bool) {
        let ended = &mut self.requests[request];
        ended.phase = RequestPhase::Ended;
        self.open -= 1;
        if !self.plan.measures(ended.at) {
            return;
        }
        let class = &self.plan.profile.classes[ended.planned.class];
        let arrived = Moment(0) + ended.at;
        let is_good = is_whole && self.now.since(arrived) <= class.deadline;
        let tokens = ended.planned.prompt_tokens + ended.planned.output_tokens;
        let first = ended.first_at.map(|first| first.since(arrived));
        self.summary.ended(ended.planned.class, is_good.then_some(tokens), first);
    }

    /// Cancels and fails a running request that has not received a token by its deadline.
    fn deadline(&mut self, request: usize) {
        let RequestPhase::Running(engine) = self.requests[request].phase else { return };
        if self.requests[request].first_at.is_none() {
            self.engines[engine].cancel(JobId(request as u64), &self.ledger);
            self.finish(request, DispatchOutcome::Failed, false);
        }
    }

    fn poll(&mut self) {
        let stamp = self.now.0;
        self.reports.push(self.engines.iter().map(|engine| engine.report(stamp)).collect());
        self.push(REPORT_LAG, RunEvent::Reports(self.reports.len() - 1));
        self.push(POLL_PAUSE, RunEvent::Poll);
    }

    fn deliver_reports(&mut self, number: usize) {
        let reports = std::mem::take(&mut self.reports[number]);
        for daemon in 0..self.daemons.len() {
            for (engine, report) in reports.iter().enumerate() {
                if let Some(report) = *report {
                    let upstream = UpstreamIndex(engine as u32);
                    self.tell(daemon, PoolEvent::LoadReported { upstream, report });
                }
            }
        }
    }

    fn tick(&mut self, number: usize) {
        self.tell(number, PoolEvent::Tick);
        let daemon = &self.daemons[number];
        let floor = (daemon.scheduler.wanted_floor(), daemon.scheduler.guaranteed_floor());
        if self.now >= daemon.report_at || floor != daemon.floor_before {
            self.agree(number);
        }
        self.push(TICK, RunEvent::Tick(number));
    }

    /// Sends a report to the leader and applies its orders without delay: over a network both take
    /// less than a tick.
    fn agree(&mut self, number: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[number];
        daemon.report_at = now + FLEET_PAUSE;
        let scheduler = &daemon.scheduler;
        daemon.floor_before = (scheduler.wanted_floor(), scheduler.guaranteed_floor());
        let state = PoolState {
            service: self.plan.profile.model.into(),
            wanted: scheduler.wanted_floor(),
            guaranteed: scheduler.guaranteed_floor(),
            demand: scheduler.demand_tokens(),
            utilisation: scheduler.max_utilisation(),
        };

        let report = daemon.member.report(1, vec![state], false, now);
        let has_lease = report.has_lease;
        if self.book.record(report, now) != ReportOutcome::Recorded
            || (!has_lease && !self.book.has_heard_all(now))
        {
            return;
        }
        let orders = self.book.orders(&daemon.name, &self.table, now);
        self.book.record_sent_orders(&daemon.name, &orders.pools);
        self.obey(number, orders);
    }

    fn obey(&mut self, number: usize, orders: DaemonOrders) {
        let Some(moves) = self.daemons[number].member.apply(orders, self.now) else { return };
        let model = self.plan.profile.model;
        for step in moves.pools.into_iter().filter(|step| step.service.as_str() == model) {
            let is_shared = self.plan.without != Some(MechanismSwitch::Shares);
            let share = if is_shared { step.share } else { 1.0 };
            self.tell(number, PoolEvent::Share { share });
            self.tell(number, PoolEvent::FleetFloor(step.floor));
        }
    }

    fn strike(&mut self) {
        let engine = &mut self.engines[STRUCK];
        match self.plan.fault {
            FaultKind::Straggler => engine.slow_down(),
            FaultKind::LeavingEngine => engine.leave(),
            FaultKind::LostEngine => {
                engine.die();
                self.lose_work(STRUCK);
            }
            FaultKind::PoisonRequest => {
                self.push(Duration::ZERO, RunEvent::Poison(0));
                self.push(Duration::ZERO, RunEvent::News);
            }
            FaultKind::None | FaultKind::Bursts => {}
        }
    }

    /// Marks an engine as unreachable at all daemons and fails the requests that it was running.
    /// Their streams broke and cannot be resumed on a new connection.
    fn lose_work(&mut self, engine: usize) {
        let upstream = UpstreamIndex(engine as u32);
        for number in 0..self.daemons.len() {
            self.tell(number, PoolEvent::Lifecycle { upstream, event: UpstreamEvent::Unreachable });
        }
        for request in 0..self.requests.len() {
            let running = &self.requests[request];
            if running.phase == RequestPhase::Running(engine) && running.sent_at < self.now {
                self.finish(request, DispatchOutcome::Failed, false);
            }
        }
    }

    /// Dispatches the poison request to a running engine, which crashes, and then to a second one.
    fn attempt_poison(&mut self, attempt: usize) {
        let daemon = attempt % self.daemons.len();
        for send in 0..SENDS {
            let living: Vec<usize> =
                (0..self.engines.len()).filter(|engine| self.engines[*engine].lives()).collect();
            if living.is_empty() || !self.crashes.may_send(daemon, self.now) {
                break;
            }
            self.end_engine(living[(attempt + send) % living.len()], daemon);
        }
        if self.now < Moment(0) + self.plan.fault_end() {
            self.push(ATTEMPT_PAUSE, RunEvent::Poison(attempt + 1));
        }
    }

    fn end_engine(&mut self, engine: usize, daemon: usize) {
        let is_there = |request: &SimulatedRequest| request.phase == RequestPhase::Running(engine);
        let others = self.requests.iter().enumerate().filter(|(_, request)| is_there(request));
        let others: Vec<(usize, usize)> =
            others.map(|(number, request)| (request.daemon, number)).collect();
        self.crashes.note_end(engine, daemon, &others, self.now);
        self.summary.engines_ended += 1;
        self.engines[engine].die();
        self.lose_work(engine);
        self.push(RESTART_TIME, RunEvent::Restart(engine));
    }

    fn restart(&mut self, engine: usize) {
        self.engines[engine] = SimulatedEngine::new(self.plan.profile.shape);
        let upstream = UpstreamIndex(engine as u32);
        for number in 0..self.daemons.len() {
            self.tell(number, PoolEvent::Lifecycle { upstream, event: UpstreamEvent::Answered });
        }
    }

    fn tell_news(&mut self) {
        self.crashes.exchange(self.now);
        self.push(NEWS_PAUSE, RunEvent::News);
    }
}

fn daemon(plan: &ExperimentPlan, number: usize) -> SimulatedDaemon {
    let name: DaemonName = format!("entry-{number}").as_str().into();
    let seed = plan.seed.wrapping_mul(1_000) + number as u64 + CHOICE_SEED;
    let mut member = FleetMember::new(name.clone(), 1, address(number), FLEET_LEASE);
    member.set_term(TERM);
    SimulatedDaemon {
        scheduler: PoolScheduler::new(plan.pool_plan()),
        member,
        name,
        rng: ChaCha8Rng::seed_from_u64(seed),
        report_at: Moment(0),
        floor_before: (None, None),
    }
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number as u16))
}

fn sources(engines: usize) -> Vec<UpstreamSource> {
    let source = |number: usize| UpstreamSource {
        name: format!("engine-{number}").as_str().into(),
        incarnation: 0,
        address: address(number),
        is_leaving: false,
        places: None,
    };
    (0..engines).map(source).collect()
}

/// Creates the model requests of the plan, each assigned to a random daemon.
fn requests(plan: &ExperimentPlan) -> Vec<SimulatedRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ CHOICE_SEED);
    let planned = plan.profile.plan(plan.rate(), plan.length(), plan.seed);
    let is_model =
        |planned: &PlannedRequest| plan.profile.classes[planned.class].kind == RequestKind::Model;
    planned
        .into_iter()
        .filter(is_model)
        .map(|planned| SimulatedRequest {
            at: plan.arrival(planned.at),
            daemon: rng.random_range(0..plan.daemons),
            phase: RequestPhase::Coming,
            prefix: prefix_hashes(plan.profile.prompt(&planned, plan.seed).as_bytes()),
            sent_at: Moment(0),
            first_at: None,
            tokens: 0,
            gap_from: (0, Moment(0)),
            planned,
        })
        .collect()
}
