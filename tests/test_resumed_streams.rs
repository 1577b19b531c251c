//! Streams that are resumed, within an answer and by their callers, over loopback: each event comes
//! once and in order, and a stream that ends as complete is.

use crate::log_lines::LogLines;
use crate::routed_fleet::{
    DaemonRuntime, EngineAction, ReceivedRequest, RoutedFleet, ScriptedEngine,
};

/// Events of a whole stream.
const EVENTS: u64 = 10;

/// The event that a request asks to go on after.
fn after_event(request: &ReceivedRequest) -> u64 {
    request.header("last-event-id").map_or(0, |id| id.parse().expect("a number"))
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
