//! `check`: validates settings files, tables and platform lists and reports every fault; reviews a table
//! before it is sent.

use super::CommandError;
use crate::platform::DocumentReader;
use crate::settings::DaemonSettings;
use crate::table::{
    CellChange, FaultList, OperatorTable, TableReader, TableWarning, diff_tables, read_table,
    review_table,
};
use crate::upstream::PlatformList;
use serde::Serialize;
use serde_json::Value;
use std::path::{Path, PathBuf};

const HELP: &str = "\
Validates files without applying them: daemon settings, tables and platform lists. The kind of a file is
detected from its members. All faults are printed at once, each with its JSON path, the value found there
and the expected value. Unknown members are faults.

With --review, a table without faults is also searched for entries that can never apply and for limits that
contradict each other. With --against, the cells that differ from another version are printed, for example
from the one in force: `table show --json > in-force.json`. --platform reads tables in the platform's format.";

/// Validate settings files, tables and platform lists.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    /// Files to check.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Print the faults, or the review of a table, as JSON.
    #[arg(long)]
    json: bool,
    /// Search tables for entries that can never apply and for limits that contradict each other.
    #[arg(long)]
    review: bool,
    /// Table, or output of `table show --json`, to print the differences from; implies --review.
    #[arg(long, value_name = "FILE")]
    against: Option<PathBuf>,
    /// Read tables as configurations in the platform's format.
    #[arg(long)]
    platform: bool,
}

/// The review of a table without faults.
#[derive(Debug, Serialize)]
struct TableReview {
    warnings: Vec<TableWarning>,
    /// Absent if the table is compared with no other.
    #[serde(skip_serializing_if = "Option::is_none")]
    changes: Option<Vec<CellChange>>,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let mut first_error = None;
    for path in &args.files {
        match check_file(path, args.platform) {
            Ok(GoodDocument::Table(table)) if args.is_review() => {
                report_review(args, path, &table)?;
            }
            Ok(document) => {
                super::print_line(&format!("{}: good {}", path.display(), document.kind()));
            }
            Err(CommandError::Faults { path, faults }) if args.json => {
                super::print_json(&faults);
                first_error.get_or_insert(CommandError::Usage {
                    detail: format!("{}: {} faults", path.display(), faults.0.len()),
                });
            }
            Err(error) if first_error.is_none() => first_error = Some(error),
            Err(error) => eprintln!("tarragonknot: {error}"),
        }
    }
    first_error.map_or(Ok(()), Err)
}

impl Args {
    fn is_review(&self) -> bool {
        self.review || self.against.is_some()
    }
}

/// Prints the warnings about a table and its differences from the other version.
fn report_review(args: &Args, path: &Path, table: &OperatorTable) -> Result<(), CommandError> {
    let changes = match &args.against {
        Some(other) => Some(diff_tables(&read_other(other, args.platform)?, table)),
        None => None,
    };
    let review = TableReview { warnings: review_table(table), changes };
    if args.json {
        super::print_json(&review);
        return Ok(());
    }
    let warnings = review.warnings.len();
    super::print_line(&format!("{}: good table, {warnings} warnings", path.display()));
    review.warnings.iter().for_each(|warning| super::print_line(&warning.to_string()));
    let changes = review.changes.iter().flatten();
    changes.for_each(|change| super::print_line(&change.to_string()));
    Ok(())
}

/// Reads a table to compare with: a table, or a version with the table inside it.
fn read_other(path: &Path, is_platform: bool) -> Result<OperatorTable, CommandError> {
    let text = read_text(path)?;
    let value: Value = serde_json::from_str(&text).unwrap_or_default();
    let table = match (value.get("document").and_then(Value::as_str), value.get("table")) {
        (Some(document), _) => read_platform_table(document),
        (None, Some(table)) => read_table(&table.to_string()),
        (None, None) if is_platform => read_platform_table(&text),
        (None, None) => read_table(&text),
    };
    table.map_err(|faults| CommandError::Faults { path: path.to_owned(), faults })
}

fn read_platform_table(text: &str) -> Result<OperatorTable, FaultList> {
    DocumentReader::default().read(text).map(|(_, table)| table)
}

fn read_text(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|source| CommandError::File { path: path.to_owned(), source })
}

/// A document without faults.
enum GoodDocument {
    Settings,
    Platform,
    Table(Box<OperatorTable>),
}

impl GoodDocument {
    fn kind(&self) -> &'static str {
        match self {
            GoodDocument::Settings => "settings",
            GoodDocument::Platform => "platform list",
            GoodDocument::Table(_) => "table",
        }
    }
}

fn check_file(path: &Path, is_platform: bool) -> Result<GoodDocument, CommandError> {
    let text = read_text(path)?;
    let (kind, read) = match document_kind(&text) {
        DocumentKind::Settings => {
            ("settings", DaemonSettings::read(&text).map(|_| GoodDocument::Settings))
        }
        DocumentKind::Platform => {
            ("platform list", PlatformList::read(&text).map(|_| GoodDocument::Platform))
        }
        DocumentKind::Table => {
            let table = if is_platform { read_platform_table(&text) } else { read_table(&text) };
            ("table", table.map(|table| GoodDocument::Table(Box::new(table))))
        }
    };
    read.map_err(|faults| CommandError::Faults {
        path: path.to_owned(),
        faults: add_kind(faults, kind),
    })
}

enum DocumentKind {
    Settings,
    Table,
    Platform,
}

/// Detects the kind from the top-level members: only settings have `daemon`, `callers` or
/// `control`, and only a platform list has `vms`. Any other document, also one that isn't JSON,
/// counts as a table.
fn document_kind(text: &str) -> DocumentKind {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    let has_any = |names: &[&str]| names.iter().any(|name| value.get(name).is_some());
    match () {
        () if has_any(&["daemon", "callers", "control"]) => DocumentKind::Settings,
        () if has_any(&["vms"]) => DocumentKind::Platform,
        () => DocumentKind::Table,
    }
}

/// Adds the detected kind to faults of the whole document.
fn add_kind(faults: FaultList, kind: &str) -> FaultList {
    let mut faults = faults;
    for fault in &mut faults.0 {
        if fault.path == "/" {
            fault.expected = format!("{} (read as {kind})", fault.expected);
        }
    }
    faults
}
