//! Log fields that relate the end of a request to the tables that it ran under.

use crate::traffic::state::TrafficState;
use slog::{KV, Record, Result, Serializer};
use std::time::Duration;

/// The table that admitted a request, the one in force, and the latter's age.
pub struct TableFields {
    admitted: u64,
    in_force: u64,
    age: Duration,
}

impl TableFields {
    /// Reads the fields for a request that the table of version `admitted` has admitted.
    pub fn new(state: &TrafficState, admitted: u64) -> Self {
        let age = state.clock.now().since(state.table_since());
        TableFields { admitted, in_force: state.snapshot().version, age }
    }
}

impl KV for TableFields {
    fn serialize(&self, _record: &Record<'_>, serializer: &mut dyn Serializer) -> Result {
        serializer.emit_u64("admitted_table", self.admitted)?;
        serializer.emit_u64("table", self.in_force)?;
        serializer.emit_u64("table_age_ms", self.age.as_millis() as u64)
    }
}
