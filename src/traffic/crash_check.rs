//! Finds out whether an upstream ended when connections to it broke.
//!
//! A broken connection alone says little: it may have been reset on the way, or the upstream gave up one answer. If the
//! upstream does not answer a probe just after, it ended, and all requests that it ran ended with it. One look serves all
//! requests that broke there at the same time.

use super::probe::{ProbeOutcome, probe};
use super::state::TrafficState;
use crate::policy::{PoolEvent, UpstreamEvent, UpstreamHash, UpstreamIndex};
use crate::quarantine::RequestFingerprint;
use crate::table::{ServiceName, SoftwareVersion, UpstreamName};
use slog::info;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Looks at an upstream that takes connections and closes them, before it counts as ended: a proxy before it does so, but
/// so does one that drops requests now and then.
const LOOKS: u32 = 2;
/// Time between two looks. Far below the seconds that an upstream needs to start again.
const LOOK_PAUSE: Duration = Duration::from_millis(150);

/// An upstream at which a request broke off.
#[derive(Clone, Debug)]
pub struct BrokenUpstream {
    /// Its service.
    pub service: ServiceName,
    /// The version whose pool it is in; none if that takes any.
    pub version: Option<SoftwareVersion>,
    /// Its name.
    pub upstream: UpstreamName,
    /// Its number in its pool.
    pub index: UpstreamIndex,
    /// Its incarnation, as far as it was known.
    pub incarnation: u64,
    /// Its address.
    pub address: SocketAddr,
}

impl BrokenUpstream {
    fn hash(&self) -> UpstreamHash {
        UpstreamHash::of(&self.service, &self.upstream, self.incarnation)
    }
}

/// A request whose connection broke while an upstream had it.
#[derive(Clone, Debug)]
pub struct BrokenRequest {
    /// Its id, for logs.
    pub id: Arc<str>,
    /// What it is known by.
    pub fingerprint: RequestFingerprint,
}

/// Looks that are under way, each with the requests that wait for what it finds.
#[derive(Debug, Default)]
pub struct CrashChecks(Mutex<HashMap<UpstreamHash, Vec<BrokenRequest>>>);

impl CrashChecks {
    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamHash, Vec<BrokenRequest>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request; true if no look at the upstream is under way.
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

/// Looks whether the upstream at which a request broke off has ended.
pub fn check_upstream(state: &Arc<TrafficState>, upstream: BrokenUpstream, request: BrokenRequest) {
    if !state.crash_checks.add(upstream.hash(), request) {
        return;
    }
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let fate = look(&state, &upstream).await;
        let requests = state.crash_checks.take(upstream.hash());
        tell_pool(&state, &upstream, fate);
        conclude(&state, &upstream, &requests, fate != UpstreamFate::LivesOn);
    });
}

/// What is known of an upstream after a look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpstreamFate {
    LivesOn,
    Ended,
    /// It ended, and another incarnation has its address already.
    Replaced,
}

/// An upstream that takes the connection and says nothing is busy, and lives.
async fn look(state: &TrafficState, upstream: &BrokenUpstream) -> UpstreamFate {
    let path = state.health_path(&upstream.service);
    let name = upstream.upstream.as_str();
    for look in 0..LOOKS {
        if look > 0 {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        match probe(state, upstream.address, name, path.as_deref()).await {
            ProbeOutcome::Refused => return UpstreamFate::Ended,
            ProbeOutcome::OtherIncarnation => return UpstreamFate::Replaced,
            ProbeOutcome::Answered | ProbeOutcome::Silent => return UpstreamFate::LivesOn,
            ProbeOutcome::Closed => {}
        }
    }
    UpstreamFate::Ended
}

/// Tells the pool, so that no request of this daemon, and soon none of the others, is sent there for nothing.
fn tell_pool(state: &TrafficState, upstream: &BrokenUpstream, fate: UpstreamFate) {
    let event = match fate {
        UpstreamFate::LivesOn => return,
        UpstreamFate::Ended => UpstreamEvent::Unreachable,
        UpstreamFate::Replaced => UpstreamEvent::Leaving,
    };
    if let Some(pool) = state.version_pool(&upstream.service, upstream.version.as_ref()) {
        pool.tell(PoolEvent::Lifecycle { upstream: upstream.index, event });
    }
}

fn conclude(
    state: &TrafficState,
    upstream: &BrokenUpstream,
    requests: &[BrokenRequest],
    has_ended: bool,
) {
    let BrokenUpstream { service, upstream: name, incarnation, .. } = upstream;
    let cause = if has_ended { "upstream-ended" } else { "connection" };
    metrics::counter!("tarragonknot_requests_broken_total", "service" => service.to_string(), "cause" => cause)
        .increment(requests.len() as u64);
    if !has_ended {
        info!(state.log, "connections broke, upstream lives on"; "service" => service.as_str(), "upstream" => name.as_str(),
            "requests" => requests.len());
        return;
    }
    metrics::counter!("tarragonknot_upstreams_ended_total", "service" => service.to_string())
        .increment(1);
    info!(state.log, "upstream ended"; "service" => service.as_str(), "upstream" => name.as_str(),
        "incarnation" => incarnation, "requests" => requests.len());
    for request in requests {
        info!(state.log, "lost with its upstream"; "request" => &*request.id, "fingerprint" => request.fingerprint.to_string(),
            "service" => service.as_str(), "upstream" => name.as_str());
        state.quarantine.note_crash(state, request.fingerprint, upstream.hash());
    }
}
