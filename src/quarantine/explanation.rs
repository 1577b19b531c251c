//! Decides which suspects are to blame for crashes that several of them were present at.
//!
//! Everything that ran on an upstream is lost with it, so each crash raises the number of crashes of
//! many contents and parts. The suspect that was present at most crashes explains them; others count
//! only with the crashes that remain. This is the greedy solution of a set cover, as in group testing.
//! Of two suspects that were present at the same crashes, the more specific one explains them: a part
//! that is in most requests is present wherever one of them crashes an upstream.

use super::RequestFingerprint;
use super::suspect_record::{CRASHES_TO_HOLD, SuspectRecord};
use crate::policy::{Moment, UpstreamHash};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};

/// Returns the suspects that are held at `now`, those with the most crashes first.
pub fn held_suspects<'a>(
    records: impl Iterator<Item = (&'a RequestFingerprint, &'a SuspectRecord)>,
    now: Moment,
) -> Vec<(RequestFingerprint, &'a SuspectRecord)> {
    let mut candidates: Vec<(RequestFingerprint, &SuspectRecord)> = records
        .filter(|(_, record)| record.held_for(now).is_some())
        .map(|(key, record)| (*key, record))
        .collect();
    candidates.sort_unstable_by_key(|(key, record)| (Reverse(record.crashes()), *key));
    let mut explained = ExplainedCrashes::default();
    let mut held = Vec::new();
    for equals in candidates.chunk_by(|first, second| first.1.crashes() == second.1.crashes()) {
        let less_specific = less_specific_suspects(equals);
        let unexplained = equals.iter().filter(|(key, record)| {
            let remaining = record.upstreams().filter(|upstream| !explained.contains(*upstream));
            remaining.count() >= CRASHES_TO_HOLD && !less_specific.contains(key)
        });
        let first_new = held.len();
        held.extend(unexplained.copied());
        held[first_new..].iter().for_each(|(_, record)| explained.add(record));
    }
    held
}

/// The suspects that were in all blamed requests of another one that was present at the same crashes,
/// and in others besides.
fn less_specific_suspects(
    equals: &[(RequestFingerprint, &SuspectRecord)],
) -> HashSet<RequestFingerprint> {
    let records: HashMap<RequestFingerprint, &SuspectRecord> = equals.iter().copied().collect();
    let companions_of = |(key, record): &(RequestFingerprint, &'_ SuspectRecord)| {
        let (key, record) = (*key, *record);
        let known = record.companions().iter().filter_map(|other| records.get_key_value(other));
        let less_specific = known
            .filter(move |(_, other)| record.covers(other) && !other.companions().contains(&key));
        less_specific.map(|(other, _)| *other).collect::<Vec<_>>()
    };
    equals.iter().flat_map(companions_of).collect()
}

/// The crashes of suspects that are held.
#[derive(Default)]
struct ExplainedCrashes {
    upstreams: HashSet<UpstreamHash>,
    /// A full record lacks all crashes above its last one, so any above this may be explained.
    unknown_above: Option<UpstreamHash>,
}

impl ExplainedCrashes {
    fn contains(&self, upstream: UpstreamHash) -> bool {
        self.upstreams.contains(&upstream)
            || self.unknown_above.is_some_and(|bound| upstream > bound)
    }

    fn add(&mut self, record: &SuspectRecord) {
        self.upstreams.extend(record.upstreams());
        let bounds = self.unknown_above.into_iter().chain(record.last_if_full());
        self.unknown_above = bounds.min();
    }
}
