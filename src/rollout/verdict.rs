//! Compares a new version with the old one by two sequential tests on the outcome counts.
//!
//! Failures are tested with Wald's sequential probability ratio test (A. Wald, *Sequential
//! Analysis*, 1947). Latencies are tested by betting on their rank among those of the old version
//! (I. Waudby-Smith and A. Ramdas, *Estimating means of bounded random variables by betting*,
//! 2024). Both tests remain valid when evaluated after every answer: repeated evaluation does not
//! raise the false-alarm rate. The worst upstreams are excluded, since a fault of a single upstream
//! says nothing about its version.

use super::counts::{LATENCY_BUCKETS, OutcomeCounts, RequestGroup, VersionArm, VersionOutcome};
use crate::policy::UpstreamHash;
use std::collections::{BTreeMap, BTreeSet};

/// Share of a version's upstreams excluded from the failure test: those with the most failures.
const TRIMMED_SHARE: f64 = 0.2;
/// Share of upstreams excluded from the latency test: the slowest ones. Upstreams differ in speed
/// severalfold, and a slow version is also slow on the fastest upstreams.
const SLOW_TRIMMED_SHARE: f64 = 0.5;
/// With fewer upstreams than this, none is excluded.
const MIN_UPSTREAMS_TO_TRIM: usize = 3;
/// Increase in the failure rate over the old version that justifies a roll-back, as a share of the
/// answers that would otherwise succeed.
const FAILURE_RATE_MARGIN: f64 = 0.07;
/// Lower bound of the assumed baseline failure rate; rates below it are tolerated whatever the old
/// version's rate is.
const MIN_FAILURE_RATE: f64 = 0.01;
/// Factor applied to the old version's failure rate, which is only an estimate.
const FAILURE_RATE_TOLERANCE: f64 = 1.25;
/// Number of answers assumed for the old version in addition to those counted, so that a small
/// sample is not treated as certain.
const PRIOR_ANSWERS: f64 = 20.0;
/// Odds against the new version at which it is rejected.
const REJECTION_ODDS: f64 = 2_000.0;
/// Odds in favour of the new version at which it is approved.
const APPROVAL_ODDS: f64 = 20.0;
/// Highest tolerated mean rank of the new version's latencies among the old one's. The mean is 0.5
/// if both have the same distribution.
const MAX_MEAN_RANK: f64 = 0.58;
/// Stakes of the bets on ranks. The test uses the mean of the resulting wealth.
const BET_STAKES: [f64; 2] = [0.6, 1.2];
/// Minimum number of answers of the old version in a request group for ranks to be meaningful.
const MIN_RANKED_ANSWERS: u64 = 10;

/// Verdict on the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionVerdict {
    /// It fails more often than the old version.
    Failing,
    /// It answers several times slower than the old version.
    Slow,
    /// It is neither, and there are enough answers to say so.
    Sound,
    /// There are too few answers.
    Unclear,
}

impl VersionVerdict {
    /// Returns true if the new version must be rolled back.
    pub fn is_bad(self) -> bool {
        matches!(self, VersionVerdict::Failing | VersionVerdict::Slow)
    }
}

/// Answers and failures of one or several upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct FailureTally {
    answers: f64,
    failures: f64,
}

/// Evaluates the new version. The old version's failure rate is taken from `baseline` where
/// `counts` hold too few of its answers.
pub fn compare_versions(counts: &OutcomeCounts, baseline: &OutcomeCounts) -> VersionVerdict {
    let mut log_odds = Vec::new();
    for route in new_routes(counts).into_iter().map(Some).chain([None]) {
        log_odds.push(failure_log_odds(counts, baseline, route));
    }
    let log_wealth = rank_log_wealth(counts);
    let limit = REJECTION_ODDS.ln();
    if log_odds.iter().any(|log_odds| *log_odds >= limit) {
        return VersionVerdict::Failing;
    }
    if log_wealth >= limit {
        return VersionVerdict::Slow;
    }
    let overall = log_odds.last().copied().unwrap_or(0.0);
    let is_sound = overall <= -APPROVAL_ODDS.ln() && log_wealth <= 0.0;
    if is_sound { VersionVerdict::Sound } else { VersionVerdict::Unclear }
}

fn new_routes(counts: &OutcomeCounts) -> BTreeSet<u32> {
    let new = counts.iter().filter(|(key, _)| key.arm == VersionArm::New);
    new.map(|(key, _)| key.group.route).collect()
}

/// Returns the log odds that the new version fails more often, on one route or on all of them.
fn failure_log_odds(counts: &OutcomeCounts, baseline: &OutcomeCounts, route: Option<u32>) -> f64 {
    let baseline_rate =
        old_failure_rate(counts, route).or_else(|| old_failure_rate(baseline, route));
    let baseline_rate =
        (baseline_rate.unwrap_or(0.0) * FAILURE_RATE_TOLERANCE).clamp(MIN_FAILURE_RATE, 0.8);
    let worse_rate = baseline_rate + FAILURE_RATE_MARGIN * (1.0 - baseline_rate);
    let new = trimmed_tally(new_tallies(counts, route));
    let (failed_ratio, answered_ratio) =
        (worse_rate / baseline_rate, (1.0 - worse_rate) / (1.0 - baseline_rate));
    new.failures * failed_ratio.ln() + (new.answers - new.failures) * answered_ratio.ln()
}

/// Returns the old version's failure rate without the upstreams that fail most, or none if it has
/// too few answers.
fn old_failure_rate(counts: &OutcomeCounts, route: Option<u32>) -> Option<f64> {
    let mut answers = 0.0;
    let mut failures: BTreeMap<Option<UpstreamHash>, f64> = BTreeMap::new();
    for (key, count) in counts.iter().filter(|(key, _)| key.arm == VersionArm::Old) {
        if route.is_some_and(|route| route != key.group.route) {
            continue;
        }
        answers += f64::from(count);
        if key.outcome == VersionOutcome::Failed {
            *failures.entry(key.upstream).or_default() += f64::from(count);
        }
    }
    if answers < PRIOR_ANSWERS {
        return None;
    }
    let mut ranked: Vec<f64> = failures.into_values().collect();
    ranked.sort_by(|a, b| b.total_cmp(a));
    // A few failing upstreams are faulty themselves; if all of them fail, that is the version's
    // normal failure rate.
    let trimmed =
        if ranked.len() < MIN_UPSTREAMS_TO_TRIM { 0 } else { trimmed_count(ranked.len()) };
    let failures: f64 = ranked.iter().skip(trimmed).sum();
    Some(failures / (answers + PRIOR_ANSWERS))
}

fn trimmed_count(upstreams: usize) -> usize {
    if upstreams < MIN_UPSTREAMS_TO_TRIM {
        0
    } else {
        (upstreams as f64 * TRIMMED_SHARE).ceil() as usize
    }
}

fn new_tallies(
    counts: &OutcomeCounts,
    route: Option<u32>,
) -> BTreeMap<Option<UpstreamHash>, FailureTally> {
    let mut tallies: BTreeMap<_, FailureTally> = BTreeMap::new();
    for (key, count) in counts.iter().filter(|(key, _)| key.arm == VersionArm::New) {
        let tally = tallies.entry(key.upstream).or_default();
        if route.is_none_or(|route| route == key.group.route) {
            tally.answers += f64::from(count);
            let has_failed = key.outcome == VersionOutcome::Failed;
            tally.failures += if has_failed { f64::from(count) } else { 0.0 };
        }
    }
    tallies
}

/// Returns the sum over all upstreams except those with the most failures.
fn trimmed_tally(tallies: BTreeMap<Option<UpstreamHash>, FailureTally>) -> FailureTally {
    let upstreams = tallies.len();
    let mut ranked: Vec<FailureTally> = tallies.into_values().collect();
    ranked.sort_by(|a, b| b.failures.total_cmp(&a.failures));
    ranked.iter().skip(trimmed_count(upstreams)).fold(FailureTally::default(), |sum, tally| {
        FailureTally {
            answers: sum.answers + tally.answers,
            failures: sum.failures + tally.failures,
        }
    })
}

type LatencyHistogram = [u64; LATENCY_BUCKETS as usize];

fn old_latencies(counts: &OutcomeCounts) -> BTreeMap<RequestGroup, LatencyHistogram> {
    let mut histograms: BTreeMap<RequestGroup, LatencyHistogram> = BTreeMap::new();
    for (key, count) in counts.iter().filter(|(key, _)| key.arm == VersionArm::Old) {
        if let VersionOutcome::Served(bucket) = key.outcome {
            let histogram = histograms.entry(key.group).or_insert([0; LATENCY_BUCKETS as usize]);
            histogram[usize::from(bucket.min(LATENCY_BUCKETS - 1))] += u64::from(count);
        }
    }
    histograms
}

/// Returns the mid-rank of a latency bucket: the share of shorter latencies plus half of the equal
/// ones.
fn rank(histogram: &LatencyHistogram, bucket: u8) -> Option<f64> {
    let bucket = usize::from(bucket.min(LATENCY_BUCKETS - 1));
    let total: u64 = histogram.iter().sum();
    let shorter: u64 = histogram[..bucket].iter().sum();
    (total >= MIN_RANKED_ANSWERS)
        .then(|| (shorter as f64 + histogram[bucket] as f64 / 2.0) / total as f64)
}

/// Returns the log wealth of the bets that ranks are high, without the slowest upstreams.
fn rank_log_wealth(counts: &OutcomeCounts) -> f64 {
    let old = old_latencies(counts);
    let mut wealth_by_upstream: BTreeMap<Option<UpstreamHash>, [f64; 2]> = BTreeMap::new();
    for (key, count) in counts.iter().filter(|(key, _)| key.arm == VersionArm::New) {
        let VersionOutcome::Served(bucket) = key.outcome else { continue };
        let Some(rank) = old.get(&key.group).and_then(|histogram| rank(histogram, bucket)) else {
            continue;
        };
        let wealth = wealth_by_upstream.entry(key.upstream).or_default();
        for (wealth, stake) in wealth.iter_mut().zip(BET_STAKES) {
            *wealth += f64::from(count) * (1.0 + stake * (rank - MAX_MEAN_RANK)).ln();
        }
    }
    let mut ranked: Vec<[f64; 2]> = wealth_by_upstream.into_values().collect();
    let trimmed = (ranked.len() as f64 * SLOW_TRIMMED_SHARE) as usize;
    let trimmed = if ranked.len() < MIN_UPSTREAMS_TO_TRIM { 0 } else { trimmed };
    ranked.sort_by(|a, b| b[0].total_cmp(&a[0]));
    let sum = ranked
        .iter()
        .skip(trimmed)
        .fold([0.0; 2], |sum, wealth| [sum[0] + wealth[0], sum[1] + wealth[1]]);
    let max_wealth = sum[0].max(sum[1]);
    max_wealth + (sum.iter().map(|wealth| (wealth - max_wealth).exp()).sum::<f64>() / 2.0).ln()
}
