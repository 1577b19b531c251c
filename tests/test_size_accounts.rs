//! Service accounts of each size decile of a route.

use rstest::rstest;
use tarragonknot::policy::{Moment, RouteKey, SizeClaim, SizeDecile, SizeShares, TierRank};

const GUARANTEE: f64 = 0.75;

fn claim(size_rank: usize) -> SizeClaim {
    SizeClaim {
        lane: (TierRank(0), 1),
        route: RouteKey::of("letters"),
        decile: Some(SizeDecile::of_rank(size_rank, 10)),
        is_underserved: false,
    }
}

/// Plays one arrival, which is served if it is underserved or if `is_served`. Returns whether it
/// was underserved.
fn play_arrival(shares: &mut SizeShares, claim: SizeClaim, is_served: bool, draw: f64) -> bool {
    let is_underserved = shares.record_arrival(&claim, draw, Moment(0));
    shares.record_end(
        &SizeClaim { is_underserved, ..claim },
        is_underserved || is_served,
        GUARANTEE,
    );
    is_underserved
}

/// Guards against a largest tenth that waits forever: half of the smallest tenth are served, and
/// none of the largest without the guarantee.
#[rstest]
#[case::one_daemon(1, 2_000)]
#[case::many_daemons_with_few_requests_each(400, 5)]
fn a_size_that_is_not_served_is_owed_its_part(#[case] daemons: usize, #[case] rounds: usize) {
    let (mut underserved, mut arrivals) = (0, 0);
    for daemon in 0..daemons {
        let draw = (daemon as f64 + 0.5) / daemons as f64;
        let mut shares = SizeShares::default();
        for round in 0..30 {
            play_arrival(&mut shares, claim(0), round % 2 == 0, 0.0);
        }
        for round in 0..rounds {
            play_arrival(&mut shares, claim(0), round % 2 == 0, 0.0);
            underserved += usize::from(play_arrival(&mut shares, claim(9), false, draw));
            arrivals += 1;
        }
    }

    let fraction = underserved as f64 / arrivals as f64;
    assert!((0.25..=0.5).contains(&fraction), "{fraction} of the largest were served");
}

#[test]
fn a_size_that_is_served_as_often_as_others_is_owed_nothing() {
    let mut shares = SizeShares::default();

    let underserved =
        (0..1_000).filter(|round| play_arrival(&mut shares, claim(round % 10), true, 0.0)).count();

    assert_eq!(underserved, 0);
}

/// Guards against a size that accumulates a deficit while it cannot be served, and takes every slot
/// afterwards.
#[test]
fn what_is_owed_to_one_size_is_bounded() {
    let mut shares = SizeShares::default();
    for _ in 0..100 {
        let is_underserved = shares.record_arrival(&claim(9), 0.0, Moment(0));
        shares.record_end(&SizeClaim { is_underserved, ..claim(9) }, false, GUARANTEE);
        shares.record_end(&claim(0), true, GUARANTEE);
    }

    let underserved = (0..10).filter(|_| shares.record_arrival(&claim(9), 0.0, Moment(0))).count();

    assert_eq!(underserved, 2);
}
