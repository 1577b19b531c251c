//! Simulated engines and the platform's list of them. Engines execute requests, count executions by
//! request id and inject faults according to the seed.

use crate::world::{AddressKind, ENGINE_PORT, LIST_PORT, SoakWorld, lock};
use crate::{checks, poison, proxy};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// Requests that an engine executes concurrently.
pub const PLACES: u32 = 4;
/// Time between two events of a stream.
const STEP: Duration = Duration::from_millis(15);
/// Name of the service that the engines belong to.
pub const SERVICE: &str = "pool";

/// One incarnation of a simulated engine.
#[derive(Debug)]
pub struct EngineStandin {
    pub id: String,
    /// Address in the platform's list, which is that of the engine's proxy.
    pub listed: SocketAddr,
    pub left_at: Option<Instant>,
    task: AbortHandle,
}

/// The running engines, by number.
#[derive(Debug, Default)]
pub struct EngineSet {
    pub engines: BTreeMap<usize, EngineStandin>,
    pub next: usize,
}

/// Rate of injected faults per thousand requests, set by the schedule.
#[derive(Debug, Default)]
pub struct Misbehaviour {
    pub per_mille: AtomicU64,
}

static MISBEHAVIOUR: Misbehaviour = Misbehaviour { per_mille: AtomicU64::new(0) };

/// Sets how many of a thousand requests fail from now on.
pub fn misbehave(per_mille: u64) {
    MISBEHAVIOUR.per_mille.store(per_mille, Ordering::Relaxed);
}

/// Starts another engine and its proxy.
pub async fn add(world: &Arc<SoakWorld>) -> std::io::Result<usize> {
    let number = {
        let mut set = lock(&world.engines);
        set.next += 1;
        set.next
    };
    let own = world.address(AddressKind::Engine, number, ENGINE_PORT);
    let listed = world.address(AddressKind::EngineProxy, number, ENGINE_PORT);
    let listener = TcpListener::bind(own).await?;
    proxy::start(world, listed, own).await?;
    let id = format!("i-{number:04}");
    let task = tokio::spawn(accept(Arc::clone(world), listener, id.clone(), number));
    let engine = EngineStandin { id, listed, left_at: None, task: task.abort_handle() };
    lock(&world.engines).engines.insert(number, engine);
    Ok(number)
}

/// Stops an engine at once, as a crash does, and resets its open connections; the next read of the
/// list omits it.
pub fn crash(world: &SoakWorld, number: usize) {
    if let Some(engine) = lock(&world.engines).engines.remove(&number) {
        engine.task.abort();
        world.proxies.set(engine.listed, proxy::ProxyMode::ResetOpen);
    }
}

/// Lists an engine as draining; it continues to serve requests.
pub fn leave(world: &SoakWorld, number: usize) {
    if let Some(engine) = lock(&world.engines).engines.get_mut(&number) {
        engine.left_at.get_or_insert_with(Instant::now);
    }
}

async fn accept(world: Arc<SoakWorld>, listener: TcpListener, id: String, number: usize) {
    let held = Arc::new(Mutex::new(0u32));
    let mut connections = tokio::task::JoinSet::new();
    let mut seed = world.seed ^ ((number as u64) << 32);
    while let Ok((stream, _)) = listener.accept().await {
        seed += 1;
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let engine = EngineName { id: id.clone(), number };
        connections.spawn(serve(Arc::clone(&world), stream, engine, Arc::clone(&held), rng));
    }
}

/// The id and the number of an engine.
#[derive(Clone, Debug)]
struct EngineName {
    id: String,
    number: usize,
}

/// A request's head and body as received.
struct WireRequest {
    head: String,
    body: Vec<u8>,
}

impl WireRequest {
    fn header(&self, name: &str) -> Option<&str> {
        let mut rows = self.head.lines().filter_map(|line| line.split_once(": "));
        rows.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<WireRequest> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 8 << 10];
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut request = WireRequest { head, body: bytes.split_off(end + 4) };
            let length = request.header("content-length").and_then(|text| text.parse().ok());
            while request.body.len() < length.unwrap_or(0) {
                let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
                request.body.extend_from_slice(&buffer[..count]);
            }
            return Some(request);
        }
        let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
    }
}

/// A slot in use, released on drop.
struct PlaceGuard(Arc<Mutex<u32>>);

impl Drop for PlaceGuard {
    fn drop(&mut self) {
        *lock(&self.0) -= 1;
    }
}

fn take_place(held: &Arc<Mutex<u32>>) -> Option<PlaceGuard> {
    let mut used = lock(held);
    if *used >= PLACES {
        return None;
    }
    *used += 1;
    Some(PlaceGuard(Arc::clone(held)))
}

fn plain(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

async fn serve(
    world: Arc<SoakWorld>,
    mut stream: TcpStream,
    engine: EngineName,
    held: Arc<Mutex<u32>>,
    mut rng: ChaCha8Rng,
) {
    let _ = stream.set_nodelay(true);
    let id = &engine.id;
    let mut reserved = None;
    while let Some(request) = read_request(&mut stream).await {
        if request.header("tarragonknot-expect-instance").is_some_and(|meant| meant != id.as_str())
        {
            if stream.write_all(plain(421, "", "").as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let text = match request.path() {
            "/-/hold-take" => match take_place(&held) {
                Some(place) => {
                    reserved = Some(place);
                    plain(
                        200,
                        "",
                        &json!({"hold": format!("h-{}", rng.random::<u32>())}).to_string(),
                    )
                }
                None => plain(503, "", ""),
            },
            "/healthz" => plain(200, &format!("tarragonknot-instance-id: {id}\r\n"), ""),
            _ => {
                let _place = reserved.take().or_else(|| take_place(&held));
                if !run(&world, &mut stream, &request, &engine, &mut rng).await {
                    return;
                }
                continue;
            }
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Executes a request; false if the connection closes after it.
async fn run(
    world: &Arc<SoakWorld>,
    stream: &mut TcpStream,
    request: &WireRequest,
    EngineName { id: engine, number }: &EngineName,
    rng: &mut ChaCha8Rng,
) -> bool {
    let id = request.header("tarragonknot-request-id").unwrap_or_default().to_owned();
    checks::check_arrival(world, &id, engine, request.header("authorization").is_some());
    let bad = rng.random_range(0..1_000) < MISBEHAVIOUR.per_mille.load(Ordering::Relaxed);
    let fault = if bad { rng.random_range(0..6) } else { u32::MAX };
    if fault == 0 {
        let not_run = plain(503, "tarragonknot-not-executed: 1\r\n", "");
        return stream.write_all(not_run.as_bytes()).await.is_ok();
    }
    let organisation = request.header("tarragonknot-tenant").unwrap_or_default();
    let counts = request.header("tarragonknot-token-count").unwrap_or("200,0");
    let tokens: u64 =
        counts.split(',').filter_map(|number| number.trim().parse::<u64>().ok()).sum();
    world.ledger.ran(&id, (organisation == "limited").then_some(tokens));
    if poison::strikes(world, *number, &request.body) {
        // Never answers: the engine's task is aborted.
        return std::future::pending().await;
    }
    let head =
        format!("tarragonknot-request-id: {id}\r\ntarragonknot-server-seal: {engine}.{id}\r\n");
    if request.path().contains("/stream/") || request.path().contains("/resumable/") {
        return stream_events(stream, request, &id, &head, fault, rng).await;
    }
    tokio::time::sleep(Duration::from_millis(rng.random_range(1..40))).await;
    let body = format!("answer to {id}, {}", String::from_utf8_lossy(&request.body));
    let text = plain(200, &head, &body);
    let (text, goes_on) = match fault {
        // The response is lost with its connection.
        1 => (String::new(), false),
        // The body is shorter than its declared length.
        2 => (text[..text.len() - 3].to_owned(), false),
        // A second response, for another request, follows.
        3 => (format!("{text}{}", plain(200, &head.replace(&id, "other"), "not yours")), true),
        // The request was executed and fails.
        4 => (plain(500, &head, "failed"), true),
        _ => (text, true),
    };
    stream.write_all(text.as_bytes()).await.is_ok() && goes_on
}

async fn stream_events(
    stream: &mut TcpStream,
    request: &WireRequest,
    id: &str,
    head: &str,
    fault: u32,
    rng: &mut ChaCha8Rng,
) -> bool {
    let count: u64 = String::from_utf8_lossy(&request.body).trim().parse().unwrap_or(3);
    let from =
        request.header("last-event-id").and_then(|last| last.parse::<u64>().ok()).unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    if fault == 1 || stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    let cut_at =
        if fault < 6 { rng.random_range(from + 1..=count.max(from + 1)) } else { u64::MAX };
    for event in from + 1..=count {
        tokio::time::sleep(STEP).await;
        let text = format!("id: {event}\ndata: {id} {event}\n\n");
        let text = if event == cut_at { text[..text.len() / 2].to_owned() } else { text };
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() || event == cut_at {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}

/// Serves the platform's list.
pub async fn serve_list(world: &Arc<SoakWorld>) -> std::io::Result<()> {
    let listener = TcpListener::bind(world.address(AddressKind::List, 0, LIST_PORT)).await?;
    let world = Arc::clone(world);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let world = Arc::clone(&world);
            tokio::spawn(async move {
                while read_request(&mut stream).await.is_some() {
                    let text = plain(200, "", &list_document(&world).to_string());
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

fn list_document(world: &SoakWorld) -> Value {
    let set = lock(&world.engines);
    let rows = set.engines.values().map(|engine| {
        let state = if engine.left_at.is_some() { "draining" } else { "ready" };
        json!({"id": engine.id, "service": SERVICE, "address": engine.listed, "zone": "a", "slots": PLACES,
               "state": state, "version": "v1", "cold_left_ms": 0})
    });
    json!({"instances": rows.collect::<Vec<Value>>(), "next_token": null})
}
