//! A poison request, which crashes every engine that starts to execute it, and the caller that
//! sends it repeatedly.

use crate::callers::{FREE_KEY, HOST};
use crate::engines;
use crate::world::{AddressKind, CALLERS_PORT, SentRequest, SoakWorld};
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
const BODY: &str = "poison";
/// Pause between two attempts while faults are injected.
const PAUSE: Duration = Duration::from_millis(700);
/// Deadline that the caller sends.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time after which a crashed engine is replaced.
const REPLACED_AFTER: Duration = Duration::from_millis(300);
/// Time without faults within which all entries learn of the crashed engines.
const CONTACT: Duration = Duration::from_secs(3);
/// Number of engines that may crash before the request is quarantined, and of executions that may
/// still follow.
const MOST_ENDS: u32 = 3;
const MOST_SENDS_AFTER: u32 = 3;
/// Attempts after the last fault, sent to the entries in turn.
const LAST_ATTEMPTS: usize = 8;

/// Number of times that engines started to execute the poison request.
#[derive(Debug, Default)]
pub struct PoisonCount(AtomicU32);

impl PoisonCount {
    fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Returns true for the poison request's body, after scheduling the engine's crash and replacement.
pub fn strikes(world: &Arc<SoakWorld>, engine: usize, body: &[u8]) -> bool {
    if body != BODY.as_bytes() {
        return false;
    }
    world.poison.0.fetch_add(1, Ordering::Relaxed);
    let world = Arc::clone(world);
    tokio::spawn(async move {
        world.disturb();
        engines::crash(&world, engine);
        tokio::time::sleep(REPLACED_AFTER).await;
        drop(engines::add(&world).await);
    });
    true
}

/// Sends the poison request repeatedly, to the entries in turn, until the context is stopped.
pub fn start(world: &Arc<SoakWorld>) -> JoinHandle<()> {
    let world = Arc::clone(world);
    tokio::spawn(async move {
        let mut number = 0;
        while !world.is_stopped() {
            send(&world, AddressKind::EntryProxy, number).await;
            number += 1;
            tokio::time::sleep(PAUSE).await;
        }
    })
}

async fn send(world: &SoakWorld, kind: AddressKind, number: usize) {
    let address = world.address(kind, number % world.sizes.entries, CALLERS_PORT);
    let id = format!("{:x}-poison-{kind:?}-{number}", world.seed);
    let request = Request::post(format!("http://{address}/resumable/a"))
        .header("host", HOST)
        .header("authorization", format!("Bearer {FREE_KEY}"))
        .header("tarragonknot-request-id", &id)
        .header("tarragonknot-deadline-ms", DEADLINE.as_millis().to_string())
        .body(Full::new(Bytes::from_static(BODY.as_bytes())))
        .expect("the request consists of valid parts");
    let sent = SentRequest { may_repeat: true, attempts: 2, status: None, sent_at: Instant::now() };
    world.ledger.sent(&id, sent);
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let answer = async {
        let response = client.request(request).await.ok()?;
        let status = response.status().as_u16();
        let _ = response.into_body().collect().await;
        Some(status)
    };
    if let Ok(Some(status)) = tokio::time::timeout(DEADLINE * 2, answer).await {
        world.ledger.answered(&id, status);
    }
}

/// Checks that after the last fault the request reaches no more engines than the limits allow,
/// whichever entries were killed before.
pub async fn check(world: &SoakWorld) {
    tokio::time::sleep(CONTACT).await;
    let before = world.poison.get();
    for number in 0..LAST_ATTEMPTS {
        send(world, AddressKind::Entry, number).await;
    }
    let sends = world.poison.get() - before;
    let most = MOST_SENDS_AFTER + MOST_ENDS.saturating_sub(before);
    if sends > most {
        world.ledger.broke(
            "BUDGET",
            format!("a request that had crashed {before} engines was executed {sends} more times"),
        );
    }
}
