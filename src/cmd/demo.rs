//! `demo`: runs a daemon, stand-in upstreams and sample requests in one process.

use super::CommandError;
use super::load::LoadTestbed;
use crate::answer::AnswerKind;
use crate::load::{
    CallOutcome, CallResult, LoadCaller, LoadProfile, LoadSummary, PlannedRequest, PolicyChoice,
    ProfileKind,
};
use slog::{Discard, Logger, o};
use std::sync::Arc;
use std::time::Duration;

const HELP: &str = "\
Runs a complete system in one process: a daemon with an embedded voter, a table, and stand-in engines and
services on loopback. For each firm, sends requests of every tier, organisation and kind, one booking
twice with the same idempotency key, and one request that must be refused. Prints a summary of the
results and exits; fails if an answer is missing, duplicated or belongs to another request.";

/// Number of times that each traffic class of a firm's profile gets a request.
const REQUESTS_PER_CLASS: u64 = 6;

/// Run a complete system in one process and send sample requests.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    /// Keep the system running until interrupted, and print an example request.
    #[arg(long)]
    stay: bool,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|error| CommandError::Failed { detail: error.to_string() })?;
    runtime.block_on(async {
        run_demo(ProfileKind::Lodgeframe, false).await?;
        run_demo(ProfileKind::Wrekin, args.stay).await
    })
}

async fn run_demo(kind: ProfileKind, stay: bool) -> Result<(), CommandError> {
    let profile = Arc::new(LoadProfile::new(kind));
    let testbed =
        LoadTestbed::start(&profile, PolicyChoice::Weighted, Logger::root(Discard, o!())).await?;
    super::print_line(&format!(
        "{kind:?}: callers at {}, operators at {}",
        testbed.daemon.callers, testbed.daemon.control
    ));
    let caller = LoadCaller::new(testbed.daemon.callers);
    let plan = demo_plan(&profile);
    let expected = plan.len();
    let results = super::load::send_plan(&profile, plan, testbed.daemon.callers, 1).await;
    let refusal_outcome = send_refused_request(&caller, &profile).await;
    let booking_runs = send_booking_twice(&caller, &profile, &testbed).await;
    let mut summary = LoadSummary::of(&profile, &results);
    summary.prefill_tokens = testbed.ledger.computed_tokens();
    summary.wasted_tokens = testbed.ledger.wasted_tokens();
    summary.max_dispatches = testbed.most_dispatches();
    super::print_line(&summary.grid());
    super::print_line(&format!(
        "a deadline of 1 ms: {refusal_outcome:?}; one booking sent twice: {booking_runs} run\n"
    ));
    let whole = results.iter().filter(|(_, result)| result.outcome == CallOutcome::Whole).count();
    let has_run_once = booking_runs == 1;
    let is_refused = refusal_outcome == CallOutcome::Refused(AnswerKind::DeadlineTooShort);
    if stay {
        wait_for_interrupt(&testbed, &profile).await;
    }
    testbed.stop().await;
    match whole == expected && summary.violated_guarantees() == 0 && has_run_once && is_refused {
        true => Ok(()),
        false => Err(CommandError::Failed {
            detail: format!(
                "{whole} of {expected} answers were complete, or another check above failed"
            ),
        }),
    }
}

/// Plans requests for every traffic class and organisation, 10 ms apart.
fn demo_plan(profile: &LoadProfile) -> Vec<PlannedRequest> {
    let classes = profile.classes.len() as u64;
    let request = |number: u64| {
        let class = &profile.classes[(number % classes) as usize];
        PlannedRequest {
            number,
            at: Duration::from_millis(10 * number),
            class: (number % classes) as usize,
            organisation: (number / classes % 5) as usize,
            prompt_tokens: class.prompt_tokens as u32,
            output_tokens: (class.output_tokens / 2.0).max(1.0) as u32,
            template: number % 3,
        }
    };
    (0..REQUESTS_PER_CLASS * classes).map(request).collect()
}

/// Sends a request with a deadline of 1 ms, which the daemon must refuse as too short.
async fn send_refused_request(caller: &LoadCaller, profile: &LoadProfile) -> CallOutcome {
    let mut short_deadline_profile = profile.clone();
    short_deadline_profile.classes[0].deadline = Duration::from_millis(1);
    let planned = PlannedRequest { number: 1_000, ..demo_plan(profile)[0].clone() };
    caller.call(&short_deadline_profile, &planned, 1).await.outcome
}

/// Sends one booking twice with the same idempotency key. Returns how often the service executed
/// it, or 0 if an answer was incomplete.
async fn send_booking_twice(
    caller: &LoadCaller,
    profile: &LoadProfile,
    testbed: &LoadTestbed,
) -> u32 {
    let planned = demo_plan(profile)
        .into_iter()
        .find(|planned| profile.classes[planned.class].tier.starts_with(['b', 'h']));
    let Some(planned) = planned else { return 0 };
    let planned = PlannedRequest { number: 2_000, ..planned };
    let runs =
        || testbed.services.iter().flat_map(|service| service.runs().into_values()).sum::<u32>();
    let runs_before = runs();
    let first: CallResult = caller.call(profile, &planned, 1).await;
    let second: CallResult = caller.call(profile, &planned, 1).await;
    let are_whole = [first, second].iter().all(|result| result.outcome == CallOutcome::Whole);
    if are_whole { runs() - runs_before } else { 0 }
}

async fn wait_for_interrupt(testbed: &LoadTestbed, profile: &LoadProfile) {
    let body = format!(
        r#"{{"model":"{}","stream":true,"max_tokens":12,"messages":[{{"role":"user","content":"hello"}}]}}"#,
        profile.model_service
    );
    super::print_line(&format!(
        "Example: curl -N -H 'Authorization: Bearer {}' -d '{body}' http://{}/v1/chat/completions\nInterrupt to stop.",
        profile.key(0),
        testbed.daemon.callers
    ));
    let _ = tokio::signal::ctrl_c().await;
}
