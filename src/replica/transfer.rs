//! Transfer of a snapshot in parts, so that neither side is kept from its heartbeats for long.

use super::log::LogPosition;
use super::messages::{SnapshotPart, SnapshotRecord};
use crate::policy::Moment;
use std::sync::Arc;

/// A snapshot on its way to a member.
#[derive(Clone, Debug)]
pub(super) struct OutgoingSnapshot {
    /// The snapshot, which stays the same while the leader writes newer ones.
    pub(super) record: SnapshotRecord,
    /// Number of bytes acknowledged.
    pub(super) offset: usize,
    /// Time at which a part was last sent.
    pub(super) sent_at: Moment,
}

impl OutgoingSnapshot {
    pub(super) fn new(record: SnapshotRecord, now: Moment) -> Self {
        OutgoingSnapshot { record, offset: 0, sent_at: now }
    }

    /// The part at the current offset, of at most `max_bytes`.
    pub(super) fn part(&self, max_bytes: usize) -> SnapshotPart {
        let state = &self.record.state;
        let end = char_boundary(state, self.offset + max_bytes);
        SnapshotPart {
            at: self.record.at,
            membership: self.record.membership.clone(),
            offset: self.offset,
            text: state[self.offset..end].to_owned(),
            is_last: end == state.len(),
        }
    }

    /// Continues at the offset that the member asks for; false if it is the current one.
    pub(super) fn continue_at(&mut self, received: usize, now: Moment) -> bool {
        if received == self.offset || !self.record.state.is_char_boundary(received) {
            return false;
        }
        self.offset = received;
        self.sent_at = now;
        true
    }
}

/// The last character boundary of `text` that is not above `index`.
fn char_boundary(text: &str, index: usize) -> usize {
    let mut boundary = index.min(text.len());
    while !text.is_char_boundary(boundary) {
        boundary -= 1;
    }
    boundary
}

/// A snapshot that is being received from the leader of a term. The text of another leader's snapshot
/// may differ although it covers the same entries.
#[derive(Clone, Debug)]
pub(super) struct IncomingSnapshot {
    leader_term: u64,
    at: LogPosition,
    text: String,
}

/// What a received part leads to.
pub(super) enum PartOutcome {
    /// The snapshot is complete.
    Complete(SnapshotRecord),
    /// The next part must start at this offset.
    Continue(usize),
}

/// Adds a part to the snapshot being received. A part of another snapshot replaces it.
pub(super) fn receive_part(
    incoming: &mut Option<IncomingSnapshot>,
    part: SnapshotPart,
    leader_term: u64,
) -> PartOutcome {
    let same = (leader_term, part.at);
    let known = incoming.take().filter(|known| (known.leader_term, known.at) == same);
    let mut snapshot =
        known.unwrap_or_else(|| IncomingSnapshot { leader_term, at: part.at, text: String::new() });
    let fits = part.offset == snapshot.text.len();
    if fits {
        snapshot.text.push_str(&part.text);
    }
    if fits && part.is_last {
        let SnapshotPart { at, membership, .. } = part;
        let state = Arc::from(snapshot.text);
        return PartOutcome::Complete(SnapshotRecord { at, membership, state });
    }
    let received = snapshot.text.len();
    *incoming = Some(snapshot);
    PartOutcome::Continue(received)
}
