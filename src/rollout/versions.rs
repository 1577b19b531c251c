//! Which upstreams of a service a daemon's requests to each version may go to.

use super::counts::VersionArm;
use super::messages::RolloutRow;
use super::stage::RolloutStage;
use crate::policy::UpstreamHash;
use crate::table::{ServiceName, SoftwareVersion};

/// Upstreams of a version on trial that are used at least: fewer could be in trouble together.
const LEAST_ON_TRIAL: usize = 6;

/// The name of the pool that holds a service's upstreams of one version. Without a version it is the service's own.
pub fn version_pool(service: &ServiceName, version: Option<&SoftwareVersion>) -> ServiceName {
    match version {
        Some(version) => format!("{service}@{version}").as_str().into(),
        None => service.clone(),
    }
}

impl RolloutRow {
    /// The version whose pool serves an arm of the roll-out; none for the service's own pool.
    pub fn version_of(&self, arm: VersionArm) -> Option<&SoftwareVersion> {
        match arm {
            VersionArm::Old => self.from.as_ref(),
            VersionArm::New => Some(&self.to),
        }
    }

    /// The arm that an upstream of `version` belongs to. Those whose version is not known are old: only what the order
    /// names is new.
    pub fn arm_of(&self, version: Option<&SoftwareVersion>) -> VersionArm {
        match version == Some(&self.to) {
            true => VersionArm::New,
            false => VersionArm::Old,
        }
    }

    /// Upstreams of the new version, out of `all`, that take requests now. A share of the requests goes to a share of the
    /// upstreams, so that those are as busy as the old ones and show what load does to them. All daemons choose alike.
    pub fn in_use(&self, mut all: Vec<UpstreamHash>) -> Vec<UpstreamHash> {
        if matches!(self.stage, RolloutStage::Trial | RolloutStage::Expanding) {
            let share = (self.share() * all.len() as f64).ceil() as usize;
            all.sort_unstable();
            all.truncate(share.max(LEAST_ON_TRIAL));
        }
        all
    }
}
