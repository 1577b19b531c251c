//! Upstreams that rest, in a pool in virtual time.

use crate::burst_pool::{BurstPool, arrived, urgency_plan};
use crate::session::source;
use rstest::rstest;
use std::time::Duration;
use tarragonknot::answer::AnswerKind;
use tarragonknot::policy::{Moment, PoolAction, PoolEvent, UpstreamIndex};

const FIRST: UpstreamIndex = UpstreamIndex(0);
const SECOND: UpstreamIndex = UpstreamIndex(1);
/// A rest may last this share longer, so that daemons do not return together.
const MAX_SPREAD: f64 = 0.1;

fn pool(upstreams: u16) -> BurstPool {
    let mut pool = BurstPool::with_plan(urgency_plan());
    let sources = (1..=upstreams).map(|number| source(&format!("e{number}"), number)).collect();
    pool.handle_event(PoolEvent::Sources(sources), 0);
    pool
}

fn ask_rest(pool: &mut BurstPool, upstream: UpstreamIndex, rest: u64, at: u64) -> Vec<PoolAction> {
    let time = Duration::from_millis(rest);
    pool.handle_event(PoolEvent::RestAsked { upstream, time }, at)
}

/// Sends a request every 20 ms, each of which ends at once; returns when the upstream got one.
fn times_sent(pool: &mut BurstPool, upstream: UpstreamIndex, from: u64, until: u64) -> Vec<u64> {
    let mut times = Vec::new();
    for millis in (from..until).step_by(20) {
        let mut actions = pool.handle_event(PoolEvent::Tick, millis);
        let request = arrived(millis, 0, 10, millis);
        actions.extend(pool.handle_event(PoolEvent::Arrived(request), millis));
        for action in actions {
            if let PoolAction::Dispatch { id, upstream: chosen } = action {
                times.extend((chosen == upstream).then_some(millis));
                pool.complete(id.0, millis);
            }
        }
    }
    times
}

/// Guards against a rest that ends early, never, or for all its daemons at the same moment.
#[rstest]
#[case::fraction(700)]
#[case::seconds(3_000)]
#[case::longest(600_000)]
fn an_upstream_is_used_again_after_its_rest(#[case] rest: u64) {
    let mut pool = pool(1);
    ask_rest(&mut pool, FIRST, rest, 1_000);

    let last = 1_000 + (rest as f64 * (1.0 + MAX_SPREAD)) as u64;
    let begin = last.saturating_sub(4_000).max(1_000);
    let times = times_sent(&mut pool, FIRST, begin, last + 500);

    let first = *times.first().expect("the upstream is used again");
    assert!((1_000 + rest..=last + 40).contains(&first), "{first} after a rest of {rest}");
}

/// Guards against a shorter rest that takes the place of a longer one.
#[test]
fn a_shorter_rest_does_not_end_a_longer_one() {
    let mut pool = pool(1);
    ask_rest(&mut pool, FIRST, 3_000, 1_000);
    ask_rest(&mut pool, FIRST, 500, 1_100);

    assert_eq!(times_sent(&mut pool, FIRST, 1_200, 4_000), [0; 0]);
}

/// Guards against work withheld from upstreams that did not ask for rest.
#[test]
fn the_others_go_on_while_one_rests() {
    let mut pool = pool(2);
    ask_rest(&mut pool, FIRST, 3_000, 1_000);

    assert_eq!(times_sent(&mut pool, SECOND, 1_020, 2_020).len(), 50);
    let limit = pool.scheduler.upstreams().live_limit(100.0, 1.0);
    let resting = pool.scheduler.upstreams().get(FIRST).expect("it is listed");
    assert!(resting.is_usable(), "it has not ended");
    assert!(limit < 1.5 * resting.capacity_tokens(100.0, 1.0), "it counts as capacity");
}

/// Guards against callers held to their deadline by a rest that begins while they wait.
#[test]
fn what_waits_is_refused_once_all_rest_for_too_long() {
    let mut pool = pool(1);
    let mut waiting = Vec::new();
    for id in 1..=4 {
        let actions = pool.handle_event(PoolEvent::Arrived(arrived(id, 0, 10, 1_000)), 1_000);
        waiting.extend(actions.is_empty().then_some(id));
    }
    assert!(!waiting.is_empty());

    let actions = ask_rest(&mut pool, FIRST, 60_000, 1_000);

    let refused = actions.iter().filter_map(|action| match action {
        PoolAction::Refuse { id, kind: AnswerKind::UpstreamResting } => Some(id.0),
        _ => None,
    });
    let mut refused: Vec<u64> = refused.collect();
    refused.sort_unstable();
    assert_eq!(refused, waiting);
    assert!(pool.scheduler.upstreams().rest_end(&Default::default()) > Some(Moment(60_000_000)));
}
