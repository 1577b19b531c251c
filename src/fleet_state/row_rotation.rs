//! Selects the counters that go into a message: those that changed recently, and some of the others
//! in round-robin order.

use super::{FlowRow, OrganisationHash};
use std::collections::BTreeMap;
use std::ops::Bound;

/// Number of consecutive messages that carry a change, since messages are occasionally lost.
const SENT_TIMES: u64 = 4;
/// Number of unchanged rows refreshed per message, in round-robin order. A receiver that has lost
/// all [`SENT_TIMES`] copies of a change, or has only just started, catches up within seconds.
const REFRESHED: usize = 6;
/// Maximum number of rows in one message, about 1,100 bytes.
const MOST_ROWS: usize = 80;

/// The counters of one sender.
#[derive(Clone, Debug, Default)]
pub struct RowRotation {
    rows: BTreeMap<OrganisationHash, RowState>,
    round: u64,
    /// The last row of the round-robin.
    last: Option<OrganisationHash>,
}

#[derive(Clone, Copy, Debug)]
struct RowState {
    row: FlowRow,
    changed: u64,
}

impl RowRotation {
    /// Updates the counters to `current` and returns the rows to send now.
    pub fn select_rows(&mut self, current: impl IntoIterator<Item = FlowRow>) -> Vec<FlowRow> {
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
        // The round-robin continues after the last refreshed row, or, if the message is full, after
        // the last row in it.
        let is_full = chosen.len() == MOST_ROWS;
        let last = chosen.iter().rev().find(|(_, _, is_fresh)| is_full || !is_fresh);
        self.last = last.map(|(organisation, ..)| *organisation).or(self.last);
        chosen.into_iter().map(|(_, row, _)| row).collect()
    }

    /// Returns all rows, starting after the last row of the round-robin.
    fn in_turn(&self) -> impl Iterator<Item = (OrganisationHash, RowState)> {
        let start = self.last.map_or(Bound::Unbounded, Bound::Excluded);
        let later = self.rows.range((start, Bound::Unbounded));
        let rows = later.chain(&self.rows).take(self.rows.len());
        rows.map(|(organisation, state)| (*organisation, *state))
    }
}
