//! Faults of upstreams, callers and connections, over HTTP on loopback.

use crate::fixtures::{AGENTS_KEY, SmallFleet, small_fleet};
use std::sync::Arc;
use std::time::Duration;
use tarragonknot::answer::{AnswerKind, ExecutionStatus};
use tarragonknot::load::{CallOutcome, LoadCaller, LoadProfile, PlannedRequest, ProfileKind};
use tarragonknot::settings::DaemonSettings;
use tarragonknot::standin::StandinFault;
use tarragonknot::table::KeyDigest;
use tarragonknot::upstream::PlatformList;

/// A small fleet and a load tool caller that checks its answers.
struct LoadFixture {
    fleet: SmallFleet,
    profile: LoadProfile,
    caller: LoadCaller,
}

async fn load_fixture() -> LoadFixture {
    let profile = LoadProfile::new(ProfileKind::Lodgeframe);
    let key = profile.key(0);
    let fleet = small_fleet(|table| {
        table.organisations[0].key_digests.push(KeyDigest::of(&key));
    })
    .await;
    let caller = LoadCaller::new(fleet.front.address);
    LoadFixture { fleet, profile, caller }
}

impl LoadFixture {
    fn planned(&self, number: u64, tier: &str, output_tokens: u32) -> PlannedRequest {
        let class = self
            .profile
            .classes
            .iter()
            .position(|class| class.tier == tier)
            .expect("the profile has a class of this tier");
        let at = Duration::ZERO;
        PlannedRequest {
            number,
            at,
            class,
            organisation: 0,
            prompt_tokens: 40,
            output_tokens,
            template: 0,
        }
    }

    async fn call(&self, number: u64, tier: &str, output_tokens: u32) -> CallOutcome {
        let planned = self.planned(number, tier, output_tokens);
        self.caller.call(&self.profile, &planned, 1).await.outcome
    }

    fn assert_dispatched_at_most_once(&self) {
        let engines = self.fleet.engine.dispatches();
        let services = self.fleet.service.runs();
        assert!(
            engines.values().chain(services.values()).all(|count| *count == 1),
            "{engines:?} {services:?}"
        );
    }
}

/// A truncated stream is resumed; the golden session of the same name covers the same fault.
#[tokio::test]
async fn a_truncated_stream_is_resumed() {
    let fixture = load_fixture().await;
    fixture.fleet.engine.faults.push(StandinFault::Truncated(5));

    let outcome = fixture.call(1, "note", 20).await;

    assert_eq!(outcome, CallOutcome::Whole);
    fixture.assert_dispatched_at_most_once();
}

/// Guards against a stream that stalls for ever. After 5 pieces the connection goes silent while
/// the engine keeps working, as when a middlebox forgets the connection. The stream has to be
/// resumed on a new connection.
#[tokio::test]
async fn a_silent_stream_is_resumed() {
    let fixture = load_fixture().await;
    fixture.fleet.engine.faults.push(StandinFault::Silent(5));

    let outcome = fixture.call(1, "note", 20).await;

    assert_eq!(outcome, CallOutcome::Whole);
    fixture.assert_dispatched_at_most_once();
}

#[rstest::rstest]
#[case::crossed(StandinFault::Crossed, CallOutcome::Refused(AnswerKind::UpstreamCrossed))]
#[case::doubled(StandinFault::Duplicated, CallOutcome::Whole)]
#[case::late(StandinFault::Delayed(Duration::from_millis(30)), CallOutcome::Whole)]
#[case::died(StandinFault::Reset, CallOutcome::Refused(AnswerKind::UpstreamLost))]
#[tokio::test]
async fn engine_faults_end_truthfully(#[case] fault: StandinFault, #[case] expected: CallOutcome) {
    let fixture = load_fixture().await;
    fixture.fleet.engine.faults.push(fault);

    let outcome = fixture.call(1, "note", 10).await;
    let next = fixture.call(2, "note", 10).await;

    assert_eq!(outcome, expected);
    assert_eq!(next, CallOutcome::Whole);
    fixture.assert_dispatched_at_most_once();
}

#[rstest::rstest]
// Timing on the network decides whether any data arrives before the cut, so both answers are
// correct.
#[case::truncated(StandinFault::Truncated(0), &[AnswerKind::UpstreamTruncated, AnswerKind::UpstreamLost])]
#[case::crossed(StandinFault::Crossed, &[AnswerKind::UpstreamCrossed])]
#[case::died(StandinFault::Reset, &[AnswerKind::UpstreamLost])]
#[tokio::test]
async fn service_faults_end_truthfully(#[case] fault: StandinFault, #[case] kinds: &[AnswerKind]) {
    let fixture = load_fixture().await;
    fixture.fleet.service.faults.push(fault);

    let outcome = fixture.call(1, "lookup", 1).await;
    let next = fixture.call(2, "lookup", 1).await;

    assert!(kinds.iter().any(|kind| outcome == CallOutcome::Refused(*kind)), "{outcome:?}");
    assert!(kinds.iter().all(|kind| kind.row().ran == ExecutionStatus::Unknown));
    assert_eq!(next, CallOutcome::Whole);
    fixture.assert_dispatched_at_most_once();
}

/// Guards against delivering a late answer to the next caller. A call is abandoned at its deadline,
/// and its answer arrives later on the same connection, which must therefore not be reused.
#[tokio::test]
async fn an_abandoned_connection_is_never_used_again() {
    let mut fixture = load_fixture().await;
    fixture.fleet.service.faults.push(StandinFault::Delayed(Duration::from_millis(150)));
    let lookup = fixture
        .profile
        .classes
        .iter_mut()
        .find(|class| class.tier == "lookup")
        .expect("the profile has a lookup class");
    lookup.deadline = Duration::from_millis(50);

    let first = fixture.call(1, "lookup", 1).await;
    fixture.profile = LoadProfile::new(ProfileKind::Lodgeframe);
    let mut next = Vec::new();
    for number in 2..30 {
        next.push(fixture.call(number, "lookup", 1).await);
    }

    assert_eq!(first, CallOutcome::Refused(AnswerKind::DeadlineRunning));
    assert!(next.iter().all(|outcome| *outcome == CallOutcome::Whole), "{next:?}");
    fixture.assert_dispatched_at_most_once();
}

/// Guards against engines working for disconnected callers. A caller closes its connection in
/// mid-stream, and the engine has to be told.
#[tokio::test]
async fn a_caller_that_leaves_cancels_its_work() {
    let fixture = load_fixture().await;
    let planned = fixture.planned(1, "note", 100_000);
    let call = async { fixture.caller.call(&fixture.profile, &planned, 1).await };

    let left = tokio::time::timeout(Duration::from_millis(200), call).await;

    assert!(left.is_err(), "the answer ended before the caller left");
    wait_until(|| fixture.fleet.engine.job_count() == 0).await;
    wait_until(|| fixture.fleet.state.in_progress() == 0).await;
}

/// Guards against a shutdown that truncates answers: two drains arrive in mid-stream. The golden
/// session covers the same case without real connections.
#[tokio::test]
async fn a_drain_finishes_what_runs() {
    let fixture = Arc::new(load_fixture().await);
    let running = tokio::spawn({
        let fixture = Arc::clone(&fixture);
        async move { fixture.call(1, "note", 150).await }
    });
    wait_until(|| fixture.fleet.engine.job_count() == 1).await;

    fixture.fleet.front.drain();
    fixture.fleet.front.drain();
    wait_until(|| !fixture.fleet.state.is_ready()).await;
    let admitted_late = fixture.call(2, "note", 5).await;

    assert_eq!(running.await.expect("the caller task does not panic"), CallOutcome::Whole);
    assert_eq!(admitted_late, CallOutcome::Whole);
    wait_until(|| fixture.fleet.state.is_drained()).await;
    assert!(matches!(fixture.call(3, "note", 5).await, CallOutcome::NoAnswer(_)));
}

/// Guards against requests to an upstream that the platform removes. The platform list marks it as
/// leaving while the table still names it; the first source that says leaving counts.
#[tokio::test]
async fn the_platform_list_takes_an_upstream_out() {
    let fixture = load_fixture().await;
    let list = format!(
        r#"{{"vms": [{{"service": "pack-llm", "upstream": "engine-1", "address": "{}", "state": "leaving"}}]}}"#,
        fixture.fleet.engine.address
    );

    fixture.fleet.state.apply_platform_list(PlatformList::read(&list).expect("the list is valid"));
    let outcome = fixture.call(1, "note", 5).await;

    assert_eq!(outcome, CallOutcome::Refused(AnswerKind::UpstreamAbsent));
    assert!(fixture.fleet.engine.dispatches().is_empty());
}

/// Guards against ignoring a list that is served over HTTP or is invalid for a while. The daemon
/// reads a URL whose list is first invalid, then marks the upstream as leaving. It must neither
/// read only files nor stop at the first invalid list.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_platform_list_is_read_over_http() {
    let list = Arc::new(std::sync::Mutex::new("not a list".to_owned()));
    let served = Arc::clone(&list);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/vms", listener.local_addr().unwrap());
    let router =
        axum::Router::new().fallback(move || async move { served.lock().unwrap().clone() });
    tokio::spawn(async move { axum::serve(listener, router).await });
    let fixture = load_fixture().await;
    let settings = serde_json::json!({
        "daemon": "entry-1", "data_centre": "hall-a", "callers": "127.0.0.1:0", "control": "127.0.0.1:0",
        "fleet_key_file": "key", "data_folder": "data", "platform_list": url,
    });
    let settings = DaemonSettings::read(&settings.to_string()).expect("the settings are valid");
    tarragonknot::daemon::start_background_tasks(Arc::clone(&fixture.fleet.state), &settings);

    let before = fixture.call(1, "note", 3).await;
    *list.lock().unwrap() = format!(
        r#"{{"vms": [{{"service": "pack-llm", "upstream": "engine-1", "address": "{}", "state": "leaving"}}]}}"#,
        fixture.fleet.engine.address
    );
    let pool = fixture.fleet.state.pool(&"pack-llm".into()).expect("the service has a pool");
    wait_until(|| pool.status().live == 0).await;

    assert_eq!(before, CallOutcome::Whole);
    assert_eq!(fixture.call(2, "note", 3).await, CallOutcome::Refused(AnswerKind::UpstreamAbsent));
}

/// Guards against errors from an upstream that refuses connections while another one works. The
/// table names a closed address beside a live engine; nothing was sent, so another upstream may be
/// tried.
#[tokio::test]
async fn a_dead_upstream_costs_no_answer() {
    let profile = LoadProfile::new(ProfileKind::Lodgeframe);
    let key = profile.key(0);
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let fleet = small_fleet(|table| {
        table.organisations[0].key_digests.push(KeyDigest::of(&key));
        table.upstreams.push(crate::fixtures::upstream("dead", "pack-llm", closed));
    })
    .await;
    let caller = LoadCaller::new(fleet.front.address);
    let fixture = LoadFixture { fleet, profile, caller };

    let mut outcomes = Vec::new();
    for number in 0..12 {
        outcomes.push(fixture.call(number, "note", 3).await);
    }

    assert!(outcomes.iter().all(|outcome| *outcome == CallOutcome::Whole), "{outcomes:?}");
    fixture.assert_dispatched_at_most_once();
}

#[tokio::test]
async fn a_stale_table_admits_nothing() {
    let fixture = load_fixture().await;

    fixture.fleet.state.set_current_until(tarragonknot::policy::Moment(0));
    let outcome = fixture.call(1, "note", 3).await;

    assert_eq!(outcome, CallOutcome::Refused(AnswerKind::TableStale));
    assert!(fixture.fleet.engine.dispatches().is_empty());
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let mut fleet =
        small_fleet(|table| table.services.iter_mut().for_each(|row| row.body_limit = 64)).await;
    fleet.table.services.clear();
    let client = hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .build_http();
    let request = http::Request::post(format!("http://{}/pack-api/x", fleet.front.address))
        .header("authorization", format!("Bearer {AGENTS_KEY}"))
        .body(http_body_util::Full::<bytes::Bytes>::from(vec![b'x'; 65]))
        .unwrap();

    let response = client.request(request).await.unwrap();

    assert_eq!(response.status().as_u16(), 413);
    assert!(fleet.service.runs().is_empty());
}

/// Polls `condition` every 5 ms; panics after 2 000 attempts, about 10 s.
async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the condition was not met within 10 s");
}
