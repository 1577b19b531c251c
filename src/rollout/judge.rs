//! Compares a new version with the old one by two sequential tests on the outcome counts.
//!
//! Failures are tested with Wald's sequential probability ratio test (A. Wald, *Sequential
//! Analysis*, 1947). Latencies are tested by betting on their rank among those of the old version
//! (I. Waudby-Smith and A. Ramdas, *Estimating means of bounded random variables by betting*,
//! 2024). Both tests remain valid when evaluated after every answer: repeated evaluation does not
//! raise the false-alarm rate. The worst upstreams are excluded, since a fault of a single upstream
//! says nothing about its version.

use super::counts::{AnswerCount, AnswerCounts, RequestGroup, TIME_BUCKETS, VersionArm};
use crate::policy::UpstreamHash;
use std::collections::{BTreeMap, BTreeSet};

/// Share of a version's upstreams excluded from the failure test: those with the most failures.
const LEFT_OUT: f64 = 0.2;
/// Share of upstreams excluded from the latency test: the slowest ones. Upstreams differ in speed
/// severalfold, and a slow version is also slow on the fastest upstreams.
const SLOWEST_LEFT_OUT: f64 = 0.5;
/// With fewer upstreams than this, none is excluded.
const LEAST_ENGINES: usize = 3;
/// Increase in the failure rate over the old version that justifies a roll-back, as a share of the
/// answers that would otherwise succeed.
const WORSE_BY: f64 = 0.07;
/// Lower bound of the assumed baseline failure rate; rates below it are tolerated whatever the old
/// version's rate is.
const LEAST_SHARE: f64 = 0.01;
/// Factor applied to the old version's failure rate, which is only an estimate.
const SHARE_MARGIN: f64 = 1.25;
/// Number of answers assumed for the old version in addition to those counted, so that a small
/// sample is not treated as certain.
const PRIOR_ANSWERS: f64 = 20.0;
/// Odds against the new version at which it is rejected.
const CONDEMNING_ODDS: f64 = 2_000.0;
/// Odds in favour of the new version at which it is approved.
const APPROVING_ODDS: f64 = 20.0;
/// Highest tolerated mean rank of the new version's latencies among the old one's. The mean is 0.5
/// if both have the same distribution.
const TOLERATED_RANK: f64 = 0.58;
/// Stakes of the bets on ranks. The test uses the mean of the resulting wealth.
const STAKES: [f64; 2] = [0.6, 1.2];
/// Minimum number of answers of the old version in a request group for ranks to be meaningful.
const LEAST_RANKED: u64 = 10;

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

/// Evaluates the new version. The old version's failure rate is taken from `usual` where `counts`
/// hold too few of its answers.
pub fn judge(counts: &AnswerCounts, usual: &AnswerCounts) -> VersionVerdict {
    let mut odds = Vec::new();
    for route in routes(counts).into_iter().map(Some).chain([None]) {
        odds.push(failure_odds(counts, usual, route));
    }
    let rank = rank_odds(counts);
    let limit = CONDEMNING_ODDS.ln();
    if odds.iter().any(|odds| *odds >= limit) {
        return VersionVerdict::Failing;
    }
    if rank >= limit {
        return VersionVerdict::Slow;
    }
    let of_all = odds.last().copied().unwrap_or(0.0);
    let is_sound = of_all <= -APPROVING_ODDS.ln() && rank <= 0.0;
    if is_sound { VersionVerdict::Sound } else { VersionVerdict::Unclear }
}

fn routes(counts: &AnswerCounts) -> BTreeSet<u32> {
    let new = counts.iter().filter(|(key, _)| key.arm == VersionArm::New);
    new.map(|(key, _)| key.group.route).collect()
}

/// Returns the log odds that the new version fails more often, on one route or on all of them.
fn failure_odds(counts: &AnswerCounts, usual: &AnswerCounts, route: Option<u32>) -> f64 {
    let usual_share = old_share(counts, route).or_else(|| old_share(usual, route));
    let usual_share = (usual_share.unwrap_or(0.0) * SHARE_MARGIN).clamp(LEAST_SHARE, 0.8);
    let worse_share = usual_share + WORSE_BY * (1.0 - usual_share);
    let new = trimmed(new_tallies(counts, route));
    let (failed, answered) = (worse_share / usual_share, (1.0 - worse_share) / (1.0 - usual_share));
    new.failures * failed.ln() + (new.answers - new.failures) * answered.ln()
}

/// Returns the old version's failure rate without the upstreams that fail most, or none if it has
/// too few answers.
fn old_share(counts: &AnswerCounts, route: Option<u32>) -> Option<f64> {
    let mut answers = 0.0;
    let mut failures: BTreeMap<Option<UpstreamHash>, f64> = BTreeMap::new();
    for (key, count) in counts.iter().filter(|(key, _)| key.arm == VersionArm::Old) {
        if route.is_some_and(|route| route != key.group.route) {
            continue;
        }
        answers += f64::from(count);
        if key.answer == AnswerCount::Failed {
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
    let left_out = if ranked.len() < LEAST_ENGINES { 0 } else { left_out(ranked.len()) };
    let failures: f64 = ranked.iter().skip(left_out).sum();
    Some(failures / (answers + PRIOR_ANSWERS))
}

fn left_out(engines: usize) -> usize {
    if engines < LEAST_ENGINES { 0 } else { (engines as f64 * LEFT_OUT).ceil() as usize }
}

fn new_tallies(
    counts: &AnswerCounts,
    route: Option<u32>,
) -> BTreeMap<Option<UpstreamHash>, FailureTally> {
    let mut tallies: BTreeMap<_, FailureTally> = BTreeMap::new();
    for (key, count) in counts.iter().filter(|(key, _)| key.arm == VersionArm::New) {
        let tally = tallies.entry(key.upstream).or_default();
        if route.is_none_or(|route| route == key.group.route) {
            tally.answers += f64::from(count);
            let has_failed = key.answer == AnswerCount::Failed;
            tally.failures += if has_failed { f64::from(count) } else { 0.0 };
        }
    }
    tallies
}

/// Returns the sum over all upstreams except those with the most failures.
fn trimmed(tallies: BTreeMap<Option<UpstreamHash>, FailureTally>) -> FailureTally {
    let engines = tallies.len();
    let mut ranked: Vec<FailureTally> = tallies.into_values().collect();
    ranked.sort_by(|a, b| b.failures.total_cmp(&a.failures));
    ranked.iter().skip(left_out(engines)).fold(FailureTally::default(), |sum, tally| FailureTally {
        answers: sum.answers + tally.answers,
        failures: sum.failures + tally.failures,
    })
}

type TimeHistogram = [u64; TIME_BUCKETS as usize];

fn old_times(counts: &AnswerCounts) -> BTreeMap<RequestGroup, TimeHistogram> {
    let mut times: BTreeMap<RequestGroup, TimeHistogram> = BTreeMap::new();
    for (key, count) in counts.iter().filter(|(key, _)| key.arm == VersionArm::Old) {
        if let AnswerCount::Served(bucket) = key.answer {
            let times = times.entry(key.group).or_insert([0; TIME_BUCKETS as usize]);
            times[usize::from(bucket.min(TIME_BUCKETS - 1))] += u64::from(count);
        }
    }
    times
}

/// Returns the mid-rank of a latency bucket: the share of shorter latencies plus half of the equal
/// ones.
fn rank(times: &TimeHistogram, bucket: u8) -> Option<f64> {
    let bucket = usize::from(bucket.min(TIME_BUCKETS - 1));
    let all: u64 = times.iter().sum();
    let shorter: u64 = times[..bucket].iter().sum();
    (all >= LEAST_RANKED).then(|| (shorter as f64 + times[bucket] as f64 / 2.0) / all as f64)
}

/// Returns the log wealth of the bets that ranks are high, without the slowest upstreams.
fn rank_odds(counts: &AnswerCounts) -> f64 {
    let old = old_times(counts);
    let mut won: BTreeMap<Option<UpstreamHash>, [f64; 2]> = BTreeMap::new();
    for (key, count) in counts.iter().filter(|(key, _)| key.arm == VersionArm::New) {
        let AnswerCount::Served(bucket) = key.answer else { continue };
        let Some(rank) = old.get(&key.group).and_then(|times| rank(times, bucket)) else {
            continue;
        };
        let won = won.entry(key.upstream).or_default();
        for (won, stake) in won.iter_mut().zip(STAKES) {
            *won += f64::from(count) * (1.0 + stake * (rank - TOLERATED_RANK)).ln();
        }
    }
    let mut ranked: Vec<[f64; 2]> = won.into_values().collect();
    let left_out = (ranked.len() as f64 * SLOWEST_LEFT_OUT) as usize;
    let left_out = if ranked.len() < LEAST_ENGINES { 0 } else { left_out };
    ranked.sort_by(|a, b| b[0].total_cmp(&a[0]));
    let sum =
        ranked.iter().skip(left_out).fold([0.0; 2], |sum, won| [sum[0] + won[0], sum[1] + won[1]]);
    let most = sum[0].max(sum[1]);
    most + (sum.iter().map(|won| (won - most).exp()).sum::<f64>() / 2.0).ln()
}
