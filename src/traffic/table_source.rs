//! Where a daemon has its table from, as it appears in the log.

use crate::policy::Moment;
use slog::{KV, Record, Result, Serializer};
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// The daemon that sent a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableSource {
    /// A voter that gave no orders, leader or not. A newer table may be in force.
    Voter(SocketAddr),
    /// The leader, which knows the table in force.
    Leader(SocketAddr),
}

/// Where the table in force came from and when a leader last confirmed it.
#[derive(Debug, Default)]
pub struct TableOrigin(Mutex<OriginRecord>);

#[derive(Clone, Copy, Debug, Default)]
struct OriginRecord {
    source: Option<TableSource>,
    confirmed_at: Option<Moment>,
}

impl TableOrigin {
    /// Records the source of a table that has been put in force.
    pub fn record_source(&self, source: TableSource) {
        self.lock().source = Some(source);
    }

    /// Records that a leader has no newer table at `now`.
    pub fn confirm(&self, now: Moment) {
        self.lock().confirmed_at = Some(now);
    }

    /// Returns the fields for a log line at `now`.
    pub fn fields(&self, now: Moment) -> OriginFields {
        OriginFields { record: *self.lock(), now }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, OriginRecord> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Log fields of a table's origin.
pub struct OriginFields {
    record: OriginRecord,
    now: Moment,
}

impl KV for OriginFields {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> Result {
        match self.record.source {
            Some(TableSource::Voter(address)) => {
                serializer.emit_arguments("table_from", &format_args!("voter {address}"))?;
            }
            Some(TableSource::Leader(address)) => {
                serializer.emit_arguments("table_from", &format_args!("leader {address}"))?;
            }
            None => {}
        }
        match self.record.confirmed_at {
            Some(at) => {
                serializer.emit_u64("confirmed_ms_ago", self.now.since(at).as_millis() as u64)
            }
            None => Ok(()),
        }
    }
}
