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

/// The fleet's word on one pool's floor, as the answer to a report brings it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FloorOrder {
    /// What this daemon wanted when it reported.
    pub wanted_then: Option<TierRank>,
    /// The lowest tier that any daemon admits; none if all tiers are admitted somewhere.
    pub confirmed: Option<TierRank>,
    /// The floor this daemon must keep until the next order.
    pub imposed: Option<TierRank>,
    /// True if this daemon admitted nothing until now: it may take the whole floor over at once.
    pub is_fresh: bool,
}

/// One pool's floor at one daemon. Floors are the lowest tier admitted; none means every tier.
#[derive(Clone, Debug, Default)]
pub struct ShedFloor {
    /// All ranks, highest tier first.
    ranks: Vec<TierRank>,
    /// What this daemon wants of the fleet.
    wanted: Option<TierRank>,
    /// What the fleet wants of this daemon.
    imposed: Option<TierRank>,
    /// What the whole fleet keeps for as long as this daemon wants what it wants.
    held: Option<TierRank>,
    /// What this daemon keeps now.
    kept: Option<TierRank>,
    needed_at: Moment,
    /// True where other daemons share the pool and must confirm first.
    is_shared: bool,
}

/// The stricter of two floors.
fn stricter(one: Option<TierRank>, other: Option<TierRank>) -> Option<TierRank> {
    one.into_iter().chain(other).min()
}

/// True if `floor` is stricter than `other`.
fn is_stricter(floor: Option<TierRank>, other: Option<TierRank>) -> bool {
    floor.is_some() && floor != other && stricter(floor, other) == floor
}

impl ShedFloor {
    /// Takes the table's ranks.
    pub fn set_ranks(&mut self, mut ranks: Vec<TierRank>) {
        ranks.sort_unstable();
        self.ranks = ranks;
        self.update(self.held);
    }

    /// The lowest tier still admitted, or none if all are.
    pub fn lowest_admitted(&self) -> Option<TierRank> {
        self.kept
    }

    /// Moves what is kept to what is wanted and imposed: back at once, forward a tier at a time, each
    /// only once no daemon admits anything below it, by `confirmed`.
    fn update(&mut self, confirmed: Option<TierRank>) {
        let target = stricter(self.wanted, self.imposed);
        if !is_stricter(target, self.kept) {
            self.kept = target;
            return;
        }
        while is_stricter(target, self.kept) {
            let Some(dropped) = self.kept.or_else(|| self.ranks.last().copied()) else { return };
            let above = self.ranks.iter().rev().copied().find(|rank| *rank < dropped);
            let Some(above) = above.filter(|_| self.is_clear_below(dropped, confirmed)) else {
                // Keeping the lowest tier as the floor drops nothing yet.
                self.kept = Some(dropped);
                return;
            };
            self.kept = Some(above);
        }
    }

    /// True if work of `tier` may be admitted.
    pub fn admits(&self, tier: TierRank) -> bool {
        self.kept.is_none_or(|lowest| tier <= lowest)
    }

    /// Asks that no tier below `tier` be admitted. Returns true if it is so everywhere, so that
    /// `tier` itself may be shed.
    pub fn raise(&mut self, tier: TierRank, now: Moment) -> bool {
        self.needed_at = now;
        self.wanted = stricter(self.wanted, Some(tier));
        self.update(self.held);
        self.may_shed(tier)
    }

    /// True if no daemon admits anything below `tier`.
    pub fn may_shed(&self, tier: TierRank) -> bool {
        self.is_clear_below(tier, self.held)
    }

    fn is_clear_below(&self, tier: TierRank, confirmed: Option<TierRank>) -> bool {
        let is_lowest = self.ranks.last() == Some(&tier);
        !self.is_shared || is_lowest || confirmed.is_some_and(|confirmed| confirmed <= tier)
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
        self.held = None;
        self.update(None);
    }

    /// What this daemon wants the fleet's floor to be.
    pub fn wanted(&self) -> Option<TierRank> {
        self.wanted
    }

    /// What this daemon will keep until the next order, whatever it wants itself.
    pub fn guaranteed(&self) -> Option<TierRank> {
        let imposed = self.imposed?;
        self.kept.map(|kept| kept.max(imposed))
    }

    /// Takes the fleet's word. What is confirmed is true now, and serves to raise this daemon's own floor
    /// now: the leader loosens nobody before the next report. Later it is true only as far as the leader
    /// holds it for this daemon: up to the floor that was wanted when it was asked, and for as long as
    /// this daemon wants at least that.
    pub fn take(&mut self, order: FloorOrder) {
        self.is_shared = true;
        let still_wants =
            order.wanted_then == self.wanted || is_stricter(self.wanted, order.wanted_then);
        let held =
            order.confirmed.zip(order.wanted_then).map(|(confirmed, wanted)| confirmed.max(wanted));
        self.held = held.filter(|_| still_wants);
        self.imposed = order.imposed;
        if order.is_fresh {
            self.kept = stricter(self.wanted, self.imposed);
        }
        self.update(order.confirmed);
    }
}
