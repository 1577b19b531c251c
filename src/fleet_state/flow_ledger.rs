//! Cumulative counters of several sources, and estimates for sources that have fallen silent.

use super::flow_totals::{FlowTotals, totals_of};
use super::{FlowRates, FlowRow, MessageRefusal, OrganisationHash};
use crate::policy::Moment;
use crate::table::DaemonName;
use std::collections::BTreeMap;
use std::time::Duration;

/// If a silent source turns out to have admitted less than was estimated, the excess is refunded,
/// up to this many seconds' worth. After a longer silence the bucket has refilled in the meantime.
const REFUND_SECONDS: f64 = 2.0;
/// A rate in tokens per second below which a source's share is not derived from it.
const LEAST_RATE: f64 = 1.0;

/// Tokens that a source admitted and that were requested of it since its previous message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowDelta {
    pub organisation: OrganisationHash,
    /// Tokens admitted; negative if tokens were refunded.
    pub taken: i64,
    /// Tokens requested, including refused ones.
    pub asked: u64,
}

/// Identifies a message of a source by process start and sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceStamp {
    /// The number of the source's process start.
    pub boot: u64,
    /// The sequence number of the message.
    pub sequence: u64,
}

/// The last reported state of one source.
#[derive(Clone, Debug)]
struct FlowSource {
    stamp: SourceStamp,
    totals: FlowTotals,
    rates: FlowRates,
    heard: Moment,
    silence: Option<SourceSilence>,
    /// True if rows that were never received are known to be zero. Otherwise their baseline is
    /// unknown and the first value received becomes the baseline.
    is_complete: bool,
}

/// The state of a source that has exceeded the silence timeout.
#[derive(Clone, Debug)]
struct SourceSilence {
    /// The source's share of all admitted tokens when it was last heard, by organisation.
    parts: BTreeMap<OrganisationHash, f64>,
    /// The time up to which estimates have been added.
    until: Moment,
    assumed: BTreeMap<OrganisationHash, AssumedTokens>,
}

/// Tokens estimated for a silent source.
#[derive(Clone, Copy, Debug, Default)]
struct AssumedTokens {
    sum: f64,
    /// The part of `sum` that may be refunded.
    refundable: f64,
}

/// Counters by the daemon that reports them.
///
/// When a source is heard for the first time, its tokens so far have already been counted
/// elsewhere, so its counters are the baseline. A source that has restarted counts from zero.
#[derive(Clone, Debug, Default)]
pub struct FlowLedger {
    sources: BTreeMap<DaemonName, FlowSource>,
}

impl FlowLedger {
    /// Applies a message and returns the increases, unless the message was overtaken or a counter
    /// has fallen. Rows left out have not changed, or are zero if `is_whole`.
    pub fn apply(
        &mut self,
        daemon: &DaemonName,
        stamp: SourceStamp,
        (rows, is_whole): (&[FlowRow], bool),
        now: Moment,
    ) -> Result<Vec<FlowDelta>, MessageRefusal> {
        let Some(source) = self.sources.get_mut(daemon) else {
            let source = FlowSource {
                stamp,
                totals: totals_of(rows),
                rates: FlowRates::default(),
                heard: now,
                silence: None,
                is_complete: is_whole,
            };
            self.sources.insert(daemon.clone(), source);
            return Ok(Vec::new());
        };
        let is_same_start = source.stamp.boot == stamp.boot;
        if is_same_start && source.stamp.sequence >= stamp.sequence {
            return Err(MessageRefusal::Overtaken);
        }
        if is_same_start && rows.iter().any(|row| source.asked(row.organisation) > row.asked) {
            return Err(MessageRefusal::FallingCounter);
        }
        if !is_same_start {
            source.totals.clear();
            source.is_complete = true;
        }
        source.stamp = stamp;
        source.heard = now;
        let silence = source.silence.take();
        let deltas = source.deltas(rows, silence, now);
        source.is_complete |= is_whole;
        Ok(deltas)
    }

    /// Estimates the tokens that silent sources have admitted since the previous call. `limits` are
    /// the rates that the limits allow. Each source is assumed to use its own share of the limit,
    /// so that partitions of a fleet still keep to the limit between them. `fleet` holds the rates
    /// of the whole fleet; a source without a known rate has the share `equal`. A source counts as
    /// silent once it has not been heard for the duration `after`.
    pub fn estimate_silent(
        &mut self,
        limits: &[(OrganisationHash, f64)],
        fleet: &FlowRates,
        (equal, after): (f64, Duration),
        now: Moment,
    ) -> Vec<FlowDelta> {
        let mut deltas = Vec::new();
        for source in self.sources.values_mut() {
            if now.since(source.heard) < after {
                continue;
            }
            source.fall_silent(limits, fleet, equal, now);
            deltas.extend(source.assume(limits, now));
        }
        deltas
    }

    pub fn remove(&mut self, daemon: &DaemonName) {
        self.sources.remove(daemon);
    }

    /// Keeps the sources for which `keep` returns true, given the daemon and when it was last
    /// heard.
    pub fn retain(&mut self, keep: impl Fn(&DaemonName, Moment) -> bool) {
        self.sources.retain(|daemon, source| keep(daemon, source.heard));
    }

    /// Returns the stamp of the last message applied from a source.
    pub fn stamp(&self, daemon: &DaemonName) -> Option<SourceStamp> {
        self.sources.get(daemon).map(|source| source.stamp)
    }
}

impl FlowSource {
    fn asked(&self, organisation: OrganisationHash) -> u64 {
        self.totals.get(&organisation).map_or(0, |(_, asked)| *asked)
    }

    fn deltas(
        &mut self,
        rows: &[FlowRow],
        silence: Option<SourceSilence>,
        now: Moment,
    ) -> Vec<FlowDelta> {
        let mut assumed = silence.map(|silence| silence.assumed).unwrap_or_default();
        let mut deltas = Vec::new();
        for row in rows {
            let new = (row.taken, row.asked);
            let first = if self.is_complete { (0, 0) } else { new };
            let before = self.totals.insert(row.organisation, new).unwrap_or(first);
            let taken = row.taken - before.0;
            self.rates.add(row.organisation, taken, now);
            let assumed = assumed.remove(&row.organisation).unwrap_or_default();
            let taken = (taken - assumed.sum as i64).max(-(assumed.refundable as i64));
            let asked = row.asked.saturating_sub(before.1);
            if taken != 0 || asked != 0 {
                deltas.push(FlowDelta { organisation: row.organisation, taken, asked });
            }
        }
        // The message has no row for these organisations, so the source admitted nothing of theirs.
        let rest = assumed.into_iter().map(|(organisation, assumed)| FlowDelta {
            organisation,
            taken: -(assumed.refundable as i64),
            asked: 0,
        });
        deltas.extend(rest.filter(|delta| delta.taken != 0));
        deltas
    }

    fn fall_silent(
        &mut self,
        limits: &[(OrganisationHash, f64)],
        fleet: &FlowRates,
        equal: f64,
        now: Moment,
    ) {
        if self.silence.is_some() {
            return;
        }
        let part = |organisation: OrganisationHash| {
            let whole = fleet.rate(organisation, now);
            let own = self.rates.rate(organisation, self.heard);
            if whole.max(own) > LEAST_RATE { (own / whole.max(own)).min(1.0) } else { equal }
        };
        let parts = limits.iter().map(|(organisation, _)| (*organisation, part(*organisation)));
        let parts = parts.collect();
        self.silence = Some(SourceSilence { parts, until: self.heard, assumed: BTreeMap::new() });
    }

    fn assume(&mut self, limits: &[(OrganisationHash, f64)], now: Moment) -> Vec<FlowDelta> {
        let Some(silence) = &mut self.silence else { return Vec::new() };
        let seconds = now.since(silence.until).as_secs_f64();
        silence.until = now;
        let mut deltas = Vec::new();
        for (organisation, limit) in limits {
            let rate = limit * silence.parts.get(organisation).copied().unwrap_or(0.0);
            let tokens = rate * seconds;
            let assumed = silence.assumed.entry(*organisation).or_default();
            let before = assumed.sum as i64;
            assumed.sum += tokens;
            assumed.refundable = assumed.sum.min(rate * REFUND_SECONDS);
            let taken = assumed.sum as i64 - before;
            if taken != 0 {
                deltas.push(FlowDelta { organisation: *organisation, taken, asked: 0 });
            }
        }
        deltas
    }
}
