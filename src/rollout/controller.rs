//! The leader's part of a roll-out: sums the daemons' counts and decides when the roll-out
//! advances, completes or is rolled back.

use super::counts::{OutcomeCounts, VersionArm};
use super::log::RolloutRecord;
use super::messages::RolloutReport;
use super::stage::{RolloutEvent, RolloutStage};
use super::verdict::{VersionVerdict, compare_versions};
use crate::policy::Moment;
use crate::table::DaemonName;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Minimum fraction of the ordered duration spent in the trial. A version that degrades after half
/// of the duration is still detected in the trial.
const MIN_TRIAL_FRACTION: f64 = 0.55;
/// Fraction of the ordered duration after which a trial that is still inconclusive ends.
const MAX_TRIAL_FRACTION: f64 = 0.8;
/// Fraction of the ordered duration spent at the larger share.
const EXPANDING_FRACTION: f64 = 0.08;
/// Minimum time spent at the larger share, so that the daemons' counts from it arrive.
const MIN_EXPANDING_TIME: Duration = Duration::from_millis(1_000);
/// Outcomes are evaluated over the whole roll-out and over this most recent window: a version that
/// degrades late has many earlier successes that would hide it.
const RECENT_WINDOW: Duration = Duration::from_millis(2_000);
/// Minimum time between two evaluations of the counts.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum number of outcomes on the new version before it is evaluated.
const MIN_NEW_ANSWERS: u64 = 10;

/// The last report of one daemon.
#[derive(Clone, Debug)]
struct DaemonCounts {
    boot: u64,
    report: RolloutReport,
}

/// A stage change of a roll-out and the data that led to it, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutDecision {
    /// Event that changes the stage.
    pub event: RolloutEvent,
    /// Verdict on the new version.
    pub verdict: VersionVerdict,
    /// Number of outcomes on the old version and on the new one.
    pub answers: (u64, u64),
    /// Number of failures among them.
    pub failures: (u64, u64),
}

/// The leader's state of one roll-out.
#[derive(Clone, Debug)]
pub struct RolloutController {
    number: u64,
    /// Milliseconds elapsed when this leader took over, and the moment when it did.
    start: (u64, Moment),
    stage: RolloutStage,
    stage_since: Moment,
    daemons: BTreeMap<DaemonName, DaemonCounts>,
    /// Counts from earlier process starts of the daemons.
    ended_counts: OutcomeCounts,
    count_history: VecDeque<(Moment, OutcomeCounts)>,
}

impl RolloutController {
    /// Takes over a roll-out that has been running for `elapsed_ms` at `now`.
    pub fn new(record: &RolloutRecord, elapsed_ms: u64, now: Moment) -> Self {
        RolloutController {
            number: record.number,
            start: (elapsed_ms, now),
            stage: record.stage,
            stage_since: now,
            daemons: BTreeMap::new(),
            ended_counts: OutcomeCounts::default(),
            count_history: VecDeque::new(),
        }
    }

    /// Number of the roll-out.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Milliseconds since the start of the roll-out.
    pub fn elapsed_ms(&self, now: Moment) -> u64 {
        self.start.0 + now.since(self.start.1).as_millis() as u64
    }

    /// Stores a daemon's report; reports on other roll-outs are ignored.
    pub fn record_report(&mut self, daemon: &DaemonName, boot: u64, report: RolloutReport) {
        if report.number != self.number {
            return;
        }
        let known = self.daemons.insert(daemon.clone(), DaemonCounts { boot, report });
        if let Some(known) = known.filter(|known| known.boot != boot) {
            self.ended_counts.add(&known.report.counts);
        }
    }

    fn counts(&self) -> OutcomeCounts {
        let mut counts = self.ended_counts.clone();
        self.daemons.values().for_each(|daemon| counts.add(&daemon.report.counts));
        counts
    }

    /// Returns the stage change that is due, if any. `live` maps the daemons that serve callers and
    /// hold a lease to their boot numbers.
    pub fn decide(
        &mut self,
        record: &RolloutRecord,
        live: &BTreeMap<DaemonName, u64>,
        now: Moment,
    ) -> Option<RolloutDecision> {
        if record.stage != self.stage {
            (self.stage, self.stage_since) = (record.stage, now);
        }
        let is_evaluated =
            self.count_history.back().is_some_and(|(at, _)| now.since(*at) < EVALUATION_INTERVAL);
        if record.stage.is_final() || is_evaluated {
            return None;
        }
        let counts = self.counts();
        let verdict = self.verdict(&counts);
        self.count_history.push_back((now, counts.clone()));
        while self.count_history.get(1).is_some_and(|(at, _)| now.since(*at) >= RECENT_WINDOW) {
            self.count_history.pop_front();
        }
        let event = self.due_event(record, verdict, live, now)?;
        let arms = (VersionArm::Old, VersionArm::New);
        Some(RolloutDecision {
            event,
            verdict,
            answers: (counts.total(arms.0), counts.total(arms.1)),
            failures: (counts.failures(arms.0), counts.failures(arms.1)),
        })
    }

    fn verdict(&self, counts: &OutcomeCounts) -> VersionVerdict {
        if counts.total(VersionArm::New) < MIN_NEW_ANSWERS {
            return VersionVerdict::Unclear;
        }
        let whole = compare_versions(counts, counts);
        let Some((_, earlier)) = self.count_history.front().filter(|_| !whole.is_bad()) else {
            return whole;
        };
        let recent = compare_versions(&counts.since(earlier), counts);
        if recent.is_bad() { recent } else { whole }
    }

    fn due_event(
        &self,
        record: &RolloutRecord,
        verdict: VersionVerdict,
        live: &BTreeMap<DaemonName, u64>,
        now: Moment,
    ) -> Option<RolloutEvent> {
        if verdict.is_bad() {
            return Some(RolloutEvent::Condemned);
        }
        let time_limit = |fraction: f64| (record.order.duration_ms as f64 * fraction) as u64;
        let elapsed = self.elapsed_ms(now);
        match record.stage {
            RolloutStage::Trial if elapsed >= time_limit(MAX_TRIAL_FRACTION) => match verdict {
                VersionVerdict::Sound => Some(RolloutEvent::Approved),
                // There is no evidence for the new version. The old one still serves, so rolling
                // back costs callers nothing.
                _ => Some(RolloutEvent::Condemned),
            },
            RolloutStage::Trial if elapsed >= time_limit(MIN_TRIAL_FRACTION) => {
                (verdict == VersionVerdict::Sound).then_some(RolloutEvent::Approved)
            }
            RolloutStage::Expanding => {
                let min_time =
                    record.duration().mul_f64(EXPANDING_FRACTION).max(MIN_EXPANDING_TIME);
                let has_elapsed = now.since(self.stage_since) >= min_time;
                (has_elapsed && verdict == VersionVerdict::Sound).then_some(RolloutEvent::Approved)
            }
            RolloutStage::Draining => self.is_drained(live).then_some(RolloutEvent::Drained),
            _ => None,
        }
    }

    /// Returns true once every live daemon sends all requests to the new version and has none left
    /// on the old one.
    fn is_drained(&self, live: &BTreeMap<DaemonName, u64>) -> bool {
        !live.is_empty()
            && live.iter().all(|(daemon, boot)| {
                self.daemons.get(daemon).is_some_and(|known| {
                    known.boot == *boot
                        && known.report.stage == RolloutStage::Draining
                        && known.report.on_old == 0
                })
            })
    }
}
