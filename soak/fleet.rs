//! The processes of the tested program, which are started, signalled and killed by process id.

use crate::context::{
    AddressKind, CALLERS_PORT, CONTROL_PORT, LIST_PORT, OPERATORS_PORT, READY_PORT, RELAY_PORT,
    SoakContext, lock,
};
use crate::engines::{OTHER_ENGINES, OTHER_SERVICE, SERVICE_NAME};
use crate::losses::FaultTarget;
use crate::tables::{TableChange, TableEdit};
use crate::{checks, engines, operators, proxy};
use rustix::process::Pid;
use serde_json::{Value, json};
use std::fs::OpenOptions;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout of the checks that wait for a condition; long enough that a busy machine does not count
/// as a violation.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time within which a process must handle SIGHUP after its start.
const START_TIME: Duration = Duration::from_secs(5);
/// Pause between two polls of a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Identifies a process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessName {
    Voter(usize),
    Entry(usize),
}

/// Signals that the schedule sends to processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakSignal {
    Term,
    Stop,
    Cont,
    Hangup,
}

/// The running processes.
#[derive(Debug, Default)]
pub struct FleetProcesses {
    /// Each with the time of its start.
    running: std::collections::BTreeMap<ProcessName, (Child, Instant)>,
    has_started: bool,
}

impl ProcessName {
    fn file_stem(self) -> String {
        match self {
            ProcessName::Voter(number) => format!("voter-{number}"),
            ProcessName::Entry(number) => format!("entry-{number}"),
        }
    }
}

/// All processes of a world.
pub fn process_names(ctx: &SoakContext) -> Vec<ProcessName> {
    let voters = (0..ctx.sizes.voters).map(ProcessName::Voter);
    voters.chain((0..ctx.sizes.entries).map(ProcessName::Entry)).collect()
}

fn settings(ctx: &SoakContext, name: ProcessName, founds_fleet: bool) -> Value {
    let seeds: Vec<String> = (0..ctx.sizes.voters.min(3))
        .map(|number| ctx.address(AddressKind::Voter, number, OPERATORS_PORT).to_string())
        .collect();
    let common = |ip: std::net::IpAddr| {
        json!({"daemon": ip, "data_centre": "a", "control": format!("{ip}:{CONTROL_PORT}"), "seeds": seeds,
               "when_cut_off": "serve", "balancer_wait_ms": 500, "currency_lease_ms": 1500, "traffic_threads": 1,
               "limit_overage": 0.1, "limit_slack_tokens": checks::LIMIT_SLACK_TOKENS})
    };
    match name {
        ProcessName::Voter(number) => {
            let ip = ctx.ip(AddressKind::Voter, number);
            let mut settings = common(ip);
            settings["data_folder"] = json!(ctx.folder().join(name.file_stem()));
            settings["found_fleet"] = json!(founds_fleet);
            settings["platform"] = json!({"operators": format!("{ip}:{OPERATORS_PORT}")});
            settings
        }
        ProcessName::Entry(number) => {
            let ip = ctx.ip(AddressKind::Entry, number);
            let mut settings = common(ip);
            settings["callers"] = json!(format!("{ip}:{CALLERS_PORT}"));
            settings["relay"] = json!(format!("{ip}:{RELAY_PORT}"));
            settings["readiness"] = json!(format!("{ip}:{READY_PORT}"));
            settings["platform"] =
                json!({"list": ctx.address(AddressKind::ListProxy, number, LIST_PORT)});
            settings
        }
    }
}

/// Starts a process unless it is running already.
pub fn start(ctx: &SoakContext, name: ProcessName) -> std::io::Result<()> {
    let mut processes = lock(&ctx.processes);
    if processes.running.contains_key(&name) {
        return Ok(());
    }
    let folder = ctx.folder();
    let path = folder.join(format!("{}.json", name.file_stem()));
    std::fs::write(&path, settings(ctx, name, !processes.has_started).to_string())?;
    let log = folder.join(format!("{}.log", name.file_stem()));
    let log = OpenOptions::new().create(true).append(true).open(log)?;
    let child = Command::new(&ctx.program)
        .args(["serve", "--settings"])
        .arg(&path)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    processes.running.insert(name, (child, Instant::now()));
    record_contact_change(ctx, name);
    ctx.record_disturbance();
    Ok(())
}

/// Records that a process comes into touch or goes out of it.
fn record_contact_change(ctx: &SoakContext, name: ProcessName) {
    if matches!(name, ProcessName::Entry(_)) {
        ctx.record_contact_change();
    }
}

/// Records an unplanned fault of a process.
pub fn record_fault(ctx: &SoakContext, name: ProcessName) {
    if let ProcessName::Entry(entry) = name {
        ctx.losses.record_fault(FaultTarget::Entry(entry));
    }
}

/// Kills a process with SIGKILL and waits for it.
pub fn kill(ctx: &SoakContext, name: ProcessName) {
    record_contact_change(ctx, name);
    ctx.record_disturbance();
    if let Some((mut child, _)) = lock(&ctx.processes).running.remove(&name) {
        record_fault(ctx, name);
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// True if a process has a handler of SIGHUP. Without one the system ends it before its own code runs.
fn catches_hangup(pid: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let mask = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    mask.is_some_and(|mask| mask & 1 == 1)
}

/// Sends a signal to a process that this run started.
pub fn signal(ctx: &SoakContext, name: ProcessName, signal: SoakSignal) {
    if signal != SoakSignal::Hangup {
        record_contact_change(ctx, name);
    }
    ctx.record_disturbance();
    let processes = lock(&ctx.processes);
    let Some((child, started_at)) = processes.running.get(&name) else { return };
    let Some(pid) = Pid::from_raw(child.id() as i32) else { return };
    let is_starting = started_at.elapsed() < START_TIME && !catches_hangup(child.id());
    if signal == SoakSignal::Hangup && is_starting {
        return;
    }
    let number = match signal {
        SoakSignal::Term => rustix::process::Signal::TERM,
        SoakSignal::Stop => rustix::process::Signal::STOP,
        SoakSignal::Cont => rustix::process::Signal::CONT,
        SoakSignal::Hangup => rustix::process::Signal::HUP,
    };
    let _ = rustix::process::kill_process(pid, number);
}

/// Removes processes that have exited; an exit without a request to terminate is a violation.
pub fn reap(ctx: &SoakContext, may_exit: impl Fn(ProcessName) -> bool) {
    let mut processes = lock(&ctx.processes);
    let ended: Vec<(ProcessName, ExitStatus)> = processes
        .running
        .iter_mut()
        .filter_map(|(name, (child, _))| child.try_wait().ok()?.map(|status| (*name, status)))
        .collect();
    for (name, status) in ended {
        processes.running.remove(&name);
        if !may_exit(name) {
            let detail = format!("{name:?} exited without a signal of the schedule: {status}");
            ctx.recorder.record_violation("PROCESS", detail);
        }
    }
}

/// True while the process has not been killed or reaped.
pub fn is_running(ctx: &SoakContext, name: ProcessName) -> bool {
    lock(&ctx.processes).running.contains_key(&name)
}

/// The ids of the running processes.
pub fn process_ids(ctx: &SoakContext) -> Vec<(ProcessName, Pid)> {
    let processes = lock(&ctx.processes);
    let ids = processes.running.iter();
    ids.filter_map(|(name, (child, _))| Some((*name, Pid::from_raw(child.id() as i32)?))).collect()
}

/// Removes a killed voter's data folder.
pub fn remove_data_folder(ctx: &SoakContext, name: ProcessName) {
    let _ = std::fs::remove_dir_all(ctx.folder().join(name.file_stem()));
}

/// Starts all parts and waits until every entry serves requests under the first configuration.
pub async fn start_all(ctx: &Arc<SoakContext>) -> Result<(), String> {
    let to_text = |error: std::io::Error| error.to_string();
    engines::serve_platform_list(ctx).await.map_err(to_text)?;
    for _ in 0..ctx.sizes.engines {
        engines::add(ctx, SERVICE_NAME).await.map_err(to_text)?;
    }
    for _ in 0..OTHER_ENGINES {
        engines::add(ctx, OTHER_SERVICE).await.map_err(to_text)?;
    }
    for number in 0..ctx.sizes.entries {
        let proxy_address = ctx.address(AddressKind::EntryProxy, number, CALLERS_PORT);
        let entry_address = ctx.address(AddressKind::Entry, number, CALLERS_PORT);
        proxy::start(ctx, proxy_address, entry_address).await.map_err(to_text)?;
        let list_proxy = ctx.address(AddressKind::ListProxy, number, LIST_PORT);
        let list_address = ctx.address(AddressKind::List, 0, LIST_PORT);
        proxy::start(ctx, list_proxy, list_address).await.map_err(to_text)?;
    }
    for name in process_names(ctx) {
        start(ctx, name).map_err(to_text)?;
    }
    lock(&ctx.processes).has_started = true;
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    let edit = TableEdit::new(ctx, 1, TableChange::PLAIN);
    while !operators::replace_config(ctx, 0, &edit).await {
        if tokio::time::Instant::now() > deadline {
            return Err("voter 0 did not accept the first configuration".to_owned());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    checks::wait_until_serving(ctx)
        .await
        .map_err(|entry| format!("entry {entry} does not serve requests"))
}

/// Ends all faults: restarts every process and lets every proxy forward bytes again.
pub async fn heal(ctx: &Arc<SoakContext>) {
    ctx.faults.stop();
    ctx.proxies.heal();
    for name in process_names(ctx) {
        signal(ctx, name, SoakSignal::Cont);
    }
    // Processes that were told to terminate must drain before they can be started again.
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        reap(ctx, |_| true);
        let stopped: Vec<ProcessName> =
            process_names(ctx).into_iter().filter(|name| !is_running(ctx, *name)).collect();
        stopped.iter().for_each(|name| drop(start(ctx, *name)));
        tokio::time::sleep(Duration::from_millis(500)).await;
        reap(ctx, |_| true);
        let is_complete = process_names(ctx).into_iter().all(|name| is_running(ctx, name));
        if (is_complete && stopped.is_empty()) || tokio::time::Instant::now() > deadline {
            break;
        }
    }
    engines::replace_silent(ctx);
    while lock(&ctx.engines).pool().count() < 2 {
        let _ = engines::add(ctx, SERVICE_NAME).await;
    }
}

/// Kills all processes of this run.
pub async fn kill_all(ctx: &SoakContext) {
    process_names(ctx).into_iter().for_each(|name| kill(ctx, name));
}
