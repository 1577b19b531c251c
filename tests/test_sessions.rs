//! Golden files of whole sessions.

use crate::session::{Session, plan, source};
use tarragonknot::policy::{ExchangeEvent, TierShare, UpstreamSource};
use tarragonknot::traffic::DrainEvent;

#[test]
fn an_ordinary_session() {
    let mut session = Session::new(plan(2), &["e1", "e2"]);

    session.at(10).arrive("a", 0, 50, 5_000).arrive("b", 1, 20, 5_000);
    session.at(20).answered("a", 3);
    session.at(40).answered("b", 2).status();

    insta::assert_snapshot!(session.transcript());
}

/// Symptom: under a burst a high tier is refused although low-tier requests still wait.
/// Sequence: the engine is full, low tiers fill the queue, then high-tier requests come.
/// Cause: a queue that refuses whoever comes last. Here the lowest waiting tier makes room, and once
/// only the high tier waits, lower tiers are not admitted.
#[test]
fn overload_evicts_the_lowest_tier_first() {
    let mut session = Session::new(plan(1), &["e1"]);

    session.at(10).arrive("busy", 0, 400, 60_000);
    session
        .at(11)
        .arrive("low-1", 2, 100, 60_000)
        .arrive("low-2", 2, 100, 60_000)
        .arrive("mid-1", 1, 100, 60_000);
    session
        .at(12)
        .arrive("mid-2", 1, 100, 60_000)
        .arrive("low-3", 2, 100, 60_000)
        .arrive("mid-3", 1, 100, 60_000);
    session
        .at(13)
        .arrive("top-1", 0, 100, 60_000)
        .arrive("top-2", 0, 100, 60_000)
        .arrive("top-3", 0, 100, 60_000);
    session.status().arrive("low-4", 2, 100, 60_000);
    session
        .at(14)
        .arrive("top-4", 0, 100, 60_000)
        .arrive("top-5", 0, 100, 60_000)
        .arrive("top-6", 0, 100, 60_000)
        .status();
    session.arrive("top-7", 0, 100, 60_000).arrive("mid-4", 1, 100, 60_000);
    session.at(50).answered("busy", 2).status();
    session.at(3_000).status().arrive("low-5", 2, 100, 60_000);

    insta::assert_snapshot!(session.transcript());
}

/// Symptom: a caller receives another caller's words.
/// Sequence: an answer's head, or a piece in mid-stream, carries another request's id.
/// Cause: an upstream or a connection that mixed two exchanges. The id is checked on every piece.
#[test]
fn crossed_and_late_answers_are_never_passed_on() {
    let mut session = Session::new(plan(4), &["e1"]);

    session.at(10).arrive("a", 0, 10, 5_000).arrive("b", 0, 10, 5_000).arrive("c", 0, 10, 100);
    session
        .at(20)
        .happens("a", ExchangeEvent::Opened)
        .happens("a", ExchangeEvent::Head { echo: Some("z") });
    session.at(30).opened("b").happens("b", ExchangeEvent::Piece { sequence: 1, echo: Some("b") });
    session.happens("b", ExchangeEvent::Piece { sequence: 2, echo: Some("z") });
    session.at(110).happens("c", ExchangeEvent::Opened).happens("c", ExchangeEvent::Deadline);
    session.at(120).happens("c", ExchangeEvent::Head { echo: Some("c") });
    session.happens("c", ExchangeEvent::Piece { sequence: 1, echo: Some("c") }).status();

    insta::assert_snapshot!(session.transcript());
}

/// Symptom: a caller takes half an answer for the whole.
/// Sequence: the connection ends before the end mark; a resume is cut as well, again and again.
/// Cause: a body's end taken for the answer's end. Only the end mark ends an answer well.
#[test]
fn truncation_is_resumed_and_at_last_refused() {
    let mut session = Session::new(plan(4), &["e1"]);

    session.at(10).arrive("a", 0, 10, 5_000).opened("a");
    session.happens("a", ExchangeEvent::Piece { sequence: 1, echo: Some("a") });
    for at in [20, 30, 40] {
        session
            .at(at)
            .happens("a", ExchangeEvent::Cut)
            .happens("a", ExchangeEvent::Head { echo: Some("a") });
    }
    session.at(50).happens("a", ExchangeEvent::Cut);
    session
        .at(60)
        .arrive_as("plain", 0, 10, 5_000, false)
        .opened("plain")
        .happens("plain", ExchangeEvent::Cut);

    insta::assert_snapshot!(session.transcript());
}

/// Symptom: a stream stops in the middle and the caller waits for ever.
/// Sequence: pieces come, then the connection goes silent although the engine works on.
/// Cause: something in between lost track of the connection. The stream is attached again on a new
/// one, from the next piece, without a second dispatch; pieces that come twice are dropped.
#[test]
fn a_silent_connection_is_resumed_without_a_new_dispatch() {
    let mut session = Session::new(plan(4), &["e1"]);

    session.at(10).arrive("a", 0, 10, 5_000).opened("a");
    session.happens("a", ExchangeEvent::Piece { sequence: 1, echo: Some("a") });
    session.happens("a", ExchangeEvent::Piece { sequence: 2, echo: Some("a") });
    session
        .at(2_010)
        .happens("a", ExchangeEvent::Silent)
        .happens("a", ExchangeEvent::Head { echo: Some("a") });
    session.happens("a", ExchangeEvent::Piece { sequence: 2, echo: Some("a") });
    session.happens("a", ExchangeEvent::Piece { sequence: 3, echo: Some("a") });
    session.happens("a", ExchangeEvent::Ended).status();

    insta::assert_snapshot!(session.transcript());
}

/// Symptom: work is sent to an upstream that is about to go, and is lost with it.
/// Sequence: the engine's own report says leaving; the platform's list, lagging, still says live; then
/// the address comes back as another engine.
/// Cause: trusting the last word instead of the newest. Leaving has no way back for one incarnation.
#[test]
fn a_leaving_upstream_gets_no_new_work() {
    let mut session = Session::new(plan(4), &["e1", "e2"]);
    let live = || vec![source("e1", 1), source("e2", 2)];

    session.at(10).arrive("a", 0, 10, 5_000).arrive("b", 0, 10, 5_000);
    session.at(20).report(0, 1, true).listed(live()).status();
    session.at(30).arrive("c", 0, 10, 5_000).arrive("d", 0, 10, 5_000).arrive("e", 0, 10, 5_000);
    session.at(40).answered("a", 1).answered("b", 1).status();
    let again = UpstreamSource { incarnation: 1, ..source("e1", 9) };
    session
        .at(50)
        .listed(vec![again, source("e2", 2)])
        .status()
        .arrive("f", 0, 10, 5_000)
        .arrive("g", 0, 10, 5_000);

    insta::assert_snapshot!(session.transcript());
}

/// Symptom: engines work for callers that have long gone.
/// Sequence: callers leave while waiting, while connecting, and in mid-stream.
/// Cause: nobody tells the upstream. Waiting work is withdrawn, running work cancelled, places freed.
#[test]
fn callers_that_leave_free_their_places() {
    let mut session = Session::new(plan(1), &["e1"]);

    session
        .at(10)
        .arrive("a", 0, 400, 60_000)
        .arrive("b", 0, 400, 60_000)
        .arrive("c", 0, 400, 60_000);
    session.arrive("d", 0, 400, 60_000).status().happens("d", ExchangeEvent::CallerLeft).status();
    session.at(20).happens("b", ExchangeEvent::CallerLeft).status();
    session.at(30).opened("a").happens("a", ExchangeEvent::Piece { sequence: 1, echo: Some("a") });
    session.happens("a", ExchangeEvent::CallerLeft).status();
    session.at(40).happens("c", ExchangeEvent::CallerLeft).status();

    insta::assert_snapshot!(session.transcript());
}

/// Symptom: a shutdown cuts answers short.
/// Sequence: SIGTERM in mid-stream, a second SIGTERM, a caller the balancer still sends.
/// Cause: ending with the signal. The daemon goes unready, still admits until the balancer has noticed,
/// and ends only when nothing is in progress.
#[test]
fn a_drain_in_mid_stream_cuts_nothing() {
    let mut session = Session::new(plan(4), &["e1"]);

    session.at(10).arrive("a", 0, 10, 5_000).opened("a");
    session.happens("a", ExchangeEvent::Piece { sequence: 1, echo: Some("a") });
    session
        .at(20)
        .drain(DrainEvent::Signal)
        .at(30)
        .arrive("late", 0, 10, 5_000)
        .drain(DrainEvent::Signal);
    session.at(3_020).drain(DrainEvent::BalancerNoticed).drain(DrainEvent::Signal);
    session.at(3_030).answered("late", 1).drain(DrainEvent::Signal);
    session.at(3_040).happens("a", ExchangeEvent::Piece { sequence: 2, echo: Some("a") });
    session.happens("a", ExchangeEvent::Ended).drain(DrainEvent::Idle);

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

    session.at(10).arrive("busy", 0, 400, 60_000);
    session
        .at(11)
        .arrive("top-1", 0, 100, 60_000)
        .arrive("low-1", 2, 100, 60_000)
        .arrive("top-2", 0, 100, 60_000);
    session.arrive("low-2", 2, 100, 60_000).status();
    session.at(12).edited("weights reversed", reversed).status();
    session.at(20).answered("busy", 1).at(30).answered("top-1", 1);
    session
        .at(40)
        .answered("low-1", 1)
        .at(50)
        .answered("low-2", 1)
        .at(60)
        .answered("top-2", 1)
        .status();

    insta::assert_snapshot!(session.transcript());
}

/// Symptom: a request is dispatched twice, or refused although another upstream works.
/// Sequence: connections to an upstream are refused; the request goes back and to another upstream; at
/// last no upstream is left, and one answers again.
/// Cause: retrying what may have run. Only a connection that never opened proves that nothing was sent.
#[test]
fn a_refused_connection_goes_to_another_upstream() {
    let mut session = Session::new(plan(4), &["e1", "e2"]);

    session.at(10).arrive("a", 0, 10, 5_000).happens("a", ExchangeEvent::NotSent).status();
    session.at(20).happens("a", ExchangeEvent::NotSent).status();
    session.at(30).arrive("b", 0, 10, 5_000);
    session.at(40).report(0, 0, false).status().arrive("c", 0, 10, 5_000).answered("c", 1);

    insta::assert_snapshot!(session.transcript());
}

/// Symptom: a daemon that was cut off goes on under an old table.
/// Sequence: requests wait and run; the currency lease runs out.
/// Cause: dispatching after the lease. What waits is refused, not run; what runs is finished.
#[test]
fn a_lapsed_lease_refuses_what_waits_and_finishes_what_runs() {
    let mut session = Session::new(plan(1), &["e1"]);

    session.at(10).arrive("running", 0, 400, 60_000).arrive("waiting-1", 0, 100, 60_000).arrive(
        "waiting-2",
        2,
        100,
        60_000,
    );
    session.at(20).opened("running");
    session.at(30).lease_lapsed().status();
    session.at(40).happens("running", ExchangeEvent::Piece { sequence: 1, echo: Some("running") });
    session.happens("running", ExchangeEvent::Ended).status();

    insta::assert_snapshot!(session.transcript());
}
