//! What requests on the old and the new version of a service came to, as counters that only rise.

use crate::policy::{RouteKey, SizeDecile, UpstreamHash};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Tenths by size that count together.
const TENTHS_IN_GROUP: u8 = 4;
/// The group of requests whose size is not known.
const NO_GROUP: u8 = 3;
/// Buckets of times, two for each doubling.
pub const TIME_BUCKETS: u8 = 36;

/// Which version a request went to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum VersionArm {
    /// The version in use.
    Old,
    /// The version that is rolled out.
    New,
}

/// What a request came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AnswerCount {
    /// It was answered; its first event or its answer came in this bucket of time after it was sent.
    Served(u8),
    /// It failed, was cut, or was answered with bytes that are not its answer.
    Failed,
}

impl AnswerCount {
    /// An answer that came `after` its send.
    pub fn served(after: Duration) -> Self {
        let millis = (after.as_secs_f64() * 1_000.0).max(1.0);
        AnswerCount::Served(((millis.log2() * 2.0) as u8).min(TIME_BUCKETS - 1))
    }
}

/// Requests that are compared with each other: those of one route and of like size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestGroup {
    /// The route.
    pub route: u32,
    /// The group by size.
    pub size: u8,
}

impl RequestGroup {
    /// The group of a request.
    pub fn of(route: RouteKey, tenth: Option<SizeDecile>) -> Self {
        let size = tenth.map_or(NO_GROUP, |tenth| tenth.number() / TENTHS_IN_GROUP);
        RequestGroup { route: route.short(), size }
    }
}

/// What is counted apart. Times on the old version are not kept by engine: there are many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CountKey {
    /// The version.
    pub arm: VersionArm,
    /// The group.
    pub group: RequestGroup,
    /// The engine; none where engines count together.
    pub upstream: Option<UpstreamHash>,
    /// What came of it.
    pub answer: AnswerCount,
}

/// The answers on both versions, counted from the beginning of a roll-out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts(BTreeMap<CountKey, u32>);

impl AnswerCounts {
    /// Counts an answer.
    pub fn note(
        &mut self,
        arm: VersionArm,
        group: RequestGroup,
        upstream: UpstreamHash,
        answer: AnswerCount,
    ) {
        let is_apart = arm == VersionArm::New || answer == AnswerCount::Failed;
        let key = CountKey { arm, group, upstream: is_apart.then_some(upstream), answer };
        *self.0.entry(key).or_default() += 1;
    }

    /// Adds another one's.
    pub fn add(&mut self, other: &AnswerCounts) {
        other.0.iter().for_each(|(key, count)| *self.0.entry(*key).or_default() += count);
    }

    /// What was counted since `earlier`.
    pub fn since(&self, earlier: &AnswerCounts) -> AnswerCounts {
        let before = |key| earlier.0.get(key).copied().unwrap_or(0);
        let rows = self.0.iter().map(|(key, count)| (*key, count.saturating_sub(before(key))));
        AnswerCounts(rows.filter(|(_, count)| *count > 0).collect())
    }

    /// All rows.
    pub fn iter(&self) -> impl Iterator<Item = (&CountKey, u32)> {
        self.0.iter().map(|(key, count)| (key, *count))
    }

    /// Answers on a version.
    pub fn total(&self, arm: VersionArm) -> u64 {
        self.iter().filter(|(key, _)| key.arm == arm).map(|(_, count)| u64::from(count)).sum()
    }

    /// Failures on a version.
    pub fn failures(&self, arm: VersionArm) -> u64 {
        let failed = |key: &CountKey| key.arm == arm && key.answer == AnswerCount::Failed;
        self.iter().filter(|(key, _)| failed(key)).map(|(_, count)| u64::from(count)).sum()
    }
}
