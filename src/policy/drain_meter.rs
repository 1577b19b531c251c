//! Measures how fast a pool drains its queue.

use super::{Moment, TierRank};
use std::collections::BTreeMap;
use std::time::Duration;

/// Duration of one sample.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Tokens per second below which a tier counts as idle.
const IDLE_TOKENS_PER_SECOND: f64 = 1.0;

/// The progress of a tier's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TierProgress {
    pub rank: TierRank,
    /// True if any of the tier's requests are waiting.
    pub has_backlog: bool,
    /// The queue's virtual time: the service received by a continuously backlogged organisation of
    /// weight 1.
    pub virtual_time: u64,
}

/// Measured throughput of one tier.
#[derive(Clone, Copy, Debug, Default)]
struct TierFlow {
    /// Tokens dispatched since the sample began.
    tokens: u64,
    /// Tokens dispatched per second.
    rate: f64,
    /// The virtual time at the start of the sample, if requests were waiting then.
    sample_virtual_start: Option<u64>,
    /// Rate of virtual time per second while requests were waiting.
    virtual_rate: Option<f64>,
}

/// Measures the tokens dispatched per second by tier, and the rate of each tier's virtual time
/// while requests wait.
///
/// A wait estimated from limits and run times (Little's law) is too short whenever a limit is not
/// fully used, and for an organisation that demands more than its share. Requests would be admitted
/// that later have to be dropped as late: waits would end at the latest start time and answers
/// arrive just too late. Fair queueing serves every backlogged organisation at the rate of its
/// tier's virtual time, so this one measured rate gives the wait of each of them.
#[derive(Clone, Debug, Default)]
pub struct DrainMeter {
    sample_start: Option<Moment>,
    flows: BTreeMap<TierRank, TierFlow>,
}

impl DrainMeter {
    /// Records the dispatch of `cost` tokens of `tier`.
    pub fn dispatched(&mut self, tier: TierRank, cost: u32) {
        self.flows.entry(tier).or_default().tokens += u64::from(cost);
    }

    /// Completes the current sample if its duration has elapsed.
    pub fn tick(&mut self, progress: impl Iterator<Item = TierProgress>, now: Moment) {
        let elapsed = self.sample_start.map(|start| now.since(start));
        if elapsed.is_some_and(|elapsed| elapsed < SAMPLE_INTERVAL) {
            return;
        }
        self.sample_start = Some(now);
        for tier in progress {
            let flow = self.flows.entry(tier.rank).or_default();
            if let Some(elapsed) = elapsed {
                flow.sample(tier, elapsed.as_secs_f64());
            }
            flow.tokens = 0;
            flow.sample_virtual_start = tier.has_backlog.then_some(tier.virtual_time);
        }
    }

    /// Tokens dispatched per second, summed over all tiers.
    pub fn total_rate(&self) -> f64 {
        self.flows.values().map(|flow| flow.rate).sum()
    }

    /// Estimates the seconds until a request of `tier` is served that has `virtual_span` of virtual
    /// time before it, assuming that lower tiers yield to it; `None` if the tier never had a
    /// backlog.
    pub fn wait_seconds(&self, tier: TierRank, virtual_span: u64) -> Option<f64> {
        let flow = self.flows.get(&tier)?;
        let lower: f64 = self.flows.range(tier..).skip(1).map(|(_, flow)| flow.rate).sum();
        let lower_tier_speedup = 1.0 + lower / flow.rate.max(IDLE_TOKENS_PER_SECOND);
        Some(virtual_span as f64 / (flow.virtual_rate? * lower_tier_speedup))
    }
}

impl TierFlow {
    fn sample(&mut self, tier: TierProgress, seconds: f64) {
        self.rate += (self.tokens as f64 / seconds - self.rate) * SAMPLE_WEIGHT;
        let Some(start) = self.sample_virtual_start.filter(|_| tier.has_backlog) else { return };
        let sample = (tier.virtual_time.saturating_sub(start) as f64 / seconds).max(1.0);
        let rate = self.virtual_rate.map_or(sample, |rate| rate + (sample - rate) * SAMPLE_WEIGHT);
        self.virtual_rate = Some(rate);
    }
}
