//! A daemon's part in roll-outs: selects the version for each request and counts the answers.

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

/// Time without contact to the leader after which a daemon sends nothing more to a version on
/// trial, since that version may have been rolled back.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// This daemon's requests to the versions of a roll-out, and their answers.
#[derive(Debug)]
struct TrialState {
    number: u64,
    pace: SharePacer,
    counts: OutcomeCounts,
}

type TrialStates = Arc<Mutex<BTreeMap<ServiceName, TrialState>>>;

/// Roll-outs known to this daemon.
#[derive(Debug)]
pub struct RolloutGate {
    /// Empty until the leader has sent the rows.
    rows: ArcSwapOption<RolloutRows>,
    leader_heard_at: AtomicU64,
    states: TrialStates,
    changes: watch::Sender<()>,
}

impl Default for RolloutGate {
    fn default() -> Self {
        RolloutGate {
            rows: ArcSwapOption::empty(),
            leader_heard_at: AtomicU64::new(0),
            states: TrialStates::default(),
            changes: watch::Sender::new(()),
        }
    }
}

fn lock(states: &TrialStates) -> MutexGuard<'_, BTreeMap<ServiceName, TrialState>> {
    states.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RolloutGate {
    /// Replaces the rows by the leader's; returns true if they changed. `draw` is the initial
    /// position of new paces, 0.0 to 1.0.
    pub fn replace_rows(&self, rows: RolloutRows, draw: f64) -> bool {
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

    /// Records contact with the leader at `now`.
    pub fn confirm_leader(&self, now: Moment) {
        self.leader_heard_at.store(now.0, Ordering::Release);
    }

    /// Digest of the known rows; 0 if none were received.
    pub fn digest(&self) -> u64 {
        self.rows.load().as_deref().map_or(0, RolloutRows::digest)
    }

    /// Latest roll-out of a service.
    pub fn row(&self, service: &ServiceName) -> Option<RolloutRow> {
        let rows = self.rows.load();
        rows.as_ref()?.0.iter().find(|row| row.service == *service).cloned()
    }

    fn has_leader_contact(&self, now: Moment) -> bool {
        now.since(Moment(self.leader_heard_at.load(Ordering::Acquire))) < LEADER_TIMEOUT
    }

    /// Returns a ticket if the next request is due to go to the version on trial.
    /// `has_new_upstreams` is true if that version has upstreams.
    pub fn ticket(
        &self,
        row: &RolloutRow,
        has_new_upstreams: bool,
        now: Moment,
    ) -> Option<TrialTicket> {
        let is_trial = matches!(row.stage, RolloutStage::Trial | RolloutStage::Expanding);
        if !is_trial || !has_new_upstreams || !self.has_leader_contact(now) {
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

    /// Arm for requests without a ticket. `live` states whether the old and the new version have
    /// live upstreams.
    pub fn arm_in_use(&self, row: &RolloutRow, live: (bool, bool), now: Moment) -> VersionArm {
        match row.stage {
            RolloutStage::Trial | RolloutStage::Expanding | RolloutStage::RolledBack => {
                VersionArm::Old
            }
            // Without contact to the leader it may have been rolled back: the old version is used
            // while its upstreams are listed.
            RolloutStage::Draining if !self.has_leader_contact(now) && live.0 => VersionArm::Old,
            RolloutStage::Draining | RolloutStage::Completed if live.1 => VersionArm::New,
            RolloutStage::Draining | RolloutStage::Completed if live.0 => VersionArm::Old,
            RolloutStage::Draining | RolloutStage::Completed => VersionArm::New,
        }
    }

    /// True if a request assigned to `arm` may still be sent there. `live` has the same meaning as
    /// in [`RolloutGate::arm_in_use`].
    pub fn allows(
        &self,
        row: &RolloutRow,
        arm: VersionArm,
        live: (bool, bool),
        now: Moment,
    ) -> bool {
        let is_trial = matches!(row.stage, RolloutStage::Trial | RolloutStage::Expanding);
        let may_try = is_trial && arm == VersionArm::New && self.has_leader_contact(now);
        may_try || arm == self.arm_in_use(row, live, now)
    }

    /// Wakes the waiting requests after a change of the roll-outs.
    pub fn notify_changed(&self) {
        self.changes.send_replace(());
    }

    /// Subscribes to changes from now on.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Records that a request was sent to the old version of a service.
    pub fn note_sent_to_old(&self, service: &ServiceName) {
        let Some(row) = self.row(service).filter(|row| !row.stage.is_final()) else { return };
        if row.share() < 1.0
            && let Some(state) = lock(&self.states).get_mut(service)
        {
            state.pace.record_old_send(row.share());
        }
    }

    /// Counts the answer to a request.
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

    /// Reports for the leader. `on_old` returns the number of requests that wait for or run on the
    /// old version of a roll-out.
    pub fn reports(&self, on_old: impl Fn(&RolloutRow) -> u32) -> Vec<RolloutReport> {
        let rows = self.rows.load();
        let rows = rows.iter().flat_map(|rows| &rows.0).filter(|row| !row.stage.is_final());
        let report = |row: &RolloutRow| {
            // Read before the counts, so that a request that ends in between is counted twice
            // rather than not at all.
            let on_old = on_old(row);
            let states = lock(&self.states);
            let state = states.get(&row.service)?;
            let counts = state.counts.clone();
            Some(RolloutReport { number: row.number, stage: row.stage, on_old, counts })
        };
        rows.filter_map(report).collect()
    }
}

/// Assigns a request to the share of a version on trial. If it is dropped unsent, a later request
/// takes its part of the share.
#[derive(Debug)]
pub struct TrialTicket {
    states: TrialStates,
    service: ServiceName,
    is_sent: AtomicBool,
}

impl TrialTicket {
    /// Records that the request was sent to the version on trial.
    pub fn mark_sent(&self) {
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
