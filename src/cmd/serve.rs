//! `serve`: runs one daemon.

use super::CommandError;
use crate::control::FleetKey;
use crate::daemon::{RunningDaemon, start_daemon};
use crate::report::{guarded_json_logger, install_metrics, log_panics};
use crate::settings::DaemonSettings;
use clap::ValueEnum;
use rand::RngCore;
use slog::{Level, Logger, info, warn};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Longest time for which the end of the process waits for blocking calls.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);
/// Polling interval of the settings file.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

const HELP: &str = "\
Runs one daemon until it is drained by SIGTERM, SIGINT or `tarragonknot drain`. A second signal has no
effect, as it must not cut answers short. Logs are written to standard output as JSON lines; records that
it cannot take fast enough are dropped and counted, as the daemon never waits for them. The settings are
reloaded on SIGHUP and when the file changes: seeds and tolerances take effect at once, addresses at the
next start.";

/// Minimum level of logged records.
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
    /// Settings file; `check` validates it.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Minimum level of the records to log.
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
        None => FleetKey::unprotected(),
    };
    let level = args.log_level.into();
    let (log, guard) = guarded_json_logger(std::io::stdout(), level, settings.daemon.as_str());
    log_panics(log.clone());
    install_metrics();
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.enable_all().thread_name("traffic");
    if let Some(threads) = settings.traffic_threads {
        builder.worker_threads(threads);
    }
    let runtime =
        builder.build().map_err(|error| CommandError::Failed { detail: error.to_string() })?;
    let result = runtime.block_on(serve(path, settings, key, log.clone()));
    // A blocking call that hangs must not keep the process.
    runtime.shutdown_timeout(STOP_TIMEOUT);
    info!(log, "stopped"; "complete" => result.is_ok());
    drop(guard);
    result
}

async fn serve(
    path: &Path,
    settings: DaemonSettings,
    key: FleetKey,
    log: Logger,
) -> Result<(), CommandError> {
    // Before the daemon starts: a signal without a handler ends the process.
    let failed = |error: std::io::Error| CommandError::Failed { detail: error.to_string() };
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(failed)?;
    let seed = rand::rng().next_u64();
    let daemon = start_daemon(&settings, key, log.clone(), seed)
        .await
        .map_err(|source| CommandError::Start { source })?;
    let mut ended = Box::pin(daemon.ended());
    let mut reloader = SettingsReloader { path: path.to_owned(), settings, log: log.clone() };
    loop {
        tokio::select! {
            () = &mut ended => break,
            _ = terminate.recv() => daemon.drain(),
            _ = interrupt.recv() => daemon.drain(),
            _ = hangup.recv() => reloader.reload(&daemon, true),
            // Detects changes of the file that come without a SIGHUP.
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => reloader.reload(&daemon, false),
        }
    }
    drop(ended);
    daemon.stop().await;
    Ok(())
}

/// Reloads the settings file and applies changes.
struct SettingsReloader {
    path: PathBuf,
    settings: DaemonSettings,
    log: Logger,
}

impl SettingsReloader {
    /// Keeps the previous settings if the file cannot be read or is invalid, as a bad file must not
    /// stop a running daemon.
    fn reload(&mut self, daemon: &RunningDaemon, is_requested: bool) {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                return warn!(self.log, "settings not readable; keeping the previous settings"; "error" => error.to_string());
            }
        };
        match DaemonSettings::read(&text) {
            Ok(settings) if settings == self.settings && !is_requested => {}
            Ok(settings) => {
                info!(self.log, "settings read again"; "changed" => settings != self.settings, "by_signal" => is_requested);
                daemon.apply_settings(&settings);
                self.settings = settings;
            }
            Err(faults) => {
                warn!(self.log, "settings have faults; keeping the previous settings"; "faults" => faults.to_string());
            }
        }
    }
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
