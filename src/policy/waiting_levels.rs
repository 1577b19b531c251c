//! How much waits in the fleet, by what it is worth for its cost.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A level of worth for cost; each is twice the one below it. Late requests are worth less than a third of those in time, so
/// they are always at a lower level than the same requests in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorthLevel(pub i16);

impl WorthLevel {
    /// The level of a worth for cost.
    pub fn of(density: f64) -> Self {
        WorthLevel(density.max(f64::MIN_POSITIVE).log2().floor() as i16)
    }
}

/// Numbers of waiting requests by level.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaitingLevels {
    counts: BTreeMap<WorthLevel, u32>,
}

impl WaitingLevels {
    /// Adds requests.
    pub fn add(&mut self, level: WorthLevel, count: u32) {
        *self.counts.entry(level).or_default() += count;
    }

    /// Takes requests away again.
    pub fn subtract(&mut self, level: WorthLevel, count: u32) {
        if let Some(known) = self.counts.get_mut(&level) {
            *known = known.saturating_sub(count);
        }
    }

    /// Requests above a level.
    pub fn above(&self, level: WorthLevel) -> u32 {
        self.counts.range(WorthLevel(level.0.saturating_add(1))..).map(|(_, count)| count).sum()
    }

    /// All levels with requests.
    pub fn iter(&self) -> impl Iterator<Item = (WorthLevel, u32)> {
        self.counts.iter().map(|(level, count)| (*level, *count)).filter(|(_, count)| *count > 0)
    }
}
