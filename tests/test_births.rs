//! Upstreams that start again under the name that they had.

use crate::burst_pool::{BurstPool, dispatched_ids, urgency_plan};
use crate::session::source;
use rstest::rstest;
use std::time::Duration;
use tarragonknot::policy::UpstreamHash;
use tarragonknot::policy::{
    PeerWork, PoolEvent, RequestId, UpstreamEvent, UpstreamIndex, UpstreamSource, UpstreamState,
    UpstreamStatus,
};

fn born(incarnation: u64) -> UpstreamSource {
    UpstreamSource { incarnation, ..source("e1", 1) }
}

/// A pool of one upstream that was born at 5, with a request on it and a failure behind it.
fn pool() -> BurstPool {
    let mut plan = urgency_plan();
    plan.first_guess = 2;
    let mut pool = BurstPool::with_plan(plan);
    pool.handle_event(PoolEvent::Sources(vec![born(5)]), 0);
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

/// Symptom: an engine that crashed and is back idle gets little work, and is taken for slow and half full. Sequence: it
/// crashes while a stream is held silent, and starts again under its name within one period of the list. Cause: what
/// was believed of the one before is believed of the one after.
#[test]
fn a_later_birth_is_another_upstream() {
    let mut pool = pool();
    let before = current(&pool).index;

    pool.handle_event(PoolEvent::Sources(vec![born(9)]), 100);

    let after = current(&pool);
    assert_ne!(after.index, before);
    assert_eq!((after.in_flight, after.unread_tokens, after.gap()), (0, 0, None));
    assert_eq!((after.failure_rate, after.peer_work), (0.0, PeerWork::default()));
    let old = pool.scheduler.upstreams().get(before).expect("it has a request");
    assert_eq!(old.state(), UpstreamState::Leaving);
}

#[rstest]
#[case::earlier(3)]
#[case::not_told(0)]
#[case::the_same(5)]
fn word_of_no_later_birth_changes_nothing(#[case] birth: u64) {
    let mut pool = pool();
    let before = current(&pool).index;

    pool.handle_event(PoolEvent::Sources(vec![born(birth)]), 100);
    pool.handle_event(PoolEvent::IncarnationReported { upstream: before, incarnation: birth }, 110);

    let after = current(&pool);
    assert_eq!((after.index, after.source.incarnation, after.in_flight), (before, 5, 1));
    assert!(after.gap().is_some());
}

/// Word that comes with a place is earlier than the list, which is read each second.
#[test]
fn an_upstreams_own_word_on_its_birth_comes_first() {
    let mut pool = pool();
    let before = current(&pool).index;

    pool.handle_event(PoolEvent::IncarnationReported { upstream: before, incarnation: 9 }, 100);
    let after = current(&pool).index;
    pool.handle_event(PoolEvent::Sources(vec![born(5)]), 200);
    pool.handle_event(PoolEvent::IncarnationReported { upstream: before, incarnation: 7 }, 210);

    assert_ne!(after, before);
    assert_eq!((current(&pool).index, current(&pool).source.incarnation), (after, 9));
}

#[test]
fn the_first_word_on_a_birth_is_no_news_of_another() {
    let mut pool = BurstPool::new();
    pool.arrive(1, 0, 0);
    let before = current(&pool).index;

    pool.handle_event(PoolEvent::Sources(vec![born(9)]), 100);

    assert_eq!((current(&pool).index, current(&pool).source.incarnation), (before, 9));
    assert_eq!(current(&pool).in_flight, 1);
}

/// Symptom: an engine that left and was started again gets no work. Sequence: it drains, goes, and is back under its
/// name while the list still names it. Cause: that it left is remembered of the name alone.
#[test]
fn one_that_left_is_used_again_once_it_is_born_again() {
    let mut pool = BurstPool::new();
    pool.handle_event(PoolEvent::Sources(vec![born(5)]), 0);
    let index = current(&pool).index;
    pool.handle_event(PoolEvent::Lifecycle { upstream: index, event: UpstreamEvent::Leaving }, 10);
    pool.handle_event(PoolEvent::Sources(vec![born(5)]), 20);
    let refused = pool.arrive(1, 0, 30);

    pool.handle_event(PoolEvent::Sources(vec![born(9)]), 40);

    assert!(dispatched_ids(&refused).is_empty());
    assert_eq!(dispatched_ids(&pool.arrive(2, 0, 50)), [2]);
}

#[test]
fn the_end_of_a_request_counts_for_the_one_that_ran_it() {
    let mut pool = pool();
    pool.handle_event(PoolEvent::Sources(vec![born(9)]), 100);
    assert_eq!(dispatched_ids(&pool.arrive(2, 0, 110)), [2]);

    pool.complete(1, 120);

    assert_eq!(current(&pool).in_flight, 1);
}

#[test]
fn what_others_tell_of_another_birth_says_nothing() {
    let hash = |birth| UpstreamHash::of(&"pool".into(), &"e1".into(), birth);

    assert_eq!(hash(5), hash(5));
    assert_ne!(hash(5), hash(9));
    assert_ne!(hash(5), hash(0));
}

#[test]
fn an_upstream_that_is_not_known_is_not_born() {
    let mut pool = pool();

    pool.handle_event(
        PoolEvent::IncarnationReported { upstream: UpstreamIndex(99), incarnation: 9 },
        100,
    );

    assert_eq!(pool.scheduler.upstreams().iter().count(), 1);
}
