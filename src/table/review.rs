//! Warnings about a valid table: entries that can never apply, and limits that contradict each other.

use super::{AssignmentRow, OperatorTable, OrganisationRow, RouteRow, ServiceKind, ServiceRow};
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// What is wrong with an entry of a valid table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WarningKind {
    /// No request can ever match the entry, or it has no effect.
    Unused,
    /// Two limits exclude each other.
    Contradiction,
}

/// A warning about one entry of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TableWarning {
    /// JSON pointer (RFC 6901) to the entry.
    pub path: String,
    pub kind: WarningKind,
    /// What is wrong.
    pub detail: String,
}

impl fmt::Display for TableWarning {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            WarningKind::Unused => "has no effect",
            WarningKind::Contradiction => "contradicts itself",
        };
        write!(formatter, "{}: {kind}: {}", self.path, self.detail)
    }
}

/// Warnings in the order in which their entries stand in the table.
#[derive(Debug, Default)]
struct WarningList(Vec<TableWarning>);

impl WarningList {
    fn unused(&mut self, path: String, detail: impl Into<String>) {
        self.0.push(TableWarning { path, kind: WarningKind::Unused, detail: detail.into() });
    }

    fn contradiction(&mut self, path: String, detail: impl Into<String>) {
        let detail = detail.into();
        self.0.push(TableWarning { path, kind: WarningKind::Contradiction, detail });
    }
}

/// Returns the warnings about a table that has no faults.
pub fn review_table(table: &OperatorTable) -> Vec<TableWarning> {
    let mut warnings = WarningList::default();
    review_tiers(table, &mut warnings);
    review_organisations(table, &mut warnings);
    review_services(table, &mut warnings);
    review_assignments(table, &mut warnings);
    review_routes(table, &mut warnings);
    warnings.0
}

fn review_tiers(table: &OperatorTable, warnings: &mut WarningList) {
    for (i, row) in table.tiers.iter().enumerate() {
        let by_service = table.services.iter().any(|service| service.default_tier == row.tier);
        let by_assignment = table.assignments.iter().any(|rule| rule.tier == row.tier);
        let by_route = table.routes.iter().any(|route| route.tier == row.tier);
        if !by_service && !by_assignment && !by_route {
            warnings.unused(format!("/tiers/{i}"), "no request gets this tier");
        }
    }
}

fn review_organisations(table: &OperatorTable, warnings: &mut WarningList) {
    let has_public_route = table.routes.iter().any(|route| route.is_public);
    for (i, row) in table.organisations.iter().enumerate() {
        let path = |member: &str| format!("/organisations/{i}/{member}");
        if row.key_digests.is_empty() && !has_public_route {
            warnings
                .unused(path("key_digests"), "without a key, no request is this organisation's");
        }
        if row.tokens_per_second.is_none() && row.burst_tokens.is_some() {
            warnings.unused(path("burst_tokens"), "there is no tokens_per_second to go with it");
        }
        if let Some((cost, burst)) = uncounted_beyond_burst(row) {
            let detail = format!(
                "a request of unstated size is charged {cost} units, more than the burst of {burst}"
            );
            warnings.contradiction(path("uncounted_tokens"), detail);
        }
    }
}

/// The units charged for a request of unstated size and the burst, if they exceed it.
fn uncounted_beyond_burst(row: &OrganisationRow) -> Option<(u64, u64)> {
    row.tokens_per_second?;
    let (cost, burst) = (u64::from(row.uncounted_tokens?), row.burst_tokens?);
    (cost > burst).then_some((cost, burst))
}

fn review_services(table: &OperatorTable, warnings: &mut WarningList) {
    for (i, row) in table.services.iter().enumerate() {
        let is_routed = table.routes.iter().any(|route| route.allows(&row.service));
        if !table.routes.is_empty() && !is_routed {
            warnings.unused(format!("/services/{i}"), "no route leads to this service");
        }
        review_service(row, &format!("/services/{i}"), warnings);
    }
}

fn review_service(row: &ServiceRow, path: &str, warnings: &mut WarningList) {
    if row.first_token_ms > row.deadline_ms {
        let detail = "the objective for the first token is later than the deadline";
        warnings.contradiction(format!("{path}/first_token_ms"), detail);
    }
    if row.silence_ms >= row.deadline_ms && row.kind == ServiceKind::Model {
        let detail = "a stream meets its deadline before it counts as silent";
        warnings.unused(format!("{path}/silence_ms"), detail);
    }
    if row.cold_start_ms > Duration::ZERO && row.cold_requests_per_second.is_none() {
        let detail = "there is no cold_requests_per_second to go with it";
        warnings.unused(format!("{path}/cold_start_ms"), detail);
    }
    if row.engine_memory_tokens.is_some() && row.kind == ServiceKind::Plain {
        let detail = "requests to a plain service have no tokens";
        warnings.unused(format!("{path}/engine_memory_tokens"), detail);
    }
    if row.organisations.as_ref().is_some_and(Vec::is_empty) {
        warnings.contradiction(format!("{path}/organisations"), "no organisation may use it");
    }
}

fn review_assignments(table: &OperatorTable, warnings: &mut WarningList) {
    for (i, row) in table.assignments.iter().enumerate() {
        let path = format!("/assignments/{i}");
        let earlier = table.assignments[..i].iter().position(|earlier| covers(earlier, row));
        if let Some(earlier) = earlier {
            let detail = format!("/assignments/{earlier} matches all of its requests first");
            warnings.unused(path.clone(), detail);
        }
        let service = row.service.as_ref().and_then(|name| table.service(name.as_str()));
        if let (Some(service), Some(organisation)) = (service, &row.organisation)
            && !service.allows(organisation)
        {
            warnings.unused(path, "the organisation may not use the service");
        }
    }
}

/// True if every request that matches `later` matches `earlier`.
fn covers(earlier: &AssignmentRow, later: &AssignmentRow) -> bool {
    fn is_wider<T: PartialEq>(earlier: &Option<T>, later: &Option<T>) -> bool {
        earlier.is_none() || earlier == later
    }
    is_wider(&earlier.service, &later.service)
        && is_wider(&earlier.organisation, &later.organisation)
        && is_wider(&earlier.purpose, &later.purpose)
}

fn review_routes(table: &OperatorTable, warnings: &mut WarningList) {
    for (i, route) in table.routes.iter().enumerate() {
        let path = format!("/routes/{i}");
        review_route_times(route, &path, warnings);
        let is_path = route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/');
        if !is_path {
            let detail = "its path prefix does not begin and end with a slash";
            warnings.unused(path.clone(), detail);
        }
        for (k, target) in route.targets.iter().enumerate().filter(|(_, it)| it.weight == 0) {
            let detail = format!("{} gets no requests of this route", target.service);
            warnings.unused(format!("{path}/targets/{k}"), detail);
        }
        if excludes_all_organisations(route, &table.organisations) {
            let detail = "no organisation may be served in the regions of the route";
            warnings.contradiction(format!("{path}/regions"), detail);
        }
    }
}

fn review_route_times(route: &RouteRow, path: &str, warnings: &mut WarningList) {
    if route.objective_ms > route.timeout_ms {
        let detail = "the objective is later than the timeout of the route";
        warnings.contradiction(format!("{path}/objective_ms"), detail);
    }
    if route.patience_ms.is_some_and(|patience| patience < route.objective_ms) {
        let detail = "callers leave before the objective";
        warnings.contradiction(format!("{path}/patience_ms"), detail);
    }
    if route.gap_ms.is_some_and(|gap| gap > route.timeout_ms) {
        let detail = "the longest pause is longer than the timeout of the route";
        warnings.contradiction(format!("{path}/gap_ms"), detail);
    }
    if route.gap_ms.is_some() && !route.kind.is_stream() {
        warnings.unused(format!("{path}/gap_ms"), "the answers of this route are no streams");
    }
}

/// True if the route needs a key, and no organisation shares a region with it.
fn excludes_all_organisations(route: &RouteRow, organisations: &[OrganisationRow]) -> bool {
    let Some(regions) = &route.regions else { return false };
    let shares_region = |row: &OrganisationRow| {
        row.regions.as_ref().is_none_or(|homes| homes.iter().any(|home| regions.contains(home)))
    };
    !route.is_public && !organisations.is_empty() && !organisations.iter().any(shares_region)
}
