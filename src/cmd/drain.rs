//! `drain`: starts a graceful shutdown of a daemon.

use super::CommandError;
use super::control_target::ControlTarget;
use crate::control::{CallError, ControlApiClient};

const HELP: &str = "\
Starts a graceful shutdown of one daemon, as SIGTERM does. The daemon reports unready at once, accepts
requests until the load balancer has had time to notice, completes all queued and running requests,
returns its shares and exits. No request is aborted. The command returns once the drain has started.";

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
        let (address, client) = args.target.connect_any().await?;
        let call_error = |error: jsonrpsee::core::ClientError| CallError::Failed {
            address,
            detail: error.to_string(),
        };
        client.drain().await.map_err(|error| CommandError::Call { source: call_error(error) })?;
        super::print_line(&format!("{address}: draining"));
        Ok(())
    })
}
