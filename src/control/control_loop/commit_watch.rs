//! Reports entries that wait for a quorum, and the times without the leader's lease.

use super::ControlLoop;
use crate::policy::Moment;
use crate::replica::{ReplicaCore, ReplicaRole, ReplicatedCommand};
use metrics::gauge;
use slog::{info, warn};
use std::time::Duration;

/// Gauge of the time since which the commit index stands still while entries wait, in seconds; not a
/// number on daemons that do not lead.
const STALL_GAUGE: &str = "tarragonknot_commit_stall_seconds";
/// Time without progress from which it is logged: twice the election timeout.
const REPORTED_STALL: Duration = Duration::from_millis(1_000);

/// What a leader last saw of its commit index and its lease.
#[derive(Debug, Default)]
pub struct CommitWatch {
    /// The commit index at which entries wait, since when, and whether that is logged.
    stall: Option<(u64, Moment, bool)>,
    /// Since when the leader has had no lease; `None` while it holds one or does not lead.
    without_lease: Option<Moment>,
}

impl CommitWatch {
    /// Time since which the commit index stands still while entries wait.
    fn observe<C: ReplicatedCommand>(&mut self, core: &ReplicaCore<C>, now: Moment) -> Duration {
        let commit = core.commit_index();
        if core.role() != ReplicaRole::Leader || core.log().last().index <= commit {
            self.stall = None;
        } else if self.stall.is_none_or(|(index, ..)| index != commit) {
            self.stall = Some((commit, now, false));
        }
        self.stall.map_or(Duration::ZERO, |(_, since, _)| now.since(since))
    }

    /// True once for each stall, when it has lasted long enough to be logged.
    fn is_due(&mut self, stalled: Duration) -> bool {
        let Some((_, _, is_logged)) = &mut self.stall else { return false };
        stalled >= REPORTED_STALL && !std::mem::replace(is_logged, true)
    }
}

impl ControlLoop {
    /// Logs entries that have waited for long, with what each member has acknowledged.
    pub(super) fn watch_commits(&mut self, now: Moment) {
        let Some(core) = &self.core else { return };
        let stalled = self.commit_watch.observe(core, now);
        let leads = core.role() == ReplicaRole::Leader;
        gauge!(STALL_GAUGE).set(if leads { stalled.as_secs_f64() } else { f64::NAN });
        if self.commit_watch.is_due(stalled) {
            warn!(self.setup.log, "entries wait for a quorum"; "stalled_ms" => stalled.as_millis() as u64,
                "term" => core.term(), "committed" => core.commit_index(), "last_index" => core.log().last().index,
                "voters" => core.membership().voters.len(), "acknowledged" => self.acknowledgements(now));
        }
        self.watch_lease(now);
    }

    /// Logs that this leader has no lease, and when it holds one again.
    fn watch_lease(&mut self, now: Moment) {
        let leads = self.core.as_ref().is_some_and(|core| core.role() == ReplicaRole::Leader);
        match (leads, self.holds_lease(), self.commit_watch.without_lease) {
            (true, false, None) => {
                info!(self.setup.log, "leads without a lease"; "acknowledged" => self.acknowledgements(now));
                self.commit_watch.without_lease = Some(now);
            }
            (true, true, Some(since)) => {
                info!(self.setup.log, "holds the lease"; "after_ms" => now.since(since).as_millis() as u64);
                self.commit_watch.without_lease = None;
            }
            (false, _, Some(_)) => self.commit_watch.without_lease = None,
            _ => {}
        }
    }

    /// The index that each other member has acknowledged, its lag in bytes and the time since its last
    /// reply, as text for the log.
    fn acknowledgements(&self, now: Moment) -> String {
        let Some(core) = &self.core else { return String::new() };
        let others = core.membership().members().map(|(id, _)| id).filter(|id| *id != core.id());
        let rows = others.filter_map(|id| {
            let silent_ms = now.since(core.last_contact(id)?).as_millis();
            let (index, lag) = (core.match_index(id)?, core.lag(id)?);
            Some(format!("{id} {index} lag_bytes {} silent_ms {silent_ms}", lag.bytes))
        });
        rows.collect::<Vec<String>>().join(", ")
    }
}
