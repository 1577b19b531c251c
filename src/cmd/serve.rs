//! `serve`: runs one daemon.

use super::CommandError;
use crate::control::FleetKey;
use crate::daemon::{RunningDaemon, start_daemon};
use crate::report::{install_metrics, json_logger};
use crate::settings::DaemonSettings;
use clap::ValueEnum;
use rand::RngCore;
use slog::{Level, Logger, info, warn};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// How often the settings file is looked at.
const SETTINGS_PAUSE: Duration = Duration::from_secs(2);

const HELP: &str = "\
Runs one daemon until it is drained by SIGTERM, SIGINT or `tarragonknot drain`. Logs go to standard
output as JSON lines; what is too much for it is dropped and counted, never waited for. A second signal changes nothing: it must not cut answers short. SIGHUP, or a change of the
file, has the settings read again: seeds and tolerances take effect at once, addresses at the next start.";

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
        None => FleetKey::unprotected(),
    };
    let log = json_logger(std::io::stdout(), args.log_level.into(), settings.daemon.as_str());
    install_metrics();
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.enable_all().thread_name("traffic");
    if let Some(threads) = settings.traffic_threads {
        builder.worker_threads(threads);
    }
    let runtime =
        builder.build().map_err(|error| CommandError::Failed { detail: error.to_string() })?;
    runtime.block_on(serve(path, settings, key, log))
}

async fn serve(
    path: &Path,
    settings: DaemonSettings,
    key: FleetKey,
    log: Logger,
) -> Result<(), CommandError> {
    let seed = rand::rng().next_u64();
    let daemon = start_daemon(&settings, key, log.clone(), seed)
        .await
        .map_err(|source| CommandError::Start { source })?;
    let failed = |error: std::io::Error| CommandError::Failed { detail: error.to_string() };
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(failed)?;
    let mut ended = Box::pin(daemon.ended());
    let mut reloader = SettingsReloader { path: path.to_owned(), settings, log: log.clone() };
    loop {
        tokio::select! {
            () = &mut ended => break,
            _ = terminate.recv() => daemon.drain(),
            _ = interrupt.recv() => daemon.drain(),
            _ = hangup.recv() => reloader.reload(&daemon, true),
            // The file may also change without a signal.
            () = tokio::time::sleep(SETTINGS_PAUSE) => reloader.reload(&daemon, false),
        }
    }
    drop(ended);
    daemon.stop().await;
    Ok(())
}

/// Reads the settings again.
struct SettingsReloader {
    path: PathBuf,
    settings: DaemonSettings,
    log: Logger,
}

impl SettingsReloader {
    /// Settings that cannot be read leave the last ones in force: a daemon must not end because of a file.
    fn reload(&mut self, daemon: &RunningDaemon, was_asked: bool) {
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) => text,
            Err(error) => {
                return warn!(self.log, "settings not read"; "error" => error.to_string());
            }
        };
        match DaemonSettings::read(&text) {
            Ok(settings) if settings == self.settings && !was_asked => {}
            Ok(settings) => {
                info!(self.log, "settings read again"; "changed" => settings != self.settings, "by_signal" => was_asked);
                daemon.apply_settings(&settings);
                self.settings = settings;
            }
            Err(faults) => {
                warn!(self.log, "settings have faults; the last ones stay"; "faults" => faults.to_string());
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
