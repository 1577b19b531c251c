//! Cumulative counts of request outcomes on the old and the new version of a service.

use crate::policy::{RouteKey, SizeDecile, UpstreamHash};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of size deciles that form one request group.
const DECILES_PER_GROUP: u8 = 4;
/// Size group of requests of unknown size.
const UNKNOWN_SIZE_GROUP: u8 = 3;
/// Number of latency buckets, two per doubling.
pub const LATENCY_BUCKETS: u8 = 36;

/// The version that a request was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum VersionArm {
    /// The version in use.
    Old,
    /// The version being rolled out.
    New,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum VersionOutcome {
    /// The request was answered; the bucket holds the time from sending it to its first event or
    /// its answer.
    Served(u8),
    /// The request failed, its answer was cut short, or the bytes received were not its answer.
    Failed,
}

impl VersionOutcome {
    /// The outcome of a request answered `latency` after it was sent.
    pub fn served(latency: Duration) -> Self {
        let millis = (latency.as_secs_f64() * 1_000.0).max(1.0);
        VersionOutcome::Served(((millis.log2() * 2.0) as u8).min(LATENCY_BUCKETS - 1))
    }
}

/// A group of comparable requests: those of one route and of similar size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestGroup {
    /// Short hash of the route.
    pub route: u32,
    /// Size group.
    pub size: u8,
}

impl RequestGroup {
    /// Returns the group of a request in size decile `decile`, if that is known.
    pub fn of(route: RouteKey, decile: Option<SizeDecile>) -> Self {
        let size = decile.map_or(UNKNOWN_SIZE_GROUP, |decile| decile.number() / DECILES_PER_GROUP);
        RequestGroup { route: route.short(), size }
    }
}

/// Key of one counter. Latencies on the old version are not counted per upstream, since it has
/// many upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CountKey {
    /// Version that served the request.
    pub arm: VersionArm,
    /// Group of the request.
    pub group: RequestGroup,
    /// The upstream; none where the counter covers all upstreams.
    pub upstream: Option<UpstreamHash>,
    /// Outcome of the request.
    pub outcome: VersionOutcome,
}

/// Outcomes on both versions, counted since the start of a roll-out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts(BTreeMap<CountKey, u32>);

impl OutcomeCounts {
    /// Counts one outcome.
    pub fn record(
        &mut self,
        arm: VersionArm,
        group: RequestGroup,
        upstream: UpstreamHash,
        outcome: VersionOutcome,
    ) {
        let has_upstream = arm == VersionArm::New || outcome == VersionOutcome::Failed;
        let key = CountKey { arm, group, upstream: has_upstream.then_some(upstream), outcome };
        *self.0.entry(key).or_default() += 1;
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &OutcomeCounts) {
        other.0.iter().for_each(|(key, count)| *self.0.entry(*key).or_default() += count);
    }

    /// Returns the counts added since `earlier`.
    pub fn since(&self, earlier: &OutcomeCounts) -> OutcomeCounts {
        let before = |key| earlier.0.get(key).copied().unwrap_or(0);
        let rows = self.0.iter().map(|(key, count)| (*key, count.saturating_sub(before(key))));
        OutcomeCounts(rows.filter(|(_, count)| *count > 0).collect())
    }

    /// Iterates over all counters.
    pub fn iter(&self) -> impl Iterator<Item = (&CountKey, u32)> {
        self.0.iter().map(|(key, count)| (key, *count))
    }

    /// Number of requests counted on a version, failed ones included.
    pub fn total(&self, arm: VersionArm) -> u64 {
        self.iter().filter(|(key, _)| key.arm == arm).map(|(_, count)| u64::from(count)).sum()
    }

    /// Number of failed requests on a version.
    pub fn failures(&self, arm: VersionArm) -> u64 {
        let failed = |key: &CountKey| key.arm == arm && key.outcome == VersionOutcome::Failed;
        self.iter().filter(|(key, _)| failed(key)).map(|(_, count)| u64::from(count)).sum()
    }
}
