//! What a run gave, and how much runs with other seeds differ.

use crate::answer::AnswerKind;
use crate::load::{LoadProfile, RequestKind};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// One class of requests in the measured time.
#[derive(Clone, Debug, Serialize)]
pub struct ClassCount {
    /// The tier.
    pub tier: &'static str,
    /// The tier's weight.
    pub weight: u32,
    /// Requests made.
    pub offered: u64,
    /// Whole answers in time.
    pub good: u64,
    /// Their prompt and output tokens.
    pub good_tokens: u64,
    /// Times to the first token, in microseconds.
    #[serde(skip)]
    pub first: Histogram<u64>,
}

/// The results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunSummary {
    /// By class, highest tier first.
    pub classes: Vec<ClassCount>,
    /// Refusals by kind.
    pub refused: BTreeMap<&'static str, u64>,
    /// Prompt tokens that engines computed, in the whole run.
    pub prefill_tokens: u64,
    /// Of these, computed again or thrown away.
    pub wasted_tokens: u64,
    /// Breaks of the shedding order, as each daemon sees them.
    pub order_breaks: u64,
    /// Engines that ended under a request.
    pub engines_ended: u64,
}

impl RunSummary {
    /// Nothing yet.
    pub fn new(profile: &LoadProfile) -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        let classes = profile.classes.iter().map(|class| ClassCount {
            tier: class.tier,
            weight: if class.kind == RequestKind::Model { class.weight } else { 0 },
            offered: 0,
            good: 0,
            good_tokens: 0,
            first: histogram(),
        });
        RunSummary {
            classes: classes.collect(),
            refused: BTreeMap::new(),
            prefill_tokens: 0,
            wasted_tokens: 0,
            order_breaks: 0,
            engines_ended: 0,
        }
    }

    /// Counts a measured arrival.
    pub fn offered(&mut self, class: usize) {
        self.classes[class].offered += 1;
    }

    /// Counts a refusal by the scheduler, if it is measured.
    pub fn refused(&mut self, kind: AnswerKind, is_measured: bool) {
        if is_measured {
            *self.refused.entry(kind.row().name).or_default() += 1;
        }
    }

    /// Counts a measured request's end.
    pub fn ended(&mut self, class: usize, good_tokens: Option<u32>, first: Option<Duration>) {
        let count = &mut self.classes[class];
        count.good += u64::from(good_tokens.is_some());
        count.good_tokens += u64::from(good_tokens.unwrap_or(0));
        if let Some(first) = first {
            // The histogram grows as needed, so recording cannot fail.
            let _ = count.first.record(first.as_micros() as u64);
        }
    }

    /// Refusals of all kinds.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Good answers times their tiers' weights.
    pub fn weighted_goodput(&self) -> f64 {
        self.classes.iter().map(|class| class.good as f64 * f64::from(class.weight)).sum()
    }

    /// The same in tokens, which is what the weights divide.
    pub fn weighted_tokens(&self) -> f64 {
        self.classes.iter().map(|class| class.good_tokens as f64 * f64::from(class.weight)).sum()
    }

    /// The part of a class's requests that was answered whole and in time.
    pub fn good_share(&self, class: usize) -> f64 {
        let count = &self.classes[class];
        count.good as f64 / count.offered.max(1) as f64
    }

    /// 95th percentile of the time to the first token, in milliseconds, of all classes together.
    pub fn first_ms(&self) -> f64 {
        let mut all: Histogram<u64> = Histogram::new(3).expect("three digits are allowed");
        self.classes.iter().for_each(|class| {
            let _ = all.add(&class.first);
        });
        all.value_at_quantile(0.95) as f64 / 1_000.0
    }

    /// The same of the top tier alone.
    pub fn top_first_ms(&self) -> f64 {
        self.classes[0].first.value_at_quantile(0.95) as f64 / 1_000.0
    }

    /// The part of computed prompt tokens that was computed again or thrown away.
    pub fn wasted_share(&self) -> f64 {
        self.wasted_tokens as f64 / self.prefill_tokens.max(1) as f64
    }
}

/// One number over several seeds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct SeedSpread {
    /// The middle one.
    pub median: f64,
    /// The worst one.
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

/// The results of the same experiment over several seeds.
#[derive(Clone, Debug, Serialize)]
pub struct SpreadSummary {
    /// Good answers times weights.
    pub weighted: SeedSpread,
    /// Tokens of good answers times weights.
    pub weighted_tokens: SeedSpread,
    /// Good part by class, in the profile's order.
    pub good: Vec<SeedSpread>,
    /// Time to the first token, p95 over all classes, in milliseconds.
    pub first_ms: SeedSpread,
    /// The same of the top tier.
    pub top_first_ms: SeedSpread,
    /// Wasted part of the prefill.
    pub wasted: SeedSpread,
    /// Refusals.
    pub refusals: SeedSpread,
    /// Breaks of the shedding order.
    pub order_breaks: SeedSpread,
    /// Engines that ended under a request.
    pub engines_ended: SeedSpread,
}

impl SpreadSummary {
    /// Sums up runs that differ by their seeds only.
    pub fn of(runs: &[RunSummary]) -> Self {
        let spread = |more_is_better: bool, number: &dyn Fn(&RunSummary) -> f64| {
            SeedSpread::of(runs.iter().map(number).collect(), more_is_better)
        };
        let classes = runs.first().map_or(0, |run| run.classes.len());
        SpreadSummary {
            weighted: spread(true, &RunSummary::weighted_goodput),
            weighted_tokens: spread(true, &RunSummary::weighted_tokens),
            good: (0..classes).map(|class| spread(true, &|run| run.good_share(class))).collect(),
            first_ms: spread(false, &RunSummary::first_ms),
            top_first_ms: spread(false, &RunSummary::top_first_ms),
            wasted: spread(false, &RunSummary::wasted_share),
            refusals: spread(false, &|run| run.refusals() as f64),
            order_breaks: spread(false, &|run| run.order_breaks as f64),
            engines_ended: spread(false, &|run| run.engines_ended as f64),
        }
    }
}
