//! Reports of the daemons, answered with orders, and edits that wait until they are in force.

use super::ControlLoop;
use crate::control::fleet::{DaemonOrders, DaemonReport, ReportAnswer, ReportOutcome};
use crate::control::held_reports::{CommonOrders, is_due};
use crate::control::ledger::ControlCommand;
use crate::control::rpc::{EditProgress, LeaderAnswer};
use crate::control::serving_history::ServingUpdate;
use crate::control::setup::unix_millis;
use crate::control::waiters::{EntryWaiter, HeldReport, LeaderReplySender};
use crate::evacuation::EvacuatedSet;
use crate::policy::Moment;
use crate::quarantine::SuspectRow;
use crate::replica::ReplicaCore;
use crate::rollout::RolloutRows;

/// What the leader tells the daemons that do not know it.
struct LeaderNews {
    rollouts: RolloutRows,
    evacuated: EvacuatedSet,
    /// Contents that operators released recently.
    released: Vec<SuspectRow>,
}

impl ControlLoop {
    /// Records a report and holds it until there are orders to answer it with. A daemon that is not
    /// on the member list receives no orders until its `Join` is committed, since from then on
    /// every leader knows that it may hold a lease.
    pub(super) fn on_report(
        &mut self,
        report: DaemonReport,
        reply: LeaderReplySender<ReportAnswer>,
    ) {
        let now = self.now();
        if !self.holds_lease() {
            return drop(reply.send(LeaderAnswer::Elsewhere(self.remote_leader())));
        }
        let Some(registry) = &mut self.registry else { return };
        let (daemon, version, has_lease) =
            (report.daemon.clone(), report.version, report.has_lease);
        let (boot, divides_alone) = (report.boot, report.divides_alone);
        let serves_at = report.serves_callers.then_some(report.control);
        let wants_suspects = report.wants_suspects;
        let mut report = report;
        let suspects = std::mem::take(&mut report.suspects);
        let (knows_serving, knows_rollouts) = (report.knows_serving, report.knows_rollouts);
        let (knows_evacuated, takes_serving_changes) =
            (report.knows_evacuated, report.takes_serving_changes);
        let rollouts = std::mem::take(&mut report.rollouts);
        match registry.record(report, now) {
            ReportOutcome::Recorded => {}
            ReportOutcome::UnknownBoot => {
                let command = ControlCommand::Join { daemon: daemon.clone(), boot, serves_at };
                self.proposals.push((vec![command], EntryWaiter::NoReply));
                self.sent_orders.remove(&daemon);
                return drop(reply.send(LeaderAnswer::Elsewhere(None)));
            }
            ReportOutcome::TermMismatch => {
                let answer = ReportAnswer::NewTerm(registry.term());
                return drop(reply.send(LeaderAnswer::Done(answer)));
            }
            ReportOutcome::Superseded => return drop(reply.send(LeaderAnswer::Elsewhere(None))),
        }
        self.on_rollout_reports(&daemon, boot, rollouts);
        let held = HeldReport {
            daemon,
            has_lease,
            divides_alone,
            knows_serving,
            takes_serving_changes,
            wants_suspects,
            knows_rollouts,
            knows_evacuated,
            version,
            since: now,
            reply,
        };
        self.waiting.reports.insert(held);
        self.on_suspects(suspects);
    }

    /// Answers held reports whose orders have changed or whose hold time is over, and edits that
    /// are now in force.
    pub(super) fn answer_waiting(&mut self) {
        if self.waiting.reports.is_empty() && self.waiting.in_force.is_empty() {
            return;
        }
        if !self.holds_lease() {
            let leader = self.remote_leader();
            return self.waiting.reports.redirect_all(leader);
        }
        self.answer_reports();
        self.answer_edits_in_force();
    }

    fn answer_reports(&mut self) {
        let now = self.now();
        let Some(registry) = &self.registry else { return };
        let rollouts = RolloutRows::new(self.ledger.rollouts(), self.setup.rollout_share);
        let evacuated = self.ledger.evacuations().evacuated();
        let common = CommonOrders {
            version: self.ledger.table().version,
            rollouts: rollouts.digest(),
            evacuated: evacuated.digest(),
            has_heard_all: registry.has_heard_all(now),
        };
        let reports = self.waiting.reports.take_for_pass(common, now);
        if reports.is_empty() {
            return;
        }
        self.serving.refresh(registry, now);
        let news = LeaderNews { rollouts, evacuated, released: self.released_rows() };
        for held in reports {
            match self.orders_for(&held, common, now) {
                Some(orders) => {
                    let orders = self.complete_orders(orders, &held, common, &news);
                    let _ = held.reply.send(LeaderAnswer::Done(ReportAnswer::Orders(orders)));
                }
                None => self.waiting.reports.hold(held),
            }
        }
    }

    /// Returns the orders to answer a report with, or `None` if it is to be held.
    fn orders_for(
        &mut self,
        held: &HeldReport,
        common: CommonOrders,
        now: Moment,
    ) -> Option<DaemonOrders> {
        // A daemon without a lease is granted one only by a leader that knows every floor on which
        // others rely.
        let may_answer = held.has_lease || common.has_heard_all;
        let is_due = is_due(held, now);
        let knows_all = common.are_known_to(held);
        if !may_answer || held.divides_alone && !is_due && knows_all {
            return None;
        }
        let registry = self.registry.as_mut()?;
        let orders = registry.orders(&held.daemon, self.ledger.table(), now);
        let has_changes = !knows_all || self.sent_orders.get(&held.daemon) != Some(&orders.pools);
        if !is_due && !has_changes {
            return None;
        }
        registry.record_sent_orders(&held.daemon, &orders.pools);
        self.sent_orders.insert(held.daemon.clone(), orders.pools.clone());
        Some(orders)
    }

    /// Adds to a daemon's orders what it does not know of the fleet.
    fn complete_orders(
        &mut self,
        mut orders: DaemonOrders,
        held: &HeldReport,
        common: CommonOrders,
        news: &LeaderNews,
    ) -> DaemonOrders {
        let membership = self.core.as_ref().map(ReplicaCore::membership);
        let voters = membership.iter().flat_map(|membership| membership.voters.values());
        orders.voters = voters.copied().collect();
        orders.suspects = match held.wants_suspects {
            true => self.ledger.quarantine().rows(None, unix_millis()),
            false => news.released.clone(),
        };
        let knows_rollouts = held.knows_rollouts == common.rollouts;
        orders.rollouts = (!knows_rollouts).then(|| news.rollouts.clone());
        let knows_evacuated = held.knows_evacuated == common.evacuated;
        orders.evacuated = (!knows_evacuated).then(|| news.evacuated.clone());
        match self.serving.update_for(held.knows_serving, held.takes_serving_changes) {
            ServingUpdate::Known => {}
            ServingUpdate::Change(change) => orders.serving_change = Some(Box::new(change)),
            ServingUpdate::Whole(list) => orders.serving = Some(list),
        }
        if let Some(newer) = &orders.table {
            orders.packed = self.packed_table.get(newer);
        }
        if orders.packed.is_some() {
            orders.table = None;
        }
        orders
    }

    fn answer_edits_in_force(&mut self) {
        let now = self.now();
        let Some(registry) = &self.registry else { return };
        for mut force in std::mem::take(&mut self.waiting.in_force) {
            let lagging = registry.lagging_daemons(force.version, now);
            if !lagging.is_empty() && now < force.until {
                self.waiting.in_force.push(force);
                continue;
            }
            force.answer.progress = EditProgress { is_in_force: lagging.is_empty(), lagging };
            let _ = force.reply.send(LeaderAnswer::Done(force.answer));
        }
    }
}
