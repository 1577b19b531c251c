//! Operators' orders at the control loop of a voter.

use crate::log_lines::LogLines;
use crate::workdir::WorkDir;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tarragonknot::clock::MonotonicClock;
use tarragonknot::control::{
    ControlHandle, ControlRequest, ControlSetup, FleetKey, LeaderAnswer, NumberedOutcome,
    NumberedTable, start_control,
};
use tarragonknot::replica::ReplicaConfig;
use tarragonknot::settings::PeerRow;
use tokio::sync::watch;

/// Time within which a voter leads; generous even for a busy machine.
const START_TIME: Duration = Duration::from_secs(120);
const COPIES: usize = 8;

fn peer(number: u16) -> PeerRow {
    let control = SocketAddr::from(([127, 0, 0, 1], number));
    PeerRow { daemon: format!("core-{number}").as_str().into(), control }
}

/// Starts the first of `voters` founders; the others don't run.
fn start_voter(work: &WorkDir, voters: u16, log: &LogLines) -> ControlHandle {
    let founders: Vec<PeerRow> = (1..=voters).map(peer).collect();
    let setup = ControlSetup {
        daemon: founders[0].daemon.clone(),
        control: founders[0].control,
        data_folder: Some(work.path("data")),
        peers: founders[1..].to_vec(),
        founders,
        replaces_voters: true,
        may_found_fleet: false,
        key: FleetKey::unprotected(),
        lease: Duration::from_millis(1_500),
        rollout_share: 0.1,
        replica: ReplicaConfig::default(),
        clock: MonotonicClock::start(),
        log: log.logger(),
        seed: 1,
    };
    start_control(setup, watch::channel(false).0).expect("the folder can be used")
}

async fn order(control: &ControlHandle, version: u64) -> LeaderAnswer<NumberedOutcome> {
    let numbered = Box::new(NumberedTable { version, document: Arc::from(format!("{version}")) });
    let answer = control.ask(|reply| ControlRequest::Replace { numbered, reply }).await;
    answer.expect("the control loop runs")
}

/// Gives an order until it is answered as `is_wanted` says.
async fn order_until(
    control: &ControlHandle,
    version: u64,
    is_wanted: impl Fn(&LeaderAnswer<NumberedOutcome>) -> bool,
) -> LeaderAnswer<NumberedOutcome> {
    let ordering = async {
        loop {
            let answer = order(control, version).await;
            if is_wanted(&answer) {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(START_TIME, ordering).await.expect("answered as wanted")
}

async fn applied(control: &ControlHandle) -> u64 {
    control
        .ask(|reply| ControlRequest::Status { reply })
        .await
        .expect("the control loop runs")
        .applied
}

/// Guards against a log that grows by a whole table with each copy of an order.
#[tokio::test]
async fn copies_of_an_order_are_stored_once() {
    let (work, log) = (WorkDir::new(), LogLines::default());
    let control = start_voter(&work, 1, &log);
    order_until(&control, 1, |answer| matches!(answer, LeaderAnswer::Done(_))).await;
    let before = applied(&control).await;

    let copies = (0..COPIES).map(|_| order(&control, 2));
    let answers = futures_util::future::join_all(copies).await;
    let late = order(&control, 2).await;
    let overtaken = order(&control, 1).await;

    assert!(answers.iter().all(|answer| matches!(answer, LeaderAnswer::Done(_))), "{answers:?}");
    assert!(matches!(late, LeaderAnswer::Done(NumberedOutcome::Held)), "{late:?}");
    assert!(matches!(overtaken, LeaderAnswer::Done(NumberedOutcome::Overtaken)), "{overtaken:?}");
    assert_eq!(applied(&control).await, before + 1);
}

/// Guards against operators who are refused at once, and pause for longer each time, while a leader
/// may be elected.
#[tokio::test]
async fn an_order_waits_for_an_election() {
    let (work, log) = (WorkDir::new(), LogLines::default());
    let control = start_voter(&work, 3, &log);

    let answer = order(&control, 1).await;

    assert!(matches!(answer, LeaderAnswer::Elsewhere(_)), "{answer:?}");
    log.wait_for("operator request was held").await;
}

/// Guards against operators who get no further at a voter that is cut off, while the others have a
/// leader.
#[tokio::test]
async fn a_voter_that_is_cut_off_names_others() {
    let (work, log) = (WorkDir::new(), LogLines::default());
    let control = start_voter(&work, 3, &log);
    let is_redirect = |answer: &_| matches!(answer, LeaderAnswer::Elsewhere(Some(_)));

    let first = order_until(&control, 1, is_redirect).await;
    let second = order_until(&control, 1, is_redirect).await;

    let mut named = [first, second].map(|answer| match answer {
        LeaderAnswer::Elsewhere(named) => named,
        LeaderAnswer::Done(_) => None,
    });
    named.sort_unstable();
    assert_eq!(named, [Some(peer(2).control), Some(peer(3).control)]);
}
