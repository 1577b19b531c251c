//! Service of large requests relative to others of their kind, under lasting overload.

use crate::sized_load::{
    SizedLoad, in_time_fraction, served_fraction, simulate, simulate_with, sorted_by_size,
};
use rstest::rstest;

/// Minimum service of a kind's largest tenth, and of the fifth below it, as a fraction of the
/// service of the whole kind.
const MIN_SERVED_RATIO: f64 = 0.5;

fn check_service_by_size(load: &SizedLoad) {
    let ends = simulate(load);
    let lost = ends.iter().filter(|end| end.is_lost).count();
    assert!(
        lost * 20 <= ends.len(),
        "{lost} of {} were started but not served under {load:?}",
        ends.len()
    );
    let all = served_fraction(ends.iter());
    for kind in 0..load.kinds.len() {
        let own = sorted_by_size(&ends, kind);
        let whole = served_fraction(own.iter());
        assert!(
            whole >= all / 4.0,
            "kind {kind} of {load:?}: served {whole:.3} of the kind, {all:.3} of all"
        );
        let (large, largest) = (own.len() * 7 / 10, own.len() * 9 / 10);
        let parts = [("largest tenth", &own[largest..]), ("fifth below", &own[large..largest])];
        for (name, part) in parts {
            let served = served_fraction(part.iter());
            assert!(
                served >= whole * MIN_SERVED_RATIO,
                "kind {kind} of {load:?}: served {served:.3} of the {name}, {whole:.3} of the kind"
            );
        }
    }
}

/// Guards against long answers that wait behind shorter ones of their kind until their callers
/// leave.
#[rstest]
#[case::one_daemon(1)]
#[case::seven_daemons(7)]
#[case::many_daemons(56)]
fn the_largest_requests_of_a_kind_are_served_under_lasting_overload(#[case] daemons: usize) {
    check_service_by_size(&SizedLoad::overload(daemons));
}

/// Guards against a guarantee that holds only with good size estimates, equal engines and steady
/// loads.
#[rstest]
#[case::engines_alike(SizedLoad { engine_slowness: vec![1.0; 12], ..SizedLoad::overload(7) })]
#[case::engines_far_apart(SizedLoad { engine_slowness: [0.4, 2.0].repeat(6), ..SizedLoad::overload(7) })]
#[case::guesses_off_by_two(SizedLoad { guess_error: 0.7, ..SizedLoad::overload(7) })]
#[case::far_beyond_capacity(SizedLoad { load_factor: 3.0, ..SizedLoad::overload(7) })]
#[case::half_of_the_engines_gone(SizedLoad { load_factor: 1.2, has_engine_loss: true, ..SizedLoad::overload(7) })]
#[case::one_kind_bursts(burst_of(1))]
#[case::the_lowest_kind_bursts(burst_of(2))]
#[case::another_seed(SizedLoad { seed: 7, ..SizedLoad::overload(7) })]
fn every_load_serves_the_largest(#[case] load: SizedLoad) {
    check_service_by_size(&load);
}

/// A load at the engines' capacity on which five times as many requests of one kind arrive.
fn burst_of(kind: usize) -> SizedLoad {
    let mut load = SizedLoad { load_factor: 1.0, ..SizedLoad::overload(7) };
    load.kinds[kind].burst_factor = 5.0;
    load
}

/// Guards against a guarantee that costs service while there is capacity for all requests.
#[test]
fn a_load_that_the_engines_carry_is_served_whole() {
    let load = SizedLoad { load_factor: 0.5, ..SizedLoad::overload(7) };

    let ends = simulate(&load);

    let (served, in_time) = (served_fraction(ends.iter()), in_time_fraction(&ends));
    assert!(served >= 0.98 && in_time >= 0.95, "{served} served, {in_time} in time");
}

/// Guards against a guarantee that costs callers more than a sixth of what is served without it.
#[rstest]
#[case::one_daemon(1)]
#[case::seven_daemons(7)]
#[case::many_daemons(56)]
fn the_promise_costs_little_of_what_is_served(#[case] daemons: usize) {
    let load = SizedLoad::overload(daemons);

    let without = served_fraction(simulate_with(&load, |plan| plan.size_share = 0.0).iter());
    let with = served_fraction(simulate(&load).iter());

    assert!(with >= without * 5.0 / 6.0, "{with:.3} with, {without:.3} without");
}
