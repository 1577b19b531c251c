//! Simulated operators: two change the configuration and retry calls without a definite response,
//! one reads it.

use crate::callers::{FREE_KEY, LIMITED_KEY, ROUTE_HOST};
use crate::checks;
use crate::context::{AddressKind, OPERATORS_PORT, SoakContext, lock};
use crate::engines::{ENGINE_SLOTS, SERVICE_NAME};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Time to wait for a voter's response before the call counts as failed and is sent to another.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of calls after which a change is given up; it may or may not be in force then.
const MAX_CALLS: usize = 30;

/// The configuration of a version: the same routes, one whose name contains the version, and a number
/// that no caller uses.
pub fn config_document(version: u64, idle_routes: usize) -> String {
    let route = |name: &str, kind: &str, max_attempts: u32, is_resumable: bool| {
        json!({"name": name, "host": ROUTE_HOST, "path_prefix": format!("/{name}/"), "kind": kind, "timeout_ms": 4000,
               "latency_slo_ms": 400, "priority": 0, "service": SERVICE_NAME, "max_attempts": max_attempts, "public": false,
               "resumable": is_resumable, "gap_slo_ms": 300})
    };
    let used_routes = [
        route("safe", "safe", 2, false),
        route("unsafe", "unsafe", 1, false),
        route("stream", "stream", 1, false),
        route("resumable", "stream", 2, true),
        route(&format!("version-{version}"), "safe", 1, false),
    ];
    let idle_routes =
        (0..idle_routes).map(|number| route(&format!("idle-{number}"), "safe", 1, false));
    let routes: Vec<Value> = used_routes.into_iter().chain(idle_routes).collect();
    let token_rate = checks::LIMIT_TOKENS_PER_SECOND;
    json!({"version": version, "routes": routes,
           "services": [{"name": SERVICE_NAME, "health_path": "/healthz", "max_conns": 100,
                         "engine": {"slots": ENGINE_SLOTS, "stride": 1, "hold_ms": 2000.0}}],
           "tenants": [{"name": "free", "api_keys": [FREE_KEY]},
                       {"name": "limited", "api_keys": [LIMITED_KEY], "unit": "tokens", "plain_tokens": 200,
                        "rate_per_s": token_rate, "burst": token_rate}]})
    .to_string()
}

async fn call_voter(
    ctx: &SoakContext,
    voter: usize,
    request: http::request::Builder,
    body: String,
) -> Option<(StatusCode, String)> {
    let mut address = ctx.address(AddressKind::Voter, voter, OPERATORS_PORT).to_string();
    let request = request.body(Full::new(Bytes::from(body))).ok()?;
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    for _ in 0..3 {
        let mut next_request = request.clone();
        *next_request.uri_mut() =
            format!("http://{address}{}", request.uri().path()).parse().ok()?;
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, client.request(next_request))
            .await
            .ok()?
            .ok()?;
        let status = response.status();
        if status != StatusCode::TEMPORARY_REDIRECT {
            let body = tokio::time::timeout(RESPONSE_TIMEOUT, response.into_body().collect())
                .await
                .ok()?
                .ok()?;
            return Some((status, String::from_utf8_lossy(&body.to_bytes()).into_owned()));
        }
        let location = response.headers().get("location")?.to_str().ok()?;
        address = location.strip_prefix("http://")?.split('/').next()?.to_owned();
    }
    None
}

/// Sends a configuration to a voter and returns true if it was acknowledged.
pub async fn replace_config(ctx: &SoakContext, voter: usize, version: u64, document: &str) -> bool {
    let request = Request::post("/-/config/replace").header("content-type", "application/json");
    match call_voter(ctx, voter, request, document.to_owned()).await {
        Some((StatusCode::OK, _)) => {
            lock(&ctx.acknowledged_versions).entry(version).or_insert_with(Instant::now);
            true
        }
        Some((status, body)) if status.is_client_error() => {
            ctx.recorder.record_violation(
                "CONFIG",
                format!("version {version} was refused with {status}: {body}"),
            );
            false
        }
        _ => false,
    }
}

/// Reads the configuration from a voter; `None` if it does not answer or cannot confirm it.
pub async fn read_config(ctx: &SoakContext, voter: usize) -> Option<Value> {
    let (status, body) =
        call_voter(ctx, voter, Request::get("/-/config/read"), String::new()).await?;
    (status == StatusCode::OK).then(|| serde_json::from_str(&body).ok())?
}

/// Starts the operators; they run until the context is stopped.
pub fn start(ctx: &Arc<SoakContext>, seed: u64) -> JoinHandle<()> {
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        let versions = Arc::new(AtomicU64::new(1));
        let rng_for = |number: u64| ChaCha8Rng::seed_from_u64(seed ^ (number << 50));
        tokio::join!(
            run_writer(&ctx, Arc::clone(&versions), rng_for(1)),
            run_writer(&ctx, Arc::clone(&versions), rng_for(2)),
            run_reader(&ctx, rng_for(3))
        );
    })
}

async fn run_writer(ctx: &SoakContext, versions: Arc<AtomicU64>, mut rng: ChaCha8Rng) {
    while !ctx.is_stopped() {
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..900))).await;
        let version = versions.fetch_add(rng.random_range(1..4), Ordering::Relaxed) + 4;
        versions.fetch_max(version, Ordering::Relaxed);
        let document = config_document(version, ctx.sizes.idle_routes);
        for _ in 0..MAX_CALLS {
            let voter = rng.random_range(0..ctx.sizes.voters);
            let is_acknowledged = replace_config(ctx, voter, version, &document).await;
            // An acknowledged change that is sent again to any voter must be acknowledged again.
            if is_acknowledged && rng.random_range(0..3) > 0 || ctx.is_stopped() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(20..200))).await;
        }
        if rng.random_range(0..4) == 0 {
            send_invalid_config(ctx, rng.random_range(0..ctx.sizes.voters), version).await;
        }
    }
}

async fn send_invalid_config(ctx: &SoakContext, voter: usize, version: u64) {
    let mut invalid: Value =
        serde_json::from_str(&config_document(version + 1_000_000, 0)).unwrap_or_default();
    invalid["routes"][0]["service"] = json!("nobody");
    let request = Request::post("/-/config/replace").header("content-type", "application/json");
    if let Some((StatusCode::OK, _)) = call_voter(ctx, voter, request, invalid.to_string()).await {
        ctx.recorder.record_violation("CONFIG", "an invalid configuration was acknowledged");
    }
}

async fn run_reader(ctx: &SoakContext, mut rng: ChaCha8Rng) {
    while !ctx.is_stopped() {
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..150))).await;
        let newest_version =
            lock(&ctx.acknowledged_versions).last_key_value().map_or(0, |(version, _)| *version);
        let voter = rng.random_range(0..ctx.sizes.voters);
        if let Some(document) = read_config(ctx, voter).await {
            checks::check_config_read(ctx, voter, newest_version, &document);
        }
    }
}
