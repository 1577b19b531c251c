//! `serve`: runs one daemon.

use super::CommandError;
use crate::control::FleetKey;
use crate::daemon::start_daemon;
use crate::report::{install_metrics, json_logger};
use crate::settings::DaemonSettings;
use clap::ValueEnum;
use rand::RngCore;
use slog::{Level, Logger, info};
use std::path::PathBuf;
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
Runs one daemon until it is drained by SIGTERM, SIGINT or `tarragonknot drain`. Logs go to standard
error as JSON lines. A second signal changes nothing: it must not cut answers short.";

/// How much is logged.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogLevel {
    Error,
    Warn,
    Info,
    Debug,
}

/// Run one daemon.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    /// The settings file; see `check`.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Log records of this level and above.
    #[arg(long, value_enum, default_value = "info")]
    log_level: LogLevel,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let path = &args.settings;
    let text = std::fs::read_to_string(path)
        .map_err(|source| CommandError::File { path: path.clone(), source })?;
    let settings = DaemonSettings::read(&text)
        .map_err(|faults| CommandError::Faults { path: path.clone(), faults })?;
    let key = match &settings.fleet_key_file {
        Some(path) => FleetKey::read(path)
            .map_err(|source| CommandError::File { path: path.clone(), source })?,
        None => FleetKey::open(),
    };
    let log = json_logger(std::io::stderr(), args.log_level.into(), settings.daemon.as_str());
    install_metrics();
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.enable_all().thread_name("traffic");
    if let Some(threads) = settings.traffic_threads {
        builder.worker_threads(threads);
    }
    let runtime =
        builder.build().map_err(|error| CommandError::Failed { detail: error.to_string() })?;
    runtime.block_on(serve(&settings, key, log))
}

async fn serve(settings: &DaemonSettings, key: FleetKey, log: Logger) -> Result<(), CommandError> {
    let seed = rand::rng().next_u64();
    let daemon = start_daemon(settings, key, log.clone(), seed)
        .await
        .map_err(|source| CommandError::Start { source })?;
    let failed = |error: std::io::Error| CommandError::Failed { detail: error.to_string() };
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let drain = daemon.drain_sender();
    let listener = tokio::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            info!(log, "signal: draining");
            drain.send_replace(true);
        }
    });
    daemon.finished().await;
    listener.abort();
    Ok(())
}

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Level {
        match level {
            LogLevel::Error => Level::Error,
            LogLevel::Warn => Level::Warning,
            LogLevel::Info => Level::Info,
            LogLevel::Debug => Level::Debug,
        }
    }
}
