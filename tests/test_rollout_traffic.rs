//! Traffic of a daemon while the upstreams of a service run two versions.

use crate::routed_fleet::{EngineAction, RoutedFleet, ScriptedEngine};
use http::StatusCode;
use std::time::Duration;
use tarragonknot::policy::RetryBound;
use tarragonknot::rollout::{
    RolloutEvent, RolloutLog, RolloutOrder, RolloutReport, RolloutRows, RolloutStep, VersionArm,
};
use tarragonknot::upstream::VmState;

/// Largest share of requests for a version on trial.
const SHARE_LIMIT: f64 = 0.5;

/// The leader's roll-out log, without voters.
struct OrderedRollout(RolloutLog);

impl OrderedRollout {
    fn begin() -> Self {
        let mut log = RolloutLog::default();
        log.begin(
            &RolloutOrder { service: "pool".into(), to: "v2".into(), duration_ms: 60_000 },
            0,
        );
        OrderedRollout(log)
    }

    fn step(&mut self, event: RolloutEvent) {
        let step = RolloutStep {
            service: "pool".into(),
            number: 1,
            event: Some(event),
            elapsed_ms: 1,
            at: 1,
        };
        self.0.step(&step);
    }

    fn publish_to(&self, fleet: &RoutedFleet) {
        fleet.state.rollouts.confirm_leader(fleet.state.clock.now());
        fleet.state.apply_rollouts(RolloutRows::new(&self.0, SHARE_LIMIT));
    }
}

async fn engine(name: &str) -> ScriptedEngine {
    ScriptedEngine::start(name, |_| EngineAction::Answer(200, "fine")).await
}

fn report(fleet: &RoutedFleet) -> RolloutReport {
    fleet.state.rollout_reports().pop().expect("a roll-out under way")
}

/// Guards against a new version that gets more than its share or nothing, and against answers that
/// are not counted.
#[tokio::test]
async fn a_version_on_trial_gets_its_share_and_its_answers_are_counted() {
    let (old, new) = (engine("i-old").await, engine("i-new").await);
    let fleet = RoutedFleet::start(&[&old]).await;
    fleet.list_versions(&[(&old, "v1"), (&new, "v2")], VmState::Live);
    OrderedRollout::begin().publish_to(&fleet);

    for number in 0..40 {
        let answer = fleet.call("/safe/a", &format!("r{number}")).await;
        assert_eq!(answer.status, StatusCode::OK);
    }

    let counts = report(&fleet).counts;
    assert_eq!(counts.total(VersionArm::New), new.count() as u64);
    assert_eq!(counts.total(VersionArm::Old), old.count() as u64);
    assert!((10..=14).contains(&new.count()), "{} of 40", new.count());
}

/// Guards against a daemon that keeps using a version on trial because it missed the roll-back.
#[tokio::test]
async fn a_daemon_that_hears_nothing_sends_nothing_to_a_version_on_trial() {
    let (old, new) = (engine("i-old").await, engine("i-new").await);
    let fleet = RoutedFleet::start(&[&old]).await;
    fleet.list_versions(&[(&old, "v1"), (&new, "v2")], VmState::Live);
    fleet.state.apply_rollouts(RolloutRows::new(&OrderedRollout::begin().0, SHARE_LIMIT));
    while fleet.state.clock.now().0 < 1_600_000 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    for number in 0..10 {
        fleet.call("/safe/a", &format!("r{number}")).await;
    }

    assert_eq!((old.count(), new.count()), (10, 0));
}

/// Guards against returning a failure of a version on trial to a caller whom the old version would
/// have served.
#[tokio::test]
async fn what_fails_on_trial_is_sent_again_to_the_old_version() {
    let old = engine("i-old").await;
    let new = ScriptedEngine::start("i-new", |_| EngineAction::Answer(500, "broken")).await;
    let fleet = RoutedFleet::start(&[&old]).await;
    fleet.state.set_retry_bound(RetryBound { ratio: 1.0, slack: 100 });
    fleet.list_versions(&[(&old, "v1"), (&new, "v2")], VmState::Live);
    OrderedRollout::begin().publish_to(&fleet);

    for number in 0..20 {
        let answer = fleet.call("/safe/a", &format!("r{number}")).await;
        assert_eq!(answer.status, StatusCode::OK);
    }

    let counts = report(&fleet).counts;
    assert!(new.count() >= 3, "{} were tried", new.count());
    assert_eq!(counts.failures(VersionArm::New), new.count() as u64);
}

/// Guards against cutting requests that wait for the old version when it stops: all of them move to
/// the new one, and the daemon reports so, before the roll-out may be completed.
#[tokio::test]
async fn what_waits_for_the_old_version_goes_to_the_new_one() {
    let old = ScriptedEngine::start("i-old", |_| EngineAction::Silent).await;
    let new = engine("i-new").await;
    let fleet = std::sync::Arc::new(RoutedFleet::start(&[&old]).await);
    fleet.list_versions(&[(&old, "v1"), (&new, "v2")], VmState::Live);
    let mut rollout = OrderedRollout::begin();
    fleet.state.apply_rollouts(RolloutRows::new(&rollout.0, 0.0));
    let calls: Vec<_> = (0..8)
        .map(|number| {
            let fleet = std::sync::Arc::clone(&fleet);
            tokio::spawn(async move { fleet.call("/unsafe/a", &format!("r{number}")).await })
        })
        .collect();
    while report(&fleet).on_old < 8 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    rollout.step(RolloutEvent::Approved);
    rollout.step(RolloutEvent::Approved);
    rollout.publish_to(&fleet);

    while new.count() + old.count() < 8 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    assert_eq!(report(&fleet).on_old as usize, old.count());
    assert_eq!(new.count(), 8 - old.count());
    assert!(new.count() >= 1, "{} were sent to the old version before", old.count());
    calls.iter().for_each(|call| call.abort());
}

/// Guards against using a version after its roll-back, and against not using it after completion.
#[tokio::test]
async fn each_end_leaves_one_version_in_use() {
    let (old, new) = (engine("i-old").await, engine("i-new").await);
    let fleet = RoutedFleet::start(&[&old]).await;
    fleet.list_versions(&[(&old, "v1"), (&new, "v2")], VmState::Live);
    let mut rolled_back = OrderedRollout::begin();
    rolled_back.step(RolloutEvent::Condemned);
    rolled_back.publish_to(&fleet);
    for number in 0..10 {
        fleet.call("/safe/a", &format!("r{number}")).await;
    }
    let on_new = new.count();

    let mut completed = OrderedRollout::begin();
    [RolloutEvent::Approved, RolloutEvent::Approved, RolloutEvent::Drained]
        .into_iter()
        .for_each(|event| completed.step(event));
    completed.publish_to(&fleet);
    for number in 10..20 {
        fleet.call("/safe/a", &format!("r{number}")).await;
    }

    assert_eq!((on_new, new.count(), old.count()), (0, 10, 10));
}
