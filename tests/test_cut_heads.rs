//! Answers that their engine breaks off within the head, a chunk's size line or the trailers.

use crate::routed_fleet::{
    ConnectionEnd, EngineAction, KEY, ReceivedRequest, ReceivedStream, RoutedFleet, ScriptedEngine,
};
use futures_util::StreamExt;
use futures_util::stream::iter;
use http::StatusCode;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpSocket;

/// Fleets of a test that run at the same time.
const CONCURRENT_FLEETS: usize = 24;
/// Bytes between two cuts of one case.
const CUT_STEP: usize = 6;
/// Every so many of the cuts are played through a peer, as a fleet is started for each.
const PEER_CUT_STEP: usize = 3;
/// Time within which daemons learn of each other; generous even for a busy machine.
const NOTICE_TIME: Duration = Duration::from_secs(20);

/// How the answer's end is stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerFraming {
    Length,
    Chunks,
    ChunksWithTrailers,
    Unframed,
    /// No length, and lines that end with a line feed alone.
    BareLineFeeds,
    /// A length, after an interim answer.
    AfterInterim,
}

/// What the engine's broken answer is the answer to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutPlace {
    /// The first request on a new connection.
    NewConnection,
    /// A request on a connection that has carried a whole answer.
    PooledConnection,
    /// The resumption of a stream of which the caller has two events.
    Resumption,
}

impl AnswerFraming {
    /// An answer to the current request, as its head and its body.
    fn answer(self, content_type: &str, body: &str) -> (String, String) {
        let head = format!(
            "HTTP/1.1 200 OK\r\ntarragonknot-request-id: {{id}}\r\ntarragonknot-server-seal: seal-1\r\n\
             content-type: {content_type}\r\n"
        );
        let chunks = format!("{:x}\r\n{body}\r\n0\r\n", body.len());
        let length = format!("{head}content-length: {}\r\n\r\n", body.len());
        match self {
            AnswerFraming::Length => (length, body.to_owned()),
            AnswerFraming::AfterInterim => {
                (format!("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n{length}"), body.to_owned())
            }
            AnswerFraming::Chunks => {
                (format!("{head}transfer-encoding: chunked\r\n\r\n"), format!("{chunks}\r\n"))
            }
            AnswerFraming::ChunksWithTrailers => {
                let head = format!("{head}transfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n");
                (head, format!("{chunks}x-sum: 12\r\n\r\n"))
            }
            AnswerFraming::Unframed => (format!("{head}\r\n"), body.to_owned()),
            AnswerFraming::BareLineFeeds => {
                (format!("{head}\r\n").replace("\r\n", "\n"), body.to_owned())
            }
        }
    }

    /// The broken answers that stop at every `CUT_STEP`th byte from `first` on, before the end of the
    /// head or, where the end is stated, within the body.
    fn cuts(self, content_type: &str, body: &str, first: usize) -> Vec<CutAnswer> {
        let (head, rest) = self.answer(content_type, body);
        let whole = format!("{head}{rest}");
        let is_stated = !matches!(self, AnswerFraming::Unframed | AnswerFraming::BareLineFeeds);
        let end = if is_stated { whole.len() } else { head.len() };
        let cut = |at| CutAnswer { text: whole[..at].to_owned(), is_in_head: at < head.len() };
        (first % CUT_STEP..end).step_by(CUT_STEP).map(cut).collect()
    }
}

/// What an engine sends of an answer.
#[derive(Clone, Debug)]
struct CutAnswer {
    text: String,
    /// True if it stops before the end of the head.
    is_in_head: bool,
}

/// The request that an engine breaks off, counted from the first one.
fn is_cut(place: CutPlace, number: usize) -> bool {
    place == CutPlace::NewConnection || number > 0
}

/// Starts an engine that breaks off the answer that `place` is about with `cut`.
async fn start_engine(place: CutPlace, cut: String, end: ConnectionEnd) -> ScriptedEngine {
    let counted = AtomicUsize::new(0);
    ScriptedEngine::start_with_request("i-1", move |_, request: &ReceivedRequest| {
        if request.head.starts_with("GET ") {
            return EngineAction::Answer(200, "ok");
        }
        let number = counted.fetch_add(1, Ordering::Relaxed);
        match place {
            _ if is_cut(place, number) => EngineAction::Raw(cut.clone(), end),
            CutPlace::Resumption => EngineAction::CutEvents(1, 2),
            _ => EngineAction::Answer(200, "whole"),
        }
    })
    .await
}

/// Asserts that the caller saw no complete answer of 200, and no promise that nothing has run. A head
/// that stops in the middle is answered with a refusal; a body may end the caller's connection.
#[track_caller]
fn assert_broken(received: Option<ReceivedStream>, cut: &CutAnswer) {
    let Some(received) = received else {
        return assert!(!cut.is_in_head, "no answer after {cut:?}");
    };
    let is_complete = received.status == StatusCode::OK && received.is_whole;
    let is_promised = received.text.contains(r#""ran":"no""#);
    assert!(!is_complete && !is_promised, "after {cut:?}: {received:?}");
}

async fn play_cut(path: &str, place: CutPlace, cut: CutAnswer, end: ConnectionEnd) {
    let engine = start_engine(place, cut.text.clone(), end).await;
    let fleet = RoutedFleet::start(&[&engine]).await;
    if place == CutPlace::PooledConnection {
        let whole = fleet.stream("/safe/", "r0", &[]).await;
        assert_eq!((whole.status, whole.is_whole), (StatusCode::OK, true), "{whole:?}");
    }

    let received = fleet.try_stream(KEY, path, "r1", &[]).await;

    assert!(engine.seen().iter().any(|request| request.id == "r1"), "{received:?}");
    assert_broken(received, &cut);
}

/// An address that refuses connections for as long as the socket is kept.
fn refusing_address() -> (TcpSocket, SocketAddr) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a loopback port can be bound");
    let address = socket.local_addr().expect("the socket has an address");
    (socket, address)
}

/// Guards against a head that its engine broke off and that reaches a caller as a whole answer of 200,
/// with an empty or short body, or as a promise that the request has not run.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_stops_in_the_middle_is_no_answer(
    #[values(
        AnswerFraming::Length,
        AnswerFraming::Chunks,
        AnswerFraming::ChunksWithTrailers,
        AnswerFraming::Unframed,
        AnswerFraming::BareLineFeeds,
        AnswerFraming::AfterInterim
    )]
    framing: AnswerFraming,
    #[values(CutPlace::NewConnection, CutPlace::PooledConnection)] place: CutPlace,
    #[values("/safe/", "/unsafe/", "/stream/", "/resumable/")] path: &str,
    #[values(ConnectionEnd::Close, ConnectionEnd::HalfClose, ConnectionEnd::Reset)]
    end: ConnectionEnd,
) {
    let (content_type, body) = match path {
        "/safe/" | "/unsafe/" => ("text/plain", "fine".to_owned()),
        _ => ("text/event-stream", "id: 1\ndata: one\n\n".to_owned()),
    };
    // Each case takes other bytes; those of one framing take them all.
    let first = path.len() + place as usize + 2 * end as usize;
    let cuts = framing.cuts(content_type, &body, first);

    let plays = cuts.into_iter().map(|cut| play_cut(path, place, cut, end));
    iter(plays).buffer_unordered(CONCURRENT_FLEETS).collect::<Vec<()>>().await;
}

/// Guards against a stream that ends as whole since the answer to its resumption broke off within its
/// head.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumption_whose_head_stops_in_the_middle_ends_no_stream(
    #[values(AnswerFraming::Length, AnswerFraming::Chunks, AnswerFraming::Unframed)]
    framing: AnswerFraming,
    #[values(ConnectionEnd::Close, ConnectionEnd::HalfClose, ConnectionEnd::Reset)]
    end: ConnectionEnd,
) {
    let cuts = framing.cuts(
        "text/event-stream",
        "id: 3\ndata: three\n\n",
        end as usize + 3 * framing as usize,
    );

    let plays = cuts.into_iter().map(|cut| play_cut("/resumable/", CutPlace::Resumption, cut, end));
    iter(plays).buffer_unordered(CONCURRENT_FLEETS).collect::<Vec<()>>().await;
}

/// Guards against a head broken off at an engine that a peer, which passes the answer on, makes whole.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_stops_in_the_middle_is_no_answer_through_a_peer(
    #[values(AnswerFraming::Length, AnswerFraming::Chunks, AnswerFraming::Unframed)]
    framing: AnswerFraming,
    #[values("/safe/", "/unsafe/", "/stream/")] path: &str,
    #[values(ConnectionEnd::Close, ConnectionEnd::Reset)] end: ConnectionEnd,
) {
    let (content_type, body) = match path {
        "/stream/" => ("text/event-stream", "id: 1\ndata: one\n\n"),
        _ => ("text/plain", "fine"),
    };
    for cut in framing.cuts(content_type, body, end as usize).into_iter().step_by(PEER_CUT_STEP) {
        let engine = start_engine(CutPlace::NewConnection, cut.text.clone(), end).await;
        let entries = RoutedFleet::start_peers(2, &[&engine]).await;
        let knowing = async {
            while entries.iter().any(|entry| entry.state.fleet.daemon_count() < 2) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(NOTICE_TIME, knowing).await.expect("the entries know each other");
        let (_socket, address) = refusing_address();
        entries[0].list_addresses(&[("i-1", address)]);

        let received = entries[0].try_stream(KEY, path, "r1", &[]).await;

        assert!(engine.seen().iter().any(|request| request.id == "r1"), "{received:?}");
        assert_broken(received, &cut);
    }
}
