//! Streams of sound upstreams end whole, whatever the daemon decides meanwhile.

use crate::routed_fleet::{
    DaemonRuntime, EngineAction, EventPace, ReceivedRequest, ReceivedStream, RoutedFleet,
    ScriptedEngine, document,
};
use http::StatusCode;
use rstest::rstest;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tarragonknot::policy::RetryBound;
use tarragonknot::report::json_logger;
use tarragonknot::upstream::VmState;

/// Events of a whole stream.
const EVENTS: u64 = 24;
/// Streams of a test, which take three quarters of the places of as many engines as below.
const STREAMS: usize = 24;
const ENGINES: usize = 8;
/// Time between two events of an engine.
const GAP: Duration = Duration::from_millis(15);
/// A silence that is longer than the time after which a stream is resumed elsewhere.
const SILENCE: Duration = Duration::from_millis(1_300);
/// Time for which the daemon's only traffic thread stands still.
const STALL: Duration = Duration::from_millis(1_500);
/// Deadline of the callers and timeout of the routes, which no stream reaches.
const TIMEOUT_MS: &str = "30000";

/// Engines that stream evenly.
const STEADY: EventPace = EventPace {
    last: EVENTS,
    head_delay: Duration::ZERO,
    gap: GAP,
    silence: (0, Duration::ZERO),
    breaks_after: 0,
};
/// Engines that fall silent once in each stream.
const PAUSING: EventPace = EventPace { silence: (8, SILENCE), ..STEADY };

/// A table after the one under which the streams began.
#[derive(Clone, Copy, Debug)]
enum NextTable {
    Same,
    MovedRoute,
    DroppedRoute,
    DroppedService,
    OtherKey,
    NotResumable,
    ShorterTimeout,
}

impl NextTable {
    fn document(self) -> String {
        let mut table: Value = serde_json::from_str(&first_table()).expect("the document is JSON");
        let mut other = table["services"][0].clone();
        other["name"] = "other".into();
        table["version"] = 2.into();
        table["services"].as_array_mut().expect("services are a list").push(other);
        let routes = table["routes"].as_array_mut().expect("routes are a list");
        match self {
            NextTable::Same => {}
            NextTable::MovedRoute => {
                routes.iter_mut().for_each(|row| row["service"] = "other".into())
            }
            NextTable::DroppedRoute => routes.retain(|row| row["name"] != "resumable"),
            NextTable::DroppedService => {
                routes.iter_mut().for_each(|row| row["service"] = "other".into());
                table["services"].as_array_mut().expect("services are a list").remove(0);
            }
            NextTable::OtherKey => table["tenants"][0]["api_keys"] = vec!["new-key"].into(),
            NextTable::NotResumable => {
                routes.iter_mut().for_each(|row| row["resumable"] = false.into())
            }
            NextTable::ShorterTimeout => {
                routes.iter_mut().for_each(|row| row["timeout_ms"] = 400.into())
            }
        }
        table.to_string()
    }
}

/// The table under which the streams begin.
fn first_table() -> String {
    document(1).replace("\"timeout_ms\":3000", &format!("\"timeout_ms\":{TIMEOUT_MS}"))
}

/// Retries that suffice for all streams of a test.
const SPARE_RETRIES: RetryBound = RetryBound { ratio: 1.0, slack: 10_000 };
/// Two retries for a daemon, and a tenth of one for each request.
const TWO_RETRIES: RetryBound = RetryBound { ratio: 0.2, slack: 24 };
/// Requests that bring more than one retry.
const REFILLING_REQUESTS: usize = 20;
/// No retries.
const NO_RETRIES: RetryBound = RetryBound { ratio: 0.0, slack: 0 };

/// A daemon with its own runtime, and its engines.
struct KeptStreams {
    fleet: RoutedFleet,
    engines: Vec<ScriptedEngine>,
    runtime: DaemonRuntime,
    log: SharedLog,
}

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
    /// Lines of the log by what they say of the ends of requests, counted.
    fn ends(&self) -> BTreeMap<String, usize> {
        let bytes = self.0.lock().expect("no holder of the lock panics").clone();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut ends = BTreeMap::new();
        for line in text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
            let message = line["message"].as_str().unwrap_or_default();
            if ["stream cut", "refused", "caller left"].contains(&message) {
                let end =
                    format!("{message} {} {} {}", line["ended_by"], line["cause"], line["kind"]);
                *ends.entry(end).or_default() += 1;
            }
        }
        ends
    }
}

impl KeptStreams {
    async fn start(retries: RetryBound, pace: impl Fn(usize) -> EventPace) -> Self {
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            let pace = pace(number);
            let script = move |_, request: &ReceivedRequest| match request.head.starts_with("GET ")
            {
                true => EngineAction::Answer(200, "ok"),
                false => EngineAction::PacedEvents(pace),
            };
            let name = format!("i-{number}");
            engines.push(ScriptedEngine::start_with_request(&name, script).await);
        }
        let runtime = DaemonRuntime::new();
        let refs: Vec<&ScriptedEngine> = engines.iter().collect();
        let log = SharedLog::default();
        let logger = json_logger(log.clone(), slog::Level::Info, "entry");
        let fleet = RoutedFleet::start_on(&runtime.handle(), logger, &refs);
        fleet.state.set_retry_bound(retries);
        fleet.apply(2, &first_table());
        fleet.list(&refs, VmState::Live);
        KeptStreams { fleet, engines, runtime, log }
    }

    /// Runs all streams, and `meanwhile` once each of them has begun.
    async fn run(&self, path: &'static str, meanwhile: impl AsyncFnOnce()) -> Vec<ReceivedStream> {
        let fleet = &self.fleet;
        let streams = async {
            let reads = (0..STREAMS).map(|number| async move {
                let id = format!("kept-{number}");
                fleet.stream(path, &id, &[("tarragonknot-deadline-ms", TIMEOUT_MS)]).await
            });
            futures_util::future::join_all(reads).await
        };
        let begun = async {
            while self.sends() < STREAMS {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            meanwhile().await;
        };
        let (received, ()) = tokio::join!(streams, begun);
        received
    }
}

fn has_all_events(stream: &ReceivedStream) -> bool {
    let ids = stream.text.lines().filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u64> = ids.map(|id| id.parse().expect("ids are numbers")).collect();
    stream.status == StatusCode::OK && stream.is_whole && ids.into_iter().eq(1..=EVENTS)
}

impl KeptStreams {
    /// Requests that the engines have received.
    fn sends(&self) -> usize {
        self.engines.iter().map(ScriptedEngine::count).sum()
    }

    fn assert_all_whole(&self, streams: &[ReceivedStream]) {
        let whole = streams.iter().filter(|stream| has_all_events(stream)).count();
        assert_eq!(whole, STREAMS, "streams are not whole: {:?}", self.log.ends());
    }
}

/// Guards against a stream whose sound upstream falls silent being cut for want of a retry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_stream_is_not_left_without_a_retry() {
    let kept = KeptStreams::start(NO_RETRIES, |_| PAUSING).await;

    let streams = kept.run("/resumable/a", async || {}).await;

    kept.assert_all_whole(&streams);
}

/// Guards against a stream whose sound upstream falls silent being cut because of a newer table.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_stream_is_not_left_for_a_table(
    #[values(
        NextTable::Same,
        NextTable::MovedRoute,
        NextTable::DroppedRoute,
        NextTable::DroppedService,
        NextTable::OtherKey,
        NextTable::NotResumable,
        NextTable::ShorterTimeout
    )]
    table: NextTable,
    #[values(SPARE_RETRIES, NO_RETRIES)] retries: RetryBound,
) {
    let kept = KeptStreams::start(retries, |_| PAUSING).await;

    let streams = kept.run("/resumable/a", async || kept.fleet.apply(3, &table.document())).await;

    kept.assert_all_whole(&streams);
}

/// Guards against streams of sound upstreams being cut because this daemon stood still for a time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stalled_daemon_leaves_no_stream() {
    let kept = KeptStreams::start(SPARE_RETRIES, |_| STEADY).await;

    let streams = kept
        .run("/resumable/a", async || {
            let stall = kept.runtime.handle().spawn(async { std::thread::sleep(STALL) });
            stall.await.expect("the task ends");
        })
        .await;

    kept.assert_all_whole(&streams);
    assert_eq!(kept.sends(), STREAMS, "streams were left");
}

/// Guards against a stream that its upstream breaks off not being resumed because of a newer table.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_stream_is_resumed_under_the_table_that_admitted_it(
    #[values(
        NextTable::MovedRoute,
        NextTable::DroppedRoute,
        NextTable::OtherKey,
        NextTable::NotResumable,
        NextTable::ShorterTimeout
    )]
    table: NextTable,
) {
    let broken = EventPace { breaks_after: 16, ..STEADY };
    let pace = move |number| if number % 2 == 0 { broken } else { STEADY };
    let kept = KeptStreams::start(SPARE_RETRIES, pace).await;

    let streams = kept.run("/resumable/a", async || kept.fleet.apply(3, &table.document())).await;

    kept.assert_all_whole(&streams);
}

/// Guards against a request being given up before a retry is certain, while its upstream works on it.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_first_event_is_awaited_without_a_retry(
    #[values("/resumable/a", "/safe/a")] path: &'static str,
) {
    let slow = EventPace { head_delay: SILENCE, ..STEADY };
    let kept = KeptStreams::start(NO_RETRIES, |_| slow).await;

    let streams = kept.run(path, async || {}).await;

    kept.assert_all_whole(&streams);
}

/// Guards against a stream that is taken from a silent upstream only to be sent there again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_upstream_is_not_left_for_itself() {
    let script = |_, request: &ReceivedRequest| match request.head.starts_with("GET ") {
        true => EngineAction::Answer(200, "ok"),
        false => EngineAction::PacedEvents(PAUSING),
    };
    let engine = ScriptedEngine::start_with_request("i-1", script).await;
    let fleet = RoutedFleet::start(&[&engine]).await;
    fleet.apply(2, &first_table());

    let stream = fleet.stream("/resumable/a", "id-1", &[("tarragonknot-deadline-ms", TIMEOUT_MS)]);
    let stream = stream.await;

    assert!(has_all_events(&stream), "{stream:?}");
    assert_eq!(engine.count(), 1);
}

/// Guards against a stream that was left for a place being given up because that place turns out to be
/// none and the retries are spent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_was_left_waits_for_another_retry() {
    let sends = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&sends);
    let script = move |_: usize, request: &ReceivedRequest| {
        if !request.path.starts_with("/resumable/") {
            return EngineAction::Answer(200, "ok");
        }
        match counted.fetch_add(1, Ordering::Relaxed) {
            0 => EngineAction::PacedEvents(EventPace { breaks_after: 8, ..STEADY }),
            1 => EngineAction::Silent,
            2 => EngineAction::NotRun,
            _ => EngineAction::PacedEvents(STEADY),
        }
    };
    let mut engines = Vec::new();
    for name in ["i-1", "i-2", "i-3", "i-4"] {
        engines.push(ScriptedEngine::start_with_request(name, script.clone()).await);
    }
    let fleet = RoutedFleet::start(&engines.iter().collect::<Vec<_>>()).await;
    fleet.state.set_retry_bound(TWO_RETRIES);
    fleet.apply(2, &first_table().replace("\"max_attempts\":2", "\"max_attempts\":6"));
    let others = async {
        while sends.load(Ordering::Relaxed) < 3 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        for number in 0..REFILLING_REQUESTS {
            fleet.call("/safe/", &format!("other-{number}")).await;
        }
    };

    let headers = [("tarragonknot-deadline-ms", TIMEOUT_MS)];
    let (stream, ()) = tokio::join!(fleet.stream("/resumable/a", "id-1", &headers), others);

    assert!(has_all_events(&stream), "{stream:?}");
}

/// Guards against searches for silent streams that keep the retries from a stream that broke off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_search_keeps_no_retry_from_others() {
    let silent = EventPace { silence: (8, SILENCE * 2), ..STEADY };
    let mut engines = Vec::new();
    for (name, version, pace) in [
        ("i-1", "v1", silent),
        ("i-2", "v1", silent),
        ("i-3", "v2", EventPace { breaks_after: 16, gap: SILENCE / 8, ..STEADY }),
    ] {
        let script = move |_, request: &ReceivedRequest| match request.head.starts_with("GET ") {
            true => EngineAction::Answer(200, "ok"),
            false => EngineAction::PacedEvents(pace),
        };
        engines.push((ScriptedEngine::start_with_request(name, script).await, version));
    }
    let fleet = RoutedFleet::start(&[]).await;
    fleet.state.set_retry_bound(TWO_RETRIES);
    fleet.apply(2, &first_table());
    let rows: Vec<_> = engines.iter().map(|(engine, version)| (engine, *version)).collect();
    fleet.list_versions(&rows, VmState::Live);

    let streams = (0..9).map(|number| {
        let fleet = &fleet;
        async move {
            let headers = [("tarragonknot-deadline-ms", TIMEOUT_MS)];
            fleet.stream("/resumable/a", &format!("id-{number}"), &headers).await
        }
    });
    let streams = futures_util::future::join_all(streams).await;

    assert_eq!(engines[2].0.count(), 2, "one stream is broken off and resumed");
    assert_eq!(streams.iter().filter(|stream| has_all_events(stream)).count(), 9);
}
