//! What one experiment is.

use crate::load::{LoadProfile, PolicyChoice};
use crate::policy::{PoolPlan, TierRank, TierShare};
use crate::table::{LimitMode, PlacementMode, ServiceKind};
use clap::ValueEnum;
use serde::Serialize;
use std::time::Duration;

/// Arrivals before the measured time, so that queues and learned numbers have settled.
const WARM_UP: Duration = Duration::from_secs(10);
/// Arrivals after the measured time, so that the last measured requests meet the same load as the first.
const TAIL: Duration = Duration::from_secs(10);
/// Bursts come this often, and last a fifth of that time.
const BURST_PERIOD: Duration = Duration::from_secs(5);
/// A burst multiplies the rate; between bursts it is lower by as much, so that the mean stays.
const BURST_FACTOR: f64 = 3.0;
/// The part of the time that is burst.
const BURST_PART: f64 = 0.2;

/// What goes wrong in the middle of the measured time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Nothing.
    None,
    /// One engine becomes three times slower.
    Straggler,
    /// One engine dies with the work on it.
    LostEngine,
    /// One engine says that it is leaving, and finishes what it has.
    LeavingEngine,
    /// Arrivals come in bursts of three times the mean rate.
    Bursts,
    /// A caller sends a request again and again under which each engine that begins to run it ends.
    PoisonRequest,
}

/// A mechanism that is switched off, to see what it is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MechanismSwitch {
    /// Prefix affinity: the least reported load instead.
    Affinity,
    /// The learned limit: the number that was given instead.
    LearnedLimit,
    /// The refusal of requests whose deadline cannot be met.
    DeadlineRefusal,
    /// Shares of the engines' limits: every daemon uses the whole.
    Shares,
    /// Room at each engine for the highest tier alone.
    Headroom,
    /// The straggler's price in placement.
    StragglerRule,
    /// The quarantine of requests under which engines end.
    Quarantine,
}

/// One experiment.
#[derive(Clone, Debug)]
pub struct ExperimentPlan {
    /// Whose requests and engines.
    pub profile: LoadProfile,
    /// The rate as a multiple of the engines' capacity.
    pub times: f64,
    /// The measured time.
    pub window: Duration,
    /// Daemons; arrivals are spread over them evenly at random.
    pub daemons: usize,
    /// The daemons' policy.
    pub policy: PolicyChoice,
    /// What is switched off.
    pub without: Option<MechanismSwitch>,
    /// What goes wrong.
    pub fault: FaultKind,
    /// The seed of arrivals, lengths and choices.
    pub seed: u64,
}

impl ExperimentPlan {
    /// Mean requests a second.
    pub fn rate(&self) -> f64 {
        self.profile.capacity() * self.times
    }

    /// The time of all arrivals.
    pub fn length(&self) -> Duration {
        WARM_UP + self.window + TAIL
    }

    /// True if a request that arrives at `at` is measured.
    pub fn measures(&self, at: Duration) -> bool {
        (WARM_UP..WARM_UP + self.window).contains(&at)
    }

    /// When the fault strikes.
    pub fn fault_at(&self) -> Duration {
        WARM_UP + self.window / 4
    }

    /// When a fault that lasts is over.
    pub fn fault_end(&self) -> Duration {
        WARM_UP + self.window * 3 / 4
    }

    /// Moves an arrival of an even stream into bursts. Within a period, the time that the mean rate
    /// needs for a part of the arrivals is pressed together or drawn out.
    pub fn arrival(&self, at: Duration) -> Duration {
        if self.fault != FaultKind::Bursts {
            return at;
        }
        let period = BURST_PERIOD.as_secs_f64();
        let whole = (at.as_secs_f64() / period).floor();
        let part = at.as_secs_f64() / period - whole;
        let in_burst = BURST_PART * BURST_FACTOR;
        let moved = match part < in_burst {
            true => part / BURST_FACTOR,
            false => BURST_PART + (part - in_burst) * (1.0 - BURST_PART) / (1.0 - in_burst),
        };
        Duration::from_secs_f64((whole + moved) * period)
    }

    /// The model pool's plan under the policy, without what is switched off.
    pub fn pool_plan(&self) -> PoolPlan {
        let row = self.profile.service(self.profile.model, ServiceKind::Model, self.policy);
        let tiers = self.profile.classes.iter();
        let tiers: Vec<TierShare> = tiers
            .map(|class| TierShare { rank: TierRank(class.rank), weight: class.weight })
            .collect();
        let mut plan = PoolPlan::new(&row, &tiers);
        match self.without {
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
