//! The evacuated data centres, as sent to the daemons.

use crate::table::DataCentreName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64;

/// Data centres whose upstreams receive no requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedSet(BTreeSet<DataCentreName>);

impl EvacuatedSet {
    /// Creates a set from names in any order.
    pub fn new(data_centres: impl IntoIterator<Item = DataCentreName>) -> Self {
        EvacuatedSet(data_centres.into_iter().collect())
    }

    pub fn contains(&self, data_centre: &DataCentreName) -> bool {
        self.0.contains(data_centre)
    }

    /// Iterates over the names in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = &DataCentreName> {
        self.0.iter()
    }

    /// Hash of the set; never 0, which means that none was received.
    pub fn digest(&self) -> u64 {
        xxh3_64(&postcard::to_stdvec(&self.0).unwrap_or_default()).max(1)
    }
}
