//! Parses load reports in the ORCA format (Open Request Cost Aggregation, `xds.data.orca.v3`), from
//! a response header or a polled JSON document.

use crate::policy::LoadReport;
use serde::Deserialize;
use std::collections::HashMap;

/// Response header with a load report; its value begins with `JSON` or `TEXT`.
pub const ORCA_HEADER: &str = "endpoint-load-metrics";

/// Fields of an ORCA report that are used; other fields are ignored.
#[derive(Debug, Default, Deserialize)]
struct OrcaReport {
    #[serde(default)]
    named_metrics: HashMap<String, f64>,
}

fn from_metrics(metrics: &HashMap<String, f64>) -> LoadReport {
    let value = |name: &str| metrics.get(name).copied().unwrap_or(0.0).max(0.0);
    LoadReport {
        stamp: value("stamp_us") as u64,
        running: value("running") as u32,
        queued: value("queued") as u32,
        step_micros: value("step_us") as u32,
        is_leaving: value("leaving") > 0.0,
    }
}

/// Parses a polled report.
pub fn parse_orca_json(text: &[u8]) -> Option<LoadReport> {
    let report: OrcaReport = serde_json::from_slice(text).ok()?;
    Some(from_metrics(&report.named_metrics))
}

/// Parses the header's value in its JSON form or its text form
/// (`TEXT named_metrics.running=3, ...`).
pub fn parse_orca_header(value: &str) -> Option<LoadReport> {
    if let Some(json) = value.strip_prefix("JSON ") {
        return parse_orca_json(json.as_bytes());
    }
    let pairs = value.strip_prefix("TEXT ")?.split(',').filter_map(|pair| pair.split_once('='));
    let metrics = pairs.filter_map(|(name, value)| {
        let name = name.trim().strip_prefix("named_metrics.")?;
        Some((name.to_owned(), value.trim().parse().ok()?))
    });
    Some(from_metrics(&metrics.collect()))
}
