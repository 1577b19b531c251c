//! Assignment of a service's upstreams to the old and the new version of a roll-out.

use super::counts::VersionArm;
use super::messages::RolloutRow;
use super::stage::RolloutStage;
use crate::policy::UpstreamHash;
use crate::table::{ServiceName, SoftwareVersion};

/// Minimum number of upstreams used for a version on trial; a smaller number could all be faulty at
/// once.
const MIN_TRIAL_UPSTREAMS: usize = 6;

/// Returns the name of the pool that holds a service's upstreams of one version. Without a version,
/// this is the service's own pool.
pub fn version_pool_name(service: &ServiceName, version: Option<&SoftwareVersion>) -> ServiceName {
    match version {
        Some(version) => format!("{service}@{version}").as_str().into(),
        None => service.clone(),
    }
}

impl RolloutRow {
    /// Returns the version whose pool serves an arm of the roll-out, or none for the service's own
    /// pool.
    pub fn version_of(&self, arm: VersionArm) -> Option<&SoftwareVersion> {
        match arm {
            VersionArm::Old => self.from.as_ref(),
            VersionArm::New => Some(&self.to),
        }
    }

    /// Returns the arm of an upstream of `version`. Only the version named in the order is new;
    /// upstreams of unknown version belong to the old arm.
    pub fn arm_of(&self, version: Option<&SoftwareVersion>) -> VersionArm {
        match version == Some(&self.to) {
            true => VersionArm::New,
            false => VersionArm::Old,
        }
    }

    /// Returns the upstreams of the new version, out of `all`, that currently receive requests.
    /// In the trial and expanding stages, a share of the requests goes to the same share of the
    /// upstreams, so that these are as loaded as the old ones and show faults under load. All
    /// daemons choose the same upstreams.
    pub fn active_upstreams(&self, mut all: Vec<UpstreamHash>) -> Vec<UpstreamHash> {
        if matches!(self.stage, RolloutStage::Trial | RolloutStage::Expanding) {
            let count = (self.share() * all.len() as f64).ceil() as usize;
            all.sort_unstable();
            all.truncate(count.max(MIN_TRIAL_UPSTREAMS));
        }
        all
    }
}
