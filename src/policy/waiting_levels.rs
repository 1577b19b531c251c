//! Counts of waiting requests by level of value density.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Level of value density, a power of two: each level is twice the one below it. A late request has
/// less than a third of its value in time, and so is always on a lower level than in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DensityLevel(pub i16);

impl DensityLevel {
    /// The level that a density falls into.
    pub fn of(density: f64) -> Self {
        DensityLevel(density.max(f64::MIN_POSITIVE).log2().floor() as i16)
    }
}

/// Numbers of waiting requests by level.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaitingLevels {
    counts: BTreeMap<DensityLevel, u32>,
}

impl WaitingLevels {
    /// Adds `count` requests at a level.
    pub fn add(&mut self, level: DensityLevel, count: u32) {
        *self.counts.entry(level).or_default() += count;
    }

    /// Subtracts `count` requests at a level.
    pub fn subtract(&mut self, level: DensityLevel, count: u32) {
        if let Some(known) = self.counts.get_mut(&level) {
            *known = known.saturating_sub(count);
        }
    }

    /// Number of requests above a level.
    pub fn above(&self, level: DensityLevel) -> u32 {
        self.counts.range(DensityLevel(level.0.saturating_add(1))..).map(|(_, count)| count).sum()
    }

    /// Levels with at least one request, with their counts.
    pub fn iter(&self) -> impl Iterator<Item = (DensityLevel, u32)> {
        self.counts.iter().map(|(level, count)| (*level, *count)).filter(|(_, count)| *count > 0)
    }
}
