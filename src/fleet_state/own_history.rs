//! What this daemon has reported, message by message: sums that come back hold some of it.

use super::flow_totals::{FlowTotals, differences, totals_of};
use super::{FlowDelta, OwnReading, WaitingRow, WorkRow};
use std::collections::VecDeque;

/// Reports that are remembered: 4 s at 15 a second, far more than a sum is old.
const REMEMBERED: usize = 64;

/// One report.
#[derive(Clone, Debug)]
struct PastReport {
    sequence: u64,
    totals: FlowTotals,
    work: Vec<WorkRow>,
    waiting: Vec<WaitingRow>,
}

/// The last reports of this daemon, and which of them the sums of its aggregator hold.
#[derive(Clone, Debug, Default)]
pub struct OwnHistory {
    reports: VecDeque<PastReport>,
    included: Option<PastReport>,
}

impl OwnHistory {
    /// Remembers a report.
    pub fn push(&mut self, sequence: u64, own: &OwnReading) {
        let report = PastReport {
            sequence,
            totals: totals_of(&own.flows),
            work: own.work.clone(),
            waiting: own.waiting.clone(),
        };
        self.reports.push_back(report);
        if self.reports.len() > REMEMBERED {
            self.reports.pop_front();
        }
    }

    /// Learns that the sums hold the report `sequence`, and gives what they hold more of this daemon than before. The first
    /// time is where counting begins.
    pub fn include(&mut self, sequence: u64) -> Vec<FlowDelta> {
        let is_new = self.included.as_ref().is_none_or(|report| report.sequence < sequence);
        let Some(at) = self.reports.iter().position(|report| report.sequence == sequence) else {
            return Vec::new();
        };
        if !is_new {
            return Vec::new();
        }
        let report = self.reports[at].clone();
        let before = self.included.replace(report.clone());
        before.map_or_else(Vec::new, |before| differences(&before.totals, &report.totals))
    }

    /// The sums of another aggregator hold nothing of this daemon yet.
    pub fn start_over(&mut self) {
        self.included = None;
    }

    /// True once the sums hold anything of this daemon.
    pub fn is_included(&self) -> bool {
        self.included.is_some()
    }

    /// This daemon's waiting requests as the sums hold them.
    pub fn included_waiting(&self) -> &[WaitingRow] {
        self.included.as_ref().map_or(&[], |report| &report.waiting)
    }

    /// This daemon's work as the sums hold it.
    pub fn included_work(&self) -> &[WorkRow] {
        self.included.as_ref().map_or(&[], |report| &report.work)
    }
}
