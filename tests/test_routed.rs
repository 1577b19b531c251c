//! Routed requests: retries, refusals, and the answers callers get when engines fail.

use crate::routed_fleet::{EngineAction, KEY, RoutedFleet, ScriptedEngine, document};
use http::StatusCode;
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tarragonknot::fleet_state::OrganisationHash;
use tarragonknot::report::{install_metrics, render_metrics};
use tarragonknot::upstream::VmState;

fn events(first: u64, last: u64) -> String {
    (first..=last).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

#[tokio::test]
async fn an_answer_comes_unchanged_and_the_engine_is_told_who_asks() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Answer(200, "fine")).await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    let answer = fleet.call("/safe/x?y=1", "id-1").await;

    assert_eq!((answer.status, answer.body.as_deref()), (StatusCode::OK, Some("fine")));
    assert_eq!(answer.headers["tarragonknot-server-seal"], "seal-1");
    let seen = &engine.seen()[0];
    assert_eq!(
        (seen.id.as_str(), seen.path.as_str(), &seen.body[..]),
        ("id-1", "/safe/x?y=1", &b"the body"[..])
    );
    assert_eq!(seen.header("tarragonknot-expect-instance"), Some("i-1"));
    assert_eq!(seen.header("tarragonknot-tenant"), Some("agents"));
    assert_eq!(seen.header("authorization"), None);
    assert_eq!(seen.header("host"), Some("shop.example"));
    let left: u64 = seen
        .header("tarragonknot-deadline-ms")
        .expect("the deadline header is present")
        .parse()
        .expect("the header holds an integer");
    assert!(left <= 2_500, "{left}");
}

/// An engine's error response is passed on; a route that allows retries tries another engine first.
#[rstest]
#[case::unsafe_once("/unsafe/", 1)]
#[case::safe_twice("/safe/", 2)]
#[tokio::test]
async fn a_failure_of_the_engine_is_passed_on(#[case] path: &str, #[case] sends: usize) {
    let first = ScriptedEngine::start("i-1", |_| EngineAction::Answer(500, "broken")).await;
    let second = ScriptedEngine::start("i-2", |_| EngineAction::Answer(500, "broken")).await;
    let fleet = RoutedFleet::start(&[&first, &second]).await;

    let answer = fleet.call(path, "id-1").await;

    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(answer.headers["tarragonknot-server-seal"], "seal-1");
    assert_eq!(first.count() + second.count(), sends);
}

/// Guards against reporting an executed request as not run, or running it twice. The engine runs
/// it, but its answer is lost, truncated or belongs to another request. A missing answer does not
/// prove that the request was not run.
#[rstest]
#[case::lost(EngineAction::Close)]
#[case::cut_short(EngineAction::Truncated)]
#[case::crossed(EngineAction::Crossed)]
#[tokio::test]
async fn what_may_have_run_once_is_neither_repeated_nor_denied(
    #[case] action: EngineAction,
    #[values("/unsafe/", "/stream/")] path: &str,
) {
    let script = move |_| action.clone();
    let engine = ScriptedEngine::start("i-1", script.clone()).await;
    let other = ScriptedEngine::start("i-2", script).await;
    let fleet = RoutedFleet::start(&[&engine, &other]).await;

    let answer = fleet.call(path, "id-1").await;

    let is_cut = answer.status.is_success() && answer.body.is_none();
    assert!(answer.status == StatusCode::BAD_GATEWAY || is_cut, "{answer:?}");
    assert_eq!(engine.count() + other.count(), 1);
}

/// Guards against a timeout that is reported as "not run". The engine hangs on a request that may
/// run only once, and the caller waits until its deadline.
#[tokio::test]
async fn a_request_that_runs_past_its_time_ends_as_a_timeout() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Silent).await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    let answer = fleet.call_with("/unsafe/", "id-1", KEY, &[("x-note", "1")]).await;

    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(
        answer
            .headers
            .get("retry-after")
            .and_then(|value| value.to_str().ok())
            .map(|text| !text.is_empty()),
        Some(true)
    );
    assert_eq!(engine.count(), 1);
}

#[tokio::test]
async fn a_safe_request_whose_answer_is_lost_goes_to_another_engine() {
    let first = ScriptedEngine::start("i-1", |_| EngineAction::Close).await;
    let second = ScriptedEngine::start("i-2", |_| EngineAction::Answer(200, "fine")).await;
    let fleet = RoutedFleet::start(&[&first, &second]).await;

    for number in 0..4 {
        let answer = fleet.call("/safe/", &format!("id-{number}")).await;
        assert_eq!(answer.status, StatusCode::OK, "request {number}");
    }

    assert_eq!(second.count(), 4);
}

/// Only the engine can declare that a request was not run; then even an unsafe request may be sent
/// again by its caller.
#[tokio::test]
async fn what_no_engine_ran_is_refused_as_not_run() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::NotRun).await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    let answer = fleet.call("/unsafe/", "id-1").await;

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(answer.body.expect("the body is complete").contains("upstream-refused"));
}

/// Guards against sending every request to a replaced engine. An engine crashes, another starts at
/// its address, and the platform list lags behind. The engine's own answer overrides the list.
#[tokio::test]
async fn another_incarnation_at_an_address_gets_no_more() {
    let replaced = ScriptedEngine::start("i-1", |_| EngineAction::OtherIncarnation).await;
    let sound = ScriptedEngine::start("i-2", |_| EngineAction::Answer(200, "fine")).await;
    let fleet = RoutedFleet::start(&[&replaced, &sound]).await;

    for number in 0..6 {
        let answer = fleet.call("/safe/", &format!("id-{number}")).await;
        assert_eq!(answer.status, StatusCode::OK, "request {number}");
        fleet.list(&[&replaced, &sound], VmState::Live);
    }

    assert!(replaced.count() <= 1, "{}", replaced.count());
    assert_eq!(sound.count(), 6);
}

/// Guards against missing or duplicated events after an engine fails. The engine stops in the
/// middle of an event and another one resumes the stream. The fault arises when partial events are
/// passed on or the stream is resumed from the wrong event.
#[tokio::test]
async fn a_resumable_stream_goes_on_elsewhere_after_its_last_whole_event() {
    let order = Arc::new(AtomicUsize::new(0));
    let script = || {
        let order = Arc::clone(&order);
        move |_| match order.fetch_add(1, Ordering::SeqCst) {
            0 => EngineAction::CutEvents(1, 3),
            _ => EngineAction::Events(4, 6),
        }
    };
    let first = ScriptedEngine::start("i-1", script()).await;
    let second = ScriptedEngine::start("i-2", script()).await;
    let fleet = RoutedFleet::start(&[&first, &second]).await;

    let answer = fleet.call("/resumable/", "id-1").await;

    assert_eq!(answer.body.as_deref(), Some(events(1, 6).as_str()));
    assert_eq!(answer.headers["tarragonknot-server-seal"], "seal-1");
    assert_eq!((first.count(), second.count()), (1, 1));
    let resumed: Vec<Option<String>> = [&first, &second]
        .map(|engine| engine.seen()[0].header("last-event-id").map(str::to_owned))
        .into_iter()
        .filter(Option::is_some)
        .collect();
    assert_eq!(resumed, [Some("3".to_owned())]);
}

#[tokio::test]
async fn a_stream_that_may_run_once_is_visibly_cut() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::CutEvents(1, 3)).await;
    let other = ScriptedEngine::start("i-2", |_| EngineAction::CutEvents(1, 3)).await;
    let fleet = RoutedFleet::start(&[&engine, &other]).await;

    let answer = fleet.call("/stream/", "id-1").await;

    assert_eq!((answer.status, answer.body), (StatusCode::OK, None));
    assert_eq!(engine.count() + other.count(), 1);
}

#[tokio::test]
async fn a_whole_stream_ends_well() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Events(1, 40)).await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    let answer = fleet.call("/stream/", "id-1").await;

    assert_eq!(answer.body.as_deref(), Some(events(1, 40).as_str()));
}

/// Guards against reporting a valid key or route as unknown just after a daemon has started.
/// Callers connect as soon as it listens, and the table arrives a moment later. Answering from an
/// empty table is wrong, and refusing at once costs the caller its only retry.
#[tokio::test]
async fn a_request_waits_a_little_for_the_first_table() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Answer(200, "fine")).await;
    let fleet = RoutedFleet::without_table(&[&engine]).await;
    let call = fleet.call("/safe/", "id-1");
    let table = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        fleet.apply(1, &document(1));
    };

    let (answer, ()) = tokio::join!(call, table);

    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn without_a_table_nothing_is_called_unknown() {
    let fleet = RoutedFleet::without_table(&[]).await;

    let answer = fleet.call("/safe/", "id-1").await;

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.body.expect("the body is complete").contains("table-stale"));
}

#[tokio::test]
async fn unknown_keys_and_routes_are_told_apart() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Answer(200, "fine")).await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    let key = fleet.call_with("/safe/", "id-1", "no-key", &[]).await;
    let route = fleet.call("/nowhere/", "id-2").await;

    assert_eq!((key.status, route.status), (StatusCode::UNAUTHORIZED, StatusCode::NOT_FOUND));
    assert_eq!(engine.count(), 0);
}

/// Guards against running a request whose key has been revoked. The request waits for a place, the
/// key is revoked, then a place becomes free. Checking the table only on arrival misses the
/// revocation.
#[tokio::test]
async fn the_table_is_asked_again_before_a_send() {
    let engine = ScriptedEngine::start("i-1", |number| match number {
        0..4 => EngineAction::Silent,
        _ => EngineAction::Answer(200, "fine"),
    })
    .await;
    let fleet = RoutedFleet::start(&[&engine]).await;
    let full = futures_util::future::join_all((0..4).map(|number| {
        let fleet = &fleet;
        async move { fleet.call("/unsafe/", &format!("full-{number}")).await }
    }));
    let waiting = async {
        while engine.count() < 4 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let call = fleet.call("/unsafe/", "late");
        let revoke = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            fleet.apply(2, &document(2).replace(KEY, "another-key"));
        };
        tokio::join!(call, revoke).0
    };

    let (_, answer) = tokio::join!(full, waiting);

    assert_ne!(answer.status, StatusCode::OK);
    assert!(engine.seen().iter().all(|request| request.id != "late"));
}

/// Guards against engines working for disconnected callers. The caller closes its connection while
/// the engine runs its request; the disconnect has to cancel the run.
#[tokio::test]
async fn a_caller_who_leaves_ends_its_run() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Silent).await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    let left =
        tokio::time::timeout(Duration::from_millis(200), fleet.call("/stream/", "id-1")).await;
    let mut running = usize::MAX;
    for _ in 0..200 {
        running = fleet.state.pool(&"pool".into()).map_or(0, |pool| pool.status().running);
        if running == 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }

    assert!(left.is_err());
    assert_eq!((running, engine.count()), (0, 1));
}

#[tokio::test]
async fn each_end_of_a_request_is_counted() {
    install_metrics();
    let engine = ScriptedEngine::start("i-1", |number| match number {
        0 => EngineAction::Events(1, 3),
        1 => EngineAction::CutEvents(1, 2),
        _ => EngineAction::NotRun,
    })
    .await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    for id in ["r1", "r2", "r3"] {
        fleet.call("/stream/", id).await;
    }
    let page = render_metrics(&fleet.state);

    for outcome in ["answered", "cut", "upstream-refused"] {
        let row = format!("kind=\"stream\",tier=\"rank-0\",outcome=\"{outcome}\"");
        let is_counted = page.lines().any(|line| {
            line.starts_with("tarragonknot_route_requests_total") && line.contains(&row)
        });
        assert!(is_counted, "{row} in {page}");
    }
    assert!(page.contains("tarragonknot_route_first_event_seconds_bucket"), "{page}");
    let by_size = "kind=\"stream\",tier=\"rank-0\",tenth=\"unknown\",outcome=\"cut\"";
    assert!(page.contains(&format!("tarragonknot_size_requests_total{{{by_size}}}")), "{page}");
}

/// Guards against exceeding an organisation's limit when callers disconnect early. The caller
/// leaves before the answer to a sent request, and its tokens are returned to the bucket although
/// an engine runs the request. This happens if a request counts as run only once its send has ended
/// (found by the soak with seed 106).
#[tokio::test]
async fn what_was_sent_counts_against_the_limit_though_its_caller_left() {
    let engine = ScriptedEngine::start("e1", |_| EngineAction::Silent).await;
    let fleet = RoutedFleet::start(&[&engine]).await;
    let limited = document(2).replace(
        r#""name":"agents""#,
        r#""name":"agents","rate_per_s":1000.0,"burst":1000.0,"unit":"requests""#,
    );
    fleet.apply(2, &limited);

    let call = fleet.call("/safe/a", "r1");
    let left = tokio::time::timeout(Duration::from_millis(200), call).await;
    let engine_has_it = engine.count();
    tokio::time::sleep(Duration::from_millis(100)).await;

    assert!(left.is_err());
    assert_eq!(engine_has_it, 1);
    let snapshot = fleet.state.snapshot();
    let organisation = OrganisationHash::of(&"agents".into());
    let index = snapshot
        .access
        .token_limited_by_hash(organisation)
        .expect("the organisation has a token limit");
    assert_eq!(fleet.state.limits().admitted_tokens(index), 1);
}

/// Guards against retries without a budget: a failing service would get nearly twice its requests
/// from each daemon.
#[tokio::test]
async fn repeats_are_bounded_when_everything_fails() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Answer(500, "broken")).await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    for number in 0..40 {
        fleet.call("/safe/", &format!("id-{number}")).await;
    }

    assert!((40..=46).contains(&engine.count()), "{}", engine.count());
}

/// Guards against a start after which each request waits for a list, as that of a peer came before the
/// daemon began to read its own.
#[tokio::test]
async fn a_list_that_came_before_the_reader_starts_is_not_waited_for() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Answer(200, "fine")).await;
    let fleet = RoutedFleet::start(&[]).await;
    fleet.list(&[&engine], VmState::Live);

    fleet.state.expect_upstream_list();
    let wait = fleet.state.wait_for_upstream_list(Duration::from_secs(3_600));
    let waited = tokio::time::timeout(Duration::ZERO, wait).await;

    assert!(waited.is_ok(), "the list of the peer was forgotten");
}

/// Guards against refusals between the start and the first list of upstreams: each costs a caller
/// its only retry.
#[tokio::test]
async fn callers_before_the_first_list_are_served_once_it_is_there() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Answer(200, "fine")).await;
    let fleet = Arc::new(RoutedFleet::start(&[]).await);
    fleet.state.expect_upstream_list();
    let caller = Arc::clone(&fleet);
    let call = tokio::spawn(async move { caller.call("/unsafe/x", "id-1").await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.list(&[&engine], VmState::Live);

    let answer = call.await.expect("the caller task does not panic");

    assert_eq!(answer.status, StatusCode::OK);
}
