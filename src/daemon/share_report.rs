//! Log lines and metrics of the organisations that ask for more than their share.

use crate::policy::Moment;
use crate::table::{OrganisationName, ServiceName};
use crate::traffic::{PoolRuntime, TrafficState};
use metrics::gauge;
use slog::info;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum time between two reports on one service. Organisations close to their share pass it in
/// both directions several times per second.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What was last reported on each service: when, and the organisations over their share.
#[derive(Debug, Default)]
pub struct ShareReport {
    services: BTreeMap<ServiceName, (Moment, BTreeSet<OrganisationName>)>,
}

impl ShareReport {
    /// Reports the organisations that ask for more than their share of a pool.
    pub fn update(&mut self, state: &TrafficState, pool: &PoolRuntime) {
        let now = state.clock.now();
        let last = self.services.get(&pool.service);
        let is_due = last.is_none_or(|(at, _)| now.since(*at) >= REPORT_INTERVAL);
        if !state.shares_organisations() || !is_due {
            return;
        }
        let ratios: Vec<_> = pool.inspect(|scheduler| {
            let shares = scheduler.organisation_shares();
            shares.over_share(now).map(|index| (index, shares.ratio(index, now))).collect()
        });
        let snapshot = state.snapshot();
        let mut over = BTreeSet::new();
        for (index, ratio) in ratios {
            let Some((name, _)) = snapshot.access.organisation(index) else { continue };
            set_gauge(&pool.service, name, ratio);
            over.insert(name.clone());
        }
        let (at, known) = self.services.entry(pool.service.clone()).or_default();
        *at = now;
        known.difference(&over).for_each(|name| set_gauge(&pool.service, name, 1.0));
        if *known != over {
            let names: Vec<&str> = over.iter().map(OrganisationName::as_str).collect();
            info!(state.log, "organisations over their share"; "service" => pool.service.as_str(), "over_share" => names.join(","));
            *known = over;
        }
    }
}

fn set_gauge(service: &ServiceName, organisation: &OrganisationName, ratio: f64) {
    gauge!("tarragonknot_organisation_share_ratio", "service" => service.to_string(), "organisation" => organisation.to_string())
        .set(ratio);
}
