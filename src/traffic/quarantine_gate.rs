//! The gate before upstreams: what may not pass, and what is learned of it.

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

/// The quarantine as all requests of this daemon share it.
#[derive(Debug, Default)]
pub struct QuarantineGate(Mutex<CrashTable>);

impl QuarantineGate {
    fn lock(&self) -> MutexGuard<'_, CrashTable> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is left of a content's hold; none if it may pass.
    pub fn held_for(&self, request: RequestFingerprint, now: Moment) -> Option<Duration> {
        self.lock().held_for(request, now)
    }

    /// Upstreams that ended under a content, as far as is known here and counts.
    pub fn crashes(&self, request: RequestFingerprint) -> usize {
        self.lock().crashes(request)
    }

    /// Refuses a request whose content is held back, with a line that says why.
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

    /// An upstream ended under a content.
    pub fn note_crash(
        &self,
        state: &TrafficState,
        request: RequestFingerprint,
        upstream: UpstreamHash,
    ) {
        let held = self.lock().record_crash(request, upstream, state.clock.now());
        note_held(state, held.as_slice(), "seen here");
    }

    /// A whole answer to a content came.
    pub fn note_answer(&self, request: RequestFingerprint, now: Moment) {
        self.lock().record_answer(request, now);
    }

    /// The next news for the peers.
    pub fn news(&self, now: Moment) -> SuspectUpdate {
        self.lock().next_update(now)
    }

    /// Takes the news of a peer.
    pub fn take(&self, state: &TrafficState, from: &DaemonName, news: &SuspectUpdate) {
        let held = self.lock().merge_update(from, news, state.clock.now());
        note_held(state, &held, from.as_str());
    }

    /// The next report to the voters.
    pub fn reports(&self, now: Moment) -> Vec<SuspectRow> {
        self.lock().reports(now)
    }

    /// Takes what the voters keep.
    pub fn take_rows(&self, state: &TrafficState, rows: &[SuspectRow]) {
        let now = state.clock.now();
        let held = rows.iter().filter_map(|row| self.lock().merge_row(row, now));
        let held: Vec<HeldRequest> = held.collect();
        note_held(state, &held, "voters");
    }

    /// How many contents are known.
    pub fn sizes(&self, now: Moment) -> TableSizes {
        self.lock().sizes(now)
    }
}

/// One line for each content that is held back from now on.
fn note_held(state: &TrafficState, held: &[HeldRequest], from: &str) {
    for request in held {
        warn!(state.log, "request quarantined"; "fingerprint" => request.request.to_string(), "upstreams_ended" => request.crashes,
            "held_for_ms" => request.held_for.as_millis() as u64, "from" => from);
    }
}
