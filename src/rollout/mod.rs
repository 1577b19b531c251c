//! Canary roll-outs of upstream software: a new version first receives a small share of the
//! requests and is then promoted or rolled back according to its results.
//!
//! This module is pure: time and random numbers are inputs. The voters store orders and stages
//! ([`RolloutLog`]), daemons send the new version its share ([`SharePacer`]) and count the outcomes
//! ([`OutcomeCounts`]), and the leader sums the counts and decides ([`RolloutController`]). A new
//! version that fails or is slow is detected by comparison with the old one over the same period.

mod controller;
mod counts;
mod log;
mod messages;
mod pacer;
mod stage;
mod verdict;
mod versions;

pub use controller::{RolloutController, RolloutDecision};
pub use counts::{CountKey, OutcomeCounts, RequestGroup, VersionArm, VersionOutcome};
pub use log::{RolloutLog, RolloutOrder, RolloutRecord, RolloutReply, RolloutStep};
pub use messages::{RolloutReport, RolloutRow, RolloutRows};
pub use pacer::SharePacer;
pub use stage::{RolloutAction, RolloutChart, RolloutEvent, RolloutStage, rollout_chart};
pub use verdict::{VersionVerdict, compare_versions};
pub use versions::version_pool_name;
