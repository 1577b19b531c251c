//! Properties of the fair queue, organisation limits, shed floor and upstream placement.

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;
use tarragonknot::answer::AnswerKind;
use tarragonknot::policy::{
    ArrivedRequest, DispatchOutcome, FairQueue, FloorOrder, LimitTable, LoadReport, Moment,
    OrganisationIndex, OrganisationLimit, PlacementDemand, PoolAction, PoolEvent, PoolScheduler,
    RequestId, RouteKey, ShedFloor, TierRank, TierShare, WaitingQueue, WaitingRequest,
    prefix_marks,
};

const SHARES: [TierShare; 3] = [
    TierShare { rank: TierRank(0), weight: 6 },
    TierShare { rank: TierRank(1), weight: 3 },
    TierShare { rank: TierRank(2), weight: 1 },
];

fn waiting(id: u64, tier: u8, organisation: u32, cost: u32) -> WaitingRequest {
    let review_at = Moment::from_millis(3_600_000);
    WaitingRequest {
        output_tokens: 0,
        pause: None,
        rank: 0,
        start_by: review_at,
        id: RequestId(id),
        organisation: OrganisationIndex(organisation),
        weight: 1,
        tier: TierRank(tier),
        cost,
        prompt_tokens: cost,
        deadline: review_at,
        run_time: Duration::from_millis(1),
        arrived: Moment(id),
        prefix: Box::default(),
        prompt_bytes: 0,
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

#[derive(Clone, Debug)]
enum QueueStep {
    Push { tier: u8, organisation: u32, cost: u32 },
    Pop,
    Remove(u64),
    EvictBelow(u8),
}

fn queue_step() -> impl Strategy<Value = QueueStep> {
    prop_oneof![
        4 => (0u8..3, 0u32..4, 1u32..1_000).prop_map(|(tier, organisation, cost)| QueueStep::Push { tier, organisation, cost }),
        2 => Just(QueueStep::Pop),
        1 => (1u64..80).prop_map(QueueStep::Remove),
        1 => (0u8..3).prop_map(QueueStep::EvictBelow),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(128) })]

    #[test]
    fn the_queue_loses_and_doubles_nothing(steps in proptest::collection::vec(queue_step(), 1..120)) {
        let mut queue = FairQueue::new(&SHARES);
        let mut queued: BTreeMap<u64, (u8, u32)> = BTreeMap::new();
        let mut next_id = 1;

        for step in steps {
            match step {
                QueueStep::Push { tier, organisation, cost } => {
                    queue.push(waiting(next_id, tier, organisation, cost));
                    queued.insert(next_id, (tier, cost));
                    next_id += 1;
                }
                QueueStep::Pop => {
                    let popped = queue.pop(TierRank(u8::MAX), Moment(0)).map(|request| request.id.0);
                    prop_assert_eq!(popped.is_none(), queued.is_empty());
                    popped.into_iter().for_each(|id| assert!(queued.remove(&id).is_some()));
                }
                QueueStep::Remove(id) => {
                    let removed = queue.remove(RequestId(id)).is_some();
                    prop_assert_eq!(removed, queued.remove(&id).is_some());
                }
                QueueStep::EvictBelow(tier) => {
                    let lowest = queued.values().map(|(tier, _)| *tier).max();
                    let evicted = queue.evict_below(TierRank(tier));
                    prop_assert_eq!(evicted.as_ref().map(|request| request.tier.0), lowest.filter(|lowest| *lowest > tier));
                    evicted.into_iter().for_each(|request| assert!(queued.remove(&request.id.0).is_some()));
                }
            }
            prop_assert_eq!(queue.len(), queued.len());
            for tier in 0..3 {
                let tokens: u64 = queued.values().filter(|(at, _)| *at == tier).map(|(_, cost)| u64::from(*cost)).sum();
                prop_assert_eq!(queue.waiting_tokens(TierRank(tier)), tokens);
            }
        }
        let remaining: BTreeSet<u64> = std::iter::from_fn(|| queue.pop(TierRank(u8::MAX), Moment(0))).map(|request| request.id.0).collect();
        prop_assert_eq!(remaining, queued.keys().copied().collect::<BTreeSet<u64>>());
    }

    #[test]
    fn shares_converge_to_weights(costs in proptest::collection::vec(1u32..400, 50)) {
        let mut queue = FairQueue::new(&SHARES);
        for id in 0..3_000u64 {
            queue.push(waiting(id, (id % 3) as u8, (id / 3 % 4) as u32, costs[id as usize % costs.len()]));
        }
        let mut served = [0u64; 3];
        let mut by_organisation = [0u64; 4];

        while served.iter().sum::<u64>() < 60_000 {
            let Some(request) = queue.pop(TierRank(u8::MAX), Moment(0)) else { break };
            served[request.tier.0 as usize] += u64::from(request.cost);
            if request.tier.0 == 0 {
                by_organisation[request.organisation.0 as usize] += u64::from(request.cost);
            }
        }

        let total: u64 = served.iter().sum();
        for (share, tokens) in SHARES.iter().zip(served) {
            let expected = total as f64 * f64::from(share.weight) / 10.0;
            prop_assert!((tokens as f64 - expected).abs() < 0.05 * total as f64, "{served:?}");
        }
        let quarter = served[0] as f64 / 4.0;
        prop_assert!(by_organisation.iter().all(|tokens| (*tokens as f64 - quarter).abs() < 0.1 * served[0] as f64));
    }

    #[test]
    fn the_rate_limit_never_passes_more_than_burst_and_rate(costs in proptest::collection::vec(1u32..300, 1..200), gap in 0u64..200) {
        let mut limits = LimitTable::default();
        let limit = OrganisationLimit { tokens_per_second: Some(1_000), burst_tokens: Some(500), concurrent: None };
        limits.set_limits(HashMap::from([(OrganisationIndex(1), limit)]));
        let mut admitted = 0u64;
        let mut now = Moment::from_millis(1_000);

        for cost in costs {
            now = now + Duration::from_millis(gap);
            if limits.admit(OrganisationIndex(1), cost, now).is_ok() {
                admitted += u64::from(cost);
            }
            let elapsed = now.since(Moment::from_millis(1_000)).as_secs_f64();
            prop_assert!(admitted as f64 <= 500.0 + 1_000.0 * elapsed + 1e-6);
        }
    }

    #[test]
    fn every_request_ends_once_and_no_tier_is_shed_over_a_lower_one(
        arrivals in proptest::collection::vec((0u8..3, 1usize..600, 200u64..4_000, 0u64..40), 1..150),
        seed in 0u64..1_000,
    ) {
        let mut scheduler = PoolScheduler::new(crate::session::plan(1));
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut actions = Vec::new();
        let mut now = Moment::from_millis(1);
        scheduler.handle(PoolEvent::Sources(vec![crate::session::source("e1", 1), crate::session::source("e2", 2)]), now, &mut rng, &mut actions);
        let mut running: Vec<(Moment, RequestId)> = Vec::new();
        let mut ended: BTreeMap<RequestId, u32> = BTreeMap::new();
        let count = arrivals.len();

        let mut arrivals = arrivals.into_iter().enumerate();
        for _ in 0..20_000 {
            if let Some((number, (tier, tokens, deadline, gap))) = arrivals.next() {
                now = now + Duration::from_millis(gap);
                let id = RequestId(number as u64);
                let deadline = now + Duration::from_millis(deadline);
                let arrived = ArrivedRequest {
                    id, organisation: OrganisationIndex(u32::from(tier)), weight: 1, tier: TierRank(tier), prompt_bytes: tokens * 4,
                    output_limit: Some(16), deadline, sizes: None, size_tenth: None, demand: PlacementDemand::default(), may_be_resumed: false, must_stay: false, route: RouteKey::default(),
            rank: 0,
            objective: None,
            patience: None,
            pause: None,
        prefix: prefix_marks(&[]),
                };
                scheduler.handle(PoolEvent::Arrived(arrived), now, &mut rng, &mut actions);
            } else if ended.len() == count {
                break;
            }
            now = now + Duration::from_millis(10);
            scheduler.handle(PoolEvent::Tick, now, &mut rng, &mut actions);
            let due: Vec<RequestId> = running.iter().filter(|(at, _)| *at <= now).map(|(_, id)| *id).collect();
            running.retain(|(at, _)| *at > now);
            for id in due {
                *ended.entry(id).or_default() += 1;
                let outcome = DispatchOutcome::Completed { prompt_tokens: None, output_tokens: 16 };
                scheduler.handle(PoolEvent::Ended { id, outcome }, now, &mut rng, &mut actions);
            }
            for action in actions.drain(..) {
                match action {
                    PoolAction::Dispatch { id, .. } => running.push((now + Duration::from_millis(150), id)),
                    PoolAction::Refuse { id, .. } => *ended.entry(id).or_default() += 1,
                }
            }
        }

        prop_assert_eq!(ended.len(), count);
        prop_assert!(ended.values().all(|times| *times == 1));
        prop_assert_eq!(scheduler.shed_order_violations(), 0);
    }
}

#[rstest]
#[case::first(1, Ok(()))]
#[case::at_the_limit(2, Err(AnswerKind::ConcurrencyLimited))]
fn the_concurrency_limit_counts_what_is_in_progress(
    #[case] requests: u32,
    #[case] expected: Result<(), AnswerKind>,
) {
    let mut limits = LimitTable::default();
    let limit = OrganisationLimit { concurrent: Some(1), ..OrganisationLimit::default() };
    limits.set_limits(HashMap::from([(OrganisationIndex(1), limit)]));

    let results: Vec<Result<(), AnswerKind>> =
        (0..requests).map(|_| limits.admit(OrganisationIndex(1), 1, Moment(1))).collect();

    assert_eq!(results.last(), Some(&expected));
    limits.release(OrganisationIndex(1), 0);
    assert!(limits.admit(OrganisationIndex(1), 1, Moment(2)).is_ok());
}

/// Guards against shedding a middle tier while another daemon still admits the lowest. This
/// happened when a daemon that wanted the highest floor dropped several tiers at once; each step
/// must wait until the whole fleet has confirmed the previous one.
#[test]
fn the_floor_rises_one_confirmed_tier_at_a_time() {
    let mut floor = ShedFloor::default();
    floor.set_ranks(vec![TierRank(0), TierRank(1), TierRank(2), TierRank(3)]);
    floor.apply(FloorOrder::default());
    let now = Moment::from_millis(10);

    let order = |confirmed| FloorOrder {
        reported_wanted: Some(TierRank(0)),
        confirmed: Some(confirmed),
        imposed: Some(TierRank(0)),
        is_fresh: false,
    };
    let may_raise = floor.raise(TierRank(0), now);
    let first = floor.lowest_admitted();
    floor.apply(order(TierRank(2)));
    let second = floor.lowest_admitted();
    floor.apply(order(TierRank(0)));

    assert!(!may_raise);
    assert_eq!(first, Some(TierRank(2)));
    assert_eq!(second, Some(TierRank(1)));
    assert!(floor.raise(TierRank(0), now));
    assert_eq!(floor.lowest_admitted(), Some(TierRank(0)));
}

/// Guards against a confirmation of an earlier floor being counted for a later one. The daemon had
/// reported a lower floor, or none, when it asked; a confirmation is valid only for the floor that
/// was reported with the request.
#[test]
fn a_confirmation_of_another_floor_does_not_count() {
    let mut floor = ShedFloor::default();
    floor.set_ranks(vec![TierRank(0), TierRank(1), TierRank(2)]);
    floor.apply(FloorOrder::default());
    floor.raise(TierRank(1), Moment::from_millis(10));

    floor.apply(FloorOrder {
        reported_wanted: Some(TierRank(0)),
        confirmed: Some(TierRank(0)),
        ..FloorOrder::default()
    });

    assert!(!floor.raise(TierRank(0), Moment::from_millis(20)));
}

/// Guards against sending every request to one engine until the next load report. Two engines
/// report equal load and many requests arrive before the next report, so the requests dispatched
/// since a report must be added to it.
#[test]
fn sends_since_a_report_correct_it() {
    let mut plan = crate::session::plan(64);
    plan.counts_tokens = true;
    let mut scheduler = PoolScheduler::new(plan);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut actions = Vec::new();
    let now = Moment::from_millis(1);
    scheduler.handle(
        PoolEvent::Sources(vec![crate::session::source("e1", 1), crate::session::source("e2", 2)]),
        now,
        &mut rng,
        &mut actions,
    );
    for upstream in [0, 1] {
        let upstream = tarragonknot::policy::UpstreamIndex(upstream);
        scheduler.handle(
            PoolEvent::LoadReported { upstream, report: LoadReport::default() },
            now,
            &mut rng,
            &mut actions,
        );
    }

    for id in 0..40 {
        let arrived = ArrivedRequest {
            id: RequestId(id),
            organisation: OrganisationIndex(0),
            weight: 1,
            tier: TierRank(0),
            prompt_bytes: 400,
            output_limit: Some(16),
            deadline: Moment::from_millis(60_000),
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
    }

    let counts: Vec<u32> = scheduler.upstreams().iter().map(|status| status.in_flight).collect();
    assert_eq!(counts, [20, 20]);
}

fn limits_with_share(share: f64) -> LimitTable {
    let mut limits = LimitTable::default();
    let limit = OrganisationLimit {
        tokens_per_second: Some(100),
        burst_tokens: Some(200),
        concurrent: Some(10),
    };
    limits.set_limits(HashMap::from([(OrganisationIndex(0), limit)]));
    limits.set_share(share);
    limits
}

fn admitted(limits: &mut LimitTable, cost: u32) -> usize {
    (0..100)
        .take_while(|_| limits.admit(OrganisationIndex(0), cost, Moment::from_millis(1)).is_ok())
        .count()
}

/// Guards against an organisation getting its full limit from every daemon. Its callers are spread
/// over two daemons, and each applied the whole limit.
#[rstest]
#[case::requests(1, 10)]
#[case::tokens(50, 4)]
fn daemons_divide_an_organisations_limit(#[case] cost: u32, #[case] expected: usize) {
    let mut first = limits_with_share(0.5);
    let mut second = limits_with_share(0.5);

    let total = admitted(&mut first, cost) + admitted(&mut second, cost);

    assert_eq!(total, expected);
}

/// Guards against exceeding the concurrency limit after shares have moved. A daemon's share shrinks
/// while its requests run; the released part must not be given away before those requests end.
#[test]
fn requests_in_progress_count_until_they_end() {
    let mut limits = limits_with_share(0.5);
    let running = admitted(&mut limits, 1);

    limits.set_share(0.1);
    let utilisation = limits.largest_utilisation();
    limits.release(OrganisationIndex(0), 0);

    assert_eq!((running, utilisation), (5, 0.5));
    assert_eq!(limits.largest_utilisation(), 0.4);
    assert_eq!(limits.demand(), 4);
}

/// A daemon without a share admits nothing under a rate limit, rather than everything.
#[test]
fn without_a_share_the_rate_is_refused() {
    let mut limits = limits_with_share(0.0);

    let refused = limits.admit(OrganisationIndex(0), 1, Moment::from_millis(1));

    assert_eq!(refused, Err(AnswerKind::RateLimited));
}
