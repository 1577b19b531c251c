//! Which versions of each service the daemons that serve callers report to a voter.
//!
//! All of those daemons may be started again at once, and then none remembers a version that has left.
//! The voters run on other machines. As no stream begins while no daemon serves callers, reports that
//! stop for a while leave nothing out.

use super::VersionClaim;
use crate::fleet_state::ServiceHash;
use crate::policy::{Moment, VersionHash};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between two reports of a daemon.
pub const VERSION_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without reports from which a voter may have been cut off from daemons that began streams.
const MAX_REPORT_GAP: Duration = Duration::from_secs(10);
/// A version may have served for this long after the last report of it.
const REPORT_LAG: Duration = Duration::from_secs(2);

/// The versions of a service's listed upstreams; `None` stands for an unknown one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionReport {
    pub service: ServiceHash,
    pub versions: Vec<Option<VersionHash>>,
}

/// The reports on one service.
#[derive(Clone, Debug)]
struct WatchedService {
    /// Start of the time for which the reports are complete; `None` if it is that of the fleet.
    since: Option<Moment>,
    /// When each version was last reported.
    seen: BTreeMap<Option<VersionHash>, Moment>,
}

/// The versions that were reported to a voter.
#[derive(Clone, Debug)]
pub struct VersionWatch {
    is_from_founding: bool,
    /// Time of the last report.
    heard_at: Option<Moment>,
    services: BTreeMap<ServiceHash, WatchedService>,
}

impl VersionWatch {
    /// Creates a watch. `is_from_founding` is true at a voter that founds the fleet, before which no
    /// stream can have begun.
    pub fn new(is_from_founding: bool) -> Self {
        VersionWatch { is_from_founding, heard_at: None, services: BTreeMap::new() }
    }

    /// Applies the report of a daemon.
    pub fn apply_report(&mut self, report: &VersionReport, now: Moment) {
        if self.heard_at.is_some_and(|at| now.since(at) > MAX_REPORT_GAP) {
            self.is_from_founding = false;
            self.services.values_mut().for_each(|known| known.since = Some(now));
        }
        self.heard_at = Some(now);
        let since = (!self.is_from_founding).then_some(now);
        let known = self
            .services
            .entry(report.service)
            .or_insert_with(|| WatchedService { since, seen: BTreeMap::new() });
        known.seen.extend(report.versions.iter().map(|version| (*version, now)));
    }

    /// What the reports say of the streams of a service that began within the last `horizon`.
    pub fn claim(&self, service: ServiceHash, horizon: Duration, now: Moment) -> VersionClaim {
        let Some(known) = self.services.get(&service) else { return VersionClaim::None };
        let is_recent = |at: &Moment| now.since(*at) < horizon + REPORT_LAG;
        let mut seen =
            known.seen.iter().filter(|(_, at)| is_recent(at)).map(|(version, _)| version);
        let is_complete = !known.since.as_ref().is_some_and(is_recent)
            && self.heard_at.is_some_and(|at| now.since(at) <= MAX_REPORT_GAP);
        match (seen.next(), seen.next()) {
            (None, _) => VersionClaim::None,
            (Some(None), None) => VersionClaim::Unversioned,
            (Some(Some(version)), None) if is_complete => VersionClaim::Sole(*version),
            (Some(Some(version)), None) => VersionClaim::Recent(*version),
            (Some(_), Some(_)) => VersionClaim::Several,
        }
    }
}
