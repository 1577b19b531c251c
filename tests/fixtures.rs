//! Shared fixtures: a small table, and one daemon's traffic with stand-in upstreams on loopback.

use slog::{Discard, Logger, o};
use std::sync::Arc;
use std::time::Duration;
use tarragonknot::policy::Moment;
use tarragonknot::standin::{
    EngineShape, EngineStandin, PlainShape, PlainStandin, PrefillLedger, start_engine, start_plain,
};
use tarragonknot::table::{KeyDigest, OperatorTable, UpstreamRow, VersionedTable, read_table};
use tarragonknot::traffic::{DrainTimes, FrontendHandle, TrafficState, start_frontend};
use tokio::net::TcpListener;

/// Times of a drain, whose grace time no test reaches.
const DRAIN_TIMES: DrainTimes =
    DrainTimes { balancer_wait: Duration::from_millis(50), grace: Duration::from_secs(600) };

/// API key of the organisation `agents`.
pub const AGENTS_KEY: &str = "agents-key";
/// API key of the organisation `staff`.
pub const STAFF_KEY: &str = "staff-key";

/// Builds a table with two tiers, two organisations, a model service and a plain one, and no
/// upstreams.
pub fn small_table() -> OperatorTable {
    let text = format!(
        r#"{{
        "tiers": [{{"tier": "urgent", "rank": 0, "weight": 3}}, {{"tier": "idle", "rank": 1, "weight": 1}}],
        "organisations": [
            {{"organisation": "agents", "key_digests": ["{}"], "weight": 1}},
            {{"organisation": "staff", "key_digests": ["{}"], "weight": 1}}],
        "services": [
            {{"service": "pack-llm", "kind": "model", "default_tier": "urgent", "deadline_ms": 10000, "silence_ms": 200}},
            {{"service": "pack-api", "kind": "plain", "default_tier": "urgent", "deadline_ms": 10000,
              "organisations": ["agents"]}}],
        "assignments": [{{"organisation": "staff", "tier": "idle"}}]
    }}"#,
        KeyDigest::of(AGENTS_KEY).0,
        KeyDigest::of(STAFF_KEY).0
    );
    read_table(&text).expect("the table is valid")
}

/// One daemon's traffic in front of one engine and one plain service.
pub struct SmallFleet {
    pub state: Arc<TrafficState>,
    pub front: FrontendHandle,
    pub engine: Arc<EngineStandin>,
    pub service: Arc<PlainStandin>,
    pub table: OperatorTable,
}

/// Starts a small fleet with `change` applied to its table.
pub async fn small_fleet(change: impl FnOnce(&mut OperatorTable)) -> SmallFleet {
    small_fleet_with_log(Logger::root(Discard, o!()), change).await
}

/// Starts a small fleet that logs to `log`, with `change` applied to its table.
pub async fn small_fleet_with_log(
    log: Logger,
    change: impl FnOnce(&mut OperatorTable),
) -> SmallFleet {
    let engine = start_engine(
        EngineShape::with_step(1_000),
        Arc::new(PrefillLedger::default()),
        Duration::ZERO,
    )
    .await
    .unwrap();
    let service = start_plain(PlainShape::default()).await.unwrap();
    small_fleet_at(engine, service, log, change).await
}

/// Starts the daemon of a small fleet, on the runtime that runs this, in front of these upstreams.
pub async fn small_fleet_at(
    engine: Arc<EngineStandin>,
    service: Arc<PlainStandin>,
    log: Logger,
    change: impl FnOnce(&mut OperatorTable),
) -> SmallFleet {
    let mut table = small_table();
    table.upstreams.push(upstream("engine-1", "pack-llm", engine.address));
    table.upstreams.push(upstream("service-1", "pack-api", service.address));
    change(&mut table);
    let state = TrafficState::new("entry-1".into(), log, 7);
    state.apply_table(&VersionedTable::new(1, table.clone()));
    state.set_current_until(Moment(u64::MAX));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let front = start_frontend(Arc::clone(&state), listener, DRAIN_TIMES).unwrap();
    SmallFleet { state, front, engine, service, table }
}

/// Builds a table row for an upstream.
pub fn upstream(name: &str, service: &str, address: std::net::SocketAddr) -> UpstreamRow {
    UpstreamRow {
        upstream: name.into(),
        service: service.into(),
        address,
        data_centre: "hall-a".into(),
        incarnation: 0,
    }
}
