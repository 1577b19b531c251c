//! The schedule of faults: computed from the seed alone, then executed at the scheduled times.

use crate::context::{AddressKind, CALLERS_PORT, FleetSizes, LIST_PORT, SoakContext, lock};
use crate::cuts::{self, DaemonCut};
use crate::engines::{self, SERVICE_NAME};
use crate::fleet::{self, ProcessName, SoakSignal};
use crate::losses::FaultTarget;
use crate::operators;
use crate::planned;
use crate::proxy::ProxyMode;
use crate::tables::TableChange;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// Upper bound of the time between the starts of two faults.
const MAX_FAULT_INTERVAL_MS: u64 = 900;
/// Upper bound of the time between two restarts of all entries.
const MAX_RESTART_INTERVAL_MS: u64 = 6_000;
/// Time between two times at which engines fall silent, how long they are, and how many at most.
const SILENCE_INTERVAL_MS: Range<u64> = 700..2_500;
const SILENCE_MS: Range<u64> = 500..4_500;
const MAX_SILENT_ENGINES: usize = 3;
/// Time after the loss of a disk in which no other disk is removed: the fleet tolerates the loss of
/// one disk at a time.
const VOTER_CATCH_UP_TIME: Duration = Duration::from_secs(8);

/// Time after SIGTERM within which a process must have ended, beyond the requests' deadline.
pub const DRAIN_TIME: Duration = Duration::from_secs(6);
/// One in how many events of a schedule is planned work or a stall.
const PLANNED_INTERVAL: u32 = 3;

/// One action of the schedule.
#[derive(Clone, Copy, Debug)]
pub enum SoakStep {
    Kill(ProcessName),
    Start(ProcessName),
    Signal(ProcessName, SoakSignal),
    /// Kills a voter and removes its data folder.
    Wipe(usize),
    EntryProxy(usize, ProxyMode),
    /// Sets the mode of the proxy between an entry and the platform's list.
    ListProxy(usize, ProxyMode),
    /// Cuts entries off from all other daemons for a while.
    Cut(DaemonCut),
    /// Sets the mode of the proxies of all engines.
    EngineProxies(ProxyMode),
    AddEngine,
    /// Starts this many engines of the next version.
    BeginRelease(usize),
    /// Lists the engines of versions before as draining, and starts this many of the new one.
    DrainReplaced(usize),
    RemoveReplaced,
    /// Crashes the engine at this index, modulo their count, among those that are not draining.
    CrashEngine(usize),
    LeaveEngine(usize),
    /// Kills the engine at this index, chosen in the same way, and keeps its listening socket.
    SilenceEngine(usize),
    /// Starts new engines at the sockets of the silent ones.
    ReplaceSilent,
    /// Sets how many more of a thousand requests fail at the engines from now on.
    Misbehave(u64),
    Edit(TableChange),
    /// Lets all engines or every second one stand still.
    PauseEngines {
        are_all: bool,
        time: Duration,
    },
    /// Stops a process for a moment, as on a busy machine.
    Stall(ProcessName),
    GoOn(ProcessName),
}

/// A step and its time, relative to the start of the schedule.
#[derive(Clone, Copy, Debug)]
pub struct TimedStep {
    pub at: Duration,
    pub step: SoakStep,
}

impl fmt::Display for TimedStep {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:7.3} s  {:?}", self.at.as_secs_f64(), self.step)
    }
}

/// Computes the schedule of a seed, of planned work and stalls alone or with faults.
pub fn schedule(
    rng: &mut ChaCha8Rng,
    length: Duration,
    sizes: &FleetSizes,
    is_planned: bool,
) -> Vec<TimedStep> {
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    let mut disk_lost_at: Option<Duration> = None;
    while at < length {
        let may_wipe = disk_lost_at.is_none_or(|lost_at| at >= lost_at + VOTER_CATCH_UP_TIME);
        let duration = Duration::from_millis(rng.random_range(200..3_000));
        let mut fault = match is_planned || rng.random_range(0..PLANNED_INTERVAL) == 0 {
            true => planned::draw(rng, sizes, at),
            false => draw_fault(rng, sizes, at, duration, may_wipe),
        };
        if fault.iter().any(|timed| matches!(timed.step, SoakStep::Wipe(_))) {
            disk_lost_at = Some(at + duration);
        }
        steps.append(&mut fault);
        at += Duration::from_millis(rng.random_range(50..MAX_FAULT_INTERVAL_MS));
    }
    steps.sort_by_key(|timed| timed.at);
    steps
}

/// Adds restarts of all entries at once: an engine leaves and another starts while they are down.
pub fn add_entry_restarts(
    steps: &mut Vec<TimedStep>,
    rng: &mut ChaCha8Rng,
    length: Duration,
    sizes: &FleetSizes,
) {
    let mut at = Duration::from_millis(rng.random_range(1_500..MAX_RESTART_INTERVAL_MS));
    while at < length {
        let down = Duration::from_millis(rng.random_range(100..2_600));
        let timed = |at, step| TimedStep { at, step };
        for number in 0..sizes.entries {
            let entry = ProcessName::Entry(number);
            steps.push(timed(at, SoakStep::Kill(entry)));
            steps.push(timed(at + down, SoakStep::Start(entry)));
        }
        let engine = rng.random_range(0..sizes.engines);
        steps.push(timed(at + down / 3, SoakStep::LeaveEngine(engine)));
        steps.push(timed(at + down / 2, SoakStep::AddEngine));
        at += Duration::from_millis(rng.random_range(3_500..MAX_RESTART_INTERVAL_MS));
    }
    steps.sort_by_key(|timed| timed.at);
}

/// Adds engines that are killed while their listening sockets stay open until the next ones start.
pub fn add_silent_engines(steps: &mut Vec<TimedStep>, rng: &mut ChaCha8Rng, length: Duration) {
    let mut at = Duration::from_millis(rng.random_range(SILENCE_INTERVAL_MS));
    while at < length {
        for _ in 0..rng.random_range(1..=MAX_SILENT_ENGINES) {
            let step = SoakStep::SilenceEngine(rng.random_range(0..64));
            steps.push(TimedStep { at, step });
        }
        let silence = Duration::from_millis(rng.random_range(SILENCE_MS));
        steps.push(TimedStep { at: at + silence, step: SoakStep::ReplaceSilent });
        at += Duration::from_millis(rng.random_range(SILENCE_INTERVAL_MS));
    }
    steps.sort_by_key(|timed| timed.at);
}

/// Draws a fault: the step that starts it and, for a lasting fault, the step that ends it.
fn draw_fault(
    rng: &mut ChaCha8Rng,
    sizes: &FleetSizes,
    at: Duration,
    duration: Duration,
    may_wipe: bool,
) -> Vec<TimedStep> {
    let entry = rng.random_range(0..sizes.entries);
    let voter = rng.random_range(0..sizes.voters);
    let process = match rng.random_range(0..sizes.entries + sizes.voters) {
        number if number < sizes.entries => ProcessName::Entry(number),
        number => ProcessName::Voter(number - sizes.entries),
    };
    let timed = |at, step| TimedStep { at, step };
    let lasting = |first, last| vec![timed(at, first), timed(at + duration, last)];
    let once = |step| vec![timed(at, step)];
    let cuts = [ProxyMode::Delay, ProxyMode::CutThere, ProxyMode::CutBack];
    let breaks = [ProxyMode::SilenceOpen, ProxyMode::ResetOpen];
    match rng.random_range(0..16) {
        0 | 1 => lasting(SoakStep::Kill(process), SoakStep::Start(process)),
        2 | 3 => lasting(
            SoakStep::Signal(process, SoakSignal::Stop),
            SoakStep::Signal(process, SoakSignal::Cont),
        ),
        4 => lasting(SoakStep::Signal(process, SoakSignal::Term), SoakStep::Start(process)),
        5 => once(SoakStep::Signal(process, SoakSignal::Hangup)),
        6 if may_wipe => lasting(SoakStep::Wipe(voter), SoakStep::Start(ProcessName::Voter(voter))),
        // Kills all voters at once and keeps their disks.
        6 | 7 => (0..sizes.voters)
            .flat_map(|number| {
                let voter = ProcessName::Voter(number);
                [timed(at, SoakStep::Kill(voter)), timed(at + duration / 2, SoakStep::Start(voter))]
            })
            .collect(),
        8 => {
            let cut = cuts.choose(rng).copied().unwrap_or_default();
            lasting(SoakStep::EntryProxy(entry, cut), SoakStep::EntryProxy(entry, ProxyMode::Pass))
        }
        9 => {
            let cut = cuts.choose(rng).copied().unwrap_or_default();
            lasting(SoakStep::EngineProxies(cut), SoakStep::EngineProxies(ProxyMode::Pass))
        }
        10 => once(SoakStep::EntryProxy(entry, breaks.choose(rng).copied().unwrap_or_default())),
        11 => once(SoakStep::EngineProxies(breaks.choose(rng).copied().unwrap_or_default())),
        12 => lasting(SoakStep::CrashEngine(rng.random_range(0..8)), SoakStep::AddEngine),
        13 => lasting(SoakStep::LeaveEngine(rng.random_range(0..8)), SoakStep::AddEngine),
        14 => planned::draw_fleet_restart(rng, sizes, at),
        _ => lasting(SoakStep::Misbehave(rng.random_range(20..300)), SoakStep::Misbehave(0)),
    }
}

/// Executes the schedule.
pub async fn execute(ctx: &Arc<SoakContext>, steps: &[TimedStep]) {
    let started_at = tokio::time::Instant::now();
    // Processes that were told to terminate may exit until they are started again.
    let mut terminating = BTreeSet::new();
    for timed in steps {
        tokio::time::sleep_until(started_at + timed.at).await;
        fleet::reap(ctx, |name| terminating.contains(&name));
        execute_step(ctx, timed.step, &mut terminating).await;
        ctx.record_done_step();
    }
    fleet::reap(ctx, |name| terminating.contains(&name));
}

async fn execute_step(
    ctx: &Arc<SoakContext>,
    step: SoakStep,
    terminating: &mut BTreeSet<ProcessName>,
) {
    match step {
        SoakStep::Kill(name) => fleet::kill(ctx, name),
        SoakStep::Start(name) => {
            // Kills a process that is still draining, as a platform does after the grace period.
            if terminating.remove(&name) {
                fleet::kill(ctx, name);
            } else {
                fleet::record_fault(ctx, name);
            }
            if let Err(error) = fleet::start(ctx, name) {
                ctx.recorder.record_violation("START", format!("{name:?}: {error}"));
            }
        }
        SoakStep::Signal(name, signal) => {
            if signal == SoakSignal::Term {
                terminating.insert(name);
            }
            match (name, signal) {
                (ProcessName::Entry(entry), SoakSignal::Term) => {
                    ctx.losses.record_termination(entry);
                }
                (ProcessName::Entry(entry), SoakSignal::Hangup) => ctx.losses.record_hangup(entry),
                _ => fleet::record_fault(ctx, name),
            }
            fleet::signal(ctx, name, signal);
        }
        SoakStep::Wipe(voter) => {
            fleet::kill(ctx, ProcessName::Voter(voter));
            fleet::remove_data_folder(ctx, ProcessName::Voter(voter));
        }
        SoakStep::EntryProxy(entry, mode) => {
            ctx.record_disturbance();
            ctx.losses.record_fault(FaultTarget::CallerLinks(entry));
            ctx.proxies.set(ctx.address(AddressKind::EntryProxy, entry, CALLERS_PORT), mode);
        }
        SoakStep::ListProxy(entry, mode) => {
            fleet::record_fault(ctx, ProcessName::Entry(entry));
            ctx.proxies.set(ctx.address(AddressKind::ListProxy, entry, LIST_PORT), mode);
        }
        SoakStep::Cut(cut) => {
            ctx.record_contact_change();
            ctx.record_disturbance();
            cut.entries
                .iter()
                .for_each(|entry| fleet::record_fault(ctx, ProcessName::Entry(*entry)));
            cuts::start(ctx, cut);
        }
        SoakStep::EngineProxies(mode) => {
            ctx.record_contact_change();
            ctx.record_disturbance();
            ctx.losses.record_fault(FaultTarget::AllEngines);
            let addresses: Vec<_> =
                lock(&ctx.engines).engines.values().map(|engine| engine.listed_address).collect();
            addresses.into_iter().for_each(|address| ctx.proxies.set(address, mode));
        }
        SoakStep::AddEngine => drop(engines::add(ctx, SERVICE_NAME).await),
        SoakStep::BeginRelease(count) => {
            ctx.releases.begin_next();
            engines::add_many(ctx, count).await;
        }
        SoakStep::DrainReplaced(count) => {
            let replaced = engines::replaced(ctx);
            replaced.into_iter().for_each(|number| engines::start_drain(ctx, number));
            engines::add_many(ctx, count).await;
        }
        SoakStep::RemoveReplaced => {
            ctx.record_disturbance();
            engines::replaced(ctx).into_iter().for_each(|number| {
                engines::crash(ctx, number);
            });
        }
        SoakStep::CrashEngine(idx) => {
            ctx.record_disturbance();
            pick_engine(ctx, idx).into_iter().for_each(|number| {
                engines::crash(ctx, number);
            });
        }
        SoakStep::LeaveEngine(idx) => {
            pick_engine(ctx, idx).into_iter().for_each(|number| engines::start_drain(ctx, number));
        }
        SoakStep::SilenceEngine(idx) => {
            ctx.record_disturbance();
            pick_engine(ctx, idx).into_iter().for_each(|number| engines::silence(ctx, number));
        }
        SoakStep::ReplaceSilent => engines::replace_silent(ctx),
        SoakStep::Misbehave(per_mille) => ctx.faults.set_added_rate(per_mille),
        SoakStep::Edit(change) => operators::start_edit(ctx, change),
        SoakStep::PauseEngines { are_all, time } => ctx.pauses.start(are_all, time),
        SoakStep::Stall(name) => fleet::signal(ctx, name, SoakSignal::Stop),
        SoakStep::GoOn(name) => fleet::signal(ctx, name, SoakSignal::Cont),
    }
}

/// Picks an engine that is not draining; `None` if fewer than two are left.
fn pick_engine(ctx: &SoakContext, idx: usize) -> Option<usize> {
    let set = lock(&ctx.engines);
    let active: Vec<usize> = set.pool().map(|(number, _)| *number).collect();
    if active.len() < 2 { None } else { active.get(idx % active.len()).copied() }
}
