//! One file for each subcommand: its help text, its `Args`, its `run`.

pub mod check;
pub mod completion;
pub mod demo;
pub mod drain;
pub mod experiment;
pub mod explain;
pub mod load;
mod operator;
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

/// What the exit codes mean.
pub const EXIT_CODES: &str = "Exit codes: 0 done; 1 failed; 2 bad input or usage; 3 the edit lost to another one; \
4 no leader or daemon could be reached, the outcome may be unknown.";

/// Why a command did not succeed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// A file could not be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The error.
        source: std::io::Error,
    },
    /// A document has faults.
    #[snafu(display("{}:\n{faults}", path.display()))]
    Faults {
        /// The document.
        path: PathBuf,
        /// Every fault.
        faults: FaultList,
    },
    /// The command line asks for something impossible.
    #[snafu(display("{detail}"))]
    Usage {
        /// What.
        detail: String,
    },
    /// The edit was made from a version no longer in force.
    #[snafu(display("{detail}"))]
    Conflict {
        /// The winner, and the difference.
        detail: String,
    },
    /// No daemon or leader answered.
    #[snafu(display("{source}"))]
    Call {
        /// Why.
        source: CallError,
    },
    /// A daemon could not start.
    #[snafu(display("{source}"))]
    Start {
        /// Why.
        source: StartError,
    },
    /// Something else failed.
    #[snafu(display("{detail}"))]
    Failed {
        /// What.
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

/// Prints an error and gives its exit code.
pub fn exit_code(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tarragonknot: {error}");
            ExitCode::from(error.code())
        }
    }
}

/// Runs a command's asynchronous part on a small runtime.
fn block_on<T>(work: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| CommandError::Failed { detail: error.to_string() })?.block_on(work)
}

/// Prints to standard output; a closed pipe is not an error.
fn print_out(text: &str) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Prints a value as indented JSON.
fn print_json<T: serde::Serialize>(value: &T) {
    print_out(&serde_json::to_string_pretty(value).unwrap_or_default());
}
