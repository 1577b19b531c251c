//! Requests of the others at upstreams, as far as they are known.

use super::WorkRow;
use crate::policy::{Moment, PeerWork, UpstreamHash};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// A row of another group counts for this long: a request seldom runs longer. At 40 rows a message all rows of 1,000 upstreams
/// come in turn within it; of more upstreams some are not known, which costs a worse choice now and then.
const AWAY_LIFE: Duration = Duration::from_millis(1_500);
/// What was learned of an upstream's speed counts for this long; upstreams come and go.
const SPEED_LIFE: Duration = Duration::from_secs(60);
/// Rows of other groups in one message, at most: near 500 bytes.
const AWAY_ROWS: usize = 40;

/// Adds rows to sums by upstream.
pub fn add_work(
    sums: &mut BTreeMap<UpstreamHash, PeerWork>,
    rows: impl IntoIterator<Item = WorkRow>,
) {
    for (upstream, work) in rows {
        let sum = sums.entry(upstream).or_default();
        sum.requests += work.requests;
        sum.unread_tokens += work.unread_tokens;
        sum.is_down |= work.is_down;
        sum.gap_micros = if work.gap_micros > 0 { work.gap_micros } else { sum.gap_micros };
    }
}

/// Takes a part of sums away again.
pub fn subtract_work(sums: &mut BTreeMap<UpstreamHash, PeerWork>, rows: &[WorkRow]) {
    for (upstream, work) in rows {
        let Some(sum) = sums.get_mut(upstream) else { continue };
        sum.requests = sum.requests.saturating_sub(work.requests);
        sum.unread_tokens = sum.unread_tokens.saturating_sub(work.unread_tokens);
    }
}

/// Adds rows as hints: they are of other groups, so old, and take up no places.
pub fn add_hints(
    sums: &mut BTreeMap<UpstreamHash, PeerWork>,
    rows: impl IntoIterator<Item = WorkRow>,
) {
    for (upstream, work) in rows {
        let sum = sums.entry(upstream).or_default();
        sum.hinted += work.requests;
        sum.unread_tokens += work.unread_tokens;
    }
}

/// Rows that may come a few at a time, each of which counts for [`AWAY_LIFE`].
#[derive(Clone, Debug, Default)]
pub struct TimedRows {
    rows: BTreeMap<UpstreamHash, (PeerWork, Moment)>,
}

impl TimedRows {
    /// Takes rows; without those before if they are all that there are.
    pub fn take(&mut self, rows: &[WorkRow], is_whole: bool, now: Moment) {
        if is_whole {
            self.rows.clear();
        }
        self.rows.extend(rows.iter().map(|(upstream, work)| (*upstream, (*work, now))));
    }

    /// Forgets what is too old.
    pub fn forget(&mut self, now: Moment) {
        self.rows.retain(|_, (_, at)| now.since(*at) < AWAY_LIFE);
    }

    /// The rows.
    pub fn rows(&self) -> impl Iterator<Item = WorkRow> {
        self.rows.iter().map(|(upstream, (work, _))| (*upstream, *work))
    }
}

/// Rows of other groups, and how fast upstreams are.
#[derive(Clone, Debug, Default)]
pub struct WorkTable {
    away: TimedRows,
    speeds: BTreeMap<UpstreamHash, (u32, Moment)>,
}

/// Where the turn stands among rows that are sent some at a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct RowTurn {
    last: Option<UpstreamHash>,
}

impl RowTurn {
    /// Some of `sums`, those that had no turn for the longest first.
    pub fn next_rows(&mut self, sums: &BTreeMap<UpstreamHash, PeerWork>) -> Vec<WorkRow> {
        let start = self.last.map_or(Bound::Unbounded, Bound::Excluded);
        let later = sums.range((start, Bound::Unbounded));
        let chosen = later.chain(sums.iter()).take(AWAY_ROWS.min(sums.len()));
        let chosen: Vec<WorkRow> = chosen.map(|(upstream, work)| (*upstream, *work)).collect();
        self.last = chosen.last().map(|(upstream, _)| *upstream);
        chosen
    }
}

impl WorkTable {
    /// Takes rows of other groups.
    pub fn take(&mut self, rows: &[WorkRow], now: Moment) {
        self.away.take(rows, false, now);
        self.learn_speeds(rows, now);
    }

    /// Learns speeds alone.
    pub fn learn_speeds(&mut self, rows: &[WorkRow], now: Moment) {
        let learned = rows.iter().filter(|(_, work)| work.gap_micros > 0);
        self.speeds.extend(learned.map(|(upstream, work)| (*upstream, (work.gap_micros, now))));
    }

    /// Forgets what is too old.
    pub fn forget(&mut self, now: Moment) {
        self.away.forget(now);
        self.speeds.retain(|_, (_, at)| now.since(*at) < SPEED_LIFE);
    }

    /// The rows of other groups.
    pub fn away(&self) -> impl Iterator<Item = WorkRow> {
        self.away.rows()
    }

    /// Puts the speeds that are known into sums.
    pub fn add_speeds(&self, sums: &mut BTreeMap<UpstreamHash, PeerWork>) {
        for (upstream, (gap_micros, _)) in &self.speeds {
            sums.entry(*upstream).or_default().gap_micros = *gap_micros;
        }
    }
}
