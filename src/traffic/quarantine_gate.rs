//! Quarantine check before a request is sent to an upstream, and the exchange of crash reports.

use super::state::TrafficState;
use crate::answer::AnswerKind;
use crate::policy::{Moment, UpstreamHash};
use crate::quarantine::{
    CrashEvidence, CrashTable, HeldRequest, RequestFingerprint, SuspectKeys, SuspectRow,
    SuspectUpdate, TableSizes,
};
use crate::table::DaemonName;
use slog::{info, warn};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The daemon's crash table, shared by all requests.
#[derive(Debug, Default)]
pub struct QuarantineGate(Mutex<CrashTable>);

impl QuarantineGate {
    fn lock(&self) -> MutexGuard<'_, CrashTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Remaining quarantine time of a request; `None` if it may be sent.
    pub fn held_for(&self, keys: &SuspectKeys, now: Moment) -> Option<Duration> {
        self.lock().find_held(keys, now).map(|held| held.held_for)
    }

    /// Number of upstreams known to have terminated while they ran this content or part, as far as
    /// they count towards its quarantine.
    pub fn crashes(&self, request: RequestFingerprint) -> usize {
        self.lock().crashes(request)
    }

    /// Refuses a request whose content or one of whose parts is quarantined, and logs the reason.
    pub fn check(
        &self,
        state: &TrafficState,
        id: &str,
        keys: &SuspectKeys,
    ) -> Result<(), AnswerKind> {
        let Some(held) = self.lock().find_held(keys, state.clock.now()) else { return Ok(()) };
        let key = held.request;
        metrics::counter!("tarragonknot_requests_quarantined_total", "kind" => key.kind())
            .increment(1);
        info!(state.log, "held back"; "request" => id, "fingerprint" => key.to_string(), "kind" => key.kind(),
            "upstreams_ended" => held.crashes, "held_for_ms" => held.held_for.as_millis() as u64);
        Err(AnswerKind::Quarantined)
    }

    /// Records that an upstream terminated while it ran this request.
    pub fn note_crash(
        &self,
        state: &TrafficState,
        keys: &SuspectKeys,
        upstream: UpstreamHash,
        evidence: CrashEvidence,
    ) {
        let now = state.clock.now();
        let held = self.lock().record_request_crash(keys, upstream, evidence, now);
        note_held(state, &held, "seen here");
    }

    /// Records that the request received a whole answer.
    pub fn note_answer(&self, keys: &SuspectKeys, now: Moment) {
        self.lock().record_request_answer(keys, now);
    }

    /// Returns the next news for the other daemons.
    pub fn next_news(&self, now: Moment) -> SuspectUpdate {
        self.lock().next_update(now)
    }

    /// Merges the news of another daemon.
    pub fn merge_news(&self, state: &TrafficState, from: &DaemonName, news: &SuspectUpdate) {
        let held = self.lock().merge_update(from, news, state.clock.now());
        note_held(state, &held, from.as_str());
    }

    /// Returns the next report to the voters.
    pub fn reports(&self, now: Moment) -> Vec<SuspectRow> {
        self.lock().reports(now)
    }

    /// Merges the records kept by the voters.
    pub fn merge_rows(&self, state: &TrafficState, rows: &[SuspectRow]) {
        let now = state.clock.now();
        let held = self.lock().merge_rows(rows, now);
        note_held(state, &held, "voters");
    }

    /// Numbers of known contents and parts.
    pub fn sizes(&self, now: Moment) -> TableSizes {
        self.lock().sizes(now)
    }
}

/// Logs each newly quarantined content or part.
fn note_held(state: &TrafficState, held: &[HeldRequest], from: &str) {
    for request in held {
        warn!(state.log, "request quarantined"; "fingerprint" => request.request.to_string(),
            "kind" => request.request.kind(), "upstreams_ended" => request.crashes,
            "held_for_ms" => request.held_for.as_millis() as u64, "from" => from);
    }
}
