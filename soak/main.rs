//! A randomized soak of the real programs: processes on loopback, faults from outside, promises checked meanwhile.
//!
//! `cargo test --test soak -- --seed 7 --seconds 60 --entries 6` plays one schedule; the seed decides all of it but the
//! operating system's own timing. A broken promise ends the run with the seed, the last steps and the logs' folder.

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

/// Steps of the schedule that are printed with a broken promise.
const LAST_STEPS: usize = 20;

/// What is played.
#[derive(Clone, Debug, Parser)]
#[command(
    name = "soak",
    about = "Randomized faults on the real programs, with the promises checked meanwhile"
)]
pub struct SoakArgs {
    /// Decides the schedule of faults, the callers and the engines.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seeds to play, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How long faults are played, in seconds; starting and recovering come on top.
    #[arg(long, default_value_t = 6)]
    seconds: u64,
    /// Entry processes.
    #[arg(long, default_value_t = 3)]
    entries: usize,
    /// Voter processes.
    #[arg(long, default_value_t = 3)]
    voters: usize,
    /// Stand-ins for engines at the start.
    #[arg(long, default_value_t = 4)]
    engines: usize,
    /// Callers that send one request after the other.
    #[arg(long, default_value_t = 12)]
    callers: usize,
    /// The program to play; a copy with a rule broken by hand should fail.
    #[arg(long, default_value = env!("CARGO_BIN_EXE_tarragonknot"))]
    program: PathBuf,
    /// Keeps the logs' folder also where nothing broke.
    #[arg(long)]
    keep: bool,
    /// Filters and flags of the test runner, passed over.
    #[arg(hide = true, trailing_var_arg = true)]
    _runner: Vec<String>,
}

fn main() -> ExitCode {
    let args = SoakArgs::parse();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let mut failed = 0;
    for seed in args.seed..args.seed + args.seeds {
        failed += u64::from(!runtime.block_on(play(&args, seed)));
    }
    println!("soak: {} passed, {failed} failed", args.seeds - failed);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Plays one seed; true if every promise held.
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
