//! The end of a daemon's process.

use crate::raw_engine::request_head;
use crate::routed_fleet::{
    ConnectionEnd, EngineAction, EventPace, KEY, ReceivedRequest, ScriptedEngine,
};
use crate::served_entry::{START_TIME, order_table, serve_list, wait_for_message};
use crate::workdir::{WorkDir, free_address};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Events of a whole stream.
const EVENTS: u64 = 40;
/// Size of a plain answer that no socket buffers whole.
const LARGE_BYTES: usize = 12 << 20;
/// Time for which a caller reads nothing of it.
const READ_PAUSE: Duration = Duration::from_secs(3);

/// Guards against records that are lost when the process ends.
#[test]
fn the_log_of_a_drained_daemon_is_whole() {
    let work = WorkDir::new();
    let settings = json!({
        "daemon": "entry-1", "data_centre": "hall-a", "callers": free_address().to_string(),
        "control": free_address().to_string(), "data_folder": "data",
        "fleet_key_file": "fleet.key", "found_fleet": true, "balancer_wait_ms": 10,
    });
    let daemon = work.serve(&work.write("entry-1.json", &settings.to_string()));
    while !work.read("entry-1.log").contains("daemon started") {
        std::thread::sleep(Duration::from_millis(10));
    }

    daemon.signal("-TERM");
    daemon.signal("-TERM");
    let succeeded = daemon.wait();

    assert!(succeeded);
    let log = work.read("entry-1.log");
    let lines: Vec<Value> =
        log.lines().map(|line| serde_json::from_str(line).expect("lines are JSON")).collect();
    let count = |message: &str| lines.iter().filter(|line| line["message"] == message).count();
    assert_eq!((count("drained"), count("stopped")), (1, 1), "{log}");
    assert!(lines.last().is_some_and(|line| line["message"] == "stopped"), "{log}");
}

fn stream_or_large_answer(_: usize, request: &ReceivedRequest) -> EngineAction {
    match request.path.as_str() {
        path if path.starts_with("/safe/") => {
            let head =
                "HTTP/1.1 200 X\r\ntarragonknot-request-id: {id}\r\ntarragonknot-server-seal: s";
            let body = "~".repeat(LARGE_BYTES);
            let text = format!("{head}\r\ncontent-length: {LARGE_BYTES}\r\n\r\n{body}");
            EngineAction::Raw(text, ConnectionEnd::Stay)
        }
        _ if request.head.starts_with("GET ") => EngineAction::Answer(200, "ok"),
        _ => EngineAction::PacedEvents(EventPace {
            last: EVENTS,
            head_delay: Duration::ZERO,
            gap: Duration::from_millis(50),
            silence: (0, Duration::ZERO),
            breaks_after: 0,
        }),
    }
}

/// Sends a request on a connection of its own, and reads its answer after a pause.
async fn read_answer(callers: SocketAddr, path: &str, id: &str, pause: Duration) -> String {
    let mut stream = TcpStream::connect(callers).await.expect("the daemon listens");
    let head = request_head(path, id, KEY, 60_000, 0);
    stream.write_all(head.as_bytes()).await.expect("the daemon reads");
    tokio::time::sleep(pause).await;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against answers that are cut by a SIGTERM, a second one, or the end of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_signals_cut_no_answer() {
    let engine = ScriptedEngine::start_with_request("i-1", stream_or_large_answer).await;
    let (callers, operators, work) = (free_address(), free_address(), WorkDir::new());
    let settings = json!({
        "daemon": "entry-1", "data_centre": "hall-a", "callers": callers.to_string(),
        "control": free_address().to_string(), "data_folder": "data", "found_fleet": true,
        "fleet_key_file": "fleet.key", "balancer_wait_ms": 10,
        "platform": {"operators": operators.to_string(), "list": serve_list(&[(&engine.name, engine.address)]).await.to_string()},
    });
    let daemon = work.serve(&work.write("entry-1.json", &settings.to_string()));
    let ordered = tokio::time::timeout(START_TIME, order_table(operators)).await;
    assert!(ordered.is_ok(), "{}", work.read("entry-1.log"));
    wait_for_message(&work, "table is current").await;
    // Kept connections end only with the drain.
    let idle = TcpStream::connect(callers).await.expect("the daemon listens");

    let answers = async {
        tokio::join!(
            read_answer(callers, "/stream/a", "first", Duration::ZERO),
            read_answer(callers, "/stream/a", "second", Duration::ZERO),
            read_answer(callers, "/safe/a", "third", READ_PAUSE),
        )
    };
    let signals = async {
        let begun = tokio::time::timeout(START_TIME, async {
            while engine.count() < 3 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
        assert!(begun.await.is_ok(), "{}", work.read("entry-1.log"));
        daemon.signal("-TERM");
        tokio::time::sleep(Duration::from_millis(200)).await;
        daemon.signal("-TERM");
    };
    let ((first, second, third), ()) = tokio::join!(answers, signals);
    let succeeded = daemon.wait();

    assert!(succeeded);
    for stream in [&first, &second] {
        assert_eq!(stream.matches("\nid: ").count() as u64, EVENTS, "{stream}");
        assert!(stream.ends_with("\r\n0\r\n\r\n"), "{stream}");
    }
    let body = third.split_once("\r\n\r\n").map(|(_, body)| body.len());
    assert_eq!(body, Some(LARGE_BYTES));
    drop(idle);
}
