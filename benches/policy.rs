//! Benchmarks of decisions without I/O: placement, queueing, the pool scheduler, the leader's
//! handling of reports, and putting a table in force.

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;
use tarragonknot::control::{DaemonReport, FleetRegistry, PoolReport};
use tarragonknot::policy::{
    AffinityPlacement, ArrivedRequest, CapacityClass, DispatchOutcome, EngineSpeed, FairQueue,
    LearnedLimit, MechanismSet, Moment, OrganisationIndex, PlacementDemand, PlacementPolicy,
    PlacementQuery, PoolAction, PoolEvent, PoolPlan, PoolScheduler, PrefixPlan, RequestId,
    RequiredFit, RouteKey, TierRank, TierShare, UpstreamSet, UpstreamSource, WaitingQueue,
    WaitingRequest, prefix_marks,
};
use tarragonknot::table::{
    DaemonName, KeyDigest, LimitMode, LimitUnit, OrganisationRow, PlacementMode, QueueDiscipline,
    VersionedTable, read_table,
};
use tarragonknot::traffic::{AccessIndex, OrganisationIndices};

const SHARES: [TierShare; 3] = [
    TierShare { rank: TierRank(0), weight: 6 },
    TierShare { rank: TierRank(1), weight: 3 },
    TierShare { rank: TierRank(2), weight: 1 },
];
const ORGANISATIONS: u64 = 3_300;

fn upstream_sources(count: usize) -> Vec<UpstreamSource> {
    let source = |number: usize| {
        let port = (number % 60_000) as u16 + 1;
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], port));
        UpstreamSource::new(format!("engine-{number}").as_str().into(), address)
    };
    (0..count).map(source).collect()
}

fn waiting_request(id: u64) -> WaitingRequest {
    let review_at = Moment::from_millis(3_600_000);
    WaitingRequest {
        output_tokens: 0,
        pause: None,
        rank: 0,
        start_by: review_at,
        id: RequestId(id),
        organisation: OrganisationIndex((id * 7 % ORGANISATIONS) as u32),
        weight: 1,
        tier: TierRank((id % 3) as u8),
        cost: 100 + (id % 900) as u32,
        prompt_tokens: 100,
        deadline: review_at,
        run_time: Duration::from_millis(500),
        arrived: Moment(id),
        prefix: Box::default(),
        prompt_bytes: 400,
        review_at,
        expires_at: review_at,
        route: RouteKey::default(),
        size_tenth: None,
        demand: PlacementDemand::default(),
        may_be_resumed: false,
        is_underserved: false,
        held_tokens: 0,
        is_over_share: false,
    }
}

fn bench_placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement");
    let prompt = "an inventory of a furnished flat ".repeat(100);
    let prefix = prefix_marks(prompt.as_bytes());
    for count in [18, 1_000, 11_000] {
        let mut set = UpstreamSet::default();
        set.set_sources(
            &upstream_sources(count),
            |_| LearnedLimit::new(60, 512.0, true),
            Moment(0),
        );
        let mut policy = AffinityPlacement::default();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut now = Moment(1);
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                now = now + Duration::from_micros(1);
                let query = PlacementQuery {
                    time_left: Duration::from_secs(10),
                    prefix: black_box(&prefix),
                    prompt_tokens: 800,
                    output_tokens: 100,
                    required_fit: RequiredFit::Any,
                    event_tokens: 1,
                    max_pause: None,
                    demand: &PlacementDemand::default(),
                    avoided: &[],
                    speed: EngineSpeed { prefill_micros: 40.0, gap_micros: 10_000.0 },
                    capacity: CapacityClass::Regular,
                    memory: None,
                    now,
                };
                policy.place(&set, &query, &mut rng)
            });
        });
    }
    group.finish();
}

fn bench_queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit-and-pop");
    for count in [1_000u64, 100_000] {
        let mut queue = FairQueue::new(&SHARES);
        (0..count).for_each(|id| queue.push(waiting_request(id)));
        let mut next = count;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter_batched(
                || {
                    next += 1;
                    waiting_request(next)
                },
                |request| {
                    queue.push(request);
                    queue.pop(TierRank(u8::MAX), Moment(1))
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

/// A request's life cycle in the scheduler: arrival, dispatch, end.
fn bench_scheduler(criterion: &mut Criterion) {
    let plan = PoolPlan {
        tiers: SHARES.to_vec(),
        queue: QueueDiscipline::Weighted,
        placement: PlacementMode::Affinity,
        limit: LimitMode::Learned,
        first_guess: 60,
        waiting_limit: 1_000_000,
        counts_tokens: true,
        token_gap: Duration::from_millis(63),
        first_token: Duration::from_millis(750),
        refuses_late: true,
        avoids_stragglers: true,
        keeps_headroom: true,
        sheds_locally: false,
        event_tokens: 1,
        cold_bound: None,
        engine_memory_tokens: None,
        has_slot_offers: false,
        shares_organisations: false,
        size_share: 0.75,
        mechanisms: MechanismSet::default(),
        has_reservations: false,
        prefix: PrefixPlan::default(),
    };
    let mut scheduler = PoolScheduler::new(plan);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut actions = Vec::new();
    let mut now = Moment(1);
    scheduler.handle(PoolEvent::Sources(upstream_sources(18)), now, &mut rng, &mut actions);
    let mut next = 0;
    criterion.bench_function("scheduler/arrive-dispatch-end", |bencher| {
        bencher.iter(|| {
            next += 1;
            now = now + Duration::from_micros(10);
            let arrived = ArrivedRequest {
                id: RequestId(next),
                organisation: OrganisationIndex((next % 5) as u32),
                weight: 1,
                tier: TierRank((next % 3) as u8),
                prompt_bytes: 400,
                output_limit: Some(16),
                deadline: now + Duration::from_secs(10),
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
                prefix: Box::default(),
            };
            scheduler.handle(PoolEvent::Arrived(arrived), now, &mut rng, &mut actions);
            for action in std::mem::take(&mut actions) {
                if let PoolAction::Dispatch { id, .. } = action {
                    let outcome =
                        DispatchOutcome::Completed { prompt_tokens: Some(100), output_tokens: 16 };
                    scheduler.handle(PoolEvent::Ended { id, outcome }, now, &mut rng, &mut actions);
                }
            }
        });
    });
}

/// A table with the given numbers of organisations and model services.
fn table(organisations: usize, services: usize) -> VersionedTable {
    let digest = |number: usize| KeyDigest::of(&format!("key-{number}"));
    let row = |number: usize| OrganisationRow {
        organisation: format!("org-{number}").as_str().into(),
        key_digests: vec![digest(number)],
        weight: 1,
        tokens_per_second: Some(1_000),
        burst_tokens: None,
        concurrent: None,
        limit_unit: LimitUnit::default(),
        uncounted_tokens: None,
        regions: None,
    };
    let services: Vec<String> = (0..services)
        .map(|number| format!(r#"{{"service": "model-{number}", "kind": "model", "default_tier": "t", "deadline_ms": 1000}}"#))
        .collect();
    let text = format!(
        r#"{{"tiers": [{{"tier": "t", "rank": 0, "weight": 1}}], "organisations": [], "services": [{}]}}"#,
        services.join(",")
    );
    let mut table = read_table(&text).expect("the table is valid");
    table.organisations = (0..organisations).map(row).collect();
    VersionedTable::new(1, table)
}

/// The leader's work for one report of a daemon, by the number of daemons.
fn bench_leader_report(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("leader-report");
    let table = table(5, 17);
    for count in [7u64, 60, 460] {
        let name = |number: u64| -> DaemonName { format!("entry-{number}").as_str().into() };
        let members: BTreeMap<DaemonName, u64> =
            (0..count).map(|number| (name(number), 1)).collect();
        let mut registry = FleetRegistry::new(1, Duration::from_secs(3), Moment(0), &members);
        let mut sequence = 0;
        let mut report = |number: u64, registry: &mut FleetRegistry| {
            sequence += 1;
            let pools = table.table.services.iter().map(|row| PoolReport {
                service: row.service.clone(),
                wanted: None,
                guaranteed: None,
                demand: 100 + number,
                share: 10_000 / count as u32,
            });
            let report = DaemonReport {
                serves_callers: true,
                divides_alone: false,
                knows_serving: 0,
                daemon: name(number),
                boot: 1,
                term: 1,
                sequence,
                control: std::net::SocketAddr::from(([127, 0, 0, 1], 7_000)),
                version: 1,
                pools: pools.collect(),
                has_lease: true,
                is_leaving: false,
                suspects: Vec::new(),
                wants_suspects: false,
                knows_rollouts: 0,
                rollouts: Vec::new(),
                knows_evacuated: 0,
                takes_serving_changes: true,
            };
            registry.record(report, Moment(1_000));
            registry.orders(&name(number), &table, Moment(1_000))
        };
        (0..count).for_each(|number| drop(report(number, &mut registry)));
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                number = (number + 1) % count;
                report(number, &mut registry)
            });
        });
    }
    group.finish();
}

/// Parsing a table and indexing it for use, by the number of organisations.
fn bench_table_in_force(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("table-in-force");
    for count in [5, 330, 3_300] {
        let versioned = table(count, 17);
        let text = serde_json::to_string(&versioned).expect("the table can be serialised");
        println!("a table of {count} organisations and 17 services: {} bytes", text.len());
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                let versioned: VersionedTable = serde_json::from_str(black_box(&text))
                    .expect("a serialised table can be parsed");
                AccessIndex::new(&versioned.table, &mut OrganisationIndices::default())
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().warm_up_time(Duration::from_millis(500)).measurement_time(Duration::from_secs(2)).sample_size(20);
    targets = bench_placement, bench_queue, bench_scheduler, bench_leader_report, bench_table_in_force
}
criterion_main!(benches);
