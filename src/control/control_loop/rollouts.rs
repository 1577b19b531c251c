//! Roll-outs: operators' orders, what daemons report of them, and the leader's decisions.

use super::ControlLoop;
use crate::control::ledger::ControlCommand;
use crate::control::rpc::LeaderAnswer;
use crate::control::setup::unix_millis;
use crate::control::waiters::{EntryWaiter, LeaderReplySender};
use crate::policy::Moment;
use crate::rollout::{
    RolloutDirector, RolloutOrder, RolloutRecord, RolloutReply, RolloutReport, RolloutStage,
    RolloutStep,
};
use crate::table::{DaemonName, ServiceName};
use slog::info;
use std::collections::BTreeMap;
use std::time::Duration;

/// How often the time that a roll-out has lasted is kept: a new leader goes on from there.
const ELAPSED_PAUSE: Duration = Duration::from_secs(1);
/// A change that was proposed and has not come into force is proposed again after this long.
const PROPOSED_FOR: Duration = Duration::from_secs(1);

/// What a leader knows of the roll-outs that are under way.
#[derive(Default)]
pub struct RolloutDesk {
    directors: BTreeMap<ServiceName, RolloutDirector>,
    /// The stage in which a change was proposed last, and when.
    proposed: BTreeMap<ServiceName, (u64, RolloutStage, Moment)>,
    kept_at: Moment,
}

impl RolloutDesk {
    /// Forgets everything: another leader's time has begun.
    pub fn clear(&mut self) {
        *self = RolloutDesk::default();
    }

    fn director(&mut self, record: &RolloutRecord, now: Moment) -> &mut RolloutDirector {
        let service = &record.order.service;
        let is_known =
            self.directors.get(service).is_some_and(|known| known.number() == record.number);
        if !is_known {
            let director = RolloutDirector::new(record, record.elapsed_at(unix_millis()), now);
            self.directors.insert(service.clone(), director);
        }
        self.directors.get_mut(service).expect("just inserted")
    }

    fn may_propose(&self, record: &RolloutRecord, now: Moment) -> bool {
        self.proposed.get(&record.order.service).is_none_or(|(number, stage, at)| {
            *number != record.number || *stage != record.stage || now.since(*at) >= PROPOSED_FOR
        })
    }
}

impl ControlLoop {
    pub(super) fn take_rollout(
        &mut self,
        order: RolloutOrder,
        reply: LeaderReplySender<RolloutReply>,
    ) {
        if !self.holds_lease() {
            return drop(reply.send(LeaderAnswer::Elsewhere(self.other_leader())));
        }
        info!(self.setup.log, "roll-out proposed"; "service" => order.service.as_str(), "to" => order.to.as_str(),
            "duration_ms" => order.duration_ms);
        let command = ControlCommand::Rollout { order, at: unix_millis() };
        self.proposals.push((vec![command], EntryWaiter::Rollout { reply }));
    }

    pub(super) fn take_rollout_reports(
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
            self.rollouts.director(record, now).take(daemon, boot, report);
        }
    }

    /// Proposes what the daemons' counts, or the time, call for.
    pub(super) fn direct_rollouts(&mut self, now: Moment) {
        let Some(registry) = &self.registry else { return };
        let records = self.ledger.rollouts().iter();
        let current: Vec<RolloutRecord> =
            records.filter(|record| !record.stage.is_final()).cloned().collect();
        if current.is_empty() {
            return self.rollouts.directors.clear();
        }
        let live = registry.serving_boots(now);
        let is_complete = registry.is_complete(now);
        let keeps_time = now.since(self.rollouts.kept_at) >= ELAPSED_PAUSE;
        if keeps_time {
            self.rollouts.kept_at = now;
        }
        let mut steps = Vec::new();
        for record in current {
            let director = self.rollouts.director(&record, now);
            let elapsed_ms = director.elapsed_ms(now);
            let known = if is_complete { &live } else { &BTreeMap::new() };
            let decision = director.decide(&record, known, now);
            let decision = decision.filter(|_| self.rollouts.may_propose(&record, now));
            if let Some(decision) = &decision {
                info!(self.setup.log, "roll-out decided"; "service" => record.order.service.as_str(),
                    "to" => record.order.to.as_str(), "number" => record.number, "stage" => format!("{:?}", record.stage),
                    "event" => format!("{:?}", decision.event), "verdict" => format!("{:?}", decision.verdict),
                    "elapsed_ms" => elapsed_ms, "duration_ms" => record.order.duration_ms,
                    "answers_old" => decision.answers.0, "answers_new" => decision.answers.1,
                    "failures_old" => decision.failures.0, "failures_new" => decision.failures.1);
                let proposed = (record.number, record.stage, now);
                self.rollouts.proposed.insert(record.order.service.clone(), proposed);
            }
            if decision.is_some() || keeps_time {
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
            self.propose_taken();
        }
    }
}
