//! Request order by value density, detection of retries, and choice of fitting engines.

use crate::burst_pool::{BurstPool, arrived, dispatched_ids, urgency_plan};
use crate::session::source;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use tarragonknot::policy::{
    ArrivedRequest, CostHistogram, FirstEventModel, LaneMeans, Mechanism, MechanismSet, PoolEvent,
    RequestId, RequestSizes, RetryDetector,
};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn arrive(pool: &mut BurstPool, request: ArrivedRequest, at: u64) -> Vec<u64> {
    dispatched_ids(&pool.handle_event(PoolEvent::Arrived(request), at))
}

/// A pool whose only slot is held by request 0 until that ends.
fn busy_pool(off: &[Mechanism]) -> BurstPool {
    let mut plan = urgency_plan();
    plan.mechanisms = MechanismSet::without(off);
    let mut pool = BurstPool::with_plan(plan);
    assert_eq!(arrive(&mut pool, arrived(0, 0, 10, 0), 0), [0]);
    pool
}

#[test]
fn a_short_request_goes_before_a_long_one_of_its_lane() {
    let mut pool = busy_pool(&[]);
    arrive(&mut pool, arrived(1, 0, 400, 0), 0);
    arrive(&mut pool, arrived(2, 0, 20, 1), 1);

    assert_eq!(dispatched_ids(&pool.complete(0, 10)), [2]);
}

#[test]
fn without_the_order_by_size_the_one_due_first_goes_first() {
    let mut pool = busy_pool(&[Mechanism::SizeOrder]);
    arrive(&mut pool, arrived(1, 0, 400, 0), 0);
    arrive(&mut pool, arrived(2, 0, 20, 1), 1);

    assert_eq!(dispatched_ids(&pool.complete(0, 10)), [1]);
}

/// The order of two ranks follows from value and cost of their requests, not from a fixed figure
/// for each rank.
#[test]
fn a_lower_rank_goes_first_where_it_costs_so_little_that_it_earns_more() {
    let mut costly_pool = busy_pool(&[]);
    arrive(&mut costly_pool, arrived(1, 0, 1_000, 0), 0);
    arrive(&mut costly_pool, arrived(2, 1, 10, 0), 0);
    let mut equal_pool = busy_pool(&[]);
    arrive(&mut equal_pool, arrived(1, 0, 10, 0), 0);
    arrive(&mut equal_pool, arrived(2, 1, 10, 0), 0);

    assert_eq!(dispatched_ids(&costly_pool.complete(0, 10)), [2]);
    assert_eq!(dispatched_ids(&equal_pool.complete(0, 10)), [1]);
}

/// Guards against starving long requests in a lasting burst. There is always a short request with a
/// higher value density, so an order by value density alone never serves the long ones.
#[test]
fn long_requests_of_a_lane_are_served_in_their_turn() {
    let mut pool = busy_pool(&[]);
    arrive(&mut pool, arrived(1, 0, 400, 0), 0);
    let mut running = 0;
    let mut served = Vec::new();
    for step in 0..20 {
        arrive(&mut pool, arrived(10 + step, 0, 10, step * 20), step * 20);
        let next = dispatched_ids(&pool.complete(running, step * 20 + 10));
        served.extend(next.iter().copied());
        running = next.first().copied().unwrap_or(running);
    }

    assert!(served.contains(&1), "{served:?}");
}

#[test]
fn worth_for_cost_falls_with_what_is_made_and_is_bounded() {
    let mut means = LaneMeans::default();
    (0..100).for_each(|_| means.learn(1_000, 100, 6_000));
    let density = |output: u32| means.density(1_000, output, 1_000 + 50 * output);

    assert!(density(10) > density(100) && density(100) > density(1_000));
    assert!((means.density(1_000, 100, 6_000) - means.mean_density()).abs() < 1e-9);
    assert!(density(100_000) * f64::from(1_000 + 50 * 100_000) <= 4.0 + 1e-9);
}

#[test]
fn the_ladder_sums_up_what_is_worth_as_much_or_more() {
    let mut histogram = CostHistogram::default();
    histogram.add(1e-3, 100);
    histogram.add(1e-5, 1_000);
    histogram.add(0.0, 10_000);

    assert_eq!(histogram.cost_at_or_above(1e-4), 100);
    assert_eq!(histogram.cost_at_or_above(1e-5), 1_100);
    histogram.remove(1e-3, 100);
    assert_eq!(histogram.cost_at_or_above(1e-9), 1_000);
    assert_eq!(histogram.cost_at_or_above(0.0), 11_000);
}

/// Guards against a tenth of a burst's answers being late that were counted as in time. A caller is
/// refused and retries with the rest of its time, and its objective was assumed to start anew.
#[test]
fn a_caller_with_much_less_time_than_usual_has_been_here_before() {
    let mut detector = RetryDetector::default();
    let first: Vec<bool> =
        (0..60).map(|step| detector.is_retry(millis(2_550 + step % 10 * 50))).collect();

    assert!(first.iter().all(|is_retry| !is_retry));
    assert!(detector.is_retry(millis(1_900)));
    assert!(!detector.is_retry(millis(2_500)));
}

#[test]
fn a_few_who_wait_for_long_do_not_make_everyone_a_returned_caller() {
    let mut detector = RetryDetector::default();
    (0..60).for_each(|step| {
        detector.is_retry(millis(if step % 20 == 0 { 600_000 } else { 3_000 }));
    });

    assert!(!detector.is_retry(millis(3_000)));
}

#[test]
fn nobody_is_a_returned_caller_before_what_is_usual_is_known() {
    let mut detector = RetryDetector::default();
    detector.is_retry(millis(3_000));

    assert!(!detector.is_retry(millis(100)));
}

/// Guards against keeping prompts of 2,000 tokens from engines that they would not stall, and
/// sending short requests too late. The first event of a short prompt takes the engine's own 70 ms,
/// so that every token seemed to take 40 µs when the model had one time per token instead of a base
/// and a slope.
#[test]
fn first_events_are_a_base_and_a_time_for_each_token() {
    let mut model = FirstEventModel::default();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for step in 0..400u64 {
        let tokens = [100, 600, 1_800, 6_600, 20_000][step as usize % 5];
        let slowness = if step % 3 == 0 { 2.8 } else { 1.0 };
        let micros = (70_000.0 + 8.0 * tokens as f64) * slowness * rng.random_range(0.9..1.1);
        model.learn(tokens, slowness, Duration::from_micros(micros as u64));
    }

    assert!((6.0..10.0).contains(&model.slope_micros()), "{}", model.slope_micros());
    assert!((55_000.0..85_000.0).contains(&model.base_micros()), "{}", model.base_micros());
}

#[test]
fn one_first_event_that_was_held_up_says_little() {
    let mut model = FirstEventModel::default();
    (0..100u64).for_each(|step| {
        let tokens = 500 + step * 50;
        model.learn(tokens, 1.0, Duration::from_micros(50_000 + 10 * tokens));
    });
    let before = model.base_micros();

    model.learn(1_000, 1.0, Duration::from_secs(30));

    assert!((model.base_micros() - before).abs() < 20_000.0, "{}", model.base_micros());
}

#[test]
fn first_guesses_hold_until_enough_was_seen() {
    let mut model = FirstEventModel::default();
    let initial = (model.base_micros(), model.slope_micros());
    (0..5).for_each(|step| model.learn(100 * step, 1.0, millis(900)));

    assert_eq!((model.base_micros(), model.slope_micros()), initial);
}

/// A pool of a fast and a slow engine with two slots each. One slot of each is in use, by requests
/// 1 and 2 in either order, and the speed of both engines is known. Returns the request on each
/// engine.
fn pool_of_unequal_engines() -> (BurstPool, BTreeMap<&'static str, u64>) {
    let mut plan = urgency_plan();
    plan.first_guess = 2;
    let mut pool = BurstPool::with_plan(plan);
    pool.handle_event(PoolEvent::Sources(vec![source("fast", 1), source("slow", 2)]), 0);
    let mut running = BTreeMap::new();
    for id in 1..=4 {
        arrive(&mut pool, arrived(id, 0, 10, 0), 0);
        let set = pool.scheduler.upstreams();
        for name in ["fast", "slow"] {
            let status = set.get(set.find(&name.into()).expect("an engine")).expect("its status");
            if status.in_flight == 1 && !running.contains_key(name) {
                running.insert(name, id);
            }
        }
    }
    for step in 0..20 {
        let gaps = [("fast", 2), ("slow", 40)];
        for (name, gap) in gaps {
            let id = RequestId(running[name]);
            pool.handle_event(PoolEvent::TokenGap { id, gap: millis(gap) }, step);
        }
    }
    (pool, running)
}

/// Guards against spending a tenth of all engine time on runs that end at their callers' deadline.
/// Under load the engines with a free slot are the slowest; a long answer goes there and is cut off
/// after all of its caller's time, when the earliest first event alone decides.
#[test]
fn a_long_answer_waits_for_an_engine_that_ends_it_in_time() {
    let (mut pool, running) = pool_of_unequal_engines();
    let on_arrival = arrive(&mut pool, arrived(5, 0, 200, 50), 50);
    let on_slow = dispatched_ids(&pool.complete(running["slow"], 60));

    let on_fast = dispatched_ids(&pool.complete(running["fast"], 70));

    assert_eq!((on_arrival, on_slow), (vec![], vec![]));
    assert_eq!(on_fast, [5]);
}

#[test]
fn a_short_answer_takes_the_place_that_a_long_one_leaves() {
    let (mut pool, running) = pool_of_unequal_engines();
    arrive(&mut pool, arrived(5, 0, 200, 50), 50);
    arrive(&mut pool, arrived(6, 1, 10, 50), 50);

    assert_eq!(dispatched_ids(&pool.complete(running["slow"], 60)), [6]);
}

#[test]
fn where_no_engine_would_do_better_the_request_goes_at_once() {
    let mut pool = BurstPool::new();

    let dispatched = arrive(&mut pool, arrived(1, 0, 1_000_000, 0), 0);

    assert_eq!(dispatched, [1]);
}

/// Number of requests dispatched before their objective has passed, in a burst of twice the
/// capacity of one engine.
fn in_time(off: &[Mechanism]) -> usize {
    let mut plan = urgency_plan();
    plan.mechanisms = MechanismSet::without(off);
    let mut pool = BurstPool::with_plan(plan);
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut sizes = BTreeMap::new();
    let mut running: Option<(u64, u64)> = None;
    let mut in_time = 0;
    for now in 0..20_000u64 {
        let mut started = Vec::new();
        if now % 25 == 0 {
            let output = rng.random_range(1.0f64..6.5).exp() as u32;
            let mut request = arrived(now, 0, output, now);
            request.sizes = Some(RequestSizes { prompt: 100, output });
            sizes.insert(now, output);
            started.extend(arrive(&mut pool, request, now));
        }
        if let Some((id, ends_at)) = running
            && ends_at <= now
        {
            running = None;
            started.extend(dispatched_ids(&pool.complete(id, now)));
        }
        started.extend(dispatched_ids(&pool.handle_event(PoolEvent::Tick, now)));
        for id in started {
            in_time += usize::from(now - id <= 450);
            running = Some((id, now + 1 + u64::from(sizes[&id]) / 2));
        }
    }
    in_time
}

#[test]
fn in_a_burst_the_order_by_worth_for_cost_serves_more_callers_in_time() {
    let (with, without) = (in_time(&[]), in_time(&[Mechanism::SizeOrder]));

    assert!(with as f64 > without as f64 * 1.2, "{with} with, {without} without");
}
