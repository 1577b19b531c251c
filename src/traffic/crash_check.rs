//! Determines whether an upstream terminated when connections to it broke.
//!
//! A broken connection alone proves little: it may have been reset by the network, or the upstream
//! may have aborted a single answer. If the upstream also fails a probe immediately afterwards, it
//! has terminated, and so have all requests that it ran. One check covers all requests that lost
//! their connection to the upstream at the same time.

use super::probe::{ProbeOutcome, probe};
use super::state::TrafficState;
use crate::policy::{PoolEvent, UpstreamEvent, UpstreamHash, UpstreamIndex};
use crate::quarantine::{CrashEvidence, SuspectKeys};
use crate::table::{ServiceName, SoftwareVersion, UpstreamName};
use slog::info;
use std::borrow::Cow;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Number of probes that an upstream must answer by closing the connection before it counts as
/// terminated. A proxy in front of a terminated upstream does so, but so does a live upstream that
/// drops requests occasionally.
const PROBE_ATTEMPTS: u32 = 2;
/// Delay between two probes; far below the seconds that an upstream needs to restart.
const PROBE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time within which the checks of other upstreams show that this daemon is cut off from all of them.
const CUT_OFF_CHECK_DELAY: Duration = Duration::from_millis(200);

/// Time from its first event within which an answer counts as just begun.
const ANSWER_BEGINNING: Duration = Duration::from_secs(1);

/// An upstream whose connection broke during a request.
#[derive(Clone, Debug)]
pub struct BrokenUpstream {
    pub service: ServiceName,
    /// Software version of the pool that the upstream is in; `None` if the pool accepts any
    /// version.
    pub version: Option<SoftwareVersion>,
    pub upstream: UpstreamName,
    /// Index of the upstream in its pool.
    pub index: UpstreamIndex,
    /// Last known incarnation; 0 if unknown.
    pub incarnation: u64,
    pub address: SocketAddr,
}

impl BrokenUpstream {
    fn hash(&self) -> UpstreamHash {
        UpstreamHash::of(&self.service, &self.upstream, self.incarnation)
    }
}

/// A request whose connection broke while an upstream was processing it.
#[derive(Clone, Debug)]
pub struct BrokenRequest {
    /// Request id, for logs.
    pub id: Arc<str>,
    /// What the request can be blamed under.
    pub keys: SuspectKeys,
    /// How long the upstream had been writing the answer; `None` if it had written no event.
    pub written_for: Option<Duration>,
}

impl BrokenRequest {
    /// What the request is blamed under. A part crashes upstreams that begin to write an answer on it,
    /// so the parts of an answer that was long being written are not to blame.
    fn blamed_keys(&self) -> Cow<'_, SuspectKeys> {
        match self.written_for.is_some_and(|time| time > ANSWER_BEGINNING) {
            true => Cow::Owned(SuspectKeys::of_content(self.keys.content)),
            false => Cow::Borrowed(&self.keys),
        }
    }
}

/// Checks in progress, each with the requests that wait for its result.
#[derive(Debug, Default)]
pub struct CrashChecks(Mutex<HashMap<UpstreamHash, Vec<BrokenRequest>>>);

impl CrashChecks {
    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamHash, Vec<BrokenRequest>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request to the check of an upstream; true if the caller must start that check.
    fn add(&self, upstream: UpstreamHash, request: BrokenRequest) -> bool {
        let mut checks = self.lock();
        let requests = checks.entry(upstream).or_default();
        requests.push(request);
        requests.len() == 1
    }

    fn take(&self, upstream: UpstreamHash) -> Vec<BrokenRequest> {
        self.lock().remove(&upstream).unwrap_or_default()
    }
}

/// Checks in the background whether the upstream has terminated, unless such a check is in
/// progress.
pub fn check_upstream(state: &Arc<TrafficState>, upstream: BrokenUpstream, request: BrokenRequest) {
    if !state.crash_checks.add(upstream.hash(), request) {
        return;
    }
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let result = probe_upstream(&state, &upstream).await;
        let requests = state.crash_checks.take(upstream.hash());
        notify_pool(&state, &upstream, result);
        let verdict = match result {
            CheckResult::Alive => CheckVerdict::Alive,
            _ if is_cut_off(&state, &upstream).await => CheckVerdict::CutOff,
            CheckResult::Ended | CheckResult::Replaced => CheckVerdict::Ended,
        };
        record_verdict(&state, &upstream, &requests, verdict);
    });
}

/// True if the upstream has terminated, or another incarnation uses its address.
pub async fn has_ended(state: &TrafficState, upstream: &BrokenUpstream) -> bool {
    probe_upstream(state, upstream).await != CheckResult::Alive
}

/// Result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckResult {
    Alive,
    Ended,
    /// The upstream terminated, and another incarnation already uses its address.
    Replaced,
}

/// Probes the upstream. One that accepts the connection but stays silent is busy, and thus alive.
async fn probe_upstream(state: &TrafficState, upstream: &BrokenUpstream) -> CheckResult {
    match probe_repeatedly(state, upstream).await {
        ProbeOutcome::Refused | ProbeOutcome::Closed => CheckResult::Ended,
        ProbeOutcome::OtherIncarnation => CheckResult::Replaced,
        ProbeOutcome::Answered { .. } | ProbeOutcome::Leaving | ProbeOutcome::Silent => {
            CheckResult::Alive
        }
    }
}

/// Probes the upstream, again if it closes the connection without an answer.
pub async fn probe_repeatedly(state: &TrafficState, upstream: &BrokenUpstream) -> ProbeOutcome {
    let path = state.health_path(&upstream.service);
    let name = upstream.upstream.as_str();
    for attempt in 0..PROBE_ATTEMPTS {
        if attempt > 0 {
            tokio::time::sleep(PROBE_RETRY_DELAY).await;
        }
        let outcome = probe(state, upstream.address, name, path.as_deref()).await;
        if outcome != ProbeOutcome::Closed {
            return outcome;
        }
    }
    ProbeOutcome::Closed
}

/// Updates the pool, so that this daemon, and soon the others, send no more requests to an upstream
/// that cannot run them.
fn notify_pool(state: &TrafficState, upstream: &BrokenUpstream, result: CheckResult) {
    let event = match result {
        CheckResult::Alive => return,
        CheckResult::Ended => UpstreamEvent::Unreachable,
        CheckResult::Replaced => UpstreamEvent::Leaving,
    };
    if let Some(pool) = state.version_pool(&upstream.service, upstream.version.as_ref()) {
        pool.handle_event(PoolEvent::Lifecycle { upstream: upstream.index, event });
    }
}

/// True if this daemon, and not the upstream, lost its connections: it reaches none of the upstreams,
/// and other daemons do. While several upstreams fail at the same time, the result of their checks is
/// awaited.
async fn is_cut_off(state: &TrafficState, upstream: &BrokenUpstream) -> bool {
    let Some(pool) = state.version_pool(&upstream.service, upstream.version.as_ref()) else {
        return false;
    };
    if pool.inspect(|scheduler| scheduler.reach().is_doubtful()) {
        tokio::time::sleep(CUT_OFF_CHECK_DELAY).await;
    }
    pool.is_cut_off() && pool.is_used_by_peers()
}

/// What the broken connections are put down to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckVerdict {
    /// The connections themselves.
    Alive,
    /// This daemon, which reaches none of the upstreams.
    CutOff,
    /// The upstream, which has ended.
    Ended,
}

impl CheckVerdict {
    /// Name of the cause in metrics.
    fn cause(self) -> &'static str {
        match self {
            CheckVerdict::Alive => "connection",
            CheckVerdict::CutOff => "cut-off",
            CheckVerdict::Ended => "upstream-ended",
        }
    }
}

fn record_verdict(
    state: &TrafficState,
    upstream: &BrokenUpstream,
    requests: &[BrokenRequest],
    verdict: CheckVerdict,
) {
    let BrokenUpstream { service, upstream: name, incarnation, .. } = upstream;
    metrics::counter!("tarragonknot_requests_broken_total", "service" => service.to_string(), "cause" => verdict.cause())
        .increment(requests.len() as u64);
    match verdict {
        CheckVerdict::Alive => {
            info!(state.log, "connections broke, but the upstream is alive"; "service" => service.as_str(), "upstream" => name.as_str(),
                "requests" => requests.len());
        }
        CheckVerdict::CutOff => {
            info!(state.log, "connections broke, as no upstream is reached"; "service" => service.as_str(), "upstream" => name.as_str(),
                "requests" => requests.len());
            note_crashes(state, upstream, requests, CrashEvidence::Doubtful);
        }
        CheckVerdict::Ended => {
            metrics::counter!("tarragonknot_upstreams_ended_total", "service" => service.to_string())
                .increment(1);
            info!(state.log, "upstream ended"; "service" => service.as_str(), "upstream" => name.as_str(),
                "incarnation" => incarnation, "requests" => requests.len());
            note_crashes(state, upstream, requests, CrashEvidence::Certain);
        }
    }
}

fn note_crashes(
    state: &TrafficState,
    upstream: &BrokenUpstream,
    requests: &[BrokenRequest],
    evidence: CrashEvidence,
) {
    for request in requests {
        info!(state.log, "lost with its upstream"; "request" => &*request.id, "fingerprint" => request.keys.content.to_string(), "parts" => request.keys.parts_text(), "written_ms" => request.written_for.map(|time| time.as_millis() as u64),
            "service" => upstream.service.as_str(), "upstream" => upstream.upstream.as_str());
        let keys = request.blamed_keys();
        state.quarantine.note_crash(state, &keys, upstream.hash(), evidence);
    }
}
