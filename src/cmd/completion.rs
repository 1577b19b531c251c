//! `completion`: prints a shell completion script.

use super::CommandError;
use clap::CommandFactory;
use clap_complete::Shell;

const HELP: &str = "\
Prints a shell completion script. For bash: tarragonknot completion bash > ~/.local/share/bash-completion/completions/tarragonknot";

/// Print a shell completion script.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    /// Shell to generate the script for.
    shell: Shell,
}

/// Runs the command; `C` is the command-line parser that the script completes.
pub fn run<C: CommandFactory>(args: &Args) -> Result<(), CommandError> {
    let mut script = Vec::new();
    clap_complete::generate(args.shell, &mut C::command(), "tarragonknot", &mut script);
    super::print_line(&String::from_utf8_lossy(&script));
    Ok(())
}
