//! Service where daemons share slots: requests are ordered across the group, not within each daemon
//! alone.

use crate::shared_places::{SecondOutcomes, simulate};
use rstest::rstest;
use tarragonknot::policy::{DensityLevel, Mechanism, WaitingLevels};

/// Load in each second, as a fraction of capacity: three calm seconds, a burst of three, and seven
/// seconds as calm as the first.
const LOADS: [f64; 13] = [0.9, 0.9, 0.9, 2.0, 2.0, 2.0, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9, 0.9];

fn in_time_share(disabled: &[Mechanism], seconds: std::ops::Range<usize>, rank: Option<u8>) -> f64 {
    let plays =
        (1..=4).flat_map(|seed| simulate(&LOADS, disabled, rank, seed)[seconds.clone()].to_vec());
    SecondOutcomes::in_time_fraction(&plays.collect::<Vec<SecondOutcomes>>())
}

/// Guards against a third of all requests being late for 14 s after a burst, at a load that was
/// served in time before it (291 daemons). Each daemon has some late requests waiting, and with an
/// order within each daemon alone a free slot goes to whichever daemon tries first.
#[test]
fn after_a_burst_those_in_time_go_before_the_late_ones_of_other_daemons() {
    let without = in_time_share(&[Mechanism::GroupOrder], 7..13, None);
    let with = in_time_share(&[], 7..13, None);

    assert!(with >= 0.9, "{with} with, {without} without");
    assert!(with >= without + 0.05, "{with} with, {without} without");
}

#[test]
fn during_a_burst_more_of_the_urgent_ones_are_in_time() {
    let without = in_time_share(&[Mechanism::GroupOrder], 3..6, Some(0));
    let with = in_time_share(&[], 3..6, Some(0));

    assert!(with >= without, "{with} with, {without} without");
}

/// While slots are free, no request yields to those of other daemons.
#[test]
fn a_calm_load_is_served_as_before() {
    let without = in_time_share(&[Mechanism::GroupOrder], 0..3, None);
    let with = in_time_share(&[], 0..3, None);

    assert!(with >= without - 0.01, "{with} with, {without} without");
}

#[rstest]
#[case::the_same(1.0, 1.0, 0)]
#[case::late_beside_in_time(0.3, 1.0, 1)]
#[case::in_time_beside_late(1.0, 0.3, 0)]
#[case::worth_nothing(0.0, 1e-9, 1)]
fn levels_tell_what_goes_first(#[case] own: f64, #[case] other: f64, #[case] above: u32) {
    let mut levels = WaitingLevels::default();
    levels.add(DensityLevel::of(other), 1);

    assert_eq!(levels.above(DensityLevel::of(own)), above);
}
