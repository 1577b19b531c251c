//! `drain`: asks a daemon to finish its work and end.

use super::CommandError;
use super::operator::ControlTarget;
use crate::control::{CallError, ControlApiClient};

const HELP: &str = "\
Begins the drain of one daemon, as SIGTERM does: it turns unready at once, keeps accepting until the
balancer has had time to notice, finishes what waits and runs, hands back its shares, and ends. Nothing
is cut short. The command returns once the drain has begun.";

/// Drain one daemon.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    #[command(flatten)]
    target: ControlTarget,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    super::block_on(async {
        let (address, client) = args.target.any().await?;
        let failed = |error: jsonrpsee::core::ClientError| CallError::Failed {
            address,
            detail: error.to_string(),
        };
        client.drain().await.map_err(|error| CommandError::Call { source: failed(error) })?;
        super::print_out(&format!("{address}: draining"));
        Ok(())
    })
}
