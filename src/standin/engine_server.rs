//! Stand-in model engine over HTTP: chat and text completions, streamed or not, resume and cancel
//! by request id, load reports, injected faults, and a count of dispatches per request id.

use super::engine_model::{EngineJob, EngineModel, EngineShape, JobId, PrefillLedger};
use super::faults::{FaultPlan, StandinFault};
use axum::body::Body;
use axum::extract::{Path, State};
use axum::routing::{get, post};
use axum::{Json, Router};
use bytes::Bytes;
use futures_util::{StreamExt, future, stream};
use http::{HeaderMap, Response, StatusCode};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;

/// Output tokens if the request sets no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 32;
/// Prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;
/// Age after which a request's record is removed.
const RECORD_LIFETIME: Duration = Duration::from_secs(60);

/// State of a request from which its stream can be resumed at any event.
#[derive(Clone, Debug, Default)]
struct AnswerRecord {
    nonce: String,
    prompt_tokens: u32,
    output_tokens: u32,
    emitted_tokens: u32,
    is_cancelled: bool,
}

impl AnswerRecord {
    fn is_done(&self) -> bool {
        self.emitted_tokens >= self.output_tokens
    }
}

struct KnownRequest {
    job: JobId,
    record: watch::Sender<AnswerRecord>,
    began: Instant,
}

#[derive(Default)]
struct RequestRegistry {
    requests: HashMap<String, KnownRequest>,
    request_ids: HashMap<JobId, String>,
    dispatches: HashMap<String, u32>,
}

/// A running stand-in engine.
pub struct EngineStandin {
    /// The address it listens on.
    pub address: SocketAddr,
    /// Faults to inject into the next requests.
    pub faults: FaultPlan,
    /// Faults to inject into the next requests that resume an answer.
    pub resume_faults: FaultPlan,
    model: Mutex<EngineModel>,
    registry: Mutex<RequestRegistry>,
    ledger: Arc<PrefillLedger>,
    job_submitted: Notify,
    next_job: AtomicU64,
    is_leaving: AtomicBool,
    started: Instant,
    /// Age of the load reports that are served.
    report_lag: Duration,
    reports: Mutex<Vec<(Instant, Value)>>,
}

/// Starts an engine on a free loopback port; it runs until the runtime shuts down.
pub async fn start_engine(
    shape: EngineShape,
    ledger: Arc<PrefillLedger>,
    report_lag: Duration,
) -> io::Result<Arc<EngineStandin>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let engine = Arc::new(EngineStandin {
        address: listener.local_addr()?,
        faults: FaultPlan::default(),
        resume_faults: FaultPlan::default(),
        model: Mutex::new(EngineModel::new(shape)),
        registry: Mutex::default(),
        ledger,
        job_submitted: Notify::new(),
        next_job: AtomicU64::new(1),
        is_leaving: AtomicBool::new(false),
        started: Instant::now(),
        report_lag,
        reports: Mutex::default(),
    });
    let router = Router::new()
        .route("/v1/chat/completions", post(complete))
        .route("/v1/completions", post(complete))
        .route("/v1/requests/{id}", get(resume).delete(cancel))
        .route("/load", get(load))
        .with_state(Arc::clone(&engine));
    tokio::spawn(async move { axum::serve(listener, router).await });
    tokio::spawn(run_steps(Arc::clone(&engine)));
    Ok(engine)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EngineStandin {
    /// Returns the number of dispatches to this engine per request id.
    pub fn dispatches(&self) -> HashMap<String, u32> {
        lock(&self.registry).dispatches.clone()
    }

    /// Multiplies the duration of every step by `factor`.
    pub fn set_slowness(&self, factor: f64) {
        lock(&self.model).slowness = factor;
    }

    /// Marks the engine as leaving in its load reports.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Release);
    }

    /// Returns the number of running and waiting jobs.
    pub fn job_count(&self) -> usize {
        let model = lock(&self.model);
        model.running_count() + model.queued_count()
    }

    fn report(&self) -> Value {
        let model = lock(&self.model);
        json!({"named_metrics": {
            "running": model.running_count(),
            "queued": model.queued_count(),
            "step_us": model.last_step_micros(),
            "stamp_us": self.started.elapsed().as_micros() as u64,
            "leaving": u8::from(self.is_leaving.load(Ordering::Acquire)),
        }})
    }

    /// Returns the newest report that is at least as old as the lag, else the oldest one.
    fn delayed_report(&self) -> Value {
        let report = self.report();
        if self.report_lag.is_zero() {
            return report;
        }
        let mut reports = lock(&self.reports);
        let now = Instant::now();
        reports.push((now, report));
        let old = reports.iter().rposition(|(at, _)| now - *at >= self.report_lag).unwrap_or(0);
        reports.drain(..old);
        reports[0].1.clone()
    }

    fn start_job(&self, id: &str, body: &Value) -> watch::Receiver<AnswerRecord> {
        let prompt = prompt_text(body);
        let limit = body
            .get("max_tokens")
            .or_else(|| body.get("max_completion_tokens"))
            .and_then(Value::as_u64);
        let record = AnswerRecord {
            nonce: prompt.split_whitespace().last().unwrap_or_default().to_owned(),
            prompt_tokens: prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u32,
            output_tokens: limit
                .map_or(DEFAULT_OUTPUT_TOKENS, |limit| limit.clamp(1, 100_000) as u32),
            ..AnswerRecord::default()
        };
        let job = JobId(self.next_job.fetch_add(1, Ordering::Relaxed));
        let engine_job = EngineJob {
            id: job,
            prompt_tokens: record.prompt_tokens,
            blocks: crate::policy::prefix_hashes(prompt.as_bytes()),
            output_tokens: record.output_tokens,
        };
        let (sender, receiver) = watch::channel(record);
        let mut registry = lock(&self.registry);
        *registry.dispatches.entry(id.to_owned()).or_default() += 1;
        registry.request_ids.insert(job, id.to_owned());
        registry.requests.retain(|_, known| known.began.elapsed() < RECORD_LIFETIME);
        registry
            .requests
            .insert(id.to_owned(), KnownRequest { job, record: sender, began: Instant::now() });
        drop(registry);
        lock(&self.model).submit(engine_job);
        self.job_submitted.notify_one();
        receiver
    }

    fn cancel_job(&self, id: &str) -> bool {
        let Some(known) = lock(&self.registry).requests.remove(id) else { return false };
        lock(&self.model).cancel(known.job, &self.ledger);
        known.record.send_modify(|record| record.is_cancelled = true);
        true
    }

    fn record_step(&self, emitted: &[JobId]) {
        let registry = lock(&self.registry);
        for job in emitted {
            let known = registry.request_ids.get(job).and_then(|id| registry.requests.get(id));
            known
                .into_iter()
                .for_each(|known| known.record.send_modify(|record| record.emitted_tokens += 1));
        }
    }
}

async fn run_steps(engine: Arc<EngineStandin>) {
    loop {
        let step = lock(&engine.model).step(&engine.ledger);
        match step {
            Some(step) => {
                tokio::time::sleep(Duration::from_micros(step.micros)).await;
                engine.record_step(&step.emitted);
            }
            None => engine.job_submitted.notified().await,
        }
    }
}

fn prompt_text(body: &Value) -> String {
    let messages = body.get("messages").and_then(Value::as_array).into_iter().flatten();
    let contents = messages.filter_map(|message| message.get("content").and_then(Value::as_str));
    let prompt = body.get("prompt").and_then(Value::as_str);
    contents.chain(prompt).collect::<Vec<&str>>().concat()
}

async fn complete(
    State(engine): State<Arc<EngineStandin>>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response<Body> {
    let id = headers
        .get("x-request-id")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("none")
        .to_owned();
    let wants_stream = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
    let fault = engine.faults.next();
    let record = engine.start_job(&id, &body);
    match fault {
        StandinFault::Reset => {
            engine.cancel_job(&id);
            return reset_response(&id);
        }
        StandinFault::Refused(status) => return refusal(status),
        StandinFault::Delayed(time) => tokio::time::sleep(time).await,
        _ => {}
    }
    let echoed_id = if fault == StandinFault::Crossed { "another-request".to_owned() } else { id };
    match wants_stream {
        true => stream_response(record, echoed_id, 0, fault),
        false => whole_response(record, echoed_id, fault).await,
    }
}

/// A response whose body fails at once, which resets the connection.
fn reset_response(id: &str) -> Response<Body> {
    let frames = vec![Err::<Bytes, io::Error>(io::Error::from(io::ErrorKind::ConnectionReset))];
    let mut response = Response::new(Body::from_stream(tokio_stream::iter(frames)));
    response
        .headers_mut()
        .insert("content-type", http::HeaderValue::from_static("text/event-stream"));
    echo_id(&mut response, id);
    response
}

fn refusal(status: u16) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}

fn echo_id(response: &mut Response<Body>, id: &str) {
    if let Ok(value) = http::HeaderValue::from_str(id) {
        response.headers_mut().insert("x-request-id", value);
    }
}

fn chunk(record: &AnswerRecord, id: &str, number: u64) -> Value {
    let is_last = number == u64::from(record.output_tokens);
    let mut chunk = json!({
        "id": id,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": format!("{}:{number} ", record.nonce)},
            "finish_reason": if is_last { Some("stop") } else { None }}],
    });
    if is_last {
        chunk["usage"] = json!({"prompt_tokens": record.prompt_tokens, "completion_tokens": record.output_tokens});
    }
    chunk
}

fn stream_response(
    record: watch::Receiver<AnswerRecord>,
    id: String,
    last_event_id: u64,
    fault: StandinFault,
) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(16);
    let mut response = Response::new(Body::from_stream(ReceiverStream::new(receiver)));
    response
        .headers_mut()
        .insert("content-type", http::HeaderValue::from_static("text/event-stream"));
    echo_id(&mut response, &id);
    tokio::spawn(send_chunks(record, id, last_event_id, fault, sender));
    response
}

async fn send_chunks(
    mut record: watch::Receiver<AnswerRecord>,
    id: String,
    last_event_id: u64,
    mut fault: StandinFault,
    sender: mpsc::Sender<io::Result<Bytes>>,
) {
    let mut sent = last_event_id;
    loop {
        let state = record.borrow_and_update().clone();
        while sent < u64::from(state.emitted_tokens) {
            if fault == StandinFault::Truncated(sent) {
                let _ = sender.send(Err(io::Error::from(io::ErrorKind::ConnectionReset))).await;
                return;
            }
            match fault {
                StandinFault::TruncatedLate(after, time) if after == sent => {
                    tokio::time::sleep(time).await;
                    let _ = sender.send(Err(io::Error::from(io::ErrorKind::ConnectionReset))).await;
                    return;
                }
                StandinFault::Silent(after) if after == sent => return sender.closed().await,
                StandinFault::Paused(after, time) if after == sent => {
                    fault = StandinFault::None;
                    tokio::time::sleep(time).await;
                }
                _ => {}
            }
            sent += 1;
            let text = Bytes::from(format!("id: {sent}\ndata: {}\n\n", chunk(&state, &id, sent)));
            let copies = if fault == StandinFault::Duplicated { 2 } else { 1 };
            for _ in 0..copies {
                if sender.send(Ok(text.clone())).await.is_err() {
                    return;
                }
            }
        }
        if state.is_done() {
            let _ = sender.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
            return;
        }
        if state.is_cancelled || record.changed().await.is_err() {
            let _ = sender.send(Err(io::Error::from(io::ErrorKind::ConnectionReset))).await;
            return;
        }
    }
}

async fn whole_response(
    mut record: watch::Receiver<AnswerRecord>,
    id: String,
    fault: StandinFault,
) -> Response<Body> {
    let done = record
        .wait_for(|record| record.is_done() || record.is_cancelled)
        .await
        .map(|record| record.clone());
    let state = match done {
        Ok(state) if state.is_done() => state,
        _ => return reset_response(&id),
    };
    let text: String =
        (1..=state.output_tokens).map(|number| format!("{}:{number} ", state.nonce)).collect();
    let answer = json!({
        "id": id,
        "object": "chat.completion",
        "choices": [{"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": "stop"}],
        "usage": {"prompt_tokens": state.prompt_tokens, "completion_tokens": state.output_tokens},
    });
    let bytes = Bytes::from(answer.to_string());
    let body = match fault {
        StandinFault::Silent(_) => Body::from_stream(tokio_stream::pending::<io::Result<Bytes>>()),
        StandinFault::Paused(_, time) => {
            let (half, rest) = (bytes.slice(..bytes.len() / 2), bytes.slice(bytes.len() / 2..));
            let rest = async move {
                tokio::time::sleep(time).await;
                Ok(rest)
            };
            let half = stream::once(future::ready(Ok::<Bytes, io::Error>(half)));
            Body::from_stream(half.chain(stream::once(rest)))
        }
        StandinFault::Truncated(_) => {
            let half = bytes.slice(..bytes.len() / 2);
            Body::from_stream(tokio_stream::iter(vec![
                Ok(half),
                Err(io::Error::from(io::ErrorKind::ConnectionReset)),
            ]))
        }
        _ => Body::from(bytes),
    };
    let mut response = Response::new(body);
    response
        .headers_mut()
        .insert("content-type", http::HeaderValue::from_static("application/json"));
    echo_id(&mut response, &id);
    response
}

async fn resume(
    State(engine): State<Arc<EngineStandin>>,
    Path(id): Path<String>,
    headers: HeaderMap,
) -> Response<Body> {
    let fault = engine.resume_faults.next();
    match fault {
        StandinFault::Refused(status) => return refusal(status),
        StandinFault::Reset => return reset_response(&id),
        StandinFault::Delayed(time) => tokio::time::sleep(time).await,
        _ => {}
    }
    let record = lock(&engine.registry).requests.get(&id).map(|known| known.record.subscribe());
    let Some(record) = record else { return refusal(404) };
    let text =
        |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let last_event_id = text("last-event-id").parse().unwrap_or(0);
    let id = if fault == StandinFault::Crossed { "another-request".to_owned() } else { id };
    match text("accept") {
        "application/json" => whole_response(record, id, fault).await,
        _ => stream_response(record, id, last_event_id, fault),
    }
}

async fn cancel(State(engine): State<Arc<EngineStandin>>, Path(id): Path<String>) -> StatusCode {
    if engine.cancel_job(&id) { StatusCode::NO_CONTENT } else { StatusCode::NOT_FOUND }
}

async fn load(State(engine): State<Arc<EngineStandin>>) -> Json<Value> {
    Json(engine.delayed_report())
}
