//! Limits per organisation: token rate and concurrent requests.
//!
//! The rate limit is a token bucket in the form of the generic cell rate algorithm (ITU-T I.371),
//! which keeps one timestamp per organisation.

use super::{Mechanism, MechanismSet, Moment, OrganisationIndex, RouteKey};
use crate::answer::AnswerKind;
use std::collections::HashMap;
use std::time::Duration;

const MICROS: f64 = 1_000_000.0;
/// Fraction of the difference to the other daemons' buckets that one round of messages corrects,
/// all senders together. At 10 rounds a second, buckets converge within a second, while admissions
/// that are still being reported have little effect.
const LEVEL_STEP: f64 = 0.18;
/// Largest fraction of the difference corrected for one sender.
const MOST_LEVEL_STEP: f64 = 0.1;
/// Differences between buckets up to this many microseconds are not corrected.
const LEVEL_GAP: f64 = 0.3 * MICROS;
/// Fraction of a bucket reserved for higher ranks, by rank.
const RESERVES: [f64; 3] = [0.0, 0.2, 0.5];
/// Fraction that returning callers, whose answers are late in any case, leave to new callers.
const RETURN_RESERVE: f64 = 0.35;
/// Routes whose requests cost at most this fraction of the burst are exempt from reserves: refusing
/// a booking of 200 tokens saves next to nothing of a limit of 65,000.
const SMALL_PART: f64 = 0.01;
/// Largest debt of a bucket, in microseconds of refill until it is back at empty.
const MOST_DEBT: f64 = 2.0 * MICROS;
/// A process that has not run for this long counts as paused; it is scheduled every 100 ms.
const PAUSED_AFTER: Duration = Duration::from_millis(700);
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
    taken: i64,
    /// Tokens requested from this daemon since the start.
    asked: u64,
    /// Expected traffic of the other daemons.
    forecast: LimitForecast,
    /// By route; created by the first request of the route that needs pacing.
    paces: HashMap<RouteKey, AdmissionPace>,
}

/// Expected traffic of the other daemons that share an organisation's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitForecast {
    /// Tokens per second that the other daemons admit.
    pub others_taken: f64,
    /// Tokens per second requested from the whole fleet.
    pub fleet_asked: f64,
    /// Mean time up to which the other daemons' admissions have been counted.
    pub counted_until: Moment,
    /// Time until the other daemons know what this daemon admits now.
    pub horizon: Duration,
}

impl LimitForecast {
    /// Tokens that the other daemons are expected to have admitted since they were last counted.
    fn unknown(&self, now: Moment) -> f64 {
        self.others_taken * now.since(self.counted_until).min(LONGEST_FORECAST).as_secs_f64()
    }

    /// Tokens requested from the fleet until all daemons know what is admitted now.
    fn contended(&self) -> f64 {
        self.fleet_asked * self.horizon.as_secs_f64()
    }
}

/// Longest time for which the others' traffic is extrapolated; after that, daemons that stay silent
/// are accounted for by an assumed rate.
const LONGEST_FORECAST: Duration = Duration::from_millis(600);

/// Admits a fraction of the requested tokens, spread evenly over the requests: each request adds
/// that fraction of its cost as credit, and one passes once the credit covers its cost. Daemons
/// start with different credit, since otherwise all would treat their first requests alike.
#[derive(Clone, Copy, Debug)]
struct AdmissionPace {
    credit: f64,
}

impl AdmissionPace {
    fn passes(&mut self, cost: f64, part: f64) -> bool {
        self.credit += cost * part;
        let passes = self.credit >= cost;
        self.credit -= if passes { cost } else { 0.0 };
        // Credit left over by a large request must not admit many small ones at once.
        self.credit = self.credit.min(cost.max(1.0) * MOST_CREDIT);
        passes
    }
}

/// Maximum number of routes paced per organisation; bounds the map, since routes come and go.
const MOST_PACES: usize = 256;

/// Maximum credit kept, in requests of the size of the last one.
const MOST_CREDIT: f64 = 2.0;

impl LimitState {
    /// Admits the fraction of the fleet's requested tokens that the limit allows. Used when all
    /// daemons together could spend the rest of a bucket before they learn of each other's
    /// admissions; without it, each daemon spends the same rest. Each route is paced separately: in
    /// a shared pace, cheap routes would use up the credit that an expensive one waits for.
    fn passes_paced(&mut self, kind: RouteKey, cost: f64, rate: f64, start: f64) -> bool {
        let part = rate / self.forecast.fleet_asked.max(rate);
        if self.paces.len() >= MOST_PACES && !self.paces.contains_key(&kind) {
            self.paces.clear();
        }
        let pace = self.paces.entry(kind).or_insert(AdmissionPace { credit: cost * start });
        pace.passes(cost, part)
    }
}

/// What a request needs from its organisation's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitClaim {
    /// The route it came by.
    pub kind: RouteKey,
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
    began_empty: Option<Moment>,
    /// Time at which this process was last known to run.
    alive_at: Option<Moment>,
    /// Initial credit of this daemon's paces, as a fraction of a request, 0.0 to 1.0.
    pace_start: f64,
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
    fn let_through(&self, rate: u64) -> f64 {
        rate as f64 * (1.0 + self.overage * TOLERANCE_USED)
    }

    fn burst(&self, limit: &OrganisationLimit, rate: u64) -> f64 {
        let usual = || self.let_through(rate) * DEFAULT_BURST_SECONDS;
        let burst = limit.burst_tokens.map_or_else(usual, |burst| burst as f64);
        burst + self.slack as f64 * TOLERANCE_USED
    }
}

/// Fraction of the tolerance given to callers; the rest covers what other daemons have admitted and
/// not yet reported.
const TOLERANCE_USED: f64 = 0.5;

impl Default for LimitTable {
    fn default() -> Self {
        LimitTable {
            limits: HashMap::new(),
            states: HashMap::new(),
            share: 1.0,
            tolerance: LimitTolerance::default(),
            mechanisms: MechanismSet::default(),
            began_empty: None,
            alive_at: None,
            pace_start: 0.5,
        }
    }
}

impl LimitTable {
    /// Sets the initial credit of this daemon's paces, as a fraction of a request, 0.0 to 1.0. Each
    /// daemon draws it at random, so that they differ.
    pub fn set_pace_start(&mut self, start: f64) {
        self.pace_start = start.clamp(0.0, 1.0);
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
        self.began_empty = Some(now);
    }

    /// Records that the process is running. After a pause all buckets are emptied, as in a new
    /// process, since it is unknown what the others admitted meanwhile.
    pub fn alive(&mut self, now: Moment) {
        let has_paused = self.alive_at.is_some_and(|at| now.since(at) >= PAUSED_AFTER);
        self.alive_at = Some(now);
        if !has_paused || self.began_empty.is_none() {
            return;
        }
        self.began_empty = Some(now);
        for (organisation, state) in &mut self.states {
            let limit = self.limits.get(organisation).copied().unwrap_or_default();
            let Some(rate) = limit.tokens_per_second else { continue };
            let (through, burst) =
                (self.tolerance.let_through(rate), self.tolerance.burst(&limit, rate));
            state.full_at = state.full_at.max(now.0 as f64 + burst / through * MICROS);
        }
    }

    /// Updates the expected traffic of the other daemons.
    pub fn foresee(&mut self, organisation: OrganisationIndex, forecast: LimitForecast) {
        if let Some(state) = self.states.get_mut(&organisation) {
            state.forecast = forecast;
        }
    }

    /// The initial state of an organisation at its first request.
    fn first_state(&self, organisation: OrganisationIndex) -> LimitState {
        let limit = self.limits.get(&organisation).copied().unwrap_or_default();
        let (Some(began), Some(rate)) = (self.began_empty, limit.tokens_per_second) else {
            return LimitState::default();
        };
        let refill = self.burst(&limit, rate) / self.let_through(rate) * MICROS;
        LimitState { full_at: began.0 as f64 + refill, ..LimitState::default() }
    }

    /// The burst of the whole fleet, in tokens.
    fn burst(&self, limit: &OrganisationLimit, rate: u64) -> f64 {
        self.tolerance.burst(limit, rate)
    }

    /// The rate admitted by the whole fleet, in tokens per second.
    fn let_through(&self, rate: u64) -> f64 {
        self.tolerance.let_through(rate)
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
        if self.alive_at.is_some() {
            self.alive(now);
        }
        let reserve = self.reserve(claim);
        let cost = claim.cost;
        let limit = self.limits.get(&organisation).copied().unwrap_or_default();
        if limit.tokens_per_second.is_some() && self.share <= 0.0 {
            return Err(AnswerKind::RateLimited);
        }
        let whole =
            limit.tokens_per_second.map(|rate| (self.let_through(rate), self.burst(&limit, rate)));
        let first = self.first_state(organisation);
        let state = self.states.entry(organisation).or_insert(first);
        if limit.concurrent.is_some_and(|most| {
            f64::from(state.in_progress) + 1.0 > (f64::from(most) * self.share).max(1.0)
        }) {
            return Err(AnswerKind::ConcurrencyLimited);
        }
        state.asked += u64::from(cost);
        if let Some((rate, burst)) = whole {
            let (rate, burst) = (rate * self.share, burst * self.share);
            let time_now = now.0 as f64;
            let full_at = state.full_at.max(time_now);
            let unknown = state.forecast.unknown(now);
            let spent = (full_at - time_now) * rate / MICROS + unknown;
            // A request larger than the burst passes when the bucket is full; otherwise it never
            // could.
            let is_full = full_at <= time_now && unknown < f64::from(cost);
            // The decision uses the mean cost of the route: with each request's own cost, small
            // ones would use up the tokens that a large one waits for.
            let usual_cost = f64::from(claim.usual_cost);
            let is_small = usual_cost <= burst * SMALL_PART;
            let usable = if is_small { burst } else { burst * (1.0 - reserve) };
            let is_spent = spent + usual_cost > usable || spent + f64::from(cost) > burst;
            if is_spent && !is_full {
                return Err(AnswerKind::RateLimited);
            }
            if spent + usual_cost + state.forecast.contended() > usable
                && !state.passes_paced(claim.kind, usual_cost, rate, self.pace_start)
            {
                return Err(AnswerKind::RateLimited);
            }
            let full_at = full_at + f64::from(cost) / rate * MICROS;
            state.full_at = full_at;
        }
        state.taken += i64::from(cost);
        state.in_progress += 1;
        Ok(())
    }

    /// The fraction of a bucket that a request must leave to others.
    fn reserve(&self, claim: LimitClaim) -> f64 {
        let by_rank = match self.mechanisms.has(Mechanism::RankReserve) {
            true => RESERVES[usize::from(claim.rank).min(RESERVES.len() - 1)],
            false => 0.0,
        };
        let is_late = claim.has_returned && self.mechanisms.has(Mechanism::ReturnReserve);
        if is_late { by_rank + (1.0 - by_rank) * RETURN_RESERVE } else { by_rank }
    }

    /// Frees a concurrency slot and returns `unused` tokens, those of work that did not run.
    pub fn release(&mut self, organisation: OrganisationIndex, unused: u32) {
        let rate = self.limits.get(&organisation).and_then(|limit| limit.tokens_per_second);
        let rate = rate.map(|rate| self.let_through(rate));
        let Some(state) = self.states.get_mut(&organisation) else { return };
        state.in_progress = state.in_progress.saturating_sub(1);
        state.taken -= i64::from(unused);
        if let Some(rate) = rate.filter(|_| self.share > 0.0) {
            state.full_at -= f64::from(unused) / (rate * self.share) * MICROS;
        }
    }

    /// Charges tokens that other daemons have admitted. Once all are charged everywhere, every
    /// daemon sees the whole limit as one bucket.
    pub fn charge(&mut self, organisation: OrganisationIndex, tokens: i64, now: Moment) {
        let rate = self.limits.get(&organisation).and_then(|limit| limit.tokens_per_second);
        let limit = self.limits.get(&organisation).copied().unwrap_or_default();
        let Some((rate, empty)) = rate.map(|rate| {
            let through = self.let_through(rate);
            (through, self.burst(&limit, rate) / through * MICROS)
        }) else {
            return;
        };
        let first = self.first_state(organisation);
        let state = self.states.entry(organisation).or_insert(first);
        let full_at = state.full_at.max(now.0 as f64);
        let full_at = full_at + tokens as f64 / rate * MICROS;
        // Debt from admissions that were not known here is capped: after a network partition heals,
        // a debt of many seconds would refuse an organisation that is long back within its limit.
        let most = now.0 as f64 + empty + MOST_DEBT;
        state.full_at = full_at.min(most.max(state.full_at));
    }

    /// Moves an organisation's bucket a little towards another daemon's estimate. Without it, the
    /// daemons' buckets stay apart after lost messages or a network partition, since all refill at
    /// the same rate, and the emptiest refuses everything while the others admit the whole limit.
    pub fn level(
        &mut self,
        organisation: OrganisationIndex,
        refill: Duration,
        senders: usize,
        now: Moment,
    ) {
        let Some(state) = self.states.get_mut(&organisation) else { return };
        let own = state.full_at.max(now.0 as f64);
        let told = now.0 as f64 + refill.as_micros() as f64;
        let gap = told - own;
        // Small gaps are admissions not yet reported.
        let lasting = gap.signum() * (gap.abs() - LEVEL_GAP).max(0.0);
        let step = (LEVEL_STEP / senders.max(1) as f64).min(MOST_LEVEL_STEP);
        state.full_at = own + lasting * step;
    }

    /// Tokens of an organisation requested from this daemon since the start.
    pub fn asked(&self, organisation: OrganisationIndex) -> u64 {
        self.states.get(&organisation).map_or(0, |state| state.asked)
    }

    /// The rate that an organisation's limit admits, in tokens per second.
    pub fn rate(&self, organisation: OrganisationIndex) -> Option<f64> {
        let rate = self.limits.get(&organisation)?.tokens_per_second?;
        Some(self.let_through(rate))
    }

    /// Time until an organisation's bucket is full again.
    pub fn refilled_in(&self, organisation: OrganisationIndex, now: Moment) -> Duration {
        let full_at = self.states.get(&organisation).map_or(0.0, |state| state.full_at);
        Duration::from_micros((full_at - now.0 as f64).max(0.0) as u64)
    }

    /// Tokens of an organisation admitted by this daemon since the start, less those given back.
    pub fn taken(&self, organisation: OrganisationIndex) -> i64 {
        self.states.get(&organisation).map_or(0, |state| state.taken)
    }

    /// Requests in progress of organisations with limits, the basis of this daemon's share.
    pub fn demand(&self) -> u64 {
        self.limits.keys().map(|organisation| u64::from(self.in_progress(*organisation))).sum()
    }

    /// The largest fraction of a whole concurrency limit that this daemon uses. After its share was
    /// reduced, requests beyond the new share still count until they end: otherwise another daemon
    /// would fill the part taken away while it is still in use.
    pub fn used(&self) -> f64 {
        let used = self.limits.iter().filter_map(|(organisation, limit)| {
            let most = f64::from(limit.concurrent?.max(1));
            Some(f64::from(self.in_progress(*organisation)) / most)
        });
        used.fold(0.0, f64::max)
    }

    /// Requests in progress of one organisation.
    pub fn in_progress(&self, organisation: OrganisationIndex) -> u32 {
        self.states.get(&organisation).map_or(0, |state| state.in_progress)
    }
}
