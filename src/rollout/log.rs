//! Roll-outs as stored by the voters: the most recent one of each service.

use super::stage::{RolloutEvent, RolloutStage};
use crate::table::{ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Maximum number of roll-outs stored; beyond it, the oldest finished one is evicted.
const MAX_RECORDS: usize = 1_024;
/// Number of earlier orders stored per service, to recognise their copies.
const MAX_EARLIER_ORDERS: usize = 8;
/// Maximum time that a new leader adds for the period without a leader.
const MAX_LEADERLESS_MS: u64 = 5_000;

/// An operator's order to move a service's requests to upstreams of another software version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    pub service: ServiceName,
    /// Target software version.
    pub to: SoftwareVersion,
    /// Deadline of the roll-out in milliseconds from its start.
    pub duration_ms: u64,
}

/// A roll-out and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The operator's order.
    pub order: RolloutOrder,
    /// Sequence number, increasing with each roll-out in the fleet.
    pub number: u64,
    /// Version that an earlier roll-out of the service completed; none before the first.
    pub from: Option<SoftwareVersion>,
    /// Current stage.
    pub stage: RolloutStage,
    /// Milliseconds since its start, measured by the leaders' monotonic clocks.
    pub elapsed_ms: u64,
    /// The leader's wall clock when `elapsed_ms` was measured, in milliseconds. It is used only to
    /// estimate the time without a leader.
    pub at: u64,
}

/// Reply to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutReply {
    /// The order is stored; resending it yields the same reply.
    Accepted(RolloutRecord),
    /// Another roll-out of the service is in progress.
    Busy(RolloutRecord),
    /// The same order was accepted earlier, and this later roll-out is in progress: the order may
    /// be a delayed copy, or a new one.
    Overtaken(RolloutRecord),
}

/// A state change of a roll-out, proposed by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStep {
    pub service: ServiceName,
    /// Number of the roll-out; a step of an earlier one has no effect.
    pub number: u64,
    /// Event that occurred; none if the step only updates the elapsed time.
    pub event: Option<RolloutEvent>,
    /// See [`RolloutRecord::elapsed_ms`].
    pub elapsed_ms: u64,
    /// See [`RolloutRecord::at`].
    pub at: u64,
}

/// The most recent roll-out of each service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutLog {
    records: BTreeMap<ServiceName, RolloutRecord>,
    last_number: u64,
    /// Orders before the most recent one of each service, oldest first.
    #[serde(default)]
    earlier: BTreeMap<ServiceName, VecDeque<RolloutOrder>>,
}

impl RolloutLog {
    /// Applies an order given at `at` on the leader's wall clock, in milliseconds.
    pub fn begin(&mut self, order: &RolloutOrder, at: u64) -> RolloutReply {
        if let Some(known) = self.records.get(&order.service) {
            if known.order == *order {
                return RolloutReply::Accepted(known.clone());
            }
            if !known.stage.is_final() {
                let is_copy =
                    self.earlier.get(&order.service).is_some_and(|orders| orders.contains(order));
                return match is_copy {
                    true => RolloutReply::Overtaken(known.clone()),
                    false => RolloutReply::Busy(known.clone()),
                };
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
        if let Some(replaced) = self.records.insert(order.service.clone(), record.clone()) {
            self.store_earlier(replaced.order);
        }
        self.evict_oldest();
        RolloutReply::Accepted(record)
    }

    fn store_earlier(&mut self, order: RolloutOrder) {
        let orders = self.earlier.entry(order.service.clone()).or_default();
        orders.push_back(order);
        if orders.len() > MAX_EARLIER_ORDERS {
            orders.pop_front();
        }
    }

    fn evict_oldest(&mut self) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let ended = self.records.values().filter(|record| record.stage.is_final());
        let oldest = ended.min_by_key(|record| record.number);
        if let Some(service) = oldest.map(|record| record.order.service.clone()) {
            self.records.remove(&service);
            self.earlier.remove(&service);
        }
    }

    /// Applies a step. Steps that are out of date or belong to an earlier roll-out have no effect.
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

    /// The most recent roll-out of a service.
    pub fn get(&self, service: &ServiceName) -> Option<&RolloutRecord> {
        self.records.get(service)
    }

    /// Iterates over the most recent roll-out of each service.
    pub fn iter(&self) -> impl Iterator<Item = &RolloutRecord> {
        self.records.values()
    }
}

impl RolloutRecord {
    /// Version that receives the service's requests outside of a roll-out; none before the first
    /// completed one.
    pub fn version_in_use(&self) -> Option<&SoftwareVersion> {
        match self.stage {
            RolloutStage::Completed => Some(&self.order.to),
            _ => self.from.as_ref(),
        }
    }

    /// Ordered duration.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.order.duration_ms)
    }

    /// Milliseconds since its start, for a new leader whose wall clock reads `wall`. A stepped wall
    /// clock shifts the deadline by at most [`MAX_LEADERLESS_MS`].
    pub fn elapsed_at(&self, wall: u64) -> u64 {
        self.elapsed_ms + wall.saturating_sub(self.at).min(MAX_LEADERLESS_MS)
    }
}
