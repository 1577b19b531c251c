//! What large requests get of what their kind gets, under lasting overload.

use crate::sized_load::{SizedLoad, by_size, play, served_part};
use rstest::rstest;

/// The part of a kind's service that its largest tenth, and the fifth below it, get at least.
const LEAST_PART: f64 = 0.5;

fn check_sizes(load: &SizedLoad) {
    let ends = play(load);
    let lost = ends.iter().filter(|end| end.is_lost).count();
    assert!(lost * 20 <= ends.len(), "{lost} of {} were begun in vain by {load:?}", ends.len());
    for kind in 0..load.kinds.len() {
        let own = by_size(&ends, kind);
        let whole = served_part(own.iter());
        let (large, largest) = (own.len() * 7 / 10, own.len() * 9 / 10);
        let parts = [("largest tenth", &own[largest..]), ("fifth below", &own[large..largest])];
        for (name, part) in parts {
            let served = served_part(part.iter());
            assert!(
                served >= whole * LEAST_PART,
                "kind {kind} of {load:?}: of the {name} {served:.3} were served, of all {whole:.3}"
            );
        }
    }
}

/// Guards against long answers that wait behind shorter ones of their kind until their callers leave.
#[rstest]
#[case::one_daemon(1)]
#[case::seven_daemons(7)]
#[case::many_daemons(56)]
fn the_largest_requests_of_a_kind_are_served_under_lasting_overload(#[case] daemons: usize) {
    check_sizes(&SizedLoad::overload(daemons));
}
