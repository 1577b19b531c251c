//! Quarantine check before a request is sent to an upstream, and the exchange of crash reports.

use super::state::TrafficState;
use crate::answer::AnswerKind;
use crate::policy::{Moment, UpstreamHash};
use crate::quarantine::{
    CrashTable, HeldRequest, RequestFingerprint, SuspectRow, SuspectUpdate, TableSizes,
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

    /// Remaining quarantine time of a content; `None` if it may be sent.
    pub fn held_for(&self, request: RequestFingerprint, now: Moment) -> Option<Duration> {
        self.lock().held_for(request, now)
    }

    /// Number of upstreams known to have terminated while they ran this content, as far as they
    /// count towards its quarantine.
    pub fn crashes(&self, request: RequestFingerprint) -> usize {
        self.lock().crashes(request)
    }

    /// Refuses a request whose content is quarantined, and logs the reason.
    pub fn check(
        &self,
        state: &TrafficState,
        id: &str,
        request: RequestFingerprint,
    ) -> Result<(), AnswerKind> {
        let Some(held_for) = self.held_for(request, state.clock.now()) else { return Ok(()) };
        metrics::counter!("tarragonknot_requests_quarantined_total").increment(1);
        info!(state.log, "held back"; "request" => id, "fingerprint" => request.to_string(),
            "upstreams_ended" => self.crashes(request), "held_for_ms" => held_for.as_millis() as u64);
        Err(AnswerKind::Quarantined)
    }

    /// Records that an upstream terminated while it ran this content.
    pub fn note_crash(
        &self,
        state: &TrafficState,
        request: RequestFingerprint,
        upstream: UpstreamHash,
    ) {
        let held = self.lock().record_crash(request, upstream, state.clock.now());
        note_held(state, held.as_slice(), "seen here");
    }

    /// Records that the content received a whole answer.
    pub fn note_answer(&self, request: RequestFingerprint, now: Moment) {
        self.lock().record_answer(request, now);
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
        let held = rows.iter().filter_map(|row| self.lock().merge_row(row, now));
        let held: Vec<HeldRequest> = held.collect();
        note_held(state, &held, "voters");
    }

    /// Number of known contents.
    pub fn sizes(&self, now: Moment) -> TableSizes {
        self.lock().sizes(now)
    }
}

/// Logs each newly quarantined content.
fn note_held(state: &TrafficState, held: &[HeldRequest], from: &str) {
    for request in held {
        warn!(state.log, "request quarantined"; "fingerprint" => request.request.to_string(), "upstreams_ended" => request.crashes,
            "held_for_ms" => request.held_for.as_millis() as u64, "from" => from);
    }
}
