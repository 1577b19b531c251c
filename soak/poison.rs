//! Poison requests, which crash every engine that starts to execute them, and the caller that sends
//! them repeatedly: one content, and requests that are unlike but for one prompt part.

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

/// Prompt part that identifies the poison requests with other bodies.
const POISON_PART: &str = "bad0:300";

/// What poison requests have in common.
#[derive(Clone, Copy, Debug)]
enum PoisonKind {
    Content,
    Part,
}

impl PoisonKind {
    fn of(body: &[u8], prompt: &str) -> Option<Self> {
        match (body == POISON_BODY.as_bytes(), prompt.contains(POISON_PART)) {
            (true, _) => Some(PoisonKind::Content),
            (false, true) => Some(PoisonKind::Part),
            (false, false) => None,
        }
    }

    fn body(self, id: &str) -> String {
        match self {
            PoisonKind::Content => POISON_BODY.to_owned(),
            PoisonKind::Part => id.to_owned(),
        }
    }

    /// The prompt shares its first part, and another one, with sound requests.
    fn prompt(self, attempt: usize) -> String {
        let sound = sound_prompt(attempt);
        match self {
            PoisonKind::Content => sound,
            PoisonKind::Part => sound.replacen(',', &format!(",{POISON_PART},"), 1),
        }
    }
}

/// A prompt whose first part all requests share, and whose second some do.
pub fn sound_prompt(number: usize) -> String {
    format!("f157:60,a{:03x}:400,e{number:03x}:20", number % 4)
}

/// Number of times that engines started to execute poison requests, by kind.
#[derive(Debug, Default)]
pub struct PoisonExecutions([AtomicU32; 2]);

impl PoisonExecutions {
    fn add(&self, kind: PoisonKind) {
        self.0[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    fn get(&self, kind: PoisonKind) -> u32 {
        self.0[kind as usize].load(Ordering::Relaxed)
    }
}

/// Returns true for a poison request, after scheduling the engine's crash and replacement.
pub fn crash_if_poison(ctx: &Arc<SoakContext>, engine: usize, body: &[u8], prompt: &str) -> bool {
    let Some(kind) = PoisonKind::of(body, prompt) else { return false };
    ctx.poison_executions.add(kind);
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        ctx.record_disturbance();
        let service = engines::crash(&ctx, engine).unwrap_or(engines::SERVICE_NAME);
        tokio::time::sleep(REPLACEMENT_DELAY).await;
        drop(engines::add(&ctx, service).await);
    });
    true
}

/// Sends poison requests of both kinds, to the entries in turn, until the context is stopped.
pub fn start(ctx: &Arc<SoakContext>) -> JoinHandle<()> {
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        let mut attempt = 0;
        while !ctx.is_stopped() {
            for kind in [PoisonKind::Content, PoisonKind::Part] {
                send_poison(&ctx, AddressKind::EntryProxy, kind, attempt).await;
            }
            attempt += 1;
            tokio::time::sleep(ATTEMPT_INTERVAL).await;
        }
    })
}

async fn send_poison(ctx: &SoakContext, target: AddressKind, kind: PoisonKind, attempt: usize) {
    let address = ctx.address(target, attempt % ctx.sizes.entries, CALLERS_PORT);
    let id = format!("{:x}-poison-{kind:?}-{target:?}-{attempt}", ctx.seed);
    let request = Request::post(format!("http://{address}/resumable/a"))
        .header("host", ROUTE_HOST)
        .header("authorization", format!("Bearer {FREE_KEY}"))
        .header("tarragonknot-request-id", &id)
        .header("tarragonknot-deadline-ms", REQUEST_DEADLINE.as_millis().to_string())
        .header("tarragonknot-prefix-hash", kind.prompt(attempt))
        .body(Full::new(Bytes::from(kind.body(&id))))
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

/// Checks that after the last fault the requests reach no more engines than the limits allow,
/// whichever entries were killed before.
pub async fn check(ctx: &SoakContext) {
    tokio::time::sleep(QUARANTINE_SPREAD_TIME).await;
    for kind in [PoisonKind::Content, PoisonKind::Part] {
        check_kind(ctx, kind).await;
    }
}

async fn check_kind(ctx: &SoakContext, kind: PoisonKind) {
    let crashed_before = ctx.poison_executions.get(kind);
    for attempt in 0..FINAL_ATTEMPTS {
        send_poison(ctx, AddressKind::Entry, kind, attempt).await;
    }
    let later_executions = ctx.poison_executions.get(kind) - crashed_before;
    let max_executions = MAX_LATER_EXECUTIONS + MAX_CRASHED_ENGINES.saturating_sub(crashed_before);
    if later_executions > max_executions {
        ctx.recorder.record_violation(
            "BUDGET",
            format!("requests with one {kind:?} that had crashed {crashed_before} engines were executed {later_executions} more times"),
        );
    }
}
