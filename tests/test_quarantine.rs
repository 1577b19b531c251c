//! Requests under which engines end, and those that only were there.

use crate::crashing_engines::{CrashingEngines, POISON_BODY};
use crate::fixtures::{AGENTS_KEY, small_fleet, upstream};
use crate::routed_fleet::{EngineMove, ScriptedEngine};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rstest::rstest;
use std::time::Duration;
use tarragonknot::answer::{AnswerKind, ExecutionStatus, ProblemBody};
use tarragonknot::quarantine::{RequestContent, RequestFingerprint};

/// Engines that one content may end before the whole fleet holds it back, and sends of it after that.
const MOST_SENDS: usize = 3 + 3;
/// Attempts of the caller: enough for 12 engines where each ends one.
const ATTEMPTS: usize = 12;

/// Symptom: users' drafts break off or are refused, and engines of one pool end in rows, in pairs 0.1 s apart, as long as
/// one caller goes on. Order of events: a request ends the engine that begins to run it; its daemon sends it, or the
/// rest of its stream, to a second engine, which ends too; its caller sends it again under another id to another daemon,
/// which takes it for new; and so on. Cause: what a daemon learns of a request goes with that attempt's id, and each
/// daemon learns for itself, so that nobody ever holds more than two ends against one content, while only the fleet's
/// sum shows that it was on every engine that ended. Evidence: in the incident's logs one or two requests of each engine
/// that ended had no event yet, of another id each time, twice for one id and never more often; in this test, whose
/// only poison content is one body, each of its sends ends an engine, on whichever daemon.
#[rstest]
#[case::resumed_stream("/resumable/x", EngineMove::CrashAfter(1, 2))]
#[case::stream_without_an_event("/resumable/x", EngineMove::Crash)]
#[case::stream_that_may_run_once("/stream/x", EngineMove::CrashAfter(1, 1))]
#[case::safe("/safe/x", EngineMove::Crash)]
#[case::unsafe_that_may_run_once("/unsafe/x", EngineMove::Crash)]
#[tokio::test]
async fn a_request_that_ends_engines_is_held_back_by_all_daemons(
    #[case] path: &str,
    #[case] poison_move: EngineMove,
) {
    let mut park = CrashingEngines::start(poison_move).await;

    for number in 0..ATTEMPTS {
        park.attempt(number, path, POISON_BODY).await;
    }

    let (sends, ended) = (park.poison_request_count(), park.crashed_count());
    assert!(sends <= MOST_SENDS, "{sends} sends, {ended} engines ended");
    for number in 0..3 {
        let answer = park.attempt(number, path, "sound").await;
        assert_eq!(answer.status, StatusCode::OK, "daemon {number}");
    }
}

/// What callers of content that is held back are told: that it has not run, why, and for how long.
#[tokio::test]
async fn a_request_that_is_held_back_is_refused_truthfully() {
    let mut park = CrashingEngines::start(EngineMove::Crash).await;
    for number in 0..3 {
        park.attempt(number, "/unsafe/x", POISON_BODY).await;
    }

    let answer = park.attempt(3, "/unsafe/x", POISON_BODY).await;

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let body = answer.body.expect("a whole body");
    let problem: ProblemBody = serde_json::from_str(&body).expect("a problem document");
    assert_eq!((problem.kind, problem.ran), (AnswerKind::Quarantined, ExecutionStatus::No));
    let returns = answer.headers["retry-after"].to_str().expect("text").parse::<f64>();
    assert!(returns.expect("seconds") > 500.0, "what is left of ten minutes");
    assert_eq!(park.poison_request_count(), 3);
}

fn request_of(body: &str) -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        organisation: "agents",
        method: "POST",
        host: "pack-api",
        path: "/x",
        body: body.as_bytes(),
    })
}

/// The product's own interface: the same through another way to upstreams.
#[tokio::test]
async fn the_products_own_interface_holds_the_request_back_too() {
    let mut engines = Vec::new();
    for number in 0..8 {
        engines.push(ScriptedEngine::start(&format!("s-{number}"), |_| EngineMove::Crash).await);
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
        // The look at the engine's address comes a moment after the caller's answer.
        let ended = engines.iter().filter(|engine| engine.has_ended()).count();
        for _ in 0..500 {
            if fleet.state.quarantine.crashes(request_of(POISON_BODY)) >= ended {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    let sends: usize = engines.iter().map(ScriptedEngine::count).sum();
    assert_eq!(sends, 3, "{kinds:?}");
    assert_eq!(kinds[3..], [AnswerKind::Quarantined; 5], "{kinds:?}");
}
