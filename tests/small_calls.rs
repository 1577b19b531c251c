//! Simulates short calls from many daemons to a few upstreams with queues of their own, in virtual
//! time.

use crate::burst_pool::urgency_plan;
use crate::session::source;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use tarragonknot::policy::{
    ArrivedRequest, DispatchOutcome, LoadReport, Mechanism, MechanismSet, Moment,
    OrganisationIndex, PlacementDemand, PoolAction, PoolEvent, PoolScheduler, RequestId, RouteKey,
    TierRank, UpstreamIndex,
};

const UPSTREAMS: usize = 3;
const PLACES_PER_UPSTREAM: usize = 6;
/// Capacity of an upstream's queue; further requests are refused.
const QUEUE_CAPACITY: usize = 24;
const MEAN_WORK_MS: f64 = 60.0;
const OBJECTIVE_MS: u64 = 300;
const DEADLINE_MS: u64 = 1_500;

/// Outcomes of the calls that arrived in a time span.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallOutcomes {
    pub total: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

#[derive(Default)]
struct Upstream {
    running: Vec<u64>,
    waiting: VecDeque<u64>,
}

struct Call {
    daemon: usize,
    /// Time of the caller's first attempt, in milliseconds.
    arrived: u64,
    is_retry: bool,
    upstream: Option<UpstreamIndex>,
}

/// Simulates `daemons` for 10 s with `rates(second)` calls per second; returns the outcomes of the
/// calls that arrived in each second.
pub fn simulate(
    daemons: usize,
    rates: impl Fn(u64) -> f64,
    disabled: &[Mechanism],
    seed: u64,
) -> Vec<CallOutcomes> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let work_time =
        LogNormal::new(MEAN_WORK_MS.ln() - 0.125, 0.5).expect("valid log-normal parameters");
    let mut schedulers: Vec<PoolScheduler> = (0..daemons).map(|_| scheduler(disabled)).collect();
    let mut upstreams: Vec<Upstream> = (0..UPSTREAMS).map(|_| Upstream::default()).collect();
    let mut calls: BTreeMap<u64, Call> = BTreeMap::new();
    let mut outcomes: Vec<CallOutcomes> = vec![CallOutcomes::default(); 10];
    let mut completions: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let (mut next_id, mut arrival_credit) = (0, 0.0);
    let mut attempts: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    for now in 0..12_000u64 {
        arrival_credit += if now < 10_000 { rates(now / 1_000) / 1_000.0 } else { 0.0 };
        while arrival_credit >= 1.0 {
            arrival_credit -= 1.0;
            next_id += 1;
            outcomes[(now / 1_000) as usize].total += 1;
            attempts.push(Reverse((now, now)));
        }
        while attempts.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, first_arrival))) = attempts.pop() else { break };
            next_id += 1;
            let daemon = rng.random_range(0..daemons);
            let is_retry = first_arrival < now;
            calls
                .insert(next_id, Call { daemon, arrived: first_arrival, is_retry, upstream: None });
            let event = PoolEvent::Arrived(arrived(next_id, first_arrival, now));
            let actions = handle_event(&mut schedulers[daemon], event, now, &mut rng);
            let refused =
                carry_out(actions, &mut calls, &mut upstreams, &mut schedulers, now, &mut rng);
            schedule_retries(refused, &mut attempts, &mut outcomes, now, &mut rng);
        }
        while completions.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Some(Reverse((_, id))) = completions.pop() else { break };
            let Some(call) = calls.remove(&id) else { continue };
            let Some(index) = call.upstream else { continue };
            let upstream = &mut upstreams[index.0 as usize];
            upstream.running.retain(|running| *running != id);
            let row = &mut outcomes[(call.arrived / 1_000) as usize];
            match now - call.arrived <= OBJECTIVE_MS {
                true => row.in_time += 1,
                false => row.late += 1,
            }
            let report = report(upstream);
            let scheduler = &mut schedulers[call.daemon];
            handle_event(
                scheduler,
                PoolEvent::LoadReported { upstream: index, report },
                now,
                &mut rng,
            );
            let outcome = DispatchOutcome::Completed { prompt_tokens: None, output_tokens: 0 };
            let ended = PoolEvent::Ended { id: RequestId(id), outcome };
            let actions = handle_event(scheduler, ended, now, &mut rng);
            let refused =
                carry_out(actions, &mut calls, &mut upstreams, &mut schedulers, now, &mut rng);
            schedule_retries(refused, &mut attempts, &mut outcomes, now, &mut rng);
        }
        for upstream in &mut upstreams {
            while upstream.running.len() < PLACES_PER_UPSTREAM
                && let Some(id) = upstream.waiting.pop_front()
            {
                upstream.running.push(id);
                completions.push(Reverse((now + work_time.sample(&mut rng).max(1.0) as u64, id)));
            }
        }
        if now % 10 == 0 {
            for daemon in 0..daemons {
                let actions = handle_event(&mut schedulers[daemon], PoolEvent::Tick, now, &mut rng);
                let refused =
                    carry_out(actions, &mut calls, &mut upstreams, &mut schedulers, now, &mut rng);
                schedule_retries(refused, &mut attempts, &mut outcomes, now, &mut rng);
            }
        }
    }
    outcomes
}

fn scheduler(disabled: &[Mechanism]) -> PoolScheduler {
    let mut plan = urgency_plan();
    plan.counts_tokens = false;
    plan.first_guess = PLACES_PER_UPSTREAM as u32;
    plan.mechanisms = MechanismSet::without(disabled);
    let mut scheduler = PoolScheduler::new(plan);
    let sources = (1..=UPSTREAMS).map(|number| source(&format!("e{number}"), number as u16));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    handle_event(&mut scheduler, PoolEvent::Sources(sources.collect()), 0, &mut rng);
    scheduler
}

/// Schedules one retry for each refused caller, after 0.2 to 0.33 of its remaining time.
fn schedule_retries(
    refused: Vec<Call>,
    attempts: &mut BinaryHeap<Reverse<(u64, u64)>>,
    outcomes: &mut [CallOutcomes],
    now: u64,
    rng: &mut ChaCha8Rng,
) {
    for call in refused {
        let remaining_ms = (call.arrived + DEADLINE_MS).saturating_sub(now) as f64;
        match call.is_retry {
            true => outcomes[(call.arrived / 1_000) as usize].refused += 1,
            false => {
                let pause = (remaining_ms * rng.random_range(0.2..0.33)) as u64;
                attempts.push(Reverse((now + pause.max(1), call.arrived)));
            }
        }
    }
}

fn arrived(id: u64, first_arrival: u64, now: u64) -> ArrivedRequest {
    ArrivedRequest {
        id: RequestId(id),
        organisation: OrganisationIndex(0),
        weight: 1,
        tier: TierRank(0),
        prompt_bytes: 0,
        output_limit: None,
        deadline: Moment::from_millis(first_arrival + DEADLINE_MS),
        rank: 2,
        objective: Some(Moment::from_millis(if first_arrival < now {
            now
        } else {
            now + OBJECTIVE_MS
        })),
        patience: None,
        pause: None,
        sizes: None,
        size_tenth: None,
        demand: PlacementDemand::default(),
        may_be_resumed: false,
        must_stay: false,
        route: RouteKey::default(),
        prefix: Box::default(),
    }
}

fn handle_event(
    scheduler: &mut PoolScheduler,
    event: PoolEvent,
    now: u64,
    rng: &mut ChaCha8Rng,
) -> Vec<PoolAction> {
    let mut actions = Vec::new();
    scheduler.handle(event, Moment::from_millis(now), rng, &mut actions);
    actions
}

fn report(upstream: &Upstream) -> LoadReport {
    LoadReport {
        running: upstream.running.len() as u32,
        queued: upstream.waiting.len() as u32,
        ..LoadReport::default()
    }
}

fn carry_out(
    actions: Vec<PoolAction>,
    calls: &mut BTreeMap<u64, Call>,
    upstreams: &mut [Upstream],
    schedulers: &mut [PoolScheduler],
    now: u64,
    rng: &mut ChaCha8Rng,
) -> Vec<Call> {
    let mut refused = Vec::new();
    let mut pending = actions;
    while let Some(action) = pending.pop() {
        match action {
            PoolAction::Refuse { id, .. } => {
                refused.extend(calls.remove(&id.0));
            }
            PoolAction::Dispatch { id, upstream: index } => {
                let Some(call) = calls.get_mut(&id.0) else { continue };
                let upstream = &mut upstreams[index.0 as usize];
                if upstream.waiting.len() < QUEUE_CAPACITY {
                    call.upstream = Some(index);
                    upstream.waiting.push_back(id.0);
                    continue;
                }
                let report = report(upstream);
                let scheduler = &mut schedulers[call.daemon];
                handle_event(
                    scheduler,
                    PoolEvent::LoadReported { upstream: index, report },
                    now,
                    rng,
                );
                let ended = PoolEvent::Ended { id, outcome: DispatchOutcome::Failed };
                pending.extend(handle_event(scheduler, ended, now, rng));
                refused.extend(calls.remove(&id.0));
            }
        }
    }
    refused
}
