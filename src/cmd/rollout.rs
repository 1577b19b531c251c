//! `rollout`: starts a canary roll-out of a service's upstreams and shows its progress.

use super::CommandError;
use super::control_target::ControlTarget;
use crate::control::ControlApiClient;
use crate::rollout::{RolloutOrder, RolloutRecord, RolloutReply, RolloutStage};
use clap::Subcommand;
use comfy_table::{Table, presets};
use std::io::IsTerminal;
use std::time::Duration;

const HELP: &str = "\
Upstreams of the new version are started beside the old ones and receive a small share of the service's requests, then a
larger one, then all. The roll-out is completed when no request runs on the old version any more. The new version is
rolled back if it fails more often than the old one, if it is several times slower, or if there is too little evidence in
its favour in time.

  tarragonknot rollout begin pack-llm v2 --seconds 60 --control 10.0.0.4:7600 --fleet-key-file key
  tarragonknot rollout watch pack-llm --control 10.0.0.4:7600 --fleet-key-file key

`watch` exits with 0 if the roll-out was completed and with 1 if it was rolled back.";

/// Polling interval of `watch`.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Start, list or watch roll-outs.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Start a roll-out.
    Begin(BeginArgs),
    /// Show the latest roll-out of each service.
    Status(StatusArgs),
    /// Wait until a service's roll-out is completed or rolled back.
    Watch(WatchArgs),
}

#[derive(Debug, clap::Args)]
struct BeginArgs {
    /// Name of the service.
    service: String,
    /// New version of the service's upstreams.
    version: String,
    /// Time limit of the roll-out in seconds.
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=604_800))]
    seconds: u64,
    #[command(flatten)]
    status: StatusArgs,
}

#[derive(Debug, clap::Args)]
struct StatusArgs {
    #[command(flatten)]
    target: ControlTarget,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, clap::Args)]
struct WatchArgs {
    /// Name of the service.
    service: String,
    #[command(flatten)]
    status: StatusArgs,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    match &args.action {
        Action::Begin(begin) => begin_rollout(begin),
        Action::Status(status) => {
            print_records(&fetch_records(&status.target)?, status.json);
            Ok(())
        }
        Action::Watch(watch) => watch_until_end(watch),
    }
}

fn fetch_records(target: &ControlTarget) -> Result<Vec<RolloutRecord>, CommandError> {
    super::block_on(target.call_leader(|client| async move { client.rollouts().await }))
}

fn begin_rollout(begin: &BeginArgs) -> Result<(), CommandError> {
    let order = RolloutOrder {
        service: begin.service.as_str().into(),
        to: begin.version.as_str().into(),
        duration_ms: begin.seconds * 1_000,
    };
    let reply = super::block_on(begin.status.target.call_leader(|client| {
        let order = order.clone();
        async move { client.rollout(order).await }
    }))?;
    match reply {
        RolloutReply::Accepted(record) => {
            print_records(&[record], begin.status.json);
            Ok(())
        }
        RolloutReply::Busy(record) => {
            let detail =
                format!("a roll-out to version {} is already in progress", record.order.to);
            Err(CommandError::Conflict { detail })
        }
        RolloutReply::Overtaken(record) => {
            let detail = format!(
                "the order was accepted earlier; a later roll-out to version {} is in progress",
                record.order.to
            );
            Err(CommandError::Conflict { detail })
        }
    }
}

fn watch_until_end(watch: &WatchArgs) -> Result<(), CommandError> {
    loop {
        let records = fetch_records(&watch.status.target)?;
        let record =
            records.into_iter().find(|record| record.order.service.as_str() == watch.service);
        let Some(record) = record else {
            let detail = format!("service {} has no roll-out", watch.service);
            return Err(CommandError::Usage { detail });
        };
        if record.stage.is_final() {
            print_records(std::slice::from_ref(&record), watch.status.json);
            return match record.stage {
                RolloutStage::RolledBack => Err(CommandError::Failed {
                    detail: format!("version {} was rolled back", record.order.to),
                }),
                _ => Ok(()),
            };
        }
        if std::io::stderr().is_terminal() {
            eprint!("\r{} {:>6.1} s", stage_name(record.stage), record.elapsed_ms as f64 / 1_000.0);
        }
        std::thread::sleep(WATCH_INTERVAL);
    }
}

fn stage_name(stage: RolloutStage) -> &'static str {
    match stage {
        RolloutStage::Trial => "on trial",
        RolloutStage::Expanding => "expanding",
        RolloutStage::Draining => "draining the old version",
        RolloutStage::Completed => "completed",
        RolloutStage::RolledBack => "rolled back",
    }
}

fn print_records(records: &[RolloutRecord], json: bool) {
    if json {
        return super::print_json(&records);
    }
    let mut grid = Table::new();
    grid.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    grid.set_header(["service", "version", "stage", "since its order", "time ordered"]);
    for record in records {
        let format_millis = |millis: u64| format!("{:?}", Duration::from_millis(millis));
        grid.add_row([
            record.order.service.to_string(),
            record.order.to.to_string(),
            stage_name(record.stage).to_owned(),
            format_millis(record.elapsed_ms),
            format_millis(record.order.duration_ms),
        ]);
    }
    super::print_line(&grid.to_string());
}
