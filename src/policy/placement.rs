//! The choice of an upstream for a request, behind a trait object with three implementations.

use super::earliest::EarliestPlacement;
use super::{EngineSpeed, Moment, RoomKind, UpstreamIndex, UpstreamSet, UpstreamStatus};
use crate::table::PlacementChoice;
use rand::{Rng, RngCore};
use std::collections::HashMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt in one hashed block.
const BLOCK_BYTES: usize = 512;
/// Most blocks hashed of one prompt.
const MOST_BLOCKS: usize = 64;
/// Tokens in a block, for the worth of a cached one.
const BLOCK_TOKENS: f64 = 128.0;
/// Points of each upstream on the ring.
const RING_POINTS: u64 = 16;
/// Pools with at most this many open upstreams are searched whole.
const SEARCH_ALL: usize = 32;
/// Random candidates in larger pools.
const RANDOM_CANDIDATES: usize = 6;
/// Ring successors tried in larger pools.
const RING_CANDIDATES: usize = 2;
/// Entries of one generation of the prefix index.
const INDEX_ENTRIES: usize = 16_384;
/// An upstream holds on to its prefixes up to this many times the pool's mean load.
const LOAD_BOUND: f64 = 1.25;
/// Added to the bound, so that a nearly idle pool does not spread its prefixes.
const LOAD_SLACK: f64 = 0.1;
/// A straggler costs this many times its estimate.
const STRAGGLER_PRICE: f64 = 4.0;

/// Cumulative hashes of a prompt's leading blocks: equal hashes mean equal prefixes.
pub fn prefix_hashes(prompt: &[u8]) -> Box<[u64]> {
    let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MOST_BLOCKS);
    blocks
        .scan(0u64, |hash, block| {
            *hash = xxh3_64_with_seed(block, *hash);
            Some(*hash)
        })
        .collect()
}

/// How well a place must fit a request, or the request waits for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceFit {
    /// The answer ends in the caller's time even if it is twice as long as guessed.
    Safe,
    /// It ends in time if it is about as long as guessed.
    Likely,
    /// Any place will do.
    Any,
}

/// What a placement is asked for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Hashes of the prompt's leading blocks, shortest prefix first.
    pub prefix: &'a [u64],
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Estimated output tokens.
    pub output_tokens: u32,
    /// The pool's learned speed.
    pub speed: EngineSpeed,
    /// Which room it may take.
    pub room: RoomKind,
    /// How well a place must fit, or the request waits for another one.
    pub fit: PlaceFit,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// The longest good pause between events, of the routes that use the pool as this request's does.
    pub pause: Option<Duration>,
    /// What is left of the caller's time.
    pub left: Duration,
    /// Now.
    pub now: Moment,
}

/// A way to choose an upstream among the open ones.
pub trait PlacementPolicy: Send {
    /// The upstream to use, or none if none is open.
    fn place(
        &mut self,
        set: &UpstreamSet,
        query: &PlacementQuery<'_>,
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamIndex>;
    /// Learns that a prompt with these blocks went to an upstream.
    fn dispatched(&mut self, _prefix: &[u64], _upstream: UpstreamIndex) {}
    /// Learns that an upstream has dropped a block from its cache.
    fn evicted(&mut self, _block: u64, _upstream: UpstreamIndex) {}
}

/// The policy a table asks for.
pub fn placement_policy(choice: PlacementChoice) -> Box<dyn PlacementPolicy> {
    match choice {
        PlacementChoice::Affinity => Box::new(AffinityPlacement::default()),
        PlacementChoice::RoundRobin => Box::new(RoundRobin::default()),
        PlacementChoice::LeastReported => Box::new(LeastReported),
        PlacementChoice::Earliest => Box::new(EarliestPlacement),
    }
}

/// Each open upstream in turn.
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
        let next = set
            .open(query.room)
            .iter()
            .filter(|index| last.is_none_or(|last| **index > last))
            .min();
        self.last = next.or_else(|| set.open(query.room).iter().min()).copied();
        self.last
    }
}

/// The least load as last reported.
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
        set.open(query.room).iter().min_by_key(|index| (load(index), **index)).copied()
    }
}

/// Which upstream was last sent each prefix. Two generations of bounded size stand in for an exact
/// least-recently-used order; a wrong entry costs a prefill, never an answer.
#[derive(Debug, Default)]
struct PrefixIndex {
    young: HashMap<u64, UpstreamIndex>,
    old: HashMap<u64, UpstreamIndex>,
}

impl PrefixIndex {
    fn get(&self, block: u64) -> Option<UpstreamIndex> {
        self.young.get(&block).or_else(|| self.old.get(&block)).copied()
    }

    fn insert(&mut self, block: u64, upstream: UpstreamIndex) {
        if self.young.len() >= INDEX_ENTRIES {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(block, upstream);
    }

    fn remove(&mut self, block: u64, upstream: UpstreamIndex) {
        for entries in [&mut self.young, &mut self.old] {
            if entries.get(&block) == Some(&upstream) {
                entries.remove(&block);
            }
        }
    }

    /// The upstream with the longest known prefix, and the number of its blocks.
    fn longest(&self, prefix: &[u64]) -> Option<(UpstreamIndex, usize)> {
        let lengths = (1..=prefix.len()).rev();
        lengths
            .filter_map(|length| self.get(prefix[length - 1]).map(|upstream| (upstream, length)))
            .next()
    }
}

/// Prefix affinity under a load bound, then the least estimated time among a few candidates.
///
/// New prefixes are spread by a consistent-hashing ring (Karger et al., 1997), so that several daemons
/// choose alike without talking; the load term keeps a hot prefix from filling one upstream (compare
/// consistent hashing with bounded loads, Mirrokni et al., 2016).
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

/// Estimated microseconds to answer on `status`, given how many tokens of the prompt it has cached.
/// Load enters as the slowing of steps by what already runs there, this daemon's or others'.
fn estimated_micros(
    status: &UpstreamStatus,
    query: &PlacementQuery<'_>,
    cached_tokens: f64,
) -> f64 {
    let prefill =
        (f64::from(query.prompt_tokens) - cached_tokens).max(0.0) * query.speed.prefill_micros;
    let gap = status.gap_micros.unwrap_or(query.speed.gap_micros);
    let others = (status.corrected_requests(query.now) - f64::from(status.in_flight)).max(0.0);
    let mean_cost = f64::from(query.prompt_tokens + query.output_tokens).max(1.0);
    let load = status.load() + others * mean_cost / status.limit.usual_tokens(mean_cost).max(1.0);
    let run = f64::from(query.output_tokens.max(1)) * gap * (1.0 + load);
    let total = prefill * (1.0 + load) + run;
    if status.is_straggler { total * STRAGGLER_PRICE } else { total }
}

/// Requests at an upstream, this daemon's and others', as a part of what it may hold.
fn request_load(status: &UpstreamStatus, now: Moment) -> f64 {
    status.corrected_requests(now) / status.limit.requests().max(1.0)
}

/// Mean load of a pool's open upstreams; of a few taken at random where there are many.
fn mean_load(set: &UpstreamSet, query: &PlacementQuery<'_>, rng: &mut dyn RngCore) -> f64 {
    let open = set.open(query.room);
    let load =
        |index: UpstreamIndex| set.get(index).map_or(0.0, |status| request_load(status, query.now));
    if open.len() <= SEARCH_ALL {
        return open.iter().map(|index| load(*index)).sum::<f64>() / open.len().max(1) as f64;
    }
    let sampled = (0..SEARCH_ALL).map(|_| load(open[rng.random_range(0..open.len())]));
    sampled.sum::<f64>() / SEARCH_ALL as f64
}

impl AffinityPlacement {
    /// The upstream that holds the prompt's prefix, or the first on the ring that should, unless it is
    /// loaded beyond the bound. What goes wrong without this rule: the estimates below weigh the time of
    /// this request alone, in which a little less load outweighs the prefill saved, although the prefill
    /// holds up the whole batch; prefixes then wander over the pool and are computed again everywhere.
    fn holder(
        &self,
        set: &UpstreamSet,
        query: &PlacementQuery<'_>,
        known: Option<UpstreamIndex>,
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamIndex> {
        let key = query.prefix.first()?;
        let bound = mean_load(set, query, rng) * LOAD_BOUND + LOAD_SLACK;
        let is_fit = |index: &UpstreamIndex| {
            set.get(*index).is_some_and(|status| {
                status.has_room(query.room)
                    && !status.is_straggler
                    && request_load(status, query.now) <= bound
            })
        };
        known.into_iter().chain(self.ring_candidates(*key)).find(is_fit)
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
        let open = set.open(query.room);
        let known = self.index.longest(query.prefix);
        if let Some(upstream) = self.holder(set, query, known.map(|(upstream, _)| upstream), rng) {
            return Some(upstream);
        }
        let home = query.prefix.first().and_then(|key| self.ring_candidates(*key).next());
        let mut best: Option<(f64, UpstreamIndex)> = None;
        let mut consider = |index: UpstreamIndex| {
            let Some(status) = set.get(index).filter(|status| status.has_room(query.room)) else {
                return;
            };
            let cached = match known {
                Some((upstream, blocks)) if upstream == index => blocks as f64 * BLOCK_TOKENS,
                // Nobody is known to have the prefix: lean to its home, where other daemons send it too.
                None if home == Some(index) => 0.5 * BLOCK_TOKENS,
                _ => 0.0,
            };
            let micros = estimated_micros(status, query, cached);
            if best.is_none_or(|(least, chosen)| (micros, index) < (least, chosen)) {
                best = Some((micros, index));
            }
        };
        if open.len() <= SEARCH_ALL {
            open.iter().copied().for_each(&mut consider);
            return best.map(|(_, index)| index);
        }
        known.into_iter().for_each(|(index, _)| consider(index));
        query
            .prefix
            .first()
            .into_iter()
            .flat_map(|key| self.ring_candidates(*key))
            .for_each(&mut consider);
        for _ in 0..RANDOM_CANDIDATES {
            consider(open[rng.random_range(0..open.len())]);
        }
        best.map(|(_, index)| index)
    }

    fn dispatched(&mut self, prefix: &[u64], upstream: UpstreamIndex) {
        prefix.iter().for_each(|block| self.index.insert(*block, upstream));
    }

    fn evicted(&mut self, block: u64, upstream: UpstreamIndex) {
        self.index.remove(block, upstream);
    }
}
