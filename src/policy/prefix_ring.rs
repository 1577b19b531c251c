//! Consistent hashing of prompt parts onto upstreams, with bounded loads.

use super::prefix_table::{MAX_HOLDERS, PrefixHolders, PrefixTable, SentPrompt};
use super::{Moment, PlacementQuery, PrefixMark, UpstreamIndex, UpstreamSet, UpstreamStatus};
use std::collections::BTreeMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Points per upstream on the ring, so that upstreams own about equally many parts.
const POINTS_PER_UPSTREAM: u64 = 16;
/// An upstream owns parts while it has at most this multiple of the mean number of requests; the parts
/// of a busier one go to the next on the ring. With a smaller multiple parts move more often, and with
/// a larger one a hot part fills its owner.
const LOAD_BOUND: f64 = 1.25;
/// An upstream that has joined or started again is expected to hold what it owns after this time, or
/// once this daemon has sent it the part.
const JOIN_TIME: Duration = Duration::from_secs(1);

/// Owners of prompt parts by consistent hashing with bounded loads (Mirrokni et al., 2016).
///
/// All daemons that know the same upstreams and about the same loads agree on the owner of a part
/// without messages: they send the part there, so that the owner is expected to hold it. Only upstreams
/// of the daemon's group own parts, as placement prefers these.
#[derive(Debug)]
pub struct PrefixRing {
    /// This daemon's own sends.
    table: PrefixTable,
    points: Vec<(u64, UpstreamIndex)>,
    generation: Option<u64>,
    /// When each upstream was first seen.
    joined: BTreeMap<UpstreamIndex, Moment>,
    /// Owners of the reviewed request's parts, longest part first.
    owners: Vec<(UpstreamIndex, PrefixMark)>,
    holders: Vec<UpstreamIndex>,
}

impl PrefixRing {
    /// Creates an empty ring; `memory_tokens` is the memory of one upstream, if stated.
    pub fn new(memory_tokens: Option<u64>) -> Self {
        PrefixRing {
            table: PrefixTable::new(memory_tokens),
            points: Vec::new(),
            generation: None,
            joined: BTreeMap::new(),
            owners: Vec::new(),
            holders: Vec::new(),
        }
    }

    fn refresh(&mut self, set: &UpstreamSet, now: Moment) {
        if self.generation == Some(set.generation) {
            return;
        }
        // Upstreams that serve when this daemon starts may hold what the other daemons sent.
        let joined_at = if self.generation.is_none() { Moment(0) } else { now };
        self.generation = Some(set.generation);
        self.joined.retain(|index, _| set.get(*index).is_some());
        self.points.clear();
        for status in set.iter().filter(|status| status.is_usable()) {
            self.joined.entry(status.index).or_insert(joined_at);
            let name = status.source.name.as_str().as_bytes();
            let hashes = (0..POINTS_PER_UPSTREAM).map(|point| xxh3_64_with_seed(name, point));
            self.points.extend(hashes.map(|hash| (hash, status.index)));
        }
        self.points.sort_unstable();
    }

    /// The first upstream from the part's place on the ring whose load is within `bound`.
    fn owner(
        &self,
        set: &UpstreamSet,
        query: &PlacementQuery<'_>,
        hash: u64,
        bound: u32,
    ) -> Option<UpstreamIndex> {
        let from = self.points.partition_point(|(point, _)| *point < hash);
        let (before, after) = self.points.split_at(from);
        let mut places = after.iter().chain(before).map(|(_, index)| *index);
        places.find(|index| {
            let is_owner = |status: &UpstreamStatus| {
                status.is_in_group && query.accepts(status) && known_requests(status) < bound
            };
            set.get(*index).is_some_and(is_owner)
        })
    }

    fn is_joined(&self, upstream: UpstreamIndex, now: Moment) -> bool {
        self.joined.get(&upstream).is_some_and(|at| now.since(*at) >= JOIN_TIME || at.0 == 0)
    }
}

fn known_requests(status: &UpstreamStatus) -> u32 {
    status.in_flight + status.peer_work.total_requests()
}

/// The number of requests that no owner may have reached, the new request included in the mean.
fn load_bound(set: &UpstreamSet) -> u32 {
    let usable = || set.iter().filter(|status| status.is_usable() && status.is_in_group);
    let total: u32 = usable().map(known_requests).sum();
    (LOAD_BOUND * f64::from(total + 1) / usable().count().max(1) as f64).ceil() as u32
}

impl PrefixHolders for PrefixRing {
    fn review(&mut self, set: &UpstreamSet, query: &PlacementQuery<'_>) {
        self.refresh(set, query.now);
        self.table.review(set, query);
        self.owners.clear();
        self.holders.clear();
        if query.prefix.is_empty() {
            return;
        }
        let bound = load_bound(set);
        for mark in query.prefix.iter().rev().take(MAX_HOLDERS) {
            let Some(owner) = self.owner(set, query, mark.hash, bound) else { continue };
            self.owners.push((owner, *mark));
            self.holders.push(owner);
        }
    }

    fn holders(&self) -> &[UpstreamIndex] {
        &self.holders
    }

    fn held_tokens(&self, status: &UpstreamStatus, query: &PlacementQuery<'_>) -> f64 {
        let is_held = |mark: &PrefixMark| {
            self.is_joined(status.index, query.now)
                || self.table.has_use(mark.hash, status.index, query.now)
        };
        let mut owned = self.owners.iter().filter(|(owner, _)| *owner == status.index);
        let longest = owned.find(|(_, mark)| is_held(mark));
        longest.map_or(0.0, |(_, mark)| {
            f64::from(mark.tokens.min(query.prompt_tokens)) * self.table.weight(status, query, 0.0)
        })
    }

    fn record_send(&mut self, prompt: SentPrompt<'_>, upstream: UpstreamIndex, now: Moment) {
        self.table.record_send(prompt, upstream, now);
    }

    fn retract_send(&mut self, prefix: &[PrefixMark], upstream: UpstreamIndex) {
        self.table.retract_send(prefix, upstream);
    }
}
