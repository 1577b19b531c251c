//! Planned work and short stalls, for which no answer of a sound engine may be lost: series of edits and
//! signals, engines and processes that stand still for a moment.

use crate::context::FleetSizes;
use crate::fleet::{ProcessName, SoakSignal};
use crate::plan::{DRAIN_TIME, SoakStep, TimedStep};
use crate::tables::{CHANGE_KINDS, ROUTE_NAMES, TableChange};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;

/// Time between two edits of a series.
const EDIT_INTERVAL: Duration = Duration::from_millis(200);
/// Number of edits in a series, without the last one, which brings the plain table back.
const SERIES_EDITS: Range<u32> = 8..25;
/// Number of kinds of changes in a series.
const SERIES_KINDS: usize = 3;
/// Lengths of the stalls of processes and of the pauses of engines.
const STALL_MS: Range<u64> = 300..1_600;
pub const PAUSE_MS: Range<u64> = 500..2_400;
/// Time between two signals of a series.
const SIGNAL_INTERVAL: Duration = Duration::from_millis(300);
/// Share of the tables that differ from the plain one.
const CHANGED_SHARE: f64 = 0.7;

/// Draws planned work or stalls that begin at `at`.
pub fn draw(rng: &mut ChaCha8Rng, sizes: &FleetSizes, at: Duration) -> Vec<TimedStep> {
    let entry = ProcessName::Entry(rng.random_range(0..sizes.entries));
    let stall = Duration::from_millis(rng.random_range(STALL_MS));
    let timed = |at, step| TimedStep { at, step };
    match rng.random_range(0..8) {
        0..3 => edit_series(rng, at),
        3 | 4 => {
            let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
            vec![timed(at, SoakStep::PauseEngines { are_all: rng.random(), time: pause })]
        }
        // Processes that share a machine stand still together.
        5 => {
            let names = (0..sizes.entries).map(ProcessName::Entry);
            let stalled = names.filter(|name| *name == entry || rng.random_range(0..4) == 0);
            let steps = stalled.flat_map(|name| {
                [timed(at, SoakStep::Stall(name)), timed(at + stall, SoakStep::GoOn(name))]
            });
            steps.collect()
        }
        6 => {
            let signals = (0..rng.random_range(3..9)).map(|number| {
                let name = ProcessName::Entry(rng.random_range(0..sizes.entries));
                timed(at + SIGNAL_INTERVAL * number, SoakStep::Signal(name, SoakSignal::Hangup))
            });
            let signals: Vec<TimedStep> = signals.collect();
            signals.into_iter().chain(edit_series(rng, at)).collect()
        }
        _ => {
            let mut entries: Vec<usize> = (0..sizes.entries).collect();
            entries.shuffle(rng);
            let count = (sizes.entries / 2).max(1);
            let restarts = entries.into_iter().take(count).zip(0u32..).flat_map(|(entry, idx)| {
                let (name, at) = (ProcessName::Entry(entry), at + SIGNAL_INTERVAL * idx);
                [
                    timed(at, SoakStep::Signal(name, SoakSignal::Term)),
                    timed(at + DRAIN_TIME, SoakStep::Start(name)),
                ]
            });
            restarts.chain(edit_series(rng, at)).collect()
        }
    }
}

/// Edits of one route, and at last the plain table.
fn edit_series(rng: &mut ChaCha8Rng, at: Duration) -> Vec<TimedStep> {
    // Half of the series concern the streams that may be resumed.
    let route = if rng.random() { 3 } else { rng.random_range(0..ROUTE_NAMES.len()) };
    let kinds: Vec<_> = CHANGE_KINDS.choose_multiple(rng, SERIES_KINDS).copied().collect();
    let count = rng.random_range(SERIES_EDITS);
    let mut changes: Vec<TableChange> = (0..count)
        .map(|_| match kinds.choose(rng) {
            Some(kind) if rng.random_bool(CHANGED_SHARE) => TableChange { kind: *kind, route },
            _ => TableChange::PLAIN,
        })
        .collect();
    changes.push(TableChange::PLAIN);
    let timed = |(change, idx): (TableChange, u32)| TimedStep {
        at: at + EDIT_INTERVAL * idx,
        step: SoakStep::Edit(change),
    };
    changes.into_iter().zip(0u32..).map(timed).collect()
}

/// Voters that miss edits, and then the start of the whole fleet.
pub fn draw_fleet_restart(
    rng: &mut ChaCha8Rng,
    sizes: &FleetSizes,
    at: Duration,
) -> Vec<TimedStep> {
    let missing = rng.random_range(0..sizes.voters.div_ceil(2));
    let lost_at = at + Duration::from_millis(rng.random_range(500..2_000));
    let started_at = lost_at + Duration::from_millis(rng.random_range(50..800));
    let timed = |at, step| TimedStep { at, step };
    let mut steps: Vec<TimedStep> =
        (0..missing).map(|number| timed(at, SoakStep::Kill(ProcessName::Voter(number)))).collect();
    let voters = (0..sizes.voters).map(ProcessName::Voter);
    for name in voters.chain((0..sizes.entries).map(ProcessName::Entry)) {
        steps.push(timed(lost_at, SoakStep::Kill(name)));
        steps.push(timed(started_at, SoakStep::Start(name)));
    }
    steps
}
