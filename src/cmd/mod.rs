//! Subcommands of the command line, one file each, with its help text, `Args` and `run`.

pub mod check;
pub mod completion;
mod control_target;
pub mod data_centre;
pub mod demo;
pub mod drain;
pub mod experiment;
pub mod explain;
pub mod load;
pub mod quarantine;
pub mod rollout;
pub mod serve;
pub mod status;
pub mod table;
pub mod voter;

use crate::control::CallError;
use crate::daemon::StartError;
use crate::table::FaultList;
use snafu::Snafu;
use std::path::PathBuf;
use std::process::ExitCode;

/// Help text that lists the exit codes.
pub const EXIT_CODES: &str = "Exit codes: 0 success; 1 failure; 2 invalid input or usage; 3 conflict with another change; \
4 no leader or daemon could be reached, and the outcome may be unknown.";

/// The error of a failed command; determines the exit code.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// A file could not be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A document is invalid.
    #[snafu(display("{}:\n{faults}", path.display()))]
    Faults {
        /// The path of the document.
        path: PathBuf,
        /// All faults found in the document.
        faults: FaultList,
    },
    /// The arguments are invalid or contradict each other.
    #[snafu(display("{detail}"))]
    Usage {
        /// Description of the error.
        detail: String,
    },
    /// The change conflicts with another one, such as an edit that is based on an older table
    /// version.
    #[snafu(display("{detail}"))]
    Conflict {
        /// The change that took precedence and, for a table edit, the differences.
        detail: String,
    },
    /// No daemon or leader answered.
    #[snafu(display("{source}"))]
    Call {
        /// The error of the last call.
        source: CallError,
    },
    /// A daemon could not start.
    #[snafu(display("{source}"))]
    Start {
        /// The start-up error.
        source: StartError,
    },
    /// Any other failure.
    #[snafu(display("{detail}"))]
    Failed {
        /// Description of the error.
        detail: String,
    },
}

impl CommandError {
    fn code(&self) -> u8 {
        match self {
            CommandError::Start { .. } | CommandError::Failed { .. } => 1,
            CommandError::File { .. }
            | CommandError::Faults { .. }
            | CommandError::Usage { .. } => 2,
            CommandError::Conflict { .. } => 3,
            CommandError::Call { .. } => 4,
        }
    }
}

/// Prints the error, if any, to standard error and returns the exit code.
pub fn exit_code(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tarragonknot: {error}");
            ExitCode::from(error.code())
        }
    }
}

/// Runs a future to completion on a single-threaded runtime.
fn block_on<T>(future: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| CommandError::Failed { detail: error.to_string() })?.block_on(future)
}

/// Prints a line to standard output. Write errors are ignored, so a closed pipe is not an error.
fn print_line(text: &str) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints a value as indented JSON.
fn print_json<T: serde::Serialize>(value: &T) {
    print_line(&serde_json::to_string_pretty(value).unwrap_or_default());
}
