//! A pool whose requests have first-event objectives, in virtual time.

use crate::session::source;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tarragonknot::policy::{
    ArrivedRequest, DispatchOutcome, Moment, OrganisationIndex, PlacementDemand, PoolAction,
    PoolEvent, PoolPlan, PoolScheduler, RequestId, RequestSizes, RouteKey, TierRank, TierShare,
};
use tarragonknot::table::{
    LimitMode, PlacementMode, QueueDiscipline, ServiceKind, ServiceRow, tier_name_of_rank,
};

/// Plan of a model pool with an urgency queue and one place per upstream.
pub fn urgency_plan() -> PoolPlan {
    let mut row = ServiceRow::new("pool".into(), ServiceKind::Model, tier_name_of_rank(0));
    row.queue = QueueDiscipline::Urgency;
    row.placement = PlacementMode::Earliest;
    row.limit = LimitMode::Fixed;
    row.first_guess = 1;
    let share = |rank, weight| TierShare { rank: TierRank(rank), weight };
    let mut plan = PoolPlan::new(&row, &[share(0, 16), share(1, 4)]);
    plan.sheds_locally = true;
    plan
}

/// A request of `output` tokens that arrives at `millis`, with a deadline of 10 s and a patience of
/// 2.4 s for the first event.
pub fn arrived(id: u64, rank: u8, output: u32, millis: u64) -> ArrivedRequest {
    let at = |after: u64| Moment::from_millis(millis + after);
    ArrivedRequest {
        id: RequestId(id),
        organisation: OrganisationIndex(0),
        weight: 1,
        tier: TierRank(0),
        prompt_bytes: 0,
        output_limit: None,
        deadline: at(10_000),
        rank,
        objective: Some(at(500)),
        patience: Some(at(2_400)),
        pause: None,
        sizes: Some(RequestSizes { prompt: 100, output }),
        size_tenth: None,
        demand: PlacementDemand::default(),
        may_be_resumed: false,
        must_stay: false,
        route: RouteKey::default(),
        prefix: Box::default(),
    }
}

/// A pool of one engine with one place, in virtual time.
pub struct BurstPool {
    pub scheduler: PoolScheduler,
    rng: ChaCha8Rng,
    actions: Vec<PoolAction>,
}

impl BurstPool {
    /// Creates a pool with [`urgency_plan`].
    pub fn new() -> Self {
        Self::with_plan(urgency_plan())
    }

    pub fn with_plan(plan: PoolPlan) -> Self {
        let mut pool = BurstPool {
            scheduler: PoolScheduler::new(plan),
            rng: ChaCha8Rng::seed_from_u64(1),
            actions: Vec::new(),
        };
        pool.handle_event(PoolEvent::Sources(vec![source("e1", 1)]), 0);
        pool
    }

    /// Passes an event to the scheduler and returns its actions.
    pub fn handle_event(&mut self, event: PoolEvent, millis: u64) -> Vec<PoolAction> {
        self.scheduler.handle(event, Moment::from_millis(millis), &mut self.rng, &mut self.actions);
        std::mem::take(&mut self.actions)
    }

    /// Adds a request of 10 output tokens.
    pub fn arrive(&mut self, id: u64, rank: u8, millis: u64) -> Vec<PoolAction> {
        self.handle_event(PoolEvent::Arrived(arrived(id, rank, 10, millis)), millis)
    }

    /// Completes a request.
    pub fn complete(&mut self, id: u64, millis: u64) -> Vec<PoolAction> {
        let outcome = DispatchOutcome::Completed { prompt_tokens: None, output_tokens: 10 };
        self.handle_event(PoolEvent::Ended { id: RequestId(id), outcome }, millis)
    }
}

/// Returns the ids of the dispatched requests.
pub fn dispatched_ids(actions: &[PoolAction]) -> Vec<u64> {
    let ids = actions.iter().filter_map(|action| match action {
        PoolAction::Dispatch { id, .. } => Some(id.0),
        PoolAction::Refuse { .. } => None,
    });
    ids.collect()
}
