//! What a daemon does as time passes: scheduler ticks, load reports, the platform's list.

use crate::platform::PlatformList;
use crate::policy::{PoolEvent, TierRank, UpstreamIndex, UpstreamWord};
use crate::settings::DaemonSettings;
use crate::table::ServiceName;
use crate::traffic::{PoolRuntime, TrafficState};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use slog::warn;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Time between scheduler ticks.
const TICK: Duration = Duration::from_millis(10);
/// Time between ticks while nothing waits and no floor is raised.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Time between readings of the platform's list.
const LIST_PAUSE: Duration = Duration::from_millis(500);
/// A list over HTTP is answered within this time.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest list, in bytes.
const LIST_LIMIT: usize = 16 << 20;
/// Load reports asked for at once.
const POLLS_AT_ONCE: usize = 64;

/// Starts the upkeep tasks on the current runtime.
pub fn start_upkeep(state: Arc<TrafficState>, settings: &DaemonSettings) {
    tokio::spawn(tick_pools(Arc::clone(&state)));
    tokio::spawn(poll_reports(Arc::clone(&state), settings.report_poll_ms));
    if let Some(place) = settings.platform_list.clone() {
        tokio::spawn(read_platform(state, place));
    }
}

async fn tick_pools(state: Arc<TrafficState>) {
    let mut floors: BTreeMap<ServiceName, (Option<TierRank>, Option<TierRank>)> = BTreeMap::new();
    loop {
        let mut is_busy = false;
        for (service, pool) in state.pools().iter() {
            refuse_without_lease(&state, pool);
            pool.tell(PoolEvent::Tick);
            let floor =
                pool.inspect(|scheduler| (scheduler.wanted_floor(), scheduler.kept_floor()));
            is_busy |= floor != (None, None) || pool.status().waiting > 0;
            if floors.get(service).copied().unwrap_or_default() != floor {
                floors.insert(service.clone(), floor);
                state.floor_news.notify_one();
            }
        }
        tokio::time::sleep(if is_busy { TICK } else { IDLE_TICK }).await;
    }
}

/// Once the lease has run out nothing that waits may be dispatched any more. Looked at with each tick, not by
/// the agent: that one may be kept waiting by a leader that does not answer.
fn refuse_without_lease(state: &TrafficState, pool: &PoolRuntime) {
    if !state.is_current() && pool.status().waiting > 0 {
        warn!(state.log, "lease ran out; refusing what waits"; "service" => pool.service.as_str());
        pool.tell(PoolEvent::LeaseLapsed);
    }
}

async fn poll_reports(state: Arc<TrafficState>, pause: Duration) {
    loop {
        let mut polls = JoinSet::new();
        for pool in state.pools().values() {
            for (upstream, address, is_suspect) in pool.addresses() {
                if polls.len() >= POLLS_AT_ONCE {
                    polls.join_next().await;
                }
                polls.spawn(poll_one(Arc::clone(pool), upstream, address, is_suspect));
            }
        }
        polls.join_all().await;
        tokio::time::sleep(pause).await;
    }
}

async fn poll_one(
    pool: Arc<PoolRuntime>,
    upstream: UpstreamIndex,
    address: SocketAddr,
    is_suspect: bool,
) {
    match pool.driver.report(address).await {
        Some(report) => pool.tell(PoolEvent::Reported { upstream, report }),
        None if is_suspect && pool.driver.probe(address).await => {
            pool.tell(PoolEvent::Word { upstream, word: UpstreamWord::Answered });
        }
        None => {}
    }
}

/// Reads the list again as it changes. A list that cannot be read leaves the last one in force.
async fn read_platform(state: Arc<TrafficState>, place: String) {
    let mut last = String::new();
    loop {
        match fetch_list(&place).await {
            Ok(text) if text != last => {
                match PlatformList::read(&text) {
                    Ok(list) => state.apply_platform(list),
                    Err(faults) => {
                        warn!(state.log, "platform list not read"; "place" => &place, "faults" => faults.to_string());
                    }
                }
                last = text;
            }
            Ok(_) => {}
            Err(error) => {
                warn!(state.log, "platform list not read"; "place" => &place, "error" => error)
            }
        }
        tokio::time::sleep(LIST_PAUSE).await;
    }
}

/// The list's text, from a file or over HTTP.
async fn fetch_list(place: &str) -> Result<String, String> {
    if !place.starts_with("http://") {
        return tokio::fs::read_to_string(place).await.map_err(|error| error.to_string());
    }
    let request =
        Request::get(place).body(Full::<Bytes>::default()).map_err(|error| error.to_string())?;
    let fetch = async {
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await.map_err(|error| error.to_string())?;
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()));
        }
        let body = Limited::new(response.into_body(), LIST_LIMIT)
            .collect()
            .await
            .map_err(|error| error.to_string())?;
        String::from_utf8(body.to_bytes().to_vec()).map_err(|error| error.to_string())
    };
    tokio::time::timeout(LIST_TIMEOUT, fetch)
        .await
        .unwrap_or_else(|_| Err(format!("no answer within {LIST_TIMEOUT:?}")))
}
