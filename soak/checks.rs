//! Checks of the invariants, from what callers, operators and engines observe.

use crate::callers::{FREE_KEY, ROUTE_HOST, event_count_text, request_body};
use crate::context::{AddressKind, CALLERS_PORT, READY_PORT, SentRequest, SoakContext, lock};
use crate::disk_probe::DiskProbe;
use crate::fleet::{self, POLL_INTERVAL, ProcessName, SoakSignal, WAIT_TIMEOUT};
use crate::operators::{read_config, replace_config};
use crate::tables::{TableChange, TableEdit};
use crate::wire::WireRequest;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Token rate per second of the limited organisation, and also its burst.
pub const LIMIT_TOKENS_PER_SECOND: u64 = 8_000;
/// Tokens tolerated beyond the limit, as in the processes' settings.
pub const LIMIT_SLACK_TOKENS: u64 = 20_000;
/// Factor over rate and burst that the settings (`limit_overage`) tolerate.
const LIMIT_OVERAGE_FACTOR: f64 = 1.1;
/// Length of the window over which the limit is checked.
const LIMIT_WINDOW: Duration = Duration::from_secs(8);
/// Time after which an engine listed as draining must receive no new requests from entries in touch,
/// whatever the state of the voters.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Time after a disturbance from which the voters count as undisturbed, and entries as in touch.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time within which an edit must then be acknowledged.
const ACK_LIMIT: Duration = Duration::from_secs(4);
/// Number of times that orders are given if the disk is slow meanwhile.
const MAX_CALM_TRIES: usize = 5;
/// Number of orders that operators have under way at once.
const ORDERS_AT_ONCE: usize = 8;
/// Maximum pause between two attempts at an order.
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// Time within which a confirmed table must be in force at entries in touch.
const APPLY_TIME: Duration = Duration::from_millis(2_500);
/// Time for which an entry that has started reaches only a voter that is behind.
const BEHIND_TIME: Duration = Duration::from_secs(1);
/// Distance of a version from those that the operators may still have under way.
const VERSION_GAP: u64 = 1_000;
/// Response statuses that guarantee that the request was not executed.
pub const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Checks a request when it arrives at an engine.
pub fn check_arrival(ctx: &SoakContext, request: &WireRequest, engine: &str) {
    let (id, path) = (request.id(), request.path());
    let has_key = request.header("authorization").is_some();
    if !ctx.recorder.was_sent(id) && !id.starts_with("probe") {
        ctx.recorder.record_violation(
            "UNASKED",
            format!("{engine} received request {id:?}, which no caller sent, on {path}"),
        );
    }
    if has_key {
        ctx.recorder.record_violation(
            "UNASKED",
            format!("{engine} received the caller's API key with {id}"),
        );
    }
    let draining_since = lock(&ctx.engines)
        .engines
        .values()
        .find(|known| known.id == engine)
        .and_then(|known| known.draining_since);
    let draining_for = draining_since.map(|at| at.elapsed()).unwrap_or_default();
    if draining_for > DRAIN_LIMIT && ctx.time_since_contact_change() > CONTACT_TIME {
        let detail = format!("reached {engine}, which has been draining for {draining_for:?}");
        ctx.recorder.record_request_violation("DRAIN", id, detail);
    }
}

/// Checks a request's body after it was read whole at an engine.
pub fn check_body(ctx: &SoakContext, id: &str, engine: &str, body: &[u8]) {
    let events = event_count_text(body);
    if body != request_body(&events, id, body.len()).as_bytes() {
        ctx.recorder.record_request_violation(
            "UNASKED",
            id,
            format!("reached {engine} with a changed body of {} bytes", body.len()),
        );
    }
}

/// Checks a configuration read: it must return at least the newest version that was acknowledged
/// before the read was sent.
pub fn check_config_read(
    ctx: &SoakContext,
    voter: usize,
    acknowledged_version: u64,
    document: &Value,
) {
    let version = document["version"].as_u64().unwrap_or(0);
    if version < acknowledged_version {
        ctx.recorder.record_violation(
            "CONFIG",
            format!(
                "voter {voter} returned version {version} after {acknowledged_version} was acknowledged"
            ),
        );
    }
    let route_name = format!("version-{version}");
    let routes = document["routes"].as_array().cloned().unwrap_or_default();
    if !routes.iter().any(|route| route["name"] == route_name) {
        ctx.recorder.record_violation(
            "CONFIG",
            format!("voter {voter} returned different content for version {version}"),
        );
    }
}

/// Checks what is known only after the run: executions per request, refusals and limits.
pub fn check_recorded_runs(ctx: &SoakContext) {
    let executions = ctx.recorder.executions();
    for (id, request) in ctx.recorder.requests() {
        check_request(ctx, &id, &request, executions.get(&id).copied().unwrap_or(0));
    }
    check_limit(ctx);
}

fn check_request(ctx: &SoakContext, id: &str, request: &SentRequest, executions: u32) {
    if executions > request.max_attempts {
        let rule = if request.may_repeat { "BUDGET" } else { "TWICE" };
        let detail = format!("was executed {executions} times");
        ctx.recorder.record_request_violation(rule, id, detail);
    }
    let refusal = request.status.filter(|status| NOT_EXECUTED_STATUSES.contains(status));
    if let Some(status) = refusal
        && executions > 0
        && !request.may_repeat
    {
        let detail = format!("was answered {status} but was executed");
        ctx.recorder.record_request_violation("REFUSED", id, detail);
    }
    if request.status == Some(200) && executions == 0 {
        let detail = "was answered 200 but was never executed";
        ctx.recorder.record_request_violation("MIXED", id, detail);
    }
}

fn check_limit(ctx: &SoakContext) {
    let runs = ctx.recorder.limited_executions();
    let rate = LIMIT_TOKENS_PER_SECOND as f64;
    let max_tokens = (rate * LIMIT_WINDOW.as_secs_f64() + rate) * LIMIT_OVERAGE_FACTOR
        + LIMIT_SLACK_TOKENS as f64;
    // Counts requests that were both sent and executed within the window: an engine that was cut
    // off may execute requests that were admitted earlier.
    for start in runs.iter().map(|run| run.sent_at) {
        let window_runs = runs
            .iter()
            .filter(|run| run.sent_at >= start && run.executed_at <= start + LIMIT_WINDOW);
        let token_sum: u64 = window_runs.map(|run| run.tokens).sum();
        if token_sum as f64 > max_tokens {
            return ctx.recorder.record_violation(
                "QUOTA",
                format!(
                    "{token_sum} tokens within {LIMIT_WINDOW:?}, at most {max_tokens} are tolerated"
                ),
            );
        }
    }
}

async fn http_get(address: std::net::SocketAddr, path: &str) -> Option<(StatusCode, String)> {
    let request =
        Request::get(format!("http://{address}{path}")).body(Full::<Bytes>::default()).ok()?;
    http_send(request).await
}

async fn http_send(request: Request<Full<Bytes>>) -> Option<(StatusCode, String)> {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let response =
        tokio::time::timeout(Duration::from_secs(2), client.request(request)).await.ok()?.ok()?;
    let status = response.status();
    let body = tokio::time::timeout(Duration::from_secs(2), response.into_body().collect())
        .await
        .ok()?
        .ok()?;
    Some((status, String::from_utf8_lossy(&body.to_bytes()).into_owned()))
}

/// Checks continuously that no process returns to an older configuration.
pub fn start_version_watch(ctx: &Arc<SoakContext>) -> JoinHandle<()> {
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        let mut last_versions: BTreeMap<(usize, String), u64> = BTreeMap::new();
        while !ctx.is_stopped() {
            for entry in 0..ctx.sizes.entries {
                if let Some((process_start, version)) = active_version(&ctx, entry).await {
                    ctx.tables.record_seen(entry, version);
                    let last_version = last_versions.entry((entry, process_start)).or_default();
                    if version < *last_version {
                        ctx.recorder.record_violation(
                            "CONFIG",
                            format!(
                                "entry {entry} went back from version {last_version} to {version}"
                            ),
                        );
                    }
                    *last_version = version.max(*last_version);
                }
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    })
}

/// Start time of an entry's process, which distinguishes it from its successors, and the version
/// in force there.
async fn active_version(ctx: &SoakContext, entry: usize) -> Option<(String, u64)> {
    let address = ctx.address(AddressKind::Entry, entry, READY_PORT);
    let (status, text) = http_get(address, "/metrics").await?;
    let metric_value = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.rsplit(' ').next().map(str::to_owned)
    };
    let process_start = metric_value("process_start_time_seconds ")?;
    let version = metric_value("tarragonknot_table_version ")?.parse::<f64>().ok()?;
    (status == StatusCode::OK).then_some((process_start, version as u64))
}

/// True if an entry serves a probe request.
async fn serves_requests(ctx: &SoakContext, entry: usize) -> bool {
    let address = ctx.address(AddressKind::Entry, entry, CALLERS_PORT);
    let request = Request::post(format!("http://{address}/safe/a"))
        .header("host", ROUTE_HOST)
        .header("authorization", format!("Bearer {FREE_KEY}"))
        .header("tarragonknot-request-id", format!("probe-{entry}"))
        .header("tarragonknot-deadline-ms", "2000")
        .body(Full::new(Bytes::from_static(b"1")));
    let Ok(request) = request else { return false };
    matches!(http_send(request).await, Some((StatusCode::OK, _)))
}

/// Waits until every entry serves requests; `Err` is the first entry that does not.
pub async fn wait_until_serving(ctx: &SoakContext) -> Result<(), usize> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    for entry in 0..ctx.sizes.entries {
        while !serves_requests(ctx, entry).await {
            if Instant::now() > deadline {
                return Err(entry);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Checks that every entry serves requests again after the last fault.
pub async fn wait_for_recovery(ctx: &SoakContext) {
    if let Err(entry) = wait_until_serving(ctx).await {
        ctx.recorder.record_violation(
            "RECOVER",
            format!("entry {entry} does not serve requests {WAIT_TIMEOUT:?} after the last fault"),
        );
    }
}

/// Checks that orders are acknowledged in time once the voters have been undisturbed for a while. All
/// voters write to the disk of the test machine; a time in which that is slow is not undisturbed.
pub async fn check_acknowledgement(ctx: &SoakContext) {
    let Ok(probe) = DiskProbe::start(&ctx.folder()) else {
        return ctx.recorder.record_violation("START", "the disk cannot be watched");
    };
    for _ in 0..MAX_CALM_TRIES {
        tokio::time::sleep(CONTACT_TIME.saturating_sub(ctx.time_since_disturbance())).await;
        let calm_since = Instant::now();
        let late = give_orders(ctx).await;
        if late.is_empty() {
            return;
        }
        if !probe.was_slow_since(calm_since) {
            let record = |version: u64| {
                let detail =
                    format!("version {version} has no acknowledgement after {ACK_LIMIT:?}");
                ctx.recorder.record_violation("SHORT", detail);
            };
            return late.into_iter().for_each(record);
        }
        tokio::time::sleep(CONTACT_TIME).await;
    }
    println!("seed {}: acknowledgements not checked, as the disk stayed slow", ctx.seed);
}

/// Gives orders at once, and returns the versions without an acknowledgement in time.
async fn give_orders(ctx: &SoakContext) -> Vec<u64> {
    let newest = lock(&ctx.acknowledged_versions).last_key_value().map_or(0, |(newest, _)| *newest);
    let orders = (0..ORDERS_AT_ONCE).map(|number| {
        let version = newest + VERSION_GAP + number as u64;
        async move { (!is_acknowledged(ctx, version, number).await).then_some(version) }
    });
    futures_util::future::join_all(orders).await.into_iter().flatten().collect()
}

/// Sends an order, beginning with one voter, as an operator does whose pauses grow; false if it has no
/// acknowledgement in time.
async fn is_acknowledged(ctx: &SoakContext, version: u64, first_voter: usize) -> bool {
    let edit = TableEdit::new(ctx, version, TableChange::PLAIN);
    let (sent_at, mut pause) = (Instant::now(), POLL_INTERVAL);
    for voter in (0..ctx.sizes.voters).cycle().skip(first_voter) {
        if replace_config(ctx, voter, &edit).await {
            return true;
        }
        if sent_at.elapsed() > ACK_LIMIT {
            return false;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
    false
}

/// Checks that an entry that starts while only a voter that is behind answers comes to the newest
/// acknowledged table in time once the other voters answer again.
pub async fn check_started_entry(ctx: &SoakContext) {
    let behind = ProcessName::Voter(ctx.sizes.voters - 1);
    let others: Vec<ProcessName> = (0..ctx.sizes.voters - 1).map(ProcessName::Voter).collect();
    let entry = 0;
    fleet::signal(ctx, behind, SoakSignal::Stop);
    let edit = TableEdit::next(ctx, 1, TableChange::PLAIN);
    let sent_at = Instant::now();
    let mut voters = (0..others.len()).cycle();
    while !replace_config(ctx, voters.next().unwrap_or(0), &edit).await {
        if sent_at.elapsed() > WAIT_TIMEOUT {
            return fleet::signal(ctx, behind, SoakSignal::Cont);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    others.iter().for_each(|voter| fleet::signal(ctx, *voter, SoakSignal::Stop));
    fleet::kill(ctx, ProcessName::Entry(entry));
    fleet::signal(ctx, behind, SoakSignal::Cont);
    drop(fleet::start(ctx, ProcessName::Entry(entry)));
    tokio::time::sleep(BEHIND_TIME).await;
    let first = active_version(ctx, entry).await.map_or(0, |(_, version)| version);
    others.iter().for_each(|voter| fleet::signal(ctx, *voter, SoakSignal::Cont));

    let deadline = Instant::now() + CONTACT_TIME + APPLY_TIME;
    let mut version = first;
    while version < edit.version && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
        version = active_version(ctx, entry).await.map_or(0, |(_, version)| version);
    }
    if version < edit.version {
        let detail = format!(
            "entry {entry} started at version {first} and has {version} in force instead of {}",
            edit.version
        );
        ctx.recorder.record_violation("CONFIG", detail);
    }
}

/// Checks that the newest acknowledged version is still stored at every voter and in force at every
/// entry.
pub async fn check_durability(ctx: &SoakContext) {
    let newest_version =
        lock(&ctx.acknowledged_versions).last_key_value().map_or(0, |(version, _)| *version);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    for voter in 0..ctx.sizes.voters {
        loop {
            if let Some(document) = read_config(ctx, voter).await {
                check_config_read(ctx, voter, newest_version, &document);
                break;
            }
            if Instant::now() > deadline {
                ctx.recorder.record_violation(
                    "LOST",
                    format!("voter {voter} does not answer a configuration read"),
                );
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    for entry in 0..ctx.sizes.entries {
        loop {
            let version = active_version(ctx, entry).await.map_or(0, |(_, version)| version);
            if version >= newest_version {
                break;
            }
            if Instant::now() > deadline {
                ctx.recorder.record_violation(
                    "CONFIG",
                    format!(
                        "entry {entry} has version {version} in force instead of {newest_version}"
                    ),
                );
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
