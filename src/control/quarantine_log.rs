//! The quarantine as stored by the voters. Daemons keep theirs in memory only, so it would be lost
//! if all of them restarted at once.

use crate::policy::Moment;
use crate::quarantine::{
    HeldRequest, RequestFingerprint, SuspectRecord, SuspectRow, held_suspects,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of records, which take about 200 KB in a snapshot.
const MAX_RECORDS: usize = 1_024;

/// A quarantined request content or prompt part, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// Its fingerprint, as in logs.
    pub fingerprint: String,
    /// What the fingerprint identifies: `content` or `part`.
    #[serde(default)]
    pub kind: String,
    /// Number of upstreams that crashed while running it.
    pub upstreams_ended: usize,
    /// Milliseconds since the last crash.
    pub last_ended_ms: u64,
    /// Milliseconds until the quarantine expires.
    pub held_for_ms: u64,
}

impl From<HeldRequest> for QuarantineRow {
    fn from(held: HeldRequest) -> Self {
        QuarantineRow {
            fingerprint: held.request.to_string(),
            kind: held.request.kind().to_owned(),
            upstreams_ended: held.crashes,
            last_ended_ms: held.last_crash.as_millis() as u64,
            held_for_ms: held.held_for.as_millis() as u64,
        }
    }
}

/// Crash records by request content. Times are wall-clock times, since they outlive every process;
/// they are stamped by the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuarantineLog {
    records: BTreeMap<RequestFingerprint, SuspectRecord>,
}

/// Converts a wall-clock time in milliseconds to microseconds since the Unix epoch.
fn wall_moment(at_ms: u64) -> Moment {
    Moment(at_ms.saturating_mul(1_000))
}

impl QuarantineLog {
    /// Returns true if a row is news: it has more crashes than the stored record, fewer companions, or
    /// says that the suspect was cleared.
    pub fn is_news(&self, row: &SuspectRow) -> bool {
        let record = self.records.get(&row.request);
        let known = record.map_or(0, SuspectRecord::crashes);
        let companions = record.map_or(0, |record| record.companions().len());
        let is_cleared = row.void_age_ms.is_some() && row.crashes.len() < known;
        let is_narrowed = !row.crashes.is_empty() && row.companions.len() < companions;
        is_cleared || row.crashes.len() > known || is_narrowed
    }

    /// Merges rows that a daemon reported at the wall-clock time `at_ms`.
    pub fn merge(&mut self, rows: &[SuspectRow], at_ms: u64) {
        let now = wall_moment(at_ms);
        for row in rows {
            self.records.entry(row.request).or_default().merge(row, now);
        }
        if self.records.len() > MAX_RECORDS {
            self.drop_excess(now);
        }
    }

    fn drop_excess(&mut self, now: Moment) {
        self.records.retain(|key, record| !record.is_expired(*key, now));
        let mut ranked: Vec<(usize, RequestFingerprint)> =
            self.records.iter().map(|(request, record)| (record.crashes(), *request)).collect();
        ranked.sort_unstable();
        let excess = ranked.len().saturating_sub(MAX_RECORDS);
        for (_, request) in ranked.into_iter().take(excess) {
            self.records.remove(&request);
        }
    }

    /// Releases a content from quarantine by an operator's order.
    pub fn release(&mut self, request: RequestFingerprint, at_ms: u64) {
        self.records.entry(request).or_default().void_crashes(wall_moment(at_ms).into());
    }

    /// Returns the rows to send to daemons: all unexpired records, or only the one of `request`.
    pub fn rows(&self, request: Option<RequestFingerprint>, now_ms: u64) -> Vec<SuspectRow> {
        let now = wall_moment(now_ms);
        let is_chosen = |known: &RequestFingerprint| request.is_none_or(|wanted| wanted == *known);
        let chosen = self.records.iter().filter(|(known, _)| is_chosen(known));
        let current = chosen.filter(|(key, record)| !record.is_expired(**key, now));
        current.map(|(request, record)| record.row(*request, now)).collect()
    }

    /// Returns the quarantined contents, those with the longest remaining time first.
    pub fn held(&self, now_ms: u64) -> Vec<QuarantineRow> {
        let now = wall_moment(now_ms);
        let suspects = held_suspects(self.records.iter(), now);
        let mut held: Vec<HeldRequest> =
            suspects.iter().filter_map(|(key, record)| record.held(*key, now)).collect();
        held.sort_by_key(|held| std::cmp::Reverse(held.held_for));
        held.into_iter().map(QuarantineRow::from).collect()
    }
}

/// Contents that were recently proposed for the log or released, with their numbers of crashes.
#[derive(Clone, Debug, Default)]
pub struct RecentRequests(BTreeMap<RequestFingerprint, (usize, Moment)>);

impl RecentRequests {
    /// Records a content with its number of crashes; returns false if at least as many are already
    /// recorded.
    pub fn insert(&mut self, request: RequestFingerprint, crashes: usize, now: Moment) -> bool {
        let is_new = self.0.get(&request).is_none_or(|(known, _)| *known < crashes);
        if is_new {
            self.0.insert(request, (crashes, now));
        }
        is_new
    }

    /// Removes entries older than `max_age`.
    pub fn expire(&mut self, max_age: Duration, now: Moment) {
        self.0.retain(|_, (_, at)| now.since(*at) < max_age);
    }

    /// Iterates over the contents.
    pub fn iter(&self) -> impl Iterator<Item = RequestFingerprint> {
        self.0.keys().copied()
    }
}
