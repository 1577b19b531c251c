//! Periodic background tasks: scheduler ticks, load report polls, probes and reads of the
//! platform's list.

use super::share_report::ShareReport;
use crate::platform::InstanceLister;
use crate::policy::{DEPARTED_TTL, PoolEvent, TierRank, UpstreamEvent, UpstreamIndex};
use crate::settings::DaemonSettings;
use crate::table::{ServiceName, UpstreamName};
use crate::traffic::{PoolRuntime, ProbeOutcome, TrafficState, probe};
use crate::upstream::{ListError, ListReading, PlatformList, UnreadEntry, UpstreamLister};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use metrics::gauge;
use rand::seq::SliceRandom;
use slog::{info, warn};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Interval of scheduler ticks while requests wait or a floor is raised.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of scheduler ticks otherwise.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between reads of the list as a document.
const DOCUMENT_READ_PAUSE: Duration = Duration::from_millis(500);
/// Timeout of one read of the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a list read over HTTP, in bytes.
const MAX_LIST_BYTES: usize = 16 << 20;
/// Pause between reads of the list over the platform's interface, where calls are charged for and
/// their rate is limited across all daemons. An upstream must get no new work from 3 s after the
/// list shows it as leaving.
const INSTANCE_READ_PAUSE: Duration = Duration::from_millis(1_000);
/// Interval at which a daemon that does not read the list checks whether it has to.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of probes of unreachable upstreams.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Number of upstreams of a pool that are probed at a time while this daemon is cut off from all.
const CUT_OFF_PROBES: usize = 3;
/// Maximum number of distinct causes of unread entries that are logged.
const MAX_LOGGED_CAUSES: usize = 64;
/// Maximum number of concurrent load report polls.
const MAX_CONCURRENT_POLLS: usize = 64;

/// Starts the background tasks on the current runtime.
pub fn start_background_tasks(state: Arc<TrafficState>, settings: &DaemonSettings) {
    tokio::spawn(tick_pools(Arc::clone(&state)));
    if let Some(location) = settings.platform_list.clone() {
        let lister = Box::new(DocumentLister { location });
        tokio::spawn(read_lists(Arc::clone(&state), lister, DOCUMENT_READ_PAUSE));
    }
    let Some(platform) = &settings.platform else {
        tokio::spawn(poll_reports(state, settings.report_poll_ms));
        return;
    };
    tokio::spawn(probe_suspects(Arc::clone(&state)));
    if let Some(address) = platform.list {
        state.expect_upstream_list();
        let lister = Box::new(InstanceLister::new(address, Arc::clone(state.connections())));
        tokio::spawn(read_lists(state, lister, INSTANCE_READ_PAUSE));
    }
}

async fn tick_pools(state: Arc<TrafficState>) {
    let mut floors: BTreeMap<ServiceName, (Option<TierRank>, Option<TierRank>)> = BTreeMap::new();
    let mut cut_off = BTreeSet::new();
    let mut shares = ShareReport::default();
    let mut refreshed_at = state.clock.now();
    loop {
        if state.clock.now().since(refreshed_at) >= DEPARTED_TTL {
            refreshed_at = state.clock.now();
            state.refresh_sources();
        }
        state.limits().record_alive(state.clock.now());
        state.release_idle_pools();
        let mut is_busy = false;
        for (service, pool) in state.pools().iter() {
            refuse_after_lease_expiry(&state, pool);
            pool.handle_event(PoolEvent::Tick);
            report_reach(&state, pool, &mut cut_off);
            shares.update(&state, pool);
            let floor =
                pool.inspect(|scheduler| (scheduler.wanted_floor(), scheduler.effective_floor()));
            is_busy |= floor != (None, None) || pool.status().waiting > 0;
            if floors.get(service).copied().unwrap_or_default() != floor {
                floors.insert(service.clone(), floor);
                state.floor_changes.notify_one();
            }
        }
        tokio::time::sleep(if is_busy { TICK_INTERVAL } else { IDLE_TICK_INTERVAL }).await;
    }
}

/// Logs and records whether this daemon reaches the upstreams of a pool; `cut_off` has the services of
/// those that it did not reach before.
fn report_reach(state: &TrafficState, pool: &PoolRuntime, cut_off: &mut BTreeSet<ServiceName>) {
    let service = &pool.service;
    let is_cut_off = pool.is_cut_off();
    gauge!("tarragonknot_cut_off", "service" => service.to_string())
        .set(f64::from(u8::from(is_cut_off)));
    match is_cut_off {
        true if cut_off.insert(service.clone()) => {
            let status = pool.status();
            // Connections that outlive the cut would hang again.
            let addresses = pool.addresses().into_iter().map(|(_, address, _)| address);
            state.connections().close_idle(addresses);
            warn!(state.log, "cut off from all upstreams"; "service" => service.as_str(), "live" => status.live, "waiting" => status.waiting);
        }
        false if cut_off.remove(service) => {
            info!(state.log, "reaches upstreams again"; "service" => service.as_str());
        }
        true | false => {}
    }
}

/// Refuses waiting requests once the lease has expired, since none may be dispatched any more. This
/// is checked at each tick and not by the agent, which may be blocked on a leader that does not
/// answer.
fn refuse_after_lease_expiry(state: &TrafficState, pool: &PoolRuntime) {
    if !state.is_current() && pool.status().waiting > 0 {
        warn!(state.log, "lease expired; refusing waiting requests"; "service" => pool.service.as_str());
        pool.handle_event(PoolEvent::LeaseExpired);
    }
}

/// Probes unreachable upstreams. Used with a platform, where answers carry the load reports and
/// others need no polling.
async fn probe_suspects(state: Arc<TrafficState>) {
    let mut contacts: HashMap<ServiceName, u64> = HashMap::new();
    loop {
        let pools = state.pools();
        let is_any_cut_off = pools.values().any(|pool| pool.is_cut_off());
        for pool in pools.values() {
            let count = pool.inspect(|scheduler| scheduler.reach().contacts());
            let had_contact = contacts.insert(pool.service.clone(), count) != Some(count);
            let (targets, purpose) = match (pool.is_cut_off(), is_any_cut_off && !had_contact) {
                (true, _) => (few_upstreams(&state, pool), ProbePurpose::Return),
                (false, true) => (few_upstreams(&state, pool), ProbePurpose::Check),
                (false, false) => (pool.suspects(), ProbePurpose::Return),
            };
            for target in targets {
                let (state, pool) = (Arc::clone(&state), Arc::clone(pool));
                tokio::spawn(async move { probe_upstream(&state, &pool, target, purpose).await });
            }
        }
        drop(pools);
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Why an upstream is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbePurpose {
    /// To use it again once it answers.
    Return,
    /// To learn whether this daemon reaches it, since it reaches none of another pool and had no
    /// contact with this one. With few requests, or slow ones, these would show it late.
    Check,
}

/// An upstream to probe.
type ProbeTarget = (UpstreamIndex, UpstreamName, SocketAddr);

/// A few upstreams of a pool at random, so that the probes of a fleet that is cut off stay few.
fn few_upstreams(state: &TrafficState, pool: &PoolRuntime) -> Vec<ProbeTarget> {
    let mut targets = pool.usable_or_suspect();
    targets.shuffle(&mut state.new_rng());
    targets.truncate(CUT_OFF_PROBES);
    targets
}

async fn probe_upstream(
    state: &TrafficState,
    pool: &PoolRuntime,
    (upstream, name, address): ProbeTarget,
    purpose: ProbePurpose,
) {
    let path = state.health_path(&pool.service);
    let outcome = probe(state, address, name.as_str(), path.as_deref()).await;
    if let ProbeOutcome::Answered { cold_left: left, .. } = outcome {
        // Before the upstream is used again, since it may crash under the load.
        pool.handle_event(PoolEvent::ColdReported { upstream, left });
    }
    if outcome == ProbeOutcome::Silent {
        pool.handle_event(PoolEvent::Reached);
    }
    let is_unreached = matches!(outcome, ProbeOutcome::Refused | ProbeOutcome::Closed);
    if is_unreached && purpose == ProbePurpose::Check {
        let event = UpstreamEvent::Unreachable;
        pool.handle_event(PoolEvent::Lifecycle { upstream, event });
    }
    if let Some(event) = event_of_outcome(outcome) {
        info!(state.log, "upstream answered a probe"; "upstream" => name.as_str(), "word" => format!("{event:?}"));
        pool.handle_event(PoolEvent::Lifecycle { upstream, event });
    }
}

/// Returns the event of an unreachable upstream for a probe's outcome, or `None` if it is still
/// unreachable.
fn event_of_outcome(outcome: ProbeOutcome) -> Option<UpstreamEvent> {
    match outcome {
        ProbeOutcome::Answered { .. } => Some(UpstreamEvent::Answered),
        ProbeOutcome::OtherIncarnation | ProbeOutcome::Leaving => Some(UpstreamEvent::Leaving),
        ProbeOutcome::Refused | ProbeOutcome::Closed | ProbeOutcome::Silent => None,
    }
}

async fn poll_reports(state: Arc<TrafficState>, pause: Duration) {
    loop {
        let mut polls = JoinSet::new();
        for pool in state.pools().values() {
            for (upstream, address, is_suspect) in pool.addresses() {
                if polls.len() >= MAX_CONCURRENT_POLLS {
                    polls.join_next().await;
                }
                polls.spawn(poll_upstream(Arc::clone(pool), upstream, address, is_suspect));
            }
        }
        polls.join_all().await;
        tokio::time::sleep(pause).await;
    }
}

async fn poll_upstream(
    pool: Arc<PoolRuntime>,
    upstream: UpstreamIndex,
    address: SocketAddr,
    is_suspect: bool,
) {
    match pool.driver.report(address).await {
        Some(report) => pool.handle_event(PoolEvent::LoadReported { upstream, report }),
        None if is_suspect && pool.driver.probe(address).await => {
            pool.handle_event(PoolEvent::Lifecycle { upstream, event: UpstreamEvent::Answered });
        }
        None => {}
    }
}

/// Reads the list repeatedly and applies changes. If a read fails, the last list stays in force.
async fn read_lists(state: Arc<TrafficState>, lister: Box<dyn UpstreamLister>, pause: Duration) {
    let mut is_readable = true;
    let mut logged_causes = BTreeSet::new();
    loop {
        let has_table = state.snapshot().version > 0;
        if !state.fleet.is_list_read_due(has_table, state.clock.now()) {
            // A voter that names the daemons may make this one the first reader.
            let presumed = state.fleet.presumed();
            let _ = tokio::time::timeout(READER_CHECK_INTERVAL, presumed).await;
            continue;
        }
        let begun = state.begin_list_reading();
        let read = tokio::time::timeout(LIST_TIMEOUT, lister.read()).await;
        let read = read.unwrap_or_else(|_| {
            Err(ListError { detail: format!("no answer within {LIST_TIMEOUT:?}") })
        });
        match read {
            Ok(reading) => {
                record_unread_entries(&state, &reading.unread, &mut logged_causes);
                let list = reading.applied_to(&state.platform_list());
                if !is_readable {
                    info!(state.log, "platform list can be read again");
                }
                is_readable = true;
                state.store_list_reading(begun, &list);
            }
            Err(error) => {
                state.fleet.record_read_failure(state.clock.now());
                // Logs only the first of consecutive failures, as the list is read every second.
                if is_readable {
                    warn!(state.log, "platform list not read"; "fault" => error.detail);
                }
                is_readable = false;
            }
        }
        tokio::time::sleep(pause).await;
    }
}

/// Counts entries that could not be read and logs each cause once, because such entries stay in the
/// list for long and the list is read every second.
fn record_unread_entries(
    state: &TrafficState,
    unread: &[UnreadEntry],
    logged_causes: &mut BTreeSet<String>,
) {
    metrics::counter!("platform_list_entries_unread").increment(unread.len() as u64);
    for entry in unread {
        if logged_causes.len() < MAX_LOGGED_CAUSES && logged_causes.insert(entry.cause.clone()) {
            let name = entry.upstream.as_ref().map_or("", |name| name.as_str());
            warn!(state.log, "entry of the platform list not read"; "upstream" => name, "cause" => &entry.cause);
        }
    }
}

/// Reads the list as a JSON document from a file or over HTTP.
struct DocumentLister {
    location: String,
}

impl UpstreamLister for DocumentLister {
    fn read(&self) -> BoxFuture<'_, Result<ListReading, ListError>> {
        Box::pin(async move {
            let text = fetch_text(&self.location).await?;
            let list = PlatformList::read(&text).map_err(ListError::from_display)?;
            Ok(list.into())
        })
    }
}

async fn fetch_text(location: &str) -> Result<String, ListError> {
    if !location.starts_with("http://") {
        return tokio::fs::read_to_string(location).await.map_err(ListError::from_display);
    }
    let request =
        Request::get(location).body(Full::<Bytes>::default()).map_err(ListError::from_display)?;
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.map_err(ListError::from_display)?;
    if !response.status().is_success() {
        return Err(ListError { detail: format!("status {}", response.status()) });
    }
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES)
        .collect()
        .await
        .map_err(ListError::from_display)?;
    String::from_utf8(body.to_bytes().to_vec()).map_err(ListError::from_display)
}
