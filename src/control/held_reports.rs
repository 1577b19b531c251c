//! Reports of daemons that the leader holds until it has something new to answer.
//!
//! A leader of n daemons gets a number of reports per second that grows with n. If each of them made
//! it look at all held reports, its work would grow with the square of n. Therefore a pass looks
//! only at reports that are new or due, unless what all daemons have to know has changed.

use super::rpc::LeaderAnswer;
use super::waiters::HeldReport;
use crate::policy::Moment;
use crate::table::DaemonName;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a report is answered even if no order has changed.
const MAX_REPORT_HOLD: Duration = Duration::from_millis(400);

/// What the leader would tell every daemon now; reports are looked at again when it changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CommonOrders {
    /// Table version in force.
    pub version: u64,
    /// Digest of the roll-outs.
    pub rollouts: u64,
    /// Digest of the evacuated data centres.
    pub evacuated: u64,
    /// True once the leader knows the state of every live daemon.
    pub has_heard_all: bool,
}

impl CommonOrders {
    /// Returns true if the daemon that made a report knows these orders.
    pub fn are_known_to(&self, held: &HeldReport) -> bool {
        held.version == self.version
            && held.knows_rollouts == self.rollouts
            && held.knows_evacuated == self.evacuated
    }
}

/// The held reports, at most one for each daemon.
#[derive(Default)]
pub struct HeldReports {
    reports: BTreeMap<DaemonName, HeldReport>,
    /// Daemons in the order in which their reports become due. An entry whose report was answered or
    /// replaced is skipped.
    due: VecDeque<(Moment, DaemonName)>,
    /// Daemons whose reports no pass has looked at.
    unseen: Vec<DaemonName>,
    /// Daemons whose orders differ from daemon to daemon, and are looked at in each pass.
    individual: usize,
    /// The orders at the last pass.
    last_orders: CommonOrders,
}

impl HeldReports {
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Holds a report. An earlier one of the same daemon is dropped without an answer, since the
    /// daemon has given it up.
    pub fn insert(&mut self, held: HeldReport) {
        let daemon = held.daemon.clone();
        self.due.push_back((held.since + MAX_REPORT_HOLD, daemon.clone()));
        self.unseen.push(daemon);
        self.hold(held);
    }

    /// Puts back a report that a pass has looked at and not answered.
    pub fn hold(&mut self, held: HeldReport) {
        self.individual += usize::from(!held.divides_alone);
        if let Some(replaced) = self.reports.insert(held.daemon.clone(), held) {
            self.individual -= usize::from(!replaced.divides_alone);
        }
    }

    fn take(&mut self, daemon: &DaemonName) -> Option<HeldReport> {
        let held = self.reports.remove(daemon)?;
        self.individual -= usize::from(!held.divides_alone);
        Some(held)
    }

    /// Removes and returns the reports that may have to be answered now.
    pub fn take_for_pass(&mut self, orders: CommonOrders, now: Moment) -> Vec<HeldReport> {
        let unseen = std::mem::take(&mut self.unseen);
        let is_changed = orders != self.last_orders;
        self.last_orders = orders;
        if is_changed || self.individual > 0 {
            while self.due.front().is_some_and(|(at, _)| *at <= now) {
                self.due.pop_front();
            }
            return self.take_all();
        }
        let mut chosen: Vec<HeldReport> =
            unseen.iter().filter_map(|daemon| self.take(daemon)).collect();
        while let Some((at, _)) = self.due.front()
            && *at <= now
            && let Some((_, daemon)) = self.due.pop_front()
        {
            let is_due = |held: &HeldReport| is_due(held, now);
            if self.reports.get(&daemon).is_some_and(is_due) {
                chosen.extend(self.take(&daemon));
            }
        }
        chosen
    }

    /// Removes and returns all reports.
    pub fn take_all(&mut self) -> Vec<HeldReport> {
        self.individual = 0;
        std::mem::take(&mut self.reports).into_values().collect()
    }

    /// Sends every daemon to `leader`.
    pub fn redirect_all(&mut self, leader: Option<SocketAddr>) {
        for held in self.take_all() {
            let _ = held.reply.send(LeaderAnswer::Elsewhere(leader));
        }
        self.due.clear();
        self.unseen.clear();
    }
}

/// Returns true if a report has to be answered whatever the answer.
pub fn is_due(held: &HeldReport, now: Moment) -> bool {
    now.since(held.since) >= MAX_REPORT_HOLD
}
