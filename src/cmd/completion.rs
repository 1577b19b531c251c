//! `completion`: prints a completion script for a shell.

use super::CommandError;
use clap::CommandFactory;
use clap_complete::Shell;

const HELP: &str = "\
Prints a completion script. For bash: tarragonknot completion bash > ~/.local/share/bash-completion/completions/tarragonknot";

/// Print a shell completion script.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    /// The shell.
    shell: Shell,
}

/// Runs the command for the command line `C`.
pub fn run<C: CommandFactory>(args: &Args) -> Result<(), CommandError> {
    let mut script = Vec::new();
    clap_complete::generate(args.shell, &mut C::command(), "tarragonknot", &mut script);
    super::print_out(&String::from_utf8_lossy(&script));
    Ok(())
}
