//! Checks of the invariants, from what callers, operators and engines observe.

use crate::callers::{FREE_KEY, HOST};
use crate::fleet::{LOOK_PAUSE, PATIENCE};
use crate::operators::read;
use crate::world::{AddressKind, CALLERS_PORT, READY_PORT, SentRequest, SoakWorld, lock};
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
pub const LIMIT_RATE: u64 = 8_000;
/// Tokens tolerated beyond the limit, as in the processes' settings.
pub const LIMIT_SLACK: u64 = 20_000;
/// Factor over rate and burst that the settings (`limit_overage`) tolerate.
const LIMIT_OVERAGE: f64 = 1.1;
/// Length of the window over which the limit is checked.
const LIMIT_WINDOW: Duration = Duration::from_secs(8);
/// Time after which an engine listed as draining must receive no new requests, provided that no
/// fault was injected meanwhile.
const LEAVING_TIME: Duration = Duration::from_secs(6);
/// Response statuses that guarantee that the request was not executed.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Checks a request when it arrives at an engine.
pub fn check_arrival(world: &SoakWorld, id: &str, engine: &str, has_key: bool) {
    if !world.ledger.was_sent(id) && !id.starts_with("probe") {
        world
            .ledger
            .broke("UNASKED", format!("{engine} received request {id:?}, which no caller sent"));
    }
    if has_key {
        world.ledger.broke("UNASKED", format!("{engine} received the caller's API key with {id}"));
    }
    let left = lock(&world.engines)
        .engines
        .values()
        .find(|known| known.id == engine)
        .and_then(|known| known.left_at);
    let is_late = left.is_some_and(|at| at.elapsed() > LEAVING_TIME);
    if is_late && world.undisturbed_for() > LEAVING_TIME {
        world.ledger.broke("DRAIN", format!("{id} reached {engine}, which is draining"));
    }
}

/// Checks a configuration read: it must return at least the newest version that was acknowledged
/// before the read was sent.
pub fn check_read(world: &SoakWorld, voter: usize, acknowledged: u64, read: &Value) {
    let version = read["version"].as_u64().unwrap_or(0);
    if version < acknowledged {
        world.ledger.broke(
            "CONFIG",
            format!(
                "voter {voter} returned version {version} after {acknowledged} was acknowledged"
            ),
        );
    }
    let mark = format!("version-{version}");
    let routes = read["routes"].as_array().cloned().unwrap_or_default();
    if !routes.iter().any(|route| route["name"] == mark) {
        world.ledger.broke(
            "CONFIG",
            format!("voter {voter} returned different content for version {version}"),
        );
    }
}

/// Checks what is known only after the run: executions per request, refusals and limits.
pub fn check_ledger(world: &SoakWorld) {
    let runs = world.ledger.runs();
    for (id, request) in world.ledger.requests() {
        check_request(world, &id, &request, runs.get(&id).copied().unwrap_or(0));
    }
    check_limit(world);
}

fn check_request(world: &SoakWorld, id: &str, request: &SentRequest, runs: u32) {
    if runs > request.attempts {
        let rule = if request.may_repeat { "BUDGET" } else { "TWICE" };
        world.ledger.broke(rule, format!("{id} was executed {runs} times"));
    }
    let says_not_run = request.status.is_some_and(|status| NOT_RUN.contains(&status));
    if says_not_run && runs > 0 && !request.may_repeat {
        world
            .ledger
            .broke("REFUSED", format!("{id} was answered {:?} but was executed", request.status));
    }
    if request.status == Some(200) && runs == 0 {
        world.ledger.broke("MIXED", format!("{id} was answered 200 but was never executed"));
    }
}

fn check_limit(world: &SoakWorld) {
    let counted = world.ledger.counted();
    let rate = LIMIT_RATE as f64;
    let most = (rate * LIMIT_WINDOW.as_secs_f64() + rate) * LIMIT_OVERAGE + LIMIT_SLACK as f64;
    // Counts requests that were both sent and executed within the window: an engine that was cut
    // off may execute requests that were admitted earlier.
    for start in counted.iter().map(|run| run.sent_at) {
        let within =
            counted.iter().filter(|run| run.sent_at >= start && run.ran_at <= start + LIMIT_WINDOW);
        let sum: u64 = within.map(|run| run.tokens).sum();
        if sum as f64 > most {
            return world.ledger.broke(
                "QUOTA",
                format!("{sum} tokens within {LIMIT_WINDOW:?}, at most {most} are tolerated"),
            );
        }
    }
}

async fn get(address: std::net::SocketAddr, path: &str) -> Option<(StatusCode, String)> {
    let request =
        Request::get(format!("http://{address}{path}")).body(Full::<Bytes>::default()).ok()?;
    send(request).await
}

async fn send(request: Request<Full<Bytes>>) -> Option<(StatusCode, String)> {
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
pub fn start_watch(world: &Arc<SoakWorld>) -> JoinHandle<()> {
    let world = Arc::clone(world);
    tokio::spawn(async move {
        let mut seen: BTreeMap<(usize, String), u64> = BTreeMap::new();
        while !world.is_stopped() {
            for entry in 0..world.sizes.entries {
                if let Some((boot, version)) = shown_version(&world, entry).await {
                    let known = seen.entry((entry, boot)).or_default();
                    if version < *known {
                        world.ledger.broke(
                            "CONFIG",
                            format!("entry {entry} went back from version {known} to {version}"),
                        );
                    }
                    *known = version.max(*known);
                }
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    })
}

/// Start time of an entry's process, which distinguishes it from its successors, and the version
/// in force there.
async fn shown_version(world: &SoakWorld, entry: usize) -> Option<(String, u64)> {
    let address = world.address(AddressKind::Entry, entry, READY_PORT);
    let (status, text) = get(address, "/metrics").await?;
    let value = |name: &str| {
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.rsplit(' ').next().map(str::to_owned)
    };
    let boot = value("process_start_time_seconds ")?;
    let version = value("tarragonknot_table_version ")?.parse::<f64>().ok()?;
    (status == StatusCode::OK).then_some((boot, version as u64))
}

/// True if an entry serves a probe request.
async fn serves(world: &SoakWorld, entry: usize) -> bool {
    let address = world.address(AddressKind::Entry, entry, CALLERS_PORT);
    let request = Request::post(format!("http://{address}/safe/a"))
        .header("host", HOST)
        .header("authorization", format!("Bearer {FREE_KEY}"))
        .header("tarragonknot-request-id", format!("probe-{entry}"))
        .header("tarragonknot-deadline-ms", "2000")
        .body(Full::new(Bytes::from_static(b"1")));
    let Ok(request) = request else { return false };
    matches!(send(request).await, Some((StatusCode::OK, _)))
}

/// Waits until every entry serves requests; `Err` is the first entry that does not.
pub async fn wait_until_served(world: &SoakWorld) -> Result<(), usize> {
    let until = Instant::now() + PATIENCE;
    for entry in 0..world.sizes.entries {
        while !serves(world, entry).await {
            if Instant::now() > until {
                return Err(entry);
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }
    Ok(())
}

/// Checks that every entry serves requests again after the last fault.
pub async fn wait_for_recovery(world: &SoakWorld) {
    if let Err(entry) = wait_until_served(world).await {
        world.ledger.broke(
            "RECOVER",
            format!("entry {entry} does not serve requests {PATIENCE:?} after the last fault"),
        );
    }
}

/// Checks that the newest acknowledged version is still stored at every voter and in force at every
/// entry.
pub async fn check_kept(world: &SoakWorld) {
    let newest = lock(&world.acknowledged).last_key_value().map_or(0, |(version, _)| *version);
    let until = Instant::now() + PATIENCE;
    for voter in 0..world.sizes.voters {
        loop {
            if let Some(document) = read(world, voter).await {
                check_read(world, voter, newest, &document);
                break;
            }
            if Instant::now() > until {
                world
                    .ledger
                    .broke("LOST", format!("voter {voter} does not answer a configuration read"));
                break;
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }
    for entry in 0..world.sizes.entries {
        loop {
            let version = shown_version(world, entry).await.map_or(0, |(_, version)| version);
            if version >= newest {
                break;
            }
            if Instant::now() > until {
                world.ledger.broke(
                    "CONFIG",
                    format!("entry {entry} has version {version} in force instead of {newest}"),
                );
                break;
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }
}
