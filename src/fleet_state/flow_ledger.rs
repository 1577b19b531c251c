//! Cumulative counters of several sources, and estimates for sources that have fallen silent.

use super::flow_totals::{FlowTotals, totals_of};
use super::{FlowRates, FlowRow, MessageRefusal, OrganisationHash};
use crate::policy::Moment;
use crate::table::DaemonName;
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

/// If a silent source turns out to have admitted less than was estimated, the excess is refunded,
/// up to this many seconds' worth. After a longer silence the bucket has refilled in the meantime.
const MAX_REFUND_SECONDS: f64 = 2.0;
/// A rate in tokens per second below which a source's share is not derived from it.
const MIN_SHARE_RATE: f64 = 1.0;

/// Tokens that a source admitted and that were requested of it since its previous message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowDelta {
    pub organisation: OrganisationHash,
    /// Tokens admitted; negative if tokens were refunded.
    pub taken: i64,
    /// Tokens requested, including refused ones.
    pub asked: u64,
}

/// Identifies a message of a source by process start, count and sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceStamp {
    /// The number of the source's process start.
    pub boot: u64,
    /// The number of the count; the source's counters begin at zero with each.
    pub count: u64,
    /// The sequence number of the message, which increases within a process start.
    pub sequence: u64,
}

/// What the first message of a source is counted from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlowBaseline<'a> {
    /// Its own values: what they contain has been counted elsewhere, or before this daemon counted.
    OwnValues,
    /// Zero: the source began to count after this daemon, so all of it is new.
    Zero,
    /// The values that the fleet's sums included before; rows left out are zero.
    Counted(&'a [FlowRow]),
}

/// The last reported state of one source.
#[derive(Clone, Debug)]
struct FlowSource {
    stamp: SourceStamp,
    totals: FlowTotals,
    rates: FlowRates,
    last_heard: Moment,
    silence: Option<SilentPeriod>,
    /// True if rows that were never received are known to be zero. Otherwise their baseline is
    /// unknown and the first value received becomes the baseline.
    has_zero_baseline: bool,
    /// True if its daemons are counted elsewhere.
    is_retired: bool,
}

/// The state of a source that has exceeded the silence timeout.
#[derive(Clone, Debug)]
struct SilentPeriod {
    /// The source's share of all admitted tokens when it was last heard, by organisation.
    shares: BTreeMap<OrganisationHash, f64>,
    /// The time up to which estimates have been added.
    estimated_until: Moment,
    estimated: BTreeMap<OrganisationHash, EstimatedTokens>,
}

/// Tokens estimated for a silent source.
#[derive(Clone, Copy, Debug, Default)]
struct EstimatedTokens {
    sum: f64,
    /// The part of `sum` that may be refunded.
    refundable: f64,
}

/// Counters by the daemon that reports them.
///
/// When a source is heard for the first time, a [`FlowBaseline`] says what it is counted from. A
/// source that has restarted counts from zero.
#[derive(Clone, Debug, Default)]
pub struct FlowLedger {
    sources: BTreeMap<DaemonName, FlowSource>,
}

impl FlowBaseline<'_> {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            FlowBaseline::OwnValues => "own-values",
            FlowBaseline::Zero => "zero",
            FlowBaseline::Counted(_) => "counted",
        }
    }
}

impl FlowLedger {
    /// Applies a message of a source whose first one is counted from its own values.
    pub fn apply(
        &mut self,
        daemon: &DaemonName,
        stamp: SourceStamp,
        rows: (&[FlowRow], bool),
        now: Moment,
    ) -> Result<Vec<FlowDelta>, MessageRefusal> {
        self.apply_from(daemon, stamp, rows, FlowBaseline::OwnValues, now)
    }

    /// Applies a message and returns the increases, unless the message was overtaken or a counter
    /// has fallen. Rows left out have not changed, or are zero if `is_whole`. `baseline` is what
    /// the first message of a source is counted from.
    pub fn apply_from(
        &mut self,
        daemon: &DaemonName,
        stamp: SourceStamp,
        (rows, is_whole): (&[FlowRow], bool),
        baseline: FlowBaseline<'_>,
        now: Moment,
    ) -> Result<Vec<FlowDelta>, MessageRefusal> {
        let source = match self.sources.entry(daemon.clone()) {
            Entry::Vacant(entry) => entry.insert(FlowSource::new(stamp, rows, baseline, now)),
            Entry::Occupied(entry) => {
                let source = entry.into_mut();
                source.check(stamp, rows)?;
                source.begin_message(stamp, now);
                source
            }
        };
        if let FlowBaseline::Counted(counted) = baseline {
            source.raise_totals(counted);
        }
        let silence = source.silence.take();
        let deltas = source.deltas(rows, silence, now);
        source.has_zero_baseline |= is_whole;
        Ok(deltas)
    }

    /// Estimates the tokens that silent sources have admitted since the previous call.
    /// `limit_rates` are the rates that the limits allow. Each source is assumed to use its own
    /// share of the limit, so that partitions of a fleet still keep to the limit between them.
    /// `fleet` holds the rates of the whole fleet; a source without a known rate has the share
    /// `equal_share`. A source counts as silent once it has not been heard for the duration
    /// `timeout`.
    pub fn estimate_silent(
        &mut self,
        limit_rates: &[(OrganisationHash, f64)],
        fleet: &FlowRates,
        (equal_share, timeout): (f64, Duration),
        now: Moment,
    ) -> Vec<FlowDelta> {
        let mut deltas = Vec::new();
        for source in self.sources.values_mut() {
            if source.is_retired || now.since(source.last_heard) < timeout {
                continue;
            }
            source.begin_silence(limit_rates, fleet, equal_share, now);
            deltas.extend(source.estimate(limit_rates, now));
        }
        deltas
    }

    /// Takes note of a message whose counters are not applied, unless it was overtaken.
    pub fn note_message(
        &mut self,
        daemon: &DaemonName,
        stamp: SourceStamp,
    ) -> Result<(), MessageRefusal> {
        let Some(source) = self.sources.get_mut(daemon) else { return Ok(()) };
        source.check(stamp, &[])?;
        source.stamp = stamp;
        Ok(())
    }

    /// Ends the estimates for a source whose daemons are counted elsewhere from now on. Its totals are
    /// kept, in case it is heard again. Returns the refunds of the fraction `counted_elsewhere` of
    /// what was estimated for its silence.
    pub fn retire(&mut self, daemon: &DaemonName, counted_elsewhere: f64) -> Vec<FlowDelta> {
        let Some(source) = self.sources.get_mut(daemon) else { return Vec::new() };
        source.is_retired = true;
        let silence = source.silence.take();
        silence.map_or_else(Vec::new, |silence| silence.refunds(counted_elsewhere))
    }

    /// Returns true if a message of the source has been applied.
    pub fn knows(&self, daemon: &DaemonName) -> bool {
        self.sources.contains_key(daemon)
    }

    /// Keeps the sources for which `keep` returns true, given the daemon and when it was last
    /// heard.
    pub fn retain(&mut self, keep: impl Fn(&DaemonName, Moment) -> bool) {
        self.sources.retain(|daemon, source| keep(daemon, source.last_heard));
    }

    /// Returns the stamp of the last message applied from a source.
    pub fn stamp(&self, daemon: &DaemonName) -> Option<SourceStamp> {
        self.sources.get(daemon).map(|source| source.stamp)
    }
}

impl SilentPeriod {
    /// Refunds of a fraction of the estimates, as far as they may be refunded.
    fn refunds(self, fraction: f64) -> Vec<FlowDelta> {
        let refunds = self.estimated.into_iter().map(|(organisation, estimated)| FlowDelta {
            organisation,
            taken: -((estimated.refundable * fraction) as i64),
            asked: 0,
        });
        refunds.filter(|delta| delta.taken != 0).collect()
    }
}

impl FlowSource {
    fn new(stamp: SourceStamp, rows: &[FlowRow], baseline: FlowBaseline<'_>, now: Moment) -> Self {
        let totals = match baseline {
            FlowBaseline::OwnValues => totals_of(rows),
            FlowBaseline::Zero | FlowBaseline::Counted(_) => FlowTotals::new(),
        };
        FlowSource {
            stamp,
            totals,
            rates: FlowRates::default(),
            last_heard: now,
            silence: None,
            has_zero_baseline: baseline != FlowBaseline::OwnValues,
            is_retired: false,
        }
    }

    /// Refuses a message that was overtaken, or whose counters have fallen.
    fn check(&self, stamp: SourceStamp, rows: &[FlowRow]) -> Result<(), MessageRefusal> {
        if self.stamp.boot == stamp.boot && self.stamp.sequence >= stamp.sequence {
            return Err(MessageRefusal::Overtaken);
        }
        let has_fallen = |row: &FlowRow| self.asked(row.organisation) > row.asked;
        match self.is_same_count(stamp) && rows.iter().any(has_fallen) {
            true => Err(MessageRefusal::FallingCounter),
            false => Ok(()),
        }
    }

    fn is_same_count(&self, stamp: SourceStamp) -> bool {
        (self.stamp.boot, self.stamp.count) == (stamp.boot, stamp.count)
    }

    fn begin_message(&mut self, stamp: SourceStamp, now: Moment) {
        if !self.is_same_count(stamp) {
            self.totals.clear();
            self.has_zero_baseline = true;
        }
        self.stamp = stamp;
        self.last_heard = now;
        self.is_retired = false;
    }

    /// Raises the totals to those that were counted elsewhere.
    fn raise_totals(&mut self, counted: &[FlowRow]) {
        for row in counted {
            if row.asked > self.asked(row.organisation) {
                self.totals.insert(row.organisation, (row.taken, row.asked));
            }
        }
    }

    fn asked(&self, organisation: OrganisationHash) -> u64 {
        self.totals.get(&organisation).map_or(0, |(_, asked)| *asked)
    }

    fn deltas(
        &mut self,
        rows: &[FlowRow],
        silence: Option<SilentPeriod>,
        now: Moment,
    ) -> Vec<FlowDelta> {
        let mut estimated = silence.map(|silence| silence.estimated).unwrap_or_default();
        let mut deltas = Vec::new();
        for row in rows {
            let new = (row.taken, row.asked);
            let baseline = if self.has_zero_baseline { (0, 0) } else { new };
            let before = self.totals.insert(row.organisation, new).unwrap_or(baseline);
            let taken = row.taken - before.0;
            self.rates.add(row.organisation, taken, now);
            let estimated = estimated.remove(&row.organisation).unwrap_or_default();
            let taken = (taken - estimated.sum as i64).max(-(estimated.refundable as i64));
            let asked = row.asked.saturating_sub(before.1);
            if taken != 0 || asked != 0 {
                deltas.push(FlowDelta { organisation: row.organisation, taken, asked });
            }
        }
        // The message has no row for these organisations, so the source admitted nothing of theirs.
        let rest = estimated.into_iter().map(|(organisation, estimated)| FlowDelta {
            organisation,
            taken: -(estimated.refundable as i64),
            asked: 0,
        });
        deltas.extend(rest.filter(|delta| delta.taken != 0));
        deltas
    }

    fn begin_silence(
        &mut self,
        limit_rates: &[(OrganisationHash, f64)],
        fleet: &FlowRates,
        equal_share: f64,
        now: Moment,
    ) {
        if self.silence.is_some() {
            return;
        }
        let share = |organisation: OrganisationHash| {
            let whole = fleet.rate(organisation, now);
            let own = self.rates.rate(organisation, self.last_heard);
            if whole.max(own) > MIN_SHARE_RATE {
                (own / whole.max(own)).min(1.0)
            } else {
                equal_share
            }
        };
        let shares =
            limit_rates.iter().map(|(organisation, _)| (*organisation, share(*organisation)));
        let shares = shares.collect();
        self.silence = Some(SilentPeriod {
            shares,
            estimated_until: self.last_heard,
            estimated: BTreeMap::new(),
        });
    }

    fn estimate(&mut self, limit_rates: &[(OrganisationHash, f64)], now: Moment) -> Vec<FlowDelta> {
        let Some(silence) = &mut self.silence else { return Vec::new() };
        let seconds = now.since(silence.estimated_until).as_secs_f64();
        silence.estimated_until = now;
        let mut deltas = Vec::new();
        for (organisation, limit) in limit_rates {
            let rate = limit * silence.shares.get(organisation).copied().unwrap_or(0.0);
            let tokens = rate * seconds;
            let estimated = silence.estimated.entry(*organisation).or_default();
            let before = estimated.sum as i64;
            estimated.sum += tokens;
            estimated.refundable = estimated.sum.min(rate * MAX_REFUND_SECONDS);
            let taken = estimated.sum as i64 - before;
            if taken != 0 {
                deltas.push(FlowDelta { organisation: *organisation, taken, asked: 0 });
            }
        }
        deltas
    }
}
