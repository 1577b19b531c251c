//! Assembles a daemon: the control thread, the traffic threads and the background tasks.

mod background;
mod share_report;

use crate::control::{
    AgentSettings, ClaimClient, ClaimClientSettings, ControlHandle, ControlSetup, FleetKey,
    KnownVoters, LeaderHint, OperatorClient, start_agent, start_control, start_server,
};
use crate::evacuation::evacuation_chart;
use crate::platform::{self, ContractFeatures};
use crate::policy::{
    ColdTolerance, LimitTolerance, MechanismSet, RetryBound, request_chart, upstream_chart,
};
use crate::replica::ReplicaConfig;
use crate::settings::{DaemonSettings, LeaseExpiryMode};
use crate::store::StoreError;
use crate::table::DataCentreName;
use crate::traffic::{
    DrainTimes, FrontendHandle, TrafficState, drain_chart, readiness_router, start_exchange,
    start_frontend, start_relay_server, start_voter_exchange, without_frontend,
};
use crate::upstream::connection_chart;
pub use background::start_background_tasks;
use slog::{Logger, info, warn};
use snafu::{ResultExt, Snafu};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Time for which a drained daemon keeps its control thread, so that the leader can reclaim its
/// shares.
const SHARE_RECLAIM_TIME: Duration = Duration::from_millis(600);
/// Maximum further time for which a stopping voter waits for the leader to decide whether the set
/// does without it.
const VOTER_EXIT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Error of starting a daemon.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address could not be bound.
    #[snafu(display("{address}: {source}"))]
    Bind { address: SocketAddr, source: std::io::Error },
    /// The data folder could not be used.
    #[snafu(display("data folder: {source}"))]
    DataFolder { source: StoreError },
    /// A thread or server could not be started, or a state chart is invalid.
    #[snafu(display("cannot start: {detail}"))]
    Component {
        /// Description of the failure.
        detail: String,
    },
}

/// A running daemon.
pub struct RunningDaemon {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Control address, for operators and other daemons.
    pub control: SocketAddr,
    /// State shared by the traffic tasks.
    pub state: Arc<TrafficState>,
    voters: KnownVoters,
    frontend: FrontendHandle,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Arguments of the control thread.
struct ControlStart {
    setup: ControlSetup,
    agent: AgentSettings,
    listener: std::net::TcpListener,
    operators: Option<SocketAddr>,
    data_centres: BTreeSet<DataCentreName>,
    drain: watch::Sender<bool>,
    state: Arc<TrafficState>,
    stop: oneshot::Receiver<()>,
    started: oneshot::Sender<Result<(), StartError>>,
}

/// Starts a daemon on the current multi-threaded runtime. Control state runs on its own thread.
pub async fn start_daemon(
    settings: &DaemonSettings,
    key: FleetKey,
    log: Logger,
    seed: u64,
) -> Result<RunningDaemon, StartError> {
    check_charts()?;
    let bind = |address: SocketAddr| BindSnafu { address };
    let control_listener =
        std::net::TcpListener::bind(settings.control).with_context(|_| bind(settings.control))?;
    control_listener.set_nonblocking(true).with_context(|_| bind(settings.control))?;
    let control = control_listener.local_addr().with_context(|_| bind(settings.control))?;
    let state = TrafficState::new(settings.daemon.clone(), log.clone(), seed);
    if let Some(platform) = &settings.platform {
        let features = ContractFeatures::of(&platform.contracts);
        state.set_interface(platform::interface(features, platform.prefix_reuse));
        if features.shares_organisations {
            state.enable_organisation_shares();
        }
        if features.offers_slots {
            state.enable_slot_offers();
        }
        let now = state.clock.now();
        state.limits().start_empty(now);
    }
    match settings.memory_mb {
        Some(memory) if bounds_memory(settings) => state.memory.set_memory(memory),
        Some(memory) => state.memory.set_answer_memory(memory),
        None => {}
    }
    if settings.organisation_shares {
        state.enable_organisation_shares();
    }
    state.limits().set_tolerance(limit_tolerance(settings));
    state
        .set_retry_bound(RetryBound { ratio: settings.repeat_ratio, slack: settings.repeat_slack });
    state.set_regions(settings.data_centres.clone());
    state.origins.set_seed_voters(voter_addresses(settings, settings.control));
    state.set_cold_tolerance(ColdTolerance {
        overage: settings.cold_overage,
        slack: settings.cold_slack,
    });
    state.set_mechanisms(MechanismSet::without(&settings.mechanisms_off));
    if settings.slot_offers {
        state.enable_slot_offers();
    }
    if settings.when_cut_off == LeaseExpiryMode::Serve {
        state.allow_expired_table();
    }
    let frontend = match settings.callers {
        Some(callers) => {
            let listener = listen(callers).await?;
            let times = DrainTimes {
                balancer_wait: settings.balancer_wait_ms,
                grace: settings.stop_grace_s,
            };
            start_frontend(Arc::clone(&state), listener, times).with_context(|_| bind(callers))?
        }
        None => without_frontend(Arc::clone(&state)),
    };
    if let Some(address) = settings.readiness {
        serve_readiness(&state, listen(address).await?);
    }
    if let Some(address) = settings.metrics {
        serve_metrics(&state, address).await;
    }
    if settings.platform.is_some() && settings.callers.is_some() {
        let socket = tokio::net::UdpSocket::bind(control).await.with_context(|_| bind(control))?;
        let calls_per_second =
            settings.platform.as_ref().and_then(|platform| platform.list_calls_per_second);
        let key: Arc<str> = Arc::from(key.bearer());
        start_exchange(Arc::clone(&state), socket, control, Arc::clone(&key), calls_per_second);
        if let Some(address) = settings.relay {
            state.relay.enable(address, key);
            start_relay_server(Arc::clone(&state), listen(address).await?);
        }
    }
    if settings.platform.is_some() && settings.callers.is_none() {
        let socket = tokio::net::UdpSocket::bind(control).await.with_context(|_| bind(control))?;
        state.origins.watch_versions(founds_fleet(settings));
        start_voter_exchange(Arc::clone(&state), socket, control, Arc::from(key.bearer()));
    }
    let operators = settings.platform.as_ref().and_then(|platform| platform.operators);
    let (stop, stopped) = oneshot::channel();
    let (started, starting) = oneshot::channel();
    let agent = agent_settings(settings, control, &key, seed);
    let voters = agent.voters.clone();
    let start = ControlStart {
        setup: control_setup(settings, control, &key, &state, seed),
        agent,
        listener: control_listener,
        operators,
        data_centres: settings.data_centres.keys().cloned().collect(),
        drain: frontend.drain_sender(),
        state: Arc::clone(&state),
        stop: stopped,
        started,
    };
    let thread = std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || run_control_thread(start));
    let thread = thread.map_err(|error| StartError::Component { detail: error.to_string() })?;
    starting.await.unwrap_or_else(|_| {
        Err(StartError::Component { detail: "the control thread exited during startup".to_owned() })
    })?;
    start_background_tasks(Arc::clone(&state), settings);
    info!(log, "daemon started"; "version" => env!("CARGO_PKG_VERSION"), "boot" => seed, "voter" => settings.data_folder.is_some(), "callers" => frontend.address.to_string(), "control" => control.to_string());
    Ok(RunningDaemon {
        callers: frontend.address,
        control,
        state,
        voters,
        frontend,
        stop: Some(stop),
        thread: Some(thread),
    })
}

/// True if the memory for callers is bounded where the settings give the daemon's memory. A platform
/// states its VMs' memory in every deployment, so there its contracts decide.
fn bounds_memory(settings: &DaemonSettings) -> bool {
    let platform = settings.platform.as_ref();
    platform.is_none_or(|platform| ContractFeatures::of(&platform.contracts).bounds_memory)
}

/// Serves the readiness and metrics endpoints on `listener`.
fn serve_readiness(state: &Arc<TrafficState>, listener: tokio::net::TcpListener) {
    let router = readiness_router(Arc::clone(state));
    tokio::spawn(async move { axum::serve(listener, router).await });
}

/// Serves metrics on a separate address. If it cannot be bound, the daemon starts without it.
async fn serve_metrics(state: &Arc<TrafficState>, address: SocketAddr) {
    match listen(address).await {
        Ok(listener) => serve_readiness(state, listener),
        Err(error) => {
            warn!(state.log, "metrics are not served"; "address" => address.to_string(), "error" => error.to_string());
        }
    }
}

/// Checks that each state chart handles every event, so that a gap prevents the start instead of
/// breaking a request.
fn check_charts() -> Result<(), StartError> {
    let faults = [
        request_chart().faults(),
        upstream_chart().faults(),
        connection_chart().faults(),
        drain_chart().faults(),
        evacuation_chart().faults(),
    ];
    match faults.into_iter().flatten().next() {
        Some(detail) => Err(StartError::Component { detail }),
        None => Ok(()),
    }
}

/// True if this daemon founds the fleet with others now, rather than starts again.
fn founds_fleet(settings: &DaemonSettings) -> bool {
    let is_new = settings.data_folder.as_ref().is_some_and(|folder| !folder.exists());
    settings.found_fleet && !settings.seeds.is_empty() && is_new
}

fn limit_tolerance(settings: &DaemonSettings) -> LimitTolerance {
    LimitTolerance { overage: settings.limit_overage, slack: settings.limit_slack_tokens }
}

fn control_setup(
    settings: &DaemonSettings,
    control: SocketAddr,
    key: &FleetKey,
    state: &Arc<TrafficState>,
    seed: u64,
) -> ControlSetup {
    ControlSetup {
        daemon: settings.daemon.clone(),
        control,
        data_folder: settings.data_folder.clone(),
        peers: settings.known_voters(),
        founders: settings.founders(),
        may_found_fleet: settings.found_fleet && settings.seeds.is_empty(),
        replaces_voters: !settings.seeds.is_empty(),
        key: key.clone(),
        lease: settings.currency_lease_ms,
        rollout_share: settings.rollout_share,
        replica: ReplicaConfig::default(),
        clock: state.clock,
        log: state.log.clone(),
        seed,
    }
}

fn agent_settings(
    settings: &DaemonSettings,
    control: SocketAddr,
    key: &FleetKey,
    seed: u64,
) -> AgentSettings {
    AgentSettings {
        daemon: settings.daemon.clone(),
        boot: seed,
        control,
        voters: KnownVoters::new(voter_addresses(settings, control)),
        key: key.clone(),
        lease: settings.currency_lease_ms,
        serves_callers: settings.callers.is_some(),
        divides_alone: settings.platform.is_some(),
        presumes_members: presumes_members(settings),
    }
}

/// True if the settings or the platform's contracts let this daemon rely on a voter's members.
fn presumes_members(settings: &DaemonSettings) -> bool {
    let contracts = settings.platform.as_ref().map(|platform| &platform.contracts[..]);
    let features = ContractFeatures::of(contracts.unwrap_or_default());
    settings.presumes_members.unwrap_or(features.presumes_members)
}

/// Returns the control addresses to ask for the leader.
fn voter_addresses(settings: &DaemonSettings, control: SocketAddr) -> Vec<SocketAddr> {
    let own = settings.data_folder.as_ref().map(|_| control);
    let others = settings.known_voters().into_iter().map(|peer| peer.control);
    own.into_iter().chain(others).collect()
}

fn run_control_thread(start: ControlStart) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(run_control(start)),
        Err(error) => {
            drop(start.started.send(Err(StartError::Component { detail: error.to_string() })))
        }
    }
}

async fn run_control(start: ControlStart) {
    let ControlStart {
        setup,
        agent,
        listener,
        operators,
        data_centres,
        drain,
        state,
        stop,
        started,
    } = start;
    let key = setup.key.clone();
    let hint = LeaderHint::default();
    let control = match start_control(setup, drain).context(DataFolderSnafu) {
        Ok(control) => control,
        Err(error) => return drop(started.send(Err(error))),
    };
    if let Some(address) = operators
        && let Err(error) = serve_operators(address, control.clone(), data_centres, &state).await
    {
        return drop(started.send(Err(error)));
    }
    let server = match start_server(listener, key.clone(), control.clone(), hint.clone()).await {
        Ok(server) => server,
        Err(error) => {
            return drop(started.send(Err(StartError::Component { detail: error.to_string() })));
        }
    };
    state.set_claims(ClaimClient::start(ClaimClientSettings {
        voters: agent.voters.clone(),
        key,
        hint: hint.clone(),
    }));
    start_agent(agent, state, hint);
    let _ = started.send(Ok(()));
    let _ = stop.await;
    let _ = tokio::time::timeout(VOTER_EXIT_TIMEOUT, control.exit_decided()).await;
    let _ = server.stop();
}

async fn listen(address: SocketAddr) -> Result<tokio::net::TcpListener, StartError> {
    tokio::net::TcpListener::bind(address).await.with_context(|_| BindSnafu { address })
}

/// Serves operator calls through the platform's interface.
async fn serve_operators(
    address: SocketAddr,
    control: ControlHandle,
    data_centres: BTreeSet<DataCentreName>,
    state: &Arc<TrafficState>,
) -> Result<(), StartError> {
    let Some(interface) = state.interface() else { return Ok(()) };
    let listener = listen(address).await?;
    let client = OperatorClient::new(control, Arc::clone(&interface.reader), state.log.clone())
        .with_data_centres(data_centres);
    let router = platform::operators_router(Arc::new(client), address.port());
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(())
}

impl RunningDaemon {
    /// Starts the drain; further calls have no effect.
    pub fn drain(&self) {
        self.frontend.drain();
    }

    /// Applies reloaded settings. Only the seeds and the limit tolerance take effect in a running
    /// daemon.
    pub fn apply_settings(&self, settings: &DaemonSettings) {
        self.voters.set(voter_addresses(settings, self.control));
        self.state.limits().set_tolerance(limit_tolerance(settings));
        info!(self.state.log, "settings in force"; "seeds" => format!("{:?}", settings.seeds));
    }

    /// Returns a sender that starts the drain, for a signal handler.
    pub fn drain_sender(&self) -> watch::Sender<bool> {
        self.frontend.drain_sender()
    }

    /// Resolves once the daemon has drained, whether it was told by [`drain`](Self::drain), a
    /// signal or an operator.
    pub fn ended(&self) -> impl Future<Output = ()> + use<> {
        self.frontend.ended()
    }

    /// Waits until the daemon has drained, then stops it.
    pub async fn stop_when_drained(self) {
        self.ended().await;
        self.stop().await;
    }

    /// Stops a drained daemon.
    pub async fn stop(mut self) {
        self.state.floor_changes.notify_one();
        tokio::time::sleep(SHARE_RECLAIM_TIME).await;
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }
}
