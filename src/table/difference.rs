//! Cell-by-cell difference between two tables, with rows matched by name.

use super::OperatorTable;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// A cell that differs. `before` is absent for an added cell, `after` for a removed one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellChange {
    /// Section of the table, row name and column, joined by `/`.
    pub cell: String,
    /// The old value as JSON text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub before: Option<String>,
    /// The new value as JSON text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
}

impl fmt::Display for CellChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cell = &self.cell;
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(formatter, "~ {cell}: {before} -> {after}"),
            (None, Some(after)) => write!(formatter, "+ {cell}: {after}"),
            (Some(before), None) => write!(formatter, "- {cell}: {before}"),
            (None, None) => formatter.write_str(cell),
        }
    }
}

/// Returns all cells that differ, sorted by name.
pub fn diff_tables(before: &OperatorTable, after: &OperatorTable) -> Vec<CellChange> {
    let old = cells(before);
    let new = cells(after);
    let mut cell_names: Vec<&String> = old.keys().chain(new.keys()).collect();
    cell_names.sort();
    cell_names.dedup();
    cell_names
        .into_iter()
        .filter(|cell| old.get(*cell) != new.get(*cell))
        .map(|cell| CellChange {
            cell: cell.clone(),
            before: old.get(cell).cloned(),
            after: new.get(cell).cloned(),
        })
        .collect()
}

fn cells(table: &OperatorTable) -> BTreeMap<String, String> {
    let mut cells = BTreeMap::new();
    let Ok(Value::Object(parts)) = serde_json::to_value(table) else { return cells };
    for (part, rows) in &parts {
        for (idx, row) in rows.as_array().into_iter().flatten().enumerate() {
            let name = row_name(part, idx, row);
            for (column, value) in row.as_object().into_iter().flatten() {
                cells.insert(format!("{part}/{name}/{column}"), value.to_string());
            }
        }
    }
    cells
}

/// The key by which rows are matched: their name, or their position for rows of sections whose
/// rows are matched by order, such as assignments.
fn row_name(part: &str, idx: usize, row: &Value) -> String {
    let text =
        |column: &str| row.get(column).and_then(Value::as_str).unwrap_or_default().to_owned();
    match part {
        "tiers" => text("tier"),
        "organisations" => text("organisation"),
        "services" => text("service"),
        "upstreams" => format!("{}.{}", text("service"), text("upstream")),
        _ => idx.to_string(),
    }
}
