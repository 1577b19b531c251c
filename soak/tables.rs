//! The tables that operators send: a plain one, its changes, and those that may be in force at a time.

use crate::callers::{FREE_KEY, LIMITED_KEY, REQUEST_DEADLINE, ROUTE_HOST};
use crate::checks;
use crate::context::{FleetSizes, SoakContext, lock};
use crate::engines::{ENGINE_SLOTS, OTHER_SERVICE, SERVICE_NAME};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Routes in use. Their paths begin with their names.
pub const ROUTE_NAMES: [&str; 4] = ["safe", "unsafe", "stream", "resumable"];
/// Time after an acknowledgement from which no older table is in force at a process in touch.
const APPLY_TIME: Duration = Duration::from_secs(5);
/// Time after an edit of a series in which the operators send no other edits.
const SERIES_PAUSE: Duration = Duration::from_millis(500);
/// Timeout of the routes of the plain table, unless releases are played.
pub const TIMEOUT_MS: u64 = 4_000;
const SHORT_TIMEOUT_MS: u64 = 2_500;
const LONG_TIMEOUT_MS: u64 = 12_000;

/// How a table differs from the plain one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    Plain,
    MovedRoute,
    SplitRoute,
    DroppedRoute,
    DroppedService,
    OtherKey,
    NotResumable,
    ShorterTimeout,
    LongerTimeout,
}

/// All kinds of changes.
pub const CHANGE_KINDS: [ChangeKind; 8] = [
    ChangeKind::MovedRoute,
    ChangeKind::SplitRoute,
    ChangeKind::DroppedRoute,
    ChangeKind::DroppedService,
    ChangeKind::OtherKey,
    ChangeKind::NotResumable,
    ChangeKind::ShorterTimeout,
    ChangeKind::LongerTimeout,
];

/// A change of one route, by its place among the routes in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableChange {
    pub kind: ChangeKind,
    pub route: usize,
}

impl TableChange {
    pub const PLAIN: TableChange = TableChange { kind: ChangeKind::Plain, route: 0 };

    fn concerns(self, path: &str) -> bool {
        path.split('/').nth(1) == Some(ROUTE_NAMES[self.route])
    }

    /// True if this table refuses proper requests for `path` with `status`.
    fn denies(self, path: &str, status: u16) -> bool {
        match self.kind {
            ChangeKind::DroppedRoute => status == 404 && self.concerns(path),
            ChangeKind::OtherKey => status == 401,
            _ => false,
        }
    }

    /// True if this table sends requests for `path` to other engines, or doesn't resume them.
    fn changes_version(self, path: &str) -> bool {
        match self.kind {
            ChangeKind::MovedRoute | ChangeKind::SplitRoute | ChangeKind::NotResumable => {
                self.concerns(path)
            }
            ChangeKind::DroppedService => true,
            _ => false,
        }
    }

    fn timeout(self, path: &str, usual_ms: u64) -> Duration {
        let is_short = self.kind == ChangeKind::ShorterTimeout && self.concerns(path);
        Duration::from_millis(if is_short { SHORT_TIMEOUT_MS } else { usual_ms })
    }
}

/// An edit as it is sent, perhaps several times.
#[derive(Debug)]
pub struct TableEdit {
    pub version: u64,
    pub document: String,
}

impl TableEdit {
    /// Records that a version is sent from now on.
    pub fn new(ctx: &SoakContext, version: u64, change: TableChange) -> Self {
        ctx.tables.next_version.fetch_max(version, Ordering::Relaxed);
        lock(&ctx.tables.sent).insert(version, SentTable { change, sent_at: Instant::now() });
        TableEdit { version, document: document(version, &ctx.sizes, change) }
    }

    /// An edit under the version `step` after the last one.
    pub fn next(ctx: &SoakContext, step: u64, change: TableChange) -> Self {
        let version = ctx.tables.next_version.fetch_add(step, Ordering::Relaxed) + step;
        TableEdit::new(ctx, version, change)
    }
}

#[derive(Clone, Copy, Debug)]
struct SentTable {
    change: TableChange,
    sent_at: Instant,
}

/// Record of the tables that were sent.
#[derive(Debug, Default)]
pub struct TableRecord {
    next_version: AtomicU64,
    sent: Mutex<BTreeMap<u64, SentTable>>,
    series_at: Mutex<Option<Instant>>,
    /// Versions last seen in force, by entry.
    seen: Mutex<BTreeMap<usize, u64>>,
}

impl TableRecord {
    /// Records the version in force at an entry.
    pub fn record_seen(&self, entry: usize, version: u64) {
        lock(&self.seen).insert(entry, version);
    }

    /// Keeps the operators' other edits back for a while.
    pub fn record_series(&self) {
        *lock(&self.series_at) = Some(Instant::now());
    }

    /// True while a series of edits is under way.
    pub fn is_in_series(&self) -> bool {
        lock(&self.series_at).is_some_and(|at| at.elapsed() < SERIES_PAUSE)
    }

    /// The spans from the sending of each edit until its acknowledgement, if there was one.
    pub fn edit_spans(&self, ctx: &SoakContext) -> Vec<(Instant, Option<Instant>)> {
        let acknowledged = lock(&ctx.acknowledged_versions);
        let span = |(version, table): (&u64, &SentTable)| {
            (table.sent_at, acknowledged.get(version).copied())
        };
        lock(&self.sent).iter().map(span).collect()
    }
}

/// The oldest version that may be in force at a process in touch.
fn oldest_version(ctx: &SoakContext, since: Instant) -> u64 {
    lock(&ctx.acknowledged_versions)
        .iter()
        .filter(|(_, at)| **at + APPLY_TIME < since)
        .map(|(version, _)| *version)
        .max()
        .unwrap_or(0)
}

/// The tables that may be in force between two moments.
fn possible_tables(ctx: &SoakContext, since: Instant, until: Instant) -> Vec<TableChange> {
    tables_from(ctx, oldest_version(ctx, since), until)
}

/// The tables sent until a moment, from a version on.
fn tables_from(ctx: &SoakContext, oldest: u64, until: Instant) -> Vec<TableChange> {
    let sent = lock(&ctx.tables.sent);
    sent.range(oldest..)
        .filter(|(_, table)| table.sent_at <= until)
        .map(|(_, t)| t.change)
        .collect()
}

/// True if a table that may be in force since `sent_at` refuses proper requests for `path` so.
pub fn may_deny(ctx: &SoakContext, sent_at: Instant, path: &str, status: u16) -> bool {
    let tables = possible_tables(ctx, sent_at, Instant::now());
    tables.into_iter().any(|change| change.denies(path, status))
}

/// True if a stream on `path` may be taken up at another version under a table that may be in force since
/// `sent_at`, also at an entry that lags behind.
pub fn may_change_version(ctx: &SoakContext, sent_at: Instant, path: &str) -> bool {
    let seen = lock(&ctx.tables.seen).values().copied().min().unwrap_or(0);
    let tables = tables_from(ctx, seen.min(oldest_version(ctx, sent_at)), Instant::now());
    tables.into_iter().any(|change| change.changes_version(path))
}

/// True if no table but the plain one may be in force since `sent_at`.
pub fn is_plain(ctx: &SoakContext, sent_at: Instant) -> bool {
    let tables = possible_tables(ctx, sent_at, Instant::now());
    tables.into_iter().all(|change| change == TableChange::PLAIN)
}

/// The time that a request has under each table that may be in force between its send and its end.
pub fn least_time(ctx: &SoakContext, path: &str, sent_at: Instant, ended_at: Instant) -> Duration {
    let tables = possible_tables(ctx, sent_at, ended_at);
    let timeouts = tables.into_iter().map(|change| change.timeout(path, ctx.sizes.timeout_ms));
    timeouts.fold(REQUEST_DEADLINE, Duration::min)
}

/// The longest time that a request has under a table that may be in force between its send and its end.
pub fn most_time(ctx: &SoakContext, path: &str, sent_at: Instant, ended_at: Instant) -> Duration {
    let tables = possible_tables(ctx, sent_at, ended_at);
    let is_longer = |change: &TableChange| change.kind == ChangeKind::LongerTimeout;
    if tables.iter().any(is_longer) {
        return REQUEST_DEADLINE;
    }
    let timeouts = tables.into_iter().map(|change| change.timeout(path, ctx.sizes.timeout_ms));
    timeouts.max().unwrap_or(REQUEST_DEADLINE).min(REQUEST_DEADLINE)
}

/// The configuration of a version: the routes in use, one whose name contains the version, and a number
/// that no caller uses.
pub fn document(version: u64, sizes: &FleetSizes, change: TableChange) -> String {
    let FleetSizes { idle_routes, timeout_ms, .. } = *sizes;
    let route = |name: &str, kind: &str, max_attempts: u32, is_resumable: bool| {
        json!({"name": name, "host": ROUTE_HOST, "path_prefix": format!("/{name}/"), "kind": kind, "timeout_ms": timeout_ms,
               "latency_slo_ms": 400, "priority": 0, "service": SERVICE_NAME, "max_attempts": max_attempts, "public": false,
               "resumable": is_resumable, "gap_slo_ms": 300})
    };
    let mut used_routes = vec![
        route("safe", "safe", 2, false),
        route("unsafe", "unsafe", 1, false),
        route("stream", "stream", 1, false),
        route("resumable", "stream", 2, true),
    ];
    let service = |name: &str| {
        json!({"name": name, "health_path": "/healthz", "max_conns": 100,
               "engine": {"slots": ENGINE_SLOTS, "stride": 1, "hold_ms": 2000.0}})
    };
    let mut services = vec![service(SERVICE_NAME), service(OTHER_SERVICE)];
    let (mut free_key, mut idle_service) = (FREE_KEY, SERVICE_NAME);
    let changed = &mut used_routes[change.route];
    match change.kind {
        ChangeKind::Plain => {}
        ChangeKind::MovedRoute => changed["service"] = json!(OTHER_SERVICE),
        ChangeKind::SplitRoute => {
            changed.as_object_mut().expect("routes are objects").remove("service");
            changed["backends"] = json!([{"service": SERVICE_NAME, "weight": 50},
                                         {"service": OTHER_SERVICE, "weight": 50}]);
        }
        ChangeKind::DroppedRoute => drop(used_routes.remove(change.route)),
        ChangeKind::DroppedService => {
            used_routes.iter_mut().for_each(|row| row["service"] = json!(OTHER_SERVICE));
            services.remove(0);
            idle_service = OTHER_SERVICE;
        }
        ChangeKind::OtherKey => free_key = "other-key",
        ChangeKind::NotResumable => changed["resumable"] = json!(false),
        ChangeKind::ShorterTimeout => changed["timeout_ms"] = json!(SHORT_TIMEOUT_MS),
        ChangeKind::LongerTimeout => changed["timeout_ms"] = json!(LONG_TIMEOUT_MS),
    }
    let named = [route(&format!("version-{version}"), "safe", 1, false)];
    let idle_routes =
        (0..idle_routes).map(|number| route(&format!("idle-{number}"), "safe", 1, false));
    let unused_routes = named.into_iter().chain(idle_routes).map(|mut row: Value| {
        row["service"] = json!(idle_service);
        row
    });
    let routes: Vec<Value> = used_routes.into_iter().chain(unused_routes).collect();
    let token_rate = checks::LIMIT_TOKENS_PER_SECOND;
    json!({"version": version, "routes": routes, "services": services,
           "tenants": [{"name": "free", "api_keys": [free_key]},
                       {"name": "limited", "api_keys": [LIMITED_KEY], "unit": "tokens", "plain_tokens": 200,
                        "rate_per_s": token_rate, "burst": token_rate}]})
    .to_string()
}
