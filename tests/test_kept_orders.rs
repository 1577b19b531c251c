//! Streams that run while roll-outs, evacuations and quarantines begin, change or end.

use crate::routed_fleet::{EngineAction, EventPace, ReceivedStream, RoutedFleet, ScriptedEngine};
use http::StatusCode;
use rstest::rstest;
use std::time::Duration;
use tarragonknot::evacuation::EvacuatedSet;
use tarragonknot::policy::{RetryBound, UpstreamHash};
use tarragonknot::quarantine::{CrashEvidence, RequestContent, RequestFingerprint, SuspectKeys};
use tarragonknot::rollout::{RolloutEvent, RolloutLog, RolloutOrder, RolloutRows, RolloutStep};
use tarragonknot::upstream::VmState;

/// Streams of a test, which take half of the places of two engines.
const STREAMS: usize = 4;
/// Events of a whole stream.
const EVENTS: u64 = 40;
/// Engines that stream evenly.
const STEADY: EventPace = EventPace {
    last: EVENTS,
    head_delay: Duration::ZERO,
    gap: Duration::from_millis(15),
    silence: (0, Duration::ZERO),
    breaks_after: 0,
};
/// Engines that fall silent in each stream, for longer than the time after which it is resumed.
const PAUSING: EventPace = EventPace { silence: (8, Duration::from_millis(1_300)), ..STEADY };
/// Largest share of requests for a version on trial.
const SHARE_LIMIT: f64 = 0.5;
/// Time between two orders.
const ORDER_PAUSE: Duration = Duration::from_millis(60);

async fn paced_engine(name: &str, pace: EventPace) -> ScriptedEngine {
    ScriptedEngine::start(name, move |_| EngineAction::PacedEvents(pace)).await
}

/// Runs the streams, and `meanwhile` once the engines have all of them.
async fn run(
    fleet: &RoutedFleet,
    engines: [&ScriptedEngine; 2],
    meanwhile: impl AsyncFnOnce(),
) -> Vec<ReceivedStream> {
    let streams = (0..STREAMS).map(|number| async move {
        let headers = [("tarragonknot-deadline-ms", "30000")];
        fleet.stream("/resumable/a", &format!("kept-{number}"), &headers).await
    });
    let changes = async {
        while engines.iter().map(|engine| engine.count()).sum::<usize>() < STREAMS {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        meanwhile().await;
    };
    tokio::join!(futures_util::future::join_all(streams), changes).0
}

#[track_caller]
fn assert_all_whole(streams: &[ReceivedStream]) {
    let is_whole = |stream: &&ReceivedStream| {
        let ids = stream.text.lines().filter_map(|line| line.strip_prefix("id: "));
        let ids: Vec<u64> = ids.map(|id| id.parse().expect("ids are numbers")).collect();
        stream.status == StatusCode::OK && stream.is_whole && ids.into_iter().eq(1..=EVENTS)
    };
    let whole = streams.iter().filter(is_whole).count();
    assert_eq!(whole, STREAMS, "{streams:?}");
}

fn step(log: &mut RolloutLog, number: u64, event: RolloutEvent) {
    let service = "pool".into();
    log.step(&RolloutStep { service, number, event: Some(event), elapsed_ms: 1, at: 1 });
}

fn publish(fleet: &RoutedFleet, log: &RolloutLog) {
    fleet.state.rollouts.confirm_leader(fleet.state.clock.now());
    fleet.state.apply_rollouts(RolloutRows::new(log, SHARE_LIMIT));
}

fn begin(log: &mut RolloutLog, to: &str) {
    log.begin(&RolloutOrder { service: "pool".into(), to: to.into(), duration_ms: 60_000 }, 0);
}

/// Guards against a roll-out that ends streams of either version when it begins, changes or ends.
#[rstest]
#[tokio::test]
async fn streams_are_kept_through_roll_outs(
    #[values(STEADY, PAUSING)] pace: EventPace,
    #[values(RolloutEvent::Approved, RolloutEvent::Condemned)] verdict: RolloutEvent,
    #[values(false, true)] has_retries: bool,
) {
    let (old, new) = (paced_engine("i-old", pace).await, paced_engine("i-new", pace).await);
    let fleet = RoutedFleet::start(&[]).await;
    let slack = if has_retries { 100 } else { 0 };
    fleet.state.set_retry_bound(RetryBound { ratio: 0.0, slack });
    fleet.list_versions(&[(&old, "v1"), (&new, "v2")], VmState::Live);

    let streams = run(&fleet, [&old, &new], async || {
        let mut log = RolloutLog::default();
        begin(&mut log, "v2");
        publish(&fleet, &log);
        for event in [verdict, RolloutEvent::Approved, RolloutEvent::Drained] {
            tokio::time::sleep(ORDER_PAUSE).await;
            step(&mut log, 1, event);
            publish(&fleet, &log);
        }
        tokio::time::sleep(ORDER_PAUSE).await;
        begin(&mut log, "v3");
        publish(&fleet, &log);
    })
    .await;

    assert_all_whole(&streams);
}

/// Guards against an engine's places being given out twice when a roll-out begins, whose version has
/// a pool of its own.
#[tokio::test]
async fn a_roll_out_counts_the_streams_that_run() {
    let engine = paced_engine("i-new", STEADY).await;
    let fleet = RoutedFleet::start(&[]).await;
    fleet.list_versions(&[(&engine, "v2")], VmState::Live);

    let mut at_once = 0;

    let streams = async {
        let streams = (0..STREAMS).map(|number| {
            let (fleet, id) = (&fleet, format!("kept-{number}"));
            async move { fleet.stream("/resumable/a", &id, &[]).await }
        });
        futures_util::future::join_all(streams).await
    };
    let late = async {
        while engine.count() < STREAMS {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut log = RolloutLog::default();
        begin(&mut log, "v2");
        step(&mut log, 1, RolloutEvent::Approved);
        step(&mut log, 1, RolloutEvent::Approved);
        step(&mut log, 1, RolloutEvent::Drained);
        publish(&fleet, &log);
        let next = fleet.stream("/resumable/a", "next", &[]);
        let count = async {
            let is_waiting = || fleet.state.pools().values().any(|pool| pool.status().waiting > 0);
            while !is_waiting() && engine.count() == STREAMS {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            at_once = engine.count() - STREAMS;
        };
        tokio::join!(next, count).0
    };
    let (streams, next) = tokio::join!(streams, late);

    assert_all_whole(&streams);
    assert_eq!(next.status, StatusCode::OK);
    assert_eq!(at_once, 0, "sent to an engine without a free place");
}

/// Guards against an evacuation that ends streams in the data centre when it begins or ends.
#[rstest]
#[tokio::test]
async fn streams_are_kept_through_evacuations(
    #[values(STEADY, PAUSING)] pace: EventPace,
    #[values(false, true)] has_retries: bool,
) {
    let (here, there) = (paced_engine("i-here", pace).await, paced_engine("i-there", pace).await);
    let fleet = RoutedFleet::start(&[]).await;
    let slack = if has_retries { 100 } else { 0 };
    fleet.state.set_retry_bound(RetryBound { ratio: 0.0, slack });
    fleet.list_data_centres(&[(&here, "hall-a"), (&there, "hall-b")]);

    let streams = run(&fleet, [&here, &there], async || {
        for names in [&["hall-a"][..], &["hall-a", "hall-b"], &["hall-b"], &[]] {
            let names = names.iter().map(|name| (*name).into());
            fleet.state.apply_evacuated(EvacuatedSet::new(names));
            tokio::time::sleep(ORDER_PAUSE).await;
        }
    })
    .await;

    assert_all_whole(&streams);
}

/// Guards against a stream that runs at a sound upstream being ended by the quarantine of its content.
#[rstest]
#[tokio::test]
async fn streams_are_kept_when_their_content_is_quarantined(
    #[values(STEADY, PAUSING)] pace: EventPace,
) {
    let (one, two) = (paced_engine("i-1", pace).await, paced_engine("i-2", pace).await);
    let fleet = RoutedFleet::start(&[&one, &two]).await;
    fleet.state.set_retry_bound(RetryBound { ratio: 0.0, slack: 100 });
    let fingerprint = |number: usize| {
        RequestFingerprint::of(&RequestContent {
            organisation: "agents",
            method: "POST",
            host: "shop.example",
            path: "/resumable/a",
            body: format!("kept-{number}").as_bytes(),
        })
    };
    let mut held = 0;

    let streams = run(&fleet, [&one, &two], async || {
        for number in 0..STREAMS {
            let keys = SuspectKeys::of_content(fingerprint(number));
            for crashed in 0..8 {
                let name = format!("i-crashed-{crashed}");
                let upstream = UpstreamHash::of(&"pool".into(), &name.as_str().into(), 1);
                fleet.state.quarantine.note_crash(
                    &fleet.state,
                    &keys,
                    upstream,
                    CrashEvidence::Certain,
                );
            }
            let now = fleet.state.clock.now();
            held += usize::from(fleet.state.quarantine.held_for(&keys, now).is_some());
        }
    })
    .await;

    assert_eq!(held, STREAMS);
    assert_all_whole(&streams);
}
