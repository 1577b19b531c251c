//! What the table says of one pool, in the scheduler's terms.

use crate::policy::{
    FairQueue, FifoQueue, LearnedLimit, MechanismSet, TierRank, TierShare, UrgencyQueue,
    WaitingQueue,
};
use crate::table::{LimitChoice, PlacementChoice, QueueChoice, ServiceKind, ServiceRow};
use std::time::Duration;

/// The part of each engine's limit that only the highest tier may use. What goes wrong without it: under load
/// only the engine that has just ended something has room, so a request of the highest tier, which comes
/// seldom and is long, goes there and computes its prompt anew. One would notice by wasted prefill that is
/// low at low load and as high as without affinity at high load.
const HEADROOM: f64 = 0.15;
/// First guess of the mean cost of a model request, in tokens.
const FIRST_MEAN_COST: f64 = 512.0;

/// What the table says of one pool, in the scheduler's terms.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolPlan {
    /// Tiers, highest first.
    pub tiers: Vec<TierShare>,
    /// Order of waiting requests.
    pub queue: QueueChoice,
    /// Choice of upstream.
    pub placement: PlacementChoice,
    /// Bound on the work at one upstream.
    pub limit: LimitChoice,
    /// Requests per upstream to begin with.
    pub first_guess: u32,
    /// Most requests waiting.
    pub waiting_limit: usize,
    /// True for model engines.
    pub counts_tokens: bool,
    /// Objective between tokens.
    pub token_gap: Duration,
    /// Objective to the first token.
    pub first_token: Duration,
    /// True if a request whose deadline cannot be met is refused while it waits; false in experiments only.
    pub refuses_late: bool,
    /// True if placement avoids stragglers; false in experiments only.
    pub avoids_stragglers: bool,
    /// True if room is kept for the highest tier; false in experiments only.
    pub keeps_headroom: bool,
    /// True if this daemon sheds by itself, without the fleet's floor: what it refuses is what it cannot serve
    /// in time, whatever others still admit.
    pub sheds_alone: bool,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
    /// Each tenth by size of a kind is served at least this part as often as its lane, 0.0 to 1.0.
    pub size_share: f64,
    /// Mechanisms that are switched off; none but to measure what each is worth.
    pub mechanisms: MechanismSet,
    /// True if upstreams reserve a place before a request is sent: then what others have there is a hint only.
    pub reserves: bool,
}

impl PoolPlan {
    /// The plan for a service's row and the table's tiers.
    pub fn new(row: &ServiceRow, tiers: &[TierShare]) -> Self {
        let mut tiers = tiers.to_vec();
        tiers.sort_by_key(|share| share.rank);
        PoolPlan {
            tiers,
            queue: row.queue,
            placement: row.placement,
            limit: row.limit,
            first_guess: row.first_guess,
            waiting_limit: row.waiting_limit as usize,
            counts_tokens: row.kind == ServiceKind::Model,
            token_gap: row.token_gap_ms,
            first_token: row.first_token_ms,
            refuses_late: true,
            avoids_stragglers: true,
            keeps_headroom: true,
            sheds_alone: false,
            event_tokens: row.event_tokens,
            size_share: f64::from(row.size_share_percent) / 100.0,
            mechanisms: MechanismSet::default(),
            reserves: row.reservation_ms.is_some(),
        }
    }

    pub(super) fn queue(&self) -> Box<dyn WaitingQueue> {
        match self.queue {
            QueueChoice::Weighted => Box::new(FairQueue::new(&self.tiers)),
            QueueChoice::Fifo => Box::new(FifoQueue::default()),
            QueueChoice::Urgency => {
                Box::new(UrgencyQueue::new(&self.tiers, self.mechanisms.clone()))
            }
        }
    }

    pub(super) fn ranks(&self) -> Vec<TierRank> {
        self.tiers.iter().map(|share| share.rank).collect()
    }

    /// Room at each upstream for the highest tier alone, where a choice of upstream is worth it.
    pub(super) fn headroom(&self) -> f64 {
        let has_choice = self.placement == PlacementChoice::Affinity;
        let has_tiers = self.queue == QueueChoice::Weighted && self.tiers.len() > 1;
        if has_choice && has_tiers && self.keeps_headroom { HEADROOM } else { 0.0 }
    }

    pub(super) fn mean_cost(&self) -> f64 {
        if self.counts_tokens { FIRST_MEAN_COST } else { 1.0 }
    }

    /// The bound of an upstream that works on `places` requests at once, where that is known.
    pub(super) fn limit_of(&self, places: Option<u32>) -> LearnedLimit {
        LearnedLimit::new(
            places.unwrap_or(self.first_guess),
            self.mean_cost(),
            self.limit == LimitChoice::Learned,
        )
    }
}
