//! Placement policies, which choose an upstream for a request, behind one trait.

use super::earliest_placement::EarliestPlacement;
use super::{
    CapacityClass, EngineSpeed, MemoryNeed, Moment, PlacementDemand, PrefixMark, PrefixPlan,
    SentPrompt, UpstreamIndex, UpstreamSet, UpstreamStatus,
};
use crate::table::PlacementMode;
use rand::{Rng, RngCore};
use std::borrow::Cow;
use std::collections::HashMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Prompt bytes per hashed block.
const BLOCK_BYTES: usize = 512;
/// Maximum number of blocks hashed per prompt.
const MAX_BLOCKS: usize = 64;
/// Tokens assumed per block when valuing cached blocks.
const BLOCK_TOKENS: f64 = 128.0;
/// Points per upstream on the consistent-hashing ring.
const RING_POINTS: u64 = 16;
/// Pools with at most this many open upstreams are searched exhaustively.
const FULL_SEARCH_LIMIT: usize = 32;
/// Random candidates considered in larger pools.
const RANDOM_CANDIDATES: usize = 6;
/// Ring successors considered in larger pools.
const RING_CANDIDATES: usize = 2;
/// Maximum entries in one generation of the prefix index.
const GENERATION_ENTRIES: usize = 16_384;
/// An upstream keeps its prefixes while its load is at most this multiple of the pool's mean.
const LOAD_BOUND_FACTOR: f64 = 1.25;
/// Added to the load bound so that a nearly idle pool does not spread its prefixes.
const LOAD_SLACK: f64 = 0.1;
/// Factor applied to the estimated time of a straggler.
const STRAGGLER_PENALTY: f64 = 4.0;

/// Returns cumulative hashes of the prompt's leading blocks: equal hashes mean equal prefixes.
pub fn prefix_hashes(prompt: &[u8]) -> Box<[u64]> {
    let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    blocks
        .scan(0u64, |hash, block| {
            *hash = xxh3_64_with_seed(block, *hash);
            Some(*hash)
        })
        .collect()
}

/// Returns the prompt's leading blocks as prefix marks, with the tokens assumed per block.
pub fn prefix_marks(prompt: &[u8]) -> Box<[PrefixMark]> {
    let hashes = prefix_hashes(prompt);
    let marks = hashes.iter().zip(1u32..);
    marks
        .map(|(hash, blocks)| PrefixMark { hash: *hash, tokens: blocks * BLOCK_TOKENS as u32 })
        .collect()
}

/// How much of a safety margin an upstream must have for a request to be sent there instead of
/// waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequiredFit {
    /// The answer meets the caller's deadline even if it is twice as long as estimated.
    Safe,
    /// The answer meets the deadline if it is about as long as estimated.
    Likely,
    /// No requirement.
    Any,
}

/// The request and pool properties that a placement decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// The prompt's leading parts that other prompts may share, shortest first.
    pub prefix: &'a [PrefixMark],
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Estimated output tokens.
    pub output_tokens: u32,
    /// The learned engine speed of the pool.
    pub speed: EngineSpeed,
    /// Which share of an upstream's capacity the request may use.
    pub capacity: CapacityClass,
    /// The margin an upstream must have for the request not to wait for another one.
    pub required_fit: RequiredFit,
    /// Tokens per streamed event.
    pub event_tokens: u32,
    /// The longest acceptable pause between events on routes that use the pool in the same way as
    /// this request's route.
    pub max_pause: Option<Duration>,
    /// What the request demands of its upstream.
    pub demand: &'a PlacementDemand,
    /// Upstreams to choose only if no other one is open.
    pub avoided: &'a [UpstreamIndex],
    /// What the request needs of its upstream's memory; `None` if that is not counted.
    pub memory: Option<MemoryNeed>,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    pub now: Moment,
}

impl PlacementQuery<'_> {
    /// Returns the open upstreams at which the request may be served.
    pub fn open<'s>(&self, set: &'s UpstreamSet) -> Cow<'s, [UpstreamIndex]> {
        let open = set.open(self.capacity);
        if self.demand.is_empty() && self.avoided.is_empty() && self.memory.is_none() {
            return Cow::Borrowed(open);
        }
        let is_candidate =
            |index: &&UpstreamIndex| set.get(**index).is_some_and(|status| self.accepts(status));
        Cow::Owned(open.iter().filter(is_candidate).copied().collect())
    }

    /// True if the request may be placed at the upstream, apart from its capacity.
    pub fn accepts(&self, status: &UpstreamStatus) -> bool {
        self.suits(status) && self.has_memory(status)
    }

    /// True if the request may be placed at the upstream once that has room for it.
    pub fn suits(&self, status: &UpstreamStatus) -> bool {
        status.meets(self.demand) && !self.avoided.contains(&status.index)
    }

    /// True if the request fits into the upstream's memory now.
    pub fn has_memory(&self, status: &UpstreamStatus) -> bool {
        self.memory.is_none_or(|need| status.has_memory(&need, self.now))
    }

    /// True if only the estimate of the other daemons' tokens keeps the request from the upstream.
    pub fn is_kept_out_by_estimate(&self, status: &UpstreamStatus) -> bool {
        let fits_own = self.memory.is_some_and(|need| status.memory.fits_own(&need));
        fits_own
            && status.has_capacity(self.capacity)
            && self.suits(status)
            && !self.has_memory(status)
    }
}

/// Chooses an upstream among the open ones.
pub trait PlacementPolicy: Send {
    /// Returns the chosen upstream, or `None` if none is open or the request should wait.
    fn place(
        &mut self,
        set: &UpstreamSet,
        query: &PlacementQuery<'_>,
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamIndex>;
    /// Records that a prompt with these blocks was sent to an upstream.
    fn dispatched(&mut self, _prefix: &[PrefixMark], _upstream: UpstreamIndex) {}
    /// Prompt tokens that the upstream chosen last is expected to hold.
    fn kept_tokens(&self) -> u32 {
        0
    }
    /// Records that a prompt was sent to an upstream that has a slot for it.
    fn record_send(&mut self, _prompt: SentPrompt<'_>, _upstream: UpstreamIndex, _now: Moment) {}
    /// Withdraws a send that did not reach its upstream.
    fn retract_send(&mut self, _prefix: &[PrefixMark], _upstream: UpstreamIndex) {}
    /// Number of choices that differ from those without regard to what upstreams hold.
    fn changed_choices(&self) -> u64 {
        0
    }
    /// Records that an upstream evicted a block from its cache.
    fn evicted(&mut self, _block: u64, _upstream: UpstreamIndex) {}
}

/// Builds the policy that the table selects.
pub fn placement_policy(choice: PlacementMode, prefix: PrefixPlan) -> Box<dyn PlacementPolicy> {
    match choice {
        PlacementMode::Affinity => Box::new(AffinityPlacement::default()),
        PlacementMode::RoundRobin => Box::new(RoundRobin::default()),
        PlacementMode::LeastReported => Box::new(LeastReported),
        PlacementMode::Earliest => Box::new(EarliestPlacement::new(prefix)),
    }
}

/// Cycles through the open upstreams.
#[derive(Debug, Default)]
pub struct RoundRobin {
    last: Option<UpstreamIndex>,
}

impl PlacementPolicy for RoundRobin {
    fn place(
        &mut self,
        set: &UpstreamSet,
        query: &PlacementQuery<'_>,
        _: &mut dyn RngCore,
    ) -> Option<UpstreamIndex> {
        let last = self.last;
        let open = query.open(set);
        let next = open.iter().filter(|index| last.is_none_or(|last| **index > last)).min();
        self.last = next.or_else(|| open.iter().min()).copied();
        self.last
    }
}

/// Chooses the upstream with the least load in its latest report.
#[derive(Debug)]
pub struct LeastReported;

impl PlacementPolicy for LeastReported {
    fn place(
        &mut self,
        set: &UpstreamSet,
        query: &PlacementQuery<'_>,
        _: &mut dyn RngCore,
    ) -> Option<UpstreamIndex> {
        let load = |index: &&UpstreamIndex| {
            set.get(**index).map_or(u32::MAX, UpstreamStatus::reported_requests)
        };
        query.open(set).iter().min_by_key(|index| (load(index), **index)).copied()
    }
}

/// Maps each prefix to the upstream it was last sent to. Two generations of bounded size
/// approximate a least-recently-used order; a stale entry costs an extra prefill but never affects
/// an answer.
#[derive(Debug, Default)]
struct PrefixIndex {
    recent: HashMap<u64, UpstreamIndex>,
    previous: HashMap<u64, UpstreamIndex>,
}

impl PrefixIndex {
    fn get(&self, block: u64) -> Option<UpstreamIndex> {
        self.recent.get(&block).or_else(|| self.previous.get(&block)).copied()
    }

    fn insert(&mut self, block: u64, upstream: UpstreamIndex) {
        if self.recent.len() >= GENERATION_ENTRIES {
            self.previous = std::mem::take(&mut self.recent);
        }
        self.recent.insert(block, upstream);
    }

    fn remove(&mut self, block: u64, upstream: UpstreamIndex) {
        for entries in [&mut self.recent, &mut self.previous] {
            if entries.get(&block) == Some(&upstream) {
                entries.remove(&block);
            }
        }
    }

    /// The upstream with the longest known prefix, and the length of that prefix in blocks.
    fn longest_prefix(&self, prefix: &[PrefixMark]) -> Option<(UpstreamIndex, usize)> {
        let lengths = (1..=prefix.len()).rev();
        lengths
            .filter_map(|length| {
                self.get(prefix[length - 1].hash).map(|upstream| (upstream, length))
            })
            .next()
    }
}

/// Prefix affinity under a load bound, falling back to the least estimated time among a few
/// candidates.
///
/// New prefixes are distributed by consistent hashing (Karger et al., 1997), so that several
/// daemons make the same choice without communicating. The load bound keeps a hot prefix from
/// filling one upstream (compare consistent hashing with bounded loads, Mirrokni et al., 2016).
#[derive(Debug, Default)]
pub struct AffinityPlacement {
    index: PrefixIndex,
    ring: Vec<(u64, UpstreamIndex)>,
    ring_generation: Option<u64>,
}

impl AffinityPlacement {
    fn refresh_ring(&mut self, set: &UpstreamSet) {
        if self.ring_generation == Some(set.generation) {
            return;
        }
        self.ring_generation = Some(set.generation);
        self.ring.clear();
        for status in set.iter() {
            let name = status.source.name.as_str().as_bytes();
            let points =
                (0..RING_POINTS).map(|point| (xxh3_64_with_seed(name, point), status.index));
            self.ring.extend(points);
        }
        self.ring.sort_unstable();
    }

    fn ring_candidates(&self, key: u64) -> impl Iterator<Item = UpstreamIndex> + '_ {
        let from = self.ring.partition_point(|(point, _)| *point < key);
        self.ring[from..]
            .iter()
            .chain(&self.ring[..from])
            .map(|(_, index)| *index)
            .take(RING_CANDIDATES)
    }
}

/// Estimates the microseconds until the answer ends on `status`, given how many prompt tokens are
/// cached there. Load enters as the slowdown of each step caused by requests already running,
/// whether sent by this daemon or by others.
fn estimated_micros(
    status: &UpstreamStatus,
    query: &PlacementQuery<'_>,
    cached_tokens: f64,
) -> f64 {
    let prefill =
        (f64::from(query.prompt_tokens) - cached_tokens).max(0.0) * query.speed.prefill_micros;
    let gap = status.gap_micros.unwrap_or(query.speed.gap_micros);
    let other_requests =
        (status.corrected_requests(query.now) - f64::from(status.in_flight)).max(0.0);
    let mean_cost = f64::from(query.prompt_tokens + query.output_tokens).max(1.0);
    let load = status.load()
        + other_requests * mean_cost / status.limit.tokens_at_mean_cost(mean_cost).max(1.0);
    let run = f64::from(query.output_tokens.max(1)) * gap * (1.0 + load);
    let total = prefill * (1.0 + load) + run;
    if status.is_straggler { total * STRAGGLER_PENALTY } else { total }
}

/// Requests at an upstream, from this daemon and others, relative to its request limit.
fn request_load(status: &UpstreamStatus, now: Moment) -> f64 {
    status.corrected_requests(now) / status.limit.requests().max(1.0)
}

/// Mean load of the open upstreams of a pool, estimated from a random sample in larger pools.
fn mean_load(set: &UpstreamSet, query: &PlacementQuery<'_>, rng: &mut dyn RngCore) -> f64 {
    let open = set.open(query.capacity);
    let load =
        |index: UpstreamIndex| set.get(index).map_or(0.0, |status| request_load(status, query.now));
    if open.len() <= FULL_SEARCH_LIMIT {
        return open.iter().map(|index| load(*index)).sum::<f64>() / open.len().max(1) as f64;
    }
    let sampled = (0..FULL_SEARCH_LIMIT).map(|_| load(open[rng.random_range(0..open.len())]));
    sampled.sum::<f64>() / FULL_SEARCH_LIMIT as f64
}

impl AffinityPlacement {
    /// Returns the upstream that holds the prompt's prefix, or else the first suitable ring
    /// successor, unless its load exceeds the bound. The time estimates alone would not keep
    /// prefixes in place: they consider only this request, for which slightly lower load outweighs
    /// the saved prefill, although the prefill delays the whole batch. Prefixes would then move
    /// around the pool and be recomputed everywhere.
    fn prefix_holder(
        &self,
        set: &UpstreamSet,
        query: &PlacementQuery<'_>,
        known: Option<UpstreamIndex>,
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamIndex> {
        let key = query.prefix.first()?.hash;
        let bound = mean_load(set, query, rng) * LOAD_BOUND_FACTOR + LOAD_SLACK;
        let is_fit = |index: &UpstreamIndex| {
            set.get(*index).is_some_and(|status| {
                status.has_capacity(query.capacity)
                    && query.accepts(status)
                    && !status.is_straggler
                    && request_load(status, query.now) <= bound
            })
        };
        known.into_iter().chain(self.ring_candidates(key)).find(is_fit)
    }
}

impl PlacementPolicy for AffinityPlacement {
    fn place(
        &mut self,
        set: &UpstreamSet,
        query: &PlacementQuery<'_>,
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamIndex> {
        self.refresh_ring(set);
        let open = query.open(set);
        let known = self.index.longest_prefix(query.prefix);
        if let Some(upstream) =
            self.prefix_holder(set, query, known.map(|(upstream, _)| upstream), rng)
        {
            return Some(upstream);
        }
        let ring_owner = query.prefix.first().and_then(|key| self.ring_candidates(key.hash).next());
        let mut best: Option<(f64, UpstreamIndex)> = None;
        let mut consider = |index: UpstreamIndex| {
            let can_serve = |status: &&UpstreamStatus| {
                status.has_capacity(query.capacity) && query.accepts(status)
            };
            let Some(status) = set.get(index).filter(can_serve) else {
                return;
            };
            let cached = match known {
                Some((upstream, blocks)) if upstream == index => blocks as f64 * BLOCK_TOKENS,
                // No upstream is known to have the prefix: prefer its ring owner, where other
                // daemons send it as well.
                None if ring_owner == Some(index) => 0.5 * BLOCK_TOKENS,
                _ => 0.0,
            };
            let micros = estimated_micros(status, query, cached);
            if best.is_none_or(|(least, chosen)| (micros, index) < (least, chosen)) {
                best = Some((micros, index));
            }
        };
        if open.len() <= FULL_SEARCH_LIMIT {
            open.iter().copied().for_each(&mut consider);
            return best.map(|(_, index)| index);
        }
        known.into_iter().for_each(|(index, _)| consider(index));
        query
            .prefix
            .first()
            .into_iter()
            .flat_map(|key| self.ring_candidates(key.hash))
            .for_each(&mut consider);
        for _ in 0..RANDOM_CANDIDATES {
            consider(open[rng.random_range(0..open.len())]);
        }
        best.map(|(_, index)| index)
    }

    fn dispatched(&mut self, prefix: &[PrefixMark], upstream: UpstreamIndex) {
        prefix.iter().for_each(|block| self.index.insert(block.hash, upstream));
    }

    fn evicted(&mut self, block: u64, upstream: UpstreamIndex) {
        self.index.remove(block, upstream);
    }
}
