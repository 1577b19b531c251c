//! Requests that other daemons have at upstreams, as far as known.

use super::WorkRow;
use crate::policy::{Moment, PeerWork, UpstreamHash};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// Time to live of a row of another group; requests seldom run longer. At 40 rows per message the
/// rows of 1,000 upstreams are all sent within it. With more upstreams some rows are missing, which
/// occasionally leads to a worse choice of upstream.
const OTHER_GROUP_ROW_TTL: Duration = Duration::from_millis(1_500);
/// Time to live of a measured upstream speed. Upstreams come and go, so old entries have to expire.
const SPEED_TTL: Duration = Duration::from_secs(60);
/// Maximum number of rows of other groups in one message, about 500 bytes.
const MAX_OTHER_GROUP_ROWS: usize = 40;

pub fn add_work(
    sums: &mut BTreeMap<UpstreamHash, PeerWork>,
    rows: impl IntoIterator<Item = WorkRow>,
) {
    for (upstream, work) in rows {
        let sum = sums.entry(upstream).or_default();
        sum.requests += work.requests;
        sum.unread_tokens += work.unread_tokens;
        sum.is_down |= work.is_down;
        sum.is_leaving |= work.is_leaving;
        sum.stated_rate = sum.stated_rate.merge(work.stated_rate);
        sum.gap_micros = if work.gap_micros > 0 { work.gap_micros } else { sum.gap_micros };
    }
}

pub fn subtract_work(sums: &mut BTreeMap<UpstreamHash, PeerWork>, rows: &[WorkRow]) {
    for (upstream, work) in rows {
        let Some(sum) = sums.get_mut(upstream) else { continue };
        sum.requests = sum.requests.saturating_sub(work.requests);
        sum.unread_tokens = sum.unread_tokens.saturating_sub(work.unread_tokens);
    }
}

/// Adds rows as hints. They come from other groups, so they are too old to count against an
/// upstream's places.
pub fn add_hints(
    sums: &mut BTreeMap<UpstreamHash, PeerWork>,
    rows: impl IntoIterator<Item = WorkRow>,
) {
    for (upstream, work) in rows {
        let sum = sums.entry(upstream).or_default();
        sum.hinted += work.requests;
        sum.is_leaving |= work.is_leaving;
        sum.stated_rate = sum.stated_rate.merge(work.stated_rate);
        sum.unread_tokens += work.unread_tokens;
    }
}

/// Rows that arrive a few at a time and expire after [`OTHER_GROUP_ROW_TTL`].
#[derive(Clone, Debug, Default)]
pub struct ExpiringRows {
    rows: BTreeMap<UpstreamHash, (PeerWork, Moment)>,
}

impl ExpiringRows {
    /// Inserts rows. If `is_whole`, they replace all earlier rows.
    pub fn insert(&mut self, rows: &[WorkRow], is_whole: bool, now: Moment) {
        if is_whole {
            self.rows.clear();
        }
        self.rows.extend(rows.iter().map(|(upstream, work)| (*upstream, (*work, now))));
    }

    /// Removes expired rows.
    pub fn remove_expired(&mut self, now: Moment) {
        self.rows.retain(|_, (_, at)| now.since(*at) < OTHER_GROUP_ROW_TTL);
    }

    /// Returns the rows that have not been removed.
    pub fn rows(&self) -> impl Iterator<Item = WorkRow> {
        self.rows.iter().map(|(upstream, (work, _))| (*upstream, *work))
    }
}

/// Rows of other groups, and the measured speed of each upstream.
#[derive(Clone, Debug, Default)]
pub struct WorkTable {
    other_groups: ExpiringRows,
    speeds: BTreeMap<UpstreamHash, (u32, Moment)>,
}

/// Position of a round-robin over rows that are sent a few at a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct RowCursor {
    last_sent: Option<UpstreamHash>,
}

impl RowCursor {
    /// Returns the next rows of `sums`, least recently sent first.
    pub fn next_rows(&mut self, sums: &BTreeMap<UpstreamHash, PeerWork>) -> Vec<WorkRow> {
        let start = self.last_sent.map_or(Bound::Unbounded, Bound::Excluded);
        let later = sums.range((start, Bound::Unbounded));
        let selected = later.chain(sums.iter()).take(MAX_OTHER_GROUP_ROWS.min(sums.len()));
        let selected: Vec<WorkRow> = selected.map(|(upstream, work)| (*upstream, *work)).collect();
        self.last_sent = selected.last().map(|(upstream, _)| *upstream);
        selected
    }
}

impl WorkTable {
    /// Inserts rows of other groups and records their speeds.
    pub fn insert(&mut self, rows: &[WorkRow], now: Moment) {
        self.other_groups.insert(rows, false, now);
        self.record_speeds(rows, now);
    }

    /// Records the speeds of `rows` only.
    pub fn record_speeds(&mut self, rows: &[WorkRow], now: Moment) {
        let measured = rows.iter().filter(|(_, work)| work.gap_micros > 0);
        self.speeds.extend(measured.map(|(upstream, work)| (*upstream, (work.gap_micros, now))));
    }

    /// Removes expired rows and speeds.
    pub fn remove_expired(&mut self, now: Moment) {
        self.other_groups.remove_expired(now);
        self.speeds.retain(|_, (_, at)| now.since(*at) < SPEED_TTL);
    }

    /// Returns the rows of other groups.
    pub fn rows(&self) -> impl Iterator<Item = WorkRow> {
        self.other_groups.rows()
    }

    /// Sets the known speeds in `sums`.
    pub fn add_speeds(&self, sums: &mut BTreeMap<UpstreamHash, PeerWork>) {
        for (upstream, (gap_micros, _)) in &self.speeds {
            sums.entry(*upstream).or_default().gap_micros = *gap_micros;
        }
    }
}
