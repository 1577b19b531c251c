//! Tokens a second, by organisation, averaged over time.

use super::OrganisationHash;
use crate::policy::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time over which a rate is averaged. Long beside the time between two requests of an organisation at a quiet daemon, short
/// beside the seconds for which callers wait.
const RATE_TIME: Duration = Duration::from_secs(1);

/// Averages that fall by themselves while nothing is added, so that idle organisations cost nothing.
#[derive(Clone, Debug, Default)]
pub struct FlowRates {
    rates: BTreeMap<OrganisationHash, (f64, Moment)>,
}

impl FlowRates {
    /// Adds tokens that were let through, or asked for, just before `now`.
    pub fn add(&mut self, organisation: OrganisationHash, tokens: i64, now: Moment) {
        let rate = self.rate(organisation, now) + tokens as f64 / RATE_TIME.as_secs_f64();
        self.rates.insert(organisation, (rate.max(0.0), now));
    }

    /// Tokens a second.
    pub fn rate(&self, organisation: OrganisationHash, now: Moment) -> f64 {
        let Some((rate, at)) = self.rates.get(&organisation) else { return 0.0 };
        rate * (-now.since(*at).as_secs_f64() / RATE_TIME.as_secs_f64()).exp()
    }
}
