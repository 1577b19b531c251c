//! The shed floor: which tiers a pool admits.
//!
//! What goes wrong without it: one daemon refuses a high tier while another, or a moment later the
//! same one, admits a low tier. One would notice by a shed high-tier request whose time lies inside
//! the admission of a lower one. The floor prevents it by order: to refuse tier `r`, the floor must
//! first exclude every tier below `r`, on every daemon.

use super::{Moment, TierRank};
use std::time::Duration;

/// How long the floor stays after the last shed request that needed it.
const HOLD: Duration = Duration::from_millis(1_000);

/// One pool's floor at one daemon: what it wants, and what the whole fleet has confirmed.
#[derive(Clone, Debug, Default)]
pub struct ShedFloor {
    wanted: Option<TierRank>,
    confirmed: Option<TierRank>,
    imposed: Option<TierRank>,
    needed_at: Moment,
    /// True where other daemons share the pool and must confirm first.
    shared: bool,
}

impl ShedFloor {
    /// The lowest tier still admitted, or none if all are.
    pub fn lowest_admitted(&self) -> Option<TierRank> {
        [self.wanted, self.imposed].into_iter().flatten().min()
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
        !self.shared || self.confirmed.is_some_and(|confirmed| confirmed <= tier)
    }

    /// Lowers the floor by one tier of `ranks` (ascending) once it has not been needed for a while.
    pub fn relax(&mut self, ranks: &[TierRank], now: Moment) {
        let Some(wanted) = self.wanted else { return };
        if now.since(self.needed_at) < HOLD {
            return;
        }
        self.needed_at = now;
        let next = ranks.iter().copied().find(|rank| *rank > wanted);
        let is_last = ranks.last().is_some_and(|last| next.is_none_or(|next| next >= *last));
        self.wanted = if is_last { None } else { next };
        self.confirmed = self.confirmed.filter(|_| self.wanted.is_some());
    }

    /// What this daemon wants the fleet's floor to be.
    pub fn wanted(&self) -> Option<TierRank> {
        self.wanted
    }

    /// Takes the fleet's word: the floor every daemon has confirmed, and the floor this daemon must keep.
    pub fn set_fleet(
        &mut self,
        shared: bool,
        confirmed: Option<TierRank>,
        imposed: Option<TierRank>,
    ) {
        self.shared = shared;
        self.confirmed = confirmed;
        self.imposed = imposed;
    }
}
