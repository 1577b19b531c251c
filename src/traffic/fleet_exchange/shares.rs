//! Passes the demand of the organisations in the whole fleet to the pools that they share.

use super::TrafficState;
use crate::policy::{OrganisationFlow, PoolEvent};

/// Passes the fleet's rates to each pool, if organisations share services and the rates are known.
pub(super) fn refresh_shares(state: &TrafficState) {
    if !state.shares_organisations() {
        return;
    }
    let Some(flows) = fleet_flows(state) else { return };
    for pool in state.pools().values() {
        if pool.inspect(|scheduler| scheduler.shares_organisations()) {
            pool.handle_event(PoolEvent::OrganisationFlows(flows.clone()));
        }
    }
}

/// Returns the rates of the organisations with a token limit, the only ones that are exchanged.
fn fleet_flows(state: &TrafficState) -> Option<Vec<OrganisationFlow>> {
    let now = state.clock.now();
    let snapshot = state.snapshot();
    let limited: Vec<_> = {
        let limits = state.limits();
        let hashes = snapshot.access.token_limited_hashes();
        hashes.map(|(hash, index)| (hash, index, limits.rate(index))).collect()
    };
    let fleet = state.fleet.fleet()?;
    let rates = fleet.organisation_rates(now)?;
    let flows = limited.into_iter().filter_map(|(hash, organisation, limit)| {
        let (asked, taken) = rates(hash);
        let (_, weight) = snapshot.access.organisation(organisation)?;
        // What the limit refuses reaches no queue and is not demand there.
        let asked = asked.min(limit.unwrap_or(f64::INFINITY).max(taken));
        Some(OrganisationFlow { organisation, weight, asked, taken })
    });
    let flows: Vec<OrganisationFlow> = flows.filter(|flow| flow.asked > 0.0).collect();
    (!flows.is_empty()).then_some(flows)
}
