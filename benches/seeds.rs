//! Runs many seeded fault schedules against the replicated state and the fleet's control protocol:
//! `cargo bench --bench seeds -- SEEDS`.

#[path = "../tests/fleet_schedule.rs"]
#[allow(dead_code, reason = "the bench breaks no rules by hand")]
mod fleet_schedule;
#[path = "../tests/schedule.rs"]
#[allow(dead_code, reason = "the bench breaks no rules by hand")]
mod schedule;

use fleet_schedule::FleetSchedule;
use schedule::{BrokenRule, Schedule, ScheduleEnd};
use std::sync::atomic::{AtomicU64, Ordering};

const FAULT_SECONDS: u64 = 12;
const DEFAULT_SEEDS: u64 = 10_000;

fn main() {
    let seeds = std::env::args().filter_map(|arg| arg.parse().ok()).next().unwrap_or(DEFAULT_SEEDS);
    let next_seed = AtomicU64::new(0);
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get() / 2).max(1);
    let (total, failures) = std::thread::scope(|scope| {
        let workers: Vec<_> =
            (0..threads).map(|_| scope.spawn(|| run_seeds(&next_seed, seeds))).collect();
        let ends =
            workers.into_iter().map(|worker| worker.join().expect("a worker does not panic"));
        ends.fold((ScheduleEnd::default(), Vec::new()), |(total, mut failures), (end, failed)| {
            failures.extend(failed);
            (add_totals(total, &end), failures)
        })
    });
    println!("{seeds} seeds, {} failures; {total:?}", failures.len());
    failures.iter().take(10).for_each(|failure| println!("{failure}"));
    std::process::exit(i32::from(!failures.is_empty()));
}

fn add_totals(total: ScheduleEnd, end: &ScheduleEnd) -> ScheduleEnd {
    ScheduleEnd {
        commits: total.commits + end.commits,
        edits: total.edits + end.edits,
        claims: total.claims + end.claims,
        terms: total.terms + end.terms,
    }
}

fn run_seeds(next_seed: &AtomicU64, seeds: u64) -> (ScheduleEnd, Vec<String>) {
    let mut total = ScheduleEnd::default();
    let mut failures = Vec::new();
    loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds {
            return (total, failures);
        }
        match Schedule::new(seed, BrokenRule::Nothing).run(FAULT_SECONDS) {
            Ok(end) => total = add_totals(total, &end),
            Err(fault) => failures.push(format!("seed {seed}: {fault}")),
        }
        let fleet_outcome =
            FleetSchedule::new(seed, fleet_schedule::BrokenRule::Nothing).run(FAULT_SECONDS);
        failures
            .extend(fleet_outcome.err().map(|fault| format!("seed {seed} of the fleet: {fault}")));
    }
}
