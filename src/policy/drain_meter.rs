//! How fast a pool works off its queue, as measured.

use super::{Moment, TierRank};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time over which one sample is taken.
const SAMPLE_TIME: Duration = Duration::from_millis(500);
/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Tokens a second below which a tier counts as idle.
const IDLE_RATE: f64 = 1.0;

/// How far a tier's queue has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TierProgress {
    /// The tier.
    pub rank: TierRank,
    /// True if any of its requests wait.
    pub has_backlog: bool,
    /// The virtual time of its queue: what an organisation of weight 1 that always waits has been served.
    pub virtual_time: u64,
}

/// One tier's flow.
#[derive(Clone, Copy, Debug, Default)]
struct TierFlow {
    /// Tokens dispatched since the sample began.
    tokens: u64,
    /// Tokens a second.
    rate: f64,
    /// The virtual time when the sample began, if requests waited then.
    virtual_from: Option<u64>,
    /// Virtual time a second while requests waited.
    virtual_rate: Option<f64>,
}

/// Tokens dispatched a second by tier, and the speed of each tier's virtual time while requests wait.
///
/// What goes wrong without it: a wait reckoned from limits and run times (Little's law) is too short as soon
/// as a limit is not used to the full, and for an organisation that wants more than its share; requests are
/// let in that must be given up as late. One would notice by waits that end at the latest start, and by
/// answers that come just too late. Fair queueing serves every waiting organisation at the speed of its
/// tier's virtual time, so that one measured number tells the wait of each.
#[derive(Clone, Debug, Default)]
pub struct DrainMeter {
    since: Option<Moment>,
    flows: BTreeMap<TierRank, TierFlow>,
}

impl DrainMeter {
    /// Work of `cost` tokens of `tier` was dispatched.
    pub fn dispatched(&mut self, tier: TierRank, cost: u32) {
        self.flows.entry(tier).or_default().tokens += u64::from(cost);
    }

    /// Looks at the clock, and takes a sample if it is time.
    pub fn tick(&mut self, progress: impl Iterator<Item = TierProgress>, now: Moment) {
        let elapsed = self.since.map(|since| now.since(since));
        if elapsed.is_some_and(|elapsed| elapsed < SAMPLE_TIME) {
            return;
        }
        self.since = Some(now);
        for tier in progress {
            let flow = self.flows.entry(tier.rank).or_default();
            if let Some(elapsed) = elapsed {
                flow.sample(tier, elapsed.as_secs_f64());
            }
            flow.tokens = 0;
            flow.virtual_from = tier.has_backlog.then_some(tier.virtual_time);
        }
    }

    /// Tokens dispatched a second, of all tiers.
    pub fn total_rate(&self) -> f64 {
        self.flows.values().map(|flow| flow.rate).sum()
    }

    /// Seconds until a request of `tier` is served that has `virtual_span` of virtual time before it, with no
    /// lower tier in its way; none if the tier never had a backlog.
    pub fn wait(&self, tier: TierRank, virtual_span: u64) -> Option<f64> {
        let flow = self.flows.get(&tier)?;
        let lower: f64 = self.flows.range(tier..).skip(1).map(|(_, flow)| flow.rate).sum();
        let alone = 1.0 + lower / flow.rate.max(IDLE_RATE);
        Some(virtual_span as f64 / (flow.virtual_rate? * alone))
    }
}

impl TierFlow {
    fn sample(&mut self, tier: TierProgress, seconds: f64) {
        self.rate += (self.tokens as f64 / seconds - self.rate) * SAMPLE_WEIGHT;
        let Some(from) = self.virtual_from.filter(|_| tier.has_backlog) else { return };
        let sample = (tier.virtual_time.saturating_sub(from) as f64 / seconds).max(1.0);
        let rate = self.virtual_rate.map_or(sample, |rate| rate + (sample - rate) * SAMPLE_WEIGHT);
        self.virtual_rate = Some(rate);
    }
}
