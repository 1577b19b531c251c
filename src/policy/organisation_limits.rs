//! Limits per organisation: token rate and concurrent requests.
//!
//! The rate limit is a token bucket in the form of the generic cell rate algorithm (ITU-T I.371),
//! which keeps one timestamp per organisation.

use super::{Mechanism, MechanismSet, Moment, OrganisationIndex, RouteKey};
use crate::answer::AnswerKind;
use std::collections::HashMap;
use std::time::Duration;

const MICROS_PER_SECOND: f64 = 1_000_000.0;
/// Fraction of the difference to the other daemons' buckets that one round of messages corrects,
/// all senders together. At 10 rounds a second, buckets converge within a second, while admissions
/// that are still being reported have little effect.
const CONVERGENCE_RATIO: f64 = 0.18;
/// Largest fraction of the difference corrected for one sender.
const MAX_SENDER_CONVERGENCE_RATIO: f64 = 0.1;
/// Differences between buckets up to this many microseconds are not corrected.
const IGNORED_GAP_MICROS: f64 = 0.3 * MICROS_PER_SECOND;
/// Fraction of a bucket reserved for higher ranks, by rank.
const RANK_RESERVES: [f64; 3] = [0.0, 0.2, 0.5];
/// Fraction that returning callers, whose answers are late in any case, leave to new callers.
const RETURN_RESERVE: f64 = 0.35;
/// Routes whose requests cost at most this fraction of the burst are exempt from reserves: refusing
/// a booking of 200 tokens saves next to nothing of a limit of 65,000.
const SMALL_COST_RATIO: f64 = 0.01;
/// Largest debt of a bucket, in microseconds of refill until it is back at empty.
const MAX_DEBT_MICROS: f64 = 2.0 * MICROS_PER_SECOND;
/// A process that has not run for this long counts as paused; it is scheduled every 100 ms.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);
/// Burst, in seconds of the token rate, where the table sets none.
const DEFAULT_BURST_SECONDS: f64 = 10.0;

/// The limits of one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OrganisationLimit {
    /// Estimated tokens per second.
    pub tokens_per_second: Option<u64>,
    /// Tokens that may be used at once.
    pub burst_tokens: Option<u64>,
    /// Concurrent requests.
    pub concurrent: Option<u32>,
}

#[derive(Clone, Debug, Default)]
struct LimitState {
    /// Time at which the bucket is full again, in microseconds.
    full_at: f64,
    in_progress: u32,
    /// Tokens admitted by this daemon since the start, less those given back.
    admitted_tokens: i64,
    /// Tokens requested from this daemon since the start.
    requested_tokens: u64,
    /// Expected traffic of the other daemons.
    forecast: LimitForecast,
    /// By route; created by the first request of the route that needs pacing.
    pacers: HashMap<RouteKey, AdmissionPacer>,
}

/// Expected traffic of the other daemons that share an organisation's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitForecast {
    /// Tokens per second that the other daemons admit.
    pub others_admitted_rate: f64,
    /// Tokens per second requested from the whole fleet.
    pub fleet_requested_rate: f64,
    /// Mean time up to which the other daemons' admissions have been counted.
    pub counted_until: Moment,
    /// Time until the other daemons know what this daemon admits now.
    pub horizon: Duration,
}

impl LimitForecast {
    /// Tokens that the other daemons are expected to have admitted since they were last counted.
    fn unreported_tokens(&self, now: Moment) -> f64 {
        self.others_admitted_rate
            * now.since(self.counted_until).min(MAX_EXTRAPOLATION).as_secs_f64()
    }

    /// Tokens requested from the fleet until all daemons know what is admitted now.
    fn contended_tokens(&self) -> f64 {
        self.fleet_requested_rate * self.horizon.as_secs_f64()
    }
}

/// Longest time for which the others' traffic is extrapolated; after that, daemons that stay silent
/// are accounted for by an assumed rate.
const MAX_EXTRAPOLATION: Duration = Duration::from_millis(600);

/// Admits a fraction of the requested tokens, spread evenly over the requests: each request adds
/// that fraction of its cost as credit, and one passes once the credit covers its cost. Daemons
/// start with different credit, since otherwise all would treat their first requests alike.
#[derive(Clone, Copy, Debug)]
struct AdmissionPacer {
    credit: f64,
}

impl AdmissionPacer {
    fn admits(&mut self, cost: f64, ratio: f64) -> bool {
        self.credit += cost * ratio;
        let passes = self.credit >= cost;
        self.credit -= if passes { cost } else { 0.0 };
        // Credit left over by a large request must not admit many small ones at once.
        self.credit = self.credit.min(cost.max(1.0) * MAX_CREDIT_REQUESTS);
        passes
    }
}

/// Maximum number of routes paced per organisation; bounds the map, since routes come and go.
const MAX_PACERS: usize = 256;

/// Maximum credit kept, in requests of the size of the last one.
const MAX_CREDIT_REQUESTS: f64 = 2.0;

impl LimitState {
    /// Admits the fraction of the fleet's requested tokens that the limit allows. Used when all
    /// daemons together could spend the rest of a bucket before they learn of each other's
    /// admissions; without it, each daemon spends the same rest. Each route is paced separately: in
    /// a shared pacer, cheap routes would use up the credit that an expensive one waits for.
    fn admits_paced(&mut self, route: RouteKey, cost: f64, rate: f64, initial_credit: f64) -> bool {
        let ratio = rate / self.forecast.fleet_requested_rate.max(rate);
        if self.pacers.len() >= MAX_PACERS && !self.pacers.contains_key(&route) {
            self.pacers.clear();
        }
        let pacer =
            self.pacers.entry(route).or_insert(AdmissionPacer { credit: cost * initial_credit });
        pacer.admits(cost, ratio)
    }
}

/// What a request needs from its organisation's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitClaim {
    /// The route it came by.
    pub route: RouteKey,
    /// Estimated cost in tokens.
    pub cost: u32,
    /// Mean cost of recent requests of its route, in tokens.
    pub usual_cost: u32,
    /// Rank of its route, 0 the highest.
    pub rank: u8,
    /// True if its caller has sent it before.
    pub has_returned: bool,
}

/// The limits of all organisations and their state in one daemon.
#[derive(Clone, Debug)]
pub struct LimitTable {
    limits: HashMap<OrganisationIndex, OrganisationLimit>,
    states: HashMap<OrganisationIndex, LimitState>,
    /// This daemon's share of each limit, 0.0 to 1.0.
    share: f64,
    tolerance: LimitTolerance,
    mechanisms: MechanismSet,
    /// Time at which all buckets were empty, after a start or a pause; `None` if they started full.
    emptied_at: Option<Moment>,
    /// Time at which this process was last known to run.
    last_alive_at: Option<Moment>,
    /// Initial credit of this daemon's pacers, as a fraction of a request, 0.0 to 1.0.
    initial_credit: f64,
}

/// How far token limits may be exceeded, where operators allow it because a fleet cannot count
/// exactly. Callers gain more from never being refused below the limit than from an exact limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitTolerance {
    /// Fraction added to the rate, and to a burst derived from it; 0.1 is a tenth.
    pub overage: f64,
    /// Tokens added to the burst.
    pub slack: u64,
}

impl LimitTolerance {
    fn admitted_rate(&self, rate: u64) -> f64 {
        rate as f64 * (1.0 + self.overage * USED_TOLERANCE_RATIO)
    }

    fn burst(&self, limit: &OrganisationLimit, rate: u64) -> f64 {
        let usual = || self.admitted_rate(rate) * DEFAULT_BURST_SECONDS;
        let burst = limit.burst_tokens.map_or_else(usual, |burst| burst as f64);
        burst + self.slack as f64 * USED_TOLERANCE_RATIO
    }
}

/// Fraction of the tolerance given to callers; the rest covers what other daemons have admitted and
/// not yet reported.
const USED_TOLERANCE_RATIO: f64 = 0.5;

impl Default for LimitTable {
    fn default() -> Self {
        LimitTable {
            limits: HashMap::new(),
            states: HashMap::new(),
            share: 1.0,
            tolerance: LimitTolerance::default(),
            mechanisms: MechanismSet::default(),
            emptied_at: None,
            last_alive_at: None,
            initial_credit: 0.5,
        }
    }
}

impl LimitTable {
    /// Sets the initial credit of this daemon's pacers, as a fraction of a request, 0.0 to 1.0.
    /// Each daemon draws it at random, so that they differ.
    pub fn set_initial_credit(&mut self, credit: f64) {
        self.initial_credit = credit.clamp(0.0, 1.0);
    }

    /// Replaces the limits; requests in progress stay counted.
    pub fn set_limits(&mut self, limits: HashMap<OrganisationIndex, OrganisationLimit>) {
        self.limits = limits;
    }

    /// Sets how far limits may be exceeded.
    pub fn set_tolerance(&mut self, tolerance: LimitTolerance) {
        self.tolerance = tolerance;
    }

    /// Sets which mechanisms are switched off.
    pub fn set_mechanisms(&mut self, mechanisms: MechanismSet) {
        self.mechanisms = mechanisms;
    }

    /// Empties all buckets, since a new process does not know what the fleet has just admitted.
    pub fn start_empty(&mut self, now: Moment) {
        self.emptied_at = Some(now);
    }

    /// Records that the process is running. After a pause all buckets are emptied, as in a new
    /// process, since it is unknown what the others admitted meanwhile.
    pub fn record_alive(&mut self, now: Moment) {
        let has_paused = self.last_alive_at.is_some_and(|at| now.since(at) >= PAUSE_THRESHOLD);
        self.last_alive_at = Some(now);
        if !has_paused || self.emptied_at.is_none() {
            return;
        }
        self.emptied_at = Some(now);
        for (organisation, state) in &mut self.states {
            let limit = self.limits.get(organisation).copied().unwrap_or_default();
            let Some(rate) = limit.tokens_per_second else { continue };
            let (admitted_rate, burst) =
                (self.tolerance.admitted_rate(rate), self.tolerance.burst(&limit, rate));
            state.full_at =
                state.full_at.max(now.0 as f64 + burst / admitted_rate * MICROS_PER_SECOND);
        }
    }

    /// Updates the expected traffic of the other daemons.
    pub fn set_forecast(&mut self, organisation: OrganisationIndex, forecast: LimitForecast) {
        if let Some(state) = self.states.get_mut(&organisation) {
            state.forecast = forecast;
        }
    }

    /// The initial state of an organisation at its first request.
    fn initial_state(&self, organisation: OrganisationIndex) -> LimitState {
        let limit = self.limits.get(&organisation).copied().unwrap_or_default();
        let (Some(emptied_at), Some(rate)) = (self.emptied_at, limit.tokens_per_second) else {
            return LimitState::default();
        };
        let refill = self.burst(&limit, rate) / self.admitted_rate(rate) * MICROS_PER_SECOND;
        LimitState { full_at: emptied_at.0 as f64 + refill, ..LimitState::default() }
    }

    /// The burst of the whole fleet, in tokens.
    fn burst(&self, limit: &OrganisationLimit, rate: u64) -> f64 {
        self.tolerance.burst(limit, rate)
    }

    /// The rate admitted by the whole fleet, in tokens per second.
    fn admitted_rate(&self, rate: u64) -> f64 {
        self.tolerance.admitted_rate(rate)
    }

    /// Sets this daemon's share of every limit.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Takes `cost` tokens and a concurrency slot, or returns the limit that refuses the request.
    pub fn admit(
        &mut self,
        organisation: OrganisationIndex,
        cost: u32,
        now: Moment,
    ) -> Result<(), AnswerKind> {
        self.admit_claim(
            organisation,
            LimitClaim { cost, usual_cost: cost, ..LimitClaim::default() },
            now,
        )
    }

    /// Like [`LimitTable::admit`], but with reserves: lower ranks leave the last part of the bucket
    /// to higher ones. Without them, an organisation at its limit spends its tokens on the requests
    /// that came first, such as long low-priority ones, and its urgent requests are refused. Below
    /// the limit the bucket is full and nothing is refused.
    pub fn admit_claim(
        &mut self,
        organisation: OrganisationIndex,
        claim: LimitClaim,
        now: Moment,
    ) -> Result<(), AnswerKind> {
        if self.last_alive_at.is_some() {
            self.record_alive(now);
        }
        let reserve = self.reserve(claim);
        let cost = claim.cost;
        let limit = self.limits.get(&organisation).copied().unwrap_or_default();
        if limit.tokens_per_second.is_some() && self.share <= 0.0 {
            return Err(AnswerKind::RateLimited);
        }
        let fleet_limit = limit
            .tokens_per_second
            .map(|rate| (self.admitted_rate(rate), self.burst(&limit, rate)));
        let initial = self.initial_state(organisation);
        let state = self.states.entry(organisation).or_insert(initial);
        if limit.concurrent.is_some_and(|max| {
            f64::from(state.in_progress) + 1.0 > (f64::from(max) * self.share).max(1.0)
        }) {
            return Err(AnswerKind::ConcurrencyLimited);
        }
        state.requested_tokens += u64::from(cost);
        if let Some((rate, burst)) = fleet_limit {
            let (rate, burst) = (rate * self.share, burst * self.share);
            let time_now = now.0 as f64;
            let full_at = state.full_at.max(time_now);
            let unreported_tokens = state.forecast.unreported_tokens(now);
            let spent = (full_at - time_now) * rate / MICROS_PER_SECOND + unreported_tokens;
            // A request larger than the burst passes when the bucket is full; otherwise it never
            // could.
            let is_full = full_at <= time_now && unreported_tokens < f64::from(cost);
            // The decision uses the mean cost of the route: with each request's own cost, small
            // ones would use up the tokens that a large one waits for.
            let usual_cost = f64::from(claim.usual_cost);
            let is_small = usual_cost <= burst * SMALL_COST_RATIO;
            let usable = if is_small { burst } else { burst * (1.0 - reserve) };
            let is_spent = spent + usual_cost > usable || spent + f64::from(cost) > burst;
            if is_spent && !is_full {
                return Err(AnswerKind::RateLimited);
            }
            if spent + usual_cost + state.forecast.contended_tokens() > usable
                && !state.admits_paced(claim.route, usual_cost, rate, self.initial_credit)
            {
                return Err(AnswerKind::RateLimited);
            }
            let full_at = full_at + f64::from(cost) / rate * MICROS_PER_SECOND;
            state.full_at = full_at;
        }
        state.admitted_tokens += i64::from(cost);
        state.in_progress += 1;
        Ok(())
    }

    /// The fraction of a bucket that a request must leave to others.
    fn reserve(&self, claim: LimitClaim) -> f64 {
        let by_rank = match self.mechanisms.has(Mechanism::RankReserve) {
            true => RANK_RESERVES[usize::from(claim.rank).min(RANK_RESERVES.len() - 1)],
            false => 0.0,
        };
        let is_returning = claim.has_returned && self.mechanisms.has(Mechanism::ReturnReserve);
        if is_returning { by_rank + (1.0 - by_rank) * RETURN_RESERVE } else { by_rank }
    }

    /// Frees a concurrency slot and returns `unused` tokens, those of work that did not run.
    pub fn release(&mut self, organisation: OrganisationIndex, unused: u32) {
        let rate = self.limits.get(&organisation).and_then(|limit| limit.tokens_per_second);
        let rate = rate.map(|rate| self.admitted_rate(rate));
        let Some(state) = self.states.get_mut(&organisation) else { return };
        state.in_progress = state.in_progress.saturating_sub(1);
        state.admitted_tokens -= i64::from(unused);
        if let Some(rate) = rate.filter(|_| self.share > 0.0) {
            state.full_at -= f64::from(unused) / (rate * self.share) * MICROS_PER_SECOND;
        }
    }

    /// Charges tokens that other daemons have admitted. Once all are charged everywhere, every
    /// daemon sees the whole limit as one bucket.
    pub fn charge(&mut self, organisation: OrganisationIndex, tokens: i64, now: Moment) {
        let rate = self.limits.get(&organisation).and_then(|limit| limit.tokens_per_second);
        let limit = self.limits.get(&organisation).copied().unwrap_or_default();
        let Some((rate, empty)) = rate.map(|rate| {
            let admitted_rate = self.admitted_rate(rate);
            (admitted_rate, self.burst(&limit, rate) / admitted_rate * MICROS_PER_SECOND)
        }) else {
            return;
        };
        let initial = self.initial_state(organisation);
        let state = self.states.entry(organisation).or_insert(initial);
        let full_at = state.full_at.max(now.0 as f64);
        let full_at = full_at + tokens as f64 / rate * MICROS_PER_SECOND;
        // Debt from admissions that were not known here is capped: after a network partition heals,
        // a debt of many seconds would refuse an organisation that is long back within its limit.
        let max = now.0 as f64 + empty + MAX_DEBT_MICROS;
        state.full_at = full_at.min(max.max(state.full_at));
    }

    /// Moves an organisation's bucket a little towards another daemon's estimate. Without it, the
    /// daemons' buckets stay apart after lost messages or a network partition, since all refill at
    /// the same rate, and the emptiest refuses everything while the others admit the whole limit.
    pub fn converge(
        &mut self,
        organisation: OrganisationIndex,
        refill: Duration,
        senders: usize,
        now: Moment,
    ) {
        let Some(state) = self.states.get_mut(&organisation) else { return };
        let own = state.full_at.max(now.0 as f64);
        let reported = now.0 as f64 + refill.as_micros() as f64;
        let gap = reported - own;
        // Small gaps are admissions not yet reported.
        let corrected_gap = gap.signum() * (gap.abs() - IGNORED_GAP_MICROS).max(0.0);
        let step = (CONVERGENCE_RATIO / senders.max(1) as f64).min(MAX_SENDER_CONVERGENCE_RATIO);
        state.full_at = own + corrected_gap * step;
    }

    /// Tokens of an organisation requested from this daemon since the start.
    pub fn requested_tokens(&self, organisation: OrganisationIndex) -> u64 {
        self.states.get(&organisation).map_or(0, |state| state.requested_tokens)
    }

    /// The rate that an organisation's limit admits, in tokens per second.
    pub fn rate(&self, organisation: OrganisationIndex) -> Option<f64> {
        let rate = self.limits.get(&organisation)?.tokens_per_second?;
        Some(self.admitted_rate(rate))
    }

    /// Time until an organisation's bucket is full again.
    pub fn time_to_full(&self, organisation: OrganisationIndex, now: Moment) -> Duration {
        let full_at = self.states.get(&organisation).map_or(0.0, |state| state.full_at);
        Duration::from_micros((full_at - now.0 as f64).max(0.0) as u64)
    }

    /// Tokens of an organisation admitted by this daemon since the start, less those given back.
    pub fn admitted_tokens(&self, organisation: OrganisationIndex) -> i64 {
        self.states.get(&organisation).map_or(0, |state| state.admitted_tokens)
    }

    /// Requests in progress of organisations with limits, the basis of this daemon's share.
    pub fn demand(&self) -> u64 {
        self.limits.keys().map(|organisation| u64::from(self.in_progress(*organisation))).sum()
    }

    /// The largest fraction of a whole concurrency limit that this daemon uses. After its share was
    /// reduced, requests beyond the new share still count until they end: otherwise another daemon
    /// would fill the part taken away while it is still in use.
    pub fn largest_utilisation(&self) -> f64 {
        let utilisations = self.limits.iter().filter_map(|(organisation, limit)| {
            let max = f64::from(limit.concurrent?.max(1));
            Some(f64::from(self.in_progress(*organisation)) / max)
        });
        utilisations.fold(0.0, f64::max)
    }

    /// Requests in progress of one organisation.
    pub fn in_progress(&self, organisation: OrganisationIndex) -> u32 {
        self.states.get(&organisation).map_or(0, |state| state.in_progress)
    }
}
