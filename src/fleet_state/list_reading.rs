//! Decides whether a daemon reads the platform's list itself.

use super::{FleetState, ListSync};
use crate::policy::Moment;

/// Returns true if this daemon should read the platform's list itself: it is the reader for the
/// fleet, it is one of the first readers after a start without a leader, or its list has not been
/// confirmed for too long. `expected_daemons` is the number of daemons that a voter knows, and
/// `has_table` is true if this daemon could serve callers once it has a list.
pub fn is_list_read_due(
    fleet: &FleetState,
    sync: &mut ListSync,
    (expected_daemons, has_table): (usize, bool),
    now: Moment,
) -> bool {
    if fleet.has_serving_list() && fleet.is_list_reader(now) {
        return true;
    }
    let daemons = fleet.addresses().len().max(expected_daemons);
    let has_turn = fleet.is_first_reader(sync.read_turn(daemons), sync.is_known(), now);
    if has_turn && has_table && sync.can_read(now) {
        return true;
    }
    // A daemon that is cut off from the others gets no list from them.
    let is_alone = sync.is_known() && !fleet.hears_others(now);
    sync.is_overdue(if is_alone { 1 } else { daemons }, has_table, now)
}
