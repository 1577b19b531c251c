//! Releases of the engines' software, with entries that are out of step while a version joins or leaves,
//! and the loss of other entries soon after: streams of the new version break and are taken up there.

use crate::context::FleetSizes;
use crate::cuts::{CutWay, DaemonCut};
use crate::fleet::{ProcessName, SoakSignal};
use crate::plan::{SoakStep, TimedStep};
use crate::proxy::ProxyMode;
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;

/// Time of the first release: by then, entries have watched the first version for long enough.
const FIRST_RELEASE_MS: Range<u64> = 3_400..4_200;
/// Time between the starts of two releases; the version before is no longer remembered then.
const RELEASE_INTERVAL_MS: Range<u64> = 6_000..6_800;
/// Time from the start of a release until the engines of the version before drain, and from then until
/// they leave.
const OVERLAP_MS: Range<u64> = 1_200..2_000;
const DRAIN_MS: Range<u64> = 400..800;
/// One in how many engines joins at the start of a release.
const JOINING_PART: usize = 2;
/// How long entries are out of step, and how long before the engines join or leave this begins.
const DISRUPTION_MS: Range<u64> = 300..3_000;
const LEAD_MS: Range<u64> = 0..250;
/// Time from the change of the engines until other entries are killed, and how long those are down.
const KILL_DELAY_MS: Range<u64> = 500..1_500;
const DOWN_MS: Range<u64> = 400..1_500;
/// Time from kills to the end of a disruption that they are placed by.
const KILL_LEAD_MS: Range<u64> = 0..600;
/// Half of the cuts are of both directions.
const CUT_WAYS: [CutWay; 4] = [CutWay::Both, CutWay::Both, CutWay::In, CutWay::Out];
/// An entry that is slowed runs and stands still in turns.
const SLOW_RUN: Duration = Duration::from_millis(30);
const SLOW_STOP: Duration = Duration::from_millis(90);

/// Draws a length of time.
fn draw(rng: &mut ChaCha8Rng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

fn timed(at: Duration, step: SoakStep) -> TimedStep {
    TimedStep { at, step }
}

/// Computes the releases of a seed and the disruptions beside them.
pub fn schedule(rng: &mut ChaCha8Rng, length: Duration, sizes: &FleetSizes) -> Vec<TimedStep> {
    let mut steps = Vec::new();
    let mut at = draw(rng, FIRST_RELEASE_MS);
    while at < length {
        let joining = (sizes.engines / JOINING_PART).max(1);
        let draining_at = at + draw(rng, OVERLAP_MS);
        let left_at = draining_at + draw(rng, DRAIN_MS);
        steps.push(timed(at, SoakStep::BeginRelease(joining)));
        steps.push(timed(draining_at, SoakStep::DrainReplaced(sizes.engines - joining)));
        steps.push(timed(left_at, SoakStep::RemoveReplaced));
        steps.append(&mut draw_disruption(rng, sizes, at));
        if rng.random() {
            steps.append(&mut draw_disruption(rng, sizes, left_at));
        }
        at += draw(rng, RELEASE_INTERVAL_MS);
    }
    steps.sort_by_key(|timed| timed.at);
    steps
}

/// Draws entries that are out of step around the moment `at`, and kills of others.
fn draw_disruption(rng: &mut ChaCha8Rng, sizes: &FleetSizes, at: Duration) -> Vec<TimedStep> {
    let mut entries: Vec<usize> = (0..sizes.entries).collect();
    entries.shuffle(rng);
    let count = rng.random_range(1..=2).min(sizes.entries - 1);
    let others = entries.split_off(count);
    let began_at = at.saturating_sub(draw(rng, LEAD_MS));
    let time = draw(rng, DISRUPTION_MS);
    let ends_at = began_at + time;
    let mut steps = match rng.random_range(0..6) {
        0 | 1 => pause(&entries, began_at, time),
        2 => slow(&entries, began_at, time),
        _ => cut(rng, &entries, began_at, time),
    };
    // Half of the kills take place just before the end of the disruption.
    let killed_at = match rng.random() {
        true => ends_at.saturating_sub(draw(rng, KILL_LEAD_MS)),
        false => at + draw(rng, KILL_DELAY_MS),
    };
    let killed = if rng.random() { others.len() } else { others.len().div_ceil(2) };
    for entry in others.into_iter().take(killed).map(ProcessName::Entry) {
        steps.push(timed(killed_at, SoakStep::Kill(entry)));
        steps.push(timed(killed_at + draw(rng, DOWN_MS), SoakStep::Start(entry)));
    }
    steps
}

/// Cuts entries off from all other daemons for `time`, and in half of the cases from the platform's list.
fn cut(rng: &mut ChaCha8Rng, entries: &[usize], at: Duration, time: Duration) -> Vec<TimedStep> {
    let way = CUT_WAYS.choose(rng).copied().unwrap_or(CutWay::Both);
    let ends = [entries[0], entries[entries.len() - 1]];
    let mut steps = vec![timed(at, SoakStep::Cut(DaemonCut { entries: ends, way, time }))];
    if rng.random() {
        for entry in entries {
            steps.push(timed(at, SoakStep::ListProxy(*entry, ProxyMode::CutBack)));
            steps.push(timed(at + time, SoakStep::ListProxy(*entry, ProxyMode::Pass)));
        }
    }
    steps
}

/// Lets entries stand still for `time`.
fn pause(entries: &[usize], at: Duration, time: Duration) -> Vec<TimedStep> {
    let pause_of = |entry: &usize| {
        let name = ProcessName::Entry(*entry);
        [
            timed(at, SoakStep::Signal(name, SoakSignal::Stop)),
            timed(at + time, SoakStep::Signal(name, SoakSignal::Cont)),
        ]
    };
    entries.iter().flat_map(pause_of).collect()
}

/// Lets entries run at a quarter of their pace for `time`.
fn slow(entries: &[usize], at: Duration, time: Duration) -> Vec<TimedStep> {
    let period = SLOW_RUN + SLOW_STOP;
    let turns = (time.as_millis() / period.as_millis()) as u32;
    (0..turns).flat_map(|turn| pause(entries, at + period * turn, SLOW_STOP)).collect()
}
