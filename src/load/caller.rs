//! HTTP caller that sends planned requests and checks every answer.

use super::profile::{LoadProfile, PlannedRequest, RequestKind, nonce};
use crate::answer::{AnswerKind, ProblemBody};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::{Request, Response, header};
use http_body_util::{BodyDataStream, BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// The complete answer to this caller's request.
    Whole,
    /// Refused, before or after dispatch.
    Refused(AnswerKind),
    /// The answer was visibly cut off.
    Cut,
    /// The answer ended as if complete but was not, or contained duplicate pieces.
    Wrong(String),
    /// The answer contained pieces of another caller's answer.
    Crossed,
    /// No HTTP response, or an error status without a problem document.
    NoAnswer(String),
}

/// Outcome and times of a call.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Outcome of the call.
    pub outcome: CallOutcome,
    /// Time to the first piece of the answer; for a plain service, to its end.
    pub time_to_first_piece: Option<Duration>,
    /// Mean time between pieces.
    pub mean_gap: Option<Duration>,
    /// Time to the end of the call.
    pub total: Duration,
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
}

/// Sends calls to a daemon.
#[derive(Clone, Debug)]
pub struct LoadCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl LoadCaller {
    /// Creates a caller of the daemon whose caller port is `address`.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client =
            Client::builder(TokioExecutor::new()).pool_max_idle_per_host(1_024).build(connector);
        LoadCaller { client, address }
    }

    /// Sends a planned request and checks its answer.
    pub async fn call(
        &self,
        profile: &LoadProfile,
        planned: &PlannedRequest,
        seed: u64,
    ) -> CallResult {
        let started = Instant::now();
        let nonce = nonce(planned, seed);
        let request = build_request(profile, planned, seed, self.address);
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) => {
                return call_result(
                    CallOutcome::NoAnswer(error.to_string()),
                    started,
                    None,
                    None,
                    None,
                );
            }
        };
        let retry_after = response
            .headers()
            .get(header::RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        if !response.status().is_success() {
            return call_result(read_refusal(response).await, started, None, None, retry_after);
        }
        match profile.classes[planned.class].kind {
            RequestKind::Model => {
                read_stream(response, &nonce, planned.output_tokens, started).await
            }
            RequestKind::Lookup | RequestKind::Booking => {
                let outcome = read_plain_answer(response, &nonce).await;
                let total = started.elapsed();
                call_result(outcome, started, Some(total), None, None)
            }
        }
    }
}

fn call_result(
    outcome: CallOutcome,
    started: Instant,
    time_to_first_piece: Option<Duration>,
    mean_gap: Option<Duration>,
    retry_after: Option<u64>,
) -> CallResult {
    CallResult { outcome, time_to_first_piece, mean_gap, total: started.elapsed(), retry_after }
}

fn build_request(
    profile: &LoadProfile,
    planned: &PlannedRequest,
    seed: u64,
    address: SocketAddr,
) -> Request<Full<Bytes>> {
    let class = &profile.classes[planned.class];
    let nonce = nonce(planned, seed);
    let builder = Request::builder()
        .header("authorization", format!("Bearer {}", profile.key(planned.organisation)))
        .header("tarragonknot-purpose", class.tier)
        .header("tarragonknot-deadline-ms", class.deadline.as_millis().to_string());
    let built = match class.kind {
        RequestKind::Model => {
            let prompt = profile.prompt(planned, seed);
            let messages = json!([{"role": "user", "content": prompt}]);
            let body = json!({"model": profile.model_service, "stream": true, "max_tokens": planned.output_tokens, "messages": messages});
            let uri = format!("http://{address}/v1/chat/completions");
            builder
                .method("POST")
                .uri(uri)
                .header("content-type", "application/json")
                .body(Full::from(body.to_string()))
        }
        RequestKind::Lookup => builder
            .method("GET")
            .uri(format!("http://{address}/{}/catalogue/{nonce}", profile.plain_service))
            .body(Full::default()),
        RequestKind::Booking => {
            let uri = format!("http://{address}/{}/bookings", profile.plain_service);
            builder
                .method("POST")
                .uri(uri)
                .header("idempotency-key", &nonce)
                .body(Full::from(nonce))
        }
    };
    built.unwrap_or_default()
}

async fn read_refusal(response: Response<Incoming>) -> CallOutcome {
    let status = response.status();
    let body = response.into_body().collect().await.map(|body| body.to_bytes());
    let problem: Option<ProblemBody> =
        body.ok().and_then(|body| serde_json::from_slice(&body).ok());
    problem.map_or_else(
        || CallOutcome::NoAnswer(format!("HTTP status {status} without a valid problem document")),
        |problem| CallOutcome::Refused(problem.kind),
    )
}

async fn read_plain_answer(response: Response<Incoming>, nonce: &str) -> CallOutcome {
    let Ok(body) = response.into_body().collect().await else { return CallOutcome::Cut };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    if text.contains(nonce) { CallOutcome::Whole } else { CallOutcome::Crossed }
}

/// Reads a stream piece by piece. Each piece must contain the nonce and the next number, and
/// `[DONE]` must follow the last one.
async fn read_stream(
    response: Response<Incoming>,
    nonce: &str,
    tokens: u32,
    started: Instant,
) -> CallResult {
    let mut events = BodyDataStream::new(response.into_body()).eventsource();
    let mut time_to_first_piece = None;
    let mut last_piece_at = started;
    let mut received = 0u32;
    let outcome = loop {
        match events.next().await {
            Some(Ok(event)) if event.event == "error" => {
                let kind =
                    serde_json::from_str::<ProblemBody>(&event.data).map(|problem| problem.kind);
                break kind.map_or(CallOutcome::Cut, CallOutcome::Refused);
            }
            Some(Ok(event)) if event.data == "[DONE]" => {
                let is_whole = received == tokens;
                break if is_whole {
                    CallOutcome::Whole
                } else {
                    CallOutcome::Wrong(format!("received {received} of {tokens} pieces"))
                };
            }
            Some(Ok(event)) => {
                last_piece_at = Instant::now();
                time_to_first_piece.get_or_insert(last_piece_at - started);
                received += 1;
                match check_piece(&event.data, nonce, received) {
                    Ok(()) => {}
                    Err(outcome) => break outcome,
                }
            }
            Some(Err(_)) => break CallOutcome::Cut,
            None => break CallOutcome::Wrong("the stream ended without [DONE]".to_owned()),
        }
    };
    let mean_gap = time_to_first_piece
        .filter(|_| received > 1)
        .map(|first| (last_piece_at - started - first) / (received - 1));
    call_result(outcome, started, time_to_first_piece, mean_gap, None)
}

fn check_piece(data: &str, nonce: &str, number: u32) -> Result<(), CallOutcome> {
    let chunk: Value =
        serde_json::from_str(data).map_err(|error| CallOutcome::Wrong(error.to_string()))?;
    let text = chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
    match text.trim().split_once(':') {
        Some((word, _)) if word != nonce => Err(CallOutcome::Crossed),
        Some((_, found)) if found == number.to_string() => Ok(()),
        _ => Err(CallOutcome::Wrong(format!("expected piece {number}, found {text}"))),
    }
}
