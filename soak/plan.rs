//! The schedule of faults: computed from the seed alone, then executed at the scheduled times.

use crate::engines;
use crate::fleet::{self, ProcessName, SoakSignal};
use crate::proxy::ProxyMode;
use crate::world::{AddressKind, CALLERS_PORT, SoakWorld, WorldSizes, lock};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Upper bound of the time between the starts of two faults.
const MOST_PAUSE_MS: u64 = 900;
/// Time after the loss of a disk in which no other disk is removed: the fleet tolerates the loss of
/// one disk at a time.
const CATCH_UP: Duration = Duration::from_secs(8);

/// One action of the schedule.
#[derive(Clone, Copy, Debug)]
pub enum SoakStep {
    Kill(ProcessName),
    Start(ProcessName),
    Signal(ProcessName, SoakSignal),
    /// Kills a voter and removes its data folder.
    Wipe(usize),
    EntryProxy(usize, ProxyMode),
    /// Sets the mode of the proxies of all engines.
    EngineProxies(ProxyMode),
    AddEngine,
    /// Crashes the engine at this index, modulo their count, among those that are not draining.
    CrashEngine(usize),
    LeaveEngine(usize),
    /// Sets how many of a thousand requests fail at the engines from now on.
    Misbehave(u64),
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

/// Computes the schedule of a seed.
pub fn schedule(rng: &mut ChaCha8Rng, length: Duration, sizes: &WorldSizes) -> Vec<TimedStep> {
    let mut steps = Vec::new();
    let mut at = Duration::ZERO;
    let mut wiped_at: Option<Duration> = None;
    while at < length {
        let may_wipe = wiped_at.is_none_or(|wiped| at >= wiped + CATCH_UP);
        let lasting = Duration::from_millis(rng.random_range(200..3_000));
        let mut fault = draw(rng, sizes, at, lasting, may_wipe);
        if fault.iter().any(|timed| matches!(timed.step, SoakStep::Wipe(_))) {
            wiped_at = Some(at + lasting);
        }
        steps.append(&mut fault);
        at += Duration::from_millis(rng.random_range(50..MOST_PAUSE_MS));
    }
    steps.sort_by_key(|timed| timed.at);
    steps
}

/// Draws a fault: the step that starts it and, for a lasting fault, the step that ends it.
fn draw(
    rng: &mut ChaCha8Rng,
    sizes: &WorldSizes,
    at: Duration,
    lasting: Duration,
    may_wipe: bool,
) -> Vec<TimedStep> {
    let entry = rng.random_range(0..sizes.entries);
    let voter = rng.random_range(0..sizes.voters);
    let process = match rng.random_range(0..sizes.entries + sizes.voters) {
        number if number < sizes.entries => ProcessName::Entry(number),
        number => ProcessName::Voter(number - sizes.entries),
    };
    let timed = |at, step| TimedStep { at, step };
    let span = |begin, end| vec![timed(at, begin), timed(at + lasting, end)];
    let once = |step| vec![timed(at, step)];
    let cuts = [ProxyMode::Delay, ProxyMode::CutThere, ProxyMode::CutBack];
    let breaks = [ProxyMode::SilenceOpen, ProxyMode::ResetOpen];
    match rng.random_range(0..15) {
        0 | 1 => span(SoakStep::Kill(process), SoakStep::Start(process)),
        2 | 3 => span(
            SoakStep::Signal(process, SoakSignal::Stop),
            SoakStep::Signal(process, SoakSignal::Cont),
        ),
        4 => span(SoakStep::Signal(process, SoakSignal::Term), SoakStep::Start(process)),
        5 => once(SoakStep::Signal(process, SoakSignal::Hangup)),
        6 if may_wipe => span(SoakStep::Wipe(voter), SoakStep::Start(ProcessName::Voter(voter))),
        // Kills all voters at once and keeps their disks.
        6 | 7 => (0..sizes.voters)
            .flat_map(|number| {
                let voter = ProcessName::Voter(number);
                [timed(at, SoakStep::Kill(voter)), timed(at + lasting / 2, SoakStep::Start(voter))]
            })
            .collect(),
        8 => {
            let cut = cuts.choose(rng).copied().unwrap_or_default();
            span(SoakStep::EntryProxy(entry, cut), SoakStep::EntryProxy(entry, ProxyMode::Pass))
        }
        9 => {
            let cut = cuts.choose(rng).copied().unwrap_or_default();
            span(SoakStep::EngineProxies(cut), SoakStep::EngineProxies(ProxyMode::Pass))
        }
        10 => once(SoakStep::EntryProxy(entry, breaks.choose(rng).copied().unwrap_or_default())),
        11 => once(SoakStep::EngineProxies(breaks.choose(rng).copied().unwrap_or_default())),
        12 => span(SoakStep::CrashEngine(rng.random_range(0..8)), SoakStep::AddEngine),
        13 => span(SoakStep::LeaveEngine(rng.random_range(0..8)), SoakStep::AddEngine),
        _ => span(SoakStep::Misbehave(rng.random_range(20..300)), SoakStep::Misbehave(0)),
    }
}

/// Executes the schedule.
pub async fn carry_out(world: &Arc<SoakWorld>, steps: &[TimedStep]) {
    let began = tokio::time::Instant::now();
    // Processes that were told to terminate may exit until they are started again.
    let mut told = BTreeSet::new();
    for timed in steps {
        tokio::time::sleep_until(began + timed.at).await;
        fleet::reap(world, |name| told.contains(&name));
        do_step(world, timed.step, &mut told).await;
        world.step_done();
    }
    fleet::reap(world, |name| told.contains(&name));
}

async fn do_step(world: &Arc<SoakWorld>, step: SoakStep, told: &mut BTreeSet<ProcessName>) {
    match step {
        SoakStep::Kill(name) => fleet::kill(world, name),
        SoakStep::Start(name) => {
            // Kills a process that is still draining, as a platform does after the grace period.
            if told.remove(&name) {
                fleet::kill(world, name);
            }
            if let Err(error) = fleet::start(world, name) {
                world.ledger.broke("START", format!("{name:?}: {error}"));
            }
        }
        SoakStep::Signal(name, signal) => {
            if signal == SoakSignal::Term {
                told.insert(name);
            }
            fleet::signal(world, name, signal);
        }
        SoakStep::Wipe(voter) => {
            fleet::kill(world, ProcessName::Voter(voter));
            fleet::wipe(world, ProcessName::Voter(voter));
        }
        SoakStep::EntryProxy(entry, mode) => {
            world.disturb();
            world.proxies.set(world.address(AddressKind::EntryProxy, entry, CALLERS_PORT), mode);
        }
        SoakStep::EngineProxies(mode) => {
            world.disturb();
            let listed: Vec<_> =
                lock(&world.engines).engines.values().map(|engine| engine.listed).collect();
            listed.into_iter().for_each(|address| world.proxies.set(address, mode));
        }
        SoakStep::AddEngine => drop(engines::add(world).await),
        SoakStep::CrashEngine(place) => {
            world.disturb();
            pick_engine(world, place).into_iter().for_each(|number| engines::crash(world, number));
        }
        SoakStep::LeaveEngine(place) => {
            pick_engine(world, place).into_iter().for_each(|number| engines::leave(world, number));
        }
        SoakStep::Misbehave(per_mille) => engines::misbehave(per_mille),
    }
}

/// Picks an engine that is not draining; `None` if fewer than two are left.
fn pick_engine(world: &SoakWorld, place: usize) -> Option<usize> {
    let set = lock(&world.engines);
    let staying: Vec<usize> = set
        .engines
        .iter()
        .filter(|(_, engine)| engine.left_at.is_none())
        .map(|(number, _)| *number)
        .collect();
    if staying.len() < 2 { None } else { staying.get(place % staying.len()).copied() }
}
