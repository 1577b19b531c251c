//! Refusals of routed requests: 408, 421, 429 and 503 tell a caller that its request has not run.

use crate::routed_fleet::{
    EngineAction, KEY, ReceivedRequest, RoutedFleet, ScriptedEngine, document,
    document_with_reservations,
};
use http::StatusCode;
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tarragonknot::answer::{ANSWER_TABLE, ExecutionStatus, promises_not_run};
use tarragonknot::report::{install_metrics, render_metrics};
use tarragonknot::upstream::VmState;

const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];
/// Replies without a request id, as they follow a reservation or an idle timeout.
const RESERVATION_REFUSED: &str = "HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n";
const RESERVATION_GRANTED: &str = "HTTP/1.1 200 X\r\ncontent-length: 14\r\n\r\n{\"hold\":\"h-1\"}";
const IDLE_TIMEOUT: &str = "HTTP/1.1 408 X\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
const UNNAMED_NOT_RUN: &str =
    "HTTP/1.1 503 X\r\ntarragonknot-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
const UNNAMED_MISDIRECTED: &str = "HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n";
const UNNAMED_TOO_MANY: &str =
    "HTTP/1.1 429 X\r\ntarragonknot-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
const OTHER_NOT_RUN: &str = "HTTP/1.1 503 X\r\ntarragonknot-request-id: other\r\n\
    tarragonknot-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
const UNNAMED_NOT_FOUND: &str = "HTTP/1.1 404 X\r\ncontent-length: 0\r\n\r\n";

/// Guards against passing on the status of an engine that failed after it ran the request.
#[rstest]
#[tokio::test]
async fn a_failure_after_the_run_is_not_reported_as_not_run(
    #[values(408, 429, 503)] status: u16,
    #[values("/unsafe/", "/stream/", "/safe/", "/resumable/")] path: &str,
) {
    let script = move |_| EngineAction::Answer(status, "failed after the run");
    let first = ScriptedEngine::start("i-1", script).await;
    let second = ScriptedEngine::start("i-2", script).await;
    let fleet = RoutedFleet::start(&[&first, &second]).await;

    let answer = fleet.call(path, "id-1").await;

    assert!(first.count() + second.count() >= 1);
    assert!(!NOT_RUN_STATUSES.contains(&answer.status), "{answer:?}");
    assert!(!answer.headers.contains_key("tarragonknot-server-seal"), "{answer:?}");
}

/// Guards against taking a reply that names no request for the answer to the request just sent.
#[rstest]
#[case::reservation_refused(RESERVATION_REFUSED)]
#[case::reservation_granted(RESERVATION_GRANTED)]
#[case::idle_timeout(IDLE_TIMEOUT)]
#[case::not_run(UNNAMED_NOT_RUN)]
#[case::misdirected(UNNAMED_MISDIRECTED)]
#[case::too_many(UNNAMED_TOO_MANY)]
#[case::not_found(UNNAMED_NOT_FOUND)]
#[tokio::test]
async fn a_reply_that_names_no_request_does_not_prove_that_it_did_not_run(
    #[case] reply: &'static str,
    #[values("/unsafe/", "/stream/")] path: &str,
) {
    let engine = ScriptedEngine::start("i-1", move |_| EngineAction::RunAfterStray(reply)).await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    let answer = fleet.call(path, "id-1").await;

    assert_eq!(engine.count(), 1);
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
}

/// Guards against reading a second reply to a reservation as the answer to the request.
#[rstest]
#[tokio::test]
async fn a_second_reply_to_a_reservation_is_not_the_answer(
    #[values("/unsafe/", "/stream/")] path: &str,
) {
    let script = |_, request: &ReceivedRequest| match request.path.as_str() {
        "/-/hold-take" => EngineAction::Reserve("h-1"),
        _ => EngineAction::RunAfterStray(RESERVATION_REFUSED),
    };
    let engine = ScriptedEngine::start_with_request("i-1", script).await;
    let fleet = RoutedFleet::without_table(&[&engine]).await;
    fleet.apply(1, &document_with_reservations(1));

    let answer = fleet.call(path, "id-1").await;

    assert!(engine.seen().iter().any(|request| request.id == "id-1"));
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
}

#[rstest]
#[case::full(503, "tarragonknot-not-executed: 1\r\n")]
#[case::shed(429, "tarragonknot-not-executed: 1\r\n")]
#[case::other_incarnation(421, "")]
#[tokio::test]
async fn an_answer_that_names_the_request_proves_that_it_did_not_run(
    #[case] status: u16,
    #[case] header: &'static str,
    #[values("/unsafe/", "/stream/")] path: &str,
) {
    let engine =
        ScriptedEngine::start("i-1", move |_| EngineAction::Rejected(status, header)).await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    let answer = fleet.call(path, "id-1").await;

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
}

/// Guards against taking an engine's own 421, sealed after a run, for that of another incarnation.
#[rstest]
#[tokio::test]
async fn a_sealed_421_does_not_prove_that_the_request_did_not_run(
    #[values("/unsafe/", "/stream/")] path: &str,
) {
    let engine =
        ScriptedEngine::start("i-1", |_| EngineAction::Answer(421, "failed after the run")).await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    let answer = fleet.call(path, "id-1").await;

    assert_eq!(engine.count(), 1);
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
}

/// Guards against giving up an engine because of its own 421, sealed after a run.
#[tokio::test]
async fn an_engine_is_used_again_after_a_sealed_421() {
    let engine = ScriptedEngine::start("i-1", |number| match number {
        0 => EngineAction::Answer(421, "failed after the run"),
        _ => EngineAction::Answer(200, "fine"),
    })
    .await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    fleet.call("/unsafe/", "id-1").await;
    fleet.list(&[&engine], VmState::Live);
    let later = fleet.call("/unsafe/", "id-2").await;

    assert_eq!(later.status, StatusCode::OK, "{later:?}");
}

/// Guards against a second run of a request that must not be repeated.
#[rstest]
#[tokio::test]
async fn an_unsafe_request_is_not_sent_again_after_a_failure_that_may_follow_a_run(
    #[values(408, 421, 429, 500, 503)] status: u16,
) {
    let script = move |_| EngineAction::Answer(status, "failed after the run");
    let first = ScriptedEngine::start("i-1", script).await;
    let second = ScriptedEngine::start("i-2", script).await;
    let fleet = RoutedFleet::without_table(&[&first, &second]).await;
    fleet.apply(1, &document(1).replace(r#""max_attempts":1"#, r#""max_attempts":2"#));

    fleet.call("/unsafe/", "id-1").await;

    assert_eq!(first.count() + second.count(), 1);
}

/// Guards against passing on the answer to another request.
#[rstest]
#[case::success(EngineAction::Crossed)]
#[case::not_run(EngineAction::RunAfterStray(OTHER_NOT_RUN))]
#[tokio::test]
async fn an_answer_to_another_request_is_not_passed_on(
    #[case] action: EngineAction,
    #[values("/unsafe/", "/stream/")] path: &str,
) {
    let engine = ScriptedEngine::start("i-1", move |_| action.clone()).await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    let answer = fleet.call(path, "id-1").await;

    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
}

/// Guards against believing an answer that can't name the request, as the caller sent no id.
#[rstest]
#[tokio::test]
async fn an_answer_to_a_request_without_an_id_does_not_prove_that_it_did_not_run(
    #[values(UNNAMED_NOT_RUN, UNNAMED_MISDIRECTED, UNNAMED_TOO_MANY, IDLE_TIMEOUT)]
    reply: &'static str,
) {
    let engine = ScriptedEngine::start("i-1", move |_| EngineAction::RunAfterStray(reply)).await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    let answer = fleet.call_without_id("/unsafe/").await;

    assert_eq!(engine.count(), 1);
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
}

/// Guards against forgetting that the first of two sends may have run.
#[rstest]
#[case::unproven_refusal(EngineAction::Answer(503, "failed after the run"))]
#[case::connection_broken(EngineAction::Close)]
#[case::own_failure(EngineAction::Answer(500, "failed after the run"))]
#[tokio::test]
async fn a_second_send_that_did_not_run_does_not_prove_that_the_first_did_not(
    #[case] first_action: EngineAction,
) {
    let sends = Arc::new(AtomicUsize::new(0));
    let script = |sends: Arc<AtomicUsize>| {
        let first_action = first_action.clone();
        move |_, request: &ReceivedRequest| match request.head.starts_with("GET ") {
            true => EngineAction::Answer(200, "healthy"),
            false if sends.fetch_add(1, Ordering::Relaxed) == 0 => first_action.clone(),
            false => EngineAction::NotRun,
        }
    };
    let first = ScriptedEngine::start_with_request("i-1", script(Arc::clone(&sends))).await;
    let second = ScriptedEngine::start_with_request("i-2", script(Arc::clone(&sends))).await;
    let fleet = RoutedFleet::start(&[&first, &second]).await;

    let answer = fleet.call("/safe/", "id-1").await;

    assert_eq!(sends.load(Ordering::Relaxed), 2, "{answer:?}");
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
}

/// Guards against believing that an engine is gone because of a late answer to another request.
#[tokio::test]
async fn a_late_answer_to_a_request_is_not_the_reply_to_a_reservation() {
    let late = "HTTP/1.1 421 X\r\ntarragonknot-request-id: other\r\ntarragonknot-not-executed: 1\r\n\
                content-length: 0\r\n\r\n";
    let script = move |number, request: &ReceivedRequest| match request.path.as_str() {
        "/-/hold-take" if number == 0 => EngineAction::RunAfterStray(late),
        "/-/hold-take" => EngineAction::Reserve("h-1"),
        _ => EngineAction::Answer(200, "fine"),
    };
    let engine = ScriptedEngine::start_with_request("i-1", script).await;
    let fleet = RoutedFleet::without_table(&[&engine]).await;
    fleet.apply(1, &document_with_reservations(1));

    let answer = fleet.call("/unsafe/", "id-1").await;
    fleet.list(&[&engine], VmState::Live);
    let later = fleet.call("/unsafe/", "id-2").await;

    assert_eq!((answer.status, later.status), (StatusCode::OK, StatusCode::OK), "{later:?}");
}

/// Guards against believing "not run" from an answer with the status of a success.
#[tokio::test]
async fn a_success_does_not_prove_that_the_request_did_not_run() {
    let engine = ScriptedEngine::start("i-1", |_| {
        EngineAction::Rejected(200, "tarragonknot-not-executed: 1\r\n")
    })
    .await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    let answer = fleet.call("/unsafe/", "id-1").await;

    assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
}

/// Guards against a refusal with `ran: no` after an earlier send of the request may have run.
#[tokio::test]
async fn a_key_revoked_between_two_sends_does_not_prove_that_the_first_did_not_run() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Silent).await;
    let fleet = RoutedFleet::start(&[&engine]).await;
    let revoke = async {
        while engine.count() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        fleet.apply(2, &document(2).replace(KEY, "another-key"));
    };

    let (answer, ()) = tokio::join!(fleet.call("/safe/", "id-1"), revoke);

    let problem = answer.body.expect("the body is complete");
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT, "{problem}");
    assert!(problem.contains(r#""ran":"unknown""#), "{problem}");
}

/// Guards against an engine's answer that callers take for a refusal of the daemon.
#[tokio::test]
async fn an_engine_cannot_mark_its_answer_as_a_refusal_of_the_daemon() {
    let engine =
        ScriptedEngine::start("i-1", |_| EngineAction::Rejected(500, "tarragonknot-ran: no\r\n"))
            .await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    let answer = fleet.call("/unsafe/", "id-1").await;

    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR, "{answer:?}");
    assert!(!answer.headers.contains_key("tarragonknot-ran"), "{answer:?}");
}

#[rstest]
#[case::before_admission("/nothing/", "no")]
#[case::after_the_send("/unsafe/", "unknown")]
#[tokio::test]
async fn a_refusal_to_a_caller_of_a_route_is_marked(#[case] path: &str, #[case] ran: &str) {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Close).await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    let answer = fleet.call(path, "id-1").await;

    let mark = answer.headers.get("tarragonknot-ran").map(|value| value.as_bytes());
    assert_eq!(mark, Some(ran.as_bytes()), "{answer:?}");
}

/// Guards against a second run when a route stops allowing repeats between two sends.
#[tokio::test]
async fn a_request_is_not_sent_again_once_its_route_forbids_it() {
    let first = ScriptedEngine::start("i-1", |_| EngineAction::Silent).await;
    let second = ScriptedEngine::start("i-2", |_| EngineAction::Silent).await;
    let fleet = RoutedFleet::start(&[&first, &second]).await;
    let count = || first.count() + second.count();
    let edit = async {
        while count() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        fleet.apply(2, &document(2).replace(r#""kind":"safe""#, r#""kind":"unsafe""#));
    };

    let (answer, ()) = tokio::join!(fleet.call("/safe/", "id-1"), edit);

    assert_eq!(count(), 1);
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT, "{answer:?}");
}

#[test]
fn only_kinds_of_requests_that_did_not_run_have_a_status_that_says_so() {
    let promises = ANSWER_TABLE
        .iter()
        .filter(|row| StatusCode::from_u16(row.status).is_ok_and(promises_not_run));

    let unproven: Vec<_> = promises.filter(|row| row.ran != ExecutionStatus::No).collect();

    assert!(unproven.is_empty(), "{unproven:?}");
}

#[tokio::test]
async fn failed_answers_are_counted_by_what_they_prove() {
    install_metrics();
    let engine = ScriptedEngine::start("i-1", |number| match number {
        0 => EngineAction::Answer(507, "failed after the run"),
        _ => EngineAction::RunAfterStray("HTTP/1.1 506 X\r\ncontent-length: 0\r\n\r\n"),
    })
    .await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    for id in ["id-1", "id-2"] {
        fleet.call("/unsafe/", id).await;
    }
    let page = render_metrics(&fleet.state);

    for (status, echoed_id) in [(507, "own"), (506, "absent")] {
        let row = format!(
            "tarragonknot_failed_answers_total{{status=\"{status}\",echoed_id=\"{echoed_id}\",says_not_run=\"no\"}} 1"
        );
        assert!(page.contains(&row), "{row} in {page}");
    }
}
