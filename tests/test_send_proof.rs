//! Proof that a request was not sent: what connections, engines and callers do at their edges must
//! not let a request run that was refused as not run.

use crate::raw_engine::{
    ANSWER, FAILURE, NOT_RUN, RawAnswer, RawCaller, RawEngine, RawStep, large_body, pause,
    request_head,
};
use crate::routed_fleet::{
    EngineAction, KEY, ReceivedRequest, RoutedFleet, ScriptedEngine, document,
    document_with_reservations,
};
use crate::workdir::free_address;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tarragonknot::policy::UpstreamHash;
use tarragonknot::quarantine::{CrashEvidence, RequestContent, RequestFingerprint, SuspectKeys};
use tarragonknot::upstream::{ConnectionPool, OpenError, PlatformList, VmRow, VmState};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Longest idle time of a pooled connection in these tests.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);
/// Time limit of a send that no engine keeps waiting; generous even for a busy machine.
const SEND_TIME_LIMIT: Duration = Duration::from_secs(20);
/// Number of interleavings of each race.
const ROUND_COUNT: usize = 400;
/// Longest pause that shifts the two sides of a race against each other.
const MAX_SHIFT_MICROS: u64 = 250;
/// Time within which a request that is sent late would reach its engine.
const LATE_SEND_TIME: Duration = Duration::from_millis(300);

/// How sending one request over a pool ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SendEnd {
    Answered,
    NotSent,
    Lost,
}

/// Sends a request over the pool and reads its answer to the end.
async fn send(pool: &Arc<ConnectionPool>, address: SocketAddr, id: &str, size: usize) -> SendEnd {
    let request = Request::post("/x")
        .header("host", "engine.example")
        .header("tarragonknot-request-id", id)
        .body(Full::new(Bytes::from(large_body(size))))
        .expect("the request consists of valid parts");
    let sending = pool.send(address, request, MAX_IDLE_TIME);
    let sent = tokio::time::timeout(SEND_TIME_LIMIT, sending).await;
    match sent.expect("a request ends when its connection does") {
        Ok((answer, connection)) => match answer.into_body().collect().await {
            Ok(_) => {
                connection.finish();
                SendEnd::Answered
            }
            Err(_) => SendEnd::Lost,
        },
        Err(OpenError::NotSent { .. }) => SendEnd::NotSent,
        Err(OpenError::Lost { .. }) => SendEnd::Lost,
    }
}

/// Asserts that a request was sent over one connection at most, and over none if that is claimed.
fn assert_proven(engine: &RawEngine, id: &str, end: SendEnd) {
    let heads = engine.heads(id);
    assert!(heads.len() <= 1, "{id} was sent over the connections {heads:?}");
    assert!(end != SendEnd::NotSent || heads.is_empty(), "{id} was sent over {heads:?}");
    assert!(end != SendEnd::NotSent || !engine.has_bytes(&format!("{id}\r")), "{id}: some bytes");
}

/// How an engine ends a connection.
#[derive(Clone, Copy, Debug)]
enum Ending {
    Close,
    Reset,
    HalfClose,
}

impl Ending {
    fn step(self) -> RawStep {
        match self {
            Ending::Close => RawStep::Close,
            Ending::Reset => RawStep::Reset,
            Ending::HalfClose => RawStep::CloseWrite,
        }
    }
}

fn shift(random: &mut ChaCha8Rng) -> Duration {
    Duration::from_micros(random.random_range(0..=MAX_SHIFT_MICROS))
}

/// Guards against a request that is reported as not sent, or sent again, although the engine has
/// it: the engine ends a pooled connection around the moment of its reuse.
#[rstest]
#[case::closed(Ending::Close, 1)]
#[case::reset(Ending::Reset, 2)]
#[case::half_closed(Ending::HalfClose, 3)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_pooled_connection_that_ends_at_its_reuse_proves_nothing_wrong(
    #[case] ending: Ending,
    #[case] seed: u64,
    #[values(0, 100_000)] size: usize,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let shifts: Vec<Duration> = (0..4 * ROUND_COUNT).map(|_| shift(&mut random)).collect();
    let engine = RawEngine::start(move |number| {
        let late = RawStep::Pause(shifts[number % shifts.len()]);
        let mut steps = vec![RawStep::ReadHead, RawStep::ReadBody, RawStep::Run, ANSWER, late];
        steps.push(ending.step());
        steps
    })
    .await;
    let mut ends = Vec::new();

    for round in 0..ROUND_COUNT {
        let pool = Arc::new(ConnectionPool::default());
        let (first, second) = (format!("a-{round}"), format!("b-{round}"));
        let opened = send(&pool, engine.address, &first, 0).await;
        let connections = engine.connection_count();
        pause(shift(&mut random)).await;
        let reused = send(&pool, engine.address, &second, size).await;

        assert!(opened == SendEnd::Answered || matches!(ending, Ending::Reset), "{first}");
        assert_proven(&engine, &first, opened);
        assert_proven(&engine, &second, reused);
        ends.push((reused, engine.connection_count() > connections));
    }

    let count =
        |end: SendEnd, is_new: bool| ends.iter().filter(|one| **one == (end, is_new)).count();
    println!(
        "{ending:?}, body of {size}: over a new connection {} answered, {} not sent, {} lost; \
         over the pooled one {} answered, {} not sent, {} lost",
        count(SendEnd::Answered, true),
        count(SendEnd::NotSent, true),
        count(SendEnd::Lost, true),
        count(SendEnd::Answered, false),
        count(SendEnd::NotSent, false),
        count(SendEnd::Lost, false),
    );
}

/// Guards against "not sent" for a request whose first bytes the engine has read.
#[rstest]
#[case::after_the_head(vec![RawStep::ReadHead])]
#[case::after_one_byte(vec![RawStep::Read(1)])]
#[case::within_the_head(vec![RawStep::Read(40)])]
#[case::within_the_body(vec![RawStep::ReadHead, RawStep::Read(100_000)])]
#[case::after_the_body(vec![RawStep::ReadHead, RawStep::ReadBody])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_was_written_in_part_is_not_called_unsent(
    #[case] steps: Vec<RawStep>,
    #[values(Ending::Close, Ending::Reset, Ending::HalfClose)] ending: Ending,
    #[values(true, false)] is_pooled: bool,
) {
    let engine = RawEngine::start(move |_| {
        let first = [RawStep::ReadHead, RawStep::ReadBody, ANSWER];
        let first = first.into_iter().filter(|_| is_pooled);
        first.chain(steps.clone()).chain([ending.step()]).collect()
    })
    .await;

    for round in 0..20 {
        let pool = Arc::new(ConnectionPool::default());
        let (first, second) = (format!("a-{round}"), format!("b-{round}"));
        let mut pooled = None;
        if is_pooled {
            assert_eq!(send(&pool, engine.address, &first, 0).await, SendEnd::Answered);
            pooled = engine.heads(&first).pop();
        }
        let before = pooled.map(|number| engine.byte_count(number));
        let end = send(&pool, engine.address, &second, 2 << 20).await;
        tokio::time::sleep(Duration::from_millis(5)).await;

        assert_ne!(end, SendEnd::NotSent, "round {round}");
        assert_proven(&engine, &second, end);
        // The pool replaces a connection that is not ready yet.
        let after = pooled.map(|number| engine.byte_count(number));
        assert!(end == SendEnd::Lost || after == before, "round {round}: sent again");
    }
}

/// Guards against a wrong proof for connections that end right after they were accepted.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_that_ends_when_accepted_proves_nothing_wrong(
    #[values(Ending::Close, Ending::Reset, Ending::HalfClose)] ending: Ending,
    #[values(0, 1 << 20, 4 << 20)] size: usize,
) {
    let mut random = ChaCha8Rng::seed_from_u64(size as u64);
    let shifts: Vec<Duration> = (0..100).map(|_| shift(&mut random) / 5).collect();
    let engine = RawEngine::start(move |number| {
        vec![RawStep::Pause(shifts[number % shifts.len()]), ending.step()]
    })
    .await;
    let mut ends = Vec::new();

    for round in 0..100 {
        let pool = Arc::new(ConnectionPool::default());
        let id = format!("a-{round}");
        let end = send(&pool, engine.address, &id, size).await;

        assert_ne!(end, SendEnd::Answered);
        assert_proven(&engine, &id, end);
        ends.push(end);
    }

    let count = |end: SendEnd| ends.iter().filter(|one| **one == end).count();
    println!(
        "{ending:?}, body of {size}: {} not sent, {} lost",
        count(SendEnd::NotSent),
        count(SendEnd::Lost)
    );
}

/// A pooled connection whose end is known before its reuse is replaced without a loss.
#[rstest]
#[tokio::test]
async fn a_pooled_connection_known_to_have_ended_is_replaced(
    #[values(Ending::Close, Ending::Reset, Ending::HalfClose)] ending: Ending,
) {
    let engine = RawEngine::start(move |_| {
        vec![RawStep::ReadHead, RawStep::ReadBody, RawStep::Run, ANSWER, ending.step()]
    })
    .await;
    let pool = Arc::new(ConnectionPool::default());

    for round in 0..20 {
        let id = format!("a-{round}");
        assert_eq!(send(&pool, engine.address, &id, 0).await, SendEnd::Answered);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    assert_eq!(engine.connection_count(), 20);
}

/// A daemon whose only service has these engines.
async fn fleet(engines: &[&RawEngine]) -> RoutedFleet {
    fleet_with_table(engines, &document(1)).await
}

async fn fleet_with_table(engines: &[&RawEngine], document: &str) -> RoutedFleet {
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let fleet = RoutedFleet::without_table(&[]).await;
    list(&fleet, &addresses);
    fleet.apply(1, document);
    fleet
}

fn list(fleet: &RoutedFleet, addresses: &[SocketAddr]) {
    let rows = addresses.iter().enumerate().map(|(number, address)| VmRow {
        service: "pool".into(),
        upstream: format!("i-{number}").as_str().into(),
        address: *address,
        state: VmState::Live,
        incarnation: 0,
        places: Some(4),
        version: Some("v1".into()),
        data_centre: None,
        is_cold: false,
    });
    fleet.state.apply_platform_list(PlatformList { vms: rows.collect() });
}

/// Sends a request over a new connection and reads its answer.
async fn call(
    fleet: &RoutedFleet,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &str,
) -> RawAnswer {
    let mut caller = RawCaller::connect(fleet.front.address).await;
    caller.write(&request_head(path, id, KEY, deadline_ms, body.len())).await;
    caller.write(body).await;
    caller.read_answer().await
}

/// Asserts that a caller was promised nothing about a request that an engine may have run.
fn assert_truthful(engines: &[&RawEngine], id: &str, answer: &RawAnswer) {
    let may_have_run = engines.iter().any(|engine| !engine.heads(id).is_empty());
    assert!(!(may_have_run && answer.promises_not_run()), "{id} may have run: {answer:?}");
}

/// Guards against a refusal of a request that its engine may have run: the connection ends while
/// the request is written, or while its answer is awaited.
#[rstest]
#[case::after_the_head(vec![RawStep::ReadHead, RawStep::Run])]
#[case::within_the_body(vec![RawStep::ReadHead, RawStep::Read(200_000)])]
#[case::after_the_body(vec![RawStep::ReadHead, RawStep::ReadBody, RawStep::Run])]
#[case::unread(vec![])]
#[case::pooled(vec![RawStep::ReadHead, RawStep::ReadBody, ANSWER, RawStep::ReadHead, RawStep::Run])]
#[case::pooled_and_unread(vec![RawStep::ReadHead, RawStep::ReadBody, ANSWER])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_that_ends_leads_to_no_false_refusal(
    #[case] steps: Vec<RawStep>,
    #[values(Ending::Close, Ending::Reset, Ending::HalfClose)] ending: Ending,
    #[values("/unsafe/", "/stream/")] path: &str,
    #[values(8, 1 << 20, 4 << 20)] size: usize,
) {
    let script = move |_| steps.iter().cloned().chain([ending.step()]).collect();
    let engine = RawEngine::start(script).await;
    let fleet = fleet(&[&engine]).await;
    let body = large_body(size);
    let mut answers = Vec::new();

    for round in 0..6 {
        let id = format!("id-{round}");
        let answer = call(&fleet, path, &id, 400, &body).await;

        assert_truthful(&[&engine], &id, &answer);
        assert!(engine.heads(&id).len() <= 1, "{id} was sent twice");
        answers.push((answer.status, engine.heads(&id).len()));
    }
    println!("status and number of sends: {answers:?}");
}

/// Guards against a refusal, or a second send, of a request whose answer began before its body was
/// read: the rest of the body is then left unread, cut off or read on.
#[rstest]
#[case::not_run(NOT_RUN, 503)]
#[case::failed(FAILURE, 500)]
#[case::answered(ANSWER, 200)]
#[tokio::test]
async fn an_answer_before_the_end_of_the_body_is_taken_as_it_is(
    #[case] early: RawStep,
    #[case] status: u16,
    #[values("/unsafe/", "/stream/")] path: &str,
    #[values("unread", "reset", "closed", "read")] rest: &str,
) {
    let has_run = status != 503;
    let after = match rest {
        "unread" => RawStep::Pause(Duration::from_secs(3_600)),
        "reset" => RawStep::Reset,
        "closed" => RawStep::Close,
        _ => RawStep::ReadBody,
    };
    let run = [RawStep::Run].into_iter().filter(|_| has_run);
    let begin = [RawStep::ReadHead].into_iter().chain(run).chain([early]);
    let steps: Vec<RawStep> =
        begin.chain([RawStep::Pause(Duration::from_millis(5)), after]).collect();

    for round in 0..6 {
        let steps = steps.clone();
        let engine = RawEngine::start(move |_| steps.clone()).await;
        let fleet = fleet(&[&engine]).await;
        let id = format!("id-{round}");
        let answer = call(&fleet, path, &id, 1_500, &large_body(4 << 20)).await;
        tokio::time::sleep(Duration::from_millis(20)).await;

        assert!(!(engine.has_run(&id) && answer.promises_not_run()), "{answer:?}");
        assert!(answer.status == status || answer.status == 502, "{answer:?}");
        assert_eq!(engine.heads(&id).len(), 1, "{id}");
    }
}

/// Guards against a request that is written into the rest of another one's body: the connection of
/// an early answer is kept, and the rest of the body is read late.
#[tokio::test]
async fn a_connection_that_still_owes_a_body_carries_no_other_request() {
    let late = RawStep::Pause(Duration::from_millis(50));
    let steps =
        vec![RawStep::ReadHead, RawStep::Run, ANSWER, late, RawStep::ReadBody, RawStep::Repeat];
    let engine = RawEngine::start(move |_| steps.clone()).await;
    let fleet = fleet(&[&engine]).await;
    let body = large_body(4 << 20);

    for round in 0..20 {
        let id = format!("id-{round}");
        let size = if round % 2 == 0 { body.len() } else { 8 };
        let answer = call(&fleet, "/unsafe/", &id, 2_000, &body[..size]).await;

        assert_eq!(answer.status, 200, "{id}");
        assert_eq!(engine.heads(&id).len(), 1, "{id}");
    }
    assert_eq!(engine.ids().len(), 20, "{:?}", engine.ids());
}

/// Adds header lines to the head of a request.
fn with_headers(head: &str, lines: &str) -> String {
    let end = head.len() - "\r\n".len();
    format!("{}{lines}\r\n", &head[..end])
}

/// An engine that runs and answers every request.
async fn sound_engine() -> RawEngine {
    let steps = vec![RawStep::ReadHead, RawStep::ReadBody, RawStep::Run, ANSWER, RawStep::Repeat];
    RawEngine::start(move |_| steps.clone()).await
}

/// Guards against promises by the HTTP server itself: what it can't read, it answers without them.
#[rstest]
#[case::no_request("what is this\r\n\r\n", 400)]
#[case::bad_version("POST /unsafe/ HTTP/7.3\r\nhost: shop.example\r\n\r\n", 400)]
#[case::bad_header("POST /unsafe/ HTTP/1.1\r\nhost: shop.example\r\nbad header: 1\r\n\r\n", 400)]
#[case::bad_length(
    "POST /unsafe/ HTTP/1.1\r\nhost: shop.example\r\ncontent-length: x\r\n\r\n",
    400
)]
#[case::two_lengths(
    "POST /unsafe/ HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
    400
)]
#[case::unknown_coding(
    "POST /unsafe/ HTTP/1.1\r\nhost: shop.example\r\ntransfer-encoding: odd\r\n\r\n",
    400
)]
#[case::bad_chunk(
    "POST /unsafe/ HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer agents-key\r\n\
     tarragonknot-request-id: id-1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
    400
)]
#[tokio::test]
async fn the_server_for_callers_promises_nothing_by_itself(
    #[case] bytes: &str,
    #[case] status: u16,
) {
    let engine = sound_engine().await;
    let fleet = fleet(&[&engine]).await;
    let mut caller = RawCaller::connect(fleet.front.address).await;

    caller.write(bytes).await;
    let answer = caller.read_answer().await;
    tokio::time::sleep(LATE_SEND_TIME).await;

    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(engine.ids(), Vec::<String>::new());
}

/// As above, for heads beyond the server's limits.
#[rstest]
#[case::long_path(100_000, 0, 414)]
#[case::large_head(8, 1 << 20, 431)]
#[tokio::test]
async fn a_head_beyond_the_limits_is_refused_without_a_promise(
    #[case] path_size: usize,
    #[case] header_size: usize,
    #[case] status: u16,
) {
    let engine = sound_engine().await;
    let fleet = fleet(&[&engine]).await;
    let mut caller = RawCaller::connect(fleet.front.address).await;

    let path = format!("/unsafe/{}", "a".repeat(path_size));
    let head = request_head(&path, "id-1", KEY, 1_000, 0);
    let note = format!("x-note: {}\r\n", "a".repeat(header_size));
    caller.write(&with_headers(&head, &note)).await;
    let answer = caller.read_answer().await;

    assert!(answer.status == status || answer.status == 0, "{answer:?}");
    assert_eq!(engine.ids(), Vec::<String>::new());
}

/// A body that arrives in parts is sent once, whole.
#[tokio::test]
async fn a_body_that_arrives_slowly_is_sent_once_and_whole() {
    let engine = sound_engine().await;
    let fleet = fleet(&[&engine]).await;
    let body = large_body(100_000);
    let mut caller = RawCaller::connect(fleet.front.address).await;

    caller.write(&request_head("/unsafe/", "id-1", KEY, 2_000, body.len())).await;
    for part in body.as_bytes().chunks(20_000) {
        tokio::time::sleep(Duration::from_millis(15)).await;
        assert_eq!(engine.ids(), Vec::<String>::new());
        caller.write(std::str::from_utf8(part).expect("the body is ASCII")).await;
    }
    let answer = caller.read_answer().await;

    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(engine.heads("id-1").len(), 1);
    assert!(engine.has_whole("id-1"));
}

/// Guards against sending a body that its caller broke off.
#[rstest]
#[case::reset(true)]
#[case::closed(false)]
#[tokio::test]
async fn a_body_that_breaks_off_reaches_no_engine(#[case] is_reset: bool) {
    let engine = sound_engine().await;
    let fleet = fleet(&[&engine]).await;

    for round in 0..10 {
        let mut caller = RawCaller::connect(fleet.front.address).await;
        caller.write(&request_head("/unsafe/", &format!("id-{round}"), KEY, 1_000, 5_000)).await;
        caller.write(&large_body(500 * round)).await;
        if is_reset {
            caller.reset();
        }
    }
    tokio::time::sleep(LATE_SEND_TIME).await;

    assert_eq!(engine.ids(), Vec::<String>::new());
}

/// Guards against a promise for a request that is overdue, and against its late send. The time
/// limits are those of the server: 20 s for a head and 10 s for a body.
#[rstest]
#[case::head(20, 0)]
#[case::body(400, 400)]
#[tokio::test]
async fn an_overdue_request_is_ended_without_a_promise(#[case] sent: usize, #[case] status: u16) {
    let engine = sound_engine().await;
    let fleet = fleet(&[&engine]).await;
    let request = request_head("/unsafe/", "id-1", KEY, 1_000, 1_000) + &large_body(1_000);
    let mut caller = RawCaller::connect(fleet.front.address).await;

    caller.write(&request[..sent]).await;
    let answer = caller.read_answer().await;
    caller.write(&request[sent..]).await;
    tokio::time::sleep(LATE_SEND_TIME).await;

    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(engine.ids(), Vec::<String>::new());
}

/// Each of two pipelined requests gets its own answer and runs once; a refused one runs never.
#[rstest]
#[case::both_run([KEY, KEY], [200, 200])]
#[case::first_refused(["no-key", KEY], [401, 200])]
#[case::second_refused([KEY, "no-key"], [200, 401])]
#[tokio::test]
async fn pipelined_requests_are_kept_apart(#[case] keys: [&str; 2], #[case] statuses: [u16; 2]) {
    let engine = sound_engine().await;
    let fleet = fleet(&[&engine]).await;
    let mut caller = RawCaller::connect(fleet.front.address).await;

    let both = ["id-0", "id-1"]
        .iter()
        .zip(keys)
        .map(|(id, key)| request_head("/unsafe/", id, key, 2_000, 8) + "the body");
    caller.write(&both.collect::<String>()).await;
    let answers = [caller.read_answer().await, caller.read_answer().await];
    tokio::time::sleep(LATE_SEND_TIME).await;

    for ((answer, status), id) in answers.iter().zip(statuses).zip(["id-0", "id-1"]) {
        assert!(answer.status == status || answer.status == 0, "{answer:?}");
        assert_eq!(engine.heads(id).len(), usize::from(answer.status == 200), "{id}");
    }
    assert_eq!(answers[0].status, statuses[0]);
}

/// Guards against the refusal of one of two pipelined requests being taken for the other's answer.
#[rstest]
#[case::lost_then_refused([vec![RawStep::Run, RawStep::Close], vec![NOT_RUN]], [502, 503])]
#[case::refused_then_lost([vec![NOT_RUN], vec![RawStep::Run, RawStep::Close]], [503, 502])]
#[tokio::test]
async fn pipelined_requests_get_no_answer_of_each_other(
    #[case] outcomes: [Vec<RawStep>; 2],
    #[case] statuses: [u16; 2],
) {
    let script = move |number: usize| {
        let outcome = outcomes[number.min(1)].clone();
        [RawStep::ReadHead, RawStep::ReadBody].into_iter().chain(outcome).collect()
    };
    let engine = RawEngine::start(script).await;
    let fleet = fleet(&[&engine]).await;
    let mut caller = RawCaller::connect(fleet.front.address).await;

    let both = ["id-0", "id-1"].map(|id| request_head("/unsafe/", id, KEY, 2_000, 8) + "the body");
    caller.write(&both.concat()).await;
    let answers = [caller.read_answer().await, caller.read_answer().await];

    assert_eq!(answers.each_ref().map(|answer| answer.status), statuses, "{answers:?}");
    for (answer, id) in answers.iter().zip(["id-0", "id-1"]) {
        assert!(!(engine.has_run(id) && answer.promises_not_run()), "{id}: {answer:?}");
    }
}

/// Guards against a body that is read as a request after its own request was refused unread.
#[rstest]
#[case::unknown_key("no-key", 1, 401)]
#[case::no_table(KEY, 0, 503)]
#[tokio::test]
async fn the_unread_body_of_a_refused_request_is_not_taken_for_a_request(
    #[case] key: &str,
    #[case] table: u64,
    #[case] status: u16,
    #[values(true, false)] is_sent_at_once: bool,
    #[values("", "expect: 100-continue\r\n")] expect: &str,
) {
    let engine = sound_engine().await;
    let fleet = RoutedFleet::without_table(&[]).await;
    list(&fleet, &[engine.address]);
    if table > 0 {
        fleet.apply(table, &document(table));
    }
    let inner = request_head("/unsafe/", "inner", KEY, 2_000, 0);
    let head = request_head("/unsafe/", "outer", key, 2_000, inner.len());
    let head = with_headers(&head, expect);
    let mut caller = RawCaller::connect(fleet.front.address).await;

    caller.write(&head).await;
    if is_sent_at_once {
        caller.write(&inner).await;
    }
    let answer = caller.read_answer().await;
    fleet.apply(2, &document(2));
    if !is_sent_at_once {
        caller.write(&inner).await;
    }
    tokio::time::sleep(LATE_SEND_TIME).await;

    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(engine.ids(), Vec::<String>::new());
}

/// A caller that waits for `100 Continue` is asked for its body, and its request runs once.
#[tokio::test]
async fn a_request_that_expects_to_continue_runs_once() {
    let engine = sound_engine().await;
    let fleet = fleet(&[&engine]).await;
    let head = request_head("/unsafe/", "id-1", KEY, 2_000, 8);
    let mut caller = RawCaller::connect(fleet.front.address).await;

    caller.write(&with_headers(&head, "expect: 100-continue\r\n")).await;
    let interim = caller.read_head().await;
    let before = engine.ids();
    caller.write("the body").await;
    let answer = caller.read_answer().await;

    assert!(interim.starts_with("HTTP/1.1 100 "), "{interim}");
    assert_eq!((before, answer.status), (Vec::new(), 200));
    assert_eq!(engine.ids(), ["id-1"]);
    assert!(!engine.has_bytes("100-continue"));
}

/// An engine that grants each reservation after a pause, and runs and answers requests.
async fn reserving_engine(reply_time: Duration, run_time: Duration) -> RawEngine {
    let steps = vec![
        RawStep::ReadHead,
        RawStep::ReadBody,
        RawStep::Reserve(reply_time),
        RawStep::Run,
        RawStep::Pause(run_time),
        ANSWER,
        RawStep::Repeat,
    ];
    RawEngine::start(move |_| steps.clone()).await
}

/// Counts the answers of each status.
fn count_statuses(answers: &[(String, RawAnswer)]) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    answers.iter().for_each(|(_, answer)| *counts.entry(answer.status).or_insert(0) += 1);
    counts
}

/// Asserts, after the time of a late send, that what was refused reached no engine.
async fn assert_no_late_send(engines: &[&RawEngine], answers: &[(String, RawAnswer)]) {
    tokio::time::sleep(LATE_SEND_TIME).await;
    for (id, answer) in answers {
        assert_truthful(engines, id, answer);
    }
}

/// Guards against a request that is sent to the place reserved for it after its caller was refused:
/// the reply to the reservation comes around the deadline.
#[rstest]
#[tokio::test]
async fn a_place_granted_at_the_deadline_gets_no_refused_request(
    #[values(20, 60, 120, 290, 300, 500)] reply_ms: u64,
    #[values("/unsafe/", "/stream/")] path: &str,
) {
    let rounds = (0..24_u64).map(|round| async move {
        let engine = reserving_engine(Duration::from_millis(reply_ms), Duration::ZERO).await;
        let fleet = fleet_with_table(&[&engine], &document_with_reservations(1)).await;
        // The deadlines lie on both sides of the reply.
        let deadline_ms = reply_ms + round / 2 - 3;
        let id = format!("id-{round}");
        let answer = call(&fleet, path, &id, deadline_ms, "the body").await;
        (engine, (id, answer))
    });
    let (engines, answers): (Vec<_>, Vec<_>) =
        futures_util::future::join_all(rounds).await.into_iter().unzip();

    println!("reply after {reply_ms} ms: {:?}", count_statuses(&answers));
    assert!(engines.iter().any(|engine| engine.reservation_count() > 0));
    assert_no_late_send(&engines.iter().collect::<Vec<_>>(), &answers).await;
}

/// Guards against the delivery of a refused request to an engine that accepts its connections after
/// the deadline.
#[rstest]
#[tokio::test]
async fn an_engine_that_accepts_late_gets_no_refused_request(
    #[values(true, false)] has_reservations: bool,
    #[values("/unsafe/", "/stream/")] path: &str,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port can be bound");
    let address = listener.local_addr().expect("the socket has a local address");
    let table = if has_reservations { document_with_reservations(1) } else { document(1) };
    let fleet = fleet_with_table(&[], &table).await;
    list(&fleet, &[address]);
    let calls = (0..6_u64).map(|number| {
        let fleet = &fleet;
        async move {
            let id = format!("id-{number}");
            let answer = call(fleet, path, &id, 100 + 60 * number, "the body").await;
            (id, answer)
        }
    });

    let answers = futures_util::future::join_all(calls).await;
    let steps = [RawStep::ReadHead, RawStep::ReadBody, RawStep::Reserve(Duration::ZERO)];
    let engine = RawEngine::serve(listener, move |_| {
        steps.iter().cloned().chain([RawStep::Run, ANSWER, RawStep::Repeat]).collect()
    });

    assert!(answers.iter().all(|(_, answer)| matches!(answer.status, 503 | 504)), "{answers:?}");
    assert_no_late_send(&[&engine], &answers).await;
}

/// Guards against the delivery of a refused request over a connection that is opened after its
/// deadline: the engine's queue of connections is full.
#[rstest]
#[tokio::test]
async fn a_connection_that_opens_late_carries_no_refused_request(
    #[values(300, 900, 1_500)] deadline_ms: u64,
) {
    let socket = TcpSocket::new_v4().expect("a socket can be opened");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a loopback port can be bound");
    let listener = socket.listen(0).expect("the socket can listen");
    let address = listener.local_addr().expect("the socket has a local address");
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) =
        tokio::time::timeout(Duration::from_millis(200), TcpStream::connect(address)).await
    {
        queued.push(stream);
    }
    let fleet = fleet_with_table(&[], &document(1)).await;
    list(&fleet, &[address]);

    let answer = call(&fleet, "/unsafe/", "id-1", deadline_ms, "the body").await;
    let engine = RawEngine::serve(listener, |_| vec![RawStep::ReadHead, RawStep::Run, ANSWER]);
    // Unanswered connection attempts are repeated by the kernel after 1 s and 3 s.
    tokio::time::sleep(Duration::from_millis(1_200)).await;

    assert!(matches!(answer.status, 503 | 504), "{answer:?}");
    assert_eq!(engine.ids(), Vec::<String>::new());
}

/// What happens while requests wait for a place.
#[derive(Clone, Copy, Debug)]
enum WaitingEvent {
    Nothing,
    Drain,
    RouteRemoved,
    KeyRevoked,
    Quarantine,
    EngineUnlisted,
}

impl WaitingEvent {
    fn happen(self, fleet: &RoutedFleet, table: &str) {
        match self {
            WaitingEvent::Nothing => {}
            WaitingEvent::Drain => fleet.front.drain(),
            WaitingEvent::RouteRemoved => fleet.apply(2, &table.replace("/unsafe/", "/removed/")),
            WaitingEvent::KeyRevoked => fleet.apply(2, &table.replace(KEY, "another-key")),
            WaitingEvent::Quarantine => quarantine(fleet),
            WaitingEvent::EngineUnlisted => list(fleet, &[]),
        }
    }
}

/// Puts the contents of all requests into quarantine, except those that were answered before.
fn quarantine(fleet: &RoutedFleet) {
    for number in 0..WAITING_COUNT {
        let content = RequestFingerprint::of(&RequestContent {
            organisation: "agents",
            method: "POST",
            host: "shop.example",
            path: "/unsafe/",
            body: waiting_body(number).as_bytes(),
        });
        for name in ["e-1", "e-2", "e-3"] {
            let upstream = UpstreamHash::of(&"pool".into(), &name.into(), 0);
            fleet.state.quarantine.note_crash(
                &fleet.state,
                &SuspectKeys::of_content(content),
                upstream,
                CrashEvidence::Certain,
            );
        }
    }
}

/// Number of requests that wait at the same time.
const WAITING_COUNT: usize = 40;

fn waiting_body(number: usize) -> String {
    format!("body {number}")
}

/// Guards against a late send of what was refused while it waited: places become free around the
/// deadlines, while the daemon or its table changes.
#[rstest]
#[tokio::test]
async fn what_was_refused_while_it_waited_is_not_sent_later(
    #[values(
        WaitingEvent::Nothing,
        WaitingEvent::Drain,
        WaitingEvent::RouteRemoved,
        WaitingEvent::KeyRevoked,
        WaitingEvent::Quarantine,
        WaitingEvent::EngineUnlisted
    )]
    event: WaitingEvent,
    #[values(true, false)] has_reservations: bool,
    #[values(1, 2)] seed: u64,
) {
    let engine = reserving_engine(Duration::from_millis(20), Duration::from_millis(40)).await;
    let table = if has_reservations { document_with_reservations(2) } else { document(2) };
    let fleet = fleet_with_table(&[&engine], &table).await;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let deadlines: Vec<u64> = (0..WAITING_COUNT).map(|_| random.random_range(60..500)).collect();
    let event_at = Duration::from_millis(random.random_range(100..200));
    // The daemon refuses at once what it expects to miss its deadline, and learns the run time.
    for number in 0..20 {
        call(&fleet, "/unsafe/", &format!("first-{number}"), 2_500, "the body").await;
    }
    let calls = deadlines.iter().enumerate().map(|(number, deadline_ms)| {
        let fleet = &fleet;
        async move {
            let id = format!("id-{number}");
            let body = waiting_body(number);
            let answer = call(fleet, "/unsafe/", &id, *deadline_ms, &body).await;
            (id, answer)
        }
    });
    let change = async {
        tokio::time::sleep(event_at).await;
        event.happen(&fleet, &table);
    };

    let (answers, ()) = tokio::join!(futures_util::future::join_all(calls), change);

    println!("{event:?}: {:?}", count_statuses(&answers));
    assert_no_late_send(&[&engine], &answers).await;
    for (id, answer) in &answers {
        let is_denied = matches!(answer.status, 401 | 404);
        assert!(!is_denied || engine.heads(id).is_empty(), "{id} was denied and sent");
    }
}

/// A document whose routes all allow three sends.
fn document_with_attempts() -> String {
    let document = document(1);
    let three = "\"max_attempts\":3";
    document.replace("\"max_attempts\":1", three).replace("\"max_attempts\":2", three)
}

/// How an engine of a sequence ends a send.
const OUTCOMES: [EngineAction; 8] = [
    EngineAction::NotRun,
    EngineAction::OtherIncarnation,
    EngineAction::Answer(500, "broken"),
    EngineAction::Close,
    EngineAction::Silent,
    EngineAction::Crossed,
    EngineAction::Truncated,
    EngineAction::CutEvents(1, 2),
];

fn proves_not_run(outcome: &EngineAction) -> bool {
    matches!(outcome, EngineAction::NotRun | EngineAction::OtherIncarnation)
}

/// Sends a request to two engines that end its sends by these outcomes, and then by "not run";
/// returns the answer and the number of sends.
async fn call_through(outcomes: &[EngineAction], path: &str) -> (RawAnswer, usize) {
    let sends = Arc::new(AtomicUsize::new(0));
    let script = || {
        let (sends, outcomes) = (Arc::clone(&sends), outcomes.to_vec());
        move |_: usize, request: &ReceivedRequest| {
            if request.id != "id-1" {
                return EngineAction::Answer(200, "fine");
            }
            let number = sends.fetch_add(1, Ordering::SeqCst);
            outcomes.get(number).cloned().unwrap_or(EngineAction::NotRun)
        }
    };
    let first = ScriptedEngine::start_with_request("i-1", script()).await;
    let second = ScriptedEngine::start_with_request("i-2", script()).await;
    let fleet = RoutedFleet::without_table(&[&first, &second]).await;
    fleet.apply(1, &document_with_attempts());
    let is_silent = outcomes.iter().any(|outcome| matches!(outcome, EngineAction::Silent));
    let deadline_ms = if is_silent { 500 } else { 2_500 };
    let answer = call(&fleet, path, "id-1", deadline_ms, "the body").await;
    (answer, sends.load(Ordering::SeqCst))
}

/// Guards against a sequence of sends that ends in a promise although an earlier one may have run,
/// and against a second run of what may run once.
#[rstest]
#[case::may_run_once("/unsafe/", false)]
#[case::stream_that_may_run_once("/stream/", false)]
#[case::may_repeat("/safe/", true)]
#[case::stream_that_may_repeat("/resumable/", true)]
#[tokio::test]
async fn no_sequence_of_sends_ends_in_a_false_promise(
    #[case] path: &str,
    #[case] may_repeat: bool,
) {
    for first in &OUTCOMES {
        let sequences = OUTCOMES.iter().map(|second| {
            let outcomes = [first.clone(), second.clone()];
            async move { (call_through(&outcomes, path).await, outcomes) }
        });

        for ((answer, sends), outcomes) in futures_util::future::join_all(sequences).await {
            let performed = &outcomes[..sends.min(2)];
            let runs = performed.iter().filter(|outcome| !proves_not_run(outcome)).count();
            let case = format!("{outcomes:?}, {sends} sends: {answer:?}");
            assert!(runs == 0 || !answer.promises_not_run(), "{case}");
            assert!(runs <= 1 || may_repeat, "{case}");
            let may_run_last = performed.last().is_some_and(|outcome| !proves_not_run(outcome));
            assert!(may_repeat || runs == 0 || may_run_last, "sent after it may have run: {case}");
        }
    }
}

/// What no engine ran is refused with a promise after all sends that its route allows.
#[rstest]
#[tokio::test]
async fn a_sequence_that_ran_nowhere_ends_in_a_promise(
    #[values("/unsafe/", "/stream/", "/safe/", "/resumable/")] path: &str,
    #[values(EngineAction::NotRun, EngineAction::OtherIncarnation)] first: EngineAction,
) {
    let (answer, sends) = call_through(&[first, EngineAction::NotRun], path).await;

    assert_eq!(answer.status, 503, "{answer:?}");
    assert!((1..=3).contains(&sends), "{sends}");
}

/// Guards against a promise after an engine may have run the request and no other one is reachable.
#[rstest]
#[tokio::test]
async fn an_unreachable_engine_does_not_hide_an_earlier_run(
    #[values("/unsafe/", "/stream/", "/safe/", "/resumable/")] path: &str,
    #[values("run", "not run")] outcome: &str,
) {
    let gone = free_address();
    let has_run = outcome == "run";
    let engine = RawEngine::start(move |_| {
        let end = if has_run { [RawStep::Run, RawStep::Reset] } else { [NOT_RUN, RawStep::Close] };
        [RawStep::ReadHead, RawStep::ReadBody].into_iter().chain(end).collect()
    })
    .await;
    let fleet = fleet_with_table(&[], &document_with_attempts()).await;
    list(&fleet, &[engine.address, gone]);

    for round in 0..8 {
        let id = format!("id-{round}");
        let answer = call(&fleet, path, &id, 300, "the body").await;

        assert!(!(engine.has_run(&id) && answer.promises_not_run()), "{id}: {answer:?}");
    }
}
