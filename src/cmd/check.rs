//! `check`: reads a settings file, a table or a platform list and reports every fault.

use super::CommandError;
use crate::settings::DaemonSettings;
use crate::table::{FaultList, read_table};
use crate::upstream::PlatformList;
use serde_json::Value;
use std::path::PathBuf;

const HELP: &str = "\
Checks a file without using it: the settings of a daemon, a table, or a platform list. The kind is told
by the file's members. Every fault is printed at once, each with its JSON path, the value found there
and what was expected. Unknown members are faults.";

/// Check a settings file, a table or a platform list.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    /// The files.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Print faults as JSON.
    #[arg(long)]
    json: bool,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let mut first = None;
    for path in &args.files {
        match check_file(path) {
            Ok(kind) => super::print_out(&format!("{}: good {kind}", path.display())),
            Err(CommandError::Faults { path, faults }) if args.json => {
                super::print_json(&faults);
                first.get_or_insert(CommandError::Usage {
                    detail: format!("{}: {} faults", path.display(), faults.0.len()),
                });
            }
            Err(error) if first.is_none() => first = Some(error),
            Err(error) => eprintln!("tarragonknot: {error}"),
        }
    }
    first.map_or(Ok(()), Err)
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
            Err(CommandError::Faults { path: path.clone(), faults: with_kind(faults, kind) })
        }
    }
}

enum DocumentKind {
    Settings,
    Table,
    Platform,
}

/// A settings file names a daemon, a platform list names VMs; anything else is held to be a table.
fn document_kind(text: &str) -> DocumentKind {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    let has = |names: &[&str]| names.iter().any(|name| value.get(name).is_some());
    match () {
        () if has(&["daemon", "callers", "control"]) => DocumentKind::Settings,
        () if has(&["vms"]) => DocumentKind::Platform,
        () => DocumentKind::Table,
    }
}

fn with_kind(faults: FaultList, kind: &str) -> FaultList {
    let mut faults = faults;
    for fault in &mut faults.0 {
        if fault.path == "/" {
            fault.expected = format!("{} (read as {kind})", fault.expected);
        }
    }
    faults
}
