//! The leader's side: gathers what daemons count, and says when a roll-out goes on, ends or is rolled back.

use super::counts::{AnswerCounts, VersionArm};
use super::judge::{VersionVerdict, judge};
use super::log::RolloutRecord;
use super::messages::RolloutReport;
use super::stage::{RolloutEvent, RolloutStage};
use crate::policy::Moment;
use crate::table::DaemonName;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Part of the time ordered that the trial takes: a version that turns bad after half of it is still found in the trial.
const TRIAL_PART: f64 = 0.55;
/// Part after which a trial whose answers are too few to say anything ends.
const LONGEST_TRIAL_PART: f64 = 0.8;
/// Part of the time ordered that the larger share is kept for.
const EXPANDING_PART: f64 = 0.08;
/// At least this long, so that the daemons' counts under the larger share arrive.
const LEAST_EXPANDING: Duration = Duration::from_millis(1_000);
/// Answers are judged over the whole time, and over the last moments: a version that turns bad later has many good answers.
const RECENT: Duration = Duration::from_millis(2_000);
/// Time between two readings of the counts.
const READING_PAUSE: Duration = Duration::from_millis(250);
/// Answers on the new version without which nothing is said of it.
const LEAST_ANSWERS: u64 = 10;

/// What one daemon reported last.
#[derive(Clone, Debug)]
struct DaemonCounts {
    boot: u64,
    report: RolloutReport,
}

/// Why a roll-out's stage changes; for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutDecision {
    /// What happens.
    pub event: RolloutEvent,
    /// What the answers say.
    pub verdict: VersionVerdict,
    /// Answers on the old version and on the new one.
    pub answers: (u64, u64),
    /// Failures among them.
    pub failures: (u64, u64),
}

/// One roll-out as the leader sees it.
#[derive(Clone, Debug)]
pub struct RolloutDirector {
    number: u64,
    /// The time passed when this leader began, and when that was.
    began: (u64, Moment),
    stage: RolloutStage,
    stage_since: Moment,
    daemons: BTreeMap<DaemonName, DaemonCounts>,
    /// Counts of daemons' earlier starts.
    ended: AnswerCounts,
    readings: VecDeque<(Moment, AnswerCounts)>,
}

impl RolloutDirector {
    /// The director of a roll-out that had lasted `elapsed_ms` at `now`.
    pub fn new(record: &RolloutRecord, elapsed_ms: u64, now: Moment) -> Self {
        RolloutDirector {
            number: record.number,
            began: (elapsed_ms, now),
            stage: record.stage,
            stage_since: now,
            daemons: BTreeMap::new(),
            ended: AnswerCounts::default(),
            readings: VecDeque::new(),
        }
    }

    /// The roll-out's number.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Milliseconds from the roll-out's beginning.
    pub fn elapsed_ms(&self, now: Moment) -> u64 {
        self.began.0 + now.since(self.began.1).as_millis() as u64
    }

    /// Takes a daemon's report of it.
    pub fn take(&mut self, daemon: &DaemonName, boot: u64, report: RolloutReport) {
        if report.number != self.number {
            return;
        }
        let known = self.daemons.insert(daemon.clone(), DaemonCounts { boot, report });
        if let Some(known) = known.filter(|known| known.boot != boot) {
            self.ended.add(&known.report.counts);
        }
    }

    fn counts(&self) -> AnswerCounts {
        let mut counts = self.ended.clone();
        self.daemons.values().for_each(|daemon| counts.add(&daemon.report.counts));
        counts
    }

    /// What happens now, if anything. `live` are the daemons that serve callers and hold a lease, with their boots.
    pub fn decide(
        &mut self,
        record: &RolloutRecord,
        live: &BTreeMap<DaemonName, u64>,
        now: Moment,
    ) -> Option<RolloutDecision> {
        if record.stage != self.stage {
            (self.stage, self.stage_since) = (record.stage, now);
        }
        let is_read = self.readings.back().is_some_and(|(at, _)| now.since(*at) < READING_PAUSE);
        if record.stage.is_final() || is_read {
            return None;
        }
        let counts = self.counts();
        let verdict = self.verdict(&counts);
        self.readings.push_back((now, counts.clone()));
        while self.readings.get(1).is_some_and(|(at, _)| now.since(*at) >= RECENT) {
            self.readings.pop_front();
        }
        let event = self.event(record, verdict, live, now)?;
        let arms = (VersionArm::Old, VersionArm::New);
        Some(RolloutDecision {
            event,
            verdict,
            answers: (counts.total(arms.0), counts.total(arms.1)),
            failures: (counts.failures(arms.0), counts.failures(arms.1)),
        })
    }

    fn verdict(&self, counts: &AnswerCounts) -> VersionVerdict {
        if counts.total(VersionArm::New) < LEAST_ANSWERS {
            return VersionVerdict::Unclear;
        }
        let whole = judge(counts, counts);
        let Some((_, earlier)) = self.readings.front().filter(|_| !whole.is_bad()) else {
            return whole;
        };
        let recent = judge(&counts.since(earlier), counts);
        if recent.is_bad() { recent } else { whole }
    }

    fn event(
        &self,
        record: &RolloutRecord,
        verdict: VersionVerdict,
        live: &BTreeMap<DaemonName, u64>,
        now: Moment,
    ) -> Option<RolloutEvent> {
        if verdict.is_bad() {
            return Some(RolloutEvent::Condemned);
        }
        let part = |part: f64| (record.order.duration_ms as f64 * part) as u64;
        let elapsed = self.elapsed_ms(now);
        match record.stage {
            RolloutStage::Trial if elapsed >= part(LONGEST_TRIAL_PART) => match verdict {
                VersionVerdict::Sound => Some(RolloutEvent::Approved),
                // Nothing speaks for it, and the old version serves: callers lose nothing by staying.
                _ => Some(RolloutEvent::Condemned),
            },
            RolloutStage::Trial if elapsed >= part(TRIAL_PART) => {
                (verdict == VersionVerdict::Sound).then_some(RolloutEvent::Approved)
            }
            RolloutStage::Expanding => {
                let least = record.duration().mul_f64(EXPANDING_PART).max(LEAST_EXPANDING);
                let is_over = now.since(self.stage_since) >= least;
                (is_over && verdict == VersionVerdict::Sound).then_some(RolloutEvent::Approved)
            }
            RolloutStage::Draining => self.is_drained(live).then_some(RolloutEvent::Drained),
            _ => None,
        }
    }

    /// True once every live daemon sends all requests to the new version and has none left on the old one.
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
