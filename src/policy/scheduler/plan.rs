//! Scheduler configuration of one pool, derived from the table.

use crate::policy::{
    ColdBound, FairQueue, FifoQueue, LearnedLimit, MechanismSet, PrefixPlan, TierRank, TierShare,
    UrgencyQueue, WaitingQueue,
};
use crate::table::{LimitMode, PlacementMode, QueueDiscipline, ServiceKind, ServiceRow};
use std::time::Duration;

/// Share of each engine's limit reserved for the highest tier. Without it, under load, only the
/// engine that has just finished a request has room, so the rare, long requests of the highest tier
/// go there and recompute their prompts. The symptom is wasted prefill that is low at low load and
/// as high as without affinity at high load.
const HIGHEST_TIER_HEADROOM: f64 = 0.15;
/// Initial estimate of the mean cost of a model request, in tokens.
const INITIAL_MEAN_COST_TOKENS: f64 = 512.0;

/// Scheduler configuration of one pool, derived from the table.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolPlan {
    /// Tiers with their weights, highest first.
    pub tiers: Vec<TierShare>,
    /// Queue discipline.
    pub queue: QueueDiscipline,
    /// Placement policy.
    pub placement: PlacementMode,
    /// Kind of concurrency limit per upstream.
    pub limit: LimitMode,
    /// Initial concurrency limit per upstream, in requests.
    pub first_guess: u32,
    /// Maximum queue length.
    pub waiting_limit: usize,
    /// True for model engines, whose cost is counted in tokens; false for plain services.
    pub counts_tokens: bool,
    /// Objective for the time between tokens.
    pub token_gap: Duration,
    /// Objective for the time to first token.
    pub first_token: Duration,
    /// True if waiting requests that cannot meet their deadline are refused; false in experiments
    /// only.
    pub refuses_late: bool,
    /// True if placement avoids stragglers; false in experiments only.
    pub avoids_stragglers: bool,
    /// True if headroom is reserved for the highest tier; false in experiments only.
    pub keeps_headroom: bool,
    /// True if this daemon sheds without the fleet's floor: it refuses what it cannot serve in
    /// time, regardless of what other daemons admit.
    pub sheds_locally: bool,
    /// Tokens per stream event.
    pub event_tokens: u32,
    /// Each size decile of a route is served at least this fraction as often as its lane, 0.0 to
    /// 1.0.
    pub size_share: f64,
    /// Disabled mechanisms; used only to measure the effect of each.
    pub mechanisms: MechanismSet,
    /// True if a slot is reserved at the upstream before a request is sent. The load of other
    /// daemons is then only a hint.
    pub has_reservations: bool,
    /// Bound on requests to cold upstreams, if there is one.
    pub cold_bound: Option<ColdBound>,
    /// True if slots that this daemon leaves unused are offered to the group's other daemons.
    pub has_slot_offers: bool,
    /// Tokens that fit into the memory of one upstream; `None` if they are not counted.
    pub engine_memory_tokens: Option<u64>,
    /// True if a service that is too small for all is shared among the organisations. Only the queue
    /// by value density does so; the weighted one has its own shares.
    pub shares_organisations: bool,
    /// How placement takes into account the prompt parts that upstreams hold.
    pub prefix: PrefixPlan,
}

impl PoolPlan {
    /// Creates the configuration from a service's table row and the table's tiers.
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
            sheds_locally: false,
            event_tokens: row.event_tokens,
            size_share: f64::from(row.size_share_percent) / 100.0,
            mechanisms: MechanismSet::default(),
            has_reservations: row.reservation_ms.is_some(),
            cold_bound: None,
            has_slot_offers: false,
            engine_memory_tokens: row.engine_memory_tokens,
            shares_organisations: false,
            prefix: PrefixPlan { mode: row.prefix_reuse, memory_tokens: row.engine_memory_tokens },
        }
    }

    pub(super) fn new_queue(&self) -> Box<dyn WaitingQueue> {
        match self.queue {
            QueueDiscipline::Weighted => Box::new(FairQueue::new(&self.tiers)),
            QueueDiscipline::Fifo => Box::new(FifoQueue::default()),
            QueueDiscipline::Urgency => {
                Box::new(UrgencyQueue::new(&self.tiers, self.mechanisms.clone()))
            }
        }
    }

    /// Returns whether requests are marked as within or beyond their organisation's share.
    pub(super) fn marks_shares(&self) -> bool {
        self.shares_organisations && self.queue == QueueDiscipline::Urgency
    }

    pub(super) fn tier_ranks(&self) -> Vec<TierRank> {
        self.tiers.iter().map(|share| share.rank).collect()
    }

    /// Share of each limit reserved for the highest tier; nonzero only with affinity placement and
    /// a weighted queue of several tiers.
    pub(super) fn headroom(&self) -> f64 {
        let has_choice = self.placement == PlacementMode::Affinity;
        let has_tiers = self.queue == QueueDiscipline::Weighted && self.tiers.len() > 1;
        if has_choice && has_tiers && self.keeps_headroom { HIGHEST_TIER_HEADROOM } else { 0.0 }
    }

    pub(super) fn initial_mean_cost(&self) -> f64 {
        if self.counts_tokens { INITIAL_MEAN_COST_TOKENS } else { 1.0 }
    }

    /// Initial limit of an upstream; `places` is its number of concurrent requests, if known.
    pub(super) fn initial_limit(&self, places: Option<u32>) -> LearnedLimit {
        LearnedLimit::new(
            places.unwrap_or(self.first_guess),
            self.initial_mean_cost(),
            self.limit == LimitMode::Learned,
        )
    }
}
