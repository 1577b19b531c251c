//! `status`: shows the status of daemons, and the leader's view of the fleet.

use super::CommandError;
use super::control_target::ControlTarget;
use crate::control::{ControlApiClient, DaemonStatus, MemberView, connect, table_versions};
use comfy_table::{Table, presets};
use serde::Serialize;
use std::net::SocketAddr;

const HELP: &str = "\
Queries the given daemons, and the leader and the members that they name, for their status. A daemon that
does not answer is listed as unreachable. Members are shown as the leader sees them; a member whose lease
has expired admits no requests. The last table shows how far the newest operator table has been
distributed: how many daemons have each version in force, and for how long the others have lagged.

Example: tarragonknot status --control 10.1.0.14:7600";

/// Show the status of daemons and of the fleet.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    #[command(flatten)]
    target: ControlTarget,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// The status of one daemon, or the error of the query.
#[derive(Debug, Serialize)]
struct StatusRow {
    control: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<DaemonStatus>,
    #[serde(skip_serializing_if = "Option::is_none")]
    fault: Option<String>,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let rows = super::block_on(query_daemons(&args.target))?;
    if rows.iter().all(|row| row.status.is_none()) {
        let detail =
            rows.into_iter().filter_map(|row| row.fault).collect::<Vec<String>>().join("\n");
        return Err(CommandError::Failed { detail });
    }
    match args.json {
        true => super::print_json(&rows),
        false => print_grid(&rows),
    }
    Ok(())
}

/// Queries the given daemons, and every leader and member that their answers name.
async fn query_daemons(target: &ControlTarget) -> Result<Vec<StatusRow>, CommandError> {
    let key = target.key()?;
    let mut addresses = target.addresses.clone();
    let mut rows: Vec<StatusRow> = Vec::new();
    while let Some(control) = addresses.get(rows.len()).copied() {
        let answer = match connect(control, &key).await {
            Ok(client) => client.status().await.map_err(|error| error.to_string()),
            Err(fault) => Err(fault.to_string()),
        };
        if let Ok(status) = &answer {
            let members = status.members.iter().filter_map(|member| member.control);
            let discovered: Vec<SocketAddr> = status.leader.into_iter().chain(members).collect();
            discovered.into_iter().for_each(|address| {
                if !addresses.contains(&address) {
                    addresses.push(address)
                }
            });
        }
        rows.push(StatusRow {
            control,
            fault: answer.as_ref().err().cloned(),
            status: answer.ok(),
        });
    }
    Ok(rows)
}

fn print_grid(rows: &[StatusRow]) {
    let mut grid = Table::new();
    grid.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    grid.set_header(["daemon", "control", "role", "term", "table", "applied", "log", "claims"]);
    for row in rows {
        let control = row.control.to_string();
        match &row.status {
            Some(status) => grid.add_row([
                status.daemon.clone(),
                control,
                status.role.clone(),
                status.term.to_string(),
                status.table_version.to_string(),
                status.applied.to_string(),
                status.log_length.to_string(),
                status.claims.to_string(),
            ]),
            None => grid.add_row(["?", &control, row.fault.as_deref().unwrap_or("unreachable")]),
        };
    }
    super::print_line(&grid.to_string());
    print_voter_losses(rows);
    let members =
        rows.iter().filter_map(|row| row.status.as_ref()).flat_map(|status| &status.members);
    let members: Vec<MemberView> = members.cloned().collect();
    print_members(&members);
    print_table_versions(&members);
}

fn print_voter_losses(rows: &[StatusRow]) {
    for status in rows.iter().filter_map(|row| row.status.as_ref()) {
        if status.role != "leader" {
            continue;
        }
        let losses = status.losses_borne.map_or_else(|| "no".to_owned(), |count| count.to_string());
        let absent: Vec<String> = status.absent_voters.iter().map(ToString::to_string).collect();
        super::print_line(&format!("further voters that may be lost: {losses}"));
        if !absent.is_empty() {
            super::print_line(&format!("silent or stopping voters: {}", absent.join(" ")));
        }
    }
}

fn print_members(members: &[MemberView]) {
    let mut grid = Table::new();
    grid.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    grid.set_header(["member", "table in force", "heard", "lease"]);
    for member in members {
        let heard =
            member.heard_ms.map_or_else(|| "never".to_owned(), |millis| format!("{millis} ms ago"));
        let lease = if member.is_live { "valid" } else { "run out" };
        grid.add_row([
            member.daemon.to_string(),
            member.version.to_string(),
            heard,
            lease.to_owned(),
        ]);
    }
    super::print_line(&grid.to_string());
}

fn print_table_versions(members: &[MemberView]) {
    let mut grid = Table::new();
    grid.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    grid.set_header(["table", "in force at", "lease run out", "behind for", "daemons"]);
    for row in table_versions(members) {
        let behind = row.lags_ms.map_or_else(|| "newest".to_owned(), |ms| format!("{ms} ms"));
        let named: Vec<&str> = row.named.iter().map(|daemon| daemon.as_str()).collect();
        let more = if row.live + row.lapsed > named.len() { " ..." } else { "" };
        grid.add_row([
            row.version.to_string(),
            row.live.to_string(),
            row.lapsed.to_string(),
            behind,
            format!("{}{more}", named.join(" ")),
        ]);
    }
    super::print_line(&grid.to_string());
}
