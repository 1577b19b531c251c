//! `quarantine`: lists quarantined requests and releases them.

use super::CommandError;
use super::control_target::ControlTarget;
use crate::control::{ControlApiClient, QuarantineRow};
use crate::quarantine::RequestFingerprint;
use clap::Subcommand;
use comfy_table::{Table, presets};
use std::time::Duration;

const HELP: &str = "\
A request that has crashed three upstreams is quarantined on every daemon: it is refused with kind `quarantined` and not
sent to any upstream. The same holds for all requests of a service that share a part of their prompts under which five
upstreams crashed. The fingerprint of a content identifies the organisation, method, host, path and body, that of a part the
service and the part; both also appear in the log messages `sent`, `lost with its upstream`, `request quarantined` and
`held back`. The quarantine expires after ten minutes;
each further crash doubles this time, up to one day. After it has expired, one more crash quarantines it again.
`release` ends the quarantine at once and clears the crash history.

  tarragonknot quarantine list --control 10.0.0.4:7600 --fleet-key-file key
  tarragonknot quarantine release 07e231c685114121 --control 10.0.0.4:7600 --fleet-key-file key";

/// List or release quarantined requests and prompt parts.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// List quarantined requests.
    List(ListArgs),
    /// Release a request on every daemon.
    Release(ReleaseArgs),
}

#[derive(Debug, clap::Args)]
struct ListArgs {
    #[command(flatten)]
    target: ControlTarget,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, clap::Args)]
struct ReleaseArgs {
    /// Fingerprint of the content or part: 16 hexadecimal digits.
    fingerprint: RequestFingerprint,
    #[command(flatten)]
    list: ListArgs,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let (rows, json) = match &args.action {
        Action::List(list) => {
            let rows = super::block_on(
                list.target.call_leader(|client| async move { client.quarantine().await }),
            )?;
            (rows, list.json)
        }
        Action::Release(ReleaseArgs { fingerprint, list }) => {
            let request = *fingerprint;
            let rows = super::block_on(
                list.target.call_leader(|client| async move { client.release(request).await }),
            )?;
            (rows, list.json)
        }
    };
    print_rows(&rows, json);
    Ok(())
}

fn print_rows(rows: &[QuarantineRow], json: bool) {
    if json {
        return super::print_json(&rows);
    }
    let mut grid = Table::new();
    grid.load_preset(presets::UTF8_HORIZONTAL_ONLY);
    grid.set_header(["fingerprint", "kind", "upstreams ended", "last ended", "let through in"]);
    for row in rows {
        let ended = format!("{} ago", format_seconds(row.last_ended_ms));
        let remaining = format_seconds(row.held_for_ms);
        let (fingerprint, kind) = (row.fingerprint.clone(), row.kind.clone());
        grid.add_row([fingerprint, kind, row.upstreams_ended.to_string(), ended, remaining]);
    }
    super::print_line(&grid.to_string());
}

fn format_seconds(millis: u64) -> String {
    format!("{:?}", Duration::from_secs(millis / 1_000))
}
