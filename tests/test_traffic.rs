//! One daemon between HTTP callers and stand-in upstreams, over loopback.

use crate::fixtures::{AGENTS_KEY, STAFF_KEY, small_fleet};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::sync::Arc;
use tarragonknot::answer::{AnswerKind, ExecutionStatus, ProblemBody};
use tarragonknot::daemon::start_background_tasks;
use tarragonknot::policy::Moment;
use tarragonknot::settings::DaemonSettings;
use tarragonknot::table::LimitMode;

struct CallerAnswer {
    status: StatusCode,
    body: Result<String, String>,
}

impl CallerAnswer {
    fn text(&self) -> &str {
        self.body.as_deref().expect("the body is complete")
    }

    fn problem(&self) -> ProblemBody {
        serde_json::from_str(self.text()).expect("the body is a problem document")
    }
}

async fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> CallerAnswer {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    if let Some(key) = key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    let request = request.body(Full::from(body.to_owned())).unwrap();
    let response = client.request(request).await.expect("the request gets a response");
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|error| error.to_string());
    CallerAnswer {
        status,
        body: body.map(|body| String::from_utf8(body.to_bytes().to_vec()).unwrap()),
    }
}

fn chat(stream: bool, tokens: u32) -> String {
    format!(
        r#"{{"model":"pack-llm","stream":{stream},"max_tokens":{tokens},"messages":[{{"role":"user","content":"list of nonce-1"}}]}}"#
    )
}

fn streamed_text(tokens: u32) -> Vec<String> {
    (1..=tokens).map(|number| format!("nonce-1:{number} ")).collect()
}

#[tokio::test]
async fn a_streamed_answer_arrives_whole_and_in_order() {
    let fleet = small_fleet(|_| {}).await;

    let answer = call(
        fleet.front.address,
        "POST",
        "/v1/chat/completions",
        Some(AGENTS_KEY),
        &chat(true, 20),
    )
    .await;

    assert_eq!(answer.status, StatusCode::OK);
    let text = answer.text();
    let positions: Vec<Option<usize>> =
        streamed_text(20).iter().map(|piece| text.find(piece.as_str())).collect();
    assert!(positions.iter().all(Option::is_some), "{text}");
    assert!(positions.is_sorted());
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    assert!(fleet.engine.dispatches().values().all(|count| *count == 1));
}

#[tokio::test]
async fn a_whole_answer_arrives_whole() {
    let fleet = small_fleet(|_| {}).await;

    let answer =
        call(fleet.front.address, "POST", "/v1/chat/completions", Some(STAFF_KEY), &chat(false, 8))
            .await;

    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.text().contains(&streamed_text(8).concat()));
}

#[tokio::test]
async fn a_plain_call_passes_method_path_and_body() {
    let fleet = small_fleet(|_| {}).await;

    let answer =
        call(fleet.front.address, "POST", "/pack-api/slots/9?day=2", Some(AGENTS_KEY), "van").await;

    assert_eq!(answer.status, StatusCode::OK);
    let echo: serde_json::Value = serde_json::from_str(answer.text()).unwrap();
    assert_eq!(echo["method"], "POST");
    assert_eq!(echo["path"], "/slots/9?day=2");
    assert_eq!(echo["body"], "van");
}

#[rstest::rstest]
#[case::no_key(None, "/pack-api/x", 401, AnswerKind::KeyMissing)]
#[case::wrong_key(Some("guess"), "/pack-api/x", 401, AnswerKind::KeyUnknown)]
#[case::foreign_service(Some(STAFF_KEY), "/pack-api/x", 403, AnswerKind::NotAllowed)]
#[case::unknown_service(Some(AGENTS_KEY), "/nothing/x", 404, AnswerKind::ServiceUnknown)]
#[case::model_by_path(Some(AGENTS_KEY), "/pack-llm/x", 404, AnswerKind::ServiceUnknown)]
#[tokio::test]
async fn refusals_before_admission_name_their_kind(
    #[case] key: Option<&str>,
    #[case] path: &str,
    #[case] status: u16,
    #[case] kind: AnswerKind,
) {
    let fleet = small_fleet(|_| {}).await;

    let answer = call(fleet.front.address, "GET", path, key, "").await;

    assert_eq!(answer.status.as_u16(), status);
    assert_eq!(answer.problem().kind, kind);
    assert_eq!(answer.problem().ran, ExecutionStatus::No);
    assert!(fleet.service.runs().is_empty());
}

/// Guards against a daemon that is cut off from the leader but still dispatches queued requests.
/// The lease expires while a request is queued, and the floor keeps changing, so that no report is
/// ever answered or timed out. Checking the lease only after a failed report misses the expiry.
#[tokio::test]
async fn what_waits_is_refused_once_the_lease_has_run_out() {
    let fleet = small_fleet(|table| {
        table.services[0].first_guess = 1;
        table.services[0].limit = LimitMode::Fixed;
    })
    .await;
    let settings = r#"{"daemon": "entry-1", "data_centre": "hall-a", "callers": "127.0.0.1:0",
        "control": "127.0.0.1:0", "fleet_key_file": "key", "peers": [{"daemon": "entry-2", "control": "127.0.0.1:1"}]}"#;
    start_background_tasks(Arc::clone(&fleet.state), &DaemonSettings::read(settings).unwrap());
    let address = fleet.front.address;
    let (long, short) = (chat(true, 4_000), chat(false, 1));
    let running = tokio::spawn(async move {
        call(address, "POST", "/v1/chat/completions", Some(AGENTS_KEY), &long).await
    });
    let pool = fleet.state.pool(&"pack-llm".into()).unwrap();
    while pool.status().running == 0 {
        tokio::task::yield_now().await;
    }
    let waiting = tokio::spawn(async move {
        call(address, "POST", "/v1/chat/completions", Some(AGENTS_KEY), &short).await
    });
    while pool.status().waiting == 0 {
        tokio::task::yield_now().await;
    }

    fleet.state.set_current_until(Moment(0));
    let answer = waiting.await.unwrap();

    let problem = answer.problem();
    assert_eq!((problem.kind, problem.ran), (AnswerKind::TableStale, ExecutionStatus::No));
    assert_eq!(pool.status().waiting, 0);
    running.abort();
}
