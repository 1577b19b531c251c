//! Roll-outs of upstream software: orders, final stages, traffic shares and verdicts.

use crate::rollout_simulation::{EVENTS, RolloutSimulation, Trouble, VersionFault, is_rolled_back};
use crate::workdir::{WorkDir, free_address};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rstest::rstest;
use serde_json::{Value, json};
use slog::{Discard, Logger, o};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tarragonknot::control::{ControlCommand, ControlLedger, ControlReply, FleetKey};
use tarragonknot::daemon::{RunningDaemon, start_daemon};
use tarragonknot::rollout::{
    RolloutLog, RolloutOrder, RolloutReply, RolloutStage, RolloutStep, SharePacer, rollout_chart,
};
use tarragonknot::settings::DaemonSettings;
use tarragonknot::table::ServiceName;

fn order(to: &str) -> RolloutOrder {
    RolloutOrder { service: "pool".into(), to: to.into(), duration_ms: 12_000 }
}

fn step(number: u64, event: Option<tarragonknot::rollout::RolloutEvent>, at: u64) -> RolloutStep {
    RolloutStep { service: "pool".into(), number, event, elapsed_ms: at, at }
}

fn accepted(reply: RolloutReply) -> u64 {
    match reply {
        RolloutReply::Accepted(record) => record.number,
        reply => panic!("{reply:?}"),
    }
}

#[test]
fn the_chart_is_complete() {
    assert_eq!(rollout_chart().faults(), Vec::<String>::new());
}

/// Guards against refusing an order that is resent because its reply was lost.
#[test]
fn a_resent_order_is_answered_as_before() {
    let mut log = RolloutLog::default();
    let first = accepted(log.begin(&order("v2"), 0));

    let again = accepted(log.begin(&order("v2"), 900));
    let other = log.begin(&order("v3"), 950);

    assert_eq!(again, first);
    assert!(matches!(other, RolloutReply::Busy(_)), "{other:?}");
}

/// Guards against refusing a delayed copy of an accepted order because another one came after it.
#[test]
fn a_copy_of_an_earlier_order_is_not_refused() {
    let mut log = RolloutLog::default();
    let first = accepted(log.begin(&order("v2"), 0));
    log.step(&step(first, Some(EVENTS[1]), 1_000));
    let second = accepted(log.begin(&order("v3"), 2_000));

    let copy = log.begin(&order("v2"), 3_000);
    let other = log.begin(&order("v4"), 3_000);

    assert!(matches!(&copy, RolloutReply::Overtaken(known) if known.number == second), "{copy:?}");
    assert!(matches!(other, RolloutReply::Busy(_)), "{other:?}");
}

/// Guards against a late step that reverts a final stage, or that advances the next roll-out.
#[test]
fn no_step_undoes_an_end_or_moves_a_later_roll_out() {
    let mut log = RolloutLog::default();
    let first = accepted(log.begin(&order("v2"), 0));
    log.step(&step(first, Some(EVENTS[1]), 1_000));

    log.step(&step(first, Some(EVENTS[0]), 2_000));
    let ended = log.get(&"pool".into()).expect("the first").stage;
    let second = accepted(log.begin(&order("v3"), 3_000));
    log.step(&step(first, Some(EVENTS[1]), 4_000));

    assert_eq!(ended, RolloutStage::RolledBack);
    let current = log.get(&"pool".into()).expect("the second");
    assert_eq!((current.number, current.stage), (second, RolloutStage::Trial));
}

/// Guards against a stepped wall clock, which would end a trial at once or never.
#[rstest]
#[case::forward(3_600_000, 6_000)]
#[case::backward(0, 1_000)]
#[case::by_a_little(2_500, 2_500)]
fn a_stepped_clock_shifts_the_time_by_seconds_at_most(#[case] wall: u64, #[case] expected: u64) {
    let mut log = RolloutLog::default();
    let number = accepted(log.begin(&order("v2"), 0));
    log.step(&step(number, None, 1_000));

    let elapsed = log.get(&"pool".into()).expect("the roll-out").elapsed_at(wall);

    assert_eq!(elapsed, expected);
}

/// Guards against two different final stages of one roll-out, a final stage that reverts, and the
/// loss of an acknowledged order. Covers all interleavings, seven deep, of orders by two operators,
/// steps by two leaders and restarts from a snapshot.
#[test]
fn no_interleaving_reverts_an_end_or_loses_an_order() {
    let service: ServiceName = "pool".into();
    let mut open = vec![(ControlLedger::default(), BTreeSet::<u64>::new(), 0)];
    let mut states = 0;
    while let Some((ledger, acknowledged, depth)) = open.pop() {
        states += 1;
        let before = ledger.rollouts().get(&service).cloned();
        if depth == 7 {
            continue;
        }
        for choice in 0..8 {
            let restarted = ControlLedger::from_json(&ledger.to_json()).expect("a snapshot");
            let mut next = if choice == 7 { restarted } else { ledger.clone() };
            let mut known = acknowledged.clone();
            let command = command(choice, before.as_ref().map_or(1, |record| record.number));
            if let ControlReply::Rollout(reply) = next.apply(&command)
                && let RolloutReply::Accepted(record) = *reply
            {
                known.insert(record.number);
            }
            let after = next.rollouts().get(&service).cloned();
            if let (Some(before), Some(after)) = (&before, &after)
                && before.number == after.number
                && before.stage.is_final()
            {
                assert_eq!(before.stage, after.stage, "a final stage reverted");
            }
            let newest = after.as_ref().map_or(0, |record| record.number);
            assert!(known.iter().all(|number| *number <= newest), "{known:?} of {newest}");
            if before == after && choice != 7 {
                continue;
            }
            open.push((next, known, depth + 1));
        }
    }
    assert!(states > 1_000, "{states} states");
}

fn command(choice: usize, number: u64) -> ControlCommand {
    match choice {
        0 | 1 => ControlCommand::Rollout { order: order(["v2", "v3"][choice]), at: 0 },
        2..=4 => ControlCommand::RolloutStep(step(number, Some(EVENTS[choice - 2]), 0)),
        5 => ControlCommand::RolloutStep(step(number.saturating_sub(1), Some(EVENTS[1]), 0)),
        _ => ControlCommand::RolloutStep(step(number, None, 0)),
    }
}

/// Guards against a share counted over arrivals: where most are refused, the new version would get
/// more than its share of the requests that are sent.
#[test]
fn the_share_is_of_what_is_sent() {
    let mut sent = [0u32; 2];
    let mut pacers: Vec<SharePacer> =
        (0..80).map(|daemon| SharePacer::new(f64::from(daemon) / 80.0)).collect();

    for request in 0..80 * 200 {
        let pacer = &mut pacers[request % 80];
        match pacer.try_take() {
            true => sent[1] += 1,
            // One in three requests is sent; the others are refused.
            false if request / 80 % 3 == 0 => {
                pacer.record_old_send(0.06);
                sent[0] += 1;
            }
            false => {}
        }
    }

    let share = f64::from(sent[1]) / f64::from(sent[0] + sent[1]);
    assert!((0.05..=0.07).contains(&share), "{share:.3} of {sent:?}");
}

/// Guards against approving a bad version, or giving it more than its share.
#[rstest]
#[case::all_fail(VersionFault::Fails(1.0))]
#[case::three_in_ten_fail(VersionFault::Fails(0.3))]
#[case::one_in_ten_fails(VersionFault::Fails(0.1))]
#[case::three_times_slower(VersionFault::Slow(3.0))]
#[case::eight_times_slower(VersionFault::Slow(8.0))]
#[case::later(VersionFault::Later(0.5))]
#[case::one_route(VersionFault::OneRoute)]
#[case::under_load(VersionFault::UnderLoad)]
#[case::absent(VersionFault::Absent)]
fn a_bad_version_is_rolled_back(
    #[case] version_fault: VersionFault,
    #[values(7, 80, 291)] daemons: usize,
    #[values(Trouble::Nothing, Trouble::GreyEngines, Trouble::LeaderLost)] trouble: Trouble,
) {
    for seed in 0..4 {
        let simulation = RolloutSimulation { daemons, rate: 400.0, version_fault, trouble, seed };

        let outcome = simulation.run();

        assert!(is_rolled_back(&outcome), "seed {seed}: {outcome:?}");
        assert!(!outcome.is_overexposed(), "seed {seed}: {outcome:?}");
        assert_eq!(outcome.after_roll_back, 0, "seed {seed}: {outcome:?}");
    }
}

/// Guards against rolling back a good version because of faulty engines, or completing it late.
#[rstest]
fn a_good_version_is_finished(
    #[values(7, 80, 291)] daemons: usize,
    #[values(Trouble::Nothing, Trouble::GreyEngines, Trouble::Crashes)] trouble: Trouble,
) {
    let seeds = 0..6;
    let ends = seeds.map(|seed| {
        RolloutSimulation {
            daemons,
            rate: 400.0,
            version_fault: VersionFault::Nothing,
            trouble,
            seed,
        }
        .run()
    });
    let in_time =
        ends.filter(|end| end.stage == RolloutStage::Completed && end.ended_ms <= 12_000).count();

    assert!(in_time >= if trouble == Trouble::Nothing { 6 } else { 5 }, "{in_time} of 6");
}

/// A daemon that serves operators, with a fleet of its own.
struct OperatedDaemon {
    operators: SocketAddr,
    _daemon: RunningDaemon,
    _work: WorkDir,
}

async fn start_operated_daemon() -> OperatedDaemon {
    let work = WorkDir::new();
    let operators = free_address();
    let settings = json!({
        "daemon": "core-1", "data_centre": "hall-a", "control": free_address().to_string(),
        "data_folder": work.path("data"), "fleet_key_file": "fleet.key", "found_fleet": true,
        "platform": {"operators": operators.to_string()},
    });
    let settings = DaemonSettings::read(&settings.to_string()).expect("the settings are valid");
    let log = Logger::root(Discard, o!());
    let daemon = start_daemon(&settings, FleetKey::unprotected(), log, 1).await;
    OperatedDaemon { operators, _daemon: daemon.expect("the daemon starts"), _work: work }
}

impl OperatedDaemon {
    /// Sends an order until it gets a clear response.
    async fn order(&self, path: &str, body: &Value) -> StatusCode {
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        loop {
            let request = Request::post(format!("http://{}{path}", self.operators))
                .body(Full::from(body.to_string()))
                .unwrap();
            match client.request(request).await.map(|response| response.status()) {
                Ok(status) if !status.is_server_error() => return status,
                _ => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }
}

/// Guards against refusing the copy of an accepted order because its service was removed since.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resent_order_is_acknowledged_after_its_service_was_removed() {
    let daemon = start_operated_daemon().await;
    let order = json!({"service": "pool", "to": "v2", "duration_s": 60});
    let other = json!({"service": "pool", "to": "v3", "duration_s": 60});
    let table = |version: u64, services: Value| json!({"version": version, "services": services});

    let first = daemon.order("/-/config/replace", &table(1, json!([{"name": "pool"}]))).await;
    let begun = daemon.order("/-/rollouts/begin", &order).await;
    let removed = daemon.order("/-/config/replace", &table(2, json!([]))).await;
    let again = daemon.order("/-/rollouts/begin", &order).await;
    let refused = daemon.order("/-/rollouts/begin", &other).await;

    assert_eq!([first, begun, removed], [StatusCode::OK; 3]);
    assert_eq!(again, StatusCode::OK);
    assert_eq!(refused, StatusCode::BAD_REQUEST);
}
