//! `table`: shows, applies and compares tables.

use super::CommandError;
use super::operator::ControlTarget;
use crate::control::{ApplyAnswer, ControlApiClient, EditOutcome, HistoryRow, TableEdit};
use crate::table::{CellChange, OperatorTable, VersionedTable, diff_tables, read_table};
use clap::Subcommand;
use comfy_table::{Table, presets};
use jsonrpsee::ws_client::WsClient;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::sync::Arc;

const HELP: &str = "\
The usual way to edit: `table show --json > t.json`, change the rows under `table`, `table diff t.json`,
`table apply t.json`. The file carries the version it was made from; if another edit came first, the
edit is refused with the winner and the difference, and nothing changes. An edit whose answer was lost
can be sent again with the same `--edit-id`: it is applied at most once.";

/// Show, apply or compare tables.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Show the table in force.
    Show(ShowArgs),
    /// Apply an edited table.
    Apply(ApplyArgs),
    /// Show accepted edits, newest first.
    History(HistoryArgs),
    /// Compare two versions, or a file with the table in force.
    Diff(DiffArgs),
}

#[derive(Debug, clap::Args)]
struct ShowArgs {
    #[command(flatten)]
    target: ControlTarget,
    /// An older version, if it is still kept.
    #[arg(long)]
    version: Option<u64>,
    /// Print JSON, with version and hash, ready for editing.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, clap::Args)]
struct ApplyArgs {
    /// The edited table: as printed by `show --json`, or a bare table with --base.
    file: PathBuf,
    #[command(flatten)]
    target: ControlTarget,
    /// The version that a bare table was made from.
    #[arg(long)]
    base: Option<u64>,
    /// The id of this edit; for a resend, the id that was printed before.
    #[arg(long)]
    edit_id: Option<String>,
    /// Who makes the edit.
    #[arg(long, env = "USER", default_value = "operator")]
    operator: String,
    /// Do not wait until every live daemon has the edit in force.
    #[arg(long)]
    no_wait: bool,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, clap::Args)]
struct HistoryArgs {
    #[command(flatten)]
    target: ControlTarget,
    /// Edits to show at most.
    #[arg(long, default_value_t = 20)]
    most: usize,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, clap::Args)]
struct DiffArgs {
    /// A version, or a file.
    before: String,
    /// A version; the one in force if absent.
    after: Option<u64>,
    #[command(flatten)]
    target: ControlTarget,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    match &args.action {
        Action::Show(args) => super::block_on(show(args)),
        Action::Apply(args) => super::block_on(apply(args)),
        Action::History(args) => super::block_on(history(args)),
        Action::Diff(args) => super::block_on(diff(args)),
    }
}

async fn fetch(
    target: &ControlTarget,
    version: Option<u64>,
) -> Result<VersionedTable, CommandError> {
    let table = target.ask_leader(|client| async move { client.table(version).await }).await?;
    table.ok_or_else(|| CommandError::Usage {
        detail: format!("version {} is not kept", version.unwrap_or_default()),
    })
}

async fn show(args: &ShowArgs) -> Result<(), CommandError> {
    let versioned = fetch(&args.target, args.version).await?;
    match args.json {
        true => super::print_json(&versioned),
        false => print_table(&versioned),
    }
    Ok(())
}

/// A table read from a file, with what the file says of its base.
struct EditedTable {
    table: OperatorTable,
    base: Option<(u64, String)>,
}

fn read_edited(path: &Path) -> Result<EditedTable, CommandError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| CommandError::File { path: path.to_owned(), source })?;
    let value: Value = serde_json::from_str(&text).unwrap_or_default();
    let base =
        value.get("version").and_then(Value::as_u64).zip(value.get("hash").and_then(Value::as_str));
    let inner = match value.get("table") {
        Some(table) if base.is_some() => table.to_string(),
        _ => text,
    };
    let faults = |faults| CommandError::Faults { path: path.to_owned(), faults };
    let table = read_table(&inner).map_err(faults)?;
    Ok(EditedTable { table, base: base.map(|(version, hash)| (version, hash.to_owned())) })
}

async fn apply(args: &ApplyArgs) -> Result<(), CommandError> {
    let edited = read_edited(&args.file)?;
    let (base_version, base_hash) = match (edited.base, args.base) {
        (Some(base), None) => base,
        (None, Some(version)) => {
            let table = fetch(&args.target, Some(version)).await?;
            (table.version, table.hash)
        }
        (Some(_), Some(_)) => {
            return Err(usage("the file names its base already; leave --base away"));
        }
        (None, None) => {
            return Err(usage(
                "the file names no version; give the one it was made from with --base",
            ));
        }
    };
    let edit = TableEdit {
        edit_id: args.edit_id.clone().unwrap_or_else(|| uuid::Uuid::new_v4().to_string()),
        operator: args.operator.clone(),
        at: 0,
        base_version,
        base_hash,
        table: edited.table,
    };
    let answer = send(args, &edit).await.inspect_err(|_| {
        eprintln!(
            "tarragonknot: the outcome is not known; send it again with --edit-id {}",
            edit.edit_id
        );
    })?;
    report(args, &edit, &answer)
}

fn usage(detail: &str) -> CommandError {
    CommandError::Usage { detail: detail.to_owned() }
}

async fn send(args: &ApplyArgs, edit: &TableEdit) -> Result<ApplyAnswer, CommandError> {
    let call =
        |client: Arc<WsClient>| async move { client.apply(edit.clone(), !args.no_wait).await };
    args.target.ask_leader(call).await
}

fn report(args: &ApplyArgs, edit: &TableEdit, answer: &ApplyAnswer) -> Result<(), CommandError> {
    if args.json {
        super::print_json(answer);
    }
    match &answer.outcome {
        EditOutcome::Accepted(record) => {
            let lagging: Vec<&str> =
                answer.progress.lagging.iter().map(|daemon| daemon.as_str()).collect();
            let progress = match (answer.progress.is_in_force, args.no_wait) {
                (true, _) => "in force on every live daemon".to_owned(),
                (false, true) => format!("accepted; not yet in force on: {}", lagging.join(" ")),
                (false, false) => format!("accepted; still not in force on: {}", lagging.join(" ")),
            };
            if !args.json {
                super::print_out(&format!(
                    "version {}: {progress} (edit {})",
                    record.version, edit.edit_id
                ));
            }
            Ok(())
        }
        EditOutcome::Conflict(conflict) => {
            let winner = conflict.winner.as_ref().map_or_else(
                || "the table in force is the empty one".to_owned(),
                |winner| {
                    format!(
                        "version {} by {} (edit {}) came first",
                        winner.version, winner.operator, winner.edit_id
                    )
                },
            );
            let difference: Vec<String> = conflict.difference.iter().map(change_line).collect();
            let detail = format!(
                "not applied: made from version {}; {winner}\n{}",
                edit.base_version,
                difference.join("\n")
            );
            Err(CommandError::Conflict { detail })
        }
    }
}

async fn history(args: &HistoryArgs) -> Result<(), CommandError> {
    let most = args.most;
    let rows: Vec<HistoryRow> =
        args.target.ask_leader(|client| async move { client.history(most).await }).await?;
    if args.json {
        super::print_json(&rows);
        return Ok(());
    }
    let mut grid = grid(&["version", "operator", "unix ms", "edit", "hash"]);
    for row in rows {
        let hash = row.hash.chars().take(12).collect();
        grid.add_row([
            row.version.to_string(),
            row.operator,
            row.at.to_string(),
            row.edit_id,
            hash,
        ]);
    }
    super::print_out(&grid.to_string());
    Ok(())
}

async fn diff(args: &DiffArgs) -> Result<(), CommandError> {
    let difference = match args.before.parse::<u64>() {
        Ok(before) => {
            let after = match args.after {
                Some(after) => after,
                None => fetch(&args.target, None).await?.version,
            };
            let call = |client: Arc<WsClient>| async move { client.diff(before, after).await };
            args.target
                .ask_leader(call)
                .await?
                .ok_or_else(|| usage("one of the versions is not kept"))?
        }
        Err(_) => {
            let edited = read_edited(Path::new(&args.before))?;
            let other = fetch(&args.target, args.after).await?;
            diff_tables(&other.table, &edited.table)
        }
    };
    match args.json {
        true => super::print_json(&difference),
        false => difference.iter().for_each(|change| super::print_out(&change_line(change))),
    }
    Ok(())
}

fn change_line(change: &CellChange) -> String {
    match (&change.before, &change.after) {
        (Some(before), Some(after)) => format!("~ {}: {before} -> {after}", change.cell),
        (None, Some(after)) => format!("+ {}: {after}", change.cell),
        (Some(before), None) => format!("- {}: {before}", change.cell),
        (None, None) => change.cell.clone(),
    }
}

fn grid(header: &[&str]) -> Table {
    let mut grid = Table::new();
    grid.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    grid.set_header(header.iter().copied());
    grid
}

/// One grid for each part of the table; columns as they are written in JSON.
fn print_table(versioned: &VersionedTable) {
    super::print_out(&format!("version {} hash {}", versioned.version, versioned.hash));
    let Ok(Value::Object(parts)) = serde_json::to_value(&versioned.table) else { return };
    for (part, rows) in &parts {
        let rows: Vec<&Value> = rows.as_array().into_iter().flatten().collect();
        let mut columns: Vec<&str> = Vec::new();
        let names = rows.iter().filter_map(|row| row.as_object()).flat_map(|row| row.keys());
        names.for_each(|name| {
            if !columns.contains(&name.as_str()) {
                columns.push(name)
            }
        });
        let mut grid = grid(&columns);
        for row in rows {
            grid.add_row(columns.iter().map(|column| cell_text(row.get(*column))));
        }
        super::print_out(&format!("\n{part}\n{grid}"));
    }
}

fn cell_text(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) if text.len() > 20 => {
            format!("{}...", text.chars().take(12).collect::<String>())
        }
        Some(Value::String(text)) => text.clone(),
        Some(Value::Array(values)) => {
            values.iter().map(|value| cell_text(Some(value))).collect::<Vec<String>>().join(" ")
        }
        Some(other) => other.to_string(),
    }
}
