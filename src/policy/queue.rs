//! Queues of waiting requests: weighted fair queueing over tiers and organisations, and plain FIFO.
//!
//! [`FairQueue`] applies start-time fair queueing (Goyal, Vin and Cheng, 1996) in two levels, tiers
//! and the organisations within a tier, measured in tokens. A request that would miss its deadline
//! in its fair turn, but can still meet it if sent now, is served ahead of lower tiers.

use super::{
    DensityLevel, Moment, OrganisationIndex, PlacementDemand, PrefixMark, RequestId, RouteKey,
    SizeClaim, SizeDecile, TierProgress, TierRank, WaitingLevels,
};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

/// Virtual time per token at weight 1; large enough to keep rounding in divisions by weight small.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 20;
/// A head request is urgent once its slack is at most this fraction of its estimated run time.
const URGENT_SLACK_RATIO: f64 = 0.25;

/// The weight of a tier in fair queueing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TierShare {
    /// The tier.
    pub rank: TierRank,
    /// Its weight relative to the other backlogged tiers.
    pub weight: u32,
}

/// A request in the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingRequest {
    /// What it demands of its upstream.
    pub demand: PlacementDemand,
    /// True if it is a stream that may be resumed at another upstream of its version.
    pub may_be_resumed: bool,
    pub id: RequestId,
    /// The organisation that sent it.
    pub organisation: OrganisationIndex,
    /// The organisation's weight.
    pub weight: u32,
    pub tier: TierRank,
    /// Its rank within the tier, 0 the highest.
    pub rank: u8,
    /// Latest dispatch time that still meets its latency objective.
    pub start_by: Moment,
    /// Estimated cost in tokens.
    pub cost: u32,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Estimated output tokens.
    pub output_tokens: u32,
    /// Objective for the longest pause between two events of its answer.
    pub pause: Option<Duration>,
    /// Time by which its answer must be complete.
    pub deadline: Moment,
    /// Estimated time from dispatch to the end of the answer.
    pub run_time: Duration,
    /// Arrival time.
    pub arrived: Moment,
    /// The prompt's leading parts that other prompts may share, shortest first.
    pub prefix: Box<[PrefixMark]>,
    /// Size of the prompt in bytes.
    pub prompt_bytes: usize,
    /// Time after which [`WaitingQueue::pop_for_review`] returns it to be reviewed or refused as
    /// late. Initially the latest start.
    pub review_at: Moment,
    /// Time after which its caller no longer waits. [`WaitingRequest::review_at`] is earlier where
    /// the request's chance of being dispatched is reviewed before that.
    pub expires_at: Moment,
    /// The route it came by.
    pub route: RouteKey,
    /// Its decile by size among the requests of its route, if known.
    pub size_tenth: Option<SizeDecile>,
    /// True if it has priority because too few requests of its size are served.
    pub is_underserved: bool,
    /// Tokens that it may use of an engine's memory: its prompt and its maximum output.
    pub held_tokens: u32,
    /// True if it is beyond its organisation's share of the service.
    pub is_over_share: bool,
}

impl WaitingRequest {
    /// The key under which it is accounted for by size.
    pub fn size_claim(&self) -> SizeClaim {
        SizeClaim {
            lane: (self.tier, self.rank),
            route: self.route,
            decile: self.size_tenth,
            is_underserved: self.is_underserved,
        }
    }

    /// Latest dispatch time that still meets the deadline.
    pub fn latest_start(&self) -> Moment {
        Moment(self.deadline.0.saturating_sub(self.run_time.as_micros() as u64))
    }

    /// True if it must be dispatched now to meet its deadline.
    fn is_urgent(&self, now: Moment) -> bool {
        now + self.run_time.mul_f64(URGENT_SLACK_RATIO) >= self.latest_start()
    }
}

/// A queue of waiting requests and its service order.
pub trait WaitingQueue: Send {
    /// Adds a request.
    fn push(&mut self, request: WaitingRequest);
    /// Returns a request that was popped but not sent to the front of its lane.
    fn requeue_front(&mut self, request: WaitingRequest);
    /// Removes and returns the next request, skipping tiers below `lowest`.
    fn pop(&mut self, lowest: TierRank, now: Moment) -> Option<WaitingRequest>;
    /// Removes a request from any position.
    fn remove(&mut self, id: RequestId) -> Option<WaitingRequest>;
    /// Removes a request from the lowest tier below `tier` that has any waiting.
    fn evict_below(&mut self, tier: TierRank) -> Option<WaitingRequest>;
    /// Removes a request whose `review_at` has passed.
    fn pop_for_review(&mut self, now: Moment) -> Option<WaitingRequest>;
    /// Number of waiting requests.
    fn len(&self) -> usize;
    /// True if no request waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// Estimated cost in tokens of the requests waiting in `tier`.
    fn waiting_tokens(&self, tier: TierRank) -> u64;
    /// Progress of a tier in virtual time; no backlog and 0 for a queue without tiers.
    fn progress(&self, tier: TierRank) -> TierProgress {
        TierProgress { rank: tier, has_backlog: false, virtual_time: 0 }
    }
    /// Virtual time until a new request of an organisation is served within its tier.
    fn virtual_span(&self, _tier: TierRank, _organisation: OrganisationIndex, _weight: u32) -> u64 {
        0
    }
    /// Number of requests waiting in `tier`.
    fn waiting_count(&self, tier: TierRank) -> usize;
    /// Cost in tokens of the waiting requests served before `request`, with `request` rated as in
    /// time or as late.
    fn cost_ahead(&mut self, _request: &WaitingRequest, _is_late: bool, _now: Moment) -> u64 {
        0
    }
    /// Waiting requests by level of value density; empty for a queue that does not rate requests.
    fn waiting_levels(&self) -> WaitingLevels {
        WaitingLevels::default()
    }
    /// Level of value density of a request, whether it is in the queue or not; `None` for a queue
    /// that does not rate requests.
    fn density_level(&mut self, _request: &WaitingRequest, _now: Moment) -> Option<DensityLevel> {
        None
    }
    /// Removes all requests and returns them, oldest first.
    fn drain(&mut self) -> Vec<WaitingRequest>;
}

#[derive(Debug, Default)]
struct OrganisationLane {
    ids: VecDeque<RequestId>,
    finish_tag: u64,
    tokens: u64,
    waiting_count: usize,
    is_in_heap: bool,
    weight: u32,
}

#[derive(Debug)]
struct TierLane {
    rank: TierRank,
    weight: u64,
    start_tag: u64,
    finish_tag: u64,
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
            start_tag: 0,
            finish_tag: 0,
            virtual_time: 0,
            tokens: 0,
            count: 0,
            lanes: HashMap::new(),
            heap: BinaryHeap::new(),
        }
    }

    fn push(&mut self, request: &WaitingRequest, is_front: bool) {
        let lane = self.lanes.entry(request.organisation).or_default();
        lane.weight = request.weight.max(1);
        match is_front {
            true => lane.ids.push_front(request.id),
            false => lane.ids.push_back(request.id),
        }
        lane.waiting_count += 1;
        lane.tokens += u64::from(request.cost);
        self.tokens += u64::from(request.cost);
        self.count += 1;
        if !lane.is_in_heap {
            lane.is_in_heap = true;
            let start_tag = lane.finish_tag.max(self.virtual_time);
            self.heap.push(Reverse((start_tag, request.organisation)));
        }
    }

    /// The organisation with the least start tag, with that tag and its first request. Drops ids
    /// of removed requests and lanes left empty by them.
    fn head(
        &mut self,
        entries: &HashMap<RequestId, WaitingRequest>,
    ) -> Option<(u64, OrganisationIndex, RequestId)> {
        while let Some(Reverse((start_tag, organisation))) = self.heap.peek().copied() {
            let lane = self.lanes.get_mut(&organisation)?;
            while lane.ids.front().is_some_and(|id| !entries.contains_key(id)) {
                lane.ids.pop_front();
            }
            match lane.ids.front() {
                Some(id) => return Some((start_tag, organisation, *id)),
                None => {
                    lane.is_in_heap = false;
                    self.heap.pop();
                }
            }
        }
        None
    }

    /// Dequeues the head request, charges its organisation and computes the next start tag.
    fn take_head(
        &mut self,
        start_tag: u64,
        organisation: OrganisationIndex,
        request: &WaitingRequest,
    ) {
        self.heap.pop();
        self.virtual_time = self.virtual_time.max(start_tag);
        self.deduct(request);
        let Some(lane) = self.lanes.get_mut(&organisation) else { return };
        lane.ids.pop_front();
        lane.finish_tag =
            start_tag + u64::from(request.cost) * VIRTUAL_TIME_PER_TOKEN / u64::from(lane.weight);
        lane.is_in_heap = lane.waiting_count > 0;
        if lane.is_in_heap {
            self.heap.push(Reverse((lane.finish_tag, organisation)));
        }
    }

    /// Subtracts a request from the counters; its id stays in the lane until it reaches the front.
    fn deduct(&mut self, request: &WaitingRequest) {
        self.tokens -= u64::from(request.cost);
        self.count -= 1;
        let Some(lane) = self.lanes.get_mut(&request.organisation) else { return };
        lane.waiting_count -= 1;
        lane.tokens -= u64::from(request.cost);
        if lane.waiting_count == 0 {
            lane.ids.clear();
        }
    }

    /// The newest request of the organisation with the most waiting tokens.
    fn newest(&mut self, entries: &HashMap<RequestId, WaitingRequest>) -> Option<RequestId> {
        let largest = self.lanes.iter().filter(|(_, lane)| lane.waiting_count > 0);
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

/// Weighted fair queue over tiers and over the organisations within each tier.
#[derive(Debug)]
pub struct FairQueue {
    tiers: Vec<TierLane>,
    entries: HashMap<RequestId, WaitingRequest>,
    by_review_at: BTreeSet<(Moment, RequestId)>,
    virtual_time: u64,
}

impl FairQueue {
    /// Creates an empty queue for the tiers in `shares`, given in any order.
    pub fn new(shares: &[TierShare]) -> Self {
        let mut tiers: Vec<TierLane> = shares.iter().copied().map(TierLane::new).collect();
        tiers.sort_by_key(|lane| lane.rank);
        FairQueue { tiers, entries: HashMap::new(), by_review_at: BTreeSet::new(), virtual_time: 0 }
    }

    /// Index of the lane of `rank`; a rank that the table no longer has maps to the next lower
    /// tier, or to the lowest.
    fn position(&self, rank: TierRank) -> usize {
        self.tiers
            .iter()
            .position(|lane| lane.rank >= rank)
            .unwrap_or(self.tiers.len().saturating_sub(1))
    }

    fn insert(&mut self, request: WaitingRequest, is_front: bool) {
        let position = self.position(request.tier);
        let lane = &mut self.tiers[position];
        if lane.count == 0 {
            lane.start_tag = lane.finish_tag.max(self.virtual_time);
        }
        lane.push(&request, is_front);
        self.by_review_at.insert((request.review_at, request.id));
        self.entries.insert(request.id, request);
    }

    /// The tier to serve: the one with the least start tag, unless a higher tier's head is urgent.
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
            if fair.is_none_or(|best| self.tiers[position].start_tag < self.tiers[best].start_tag) {
                fair = Some(position);
            }
        }
        urgent.filter(|position| fair.is_none_or(|best| *position < best)).or(fair)
    }

    fn take_entry(&mut self, id: RequestId) -> Option<WaitingRequest> {
        let request = self.entries.remove(&id)?;
        self.by_review_at.remove(&(request.review_at, id));
        Some(request)
    }
}

impl WaitingQueue for FairQueue {
    fn push(&mut self, request: WaitingRequest) {
        self.insert(request, false);
    }

    fn requeue_front(&mut self, request: WaitingRequest) {
        self.insert(request, true);
    }

    fn pop(&mut self, lowest: TierRank, now: Moment) -> Option<WaitingRequest> {
        let position = self.next_tier(lowest, now)?;
        let (start_tag, organisation, id) = self.tiers[position].head(&self.entries)?;
        let request = self.take_entry(id)?;
        let lane = &mut self.tiers[position];
        lane.take_head(start_tag, organisation, &request);
        self.virtual_time = self.virtual_time.max(lane.start_tag);
        lane.finish_tag =
            lane.start_tag + u64::from(request.cost) * VIRTUAL_TIME_PER_TOKEN / lane.weight;
        lane.start_tag = lane.finish_tag;
        Some(request)
    }

    fn remove(&mut self, id: RequestId) -> Option<WaitingRequest> {
        let request = self.take_entry(id)?;
        let position = self.position(request.tier);
        self.tiers[position].deduct(&request);
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

    fn pop_for_review(&mut self, now: Moment) -> Option<WaitingRequest> {
        let (review_at, id) = self.by_review_at.first().copied()?;
        if review_at >= now { None } else { self.remove(id) }
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
        own.map_or(0, |lane| lane.tokens * VIRTUAL_TIME_PER_TOKEN / u64::from(weight.max(1)))
    }

    fn waiting_count(&self, tier: TierRank) -> usize {
        self.tiers.iter().find(|lane| lane.rank == tier).map_or(0, |lane| lane.count)
    }

    fn drain(&mut self) -> Vec<WaitingRequest> {
        let mut requests: Vec<WaitingRequest> =
            self.entries.drain().map(|(_, request)| request).collect();
        requests.sort_by_key(|request| (request.arrived, request.id));
        self.by_review_at.clear();
        let shares: Vec<TierShare> = self
            .tiers
            .iter()
            .map(|lane| TierShare { rank: lane.rank, weight: lane.weight as u32 })
            .collect();
        self.tiers = shares.into_iter().map(TierLane::new).collect();
        requests
    }
}

/// First in, first out, without tiers; the baseline for comparisons.
#[derive(Debug, Default)]
pub struct FifoQueue {
    ids: VecDeque<RequestId>,
    entries: HashMap<RequestId, WaitingRequest>,
    by_deadline: BTreeSet<(Moment, RequestId)>,
}

impl FifoQueue {
    fn take_entry(&mut self, id: RequestId) -> Option<WaitingRequest> {
        let request = self.entries.remove(&id)?;
        self.by_deadline.remove(&(request.deadline, id));
        Some(request)
    }

    fn insert(&mut self, request: WaitingRequest) {
        self.by_deadline.insert((request.deadline, request.id));
        self.entries.insert(request.id, request);
    }
}

impl WaitingQueue for FifoQueue {
    fn push(&mut self, request: WaitingRequest) {
        self.ids.push_back(request.id);
        self.insert(request);
    }

    fn requeue_front(&mut self, request: WaitingRequest) {
        self.ids.push_front(request.id);
        self.insert(request);
    }

    fn pop(&mut self, _lowest: TierRank, _now: Moment) -> Option<WaitingRequest> {
        while let Some(id) = self.ids.pop_front() {
            if let Some(request) = self.take_entry(id) {
                return Some(request);
            }
        }
        None
    }

    fn remove(&mut self, id: RequestId) -> Option<WaitingRequest> {
        self.take_entry(id)
    }

    fn evict_below(&mut self, _tier: TierRank) -> Option<WaitingRequest> {
        None
    }

    fn pop_for_review(&mut self, now: Moment) -> Option<WaitingRequest> {
        let (deadline, id) = self.by_deadline.first().copied()?;
        if deadline >= now { None } else { self.take_entry(id) }
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
        self.by_deadline.clear();
        requests
    }
}
