//! History of this daemon's own reports. It is used to subtract this daemon's share from the sums
//! that an aggregator sends back.

use super::flow_totals::{FlowTotals, flow_deltas, totals_of};
use super::{FlowDelta, LocalState, WaitingRow, WorkRow};
use std::collections::VecDeque;

/// Number of reports kept: 4 s at 15 reports per second, far longer than the age of any sum.
const MAX_REPORTS: usize = 64;

#[derive(Clone, Debug)]
struct SentReport {
    sequence: u64,
    totals: FlowTotals,
    work: Vec<WorkRow>,
    waiting: Vec<WaitingRow>,
}

/// The most recent reports of this daemon, and the one that the aggregator's sums currently
/// include.
#[derive(Clone, Debug, Default)]
pub struct ReportHistory {
    reports: VecDeque<SentReport>,
    included: Option<SentReport>,
    /// This daemon's counters that the sums of any aggregator have included.
    counted: FlowTotals,
}

impl ReportHistory {
    pub fn push(&mut self, sequence: u64, local: &LocalState) {
        let report = SentReport {
            sequence,
            totals: totals_of(&local.flows),
            work: local.work.clone(),
            waiting: local.waiting.clone(),
        };
        self.reports.push_back(report);
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
    }

    /// Notes that the aggregator's sums include the report `sequence`, and returns the increase of
    /// this daemon's own counters since those that were included before.
    pub fn mark_included(&mut self, sequence: u64) -> Vec<FlowDelta> {
        let is_new = self.included.as_ref().is_none_or(|report| report.sequence < sequence);
        let Some(idx) = self.reports.iter().position(|report| report.sequence == sequence) else {
            return Vec::new();
        };
        if !is_new {
            return Vec::new();
        }
        let report = self.reports[idx].clone();
        let before = std::mem::replace(&mut self.counted, report.totals.clone());
        self.included = Some(report);
        flow_deltas(&before, &self.counted)
    }

    /// Notes that this daemon has included its own counters in its sums as an aggregator.
    pub fn mark_counted(&mut self, totals: FlowTotals) {
        self.counted = totals;
    }

    /// This daemon's counters that the sums of any aggregator have included.
    pub fn counted(&self) -> &FlowTotals {
        &self.counted
    }

    /// Forgets the included report, since the sums of a new aggregator include none of this daemon
    /// yet.
    pub fn clear_included(&mut self) {
        self.included = None;
    }

    /// Returns true once the aggregator's sums include a report of this daemon.
    pub fn is_included(&self) -> bool {
        self.included.is_some()
    }

    /// This daemon's waiting requests, as included in the aggregator's sums.
    pub fn included_waiting(&self) -> &[WaitingRow] {
        self.included.as_ref().map_or(&[], |report| &report.waiting)
    }

    /// This daemon's requests at upstreams, as included in the aggregator's sums.
    pub fn included_work(&self) -> &[WorkRow] {
        self.included.as_ref().map_or(&[], |report| &report.work)
    }
}
