//! The size decile of a request among the recent requests of its route.

use rstest::rstest;
use tarragonknot::policy::{RequestSizes, RouteSizes, SizeDecile};

fn sizes(output: u32) -> RequestSizes {
    RequestSizes { prompt: 100, output }
}

fn known_sizes(outputs: impl Iterator<Item = u32>) -> RouteSizes {
    let mut known = RouteSizes::default();
    for output in outputs {
        known.decile(sizes(output));
    }
    known
}

#[rstest]
#[case::smallest(0, 0)]
#[case::middle(55, 5)]
#[case::largest(1_000, 9)]
fn a_request_has_its_tenth_among_the_recent_ones(#[case] output: u32, #[case] decile_number: u8) {
    let mut known = known_sizes(1..=100);

    assert_eq!(known.decile(sizes(output)).map(SizeDecile::number), Some(decile_number));
}

#[test]
fn nothing_is_large_before_enough_is_known() {
    let mut known = known_sizes(1..=9);

    assert_eq!(known.decile(sizes(1_000)), None);
}

#[test]
fn what_was_usual_long_ago_is_forgotten() {
    let mut known = known_sizes((0..300).map(|_| 1_000).chain((0..300).map(|_| 10)));

    assert_eq!(known.decile(sizes(20)), Some(SizeDecile::LARGEST));
}
