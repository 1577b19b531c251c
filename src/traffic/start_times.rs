//! Times from the start of this daemon to its first table, list of upstreams and answer.

use crate::policy::Moment;
use slog::{Logger, info};
use std::sync::OnceLock;
use std::time::Duration;

/// What a daemon has had since its start, with the time at which it came first.
#[derive(Debug, Default)]
pub struct StartTimes {
    started_at: Moment,
    table: OnceLock<Duration>,
    list: OnceLock<Duration>,
    answer: OnceLock<Duration>,
}

impl StartTimes {
    /// Creates the state of a daemon that starts at `started_at`.
    pub fn new(started_at: Moment) -> Self {
        StartTimes { started_at, ..StartTimes::default() }
    }

    /// Records that a table took effect.
    pub fn record_table(&self, now: Moment) {
        if self.table.set(now.since(self.started_at)).is_ok() {
            metrics::gauge!("start_table_seconds").set(seconds(&self.table));
        }
    }

    /// Records that a list of upstreams took effect.
    pub fn record_list(&self, now: Moment) {
        if self.list.set(now.since(self.started_at)).is_ok() {
            metrics::gauge!("start_list_seconds").set(seconds(&self.list));
        }
    }

    /// Records an answer of an upstream, and logs the times with the first one.
    pub fn record_answer(&self, log: &Logger, now: Moment) {
        if self.answer.get().is_none() && self.answer.set(now.since(self.started_at)).is_ok() {
            metrics::gauge!("start_answer_seconds").set(seconds(&self.answer));
            info!(log, "first answer since the start"; "table_ms" => millis(&self.table), "list_ms" => millis(&self.list),
                "answer_ms" => millis(&self.answer));
        }
    }
}

fn seconds(time: &OnceLock<Duration>) -> f64 {
    time.get().map_or(0.0, Duration::as_secs_f64)
}

fn millis(time: &OnceLock<Duration>) -> Option<u64> {
    time.get().map(|time| time.as_millis() as u64)
}
