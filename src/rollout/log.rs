//! Roll-outs as the voters keep them: one for each service, the newest.

use super::stage::{RolloutEvent, RolloutStage};
use crate::table::{ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Services whose roll-outs are kept, at most; beyond, the oldest that has ended is forgotten.
const MOST_RECORDS: usize = 1_024;
/// A leader counts at most this long for the time in which nobody led.
const MOST_GAP_MS: u64 = 5_000;

/// An operator's order: a service's requests are to move to engines of another software version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The software version that its engines are to have.
    pub to: SoftwareVersion,
    /// Milliseconds within which the roll-out is to end.
    pub duration_ms: u64,
}

/// A roll-out and how far it has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// What was ordered.
    pub order: RolloutOrder,
    /// Rises with each roll-out of the fleet.
    pub number: u64,
    /// The version that an earlier roll-out of the service completed; none before the first.
    pub from: Option<SoftwareVersion>,
    /// How far it has come.
    pub stage: RolloutStage,
    /// Milliseconds from its beginning, as counted by the leaders' steady clocks.
    pub elapsed_ms: u64,
    /// The leader's wall clock at that moment, in milliseconds: only the time without a leader is taken from it.
    pub at: u64,
}

/// The answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutReply {
    /// It is kept; a resend of the order is answered alike.
    Accepted(RolloutRecord),
    /// Another roll-out of the service is under way.
    Busy(RolloutRecord),
}

/// A change of a roll-out, proposed by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStep {
    /// The service.
    pub service: ServiceName,
    /// The roll-out: a step of an earlier one changes nothing.
    pub number: u64,
    /// What happened; none if only time passed.
    pub event: Option<RolloutEvent>,
    /// See [`RolloutRecord::elapsed_ms`].
    pub elapsed_ms: u64,
    /// See [`RolloutRecord::at`].
    pub at: u64,
}

/// All roll-outs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutLog {
    records: BTreeMap<ServiceName, RolloutRecord>,
    last_number: u64,
}

impl RolloutLog {
    /// Takes an order at `at` of the leader's wall clock.
    pub fn begin(&mut self, order: &RolloutOrder, at: u64) -> RolloutReply {
        if let Some(known) = self.records.get(&order.service) {
            if known.order == *order {
                return RolloutReply::Accepted(known.clone());
            }
            if !known.stage.is_final() {
                return RolloutReply::Busy(known.clone());
            }
        }
        self.last_number += 1;
        let record = RolloutRecord {
            order: order.clone(),
            number: self.last_number,
            from: self.records.get(&order.service).and_then(RolloutRecord::version_in_use).cloned(),
            stage: RolloutStage::Trial,
            elapsed_ms: 0,
            at,
        };
        self.records.insert(order.service.clone(), record.clone());
        self.forget_oldest();
        RolloutReply::Accepted(record)
    }

    fn forget_oldest(&mut self) {
        if self.records.len() <= MOST_RECORDS {
            return;
        }
        let ended = self.records.values().filter(|record| record.stage.is_final());
        let oldest = ended.min_by_key(|record| record.number);
        if let Some(service) = oldest.map(|record| record.order.service.clone()) {
            self.records.remove(&service);
        }
    }

    /// Takes a step; one that came late, or of an earlier roll-out, changes nothing.
    pub fn step(&mut self, step: &RolloutStep) {
        let record = self.records.get_mut(&step.service);
        let Some(record) = record.filter(|record| record.number == step.number) else { return };
        if record.stage.is_final() || step.elapsed_ms < record.elapsed_ms {
            return;
        }
        record.elapsed_ms = step.elapsed_ms;
        record.at = step.at;
        if let Some(event) = step.event {
            record.stage = record.stage.after(event);
        }
    }

    /// The newest roll-out of a service.
    pub fn get(&self, service: &ServiceName) -> Option<&RolloutRecord> {
        self.records.get(service)
    }

    /// The newest roll-out of each service.
    pub fn iter(&self) -> impl Iterator<Item = &RolloutRecord> {
        self.records.values()
    }
}

impl RolloutRecord {
    /// The version that the service's requests go to outside of a roll-out; none before the first.
    pub fn version_in_use(&self) -> Option<&SoftwareVersion> {
        match self.stage {
            RolloutStage::Completed => Some(&self.order.to),
            _ => self.from.as_ref(),
        }
    }

    /// The time ordered for it.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.order.duration_ms)
    }

    /// Milliseconds from its beginning for a new leader whose wall clock says `wall`: a clock that was stepped shifts the
    /// deadline by [`MOST_GAP_MS`] at most.
    pub fn elapsed_at(&self, wall: u64) -> u64 {
        self.elapsed_ms + wall.saturating_sub(self.at).min(MOST_GAP_MS)
    }
}
