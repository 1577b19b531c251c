//! Simulated callers: each sends its requests one after the other over kept-alive connections and
//! checks the responses.

use crate::world::{AddressKind, CALLERS_PORT, SentRequest, SoakWorld};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Host name of all routes.
pub const HOST: &str = "shop.example";
/// API keys of the two organisations; the second one has a token limit.
pub const FREE_KEY: &str = "free-key";
pub const LIMITED_KEY: &str = "limited-key";
/// Deadline that callers send with each request.
const DEADLINE: Duration = Duration::from_secs(4);
/// Upper bound of the pause between two requests of a caller.
const THINKING_MS: u64 = 60;
/// Maximum number of events in a stream.
const MOST_EVENTS: u64 = 30;

/// Starts the callers; they run until the context is stopped.
pub fn start(world: &Arc<SoakWorld>, seed: u64) -> JoinHandle<()> {
    let world = Arc::clone(world);
    tokio::spawn(async move {
        let mut callers = tokio::task::JoinSet::new();
        for number in 0..world.sizes.callers {
            let rng = ChaCha8Rng::seed_from_u64(seed ^ (number as u64 + 1) << 40);
            callers.spawn(call_on(Arc::clone(&world), number, rng));
        }
        callers.join_all().await;
    })
}

type Connection = SendRequest<Full<Bytes>>;

async fn connect(world: &SoakWorld, entry: usize) -> Option<Connection> {
    let address = world.address(AddressKind::EntryProxy, entry, CALLERS_PORT);
    let stream = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

async fn call_on(world: Arc<SoakWorld>, caller: usize, mut rng: ChaCha8Rng) {
    let mut kept: Option<Connection> = None;
    let mut sent = 0u64;
    while !world.is_stopped() {
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..THINKING_MS))).await;
        // Connections are reused until they fail, even while the entry shuts down.
        let connection = match kept.take().filter(|connection| !connection.is_closed()) {
            Some(connection) => Some(connection),
            None => connect(&world, rng.random_range(0..world.sizes.entries)).await,
        };
        let Some(mut connection) = connection else { continue };
        sent += 1;
        let id = format!("{:x}-{caller}-{sent}", world.seed);
        let kind = CallKind::draw(&mut rng);
        let call = kind.request(&id, &mut rng);
        let may_repeat = matches!(kind, CallKind::Safe | CallKind::Resumable);
        let attempts = if may_repeat { 2 } else { 1 };
        world
            .ledger
            .sent(&id, SentRequest { may_repeat, attempts, status: None, sent_at: Instant::now() });
        // One request in 20 is abandoned, often before its response arrives.
        let patience = if rng.random_range(0..20) == 0 { DEADLINE / 40 } else { DEADLINE * 2 };
        let answer =
            tokio::time::timeout(patience, exchange(&world, &mut connection, call, &id)).await;
        if matches!(answer, Ok(true)) && connection.ready().await.is_ok() {
            kept = Some(connection);
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum CallKind {
    Safe,
    Unsafe,
    Stream,
    Resumable,
}

impl CallKind {
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        match rng.random_range(0..4) {
            0 => CallKind::Safe,
            1 => CallKind::Unsafe,
            2 => CallKind::Stream,
            _ => CallKind::Resumable,
        }
    }

    fn request(self, id: &str, rng: &mut ChaCha8Rng) -> Request<Full<Bytes>> {
        let path = match self {
            CallKind::Safe => "/safe/a",
            CallKind::Unsafe => "/unsafe/a",
            CallKind::Stream => "/stream/a",
            CallKind::Resumable => "/resumable/a",
        };
        let key = if rng.random_range(0..3) == 0 { LIMITED_KEY } else { FREE_KEY };
        let events = rng.random_range(1..=MOST_EVENTS);
        Request::post(path)
            .header("host", HOST)
            .header("authorization", format!("Bearer {key}"))
            .header("tarragonknot-request-id", id)
            .header("tarragonknot-deadline-ms", DEADLINE.as_millis().to_string())
            .header("tarragonknot-token-count", format!("{},{events}", rng.random_range(50..2_000)))
            .body(Full::new(Bytes::from(events.to_string())))
            .expect("the request consists of valid parts")
    }
}

/// Sends a request and checks the response; true if the connection may be reused.
async fn exchange(
    world: &SoakWorld,
    connection: &mut Connection,
    call: Request<Full<Bytes>>,
    id: &str,
) -> bool {
    let is_stream = !call.uri().path().contains("safe/");
    let events: u64 = read_body(call.body()).await;
    let Ok(response) = connection.send_request(call).await else { return false };
    let status = response.status().as_u16();
    let keeps = response.headers().get("connection").is_none_or(|value| value != "close");
    let seal = response.headers().get("tarragonknot-server-seal").cloned();
    let whole = collect(response.into_body()).await;
    if status != 200 {
        world.ledger.answered(id, status);
        let is_denied = matches!(status, 400..=407 | 409..=420 | 422..=428);
        if is_denied && world.undisturbed_for() > Duration::from_secs(5) {
            world.ledger.broke(
                "DENIED",
                format!("{id} was refused with status {status} although no fault was active"),
            );
        }
        return keeps && whole.is_ok();
    }
    let (text, is_whole) = match &whole {
        Ok(text) => (text, true),
        Err(text) => (text, false),
    };
    if is_whole {
        world.ledger.answered(id, status);
    }
    if seal.is_none() {
        world
            .ledger
            .broke("MIXED", format!("{id}: successful response without the engine's seal header"));
    }
    let expected = if is_stream {
        (1..=events).map(|event| format!("id: {event}\ndata: {id} {event}\n\n")).collect()
    } else {
        format!("answer to {id}, {events}")
    };
    let is_right =
        if is_whole { *text == expected } else { is_stream && expected.starts_with(text.as_str()) };
    // A response that is visibly truncated may be incomplete, but the received part of a stream
    // must still belong to this request.
    if !is_right && (is_whole || is_stream) {
        world.ledger.broke(
            "MIXED",
            format!("{id}: received {text:?}, expected {expected:?}, complete: {is_whole}"),
        );
    }
    keeps && is_whole
}

async fn read_body(body: &Full<Bytes>) -> u64 {
    let bytes = body.clone().collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    String::from_utf8_lossy(&bytes).parse().unwrap_or(0)
}

/// Reads the response body; `Err` holds the part received before the connection failed.
async fn collect(mut body: Incoming) -> Result<String, String> {
    let mut text = String::new();
    loop {
        match body.frame().await {
            None => return Ok(text),
            Some(Ok(frame)) => {
                let bytes = frame.into_data().unwrap_or_default();
                text.push_str(&String::from_utf8_lossy(&bytes));
            }
            Some(Err(_)) => return Err(text),
        }
    }
}
