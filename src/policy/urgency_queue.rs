//! Queue for pools whose requests have latency objectives: ordered by value density (value per unit
//! of cost), with requests that are still in time first.
//!
//! Designed for bursts of twice the engines' capacity, where first in, first out makes every
//! request late because each waits behind others that are late already. Serving by density makes
//! the most of engine time: a request that can still meet its objective has more value than one
//! that no longer can, a higher rank more than a lower one, and a short request more per unit of
//! cost than a long one. A lane holds the requests of one tier and rank. Every [`TURN`]th dispatch
//! rotates among the lanes and takes the request due first, so that no lane starves; every
//! [`OWED_TURN`]th takes a request of an underserved size, so that no size starves.

use super::queue::{WaitingQueue, WaitingRequest};
use super::worth::{CostLadder, LATE_WORTH, LaneMeans, step_worth};
use super::{
    Mechanism, MechanismSet, Moment, OrganisationIndex, RequestId, TierProgress, TierRank,
    TierShare, WaitingLevels, WorthLevel,
};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

/// Interval, in dispatches, at which one rotates among the lanes.
const TURN: u32 = 16;
/// Interval, in dispatches, at which one goes to a request of an underserved size. Not every
/// dispatch: such requests are large, and the few engines that fit them are seldom free.
const OWED_TURN: u32 = 4;

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
type DenseOrder = BTreeSet<(Reverse<DensityKey>, Moment, RequestId)>;

/// Requests of one tier and one rank within it.
#[derive(Debug)]
struct UrgencyLane {
    tier: TierRank,
    rank: u8,
    /// Value of a request of mean size.
    worth: f64,
    means: LaneMeans,
    /// Requests of underserved sizes, in time or late, by due time; they are in no other set of the
    /// lane.
    owed: BTreeSet<(Moment, RequestId)>,
    due: BTreeSet<(Moment, RequestId)>,
    in_time: DenseOrder,
    late: DenseOrder,
    cost: u64,
}

impl UrgencyLane {
    fn density(&self, request: &WaitingRequest, by_size: bool) -> f64 {
        let density = match by_size && !request.is_owed {
            true => self.means.density(request.prompt_tokens, request.output_tokens, request.cost),
            false => self.means.mean_density(),
        };
        self.worth * density
    }

    fn insert(&mut self, queued: &QueuedRequest) {
        let request = &queued.request;
        self.cost += u64::from(request.cost);
        if request.is_owed {
            self.owed.insert((request.start_by, request.id));
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
        self.owed.remove(&(request.start_by, request.id));
        if !self.in_time.remove(&key) {
            self.late.remove(&key);
        }
    }

    /// The next request outside `owed` and its density; requests in time come first.
    fn head(&self) -> Option<(f64, RequestId)> {
        let in_time = self.in_time.first().map(|(density, _, id)| (density.0.density(), *id));
        let late = self.late.first().map(|(density, _, id)| (density.0.density(), *id));
        in_time.or(late)
    }

    /// The request in time that is due first, or else the first of the late ones.
    fn due_first(&self) -> Option<RequestId> {
        self.due.first().map(|(_, id)| *id).or_else(|| self.late.first().map(|(.., id)| *id))
    }

    /// The request to evict first.
    fn last(&self) -> Option<RequestId> {
        let usual = self.late.last().or(self.in_time.last()).map(|(.., id)| *id);
        usual.or(self.owed.last().map(|(_, id)| *id))
    }

    fn len(&self) -> usize {
        self.owed.len() + self.usual_len()
    }

    /// Number of requests outside `owed`.
    fn usual_len(&self) -> usize {
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
    late: BTreeSet<(Moment, RequestId)>,
    ladder: CostLadder,
    popped: u32,
    next_turn: usize,
}

impl UrgencyQueue {
    /// Creates an empty queue for `tiers`.
    pub fn new(tiers: &[TierShare], mechanisms: MechanismSet) -> Self {
        UrgencyQueue {
            tiers: tiers.to_vec(),
            mechanisms,
            lanes: Vec::new(),
            entries: HashMap::new(),
            late: BTreeSet::new(),
            ladder: CostLadder::default(),
            popped: 0,
            next_turn: 0,
        }
    }

    fn lane(&mut self, tier: TierRank, rank: u8) -> &mut UrgencyLane {
        let position = self.lanes.iter().position(|lane| lane.tier == tier && lane.rank == rank);
        let position = position.unwrap_or_else(|| {
            self.lanes.push(UrgencyLane {
                tier,
                rank,
                worth: step_worth(&self.tiers, tier, rank),
                means: LaneMeans::default(),
                owed: BTreeSet::new(),
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
    fn age(&mut self, now: Moment) {
        for lane in &mut self.lanes {
            while let Some((start_by, id)) = lane.due.first().copied().filter(|due| due.0 < now) {
                lane.due.remove(&(start_by, id));
                let Some(queued) = self.entries.get_mut(&id) else { continue };
                let key = (Reverse(queued.density), start_by, id);
                lane.in_time.remove(&key);
                let late = DensityKey::of(queued.density.density() * LATE_WORTH);
                lane.late.insert((Reverse(late), start_by, id));
                self.ladder.remove(queued.density.density(), queued.request.cost);
                self.ladder.add(late.density(), queued.request.cost);
                queued.density = late;
            }
        }
    }

    /// The first request of an underserved size in the highest lane that has one.
    fn first_owed(&self) -> Option<RequestId> {
        let owed = self.lanes.iter().filter_map(|lane| Some((lane, lane.owed.first()?)));
        owed.min_by_key(|(lane, first)| (lane.tier, lane.rank, **first)).map(|(_, (_, id))| *id)
    }

    fn next(&mut self) -> Option<RequestId> {
        self.popped += 1;
        if self.popped % OWED_TURN == 1
            && let Some(id) = self.first_owed()
        {
            return Some(id);
        }
        if self.popped.is_multiple_of(TURN) && self.mechanisms.has(Mechanism::LaneTurns) {
            let count = self.lanes.len();
            let turns = (0..count).map(|step| (self.next_turn + step) % count.max(1));
            let turn = turns.into_iter().find(|position| self.lanes[*position].usual_len() > 0);
            let Some(turn) = turn else { return self.first_owed() };
            self.next_turn = turn + 1;
            return self.lanes[turn].due_first();
        }
        let heads = self.lanes.iter().filter_map(UrgencyLane::head);
        let best = heads.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id);
        best.or_else(|| self.first_owed())
    }

    fn density(&mut self, request: &WaitingRequest) -> f64 {
        let by_size = self.mechanisms.has(Mechanism::SizeOrder);
        self.lane(request.tier, request.rank).density(request, by_size)
    }

    fn enqueue(&mut self, request: WaitingRequest) {
        let density = DensityKey::of(self.density(&request));
        self.ladder.add(density.density(), request.cost);
        self.late.insert((request.late_at, request.id));
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

    fn push_back_first(&mut self, request: WaitingRequest) {
        self.enqueue(request);
    }

    fn pop(&mut self, _lowest: TierRank, now: Moment) -> Option<WaitingRequest> {
        self.age(now);
        let id = self.next()?;
        self.remove(id)
    }

    fn remove(&mut self, id: RequestId) -> Option<WaitingRequest> {
        let queued = self.entries.remove(&id)?;
        let (tier, rank) = (queued.request.tier, queued.request.rank);
        self.late.remove(&(queued.request.late_at, id));
        self.lane(tier, rank).remove(&queued);
        self.ladder.remove(queued.density.density(), queued.request.cost);
        Some(queued.request)
    }

    fn evict_below(&mut self, tier: TierRank) -> Option<WaitingRequest> {
        let lower = self.lanes.iter().filter(|lane| lane.tier > tier && lane.len() > 0);
        let lowest = lower.min_by(|a, b| a.worth.total_cmp(&b.worth))?;
        let id = lowest.last()?;
        self.remove(id)
    }

    fn pop_late(&mut self, now: Moment) -> Option<WaitingRequest> {
        let (late_at, id) = self.late.first().copied()?;
        if late_at >= now { None } else { self.remove(id) }
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

    fn cost_before(&mut self, request: &WaitingRequest, is_late: bool, now: Moment) -> u64 {
        self.age(now);
        let density = self.density(request);
        self.ladder.cost_from(if is_late { density * LATE_WORTH } else { density })
    }

    fn levels(&self) -> WaitingLevels {
        let mut levels = WaitingLevels::default();
        // Requests of underserved sizes have dispatches reserved for them; others do not yield to
        // them.
        let usual = self.entries.values().filter(|queued| !queued.request.is_owed);
        let densities = usual.map(|queued| queued.density.density());
        densities.for_each(|density| levels.add(WorthLevel::of(density), 1));
        levels
    }

    fn level(&mut self, request: &WaitingRequest, now: Moment) -> Option<WorthLevel> {
        let density = self.density(request);
        let is_late = request.start_by < now;
        Some(WorthLevel::of(if is_late { density * LATE_WORTH } else { density }))
    }

    fn drain(&mut self) -> Vec<WaitingRequest> {
        let mut requests: Vec<WaitingRequest> =
            self.entries.drain().map(|(_, queued)| queued.request).collect();
        requests.sort_by_key(|request| (request.arrived, request.id));
        self.late.clear();
        self.lanes.clear();
        self.ladder = CostLadder::default();
        requests
    }
}
