//! Randomised fault test: runs the real program as processes on loopback addresses, injects
//! faults from outside and checks the system's invariants during and after the faults.
//!
//! `cargo test --test soak -- --seed 7 --seconds 60 --entries 6` runs one schedule. The seed
//! determines everything but the timing of the operating system. A seed with violated invariants
//! ends with the seed, the violations, the last steps and the folder of the logs being printed.

mod callers;
mod checks;
mod engines;
mod fleet;
mod operators;
mod plan;
mod poison;
mod proxy;
mod world;

use clap::Parser;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use world::SoakWorld;

/// Number of the schedule's last steps that are printed with a violation.
const LAST_STEPS: usize = 20;

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
    let args = SoakArgs::parse();
    let runtime = tokio::runtime::Runtime::new().expect("the Tokio runtime starts");
    let mut failed = 0;
    for seed in args.seed..args.seed + args.seeds {
        failed += u64::from(!runtime.block_on(play(&args, seed)));
    }
    println!("soak: {} passed, {failed} failed", args.seeds - failed);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs one seed; true if no invariant was violated.
async fn play(args: &SoakArgs, seed: u64) -> bool {
    let world = Arc::new(SoakWorld::new(args, seed));
    let steps = plan::schedule(
        &mut ChaCha8Rng::seed_from_u64(seed),
        Duration::from_secs(args.seconds),
        &world.sizes,
    );
    if let Err(detail) = fleet::start_all(&world).await {
        world.ledger.broke("START", detail);
    } else {
        let traffic = callers::start(&world, seed);
        let operators = operators::start(&world, seed);
        let watch = checks::start_watch(&world);
        let poison = poison::start(&world);
        plan::carry_out(&world, &steps).await;
        fleet::heal(&world).await;
        checks::wait_for_recovery(&world).await;
        world.stop();
        let _ = tokio::join!(traffic, operators, watch, poison);
        poison::check(&world).await;
        checks::check_ledger(&world);
        checks::check_kept(&world).await;
    }
    fleet::stop_all(&world).await;
    report(&world, &steps, args.keep)
}

fn report(world: &SoakWorld, steps: &[plan::TimedStep], keep: bool) -> bool {
    let broken = world.ledger.broken();
    let summary = world.ledger.summary();
    if broken.is_empty() {
        println!("seed {}: kept, {} steps; {summary}", world.seed, steps.len());
        if keep {
            println!("  logs: {}", world.keep_folder().display());
        }
        return true;
    }
    println!("seed {}: BROKEN; {summary}", world.seed);
    broken.iter().for_each(|line| println!("  {line}"));
    let done = world.steps_done().min(steps.len());
    let last = &steps[done.saturating_sub(LAST_STEPS)..done];
    last.iter().for_each(|step| println!("  {step}"));
    println!("  logs: {}", world.keep_folder().display());
    false
}
