//! What callers of a plain service get while it is asked for more than its upstreams can do.

use crate::small_calls::{CallOutcomes, simulate};
use rstest::rstest;
use tarragonknot::policy::Mechanism;

/// Calls a second that the upstreams can do.
const CAPACITY: f64 = 300.0;

/// The calls that came in a span of seconds, over several seeds.
fn calls(
    daemons: usize,
    rates: impl Fn(u64) -> f64 + Copy,
    off: &[Mechanism],
    seconds: std::ops::Range<usize>,
) -> CallOutcomes {
    let plays =
        (0..6).flat_map(|seed| simulate(daemons, rates, off, seed)[seconds.clone()].to_vec());
    plays.fold(CallOutcomes::default(), |sum, second| CallOutcomes {
        total: sum.total + second.total,
        in_time: sum.in_time + second.in_time,
        late: sum.late + second.late,
        refused: sum.refused + second.refused,
    })
}

/// Guards against newcomers that become late behind callers who were refused before and are late in any case.
#[rstest]
fn in_a_burst_more_newcomers_are_served_in_time(
    #[values(7, 71, 291)] daemons: usize,
    #[values(1.3, 1.7)] times: f64,
) {
    let rates = |second| if (3..7).contains(&second) { CAPACITY * times } else { CAPACITY * 0.6 };

    let without = calls(daemons, rates, &[Mechanism::LateWait], 3..7);
    let with = calls(daemons, rates, &[], 3..7);

    assert!(with.in_time * 10 >= without.in_time * 11, "{with:?}, without {without:?}");
    let worth = |ends: &CallOutcomes| f64::from(ends.in_time) + 0.3 * f64::from(ends.late);
    assert!(worth(&with) >= worth(&without) * 0.99, "{with:?}, without {without:?}");
}

/// Guards against calls that are refused though the upstreams have time for all.
#[rstest]
fn below_the_capacity_next_to_nothing_is_refused(#[values(1, 7, 71)] daemons: usize) {
    let ends = calls(daemons, |_| CAPACITY * 0.75, &[], 0..10);

    assert!(ends.refused * 100 <= ends.total, "{ends:?}");
}
