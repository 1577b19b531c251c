//! Measures the cost of the guaranteed share by size in virtual time:
//! `cargo bench --bench size_share`.
//!
//! For each `size_share` and each number of daemons, at twice the engines' capacity, prints the
//! fractions of all requests that are served, served in time, and lost, and for each kind of
//! request the fractions of all and of the largest tenth that are served.

#[allow(dead_code)]
#[path = "../tests/burst_pool.rs"]
mod burst_pool;
#[allow(dead_code)]
#[path = "../tests/session.rs"]
mod session;
#[path = "../tests/sized_load.rs"]
mod sized_load;

use comfy_table::Table;
use sized_load::{
    SizedLoad, SizedOutcome, in_time_fraction, served_fraction, simulate, simulate_with,
    sorted_by_size,
};

const SIZE_SHARES: [f64; 5] = [0.0, 0.25, 0.5, 0.75, 1.0];
const DAEMON_COUNTS: [usize; 4] = [1, 7, 56, 291];

fn lost_part(ends: &[SizedOutcome]) -> f64 {
    ends.iter().filter(|end| end.is_lost).count() as f64 / ends.len().max(1) as f64
}

/// Fractions of all requests of a kind, and of its largest tenth, that are served.
fn kind_parts(ends: &[SizedOutcome], kind: usize) -> String {
    let requests = sorted_by_size(ends, kind);
    let largest = &requests[requests.len() * 9 / 10..];
    format!("{:.3}, {:.3}", served_fraction(requests.iter()), served_fraction(largest.iter()))
}

fn row(name: &str, ends: &[SizedOutcome]) -> Vec<String> {
    let mut row = vec![name.to_owned()];
    row.extend(
        [served_fraction(ends.iter()), in_time_fraction(ends), lost_part(ends)]
            .map(|part| format!("{part:.3}")),
    );
    row.extend((0..3).map(|kind| kind_parts(ends, kind)));
    row
}

fn main() {
    let mut table = Table::new();
    table.set_header(["load", "served", "in time", "lost", "kind 0", "kind 1", "kind 2"]);
    for daemons in DAEMON_COUNTS {
        for size_share in SIZE_SHARES {
            let ends =
                simulate_with(&SizedLoad::overload(daemons), |plan| plan.size_share = size_share);
            table.add_row(row(&format!("{daemons} daemons, size share {size_share}"), &ends));
        }
    }
    let half_load = simulate(&SizedLoad { load_factor: 0.5, ..SizedLoad::overload(7) });
    table.add_row(row("7 daemons, half of the load", &half_load));
    println!("{table}");
}
