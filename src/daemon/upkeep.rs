//! What a daemon does as time passes: scheduler ticks, load reports, the platform's list.

use crate::platform::PlatformList;
use crate::policy::{PoolEvent, TierRank, UpstreamIndex, UpstreamWord};
use crate::settings::DaemonSettings;
use crate::table::ServiceName;
use crate::traffic::{PoolRuntime, TrafficState};
use slog::warn;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Time between scheduler ticks.
const TICK: Duration = Duration::from_millis(10);
/// Time between ticks while nothing waits and no floor is raised.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Time between readings of the platform's list.
const LIST_PAUSE: Duration = Duration::from_millis(500);
/// Load reports asked for at once.
const POLLS_AT_ONCE: usize = 64;

/// Starts the upkeep tasks on the current runtime.
pub fn start_upkeep(state: Arc<TrafficState>, settings: &DaemonSettings) {
    tokio::spawn(tick_pools(Arc::clone(&state)));
    tokio::spawn(poll_reports(Arc::clone(&state), settings.report_poll_ms));
    if let Some(path) = settings.platform_list.clone() {
        tokio::spawn(read_platform(state, path));
    }
}

async fn tick_pools(state: Arc<TrafficState>) {
    let mut floors: BTreeMap<ServiceName, (Option<TierRank>, Option<TierRank>)> = BTreeMap::new();
    loop {
        let mut is_busy = false;
        for (service, pool) in state.pools().iter() {
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
async fn read_platform(state: Arc<TrafficState>, path: PathBuf) {
    let mut last = String::new();
    loop {
        match tokio::fs::read_to_string(&path).await {
            Ok(text) if text != last => {
                match PlatformList::read(&text) {
                    Ok(list) => state.apply_platform(list),
                    Err(faults) => {
                        warn!(state.log, "platform list not read"; "file" => path.display().to_string(), "faults" => faults.to_string());
                    }
                }
                last = text;
            }
            Ok(_) => {}
            Err(error) => {
                warn!(state.log, "platform list not read"; "file" => path.display().to_string(), "error" => error.to_string());
            }
        }
        tokio::time::sleep(LIST_PAUSE).await;
    }
}
