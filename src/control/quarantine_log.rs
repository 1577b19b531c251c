//! Contents that are held back, as the voters keep them: what daemons know ends with them when all restart at once.

use crate::policy::Moment;
use crate::quarantine::{HeldRequest, RequestFingerprint, SuspectRecord, SuspectRow};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Contents that are kept, at most: near 200 KB in a snapshot.
const MOST_RECORDS: usize = 1_024;

/// A content that is held back, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// The content's fingerprint, as in logs.
    pub fingerprint: String,
    /// Upstreams that ended under it.
    pub upstreams_ended: usize,
    /// Milliseconds since the last one ended.
    pub last_ended_ms: u64,
    /// Milliseconds until it is let through by itself.
    pub held_for_ms: u64,
}

impl From<HeldRequest> for QuarantineRow {
    fn from(held: HeldRequest) -> Self {
        QuarantineRow {
            fingerprint: held.request.to_string(),
            upstreams_ended: held.crashes,
            last_ended_ms: held.last_crash.as_millis() as u64,
            held_for_ms: held.held_for.as_millis() as u64,
        }
    }
}

/// The contents. Times are those of the wall clock, since they outlive every process; the leader's clock stamps them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuarantineLog {
    records: BTreeMap<RequestFingerprint, SuspectRecord>,
}

/// A point of wall-clock time, in microseconds.
fn wall(at_ms: u64) -> Moment {
    Moment(at_ms.saturating_mul(1_000))
}

impl QuarantineLog {
    /// True if a row says more than is kept: of further ends, or that the content was cleared.
    pub fn lacks(&self, row: &SuspectRow) -> bool {
        let known = self.records.get(&row.request).map_or(0, SuspectRecord::crashes);
        let is_cleared = row.void_age_ms.is_some() && row.crashes.len() < known;
        is_cleared || row.crashes.len() > known
    }

    /// Takes what a daemon reported at `at_ms` of the wall clock.
    pub fn take(&mut self, rows: &[SuspectRow], at_ms: u64) {
        let now = wall(at_ms);
        for row in rows {
            self.records.entry(row.request).or_default().merge(row, now);
        }
        if self.records.len() > MOST_RECORDS {
            self.drop_excess(now);
        }
    }

    fn drop_excess(&mut self, now: Moment) {
        self.records.retain(|_, record| !record.is_expired(now));
        let mut ranked: Vec<(usize, RequestFingerprint)> =
            self.records.iter().map(|(request, record)| (record.crashes(), *request)).collect();
        ranked.sort_unstable();
        let excess = ranked.len().saturating_sub(MOST_RECORDS);
        for (_, request) in ranked.into_iter().take(excess) {
            self.records.remove(&request);
        }
    }

    /// An operator lets a content through.
    pub fn release(&mut self, request: RequestFingerprint, at_ms: u64) {
        self.records.entry(request).or_default().void_crashes(wall(at_ms).into());
    }

    /// The rows for daemons: all contents that are not over, or only `request`.
    pub fn rows(&self, request: Option<RequestFingerprint>, now_ms: u64) -> Vec<SuspectRow> {
        let now = wall(now_ms);
        let is_chosen = |known: &RequestFingerprint| request.is_none_or(|one| one == *known);
        let chosen = self.records.iter().filter(|(known, _)| is_chosen(known));
        let current = chosen.filter(|(_, record)| !record.is_expired(now));
        current.map(|(request, record)| record.row(*request, now)).collect()
    }

    /// What is held back, the longest hold first.
    pub fn held(&self, now_ms: u64) -> Vec<QuarantineRow> {
        let records = self.records.iter();
        let mut held: Vec<HeldRequest> =
            records.filter_map(|(request, record)| record.held(*request, wall(now_ms))).collect();
        held.sort_by_key(|held| std::cmp::Reverse(held.held_for));
        held.into_iter().map(QuarantineRow::from).collect()
    }
}

/// Contents that were proposed for the log or released a moment ago.
#[derive(Clone, Debug, Default)]
pub struct RecentRequests(BTreeMap<RequestFingerprint, (usize, Moment)>);

impl RecentRequests {
    /// Notes a content with a number of ends; false if that was noted a moment ago.
    pub fn note(&mut self, request: RequestFingerprint, crashes: usize, now: Moment) -> bool {
        let is_new = self.0.get(&request).is_none_or(|(known, _)| *known < crashes);
        if is_new {
            self.0.insert(request, (crashes, now));
        }
        is_new
    }

    /// Forgets what is older than `life`.
    pub fn forget(&mut self, life: Duration, now: Moment) {
        self.0.retain(|_, (_, at)| now.since(*at) < life);
    }

    /// The contents.
    pub fn iter(&self) -> impl Iterator<Item = RequestFingerprint> {
        self.0.keys().copied()
    }
}
