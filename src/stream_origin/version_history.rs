//! Which versions of each service a daemon has seen in the list of upstreams, and when.
//!
//! While a service has had a single version for longer than a stream of it can be resumed, any stream
//! of it began at that version, and records need not be sent. A daemon that has not watched for so
//! long can't tell: the version before may have left just before it started.

use super::VersionReport;
use crate::fleet_state::ServiceHash;
use crate::policy::{Moment, VersionHash};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time beyond the horizon for which a service must have had one version until its streams need no
/// records. Voters, and daemons with an older list, remember a version that has left some seconds longer.
const EVIDENCE_MARGIN: Duration = Duration::from_secs(6);

/// What a daemon says of the versions that a stream of a service may have begun at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionClaim {
    /// Only this one.
    Sole(VersionHash),
    /// One of several, or at an upstream of unknown version.
    Several,
    /// This one is listed; the daemon has not watched for long enough to know of others.
    Recent(VersionHash),
    /// Upstreams of the service are not listed.
    None,
    /// The upstreams state no version.
    Unversioned,
}

impl VersionClaim {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            VersionClaim::Sole(_) => "sole",
            VersionClaim::Several => "several",
            VersionClaim::Recent(_) => "recent",
            VersionClaim::None => "none",
            VersionClaim::Unversioned => "unversioned",
        }
    }
}

/// The versions of one service.
#[derive(Clone, Debug)]
struct ServiceVersions {
    watched_since: Moment,
    listed: BTreeSet<VersionHash>,
    has_unknown: bool,
    /// When versions that are no longer listed were last listed.
    left: BTreeMap<VersionHash, Moment>,
}

/// The versions that a daemon has seen.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: BTreeMap<ServiceHash, ServiceVersions>,
    /// When a route was last seen to change its services.
    routes_changed_at: Option<Moment>,
}

impl VersionHistory {
    /// Applies the versions of a service's listed upstreams; `None` stands for an unknown one. Returns
    /// true if a version was added.
    pub fn apply_list(
        &mut self,
        service: ServiceHash,
        versions: impl Iterator<Item = Option<VersionHash>>,
        now: Moment,
    ) -> bool {
        let rows: BTreeSet<Option<VersionHash>> = versions.collect();
        let listed: BTreeSet<VersionHash> = rows.iter().copied().flatten().collect();
        let known = self.services.entry(service).or_insert_with(|| ServiceVersions {
            watched_since: now,
            listed: BTreeSet::new(),
            has_unknown: false,
            left: BTreeMap::new(),
        });
        let is_added = listed.difference(&known.listed).next().is_some();
        let left: Vec<VersionHash> = known.listed.difference(&listed).copied().collect();
        known.left.extend(left.into_iter().map(|version| (version, now)));
        known.left.retain(|version, _| !listed.contains(version));
        known.has_unknown = rows.contains(&None);
        known.listed = listed;
        is_added
    }

    /// The versions that are listed, of all services or of one.
    pub fn reports(&self, service: Option<ServiceHash>) -> Vec<VersionReport> {
        let services = self.services.iter();
        let wanted = services.filter(|(known, _)| service.is_none_or(|service| service == **known));
        let report = |(service, known): (&ServiceHash, &ServiceVersions)| {
            let unknown = known.has_unknown.then_some(None);
            let versions = known.listed.iter().copied().map(Some).chain(unknown).collect();
            VersionReport { service: *service, versions }
        };
        wanted.map(report).collect()
    }

    /// The versions of a report that are listed here, too.
    pub fn listed_of(&self, report: &VersionReport) -> VersionReport {
        let listed = self.services.get(&report.service).map(|known| &known.listed);
        let is_listed = |version: &&Option<VersionHash>| {
            version.is_some_and(|version| listed.is_some_and(|listed| listed.contains(&version)))
        };
        let versions = report.versions.iter().filter(is_listed).copied().collect();
        VersionReport { service: report.service, versions }
    }

    /// True if a route changed its services within the last `horizon`.
    pub fn has_moved_route(&self, horizon: Duration, now: Moment) -> bool {
        self.routes_changed_at.is_some_and(|at| now.since(at) < horizon)
    }

    /// Records that a route has changed its services: its streams may have begun at another one.
    pub fn record_route_change(&mut self, now: Moment) {
        self.routes_changed_at = Some(now);
    }

    /// True if any daemon can tell without a record that a stream of the service which begins now began
    /// at this version.
    pub fn is_evident(
        &self,
        service: ServiceHash,
        version: VersionHash,
        horizon: Duration,
        now: Moment,
    ) -> bool {
        self.claim(service, horizon + EVIDENCE_MARGIN, now) == VersionClaim::Sole(version)
    }

    /// What this daemon can say of the streams of a service that began within the last `horizon`.
    pub fn claim(&self, service: ServiceHash, horizon: Duration, now: Moment) -> VersionClaim {
        let Some(known) = self.services.get(&service) else { return VersionClaim::None };
        let is_recent = |at: &Moment| now.since(*at) < horizon;
        let has_left = known.left.values().any(is_recent);
        let is_moved = self.has_moved_route(horizon, now);
        let mut listed = known.listed.iter().copied();
        match (listed.next(), listed.next()) {
            (None, _) if known.has_unknown && known.left.is_empty() => VersionClaim::Unversioned,
            (None, _) if has_left || known.has_unknown => VersionClaim::Several,
            (None, _) => VersionClaim::None,
            (Some(_), Some(_)) => VersionClaim::Several,
            (Some(_), None) if has_left || is_moved || known.has_unknown => VersionClaim::Several,
            (Some(version), None) if is_recent(&known.watched_since) => {
                VersionClaim::Recent(version)
            }
            (Some(version), None) => VersionClaim::Sole(version),
        }
    }
}
