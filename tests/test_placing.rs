//! Placement of requests on upstreams: by fleet group, by speeds that other daemons report, and by
//! the pauses caused to running streams.

use crate::burst_pool::{BurstPool, arrived, urgency_plan};
use crate::session::source;
use std::collections::BTreeSet;
use std::time::Duration;
use tarragonknot::policy::{
    FleetGroup, PeerWaiting, PeerWork, PoolAction, PoolEvent, RequestId, RequestSizes,
    UpstreamIndex,
};

fn peer_work(requests: u32, gap_micros: u32) -> PeerWork {
    PeerWork { requests, gap_micros, ..PeerWork::default() }
}

/// A pool of `count` engines with three slots each, numbered from 1. This daemon's group is the
/// first of `groups`.
fn pool_of(count: u16, groups: usize) -> BurstPool {
    let mut plan = urgency_plan();
    plan.first_guess = 3;
    plan.event_tokens = 3;
    let mut pool = BurstPool::with_plan(plan);
    let sources = (1..=count).map(|number| source(&format!("e{number:03}"), number)).collect();
    pool.handle_event(PoolEvent::Sources(sources), 0);
    let group = FleetGroup { index: 0, count: groups };
    pool.handle_event(
        PoolEvent::PeerLoad { rows: Vec::new(), group, waiting: PeerWaiting::default() },
        0,
    );
    pool
}

fn placed_on(actions: &[PoolAction]) -> Option<UpstreamIndex> {
    actions.iter().find_map(|action| match action {
        PoolAction::Dispatch { upstream, .. } => Some(*upstream),
        PoolAction::Refuse { .. } => None,
    })
}

#[test]
fn a_groups_engines_are_used_first_and_others_once_they_are_full() {
    let mut pool = pool_of(40, 4);
    let placed: Vec<u32> =
        (1..=31).filter_map(|id| placed_on(&pool.arrive(id, 0, 10))).map(|index| index.0).collect();

    assert!(placed[..30].iter().all(|index| *index <= 10), "{placed:?}");
    assert!(placed[30] > 10, "{placed:?}");
}

#[test]
fn a_small_pool_is_shared_by_all_groups() {
    let mut pool = pool_of(3, 8);
    let placed: BTreeSet<u32> =
        (1..=9).filter_map(|id| placed_on(&pool.arrive(id, 0, 10))).map(|index| index.0).collect();

    assert_eq!(placed, BTreeSet::from([1, 2, 3]));
}

/// Guards against a third of all streams being late from the first second on. A daemon that has not
/// yet used an engine four times slower than the rest dispatches there, when each daemon learns the
/// engines' speeds by itself.
#[test]
fn an_engine_that_another_daemon_knows_to_be_slow_is_used_last() {
    let mut pool = pool_of(2, 1);
    let rows = vec![("e001".into(), peer_work(0, 24_000)), ("e002".into(), peer_work(0, 6_000))];
    pool.handle_event(
        PoolEvent::PeerLoad { rows, group: FleetGroup::default(), waiting: PeerWaiting::default() },
        1,
    );
    let placed: Vec<u32> =
        (1..=3).filter_map(|id| placed_on(&pool.arrive(id, 0, 10))).map(|index| index.0).collect();

    assert_eq!(placed, [2, 2, 2]);
}

/// Guards against every stream on a slow engine pausing for longer than its route allows. A prompt
/// of 6,000 tokens goes to an engine that processes it in 0.36 s between the steps of three
/// streams, when placement considers only the first event of the new request.
#[test]
fn a_long_prompt_does_not_make_running_streams_pause() {
    let mut pool = pool_of(2, 1);
    // The second engine is three times slower and runs streams, but has the earlier first event.
    let rows = vec![
        ("e001".into(), PeerWork { unread_tokens: 30_000, gap_micros: 6_000, ..peer_work(0, 0) }),
        ("e002".into(), peer_work(2, 18_000)),
    ];
    pool.handle_event(
        PoolEvent::PeerLoad { rows, group: FleetGroup::default(), waiting: PeerWaiting::default() },
        1,
    );
    let mut bounded = arrived(1, 0, 10, 10);
    bounded.sizes = Some(RequestSizes { prompt: 6_000, output: 10 });
    let mut unbounded_request = bounded.clone();
    bounded.pause = Some(Duration::from_millis(300));
    unbounded_request.id = RequestId(2);

    let with_bound = placed_on(&pool.handle_event(PoolEvent::Arrived(bounded), 10));
    pool.complete(1, 11);
    let unbounded = placed_on(&pool.handle_event(PoolEvent::Arrived(unbounded_request), 12));

    assert_eq!((with_bound, unbounded), (Some(UpstreamIndex(1)), Some(UpstreamIndex(2))));
}
