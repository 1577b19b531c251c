//! A request that ends each engine that begins to run it, and the caller who sends it again and again.

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

/// The body; no other caller sends it.
const BODY: &str = "poison";
/// Pause between two attempts while faults are played.
const PAUSE: Duration = Duration::from_millis(700);
/// How long the caller waits.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// An engine that ended is replaced after this long.
const REPLACED_AFTER: Duration = Duration::from_millis(300);
/// All entries hear of engines that ended within this time of calm.
const CONTACT: Duration = Duration::from_secs(3);
/// Engines that may end before the request is held back, and sends after that.
const MOST_ENDS: u32 = 3;
const MOST_SENDS_AFTER: u32 = 3;
/// Attempts after the last fault, at each entry in turn.
const LAST_ATTEMPTS: usize = 8;

/// How often engines began to run the request.
#[derive(Debug, Default)]
pub struct PoisonCount(AtomicU32);

impl PoisonCount {
    fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}

/// True if the body is the request's; the engine then ends, and another one takes its place.
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

/// Sends the request again and again, to one entry after the other, until the world stops.
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
        .expect("a request of fixed parts");
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

/// Once everything is calm, the request reaches engines no more than it may, whichever entries were killed meanwhile.
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
            format!("a request under which {before} engines had ended was sent {sends} times more"),
        );
    }
}
