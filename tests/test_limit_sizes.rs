//! What large requests get of an organisation's limit while it is asked for more than it allows.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};
use rstest::rstest;
use std::collections::HashMap;
use std::time::Duration;
use tarragonknot::policy::{
    LimitClaim, LimitForecast, LimitTable, LimitTolerance, Moment, OrganisationIndex,
    OrganisationLimit,
};

const HOT: OrganisationIndex = OrganisationIndex(0);
/// Tokens a second and burst of the limit.
const RATE: f64 = 100_000.0;
const BURST: u64 = 200_000;

/// Requests that ask for `times` the limit for 40 s: their costs, and whether each was let through.
fn ask(times: f64, rank: u8, forecast: impl Fn(Moment) -> LimitForecast) -> Vec<(u32, bool)> {
    let mut limits = LimitTable::default();
    let limit = OrganisationLimit {
        tokens_per_second: Some(RATE as u64),
        burst_tokens: Some(BURST),
        concurrent: None,
    };
    limits.set_limits(HashMap::from([(HOT, limit)]));
    limits.set_tolerance(LimitTolerance { overage: 0.1, slack: 50_000 });
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mean = 2_000.0f64;
    let costs = LogNormal::new(mean.ln() - 0.5, 1.0).expect("costs");
    let mut now = Moment(0);
    let mut asked = Vec::new();
    while now < Moment::from_millis(40_000) {
        let cost = costs.sample(&mut rng).clamp(100.0, 20_000.0) as u32;
        limits.foresee(HOT, forecast(now));
        let usual_cost = mean as u32;
        let claim = LimitClaim { cost, usual_cost, rank, has_returned: false };
        let is_admitted = limits.admit_claim(HOT, claim, now).is_ok();
        if is_admitted {
            limits.release(HOT, 0);
        }
        asked.push((cost, is_admitted));
        now = now + Duration::from_micros((mean / (RATE * times) * 1e6) as u64);
    }
    asked
}

fn passed(asked: &[(u32, bool)]) -> f64 {
    asked.iter().filter(|(_, passes)| *passes).count() as f64 / asked.len().max(1) as f64
}

/// Guards against a limit that is spent on small requests while large ones are refused.
#[rstest]
#[case::highest_rank(2.0, 0)]
#[case::lower_rank(2.0, 2)]
#[case::far_beyond(5.0, 2)]
fn the_largest_requests_get_their_part_of_a_limit(#[case] times: f64, #[case] rank: u8) {
    let forecast = |now: Moment| LimitForecast {
        others_taken: 0.0,
        fleet_asked: RATE * times,
        counted_until: now,
        horizon: Duration::from_millis(200),
    };

    let mut asked = ask(times, rank, forecast);

    let tokens: f64 = asked.iter().filter(|row| row.1).map(|row| f64::from(row.0)).sum();
    asked.sort_by_key(|row| row.0);
    let (whole, largest) = (passed(&asked), passed(&asked[asked.len() * 9 / 10..]));
    println!(
        "{times} {rank}: small {:.3} whole {whole:.3} largest {largest:.3} tokens {:.3}",
        passed(&asked[..asked.len() / 10]),
        tokens / (RATE * 40.0)
    );
    assert!(largest >= whole / 2.0, "{largest:.3} of the largest tenth, {whole:.3} of all");
    assert!(tokens >= RATE * 40.0 * 0.9, "{tokens} tokens were let through");
}
