//! Cumulative counters of several sources, and what is assumed of those that are silent.

use super::flow_totals::{FlowTotals, totals_of};
use super::{FlowRates, FlowRow, MessageRefusal, OrganisationHash};
use crate::policy::Moment;
use crate::table::DaemonName;
use std::collections::BTreeMap;
use std::time::Duration;

/// What was assumed of a silent source beyond what it turns out to have let through is given back, up to this many seconds'
/// worth: after a longer silence the bucket has been refilled meanwhile.
const REFUND_SECONDS: f64 = 2.0;
/// A rate below this, in tokens a second, says nothing of a source's part.
const LEAST_RATE: f64 = 1.0;

/// Tokens that a source let through, or was asked for, since its last message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowDelta {
    /// The organisation.
    pub organisation: OrganisationHash,
    /// Tokens let through; below nought where tokens are given back.
    pub taken: i64,
    /// Tokens asked for.
    pub asked: u64,
}

/// Which message of which start of a source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceStamp {
    /// The number of its start.
    pub boot: u64,
    /// The number of the message.
    pub sequence: u64,
}

/// What one source has reported.
#[derive(Clone, Debug)]
struct FlowSource {
    stamp: SourceStamp,
    totals: FlowTotals,
    rates: FlowRates,
    heard: Moment,
    silence: Option<SourceSilence>,
    /// True if rows that were never heard stand at nought; else nobody knows where they began.
    is_complete: bool,
}

/// A source that has not been heard for too long.
#[derive(Clone, Debug)]
struct SourceSilence {
    /// Its part of all that was let through when it was last heard, by organisation.
    parts: BTreeMap<OrganisationHash, f64>,
    /// Until when its silence has been accounted for.
    until: Moment,
    assumed: BTreeMap<OrganisationHash, AssumedTokens>,
}

/// Tokens assumed of a silent source.
#[derive(Clone, Copy, Debug, Default)]
struct AssumedTokens {
    sum: f64,
    /// Those that may be given back.
    refundable: f64,
}

/// Sources by the daemons that speak for them.
///
/// A source that is heard for the first time has been counted by somebody else until then, so its counters are where
/// counting begins. One that has started anew counts from nought.
#[derive(Clone, Debug, Default)]
pub struct FlowLedger {
    sources: BTreeMap<DaemonName, FlowSource>,
}

impl FlowLedger {
    /// Takes a message, unless it was overtaken or a counter has fallen. Rows that are left out have not changed, or stand at
    /// nought where the message `is_whole`.
    pub fn take(
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

    /// What silent sources may have let through since this was asked last, given the rates that the limits let through. Each
    /// is taken to use its part of the whole, so that parts of a fleet that hear nothing of each other still keep to a
    /// limit between them. `fleet` are the rates of all; a source of which none is known has an `equal` part.
    pub fn assume_silent(
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

    /// Forgets a source.
    pub fn remove(&mut self, daemon: &DaemonName) {
        self.sources.remove(daemon);
    }

    /// Forgets the sources for which `keep` is false; it gets when each was heard last.
    pub fn retain(&mut self, keep: impl Fn(&DaemonName, Moment) -> bool) {
        self.sources.retain(|daemon, source| keep(daemon, source.heard));
    }

    /// The last message that was taken of a source.
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
        // Organisations of which it says nothing: it let nothing of theirs through.
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
