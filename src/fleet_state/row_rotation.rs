//! Selects the counters that go into a message: those that changed recently, and some of the others
//! in round-robin order.

use super::{FlowRow, OrganisationHash};
use std::collections::BTreeMap;
use std::ops::Bound;

/// Number of consecutive messages that carry a change, since messages are occasionally lost.
const SENDS_PER_CHANGE: u64 = 4;
/// Number of unchanged rows refreshed per message, in round-robin order. A receiver that has lost
/// all [`SENDS_PER_CHANGE`] copies of a change, or has only just started, catches up within
/// seconds.
const MAX_REFRESHED_ROWS: usize = 6;
/// Maximum number of rows in one message, about 1,100 bytes.
const MAX_ROWS: usize = 80;

/// The counters of one sender.
#[derive(Clone, Debug, Default)]
pub struct RowRotation {
    rows: BTreeMap<OrganisationHash, RowState>,
    round: u64,
    /// The last row of the round-robin.
    last_sent: Option<OrganisationHash>,
}

#[derive(Clone, Copy, Debug)]
struct RowState {
    row: FlowRow,
    changed_round: u64,
}

impl RowRotation {
    /// Updates the counters to `current` and returns the rows to send now.
    pub fn select_rows(&mut self, current: impl IntoIterator<Item = FlowRow>) -> Vec<FlowRow> {
        self.round += 1;
        for row in current {
            let round = self.round;
            let state =
                self.rows.entry(row.organisation).or_insert(RowState { row, changed_round: round });
            let is_changed = (state.row.taken, state.row.asked) != (row.taken, row.asked);
            state.changed_round = if is_changed { round } else { state.changed_round };
            state.row = row;
        }
        let first_recent_round = (self.round + 1).saturating_sub(SENDS_PER_CHANGE);
        let mut refreshed_count = 0;
        let mut selected = Vec::new();
        for (organisation, state) in self.in_rotation() {
            let is_recent = state.changed_round >= first_recent_round;
            if !is_recent && refreshed_count == MAX_REFRESHED_ROWS {
                continue;
            }
            refreshed_count += usize::from(!is_recent);
            selected.push((organisation, state.row, is_recent));
            if selected.len() == MAX_ROWS {
                break;
            }
        }
        // The round-robin continues after the last refreshed row, or, if the message is full, after
        // the last row in it.
        let is_full = selected.len() == MAX_ROWS;
        let last = selected.iter().rev().find(|(_, _, is_recent)| is_full || !is_recent);
        self.last_sent = last.map(|(organisation, ..)| *organisation).or(self.last_sent);
        selected.into_iter().map(|(_, row, _)| row).collect()
    }

    /// Returns all rows, starting after the last row of the round-robin.
    fn in_rotation(&self) -> impl Iterator<Item = (OrganisationHash, RowState)> {
        let start = self.last_sent.map_or(Bound::Unbounded, Bound::Excluded);
        let later = self.rows.range((start, Bound::Unbounded));
        let rows = later.chain(&self.rows).take(self.rows.len());
        rows.map(|(organisation, state)| (*organisation, *state))
    }
}
