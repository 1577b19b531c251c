//! Summary of a run: goodput by tier, refusals by kind, and times from HDR histograms.

use super::caller::{CallOutcome, CallResult};
use super::profile::{LoadProfile, PlannedRequest};
use comfy_table::{Table, presets};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Results of one tier.
#[derive(Clone, Debug, Default, Serialize)]
pub struct TierSummary {
    /// Name of the tier.
    pub tier: String,
    /// Number of requests sent.
    pub offered: u64,
    /// Complete answers within the deadline.
    pub good: u64,
    /// Complete answers after the deadline.
    pub late: u64,
    /// Refusals by kind.
    pub refused: BTreeMap<String, u64>,
    /// Answers that were visibly cut off, and calls without an answer.
    pub cut: u64,
    /// Answers that were duplicated, crossed, or truncated without a visible error. Must be 0.
    pub wrong: u64,
    /// 50th, 95th and 99th percentile of the time to the first piece, in milliseconds.
    pub first_ms: [f64; 3],
    /// 50th, 95th and 99th percentile of the mean time between pieces, in milliseconds.
    pub gap_ms: [f64; 3],
    /// 50th, 95th and 99th percentile of the total time of complete answers, in milliseconds.
    pub total_ms: [f64; 3],
}

/// Results of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LoadSummary {
    /// Results by tier, highest first.
    pub tiers: Vec<TierSummary>,
    /// Prompt tokens computed by engines.
    pub prefill_tokens: u64,
    /// Of these, tokens computed repeatedly or discarded.
    pub wasted_tokens: u64,
    /// Violations of the shedding order: higher-tier requests that were shed although a lower
    /// tier of the same pool was admitted later in the same overload. Must be 0.
    #[serde(rename = "order_breaks")]
    pub shed_order_violations: u64,
    /// Largest number of dispatches of one request. Must be at most 1.
    #[serde(rename = "most_dispatches")]
    pub max_dispatches: u32,
}

#[derive(Debug)]
struct TierTimes {
    first_piece: Histogram<u64>,
    gap: Histogram<u64>,
    total: Histogram<u64>,
}

impl TierTimes {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        TierTimes { first_piece: histogram(), gap: histogram(), total: histogram() }
    }
}

fn record_time(histogram: &mut Histogram<u64>, time: Option<Duration>) {
    if let Some(time) = time {
        // The histogram grows as needed, so recording cannot fail.
        let _ = histogram.record(time.as_micros() as u64);
    }
}

fn percentiles(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0)
}

impl LoadSummary {
    /// Summarises the results of planned requests.
    pub fn of(profile: &LoadProfile, results: &[(PlannedRequest, CallResult)]) -> Self {
        let mut tiers = Vec::new();
        for (class_idx, class) in profile.classes.iter().enumerate() {
            let mut summary = TierSummary { tier: class.tier.to_owned(), ..TierSummary::default() };
            let mut times = TierTimes::new();
            for (_, result) in results.iter().filter(|(planned, _)| planned.class == class_idx) {
                summary.record(result, class.deadline);
                record_time(&mut times.first_piece, result.time_to_first_piece);
                record_time(&mut times.gap, result.mean_gap);
                record_time(
                    &mut times.total,
                    Some(result.total).filter(|_| result.outcome == CallOutcome::Whole),
                );
            }
            summary.first_ms = percentiles(&times.first_piece);
            summary.gap_ms = percentiles(&times.gap);
            summary.total_ms = percentiles(&times.total);
            tiers.push(summary);
        }
        LoadSummary { tiers, ..LoadSummary::default() }
    }

    /// Number of violated guarantees.
    pub fn violated_guarantees(&self) -> u64 {
        self.tiers.iter().map(|tier| tier.wrong).sum::<u64>()
            + self.shed_order_violations
            + u64::from(self.max_dispatches > 1)
    }

    /// Formats the summary as an aligned table.
    pub fn grid(&self) -> String {
        let mut grid = Table::new();
        grid.load_preset(presets::UTF8_HORIZONTAL_ONLY);
        grid.set_header([
            "tier",
            "offered",
            "good",
            "late",
            "refused",
            "cut",
            "wrong",
            "first ms p50/p95",
            "gap ms p50/p95",
            "total ms p50/p99",
        ]);
        for tier in &self.tiers {
            let refused: Vec<String> =
                tier.refused.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
            grid.add_row([
                tier.tier.clone(),
                tier.offered.to_string(),
                tier.good.to_string(),
                tier.late.to_string(),
                refused.join(", "),
                tier.cut.to_string(),
                tier.wrong.to_string(),
                format!("{:.1} / {:.1}", tier.first_ms[0], tier.first_ms[1]),
                format!("{:.1} / {:.1}", tier.gap_ms[0], tier.gap_ms[1]),
                format!("{:.1} / {:.1}", tier.total_ms[0], tier.total_ms[2]),
            ]);
        }
        let share = 100.0 * self.wasted_tokens as f64 / self.prefill_tokens.max(1) as f64;
        format!(
            "{grid}\nprefill tokens {}, wasted {} ({share:.1} %); most dispatches of one request {}; order breaks {}",
            self.prefill_tokens,
            self.wasted_tokens,
            self.max_dispatches,
            self.shed_order_violations
        )
    }
}

impl TierSummary {
    fn record(&mut self, result: &CallResult, deadline: Duration) {
        self.offered += 1;
        match &result.outcome {
            CallOutcome::Whole if result.total <= deadline => self.good += 1,
            CallOutcome::Whole => self.late += 1,
            CallOutcome::Refused(kind) => {
                *self.refused.entry(kind.row().name.to_owned()).or_default() += 1
            }
            CallOutcome::Cut | CallOutcome::NoAnswer(_) => self.cut += 1,
            CallOutcome::Wrong(_) | CallOutcome::Crossed => self.wrong += 1,
        }
    }
}
