//! Packing of tables for distribution to daemons.

use std::fmt::Write;
use std::sync::Arc;
use tarragonknot::control::{PackedTableCache, pack, unpack};
use tarragonknot::table::VersionedTable;

/// Returns a table, in the operators' format, with `routes` routes that differ only in name and
/// path.
pub fn large_table(routes: u32) -> VersionedTable {
    let mut text = String::from("{\"version\":7,\"routes\":[");
    for number in 0..routes {
        let comma = if number > 0 { "," } else { "" };
        let _ = write!(
            text,
            "{comma}{{\"name\":\"r-{number:x}\",\"host\":\"shop.example\",\"path_prefix\":\"/p{number:x}/\",\
             \"kind\":\"safe\",\"timeout_ms\":5000,\"latency_slo_ms\":500,\"priority\":1,\"service\":\"pool\",\
             \"max_attempts\":2,\"public\":false,\"sticky\":false}}"
        );
    }
    text.push_str("]}");
    VersionedTable::from_document(7, &Arc::from(text))
}

/// Guards against daemons refusing new routes for seconds after an edit was acknowledged. An edit
/// adds 1,312 routes on a fleet of 74; the leader serialises the whole table, 400 KB, anew for
/// each daemon; reports time out and daemons retry.
#[test]
fn a_large_table_is_sent_small() {
    let table = large_table(1_312);
    let plain_len = serde_json::to_vec(&table).expect("JSON").len();

    let packed = pack(&table).expect("a packed table");

    assert!(packed.len() * 6 <= plain_len, "{} of {plain_len}", packed.len());
    assert_eq!(unpack(&packed), Some(table));
}

#[test]
fn a_table_is_packed_once_for_all_daemons() {
    let mut packed = PackedTableCache::default();
    let table = large_table(3);
    let first = packed.get(&table).expect("packed");
    let again = packed.get(&table).expect("packed");
    let other = packed.get(&large_table(4)).expect("packed");

    assert!(Arc::ptr_eq(&first, &again));
    assert_ne!(first, other);
}

#[test]
fn a_damaged_table_is_not_taken() {
    let packed = pack(&large_table(3)).expect("packed");
    let half = &packed[..packed.len() / 2];

    assert_eq!((unpack(half), unpack("not base64!")), (None, None));
}
