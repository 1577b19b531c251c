//! The log in memory: entries since the last snapshot.

use super::membership::FleetMembership;
use serde::{Deserialize, Serialize};

/// A place in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// The term, compared first.
    pub term: u64,
    /// The index, counted from 1.
    pub index: u64,
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryPayload<C> {
    /// Nothing: a new leader's first entry.
    Empty,
    /// A command for the state machine.
    Command(C),
    /// A change of voters; in force as soon as it is in the log.
    Membership(FleetMembership),
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry<C> {
    /// Where.
    pub at: LogPosition,
    /// What.
    pub payload: EntryPayload<C>,
}

/// Entries behind a snapshot.
#[derive(Clone, Debug)]
pub struct MemoryLog<C> {
    base: LogPosition,
    entries: Vec<LogEntry<C>>,
}

impl<C: Clone> MemoryLog<C> {
    /// An empty log behind a snapshot that ends at `base`.
    pub fn new(base: LogPosition) -> Self {
        MemoryLog { base, entries: Vec::new() }
    }

    /// The end of the snapshot.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// The last position.
    pub fn last(&self) -> LogPosition {
        self.entries.last().map_or(self.base, |entry| entry.at)
    }

    /// The term at `index`, if it is still known.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.at.term)
    }

    /// The entry at `index`.
    pub fn get(&self, index: u64) -> Option<&LogEntry<C>> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from `index` on, at most `most`.
    pub fn from(&self, index: u64, most: usize) -> &[LogEntry<C>] {
        let offset = (index.saturating_sub(self.base.index + 1) as usize).min(self.entries.len());
        let end = (offset + most).min(self.entries.len());
        &self.entries[offset..end]
    }

    /// All entries.
    pub fn entries(&self) -> &[LogEntry<C>] {
        &self.entries
    }

    /// Adds an entry; its index must follow the last.
    pub fn push(&mut self, entry: LogEntry<C>) {
        debug_assert_eq!(entry.at.index, self.last().index + 1);
        self.entries.push(entry);
    }

    /// Drops entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index + 1) as usize;
        self.entries.truncate(keep);
    }

    /// Drops entries up to `at`, which a snapshot now covers.
    pub fn compact(&mut self, at: LogPosition) {
        let covered = (at.index.saturating_sub(self.base.index) as usize).min(self.entries.len());
        self.entries.drain(..covered);
        self.base = at;
    }
}
