//! Counts violations of the shedding order, independently of the code that enforces it.

use super::{Moment, TierRank};
use std::collections::BTreeMap;
use std::time::Duration;

/// A lower tier admitted within this time after a higher one was shed counts as admitted while the
/// higher one was being shed.
const SHED_WINDOW: Duration = Duration::from_millis(500);

/// Monitors the admissions and refusals of one pool.
#[derive(Clone, Debug, Default)]
pub struct ShedAudit {
    last_shed: BTreeMap<TierRank, Moment>,
    violations: u64,
}

impl ShedAudit {
    /// Records that a request of `tier` was shed while `lower_waiting` requests of lower tiers
    /// waited.
    pub fn shed(&mut self, tier: TierRank, lower_waiting: usize, now: Moment) {
        self.last_shed.insert(tier, now);
        self.violations += u64::from(lower_waiting > 0);
    }

    /// Records that a request of `tier` was admitted.
    pub fn admitted(&mut self, tier: TierRank, now: Moment) {
        let is_violation =
            self.last_shed.range(..tier).any(|(_, shed)| now.since(*shed) < SHED_WINDOW);
        self.violations += u64::from(is_violation);
    }

    /// Number of violations so far; 0 unless the code is wrong or the policy is a baseline without
    /// tiers.
    pub fn violations(&self) -> u64 {
        self.violations
    }
}
