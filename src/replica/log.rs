//! The log in memory: the entries after the last snapshot, and some before it.

use super::membership::FleetMembership;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Range;

/// Position of an entry in the log; the term is compared first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term in which the entry was proposed.
    pub term: u64,
    /// Index, counted from 1.
    pub index: u64,
}

/// A command of the replicated log.
pub trait ReplicatedCommand: Clone + fmt::Debug {
    /// Approximate size in bytes, which bounds messages and the log.
    fn size_bytes(&self) -> usize;
}

impl ReplicatedCommand for String {
    fn size_bytes(&self) -> usize {
        self.len()
    }
}

impl ReplicatedCommand for u32 {
    fn size_bytes(&self) -> usize {
        size_of::<u32>()
    }
}

/// Size of an entry apart from its command, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EntryPayload<C> {
    /// No content: the first entry of a new leader.
    Empty,
    /// A command for the state machine.
    Command(C),
    /// A membership change; in force as soon as it is appended to the log.
    Membership(FleetMembership),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LogEntry<C> {
    /// Position in the log.
    pub at: LogPosition,
    /// Content.
    pub payload: EntryPayload<C>,
}

impl<C: ReplicatedCommand> LogEntry<C> {
    /// Approximate size in bytes.
    pub fn size_bytes(&self) -> usize {
        let command = match &self.payload {
            EntryPayload::Command(command) => command.size_bytes(),
            EntryPayload::Empty | EntryPayload::Membership(_) => 0,
        };
        ENTRY_OVERHEAD_BYTES + command
    }
}

/// The entries after a snapshot, and some that it covers.
#[derive(Clone, Debug)]
pub struct MemoryLog<C> {
    base: LogPosition,
    entries: Vec<LogEntry<C>>,
}

impl<C: Clone> MemoryLog<C> {
    /// Creates an empty log after a snapshot whose last entry is at `base`.
    pub fn new(base: LogPosition) -> Self {
        MemoryLog { base, entries: Vec::new() }
    }

    /// Position of the last entry covered by the snapshot.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// Position of the last entry.
    pub fn last(&self) -> LogPosition {
        self.entries.last().map_or(self.base, |entry| entry.at)
    }

    /// The term of the entry at `index`, unless it was compacted or does not exist.
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

    /// The entries whose indices lie in `range`.
    pub fn entries_in(&self, range: Range<u64>) -> &[LogEntry<C>] {
        let offset = |index: u64| {
            (index.saturating_sub(self.base.index + 1) as usize).min(self.entries.len())
        };
        let (start, end) = (offset(range.start), offset(range.end));
        &self.entries[start..end.max(start)]
    }

    /// All entries.
    pub fn entries(&self) -> &[LogEntry<C>] {
        &self.entries
    }

    /// Appends an entry, whose index must be the successor of the last one.
    pub fn push(&mut self, entry: LogEntry<C>) {
        debug_assert_eq!(entry.at.index, self.last().index + 1);
        self.entries.push(entry);
    }

    /// Removes the entries from `index` on.
    pub fn truncate_from(&mut self, index: u64) {
        let kept_len = index.saturating_sub(self.base.index + 1) as usize;
        self.entries.truncate(kept_len);
    }
}

impl<C: ReplicatedCommand> MemoryLog<C> {
    /// Removes entries up to `at`, which are covered by a snapshot, except for the newest of them
    /// with a size of at most `retained_bytes`.
    pub fn compact(&mut self, at: LogPosition, retained_bytes: usize) {
        let covered = (at.index.saturating_sub(self.base.index) as usize).min(self.entries.len());
        let mut bytes = 0;
        let is_retained = |entry: &&LogEntry<C>| {
            bytes += entry.size_bytes();
            bytes <= retained_bytes
        };
        let retained = self.entries[..covered].iter().rev().take_while(is_retained).count();
        if let Some(last) = self.entries.drain(..covered - retained).next_back() {
            self.base = last.at;
        }
    }
}
