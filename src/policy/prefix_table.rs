//! Which upstream is expected to hold which leading parts of prompts.
//!
//! A model engine does not process the leading parts of a prompt again while it still holds them. What
//! it holds is not reported, so it is inferred, behind one trait: [`PrefixTable`] from this daemon's own
//! recent sends, and [`PrefixRing`](super::PrefixRing) from a ring on which all daemons agree. A wrong
//! expectation costs the time to process the parts again, and nothing else.

use super::{Moment, PlacementQuery, PrefixRing, UpstreamIndex, UpstreamSet, UpstreamStatus};
use crate::table::PrefixReuse;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A use older than this no longer counts. An engine that reads 17,000 tokens per second, as at 1.5
/// million tokens per second on 90 engines, turns over a memory of 550,000 tokens within it.
const EXPIRY: Duration = Duration::from_secs(30);
/// Maximum number of uses in the table; at about 40 bytes each they take less than 1 MB.
const MAX_USES: usize = 16_384;
/// Uses that are left after the oldest ones are removed from a full table.
const USES_AFTER_REMOVAL: usize = MAX_USES / 2;
/// Share of the upstream's free memory that may have been filled since the last use before the
/// expectation is reduced. It reaches 0 when all of it may have been filled.
const TRUSTED_TURNOVER: f64 = 0.5;
/// Reduction of the expectation at an upstream whose slots are all in use: what others do there is known
/// with a delay, and running requests take memory from the parts that are kept.
const BUSY_REDUCTION: f64 = 0.25;
/// Weight of a new sample in the mean numbers of requests of this daemon and of all.
const FLEET_WEIGHT: f64 = 0.05;
/// Maximum number of upstreams whose requests are counted for one sample.
const MAX_FLEET_SAMPLE: usize = 64;
/// Maximum number of holders proposed for one request in addition to the upstreams that placement
/// samples from a large pool.
pub(super) const MAX_HOLDERS: usize = 8;

/// A leading part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixMark {
    /// Cumulative hash: equal hashes mean equal prompts up to here.
    pub hash: u64,
    /// Prompt tokens up to here.
    pub tokens: u32,
}

/// How a pool takes into account what its upstreams hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixPlan {
    pub mode: PrefixReuse,
    /// Tokens that fit into the memory of one upstream, if stated.
    pub memory_tokens: Option<u64>,
}

/// A prompt that was sent to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct SentPrompt<'a> {
    /// Its leading parts, shortest first.
    pub prefix: &'a [PrefixMark],
    /// Tokens that the upstream stores in addition to those that it is expected to hold.
    pub new_tokens: u64,
}

/// Expectations about the leading parts of prompts that upstreams hold.
pub trait PrefixHolders: Send + fmt::Debug {
    /// Prepares for the placement of one request.
    fn review(&mut self, set: &UpstreamSet, query: &PlacementQuery<'_>);
    /// Upstreams that may hold a part of the reviewed request's prompt.
    fn holders(&self) -> &[UpstreamIndex];
    /// Tokens of the reviewed request's prompt that the upstream is expected to hold.
    fn held_tokens(&self, status: &UpstreamStatus, query: &PlacementQuery<'_>) -> f64;
    /// Records a prompt that was sent to an upstream.
    fn record_send(&mut self, prompt: SentPrompt<'_>, upstream: UpstreamIndex, now: Moment);
    /// Withdraws a prompt that did not reach the upstream.
    fn retract_send(&mut self, prefix: &[PrefixMark], upstream: UpstreamIndex);
}

/// Builds the expectations that a plan selects; `None` if it selects none.
pub fn prefix_holders(plan: PrefixPlan) -> Option<Box<dyn PrefixHolders>> {
    match plan.mode {
        PrefixReuse::Off => None,
        PrefixReuse::Recent => Some(Box::new(PrefixTable::new(plan.memory_tokens))),
        PrefixReuse::Ring => Some(Box::new(PrefixRing::new(plan.memory_tokens))),
    }
}

/// The last use of a leading part at an upstream.
#[derive(Clone, Copy, Debug)]
struct LastUse {
    at: Moment,
    /// This daemon's new tokens at the upstream until then.
    sent_tokens: u64,
}

/// This daemon's recent sends by leading part and upstream.
///
/// Upstream indexes are never reused, so an upstream that starts again under its old name holds
/// nothing.
#[derive(Debug)]
pub struct PrefixTable {
    memory_tokens: Option<u64>,
    uses: BTreeMap<(u64, UpstreamIndex), LastUse>,
    /// This daemon's new tokens at each upstream.
    sent_tokens: BTreeMap<UpstreamIndex, u64>,
    /// The membership generation for which departed upstreams were removed.
    generation: Option<u64>,
    /// Mean numbers of requests of this daemon and of all daemons at the upstreams.
    own_requests: f64,
    all_requests: f64,
    holders: Vec<UpstreamIndex>,
}

impl PrefixTable {
    /// Creates an empty table; `memory_tokens` is the memory of one upstream, if stated.
    pub fn new(memory_tokens: Option<u64>) -> Self {
        PrefixTable {
            memory_tokens,
            uses: BTreeMap::new(),
            sent_tokens: BTreeMap::new(),
            generation: None,
            own_requests: 0.0,
            all_requests: 0.0,
            holders: Vec::new(),
        }
    }

    /// Number of uses in the table.
    pub fn len(&self) -> usize {
        self.uses.len()
    }

    /// True if the table has no uses.
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty()
    }

    /// True if this daemon has sent the part to the upstream and the use has not expired.
    pub(super) fn has_use(&self, hash: u64, upstream: UpstreamIndex, now: Moment) -> bool {
        self.uses.get(&(hash, upstream)).is_some_and(|last| now.since(last.at) < EXPIRY)
    }

    /// The share of its memory that the running requests leave for parts that it keeps, in tokens;
    /// `None` if its memory is not stated.
    fn free_tokens(&self, status: &UpstreamStatus, query: &PlacementQuery<'_>) -> Option<f64> {
        let running = f64::from(status.in_flight + status.peer_work.total_requests());
        let used = running * f64::from(query.prompt_tokens.saturating_add(query.output_tokens));
        self.memory_tokens.map(|memory| (memory as f64 - used).max(0.0))
    }

    /// How far a part is expected to be held, from 0.0 to 1.0, if `turnover` tokens came after its last
    /// use.
    pub(super) fn weight(
        &self,
        status: &UpstreamStatus,
        query: &PlacementQuery<'_>,
        turnover: f64,
    ) -> f64 {
        let kept = match self.free_tokens(status, query) {
            None => 1.0,
            Some(free) => {
                let left = 1.0 - turnover / free.max(1.0);
                (left / (1.0 - TRUSTED_TURNOVER)).clamp(0.0, 1.0)
            }
        };
        kept * (1.0 - BUSY_REDUCTION * status.occupancy().min(1.0))
    }

    /// Estimated tokens that all daemons have added at the upstream since a use.
    fn turnover(&self, last: LastUse, upstream: UpstreamIndex) -> f64 {
        let sent = self.sent_tokens.get(&upstream).copied().unwrap_or_default();
        let own = sent.saturating_sub(last.sent_tokens) as f64;
        own * (self.all_requests / self.own_requests.max(f64::MIN_POSITIVE)).clamp(1.0, 1e4)
    }

    /// Removes the uses at upstreams that have left or started again.
    fn remove_departed(&mut self, set: &UpstreamSet) {
        if self.generation == Some(set.generation) {
            return;
        }
        self.generation = Some(set.generation);
        let is_known = |index| set.get(index).is_some_and(UpstreamStatus::is_in_service);
        self.uses.retain(|(_, index), _| is_known(*index));
        self.sent_tokens.retain(|index, _| is_known(*index));
    }

    fn record_fleet(&mut self, set: &UpstreamSet) {
        let sample = || set.iter().take(MAX_FLEET_SAMPLE);
        let own: u32 = sample().map(|status| status.in_flight).sum();
        let others: u32 = sample().map(|status| status.peer_work.total_requests()).sum();
        // The request being placed counts as this daemon's.
        let (own, all) = (f64::from(own + 1), f64::from(own + 1 + others));
        self.own_requests += (own - self.own_requests) * FLEET_WEIGHT;
        self.all_requests += (all - self.all_requests) * FLEET_WEIGHT;
    }

    /// Removes expired uses from a full table, and then the oldest ones.
    fn make_room(&mut self, now: Moment) {
        if self.uses.len() < MAX_USES {
            return;
        }
        self.uses.retain(|_, last| now.since(last.at) < EXPIRY);
        let Some(excess) = self.uses.len().checked_sub(USES_AFTER_REMOVAL) else { return };
        let mut times: Vec<Moment> = self.uses.values().map(|last| last.at).collect();
        times.sort_unstable();
        let Some(oldest) = times.get(excess).copied() else { return };
        self.uses.retain(|_, last| last.at > oldest);
    }
}

impl PrefixHolders for PrefixTable {
    fn review(&mut self, set: &UpstreamSet, query: &PlacementQuery<'_>) {
        self.remove_departed(set);
        self.record_fleet(set);
        self.holders.clear();
        for mark in query.prefix.iter().rev() {
            let at_all = (mark.hash, UpstreamIndex(0))..=(mark.hash, UpstreamIndex(u32::MAX));
            for ((_, upstream), _) in self.uses.range(at_all) {
                if self.holders.len() >= MAX_HOLDERS {
                    return;
                }
                if !self.holders.contains(upstream) {
                    self.holders.push(*upstream);
                }
            }
        }
    }

    fn holders(&self) -> &[UpstreamIndex] {
        &self.holders
    }

    fn held_tokens(&self, status: &UpstreamStatus, query: &PlacementQuery<'_>) -> f64 {
        let known = |mark: &PrefixMark| {
            let last = self.uses.get(&(mark.hash, status.index))?;
            let is_current = query.now.since(last.at) < EXPIRY;
            let weight = self.weight(status, query, self.turnover(*last, status.index));
            is_current.then(|| f64::from(mark.tokens.min(query.prompt_tokens)) * weight)
        };
        query.prefix.iter().filter_map(known).fold(0.0, f64::max)
    }

    fn record_send(&mut self, prompt: SentPrompt<'_>, upstream: UpstreamIndex, now: Moment) {
        if prompt.prefix.is_empty() && !self.sent_tokens.contains_key(&upstream) {
            return;
        }
        let sent = self.sent_tokens.entry(upstream).or_default();
        *sent += prompt.new_tokens;
        let last = LastUse { at: now, sent_tokens: *sent };
        for mark in prompt.prefix {
            self.make_room(now);
            self.uses.insert((mark.hash, upstream), last);
        }
    }

    fn retract_send(&mut self, prefix: &[PrefixMark], upstream: UpstreamIndex) {
        for mark in prefix {
            self.uses.remove(&(mark.hash, upstream));
        }
    }
}
