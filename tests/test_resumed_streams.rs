//! Streams that are resumed, within an answer and by their callers, over loopback: each event comes
//! once and in order, and a stream that ends as complete is.

use crate::log_lines::LogLines;
use crate::routed_fleet::{
    ConnectionEnd, DaemonRuntime, EngineAction, EventPace, KEY, ReceivedRequest, ReceivedStream,
    RoutedFleet, ScriptedEngine, document,
};
use crate::stream_reader::{BYTE_ORDER_MARK, EventShape, event_ids, expected_data, read_events};
use futures_util::future::join_all;
use http::StatusCode;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use tarragonknot::policy::RetryBound;
use tarragonknot::upstream::VmState;

/// Events of a whole stream.
const EVENTS: u64 = 10;
/// Streams that run at the same time; as many as the engines have places.
const STREAMS: usize = 16;
const ENGINES: usize = 4;
/// Requests of a caller for one stream, after which it gives up; refusals included.
const MAX_TRIES: usize = 400;
/// Time between two requests of a caller that was refused.
const REFUSAL_PAUSE: Duration = Duration::from_millis(50);
/// Time within which daemons learn of each other; generous even for a busy machine.
const NOTICE_TIME: Duration = Duration::from_secs(20);
/// Deadline of the callers, which no stream reaches.
const DEADLINE_MS: &str = "30000";
/// Deadline of callers that resume their streams. At an entry that reaches no engine a stream may wait
/// until then.
const TRY_DEADLINE_MS: &str = "1500";
/// An address at which no test listens. A port of 127.0.0.1 that was closed may be another test's by now.
const DEAD_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, 2, 1)), 9);
const HEAD: &str = "HTTP/1.1 200 OK\r\ntarragonknot-request-id: {id}\r\n\
                    tarragonknot-server-seal: seal-1\r\n";
const EVENT_STREAM: &str = "content-type: text/event-stream\r\n";
const LONG_SILENCE: Duration = Duration::from_secs(20);
const SPARE_RETRIES: RetryBound = RetryBound { ratio: 1.0, slack: 10_000 };

/// A table whose requests may be sent to so many engines.
fn table(attempts: u32) -> String {
    document(2)
        .replace("\"max_attempts\":2", &format!("\"max_attempts\":{attempts}"))
        .replace("\"timeout_ms\":3000", &format!("\"timeout_ms\":{DEADLINE_MS}"))
}

/// The event that a request asks to go on after.
fn after_event(request: &ReceivedRequest) -> u64 {
    request.header("last-event-id").map_or(0, |id| id.parse().expect("a number"))
}

/// Random numbers that depend on the seed, the request and the event it goes on after alone.
fn rng_for(seed: u64, engine: usize, request: &ReceivedRequest) -> StdRng {
    let mut hasher = DefaultHasher::new();
    (seed, engine, &request.id, after_event(request)).hash(&mut hasher);
    StdRng::seed_from_u64(hasher.finish())
}

fn any_shape(rng: &mut StdRng, line_end: &'static str) -> EventShape {
    let pick = |rng: &mut StdRng, lines: &[&'static [&'static str]]| {
        lines[rng.random_range(0..lines.len())]
    };
    EventShape {
        line_end,
        before: pick(rng, &[&[], &["tarragonknot-weight-versions: 2"], &["retry: 100"], &[": x"]]),
        data_lines: rng.random_range(1..4),
        is_id_last: rng.random(),
        after: pick(rng, &[&[], &[], &[": a comment"], &["", ": a comment", ""]]),
    }
}

/// The rest of a stream as one engine writes it.
fn stream_rest(rng: &mut StdRng, after: u64) -> String {
    let line_end = ["\n", "\r", "\r\n"][rng.random_range(0..3)];
    let mark = if rng.random() { BYTE_ORDER_MARK } else { "" };
    let events = (after + 1..=EVENTS).map(|id| any_shape(rng, line_end).text(id));
    format!("{mark}{}", events.collect::<String>())
}

/// Cuts bytes into parts of random sizes.
fn in_parts(rng: &mut StdRng, bytes: &[u8], max_size: usize) -> Vec<Vec<u8>> {
    let mut parts = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let (part, left) = rest.split_at(rng.random_range(1..=max_size).min(rest.len()));
        parts.push(part.to_vec());
        rest = left;
    }
    parts
}

/// An answer in chunks, or with its length, that is written in random parts and ends whole, or with its
/// connection after any byte.
fn any_answer(rng: &mut StdRng, request: &ReceivedRequest, whole: f64) -> EngineAction {
    let rest = stream_rest(rng, after_event(request));
    let head = format!("{HEAD}{EVENT_STREAM}").replace("{id}", &request.id);
    let is_whole = rng.random_bool(whole);
    let mut bytes = Vec::new();
    let is_chunked = rng.random();
    if is_chunked {
        bytes.extend(format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes());
    } else {
        bytes.extend(format!("{head}content-length: {}\r\n\r\n", rest.len()).into_bytes());
    }
    let head_size = bytes.len();
    match is_chunked {
        true => {
            for chunk in in_parts(rng, rest.as_bytes(), 60) {
                bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
                bytes.extend(chunk);
                bytes.extend(b"\r\n");
            }
            bytes.extend(b"0\r\n\r\n");
        }
        false => bytes.extend(rest.into_bytes()),
    }
    let end = match (is_whole, rng.random()) {
        (true, _) => ConnectionEnd::Stay,
        (false, true) => ConnectionEnd::Close,
        (false, false) => ConnectionEnd::Reset,
    };
    if !is_whole && bytes.len() > head_size {
        bytes.truncate(rng.random_range(head_size..bytes.len()));
    }
    EngineAction::RawParts(in_parts(rng, &bytes, 120), end)
}

/// Starts engines that answer probes, and requests by a script that is also given the engine's number.
async fn start_engines(
    count: usize,
    script: impl Fn(usize, &ReceivedRequest) -> EngineAction + Clone + Send + Sync + 'static,
) -> Vec<ScriptedEngine> {
    let mut engines = Vec::new();
    for number in 0..count {
        let script = script.clone();
        let script = move |_, request: &ReceivedRequest| match request.head.starts_with("GET ") {
            true => EngineAction::Answer(200, "ok"),
            false => script(number, request),
        };
        engines.push(ScriptedEngine::start_with_request(&format!("i-{number}"), script).await);
    }
    engines
}

/// Entries that serve the same engines.
struct ResumingFleet {
    engines: Vec<ScriptedEngine>,
    entries: Vec<RoutedFleet>,
    _runtimes: Vec<DaemonRuntime>,
}

impl ResumingFleet {
    async fn start(entries: usize, attempts: u32, engines: Vec<ScriptedEngine>) -> Self {
        let refs: Vec<&ScriptedEngine> = engines.iter().collect();
        let runtimes: Vec<DaemonRuntime> = (0..entries).map(|_| DaemonRuntime::new()).collect();
        let handles: Vec<_> = runtimes.iter().map(DaemonRuntime::handle).collect();
        let entries = RoutedFleet::start_peers_on(&handles, &refs).await;
        for entry in &entries {
            entry.state.set_retry_bound(SPARE_RETRIES);
            entry.apply(2, &table(attempts));
            entry.list(&refs, VmState::Live);
        }
        let fleet = ResumingFleet { engines, entries, _runtimes: runtimes };
        fleet.wait_until_acquainted().await;
        fleet
    }

    async fn wait_until_acquainted(&self) {
        let count = self.entries.len();
        let knowing = async {
            while self.entries.iter().any(|entry| entry.state.fleet.daemon_count() < count) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let known = tokio::time::timeout(NOTICE_TIME, knowing).await;
        assert!(known.is_ok(), "the entries don't know each other");
    }

    /// Lists the engines at an address that refuses connections, at one entry.
    fn cut_off(&self, entry: usize) {
        let rows: Vec<(&str, SocketAddr)> =
            self.engines.iter().map(|engine| (engine.name.as_str(), DEAD_ADDRESS)).collect();
        self.entries[entry].list_addresses(&rows);
    }

    /// Resumes a stream as a caller does that has so many events, until it is not refused. An entry that
    /// has just started does not know yet that one version serves.
    async fn resume_after(&self, last: &str) -> ReceivedStream {
        let headers = [("last-event-id", last), ("tarragonknot-deadline-ms", DEADLINE_MS)];
        for attempt in 0..MAX_TRIES {
            let id = format!("r-{attempt}");
            let received = self.entries[0].stream("/resumable/a", &id, &headers).await;
            if received.status == StatusCode::OK {
                return received;
            }
            tokio::time::sleep(REFUSAL_PAUSE).await;
        }
        panic!("the stream is refused");
    }

    /// Reads a stream to its end, with a request to another entry after each break.
    async fn read_to_end(&self, number: usize) -> CallerStream {
        let id = format!("r{number}");
        let mut stream = CallerStream::default();
        for attempt in 0..MAX_TRIES {
            let entry = &self.entries[(number + attempt) % self.entries.len()];
            let last = stream.ids.last().copied().unwrap_or_default().to_string();
            let mut headers = vec![("tarragonknot-deadline-ms", TRY_DEADLINE_MS)];
            if !stream.ids.is_empty() {
                headers.extend([("last-event-id", last.as_str()), ("resumes", id.as_str())]);
            }
            let own_id = if attempt == 0 { id.clone() } else { format!("{id}-{attempt}") };
            // A stream that is cut before its first event may end before its head was written.
            let received = entry.try_stream(KEY, "/resumable/a", &own_id, &headers).await;
            let Some(received) = received.filter(|stream| stream.status == StatusCode::OK) else {
                tokio::time::sleep(REFUSAL_PAUSE).await;
                continue;
            };
            stream.add(&received, own_id == id);
            if stream.is_whole {
                break;
            }
        }
        stream
    }
}

/// What a caller has of a stream.
#[derive(Debug, Default)]
struct CallerStream {
    ids: Vec<u64>,
    /// Events whose data is not that of their id.
    damaged: Vec<String>,
    is_whole: bool,
    answers: usize,
}

impl CallerStream {
    fn add(&mut self, received: &ReceivedStream, may_begin: bool) {
        let events = read_events(received.text.as_bytes());
        let ids = event_ids(&events);
        for (event, id) in events.iter().zip(&ids) {
            let lines = event.data.split('\n').count();
            if event.data != expected_data(*id, lines) {
                self.damaged.push(event.data.clone());
            }
        }
        // The first try that brings an event begins the stream.
        if self.ids.is_empty() && !may_begin && ids.first() != Some(&1) && !ids.is_empty() {
            self.damaged.push(format!("begins with {:?}", ids.first()));
        }
        self.ids.extend(ids);
        self.is_whole = received.is_whole;
        self.answers += 1;
    }

    fn is_complete(&self) -> bool {
        self.is_whole && self.damaged.is_empty() && self.ids.iter().copied().eq(1..=EVENTS)
    }
}

#[track_caller]
fn assert_all_complete(streams: &[CallerStream]) {
    let others: Vec<_> = streams.iter().filter(|stream| !stream.is_complete()).collect();
    assert!(others.is_empty(), "{} of {}: {others:?}", others.len(), streams.len());
}

/// Guards against events that are lost, come twice or out of order, and against a stream that ends as
/// complete before its last event, wherever its parts are cut and whoever resumes it.
#[rstest]
#[case::one_entry(1, false)]
#[case::several_entries(3, false)]
#[case::an_entry_that_reaches_peers_only(3, true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_streams_have_each_event_once(#[case] entries: usize, #[case] is_cut_off: bool) {
    let script = |engine: usize, request: &ReceivedRequest| {
        any_answer(&mut rng_for(1, engine, request), request, 0.2)
    };
    let fleet = ResumingFleet::start(entries, 3, start_engines(ENGINES, script).await).await;
    if is_cut_off {
        fleet.cut_off(0);
    }

    let mut streams = Vec::new();
    for round in 0..4 {
        let numbers = round * STREAMS..(round + 1) * STREAMS;
        streams.extend(join_all(numbers.map(|number| fleet.read_to_end(number))).await);
    }

    assert_all_complete(&streams);
    let answers: usize = streams.iter().map(|stream| stream.answers).sum();
    let sends: usize = fleet.engines.iter().map(ScriptedEngine::count).sum();
    assert!(answers > streams.len(), "no caller has resumed a stream");
    assert!(sends > answers, "no stream was resumed within its answer");
}

/// Guards against late events of a silent engine that is left for another one, at the moment at which
/// it is left, and against two entries that resume the same stream.
#[rstest]
#[case::own_engines(false)]
#[case::through_a_peer(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_events_of_a_silent_engine_do_not_come_twice(#[case] is_cut_off: bool) {
    // A stream is left after one second and a few ten milliseconds.
    let script = |engine: usize, request: &ReceivedRequest| {
        let mut rng = rng_for(2, engine, request);
        let is_first = request.header("last-event-id").is_none();
        let silence = match is_first {
            // Some are silent for so long that they are left on a busy machine too.
            true if rng.random_bool(0.25) => LONG_SILENCE,
            true => Duration::from_millis(rng.random_range(980..1_300)),
            false => Duration::ZERO,
        };
        EngineAction::PacedEvents(EventPace {
            last: EVENTS,
            head_delay: match is_first {
                true => Duration::ZERO,
                false => Duration::from_millis(rng.random_range(0..100)),
            },
            gap: Duration::from_millis(rng.random_range(0..4)),
            silence: (rng.random_range(1..EVENTS), silence),
            breaks_after: 0,
        })
    };
    let engines = start_engines(ENGINES, script).await;
    let fleet = ResumingFleet::start(3, 6, engines).await;
    if is_cut_off {
        fleet.cut_off(0);
    }

    let entry = &fleet.entries[0];
    let reads = (0..STREAMS - 4).map(|number| async move {
        let headers = [("tarragonknot-deadline-ms", DEADLINE_MS)];
        let id = format!("r{number}");
        entry.stream("/resumable/a", &id, &headers).await
    });
    let received = join_all(reads).await;

    let ids: Vec<u64> = (1..=EVENTS).collect();
    for stream in &received {
        assert!(stream.is_whole, "{stream:?}");
        assert_eq!(event_ids(&read_events(stream.text.as_bytes())), ids, "{stream:?}");
    }
    let sends: usize = fleet.engines.iter().map(ScriptedEngine::count).sum();
    assert!(sends > received.len(), "no stream was left");
}

/// What an engine does that is asked to resume a stream and does not go on after its last event.
#[derive(Clone, Copy, Debug)]
enum FalseResumption {
    /// Begins the stream anew.
    Anew,
    /// Repeats the last event.
    Repeated,
    /// Goes on one event too late.
    Skipped,
    /// Writes an event without an id.
    Unnumbered,
    /// Writes an event whose id is no number.
    NoNumber,
    /// Answers with text that is no event stream, and is complete.
    PlainText,
    /// Answers that there is no content.
    NoContent,
}

impl FalseResumption {
    fn answer(self, after: u64) -> EngineAction {
        let events = |first: u64| {
            (first..=EVENTS).map(|id| format!("id: {id}\ndata: {id}\n\n")).collect::<String>()
        };
        let (status, kind, body) = match self {
            FalseResumption::Anew => ("200 OK", EVENT_STREAM, events(1)),
            FalseResumption::Repeated => ("200 OK", EVENT_STREAM, events(after)),
            FalseResumption::Skipped => ("200 OK", EVENT_STREAM, events(after + 2)),
            FalseResumption::Unnumbered => ("200 OK", EVENT_STREAM, "data: x\n\n".to_owned()),
            FalseResumption::NoNumber => ("200 OK", EVENT_STREAM, "id: a\ndata: x\n\n".to_owned()),
            FalseResumption::PlainText => {
                ("200 OK", "content-type: text/plain\r\n", "it is over\n\n".to_owned())
            }
            FalseResumption::NoContent => {
                let head = HEAD.replace("200 OK", "204 No Content");
                return EngineAction::Raw(format!("{head}\r\n"), ConnectionEnd::Stay);
            }
        };
        let head = HEAD.replace("200 OK", status);
        let text = format!("{head}{kind}content-length: {}\r\n\r\n{body}", body.len());
        EngineAction::Raw(text, ConnectionEnd::Stay)
    }
}

/// Guards against events of an engine that does not go on after the last event, which its caller would
/// read as those that follow, and against a stream that ends as complete with them.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_does_not_go_on_after_the_last_event_is_not_joined(
    #[values(
        FalseResumption::Anew,
        FalseResumption::Repeated,
        FalseResumption::Skipped,
        FalseResumption::Unnumbered,
        FalseResumption::NoNumber,
        FalseResumption::PlainText,
        FalseResumption::NoContent
    )]
    answer: FalseResumption,
    #[values(false, true)] is_cut_off: bool,
) {
    let script = move |_, request: &ReceivedRequest| match after_event(request) {
        0 => EngineAction::CutEvents(1, 4),
        after => answer.answer(after),
    };
    let fleet = ResumingFleet::start(2, 2, start_engines(2, script).await).await;
    if is_cut_off {
        fleet.cut_off(0);
    }

    let headers = [("tarragonknot-deadline-ms", DEADLINE_MS)];
    let received = fleet.entries[0].stream("/resumable/a", "r1", &headers).await;

    assert_eq!(event_ids(&read_events(received.text.as_bytes())), [1, 2, 3, 4], "{received:?}");
    assert!(!received.is_whole, "{received:?}");
    let sends: usize = fleet.engines.iter().map(ScriptedEngine::count).sum();
    assert!(sends > 1, "the stream was not resumed");
}

/// Guards against an engine that does not go on after the caller's last event being held for the only
/// one, though another does.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_goes_on_at_an_engine_that_goes_on_after_its_last_event(
    #[values(FalseResumption::Anew, FalseResumption::Repeated, FalseResumption::PlainText)]
    answer: FalseResumption,
) {
    let script = move |engine, request: &ReceivedRequest| match (engine, after_event(request)) {
        (_, 0) => EngineAction::CutEvents(1, 4),
        (0, after) => answer.answer(after),
        (_, after) => EngineAction::Events(after + 1, EVENTS),
    };
    let fleet = ResumingFleet::start(1, 6, start_engines(ENGINES, script).await).await;

    let mut received = Vec::new();
    for number in 0..STREAMS {
        let headers = [("tarragonknot-deadline-ms", DEADLINE_MS)];
        let id = format!("r{number}");
        received.push(fleet.entries[0].stream("/resumable/a", &id, &headers).await);
    }

    let ids: Vec<u64> = (1..=EVENTS).collect();
    for stream in &received {
        assert!(stream.is_whole, "{stream:?}");
        assert_eq!(event_ids(&read_events(stream.text.as_bytes())), ids, "{stream:?}");
    }
}

/// Guards against a caller that resumes its stream and gets events again that it has.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_gets_no_event_that_it_has(
    #[values(
        FalseResumption::Anew,
        FalseResumption::Repeated,
        FalseResumption::Unnumbered,
        FalseResumption::NoNumber
    )]
    answer: FalseResumption,
) {
    let script = move |_, request: &ReceivedRequest| answer.answer(after_event(request));
    let fleet = ResumingFleet::start(1, 2, start_engines(2, script).await).await;

    let received = fleet.resume_after("4").await;

    assert!(read_events(received.text.as_bytes()).is_empty(), "{received:?}");
    assert!(!received.is_whole, "{received:?}");
}

/// Guards against a resumption whose log does not tell who resumed the stream, after which event, and
/// where the answer went on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumption_is_logged_with_its_events() {
    let script = |_, request: &ReceivedRequest| match after_event(request) {
        0 => EngineAction::CutEvents(1, 4),
        after => EngineAction::Events(after + 1, EVENTS),
    };
    let engines = start_engines(2, script).await;
    let log = LogLines::default();
    let runtime = DaemonRuntime::new();
    let refs: Vec<&ScriptedEngine> = engines.iter().collect();
    let fleet = RoutedFleet::start_on(&runtime.handle(), log.logger(), &refs);

    fleet.stream("/resumable/a", "r1", &[]).await;
    fleet.stream("/resumable/a", "r2", &[("last-event-id", "7"), ("resumes", "r1")]).await;

    let broken = log.wait_for("stream broken").await;
    assert_eq!((&broken["last_event"], &broken["ended_by"]), (&4.into(), &"upstream".into()));
    let lines = log.wait_for_count("stream resumed", 2).await;
    let events = |line: &serde_json::Value| {
        ["request", "by", "last_event", "after_event", "first_event", "ended_by"]
            .map(|name| line[name].to_string())
    };
    let lines: Vec<_> = lines.iter().map(events).collect();
    let within = ["\"r1\"", "\"entry\"", "4", "4", "5", "\"upstream\""];
    let by_caller = ["\"r2\"", "\"caller\"", "null", "7", "8", "null"];
    assert_eq!(lines, [within, by_caller]);
}
