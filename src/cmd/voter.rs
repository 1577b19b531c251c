//! `voter`: lists the voters of the fleet and sets which daemons may vote.

use super::CommandError;
use super::control_target::ControlTarget;
use crate::control::{ControlApiClient, VoterRow};
use crate::table::DaemonName;
use clap::Subcommand;
use comfy_table::{Table, presets};

const HELP: &str = "\
A daemon with a data folder requests to become a voter by itself, and first catches up as a learner. `remove`
removes a voter and prevents it from joining again; `add` allows it to join again. Voters are added and
removed one at a time.";

/// List, add or remove voters.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// List voters and learners.
    List(ListArgs),
    /// Allow a daemon with a data folder to become a voter.
    Add(VoterArgs),
    /// Remove a voter and prevent it from joining again.
    Remove(VoterArgs),
}

#[derive(Debug, clap::Args)]
struct ListArgs {
    #[command(flatten)]
    target: ControlTarget,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, clap::Args)]
struct VoterArgs {
    /// Name of the daemon.
    daemon: String,
    #[command(flatten)]
    list: ListArgs,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    match &args.action {
        Action::List(list) => {
            let rows = super::block_on(
                list.target.call_leader(|client| async move { client.voters().await }),
            )?;
            print_rows(&rows, list.json);
        }
        Action::Add(rule) => set_voter_rule(rule, true)?,
        Action::Remove(rule) => set_voter_rule(rule, false)?,
    }
    Ok(())
}

fn set_voter_rule(rule: &VoterArgs, is_allowed: bool) -> Result<(), CommandError> {
    let daemon = DaemonName::from(rule.daemon.as_str());
    let call = |client: std::sync::Arc<jsonrpsee::ws_client::WsClient>| {
        let daemon = daemon.clone();
        async move { client.voter_rule(daemon, is_allowed).await }
    };
    let rows = super::block_on(rule.list.target.call_leader(call))?;
    print_rows(&rows, rule.list.json);
    Ok(())
}

fn print_rows(rows: &[VoterRow], json: bool) {
    if json {
        return super::print_json(&rows);
    }
    let mut grid = Table::new();
    grid.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    grid.set_header(["voter", "control", "votes", "kept up to"]);
    for row in rows {
        let matched = row.matched.map_or_else(String::new, |index| index.to_string());
        let votes = if row.votes { "yes" } else { "not yet" };
        grid.add_row([row.voter.to_string(), row.control.to_string(), votes.to_owned(), matched]);
    }
    super::print_line(&grid.to_string());
}
