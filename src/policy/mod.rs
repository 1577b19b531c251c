//! The decisions, pure: no clock, no socket, no async, no global random numbers.
//!
//! [`PoolScheduler`] takes [`PoolEvent`]s with the time and gives [`PoolAction`]s; [`Exchange`] does
//! the same for one request's dispatch. The traffic code around them only carries bytes.

mod caller_returns;
mod crowd_meter;
mod drain_meter;
mod earliest;
mod estimate;
mod exchange;
mod first_event;
mod fleet_group;
mod learned_limit;
mod mechanism;
mod organisation_limits;
mod placement;
mod queue;
mod repeat_budget;
mod request_sizes;
mod scheduler;
mod shared_list;
mod shed_audit;
mod shed_floor;
mod size_shares;
mod upstream_hash;
mod upstream_set;
mod upstreams;
mod urgency_queue;
mod waiting_levels;
mod worth;

pub use caller_returns::CallerTimes;
pub use crowd_meter::CrowdMeter;
pub use drain_meter::{DrainMeter, TierProgress};
pub use earliest::EarliestPlacement;
pub use estimate::{CostEstimate, CostModel, EngineSpeed, RequestSizes};
pub use exchange::{Exchange, ExchangeAction, ExchangeEvent, RequestState, request_chart};
pub use first_event::FirstEventModel;
pub use fleet_group::FleetGroup;
pub use learned_limit::LearnedLimit;
pub use mechanism::{Mechanism, MechanismSet};
pub use organisation_limits::{
    LimitClaim, LimitForecast, LimitTable, LimitTolerance, OrganisationLimit,
};
pub use placement::{
    AffinityPlacement, LeastReported, PlaceFit, PlacementPolicy, PlacementQuery, RoundRobin,
    placement_policy, prefix_hashes,
};
pub use queue::{FairQueue, FifoQueue, TierShare, WaitingQueue, WaitingRequest};
pub use repeat_budget::{RepeatBound, RepeatBudget};
pub use request_sizes::{RouteSizes, SizeTenth};
pub use scheduler::{
    ArrivedRequest, DispatchOutcome, PeerWaiting, PoolAction, PoolEvent, PoolPlan, PoolScheduler,
    PoolStatus,
};
pub use shared_list::{ChangeVerdict, ListChange, ListPart, ListedUpstream, SharedList};
pub use shed_audit::ShedAudit;
pub use shed_floor::{FloorOrder, ShedFloor};
pub use size_shares::{RouteKey, SizeClaim, SizeShares};
pub use upstream_hash::UpstreamHash;
pub use upstream_set::UpstreamSet;
pub use upstreams::{
    LoadReport, OthersWork, RoomKind, UpstreamSource, UpstreamState, UpstreamStatus, UpstreamWord,
    upstream_chart,
};
pub use urgency_queue::UrgencyQueue;
pub use waiting_levels::{WaitingLevels, WorthLevel};
pub use worth::{CostLadder, LaneMeans};

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A point in monotonic time, in microseconds since an arbitrary start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(pub u64);

impl Moment {
    /// `milliseconds` after the start.
    pub const fn from_millis(milliseconds: u64) -> Self {
        Moment(milliseconds * 1_000)
    }

    /// The time from `earlier` to `self`; zero if `earlier` is later.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_add(duration.as_micros() as u64))
    }
}

/// A request's id, unique in one daemon's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// A tier's place in the order of importance; 0 is the highest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TierRank(pub u8);

/// An organisation's number, unique in one daemon's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrganisationIndex(pub u32);

/// An upstream's number in its pool; never reused for another incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamIndex(pub u32);
