//! Queue for pools whose requests have latency objectives: ordered by value density (value per unit
//! of cost), with requests that are still in time first.
//!
//! Designed for bursts of twice the engines' capacity, where first in, first out makes every
//! request late because each waits behind others that are late already. Serving by density makes
//! the most of engine time: a request that can still meet its objective has more value than one
//! that no longer can, a higher rank more than a lower one, and a short request more per unit of
//! cost than a long one. A lane holds the requests of one tier and rank. Every
//! [`ROTATION_INTERVAL`]th dispatch rotates among the lanes and takes the request due first, so
//! that no lane starves; every [`UNDERSERVED_INTERVAL`]th takes a request of an underserved size,
//! so that no size starves.

use super::queue::{WaitingQueue, WaitingRequest};
use super::value_density::{CostHistogram, LATE_VALUE_RATIO, LaneMeans, base_value};
use super::{
    DensityLevel, Mechanism, MechanismSet, Moment, OrganisationIndex, RequestId, TierProgress,
    TierRank, TierShare, WaitingLevels,
};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

/// Interval, in dispatches, at which one rotates among the lanes.
const ROTATION_INTERVAL: u32 = 16;
/// Interval, in dispatches, at which one goes to a request of an underserved size. Not every
/// dispatch: such requests are large, and the few engines that fit them are seldom free.
const UNDERSERVED_INTERVAL: u32 = 4;

/// Value density as an ordered integer: non-negative floats sort in the order of their bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DensityKey(u64);

impl DensityKey {
    fn of(density: f64) -> Self {
        DensityKey(density.max(0.0).to_bits())
    }

    fn density(self) -> f64 {
        f64::from_bits(self.0)
    }
}

/// A request and its current value density, reduced once it is late.
#[derive(Debug)]
struct QueuedRequest {
    request: WaitingRequest,
    density: DensityKey,
}

/// Requests by descending density, then by due time.
type DensityOrder = BTreeSet<(Reverse<DensityKey>, Moment, RequestId)>;

/// Requests of one tier and one rank within it.
#[derive(Debug)]
struct UrgencyLane {
    tier: TierRank,
    rank: u8,
    /// Value of a request of mean size.
    value: f64,
    means: LaneMeans,
    /// Requests of underserved sizes, in time or late, by due time; they are in no other set of the
    /// lane.
    underserved: BTreeSet<(Moment, RequestId)>,
    due: BTreeSet<(Moment, RequestId)>,
    in_time: DensityOrder,
    late: DensityOrder,
    cost: u64,
}

impl UrgencyLane {
    fn density(&self, request: &WaitingRequest, by_size: bool) -> f64 {
        let density = match by_size && !request.is_underserved {
            true => self.means.density(request.prompt_tokens, request.output_tokens, request.cost),
            false => self.means.mean_density(),
        };
        self.value * density
    }

    fn insert(&mut self, queued: &QueuedRequest) {
        let request = &queued.request;
        self.cost += u64::from(request.cost);
        if request.is_underserved {
            self.underserved.insert((request.start_by, request.id));
            return;
        }
        self.due.insert((request.start_by, request.id));
        self.in_time.insert((Reverse(queued.density), request.start_by, request.id));
    }

    fn remove(&mut self, queued: &QueuedRequest) {
        let request = &queued.request;
        let key = (Reverse(queued.density), request.start_by, request.id);
        self.cost -= u64::from(request.cost);
        self.due.remove(&(request.start_by, request.id));
        self.underserved.remove(&(request.start_by, request.id));
        if !self.in_time.remove(&key) {
            self.late.remove(&key);
        }
    }

    /// The next request outside `underserved` and its density; requests in time come first.
    fn head(&self) -> Option<(f64, RequestId)> {
        let in_time = self.in_time.first().map(|(density, _, id)| (density.0.density(), *id));
        let late = self.late.first().map(|(density, _, id)| (density.0.density(), *id));
        in_time.or(late)
    }

    /// The request in time that is due first, or else the first of the late ones.
    fn earliest_due(&self) -> Option<RequestId> {
        self.due.first().map(|(_, id)| *id).or_else(|| self.late.first().map(|(.., id)| *id))
    }

    /// The request to evict first.
    fn eviction_candidate(&self) -> Option<RequestId> {
        let regular = self.late.last().or(self.in_time.last()).map(|(.., id)| *id);
        regular.or(self.underserved.last().map(|(_, id)| *id))
    }

    fn len(&self) -> usize {
        self.underserved.len() + self.regular_len()
    }

    /// Number of requests outside `underserved`.
    fn regular_len(&self) -> usize {
        self.in_time.len() + self.late.len()
    }
}

/// Queue ordered by value density.
#[derive(Debug)]
pub struct UrgencyQueue {
    tiers: Vec<TierShare>,
    mechanisms: MechanismSet,
    lanes: Vec<UrgencyLane>,
    entries: HashMap<RequestId, QueuedRequest>,
    by_review_at: BTreeSet<(Moment, RequestId)>,
    histogram: CostHistogram,
    popped: u32,
    next_lane: usize,
}

impl UrgencyQueue {
    /// Creates an empty queue for `tiers`.
    pub fn new(tiers: &[TierShare], mechanisms: MechanismSet) -> Self {
        UrgencyQueue {
            tiers: tiers.to_vec(),
            mechanisms,
            lanes: Vec::new(),
            entries: HashMap::new(),
            by_review_at: BTreeSet::new(),
            histogram: CostHistogram::default(),
            popped: 0,
            next_lane: 0,
        }
    }

    fn lane(&mut self, tier: TierRank, rank: u8) -> &mut UrgencyLane {
        let position = self.lanes.iter().position(|lane| lane.tier == tier && lane.rank == rank);
        let position = position.unwrap_or_else(|| {
            self.lanes.push(UrgencyLane {
                tier,
                rank,
                value: base_value(&self.tiers, tier, rank),
                means: LaneMeans::default(),
                underserved: BTreeSet::new(),
                due: BTreeSet::new(),
                in_time: BTreeSet::new(),
                late: BTreeSet::new(),
                cost: 0,
            });
            self.lanes.len() - 1
        });
        &mut self.lanes[position]
    }

    /// Marks requests whose latest start has passed as late and lowers their density.
    fn mark_late(&mut self, now: Moment) {
        for lane in &mut self.lanes {
            while let Some((start_by, id)) = lane.due.first().copied().filter(|due| due.0 < now) {
                lane.due.remove(&(start_by, id));
                let Some(queued) = self.entries.get_mut(&id) else { continue };
                let key = (Reverse(queued.density), start_by, id);
                lane.in_time.remove(&key);
                let late = DensityKey::of(queued.density.density() * LATE_VALUE_RATIO);
                lane.late.insert((Reverse(late), start_by, id));
                self.histogram.remove(queued.density.density(), queued.request.cost);
                self.histogram.add(late.density(), queued.request.cost);
                queued.density = late;
            }
        }
    }

    /// The first request of an underserved size in the highest lane that has one.
    fn first_underserved(&self) -> Option<RequestId> {
        let underserved =
            self.lanes.iter().filter_map(|lane| Some((lane, lane.underserved.first()?)));
        underserved
            .min_by_key(|(lane, first)| (lane.tier, lane.rank, **first))
            .map(|(_, (_, id))| *id)
    }

    fn next(&mut self) -> Option<RequestId> {
        self.popped += 1;
        if self.popped % UNDERSERVED_INTERVAL == 1
            && let Some(id) = self.first_underserved()
        {
            return Some(id);
        }
        if self.popped.is_multiple_of(ROTATION_INTERVAL)
            && self.mechanisms.has(Mechanism::LaneTurns)
        {
            let count = self.lanes.len();
            let lane_indices = (0..count).map(|step| (self.next_lane + step) % count.max(1));
            let lane_idx =
                lane_indices.into_iter().find(|position| self.lanes[*position].regular_len() > 0);
            let Some(lane_idx) = lane_idx else { return self.first_underserved() };
            self.next_lane = lane_idx + 1;
            return self.lanes[lane_idx].earliest_due();
        }
        let heads = self.lanes.iter().filter_map(UrgencyLane::head);
        let best = heads.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id);
        best.or_else(|| self.first_underserved())
    }

    fn density(&mut self, request: &WaitingRequest) -> f64 {
        let by_size = self.mechanisms.has(Mechanism::SizeOrder);
        self.lane(request.tier, request.rank).density(request, by_size)
    }

    fn enqueue(&mut self, request: WaitingRequest) {
        let density = DensityKey::of(self.density(&request));
        self.histogram.add(density.density(), request.cost);
        self.by_review_at.insert((request.review_at, request.id));
        let queued = QueuedRequest { request, density };
        self.lane(queued.request.tier, queued.request.rank).insert(&queued);
        self.entries.insert(queued.request.id, queued);
    }
}

impl WaitingQueue for UrgencyQueue {
    fn push(&mut self, request: WaitingRequest) {
        let (prompt, output) = (request.prompt_tokens, request.output_tokens);
        self.lane(request.tier, request.rank).means.learn(prompt, output, request.cost);
        self.enqueue(request);
    }

    fn requeue_front(&mut self, request: WaitingRequest) {
        self.enqueue(request);
    }

    fn pop(&mut self, _lowest: TierRank, now: Moment) -> Option<WaitingRequest> {
        self.mark_late(now);
        let id = self.next()?;
        self.remove(id)
    }

    fn remove(&mut self, id: RequestId) -> Option<WaitingRequest> {
        let queued = self.entries.remove(&id)?;
        let (tier, rank) = (queued.request.tier, queued.request.rank);
        self.by_review_at.remove(&(queued.request.review_at, id));
        self.lane(tier, rank).remove(&queued);
        self.histogram.remove(queued.density.density(), queued.request.cost);
        Some(queued.request)
    }

    fn evict_below(&mut self, tier: TierRank) -> Option<WaitingRequest> {
        let lower = self.lanes.iter().filter(|lane| lane.tier > tier && lane.len() > 0);
        let lowest = lower.min_by(|a, b| a.value.total_cmp(&b.value))?;
        let id = lowest.eviction_candidate()?;
        self.remove(id)
    }

    fn pop_for_review(&mut self, now: Moment) -> Option<WaitingRequest> {
        let (review_at, id) = self.by_review_at.first().copied()?;
        if review_at >= now { None } else { self.remove(id) }
    }

    fn len(&self) -> usize {
        self.entries.len()
    }

    fn waiting_tokens(&self, tier: TierRank) -> u64 {
        self.lanes.iter().filter(|lane| lane.tier == tier).map(|lane| lane.cost).sum()
    }

    fn waiting_count(&self, tier: TierRank) -> usize {
        self.lanes.iter().filter(|lane| lane.tier == tier).map(UrgencyLane::len).sum()
    }

    fn progress(&self, tier: TierRank) -> TierProgress {
        let has_backlog = self.waiting_count(tier) > 0;
        TierProgress { rank: tier, has_backlog, virtual_time: 0 }
    }

    fn virtual_span(&self, _tier: TierRank, _organisation: OrganisationIndex, _weight: u32) -> u64 {
        0
    }

    fn cost_ahead(&mut self, request: &WaitingRequest, is_late: bool, now: Moment) -> u64 {
        self.mark_late(now);
        let density = self.density(request);
        self.histogram.cost_at_or_above(if is_late { density * LATE_VALUE_RATIO } else { density })
    }

    fn waiting_levels(&self) -> WaitingLevels {
        let mut levels = WaitingLevels::default();
        // Requests of underserved sizes have dispatches reserved for them; others do not yield to
        // them.
        let regular = self.entries.values().filter(|queued| !queued.request.is_underserved);
        let densities = regular.map(|queued| queued.density.density());
        densities.for_each(|density| levels.add(DensityLevel::of(density), 1));
        levels
    }

    fn density_level(&mut self, request: &WaitingRequest, now: Moment) -> Option<DensityLevel> {
        let density = self.density(request);
        let is_late = request.start_by < now;
        Some(DensityLevel::of(if is_late { density * LATE_VALUE_RATIO } else { density }))
    }

    fn drain(&mut self) -> Vec<WaitingRequest> {
        let mut requests: Vec<WaitingRequest> =
            self.entries.drain().map(|(_, queued)| queued.request).collect();
        requests.sort_by_key(|request| (request.arrived, request.id));
        self.by_review_at.clear();
        self.lanes.clear();
        self.histogram = CostHistogram::default();
        requests
    }
}
