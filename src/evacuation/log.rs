//! Evacuations as stored by the voters: the stage of each data centre for which there was an order.

use super::evacuated_set::EvacuatedSet;
use super::stage::{EvacuationEvent, EvacuationStage, evacuation_chart};
use crate::table::DataCentreName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    pub data_centre: DataCentreName,
    pub event: EvacuationEvent,
}

/// The stage of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationRecord {
    pub data_centre: DataCentreName,
    pub stage: EvacuationStage,
    /// Wall-clock time of the leader when the stage began, in milliseconds.
    pub since: u64,
}

/// The stages of all data centres for which there was an order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EvacuationLog {
    records: BTreeMap<DataCentreName, EvacuationRecord>,
}

impl EvacuationLog {
    /// Applies an order given at `at` on the leader's wall clock, in milliseconds, and returns the
    /// resulting record. Orders carry no number, so a copy changes nothing as long as no other
    /// order for the data centre came in between; the last one to arrive counts.
    pub fn apply(&mut self, order: &EvacuationOrder, at: u64) -> EvacuationRecord {
        let known = self.records.get(&order.data_centre);
        let before = known.map_or(evacuation_chart().initial, |record| record.stage);
        let stage = before.after(order.event);
        let since = known.filter(|_| stage == before).map_or(at, |record| record.since);
        let record = EvacuationRecord { data_centre: order.data_centre.clone(), stage, since };
        self.records.insert(order.data_centre.clone(), record.clone());
        record
    }

    /// Iterates over the records, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &EvacuationRecord> {
        self.records.values()
    }

    /// Returns the data centres that are evacuated.
    pub fn evacuated(&self) -> EvacuatedSet {
        let evacuated =
            self.records.values().filter(|record| record.stage == EvacuationStage::Evacuated);
        EvacuatedSet::new(evacuated.map(|record| record.data_centre.clone()))
    }
}
