//! Cumulative token counters of one source, by organisation, and the differences between them.

use super::{FlowDelta, FlowRow, OrganisationHash};
use std::collections::BTreeMap;

/// Tokens admitted and tokens requested since a source began to count, by organisation.
pub type FlowTotals = BTreeMap<OrganisationHash, (i64, u64)>;

/// Converts message rows to counters.
pub fn totals_of(rows: &[FlowRow]) -> FlowTotals {
    rows.iter().map(|row| (row.organisation, (row.taken, row.asked))).collect()
}

/// Returns the non-zero increases from `before` to `after`. Organisations missing from `before`
/// count from zero.
pub fn flow_deltas(before: &FlowTotals, after: &FlowTotals) -> Vec<FlowDelta> {
    let deltas = after.iter().map(|(organisation, (taken, asked))| {
        let (taken_before, asked_before) = before.get(organisation).copied().unwrap_or_default();
        FlowDelta {
            organisation: *organisation,
            taken: taken - taken_before,
            asked: asked.saturating_sub(asked_before),
        }
    });
    deltas.filter(|delta| delta.taken != 0 || delta.asked != 0).collect()
}
