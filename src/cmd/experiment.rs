//! `experiment`: compares the policy with its baselines in virtual time, over several seeds.

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
Runs the schedulers of several daemons before models of a firm's engines, in virtual time: the same seeds
give the same figures on any machine. Arrivals begin 10 s before the measured time and end 10 s after it.
Each line sums up one policy at one rate: the median over the seeds, and behind it the worst seed.
\"answers\" is the good answers times their tiers' weights, \"tokens\" their tokens times the weights, each as
a multiple of the best baseline's median in the same table; \"good\" is the part of each tier's requests that was answered whole and in time; \"ended\" are engines that ended under a request.";

/// Compare the policy with its baselines in virtual time.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    /// Whose requests; both firms by default.
    #[arg(long, value_enum)]
    profile: Option<ProfileKind>,
    /// Rates, as multiples of the engines' capacity.
    #[arg(long, value_delimiter = ',', default_value = "0.7,1.5,2")]
    times: Vec<f64>,
    /// Policies; all by default.
    #[arg(long, value_enum, value_delimiter = ',')]
    policy: Vec<PolicyChoice>,
    /// Runs for each line, each with its own seed.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    /// Daemons.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=64))]
    daemons: u64,
    /// Measured seconds.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..))]
    seconds: u64,
    /// The number of requests per engine that the firm was given, instead of its own.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..))]
    given: Option<u32>,
    /// What goes wrong at a quarter of the measured time.
    #[arg(long, value_enum, default_value = "none")]
    fault: FaultKind,
    /// Instead of the baselines: the policy whole, and without each mechanism in turn.
    #[arg(long, conflicts_with = "policy")]
    ablation: bool,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// One line of the table: a policy at a rate.
#[derive(Clone, Debug, Serialize)]
struct ExperimentCase {
    profile: ProfileKind,
    times: f64,
    policy: PolicyChoice,
    without: Option<MechanismSwitch>,
}

/// A case and its results.
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
    let results = run_cases(args, cases(args));
    match args.json {
        true => super::print_json(&results),
        false => super::print_out(&grid(&results)),
    }
    let breaks: f64 = results
        .iter()
        .filter(|result| {
            result.case.policy == PolicyChoice::Weighted && result.case.without.is_none()
        })
        .map(|result| result.summary.shed_order_violations.worst)
        .sum();
    match breaks == 0.0 {
        true => Ok(()),
        false => {
            Err(CommandError::Failed { detail: format!("{breaks} breaks of the shedding order") })
        }
    }
}

fn cases(args: &Args) -> Vec<ExperimentCase> {
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

/// Runs every case with every seed, on half of the machine's cores.
fn run_cases(args: &Args, cases: Vec<ExperimentCase>) -> Vec<CaseResult> {
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get() / 2).max(1);
    let next = AtomicUsize::new(0);
    let jobs = cases.len() * args.seeds as usize;
    let work = || {
        let mut done = Vec::new();
        loop {
            let job = next.fetch_add(1, Ordering::Relaxed);
            if job >= jobs {
                return done;
            }
            let case = &cases[job / args.seeds as usize];
            let plan = plan(args, case, job as u64 % args.seeds + 1);
            done.push((job, run_experiment(&plan)));
        }
    };
    let mut runs: Vec<_> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        workers.into_iter().flat_map(|worker| worker.join().unwrap_or_default()).collect()
    });
    runs.sort_by_key(|(job, _)| *job);
    let runs: Vec<_> = runs.into_iter().map(|(_, run)| run).collect();
    let sums = runs.chunks(args.seeds as usize).map(SpreadSummary::of);
    cases
        .iter()
        .zip(sums)
        .map(|(case, summary)| CaseResult { case: case.clone(), fault: args.fault, summary })
        .collect()
}

fn plan(args: &Args, case: &ExperimentCase, seed: u64) -> ExperimentPlan {
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

/// The median weighted goodput to which a case is compared: the best baseline's at its rate, or, where no
/// baseline ran, the whole policy's.
fn reference(
    results: &[CaseResult],
    case: &ExperimentCase,
    number: impl Fn(&SpreadSummary) -> f64,
) -> f64 {
    let alike = || {
        results
            .iter()
            .filter(|other| other.case.profile == case.profile && other.case.times == case.times)
    };
    let baselines = alike().filter(|other| other.case.policy != PolicyChoice::Weighted);
    let best = baselines.map(|other| number(&other.summary)).fold(0.0, f64::max);
    let whole = alike().find(|other| other.case.without.is_none());
    let whole = whole.map_or(1.0, |other| number(&other.summary));
    if best > 0.0 { best } else { whole.max(1.0) }
}

fn grid(results: &[CaseResult]) -> String {
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
        let answers = reference(results, case, |summary| summary.weighted_goodput.median);
        let tokens = reference(results, case, |summary| summary.weighted_tokens.median);
        let scaled = |spread: SeedSpread, factor: f64| SeedSpread {
            median: spread.median * factor,
            worst: spread.worst * factor,
        };
        let good =
            summary.good_share.iter().filter(|spread| spread.median > 0.0 || spread.worst > 0.0);
        let good: Vec<String> = good.map(|spread| cell(scaled(*spread, 100.0), 1)).collect();
        grid.add_row([
            name(&case.profile),
            case.times.to_string(),
            case.without
                .map_or(name(&case.policy), |without| format!("without {}", name(&without))),
            cell(scaled(summary.weighted_goodput, 1.0 / answers), 2),
            cell(scaled(summary.weighted_tokens, 1.0 / tokens), 2),
            good.join(", "),
            cell(summary.first_token_p95_ms, 0),
            cell(summary.top_tier_first_token_p95_ms, 0),
            cell(scaled(summary.wasted_share, 100.0), 1),
            cell(summary.refusals, 0),
            cell(summary.shed_order_violations, 0),
            cell(summary.engine_crashes, 0),
        ]);
    }
    grid.to_string()
}

fn cell(spread: SeedSpread, digits: usize) -> String {
    format!("{:.digits$} ({:.digits$})", spread.median, spread.worst)
}

fn name(value: &impl ValueEnum) -> String {
    value.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned())
}
