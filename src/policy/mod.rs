//! Scheduling policy as pure state machines: no clock, sockets, async code or global random number
//! generator.
//!
//! [`PoolScheduler`] consumes timestamped [`PoolEvent`]s and emits [`PoolAction`]s. [`Exchange`]
//! does the same for the dispatch of one request. The surrounding traffic code performs the I/O.

mod answer_times;
mod cold_pace;
mod drain_meter;
mod earliest_placement;
mod engine_memory;
mod estimate;
mod exchange;
mod first_event;
mod fleet_group;
mod home_regions;
mod learned_limit;
mod mechanism;
mod organisation_limits;
mod organisation_shares;
mod owner_ring;
mod placement;
mod placement_demand;
mod prefix_ring;
mod prefix_table;
mod queue;
mod reach_monitor;
mod request_sizes;
mod retry_budget;
mod retry_detector;
mod scheduler;
mod shared_list;
mod shed_audit;
mod shed_floor;
mod size_shares;
mod stated_rate;
mod upstream_hash;
mod upstream_queue_meter;
mod upstream_set;
mod upstreams;
mod urgency_queue;
mod value_density;
mod version_hash;
mod waiting_levels;

pub use answer_times::AnswerTimes;
pub use cold_pace::{ColdBound, ColdPace, ColdTolerance};
pub use drain_meter::{DrainMeter, TierProgress};
pub use earliest_placement::EarliestPlacement;
pub use engine_memory::{EngineMemory, MemoryNeed};
pub use estimate::{CostEstimate, CostModel, EngineSpeed, RequestSizes};
pub use exchange::{Exchange, ExchangeAction, ExchangeEvent, RequestState, request_chart};
pub use first_event::FirstEventModel;
pub use fleet_group::FleetGroup;
pub use home_regions::{HomeRegions, NoCommonRegion};
pub use learned_limit::LearnedLimit;
pub use mechanism::{Mechanism, MechanismSet};
pub use organisation_limits::{
    LimitClaim, LimitForecast, LimitTable, LimitTolerance, OrganisationLimit,
};
pub use organisation_shares::{OrganisationFlow, OrganisationShares};
pub use owner_ring::OwnerRing;
pub use placement::{
    AffinityPlacement, LeastReported, PlacementPolicy, PlacementQuery, RequiredFit, RoundRobin,
    placement_policy, prefix_hashes, prefix_marks,
};
pub use placement_demand::PlacementDemand;
pub use prefix_ring::PrefixRing;
pub use prefix_table::{
    PrefixHolders, PrefixMark, PrefixPlan, PrefixTable, SentPrompt, prefix_holders,
};
pub use queue::{FairQueue, FifoQueue, TierShare, WaitingQueue, WaitingRequest};
pub use reach_monitor::ReachMonitor;
pub use request_sizes::{RouteSizes, SizeDecile};
pub use retry_budget::{RetryBound, RetryBudget};
pub use retry_detector::RetryDetector;
pub use scheduler::{
    ArrivedRequest, DispatchOutcome, PeerWaiting, PoolAction, PoolEvent, PoolPlan, PoolScheduler,
    PoolStatus, PrefixCounts,
};
pub use shared_list::{
    ChangeVerdict, ListChange, ListPart, ListedUpstream, MissingParts, PackedChange, SharedList,
};
pub use shed_audit::ShedAudit;
pub use shed_floor::{FloorOrder, ShedFloor};
pub use size_shares::{RouteKey, SizeClaim, SizeShares};
pub use stated_rate::{RatePace, RateReport, RateShare, RateStatement, owner_count};
pub use upstream_hash::UpstreamHash;
pub use upstream_queue_meter::UpstreamQueueMeter;
pub use upstream_set::{DEPARTED_TTL, UpstreamSet};
pub use upstreams::{
    CapacityClass, LoadReport, PeerWork, UpstreamEvent, UpstreamSource, UpstreamState,
    UpstreamStatus, upstream_chart,
};
pub use urgency_queue::UrgencyQueue;
pub use value_density::{CostHistogram, LaneMeans};
pub use version_hash::VersionHash;
pub use waiting_levels::{DensityLevel, WaitingLevels};

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A monotonic timestamp in microseconds since an arbitrary epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(pub u64);

impl Moment {
    /// The timestamp `milliseconds` after the epoch.
    pub const fn from_millis(milliseconds: u64) -> Self {
        Moment(milliseconds * 1_000)
    }

    /// Milliseconds since the epoch.
    pub const fn millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The time elapsed from `earlier` to `self`; zero if `earlier` is later.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The timestamp `duration` earlier, or the epoch.
    pub fn before(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

impl std::ops::Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_add(duration.as_micros() as u64))
    }
}

/// Identifies a request; unique for the lifetime of the daemon process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// The priority of a tier; 0 is the highest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TierRank(pub u8);

/// Identifies an organisation; unique for the lifetime of the daemon process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrganisationIndex(pub u32);

/// Identifies one incarnation of an upstream within its pool; never reused for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamIndex(pub u32);
