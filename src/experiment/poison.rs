//! A request under which engines end, and what daemons know of it.

use crate::policy::{Moment, UpstreamHash};
use crate::quarantine::{CrashTable, RequestFingerprint};
use crate::table::DaemonName;
use std::time::Duration;

/// The caller tries again after this long, at the next daemon.
pub const ATTEMPT_PAUSE: Duration = Duration::from_millis(200);
/// Sends of one attempt: the first, and the rest of its stream at another engine.
pub const SENDS: usize = 2;
/// An engine that ended is back after this long.
pub const RESTART_TIME: Duration = Duration::from_secs(3);
/// Daemons tell each other news this often.
pub const NEWS_PAUSE: Duration = Duration::from_millis(50);
/// The content; those of other requests are numbered from 1.
const POISON: RequestFingerprint = RequestFingerprint(0);

/// What the daemons of an experiment know of engines' ends.
pub struct CrashKnowledge {
    tables: Vec<(DaemonName, CrashTable)>,
    /// Starts of each engine, as its incarnation.
    lives: Vec<u64>,
    /// False where the quarantine is switched off.
    is_on: bool,
}

impl CrashKnowledge {
    /// Daemons that know nothing yet.
    pub fn new(daemons: impl Iterator<Item = DaemonName>, engines: usize, is_on: bool) -> Self {
        let tables = daemons.map(|daemon| (daemon, CrashTable::default())).collect();
        CrashKnowledge { tables, lives: vec![1; engines], is_on }
    }

    /// True if a daemon may send the poison request.
    pub fn may_send(&self, daemon: usize, now: Moment) -> bool {
        !self.is_on || self.tables[daemon].1.held_for(POISON, now).is_none()
    }

    /// An engine ended under the poison request of one daemon and under others' requests, by daemon.
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

    /// A request was answered whole.
    pub fn note_answer(&mut self, daemon: usize, request: usize, now: Moment) {
        self.tables[daemon].1.record_answer(content(request), now);
    }

    /// Every daemon tells the others.
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
