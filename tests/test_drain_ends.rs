//! Answers under way while their daemon, or the peer that serves them, is drained.

use crate::raw_engine::request_head;
use crate::routed_fleet::{
    ConnectionEnd, DaemonRuntime, EngineAction, EventPace, KEY, ReceivedRequest, RoutedFleet,
    ScriptedEngine, document,
};
use http::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Events of a whole stream.
const EVENTS: u64 = 40;
const STEADY: EventPace = EventPace {
    last: EVENTS,
    head_delay: Duration::ZERO,
    gap: Duration::from_millis(20),
    silence: (0, Duration::ZERO),
    breaks_after: 0,
};
/// Deadline of the callers and timeout of the routes, which no answer reaches.
const TIMEOUT_MS: &str = "60000";
/// Size of a plain answer that no socket buffers whole.
const LARGE_BYTES: usize = 12 << 20;
/// Streams that a drain meets.
const STREAMS: usize = 4;
/// Time within which daemons must know each other, or be drained; generous even for a busy machine.
const NOTICE_TIME: Duration = Duration::from_secs(120);

fn streams_and_large_answers(_: usize, request: &ReceivedRequest) -> EngineAction {
    match request.path.as_str() {
        path if path.starts_with("/safe/") => {
            let head =
                "HTTP/1.1 200 X\r\ntarragonknot-request-id: {id}\r\ntarragonknot-server-seal: s";
            let body = "~".repeat(LARGE_BYTES);
            let text = format!("{head}\r\ncontent-length: {LARGE_BYTES}\r\n\r\n{body}");
            EngineAction::Raw(text, ConnectionEnd::Stay)
        }
        _ if request.head.starts_with("GET ") => EngineAction::Answer(200, "ok"),
        _ => EngineAction::PacedEvents(STEADY),
    }
}

fn long_document(version: u64) -> String {
    let timeout = format!("\"timeout_ms\":{TIMEOUT_MS}");
    document(version).replace("\"timeout_ms\":3000", &timeout)
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let waiting = tokio::time::timeout(NOTICE_TIME, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    assert!(waiting.await.is_ok(), "{what}");
}

/// An entry that reaches no upstream, and a peer that does, each with its own runtime.
struct RelayPair {
    engine: ScriptedEngine,
    entries: Vec<RoutedFleet>,
    _dead: TcpSocket,
}

impl RelayPair {
    /// Starts both, and returns the runtimes of the entry and of its peer.
    async fn start() -> (Self, [DaemonRuntime; 2]) {
        let engine = ScriptedEngine::start_with_request("i-1", streams_and_large_answers).await;
        let runtimes = [DaemonRuntime::new(), DaemonRuntime::new()];
        let handles: Vec<_> = runtimes.iter().map(DaemonRuntime::handle).collect();
        let entries = RoutedFleet::start_peers_on(&handles, &[&engine]).await;
        entries.iter().for_each(|entry| entry.apply(2, &long_document(2)));
        // A socket that is bound and doesn't listen keeps its port from other tests.
        let dead = TcpSocket::new_v4().expect("sockets can be opened");
        dead.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
        let address = dead.local_addr().expect("the socket has an address");
        wait_until("the entries don't know each other", || {
            entries.iter().all(|entry| entry.state.fleet.daemon_count() == 2)
        })
        .await;
        entries[0].list_addresses(&[("i-1", address)]);
        (RelayPair { engine, entries, _dead: dead }, runtimes)
    }

    /// Drains a daemon once the engine has `count` requests, and ends its process.
    async fn drain(&self, number: usize, count: usize) {
        wait_until("the engine has no request", || self.engine.count() >= count).await;
        self.entries[number].front.drain();
        let ended = tokio::time::timeout(NOTICE_TIME, self.entries[number].front.ended());
        assert!(ended.await.is_ok(), "the daemon isn't drained");
    }
}

/// Guards against a relayed stream that loses its end because the peer that serves it is drained.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drained_peer_ends_its_relayed_streams_whole() {
    let (pair, [own, peer]) = RelayPair::start().await;
    let entry = &pair.entries[0];
    let headers = [("tarragonknot-deadline-ms", TIMEOUT_MS)];
    let ids: Vec<String> = (0..STREAMS).map(|number| format!("id-{number}")).collect();

    let streams = ids.iter().map(|id| entry.stream("/stream/a", id, &headers));
    let streams = futures_util::future::join_all(streams);
    let ended = pair.drain(1, STREAMS);
    let (streams, ()) = tokio::join!(streams, async {
        ended.await;
        drop(peer);
    });
    drop(own);

    for stream in &streams {
        assert_eq!(stream.status, StatusCode::OK, "{}", stream.text);
        assert!(stream.is_whole, "cut after {:?}", stream.text.lines().last());
        assert_eq!(stream.text.matches("id: ").count() as u64, EVENTS);
    }
}

/// Guards against a relayed answer that is cut because the peer that serves it has written a part of
/// it when its process ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drained_peer_writes_its_relayed_answers_whole() {
    let (pair, [own, peer]) = RelayPair::start().await;
    let entry = &pair.entries[0];
    let headers = [("tarragonknot-deadline-ms", TIMEOUT_MS)];

    let answer = entry.call_with("/safe/a", "id-1", KEY, &headers);
    let ended = pair.drain(1, 1);
    let (answer, ()) = tokio::join!(answer, async {
        ended.await;
        drop(peer);
    });
    drop(own);

    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body.map(|body| body.len()), Some(LARGE_BYTES));
}

/// Guards against streams that are cut because the entry that passed them on is drained.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drained_entry_ends_the_streams_that_it_passed_on() {
    let (pair, [own, peer]) = RelayPair::start().await;
    let entry = &pair.entries[0];
    let headers = [("tarragonknot-deadline-ms", TIMEOUT_MS)];

    let stream = entry.stream("/stream/a", "id-1", &headers);
    let ended = pair.drain(0, 1);
    let (stream, ()) = tokio::join!(stream, async {
        ended.await;
        drop(own);
    });
    drop(peer);

    assert!(stream.is_whole, "cut after {:?}", stream.text.lines().last());
    assert_eq!(stream.text.matches("id: ").count() as u64, EVENTS);
}

async fn connect(entry: &RoutedFleet, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(entry.front.address).await.expect("the daemon listens");
    stream.write_all(text.as_bytes()).await.expect("the daemon reads");
    stream
}

/// Guards against answers that a drain cuts, or a drain that never ends, because of other callers'
/// connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_drains_cut_no_answer_whatever_other_connections_do() {
    let engine = ScriptedEngine::start_with_request("i-1", streams_and_large_answers).await;
    let entry = RoutedFleet::start(&[&engine]).await;
    entry.apply(2, &long_document(2));
    let headers = [("tarragonknot-deadline-ms", TIMEOUT_MS)];
    let large = request_head("/safe/a", "slow", KEY, 60_000, 0)
        .replace("host:", "connection: close\r\nhost:");

    let silent = connect(&entry, "").await;
    let in_head = connect(&entry, "POST /safe/a HTTP/1.1\r\nhost: sh").await;
    let mut slow = connect(&entry, &large).await;
    let streams = async {
        let reads = (0..STREAMS - 1).map(|number| {
            let entry = &entry;
            async move { entry.stream("/stream/a", &format!("id-{number}"), &headers).await }
        });
        futures_util::future::join_all(reads).await
    };
    let drains = async {
        wait_until("the engine has no request", || engine.count() >= STREAMS).await;
        entry.front.drain();
        tokio::time::sleep(Duration::from_millis(100)).await;
        entry.front.drain();
        tokio::time::sleep(Duration::from_secs(2)).await;
        let mut bytes = Vec::new();
        slow.read_to_end(&mut bytes).await.expect("the answer is whole");
        bytes.len()
    };
    let (streams, slow_bytes) = tokio::join!(streams, drains);
    let ended = tokio::time::timeout(NOTICE_TIME, entry.front.ended()).await;

    assert!(streams.iter().all(|stream| stream.is_whole), "{streams:?}");
    assert!(slow_bytes > LARGE_BYTES, "{slow_bytes} bytes");
    assert!(ended.is_ok(), "the daemon isn't drained");
    drop((silent, in_head));
}
