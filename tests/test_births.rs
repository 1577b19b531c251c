//! Upstreams that restart under the same name, as a new incarnation.

use crate::burst_pool::{BurstPool, dispatched_ids, urgency_plan};
use crate::session::source;
use rstest::rstest;
use std::time::Duration;
use tarragonknot::policy::UpstreamHash;
use tarragonknot::policy::{
    DispatchOutcome, Moment, PeerWork, PoolEvent, RateStatement, RequestId, UpstreamEvent,
    UpstreamIndex, UpstreamSource, UpstreamState, UpstreamStatus,
};

fn source_with_incarnation(incarnation: u64) -> UpstreamSource {
    UpstreamSource { incarnation, ..source("e1", 1) }
}

/// A pool of one upstream with incarnation 5, a request in flight on it and a measured token gap.
fn pool_with_request() -> BurstPool {
    let mut plan = urgency_plan();
    plan.first_guess = 2;
    let mut pool = BurstPool::with_plan(plan);
    pool.handle_event(PoolEvent::Sources(vec![source_with_incarnation(5)]), 0);
    assert_eq!(dispatched_ids(&pool.arrive(1, 0, 0)), [1]);
    let gap = Duration::from_millis(80);
    pool.handle_event(PoolEvent::TokenGap { id: RequestId(1), gap }, 10);
    pool
}

fn current(pool: &BurstPool) -> &UpstreamStatus {
    let set = pool.scheduler.upstreams();
    let index = set.find(&"e1".into()).expect("the upstream");
    set.get(index).expect("its status")
}

/// Guards against an engine that crashed and returned idle getting little work because it is taken
/// for slow and half full. It crashes while a stream on it is silent, and restarts under its name
/// within one refresh period of the upstream list; the state of the old incarnation was kept for
/// the new one.
#[test]
fn a_later_birth_is_another_upstream() {
    let mut pool = pool_with_request();
    let before = current(&pool).index;

    pool.handle_event(PoolEvent::Sources(vec![source_with_incarnation(9)]), 100);

    let after = current(&pool);
    assert_ne!(after.index, before);
    assert_eq!((after.in_flight, after.unread_tokens, after.gap()), (0, 0, None));
    assert_eq!((after.failure_rate, after.peer_work), (0.0, PeerWork::default()));
    let old =
        pool.scheduler.upstreams().get(before).expect("the old incarnation still has a request");
    assert_eq!(old.state(), UpstreamState::Leaving);
}

#[rstest]
#[case::earlier(3)]
#[case::not_told(0)]
#[case::the_same(5)]
fn word_of_no_later_birth_changes_nothing(#[case] reported: u64) {
    let mut pool = pool_with_request();
    let before = current(&pool).index;

    pool.handle_event(PoolEvent::Sources(vec![source_with_incarnation(reported)]), 100);
    pool.handle_event(
        PoolEvent::IncarnationReported { upstream: before, incarnation: reported },
        110,
    );

    let after = current(&pool);
    assert_eq!((after.index, after.source.incarnation, after.in_flight), (before, 5, 1));
    assert!(after.gap().is_some());
}

/// An incarnation reported with a reservation is newer than the upstream list, which is read every
/// second.
#[test]
fn an_upstreams_own_word_on_its_birth_comes_first() {
    let mut pool = pool_with_request();
    let before = current(&pool).index;

    pool.handle_event(PoolEvent::IncarnationReported { upstream: before, incarnation: 9 }, 100);
    let after = current(&pool).index;
    pool.handle_event(PoolEvent::Sources(vec![source_with_incarnation(5)]), 200);
    pool.handle_event(PoolEvent::IncarnationReported { upstream: before, incarnation: 7 }, 210);

    assert_ne!(after, before);
    assert_eq!((current(&pool).index, current(&pool).source.incarnation), (after, 9));
}

#[test]
fn the_first_word_on_a_birth_is_no_news_of_another() {
    let mut pool = BurstPool::new();
    pool.arrive(1, 0, 0);
    let before = current(&pool).index;

    pool.handle_event(PoolEvent::Sources(vec![source_with_incarnation(9)]), 100);

    assert_eq!((current(&pool).index, current(&pool).source.incarnation), (before, 9));
    assert_eq!(current(&pool).in_flight, 1);
}

/// Guards against an engine that left and was restarted getting no work. It drains, stops and
/// returns under its name while the list still contains it; that it left was recorded for the name
/// alone.
#[test]
fn one_that_left_is_used_again_once_it_is_born_again() {
    let mut pool = BurstPool::new();
    pool.handle_event(PoolEvent::Sources(vec![source_with_incarnation(5)]), 0);
    let index = current(&pool).index;
    pool.handle_event(PoolEvent::Lifecycle { upstream: index, event: UpstreamEvent::Leaving }, 10);
    pool.handle_event(PoolEvent::Sources(vec![source_with_incarnation(5)]), 20);
    let refused = pool.arrive(1, 0, 30);

    pool.handle_event(PoolEvent::Sources(vec![source_with_incarnation(9)]), 40);

    assert!(dispatched_ids(&refused).is_empty());
    assert_eq!(dispatched_ids(&pool.arrive(2, 0, 50)), [2]);
}

#[test]
fn the_end_of_a_request_counts_for_the_one_that_ran_it() {
    let mut pool = pool_with_request();
    pool.handle_event(PoolEvent::Sources(vec![source_with_incarnation(9)]), 100);
    assert_eq!(dispatched_ids(&pool.arrive(2, 0, 110)), [2]);

    pool.complete(1, 120);

    assert_eq!(current(&pool).in_flight, 1);
}

#[test]
fn what_others_tell_of_another_birth_says_nothing() {
    let hash = |incarnation| UpstreamHash::of(&"pool".into(), &"e1".into(), incarnation);

    assert_eq!(hash(5), hash(5));
    assert_ne!(hash(5), hash(9));
    assert_ne!(hash(5), hash(0));
}

#[test]
fn an_upstream_that_is_not_known_is_not_born() {
    let mut pool = pool_with_request();

    pool.handle_event(
        PoolEvent::IncarnationReported { upstream: UpstreamIndex(99), incarnation: 9 },
        100,
    );

    assert_eq!(pool.scheduler.upstreams().iter().count(), 1);
}

/// Guards against an upstream that starts again and gets no work because of what its earlier incarnation
/// asked for, stated or was taken for.
#[rstest]
#[case::rest(|upstream| PoolEvent::RestAsked { upstream, time: Duration::from_secs(60) })]
#[case::rate(|upstream| PoolEvent::RateStated { upstream, rate: RateStatement::Limited(0.001) })]
#[case::unreachable(|upstream| PoolEvent::Lifecycle { upstream, event: UpstreamEvent::Unreachable })]
fn what_an_earlier_birth_stated_does_not_hold_for_a_later_one(
    #[case] event: fn(UpstreamIndex) -> PoolEvent,
) {
    let mut pool = pool_with_request();
    let before = current(&pool).index;
    pool.handle_event(event(before), 20);

    pool.handle_event(PoolEvent::Sources(vec![source_with_incarnation(9)]), 100);

    assert_eq!(dispatched_ids(&pool.arrive(2, 0, 110)), [2]);
    assert!(!current(&pool).is_resting());
    assert_eq!(current(&pool).rate_pace.rate(), RateStatement::Unlimited);
}

/// Guards against an upstream that starts again and is backed off, or counted as full, for the requests
/// that failed at its earlier incarnation.
#[test]
fn failures_and_memory_of_an_earlier_birth_do_not_count_for_a_later_one() {
    let mut pool = pool_with_request();
    for id in [2, 3] {
        assert_eq!(dispatched_ids(&pool.arrive(id, 0, 20)), [id]);
        let outcome = DispatchOutcome::Failed;
        pool.handle_event(PoolEvent::Ended { id: RequestId(id), outcome }, 20);
    }
    let failing = current(&pool);
    assert!(failing.failure_rate > 0.0 && failing.backoff_until > Moment(0));
    assert!(failing.memory.held_tokens() > 0);

    pool.handle_event(PoolEvent::Sources(vec![source_with_incarnation(9)]), 100);

    let after = current(&pool);
    assert_eq!((after.failure_rate, after.backoff_until), (0.0, Moment(0)));
    assert_eq!(after.memory.held_tokens(), 0);
}
