//! Roll-outs: orders of operators, reports of daemons, and decisions of the leader.

use super::ControlLoop;
use crate::control::ledger::ControlCommand;
use crate::control::rpc::LeaderAnswer;
use crate::control::setup::unix_millis;
use crate::control::waiters::{EntryWaiter, LeaderReplySender};
use crate::policy::Moment;
use crate::rollout::{
    RolloutController, RolloutOrder, RolloutRecord, RolloutReply, RolloutReport, RolloutStage,
    RolloutStep,
};
use crate::table::{DaemonName, ServiceName};
use slog::info;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval at which a roll-out's elapsed time is recorded, so that a new leader resumes from it.
const ELAPSED_RECORD_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a proposed change that has not been committed is proposed again.
const PROPOSAL_REPEAT_DELAY: Duration = Duration::from_secs(1);

/// The leader's state of the roll-outs in progress.
#[derive(Default)]
pub struct RolloutTracker {
    directors: BTreeMap<ServiceName, RolloutController>,
    /// Number and stage of the roll-out for which a change was last proposed, and the time of the
    /// proposal.
    last_proposals: BTreeMap<ServiceName, (u64, RolloutStage, Moment)>,
    elapsed_recorded_at: Moment,
}

impl RolloutTracker {
    /// Discards all state when the leader changes.
    pub fn clear(&mut self) {
        *self = RolloutTracker::default();
    }

    fn director(&mut self, record: &RolloutRecord, now: Moment) -> &mut RolloutController {
        let service = &record.order.service;
        let is_known =
            self.directors.get(service).is_some_and(|known| known.number() == record.number);
        if !is_known {
            let director = RolloutController::new(record, record.elapsed_at(unix_millis()), now);
            self.directors.insert(service.clone(), director);
        }
        self.directors.get_mut(service).expect("just inserted")
    }

    fn may_propose(&self, record: &RolloutRecord, now: Moment) -> bool {
        self.last_proposals.get(&record.order.service).is_none_or(|(number, stage, at)| {
            *number != record.number
                || *stage != record.stage
                || now.since(*at) >= PROPOSAL_REPEAT_DELAY
        })
    }
}

impl ControlLoop {
    pub(super) fn on_rollout(
        &mut self,
        order: RolloutOrder,
        reply: LeaderReplySender<RolloutReply>,
    ) {
        if !self.holds_lease() {
            return drop(reply.send(LeaderAnswer::Elsewhere(self.operators_leader())));
        }
        info!(self.setup.log, "roll-out proposed"; "service" => order.service.as_str(), "to" => order.to.as_str(),
            "duration_ms" => order.duration_ms);
        let command = ControlCommand::Rollout { order: order.clone(), at: unix_millis() };
        self.proposals.push((vec![command], EntryWaiter::Rollout { order, reply }));
    }

    pub(super) fn on_rollout_reports(
        &mut self,
        daemon: &DaemonName,
        boot: u64,
        reports: Vec<RolloutReport>,
    ) {
        let now = self.now();
        for report in reports {
            let mut records = self.ledger.rollouts().iter();
            let record = records.find(|record| record.number == report.number);
            let Some(record) = record.filter(|record| !record.stage.is_final()) else { continue };
            self.rollout_tracker.director(record, now).record_report(daemon, boot, report);
        }
    }

    /// Proposes the roll-out steps that the daemons' counts or the elapsed time require.
    pub(super) fn advance_rollouts(&mut self, now: Moment) {
        let Some(registry) = &self.registry else { return };
        let records = self.ledger.rollouts().iter();
        let current: Vec<RolloutRecord> =
            records.filter(|record| !record.stage.is_final()).cloned().collect();
        if current.is_empty() {
            return self.rollout_tracker.directors.clear();
        }
        let live = registry.serving_boots(now);
        let has_heard_all = registry.has_heard_all(now);
        let is_record_due =
            now.since(self.rollout_tracker.elapsed_recorded_at) >= ELAPSED_RECORD_INTERVAL;
        if is_record_due {
            self.rollout_tracker.elapsed_recorded_at = now;
        }
        let mut steps = Vec::new();
        for record in current {
            let director = self.rollout_tracker.director(&record, now);
            let elapsed_ms = director.elapsed_ms(now);
            let known = if has_heard_all { &live } else { &BTreeMap::new() };
            let decision = director.decide(&record, known, now);
            let decision = decision.filter(|_| self.rollout_tracker.may_propose(&record, now));
            if let Some(decision) = &decision {
                info!(self.setup.log, "roll-out decided"; "service" => record.order.service.as_str(),
                    "to" => record.order.to.as_str(), "number" => record.number, "stage" => format!("{:?}", record.stage),
                    "event" => format!("{:?}", decision.event), "verdict" => format!("{:?}", decision.verdict),
                    "elapsed_ms" => elapsed_ms, "duration_ms" => record.order.duration_ms,
                    "answers_old" => decision.answers.0, "answers_new" => decision.answers.1,
                    "failures_old" => decision.failures.0, "failures_new" => decision.failures.1);
                let proposed = (record.number, record.stage, now);
                self.rollout_tracker.last_proposals.insert(record.order.service.clone(), proposed);
            }
            if decision.is_some() || is_record_due {
                steps.push(ControlCommand::RolloutStep(RolloutStep {
                    service: record.order.service.clone(),
                    number: record.number,
                    event: decision.map(|decision| decision.event),
                    elapsed_ms,
                    at: unix_millis(),
                }));
            }
        }
        if !steps.is_empty() {
            steps
                .into_iter()
                .for_each(|step| self.proposals.push((vec![step], EntryWaiter::NoReply)));
            self.propose_pending();
        }
    }
}
