//! Relative value of requests, and their value density (value per unit of cost).
//!
//! Operators configure ranks and tiers, not values; the constants here give each rank and tier its
//! value. Costs are learned, so that the lane with the most value for an engine's time follows from
//! the observed load.

use super::{TierRank, TierShare};

/// Value of a request relative to one of the next higher rank. Ranks separate kinds of work of very
/// different importance: four requests of a rank have the value of one of the next higher rank,
/// whatever their size.
const RANK_VALUE_RATIO: f64 = 0.25;
/// Value of a request relative to one of the next higher tier. High enough that a late request of a
/// high tier never goes before one in time of a lower tier with the same rank and cost.
const TIER_VALUE_RATIO: f64 = 0.8;
/// Value of a late answer relative to one in time; the caller still uses it, but had to wait.
pub const LATE_VALUE_RATIO: f64 = 0.3;
/// Fraction of a request's value that does not depend on its size.
const FIXED_VALUE_RATIO: f64 = 0.3;
/// Largest value by size, relative to the mean request of the lane.
const MAX_SIZE_VALUE: f64 = 4.0;
/// Weight of an output token in the size of a request; a prompt token has weight 1.
const OUTPUT_TOKEN_WEIGHT: f64 = 10.0;
/// Weight of a new request in a lane's means after the first [`WARM_UP_COUNT`] requests.
const MEAN_WEIGHT: f64 = 0.02;
/// Number of requests over which a lane's means are plain means.
const WARM_UP_COUNT: f64 = 50.0;

/// Value of a request by its tier and rank, before its size is considered.
pub fn base_value(tiers: &[TierShare], tier: TierRank, rank: u8) -> f64 {
    let above = tiers.iter().filter(|share| share.rank < tier).count();
    TIER_VALUE_RATIO.powi(above as i32) * RANK_VALUE_RATIO.powi(i32::from(rank))
}

/// Mean size and mean cost of a lane's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct LaneMeans {
    count: f64,
    size: f64,
    cost: f64,
}

impl LaneMeans {
    /// Adds a request to the means.
    pub fn learn(&mut self, prompt_tokens: u32, output_tokens: u32, cost: u32) {
        self.count = (self.count + 1.0).min(WARM_UP_COUNT);
        let weight = (1.0 / self.count).max(MEAN_WEIGHT);
        self.size += (size(prompt_tokens, output_tokens) - self.size) * weight;
        self.cost += (f64::from(cost.max(1)) - self.cost) * weight;
    }

    /// Value density of a request of this lane, with the value of the mean request as 1.
    pub fn density(&self, prompt_tokens: u32, output_tokens: u32, cost: u32) -> f64 {
        let relative = size(prompt_tokens, output_tokens) / self.size.max(1.0);
        let value = FIXED_VALUE_RATIO + (1.0 - FIXED_VALUE_RATIO) * relative;
        value.min(MAX_SIZE_VALUE) / f64::from(cost.max(1))
    }

    /// Value density of the lane's mean request.
    pub fn mean_density(&self) -> f64 {
        1.0 / self.cost.max(1.0)
    }
}

/// Size of a request for its value, in prompt tokens.
pub(super) fn size(prompt_tokens: u32, output_tokens: u32) -> f64 {
    f64::from(prompt_tokens) + OUTPUT_TOKEN_WEIGHT * f64::from(output_tokens)
}

/// Number of histogram buckets per doubling of density.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Number of histogram buckets; they cover a ratio of 2^40 between lowest and highest density.
const BUCKET_COUNT: usize = 160;
/// Density of the lowest bucket, as an exponent of 2.
const LOWEST_EXPONENT: f64 = -36.0;

/// Histogram of waiting cost by value density, from which the cost ahead of a request is summed
/// without visiting every waiting request.
#[derive(Clone, Debug)]
pub struct CostHistogram {
    buckets: [u64; BUCKET_COUNT],
}

impl Default for CostHistogram {
    fn default() -> Self {
        CostHistogram { buckets: [0; BUCKET_COUNT] }
    }
}

impl CostHistogram {
    fn bucket(density: f64) -> usize {
        let bucket =
            (density.max(f64::MIN_POSITIVE).log2() - LOWEST_EXPONENT) * BUCKETS_PER_DOUBLING;
        bucket.clamp(0.0, (BUCKET_COUNT - 1) as f64) as usize
    }

    /// Adds the cost of a waiting request.
    pub fn add(&mut self, density: f64, cost: u32) {
        self.buckets[Self::bucket(density)] += u64::from(cost);
    }

    /// Subtracts the cost of a request that no longer waits, or no longer at this density.
    pub fn remove(&mut self, density: f64, cost: u32) {
        let bucket = &mut self.buckets[Self::bucket(density)];
        *bucket = bucket.saturating_sub(u64::from(cost));
    }

    /// Total cost of the requests of a lower density, to the precision of a bucket.
    pub fn cost_below(&self, density: f64) -> u64 {
        self.buckets[..Self::bucket(density)].iter().sum()
    }

    /// Total cost of the requests of this density or higher, to the precision of a bucket.
    pub fn cost_at_or_above(&self, density: f64) -> u64 {
        self.buckets[Self::bucket(density)..].iter().sum()
    }
}
