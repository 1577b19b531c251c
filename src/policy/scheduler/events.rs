//! Input events and output actions of the pool scheduler.

use super::PoolPlan;
use crate::answer::AnswerKind;
use crate::policy::{
    FleetGroup, FloorOrder, LoadReport, Moment, OrganisationFlow, OrganisationIndex, OwnerRing,
    PeerWork, PlacementDemand, PrefixMark, RateStatement, RequestId, RequestSizes, RouteKey,
    SizeDecile, TierRank, UpstreamEvent, UpstreamIndex, UpstreamSource, WaitingLevels,
};
use crate::table::UpstreamName;
use std::sync::Arc;
use std::time::Duration;

/// Requests waiting for a pool at the other daemons of the group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerWaiting {
    /// Number of requests by value per cost.
    pub levels: WaitingLevels,
    /// Maximum age of these numbers.
    pub age: Duration,
}

/// A request that has arrived at the pool and is not yet admitted.
#[derive(Clone, Debug, PartialEq)]
pub struct ArrivedRequest {
    /// Request id.
    pub id: RequestId,
    /// Organisation that sent the request.
    pub organisation: OrganisationIndex,
    /// Scheduling weight of the organisation.
    pub weight: u32,
    /// Tier of the request.
    pub tier: TierRank,
    /// Prompt size in bytes.
    pub prompt_bytes: usize,
    /// Maximum number of output tokens, if the request sets one.
    pub output_limit: Option<u32>,
    /// Time by which the answer must be complete.
    pub deadline: Moment,
    /// Rank within the tier; 0 is the highest.
    pub rank: u8,
    /// Time by which the first event, or the answer, should arrive for full value.
    pub objective: Option<Moment>,
    /// Time at which the caller leaves if no event has arrived.
    pub patience: Option<Moment>,
    /// Longest acceptable pause between events.
    pub pause: Option<Duration>,
    /// Sizes given by the caller; estimated if absent.
    pub sizes: Option<RequestSizes>,
    /// Size decile among the recent requests of its route, if known.
    pub size_tenth: Option<SizeDecile>,
    /// What the request demands of its upstream.
    pub demand: PlacementDemand,
    /// True if it is a stream that may be resumed at another upstream of its version.
    pub may_be_resumed: bool,
    /// True if no peer can take the request, so that it is tried here even if no upstream seems to be
    /// reached.
    pub must_stay: bool,
    /// Route of the request; sizes are compared among the requests of one route.
    pub route: RouteKey,
    /// The prompt's leading parts that other prompts may share, shortest first.
    pub prefix: Box<[PrefixMark]>,
}

/// Outcome of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The answer is complete. Counts are zero for plain services.
    Completed {
        /// Prompt tokens counted by the engine.
        prompt_tokens: Option<u32>,
        /// Output tokens of the answer.
        output_tokens: u32,
    },
    /// No byte of the request was sent.
    NotSent,
    /// The request was sent, but no complete answer arrived.
    Failed,
    /// The caller disconnected.
    Cancelled,
    /// The upstream had no free slot to reserve; nothing was sent.
    NoSlot,
}

/// Input of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolEvent {
    /// A request arrived.
    Arrived(ArrivedRequest),
    /// The caller of a waiting request disconnected.
    CallerLeft(RequestId),
    /// The upstream granted the slot reservation of a dispatched request.
    Granted(RequestId),
    /// The first token of a dispatched request arrived.
    FirstToken {
        /// Request id.
        id: RequestId,
        /// Time since the dispatch.
        after: Duration,
    },
    /// The mean time between recent tokens of a request was measured.
    TokenGap {
        /// Request id.
        id: RequestId,
        /// Mean time between tokens.
        gap: Duration,
    },
    /// An upstream reported its start time, which serves as its incarnation number.
    IncarnationReported {
        /// Upstream concerned.
        upstream: UpstreamIndex,
        /// Incarnation number.
        incarnation: u64,
    },
    /// An upstream reported whether it is cold.
    ColdReported {
        /// Upstream concerned.
        upstream: UpstreamIndex,
        /// How much longer it is cold; `None` if it is not.
        left: Option<Duration>,
    },
    /// An answer of an upstream stated the rate at which it takes requests.
    RateStated {
        /// Upstream concerned.
        upstream: UpstreamIndex,
        /// What it states.
        rate: RateStatement,
    },
    /// An answer of an upstream stated how many rejections per second it bears, or no longer states it.
    RejectionBoundStated {
        /// Upstream concerned.
        upstream: UpstreamIndex,
        /// The bound, if there is one.
        bound: Option<u32>,
    },
    /// An upstream turned a request away and wants no further one from this daemon for some time.
    RestAsked {
        /// Upstream concerned.
        upstream: UpstreamIndex,
        /// How long.
        time: Duration,
    },
    /// An upstream stated that it leaves.
    DepartureStated {
        /// Upstream concerned.
        upstream: UpstreamIndex,
    },
    /// The daemons that own cold upstreams changed.
    Owners(Arc<OwnerRing>),
    /// A dispatch ended.
    Ended {
        /// Request id.
        id: RequestId,
        /// Outcome of the dispatch.
        outcome: DispatchOutcome,
    },
    /// An upstream reported its load.
    LoadReported {
        /// Upstream concerned.
        upstream: UpstreamIndex,
        /// Load report.
        report: LoadReport,
    },
    /// An event of an upstream's life cycle was observed.
    Lifecycle {
        /// Upstream concerned.
        upstream: UpstreamIndex,
        /// What.
        event: UpstreamEvent,
    },
    /// A request that was sent to an upstream got no answer in time.
    Unanswered {
        /// Upstream concerned.
        upstream: UpstreamIndex,
    },
    /// An upstream accepted a connection.
    Reached,
    /// Requests can be sent through other daemons, or no longer.
    Peers {
        /// True if the fleet has such daemons.
        has_peers: bool,
    },
    /// An upstream evicted a prefix block from its cache.
    CacheEvicted {
        /// Upstream concerned.
        upstream: UpstreamIndex,
        /// Hash of the block.
        block: u64,
    },
    /// The list of upstreams, merged from its sources, changed.
    Sources(Vec<UpstreamSource>),
    /// The table's configuration of the pool changed.
    Plan(PoolPlan),
    /// This daemon's share of every upstream's limit changed.
    Share {
        /// Fraction of the limit, 0.0 to 1.0.
        share: f64,
    },
    /// The lease on the table expired; the daemon may no longer act on it and refuses waiting
    /// requests.
    LeaseExpired,
    /// The fleet's decision on the shed floor.
    FleetFloor(FloorOrder),
    /// Requests of the other daemons at each upstream and the upstream's speed, as last reported.
    PeerLoad {
        /// Upstreams with new reports.
        rows: Vec<(UpstreamName, PeerWork)>,
        /// Group of daemons that this daemon belongs to.
        group: FleetGroup,
        /// Requests waiting at the other daemons of the group.
        waiting: PeerWaiting,
    },
    /// A request of another daemon has left a slot, for which that daemon has no use.
    SlotFreed {
        /// Upstream concerned.
        upstream: UpstreamIndex,
    },
    /// What the organisations asked of the whole fleet, and got, as last reported.
    OrganisationFlows(Vec<OrganisationFlow>),
    /// Periodic timer.
    Tick,
}

/// Output of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum PoolAction {
    /// Dispatch a request to an upstream.
    Dispatch {
        /// Request id.
        id: RequestId,
        /// Destination.
        upstream: UpstreamIndex,
    },
    /// Refuse a request.
    Refuse {
        /// Request id.
        id: RequestId,
        /// Reason for the refusal.
        kind: AnswerKind,
    },
}
