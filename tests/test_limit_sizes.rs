//! Admission of requests by size and kind while an organisation requests more than its limit.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use rstest::rstest;
use std::collections::HashMap;
use std::time::Duration;
use tarragonknot::policy::{
    LimitClaim, LimitForecast, LimitTable, LimitTolerance, Moment, OrganisationIndex,
    OrganisationLimit, RouteKey,
};

const HOT: OrganisationIndex = OrganisationIndex(0);
/// Rate of the limit, in tokens per second.
const RATE: f64 = 100_000.0;
/// Burst of the limit, in tokens.
const BURST: u64 = 200_000;

/// Time until which requests arrive.
const ARRIVALS_END: Moment = Moment::from_millis(40_000);

fn hot_limits() -> LimitTable {
    let mut limits = LimitTable::default();
    let limit = OrganisationLimit {
        tokens_per_second: Some(RATE as u64),
        burst_tokens: Some(BURST),
        concurrent: None,
    };
    limits.set_limits(HashMap::from([(HOT, limit)]));
    limits.set_tolerance(LimitTolerance { overage: 0.1, slack: 50_000 });
    limits
}

/// A forecast for a fleet that is asked for `times` the limit.
fn forecast(times: f64, now: Moment) -> LimitForecast {
    LimitForecast {
        others_admitted_rate: 0.0,
        fleet_requested_rate: RATE * times,
        counted_until: now,
        horizon: Duration::from_millis(200),
    }
}

/// Plays requests of one kind that request `times` the limit. Returns the cost of each and whether
/// it was admitted.
fn play_kind(times: f64, rank: u8) -> Vec<(u32, bool)> {
    let mut limits = hot_limits();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mean = 2_000.0f64;
    let costs = LogNormal::new(mean.ln() - 0.5, 1.0).expect("costs");
    let mut now = Moment(0);
    let mut outcomes = Vec::new();
    while now < ARRIVALS_END {
        let cost = costs.sample(&mut rng).clamp(100.0, 20_000.0) as u32;
        limits.set_forecast(HOT, forecast(times, now));
        let claim = LimitClaim { cost, usual_cost: mean as u32, rank, ..LimitClaim::default() };
        outcomes.push((cost, limits.admit_claim(HOT, claim, now).is_ok()));
        now = now + Duration::from_micros((mean / (RATE * times) * 1e6) as u64);
    }
    outcomes
}

fn admitted_fraction(outcomes: &[(u32, bool)]) -> f64 {
    outcomes.iter().filter(|(_, is_admitted)| *is_admitted).count() as f64
        / outcomes.len().max(1) as f64
}

/// Guards against spending a limit on small requests while large ones are refused.
#[rstest]
#[case::highest_rank(2.0, 0)]
#[case::lower_rank(2.0, 2)]
#[case::far_beyond(5.0, 2)]
fn the_largest_requests_get_their_part_of_a_limit(#[case] times: f64, #[case] rank: u8) {
    let mut outcomes = play_kind(times, rank);

    let tokens: f64 =
        outcomes.iter().filter(|outcome| outcome.1).map(|outcome| f64::from(outcome.0)).sum();
    outcomes.sort_by_key(|outcome| outcome.0);
    let (overall, largest) =
        (admitted_fraction(&outcomes), admitted_fraction(&outcomes[outcomes.len() * 9 / 10..]));
    assert!(
        largest >= overall / 2.0,
        "admitted {largest:.3} of the largest tenth, {overall:.3} of all"
    );
    assert!(tokens >= RATE * 40.0 * 0.9, "{tokens} tokens were admitted");
}

/// Guards against spending a limit on the cheapest kinds while the kind of the highest rank is
/// refused.
#[test]
fn no_kind_is_starved_far_beyond_the_limit() {
    let kinds = [(10_000, 0), (3_500, 1), (2_000, 2)];

    let fractions = play_kinds(&kinds, 6.0);

    let mean = fractions.iter().sum::<f64>() / fractions.len() as f64;
    assert!(
        fractions.iter().all(|fraction| *fraction >= mean / 4.0),
        "admitted by kind: {fractions:?}"
    );
}

/// Plays requests of several kinds, each a cost and a rank, that arrive equally often and request
/// `times` the limit for 40 s. Returns the admitted fraction of each kind.
fn play_kinds(kinds: &[(u32, u8)], times: f64) -> Vec<f64> {
    let mut limits = hot_limits();
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mean = kinds.iter().map(|kind| f64::from(kind.0)).sum::<f64>() / kinds.len() as f64;
    let mut outcomes_by_kind: Vec<Vec<(u32, bool)>> = vec![Vec::new(); kinds.len()];
    let mut now = Moment(0);
    while now < ARRIVALS_END {
        let number = rng.random_range(0..kinds.len());
        let (cost, rank) = kinds[number];
        limits.set_forecast(HOT, forecast(times, now));
        let route = RouteKey::of(&format!("kind-{number}"));
        let claim = LimitClaim { route, cost, usual_cost: cost, rank, has_returned: false };
        outcomes_by_kind[number].push((cost, limits.admit_claim(HOT, claim, now).is_ok()));
        now = now + Duration::from_micros((mean / (RATE * times) * 1e6) as u64);
    }
    outcomes_by_kind.iter().map(|outcomes| admitted_fraction(outcomes)).collect()
}
