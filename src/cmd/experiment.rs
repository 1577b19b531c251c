//! `experiment`: compares scheduling policies in a virtual-time simulation over several seeds.

use super::CommandError;
use crate::experiment::{
    ExperimentPlan, FaultKind, MechanismSwitch, SeedSpread, SpreadSummary, run_experiment,
};
use crate::load::{LoadProfile, PolicyChoice, ProfileKind};
use clap::ValueEnum;
use comfy_table::{Table, presets};
use serde::Serialize;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const HELP: &str = "\
Simulates the schedulers of several daemons and a firm's engines in virtual time; the same seeds give the
same results on any machine. Arrivals start 10 s before the measurement window and stop 10 s after it.
Each row summarises one policy at one rate as the median over all seeds, followed by the worst seed in parentheses.
\"answers\" is the number of good answers weighted by tier, and \"tokens\" the number of their tokens weighted by tier,
both relative to the median of the best baseline in the same table. \"good\" is the percentage of each tier's requests that
were answered completely and in time. \"ended\" is the number of engines that crashed while running a request.";

/// Compare scheduling policies in a virtual-time simulation.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    /// Load profile to simulate; all profiles by default.
    #[arg(long, value_enum)]
    profile: Option<ProfileKind>,
    /// Request rates as multiples of the engines' capacity.
    #[arg(long, value_delimiter = ',', default_value = "0.7,1.5,2")]
    times: Vec<f64>,
    /// Policies to compare; all by default.
    #[arg(long, value_enum, value_delimiter = ',')]
    policy: Vec<PolicyChoice>,
    /// Number of runs per row, each with its own seed.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    /// Number of daemons.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=64))]
    daemons: u64,
    /// Length of the measurement window in seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..))]
    seconds: u64,
    /// Configured number of concurrent requests per engine; overrides the profile's value.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..))]
    given: Option<u32>,
    /// Fault to inject after a quarter of the measurement window.
    #[arg(long, value_enum, default_value = "none")]
    fault: FaultKind,
    /// Ablation study: run the weighted policy, then again with each mechanism disabled in turn.
    #[arg(long, conflicts_with = "policy")]
    ablation: bool,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// The policy, rate and disabled mechanism of one row.
#[derive(Clone, Debug, Serialize)]
struct ExperimentCase {
    profile: ProfileKind,
    times: f64,
    policy: PolicyChoice,
    without: Option<MechanismSwitch>,
}

/// A case and its results over all seeds.
#[derive(Debug, Serialize)]
struct CaseResult {
    #[serde(flatten)]
    case: ExperimentCase,
    fault: FaultKind,
    summary: SpreadSummary,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    if let Some(times) = args.times.iter().find(|times| !(0.01..=20.0).contains(*times)) {
        let detail = format!("--times: found {times}; expected 0.01 to 20");
        return Err(CommandError::Usage { detail });
    }
    let results = run_cases(args, expand_cases(args));
    match args.json {
        true => super::print_json(&results),
        false => super::print_line(&format_grid(&results)),
    }
    let violations: f64 = results
        .iter()
        .filter(|result| {
            result.case.policy == PolicyChoice::Weighted && result.case.without.is_none()
        })
        .map(|result| result.summary.shed_order_violations.worst)
        .sum();
    match violations == 0.0 {
        true => Ok(()),
        false => {
            Err(CommandError::Failed { detail: format!("{violations} shedding order violations") })
        }
    }
}

fn expand_cases(args: &Args) -> Vec<ExperimentCase> {
    let profiles = args.profile.map_or(ProfileKind::value_variants().to_vec(), |kind| vec![kind]);
    let policies = match (args.ablation, args.policy.is_empty()) {
        (true, _) => vec![PolicyChoice::Weighted],
        (false, true) => PolicyChoice::value_variants().to_vec(),
        (false, false) => args.policy.clone(),
    };
    let mut switches = vec![None];
    if args.ablation {
        switches.extend(MechanismSwitch::value_variants().iter().copied().map(Some));
    }
    let mut cases = Vec::new();
    for profile in profiles {
        for times in &args.times {
            for policy in &policies {
                cases.extend(switches.iter().map(|without| ExperimentCase {
                    profile,
                    times: *times,
                    policy: *policy,
                    without: *without,
                }));
            }
        }
    }
    cases
}

/// Runs every case with every seed, on half of the available cores.
fn run_cases(args: &Args, cases: Vec<ExperimentCase>) -> Vec<CaseResult> {
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get() / 2).max(1);
    let next_job = AtomicUsize::new(0);
    let jobs = cases.len() * args.seeds as usize;
    let run_jobs = || {
        let mut done = Vec::new();
        loop {
            let job = next_job.fetch_add(1, Ordering::Relaxed);
            if job >= jobs {
                return done;
            }
            let case = &cases[job / args.seeds as usize];
            let plan = experiment_plan(args, case, job as u64 % args.seeds + 1);
            done.push((job, run_experiment(&plan)));
        }
    };
    let mut runs: Vec<_> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(run_jobs)).collect();
        workers.into_iter().flat_map(|worker| worker.join().unwrap_or_default()).collect()
    });
    runs.sort_by_key(|(job, _)| *job);
    let runs: Vec<_> = runs.into_iter().map(|(_, run)| run).collect();
    let summaries = runs.chunks(args.seeds as usize).map(SpreadSummary::of);
    cases
        .iter()
        .zip(summaries)
        .map(|(case, summary)| CaseResult { case: case.clone(), fault: args.fault, summary })
        .collect()
}

fn experiment_plan(args: &Args, case: &ExperimentCase, seed: u64) -> ExperimentPlan {
    let mut profile = LoadProfile::new(case.profile);
    profile.configured_limit = args.given.unwrap_or(profile.configured_limit);
    ExperimentPlan {
        profile,
        load_factor: case.times,
        window: Duration::from_secs(args.seconds),
        daemons: args.daemons as usize,
        policy: case.policy,
        disabled_mechanism: case.without,
        fault: args.fault,
        seed,
    }
}

/// The reference value of a median for the case's profile and rate: that of the best baseline or,
/// if no baseline ran, that of the policy with all mechanisms enabled.
fn reference_median(
    results: &[CaseResult],
    case: &ExperimentCase,
    metric: impl Fn(&SpreadSummary) -> f64,
) -> f64 {
    let same_setup = || {
        results
            .iter()
            .filter(|other| other.case.profile == case.profile && other.case.times == case.times)
    };
    let baselines = same_setup().filter(|other| other.case.policy != PolicyChoice::Weighted);
    let best = baselines.map(|other| metric(&other.summary)).fold(0.0, f64::max);
    let full_policy = same_setup().find(|other| other.case.without.is_none());
    let full_policy = full_policy.map_or(1.0, |other| metric(&other.summary));
    if best > 0.0 { best } else { full_policy.max(1.0) }
}

fn format_grid(results: &[CaseResult]) -> String {
    let mut grid = Table::new();
    grid.load_preset(presets::ASCII_MARKDOWN);
    grid.set_header([
        "profile",
        "times",
        "policy",
        "answers",
        "tokens",
        "good % by tier",
        "first ms p95",
        "top first ms p95",
        "wasted prefill %",
        "refused",
        "breaks",
        "ended",
    ]);
    for result in results {
        let (case, summary) = (&result.case, &result.summary);
        let answers = reference_median(results, case, |summary| summary.weighted_goodput.median);
        let tokens = reference_median(results, case, |summary| summary.weighted_tokens.median);
        let scaled = |spread: SeedSpread, factor: f64| SeedSpread {
            median: spread.median * factor,
            worst: spread.worst * factor,
        };
        let good =
            summary.good_share.iter().filter(|spread| spread.median > 0.0 || spread.worst > 0.0);
        let good: Vec<String> =
            good.map(|spread| format_spread(scaled(*spread, 100.0), 1)).collect();
        grid.add_row([
            label(&case.profile),
            case.times.to_string(),
            case.without
                .map_or(label(&case.policy), |without| format!("without {}", label(&without))),
            format_spread(scaled(summary.weighted_goodput, 1.0 / answers), 2),
            format_spread(scaled(summary.weighted_tokens, 1.0 / tokens), 2),
            good.join(", "),
            format_spread(summary.first_token_p95_ms, 0),
            format_spread(summary.top_tier_first_token_p95_ms, 0),
            format_spread(scaled(summary.wasted_share, 100.0), 1),
            format_spread(summary.refusals, 0),
            format_spread(summary.shed_order_violations, 0),
            format_spread(summary.engine_crashes, 0),
        ]);
    }
    grid.to_string()
}

/// Formats the median, followed by the worst seed in parentheses.
fn format_spread(spread: SeedSpread, digits: usize) -> String {
    format!("{:.digits$} ({:.digits$})", spread.median, spread.worst)
}

fn label(value: &impl ValueEnum) -> String {
    value.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned())
}
