//! What a scheduler is told, and what it wants done.

use super::PoolPlan;
use crate::answer::AnswerKind;
use crate::policy::{
    FleetGroup, FloorOrder, LoadReport, Moment, OrganisationIndex, PeerWork, RequestId,
    RequestSizes, RouteKey, SizeDecile, TierRank, UpstreamEvent, UpstreamIndex, UpstreamSource,
    WaitingLevels,
};
use crate::table::UpstreamName;
use std::time::Duration;

/// Requests that wait for a pool at the other daemons of a group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OthersWaiting {
    /// Their numbers, by what they are worth for their cost.
    pub levels: WaitingLevels,
    /// How old that may be.
    pub age: Duration,
}

/// A request at the pool's door.
#[derive(Clone, Debug, PartialEq)]
pub struct ArrivedRequest {
    /// Its id.
    pub id: RequestId,
    /// Whose it is.
    pub organisation: OrganisationIndex,
    /// The organisation's weight.
    pub weight: u32,
    /// Its tier.
    pub tier: TierRank,
    /// Bytes of prompt.
    pub prompt_bytes: usize,
    /// Most output tokens, if it says.
    pub output_limit: Option<u32>,
    /// When the answer must be complete.
    pub deadline: Moment,
    /// Its rank within the tier, 0 the highest.
    pub rank: u8,
    /// When its first event or answer is due to be worth most.
    pub objective: Option<Moment>,
    /// When its caller leaves if no event has come.
    pub patience: Option<Moment>,
    /// The longest good pause between its events.
    pub pause: Option<Duration>,
    /// Its size, where the caller says; else it is estimated.
    pub sizes: Option<RequestSizes>,
    /// Its tenth by size among the recent requests of its route, if that is known.
    pub size_tenth: Option<SizeDecile>,
    /// What sizes are compared among: the requests of its route.
    pub route: RouteKey,
    /// Hashes of the prompt's leading blocks.
    pub prefix: Box<[u64]>,
}

/// How a dispatch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// A whole answer; counts are zero for plain services.
    Completed {
        /// Prompt tokens as the engine counted them.
        prompt_tokens: Option<u32>,
        /// Output tokens.
        output_tokens: u32,
    },
    /// No byte was sent.
    NotSent,
    /// Sent, and no whole answer.
    Failed,
    /// The caller left.
    Cancelled,
    /// The upstream had no place to reserve; nothing was sent.
    Crowded,
}

/// What the scheduler is told.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolEvent {
    /// A request came.
    Arrived(ArrivedRequest),
    /// A waiting request's caller left.
    CallerLeft(RequestId),
    /// The upstream granted a dispatched request its place.
    Granted(RequestId),
    /// The first token of a dispatched request came.
    FirstToken {
        /// The request.
        id: RequestId,
        /// Time since it was sent.
        after: Duration,
    },
    /// Mean time between a request's tokens over the last stretch.
    TokenGap {
        /// The request.
        id: RequestId,
        /// The mean gap.
        gap: Duration,
    },
    /// An upstream reported its birth, which is its incarnation.
    Born {
        /// The upstream.
        upstream: UpstreamIndex,
        /// Its incarnation.
        incarnation: u64,
    },
    /// A dispatch ended.
    Ended {
        /// The request.
        id: RequestId,
        /// How.
        outcome: DispatchOutcome,
    },
    /// An upstream reported its load.
    Reported {
        /// The upstream.
        upstream: UpstreamIndex,
        /// The report.
        report: LoadReport,
    },
    /// Something was learned of an upstream's life.
    Word {
        /// The upstream.
        upstream: UpstreamIndex,
        /// What.
        word: UpstreamEvent,
    },
    /// An upstream dropped a prefix block from its cache.
    CacheEvicted {
        /// The upstream.
        upstream: UpstreamIndex,
        /// The block's hash.
        block: u64,
    },
    /// The merged list of upstreams changed.
    Sources(Vec<UpstreamSource>),
    /// The table changed.
    Plan(PoolPlan),
    /// This daemon's share of every upstream's limit changed.
    Share {
        /// 0.0 to 1.0.
        share: f64,
    },
    /// This daemon may not act on its table any more: what waits is refused.
    LeaseLapsed,
    /// The fleet's word on the shed floor.
    FleetFloor(FloorOrder),
    /// What the other daemons have at each upstream, as last heard, and how fast it is by their word.
    Others {
        /// The upstreams of which something new was heard.
        rows: Vec<(UpstreamName, PeerWork)>,
        /// This daemon's part of the fleet.
        group: FleetGroup,
        /// What waits at the other daemons of the group.
        waiting: OthersWaiting,
    },
    /// Time passed.
    Tick,
}

/// What the scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolAction {
    /// Send a request to an upstream.
    Dispatch {
        /// The request.
        id: RequestId,
        /// Where.
        upstream: UpstreamIndex,
    },
    /// Refuse a request.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why.
        kind: AnswerKind,
    },
}
