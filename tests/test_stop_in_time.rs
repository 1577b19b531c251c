//! Requests that a stopping daemon can't answer before its process is killed.

use crate::raw_engine::request_head;
use crate::routed_fleet::{EngineAction, KEY, RoutedFleet, ScriptedEngine};
use http::StatusCode;
use rstest::rstest;
use std::time::Duration;
use tarragonknot::policy::AnswerTimes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Places of an engine in the tests' table.
const PLACES: usize = 4;
/// Requests at once, more than an engine takes.
const REQUESTS: usize = 40;
/// Time within which a request must arrive at an engine; generous even for a busy machine.
const ARRIVAL_TIME: Duration = Duration::from_secs(60);

/// Begins a stop without time for further answers.
fn stop_at_once(fleet: &RoutedFleet) {
    fleet.state.stop.begin(Duration::ZERO, fleet.state.clock.now());
}

async fn wait_for_requests(engine: &ScriptedEngine, count: usize) {
    let arrival = tokio::time::timeout(ARRIVAL_TIME, async {
        while engine.count() < count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    assert!(arrival.await.is_ok(), "the engine has {} of {count} requests", engine.count());
}

/// Guards against a late request that is passed on and cut when the process is killed.
#[rstest]
#[tokio::test]
async fn a_request_that_cannot_end_in_time_is_not_sent(
    #[values("/safe/a", "/unsafe/a", "/stream/a", "/resumable/a")] path: &str,
) {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Answer(200, "ok")).await;
    let fleet = RoutedFleet::start(&[&engine]).await;
    stop_at_once(&fleet);

    let answer = fleet.call(path, "id-1").await;

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.headers["tarragonknot-ran"], "no");
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(engine.count(), 0);
}

/// Guards against a request that is cut without an answer while its upstream is still at work.
#[rstest]
#[tokio::test]
async fn a_request_at_work_is_answered_before_the_process_is_killed(
    #[values("/safe/a", "/unsafe/a", "/stream/a", "/resumable/a")] path: &str,
) {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Silent).await;
    let fleet = RoutedFleet::start(&[&engine]).await;

    let (answer, ()) = tokio::join!(fleet.call(path, "id-1"), async {
        wait_for_requests(&engine, 1).await;
        stop_at_once(&fleet);
    });

    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(answer.headers["tarragonknot-ran"], "unknown");
}

/// Guards against a request that waits for a place until the process is killed, or that gets one late.
#[tokio::test]
async fn a_waiting_request_is_refused_before_the_process_is_killed() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Silent).await;
    let fleet = RoutedFleet::start(&[&engine]).await;
    let ids: Vec<String> = (0..REQUESTS).map(|number| format!("id-{number}")).collect();

    let calls = futures_util::future::join_all(ids.iter().map(|id| fleet.call("/unsafe/a", id)));
    let (answers, ()) = tokio::join!(calls, async {
        wait_for_requests(&engine, PLACES).await;
        stop_at_once(&fleet);
    });

    let not_run: Vec<&String> = ids
        .iter()
        .zip(&answers)
        .filter(|(_, answer)| answer.headers["tarragonknot-ran"] == "no")
        .map(|(id, _)| id)
        .collect();
    let seen = engine.seen();
    let sent: Vec<&str> =
        seen.iter().filter_map(|request| request.header("tarragonknot-request-id")).collect();
    let bodies = answers.iter().filter_map(|answer| answer.body.as_deref());
    assert!(bodies.filter(|body| body.contains("draining")).count() > 0, "{answers:?}");
    assert!(not_run.iter().all(|id| !sent.contains(&id.as_str())), "{sent:?} of {not_run:?}");
}

/// Guards against a request whose head came before the stop, and whose body ends too late.
#[tokio::test]
async fn a_request_whose_body_is_late_is_refused_unsent() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Answer(200, "ok")).await;
    let fleet = RoutedFleet::start(&[&engine]).await;
    let mut stream = TcpStream::connect(fleet.front.address).await.expect("the daemon listens");
    let head = request_head("/unsafe/a", "id-1", KEY, 60_000, 2);
    stream.write_all(head.as_bytes()).await.expect("the head is written");
    stream.write_all(b"a").await.expect("half of the body is written");

    stop_at_once(&fleet);
    let mut answer = vec![0; 4 << 10];
    let length = stream.read(&mut answer).await.expect("the connection is open");

    let text = String::from_utf8_lossy(&answer[..length]).to_lowercase();
    assert!(text.starts_with("http/1.1 503"), "{text}");
    assert!(text.contains("tarragonknot-ran: no"), "{text}");
    assert_eq!(engine.count(), 0);
}

/// Guards against answers that take much longer than the usual one and are sent all the same.
#[test]
fn the_upper_estimate_covers_the_slow_answers_of_a_route() {
    let mut times = AnswerTimes::default();
    let unknown = times.upper_estimate();
    for _ in 0..50 {
        times.record(Duration::from_millis(400));
        times.record(Duration::from_millis(1_000));
    }

    let estimate = times.upper_estimate().expect("answers were recorded");

    assert_eq!(unknown, None);
    assert!((Duration::from_millis(1_000)..Duration::from_millis(3_000)).contains(&estimate));
}
