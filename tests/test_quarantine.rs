//! Quarantine of requests that crash engines, and unaffected service of other requests.

use crate::crashing_engines::{CrashingEngines, POISON_BODY};
use crate::fixtures::{AGENTS_KEY, small_fleet, upstream};
use crate::routed_fleet::{EngineAction, ScriptedEngine};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rstest::rstest;
use std::time::Duration;
use tarragonknot::answer::{AnswerKind, ExecutionStatus, ProblemBody};
use tarragonknot::quarantine::{RequestContent, RequestFingerprint};

/// Maximum number of sends of a crashing content: three before the fleet quarantines it, and three
/// after that.
const MAX_POISON_SENDS: usize = 3 + 3;
/// Attempts of the caller: enough to crash 12 engines if each attempt crashes one.
const ATTEMPT_COUNT: usize = 12;

/// Guards against one caller's request crashing the engines of a pool one after another, in pairs
/// 0.1 s apart, while users' streams break off or are refused. The request crashes the engine that
/// starts to run it; its daemon sends it, or the rest of its stream, to a second engine, which
/// crashes too; the caller retries it under another id through another daemon, which treats it as
/// new. This happens if each daemon keeps crashes by attempt id and for itself: no daemon ever
/// counts more than two crashes for one content, and only the sum over the fleet shows that it ran
/// on every engine that crashed. In the logs of the incident, one or two requests on each crashed
/// engine had no event yet, with different ids, and no id occurred more than twice. The only poison
/// content of this test is one body, and each send of it crashes an engine, on whichever daemon.
#[rstest]
#[case::resumed_stream("/resumable/x", EngineAction::CrashAfter(1, 2))]
#[case::stream_without_an_event("/resumable/x", EngineAction::Crash)]
#[case::stream_that_may_run_once("/stream/x", EngineAction::CrashAfter(1, 1))]
#[case::safe("/safe/x", EngineAction::Crash)]
#[case::unsafe_that_may_run_once("/unsafe/x", EngineAction::Crash)]
#[tokio::test]
async fn a_request_that_ends_engines_is_held_back_by_all_daemons(
    #[case] path: &str,
    #[case] poison_move: EngineAction,
) {
    let mut park = CrashingEngines::start(poison_move).await;

    for number in 0..ATTEMPT_COUNT {
        park.attempt(number, path, POISON_BODY).await;
    }

    let (sends, crashed) = (park.poison_request_count(), park.crashed_count());
    assert!(sends <= MAX_POISON_SENDS, "{sends} sends, {crashed} engines crashed");
    for number in 0..3 {
        let answer = park.attempt(number, path, "sound").await;
        assert_eq!(answer.status, StatusCode::OK, "daemon {number}");
    }
}

/// The refusal of quarantined content states that it has not run, why, and for how long it is
/// refused.
#[tokio::test]
async fn a_request_that_is_held_back_is_refused_truthfully() {
    let mut park = CrashingEngines::start(EngineAction::Crash).await;
    for number in 0..3 {
        park.attempt(number, "/unsafe/x", POISON_BODY).await;
    }

    let answer = park.attempt(3, "/unsafe/x", POISON_BODY).await;

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let body = answer.body.expect("a complete body");
    let problem: ProblemBody = serde_json::from_str(&body).expect("a problem document");
    assert_eq!((problem.kind, problem.ran), (AnswerKind::Quarantined, ExecutionStatus::No));
    let retry_after = answer.headers["retry-after"].to_str().expect("text").parse::<f64>();
    assert!(retry_after.expect("seconds") > 500.0, "remaining time of a ten-minute quarantine");
    assert_eq!(park.poison_request_count(), 3);
}

/// Guards against clearing a request that crashes engines because one of them failed before.
#[tokio::test]
async fn a_failure_does_not_clear_a_request_that_crashes_engines() {
    let mut park = CrashingEngines::start(EngineAction::Answer(500, "busy")).await;
    park.attempt(0, "/unsafe/x", POISON_BODY).await;
    park.crash_from_now_on().await;

    for number in 1..ATTEMPT_COUNT {
        park.attempt(number, "/unsafe/x", POISON_BODY).await;
    }

    assert!(park.crashed_count() <= 3, "{} engines crashed", park.crashed_count());
}

fn fingerprint_of(body: &str) -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        organisation: "agents",
        method: "POST",
        host: "pack-api",
        path: "/x",
        body: body.as_bytes(),
    })
}

/// The native interface, which reaches upstreams by another path, quarantines requests as well.
#[tokio::test]
async fn the_products_own_interface_holds_the_request_back_too() {
    let mut engines = Vec::new();
    for number in 0..8 {
        engines.push(ScriptedEngine::start(&format!("s-{number}"), |_| EngineAction::Crash).await);
    }
    let fleet = small_fleet(|table| {
        table.upstreams.retain(|row| row.service.as_str() != "pack-api");
        let rows = engines.iter().map(|engine| upstream(&engine.name, "pack-api", engine.address));
        table.upstreams.extend(rows);
    })
    .await;
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();

    let mut kinds = Vec::new();
    for number in 0..8 {
        let request = Request::post(format!("http://{}/pack-api/x", fleet.front.address))
            .header("authorization", format!("Bearer {AGENTS_KEY}"))
            .header("x-note", number.to_string())
            .body(Full::new(Bytes::from_static(POISON_BODY.as_bytes())))
            .expect("a request");
        let response = client.request(request).await.expect("an answer");
        let body = response.into_body().collect().await.expect("a body").to_bytes();
        let problem: ProblemBody = serde_json::from_slice(&body).expect("a problem document");
        kinds.push(problem.kind);
        // The daemon probes the engine's address shortly after it answers the caller.
        let crashed = engines.iter().filter(|engine| engine.has_ended()).count();
        for _ in 0..500 {
            if fleet.state.quarantine.crashes(fingerprint_of(POISON_BODY)) >= crashed {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    let sends: usize = engines.iter().map(ScriptedEngine::count).sum();
    assert_eq!(sends, 3, "{kinds:?}");
    assert_eq!(kinds[3..], [AnswerKind::Quarantined; 5], "{kinds:?}");
}
