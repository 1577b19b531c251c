//! Snapshot tests of whole sessions.

use crate::session::{Session, plan, source};
use tarragonknot::policy::{ExchangeEvent, TierShare, UpstreamSource};
use tarragonknot::traffic::DrainEvent;

#[test]
fn an_ordinary_session() {
    let mut session = Session::new(plan(2), &["e1", "e2"]);

    session.advance_to(10).arrive("a", 0, 50, 5_000).arrive("b", 1, 20, 5_000);
    session.advance_to(20).answer("a", 3);
    session.advance_to(40).answer("b", 2).status();

    insta::assert_snapshot!(session.transcript());
}

/// Guards against refusing a high tier while low-tier requests wait: the engine is full and low
/// tiers fill the queue before high-tier requests arrive, and a queue with tail drop refuses those.
/// The lowest waiting tier is evicted instead, and once only the high tier waits, lower tiers are
/// not admitted.
#[test]
fn overload_evicts_the_lowest_tier_first() {
    let mut session = Session::new(plan(1), &["e1"]);

    session.advance_to(10).arrive("busy", 0, 400, 60_000);
    session
        .advance_to(11)
        .arrive("low-1", 2, 100, 60_000)
        .arrive("low-2", 2, 100, 60_000)
        .arrive("mid-1", 1, 100, 60_000);
    session
        .advance_to(12)
        .arrive("mid-2", 1, 100, 60_000)
        .arrive("low-3", 2, 100, 60_000)
        .arrive("mid-3", 1, 100, 60_000);
    session
        .advance_to(13)
        .arrive("top-1", 0, 100, 60_000)
        .arrive("top-2", 0, 100, 60_000)
        .arrive("top-3", 0, 100, 60_000);
    session.status().arrive("low-4", 2, 100, 60_000);
    session
        .advance_to(14)
        .arrive("top-4", 0, 100, 60_000)
        .arrive("top-5", 0, 100, 60_000)
        .arrive("top-6", 0, 100, 60_000)
        .status();
    session.arrive("top-7", 0, 100, 60_000).arrive("mid-4", 1, 100, 60_000);
    session.advance_to(50).answer("busy", 2).status();
    session.advance_to(3_000).status().arrive("low-5", 2, 100, 60_000);

    insta::assert_snapshot!(session.transcript());
}

/// Guards against passing one caller's answer to another: an upstream or a connection mixes two
/// exchanges, so that a head or a piece in mid-stream carries another request's id. The id is
/// checked on every piece.
#[test]
fn crossed_and_late_answers_are_never_passed_on() {
    let mut session = Session::new(plan(4), &["e1"]);

    session
        .advance_to(10)
        .arrive("a", 0, 10, 5_000)
        .arrive("b", 0, 10, 5_000)
        .arrive("c", 0, 10, 100);
    session
        .advance_to(20)
        .handle_event("a", ExchangeEvent::Opened)
        .handle_event("a", ExchangeEvent::Head { echo: Some("z") });
    session
        .advance_to(30)
        .open("b")
        .handle_event("b", ExchangeEvent::Piece { sequence: 1, echo: Some("b") });
    session.handle_event("b", ExchangeEvent::Piece { sequence: 2, echo: Some("z") });
    session
        .advance_to(110)
        .handle_event("c", ExchangeEvent::Opened)
        .handle_event("c", ExchangeEvent::Deadline);
    session.advance_to(120).handle_event("c", ExchangeEvent::Head { echo: Some("c") });
    session.handle_event("c", ExchangeEvent::Piece { sequence: 1, echo: Some("c") }).status();

    insta::assert_snapshot!(session.transcript());
}

/// Guards against passing on a truncated answer as complete: the connection closes before the end
/// mark, and so does every resume. Only the end mark ends an answer, not the end of its body.
#[test]
fn truncation_is_resumed_and_at_last_refused() {
    let mut session = Session::new(plan(4), &["e1"]);

    session.advance_to(10).arrive("a", 0, 10, 5_000).open("a");
    session.handle_event("a", ExchangeEvent::Piece { sequence: 1, echo: Some("a") });
    for at in [20, 30, 40] {
        session
            .advance_to(at)
            .handle_event("a", ExchangeEvent::Cut)
            .handle_event("a", ExchangeEvent::Head { echo: Some("a") });
    }
    session.advance_to(50).handle_event("a", ExchangeEvent::Cut);
    session
        .advance_to(60)
        .arrive_as("plain", 0, 10, 5_000, false)
        .open("plain")
        .handle_event("plain", ExchangeEvent::Cut);

    insta::assert_snapshot!(session.transcript());
}

/// Guards against a stream that stalls for ever: after some pieces an intermediary loses track of
/// the connection, which goes silent while the engine keeps working. The stream is resumed on a new
/// connection from the next piece, without a second dispatch; duplicate pieces are dropped.
#[test]
fn a_silent_connection_is_resumed_without_a_new_dispatch() {
    let mut session = Session::new(plan(4), &["e1"]);

    session.advance_to(10).arrive("a", 0, 10, 5_000).open("a");
    session.handle_event("a", ExchangeEvent::Piece { sequence: 1, echo: Some("a") });
    session.handle_event("a", ExchangeEvent::Piece { sequence: 2, echo: Some("a") });
    session
        .advance_to(2_010)
        .handle_event("a", ExchangeEvent::Silent)
        .handle_event("a", ExchangeEvent::Head { echo: Some("a") });
    session.handle_event("a", ExchangeEvent::Piece { sequence: 2, echo: Some("a") });
    session.handle_event("a", ExchangeEvent::Piece { sequence: 3, echo: Some("a") });
    session.handle_event("a", ExchangeEvent::Ended).status();

    insta::assert_snapshot!(session.transcript());
}

/// Guards against losing work sent to an upstream that is about to stop: the engine reports that it
/// is leaving, the platform's list lags and still says live, and then the name returns as another
/// incarnation. The message received last may not be the newest, so leaving is final for an
/// incarnation.
#[test]
fn a_leaving_upstream_gets_no_new_work() {
    let mut session = Session::new(plan(4), &["e1", "e2"]);
    let live = || vec![source("e1", 1), source("e2", 2)];

    session.advance_to(10).arrive("a", 0, 10, 5_000).arrive("b", 0, 10, 5_000);
    session.advance_to(20).report_load(0, 1, true).replace_upstreams(live()).status();
    session
        .advance_to(30)
        .arrive("c", 0, 10, 5_000)
        .arrive("d", 0, 10, 5_000)
        .arrive("e", 0, 10, 5_000);
    session.advance_to(40).answer("a", 1).answer("b", 1).status();
    let next_incarnation = UpstreamSource { incarnation: 1, ..source("e1", 9) };
    session
        .advance_to(50)
        .replace_upstreams(vec![next_incarnation, source("e2", 2)])
        .status()
        .arrive("f", 0, 10, 5_000)
        .arrive("g", 0, 10, 5_000);

    insta::assert_snapshot!(session.transcript());
}

/// Guards against engines that keep working for callers that left while waiting, while connecting
/// or in mid-stream, because the upstream is not told. Waiting requests are withdrawn, running ones
/// cancelled, and their places freed.
#[test]
fn callers_that_leave_free_their_places() {
    let mut session = Session::new(plan(1), &["e1"]);

    session
        .advance_to(10)
        .arrive("a", 0, 400, 60_000)
        .arrive("b", 0, 400, 60_000)
        .arrive("c", 0, 400, 60_000);
    session
        .arrive("d", 0, 400, 60_000)
        .status()
        .handle_event("d", ExchangeEvent::CallerLeft)
        .status();
    session.advance_to(20).handle_event("b", ExchangeEvent::CallerLeft).status();
    session
        .advance_to(30)
        .open("a")
        .handle_event("a", ExchangeEvent::Piece { sequence: 1, echo: Some("a") });
    session.handle_event("a", ExchangeEvent::CallerLeft).status();
    session.advance_to(40).handle_event("c", ExchangeEvent::CallerLeft).status();

    insta::assert_snapshot!(session.transcript());
}

/// Guards against a shutdown that cuts answers because the daemon exits on the signal: SIGTERM in
/// mid-stream, a second SIGTERM, and a request that the balancer still sends. The daemon becomes
/// unready, admits requests until the balancer has noticed, and exits only when nothing is in
/// progress.
#[test]
fn a_drain_in_mid_stream_cuts_nothing() {
    let mut session = Session::new(plan(4), &["e1"]);

    session.advance_to(10).arrive("a", 0, 10, 5_000).open("a");
    session.handle_event("a", ExchangeEvent::Piece { sequence: 1, echo: Some("a") });
    session
        .advance_to(20)
        .drain(DrainEvent::Signal)
        .advance_to(30)
        .arrive("late", 0, 10, 5_000)
        .drain(DrainEvent::Signal);
    session.advance_to(3_020).drain(DrainEvent::BalancerNoticed).drain(DrainEvent::Signal);
    session.advance_to(3_030).answer("late", 1).drain(DrainEvent::Signal);
    session
        .advance_to(3_040)
        .handle_event("a", ExchangeEvent::Piece { sequence: 2, echo: Some("a") });
    session.handle_event("a", ExchangeEvent::Ended).drain(DrainEvent::Idle);

    insta::assert_snapshot!(session.transcript());
}

#[test]
fn a_table_edit_in_mid_burst_keeps_what_waits() {
    let mut session = Session::new(plan(1), &["e1"]);
    let mut reversed = plan(1);
    reversed.tiers = reversed
        .tiers
        .iter()
        .map(|share| TierShare { weight: 10 - share.weight, ..*share })
        .collect();

    session.advance_to(10).arrive("busy", 0, 400, 60_000);
    session
        .advance_to(11)
        .arrive("top-1", 0, 100, 60_000)
        .arrive("low-1", 2, 100, 60_000)
        .arrive("top-2", 0, 100, 60_000);
    session.arrive("low-2", 2, 100, 60_000).status();
    session.advance_to(12).apply_plan("weights reversed", reversed).status();
    session.advance_to(20).answer("busy", 1).advance_to(30).answer("top-1", 1);
    session
        .advance_to(40)
        .answer("low-1", 1)
        .advance_to(50)
        .answer("low-2", 1)
        .advance_to(60)
        .answer("top-2", 1)
        .status();

    insta::assert_snapshot!(session.transcript());
}

/// Guards against a double dispatch and against a refusal while another upstream works: an upstream
/// refuses connections, the request is requeued for another one, then no upstream is left until one
/// reports again. A request that may have run is not retried; only a connection that never opened
/// proves that nothing was sent.
#[test]
fn a_refused_connection_goes_to_another_upstream() {
    let mut session = Session::new(plan(4), &["e1", "e2"]);

    session
        .advance_to(10)
        .arrive("a", 0, 10, 5_000)
        .handle_event("a", ExchangeEvent::NotSent)
        .status();
    session.advance_to(20).handle_event("a", ExchangeEvent::NotSent).status();
    session.advance_to(30).arrive("b", 0, 10, 5_000);
    session
        .advance_to(40)
        .report_load(0, 0, false)
        .status()
        .arrive("c", 0, 10, 5_000)
        .answer("c", 1);

    insta::assert_snapshot!(session.transcript());
}

/// Guards against a partitioned daemon that keeps dispatching under a stale table: the currency
/// lease expires while requests wait and run. Waiting requests are refused as not run; running ones
/// are finished.
#[test]
fn a_lapsed_lease_refuses_what_waits_and_finishes_what_runs() {
    let mut session = Session::new(plan(1), &["e1"]);

    session
        .advance_to(10)
        .arrive("running", 0, 400, 60_000)
        .arrive("waiting-1", 0, 100, 60_000)
        .arrive("waiting-2", 2, 100, 60_000);
    session.advance_to(20).open("running");
    session.advance_to(30).expire_lease().status();
    session
        .advance_to(40)
        .handle_event("running", ExchangeEvent::Piece { sequence: 1, echo: Some("running") });
    session.handle_event("running", ExchangeEvent::Ended).status();

    insta::assert_snapshot!(session.transcript());
}
