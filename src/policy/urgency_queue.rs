//! The queue of pools whose requests have objectives: by worth, those still in time first.
//!
//! Answers the load of a burst of twice what the engines carry. First in, first out then makes every request
//! late: each waits behind those that are late already. Here a request that can still meet its objective goes
//! before those that cannot any more, which are worth less; a lower lane waits for a higher one, but for every
//! [`TURN`]th place, which goes round among the lanes, so that none starves.

use super::queue::{WaitingQueue, WaitingRequest};
use super::{Moment, OrganisationIndex, RequestId, TierProgress, TierRank, TierShare};
use std::collections::{BTreeSet, HashMap};

/// What a late answer is worth beside one in time: 0.3 on one of the given sheets, 0.48 on the other.
const LATE_WORTH: f64 = 0.3;
/// Worth of a request in time, by rank within its tier. On both given sheets the first two ranks are worth as much for
/// the same work on an engine and the third a sixteenth to a twenty-ninth, so one of the second rank that is in time
/// goes before a late one of the first, and one of the third after it (as far as one turn in [`TURN`] allows).
const RANK_WORTHS: [f64; 4] = [1.0, 0.5, 0.1, 0.02];
/// Worth of a request of a tier beside one of the tier above. So little less that a late request of a high tier never
/// goes before one in time of a lower tier and the same rank: in a burst that lasts, late requests of the highest tier
/// would take all places, and nothing would be in time (measured: a third of all answers).
const TIER_STEP: f64 = 0.8;
/// One place in so many goes round among the lanes.
const TURN: u32 = 16;

/// Requests of one tier and one rank within it.
#[derive(Debug)]
struct UrgencyLane {
    tier: TierRank,
    rank: u8,
    worth: f64,
    in_time: BTreeSet<(Moment, RequestId)>,
    late: BTreeSet<(Moment, RequestId)>,
    cost_in_time: u64,
    cost_late: u64,
}

impl UrgencyLane {
    /// Moves those whose time to start has passed to the late ones.
    fn age(&mut self, now: Moment, entries: &HashMap<RequestId, WaitingRequest>) {
        while let Some((start_by, id)) = self.in_time.first().copied() {
            if start_by >= now {
                return;
            }
            self.in_time.remove(&(start_by, id));
            self.late.insert((start_by, id));
            let cost = entries.get(&id).map_or(0, |request| u64::from(request.cost));
            self.cost_in_time -= cost;
            self.cost_late += cost;
        }
    }

    fn insert(&mut self, request: &WaitingRequest) {
        self.in_time.insert((request.start_by, request.id));
        self.cost_in_time += u64::from(request.cost);
    }

    fn remove(&mut self, request: &WaitingRequest) {
        let key = (request.start_by, request.id);
        let cost = u64::from(request.cost);
        if self.in_time.remove(&key) {
            self.cost_in_time -= cost;
        } else if self.late.remove(&key) {
            self.cost_late -= cost;
        }
    }

    /// The next request and its worth.
    fn head(&self) -> Option<(f64, RequestId)> {
        let in_time = self.in_time.first().map(|(_, id)| (self.worth, *id));
        in_time.or_else(|| self.late.first().map(|(_, id)| (self.worth * LATE_WORTH, *id)))
    }

    fn len(&self) -> usize {
        self.in_time.len() + self.late.len()
    }
}

/// The queue.
#[derive(Debug)]
pub struct UrgencyQueue {
    tiers: Vec<TierShare>,
    lanes: Vec<UrgencyLane>,
    entries: HashMap<RequestId, WaitingRequest>,
    late: BTreeSet<(Moment, RequestId)>,
    popped: u32,
    next_turn: usize,
}

impl UrgencyQueue {
    /// An empty queue over `tiers`.
    pub fn new(tiers: &[TierShare]) -> Self {
        UrgencyQueue {
            tiers: tiers.to_vec(),
            lanes: Vec::new(),
            entries: HashMap::new(),
            late: BTreeSet::new(),
            popped: 0,
            next_turn: 0,
        }
    }

    fn lane(&mut self, tier: TierRank, rank: u8) -> &mut UrgencyLane {
        let position = self.lanes.iter().position(|lane| lane.tier == tier && lane.rank == rank);
        let position = position.unwrap_or_else(|| {
            let above = self.tiers.iter().filter(|share| share.rank < tier).count();
            let weight = TIER_STEP.powi(above as i32);
            self.lanes.push(UrgencyLane {
                tier,
                rank,
                worth: weight * RANK_WORTHS[usize::from(rank).min(RANK_WORTHS.len() - 1)],
                in_time: BTreeSet::new(),
                late: BTreeSet::new(),
                cost_in_time: 0,
                cost_late: 0,
            });
            self.lanes.len() - 1
        });
        &mut self.lanes[position]
    }

    fn age(&mut self, now: Moment) {
        let entries = &self.entries;
        self.lanes.iter_mut().for_each(|lane| lane.age(now, entries));
    }

    fn next(&mut self) -> Option<RequestId> {
        self.popped += 1;
        if self.popped.is_multiple_of(TURN) {
            let count = self.lanes.len();
            let turns = (0..count).map(|step| (self.next_turn + step) % count.max(1));
            let turn = turns.into_iter().find(|position| self.lanes[*position].len() > 0)?;
            self.next_turn = turn + 1;
            return self.lanes[turn].head().map(|(_, id)| id);
        }
        let heads = self.lanes.iter().filter_map(UrgencyLane::head);
        heads.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
    }
}

impl WaitingQueue for UrgencyQueue {
    fn push(&mut self, request: WaitingRequest) {
        self.lane(request.tier, request.rank).insert(&request);
        self.late.insert((request.late_at, request.id));
        self.entries.insert(request.id, request);
    }

    fn push_back_first(&mut self, request: WaitingRequest) {
        self.push(request);
    }

    fn pop(&mut self, _lowest: TierRank, now: Moment) -> Option<WaitingRequest> {
        self.age(now);
        let id = self.next()?;
        self.remove(id)
    }

    fn remove(&mut self, id: RequestId) -> Option<WaitingRequest> {
        let request = self.entries.remove(&id)?;
        self.late.remove(&(request.late_at, id));
        self.lane(request.tier, request.rank).remove(&request);
        Some(request)
    }

    fn evict_below(&mut self, tier: TierRank) -> Option<WaitingRequest> {
        let lower = self.lanes.iter().filter(|lane| lane.tier > tier && lane.len() > 0);
        let lowest = lower.min_by(|a, b| a.worth.total_cmp(&b.worth))?;
        let id = lowest.late.last().or(lowest.in_time.last()).map(|(_, id)| *id)?;
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
        let lanes = self.lanes.iter().filter(|lane| lane.tier == tier);
        lanes.map(|lane| lane.cost_in_time + lane.cost_late).sum()
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
        let own = self.lane(request.tier, request.rank).worth;
        let worth = if is_late { own * LATE_WORTH } else { own };
        let before = self.lanes.iter().map(|lane| {
            let in_time = if lane.worth >= worth { lane.cost_in_time } else { 0 };
            let late = if lane.worth * LATE_WORTH >= worth { lane.cost_late } else { 0 };
            in_time + late
        });
        before.sum()
    }

    fn drain(&mut self) -> Vec<WaitingRequest> {
        let mut requests: Vec<WaitingRequest> =
            self.entries.drain().map(|(_, request)| request).collect();
        requests.sort_by_key(|request| (request.arrived, request.id));
        self.late.clear();
        self.lanes.clear();
        requests
    }
}
