//! The set of simulated engines and the platform's list of them.

use crate::connection::EngineConnection;
use crate::context::{AddressKind, ENGINE_PORT, LIST_PORT, SoakContext, lock};
use crate::losses::FaultTarget;
use crate::proxy;
use crate::wire::{WireStream, response_text};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

/// Requests that an engine executes concurrently.
pub const ENGINE_SLOTS: u32 = 4;
/// Name of the service that the engines belong to.
pub const SERVICE_NAME: &str = "pool";
/// Name and number of engines of the service to which edits move routes.
pub const OTHER_SERVICE: &str = "annex";
pub const OTHER_ENGINES: usize = 2;

/// One incarnation of a simulated engine.
#[derive(Debug)]
pub struct SimulatedEngine {
    pub id: String,
    /// Address in the platform's list, which is that of the engine's proxy.
    pub listed_address: SocketAddr,
    pub draining_since: Option<Instant>,
    pub service: &'static str,
    /// Version of its software.
    pub version: String,
    /// True once it has been killed while its listening socket stays open.
    is_silent: bool,
    listener: Arc<TcpListener>,
    task: AbortHandle,
}

/// The running engines, by number.
#[derive(Debug, Default)]
pub struct EngineSet {
    pub engines: BTreeMap<usize, SimulatedEngine>,
    pub last_number: usize,
}

impl EngineSet {
    /// The engines of the usual service that take requests, and their numbers.
    pub fn pool(&self) -> impl Iterator<Item = (&usize, &SimulatedEngine)> {
        let is_serving =
            |engine: &SimulatedEngine| engine.draining_since.is_none() && !engine.is_silent;
        let engines = self.engines.iter();
        engines.filter(move |(_, engine)| is_serving(engine) && engine.service == SERVICE_NAME)
    }
}

/// Engines that stand still until a moment: all, or every second one.
#[derive(Debug, Default)]
pub struct EnginePause {
    all: Mutex<Option<Instant>>,
    some: Mutex<Option<Instant>>,
}

impl EnginePause {
    /// Lets engines stand still for a while.
    pub fn start(&self, are_all: bool, time: Duration) {
        *lock(if are_all { &self.all } else { &self.some }) = Some(Instant::now() + time);
    }

    /// Waits while an engine stands still.
    pub async fn wait(&self, engine: usize) {
        let some = lock(&self.some).filter(|_| engine.is_multiple_of(2));
        let until = some.max(*lock(&self.all));
        if let Some(until) = until {
            tokio::time::sleep_until(until.into()).await;
        }
    }
}

/// Starts another engine of a service and its proxy.
pub async fn add(ctx: &Arc<SoakContext>, service: &'static str) -> std::io::Result<usize> {
    let number = next_number(ctx);
    let engine_address = ctx.address(AddressKind::Engine, number, ENGINE_PORT);
    let listed_address = ctx.address(AddressKind::EngineProxy, number, ENGINE_PORT);
    let listener = Arc::new(TcpListener::bind(engine_address).await?);
    proxy::start(ctx, listed_address, engine_address).await?;
    serve(ctx, number, service, listener, listed_address);
    Ok(number)
}

fn next_number(ctx: &SoakContext) -> usize {
    let mut set = lock(&ctx.engines);
    set.last_number += 1;
    set.last_number
}

/// Lists an engine and lets it accept connections.
fn serve(
    ctx: &Arc<SoakContext>,
    number: usize,
    service: &'static str,
    listener: Arc<TcpListener>,
    listed_address: SocketAddr,
) {
    let id = format!("i-{number:04}");
    let version = ctx.releases.version_of(number);
    let identity = EngineIdentity { id: id.clone(), number, version: version.clone() };
    let task = tokio::spawn(accept_connections(Arc::clone(ctx), Arc::clone(&listener), identity));
    let engine = SimulatedEngine {
        id,
        listed_address,
        draining_since: None,
        service,
        version,
        is_silent: false,
        listener,
        task: task.abort_handle(),
    };
    lock(&ctx.engines).engines.insert(number, engine);
}

/// Kills an engine between two events and keeps its listening socket: connections open, and nothing
/// answers until the next engine starts there. The list has it until then.
pub fn silence(ctx: &SoakContext, number: usize) {
    ctx.losses.record_fault(FaultTarget::Engine(number));
    if let Some(engine) = lock(&ctx.engines).engines.get_mut(&number) {
        engine.is_silent = true;
        engine.task.abort();
    }
}

/// Starts new engines at the listening sockets of those that are silent.
pub fn replace_silent(ctx: &Arc<SoakContext>) {
    let silent: Vec<SimulatedEngine> = {
        let mut set = lock(&ctx.engines);
        let numbers = set.engines.iter().filter(|(_, engine)| engine.is_silent);
        let numbers: Vec<usize> = numbers.map(|(number, _)| *number).collect();
        numbers.iter().filter_map(|number| set.engines.remove(number)).collect()
    };
    for engine in silent {
        serve(ctx, next_number(ctx), engine.service, engine.listener, engine.listed_address);
    }
}

/// Starts engines of the usual service.
pub async fn add_many(ctx: &Arc<SoakContext>, count: usize) {
    for _ in 0..count {
        drop(add(ctx, SERVICE_NAME).await);
    }
}

/// Numbers of the engines of the usual service that a release replaces.
pub fn replaced(ctx: &SoakContext) -> Vec<usize> {
    let set = lock(&ctx.engines);
    let is_old = |engine: &SimulatedEngine| ctx.releases.is_old(&engine.version);
    let engines = set.engines.iter().filter(|(_, engine)| engine.service == SERVICE_NAME);
    engines.filter(|(_, engine)| is_old(engine)).map(|(number, _)| *number).collect()
}

/// Stops an engine at once, as a crash does, and resets its open connections; the next read of the
/// list omits it. Returns its service.
pub fn crash(ctx: &SoakContext, number: usize) -> Option<&'static str> {
    ctx.losses.record_fault(FaultTarget::Engine(number));
    let engine = lock(&ctx.engines).engines.remove(&number)?;
    engine.task.abort();
    ctx.proxies.set(engine.listed_address, proxy::ProxyMode::ResetOpen);
    Some(engine.service)
}

/// Lists an engine as draining; it continues to serve requests.
pub fn start_drain(ctx: &SoakContext, number: usize) {
    if let Some(engine) = lock(&ctx.engines).engines.get_mut(&number) {
        engine.draining_since.get_or_insert_with(Instant::now);
    }
}

async fn accept_connections(
    ctx: Arc<SoakContext>,
    listener: Arc<TcpListener>,
    engine: EngineIdentity,
) {
    let used_slots = Arc::new(Mutex::new(0u32));
    let mut connections = tokio::task::JoinSet::new();
    let mut seed = ctx.seed ^ ((engine.number as u64) << 32);
    while let Ok((stream, _)) = listener.accept().await {
        seed += 1;
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let connection = EngineConnection::new(
            Arc::clone(&ctx),
            engine.clone(),
            WireStream::new(stream),
            rng,
            Arc::clone(&used_slots),
        );
        connections.spawn(connection.serve());
    }
}

/// The id, the number and the software version of an engine.
#[derive(Clone, Debug)]
pub struct EngineIdentity {
    pub id: String,
    pub number: usize,
    pub version: String,
}

/// Serves the platform's list.
pub async fn serve_platform_list(ctx: &Arc<SoakContext>) -> std::io::Result<()> {
    let listener = TcpListener::bind(ctx.address(AddressKind::List, 0, LIST_PORT)).await?;
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let ctx = Arc::clone(&ctx);
            tokio::spawn(async move {
                let mut wire = WireStream::new(stream);
                while wire.read_request().await.is_ok() {
                    let text = response_text(200, "", &list_document(&ctx).to_string());
                    if wire.write(&text).await.is_err() {
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
        json!({"id": engine.id, "service": engine.service, "address": engine.listed_address, "zone": "a", "slots": ENGINE_SLOTS,
               "state": state, "version": engine.version, "cold_left_ms": 0})
    });
    json!({"instances": rows.collect::<Vec<Value>>(), "next_token": null})
}
