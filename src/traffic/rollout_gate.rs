//! Roll-outs as a daemon acts on them: which version a request goes to, and what came of it.

use crate::policy::{Moment, UpstreamHash};
use crate::rollout::{
    OutcomeCounts, RequestGroup, RolloutReport, RolloutRow, RolloutRows, RolloutStage, SharePacer,
    VersionArm, VersionOutcome,
};
use crate::table::ServiceName;
use arc_swap::ArcSwapOption;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// A daemon that has not heard the leader for this long sends nothing to a version on trial: it may have been rolled back.
const HEARD_FOR: Duration = Duration::from_millis(1_500);

/// What this daemon sent to a roll-out's versions, and what came of it.
#[derive(Debug)]
struct TrialState {
    number: u64,
    pace: SharePacer,
    counts: OutcomeCounts,
}

type TrialStates = Arc<Mutex<BTreeMap<ServiceName, TrialState>>>;

/// The roll-outs that this daemon knows of.
#[derive(Debug)]
pub struct RolloutGate {
    /// None until the leader has named them.
    rows: ArcSwapOption<RolloutRows>,
    heard_at: AtomicU64,
    states: TrialStates,
    news: watch::Sender<()>,
}

impl Default for RolloutGate {
    fn default() -> Self {
        RolloutGate {
            rows: ArcSwapOption::empty(),
            heard_at: AtomicU64::new(0),
            states: TrialStates::default(),
            news: watch::Sender::new(()),
        }
    }
}

fn lock(states: &TrialStates) -> MutexGuard<'_, BTreeMap<ServiceName, TrialState>> {
    states.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RolloutGate {
    /// Takes the leader's rows; true if they differ from those known. `draw` is where new paces begin, 0.0 to 1.0.
    pub fn take(&self, rows: RolloutRows, draw: f64) -> bool {
        if self.rows.load().as_deref() == Some(&rows) {
            return false;
        }
        let mut states = lock(&self.states);
        for row in &rows.0 {
            let is_known = states.get(&row.service).is_some_and(|state| state.number == row.number);
            if !is_known {
                let pace = SharePacer::new(draw);
                let state =
                    TrialState { number: row.number, pace, counts: OutcomeCounts::default() };
                states.insert(row.service.clone(), state);
            }
        }
        drop(states);
        self.rows.store(Some(Arc::new(rows)));
        true
    }

    /// The leader was heard at `now`.
    pub fn confirm(&self, now: Moment) {
        self.heard_at.store(now.0, Ordering::Release);
    }

    /// Digest of the rows that are known; 0 if none were received.
    pub fn digest(&self) -> u64 {
        self.rows.load().as_deref().map_or(0, RolloutRows::digest)
    }

    /// The newest roll-out of a service.
    pub fn row(&self, service: &ServiceName) -> Option<RolloutRow> {
        let rows = self.rows.load();
        rows.as_ref()?.0.iter().find(|row| row.service == *service).cloned()
    }

    fn is_heard(&self, now: Moment) -> bool {
        now.since(Moment(self.heard_at.load(Ordering::Acquire))) < HEARD_FOR
    }

    /// The request's part of the share of a version on trial, if one is due. `has_new`: that version has upstreams.
    pub fn ticket(&self, row: &RolloutRow, has_new: bool, now: Moment) -> Option<TrialTicket> {
        let is_trial = matches!(row.stage, RolloutStage::Trial | RolloutStage::Expanding);
        if !is_trial || !has_new || !self.is_heard(now) {
            return None;
        }
        let mut states = lock(&self.states);
        let state = states.get_mut(&row.service)?;
        state.pace.try_take().then(|| TrialTicket {
            states: Arc::clone(&self.states),
            service: row.service.clone(),
            is_sent: AtomicBool::new(false),
        })
    }

    /// The version that requests without a ticket go to; `live` tells whether the old and the new one have upstreams.
    pub fn arm_in_use(&self, row: &RolloutRow, live: (bool, bool), now: Moment) -> VersionArm {
        match row.stage {
            RolloutStage::Trial | RolloutStage::Expanding | RolloutStage::RolledBack => {
                VersionArm::Old
            }
            // It may have been rolled back since: what the list still names decides.
            RolloutStage::Draining if !self.is_heard(now) && live.0 => VersionArm::Old,
            RolloutStage::Draining | RolloutStage::Completed if live.1 => VersionArm::New,
            RolloutStage::Draining | RolloutStage::Completed if live.0 => VersionArm::Old,
            RolloutStage::Draining | RolloutStage::Completed => VersionArm::New,
        }
    }

    /// True if a request that was meant for `arm` may still be sent there; `live` as for [`RolloutGate::arm_in_use`].
    pub fn allows(
        &self,
        row: &RolloutRow,
        arm: VersionArm,
        live: (bool, bool),
        now: Moment,
    ) -> bool {
        let is_trial = matches!(row.stage, RolloutStage::Trial | RolloutStage::Expanding);
        let may_try = is_trial && arm == VersionArm::New && self.is_heard(now);
        may_try || arm == self.arm_in_use(row, live, now)
    }

    /// Wakes the requests that wait: the roll-outs have changed.
    pub fn tell_news(&self) {
        self.news.send_replace(());
    }

    /// Hears of changes from now on.
    pub fn news(&self) -> watch::Receiver<()> {
        self.news.subscribe()
    }

    /// A request was sent to the old version of a service.
    pub fn note_sent_to_old(&self, service: &ServiceName) {
        let Some(row) = self.row(service).filter(|row| !row.stage.is_final()) else { return };
        if row.share() < 1.0
            && let Some(state) = lock(&self.states).get_mut(service)
        {
            state.pace.record_old_send(row.share());
        }
    }

    /// Counts what came of a request.
    pub fn note_answer(
        &self,
        service: &ServiceName,
        arm: VersionArm,
        group: RequestGroup,
        upstream: UpstreamHash,
        answer: VersionOutcome,
    ) {
        if self.row(service).is_none_or(|row| row.stage.is_final()) {
            return;
        }
        if let Some(state) = lock(&self.states).get_mut(service) {
            state.counts.record(arm, group, upstream, answer);
        }
    }

    /// The reports for the leader; `on_old` counts the requests that wait for or run on a roll-out's old version.
    pub fn reports(&self, on_old: impl Fn(&RolloutRow) -> u32) -> Vec<RolloutReport> {
        let rows = self.rows.load();
        let rows = rows.iter().flat_map(|rows| &rows.0).filter(|row| !row.stage.is_final());
        let report = |row: &RolloutRow| {
            // Taken before the counts: a request that ends meanwhile is counted twice rather than not at all.
            let on_old = on_old(row);
            let states = lock(&self.states);
            let state = states.get(&row.service)?;
            let counts = state.counts.clone();
            Some(RolloutReport { number: row.number, stage: row.stage, on_old, counts })
        };
        rows.filter_map(report).collect()
    }
}

/// A request's part of a trial's share. Dropped unsent, the part goes to a later request.
#[derive(Debug)]
pub struct TrialTicket {
    states: TrialStates,
    service: ServiceName,
    is_sent: AtomicBool,
}

impl TrialTicket {
    /// The request was sent to the version on trial.
    pub fn sent(&self) {
        self.is_sent.store(true, Ordering::Relaxed);
    }
}

impl Drop for TrialTicket {
    fn drop(&mut self) {
        if !self.is_sent.load(Ordering::Relaxed)
            && let Some(state) = lock(&self.states).get_mut(&self.service)
        {
            state.pace.refund();
        }
    }
}
