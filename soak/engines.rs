//! Simulated engines and the platform's list of them. Engines execute requests, count executions by
//! request id and inject faults according to the seed.

use crate::context::{AddressKind, ENGINE_PORT, LIST_PORT, SoakContext, lock};
use crate::{callers, checks, poison, proxy};
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
pub const ENGINE_SLOTS: u32 = 4;
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// Name of the service that the engines belong to.
pub const SERVICE_NAME: &str = "pool";

/// One incarnation of a simulated engine.
#[derive(Debug)]
pub struct SimulatedEngine {
    pub id: String,
    /// Address in the platform's list, which is that of the engine's proxy.
    pub listed_address: SocketAddr,
    pub draining_since: Option<Instant>,
    task: AbortHandle,
}

/// The running engines, by number.
#[derive(Debug, Default)]
pub struct EngineSet {
    pub engines: BTreeMap<usize, SimulatedEngine>,
    pub last_number: usize,
}

/// Rate of injected faults per thousand requests, set by the schedule.
#[derive(Debug, Default)]
pub struct FaultRate {
    pub per_mille: AtomicU64,
}

static FAULT_RATE: FaultRate = FaultRate { per_mille: AtomicU64::new(0) };

/// Sets how many of a thousand requests fail from now on.
pub fn set_fault_rate(per_mille: u64) {
    FAULT_RATE.per_mille.store(per_mille, Ordering::Relaxed);
}

/// Starts another engine and its proxy.
pub async fn add(ctx: &Arc<SoakContext>) -> std::io::Result<usize> {
    let number = {
        let mut set = lock(&ctx.engines);
        set.last_number += 1;
        set.last_number
    };
    let engine_address = ctx.address(AddressKind::Engine, number, ENGINE_PORT);
    let listed_address = ctx.address(AddressKind::EngineProxy, number, ENGINE_PORT);
    let listener = TcpListener::bind(engine_address).await?;
    proxy::start(ctx, listed_address, engine_address).await?;
    let id = format!("i-{number:04}");
    let task = tokio::spawn(accept_connections(Arc::clone(ctx), listener, id.clone(), number));
    let engine =
        SimulatedEngine { id, listed_address, draining_since: None, task: task.abort_handle() };
    lock(&ctx.engines).engines.insert(number, engine);
    Ok(number)
}

/// Stops an engine at once, as a crash does, and resets its open connections; the next read of the
/// list omits it.
pub fn crash(ctx: &SoakContext, number: usize) {
    if let Some(engine) = lock(&ctx.engines).engines.remove(&number) {
        engine.task.abort();
        ctx.proxies.set(engine.listed_address, proxy::ProxyMode::ResetOpen);
    }
}

/// Lists an engine as draining; it continues to serve requests.
pub fn start_drain(ctx: &SoakContext, number: usize) {
    if let Some(engine) = lock(&ctx.engines).engines.get_mut(&number) {
        engine.draining_since.get_or_insert_with(Instant::now);
    }
}

async fn accept_connections(
    ctx: Arc<SoakContext>,
    listener: TcpListener,
    id: String,
    number: usize,
) {
    let used_slots = Arc::new(Mutex::new(0u32));
    let mut connections = tokio::task::JoinSet::new();
    let mut seed = ctx.seed ^ ((number as u64) << 32);
    while let Ok((stream, _)) = listener.accept().await {
        seed += 1;
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let engine = EngineIdentity { id: id.clone(), number };
        connections.spawn(serve_connection(
            Arc::clone(&ctx),
            stream,
            engine,
            Arc::clone(&used_slots),
            rng,
        ));
    }
}

/// The id and the number of an engine.
#[derive(Clone, Debug)]
struct EngineIdentity {
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
        let mut headers = self.head.lines().filter_map(|line| line.split_once(": "));
        headers.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    /// The request's id; empty if it has none.
    fn id(&self) -> &str {
        self.header("tarragonknot-request-id").unwrap_or_default()
    }

    /// Header line that echoes the request's id, if it has one.
    fn echoed_id(&self) -> String {
        match self.id() {
            "" => String::new(),
            id => format!("tarragonknot-request-id: {id}\r\n"),
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<WireRequest> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 8 << 10];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
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
struct SlotGuard(Arc<Mutex<u32>>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        *lock(&self.0) -= 1;
    }
}

fn acquire_slot(used_slots: &Arc<Mutex<u32>>) -> Option<SlotGuard> {
    let mut used = lock(used_slots);
    if *used >= ENGINE_SLOTS {
        return None;
    }
    *used += 1;
    Some(SlotGuard(Arc::clone(used_slots)))
}

fn response_text(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

async fn serve_connection(
    ctx: Arc<SoakContext>,
    mut stream: TcpStream,
    engine: EngineIdentity,
    used_slots: Arc<Mutex<u32>>,
    mut rng: ChaCha8Rng,
) {
    let _ = stream.set_nodelay(true);
    let id = &engine.id;
    let mut reserved_slot = None;
    while let Some(request) = read_request(&mut stream).await {
        if request
            .header("tarragonknot-expect-instance")
            .is_some_and(|expected_id| expected_id != id.as_str())
        {
            let text = response_text(421, &request.echoed_id(), "");
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let text = match request.path() {
            "/-/hold-take" => match acquire_slot(&used_slots) {
                Some(slot) => {
                    reserved_slot = Some(slot);
                    response_text(
                        200,
                        "",
                        &json!({"hold": format!("h-{}", rng.random::<u32>())}).to_string(),
                    )
                }
                None => response_text(503, "", ""),
            },
            "/healthz" => response_text(200, &format!("tarragonknot-instance-id: {id}\r\n"), ""),
            _ => {
                let _slot = reserved_slot.take().or_else(|| acquire_slot(&used_slots));
                if !execute_request(&ctx, &mut stream, &request, &engine, &mut rng).await {
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
async fn execute_request(
    ctx: &Arc<SoakContext>,
    stream: &mut TcpStream,
    request: &WireRequest,
    EngineIdentity { id: engine, number }: &EngineIdentity,
    rng: &mut ChaCha8Rng,
) -> bool {
    let id = request.id().to_owned();
    checks::check_arrival(ctx, &id, engine, request.header("authorization").is_some());
    checks::check_body(ctx, &id, engine, &request.body);
    let is_faulty = rng.random_range(0..1_000) < FAULT_RATE.per_mille.load(Ordering::Relaxed);
    let fault = if is_faulty { rng.random_range(0..6) } else { u32::MAX };
    if is_faulty {
        ctx.recorder.record_event(&id, format!("{engine} drew fault {fault}"));
    }
    if fault == 0 {
        let status = if rng.random() { 503 } else { 429 };
        let headers = request.echoed_id() + "tarragonknot-not-executed: 1\r\n";
        let not_executed = response_text(status, &headers, "");
        return stream.write_all(not_executed.as_bytes()).await.is_ok();
    }
    let organisation = request.header("tarragonknot-tenant").unwrap_or_default();
    let counts = request.header("tarragonknot-token-count").unwrap_or("200,0");
    let tokens: u64 =
        counts.split(',').filter_map(|number| number.trim().parse::<u64>().ok()).sum();
    ctx.recorder.record_execution(&id, (organisation == "limited").then_some(tokens));
    ctx.recorder.record_event(&id, format!("{engine} executed it"));
    if poison::crash_if_poison(ctx, *number, &request.body) {
        // Never answers: the engine's task is aborted.
        return std::future::pending().await;
    }
    let head =
        format!("tarragonknot-request-id: {id}\r\ntarragonknot-server-seal: {engine}.{id}\r\n");
    if request.path().contains("/stream/") || request.path().contains("/resumable/") {
        return stream_events(stream, request, &id, &head, fault, rng).await;
    }
    tokio::time::sleep(Duration::from_millis(rng.random_range(1..40))).await;
    let events = callers::event_count_text(&request.body);
    let body = format!("answer to {id}, {events}, {} bytes", request.body.len());
    let text = response_text(200, &head, &body);
    let (text, keeps_open) = match fault {
        // The response is lost with its connection.
        1 => (String::new(), false),
        // The body is shorter than its declared length.
        2 => (text[..text.len() - 3].to_owned(), false),
        // A second response, for another request, follows.
        3 => (
            format!("{text}{}", response_text(200, &head.replace(&id, "other"), "not yours")),
            true,
        ),
        // The request was executed and fails.
        4 => (response_text(500, &head, "failed"), true),
        _ => (text, true),
    };
    stream.write_all(text.as_bytes()).await.is_ok() && keeps_open
}

async fn stream_events(
    stream: &mut TcpStream,
    request: &WireRequest,
    id: &str,
    head: &str,
    fault: u32,
    rng: &mut ChaCha8Rng,
) -> bool {
    let event_count: u64 = callers::event_count_text(&request.body).trim().parse().unwrap_or(3);
    let last_received =
        request.header("last-event-id").and_then(|last| last.parse::<u64>().ok()).unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    if fault == 1 || stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    let cut_event = if fault < 6 {
        rng.random_range(last_received + 1..=event_count.max(last_received + 1))
    } else {
        u64::MAX
    };
    for event in last_received + 1..=event_count {
        tokio::time::sleep(EVENT_INTERVAL).await;
        let text = format!("id: {event}\ndata: {id} {event}\n\n");
        let text = if event == cut_event { text[..text.len() / 2].to_owned() } else { text };
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if stream.write_all(chunk.as_bytes()).await.is_err() || event == cut_event {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}

/// Serves the platform's list.
pub async fn serve_platform_list(ctx: &Arc<SoakContext>) -> std::io::Result<()> {
    let listener = TcpListener::bind(ctx.address(AddressKind::List, 0, LIST_PORT)).await?;
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let ctx = Arc::clone(&ctx);
            tokio::spawn(async move {
                while read_request(&mut stream).await.is_some() {
                    let text = response_text(200, "", &list_document(&ctx).to_string());
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

fn list_document(ctx: &SoakContext) -> Value {
    let set = lock(&ctx.engines);
    let rows = set.engines.values().map(|engine| {
        let state = if engine.draining_since.is_some() { "draining" } else { "ready" };
        json!({"id": engine.id, "service": SERVICE_NAME, "address": engine.listed_address, "zone": "a", "slots": ENGINE_SLOTS,
               "state": state, "version": "v1", "cold_left_ms": 0})
    });
    json!({"instances": rows.collect::<Vec<Value>>(), "next_token": null})
}
