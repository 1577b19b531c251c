//! Simulated operators: two change the configuration and retry calls without a definite response,
//! one reads it.

use crate::checks;
use crate::context::{AddressKind, FleetSizes, OPERATORS_PORT, SoakContext, lock};
use crate::tables::{self, TableChange, TableEdit};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Time to wait for a voter's response before the call counts as failed and is sent to another.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of calls after which a change is given up; it may or may not be in force then.
const MAX_CALLS: usize = 30;

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
pub async fn replace_config(ctx: &SoakContext, voter: usize, edit: &TableEdit) -> bool {
    let TableEdit { version, document } = edit;
    let request = Request::post("/-/config/replace").header("content-type", "application/json");
    match call_voter(ctx, voter, request, document.clone()).await {
        Some((StatusCode::OK, _)) => {
            lock(&ctx.acknowledged_versions).entry(*version).or_insert_with(Instant::now);
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
        let rng_for = |number: u64| ChaCha8Rng::seed_from_u64(seed ^ (number << 50));
        tokio::join!(
            run_writer(&ctx, rng_for(1)),
            run_writer(&ctx, rng_for(2)),
            run_reader(&ctx, rng_for(3))
        );
    })
}

async fn run_writer(ctx: &SoakContext, mut rng: ChaCha8Rng) {
    while !ctx.is_stopped() {
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..900))).await;
        if ctx.tables.is_in_series() {
            continue;
        }
        let edit = TableEdit::next(ctx, rng.random_range(1..4), TableChange::PLAIN);
        send_edit(ctx, &edit, &mut rng).await;
        if rng.random_range(0..4) == 0 {
            send_invalid_config(ctx, rng.random_range(0..ctx.sizes.voters), edit.version).await;
        }
    }
}

/// Sends an edit until it is acknowledged, sometimes more often.
async fn send_edit(ctx: &SoakContext, edit: &TableEdit, rng: &mut ChaCha8Rng) {
    for _ in 0..MAX_CALLS {
        let voter = rng.random_range(0..ctx.sizes.voters);
        let is_acknowledged = replace_config(ctx, voter, edit).await;
        // An acknowledged change that is sent again to any voter must be acknowledged again.
        if is_acknowledged && rng.random_range(0..3) > 0 || ctx.is_stopped() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..200))).await;
    }
}

/// Sends an edit of a series, beside the ones before it.
pub fn start_edit(ctx: &Arc<SoakContext>, change: TableChange) {
    ctx.tables.record_series();
    let edit = TableEdit::next(ctx, 1, change);
    let mut rng = ChaCha8Rng::seed_from_u64(ctx.seed ^ (edit.version << 8));
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move { send_edit(&ctx, &edit, &mut rng).await });
}

async fn send_invalid_config(ctx: &SoakContext, voter: usize, version: u64) {
    let sizes = FleetSizes { idle_routes: 0, ..ctx.sizes };
    let document = tables::document(version + 1_000_000, &sizes, TableChange::PLAIN);
    let mut invalid: Value = serde_json::from_str(&document).unwrap_or_default();
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
