//! Slots reserved on engines before a request is dispatched.

use crate::burst_pool::{BurstPool, dispatched_ids, urgency_plan};
use crate::routed_fleet::{EngineAction, RoutedFleet, ScriptedEngine, document_with_reservations};
use crate::session::source;
use http::StatusCode;
use tarragonknot::policy::{DispatchOutcome, PoolAction, PoolEvent, RequestId, UpstreamIndex};

async fn fleet(engines: &[&ScriptedEngine]) -> RoutedFleet {
    let fleet = RoutedFleet::without_table(engines).await;
    fleet.apply(1, &document_with_reservations(1));
    fleet
}

fn is_request(path: &str) -> bool {
    !path.starts_with("/-/")
}

fn requests(engine: &ScriptedEngine) -> usize {
    engine.seen().iter().filter(|seen| is_request(&seen.path)).count()
}

/// Answers the first call, a reservation, with `reservation`, and later calls with a stream of
/// events.
fn answers_after(reservation: EngineAction) -> impl Fn(usize) -> EngineAction + Send + Sync {
    move |number| if number == 0 { reservation.clone() } else { EngineAction::Events(1, 2) }
}

#[tokio::test]
async fn a_request_goes_to_the_place_that_was_reserved_for_it() {
    let engine = ScriptedEngine::start("e1", answers_after(EngineAction::Reserve("h-1"))).await;
    let fleet = fleet(&[&engine]).await;

    let answer = fleet
        .call_with(
            "/stream/a",
            "r1",
            crate::routed_fleet::KEY,
            &[("tarragonknot-token-count", "30,12")],
        )
        .await;

    let seen = engine.seen();
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(seen[0].path, "/-/hold-take");
    assert_eq!(seen[0].header("tarragonknot-expect-instance"), Some("e1"));
    let body: serde_json::Value = serde_json::from_slice(&seen[0].body).expect("JSON");
    assert_eq!(body["tokens"], 42);
    assert_eq!(seen[1].header("tarragonknot-hold"), Some("h-1"));
}

/// Guards against requests queuing inside full engines while others have free slots. Daemons that
/// learn late of each other's requests choose the same engine, when they dispatch without a
/// reservation.
#[tokio::test]
async fn a_full_engine_gets_no_request() {
    let full = ScriptedEngine::start("e1", |_| EngineAction::NoPlace).await;
    let free = ScriptedEngine::start("e2", answers_after(EngineAction::Reserve("h-2"))).await;
    let fleet = fleet(&[&full, &free]).await;

    let answer = fleet.call("/stream/a", "r1").await;

    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!((requests(&full), requests(&free)), (0, 1));
}

/// Guards against losing a stream that may run only once. Its engine no longer responds; a request
/// dispatched there may have run, so it must not be the request that detects the silent engine.
#[tokio::test]
async fn a_silent_engine_is_found_out_before_the_request_is_there() {
    let silent = ScriptedEngine::start("e1", |_| EngineAction::Silent).await;
    let healthy = ScriptedEngine::start("e2", |number| match number % 2 {
        0 => EngineAction::Reserve("h-2"),
        _ => EngineAction::Events(1, 2),
    })
    .await;
    let fleet = fleet(&[&silent, &healthy]).await;

    let mut statuses = Vec::new();
    for id in ["r1", "r2", "r3"] {
        statuses.push(fleet.call("/stream/a", id).await.status);
    }

    assert_eq!(statuses, [StatusCode::OK; 3]);
    assert_eq!((requests(&silent), requests(&healthy)), (0, 3));
}

#[tokio::test]
async fn another_incarnation_is_found_out_before_the_request_is_there() {
    let other = ScriptedEngine::start("e1", |_| EngineAction::OtherIncarnation).await;
    let healthy = ScriptedEngine::start("e2", answers_after(EngineAction::Reserve("h-2"))).await;
    let fleet = fleet(&[&other, &healthy]).await;

    let answer = fleet.call("/stream/a", "r1").await;

    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!((requests(&other), requests(&healthy)), (0, 1));
}

#[tokio::test]
async fn an_engine_that_reserves_nothing_is_sent_requests_all_the_same() {
    let engine = ScriptedEngine::start("e1", answers_after(EngineAction::Answer(404, ""))).await;
    let fleet = fleet(&[&engine]).await;

    let answer = fleet.call("/stream/a", "r1").await;

    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(engine.seen()[1].header("tarragonknot-hold"), None);
}

/// A pool of `count` engines that support reservations.
fn reserving_pool(count: u16) -> BurstPool {
    let mut plan = urgency_plan();
    plan.has_reservations = true;
    let mut pool = BurstPool::with_plan(plan);
    let sources = (1..=count).map(|number| source(&format!("e{number}"), number)).collect();
    pool.handle_event(PoolEvent::Sources(sources), 0);
    pool
}

fn end_without_slot(pool: &mut BurstPool, id: u64, millis: u64) -> Vec<PoolAction> {
    let outcome = DispatchOutcome::NoSlot;
    pool.handle_event(PoolEvent::Ended { id: RequestId(id), outcome }, millis)
}

fn upstreams(actions: &[PoolAction]) -> Vec<UpstreamIndex> {
    let chosen = actions.iter().filter_map(|action| match action {
        PoolAction::Dispatch { upstream, .. } => Some(*upstream),
        PoolAction::Refuse { .. } => None,
    });
    chosen.collect()
}

#[test]
fn a_request_without_a_place_is_sent_elsewhere_at_once() {
    let mut pool = reserving_pool(2);
    let first = upstreams(&pool.arrive(1, 0, 10));

    let second = upstreams(&end_without_slot(&mut pool, 1, 11));

    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first, second);
}

#[test]
fn an_engine_without_a_place_is_asked_again_after_a_while() {
    let mut pool = reserving_pool(1);
    pool.arrive(1, 0, 10);
    let at_once = dispatched_ids(&end_without_slot(&mut pool, 1, 11));
    let soon = dispatched_ids(&pool.handle_event(PoolEvent::Tick, 21));
    let later = dispatched_ids(&pool.handle_event(PoolEvent::Tick, 42));

    assert_eq!((at_once, soon, later), (vec![], vec![], vec![1]));
}

/// Guards against daemons spending CPU time on calls that end in a refusal. A burst fills every
/// engine, and each request tried one engine after another without a pause.
#[test]
fn while_nothing_is_free_places_are_asked_for_with_pauses() {
    let mut pool = reserving_pool(40);
    let mut attempts = pool.arrive(1, 0, 10).len();
    for millis in 11..111 {
        let before = attempts;
        attempts += end_without_slot(&mut pool, 1, millis).len();
        attempts += pool.handle_event(PoolEvent::Tick, millis).len();
        assert!(attempts <= before + 1, "one request is at one engine at a time");
    }

    assert!((6..=16).contains(&attempts), "{attempts}");
}

/// Guards against half of the answers to the most urgent requests being late in a burst that the
/// engines could carry in time. Slots are scarce, and without a bound on concurrent reservation
/// attempts every waiting request tries an engine, so that a free slot goes to whichever request
/// tried there.
#[test]
fn a_scarce_place_goes_to_the_most_urgent_request() {
    let mut pool = reserving_pool(20);
    pool.arrive(1, 2, 10);
    end_without_slot(&mut pool, 1, 11);
    (2..=9).for_each(|id| drop(pool.arrive(id, 2, 12)));
    let urgent = dispatched_ids(&pool.arrive(10, 0, 13));
    let others = end_without_slot(&mut pool, 1, 14);

    assert_eq!(urgent, Vec::<u64>::new(), "two reservation attempts are already in progress");
    assert_eq!(dispatched_ids(&others), [10]);
}

#[test]
fn the_end_of_an_own_request_frees_its_place_at_once() {
    let mut pool = reserving_pool(1);
    pool.arrive(1, 0, 10);
    pool.arrive(2, 0, 11);

    let next = dispatched_ids(&pool.complete(1, 12));

    assert_eq!(next, [2]);
}
