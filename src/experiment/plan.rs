//! The definition of an experiment.

use crate::load::{LoadProfile, PolicyChoice};
use crate::policy::{PoolPlan, TierRank, TierShare};
use crate::table::{LimitMode, PlacementMode, ServiceKind};
use clap::ValueEnum;
use serde::Serialize;
use std::time::Duration;

/// Time of arrivals before the measurement window, in which queues and learned values settle.
const WARM_UP: Duration = Duration::from_secs(10);
/// Time of arrivals after the measurement window, so that its last requests meet the same load as
/// its first.
const COOL_DOWN: Duration = Duration::from_secs(10);
/// Time from the start of one burst to the next.
const BURST_PERIOD: Duration = Duration::from_secs(5);
/// Factor on the mean rate during a burst. Between bursts the rate is lowered to keep the mean.
const BURST_RATE_FACTOR: f64 = 3.0;
/// Length of a burst as a fraction of the burst period.
const DUTY_CYCLE: f64 = 0.2;

/// Fault injected during the measurement window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// No fault.
    None,
    /// One engine becomes three times slower.
    Straggler,
    /// One engine crashes and loses its requests.
    LostEngine,
    /// One engine announces that it is leaving, and finishes its requests.
    LeavingEngine,
    /// Arrivals come in bursts of three times the mean rate.
    Bursts,
    /// A caller repeatedly sends a request that crashes every engine that starts to run it.
    PoisonRequest,
}

/// Mechanism disabled to measure its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MechanismSwitch {
    /// Prefix affinity; replaced by placement on the least reported load.
    Affinity,
    /// The learned limit; replaced by the configured limit.
    LearnedLimit,
    /// Refusal of requests whose deadline cannot be met.
    DeadlineRefusal,
    /// Shares of the engines' limits; every daemon uses the full limits instead.
    Shares,
    /// Headroom at each engine that is reserved for the highest tier.
    Headroom,
    /// Penalty for stragglers in placement.
    StragglerRule,
    /// Quarantine of requests that engines crashed on.
    Quarantine,
}

/// Parameters of an experiment.
#[derive(Clone, Debug)]
pub struct ExperimentPlan {
    /// Requests and engines.
    pub profile: LoadProfile,
    /// Request rate as a multiple of the engines' capacity.
    pub load_factor: f64,
    /// Length of the measurement window.
    pub window: Duration,
    /// Number of daemons; each arrival goes to one of them, uniformly at random.
    pub daemons: usize,
    /// Policy of the daemons.
    pub policy: PolicyChoice,
    /// Disabled mechanism.
    pub disabled_mechanism: Option<MechanismSwitch>,
    /// Injected fault.
    pub fault: FaultKind,
    /// Seed of the arrivals, request lengths and random choices.
    pub seed: u64,
}

impl ExperimentPlan {
    /// Mean request rate per second.
    pub fn rate(&self) -> f64 {
        self.profile.capacity() * self.load_factor
    }

    /// Time span of all arrivals.
    pub fn arrival_span(&self) -> Duration {
        WARM_UP + self.window + COOL_DOWN
    }

    /// True if a request arriving at `at` falls into the measurement window.
    pub fn is_measured(&self, at: Duration) -> bool {
        (WARM_UP..WARM_UP + self.window).contains(&at)
    }

    /// Time at which the fault is injected.
    pub fn fault_start(&self) -> Duration {
        WARM_UP + self.window / 4
    }

    /// Time at which a repeated fault ends.
    pub fn fault_end(&self) -> Duration {
        WARM_UP + self.window * 3 / 4
    }

    /// Maps an arrival time of a stream without bursts to one with bursts, if the fault is bursts.
    /// In each period, time is compressed for the arrivals of the burst and stretched for the rest.
    pub fn burst_arrival(&self, at: Duration) -> Duration {
        if self.fault != FaultKind::Bursts {
            return at;
        }
        let period = BURST_PERIOD.as_secs_f64();
        let period_idx = (at.as_secs_f64() / period).floor();
        let phase = at.as_secs_f64() / period - period_idx;
        let burst_share = DUTY_CYCLE * BURST_RATE_FACTOR;
        let shifted = match phase < burst_share {
            true => phase / BURST_RATE_FACTOR,
            false => DUTY_CYCLE + (phase - burst_share) * (1.0 - DUTY_CYCLE) / (1.0 - burst_share),
        };
        Duration::from_secs_f64((period_idx + shifted) * period)
    }

    /// Plan of the model pool under the policy, without the disabled mechanism.
    pub fn pool_plan(&self) -> PoolPlan {
        let row = self.profile.service(self.profile.model_service, ServiceKind::Model, self.policy);
        let tiers = self.profile.classes.iter();
        let tiers: Vec<TierShare> = tiers
            .map(|class| TierShare { rank: TierRank(class.rank), weight: class.weight })
            .collect();
        let mut plan = PoolPlan::new(&row, &tiers);
        match self.disabled_mechanism {
            Some(MechanismSwitch::Affinity) => plan.placement = PlacementMode::LeastReported,
            Some(MechanismSwitch::LearnedLimit) => plan.limit = LimitMode::Fixed,
            Some(MechanismSwitch::DeadlineRefusal) => plan.refuses_late = false,
            Some(MechanismSwitch::Headroom) => plan.keeps_headroom = false,
            Some(MechanismSwitch::StragglerRule) => plan.avoids_stragglers = false,
            Some(MechanismSwitch::Shares | MechanismSwitch::Quarantine) | None => {}
        }
        plan
    }
}
