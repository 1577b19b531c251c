//! The bound on request bodies and answers that a daemon holds.

use crate::raw_engine::{RawCaller, request_head};
use crate::routed_fleet::{EngineAction, KEY, RoutedFleet, ScriptedEngine};
use http_body_util::BodyExt;
use slog::{Discard, Logger, o};
use std::time::Duration;
use tarragonknot::traffic::{AnswerWriter, HeldBody, MemoryBudget, MemoryLedger, NoMemory};
use tokio::time::{Instant, timeout};

const KIB: usize = 1 << 10;
/// More than a connection takes of an answer that its caller does not read.
const LARGE: usize = 8 << 20;

fn budget(limit: usize) -> MemoryBudget {
    let budget = MemoryBudget::new(Logger::root(Discard, o!()));
    budget.set_limit(limit);
    budget
}

/// A whole answer of this size.
fn whole_answer(budget: &MemoryBudget, size: usize) -> HeldBody {
    let (writer, body) = budget.begin_answer("id");
    writer.push(&vec![b'x'; size]).expect("the answer fits");
    writer.finish();
    body
}

/// Reserves memory of one answer after the other; returns the last result and the answers dropped.
fn reserve(ledger: &mut MemoryLedger, steps: &[(u64, usize)]) -> (Result<(), NoMemory>, Vec<u64>) {
    let mut dropped = Vec::new();
    let reserve =
        |(number, bytes): &(u64, usize)| ledger.reserve_answer(*number, *bytes, &mut dropped);
    let last = steps.iter().map(reserve).last().expect("there is a step");
    (last, dropped.into_iter().map(|(number, _)| number).collect())
}

/// Guards against an answer that is dropped although a new request could have been refused.
#[test]
fn bodies_are_refused_while_answers_still_get_memory() {
    let mut ledger = MemoryLedger::new(Some(1_000));
    let answer = ledger.begin_answer();
    let (first, _) = reserve(&mut ledger, &[(answer, 700)]);

    let body = ledger.reserve_body(51);
    let (more, dropped) = reserve(&mut ledger, &[(answer, 300)]);

    assert_eq!((first, body, more), (Ok(()), Err(NoMemory), Ok(())));
    assert!(dropped.is_empty(), "{dropped:?}");
}

/// Guards against small answers that are dropped for the sake of a large one.
#[test]
fn the_largest_unread_answer_is_dropped_first() {
    let mut ledger = MemoryLedger::new(Some(1_000));
    let [small, large, other] = [(); 3].map(|()| ledger.begin_answer());

    let (last, dropped) =
        reserve(&mut ledger, &[(small, 100), (large, 600), (other, 200), (small, 200)]);
    let (giant, also_dropped) = reserve(&mut ledger, &[(other, 900)]);

    assert_eq!((last, dropped), (Ok(()), vec![large]));
    assert_eq!((giant, also_dropped), (Err(NoMemory), vec![other]));
    assert_eq!(ledger.held(), 300);
}

/// Guards against counting bytes as unread that the connection has taken: dropping the answer would
/// not release them.
#[test]
fn written_bytes_count_until_they_are_released() {
    let mut ledger = MemoryLedger::new(Some(1_000));
    let [first, second] = [(); 2].map(|()| ledger.begin_answer());
    reserve(&mut ledger, &[(first, 600)]).0.expect("the answer fits");

    ledger.begin_writing(first, 500).expect("the answer is known");
    let (result, dropped) = reserve(&mut ledger, &[(second, 450)]);

    assert_eq!((result, dropped), (Err(NoMemory), vec![second]));
    assert_eq!(ledger.held(), 600);
}

/// Guards against a body that is refused at once in a short peak, and one that waits for long.
#[tokio::test]
async fn a_body_waits_briefly_for_memory() {
    let budget = budget(1_000);
    let mut first = budget.guard();
    first.grow_body(700).await.expect("the body fits");
    let start = Instant::now();

    let refused = budget.guard().grow_body(100).await;
    let waited = start.elapsed();
    let mut second = budget.guard();
    let release = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        drop(first);
    };
    let (granted, ()) = tokio::join!(second.grow_body(100), release);

    assert_eq!(refused, Err(NoMemory));
    assert!((100..=1_000).contains(&waited.as_millis()), "{waited:?}");
    assert_eq!(granted, Ok(()));
    drop(second);
    assert_eq!(budget.held(), 0);
}

/// Guards against memory that is held for ever for a caller that never reads, and against cutting an
/// answer after its deadline while its caller reads on.
#[tokio::test]
async fn an_answer_nobody_reads_is_dropped_after_its_deadline() {
    let budget = budget(1 << 20);
    let deadline = Duration::from_millis(100);
    let unread = whole_answer(&budget, 100 * KIB).into_body(deadline);
    let mut slow = whole_answer(&budget, 100 * KIB).into_body(deadline);

    let mut read = 0;
    for _ in 0..6 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let frame = slow.frame().await.expect("the answer goes on").expect("it is not cut");
        read += frame.into_data().expect("a frame of data").len();
    }
    let held = budget.held();
    let rest = slow.collect().await.expect("the answer is whole").to_bytes();

    assert_eq!(read + rest.len(), 100 * KIB);
    assert_eq!(held, 100 * KIB - read);
    assert!(unread.collect().await.is_err(), "a dropped answer looks whole");
}

/// Guards against an answer that looks whole although its upstream's part was never finished, and
/// against memory that stays held for it.
#[tokio::test]
async fn an_unfinished_answer_is_cut() {
    let budget = budget(1 << 20);
    let (writer, body): (AnswerWriter, HeldBody) = budget.begin_answer("id");
    writer.push(b"half of an ans").expect("the answer fits");
    drop(writer);

    let collected = body.into_body(Duration::from_secs(1)).collect().await;

    assert!(collected.is_err());
    assert_eq!(budget.held(), 0);
}

/// Guards against an upstream that is blocked by a caller that pauses, and against a stream that is
/// read without bound.
#[tokio::test]
async fn a_stream_is_read_ahead_of_its_caller_up_to_a_bound() {
    let budget = budget(16 << 20);
    let (writer, body) = budget.begin_answer("id");
    let mut body = body.into_body(Duration::from_secs(60));
    let event = vec![b'x'; KIB];
    let mut ahead = 0;

    while timeout(Duration::from_millis(100), writer.wait_for_room()).await.is_ok() {
        writer.push(&event).expect("the event fits");
        ahead += event.len();
    }
    body.frame().await.expect("there are events").expect("the stream is not cut");
    let has_room = timeout(Duration::from_millis(100), writer.wait_for_room()).await.is_ok();

    assert_eq!(ahead, 256 * KIB);
    assert!(has_room);
}

fn large_answer(size: usize) -> &'static str {
    Box::leak("x".repeat(size).into_boxed_str())
}

/// True once the daemon holds nothing; the connection drops a body after its caller has read it.
async fn is_released(fleet: &RoutedFleet) -> bool {
    let released = async {
        while fleet.state.memory.held() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(2), released).await.is_ok()
}

async fn send_request(fleet: &RoutedFleet, path: &str, id: &str) -> RawCaller {
    let mut caller = RawCaller::connect(fleet.front.address).await;
    let head = request_head(path, id, KEY, 2_500, 4);
    assert!(caller.write(&format!("{head}body")).await);
    caller
}

/// Guards against a daemon that is killed for its memory by callers that do not read, whose answers it
/// has buffered without a common bound, and against other callers that are not served meanwhile.
#[tokio::test]
async fn callers_that_never_read_take_no_more_than_the_bound() {
    let answer = large_answer(LARGE);
    let engine = ScriptedEngine::start_with_request("i-1", move |_, request| {
        let is_large = request.id.starts_with("large");
        EngineAction::Answer(200, if is_large { answer } else { "small" })
    })
    .await;
    let fleet = RoutedFleet::start(&[&engine]).await;
    fleet.state.memory.set_limit(3 * LARGE);
    let mut callers = Vec::new();
    let mut most = 0;

    for number in 0..12 {
        callers.push(send_request(&fleet, "/safe/", &format!("large-{number}")).await);
        tokio::time::sleep(Duration::from_millis(30)).await;
        most = most.max(fleet.state.memory.held());
    }
    let small = fleet.call("/safe/", "small-1").await;
    let held = fleet.state.memory.held();

    assert!(most <= 3 * LARGE && held <= 3 * LARGE, "{most} and {held} bytes");
    assert!(most > LARGE, "{most} bytes: the answers were not held");
    assert_eq!(small.body.as_deref(), Some("small"));
}

/// Guards against an answer beyond the bound that takes the memory of others, is sent again, or looks
/// as if the request had not run.
#[tokio::test]
async fn an_answer_larger_than_the_bound_is_refused_truthfully() {
    let answer = large_answer(LARGE);
    let engine = ScriptedEngine::start("i-1", move |_| EngineAction::Answer(200, answer)).await;
    let fleet = RoutedFleet::start(&[&engine]).await;
    fleet.state.memory.set_limit(LARGE / 2);

    let refused = fleet.call("/safe/", "id-1").await;

    let body = refused.body.expect("the refusal is whole");
    assert_eq!(refused.status, 502, "{body}");
    assert!(body.contains("answer-dropped") && body.contains(r#""ran":"unknown""#), "{body}");
    assert_eq!(engine.count(), 1);
    assert!(is_released(&fleet).await);
}

/// Guards against bodies that trickle in and together take all memory, and against a refusal of a
/// request that may still run.
#[tokio::test]
async fn bodies_that_trickle_are_bounded_together() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Answer(200, "fine")).await;
    let fleet = RoutedFleet::start(&[&engine]).await;
    fleet.state.memory.set_limit(100 * KIB);
    let mut callers = Vec::new();
    for number in 0..4 {
        let mut caller = RawCaller::connect(fleet.front.address).await;
        let head = request_head("/safe/", &format!("slow-{number}"), KEY, 2_500, 64 * KIB);
        caller.write(&format!("{head}{}", "x".repeat(18 * KIB))).await;
        callers.push(caller);
    }
    while fleet.state.memory.held() < 4 * 18 * KIB {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    let refused = fleet.call_body("/safe/", "id-1", &"y".repeat(16 * KIB)).await;
    let count = engine.count();
    drop(callers);
    assert!(is_released(&fleet).await);
    let served = fleet.call_body("/safe/", "id-2", &"y".repeat(16 * KIB)).await;

    let body = refused.body.expect("the refusal is whole");
    assert_eq!(refused.status, 503, "{body}");
    assert!(body.contains("memory-full") && body.contains(r#""ran":"no""#), "{body}");
    assert!(refused.headers.contains_key("retry-after"), "{:?}", refused.headers);
    assert_eq!(count, 0);
    assert_eq!(served.status, 200);
}

/// Guards against memory that stays held for the answers of an upstream that crashed.
#[tokio::test]
async fn a_crash_of_the_upstream_releases_the_memory() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Truncated).await;
    let streaming = ScriptedEngine::start("i-2", |_| EngineAction::CutEvents(1, 3)).await;
    let fleet = RoutedFleet::start(&[&engine]).await;
    fleet.state.memory.set_limit(100 * KIB);

    let plain = fleet.call("/unsafe/", "id-1").await;
    fleet.list(&[&streaming], tarragonknot::upstream::VmState::Live);
    let stream = fleet.stream("/stream/", "id-2", &[]).await;

    assert_eq!(plain.status, 502);
    assert!(!stream.is_whole, "{stream:?}");
    assert!(is_released(&fleet).await);
}

/// Guards against a stream that changes, or is cut, because it is read ahead of its caller.
#[tokio::test]
async fn a_bounded_stream_arrives_whole() {
    let engine = ScriptedEngine::start("i-1", |_| EngineAction::Events(1, 500)).await;
    let fleet = RoutedFleet::start(&[&engine]).await;
    let direct = fleet.stream("/stream/", "id-1", &[]).await;
    fleet.state.memory.set_limit(100 * KIB);

    let held = fleet.stream("/stream/", "id-2", &[]).await;

    assert!(direct.is_whole && held.is_whole);
    assert_eq!(held.text, direct.text);
    assert!(is_released(&fleet).await);
}
