//! What callers do with their connections while a stream is under way.

use crate::log_lines::LogLines;
use crate::raw_engine::{RawCaller, request_head};
use crate::routed_fleet::{
    ConnectionEnd, EngineAction, EventPace, KEY, ReceivedRequest, RoutedFleet, ScriptedEngine,
    document,
};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rstest::rstest;
use std::time::Duration;
use tarragonknot::report::{install_metrics, render_metrics};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Handle;

/// Events of a whole stream.
const EVENTS: u64 = 20;
/// Deadline of the callers and timeout of the routes, which no whole stream reaches.
const TIMEOUT_MS: u64 = 60_000;
/// Engines that stream evenly.
const STEADY: EventPace = EventPace {
    last: EVENTS,
    head_delay: Duration::ZERO,
    gap: Duration::from_millis(20),
    silence: (0, Duration::ZERO),
    breaks_after: 0,
};
/// Engines whose streams last longer than a test.
const ENDLESS: EventPace = EventPace { last: u64::MAX, ..STEADY };
/// Time within which a request must have ended; generous even for a busy machine.
const END_TIME: Duration = Duration::from_secs(120);
/// The body of the requests.
const BODY: &str = "the body";

/// A daemon with one engine.
struct FrontDoor {
    fleet: RoutedFleet,
    engine: ScriptedEngine,
    log: LogLines,
}

impl FrontDoor {
    async fn start(action: impl Fn() -> EngineAction + Send + Sync + 'static) -> Self {
        let script = move |_, request: &ReceivedRequest| match request.head.starts_with("GET ") {
            true => EngineAction::Answer(200, "ok"),
            false => action(),
        };
        let engine = ScriptedEngine::start_with_request("i-1", script).await;
        let log = LogLines::default();
        let fleet = RoutedFleet::start_on(&Handle::current(), log.logger(), &[&engine]);
        let timeout = format!("\"timeout_ms\":{TIMEOUT_MS}");
        fleet.apply(2, &document(2).replace("\"timeout_ms\":3000", &timeout));
        FrontDoor { fleet, engine, log }
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.fleet.front.address).await.expect("the daemon listens")
    }

    /// Sends a request, and waits until its engine has it.
    async fn begin(&self, stream: &mut TcpStream, head: &str) {
        let known = self.engine.count();
        stream.write_all(format!("{head}{BODY}").as_bytes()).await.expect("the daemon reads");
        while self.engine.count() == known {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// True once no request is in progress; false if that takes too long.
    async fn has_ended_all(&self) -> bool {
        let idle = async {
            while self.fleet.state.in_progress() > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(END_TIME, idle).await.is_ok()
    }
}

fn head(path: &str, id: &str) -> String {
    request_head(path, id, KEY, TIMEOUT_MS, BODY.len())
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let reading = tokio::time::timeout(END_TIME, stream.read_to_end(&mut bytes)).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    assert!(matches!(reading, Ok(Ok(_))), "{reading:?} after {} bytes: {text}", text.len());
    text
}

/// Numbers of the events in the bytes of an answer.
fn event_ids(text: &str) -> Vec<u64> {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("ids are numbers")).collect()
}

fn all_events() -> Vec<u64> {
    (1..=EVENTS).collect()
}

/// Guards against a stream being cut by a request that follows it on the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_pipelined_request_cuts_no_stream() {
    let door = FrontDoor::start(|| EngineAction::PacedEvents(STEADY)).await;
    let mut stream = door.connect().await;

    door.begin(&mut stream, &head("/stream/a", "first")).await;
    let second = head("/stream/a", "second").replace("host:", "connection: close\r\nhost:");
    stream.write_all(format!("{second}{BODY}").as_bytes()).await.expect("the daemon reads");
    let text = read_to_end(&mut stream).await;

    assert_eq!(text.matches("HTTP/1.1 200").count(), 2, "{text}");
    assert_eq!(event_ids(&text), [all_events(), all_events()].concat());
    assert_eq!(text.matches("\r\n0\r\n\r\n").count(), 2, "{text}");
}

/// Guards against a stream being cut by bytes that are no request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_after_a_request_cut_no_stream() {
    let door = FrontDoor::start(|| EngineAction::PacedEvents(STEADY)).await;
    let mut stream = door.connect().await;

    door.begin(&mut stream, &head("/stream/a", "first")).await;
    stream.write_all(b"\r\n\0 no request\r\n\r\n").await.expect("the daemon reads");
    let text = read_to_end(&mut stream).await;

    assert_eq!(event_ids(&text), all_events());
    assert!(text.contains("\r\n0\r\n\r\n"), "{text}");
}

/// Guards against the end of an answer being lost because bytes of its caller were never read.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_bytes_lose_no_answer(#[values(16, 3 << 20)] size: usize) {
    let door = FrontDoor::start(|| EngineAction::PacedEvents(STEADY)).await;
    let mut stream = door.connect().await;
    let request = head("/stream/a", "first").replace("host:", "connection: close\r\nhost:");

    door.begin(&mut stream, &request).await;
    let unread = "~".repeat(size);
    let writing = tokio::time::timeout(Duration::from_secs(1), stream.write_all(unread.as_bytes()));
    drop(writing.await);
    assert!(door.has_ended_all().await, "the stream goes on");
    let text = read_to_end(&mut stream).await;

    assert_eq!(event_ids(&text), all_events());
    assert!(text.contains("\r\n0\r\n\r\n"), "{text}");
}

/// Guards against callers of HTTP/1.0 getting no whole stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_without_chunks_gets_all_events() {
    let door = FrontDoor::start(|| EngineAction::PacedEvents(STEADY)).await;
    let mut stream = door.connect().await;

    door.begin(&mut stream, &head("/stream/a", "first").replace("HTTP/1.1", "HTTP/1.0")).await;
    let text = read_to_end(&mut stream).await;

    assert_eq!(event_ids(&text), all_events());
}

/// Guards against a cut stream that looks whole to a caller of HTTP/1.0.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_without_chunks_sees_that_a_stream_was_cut() {
    let broken = EventPace { breaks_after: EVENTS / 2, ..STEADY };
    let door = FrontDoor::start(move || EngineAction::PacedEvents(broken)).await;
    let mut stream = door.connect().await;

    door.begin(&mut stream, &head("/stream/a", "first").replace("HTTP/1.1", "HTTP/1.0")).await;
    let mut bytes = Vec::new();
    let reading = tokio::time::timeout(END_TIME, stream.read_to_end(&mut bytes)).await;
    let reading = reading.expect("the connection ends");

    assert!(reading.is_err(), "the answer looks whole: {}", String::from_utf8_lossy(&bytes));
}

/// Guards against work that goes on after its caller has closed the sending side.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_half_closed_connection_ends_its_stream() {
    let door = FrontDoor::start(|| EngineAction::PacedEvents(ENDLESS)).await;
    let mut stream = door.connect().await;

    door.begin(&mut stream, &head("/stream/a", "first")).await;
    stream.shutdown().await.expect("the sending side closes");

    assert!(door.has_ended_all().await, "the stream goes on");
    door.log.wait_for("caller left").await;
}

/// Guards against a stream that goes on after its caller has sent further bytes and closed its
/// connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn further_bytes_hide_no_close() {
    let door = FrontDoor::start(|| EngineAction::PacedEvents(ENDLESS)).await;
    let mut stream = door.connect().await;

    door.begin(&mut stream, &head("/stream/a", "first")).await;
    stream.write_all(b"GET / HTTP/1.1\r\n").await.expect("the daemon reads");
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(stream);

    assert!(door.has_ended_all().await, "the stream goes on");
}

/// Guards against work on a plain answer that goes on after its caller has sent further bytes and
/// closed its connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn further_bytes_hide_no_close_from_a_plain_answer() {
    let door = FrontDoor::start(|| EngineAction::Silent).await;
    let mut stream = door.connect().await;

    door.begin(&mut stream, &head("/unsafe/a", "first")).await;
    stream.write_all(b"GET / HTTP/1.1\r\n").await.expect("the daemon reads");
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(stream);

    let is_idle =
        tokio::time::timeout(Duration::from_millis(TIMEOUT_MS / 2), door.has_ended_all()).await;
    assert_eq!(is_idle.ok(), Some(true), "the request goes on");
}

/// Guards against a stream being cut because its caller reads nothing for seconds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_pauses_gets_all_bytes() {
    const SIZE: usize = 16 << 20;
    let door =
        FrontDoor::start(|| EngineAction::Raw(large_stream(SIZE), ConnectionEnd::Stay)).await;
    let mut stream = door.connect().await;
    let request = head("/stream/a", "first").replace("host:", "connection: close\r\nhost:");

    door.begin(&mut stream, &request).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let text = read_to_end(&mut stream).await;

    assert!(text.len() > SIZE && text.ends_with("\r\n0\r\n\r\n"), "{} bytes", text.len());
}

/// A whole stream with a large event.
fn large_stream(size: usize) -> String {
    let event = format!("id: 1\ndata: {}\n\n", "~".repeat(size));
    format!(
        "HTTP/1.1 200 OK\r\ntarragonknot-request-id: {{id}}\r\ntarragonknot-server-seal: s\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
         {:x}\r\n{event}\r\n0\r\n\r\n",
        event.len()
    )
}

/// Guards against a place that is held for ever because its caller reads nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_reads_nothing_holds_no_place_forever() {
    let events = "id: 1\ndata: more\n\n".repeat(4_096);
    let chunk = format!("{:x}\r\n{events}\r\n", events.len()).repeat(512);
    let text = format!(
        "HTTP/1.1 200 OK\r\ntarragonknot-request-id: {{id}}\r\ntarragonknot-server-seal: s\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n{chunk}"
    );
    let door = FrontDoor::start(move || EngineAction::Raw(text.clone(), ConnectionEnd::Stay)).await;
    let mut stream = door.connect().await;

    door.begin(&mut stream, &request_head("/stream/a", "first", KEY, 2_000, BODY.len())).await;
    let idle = async {
        while door.fleet.state.in_progress() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let is_idle = tokio::time::timeout(Duration::from_secs(120), idle).await.is_ok();

    assert!(is_idle, "the request goes on");
    drop(stream);
}

/// Guards against a connection that ends within an answer without a line in the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_that_fails_within_an_answer_is_logged() {
    install_metrics();
    let door = FrontDoor::start(|| EngineAction::PacedEvents(ENDLESS)).await;
    let mut caller = RawCaller::connect(door.fleet.front.address).await;

    caller.write(&format!("{}{BODY}", head("/stream/a", "first"))).await;
    caller.read_head().await;
    caller.reset();
    let line = door.log.wait_for("caller's connection failed").await;

    assert_eq!(line["unfinished"], 1, "{line}");
    assert!(line["cause"].is_string() && line["error"].is_string(), "{line}");
    let metrics = render_metrics(&door.fleet.state);
    let counters =
        ["tarragonknot_caller_connections_failed_total", "tarragonknot_answers_unfinished_total"];
    assert!(counters.iter().all(|name| metrics.contains(name)), "{metrics}");
}

/// Guards against a stream being cut by the timers of its caller's connection.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_outlasts_the_timers_of_its_connection(#[values(false, true)] is_http2: bool) {
    // Longer than the time for a head, and than a ping and the time for its answer.
    let slow = EventPace { gap: Duration::from_millis(2_200), ..STEADY };
    let door = FrontDoor::start(move || EngineAction::PacedEvents(slow)).await;
    let mut builder = Client::builder(TokioExecutor::new());
    let client: Client<_, Full<Bytes>> = builder.http2_only(is_http2).build_http();
    let request = Request::post(format!("http://{}/stream/a", door.fleet.front.address))
        .header("tarragonknot-request-id", "first")
        .header("tarragonknot-deadline-ms", TIMEOUT_MS)
        .header("authorization", format!("Bearer {KEY}"))
        .header("host", "shop.example");

    let response = client.request(request.body(Full::from(BODY)).expect("the parts are valid"));
    let response = response.await.expect("the request gets an answer");
    let body = response.into_body().collect().await.expect("the stream is whole").to_bytes();

    assert_eq!(event_ids(&String::from_utf8_lossy(&body)), all_events());
}
