//! Selects the version of a service for each request, and the upstreams of each version.

use super::TrafficState;
use crate::policy::{UpstreamHash, UpstreamSource, VersionHash};
use crate::rollout::{RolloutReport, RolloutRow, RolloutRows, VersionArm, version_pool_name};
use crate::stream_origin::StreamOrigin;
use crate::table::{OperatorTable, ServiceName, ServiceRow, SoftwareVersion};
use crate::traffic::pool_runtime::PoolRuntime;
use crate::traffic::rollout_gate::TrialTicket;
use crate::upstream::{PlatformList, VmRow};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Pool selected for a request.
pub struct ChosenPool {
    pub pool: Arc<PoolRuntime>,
    /// Arm of the service's roll-out that the pool belongs to.
    pub arm: VersionArm,
    /// Set if the request counts towards the share of a version on trial.
    pub ticket: Option<TrialTicket>,
}

impl TrafficState {
    /// Pool with the upstreams of one version of a service. One that has left the table is found while
    /// requests use it.
    pub fn version_pool(
        &self,
        service: &ServiceName,
        version: Option<&SoftwareVersion>,
    ) -> Option<Arc<PoolRuntime>> {
        let name = version_pool_name(service, version);
        let find = || self.pools.load().get(&name).cloned();
        // A pool that returns between the first two lookups is in neither map.
        find().or_else(|| self.outgoing_pools.get(&name)).or_else(find)
    }

    /// Name of the version of a stream's origin, if an upstream of it is listed.
    pub fn version_name(&self, origin: StreamOrigin) -> Option<String> {
        let list = self.platform_list();
        let began = |row: &&VmRow| StreamOrigin::new(&row.service, row.version.as_ref()) == origin;
        list.vms.iter().find(began)?.version.as_ref().map(SoftwareVersion::to_string)
    }

    /// Selects the pool for a request to a service, which may have left the table since the request was
    /// admitted. `may_try` is true if the request may go to a version on trial.
    pub fn choose_pool(&self, service: &ServiceName, may_try: bool) -> Option<ChosenPool> {
        let Some(row) = self.rollouts.row(service) else {
            let pool = self.version_pool(service, None)?;
            return Some(ChosenPool { pool, arm: VersionArm::Old, ticket: None });
        };
        let (live, now) = (self.live_versions(&row), self.clock.now());
        let ticket = may_try.then(|| self.rollouts.ticket(&row, live.1, now)).flatten();
        let arm = match &ticket {
            Some(_) => VersionArm::New,
            None => self.rollouts.arm_in_use(&row, live, now),
        };
        let pool = self.version_pool(service, row.version_of(arm))?;
        Some(ChosenPool { pool, arm, ticket })
    }

    /// Selects the pool for a request that resumes a stream of `version`, whatever the share of a
    /// version on trial.
    pub fn choose_pool_of(
        &self,
        service: &ServiceName,
        version: Option<VersionHash>,
    ) -> Option<ChosenPool> {
        let Some(row) = self.rollouts.row(service) else {
            return self.choose_pool(service, false);
        };
        let is_new = version == Some(VersionHash::of(&row.to));
        let arm = if is_new { VersionArm::New } else { VersionArm::Old };
        let pool = self.version_pool(service, row.version_of(arm))?;
        Some(ChosenPool { pool, arm, ticket: None })
    }

    /// True if a stream that began at an arm of its service's roll-out may be resumed there. Streams
    /// of the old version go on while its upstreams are left; those of a new one that is rolled back,
    /// or may be, do not.
    pub fn may_resume_at_arm(&self, service: &ServiceName, arm: VersionArm) -> bool {
        arm == VersionArm::Old || self.may_use_arm(service, arm)
    }

    /// Whether the old and the new version of a roll-out have live upstreams.
    fn live_versions(&self, row: &RolloutRow) -> (bool, bool) {
        let is_live = |arm| {
            let pool = self.version_pool(&row.service, row.version_of(arm));
            pool.is_some_and(|pool| pool.status().live > 0)
        };
        (is_live(VersionArm::Old), is_live(VersionArm::New))
    }

    /// True if a request assigned to an arm of its service's roll-out may still be sent there.
    pub fn may_use_arm(&self, service: &ServiceName, arm: VersionArm) -> bool {
        let Some(row) = self.rollouts.row(service) else { return true };
        self.rollouts.allows(&row, arm, self.live_versions(&row), self.clock.now())
    }

    /// Reports on this daemon's part in roll-outs, for the leader.
    pub fn rollout_reports(&self) -> Vec<RolloutReport> {
        self.rollouts.reports(|row| {
            let pool = self.version_pool(&row.service, row.version_of(VersionArm::Old));
            pool.map_or(0, |pool| (pool.status().waiting + pool.status().running) as u32)
        })
    }

    /// Applies the roll-outs received from the leader.
    pub fn apply_rollouts(&self, rows: RolloutRows) {
        if !self.rollouts.replace_rows(rows, self.jitter()) {
            return;
        }
        let indices = self.lock_changes();
        self.update_pools(&self.snapshot.load().access);
        drop(indices);
        self.rollouts.notify_changed();
    }

    /// Versions of a service's pools: `None`, which accepts any version, and the versions of a
    /// roll-out. Each is paired with the service's row.
    pub(super) fn versions_of<'a>(
        &self,
        row: &'a ServiceRow,
    ) -> Vec<(&'a ServiceRow, Option<SoftwareVersion>)> {
        let mut versions = BTreeSet::from([None]);
        if let Some(rollout) = self.rollouts.row(&row.service) {
            let arms = [VersionArm::Old, VersionArm::New];
            versions.extend(arms.map(|arm| rollout.version_of(arm).cloned()));
        }
        versions.into_iter().map(|version| (row, version)).collect()
    }
}

/// Upstreams of a pool whose service has a roll-out.
pub(super) fn version_sources(
    row: &RolloutRow,
    platform: &PlatformList,
    table: &OperatorTable,
    pool: &PoolRuntime,
) -> Vec<UpstreamSource> {
    let service = &pool.service;
    let arms = [VersionArm::Old, VersionArm::New];
    let arm = arms.into_iter().find(|arm| row.version_of(*arm) == pool.version.as_ref());
    let Some(arm) = arm else { return Vec::new() };
    let belongs = |vm: &VmRow| row.arm_of(vm.version.as_ref()) == arm;
    if arm == VersionArm::Old {
        return platform.filter_service(service, belongs).upstream_sources(table, service);
    }
    // Upstreams listed in the table have no version, so only the platform list is used.
    let mut sources = platform
        .filter_service(service, belongs)
        .upstream_sources(&OperatorTable::default(), service);
    let hash =
        |source: &UpstreamSource| UpstreamHash::of(service, &source.name, source.incarnation);
    let in_use = row.active_upstreams(sources.iter().map(hash).collect());
    sources.retain(|source| in_use.contains(&hash(source)));
    sources
}
