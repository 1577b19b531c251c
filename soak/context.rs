//! State shared by all parts of one run: addresses, the record of requests and violations, and the
//! processes.

use crate::SoakArgs;
use crate::cuts::CutRecord;
use crate::faults::FaultSettings;
use crate::fleet::FleetProcesses;
use crate::losses::LossRecord;
use crate::poison::PoisonExecutions;
use crate::proxy::ProxyModes;
use crate::stated_rates::StatedRates;
use crate::streams::{ReleaseState, StreamRecord};
use crate::tables::{self, TableRecord};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Ports, which are the same on all addresses; each process has its own address in 127.0.0.0/8.
pub const CALLERS_PORT: u16 = 18_221;
pub const READY_PORT: u16 = 18_224;
pub const LIST_PORT: u16 = 18_225;
pub const OPERATORS_PORT: u16 = 18_229;
pub const CONTROL_PORT: u16 = 17_600;
pub const RELAY_PORT: u16 = 17_615;
pub const ENGINE_PORT: u16 = 18_080;
/// Idle routes in the configurations of every second seed, some 90 KB.
const LARGE_TABLE_ROUTES: usize = 350;
/// Timeout of routes while releases are played. Entries rely on the only version that they list once
/// they have watched for twice as long, which a short run reaches before its first release.
const RELEASE_TIMEOUT_MS: u64 = 1_500;
/// Maximum number of violations that are printed for one run.
const MAX_PRINTED_VIOLATIONS: usize = 12;

/// Number of each kind of participant.
#[derive(Clone, Copy, Debug)]
pub struct FleetSizes {
    pub entries: usize,
    pub voters: usize,
    pub engines: usize,
    pub callers: usize,
    /// Routes of the configuration that no caller uses; a large table strains the voters.
    pub idle_routes: usize,
    /// Timeout of the routes in the plain table.
    pub timeout_ms: u64,
}

/// Kinds of participants; the value is the third octet of their addresses.
#[derive(Clone, Copy, Debug)]
pub enum AddressKind {
    Voter = 0,
    Entry = 1,
    EntryProxy = 2,
    EngineProxy = 8,
    Engine = 9,
    List = 20,
    /// Between an entry and the platform's list.
    ListProxy = 21,
}

/// A request as its caller sent it, and its outcome.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub may_repeat: bool,
    pub max_attempts: u32,
    pub status: Option<u16>,
    pub sent_at: Instant,
}

/// The first execution of a request of the organisation that has a limit.
#[derive(Clone, Copy, Debug)]
pub struct LimitedExecution {
    pub sent_at: Instant,
    pub executed_at: Instant,
    pub tokens: u64,
}

/// Record of requests, executions and violations.
#[derive(Debug, Default)]
pub struct RunRecorder {
    requests: Mutex<BTreeMap<String, SentRequest>>,
    /// Number of executions, by request id.
    executions: Mutex<BTreeMap<String, u32>>,
    /// Executions for the organisation that has a limit.
    limited_executions: Mutex<Vec<LimitedExecution>>,
    /// What engines did with each request, by request id.
    events: Mutex<BTreeMap<String, Vec<String>>>,
    violations: Mutex<Vec<String>>,
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RunRecorder {
    pub fn record_request(&self, id: &str, request: SentRequest) {
        lock(&self.requests).insert(id.to_owned(), request);
    }

    pub fn record_status(&self, id: &str, status: u16) {
        lock(&self.requests)
            .entry(id.to_owned())
            .and_modify(|request| request.status = Some(status));
    }

    pub fn record_execution(&self, id: &str, limited_tokens: Option<u64>) {
        let sent_at = lock(&self.requests).get(id).map(|request| request.sent_at);
        let mut executions = lock(&self.executions);
        let count = executions.entry(id.to_owned()).or_default();
        *count += 1;
        // The limit counts each request once, so a second execution is not counted.
        if let (1, Some(tokens), Some(sent_at)) = (*count, limited_tokens, sent_at) {
            lock(&self.limited_executions).push(LimitedExecution {
                sent_at,
                executed_at: Instant::now(),
                tokens,
            });
        }
    }

    pub fn was_sent(&self, id: &str) -> bool {
        lock(&self.requests).contains_key(id)
    }

    pub fn requests(&self) -> BTreeMap<String, SentRequest> {
        lock(&self.requests).clone()
    }

    pub fn executions(&self) -> BTreeMap<String, u32> {
        lock(&self.executions).clone()
    }

    pub fn limited_executions(&self) -> Vec<LimitedExecution> {
        lock(&self.limited_executions).clone()
    }

    /// Records what an engine did with a request.
    pub fn record_event(&self, id: &str, event: String) {
        lock(&self.events).entry(id.to_owned()).or_default().push(event);
    }

    /// Records that a request violates a rule, with what engines did with the request.
    pub fn record_request_violation(&self, rule: &str, id: &str, detail: impl Display) {
        let events = lock(&self.events).get(id).map(|events| events.join(", "));
        let events = events.unwrap_or_else(|| "none received it".to_owned());
        self.record_violation(rule, format!("{id} {detail}; engines: {events}"));
    }

    /// Records the violation of a rule.
    pub fn record_violation(&self, rule: &str, detail: impl Display) {
        lock(&self.violations).push(format!("{rule}: {detail}"));
    }

    pub fn violations(&self) -> Vec<String> {
        let violations = lock(&self.violations);
        violations.iter().take(MAX_PRINTED_VIOLATIONS).cloned().collect()
    }

    /// Counts of violations by rule, for the printed result.
    pub fn violation_counts(&self) -> String {
        let violations = lock(&self.violations);
        count_text(violations.iter().filter_map(|line| line.split(':').next()))
    }

    /// Counts of requests by status, for the printed result.
    pub fn summary(&self) -> String {
        let requests = lock(&self.requests);
        let unanswered = requests.values().filter(|request| request.status.is_none()).count();
        let counts = count_text(requests.values().filter_map(|request| request.status));
        format!("{} requests, {counts}cut or none: {unanswered}", requests.len())
    }
}

fn count_text<T: Ord + Display>(items: impl Iterator<Item = T>) -> String {
    let mut counts: BTreeMap<T, usize> = BTreeMap::new();
    items.for_each(|item| *counts.entry(item).or_default() += 1);
    counts.iter().map(|(item, count)| format!("{item}: {count}, ")).collect()
}

/// State of one run.
pub struct SoakContext {
    pub seed: u64,
    pub sizes: FleetSizes,
    /// True if all entries are killed at once from time to time.
    pub restarts_entries: bool,
    /// True if the engines' software is replaced by one version after the other.
    pub plays_releases: bool,
    pub releases: ReleaseState,
    /// Time between two events of a stream.
    pub event_interval: Duration,
    /// Cuts between daemons.
    pub cuts: CutRecord,
    pub program: PathBuf,
    pub recorder: RunRecorder,
    pub processes: Mutex<FleetProcesses>,
    pub engines: Mutex<crate::engines::EngineSet>,
    pub proxies: ProxyModes,
    pub faults: FaultSettings,
    /// Acknowledged versions of the configuration, with the time of their first acknowledgement.
    pub acknowledged_versions: Mutex<BTreeMap<u64, Instant>>,
    /// The tables that were sent.
    pub tables: TableRecord,
    /// Requests that ended, and what may have ended them.
    pub losses: LossRecord,
    /// Engines that stand still.
    pub pauses: crate::engines::EnginePause,
    /// Time at which an entry last came into touch or went out of it, or the way from entries to
    /// engines was disturbed.
    pub last_contact_change: Mutex<Instant>,
    /// Time of the last disturbance: start or end of a fault at a process, a proxy or an engine.
    pub last_disturbance: Mutex<Instant>,
    /// Rates that engines state.
    pub stated_rates: StatedRates,
    /// Streams that callers began and took up.
    pub streams: StreamRecord,
    /// Executions of the poison request.
    pub poison_executions: PoisonExecutions,
    folder: Mutex<Option<TempDir>>,
    network_octet: u8,
    is_stopped: AtomicBool,
    steps_done: AtomicUsize,
}

impl SoakContext {
    pub fn new(args: &SoakArgs, seed: u64) -> Self {
        let sizes = FleetSizes {
            entries: args.entries,
            voters: args.voters,
            engines: args.engines,
            callers: args.callers,
            idle_routes: if seed.is_multiple_of(2) { 0 } else { LARGE_TABLE_ROUTES },
            timeout_ms: if args.out_of_step { RELEASE_TIMEOUT_MS } else { tables::TIMEOUT_MS },
        };
        let releases = ReleaseState::default();
        if args.out_of_step {
            releases.start_with_one_version();
        }
        SoakContext {
            seed,
            sizes,
            restarts_entries: args.restart_entries || args.out_of_step,
            plays_releases: args.out_of_step,
            event_interval: Duration::from_millis(args.event_ms),
            releases,
            cuts: CutRecord::default(),
            program: args.program.clone(),
            recorder: RunRecorder::default(),
            processes: Mutex::default(),
            engines: Mutex::default(),
            proxies: ProxyModes::default(),
            faults: FaultSettings::new(&args.faults, args.fault_rate),
            acknowledged_versions: Mutex::default(),
            tables: TableRecord::default(),
            losses: LossRecord::default(),
            pauses: crate::engines::EnginePause::default(),
            last_contact_change: Mutex::new(Instant::now()),
            last_disturbance: Mutex::new(Instant::now()),
            stated_rates: StatedRates::default(),
            streams: StreamRecord::default(),
            poison_executions: PoisonExecutions::default(),
            folder: Mutex::new(Some(
                tempfile::tempdir().expect("a temporary folder can be created"),
            )),
            network_octet: free_network_octet(),
            is_stopped: AtomicBool::new(false),
            steps_done: AtomicUsize::new(0),
        }
    }

    /// IP address of participant `number` of a kind.
    pub fn ip(&self, kind: AddressKind, number: usize) -> IpAddr {
        let (high, low) = (kind as usize + number / 250 * 100, number % 250 + 1);
        IpAddr::V4(Ipv4Addr::new(127, self.network_octet, high as u8, low as u8))
    }

    pub fn address(&self, kind: AddressKind, number: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(kind, number), port)
    }

    pub fn folder(&self) -> PathBuf {
        lock(&self.folder).as_ref().map(|folder| folder.path().to_owned()).unwrap_or_default()
    }

    /// Keeps the folder after the run and returns its path.
    pub fn keep_folder(&self) -> PathBuf {
        lock(&self.folder).take().map(TempDir::keep).unwrap_or_default()
    }

    pub fn record_disturbance(&self) {
        *lock(&self.last_disturbance) = Instant::now();
    }

    pub fn record_contact_change(&self) {
        *lock(&self.last_contact_change) = Instant::now();
    }

    pub fn time_since_contact_change(&self) -> Duration {
        lock(&self.last_contact_change).elapsed()
    }

    pub fn time_since_disturbance(&self) -> Duration {
        lock(&self.last_disturbance).elapsed()
    }

    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Release);
    }

    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    pub fn record_done_step(&self) {
        self.steps_done.fetch_add(1, Ordering::Relaxed);
    }

    pub fn steps_done(&self) -> usize {
        self.steps_done.load(Ordering::Relaxed)
    }
}

/// Finds a free second octet for this run's addresses, so that concurrent runs do not collide.
fn free_network_octet() -> u8 {
    let first = (std::process::id() % 200) as u8;
    let octets = (0..200).map(|step| 20 + (first + step) % 200);
    let is_free = |network_octet: &u8| {
        let probe = SocketAddr::from(([127, *network_octet, 20, 1], LIST_PORT));
        std::net::TcpListener::bind(probe).is_ok()
    };
    octets.into_iter().find(is_free).expect("a range of loopback addresses is free")
}
