//! An upstream that writes bytes without end, beside a process with the memory of a small VM.

use crate::raw_engine::request_head;
use crate::routed_fleet::{EngineAction, KEY, ScriptedEngine};
use crate::served_entry::{START_TIME, order_table, serve_list, wait_for_message};
use crate::workdir::{ServedDaemon, WorkDir, free_address};
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Memory of the VM, in MiB.
const MEMORY_MB: u64 = 160;
/// Requests at the endless upstream at once.
const REQUESTS: usize = 40;
/// Time that callers wait, in milliseconds.
const DEADLINE_MS: u64 = 3_000;
/// Time within which a request must be answered; generous even for a busy machine.
const ANSWER_TIME: Duration = Duration::from_secs(120);

/// Writes `head`, then `piece` without end, on each connection.
struct EndlessUpstream {
    address: SocketAddr,
    /// Connections that are being written to.
    open: Arc<AtomicUsize>,
}

impl EndlessUpstream {
    async fn start(head: &'static str, piece: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the socket has an address");
        let open = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&open);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let count = Arc::clone(&count);
                tokio::spawn(async move {
                    count.fetch_add(1, Ordering::Relaxed);
                    write_endless(stream, head, piece).await;
                    count.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        EndlessUpstream { address, open }
    }
}

/// Returns once the connection is closed.
async fn write_endless(mut stream: TcpStream, head: &str, piece: &str) {
    let mut request = vec![0; 4 << 10];
    let Ok(length @ 1..) = stream.read(&mut request).await else { return };
    let text = String::from_utf8_lossy(&request[..length]).to_lowercase();
    let id = text.lines().find_map(|line| line.strip_prefix("tarragonknot-request-id: "));
    let head = head.replace("{id}", id.unwrap_or("none"));
    if stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    let pieces = piece.repeat((64 << 10) / piece.len());
    while stream.write_all(pieces.as_bytes()).await.is_ok() {}
}

/// An entry in a process of its own, with an endless upstream or a sound one.
struct SmallEntry {
    work: WorkDir,
    daemon: ServedDaemon,
    callers: SocketAddr,
}

impl SmallEntry {
    async fn start(upstreams: &[(&str, SocketAddr)]) -> Self {
        let (callers, operators, work) = (free_address(), free_address(), WorkDir::new());
        let settings = json!({
            "daemon": "entry-1", "data_centre": "hall-a", "callers": callers.to_string(),
            "control": free_address().to_string(), "data_folder": "data", "found_fleet": true,
            "fleet_key_file": "fleet.key", "memory_mb": MEMORY_MB, "traffic_threads": 1,
            "platform": {
                "operators": operators.to_string(),
                "list": serve_list(upstreams).await.to_string(),
            },
        });
        let daemon = work.serve(&work.write("entry-1.json", &settings.to_string()));
        let ordered = tokio::time::timeout(START_TIME, order_table(operators)).await;
        assert!(ordered.is_ok(), "{}", work.read("entry-1.log"));
        wait_for_message(&work, "table is current").await;
        SmallEntry { work, daemon, callers }
    }

    /// Sends a request on a connection of its own; returns the first line of the answer, and its
    /// last bytes.
    async fn call(&self, path: &str, id: &str) -> (String, String) {
        let text = self.answer(path, id).await;
        let last = text[text.len().saturating_sub(7)..].to_owned();
        (text.lines().next().unwrap_or_default().to_owned(), last)
    }

    async fn answer(&self, path: &str, id: &str) -> String {
        let mut stream = TcpStream::connect(self.callers).await.expect("the daemon listens");
        let head = request_head(path, id, KEY, DEADLINE_MS, 0);
        let head = head.replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("the daemon reads");
        let mut bytes = Vec::new();
        let answer = tokio::time::timeout(ANSWER_TIME, stream.read_to_end(&mut bytes));
        let _ = answer.await.expect("the request is answered in time");
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// The most memory that the process has had resident, in MiB.
    fn peak_memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.daemon.id()));
        let status = status.expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|peak| peak.split_whitespace().next()?.parse::<u64>().ok());
        peak.expect("the status names the peak") / 1024
    }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\n";
const NAMED: &str = "HTTP/1.1 200 OK\r\ntarragonknot-request-id: {id}\r\n\
    tarragonknot-server-seal: s\r\n\r\n";
const LONG: &str = "HTTP/1.1 200 OK\r\ntarragonknot-request-id: {id}\r\n\
    tarragonknot-server-seal: s\r\ncontent-length: 1000000000000000000\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntarragonknot-request-id: {id}\r\n\
    tarragonknot-server-seal: s\r\ntransfer-encoding: chunked\r\n\r\n";
const ENDED: &str = "HTTP/1.1 200 OK\r\ntarragonknot-request-id: {id}\r\n\
    tarragonknot-server-seal: s\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
const EXTENDED: &str = "HTTP/1.1 200 OK\r\ntarragonknot-request-id: {id}\r\n\
    tarragonknot-server-seal: s\r\ntransfer-encoding: chunked\r\n\r\n1;";
const FAILED: &str = "HTTP/1.1 500 No\r\ntarragonknot-request-id: {id}\r\n\
    tarragonknot-server-seal: s\r\n\r\n";
const STREAM: &str = "HTTP/1.1 200 OK\r\ntarragonknot-request-id: {id}\r\n\
    tarragonknot-server-seal: s\r\ncontent-type: text/event-stream\r\n\r\n";

/// Guards against one upstream whose bytes without end exhaust the memory of a VM, so that the requests
/// of all callers end with its process.
#[rstest]
#[case::a_line_of_a_head(HEAD, "x")]
#[case::fields_of_a_head(HEAD, "x: y\r\n")]
#[case::interim_answers("", "HTTP/1.1 103 Early\r\n\r\n")]
#[case::interim_answers_with_fields("", "HTTP/1.1 103 Early\r\nlink: </a>; rel=preload\r\n\r\n")]
#[case::no_http("", "~")]
#[case::a_chunk_size(CHUNKED, "0")]
#[case::a_chunk_extension(EXTENDED, "x")]
#[case::chunk_extensions(CHUNKED, "1;xxxxxxxx\r\na\r\n")]
#[case::trailers(ENDED, "x: y\r\n")]
#[case::a_plain_body(NAMED, "~")]
#[case::a_body_of_a_large_length(LONG, "~")]
#[case::a_body_in_chunks(CHUNKED, "4\r\nabcd\r\n")]
#[case::the_body_of_a_failure(FAILED, "~")]
#[case::comments_of_a_stream(STREAM, ": x\n")]
#[case::blank_lines_of_a_stream(STREAM, "\n")]
#[case::ids_of_a_stream(STREAM, "id: 1\n")]
#[case::one_event_of_a_stream_again(STREAM, "id: 1\ndata: x\n\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_bytes_leave_the_process_its_memory(
    #[case] head: &'static str,
    #[case] piece: &'static str,
    #[values("/safe/a", "/unsafe/a", "/resumable/a")] path: &str,
) {
    let upstream = EndlessUpstream::start(head, piece).await;
    let entry = SmallEntry::start(&[("i-1", upstream.address)]).await;
    let ids: Vec<String> = (0..REQUESTS).map(|number| format!("id-{number}")).collect();

    let calls = futures_util::future::join_all(ids.iter().map(|id| entry.call(path, id)));
    let answers = calls.await;

    let peak = entry.peak_memory_mb();
    assert!(peak < MEMORY_MB, "{peak} MiB");
    let is_whole = |(status, last): &&(String, String)| {
        status.starts_with("HTTP/1.1 200") && last.ends_with("0\r\n\r\n")
    };
    assert_eq!(answers.iter().filter(is_whole).count(), 0, "{answers:?}");
    let closing = tokio::time::timeout(ANSWER_TIME, async {
        while upstream.open.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(
        closing.await.is_ok(),
        "{} connections are open",
        upstream.open.load(Ordering::Relaxed)
    );
    drop(entry.work);
}

/// Guards against a stream that goes on after its deadline, as its events are always ready to be read.
#[rstest]
#[case::again("id: 1\ndata: x\n\n")]
#[case::without_ids("data: x\n\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_events_end_at_the_deadline(
    #[case] piece: &'static str,
    #[values("/stream/a", "/resumable/a")] path: &str,
) {
    let upstream = EndlessUpstream::start(STREAM, piece).await;
    let entry = SmallEntry::start(&[("i-1", upstream.address)]).await;

    let (status, last) = entry.call(path, "id-1").await;

    assert!(status.starts_with("HTTP/1.1 200"), "{status}");
    assert!(!last.ends_with("0\r\n\r\n"), "{last}");
}

/// Guards against a process that is kept busy by an endless upstream, so that the others' callers wait.
#[rstest]
#[case::interim_answers("", "HTTP/1.1 103 Early\r\n\r\n")]
#[case::a_plain_body(NAMED, "~")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_others_are_served_beside_endless_bytes(
    #[case] head: &'static str,
    #[case] piece: &'static str,
) {
    let endless = EndlessUpstream::start(head, piece).await;
    let sound = ScriptedEngine::start("i-2", |_| EngineAction::Answer(200, "ok")).await;
    let upstreams = [("i-1", endless.address), (sound.name.as_str(), sound.address)];
    let entry = SmallEntry::start(&upstreams).await;

    let mut answers = Vec::new();
    for number in 0..REQUESTS {
        answers.push(entry.answer("/safe/a", &format!("id-{number}")).await);
    }

    let served = answers.iter().filter(|text| text.starts_with("HTTP/1.1 200")).count();
    assert!(served * 10 >= REQUESTS * 9, "{answers:?}");
}
