//! Daemons that serve routes over loopback, between HTTP callers and scripted engines that speak
//! the platform's dialect.

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::json;
use slog::{Discard, Logger, o};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tarragonknot::platform::{self, ContractFeatures};
use tarragonknot::table::{PrefixReuse, VersionedTable};
use tarragonknot::traffic::{
    DrainTimes, FrontendHandle, TrafficState, start_exchange, start_frontend, start_relay_server,
    start_voter_exchange,
};
use tarragonknot::upstream::{PlatformList, VmRow, VmState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::runtime::{Handle, Runtime};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// API key of `agents`, the only organisation.
pub const KEY: &str = "agents-key";

/// A request as an engine received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub id: String,
    pub path: String,
    pub head: String,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Looks up a header value, ignoring the case of its name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut rows = self.head.lines().filter_map(|line| line.split_once(": "));
        rows.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

/// How a scripted engine handles a request.
#[derive(Clone, Debug)]
pub enum EngineAction {
    /// Sends a complete answer with the request id and the server seal.
    Answer(u16, &'static str),
    /// Declares with the documented header that the request was not run.
    NotRun,
    /// Rejects the request with this status and header line, under the request's id.
    Rejected(u16, &'static str),
    /// Answers 421: the engine is not the expected incarnation.
    OtherIncarnation,
    /// Writes these bytes, which belong to an earlier exchange, then runs the request.
    RunAfterStray(&'static str),
    /// Reads the request and closes the connection without an answer.
    Close,
    /// Reads the request and closes the connection once this becomes true.
    CloseWhen(watch::Receiver<bool>),
    /// Keeps the connection open without an answer.
    Silent,
    /// Sends a sealed answer with the id of another request.
    Crossed,
    /// Sends a complete answer with this body once this becomes true.
    AnswerWhen(watch::Receiver<bool>, &'static str),
    /// Streams the events with ids from the first to the last and ends the stream properly.
    Events(u64, u64),
    /// Streams the events after the one that the request names, at a pace.
    PacedEvents(EventPace),
    /// Streams the events, then half of the next one, then closes the connection.
    CutEvents(u64, u64),
    /// Sends fewer bytes than the declared content length.
    Truncated,
    /// Writes these bytes, where `{id}` is replaced by the request's id, then ends the connection.
    Raw(String, ConnectionEnd),
    /// Writes these bytes, each part by itself, then ends the connection.
    RawParts(Vec<Vec<u8>>, ConnectionEnd),
    /// Crashes the engine: closes all its connections and the listening socket.
    Crash,
    /// Streams the events with ids from the first to the last, then crashes like `Crash`.
    CrashAfter(u64, u64),
    /// Reserves a place with this id.
    Reserve(&'static str),
    /// Refuses the reservation because no place is free.
    NoPlace,
}

/// When an engine sends the events of a stream.
#[derive(Clone, Copy, Debug)]
pub struct EventPace {
    /// Number of the last event.
    pub last: u64,
    /// Time before the head of the answer.
    pub head_delay: Duration,
    /// Time between two events.
    pub gap: Duration,
    /// The event before a silence, and the length of the silence.
    pub silence: (u64, Duration),
    /// The event after which the engine closes the connection; 0 for none.
    pub breaks_after: u64,
}

/// How an engine ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Closes it.
    Close,
    /// Closes the sending direction and reads on.
    HalfClose,
    /// Resets it.
    Reset,
    /// Crashes the engine, which closes all its connections and the listening socket.
    Crash,
    /// Crashes the engine, whose listening socket another process keeps: it closes all its connections,
    /// and later ones open and get no answer.
    SupervisedCrash,
    /// Keeps it open.
    Stay,
}

type EngineScript = Arc<dyn Fn(usize, &ReceivedRequest) -> EngineAction + Send + Sync>;

/// An HTTP engine on loopback whose behaviour is set by a script.
pub struct ScriptedEngine {
    pub name: String,
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<ReceivedRequest>>>,
    has_ended: watch::Receiver<bool>,
}

impl ScriptedEngine {
    /// Starts an engine that calls `script` with the index of each request, from 0.
    pub async fn start(
        name: &str,
        script: impl Fn(usize) -> EngineAction + Send + Sync + 'static,
    ) -> Self {
        Self::start_with_request(name, move |number, _| script(number)).await
    }

    /// Starts an engine whose script is also given the request.
    pub async fn start_with_request(
        name: &str,
        script: impl Fn(usize, &ReceivedRequest) -> EngineAction + Send + Sync + 'static,
    ) -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").await.expect("a loopback port can be bound");
        let address = listener.local_addr().expect("the socket has a local address");
        let seen: Arc<Mutex<Vec<ReceivedRequest>>> = Arc::default();
        let (end, has_ended) = watch::channel(false);
        let keeps_socket = Arc::new(AtomicBool::new(false));
        let keeps = Arc::clone(&keeps_socket);
        let (script, end): (EngineScript, _) = (Arc::new(script), Arc::new(end));
        let log = Arc::clone(&seen);
        let mut ended = has_ended.clone();
        tokio::spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    _ = ended.changed() => break,
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { break };
                        let (log, script, end) = (Arc::clone(&log), Arc::clone(&script), Arc::clone(&end));
                        let keeps_socket = Arc::clone(&keeps_socket);
                        connections.spawn(serve(stream, log, script, (end, keeps_socket)));
                    }
                }
            }
            connections.shutdown().await;
            if keeps.load(Ordering::SeqCst) {
                std::future::pending().await
            }
        });
        ScriptedEngine { name: name.to_owned(), address, seen, has_ended }
    }

    /// Returns true once the engine has crashed.
    pub fn has_ended(&self) -> bool {
        *self.has_ended.borrow()
    }

    /// Returns the received requests, without GET requests: these are probes and run nothing.
    pub fn seen(&self) -> Vec<ReceivedRequest> {
        let seen = self.seen.lock().expect("no holder of the lock panics");
        seen.iter().filter(|request| !request.head.starts_with("GET ")).cloned().collect()
    }

    /// Counts the received requests, without probes.
    pub fn count(&self) -> usize {
        self.seen().len()
    }
}

async fn serve(
    mut stream: TcpStream,
    log: Arc<Mutex<Vec<ReceivedRequest>>>,
    script: EngineScript,
    (end, keeps_socket): (Arc<watch::Sender<bool>>, Arc<AtomicBool>),
) {
    while let Some(request) = read_request(&mut stream).await {
        let number = {
            let mut seen = log.lock().expect("no holder of the lock panics");
            seen.push(request.clone());
            seen.len() - 1
        };
        let action = script(number, &request);
        let is_crash = matches!(
            action,
            EngineAction::Crash
                | EngineAction::CrashAfter(..)
                | EngineAction::Raw(_, ConnectionEnd::Crash | ConnectionEnd::SupervisedCrash)
        );
        if matches!(action, EngineAction::Raw(_, ConnectionEnd::SupervisedCrash)) {
            keeps_socket.store(true, Ordering::SeqCst);
        }
        let is_kept_open = perform(&mut stream, &request, action).await;
        if is_crash {
            // The accept loop shuts its `JoinSet` down on this signal, which closes all connections.
            let _ = end.send(true);
            return std::future::pending().await;
        }
        if !is_kept_open {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        let mut buffer = [0; 4096];
        let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut request =
        ReceivedRequest { id: String::new(), path: String::new(), head, body: Vec::new() };
    let length: usize =
        request.header("content-length").map_or(0, |text| text.parse().unwrap_or(0));
    while bytes.len() < end + length {
        let mut buffer = [0; 4096];
        let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
        bytes.extend_from_slice(&buffer[..count]);
    }
    request.id = request.header("tarragonknot-request-id").unwrap_or_default().to_owned();
    request.path = request.head.split(' ').nth(1).unwrap_or_default().to_owned();
    request.body = bytes[end..end + length].to_vec();
    Some(request)
}

/// Performs an action; returns false if it closes the connection.
async fn perform(stream: &mut TcpStream, request: &ReceivedRequest, action: EngineAction) -> bool {
    let echo =
        format!("tarragonknot-request-id: {}\r\ntarragonknot-server-seal: seal-1\r\n", request.id);
    let events = |first: u64, last: u64| {
        (first..=last).map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect::<String>()
    };
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let stream_head = format!(
        "HTTP/1.1 200 OK\r\n{echo}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    let (text, is_kept_open) = match action {
        EngineAction::Answer(status, body) => (
            format!("HTTP/1.1 {status} X\r\n{echo}content-length: {}\r\n\r\n{body}", body.len()),
            true,
        ),
        EngineAction::NotRun => (
            format!("HTTP/1.1 503 X\r\n{echo}tarragonknot-not-executed: 1\r\ncontent-length: 0\r\n\r\n"),
            true,
        ),
        EngineAction::Rejected(status, header) => (
            format!(
                "HTTP/1.1 {status} X\r\ntarragonknot-request-id: {}\r\n{header}content-length: 0\r\n\r\n",
                request.id
            ),
            true,
        ),
        EngineAction::OtherIncarnation => (
            format!(
                "HTTP/1.1 421 X\r\ntarragonknot-request-id: {}\r\ncontent-length: 0\r\n\r\n",
                request.id
            ),
            true,
        ),
        EngineAction::RunAfterStray(stray) => {
            (format!("{stray}HTTP/1.1 200 X\r\n{echo}content-length: 4\r\n\r\nfine"), true)
        }
        EngineAction::AnswerWhen(mut signal, body) => {
            let _ = signal.wait_for(|is_due| *is_due).await;
            (format!("HTTP/1.1 200 X\r\n{echo}content-length: {}\r\n\r\n{body}", body.len()), true)
        }
        EngineAction::Close | EngineAction::Crash => (String::new(), false),
        EngineAction::CloseWhen(mut signal) => {
            let _ = signal.wait_for(|is_due| *is_due).await;
            return false;
        }
        EngineAction::Silent => {
            let mut buffer = [0; 16];
            let _ = stream.read(&mut buffer).await;
            return false;
        }
        EngineAction::Crossed => (
            "HTTP/1.1 200 OK\r\ntarragonknot-request-id: other\r\ntarragonknot-server-seal: seal-2\r\n\
             content-length: 5\r\n\r\nwrong"
                .to_owned(),
            true,
        ),
        EngineAction::Events(first, last) => {
            (format!("{stream_head}{}0\r\n\r\n", chunk(&events(first, last))), true)
        }
        EngineAction::CrashAfter(first, last) => {
            (format!("{stream_head}{}", chunk(&events(first, last))), false)
        }
        EngineAction::PacedEvents(pace) => {
            return send_paced(stream, request, &stream_head, pace).await.is_ok();
        }
        EngineAction::CutEvents(first, last) => {
            let half = format!("id: {}\ndata: pie", last + 1);
            (format!("{stream_head}{}{}", chunk(&events(first, last)), chunk(&half)), false)
        }
        EngineAction::Reserve(place) => {
            let body = json!({"hold": place}).to_string();
            (format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()), true)
        }
        EngineAction::NoPlace => ("HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n".to_owned(), true),
        EngineAction::Raw(text, end) => {
            let is_written = stream.write_all(text.replace("{id}", &request.id).as_bytes()).await;
            return is_written.is_ok() && end_connection(stream, end).await;
        }
        EngineAction::RawParts(parts, end) => {
            let is_written = write_parts(stream, &parts).await;
            return is_written.is_ok() && end_connection(stream, end).await;
        }
        EngineAction::Truncated => {
            (format!("HTTP/1.1 200 OK\r\n{echo}content-length: 100\r\n\r\nshort"), false)
        }
    };
    stream.write_all(text.as_bytes()).await.is_ok() && is_kept_open
}

/// Sends the events of a stream at a pace; fails if the connection ends or is to be closed.
async fn send_paced(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    head: &str,
    pace: EventPace,
) -> std::io::Result<()> {
    let after = request.header("last-event-id").map_or(0, |id| id.parse().expect("a number"));
    tokio::time::sleep(pace.head_delay).await;
    stream.write_all(head.as_bytes()).await?;
    for id in after + 1..=pace.last {
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await?;
        if id == pace.breaks_after {
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        tokio::time::sleep(pace.gap).await;
        if id == pace.silence.0 {
            tokio::time::sleep(pace.silence.1).await;
        }
    }
    stream.write_all(b"0\r\n\r\n").await
}

/// Writes each part so that it is likely to be read by itself.
async fn write_parts(stream: &mut TcpStream, parts: &[Vec<u8>]) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    for part in parts {
        stream.write_all(part).await?;
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// Ends a connection; returns true if it stays open.
async fn end_connection(stream: &mut TcpStream, end: ConnectionEnd) -> bool {
    match end {
        ConnectionEnd::Stay => return true,
        ConnectionEnd::Close | ConnectionEnd::Crash | ConnectionEnd::SupervisedCrash => {}
        ConnectionEnd::Reset => stream.set_zero_linger().expect("SO_LINGER can be set"),
        ConnectionEnd::HalfClose => {
            let _ = stream.shutdown().await;
            let mut buffer = [0; 1_024];
            while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
        }
    }
    false
}

/// Listeners on the same port of as many loopback addresses.
async fn relay_listeners(count: usize) -> Vec<TcpListener> {
    loop {
        let first = TcpListener::bind("127.0.1.1:0").await.expect("a loopback port can be bound");
        let port = first.local_addr().expect("the socket has a local address").port();
        let mut listeners = vec![first];
        for number in 2..=count as u8 {
            let listener = TcpListener::bind((Ipv4Addr::new(127, 0, 1, number), port)).await;
            listeners.extend(listener);
        }
        if listeners.len() == count {
            return listeners;
        }
    }
}

/// The runtime of one daemon. Once it is dropped, its tasks and sockets have ended like those of a
/// killed process.
pub struct DaemonRuntime(Option<Runtime>);

impl DaemonRuntime {
    pub fn new() -> Self {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build();
        DaemonRuntime(Some(runtime.expect("a runtime starts")))
    }

    pub fn handle(&self) -> Handle {
        self.0.as_ref().expect("the runtime runs until it is dropped").handle().clone()
    }
}

impl Drop for DaemonRuntime {
    fn drop(&mut self) {
        self.0.take().into_iter().for_each(Runtime::shutdown_background);
    }
}

/// A daemon and its engines, all of one service.
pub struct RoutedFleet {
    pub state: Arc<TrafficState>,
    pub front: FrontendHandle,
    pool: &'static str,
}

/// What a caller received of a stream.
#[derive(Debug)]
pub struct ReceivedStream {
    pub status: StatusCode,
    pub text: String,
    /// True if the answer was complete.
    pub is_whole: bool,
}

/// An answer as the caller received it; `body` is `None` if the connection broke within it.
#[derive(Debug)]
pub struct CallerAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Option<String>,
}

/// Times of a drain, whose grace time no test reaches.
const DRAIN_TIMES: DrainTimes =
    DrainTimes { balancer_wait: Duration::from_millis(10), grace: Duration::from_secs(600) };

/// Builds a table document with a route of each kind.
pub fn document(version: u64) -> String {
    let route = |name: &str, kind: &str, attempts: u32, resumable: bool| {
        json!({"name": name, "host": "shop.example", "path_prefix": format!("/{name}/"), "kind": kind,
               "timeout_ms": 3000, "latency_slo_ms": 200, "priority": 0, "service": "pool",
               "max_attempts": attempts, "public": false, "resumable": resumable, "gap_slo_ms": 100})
    };
    let routes = [
        route("safe", "safe", 2, false),
        route("unsafe", "unsafe", 1, false),
        route("stream", "stream", 1, false),
        route("resumable", "stream", 2, true),
    ];
    json!({"version": version, "routes": routes, "services": [{"name": "pool", "engine": {"slots": 4}}],
           "tenants": [{"name": "agents", "api_keys": [KEY]}]})
    .to_string()
}

/// Builds the same document with engines that support reservations.
pub fn document_with_reservations(version: u64) -> String {
    let plain = r#""engine":{"slots":4}"#;
    let document = document(version);
    assert!(document.contains(plain), "the document has no plain engine: {document}");
    document.replace(plain, r#""engine":{"slots":4,"hold_ms":2000.0}"#)
}

fn message_socket(ip: IpAddr) -> (UdpSocket, SocketAddr) {
    let socket = std::net::UdpSocket::bind((ip, 0)).expect("a loopback port can be bound");
    socket.set_nonblocking(true).expect("the socket can be set to non-blocking");
    let socket = UdpSocket::from_std(socket).expect("the runtime takes the socket");
    let address = socket.local_addr().expect("the socket has a local address");
    (socket, address)
}

/// Starts a voter that keeps records of streams and versions, on the current runtime.
pub fn start_voter(is_from_founding: bool) -> (Arc<TrafficState>, SocketAddr) {
    let state = TrafficState::new("voter".into(), Logger::root(Discard, o!()), 1);
    let (socket, address) = message_socket(IpAddr::from([127, 0, 0, 1]));
    state.origins.watch_versions(is_from_founding);
    start_voter_exchange(Arc::clone(&state), socket, address, Arc::from("a key"));
    (state, address)
}

impl RoutedFleet {
    /// Starts a daemon that knows the engines but has no table.
    pub async fn without_table(engines: &[&ScriptedEngine]) -> Self {
        Self::with_service("127.0.0.1", "pool", engines)
    }

    /// Starts a daemon on a runtime, with version 1 of the table in force.
    pub fn start_on(runtime: &Handle, log: Logger, engines: &[&ScriptedEngine]) -> Self {
        let _context = runtime.enter();
        let fleet = Self::with_log("127.0.0.1", "pool", engines, log);
        fleet.apply(1, &document(1));
        fleet
    }

    fn with_service(daemon: &str, pool: &'static str, engines: &[&ScriptedEngine]) -> Self {
        Self::with_log(daemon, pool, engines, Logger::root(Discard, o!()))
    }

    fn with_log(
        daemon: &str,
        pool: &'static str,
        engines: &[&ScriptedEngine],
        log: Logger,
    ) -> Self {
        let state = TrafficState::new(daemon.into(), log, 7);
        state.set_interface(platform::interface(ContractFeatures::default(), PrefixReuse::Off));
        state.allow_expired_table();
        let listener =
            std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
        listener.set_nonblocking(true).expect("the socket can be set to non-blocking");
        let listener = TcpListener::from_std(listener).expect("the runtime takes the socket");
        let front = start_frontend(Arc::clone(&state), listener, DRAIN_TIMES);
        let fleet = RoutedFleet { state, front: front.expect("the front end starts"), pool };
        fleet.list(engines, VmState::Live);
        fleet
    }

    /// Starts a daemon that knows the engines and has version 1 of the table in force.
    pub async fn start(engines: &[&ScriptedEngine]) -> Self {
        let fleet = Self::without_table(engines).await;
        fleet.apply(1, &document(1));
        fleet
    }

    /// Starts the same daemon with another service name, so that its metrics are separate.
    pub async fn start_service(pool: &'static str, engines: &[&ScriptedEngine]) -> Self {
        let fleet = Self::with_service("127.0.0.1", pool, engines);
        fleet.apply(1, &document(1).replace("\"pool\"", &format!("\"{pool}\"")));
        fleet
    }

    /// Starts `count` daemons that exchange state and pass requests on, with version 1 of the table
    /// in force.
    pub async fn start_peers(count: usize, engines: &[&ScriptedEngine]) -> Vec<Self> {
        Self::start_peers_on(&vec![Handle::current(); count], engines).await
    }

    /// Starts a daemon on each of the runtimes, as [`RoutedFleet::start_peers`], beside a voter that
    /// founds the fleet.
    pub async fn start_peers_on(runtimes: &[Handle], engines: &[&ScriptedEngine]) -> Vec<Self> {
        Self::start_peers_beside(start_voter(true).1, runtimes, engines).await
    }

    /// Starts a daemon on each of the runtimes, as [`RoutedFleet::start_peers`], beside a voter.
    pub async fn start_peers_beside(
        voter: SocketAddr,
        runtimes: &[Handle],
        engines: &[&ScriptedEngine],
    ) -> Vec<Self> {
        let mut fleets = Vec::new();
        let mut addresses = Vec::new();
        let key: Arc<str> = Arc::from("a key");
        let relays = relay_listeners(runtimes.len()).await;
        for (number, (relay, runtime)) in relays.into_iter().zip(runtimes).enumerate() {
            let own = relay.local_addr().expect("the socket has a local address");
            let relay = relay.into_std().expect("the runtime gives the socket back");
            let _context = runtime.enter();
            let relay = TcpListener::from_std(relay).expect("the runtime takes the socket");
            let fleet = Self::with_service(&format!("entry-{number}"), "pool", engines);
            fleet.state.origins.set_voters(vec![voter]);
            fleet.apply(1, &document(1));
            let (socket, address) = message_socket(own.ip());
            start_exchange(Arc::clone(&fleet.state), socket, address, Arc::clone(&key), None);
            fleet.state.relay.enable(own, Arc::clone(&key));
            start_relay_server(Arc::clone(&fleet.state), relay);
            addresses.push(address);
            fleets.push(fleet);
        }
        for fleet in &fleets {
            fleet.state.fleet.set_serving_list(addresses.clone(), fleet.state.clock.now());
        }
        fleets
    }

    /// Makes a peer known that takes requests at `relay`.
    pub fn add_peer(&self, relay: SocketAddr) {
        let key: Arc<str> = Arc::from("a key");
        let (socket, own) = message_socket(IpAddr::from([127, 0, 1, 1]));
        start_exchange(Arc::clone(&self.state), socket, own, Arc::clone(&key), None);
        self.state.relay.enable(SocketAddr::new(own.ip(), relay.port()), key);
        self.state.fleet.set_serving_list(vec![own, relay], self.state.clock.now());
    }

    /// Puts a table document in force.
    pub fn apply(&self, version: u64, document: &str) {
        self.state.apply_table(&VersionedTable::from_document(version, &Arc::from(document)));
    }

    /// Applies a platform list that has the engines in this state.
    pub fn list(&self, engines: &[&ScriptedEngine], state: VmState) {
        let versions: Vec<_> = engines.iter().map(|engine| (*engine, "v1")).collect();
        self.list_versions(&versions, state);
    }

    /// Applies a platform list that has the engines with their software versions.
    pub fn list_versions(&self, engines: &[(&ScriptedEngine, &str)], state: VmState) {
        let row = |(engine, version): &(&ScriptedEngine, &str)| VmRow {
            service: self.pool.into(),
            upstream: engine.name.as_str().into(),
            address: engine.address,
            state,
            incarnation: 0,
            places: Some(4),
            version: Some((*version).into()),
            data_centre: None,
            is_cold: false,
        };
        self.state.apply_platform_list(PlatformList { vms: engines.iter().map(row).collect() });
    }

    /// Applies a platform list that has engines of these names at these addresses.
    pub fn list_addresses(&self, engines: &[(&str, SocketAddr)]) {
        let row = |(name, address): &(&str, SocketAddr)| VmRow {
            service: self.pool.into(),
            upstream: (*name).into(),
            address: *address,
            state: VmState::Live,
            incarnation: 0,
            places: Some(4),
            version: Some("v1".into()),
            data_centre: None,
            is_cold: false,
        };
        self.state.apply_platform_list(PlatformList { vms: engines.iter().map(row).collect() });
    }

    /// Applies a platform list that has the engines with their data centres.
    pub fn list_data_centres(&self, engines: &[(&ScriptedEngine, &str)]) {
        let row = |(engine, data_centre): &(&ScriptedEngine, &str)| VmRow {
            service: self.pool.into(),
            upstream: engine.name.as_str().into(),
            address: engine.address,
            state: VmState::Live,
            incarnation: 0,
            places: Some(4),
            version: None,
            data_centre: Some((*data_centre).into()),
            is_cold: false,
        };
        self.state.apply_platform_list(PlatformList { vms: engines.iter().map(row).collect() });
    }

    /// Sends a request with the key of `agents` and reads its answer.
    pub async fn call(&self, path: &str, id: &str) -> CallerAnswer {
        self.call_with(path, id, KEY, &[]).await
    }

    /// Sends a request with a key and additional headers.
    pub async fn call_with(
        &self,
        path: &str,
        id: &str,
        key: &str,
        headers: &[(&str, &str)],
    ) -> CallerAnswer {
        self.send(path, id, (key, headers), "the body").await
    }

    /// Sends a request without an id.
    pub async fn call_without_id(&self, path: &str) -> CallerAnswer {
        Self::answer(self.request(path, (KEY, &[]), "the body")).await
    }

    /// Sends a request with a body.
    pub async fn call_body(&self, path: &str, id: &str, body: &str) -> CallerAnswer {
        self.send(path, id, (KEY, &[]), body).await
    }

    /// Sends a request with additional headers and reads what comes of its stream.
    pub async fn stream(&self, path: &str, id: &str, headers: &[(&str, &str)]) -> ReceivedStream {
        self.stream_for(KEY, path, id, headers).await
    }

    /// As [`RoutedFleet::stream`], with another key.
    pub async fn stream_for(
        &self,
        key: &str,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> ReceivedStream {
        let received = self.try_stream(key, path, id, headers).await;
        received.expect("the request gets a response")
    }

    /// As [`RoutedFleet::stream_for`]; `None` if the connection ends before the head of an answer.
    pub async fn try_stream(
        &self,
        key: &str,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> Option<ReceivedStream> {
        // Upstreams may be held to have crashed under a body that several streams share.
        let mut request = self.request(path, (key, headers), id);
        request.headers_mut().insert("tarragonknot-request-id", id.parse().expect("a valid id"));
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await.ok()?;
        let (status, mut body) = (response.status(), response.into_body());
        let mut bytes = Vec::new();
        let is_whole = loop {
            match body.frame().await {
                None => break true,
                Some(Err(_)) => break false,
                Some(Ok(frame)) => bytes.extend(frame.into_data().unwrap_or_default()),
            }
        };
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Some(ReceivedStream { status, text, is_whole })
    }

    async fn send(
        &self,
        path: &str,
        id: &str,
        caller: (&str, &[(&str, &str)]),
        body: &str,
    ) -> CallerAnswer {
        let mut request = self.request(path, caller, body);
        let id = id.parse().expect("the id is a valid header value");
        request.headers_mut().insert("tarragonknot-request-id", id);
        Self::answer(request).await
    }

    /// Builds a request without an id.
    fn request(
        &self,
        path: &str,
        (key, headers): (&str, &[(&str, &str)]),
        body: &str,
    ) -> Request<Full<Bytes>> {
        let request = Request::post(format!("http://{}{path}", self.front.address))
            .header("host", "shop.example")
            .header("tarragonknot-deadline-ms", "2500")
            .header("authorization", format!("Bearer {key}"));
        let mut request = request
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("the request consists of valid parts");
        for (name, value) in headers {
            let name: http::HeaderName = name.parse().expect("a valid name");
            request.headers_mut().insert(name, value.parse().expect("a valid value"));
        }
        request
    }

    async fn answer(request: Request<Full<Bytes>>) -> CallerAnswer {
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await.expect("the request gets a response");
        let (head, body) = response.into_parts();
        let body = body.collect().await.ok();
        let body = body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned());
        CallerAnswer { status: head.status, headers: head.headers, body }
    }
}
