//! Logs and metrics of broken connections to upstreams, and request fingerprints.

use crate::routed_fleet::{EngineAction, RoutedFleet, ScriptedEngine};
use rstest::rstest;
use std::time::Duration;
use tarragonknot::quarantine::{RequestContent, RequestFingerprint};
use tarragonknot::report::{install_metrics, render_metrics};

/// Polls the metrics until they contain `line`; returns the last ones read, also without it.
async fn wait_for_metrics(fleet: &RoutedFleet, line: &str) -> String {
    let mut metrics = String::new();
    for _ in 0..200 {
        metrics = render_metrics(&fleet.state);
        if metrics.contains(line) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    metrics
}

/// Guards against logs and metrics that confuse a crashed engine with a lost connection. An engine
/// ends while it runs a request, or closes only that connection and stays up. Both appear as a
/// closed connection; only a probe of the engine tells them apart.
#[rstest]
#[case::ended("ended-pool", EngineAction::Crash, EngineAction::Crash, true)]
#[case::behind_a_proxy_that_takes_connections(
    "proxied-pool",
    EngineAction::Close,
    EngineAction::Close,
    true
)]
#[case::replaced_at_its_address(
    "replaced-pool",
    EngineAction::Close,
    EngineAction::OtherIncarnation,
    true
)]
#[case::lives_on("living-pool", EngineAction::Close, EngineAction::Answer(200, "fine"), false)]
#[case::lives_on_and_is_busy("busy-pool", EngineAction::Close, EngineAction::Silent, false)]
#[tokio::test]
async fn an_engine_that_ended_is_told_from_a_lost_connection(
    #[case] pool: &'static str,
    #[case] first: EngineAction,
    #[case] later: EngineAction,
    #[case] has_ended: bool,
) {
    install_metrics();
    let script = move |number| if number == 0 { first.clone() } else { later.clone() };
    let engine = ScriptedEngine::start("i-1", script).await;
    let fleet = RoutedFleet::start_service(pool, &[&engine]).await;

    fleet.call("/unsafe/x", "id-1").await;

    let cause = if has_ended { "upstream-ended" } else { "connection" };
    let broken =
        format!(r#"tarragonknot_requests_broken_total{{service="{pool}",cause="{cause}"}} 1"#);
    let metrics = wait_for_metrics(&fleet, &broken).await;
    assert!(metrics.contains(&broken), "{metrics}");
    let ended = format!(r#"tarragonknot_upstreams_ended_total{{service="{pool}"}} 1"#);
    assert_eq!(metrics.contains(&ended), has_ended, "{metrics}");
}

fn content() -> RequestContent<'static> {
    RequestContent {
        organisation: "agents",
        method: "POST",
        host: "shop.example",
        path: "/safe/x",
        body: b"the body",
    }
}

/// A caller's retry gets a new request id each time, so ids don't identify the content that engines
/// run; fingerprints do.
#[rstest]
#[case::another_organisation(RequestContent { organisation: "others", ..content() })]
#[case::another_method(RequestContent { method: "PUT", ..content() })]
#[case::another_host(RequestContent { host: "book.example", ..content() })]
#[case::another_path(RequestContent { path: "/safe/y", ..content() })]
#[case::another_body(RequestContent { body: b"the body!", ..content() })]
#[case::parts_run_together(RequestContent { host: "shop.example/safe", path: "/x", ..content() })]
fn requests_of_other_content_have_other_fingerprints(#[case] other: RequestContent<'_>) {
    assert_eq!(RequestFingerprint::of(&content()), RequestFingerprint::of(&content()));
    assert_ne!(RequestFingerprint::of(&content()), RequestFingerprint::of(&other));
}
