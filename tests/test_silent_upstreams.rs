//! Answers of the own interface that have begun end whole, however long their upstream is silent.

use crate::fixtures::{AGENTS_KEY, SmallFleet, small_fleet_at};
use crate::routed_fleet::DaemonRuntime;
use futures_util::{StreamExt, future, stream};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tarragonknot::report::json_logger;
use tarragonknot::standin::{
    EngineShape, PlainShape, PrefillLedger, StandinFault, start_engine, start_plain,
};
use tarragonknot::table::{OperatorTable, VersionedTable};
use tarragonknot::upstream::{
    ConnectionPool, EngineDriver, PieceRead, UpstreamCall, UpstreamDriver,
};
use tokio::net::TcpListener;

/// Events of a whole stream.
const EVENTS: u32 = 24;
/// Streams of a test.
const STREAMS: usize = 12;
/// Events before a silence.
const BEFORE_SILENCE: u64 = 8;
/// Silences of upstreams, in milliseconds; the first resumption comes after 200.
const SILENCES_MS: std::ops::Range<u64> = 500..2_400;
/// A silence after which each resumption of the code before would have been silent too.
const LONG_SILENCE: Duration = Duration::from_millis(1_300);
/// Time for which the daemon's only traffic thread stands still.
const STALL: Duration = Duration::from_millis(1_500);
/// Far longer than a test.
const NEVER: Duration = Duration::from_secs(600);
const SEED: u64 = 57;

/// The log of a daemon.
#[derive(Clone, Default)]
struct SharedLog(Arc<Mutex<Vec<u8>>>);

impl Write for SharedLog {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no holder of the lock panics").write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl SharedLog {
    /// The only line with this message, which may be written a little later than the answer.
    async fn line(&self, message: &str) -> Value {
        for _ in 0..2_000 {
            if let [line] = self.lines(message).as_slice() {
                return line.clone();
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("no line, or more than one: {:?}", self.lines(message));
    }

    fn lines(&self, message: &str) -> Vec<Value> {
        let bytes = self.0.lock().expect("no holder of the lock panics").clone();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.filter(|line| line["message"] == message).collect()
    }
}

/// A daemon with its own runtime of one thread, and its upstreams.
struct SilentFleet {
    fleet: SmallFleet,
    runtime: DaemonRuntime,
    log: SharedLog,
}

/// What a caller received.
#[derive(Debug)]
struct Received {
    status: StatusCode,
    text: String,
    is_whole: bool,
}

impl Received {
    /// How the answer ends, for messages.
    fn end(&self) -> String {
        match self.is_whole {
            true => format!("{} {}", self.status, self.text.len()),
            false => format!("cut after {} events", self.text.matches("\ndata: ").count()),
        }
    }

    /// True if the answer has each event of a stream once and in order, and its end.
    fn has_all_events(&self) -> bool {
        let ids = self.text.lines().filter_map(|line| line.strip_prefix("id: "));
        let ids: Vec<u32> = ids.map(|id| id.parse().expect("ids are numbers")).collect();
        self.status == StatusCode::OK
            && self.is_whole
            && ids.into_iter().eq(1..=EVENTS)
            && self.text.ends_with("data: [DONE]\n\n")
    }
}

impl SilentFleet {
    async fn start(change: impl FnOnce(&mut OperatorTable) + Send + 'static) -> Self {
        let shape = EngineShape::with_step(1_000);
        let ledger = Arc::new(PrefillLedger::default());
        let engine = start_engine(shape, ledger, Duration::ZERO).await.expect("the engine starts");
        let service = start_plain(PlainShape::default()).await.expect("the service starts");
        let (runtime, log) = (DaemonRuntime::new(), SharedLog::default());
        let logger = json_logger(log.clone(), slog::Level::Info, "entry");
        let fleet = runtime.handle().spawn(small_fleet_at(engine, service, logger, |table| {
            table.services.iter_mut().for_each(|row| row.deadline_ms = NEVER);
            change(table);
        }));
        SilentFleet { fleet: fleet.await.expect("the daemon starts"), runtime, log }
    }

    /// Asks for all streams, and does `meanwhile` once the engine has all of them.
    async fn stream_all(&self, meanwhile: impl AsyncFnOnce()) -> Vec<Received> {
        let address = self.fleet.front.address;
        let streams = future::join_all((0..STREAMS).map(|_| chat(address, true)));
        let begun = async {
            while self.fleet.engine.dispatches().len() < STREAMS {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            meanwhile().await;
        };
        let (received, ()) = tokio::join!(streams, begun);
        received
    }

    fn assert_all_whole(&self, streams: &[Received]) {
        let mut ends: BTreeMap<String, usize> = BTreeMap::new();
        let broken = streams.iter().filter(|stream| !stream.has_all_events());
        broken.for_each(|stream| *ends.entry(stream.end()).or_default() += 1);
        assert!(ends.is_empty(), "of {} streams: {ends:?}", streams.len());
        let dispatches = self.fleet.engine.dispatches();
        assert!(dispatches.values().all(|count| *count == 1), "{dispatches:?}");
    }
}

async fn ask(address: SocketAddr, method: Method, path: &str, body: String) -> Received {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {AGENTS_KEY}"))
        .body(Full::from(body))
        .expect("the request is valid");
    let response = client.request(request).await.expect("the request gets a response");
    let (status, mut body) = (response.status(), response.into_body());
    let (mut bytes, mut is_whole) = (Vec::new(), true);
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => {
                is_whole = false;
                break;
            }
        }
    }
    Received { status, text: String::from_utf8(bytes).expect("answers are text"), is_whole }
}

async fn chat(address: SocketAddr, is_stream: bool) -> Received {
    let body = format!(
        r#"{{"model":"pack-llm","stream":{is_stream},"max_tokens":{EVENTS},"messages":[{{"role":"user","content":"list"}}]}}"#
    );
    ask(address, Method::POST, "/v1/chat/completions", body).await
}

/// How many of the streams fall silent.
#[derive(Clone, Copy, Debug)]
enum SilentPart {
    Some,
    All,
}

impl SilentPart {
    fn includes(self, number: usize) -> bool {
        matches!(self, SilentPart::All) || number.is_multiple_of(2)
    }
}

/// Guards against leaving a stream whose connection is silent before its resumption is certain.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_stream_is_left_only_for_a_resumption(
    #[values(SilentPart::Some, SilentPart::All)] part: SilentPart,
    #[values(
        StandinFault::None,
        StandinFault::Refused(404),
        StandinFault::Refused(503),
        StandinFault::Refused(200),
        StandinFault::Delayed(NEVER),
        StandinFault::Delayed(Duration::from_millis(400)),
        StandinFault::Silent(BEFORE_SILENCE),
        StandinFault::Reset,
        StandinFault::Crossed,
        StandinFault::Duplicated,
        StandinFault::Truncated(BEFORE_SILENCE)
    )]
    resumption: StandinFault,
) {
    let silent = SilentFleet::start(|_| {}).await;
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for number in 0..STREAMS {
        let time = Duration::from_millis(rng.random_range(SILENCES_MS));
        let fault = StandinFault::Paused(BEFORE_SILENCE, time);
        let fault = if part.includes(number) { fault } else { StandinFault::None };
        silent.fleet.engine.faults.push(fault);
    }
    silent.fleet.engine.resume_faults.repeat(resumption);

    let streams = silent.stream_all(async || {}).await;

    silent.assert_all_whole(&streams);
}

/// Guards against losing a stream whose first resumption breaks off after it has taken over.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumption_that_breaks_off_is_resumed() {
    let silent = SilentFleet::start(|_| {}).await;
    silent.fleet.engine.faults.repeat(StandinFault::Paused(BEFORE_SILENCE, LONG_SILENCE));
    for _ in 0..STREAMS {
        silent.fleet.engine.resume_faults.push(StandinFault::Truncated(BEFORE_SILENCE + 2));
    }

    let streams = silent.stream_all(async || {}).await;

    silent.assert_all_whole(&streams);
}

/// Guards against ending answers because their upstream is silent on each connection for a time.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_upstream_is_awaited(#[values(true, false)] is_stream: bool) {
    let silent = SilentFleet::start(|_| {}).await;
    let address = silent.fleet.front.address;
    let engine = Arc::clone(&silent.fleet.engine);
    engine.set_slowness(LONG_SILENCE.as_micros() as f64 / 1_000.0);
    tokio::spawn(async move {
        tokio::time::sleep(LONG_SILENCE * 3).await;
        engine.set_slowness(1.0);
    });

    let asked = (0..STREAMS).map(|_| chat(address, is_stream));
    let received = future::join_all(asked).await;

    let is_whole = |answer: &&Received| match is_stream {
        true => answer.has_all_events(),
        false => answer.status == StatusCode::OK && answer.text.contains(":24 "),
    };
    let ends: Vec<String> =
        received.iter().filter(|answer| !is_whole(answer)).map(Received::end).collect();
    assert!(ends.is_empty(), "{ends:?}");
}

/// Guards against giving up a request whose answer has not begun, or is no stream, for a silence.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_answer_is_awaited(
    #[values(StandinFault::Delayed(LONG_SILENCE), StandinFault::Paused(0, LONG_SILENCE))]
    fault: StandinFault,
    #[values(
        StandinFault::None,
        StandinFault::Refused(404),
        StandinFault::Delayed(NEVER),
        StandinFault::Silent(0),
        StandinFault::Truncated(0)
    )]
    resumption: StandinFault,
    #[values(true, false)] is_stream: bool,
) {
    let silent = SilentFleet::start(|_| {}).await;
    silent.fleet.engine.faults.push(fault);
    silent.fleet.engine.resume_faults.repeat(resumption);

    let answer = chat(silent.fleet.front.address, is_stream).await;

    assert_eq!((answer.status, answer.is_whole), (StatusCode::OK, true), "{answer:?}");
    assert!(!is_stream || answer.has_all_events(), "{answer:?}");
    assert!(answer.text.contains(":24 "), "{answer:?}");
}

/// A table after the one under which the streams began.
#[derive(Clone, Copy, Debug)]
enum NextTable {
    OtherIncarnation,
    NoUpstream,
    NoService,
}

impl NextTable {
    fn change(self, table: &mut OperatorTable) {
        match self {
            NextTable::OtherIncarnation => {
                table.upstreams.iter_mut().for_each(|row| row.incarnation = 2)
            }
            NextTable::NoUpstream => table.upstreams.clear(),
            NextTable::NoService => {
                table.upstreams.clear();
                table.services.clear();
            }
        }
    }
}

/// Guards against leaving a silent stream for what a newer table or list says of its upstream.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_stream_is_not_left_for_a_table(
    #[values(NextTable::OtherIncarnation, NextTable::NoUpstream, NextTable::NoService)]
    table: NextTable,
) {
    let silent =
        SilentFleet::start(|table| table.upstreams.iter_mut().for_each(|row| row.incarnation = 1))
            .await;
    silent.fleet.engine.faults.repeat(StandinFault::Paused(BEFORE_SILENCE, LONG_SILENCE));

    let streams = silent
        .stream_all(async || {
            let mut next = silent.fleet.table.clone();
            table.change(&mut next);
            silent.fleet.state.apply_table(&VersionedTable::new(2, next));
        })
        .await;

    silent.assert_all_whole(&streams);
}

/// Guards against leaving streams of sound upstreams because this daemon stood still for a time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stalled_daemon_leaves_no_stream() {
    let silent = SilentFleet::start(|_| {}).await;
    silent.fleet.engine.set_slowness(15.0);
    silent.fleet.engine.resume_faults.repeat(StandinFault::Refused(404));

    let streams = silent
        .stream_all(async || {
            let stall = silent.runtime.handle().spawn(async { std::thread::sleep(STALL) });
            stall.await.expect("the task ends");
        })
        .await;

    silent.assert_all_whole(&streams);
}

/// Guards against losing a stream whose upstream breaks it off while it is being resumed beside.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_break_during_a_resumption_goes_on_with_it(
    #[values(StandinFault::None, StandinFault::Delayed(LONG_SILENCE))] resumption: StandinFault,
) {
    let silent = SilentFleet::start(|_| {}).await;
    let broken = StandinFault::TruncatedLate(BEFORE_SILENCE, Duration::from_millis(500));
    silent.fleet.engine.faults.repeat(broken);
    silent.fleet.engine.resume_faults.repeat(resumption);

    let streams = silent.stream_all(async || {}).await;

    silent.assert_all_whole(&streams);
}

/// Guards against a plain answer that pauses being ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_plain_answer_may_pause() {
    let silent = SilentFleet::start(|_| {}).await;
    silent.fleet.service.faults.push(StandinFault::Paused(0, LONG_SILENCE));

    let answer = ask(silent.fleet.front.address, Method::GET, "/pack-api/x", String::new()).await;

    assert_eq!((answer.status, answer.is_whole), (StatusCode::OK, true), "{answer:?}");
}

/// Guards against a stream that never ends, and against an end without a reason in the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_of_a_dead_upstream_ends_after_its_deadline() {
    let silent = SilentFleet::start(|table| {
        table.services.iter_mut().for_each(|row| row.deadline_ms = Duration::from_millis(700));
    })
    .await;
    silent.fleet.engine.faults.repeat(StandinFault::Silent(BEFORE_SILENCE));
    silent.fleet.engine.resume_faults.repeat(StandinFault::Silent(BEFORE_SILENCE));

    let mut answer = chat(silent.fleet.front.address, true).await;
    while answer.status == StatusCode::GATEWAY_TIMEOUT {
        // On a busy machine the deadline may pass before the answer begins.
        answer = chat(silent.fleet.front.address, true).await;
    }

    assert!(!answer.is_whole, "{answer:?}");
    let line = silent.log.line("stream cut").await;
    assert_eq!(line["ended_by"], "daemon");
    assert_eq!(line["cause"], "upstream-silent");
    assert_eq!(line["events"], BEFORE_SILENCE);
    assert!(line["silent_ms"].as_u64().is_some_and(|time| time > 0), "{line}");
}

/// Guards against an upstream's break in mid-stream that the log doesn't lay at its door.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_its_upstream_breaks_off_is_logged_so() {
    let silent = SilentFleet::start(|_| {}).await;
    let broken = StandinFault::TruncatedLate(BEFORE_SILENCE, Duration::from_millis(50));
    silent.fleet.engine.faults.push(broken);
    silent.fleet.engine.resume_faults.repeat(StandinFault::Refused(404));

    let answer = chat(silent.fleet.front.address, true).await;

    assert!(!answer.is_whole, "{answer:?}");
    let line = silent.log.line("stream cut").await;
    assert_eq!(line["ended_by"], "upstream");
    assert_eq!(line["cause"], "upstream-lost");
}

/// An engine of one event, whose connection stays open after the end marker.
async fn engine_with_an_open_end() -> SocketAddr {
    let run = || async {
        let event = Bytes::from_static(b"id: 1\ndata: {}\n\ndata: [DONE]\n\n");
        let event = stream::once(future::ready(Ok::<Bytes, std::io::Error>(event)));
        let body = axum::body::Body::from_stream(event.chain(stream::pending()));
        ([("content-type", "text/event-stream")], body)
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port can be bound");
    let address = listener.local_addr().expect("the listener is bound");
    let router = axum::Router::new().fallback(run);
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

/// Guards against losing a part of an answer, or its end, with a read that is given up for a silence.
#[rstest]
#[case::stream(true)]
#[case::whole_answer(false)]
#[tokio::test]
async fn a_read_that_is_given_up_loses_nothing(#[case] is_stream: bool) {
    let shape = EngineShape::with_step(1_000);
    let engine = start_engine(shape, Arc::new(PrefillLedger::default()), Duration::ZERO).await;
    let engine = engine.expect("the engine starts");
    engine.faults.repeat(StandinFault::Paused(0, Duration::from_millis(50)));
    let address = if is_stream { engine_with_an_open_end().await } else { engine.address };
    let call = UpstreamCall {
        id: "a".into(),
        method: Method::POST,
        uri: "/v1/chat/completions".parse().expect("the path is valid"),
        headers: [("content-type", "application/json")]
            .into_iter()
            .map(|(name, value)| (name.parse().expect("a name"), value.parse().expect("a value")))
            .collect(),
        body: r#"{"max_tokens":3,"messages":[{"content":"list"}]}"#.into(),
        wants_stream: is_stream,
        is_idempotent: true,
    };
    let driver = EngineDriver::new(Arc::new(ConnectionPool::default()));
    let mut pieces = driver.open(&call, address).await.expect("the engine answers").pieces;

    let mut received = Vec::new();
    for _ in 0..5_000 {
        let read = tokio::time::timeout(Duration::from_millis(1), pieces.next()).await;
        received.extend(read);
        if matches!(received.last(), Some(PieceRead::Ended { .. } | PieceRead::Cut)) {
            break;
        }
    }

    assert_eq!(received.len(), 2, "{received:?}");
    assert!(matches!(received[0], PieceRead::Piece(_)), "{received:?}");
    assert!(matches!(received[1], PieceRead::Ended { .. }), "{received:?}");
}
