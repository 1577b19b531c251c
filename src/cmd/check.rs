//! `check`: validates settings files, tables and platform lists and reports every fault.

use super::CommandError;
use crate::settings::DaemonSettings;
use crate::table::{FaultList, read_table};
use crate::upstream::PlatformList;
use serde_json::Value;
use std::path::PathBuf;

const HELP: &str = "\
Validates files without applying them: daemon settings, tables and platform lists. The kind of a file is
detected from its members. All faults are printed at once, each with its JSON path, the value found there
and the expected value. Unknown members are faults.";

/// Validate settings files, tables and platform lists.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    /// Files to check.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Print the faults as JSON.
    #[arg(long)]
    json: bool,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let mut first_error = None;
    for path in &args.files {
        match check_file(path) {
            Ok(kind) => super::print_line(&format!("{}: good {kind}", path.display())),
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

fn check_file(path: &PathBuf) -> Result<&'static str, CommandError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| CommandError::File { path: path.clone(), source })?;
    let (kind, faults) = match document_kind(&text) {
        DocumentKind::Settings => ("settings", DaemonSettings::read(&text).err()),
        DocumentKind::Platform => ("platform list", PlatformList::read(&text).err()),
        DocumentKind::Table => ("table", read_table(&text).err()),
    };
    match faults {
        None => Ok(kind),
        Some(faults) => {
            Err(CommandError::Faults { path: path.clone(), faults: add_kind(faults, kind) })
        }
    }
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
