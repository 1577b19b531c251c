//! Requests and the memory of the engines that they are placed at, in virtual time.

use crate::burst_pool::{BurstPool, arrived, dispatched_ids, urgency_plan};
use crate::session::source;
use rstest::rstest;
use tarragonknot::answer::AnswerKind;
use tarragonknot::policy::{
    ArrivedRequest, DispatchOutcome, FleetGroup, Moment, PeerWaiting, PeerWork, PlacementDemand,
    PoolAction, PoolEvent, RequestId, RequestSizes, UpstreamIndex, VersionHash,
};

/// Memory of each engine of the tests, in tokens.
const MEMORY: u64 = 100_000;

/// A pool of one engine with eight slots whose memory is counted.
fn pool() -> BurstPool {
    let mut plan = urgency_plan();
    plan.first_guess = 8;
    plan.engine_memory_tokens = Some(MEMORY);
    BurstPool::with_plan(plan)
}

/// A request with this prompt and maximum output, of which a tenth is expected, that waits for a minute.
fn request(id: u64, prompt: u32, output: u32, millis: u64) -> ArrivedRequest {
    ArrivedRequest {
        sizes: Some(RequestSizes { prompt, output: output / 10 }),
        output_limit: Some(output),
        deadline: Moment::from_millis(millis + 60_000),
        objective: None,
        patience: None,
        ..arrived(id, 0, 10, millis)
    }
}

fn arrive(pool: &mut BurstPool, request: ArrivedRequest, millis: u64) -> Vec<PoolAction> {
    pool.handle_event(PoolEvent::Arrived(request), millis)
}

fn end(pool: &mut BurstPool, id: u64, outcome: DispatchOutcome, millis: u64) -> Vec<PoolAction> {
    pool.handle_event(PoolEvent::Ended { id: RequestId(id), outcome }, millis)
}

/// Reports that other daemons have this many requests at the engine.
fn report_peers(pool: &mut BurstPool, requests: u32, millis: u64) -> Vec<PoolAction> {
    let work = PeerWork { requests, ..PeerWork::default() };
    let event = PoolEvent::PeerLoad {
        rows: vec![("e1".into(), work)],
        group: FleetGroup::default(),
        waiting: PeerWaiting::default(),
    };
    pool.handle_event(event, millis)
}

fn held_tokens(pool: &BurstPool) -> Vec<u64> {
    pool.scheduler.upstreams().iter().map(|status| status.memory.held_tokens()).collect()
}

/// Returns when a waiting request is dispatched, with a tick and a report of the peers every 50 ms.
fn first_dispatch(pool: &mut BurstPool, peers: u32, from: u64, to: u64) -> Option<u64> {
    (from..to).step_by(50).find(|millis| {
        let reported = report_peers(pool, peers, *millis);
        let ticked = pool.handle_event(PoolEvent::Tick, *millis);
        !dispatched_ids(&reported).is_empty() || !dispatched_ids(&ticked).is_empty()
    })
}

/// Guards against an engine that crashes although slots were free: the slots hold three requests
/// whose prompts and maximum outputs together exceed its memory.
#[test]
fn an_engine_is_given_no_request_beyond_its_memory() {
    let mut pool = pool();

    let first = arrive(&mut pool, request(1, 40_000, 5_000, 0), 0);
    let second = arrive(&mut pool, request(2, 40_000, 5_000, 1), 1);
    let third = arrive(&mut pool, request(3, 10_000, 5_000, 2), 2);
    let held = held_tokens(&pool);
    let after_end = pool.complete(1, 100);

    assert_eq!([first, second].map(|actions| dispatched_ids(&actions)), [[1], [2]]);
    assert!(third.is_empty(), "{third:?}");
    assert_eq!(held, [90_000]);
    assert_eq!(dispatched_ids(&after_end), [3]);
    assert_eq!(held_tokens(&pool), [60_000]);
}

/// Guards against a slot that stays free while a request that fits waits behind larger ones.
#[test]
fn a_small_request_passes_larger_ones_that_do_not_fit() {
    let mut pool = pool();
    arrive(&mut pool, request(1, 60_000, 0, 0), 0);
    for id in 2..14 {
        arrive(&mut pool, request(id, 50_000, 0, 1), 1);
    }

    let actions = arrive(&mut pool, request(20, 30_000, 0, 2), 2);

    assert_eq!(dispatched_ids(&actions), [20]);
}

/// Guards against a request that waits until its deadline for memory that no engine has, and against
/// a refusal of one that just fits.
#[rstest]
#[case::prompt(100_001, 0, true)]
#[case::output(90_000, 10_001, true)]
#[case::fits(90_000, 10_000, false)]
fn a_request_larger_than_the_memory_is_refused_at_once(
    #[case] prompt: u32,
    #[case] output: u32,
    #[case] is_refused: bool,
    #[values(false, true)] is_resumed: bool,
) {
    let mut pool = pool();
    let mut engine = source("e1", 1);
    engine.version = Some("v1".into());
    pool.handle_event(PoolEvent::Sources(vec![engine]), 0);
    let mut request = request(1, prompt, output, 0);
    if is_resumed {
        request.demand =
            PlacementDemand { version: Some(VersionHash::of(&"v1".into())), ..request.demand };
    }

    let actions = arrive(&mut pool, request, 0);

    let id = RequestId(1);
    let expected = match is_refused {
        true => PoolAction::Refuse { id, kind: AnswerKind::ExceedsMemory },
        false => PoolAction::Dispatch { id, upstream: UpstreamIndex(0) },
    };
    assert_eq!(actions, [expected]);
}

/// Guards against a change of the present behaviour where the memory is not stated.
#[test]
fn nothing_is_counted_without_a_stated_memory() {
    let mut plan = urgency_plan();
    plan.first_guess = 8;
    let mut pool = BurstPool::with_plan(plan);

    let dispatched: Vec<u64> = (1..=8)
        .flat_map(|id| dispatched_ids(&arrive(&mut pool, request(id, 90_000, 90_000, 0), 0)))
        .collect();

    assert_eq!(dispatched, [1, 2, 3, 4, 5, 6, 7, 8]);
}

/// Guards against memory that stays taken by requests that an engine no longer runs: of one that
/// crashed, that had no slot, or whose caller left.
#[rstest]
fn the_end_of_a_request_releases_its_memory(
    #[values(DispatchOutcome::Failed, DispatchOutcome::Cancelled, DispatchOutcome::NotSent)]
    outcome: DispatchOutcome,
) {
    let mut pool = pool();
    arrive(&mut pool, request(1, 90_000, 0, 0), 0);

    end(&mut pool, 1, outcome, 10);

    let is_sent_again = pool.scheduler.status().running as u64;
    assert_eq!(held_tokens(&pool), [90_000 * is_sent_again]);
}

/// Guards against counting the requests of an earlier incarnation against the memory of a later one.
#[test]
fn an_engine_that_starts_again_has_all_its_memory() {
    let mut pool = pool();
    arrive(&mut pool, request(1, 90_000, 0, 0), 0);
    let reported = |upstream, incarnation| PoolEvent::IncarnationReported { upstream, incarnation };
    pool.handle_event(reported(UpstreamIndex(0), 5), 1);
    let mut engine = source("e1", 1);
    engine.incarnation = 6;
    pool.handle_event(PoolEvent::Sources(vec![engine]), 2);

    let actions = arrive(&mut pool, request(2, 90_000, 0, 3), 3);

    let expected = PoolAction::Dispatch { id: RequestId(2), upstream: UpstreamIndex(1) };
    assert_eq!(actions, [expected]);
}

/// Guards against an engine that several daemons fill beyond its memory: each of them knows only how
/// many requests the others have there.
#[test]
fn the_requests_of_peers_count_with_the_mean_size() {
    let mut pool = pool();
    arrive(&mut pool, request(1, 20_000, 0, 0), 0);
    report_peers(&mut pool, 3, 1);

    let held_back = arrive(&mut pool, request(2, 30_000, 0, 2), 2);
    let after_report = report_peers(&mut pool, 2, 100);

    assert!(held_back.is_empty(), "{held_back:?}");
    assert_eq!(dispatched_ids(&after_report), [2]);
}

/// Guards against a slot that stays free for ever because a few long prompts made the mean too high,
/// and against a bound on the peers' tokens that holds for no time at all.
#[test]
fn an_estimate_of_peers_keeps_a_request_out_for_a_limited_time() {
    let mut pool = pool();
    arrive(&mut pool, request(1, 40_000, 0, 0), 0);
    pool.complete(1, 10);
    report_peers(&mut pool, 4, 20);
    arrive(&mut pool, request(2, 40_000, 0, 50), 50);

    let at = first_dispatch(&mut pool, 4, 100, 8_000);

    assert!(at.is_some_and(|at| (1_000..4_000).contains(&at)), "{at:?}");
}

/// Guards against a bound that this daemon's own requests exceed because they wait for long: their
/// sizes are known, so waiting does not change them.
#[test]
fn known_requests_keep_a_request_out_until_they_end() {
    let mut pool = pool();
    arrive(&mut pool, request(1, 70_000, 0, 0), 0);
    arrive(&mut pool, request(2, 40_000, 0, 50), 50);

    let at = first_dispatch(&mut pool, 0, 100, 2_000);
    let after_end = pool.complete(1, 2_000);

    assert_eq!(at, None);
    assert_eq!(dispatched_ids(&after_end), [2]);
}
