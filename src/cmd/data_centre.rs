//! `data-centre`: evacuates a data centre, returns it to use and shows which are evacuated.

use super::CommandError;
use super::control_target::ControlTarget;
use crate::control::ControlApiClient;
use crate::evacuation::{EvacuationEvent, EvacuationOrder, EvacuationRecord, EvacuationStage};
use clap::Subcommand;
use comfy_table::{Table, presets};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const HELP: &str = "\
Nothing more is sent to the upstreams of an evacuated data centre; requests that wait for them go to other upstreams, and
those that run there end by themselves. The order holds until the data centre is returned to use, also across the loss of
all daemons. Both orders may be repeated.

  tarragonknot data-centre evacuate hall-a --control 10.0.0.4:7600 --fleet-key-file key
  tarragonknot data-centre return hall-a --control 10.0.0.4:7600 --fleet-key-file key
  tarragonknot data-centre status --control 10.0.0.4:7600 --fleet-key-file key";

/// Evacuate a data centre, return it to use, or list evacuations.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP, visible_alias = "zone")]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Send nothing more to a data centre's upstreams.
    Evacuate(OrderArgs),
    /// Use a data centre's upstreams again.
    Return(OrderArgs),
    /// Show each data centre that was ever evacuated.
    Status(StatusArgs),
}

#[derive(Debug, clap::Args)]
struct OrderArgs {
    /// Name of the data centre.
    data_centre: String,
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

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    match &args.action {
        Action::Evacuate(order) => send_order(order, EvacuationEvent::Evacuate),
        Action::Return(order) => send_order(order, EvacuationEvent::Return),
        Action::Status(status) => {
            let records =
                status.target.call_leader(|client| async move { client.evacuations().await });
            print_records(&super::block_on(records)?, status.json);
            Ok(())
        }
    }
}

fn send_order(args: &OrderArgs, event: EvacuationEvent) -> Result<(), CommandError> {
    let order = EvacuationOrder { data_centre: args.data_centre.as_str().into(), event };
    let record = super::block_on(args.status.target.call_leader(|client| {
        let order = order.clone();
        async move { client.evacuate(order).await }
    }))?;
    print_records(&[record], args.status.json);
    Ok(())
}

fn stage_name(stage: EvacuationStage) -> &'static str {
    match stage {
        EvacuationStage::InUse => "in use",
        EvacuationStage::Evacuated => "evacuated",
    }
}

fn print_records(records: &[EvacuationRecord], json: bool) {
    if json {
        return super::print_json(&records);
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut grid = Table::new();
    grid.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    grid.set_header(["data centre", "stage", "for"]);
    for record in records {
        let age = now.saturating_sub(Duration::from_millis(record.since));
        grid.add_row([
            record.data_centre.to_string(),
            stage_name(record.stage).to_owned(),
            format!("{} s", age.as_secs()),
        ]);
    }
    super::print_line(&grid.to_string());
}
