//! Routes: the mapping of requests to services by host and path, and how they may be retried.

use super::{FaultList, OperatorTable, RegionName, ServiceName, TierName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::collections::HashMap;
use std::time::Duration;

/// Retry semantics of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// May be executed more than once.
    Safe,
    /// Executed at most once.
    Unsafe,
    /// A stream of events; executed at most once.
    Stream,
    /// A stream of events that another upstream can continue after the last event received.
    ResumableStream,
}

impl RouteKind {
    /// The name used in tables.
    pub fn name(self) -> &'static str {
        match self {
            RouteKind::Safe => "safe",
            RouteKind::Unsafe => "unsafe",
            RouteKind::Stream => "stream",
            RouteKind::ResumableStream => "resumable-stream",
        }
    }

    /// True if the request may be sent to another upstream after one may have executed it.
    pub fn may_repeat(self) -> bool {
        matches!(self, RouteKind::Safe | RouteKind::ResumableStream)
    }

    /// True if the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream | RouteKind::ResumableStream)
    }
}

/// A service that receives requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Share of the route's requests, relative to the weights of its other targets.
    pub weight: u32,
}

/// A route: the targets of requests with a given host and path prefix.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// The route's name, for logs and metrics.
    pub route: String,
    /// The host of its requests.
    pub host: String,
    /// Prefix of the path, with a leading and a trailing slash. The longest matching prefix
    /// applies.
    pub path_prefix: String,
    /// Retry semantics.
    pub kind: RouteKind,
    /// Maximum time until the caller receives a response, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout_ms: Duration,
    /// Latency objective for the response, or for the first event of a stream, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub objective_ms: Duration,
    /// Objective for the longest pause between events of a stream, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub gap_ms: Option<Duration>,
    /// Time without an event, including before the first one, after which callers abandon a stream,
    /// in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub patience_ms: Option<Duration>,
    /// The tier of its requests, unless an assignment gives another tier to their organisation.
    pub tier: TierName,
    /// Maximum number of upstreams that a request is sent to in sequence.
    pub attempts: u32,
    /// True if its requests need no bearer key.
    #[serde(default)]
    pub is_public: bool,
    /// Regions in which its requests may be served; absent means anywhere.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub regions: Option<Vec<RegionName>>,
    /// The services that receive its requests.
    pub targets: Vec<RouteTarget>,
}

impl RouteRow {
    /// True if the route may send requests to `service`.
    pub fn allows(&self, service: &ServiceName) -> bool {
        self.targets.iter().any(|target| target.weight > 0 && target.service == *service)
    }

    /// The services that the route may send requests to.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.targets.iter().filter(|target| target.weight > 0).map(|target| &target.service)
    }

    /// Selects a target by weight, given a random number from 0.0..1.0.
    pub fn select_target(&self, draw: f64) -> Option<&ServiceName> {
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
    /// Adds the semantic faults of the routes, which the schema cannot express.
    pub(super) fn add_route_faults(&self, faults: &mut FaultList) {
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
