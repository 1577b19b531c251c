//! Placing of requests that resume streams: at their versions, before new work, without holding it up.

use crate::burst_pool::{BurstPool, arrived, dispatched_ids};
use crate::session::source;
use rstest::rstest;
use tarragonknot::answer::AnswerKind;
use tarragonknot::policy::{
    ArrivedRequest, Moment, PlacementDemand, PoolAction, PoolEvent, RequestId, UpstreamIndex,
    UpstreamSource, VersionHash,
};

/// Upstreams with the software versions `versions`, one place each.
fn sources(versions: &[&str]) -> Vec<UpstreamSource> {
    let rows = versions.iter().enumerate().map(|(number, version)| UpstreamSource {
        version: Some((*version).into()),
        ..source(&format!("e{number}"), 10 + number as u16)
    });
    rows.collect()
}

fn pool(versions: &[&str]) -> BurstPool {
    let mut pool = BurstPool::new();
    pool.handle_event(PoolEvent::Sources(sources(versions)), 0);
    pool
}

/// A request that resumes a stream of `version`.
fn resuming(id: u64, version: &str, millis: u64) -> ArrivedRequest {
    let demand = PlacementDemand {
        version: Some(VersionHash::of(&version.into())),
        ..PlacementDemand::default()
    };
    ArrivedRequest { demand, may_be_resumed: true, ..arrived(id, 1, 10, millis) }
}

/// A new stream that may be resumed later.
fn beginning(id: u64, millis: u64) -> ArrivedRequest {
    ArrivedRequest { may_be_resumed: true, ..arrived(id, 0, 10, millis) }
}

/// Version of the upstream that an action dispatches to.
fn dispatched_versions(pool: &BurstPool, actions: &[PoolAction]) -> Vec<String> {
    let version = |upstream: UpstreamIndex| {
        let status = pool.scheduler.upstreams().get(upstream).expect("a known upstream");
        status.source.version.as_ref().expect("a known version").to_string()
    };
    let versions = actions.iter().filter_map(|action| match action {
        PoolAction::Dispatch { upstream, .. } => Some(version(*upstream)),
        PoolAction::Refuse { .. } => None,
    });
    versions.collect()
}

fn refused_kinds(actions: &[PoolAction]) -> Vec<AnswerKind> {
    let kinds = actions.iter().filter_map(|action| match action {
        PoolAction::Refuse { kind, .. } => Some(*kind),
        PoolAction::Dispatch { .. } => None,
    });
    kinds.collect()
}

/// Guards against a resumption that is placed at another version because that one has room.
#[test]
fn a_resumption_waits_for_its_version_and_goes_before_new_work() {
    let mut pool = pool(&["v1", "v1", "v2", "v2"]);
    let mut running = Vec::new();
    for id in 1..=4 {
        running.extend(pool.handle_event(PoolEvent::Arrived(beginning(id, 0)), 0));
    }
    let versions = dispatched_versions(&pool, &running);
    let at_v1 = dispatched_ids(&running)[versions.iter().position(|it| it == "v1").expect("v1")];
    let at_v2 = dispatched_ids(&running)[versions.iter().position(|it| it == "v2").expect("v2")];
    pool.handle_event(PoolEvent::Arrived(beginning(5, 10)), 10);
    let waiting = pool.handle_event(PoolEvent::Arrived(resuming(6, "v1", 20)), 20);

    let after_v2 = pool.complete(at_v2, 30);
    let after_v1 = pool.complete(at_v1, 40);

    assert!(waiting.is_empty(), "{waiting:?}");
    assert_eq!(dispatched_ids(&after_v2), [5]);
    assert_eq!(dispatched_ids(&after_v1), [6]);
    assert_eq!(dispatched_versions(&pool, &after_v1), ["v1"]);
}

/// Guards against new work that waits behind resumptions of a full version though another one has
/// room.
#[test]
fn resumptions_of_a_full_version_hold_up_no_new_work() {
    let mut pool = pool(&["v1", "v1", "v2", "v2"]);
    for id in 1..=2 {
        pool.handle_event(PoolEvent::Arrived(resuming(id, "v1", 0)), 0);
    }
    for id in 10..40 {
        pool.handle_event(PoolEvent::Arrived(resuming(id, "v1", 1)), 1);
    }

    let first = pool.handle_event(PoolEvent::Arrived(beginning(50, 2)), 2);
    let second = pool.handle_event(PoolEvent::Arrived(beginning(51, 2)), 2);

    assert_eq!((dispatched_ids(&first), dispatched_ids(&second)), (vec![50], vec![51]));
}

/// Guards against a resumption that waits until its deadline for a version that has left.
#[test]
fn a_resumption_is_refused_once_its_version_has_left() {
    let mut pool = pool(&["v1", "v2"]);
    pool.handle_event(PoolEvent::Arrived(resuming(1, "v1", 0)), 0);
    let waiting = pool.handle_event(PoolEvent::Arrived(resuming(2, "v1", 1)), 1);

    let mut actions = pool.handle_event(PoolEvent::Sources(sources(&["v3", "v2"])[1..].into()), 10);
    actions.extend(pool.handle_event(PoolEvent::Tick, 20));
    let arrived_later = pool.handle_event(PoolEvent::Arrived(resuming(3, "v1", 30)), 30);

    assert!(waiting.is_empty(), "{waiting:?}");
    assert_eq!(refused_kinds(&actions), [AnswerKind::VersionAbsent]);
    assert_eq!(refused_kinds(&arrived_later), [AnswerKind::VersionAbsent]);
}

/// Guards against a place that is given to a caller who has left, or a wait beyond the deadline.
#[test]
fn a_resumption_that_ended_is_not_placed() {
    let mut pool = pool(&["v1", "v2"]);
    pool.handle_event(PoolEvent::Arrived(resuming(1, "v1", 0)), 0);
    pool.handle_event(PoolEvent::Arrived(resuming(2, "v1", 1)), 1);
    let short = ArrivedRequest { deadline: Moment::from_millis(50), ..resuming(3, "v1", 2) };
    pool.handle_event(PoolEvent::Arrived(short), 2);

    pool.handle_event(PoolEvent::CallerLeft(RequestId(2)), 10);
    let at_deadline = pool.handle_event(PoolEvent::Tick, 60);
    let freed = pool.complete(1, 70);

    assert_eq!(refused_kinds(&at_deadline), [AnswerKind::DeadlineWaiting]);
    assert!(dispatched_ids(&freed).is_empty(), "{freed:?}");
    assert_eq!(pool.scheduler.status().waiting, 0);
}

/// Guards against streams that begin at the only upstream of a version, and cannot be resumed once it
/// is gone, though upstreams of a lasting version have room.
#[rstest]
#[case::resumable(true, 0)]
#[case::others(false, 1)]
fn a_resumable_stream_begins_at_a_version_of_several_upstreams(
    #[case] may_be_resumed: bool,
    #[case] at_lone_version: usize,
) {
    let mut pool = pool(&["v1", "v1", "v2"]);
    let mut actions = Vec::new();

    for id in 1..=2 {
        let request = ArrivedRequest { may_be_resumed, ..beginning(id, 0) };
        actions.extend(pool.handle_event(PoolEvent::Arrived(request), 0));
    }
    let third = pool.handle_event(PoolEvent::Arrived(beginning(3, 0)), 0);

    let versions = dispatched_versions(&pool, &actions);
    let lone = versions.iter().filter(|version| *version == "v2").count();
    assert!(lone <= at_lone_version, "{versions:?}");
    assert_eq!(dispatched_ids(&third), [3], "a place is left unused");
}

/// Guards against upstreams of unknown version that count as those of any.
#[test]
fn an_unknown_version_equals_no_other() {
    let mut pool = pool(&["v1"]);
    let unknown = source("e9", 9);
    let mut listed = sources(&["v1"]);
    listed.push(unknown);
    pool.handle_event(PoolEvent::Sources(listed), 0);
    let first = pool.handle_event(PoolEvent::Arrived(resuming(1, "v1", 0)), 0);

    let second = pool.handle_event(PoolEvent::Arrived(resuming(2, "v1", 1)), 1);

    assert_eq!(dispatched_versions(&pool, &first), ["v1"]);
    assert!(second.is_empty(), "{second:?}");
}
