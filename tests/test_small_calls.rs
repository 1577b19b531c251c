//! Service of calls to a plain service while more arrive than its upstreams can serve.

use crate::small_calls::{CallOutcomes, simulate};
use rstest::rstest;
use tarragonknot::policy::Mechanism;

/// Calls per second that the upstreams can serve.
const CAPACITY: f64 = 300.0;

/// Sums the outcomes of the calls that arrived in a range of seconds, over several seeds.
fn sum_outcomes(
    daemons: usize,
    rates: impl Fn(u64) -> f64 + Copy,
    disabled: &[Mechanism],
    seconds: std::ops::Range<usize>,
) -> CallOutcomes {
    let outcomes =
        (0..6).flat_map(|seed| simulate(daemons, rates, disabled, seed)[seconds.clone()].to_vec());
    outcomes.fold(CallOutcomes::default(), |sum, second| CallOutcomes {
        total: sum.total + second.total,
        in_time: sum.in_time + second.in_time,
        late: sum.late + second.late,
        refused: sum.refused + second.refused,
    })
}

/// Guards against new calls becoming late behind retries of refused calls, which are late in any
/// case.
#[rstest]
fn in_a_burst_more_newcomers_are_served_in_time(
    #[values(7, 71, 291)] daemons: usize,
    #[values(1.3, 1.7)] times: f64,
) {
    let rates = |second| if (3..7).contains(&second) { CAPACITY * times } else { CAPACITY * 0.6 };

    let without = sum_outcomes(daemons, rates, &[Mechanism::LateWait], 3..7);
    let with = sum_outcomes(daemons, rates, &[], 3..7);

    assert!(with.in_time * 10 >= without.in_time * 11, "{with:?}, without {without:?}");
    let value = |ends: &CallOutcomes| f64::from(ends.in_time) + 0.3 * f64::from(ends.late);
    assert!(value(&with) >= value(&without) * 0.99, "{with:?}, without {without:?}");
}

/// Guards against refusing calls although the upstreams have capacity for all of them.
#[rstest]
fn below_the_capacity_next_to_nothing_is_refused(#[values(1, 7, 71)] daemons: usize) {
    let ends = sum_outcomes(daemons, |_| CAPACITY * 0.75, &[], 0..10);

    assert!(ends.refused * 100 <= ends.total, "{ends:?}");
}
