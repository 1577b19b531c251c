//! The poison request, which crashes engines, and the daemons' crash tables.

use crate::policy::{Moment, UpstreamHash};
use crate::quarantine::{CrashTable, RequestFingerprint};
use crate::table::DaemonName;
use std::time::Duration;

/// Delay before the caller sends the poison request again, to the next daemon.
pub const ATTEMPT_DELAY: Duration = Duration::from_millis(200);
/// Dispatches per attempt: the first, and one that resumes the stream at another engine.
pub const DISPATCHES_PER_ATTEMPT: usize = 2;
/// Time from an engine's crash until it is available again.
pub const ENGINE_RESTART_TIME: Duration = Duration::from_secs(3);
/// Interval between the daemons' exchanges of crash records.
pub const CRASH_UPDATE_INTERVAL: Duration = Duration::from_millis(50);
/// Fingerprint of the poison request; those of other requests start at 1.
const POISON_FINGERPRINT: RequestFingerprint = RequestFingerprint(0);

/// Crash tables of the daemons in an experiment.
pub struct CrashTables {
    tables: Vec<(DaemonName, CrashTable)>,
    /// Incarnation of each engine: its number of starts.
    incarnations: Vec<u64>,
    /// False if the quarantine is disabled.
    is_enabled: bool,
}

impl CrashTables {
    /// Creates an empty table for each daemon.
    pub fn new(
        daemons: impl Iterator<Item = DaemonName>,
        engines: usize,
        is_enabled: bool,
    ) -> Self {
        let tables = daemons.map(|daemon| (daemon, CrashTable::default())).collect();
        CrashTables { tables, incarnations: vec![1; engines], is_enabled }
    }

    /// Returns whether a daemon may send the poison request.
    pub fn may_send(&self, daemon: usize, now: Moment) -> bool {
        !self.is_enabled || self.tables[daemon].1.held_for(POISON_FINGERPRINT, now).is_none()
    }

    /// Records that an engine crashed while it ran the poison request, sent by `daemon`, and the
    /// requests in `others`, given as pairs of daemon and request.
    pub fn record_crashes(
        &mut self,
        engine: usize,
        daemon: usize,
        others: &[(usize, usize)],
        now: Moment,
    ) {
        let name = format!("engine-{engine}");
        let upstream =
            UpstreamHash::of(&"pool".into(), &name.as_str().into(), self.incarnations[engine]);
        self.incarnations[engine] += 1;
        self.tables[daemon].1.record_crash(POISON_FINGERPRINT, upstream, now);
        for (daemon, request) in others {
            self.tables[*daemon].1.record_crash(fingerprint(*request), upstream, now);
        }
    }

    /// Records that a request was answered completely.
    pub fn record_answer(&mut self, daemon: usize, request: usize, now: Moment) {
        self.tables[daemon].1.record_answer(fingerprint(request), now);
    }

    /// Sends every daemon's update to all others.
    pub fn exchange_updates(&mut self, now: Moment) {
        let updates: Vec<_> = self
            .tables
            .iter_mut()
            .map(|(daemon, table)| (daemon.clone(), table.next_update(now)))
            .collect();
        for (daemon, table) in &mut self.tables {
            let others = updates.iter().filter(|(from, _)| from != daemon);
            others.for_each(|(from, update)| _ = table.merge_update(from, update, now));
        }
    }
}

fn fingerprint(request: usize) -> RequestFingerprint {
    RequestFingerprint(request as u64 + 1)
}
