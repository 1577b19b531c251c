//! Routes: which requests go to which service by host and path, and what may be done with them.

use super::{FaultList, OperatorTable, ServiceName, TierName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::collections::HashMap;
use std::time::Duration;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// Running it twice does no harm.
    Safe,
    /// It runs at most once.
    Unsafe,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that another upstream may go on with after the last event that came.
    ResumableStream,
}

impl RouteKind {
    /// Its name, as in tables.
    pub fn name(self) -> &'static str {
        match self {
            RouteKind::Safe => "safe",
            RouteKind::Unsafe => "unsafe",
            RouteKind::Stream => "stream",
            RouteKind::ResumableStream => "resumable-stream",
        }
    }

    /// True if a second upstream may run the request after a first one may have.
    pub fn may_repeat(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::ResumableStream)
    }

    /// True if the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A service that a route goes to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Share of the route's requests, relative to its other targets.
    pub weight: u32,
}

/// Where requests of one host and path prefix go.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// The route's name, for logs and metrics.
    pub route: String,
    /// The host that requests name.
    pub host: String,
    /// What the path begins with; begins and ends with a slash. The longest one wins.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout_ms: Duration,
    /// The time within which an answer, or a stream's first event, is worth most, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub objective_ms: Duration,
    /// The longest good pause between a stream's events, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub gap_ms: Option<Duration>,
    /// Callers leave a stream that says nothing for this long, also before its first event, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub patience_ms: Option<Duration>,
    /// The tier of its requests, unless an assignment gives their organisation another.
    pub tier: TierName,
    /// Upstreams that one request may be sent to, one after the other.
    pub attempts: u32,
    /// True if no key is needed.
    #[serde(default)]
    pub is_public: bool,
    /// Where its requests go.
    pub targets: Vec<RouteTarget>,
}

impl RouteRow {
    /// True if the route may send requests to `service`.
    pub fn allows(&self, service: &ServiceName) -> bool {
        self.targets.iter().any(|target| target.weight > 0 && target.service == *service)
    }

    /// The target for a number in 0.0..1.0 drawn for a request.
    pub fn target(&self, draw: f64) -> Option<&ServiceName> {
        let sum: f64 = self.targets.iter().map(|target| f64::from(target.weight)).sum();
        let mut left = draw * sum;
        let mut usable = self.targets.iter().filter(|target| target.weight > 0);
        let last = usable.clone().next_back()?;
        let chosen = usable.find(|target| {
            left -= f64::from(target.weight);
            left < 0.0
        });
        Some(&chosen.unwrap_or(last).service)
    }
}

impl OperatorTable {
    /// Adds every fault of the routes that a reader of single rows cannot see.
    pub(super) fn route_faults(&self, faults: &mut FaultList) {
        let mut places = HashMap::new();
        for (i, route) in self.routes.iter().enumerate() {
            if route.timeout_ms.is_zero() {
                faults.add(format!("/routes/{i}/timeout_ms"), 0, "at least 1");
            }
            if route.targets.iter().all(|target| target.weight == 0) {
                faults.add(format!("/routes/{i}/targets"), 0, "weights that add up to more than 0");
            }
            let unknown =
                route.targets.iter().find(|target| self.service(target.service.as_str()).is_none());
            if let Some(target) = unknown {
                faults.add(
                    format!("/routes/{i}/targets"),
                    &target.service,
                    "a service of the table",
                );
            }
            if let Some(first) = places.insert((&route.host, &route.path_prefix), i) {
                let place = format!("{}{}", route.host, route.path_prefix);
                faults.add(
                    format!("/routes/{i}"),
                    place,
                    format!("another place than /routes/{first}"),
                );
            }
        }
    }
}
