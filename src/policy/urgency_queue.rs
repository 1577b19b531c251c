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
//!
//! Within a lane, requests that are within their organisation's share go before those beyond it,
//! of those in time and of the late ones alike. Which lane is served does not depend on it: lanes
//! compete by the densest request of each.

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

impl QueuedRequest {
    /// Its position in the [`DensityOrder`] of its lane.
    fn key(&self) -> (Reverse<DensityKey>, Moment, RequestId) {
        (Reverse(self.density), self.request.start_by, self.request.id)
    }
}

/// Requests by descending density, then by due time.
type DensityOrder = BTreeSet<(Reverse<DensityKey>, Moment, RequestId)>;

/// Requests of a lane that are within their organisations' shares, or those beyond them.
#[derive(Debug, Default)]
struct ShareClass {
    due: BTreeSet<(Moment, RequestId)>,
    in_time: DensityOrder,
    late: DensityOrder,
    in_time_costs: CostHistogram,
    late_costs: CostHistogram,
}

impl ShareClass {
    fn insert(&mut self, queued: &QueuedRequest) {
        let request = &queued.request;
        self.due.insert((request.start_by, request.id));
        self.in_time.insert(queued.key());
        self.in_time_costs.add(queued.density.density(), request.cost);
    }

    fn remove(&mut self, queued: &QueuedRequest) {
        let request = &queued.request;
        self.due.remove(&(request.start_by, request.id));
        let density = queued.density.density();
        if self.in_time.remove(&queued.key()) {
            self.in_time_costs.remove(density, request.cost);
        } else if self.late.remove(&queued.key()) {
            self.late_costs.remove(density, request.cost);
        }
    }

    fn order(&self, is_late: bool) -> &DensityOrder {
        if is_late { &self.late } else { &self.in_time }
    }

    fn costs(&self, is_late: bool) -> &CostHistogram {
        if is_late { &self.late_costs } else { &self.in_time_costs }
    }
}

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
    within: ShareClass,
    over: ShareClass,
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
        self.class(request.is_over_share).insert(queued);
    }

    fn remove(&mut self, queued: &QueuedRequest) {
        let request = &queued.request;
        self.cost -= u64::from(request.cost);
        self.underserved.remove(&(request.start_by, request.id));
        self.class(request.is_over_share).remove(queued);
    }

    fn class(&mut self, is_over_share: bool) -> &mut ShareClass {
        if is_over_share { &mut self.over } else { &mut self.within }
    }

    /// The classes in the order of service.
    fn classes(&self) -> [&ShareClass; 2] {
        [&self.within, &self.over]
    }

    /// The next request outside `underserved`, and the highest density of those that are in time or
    /// late like it; requests in time come first.
    fn head(&self) -> Option<(f64, RequestId)> {
        self.head_of(false).or_else(|| self.head_of(true))
    }

    fn head_of(&self, is_late: bool) -> Option<(f64, RequestId)> {
        let mut heads = self.classes().into_iter().filter_map(|class| class.order(is_late).first());
        let (density, _, id) = heads.next()?;
        let densest = heads.map(|(density, ..)| density.0).fold(density.0, DensityKey::max);
        Some((densest.density(), *id))
    }

    /// The request in time that is due first, or else the first of the late ones.
    fn earliest_due(&self) -> Option<RequestId> {
        let due = self.classes().into_iter().find_map(|class| class.due.first());
        due.map(|(_, id)| *id).or_else(|| self.head_of(true).map(|(_, id)| id))
    }

    /// The request to evict first.
    fn eviction_candidate(&self) -> Option<RequestId> {
        let orders = [&self.over.late, &self.within.late, &self.over.in_time, &self.within.in_time];
        let regular = orders.into_iter().find_map(|order| order.last()).map(|(.., id)| *id);
        regular.or(self.underserved.last().map(|(_, id)| *id))
    }

    /// Cost of the lane's requests that precede one of `density` only through their organisations'
    /// shares, less that of those that follow it only through them.
    fn cost_by_share(&self, density: f64, is_over_share: bool, is_late: bool) -> i64 {
        match is_over_share {
            true => self.within.costs(is_late).cost_below(density) as i64,
            false => -(self.over.costs(is_late).cost_at_or_above(density) as i64),
        }
    }

    fn len(&self) -> usize {
        self.underserved.len() + self.regular_len()
    }

    /// Number of requests outside `underserved`.
    fn regular_len(&self) -> usize {
        self.classes().into_iter().map(|class| class.in_time.len() + class.late.len()).sum()
    }
}

/// Density of a request in comparison with those of other daemons. One beyond its organisation's
/// share yields to those within their shares as a late one does to those in time: the ratio is
/// above that of two ranks, so that the order of the ranks stays.
fn share_density(request: &WaitingRequest, density: f64) -> f64 {
    if request.is_over_share { density * LATE_VALUE_RATIO } else { density }
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
                within: ShareClass::default(),
                over: ShareClass::default(),
                cost: 0,
            });
            self.lanes.len() - 1
        });
        &mut self.lanes[position]
    }

    /// Marks requests whose latest start has passed as late and lowers their density.
    fn mark_late(&mut self, now: Moment) {
        for lane in &mut self.lanes {
            for class in [&mut lane.within, &mut lane.over] {
                while let Some(id) = class.due.first().filter(|due| due.0 < now).map(|due| due.1) {
                    let Some(queued) = self.entries.get_mut(&id) else {
                        class.due.pop_first();
                        continue;
                    };
                    class.remove(queued);
                    self.histogram.remove(queued.density.density(), queued.request.cost);
                    let late = queued.density.density() * LATE_VALUE_RATIO;
                    queued.density = DensityKey::of(late);
                    class.late.insert(queued.key());
                    class.late_costs.add(late, queued.request.cost);
                    self.histogram.add(late, queued.request.cost);
                }
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
        let density = if is_late { density * LATE_VALUE_RATIO } else { density };
        let cost = self.histogram.cost_at_or_above(density);
        let lane = self.lane(request.tier, request.rank);
        cost.saturating_add_signed(lane.cost_by_share(density, request.is_over_share, is_late))
    }

    fn waiting_levels(&self) -> WaitingLevels {
        let mut levels = WaitingLevels::default();
        // Requests of underserved sizes have dispatches reserved for them; others do not yield to
        // them.
        let regular = self.entries.values().filter(|queued| !queued.request.is_underserved);
        let densities =
            regular.map(|queued| share_density(&queued.request, queued.density.density()));
        densities.for_each(|density| levels.add(DensityLevel::of(density), 1));
        levels
    }

    fn density_level(&mut self, request: &WaitingRequest, now: Moment) -> Option<DensityLevel> {
        let density = self.density(request);
        let density = share_density(request, density);
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
