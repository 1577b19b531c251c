//! The shed floor: which tiers a pool admits.
//!
//! What goes wrong without it: one daemon refuses a high tier while another, or a moment later the
//! same one, admits a low tier. One would notice by a shed high-tier request whose time lies inside
//! the admission of a lower one. The floor prevents it by order: a tier is dropped only once nothing
//! below it is admitted on any daemon. So the floor rises one tier at a time, each step confirmed by
//! the whole fleet before the next.

use super::{Moment, TierRank};
use std::time::Duration;

/// How long the floor stays after the last shed request that needed it.
const HOLD: Duration = Duration::from_millis(1_000);

/// One pool's floor at one daemon: what it wants, what others want, and what the whole fleet keeps.
#[derive(Clone, Debug, Default)]
pub struct ShedFloor {
    /// All ranks, highest tier first.
    ranks: Vec<TierRank>,
    wanted: Option<TierRank>,
    imposed: Option<TierRank>,
    confirmed: Option<TierRank>,
    needed_at: Moment,
    /// True where other daemons share the pool and must confirm first.
    is_shared: bool,
}

impl ShedFloor {
    /// Takes the table's ranks.
    pub fn set_ranks(&mut self, mut ranks: Vec<TierRank>) {
        ranks.sort_unstable();
        self.ranks = ranks;
    }

    /// The lowest tier still admitted, or none if all are.
    pub fn lowest_admitted(&self) -> Option<TierRank> {
        let target = [self.wanted, self.imposed].into_iter().flatten().min()?;
        if self.is_shared { Some(target.max(self.step_limit())) } else { Some(target) }
    }

    /// How far the floor may rise now: the lowest tier may always be dropped, another only once no daemon
    /// admits anything below it.
    fn step_limit(&self) -> TierRank {
        let admitted = self.confirmed.or_else(|| self.ranks.last().copied());
        let above =
            self.ranks.iter().rev().find(|rank| admitted.is_some_and(|admitted| **rank < admitted));
        above.copied().or(admitted).unwrap_or(TierRank(0))
    }

    /// True if work of `tier` may be admitted.
    pub fn admits(&self, tier: TierRank) -> bool {
        self.lowest_admitted().is_none_or(|lowest| tier <= lowest)
    }

    /// Asks that no tier below `tier` be admitted. Returns true if it is so everywhere, so that
    /// `tier` itself may be shed.
    pub fn raise(&mut self, tier: TierRank, now: Moment) -> bool {
        self.needed_at = now;
        self.wanted = Some(self.wanted.map_or(tier, |wanted| wanted.min(tier)));
        let is_lowest = self.ranks.last() == Some(&tier);
        !self.is_shared || is_lowest || self.confirmed.is_some_and(|confirmed| confirmed <= tier)
    }

    /// Lowers the floor by one tier once it has not been needed for a while.
    pub fn relax(&mut self, now: Moment) {
        let Some(wanted) = self.wanted else { return };
        if now.since(self.needed_at) < HOLD {
            return;
        }
        self.needed_at = now;
        let next = self.ranks.iter().copied().find(|rank| *rank > wanted);
        self.wanted = next.filter(|next| Some(next) != self.ranks.last());
        self.confirmed = None;
    }

    /// What this daemon wants the fleet's floor to be.
    pub fn wanted(&self) -> Option<TierRank> {
        self.wanted
    }

    /// Takes the fleet's word. `wanted_then` is what this daemon wanted when it asked: if that has
    /// changed since, the confirmation is of another floor and does not count.
    pub fn set_fleet(
        &mut self,
        wanted_then: Option<TierRank>,
        confirmed: Option<TierRank>,
        imposed: Option<TierRank>,
    ) {
        self.is_shared = true;
        self.confirmed = confirmed.filter(|_| wanted_then == self.wanted);
        self.imposed = imposed;
    }
}
