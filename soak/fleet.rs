//! The processes of the tested program, which are started, signalled and killed by process id.

use crate::operators::document;
use crate::world::{
    AddressKind, CALLERS_PORT, CONTROL_PORT, LIST_PORT, OPERATORS_PORT, READY_PORT, SoakWorld, lock,
};
use crate::{checks, engines, operators, proxy};
use serde_json::{Value, json};
use std::fs::OpenOptions;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

/// Timeout of the checks that wait for a condition; long enough that a busy machine does not count
/// as a violation.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Pause between two polls of a condition.
pub const LOOK_PAUSE: Duration = Duration::from_millis(50);

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
    running: std::collections::BTreeMap<ProcessName, Child>,
    has_started: bool,
}

impl ProcessName {
    fn file(self) -> String {
        match self {
            ProcessName::Voter(number) => format!("voter-{number}"),
            ProcessName::Entry(number) => format!("entry-{number}"),
        }
    }
}

/// All processes of a world.
pub fn names(world: &SoakWorld) -> Vec<ProcessName> {
    let voters = (0..world.sizes.voters).map(ProcessName::Voter);
    voters.chain((0..world.sizes.entries).map(ProcessName::Entry)).collect()
}

fn settings(world: &SoakWorld, name: ProcessName, founds: bool) -> Value {
    let seeds: Vec<String> = (0..world.sizes.voters.min(3))
        .map(|number| world.address(AddressKind::Voter, number, OPERATORS_PORT).to_string())
        .collect();
    let common = |ip: std::net::IpAddr| {
        json!({"daemon": ip, "data_centre": "a", "control": format!("{ip}:{CONTROL_PORT}"), "seeds": seeds,
               "when_cut_off": "serve", "balancer_wait_ms": 500, "currency_lease_ms": 1500, "traffic_threads": 1,
               "limit_overage": 0.1, "limit_slack_tokens": checks::LIMIT_SLACK})
    };
    match name {
        ProcessName::Voter(number) => {
            let ip = world.ip(AddressKind::Voter, number);
            let mut settings = common(ip);
            settings["data_folder"] = json!(world.folder().join(name.file()));
            settings["found_fleet"] = json!(founds);
            settings["platform"] = json!({"operators": format!("{ip}:{OPERATORS_PORT}")});
            settings
        }
        ProcessName::Entry(number) => {
            let ip = world.ip(AddressKind::Entry, number);
            let mut settings = common(ip);
            settings["callers"] = json!(format!("{ip}:{CALLERS_PORT}"));
            settings["readiness"] = json!(format!("{ip}:{READY_PORT}"));
            settings["platform"] = json!({"list": world.address(AddressKind::List, 0, LIST_PORT)});
            settings
        }
    }
}

/// Starts a process unless it is running already.
pub fn start(world: &SoakWorld, name: ProcessName) -> std::io::Result<()> {
    let mut processes = lock(&world.processes);
    if processes.running.contains_key(&name) {
        return Ok(());
    }
    let folder = world.folder();
    let path = folder.join(format!("{}.json", name.file()));
    std::fs::write(&path, settings(world, name, !processes.has_started).to_string())?;
    let log = folder.join(format!("{}.log", name.file()));
    let log = OpenOptions::new().create(true).append(true).open(log)?;
    let child = Command::new(&world.program)
        .args(["serve", "--settings"])
        .arg(&path)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    processes.running.insert(name, child);
    world.disturb();
    Ok(())
}

/// Kills a process with SIGKILL and waits for it.
pub fn kill(world: &SoakWorld, name: ProcessName) {
    world.disturb();
    if let Some(mut child) = lock(&world.processes).running.remove(&name) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Sends a signal to a process that this run started.
pub fn signal(world: &SoakWorld, name: ProcessName, signal: SoakSignal) {
    world.disturb();
    let processes = lock(&world.processes);
    let Some(child) = processes.running.get(&name) else { return };
    let Some(pid) = rustix::process::Pid::from_raw(child.id() as i32) else { return };
    let number = match signal {
        SoakSignal::Term => rustix::process::Signal::TERM,
        SoakSignal::Stop => rustix::process::Signal::STOP,
        SoakSignal::Cont => rustix::process::Signal::CONT,
        SoakSignal::Hangup => rustix::process::Signal::HUP,
    };
    let _ = rustix::process::kill_process(pid, number);
}

/// Removes processes that have exited; an exit without a request to terminate is a violation.
pub fn reap(world: &SoakWorld, was_told: impl Fn(ProcessName) -> bool) {
    let mut processes = lock(&world.processes);
    let ended: Vec<ProcessName> = processes
        .running
        .iter_mut()
        .filter_map(|(name, child)| matches!(child.try_wait(), Ok(Some(_))).then_some(*name))
        .collect();
    for name in ended {
        processes.running.remove(&name);
        if !was_told(name) {
            world.ledger.broke("PROCESS", format!("{name:?} exited without being told to"));
        }
    }
}

/// True while the process has not been killed or reaped.
pub fn is_running(world: &SoakWorld, name: ProcessName) -> bool {
    lock(&world.processes).running.contains_key(&name)
}

/// Removes a killed voter's data folder.
pub fn wipe(world: &SoakWorld, name: ProcessName) {
    let _ = std::fs::remove_dir_all(world.folder().join(name.file()));
}

/// Starts all parts and waits until every entry serves requests under the first configuration.
pub async fn start_all(world: &Arc<SoakWorld>) -> Result<(), String> {
    let text = |error: std::io::Error| error.to_string();
    engines::serve_list(world).await.map_err(text)?;
    for _ in 0..world.sizes.engines {
        engines::add(world).await.map_err(text)?;
    }
    for number in 0..world.sizes.entries {
        let listed = world.address(AddressKind::EntryProxy, number, CALLERS_PORT);
        let own = world.address(AddressKind::Entry, number, CALLERS_PORT);
        proxy::start(world, listed, own).await.map_err(text)?;
    }
    for name in names(world) {
        start(world, name).map_err(text)?;
    }
    lock(&world.processes).has_started = true;
    let until = tokio::time::Instant::now() + PATIENCE;
    while !operators::replace(world, 0, 1, &document(1)).await {
        if tokio::time::Instant::now() > until {
            return Err("voter 0 did not accept the first configuration".to_owned());
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    checks::wait_until_served(world)
        .await
        .map_err(|entry| format!("entry {entry} does not serve requests"))
}

/// Ends all faults: restarts every process and lets every proxy forward bytes again.
pub async fn heal(world: &Arc<SoakWorld>) {
    engines::misbehave(0);
    world.proxies.heal();
    for name in names(world) {
        signal(world, name, SoakSignal::Cont);
    }
    // Processes that were told to terminate must drain before they can be started again.
    let until = tokio::time::Instant::now() + PATIENCE;
    loop {
        reap(world, |_| true);
        let missing: Vec<ProcessName> =
            names(world).into_iter().filter(|name| !is_running(world, *name)).collect();
        missing.iter().for_each(|name| drop(start(world, *name)));
        tokio::time::sleep(Duration::from_millis(500)).await;
        reap(world, |_| true);
        let is_whole = names(world).into_iter().all(|name| is_running(world, name));
        if (is_whole && missing.is_empty()) || tokio::time::Instant::now() > until {
            break;
        }
    }
    while lock(&world.engines).engines.values().filter(|engine| engine.left_at.is_none()).count()
        < 2
    {
        let _ = engines::add(world).await;
    }
}

/// Kills all processes of this run.
pub async fn stop_all(world: &SoakWorld) {
    names(world).into_iter().for_each(|name| kill(world, name));
}
