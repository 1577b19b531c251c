//! The shed floor: the lowest tier that a pool admits.
//!
//! Without it, one daemon would refuse a high tier while another, or the same one a moment later,
//! admits a low tier; the symptom is a high-tier request shed during the admission of a lower one.
//! The floor prevents this by order: a tier is dropped only once no daemon admits anything below
//! it. The floor therefore rises one tier at a time, and the whole fleet confirms each step before
//! the next.

use super::{Moment, TierRank};
use std::time::Duration;

/// Time for which the floor stays up after the last shed request that needed it.
const HOLD_TIME: Duration = Duration::from_millis(1_000);

/// The leader's order for one pool's floor, received in the answer to a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FloorOrder {
    /// The floor that this daemon wanted when it reported.
    pub reported_wanted: Option<TierRank>,
    /// The lowest tier that any daemon admits; `None` if every tier is admitted somewhere.
    pub confirmed: Option<TierRank>,
    /// The floor that this daemon must enforce until the next order.
    pub imposed: Option<TierRank>,
    /// True if this daemon has admitted nothing so far, and so may adopt the whole floor at once.
    pub is_fresh: bool,
}

/// One pool's floor in one daemon. A floor is the lowest tier admitted; `None` admits every tier.
#[derive(Clone, Debug, Default)]
pub struct ShedFloor {
    /// All ranks, highest tier first.
    ranks: Vec<TierRank>,
    /// The floor that this daemon requests from the fleet.
    wanted: Option<TierRank>,
    /// The floor that the fleet requires of this daemon.
    imposed: Option<TierRank>,
    /// The floor that the whole fleet enforces while this daemon's `wanted` stays as strict.
    held: Option<TierRank>,
    /// The floor that this daemon enforces now.
    active: Option<TierRank>,
    needed_at: Moment,
    /// True if other daemons share the pool and must confirm each step.
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
    /// Sets the ranks of the table's tiers.
    pub fn set_ranks(&mut self, mut ranks: Vec<TierRank>) {
        ranks.sort_unstable();
        self.ranks = ranks;
        self.update(self.held);
    }

    /// The lowest tier still admitted, or `None` if all are.
    pub fn lowest_admitted(&self) -> Option<TierRank> {
        self.active
    }

    /// Moves the enforced floor to the stricter of the wanted and the imposed one. It is lowered at
    /// once, but raised one tier at a time, each only once `confirmed` shows that no daemon admits
    /// anything below it.
    fn update(&mut self, confirmed: Option<TierRank>) {
        let target = stricter(self.wanted, self.imposed);
        if !is_stricter(target, self.active) {
            self.active = target;
            return;
        }
        while is_stricter(target, self.active) {
            let Some(dropped) = self.active.or_else(|| self.ranks.last().copied()) else { return };
            let above = self.ranks.iter().rev().copied().find(|rank| *rank < dropped);
            let Some(above) = above.filter(|_| self.is_clear_below(dropped, confirmed)) else {
                // A floor at the lowest tier does not drop any tier yet.
                self.active = Some(dropped);
                return;
            };
            self.active = Some(above);
        }
    }

    /// True if requests of `tier` may be admitted.
    pub fn admits(&self, tier: TierRank) -> bool {
        self.active.is_none_or(|lowest| tier <= lowest)
    }

    /// Requests that no tier below `tier` be admitted. Returns true if that already holds on every
    /// daemon, so that `tier` itself may be shed.
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

    /// Lowers the floor by one tier once it has not been needed for [`HOLD_TIME`].
    pub fn relax(&mut self, now: Moment) {
        let Some(wanted) = self.wanted else { return };
        if now.since(self.needed_at) < HOLD_TIME {
            return;
        }
        self.needed_at = now;
        let next = self.ranks.iter().copied().find(|rank| *rank > wanted);
        self.wanted = next.filter(|next| Some(next) != self.ranks.last());
        self.held = None;
        self.update(None);
    }

    /// The floor that this daemon requests from the fleet.
    pub fn wanted(&self) -> Option<TierRank> {
        self.wanted
    }

    /// The floor that this daemon enforces until the next order, whatever it wants itself.
    pub fn guaranteed(&self) -> Option<TierRank> {
        let imposed = self.imposed?;
        self.active.map(|active| active.max(imposed))
    }

    /// Applies the leader's order. The confirmed floor is valid now and may be used to raise this
    /// daemon's own floor now, since the leader relaxes no daemon's floor before the next report.
    /// Afterwards it is valid only as far as the leader holds it for this daemon: up to the floor
    /// wanted in the report, and for as long as this daemon wants at least that.
    pub fn apply(&mut self, order: FloorOrder) {
        self.is_shared = true;
        let still_wants =
            order.reported_wanted == self.wanted || is_stricter(self.wanted, order.reported_wanted);
        let held = order
            .confirmed
            .zip(order.reported_wanted)
            .map(|(confirmed, wanted)| confirmed.max(wanted));
        self.held = held.filter(|_| still_wants);
        self.imposed = order.imposed;
        if order.is_fresh {
            self.active = stricter(self.wanted, self.imposed);
        }
        self.update(order.confirmed);
    }
}
