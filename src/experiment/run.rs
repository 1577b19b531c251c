//! The event loop of an experiment.

use super::engine::SimulatedEngine;
use super::plan::{ExperimentPlan, FaultKind, MechanismSwitch};
use super::poison::{
    ATTEMPT_DELAY, CRASH_UPDATE_INTERVAL, CrashTables, DISPATCHES_PER_ATTEMPT, ENGINE_RESTART_TIME,
};
use super::summary::RunSummary;
use crate::control::{DaemonOrders, FleetMember, FleetRegistry, PoolState, ReportOutcome};
use crate::load::{PlannedRequest, RequestKind};
use crate::policy::{
    ArrivedRequest, DispatchOutcome, LoadReport, Moment, OrganisationIndex, PlacementDemand,
    PoolAction, PoolEvent, PoolScheduler, PrefixMark, RequestId, RouteKey, TierRank, UpstreamEvent,
    UpstreamIndex, UpstreamSource, prefix_marks,
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
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Age of a load report when a daemon reads it.
const REPORT_LAG: Duration = Duration::from_millis(200);
/// Interval between the ticks of a daemon's scheduler.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between a daemon's reports to the leader. A changed floor is reported at the next tick.
const FLEET_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Term of the only leader.
const LEADER_TERM: u64 = 1;
/// Lease granted to a daemon that reports to the leader.
const FLEET_LEASE: Duration = Duration::from_secs(3);
/// Number of tokens over which a token gap is averaged for the scheduler, as in the production
/// relay.
const GAP_SAMPLE_TOKENS: u32 = 16;
/// Index of the engine that faults of a single engine affect.
const FAULTY_ENGINE: usize = 1;
/// Keeps the random numbers of the daemons' choices apart from those of the arrivals.
const CHOICE_SEED_SALT: u64 = 0x5eed;

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
    DeliverReports(usize),
    Tick(usize),
    InjectFault,
    /// An attempt, by its number, of the caller that sends the poison request.
    PoisonAttempt(usize),
    Restart(usize),
    CrashUpdate,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestPhase {
    Planned,
    Waiting,
    Running(usize),
    Ended,
}

/// A request and its progress.
struct SimulatedRequest {
    planned: PlannedRequest,
    arrives_at: Duration,
    daemon: usize,
    phase: RequestPhase,
    prefix: Box<[PrefixMark]>,
    sent_at: Moment,
    first_token_at: Option<Moment>,
    emitted_tokens: u32,
    gap_start: (u32, Moment),
}

/// A daemon: its scheduler and its fleet membership.
struct SimulatedDaemon {
    name: DaemonName,
    scheduler: PoolScheduler,
    member: FleetMember,
    rng: ChaCha8Rng,
    next_report_at: Moment,
    reported_floors: (Option<TierRank>, Option<TierRank>),
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
    registry: FleetRegistry,
    table: VersionedTable,
    ledger: PrefillLedger,
    reports: Vec<Vec<Option<LoadReport>>>,
    open_requests: usize,
    crash_tables: CrashTables,
    summary: RunSummary,
}

impl<'a> ExperimentRun<'a> {
    fn new(plan: &'a ExperimentPlan) -> Self {
        let daemons: Vec<SimulatedDaemon> =
            (0..plan.daemons).map(|daemon_idx| create_daemon(plan, daemon_idx)).collect();
        let members: BTreeMap<DaemonName, u64> =
            daemons.iter().map(|daemon| (daemon.name.clone(), 1)).collect();
        let names: Vec<DaemonName> = daemons.iter().map(|daemon| daemon.name.clone()).collect();
        let has_quarantine = plan.disabled_mechanism != Some(MechanismSwitch::Quarantine);
        let crash_tables =
            CrashTables::new(names.into_iter(), plan.profile.engines, has_quarantine);
        let mut run = ExperimentRun {
            plan,
            crash_tables,
            now: Moment(0),
            events: BinaryHeap::new(),
            sequence: 0,
            requests: create_requests(plan),
            daemons,
            engines: (0..plan.profile.engines)
                .map(|_| SimulatedEngine::new(plan.profile.shape))
                .collect(),
            registry: FleetRegistry::new(LEADER_TERM, FLEET_LEASE, Moment(0), &members),
            table: VersionedTable::new(1, plan.profile.table(&[], &[], plan.policy)),
            ledger: PrefillLedger::default(),
            reports: Vec::new(),
            open_requests: 0,
            summary: RunSummary::new(&plan.profile),
        };
        run.open_requests = run.requests.len();
        run.start();
        run
    }

    fn start(&mut self) {
        for daemon_idx in 0..self.daemons.len() {
            let sources = engine_sources(self.plan.profile.engines);
            self.notify_scheduler(daemon_idx, PoolEvent::Sources(sources));
            self.schedule(TICK_INTERVAL / (daemon_idx as u32 + 1), RunEvent::Tick(daemon_idx));
        }
        for request in 0..self.requests.len() {
            let at = self.requests[request].arrives_at;
            self.schedule(at, RunEvent::Arrive(request));
        }
        self.schedule(POLL_INTERVAL, RunEvent::Poll);
        if !matches!(self.plan.fault, FaultKind::None | FaultKind::Bursts) {
            self.schedule(self.plan.fault_start(), RunEvent::InjectFault);
        }
    }

    fn schedule(&mut self, after: Duration, event: RunEvent) {
        self.sequence += 1;
        self.events.push(Reverse(((self.now + after).0, self.sequence, event)));
    }

    fn run(&mut self) {
        while self.open_requests > 0
            && let Some(Reverse((at, _, event))) = self.events.pop()
        {
            self.now = Moment(at);
            match event {
                RunEvent::Arrive(request) => self.arrive(request),
                RunEvent::Submit { request, engine } => self.submit(request, engine),
                RunEvent::StepEnd(engine) => self.complete_step(engine),
                RunEvent::Deadline(request) => self.check_deadline(request),
                RunEvent::Poll => self.poll_reports(),
                RunEvent::DeliverReports(batch_idx) => self.deliver_reports(batch_idx),
                RunEvent::Tick(daemon_idx) => self.tick(daemon_idx),
                RunEvent::InjectFault => self.inject_fault(),
                RunEvent::PoisonAttempt(attempt) => self.send_poison(attempt),
                RunEvent::Restart(engine) => self.restart_engine(engine),
                RunEvent::CrashUpdate => self.exchange_crash_updates(),
            }
        }
        self.summary.prefill_tokens = self.ledger.computed_tokens();
        self.summary.wasted_tokens = self.ledger.wasted_tokens();
        self.summary.shed_order_violations =
            self.daemons.iter().map(|daemon| daemon.scheduler.shed_order_violations()).sum();
    }

    /// Passes an event to a daemon's scheduler and executes the resulting actions.
    fn notify_scheduler(&mut self, daemon_idx: usize, event: PoolEvent) {
        let mut actions = Vec::new();
        let daemon = &mut self.daemons[daemon_idx];
        daemon.scheduler.handle(event, self.now, &mut daemon.rng, &mut actions);
        for action in actions {
            match action {
                PoolAction::Dispatch { id, upstream } => self.dispatch(id, upstream),
                PoolAction::Refuse { id, kind } => {
                    self.summary.record_refusal(
                        kind,
                        self.plan.is_measured(self.requests[id.0 as usize].arrives_at),
                    );
                    self.record_end(id.0 as usize, false);
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
            demand: PlacementDemand::default(),
            may_be_resumed: false,
            must_stay: false,
            route: RouteKey::default(),
            rank: 0,
            objective: None,
            patience: None,
            pause: None,
            prefix: arrived.prefix.clone(),
        };
        let daemon_idx = arrived.daemon;
        if self.plan.is_measured(arrived.arrives_at) {
            self.summary.record_arrival(arrived.planned.class);
        }
        self.schedule(class.deadline, RunEvent::Deadline(request));
        self.notify_scheduler(daemon_idx, PoolEvent::Arrived(event));
    }

    fn dispatch(&mut self, id: RequestId, upstream: UpstreamIndex) {
        let request = id.0 as usize;
        let engine = upstream.0 as usize;
        self.requests[request].phase = RequestPhase::Running(engine);
        self.requests[request].sent_at = self.now;
        self.schedule(ROUND_TRIP, RunEvent::Submit { request, engine });
    }

    fn submit(&mut self, request: usize, engine: usize) {
        let sent = &self.requests[request];
        if sent.phase != RequestPhase::Running(engine) {
            return;
        }
        let job = EngineJob {
            id: JobId(request as u64),
            prompt_tokens: sent.planned.prompt_tokens,
            blocks: sent.prefix.iter().map(|mark| mark.hash).collect(),
            output_tokens: sent.planned.output_tokens,
        };
        if self.engines[engine].submit(job) {
            return self.start_step(engine);
        }
        self.requests[request].phase = RequestPhase::Waiting;
        let event =
            PoolEvent::Ended { id: RequestId(request as u64), outcome: DispatchOutcome::NotSent };
        self.notify_scheduler(self.requests[request].daemon, event);
    }

    fn start_step(&mut self, engine: usize) {
        if let Some(micros) = self.engines[engine].start_step(&self.ledger) {
            self.schedule(Duration::from_micros(micros), RunEvent::StepEnd(engine));
        }
    }

    fn complete_step(&mut self, engine: usize) {
        let Some(step) = self.engines[engine].finish_step() else { return };
        step.emitted.iter().for_each(|id| self.record_token(id.0 as usize));
        for id in &step.finished {
            let request = id.0 as usize;
            let planned = &self.requests[request].planned;
            let outcome = DispatchOutcome::Completed {
                prompt_tokens: Some(planned.prompt_tokens),
                output_tokens: planned.output_tokens,
            };
            let daemon = self.requests[request].daemon;
            self.crash_tables.record_answer(daemon, request, self.now);
            self.finish(request, outcome, true);
        }
        self.start_step(engine);
    }

    fn record_token(&mut self, request: usize) {
        let (now, id) = (self.now, RequestId(request as u64));
        let running = &mut self.requests[request];
        let daemon_idx = running.daemon;
        running.emitted_tokens += 1;
        if running.first_token_at.is_none() {
            running.first_token_at = Some(now);
            running.gap_start = (1, now);
            let after = now.since(running.sent_at);
            return self.notify_scheduler(daemon_idx, PoolEvent::FirstToken { id, after });
        }
        let (from, at) = running.gap_start;
        let count = running.emitted_tokens - from;
        if count >= GAP_SAMPLE_TOKENS {
            running.gap_start = (running.emitted_tokens, now);
            self.notify_scheduler(
                daemon_idx,
                PoolEvent::TokenGap { id, gap: now.since(at) / count },
            );
        }
    }

    fn finish(&mut self, request: usize, outcome: DispatchOutcome, is_whole: bool) {
        if self.requests[request].phase == RequestPhase::Ended {
            return;
        }
        self.record_end(request, is_whole);
        let event = PoolEvent::Ended { id: RequestId(request as u64), outcome };
        self.notify_scheduler(self.requests[request].daemon, event);
    }

    /// Marks a request as ended and counts it in the summary; called once per request.
    fn record_end(&mut self, request: usize, is_whole: bool) {
        let ended = &mut self.requests[request];
        ended.phase = RequestPhase::Ended;
        self.open_requests -= 1;
        if !self.plan.is_measured(ended.arrives_at) {
            return;
        }
        let class = &self.plan.profile.classes[ended.planned.class];
        let arrived = Moment(0) + ended.arrives_at;
        let is_good = is_whole && self.now.since(arrived) <= class.deadline;
        let tokens = ended.planned.prompt_tokens + ended.planned.output_tokens;
        let time_to_first_token = ended.first_token_at.map(|first| first.since(arrived));
        self.summary.record_end(
            ended.planned.class,
            is_good.then_some(tokens),
            time_to_first_token,
        );
    }

    /// Cancels and fails a running request that has not received a token by its deadline.
    fn check_deadline(&mut self, request: usize) {
        let RequestPhase::Running(engine) = self.requests[request].phase else { return };
        if self.requests[request].first_token_at.is_none() {
            self.engines[engine].cancel(JobId(request as u64), &self.ledger);
            self.finish(request, DispatchOutcome::Failed, false);
        }
    }

    fn poll_reports(&mut self) {
        let stamp = self.now.0;
        self.reports.push(self.engines.iter().map(|engine| engine.report(stamp)).collect());
        self.schedule(REPORT_LAG, RunEvent::DeliverReports(self.reports.len() - 1));
        self.schedule(POLL_INTERVAL, RunEvent::Poll);
    }

    fn deliver_reports(&mut self, batch_idx: usize) {
        let reports = std::mem::take(&mut self.reports[batch_idx]);
        for daemon in 0..self.daemons.len() {
            for (engine, report) in reports.iter().enumerate() {
                if let Some(report) = *report {
                    let upstream = UpstreamIndex(engine as u32);
                    self.notify_scheduler(daemon, PoolEvent::LoadReported { upstream, report });
                }
            }
        }
    }

    fn tick(&mut self, daemon_idx: usize) {
        self.notify_scheduler(daemon_idx, PoolEvent::Tick);
        let daemon = &self.daemons[daemon_idx];
        let floor = (daemon.scheduler.wanted_floor(), daemon.scheduler.guaranteed_floor());
        if self.now >= daemon.next_report_at || floor != daemon.reported_floors {
            self.report_to_leader(daemon_idx);
        }
        self.schedule(TICK_INTERVAL, RunEvent::Tick(daemon_idx));
    }

    /// Sends a report to the leader and applies its orders without delay: over a network both take
    /// less than a tick.
    fn report_to_leader(&mut self, daemon_idx: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[daemon_idx];
        daemon.next_report_at = now + FLEET_REPORT_INTERVAL;
        let scheduler = &daemon.scheduler;
        daemon.reported_floors = (scheduler.wanted_floor(), scheduler.guaranteed_floor());
        let state = PoolState {
            service: self.plan.profile.model_service.into(),
            wanted: scheduler.wanted_floor(),
            guaranteed: scheduler.guaranteed_floor(),
            demand: scheduler.demand_tokens(),
            utilisation: scheduler.max_utilisation(),
        };

        let report = daemon.member.report(1, vec![state], false, now);
        let has_lease = report.has_lease;
        if self.registry.record(report, now) != ReportOutcome::Recorded
            || (!has_lease && !self.registry.has_heard_all(now))
        {
            return;
        }
        let orders = self.registry.orders(&daemon.name, &self.table, now);
        self.registry.record_sent_orders(&daemon.name, &orders.pools);
        self.apply_orders(daemon_idx, orders);
    }

    fn apply_orders(&mut self, daemon_idx: usize, orders: DaemonOrders) {
        let Some(change) = self.daemons[daemon_idx].member.apply(orders, self.now) else { return };
        let model = self.plan.profile.model_service;
        for step in change.pools.into_iter().filter(|step| step.service.as_str() == model) {
            let is_shared = self.plan.disabled_mechanism != Some(MechanismSwitch::Shares);
            let share = if is_shared { step.share } else { 1.0 };
            self.notify_scheduler(daemon_idx, PoolEvent::Share { share });
            self.notify_scheduler(daemon_idx, PoolEvent::FleetFloor(step.floor));
        }
    }

    fn inject_fault(&mut self) {
        let engine = &mut self.engines[FAULTY_ENGINE];
        match self.plan.fault {
            FaultKind::Straggler => engine.slow_down(),
            FaultKind::LeavingEngine => engine.announce_leaving(),
            FaultKind::LostEngine => {
                engine.crash();
                self.fail_requests(FAULTY_ENGINE);
            }
            FaultKind::PoisonRequest => {
                self.schedule(Duration::ZERO, RunEvent::PoisonAttempt(0));
                self.schedule(Duration::ZERO, RunEvent::CrashUpdate);
            }
            FaultKind::None | FaultKind::Bursts => {}
        }
    }

    /// Marks an engine as unreachable at all daemons and fails the requests that it was running.
    /// Their streams broke and cannot be resumed on a new connection.
    fn fail_requests(&mut self, engine: usize) {
        let upstream = UpstreamIndex(engine as u32);
        for daemon_idx in 0..self.daemons.len() {
            self.notify_scheduler(
                daemon_idx,
                PoolEvent::Lifecycle { upstream, event: UpstreamEvent::Unreachable },
            );
        }
        for request in 0..self.requests.len() {
            let running = &self.requests[request];
            if running.phase == RequestPhase::Running(engine) && running.sent_at < self.now {
                self.finish(request, DispatchOutcome::Failed, false);
            }
        }
    }

    /// Dispatches the poison request to a running engine, which crashes, and then to a second one.
    fn send_poison(&mut self, attempt: usize) {
        let daemon = attempt % self.daemons.len();
        for dispatch_idx in 0..DISPATCHES_PER_ATTEMPT {
            let alive: Vec<usize> =
                (0..self.engines.len()).filter(|engine| self.engines[*engine].is_alive()).collect();
            if alive.is_empty() || !self.crash_tables.may_send(daemon, self.now) {
                break;
            }
            self.crash_engine(alive[(attempt + dispatch_idx) % alive.len()], daemon);
        }
        if self.now < Moment(0) + self.plan.fault_end() {
            self.schedule(ATTEMPT_DELAY, RunEvent::PoisonAttempt(attempt + 1));
        }
    }

    fn crash_engine(&mut self, engine: usize, daemon: usize) {
        let is_running_here =
            |request: &SimulatedRequest| request.phase == RequestPhase::Running(engine);
        let others =
            self.requests.iter().enumerate().filter(|(_, request)| is_running_here(request));
        let others: Vec<(usize, usize)> =
            others.map(|(request_idx, request)| (request.daemon, request_idx)).collect();
        self.crash_tables.record_crashes(engine, daemon, &others, self.now);
        self.summary.engine_crashes += 1;
        self.engines[engine].crash();
        self.fail_requests(engine);
        self.schedule(ENGINE_RESTART_TIME, RunEvent::Restart(engine));
    }

    fn restart_engine(&mut self, engine: usize) {
        self.engines[engine] = SimulatedEngine::new(self.plan.profile.shape);
        let upstream = UpstreamIndex(engine as u32);
        for daemon_idx in 0..self.daemons.len() {
            self.notify_scheduler(
                daemon_idx,
                PoolEvent::Lifecycle { upstream, event: UpstreamEvent::Answered },
            );
        }
    }

    fn exchange_crash_updates(&mut self) {
        self.crash_tables.exchange_updates(self.now);
        self.schedule(CRASH_UPDATE_INTERVAL, RunEvent::CrashUpdate);
    }
}

fn create_daemon(plan: &ExperimentPlan, daemon_idx: usize) -> SimulatedDaemon {
    let name: DaemonName = format!("entry-{daemon_idx}").as_str().into();
    let seed = plan.seed.wrapping_mul(1_000) + daemon_idx as u64 + CHOICE_SEED_SALT;
    let mut member = FleetMember::new(name.clone(), 1, address(daemon_idx), FLEET_LEASE);
    member.set_term(LEADER_TERM);
    SimulatedDaemon {
        scheduler: PoolScheduler::new(plan.pool_plan()),
        member,
        name,
        rng: ChaCha8Rng::seed_from_u64(seed),
        next_report_at: Moment(0),
        reported_floors: (None, None),
    }
}

fn address(idx: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + idx as u16))
}

fn engine_sources(engines: usize) -> Vec<UpstreamSource> {
    let source = |engine_idx: usize| {
        UpstreamSource::new(format!("engine-{engine_idx}").as_str().into(), address(engine_idx))
    };
    (0..engines).map(source).collect()
}

/// Creates the model requests of the plan, each assigned to a random daemon.
fn create_requests(plan: &ExperimentPlan) -> Vec<SimulatedRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed ^ CHOICE_SEED_SALT);
    let planned = plan.profile.plan(plan.rate(), plan.arrival_span(), plan.seed);
    let is_model =
        |planned: &PlannedRequest| plan.profile.classes[planned.class].kind == RequestKind::Model;
    planned
        .into_iter()
        .filter(is_model)
        .map(|planned| SimulatedRequest {
            arrives_at: plan.burst_arrival(planned.at),
            daemon: rng.random_range(0..plan.daemons),
            phase: RequestPhase::Planned,
            prefix: prefix_marks(plan.profile.prompt(&planned, plan.seed).as_bytes()),
            sent_at: Moment(0),
            first_token_at: None,
            emitted_tokens: 0,
            gap_start: (0, Moment(0)),
            planned,
        })
        .collect()
}
