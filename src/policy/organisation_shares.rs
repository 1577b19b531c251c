//! Fair shares of the service among organisations: which requests are within their organisation's
//! share, and which are beyond it.
//!
//! Designed for bursts of one or a few organisations, at 6 to 7.5 times their usual demand for 11 s,
//! that make the demand of all 1.7 to 2.4 times the usual. Without shares each organisation loses
//! the same part of its requests, also those that send no more than usual.
//!
//! The shares are max-min fair by weight (Bertsekas and Gallager, 1992): the level is raised until
//! the organisations, each with at most its demand, use the whole service. As in core-stateless fair
//! queueing (Stoica, Shenker and Zhang, 1998), each daemon marks the part of an organisation's
//! requests that exceeds its share, at random, so that the daemons agree on the shares although each
//! sees only a few requests per second. The mark orders requests and rejects none: what an
//! organisation leaves unused serves the marked requests of others.

use super::{Moment, OrganisationIndex};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time constant of this daemon's own sums. A daemon sees about 10 requests per second, of which a
/// shorter time would hold too few to tell organisations apart.
const OWN_TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Interval at which shares are derived anew from this daemon's own sums.
const OWN_REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// Age up to which the fleet's rates are used. Daemons send theirs several times per second; after
/// two seconds, the time for which callers wait, they describe other requests than those waiting.
const FLEET_RATES_TTL: Duration = Duration::from_secs(2);
/// Own sums of an organisation that sent nothing for this long are dropped.
const IDLE_AFTER: Duration = Duration::from_secs(60);
/// Ratio of demand to service up to which nothing is marked. Requests that have arrived and are not
/// yet dispatched are demand without service, also when there is capacity for all.
const MIN_CONTENTION: f64 = 1.05;
/// Part of the service that is divided into shares. The rest goes to requests beyond their share.
/// If the shares used the whole service, requests within them would queue for each other.
const DIVIDED_SHARE: f64 = 0.9;

/// The flow of one organisation in the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrganisationFlow {
    pub organisation: OrganisationIndex,
    /// Weight of the organisation's share.
    pub weight: u32,
    /// Units per second requested, as far as its limit lets them reach a queue.
    pub asked: f64,
    /// Units per second admitted and not given back.
    pub taken: f64,
}

/// Exponentially decaying sum.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    sum: f64,
    at: Moment,
}

impl DecayingSum {
    fn value(&self, now: Moment) -> f64 {
        let age = now.since(self.at).as_secs_f64() / OWN_TIME_CONSTANT.as_secs_f64();
        self.sum * (-age).exp()
    }

    fn add(&mut self, amount: f64, now: Moment) {
        *self = DecayingSum { sum: (self.value(now) + amount).max(0.0), at: now };
    }
}

/// What one organisation asked of this daemon and got.
#[derive(Clone, Copy, Debug, Default)]
struct OwnUsage {
    weight: u32,
    asked: DecayingSum,
    dispatched: DecayingSum,
    last_asked: Moment,
}

/// Parts of the organisations' requests that are within their shares; 1 for those not listed.
type ShareRatios = BTreeMap<OrganisationIndex, f64>;

/// The shares of the organisations in the service of one pool.
///
/// State is kept for organisations of the table only, as in
/// [`LimitTable`](super::LimitTable), and dropped for those that are idle.
#[derive(Clone, Debug, Default)]
pub struct OrganisationShares {
    own: BTreeMap<OrganisationIndex, OwnUsage>,
    own_ratios: ShareRatios,
    derived_at: Option<Moment>,
    fleet_ratios: ShareRatios,
    /// When the fleet's rates were last received.
    fleet_at: Option<Moment>,
}

impl OrganisationShares {
    /// Sets the rates of the whole fleet. Where they are not renewed, this daemon's own sums apply.
    pub fn set_fleet(&mut self, flows: &[OrganisationFlow], now: Moment) {
        self.fleet_ratios = share_ratios(flows);
        self.fleet_at = Some(now);
    }

    /// Counts an arriving request; true if it is beyond its organisation's share. `draw` is a random
    /// number from 0.0..1.0.
    pub fn record_arrival(
        &mut self,
        (organisation, weight): (OrganisationIndex, u32),
        cost: u32,
        draw: f64,
        now: Moment,
    ) -> bool {
        let usage = self.own.entry(organisation).or_default();
        usage.weight = weight;
        usage.last_asked = now;
        usage.asked.add(f64::from(cost), now);
        self.derive_own(now);
        draw >= self.ratio(organisation, now)
    }

    /// Counts a dispatched request.
    pub fn record_dispatch(&mut self, organisation: OrganisationIndex, cost: u32, now: Moment) {
        if let Some(usage) = self.own.get_mut(&organisation) {
            usage.dispatched.add(f64::from(cost), now);
        }
    }

    /// Takes back the count of a request that was dispatched and is waiting again.
    pub fn record_return(&mut self, organisation: OrganisationIndex, cost: u32, now: Moment) {
        if let Some(usage) = self.own.get_mut(&organisation) {
            usage.dispatched.add(-f64::from(cost), now);
        }
    }

    /// Part of an organisation's requests that is within its share, 0.0 to 1.0.
    pub fn ratio(&self, organisation: OrganisationIndex, now: Moment) -> f64 {
        self.ratios(now).get(&organisation).copied().unwrap_or(1.0)
    }

    /// Organisations that ask for more than their share.
    pub fn over_share(&self, now: Moment) -> impl Iterator<Item = OrganisationIndex> {
        let ratios = self.ratios(now).iter().filter(|(_, ratio)| **ratio < 1.0);
        ratios.map(|(organisation, _)| *organisation)
    }

    fn ratios(&self, now: Moment) -> &ShareRatios {
        let is_fresh = self.fleet_at.is_some_and(|at| now.since(at) < FLEET_RATES_TTL);
        if is_fresh { &self.fleet_ratios } else { &self.own_ratios }
    }

    fn derive_own(&mut self, now: Moment) {
        if self.derived_at.is_some_and(|at| now.since(at) < OWN_REFRESH_INTERVAL) {
            return;
        }
        self.derived_at = Some(now);
        self.own.retain(|_, usage| now.since(usage.last_asked) < IDLE_AFTER);
        let flows = self.own.iter().map(|(organisation, usage)| OrganisationFlow {
            organisation: *organisation,
            weight: usage.weight,
            asked: usage.asked.value(now),
            taken: usage.dispatched.value(now),
        });
        self.own_ratios = share_ratios(&flows.collect::<Vec<OrganisationFlow>>());
    }
}

/// Returns the part of each organisation's demand that is within its max-min fair share of what all
/// of them got; organisations with their whole demand within it are left out.
fn share_ratios(flows: &[OrganisationFlow]) -> ShareRatios {
    let service: f64 = flows.iter().map(|flow| flow.taken.max(0.0)).sum();
    let demand: f64 = flows.iter().map(|flow| flow.asked).sum();
    if demand <= service * MIN_CONTENTION {
        return ShareRatios::new();
    }
    let weight = |flow: &OrganisationFlow| f64::from(flow.weight.max(1));
    let mut sorted: Vec<&OrganisationFlow> = flows.iter().collect();
    sorted.sort_by(|a, b| (a.asked / weight(a)).total_cmp(&(b.asked / weight(b))));
    let mut left = service * DIVIDED_SHARE;
    let mut weights: f64 = flows.iter().map(weight).sum();
    let mut ratios = ShareRatios::new();
    for flow in sorted {
        let share = left / weights * weight(flow);
        if flow.asked > share {
            ratios.insert(flow.organisation, share / flow.asked);
        }
        left -= flow.asked.min(share);
        weights -= weight(flow);
    }
    ratios
}
