//! Exponentially decaying averages of token rates, by organisation.

use super::OrganisationHash;
use crate::policy::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time constant of the average. It is longer than the usual time between two requests of an
/// organisation at a quiet daemon, and shorter than the seconds for which callers wait.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Token rates that decay on read, so idle organisations need no periodic work.
#[derive(Clone, Debug, Default)]
pub struct FlowRates {
    rates: BTreeMap<OrganisationHash, (f64, Moment)>,
}

impl FlowRates {
    /// Adds tokens that were admitted or requested just before `now`.
    pub fn add(&mut self, organisation: OrganisationHash, tokens: i64, now: Moment) {
        let rate = self.rate(organisation, now) + tokens as f64 / RATE_TIME_CONSTANT.as_secs_f64();
        self.rates.insert(organisation, (rate.max(0.0), now));
    }

    /// Returns the current rate in tokens per second.
    pub fn rate(&self, organisation: OrganisationHash, now: Moment) -> f64 {
        let Some((rate, at)) = self.rates.get(&organisation) else { return 0.0 };
        rate * (-now.since(*at).as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }
}
