//! Which of the listed versions a majority of the voters has heard of.
//!
//! A daemon that looks up where a stream began takes the only version that it lists for the stream's if
//! a majority of the voters knows no other ([`OriginLookup`](super::OriginLookup)). So a daemon that
//! lists a new version announces it to the voters before it uses it: the two majorities have a voter in
//! common, which knows the version.

use super::{StreamOrigin, VersionReport};
use crate::fleet_state::ServiceHash;
use crate::policy::{Moment, VersionHash};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which a version is used without a majority, so that upstreams do not stay unused while most
/// voters are down. By then other daemons that reach the voters have announced it.
pub const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(10);

/// A listed version that is not in use yet.
#[derive(Clone, Debug)]
struct PendingVersion {
    listed_at: Moment,
    heard_by: BTreeSet<SocketAddr>,
}

/// A version that may be used from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsableVersion {
    pub origin: StreamOrigin,
    /// Number of voters that have heard of it.
    pub heard: usize,
    /// Time since it was first listed.
    pub waited: Duration,
}

/// The listed versions of all services, as far as voters have heard of them.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedVersions {
    voters: Vec<SocketAddr>,
    pending: BTreeMap<ServiceHash, BTreeMap<VersionHash, PendingVersion>>,
    in_use: BTreeMap<ServiceHash, BTreeSet<VersionHash>>,
}

impl AnnouncedVersions {
    /// Sets the voters in office.
    pub fn set_voters(&mut self, voters: &[SocketAddr]) {
        self.voters = voters.to_vec();
    }

    /// Applies the versions of a service's listed upstreams.
    pub fn apply_list(
        &mut self,
        service: ServiceHash,
        listed: &BTreeSet<VersionHash>,
        now: Moment,
    ) {
        let in_use = self.in_use.entry(service).or_default();
        in_use.retain(|version| listed.contains(version));
        let pending = self.pending.entry(service).or_default();
        pending.retain(|version, _| listed.contains(version));
        for version in listed.iter().filter(|version| !in_use.contains(version)) {
            let new = || PendingVersion { listed_at: now, heard_by: BTreeSet::new() };
            pending.entry(*version).or_insert_with(new);
        }
    }

    /// Applies a voter's reply, which names the versions that it has heard of.
    pub fn apply_reply(&mut self, from: SocketAddr, heard: &[VersionReport]) {
        for report in heard {
            let Some(pending) = self.pending.get_mut(&report.service) else { continue };
            for version in report.versions.iter().flatten() {
                if let Some(pending) = pending.get_mut(version) {
                    pending.heard_by.insert(from);
                }
            }
        }
    }

    /// Takes versions into use that a majority of the voters has heard of, or whose time is over, and
    /// returns them.
    pub fn update(&mut self, now: Moment) -> Vec<UsableVersion> {
        let mut usable = Vec::new();
        for (service, pending) in &mut self.pending {
            pending.retain(|version, row| {
                let origin = StreamOrigin { service: *service, version: Some(*version) };
                let voters = self.voters.iter();
                let heard = voters.filter(|voter| row.heard_by.contains(voter)).count();
                let waited = now.since(row.listed_at);
                let is_usable = heard > self.voters.len() / 2 || waited >= ANNOUNCEMENT_TIMEOUT;
                if is_usable {
                    self.in_use.entry(*service).or_default().insert(*version);
                    usable.push(UsableVersion { origin, heard, waited });
                }
                !is_usable
            });
        }
        usable
    }

    /// The versions to announce.
    pub fn pending(&self) -> Vec<VersionReport> {
        let rows = self.pending.iter().filter(|(_, pending)| !pending.is_empty());
        let report =
            |(service, pending): (&ServiceHash, &BTreeMap<VersionHash, _>)| VersionReport {
                service: *service,
                versions: pending.keys().copied().map(Some).collect(),
            };
        rows.map(report).collect()
    }

    /// The versions of a service at which no stream that may be resumed begins yet. None of them if there is no other:
    /// a daemon that has just started lists versions that have served for long.
    pub fn held_back(&self, service: ServiceHash) -> BTreeSet<VersionHash> {
        let has_other = self.in_use.get(&service).is_some_and(|versions| !versions.is_empty());
        match self.pending.get(&service) {
            Some(pending) if has_other => pending.keys().copied().collect(),
            _ => BTreeSet::new(),
        }
    }
}
