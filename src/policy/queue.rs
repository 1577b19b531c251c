//! Waiting requests: weighted fair queueing by tier, then organisation, in tokens.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996) at two levels. A request that would miss its
//! deadline in its fair turn, but not if it went first, is taken before lower tiers ("rescue").

use super::{
    Moment, OrganisationIndex, RequestId, RouteKey, SizeClaim, SizeTenth, TierProgress, TierRank,
    WaitingLevels, WorthLevel,
};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

/// Virtual time per token at weight 1; large, so that integer division by weights loses little.
const TAG_SCALE: u64 = 1 << 20;
/// A head request is rescued when this share of its estimated run time is all the slack it has left.
const RESCUE_SLACK: f64 = 0.25;

/// A tier's weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TierShare {
    /// The tier.
    pub rank: TierRank,
    /// Its weight among the tiers that wait.
    pub weight: u32,
}

/// A request in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingRequest {
    /// Its id.
    pub id: RequestId,
    /// Whose it is.
    pub organisation: OrganisationIndex,
    /// The organisation's weight.
    pub weight: u32,
    /// Its tier.
    pub tier: TierRank,
    /// Its rank within the tier, 0 the highest.
    pub rank: u8,
    /// When it must be sent to meet its objective.
    pub start_by: Moment,
    /// Estimated tokens.
    pub cost: u32,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Estimated output tokens.
    pub output_tokens: u32,
    /// The longest good pause between its events.
    pub pause: Option<Duration>,
    /// When its answer must be complete.
    pub deadline: Moment,
    /// Estimated time from dispatch to the end.
    pub run_time: Duration,
    /// When it came.
    pub arrived: Moment,
    /// Cumulative hashes of the prompt's leading blocks.
    pub prefix: Box<[u64]>,
    /// Bytes of the prompt.
    pub prompt_bytes: usize,
    /// When the queue should give the request up as late; at first the latest start.
    pub late_at: Moment,
    /// Its caller waits no longer; [`WaitingRequest::late_at`] comes before that where its prospects are looked at.
    pub gives_up_at: Moment,
    /// Its kind.
    pub route: RouteKey,
    /// Its tenth by size among the requests of its kind, if that is known.
    pub size_tenth: Option<SizeTenth>,
    /// True if it is owed service, since too few of its size are served.
    pub is_owed: bool,
}

impl WaitingRequest {
    /// Where it counts by size.
    pub fn size_claim(&self) -> SizeClaim {
        SizeClaim {
            lane: (self.tier, self.rank),
            route: self.route,
            tenth: self.size_tenth,
            is_owed: self.is_owed,
        }
    }

    /// The last moment at which a dispatch still meets the deadline.
    pub fn latest_start(&self) -> Moment {
        Moment(self.deadline.0.saturating_sub(self.run_time.as_micros() as u64))
    }

    /// True if it must be dispatched now to meet its deadline.
    fn is_urgent(&self, now: Moment) -> bool {
        now + self.run_time.mul_f64(RESCUE_SLACK) >= self.latest_start()
    }
}

/// An order of waiting requests.
pub trait WaitingQueue: Send {
    /// Adds a request.
    fn push(&mut self, request: WaitingRequest);
    /// Puts a request that was popped but not sent back at the front of its turn.
    fn push_back_first(&mut self, request: WaitingRequest);
    /// Takes the next request; tiers below `lowest` are passed over.
    fn pop(&mut self, lowest: TierRank, now: Moment) -> Option<WaitingRequest>;
    /// Takes a request out, wherever it is.
    fn remove(&mut self, id: RequestId) -> Option<WaitingRequest>;
    /// Takes out the newest request of the lowest tier below `tier`, if any waits.
    fn evict_below(&mut self, tier: TierRank) -> Option<WaitingRequest>;
    /// Takes out a request whose `late_at` has passed.
    fn pop_late(&mut self, now: Moment) -> Option<WaitingRequest>;
    /// Requests waiting.
    fn len(&self) -> usize;
    /// True if none wait.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// Estimated tokens waiting in `tier`.
    fn waiting_tokens(&self, tier: TierRank) -> u64;
    /// How far a tier has come; an order without tiers has none.
    fn progress(&self, tier: TierRank) -> TierProgress {
        TierProgress { rank: tier, has_backlog: false, virtual_time: 0 }
    }
    /// Virtual time that passes before a new request of an organisation has its turn in its tier.
    fn virtual_span(&self, _tier: TierRank, _organisation: OrganisationIndex, _weight: u32) -> u64 {
        0
    }
    /// Requests waiting in `tier`.
    fn waiting_count(&self, tier: TierRank) -> usize;
    /// Tokens waiting that go before a request: while it is in time, or once it is late.
    fn cost_before(&mut self, _request: &WaitingRequest, _is_late: bool, _now: Moment) -> u64 {
        0
    }
    /// Waiting requests by what they are worth for their cost; none in an order that knows no worth.
    fn levels(&self) -> WaitingLevels {
        WaitingLevels::default()
    }
    /// The level of a request, waiting or not; none in an order that knows no worth.
    fn level(&mut self, _request: &WaitingRequest, _now: Moment) -> Option<WorthLevel> {
        None
    }
    /// Takes everything out, oldest first.
    fn drain(&mut self) -> Vec<WaitingRequest>;
}

#[derive(Debug, Default)]
struct OrganisationLane {
    ids: VecDeque<RequestId>,
    finish: u64,
    tokens: u64,
    live: usize,
    in_heap: bool,
    weight: u32,
}

#[derive(Debug)]
struct TierLane {
    rank: TierRank,
    weight: u64,
    start: u64,
    finish: u64,
    virtual_time: u64,
    tokens: u64,
    count: usize,
    lanes: HashMap<OrganisationIndex, OrganisationLane>,
    heap: BinaryHeap<Reverse<(u64, OrganisationIndex)>>,
}

impl TierLane {
    fn new(share: TierShare) -> Self {
        TierLane {
            rank: share.rank,
            weight: u64::from(share.weight.max(1)),
            start: 0,
            finish: 0,
            virtual_time: 0,
            tokens: 0,
            count: 0,
            lanes: HashMap::new(),
            heap: BinaryHeap::new(),
        }
    }

    fn push(&mut self, request: &WaitingRequest, first: bool) {
        let lane = self.lanes.entry(request.organisation).or_default();
        lane.weight = request.weight.max(1);
        match first {
            true => lane.ids.push_front(request.id),
            false => lane.ids.push_back(request.id),
        }
        lane.live += 1;
        lane.tokens += u64::from(request.cost);
        self.tokens += u64::from(request.cost);
        self.count += 1;
        if !lane.in_heap {
            lane.in_heap = true;
            let start = lane.finish.max(self.virtual_time);
            self.heap.push(Reverse((start, request.organisation)));
        }
    }

    /// The organisation whose turn it is and its first request, after dropping emptied lanes.
    fn head(
        &mut self,
        entries: &HashMap<RequestId, WaitingRequest>,
    ) -> Option<(u64, OrganisationIndex, RequestId)> {
        while let Some(Reverse((start, organisation))) = self.heap.peek().copied() {
            let lane = self.lanes.get_mut(&organisation)?;
            while lane.ids.front().is_some_and(|id| !entries.contains_key(id)) {
                lane.ids.pop_front();
            }
            match lane.ids.front() {
                Some(id) => return Some((start, organisation, *id)),
                None => {
                    lane.in_heap = false;
                    self.heap.pop();
                }
            }
        }
        None
    }

    /// Charges the head's organisation and moves it to its next turn.
    fn take_head(&mut self, start: u64, organisation: OrganisationIndex, request: &WaitingRequest) {
        self.heap.pop();
        self.virtual_time = self.virtual_time.max(start);
        self.forget(request);
        let Some(lane) = self.lanes.get_mut(&organisation) else { return };
        lane.ids.pop_front();
        lane.finish = start + u64::from(request.cost) * TAG_SCALE / u64::from(lane.weight);
        lane.in_heap = lane.live > 0;
        if lane.in_heap {
            self.heap.push(Reverse((lane.finish, organisation)));
        }
    }

    /// Takes a request out of the counts; its id stays in the lane until it comes to the front.
    fn forget(&mut self, request: &WaitingRequest) {
        self.tokens -= u64::from(request.cost);
        self.count -= 1;
        let Some(lane) = self.lanes.get_mut(&request.organisation) else { return };
        lane.live -= 1;
        lane.tokens -= u64::from(request.cost);
        if lane.live == 0 {
            lane.ids.clear();
        }
    }

    /// The newest request of the organisation with the most tokens waiting.
    fn newest(&mut self, entries: &HashMap<RequestId, WaitingRequest>) -> Option<RequestId> {
        let largest = self.lanes.iter().filter(|(_, lane)| lane.live > 0);
        let (organisation, _) =
            largest.max_by_key(|(organisation, lane)| (lane.tokens, **organisation))?;
        let organisation = *organisation;
        let lane = self.lanes.get_mut(&organisation)?;
        while let Some(id) = lane.ids.back().copied() {
            if entries.contains_key(&id) {
                return Some(id);
            }
            lane.ids.pop_back();
        }
        None
    }
}

/// Weighted fair queueing by tier, then organisation.
#[derive(Debug)]
pub struct FairQueue {
    tiers: Vec<TierLane>,
    entries: HashMap<RequestId, WaitingRequest>,
    late: BTreeSet<(Moment, RequestId)>,
    virtual_time: u64,
}

impl FairQueue {
    /// An empty queue over `shares`, any order.
    pub fn new(shares: &[TierShare]) -> Self {
        let mut tiers: Vec<TierLane> = shares.iter().copied().map(TierLane::new).collect();
        tiers.sort_by_key(|lane| lane.rank);
        FairQueue { tiers, entries: HashMap::new(), late: BTreeSet::new(), virtual_time: 0 }
    }

    /// The lane of `rank`; a rank that the table no longer has counts as the lowest tier.
    fn position(&self, rank: TierRank) -> usize {
        self.tiers
            .iter()
            .position(|lane| lane.rank >= rank)
            .unwrap_or(self.tiers.len().saturating_sub(1))
    }

    fn insert(&mut self, request: WaitingRequest, first: bool) {
        let position = self.position(request.tier);
        let lane = &mut self.tiers[position];
        if lane.count == 0 {
            lane.start = lane.finish.max(self.virtual_time);
        }
        lane.push(&request, first);
        self.late.insert((request.late_at, request.id));
        self.entries.insert(request.id, request);
    }

    /// The tier to serve: the least start tag, unless a higher tier's head cannot wait for its turn.
    fn next_tier(&mut self, lowest: TierRank, now: Moment) -> Option<usize> {
        let mut fair: Option<usize> = None;
        let mut urgent: Option<usize> = None;
        for position in 0..self.tiers.len() {
            let lane = &mut self.tiers[position];
            if lane.rank > lowest {
                break;
            }
            let Some((_, _, id)) = lane.head(&self.entries) else { continue };
            let head = &self.entries[&id];
            if urgent.is_none() && head.is_urgent(now) {
                urgent = Some(position);
            }
            if fair.is_none_or(|best| self.tiers[position].start < self.tiers[best].start) {
                fair = Some(position);
            }
        }
        urgent.filter(|position| fair.is_none_or(|best| *position < best)).or(fair)
    }

    fn take(&mut self, id: RequestId) -> Option<WaitingRequest> {
        let request = self.entries.remove(&id)?;
        self.late.remove(&(request.late_at, id));
        Some(request)
    }
}

impl WaitingQueue for FairQueue {
    fn push(&mut self, request: WaitingRequest) {
        self.insert(request, false);
    }

    fn push_back_first(&mut self, request: WaitingRequest) {
        self.insert(request, true);
    }

    fn pop(&mut self, lowest: TierRank, now: Moment) -> Option<WaitingRequest> {
        let position = self.next_tier(lowest, now)?;
        let (start, organisation, id) = self.tiers[position].head(&self.entries)?;
        let request = self.take(id)?;
        let lane = &mut self.tiers[position];
        lane.take_head(start, organisation, &request);
        self.virtual_time = self.virtual_time.max(lane.start);
        lane.finish = lane.start + u64::from(request.cost) * TAG_SCALE / lane.weight;
        lane.start = lane.finish;
        Some(request)
    }

    fn remove(&mut self, id: RequestId) -> Option<WaitingRequest> {
        let request = self.take(id)?;
        let position = self.position(request.tier);
        self.tiers[position].forget(&request);
        Some(request)
    }

    fn evict_below(&mut self, tier: TierRank) -> Option<WaitingRequest> {
        let lane = self.tiers.iter_mut().rev().find(|lane| lane.count > 0)?;
        if lane.rank <= tier {
            return None;
        }
        let id = lane.newest(&self.entries)?;
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
        self.tiers.iter().find(|lane| lane.rank == tier).map_or(0, |lane| lane.tokens)
    }

    fn progress(&self, tier: TierRank) -> TierProgress {
        let lane = self.tiers.iter().find(|lane| lane.rank == tier);
        TierProgress {
            rank: tier,
            has_backlog: lane.is_some_and(|lane| lane.count > 0),
            virtual_time: lane.map_or(0, |lane| lane.virtual_time),
        }
    }

    fn virtual_span(&self, tier: TierRank, organisation: OrganisationIndex, weight: u32) -> u64 {
        let tier = self.tiers.iter().find(|lane| lane.rank == tier);
        let own = tier.and_then(|tier| tier.lanes.get(&organisation));
        own.map_or(0, |lane| lane.tokens * TAG_SCALE / u64::from(weight.max(1)))
    }

    fn waiting_count(&self, tier: TierRank) -> usize {
        self.tiers.iter().find(|lane| lane.rank == tier).map_or(0, |lane| lane.count)
    }

    fn drain(&mut self) -> Vec<WaitingRequest> {
        let mut requests: Vec<WaitingRequest> =
            self.entries.drain().map(|(_, request)| request).collect();
        requests.sort_by_key(|request| (request.arrived, request.id));
        self.late.clear();
        let shares: Vec<TierShare> = self
            .tiers
            .iter()
            .map(|lane| TierShare { rank: lane.rank, weight: lane.weight as u32 })
            .collect();
        self.tiers = shares.into_iter().map(TierLane::new).collect();
        requests
    }
}

/// First in, first out, without tiers: the baseline.
#[derive(Debug, Default)]
pub struct FifoQueue {
    ids: VecDeque<RequestId>,
    entries: HashMap<RequestId, WaitingRequest>,
    late: BTreeSet<(Moment, RequestId)>,
}

impl FifoQueue {
    fn take(&mut self, id: RequestId) -> Option<WaitingRequest> {
        let request = self.entries.remove(&id)?;
        self.late.remove(&(request.deadline, id));
        Some(request)
    }

    fn insert(&mut self, request: WaitingRequest) {
        self.late.insert((request.deadline, request.id));
        self.entries.insert(request.id, request);
    }
}

impl WaitingQueue for FifoQueue {
    fn push(&mut self, request: WaitingRequest) {
        self.ids.push_back(request.id);
        self.insert(request);
    }

    fn push_back_first(&mut self, request: WaitingRequest) {
        self.ids.push_front(request.id);
        self.insert(request);
    }

    fn pop(&mut self, _lowest: TierRank, _now: Moment) -> Option<WaitingRequest> {
        while let Some(id) = self.ids.pop_front() {
            if let Some(request) = self.take(id) {
                return Some(request);
            }
        }
        None
    }

    fn remove(&mut self, id: RequestId) -> Option<WaitingRequest> {
        self.take(id)
    }

    fn evict_below(&mut self, _tier: TierRank) -> Option<WaitingRequest> {
        None
    }

    fn pop_late(&mut self, now: Moment) -> Option<WaitingRequest> {
        let (deadline, id) = self.late.first().copied()?;
        if deadline >= now { None } else { self.take(id) }
    }

    fn len(&self) -> usize {
        self.entries.len()
    }

    fn waiting_tokens(&self, tier: TierRank) -> u64 {
        self.entries
            .values()
            .filter(|request| request.tier == tier)
            .map(|request| u64::from(request.cost))
            .sum()
    }

    fn waiting_count(&self, tier: TierRank) -> usize {
        self.entries.values().filter(|request| request.tier == tier).count()
    }

    fn drain(&mut self) -> Vec<WaitingRequest> {
        let mut requests: Vec<WaitingRequest> =
            self.entries.drain().map(|(_, request)| request).collect();
        requests.sort_by_key(|request| (request.arrived, request.id));
        self.ids.clear();
        self.late.clear();
        requests
    }
}
