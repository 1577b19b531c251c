//! Randomised fault test: runs the real program as processes on loopback addresses, injects
//! faults from outside and checks the system's invariants during and after the faults.
//!
//! `cargo test --test soak -- --seed 7 --seconds 60 --entries 6` runs one schedule. The seed
//! determines everything but the timing of the operating system. A seed with violated invariants
//! ends with the seed, the violations, the last steps and the folder of the logs being printed.

mod answers;
mod callers;
mod checks;
mod connection;
mod context;
mod cuts;
mod disk_probe;
mod engines;
mod faults;
mod fleet;
mod losses;
mod operators;
mod out_of_step;
mod plan;
mod planned;
mod poison;
mod proxy;
mod stated_rates;
mod streams;
mod tables;
mod wire;

use clap::Parser;
use context::SoakContext;
use faults::FaultKind;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Number of the schedule's last steps that are printed with a violation.
const PRINTED_STEPS: usize = 40;

/// The second run if there are no options: one release in a fleet of seven entries and five voters, with
/// entries that are out of step. Guards against streams that go on at another version.
const OUT_OF_STEP_RUN: &str = concat!(
    "soak --out-of-step --entries 7 --voters 5 --engines 18 --callers 40",
    " --event-ms 20 --seconds 6 --seed 7808",
);

/// Command-line options.
#[derive(Clone, Debug, Parser)]
#[command(
    name = "soak",
    about = "Injects randomised faults into processes of the real program and checks its invariants"
)]
pub struct SoakArgs {
    /// Seed of the fault schedule, the callers and the engines.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds to run, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Duration of the fault schedule in seconds, without start-up and recovery.
    #[arg(long, default_value_t = 6)]
    seconds: u64,
    /// Number of entry processes.
    #[arg(long, default_value_t = 3)]
    entries: usize,
    /// Number of voter processes.
    #[arg(long, default_value_t = 3)]
    voters: usize,
    /// Number of simulated engines at the start.
    #[arg(long, default_value_t = 4)]
    engines: usize,
    /// Number of callers; each sends its requests one after the other.
    #[arg(long, default_value_t = 12)]
    callers: usize,
    /// Faults of the engines to inject, separated by commas; all if omitted.
    #[arg(long, value_enum, value_delimiter = ',')]
    faults: Vec<FaultKind>,
    /// Faults of the engines per thousand requests, besides those of the schedule.
    #[arg(long, default_value_t = 50)]
    fault_rate: u64,
    /// Play planned work, pauses and stalls alone; faults of single requests follow `--fault-rate`.
    #[arg(long)]
    planned: bool,
    /// Also kill all entries at once beside a release, every few seconds.
    #[arg(long)]
    restart_entries: bool,
    /// Play releases of the engines' software alone, beside entries that are out of step.
    #[arg(long)]
    out_of_step: bool,
    /// Time between two events of a stream in milliseconds.
    #[arg(long, default_value_t = 15)]
    event_ms: u64,
    /// Also kill engines whose listening sockets stay open until the next engines start.
    #[arg(long)]
    silent_engines: bool,
    /// Program to test; a copy with a deliberately broken rule should fail.
    #[arg(long, default_value = env!("CARGO_BIN_EXE_tarragonknot"))]
    program: PathBuf,
    /// Keep the folder of the logs even if no invariant was violated.
    #[arg(long)]
    keep: bool,
    /// Filters and flags of the test runner, which are ignored.
    #[arg(hide = true, trailing_var_arg = true)]
    _runner: Vec<String>,
}

fn main() -> ExitCode {
    let mut runs = vec![SoakArgs::parse()];
    if std::env::args_os().len() == 1 {
        runs.push(SoakArgs::parse_from(OUT_OF_STEP_RUN.split_whitespace()));
    }
    let runtime = tokio::runtime::Runtime::new().expect("the Tokio runtime starts");
    let (mut passed, mut failed) = (0, 0);
    for args in &runs {
        for seed in args.seed..args.seed + args.seeds {
            match runtime.block_on(run_seed(args, seed)) {
                true => passed += 1,
                false => failed += 1,
            }
        }
    }
    println!("soak: {passed} passed, {failed} failed");
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs one seed; true if no invariant was violated.
async fn run_seed(args: &SoakArgs, seed: u64) -> bool {
    let ctx = Arc::new(SoakContext::new(args, seed));
    let length = Duration::from_secs(args.seconds);
    let rng = &mut ChaCha8Rng::seed_from_u64(seed);
    let mut steps = match args.out_of_step {
        true => out_of_step::schedule(rng, length, &ctx.sizes),
        false => plan::schedule(rng, length, &ctx.sizes, args.planned),
    };
    if args.restart_entries {
        plan::add_entry_restarts(&mut steps, rng, length, &ctx.sizes);
    }
    if args.silent_engines {
        plan::add_silent_engines(&mut steps, rng, length);
    }
    if let Err(detail) = fleet::start_all(&ctx).await {
        ctx.recorder.record_violation("START", detail);
    } else {
        let traffic = callers::start(&ctx, seed);
        let operators = operators::start(&ctx, seed);
        let version_watch = checks::start_version_watch(&ctx);
        let poison_caller = (!args.planned && !args.out_of_step).then(|| poison::start(&ctx));
        plan::execute(&ctx, &steps).await;
        fleet::heal(&ctx).await;
        checks::wait_for_recovery(&ctx).await;
        stated_rates::check(&ctx).await;
        ctx.stop();
        let _ = tokio::join!(traffic, operators, version_watch);
        checks::check_acknowledgement(&ctx).await;
        if let Some(caller) = poison_caller {
            let _ = caller.await;
            poison::check(&ctx).await;
        }
        checks::check_recorded_runs(&ctx);
        streams::check(&ctx);
        losses::check(&ctx);
        checks::check_started_entry(&ctx).await;
        checks::check_durability(&ctx).await;
    }
    fleet::kill_all(&ctx).await;
    report(&ctx, &steps, args.keep)
}

fn report(ctx: &SoakContext, steps: &[plan::TimedStep], keep: bool) -> bool {
    let violations = ctx.recorder.violations();
    let all_steps: String = steps.iter().map(|step| format!("{step}\n")).collect();
    drop(std::fs::write(ctx.folder().join("steps.txt"), all_steps));
    let summary =
        format!("{}; {}; {}; {}", ctx.recorder.summary(), ctx.streams, ctx.losses, ctx.cuts);
    if violations.is_empty() {
        println!("seed {}: kept, {} steps; {summary}", ctx.seed, steps.len());
        if keep {
            println!("  logs: {}", ctx.keep_folder().display());
        }
        return true;
    }
    println!("seed {}: BROKEN; {}{summary}", ctx.seed, ctx.recorder.violation_counts());
    violations.iter().for_each(|line| println!("  {line}"));
    let done_count = ctx.steps_done().min(steps.len());
    let last_steps = &steps[done_count.saturating_sub(PRINTED_STEPS)..done_count];
    last_steps.iter().for_each(|step| println!("  {step}"));
    println!("  logs: {}", ctx.keep_folder().display());
    false
}
