//! The count of an aggregator: when it began, what the first messages of its sources are counted
//! from, and an estimate for the daemons that it has not heard of yet.

use super::{FleetState, LIVENESS_TIMEOUT, REMOVAL_TIMEOUT};
use crate::fleet_state::flow_totals::FlowTotals;
use crate::fleet_state::{FlowBaseline, FlowDelta, GroupSum, OrganisationHash, RowRotation};
use crate::policy::Moment;
use crate::table::DaemonName;
use std::collections::BTreeSet;
use std::time::Duration;

/// A count that began when its daemon became an aggregator.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnCount {
    /// Number of the count, which increases within a process start.
    pub number: u64,
    pub began: Moment,
    /// The time up to which the usage of daemons not yet heard of has been estimated.
    estimated_until: Moment,
}

/// The first message of a source of counters, as it was counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FirstCount {
    pub source: DaemonName,
    /// What sent the message: a member, another aggregator, or this daemon's own aggregator.
    pub level: &'static str,
    /// Name of the baseline.
    pub baseline: &'static str,
    /// Tokens counted with it, of all organisations.
    pub tokens: i64,
}

impl FleetState {
    /// Begins a count unless one is under way. Its counters start at zero, and those of an earlier
    /// one are not sent again. What other aggregators counted since they were last heard has reached
    /// this daemon through its own aggregator, so they are forgotten.
    pub(super) fn begin_count(&mut self, now: Moment) {
        if self.own_count.is_some() {
            return;
        }
        self.group_flows = FlowTotals::new();
        self.group_rows = RowRotation::default();
        let is_live = |last_heard: Moment| now.since(last_heard) < LIVENESS_TIMEOUT;
        self.aggregators.retain(|_, peer| is_live(peer.last_heard));
        self.peer_flows.retain(|_, last_heard| is_live(last_heard));
        let number = self.sequence;
        self.own_count = Some(OwnCount { number, began: now, estimated_until: now });
    }

    /// Returns what the first sum of another aggregator is counted from. If it began to count after
    /// this one, all of it is new. A source that has been counting for longer may have been removed
    /// here since it was last heard.
    pub(super) fn sum_baseline(&self, sum: &GroupSum, now: Moment) -> FlowBaseline<'static> {
        let counting = Duration::from_millis(u64::from(sum.counting_ms));
        let own = self.own_count.map_or(Duration::ZERO, |count| now.since(count.began));
        match counting < own.min(REMOVAL_TIMEOUT) {
            true => FlowBaseline::Zero,
            false => FlowBaseline::OwnValues,
        }
    }

    /// Estimates what the daemons admit that no known aggregator covers yet, at an equal share of the
    /// limits for each. An aggregator that begins to count learns of the others one by one.
    pub(super) fn estimate_uncovered(
        &mut self,
        limit_rates: &[(OrganisationHash, f64)],
        now: Moment,
    ) {
        self.end_estimate_of_aggregator(limit_rates, now);
        let Some(count) = &mut self.own_count else { return };
        let seconds = now.since(count.estimated_until).as_secs_f64();
        count.estimated_until = now;
        let share = self.uncovered_share();
        let deltas = limit_rates.iter().map(|(organisation, limit)| FlowDelta {
            organisation: *organisation,
            taken: (limit * share * seconds) as i64,
            asked: 0,
        });
        let deltas: Vec<FlowDelta> = deltas.filter(|delta| delta.taken != 0).collect();
        self.add_deltas(&deltas, (false, false), now);
    }

    /// Adds the last estimate for the aggregator that this daemon followed before.
    fn end_estimate_of_aggregator(&mut self, limit_rates: &[(OrganisationHash, f64)], now: Moment) {
        self.estimate_silent_aggregator(limit_rates, now);
        self.summary_flows = Default::default();
    }

    /// The fraction of the fleet's daemons that neither report here nor are covered by the sums of
    /// a known aggregator.
    fn uncovered_share(&self) -> f64 {
        let daemons = self.layout.addresses().len();
        let own = std::iter::once(self.own_hash());
        let members = self.members.values().map(|member| member.hash);
        let behind = self.aggregators.values().flat_map(|peer| peer.members.iter().copied());
        let known: BTreeSet<u32> = own.chain(members).chain(behind).collect();
        daemons.saturating_sub(known.len()) as f64 / daemons.max(1) as f64
    }

    /// Notes the first message of a source.
    pub(super) fn note_first_count(
        &mut self,
        source: &DaemonName,
        (level, baseline): (&'static str, FlowBaseline<'_>),
        deltas: &[FlowDelta],
    ) {
        let tokens = deltas.iter().map(|delta| delta.taken).sum();
        let first = FirstCount { source: source.clone(), level, baseline: baseline.name(), tokens };
        self.first_counts.push(first);
    }

    /// Removes and returns the first messages of sources since the last call.
    pub fn drain_first_counts(&mut self) -> Vec<FirstCount> {
        std::mem::take(&mut self.first_counts)
    }
}
