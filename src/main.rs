//! Command-line entry point; runs the function of the chosen subcommand.

use clap::{Parser, Subcommand};
use std::process::ExitCode;
use tarragonknot::cmd;

/// A request scheduler for unlike upstreams, driven by a table of weights and limits.
#[derive(Debug, Parser)]
#[command(name = "tarragonknot", version, about, after_help = cmd::EXIT_CODES)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Check(cmd::check::Args),
    Completion(cmd::completion::Args),
    DataCentre(cmd::data_centre::Args),
    Demo(cmd::demo::Args),
    Drain(cmd::drain::Args),
    Experiment(cmd::experiment::Args),
    Explain(cmd::explain::Args),
    Load(cmd::load::Args),
    Quarantine(cmd::quarantine::Args),
    Rollout(cmd::rollout::Args),
    Serve(cmd::serve::Args),
    Status(cmd::status::Args),
    Table(cmd::table::Args),
    Voter(cmd::voter::Args),
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Check(args) => cmd::check::run(&args),
        Command::Completion(args) => cmd::completion::run::<Cli>(&args),
        Command::DataCentre(args) => cmd::data_centre::run(&args),
        Command::Demo(args) => cmd::demo::run(&args),
        Command::Drain(args) => cmd::drain::run(&args),
        Command::Experiment(args) => cmd::experiment::run(&args),
        Command::Explain(args) => cmd::explain::run(&args),
        Command::Load(args) => cmd::load::run(&args),
        Command::Quarantine(args) => cmd::quarantine::run(&args),
        Command::Rollout(args) => cmd::rollout::run(&args),
        Command::Serve(args) => cmd::serve::run(&args),
        Command::Status(args) => cmd::status::run(&args),
        Command::Table(args) => cmd::table::run(&args),
        Command::Voter(args) => cmd::voter::run(&args),
    };
    cmd::exit_code(result)
}
