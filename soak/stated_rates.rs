//! Engines that state how many requests a second they take from all entries together.

use crate::context::{SoakContext, lock};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Rates that engines state, in requests per second; every second engine states one of them.
const RATES: [f64; 3] = [1.0, 1.7, 3.0];
/// Time after which the entries must keep a rate.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time for which the rates are then checked.
const CHECKED_TIME: Duration = Duration::from_secs(6);
/// Length of the window over which requests are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);
/// Requests tolerated in a window: a factor of the rate, and some more.
const RATE_OVERAGE_FACTOR: f64 = 1.5;
const RATE_SLACK: f64 = 5.0;

/// The rates that engines state, and the requests that they receive while they do, by engine.
#[derive(Debug, Default)]
pub struct StatedRates {
    rates: Mutex<BTreeMap<usize, f64>>,
    arrivals: Mutex<Vec<(usize, Instant)>>,
}

impl StatedRates {
    /// The header of an engine's answer; empty if it states no rate.
    pub fn header(&self, engine: usize) -> String {
        let rate = lock(&self.rates).get(&engine).copied();
        rate.map_or_else(String::new, |rate| format!("Server-Limit: {rate}\r\n"))
    }

    pub fn record_arrival(&self, engine: usize) {
        if lock(&self.rates).contains_key(&engine) {
            lock(&self.arrivals).push((engine, Instant::now()));
        }
    }

    /// The engines that got more requests in a window that begins after `since` than they tolerate.
    fn exceeded(&self, since: Instant) -> Vec<String> {
        let arrivals = lock(&self.arrivals);
        let exceeded = |(engine, rate): (&usize, &f64)| {
            let times: Vec<Instant> = arrivals
                .iter()
                .filter(|(number, at)| number == engine && *at >= since)
                .map(|(_, at)| *at)
                .collect();
            let count = |start: &Instant| {
                times.iter().filter(|at| **at >= *start && **at < *start + RATE_WINDOW).count()
            };
            let most = times.iter().map(count).max().unwrap_or(0);
            let allowed = rate * RATE_WINDOW.as_secs_f64() * RATE_OVERAGE_FACTOR + RATE_SLACK;
            (most as f64 > allowed).then(|| {
                format!("engine {engine} states {rate} a second and got {most} in {RATE_WINDOW:?}, {allowed} are tolerated")
            })
        };
        lock(&self.rates).iter().filter_map(exceeded).collect()
    }
}

/// Lets half of the engines state rates for a while without other faults, and checks that all entries
/// together keep them.
pub async fn check(ctx: &SoakContext) {
    let numbers: Vec<usize> = lock(&ctx.engines).engines.keys().copied().step_by(2).collect();
    let rates = numbers.into_iter().zip(RATES.iter().copied().cycle());
    lock(&ctx.stated_rates.rates).extend(rates);
    tokio::time::sleep(SETTLING_TIME).await;
    let since = Instant::now();
    tokio::time::sleep(CHECKED_TIME).await;
    for detail in ctx.stated_rates.exceeded(since) {
        ctx.recorder.record_violation("LIMIT", detail);
    }
}
