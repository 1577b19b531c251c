//! A poison request, which crashes every engine that starts to execute it, and the caller that
//! sends it repeatedly.

use crate::callers::{FREE_KEY, ROUTE_HOST};
use crate::context::{AddressKind, CALLERS_PORT, SentRequest, SoakContext};
use crate::engines;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Body that identifies the poison request; no other caller sends it.
const POISON_BODY: &str = "poison";
/// Pause between two attempts while faults are injected.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(700);
/// Deadline that the caller sends.
const REQUEST_DEADLINE: Duration = Duration::from_millis(1_500);
/// Time after which a crashed engine is replaced.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(300);
/// Time without faults within which all entries learn of the crashed engines.
const QUARANTINE_SPREAD_TIME: Duration = Duration::from_secs(3);
/// Number of engines that may crash before the request is quarantined, and of executions that may
/// still follow.
const MAX_CRASHED_ENGINES: u32 = 3;
const MAX_LATER_EXECUTIONS: u32 = 3;
/// Attempts after the last fault, sent to the entries in turn.
const FINAL_ATTEMPTS: usize = 8;

/// Number of times that engines started to execute the poison request.
#[derive(Debug, Default)]
pub struct PoisonExecutions(AtomicU32);

impl PoisonExecutions {
    fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Returns true for the poison request's body, after scheduling the engine's crash and replacement.
pub fn crash_if_poison(ctx: &Arc<SoakContext>, engine: usize, body: &[u8]) -> bool {
    if body != POISON_BODY.as_bytes() {
        return false;
    }
    ctx.poison_executions.0.fetch_add(1, Ordering::Relaxed);
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        ctx.record_disturbance();
        let service = engines::crash(&ctx, engine).unwrap_or(engines::SERVICE_NAME);
        tokio::time::sleep(REPLACEMENT_DELAY).await;
        drop(engines::add(&ctx, service).await);
    });
    true
}

/// Sends the poison request repeatedly, to the entries in turn, until the context is stopped.
pub fn start(ctx: &Arc<SoakContext>) -> JoinHandle<()> {
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        let mut attempt = 0;
        while !ctx.is_stopped() {
            send_poison(&ctx, AddressKind::EntryProxy, attempt).await;
            attempt += 1;
            tokio::time::sleep(ATTEMPT_INTERVAL).await;
        }
    })
}

async fn send_poison(ctx: &SoakContext, kind: AddressKind, attempt: usize) {
    let address = ctx.address(kind, attempt % ctx.sizes.entries, CALLERS_PORT);
    let id = format!("{:x}-poison-{kind:?}-{attempt}", ctx.seed);
    let request = Request::post(format!("http://{address}/resumable/a"))
        .header("host", ROUTE_HOST)
        .header("authorization", format!("Bearer {FREE_KEY}"))
        .header("tarragonknot-request-id", &id)
        .header("tarragonknot-deadline-ms", REQUEST_DEADLINE.as_millis().to_string())
        .body(Full::new(Bytes::from_static(POISON_BODY.as_bytes())))
        .expect("the request consists of valid parts");
    let sent_request =
        SentRequest { may_repeat: true, max_attempts: 2, status: None, sent_at: Instant::now() };
    ctx.recorder.record_request(&id, sent_request);
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let answer = async {
        let response = client.request(request).await.ok()?;
        let status = response.status().as_u16();
        let _ = response.into_body().collect().await;
        Some(status)
    };
    if let Ok(Some(status)) = tokio::time::timeout(REQUEST_DEADLINE * 2, answer).await {
        ctx.recorder.record_status(&id, status);
    }
}

/// Checks that after the last fault the request reaches no more engines than the limits allow,
/// whichever entries were killed before.
pub async fn check(ctx: &SoakContext) {
    tokio::time::sleep(QUARANTINE_SPREAD_TIME).await;
    let crashed_before = ctx.poison_executions.get();
    for attempt in 0..FINAL_ATTEMPTS {
        send_poison(ctx, AddressKind::Entry, attempt).await;
    }
    let later_executions = ctx.poison_executions.get() - crashed_before;
    let max_executions = MAX_LATER_EXECUTIONS + MAX_CRASHED_ENGINES.saturating_sub(crashed_before);
    if later_executions > max_executions {
        ctx.recorder.record_violation(
            "BUDGET",
            format!("a request that had crashed {crashed_before} engines was executed {later_executions} more times"),
        );
    }
}
