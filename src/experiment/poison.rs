//! The poison request, which crashes engines, and the daemons' crash tables.

use crate::policy::{Moment, UpstreamHash};
use crate::quarantine::{CrashTable, RequestFingerprint};
use crate::table::DaemonName;
use std::time::Duration;

/// Delay before the caller sends the poison request again, to the next daemon.
pub const ATTEMPT_PAUSE: Duration = Duration::from_millis(200);
/// Dispatches per attempt: the first, and one that resumes the stream at another engine.
pub const SENDS: usize = 2;
/// Time from an engine's crash until it is available again.
pub const RESTART_TIME: Duration = Duration::from_secs(3);
/// Interval between the daemons' exchanges of crash records.
pub const NEWS_PAUSE: Duration = Duration::from_millis(50);
/// Fingerprint of the poison request; those of other requests start at 1.
const POISON: RequestFingerprint = RequestFingerprint(0);

/// Crash tables of the daemons in an experiment.
pub struct CrashKnowledge {
    tables: Vec<(DaemonName, CrashTable)>,
    /// Incarnation of each engine: its number of starts.
    lives: Vec<u64>,
    /// False if the quarantine is disabled.
    is_on: bool,
}

impl CrashKnowledge {
    /// Creates an empty table for each daemon.
    pub fn new(daemons: impl Iterator<Item = DaemonName>, engines: usize, is_on: bool) -> Self {
        let tables = daemons.map(|daemon| (daemon, CrashTable::default())).collect();
        CrashKnowledge { tables, lives: vec![1; engines], is_on }
    }

    /// Returns whether a daemon may send the poison request.
    pub fn may_send(&self, daemon: usize, now: Moment) -> bool {
        !self.is_on || self.tables[daemon].1.held_for(POISON, now).is_none()
    }

    /// Records that an engine crashed while it ran the poison request, sent by `daemon`, and the
    /// requests in `others`, given as pairs of daemon and request.
    pub fn note_end(
        &mut self,
        engine: usize,
        daemon: usize,
        others: &[(usize, usize)],
        now: Moment,
    ) {
        let name = format!("engine-{engine}");
        let upstream = UpstreamHash::of(&"pool".into(), &name.as_str().into(), self.lives[engine]);
        self.lives[engine] += 1;
        self.tables[daemon].1.record_crash(POISON, upstream, now);
        for (daemon, request) in others {
            self.tables[*daemon].1.record_crash(content(*request), upstream, now);
        }
    }

    /// Records that a request was answered completely.
    pub fn note_answer(&mut self, daemon: usize, request: usize, now: Moment) {
        self.tables[daemon].1.record_answer(content(request), now);
    }

    /// Sends every daemon's update to all others.
    pub fn exchange(&mut self, now: Moment) {
        let news: Vec<_> = self
            .tables
            .iter_mut()
            .map(|(daemon, table)| (daemon.clone(), table.next_update(now)))
            .collect();
        for (daemon, table) in &mut self.tables {
            let others = news.iter().filter(|(from, _)| from != daemon);
            others.for_each(|(from, news)| _ = table.merge_update(from, news, now));
        }
    }
}

fn content(request: usize) -> RequestFingerprint {
    RequestFingerprint(request as u64 + 1)
}
