//! Waiting requests of a group, by service.

use super::{ServiceHash, WaitingRow};
use crate::policy::WaitingLevels;
use std::collections::BTreeMap;

/// Numbers of waiting requests, by service and by worth per unit of cost.
pub type WaitingTable = BTreeMap<ServiceHash, WaitingLevels>;

pub fn add_waiting(table: &mut WaitingTable, rows: &[WaitingRow]) {
    for row in rows {
        table.entry(row.service).or_default().add(row.level, row.count);
    }
}

pub fn subtract_waiting(table: &mut WaitingTable, rows: &[WaitingRow]) {
    for row in rows {
        table.entry(row.service).or_default().subtract(row.level, row.count);
    }
}

/// Converts a table to rows for a message.
pub fn waiting_rows(table: &WaitingTable) -> Vec<WaitingRow> {
    let rows = table.iter().flat_map(|(service, levels)| {
        levels.iter().map(|(level, count)| WaitingRow { service: *service, level, count })
    });
    rows.collect()
}
