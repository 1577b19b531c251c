//! Results of a run, and their spread over several seeds.

use crate::answer::AnswerKind;
use crate::load::{LoadProfile, RequestKind};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Counts of one traffic class in the measurement window.
#[derive(Clone, Debug, Serialize)]
pub struct ClassCounts {
    /// Name of the tier.
    pub tier: &'static str,
    /// Weight of the tier.
    pub weight: u32,
    /// Number of requests sent.
    pub offered: u64,
    /// Number of complete answers within the deadline.
    pub good: u64,
    /// Prompt and output tokens of these answers.
    pub good_tokens: u64,
    /// Times to the first token, in microseconds.
    #[serde(skip)]
    pub first_token_times: Histogram<u64>,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunSummary {
    /// Counts by class, highest tier first.
    pub classes: Vec<ClassCounts>,
    /// Refusals by kind.
    pub refused: BTreeMap<&'static str, u64>,
    /// Prompt tokens computed by engines, over the whole run.
    pub prefill_tokens: u64,
    /// Of these, tokens computed repeatedly or discarded.
    pub wasted_tokens: u64,
    /// Violations of the shedding order, counted at each daemon separately.
    #[serde(rename = "order_breaks")]
    pub shed_order_violations: u64,
    /// Engines that crashed on a request.
    #[serde(rename = "engines_ended")]
    pub engine_crashes: u64,
}

impl RunSummary {
    /// Creates an empty summary.
    pub fn new(profile: &LoadProfile) -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        let classes = profile.classes.iter().map(|class| ClassCounts {
            tier: class.tier,
            weight: if class.kind == RequestKind::Model { class.weight } else { 0 },
            offered: 0,
            good: 0,
            good_tokens: 0,
            first_token_times: histogram(),
        });
        RunSummary {
            classes: classes.collect(),
            refused: BTreeMap::new(),
            prefill_tokens: 0,
            wasted_tokens: 0,
            shed_order_violations: 0,
            engine_crashes: 0,
        }
    }

    /// Counts a measured arrival.
    pub fn record_arrival(&mut self, class: usize) {
        self.classes[class].offered += 1;
    }

    /// Counts a refusal by the scheduler if the request is measured.
    pub fn record_refusal(&mut self, kind: AnswerKind, is_measured: bool) {
        if is_measured {
            *self.refused.entry(kind.row().name).or_default() += 1;
        }
    }

    /// Counts the end of a measured request.
    pub fn record_end(
        &mut self,
        class: usize,
        good_tokens: Option<u32>,
        time_to_first_token: Option<Duration>,
    ) {
        let counts = &mut self.classes[class];
        counts.good += u64::from(good_tokens.is_some());
        counts.good_tokens += u64::from(good_tokens.unwrap_or(0));
        if let Some(time) = time_to_first_token {
            // The histogram grows as needed, so recording cannot fail.
            let _ = counts.first_token_times.record(time.as_micros() as u64);
        }
    }

    /// Total number of refusals.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Number of good answers, weighted by tier.
    pub fn weighted_goodput(&self) -> f64 {
        self.classes.iter().map(|class| class.good as f64 * f64::from(class.weight)).sum()
    }

    /// Tokens of good answers, weighted by tier. The weights divide the capacity in tokens.
    pub fn weighted_tokens(&self) -> f64 {
        self.classes.iter().map(|class| class.good_tokens as f64 * f64::from(class.weight)).sum()
    }

    /// Fraction of a class's requests that were answered completely and within the deadline.
    pub fn good_share(&self, class: usize) -> f64 {
        let counts = &self.classes[class];
        counts.good as f64 / counts.offered.max(1) as f64
    }

    /// 95th percentile of the time to the first token over all classes, in milliseconds.
    pub fn first_token_p95_ms(&self) -> f64 {
        let mut all: Histogram<u64> = Histogram::new(3).expect("three digits are allowed");
        self.classes.iter().for_each(|class| {
            let _ = all.add(&class.first_token_times);
        });
        all.value_at_quantile(0.95) as f64 / 1_000.0
    }

    /// 95th percentile of the time to the first token in the highest tier, in milliseconds.
    pub fn top_tier_first_token_p95_ms(&self) -> f64 {
        self.classes[0].first_token_times.value_at_quantile(0.95) as f64 / 1_000.0
    }

    /// Fraction of computed prompt tokens that were computed repeatedly or discarded.
    pub fn wasted_share(&self) -> f64 {
        self.wasted_tokens as f64 / self.prefill_tokens.max(1) as f64
    }
}

/// Median and worst value of a metric over several seeds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SeedSpread {
    /// Median value.
    pub median: f64,
    /// Worst value.
    pub worst: f64,
}

impl SeedSpread {
    fn of(mut values: Vec<f64>, more_is_better: bool) -> Self {
        values.sort_by(f64::total_cmp);
        let worst = if more_is_better { values.first() } else { values.last() };
        let worst = worst.copied().unwrap_or_default();
        SeedSpread { median: values.get(values.len() / 2).copied().unwrap_or_default(), worst }
    }
}

/// Results of the same experiment over several seeds.
#[derive(Clone, Debug, Serialize)]
pub struct SpreadSummary {
    /// Number of good answers, weighted by tier.
    #[serde(rename = "weighted")]
    pub weighted_goodput: SeedSpread,
    /// Tokens of good answers, weighted by tier.
    pub weighted_tokens: SeedSpread,
    /// Fraction of good answers by class, in the profile's order.
    #[serde(rename = "good")]
    pub good_share: Vec<SeedSpread>,
    /// 95th percentile of the time to the first token over all classes, in milliseconds.
    #[serde(rename = "first_ms")]
    pub first_token_p95_ms: SeedSpread,
    /// 95th percentile of the time to the first token in the highest tier, in milliseconds.
    #[serde(rename = "top_first_ms")]
    pub top_tier_first_token_p95_ms: SeedSpread,
    /// Fraction of computed prompt tokens that were wasted.
    #[serde(rename = "wasted")]
    pub wasted_share: SeedSpread,
    /// Number of refusals.
    pub refusals: SeedSpread,
    /// Violations of the shedding order.
    #[serde(rename = "order_breaks")]
    pub shed_order_violations: SeedSpread,
    /// Engines that crashed on a request.
    #[serde(rename = "engines_ended")]
    pub engine_crashes: SeedSpread,
}

impl SpreadSummary {
    /// Summarises runs that differ only in their seeds.
    pub fn of(runs: &[RunSummary]) -> Self {
        let spread = |more_is_better: bool, metric: &dyn Fn(&RunSummary) -> f64| {
            SeedSpread::of(runs.iter().map(metric).collect(), more_is_better)
        };
        let classes = runs.first().map_or(0, |run| run.classes.len());
        SpreadSummary {
            weighted_goodput: spread(true, &RunSummary::weighted_goodput),
            weighted_tokens: spread(true, &RunSummary::weighted_tokens),
            good_share: (0..classes)
                .map(|class| spread(true, &|run| run.good_share(class)))
                .collect(),
            first_token_p95_ms: spread(false, &RunSummary::first_token_p95_ms),
            top_tier_first_token_p95_ms: spread(false, &RunSummary::top_tier_first_token_p95_ms),
            wasted_share: spread(false, &RunSummary::wasted_share),
            refusals: spread(false, &|run| run.refusals() as f64),
            shed_order_violations: spread(false, &|run| run.shed_order_violations as f64),
            engine_crashes: spread(false, &|run| run.engine_crashes as f64),
        }
    }
}
