//! Counts breaks of the shedding order, apart from the code that keeps it.

use super::{Moment, TierRank};
use std::collections::BTreeMap;
use std::time::Duration;

/// A shed request's episode lasts this long: a lower tier admitted within it was admitted "while" the
/// higher one was shed.
const EPISODE: Duration = Duration::from_millis(500);

/// Watches admissions and refusals of one pool.
#[derive(Clone, Debug, Default)]
pub struct ShedAudit {
    last_shed: BTreeMap<TierRank, Moment>,
    breaks: u64,
}

impl ShedAudit {
    /// A request of `tier` was shed while `lower_waiting` requests of lower tiers waited.
    pub fn shed(&mut self, tier: TierRank, lower_waiting: usize, now: Moment) {
        self.last_shed.insert(tier, now);
        self.breaks += u64::from(lower_waiting > 0);
    }

    /// A request of `tier` was admitted.
    pub fn admitted(&mut self, tier: TierRank, now: Moment) {
        let is_break = self.last_shed.range(..tier).any(|(_, shed)| now.since(*shed) < EPISODE);
        self.breaks += u64::from(is_break);
    }

    /// Breaks so far; 0 unless the code is wrong or the policy is a baseline without tiers.
    pub fn breaks(&self) -> u64 {
        self.breaks
    }
}
