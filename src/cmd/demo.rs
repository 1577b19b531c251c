//! `demo`: one daemon, stand-in upstreams and a few callers in one process.

use super::CommandError;
use super::load::LoadBench;
use crate::answer::AnswerKind;
use crate::load::{
    CallOutcome, CallResult, LoadCaller, LoadProfile, LoadSummary, PlannedRequest, PolicyChoice,
    ProfileKind,
};
use slog::{Discard, Logger, o};
use std::sync::Arc;
use std::time::Duration;

const HELP: &str = "\
Runs the whole path in one process: a daemon with an embedded voter, a table, stand-in engines and
services on loopback. For each firm it sends requests of every tier, organisation and kind, a booking
twice under one idempotency key, and one request that must be refused. It prints what became of them
and ends by itself; it fails if an answer is missing, doubled or crossed.";

/// Rounds of requests for each firm.
const ROUNDS: u64 = 6;

/// Run everything in one process and send a few requests.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    /// Keep everything up until interrupted, and print what to try.
    #[arg(long)]
    stay: bool,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|error| CommandError::Failed { detail: error.to_string() })?;
    runtime.block_on(async {
        demo(ProfileKind::Lodgeframe, false).await?;
        demo(ProfileKind::Wrekin, args.stay).await
    })
}

async fn demo(kind: ProfileKind, stay: bool) -> Result<(), CommandError> {
    let profile = Arc::new(LoadProfile::new(kind));
    let bench =
        LoadBench::start(&profile, PolicyChoice::Weighted, Logger::root(Discard, o!())).await?;
    super::print_out(&format!(
        "{kind:?}: callers at {}, operators at {}",
        bench.daemon.callers, bench.daemon.control
    ));
    let caller = LoadCaller::new(bench.daemon.callers);
    let plan = demo_plan(&profile);
    let expected = plan.len();
    let results = super::load::send_plan(&profile, plan, bench.daemon.callers, 1).await;
    let refusal = refused_call(&caller, &profile).await;
    let resend = resent_booking(&caller, &profile, &bench).await;
    let mut summary = LoadSummary::of(&profile, &results);
    summary.prefill_tokens = bench.ledger.computed_tokens();
    summary.wasted_tokens = bench.ledger.wasted_tokens();
    summary.max_dispatches = bench.most_dispatches();
    super::print_out(&summary.grid());
    super::print_out(&format!(
        "a deadline of 1 ms: {refusal:?}; one booking sent twice: {resend} run\n"
    ));
    let whole = results.iter().filter(|(_, result)| result.outcome == CallOutcome::Whole).count();
    let has_run_once = resend == 1;
    let is_refused = refusal == CallOutcome::Refused(AnswerKind::DeadlineTooShort);
    if stay {
        wait_for_interrupt(&bench, &profile).await;
    }
    bench.stop().await;
    match whole == expected && summary.violated_guarantees() == 0 && has_run_once && is_refused {
        true => Ok(()),
        false => Err(CommandError::Failed {
            detail: format!("{whole} of {expected} answers are whole, or a check above failed"),
        }),
    }
}

/// Requests of every class and organisation.
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
    (0..ROUNDS * classes).map(request).collect()
}

async fn refused_call(caller: &LoadCaller, profile: &LoadProfile) -> CallOutcome {
    let mut hurried = profile.clone();
    hurried.classes[0].deadline = Duration::from_millis(1);
    let planned = PlannedRequest { number: 1_000, ..demo_plan(profile)[0].clone() };
    caller.call(&hurried, &planned, 1).await.outcome
}

/// Sends one booking twice; returns how often the service ran it.
async fn resent_booking(caller: &LoadCaller, profile: &LoadProfile, bench: &LoadBench) -> u32 {
    let planned = demo_plan(profile)
        .into_iter()
        .find(|planned| profile.classes[planned.class].tier.starts_with(['b', 'h']));
    let Some(planned) = planned else { return 0 };
    let planned = PlannedRequest { number: 2_000, ..planned };
    let runs =
        || bench.services.iter().flat_map(|service| service.runs().into_values()).sum::<u32>();
    let before = runs();
    let first: CallResult = caller.call(profile, &planned, 1).await;
    let second: CallResult = caller.call(profile, &planned, 1).await;
    let are_whole = [first, second].iter().all(|result| result.outcome == CallOutcome::Whole);
    if are_whole { runs() - before } else { 0 }
}

async fn wait_for_interrupt(bench: &LoadBench, profile: &LoadProfile) {
    let body = format!(
        r#"{{"model":"{}","stream":true,"max_tokens":12,"messages":[{{"role":"user","content":"hello"}}]}}"#,
        profile.model_service
    );
    super::print_out(&format!(
        "try: curl -N -H 'Authorization: Bearer {}' -d '{body}' http://{}/v1/chat/completions\nInterrupt to end.",
        profile.key(0),
        bench.daemon.callers
    ));
    let _ = tokio::signal::ctrl_c().await;
}
