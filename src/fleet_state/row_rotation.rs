//! Which counters go into a message: those that have changed lately, and the others in turn.

use super::{FlowRow, OrganisationHash};
use std::collections::BTreeMap;
use std::ops::Bound;

/// A change is sent with this many messages in a row: each is lost now and then.
const SENT_TIMES: u64 = 4;
/// Rows that have not changed and are sent all the same, in turn: a receiver that has lost all of [`SENT_TIMES`], or has just
/// begun to listen, learns of them within seconds.
const REFRESHED: usize = 6;
/// Rows in one message, at most: near 1,100 bytes.
const MOST_ROWS: usize = 80;

/// The counters of one sender.
#[derive(Clone, Debug, Default)]
pub struct RowRotation {
    rows: BTreeMap<OrganisationHash, RowState>,
    round: u64,
    /// Where the turn stands.
    last: Option<OrganisationHash>,
}

#[derive(Clone, Copy, Debug)]
struct RowState {
    row: FlowRow,
    changed: u64,
}

impl RowRotation {
    /// Takes the present counters and gives those to send now.
    pub fn choose(&mut self, current: impl IntoIterator<Item = FlowRow>) -> Vec<FlowRow> {
        self.round += 1;
        for row in current {
            let round = self.round;
            let state =
                self.rows.entry(row.organisation).or_insert(RowState { row, changed: round });
            let is_changed = (state.row.taken, state.row.asked) != (row.taken, row.asked);
            state.changed = if is_changed { round } else { state.changed };
            state.row = row;
        }
        let fresh_since = (self.round + 1).saturating_sub(SENT_TIMES);
        let mut refreshed = 0;
        let mut chosen = Vec::new();
        for (organisation, state) in self.in_turn() {
            let is_fresh = state.changed >= fresh_since;
            if !is_fresh && refreshed == REFRESHED {
                continue;
            }
            refreshed += usize::from(!is_fresh);
            chosen.push((organisation, state.row, is_fresh));
            if chosen.len() == MOST_ROWS {
                break;
            }
        }
        // The turn goes on after the last row that was refreshed, or after the last of all where there was no room.
        let is_full = chosen.len() == MOST_ROWS;
        let last = chosen.iter().rev().find(|(_, _, is_fresh)| is_full || !is_fresh);
        self.last = last.map(|(organisation, ..)| *organisation).or(self.last);
        chosen.into_iter().map(|(_, row, _)| row).collect()
    }

    /// All rows, beginning after the one that had the last turn.
    fn in_turn(&self) -> impl Iterator<Item = (OrganisationHash, RowState)> {
        let start = self.last.map_or(Bound::Unbounded, Bound::Excluded);
        let later = self.rows.range((start, Bound::Unbounded));
        let rows = later.chain(&self.rows).take(self.rows.len());
        rows.map(|(organisation, state)| (*organisation, *state))
    }
}
