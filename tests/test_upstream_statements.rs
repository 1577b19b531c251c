//! What upstreams say of themselves in their answers: that they ask for rest, or leave.

use crate::routed_fleet::{ConnectionEnd, EngineAction, RoutedFleet, ScriptedEngine};
use futures_util::future::join_all;
use http::StatusCode;
use rstest::rstest;
use std::time::Duration;
use tarragonknot::upstream::VmState;

/// Requests after the statement, and how many of them are sent at a time: more than one engine has
/// places for.
const CALLS: usize = 60;
const CONCURRENT_CALLS: usize = 6;
/// Time limit for daemons to learn from each other; generous even for a busy machine.
const LEARN_TIME: Duration = Duration::from_secs(30);
/// Requests that an upstream may get in spite of its rest.
const MAX_REQUESTS_AT_REST: usize = 2;

fn sound_answer(path: &str) -> EngineAction {
    match path.starts_with("/stream") || path.starts_with("/resum") {
        true => EngineAction::Events(1, 3),
        false => EngineAction::Answer(200, "fine"),
    }
}

/// An engine whose first request is answered with `first`.
async fn engine(name: &str, first: EngineAction) -> ScriptedEngine {
    ScriptedEngine::start_with_request(name, move |number, request| match number {
        _ if request.head.starts_with("GET ") => EngineAction::Answer(200, "ok"),
        0 => first.clone(),
        _ => sound_answer(&request.path),
    })
    .await
}

/// Sends requests in batches, calls `before` before each, and returns how many are served.
async fn count_served(fleet: &RoutedFleet, path: &str, before: impl Fn()) -> usize {
    let mut served = 0;
    for batch in 0..CALLS / CONCURRENT_CALLS {
        before();
        let ids: Vec<String> =
            (0..CONCURRENT_CALLS).map(|number| format!("later-{batch}-{number}")).collect();
        let answers = join_all(ids.iter().map(|id| fleet.call(path, id))).await;
        served += answers.iter().filter(|answer| answer.status == StatusCode::OK).count();
    }
    served
}

/// Guards against requests to an upstream that has turned one away and asked for rest.
#[rstest]
#[tokio::test]
async fn an_upstream_that_asks_for_rest_gets_no_more_requests(
    #[values("/safe/", "/unsafe/", "/stream/", "/resumable/")] path: &str,
    #[values("retry-after: 600\r\n", "Retry-After: 599.5\r\n")] header: &'static str,
) {
    let header = format!("tarragonknot-not-executed: 1\r\n{header}").leak();
    let resting = engine("i-1", EngineAction::Rejected(503, header)).await;
    let other = engine("i-2", sound_answer(path)).await;
    let fleet = RoutedFleet::start(&[&resting]).await;
    fleet.call(path, "first").await;
    fleet.list(&[&resting, &other], VmState::Live);

    let served = count_served(&fleet, path, || {}).await;

    assert_eq!(served, CALLS);
    assert!(resting.count() <= 1 + MAX_REQUESTS_AT_REST, "{} requests", resting.count());
}

/// Guards against callers held to their deadline, or sent on, while all upstreams rest.
#[tokio::test]
async fn callers_are_refused_with_the_time_left_while_all_upstreams_rest() {
    let header = "tarragonknot-not-executed: 1\r\nretry-after: 30\r\n";
    let resting = engine("i-1", EngineAction::Rejected(503, header)).await;
    let fleet = RoutedFleet::start(&[&resting]).await;
    fleet.call("/safe/", "first").await;

    let mut times = Vec::new();
    for number in 0..CALLS {
        let answer = fleet.call("/safe/", &format!("later-{number}")).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        let time = answer.headers["retry-after"].to_str().expect("text").parse::<f64>();
        times.push(time.expect("seconds"));
    }

    assert!(resting.count() <= 1 + MAX_REQUESTS_AT_REST, "{} requests", resting.count());
    assert!(times.iter().all(|time| (10.0..=45.0).contains(time)), "{times:?}");
}

/// Guards against an upstream out of use for what is no request for rest, or none that can be read.
#[rstest]
#[case::without_a_time(503, "tarragonknot-not-executed: 1\r\n")]
#[case::failure_of_its_own(500, "retry-after: 600\r\n")]
#[case::negative(503, "tarragonknot-not-executed: 1\r\nretry-after: -3\r\n")]
#[case::a_date(
    503,
    "tarragonknot-not-executed: 1\r\nretry-after: Fri, 04 Dec 2026 10:00:00 GMT\r\n"
)]
#[case::not_a_number(503, "tarragonknot-not-executed: 1\r\nretry-after: NaN\r\n")]
#[case::no_time(503, "tarragonknot-not-executed: 1\r\nretry-after: 0\r\n")]
#[tokio::test]
async fn upstreams_that_ask_for_no_rest_stay_in_use(
    #[case] status: u16,
    #[case] header: &'static str,
) {
    let engine = engine("i-1", EngineAction::Rejected(status, header)).await;
    let fleet = RoutedFleet::start(&[&engine]).await;
    fleet.call("/unsafe/", "first").await;

    let answer = fleet.call("/unsafe/", "second").await;

    assert_eq!(answer.status, StatusCode::OK);
}

/// An answer whose head says that the engine leaves.
fn leaving_answer(status: u16, header: &str, rest: &str) -> EngineAction {
    let head = format!("HTTP/1.1 {status} X\r\ntarragonknot-request-id: {{id}}\r\n{header}");
    EngineAction::Raw(format!("{head}server-leaving: 1\r\n{rest}"), ConnectionEnd::Stay)
}

const SEAL: &str = "tarragonknot-server-seal: seal-1\r\n";
const EVENTS: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
                      16\r\nid: 1\ndata: piece 1\n\n\r\n0\r\n\r\n";

/// Guards against requests to an upstream that has said that it leaves, in any answer.
#[rstest]
#[case::plain("/safe/", leaving_answer(200, SEAL, "content-length: 4\r\n\r\nfine"))]
#[case::stream("/stream/", leaving_answer(200, SEAL, EVENTS))]
#[case::resumable("/resumable/", leaving_answer(200, SEAL, EVENTS))]
#[case::failure("/unsafe/", leaving_answer(500, SEAL, "content-length: 4\r\n\r\nbusy"))]
#[case::rejection(
    "/unsafe/",
    leaving_answer(503, "tarragonknot-not-executed: 1\r\n", "content-length: 0\r\n\r\n")
)]
#[tokio::test]
async fn an_upstream_that_says_that_it_leaves_gets_no_more_requests(
    #[case] path: &str,
    #[case] answer: EngineAction,
) {
    let leaving = engine("i-1", answer).await;
    let other = engine("i-2", sound_answer(path)).await;
    let fleet = RoutedFleet::start(&[&leaving]).await;
    fleet.call(path, "first").await;

    // The platform lists it as live for some time longer.
    let list = || fleet.list(&[&leaving, &other], VmState::Live);
    let served = count_served(&fleet, path, list).await;

    assert_eq!(served, CALLS);
    assert_eq!(leaving.count(), 1);
}

/// Guards against requests by daemons that have not heard it themselves, as one whose answer came
/// through a peer.
#[tokio::test]
async fn other_daemons_learn_that_an_upstream_leaves() {
    let answer = leaving_answer(200, SEAL, "content-length: 4\r\n\r\nfine");
    let leaving = engine("i-1", answer).await;
    let other = engine("i-2", sound_answer("/safe/")).await;
    let daemons = RoutedFleet::start_peers(3, &[&leaving, &other]).await;
    let index = |daemon: &RoutedFleet| {
        daemon.state.pool(&"pool".into()).and_then(|pool| pool.find(&"i-1".into()))
    };
    let uses = |daemon: &RoutedFleet| {
        let pool = daemon.state.pool(&"pool".into()).expect("the pool exists");
        index(daemon).is_some_and(|upstream| pool.is_in_service(upstream))
    };
    assert!(daemons.iter().all(uses));

    while leaving.count() == 0 {
        count_served(&daemons[0], "/safe/", || {}).await;
    }
    let time_limit = tokio::time::Instant::now() + LEARN_TIME;
    while daemons.iter().any(uses) && tokio::time::Instant::now() < time_limit {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }

    assert!(!daemons.iter().any(uses));
    for daemon in &daemons {
        daemon.list(&[&leaving, &other], VmState::Live);
        assert!(!uses(daemon), "an older list undoes it");
    }
}
