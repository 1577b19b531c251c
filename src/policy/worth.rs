//! What requests are worth beside one another, and for what they cost.
//!
//! Operators give ranks and tiers, not worths. The defaults here say what a rank means where nothing else does; what a
//! request costs is learned, so that which lane earns most for an engine's time follows from the load that is seen.

use super::{TierRank, TierShare};

/// Worth of a request of a rank beside one of the rank above. Ranks are for kinds of work that differ by much: a quarter
/// makes four requests of the lower rank worth one of the higher, whatever their size.
const RANK_STEP: f64 = 0.25;
/// Worth of a request of a tier beside one of the tier above. So little less that a late request of a high tier never
/// goes before one in time of a lower tier and the same rank and cost.
const TIER_STEP: f64 = 0.8;
/// What a late answer is worth beside one in time, where operators say nothing: it is still used, by a caller who has
/// had to wait for it.
pub const LATE_WORTH: f64 = 0.3;
/// The part of a request's worth that does not depend on its size.
const SIZE_FREE: f64 = 0.3;
/// Worth by size grows up to this many times the mean of its lane.
const MOST_SIZE_WORTH: f64 = 4.0;
/// A token that is made is worth as much as this many that are read.
const OUTPUT_WORTH: f64 = 10.0;
/// Weight of a new request in a lane's means once it has seen [`WARM_COUNT`].
const MEAN_WEIGHT: f64 = 0.02;
/// Requests over which a lane's means are plain means.
const WARM_COUNT: f64 = 50.0;

/// Worth of a request by its tier and its rank, before its size.
pub fn step_worth(tiers: &[TierShare], tier: TierRank, rank: u8) -> f64 {
    let above = tiers.iter().filter(|share| share.rank < tier).count();
    TIER_STEP.powi(above as i32) * RANK_STEP.powi(i32::from(rank))
}

/// Size and cost of a lane's requests, as means.
#[derive(Clone, Copy, Debug, Default)]
pub struct LaneMeans {
    count: f64,
    size: f64,
    cost: f64,
}

impl LaneMeans {
    /// Counts a request.
    pub fn learn(&mut self, prompt_tokens: u32, output_tokens: u32, cost: u32) {
        self.count = (self.count + 1.0).min(WARM_COUNT);
        let weight = (1.0 / self.count).max(MEAN_WEIGHT);
        self.size += (size(prompt_tokens, output_tokens) - self.size) * weight;
        self.cost += (f64::from(cost.max(1)) - self.cost) * weight;
    }

    /// Worth for cost of a request of this lane, where the mean request of the lane is worth 1.
    pub fn density(&self, prompt_tokens: u32, output_tokens: u32, cost: u32) -> f64 {
        let relative = size(prompt_tokens, output_tokens) / self.size.max(1.0);
        let worth = SIZE_FREE + (1.0 - SIZE_FREE) * relative;
        worth.min(MOST_SIZE_WORTH) / f64::from(cost.max(1))
    }

    /// The same for the mean request.
    pub fn mean_density(&self) -> f64 {
        1.0 / self.cost.max(1.0)
    }
}

/// Size of a request as its worth counts it, in prompt tokens.
pub(super) fn size(prompt_tokens: u32, output_tokens: u32) -> f64 {
    f64::from(prompt_tokens) + OUTPUT_WORTH * f64::from(output_tokens)
}

/// Steps of the ladder in a doubling of worth for cost.
const STEPS_IN_DOUBLING: f64 = 4.0;
/// Steps of the ladder; with the one above, 2^40 between the lowest and the highest.
const LADDER_STEPS: usize = 160;
/// The lowest step's worth for cost, as a power of two.
const LOWEST_POWER: f64 = -36.0;

/// Waiting cost by worth for cost, in steps, so that what waits before a request is summed up without a walk over all.
#[derive(Clone, Debug)]
pub struct CostLadder {
    steps: [u64; LADDER_STEPS],
}

impl Default for CostLadder {
    fn default() -> Self {
        CostLadder { steps: [0; LADDER_STEPS] }
    }
}

impl CostLadder {
    fn step(density: f64) -> usize {
        let step = (density.max(f64::MIN_POSITIVE).log2() - LOWEST_POWER) * STEPS_IN_DOUBLING;
        step.clamp(0.0, (LADDER_STEPS - 1) as f64) as usize
    }

    /// A request waits.
    pub fn add(&mut self, density: f64, cost: u32) {
        self.steps[Self::step(density)] += u64::from(cost);
    }

    /// It waits no more, or with another density.
    pub fn remove(&mut self, density: f64, cost: u32) {
        let step = &mut self.steps[Self::step(density)];
        *step = step.saturating_sub(u64::from(cost));
    }

    /// Cost of all that is worth as much for its cost, or more.
    pub fn cost_from(&self, density: f64) -> u64 {
        self.steps[Self::step(density)..].iter().sum()
    }
}
