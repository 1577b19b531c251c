//! `load`: load test of one daemon with stand-in upstreams.

use super::CommandError;
use crate::control::FleetKey;
use crate::daemon::{RunningDaemon, start_daemon};
use crate::load::{
    CallResult, LoadCaller, LoadProfile, LoadSummary, PlannedRequest, PolicyChoice, ProfileKind,
};
use crate::policy::CapacityClass;
use crate::report::{install_metrics, json_logger};
use crate::settings::DaemonSettings;
use crate::standin::{
    EngineStandin, PlainShape, PlainStandin, PrefillLedger, start_engine, start_plain,
};
use crate::table::OperatorTable;
use serde::Serialize;
use slog::{Discard, Level, Logger, o};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

const HELP: &str = "\
Starts stand-in engines and services on loopback and one daemon with an embedded voter that forwards to
them, then sends requests in an open loop: arrivals do not wait for answers. Every chunk of every answer
is checked. The command exits when the run is complete. With --times, the rate is a multiple of the
maximum throughput of the engines according to their own model.";

/// Minimum age of the load reports that the stand-in engines send.
const REPORT_DELAY: Duration = Duration::from_millis(200);
/// Maximum time for a daemon to elect a leader or to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Run a load test with a firm's requests and summarise the answers.
#[derive(Debug, clap::Args)]
#[command(long_about = HELP)]
pub struct Args {
    /// Load profile.
    #[arg(long, value_enum)]
    profile: ProfileKind,
    /// Requests per second.
    #[arg(long, conflicts_with = "times")]
    rate: Option<f64>,
    /// Request rate as a multiple of the engines' capacity.
    #[arg(long)]
    times: Option<f64>,
    /// Duration of the arrivals in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Random seed of the requests.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Scheduling policy of the daemon; may be a baseline.
    #[arg(long, value_enum, default_value = "weighted")]
    policy: PolicyChoice,
    /// Print JSON.
    #[arg(long)]
    json: bool,
    /// Measure the latency that the daemon adds: send look-ups at --rate both directly to a
    /// stand-in service and through the daemon, at the same time.
    #[arg(long, requires = "rate")]
    overhead: bool,
    /// Write the daemon's log to standard error.
    #[arg(long)]
    log: bool,
}

/// Runs the command.
pub fn run(args: &Args) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|error| CommandError::Failed { detail: error.to_string() })?;
    if args.overhead {
        let added = runtime.block_on(measure_overhead(args))?;
        match args.json {
            true => super::print_json(&added),
            false => super::print_line(&added.grid()),
        }
        return Ok(());
    }
    let summary = runtime.block_on(run_load(args))?;
    match args.json {
        true => super::print_json(&summary),
        false => super::print_line(&summary.grid()),
    }
    match summary.violated_guarantees() {
        0 => Ok(()),
        broken => Err(CommandError::Failed {
            detail: format!("{broken} violations of delivery or shedding guarantees"),
        }),
    }
}

async fn run_load(args: &Args) -> Result<LoadSummary, CommandError> {
    let profile = Arc::new(LoadProfile::new(args.profile));
    let log = if args.log {
        json_logger(std::io::stderr(), Level::Info, "load")
    } else {
        Logger::root(Discard, o!())
    };
    let testbed = LoadTestbed::start(&profile, args.policy, log).await?;
    let rate = args.rate.unwrap_or_else(|| profile.capacity() * args.times.unwrap_or(0.5));
    let plan = profile.plan(rate, Duration::from_secs(args.seconds), args.seed);
    if !args.json {
        super::print_line(&format!(
            "{} requests at {rate:.0}/s, capacity {:.0}/s",
            plan.len(),
            profile.capacity()
        ));
    }
    let results = send_plan(&profile, plan, testbed.daemon.callers, args.seed).await;
    let mut summary = LoadSummary::of(&profile, &results);
    summary.prefill_tokens = testbed.ledger.computed_tokens();
    summary.wasted_tokens = testbed.ledger.wasted_tokens();
    summary.max_dispatches = testbed.most_dispatches();
    summary.shed_order_violations =
        testbed.daemon.state.pools().values().map(|pool| pool.shed_order_violations()).sum();
    testbed.stop().await;
    Ok(summary)
}

/// Latency percentiles (p50, p95, p99) without and with the daemon, in milliseconds.
#[derive(Debug, Serialize)]
struct AddedLatency {
    requests: usize,
    direct_ms: [f64; 3],
    through_ms: [f64; 3],
}

impl AddedLatency {
    fn grid(&self) -> String {
        let line = |name: &str, ms: [f64; 3]| {
            format!("{name:<10} p50 {:.3} ms  p95 {:.3} ms  p99 {:.3} ms", ms[0], ms[1], ms[2])
        };
        let added = [0, 1, 2].map(|idx| self.through_ms[idx] - self.direct_ms[idx]);
        let lines = [
            line("direct", self.direct_ms),
            line("through", self.through_ms),
            line("added", added),
        ];
        format!("{} requests each way\n{}", self.requests, lines.join("\n"))
    }
}

/// Sends the same look-ups directly and through the daemon, at the same time, so that both are
/// subject to the same noise.
async fn measure_overhead(args: &Args) -> Result<AddedLatency, CommandError> {
    let mut profile = LoadProfile::new(args.profile);
    profile.classes.retain(|class| class.tier == "lookup");
    profile.classes.iter_mut().for_each(|class| class.share = 1.0);
    let profile = Arc::new(profile);
    let testbed = LoadTestbed::start(&profile, args.policy, Logger::root(Discard, o!())).await?;
    let plan =
        profile.plan(args.rate.unwrap_or(1_000.0), Duration::from_secs(args.seconds), args.seed);
    let service_address = testbed.services.first().map(|service| service.address);
    let service_address = service_address
        .ok_or_else(|| CommandError::Failed { detail: "no stand-in service".to_owned() })?;
    let (through, direct) = tokio::join!(
        send_plan(&profile, plan.clone(), testbed.daemon.callers, args.seed),
        send_plan(&profile, plan.clone(), service_address, args.seed)
    );
    testbed.stop().await;
    let (through, direct) =
        (LoadSummary::of(&profile, &through), LoadSummary::of(&profile, &direct));
    let is_complete =
        |summary: &LoadSummary| summary.tiers.iter().all(|tier| tier.good == tier.offered);
    if !is_complete(&through) || !is_complete(&direct) {
        return Err(CommandError::Failed {
            detail: format!(
                "some look-ups were not answered correctly and in time:\n{}\n{}",
                through.grid(),
                direct.grid()
            ),
        });
    }
    let times =
        |summary: &LoadSummary| summary.tiers.first().map_or([0.0; 3], |tier| tier.total_ms);
    Ok(AddedLatency {
        requests: plan.len(),
        direct_ms: times(&direct),
        through_ms: times(&through),
    })
}

/// Sends every planned request at its arrival time and waits for all answers.
pub(super) async fn send_plan(
    profile: &Arc<LoadProfile>,
    plan: Vec<PlannedRequest>,
    address: SocketAddr,
    seed: u64,
) -> Vec<(PlannedRequest, CallResult)> {
    let caller = LoadCaller::new(address);
    let start = tokio::time::Instant::now() + Duration::from_millis(50);
    let mut calls = Vec::with_capacity(plan.len());
    for planned in plan {
        tokio::time::sleep_until(start + planned.at).await;
        let profile = Arc::clone(profile);
        let caller = caller.clone();
        calls.push(tokio::spawn(async move {
            let result = caller.call(&profile, &planned, seed).await;
            (planned, result)
        }));
    }
    let mut results = Vec::with_capacity(calls.len());
    for call in calls {
        results.extend(call.await.ok());
    }
    results
}

/// One daemon and its stand-in upstreams.
pub(super) struct LoadTestbed {
    pub(super) daemon: RunningDaemon,
    pub(super) ledger: Arc<PrefillLedger>,
    pub(super) engines: Vec<Arc<EngineStandin>>,
    pub(super) services: Vec<Arc<PlainStandin>>,
    _folder: tempfile::TempDir,
}

impl LoadTestbed {
    /// Starts the stand-ins and the daemon, applies the profile's table and waits until the daemon
    /// is ready.
    pub(super) async fn start(
        profile: &LoadProfile,
        policy: PolicyChoice,
        log: Logger,
    ) -> Result<Self, CommandError> {
        let failed = |error: std::io::Error| CommandError::Failed { detail: error.to_string() };
        install_metrics();
        let ledger = Arc::new(PrefillLedger::default());
        let mut engines = Vec::new();
        for _ in 0..profile.engines {
            engines.push(
                start_engine(profile.shape, Arc::clone(&ledger), REPORT_DELAY)
                    .await
                    .map_err(failed)?,
            );
        }
        let mut services = Vec::new();
        for _ in 0..profile.plain_instances {
            services.push(start_plain(PlainShape::default()).await.map_err(failed)?);
        }
        let folder = tempfile::tempdir().map_err(failed)?;
        let settings = single_daemon_settings(folder.path())?;
        let key = FleetKey::from_text("load");
        let daemon = start_daemon(&settings, key.clone(), log, 1)
            .await
            .map_err(|source| CommandError::Start { source })?;
        let engine_addresses: Vec<SocketAddr> =
            engines.iter().map(|engine| engine.address).collect();
        let service_addresses: Vec<SocketAddr> =
            services.iter().map(|service| service.address).collect();
        let table = profile.table(&engine_addresses, &service_addresses, policy);
        apply_first_table(daemon.control, &key, table).await?;
        wait_ready(&daemon).await?;
        Ok(LoadTestbed { daemon, ledger, engines, services, _folder: folder })
    }

    /// The maximum number of dispatches of any request.
    pub(super) fn most_dispatches(&self) -> u32 {
        let engines = self.engines.iter().flat_map(|engine| engine.dispatches().into_values());
        let services = self.services.iter().flat_map(|service| service.runs().into_values());
        engines.chain(services).max().unwrap_or(0)
    }

    /// Drains the daemon and stops it.
    pub(super) async fn stop(self) {
        self.daemon.drain();
        self.daemon.stop_when_drained().await;
    }
}

fn single_daemon_settings(folder: &Path) -> Result<DaemonSettings, CommandError> {
    let text = serde_json::json!({
        "daemon": "entry-1",
        "data_centre": "hall-a",
        "callers": "127.0.0.1:0",
        "control": "127.0.0.1:0",
        "data_folder": folder.join("data"),
        "fleet_key_file": folder.join("key"),
        "found_fleet": true,
        "balancer_wait_ms": 0,
    });
    DaemonSettings::read(&text.to_string())
        .map_err(|faults| CommandError::Failed { detail: faults.to_string() })
}

/// Applies the first table of a new fleet, retrying until a leader is elected.
pub(super) async fn apply_first_table(
    control: SocketAddr,
    key: &FleetKey,
    table: OperatorTable,
) -> Result<(), CommandError> {
    use crate::control::{ControlApiClient, EditOutcome, LeaderAnswer, TableEdit, connect};
    let deadline = Instant::now() + READY_TIMEOUT;
    let empty = crate::table::VersionedTable::new(0, OperatorTable::default());
    let edit = TableEdit {
        edit_id: "first".to_owned(),
        operator: "load".to_owned(),
        at: 0,
        base_version: 0,
        base_hash: empty.hash,
        table,
    };
    while Instant::now() < deadline {
        if let Ok(client) = connect(control, key).await
            && let Ok(LeaderAnswer::Done(answer)) = client.apply(edit.clone(), true).await
        {
            return match answer.outcome {
                EditOutcome::Accepted(_) => Ok(()),
                EditOutcome::Conflict(_) => {
                    Err(CommandError::Failed { detail: "the fleet already has a table".to_owned() })
                }
            };
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Err(CommandError::Failed { detail: format!("no leader elected within {READY_TIMEOUT:?}") })
}

/// Waits until a daemon is ready and every pool has an upstream that may be given work.
pub(super) async fn wait_ready(daemon: &RunningDaemon) -> Result<(), CommandError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        let has_share = daemon.state.pools().values().all(|pool| {
            pool.inspect(|scheduler| !scheduler.upstreams().open(CapacityClass::Regular).is_empty())
        });
        if daemon.state.is_ready() && has_share {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Err(CommandError::Failed { detail: format!("daemon not ready within {READY_TIMEOUT:?}") })
}
