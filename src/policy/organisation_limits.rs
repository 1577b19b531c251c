//! Limits of organisations: token rate and requests in progress.
//!
//! The rate is a token bucket in the form of the generic cell rate algorithm (ITU-T I.371): one time
//! stamp for each organisation.

use super::{Mechanism, MechanismSet, Moment, OrganisationIndex, RouteKey};
use crate::answer::AnswerKind;
use std::collections::HashMap;
use std::time::Duration;

const MICROS: f64 = 1_000_000.0;
/// The part of the difference by which a bucket moves towards the others' with a round of messages, all senders together:
/// with 10 rounds a second, buckets are level again within a second, while what is on its way weighs little.
const LEVEL_STEP: f64 = 0.18;
/// The part by which it moves towards one sender's at most.
const MOST_LEVEL_STEP: f64 = 0.1;
/// Differences between buckets up to this are not made level, in microseconds.
const LEVEL_GAP: f64 = 0.3 * MICROS;
/// The part of a bucket that is left to higher ranks, by rank.
const RESERVES: [f64; 3] = [0.0, 0.2, 0.5];
/// The part that is left to newcomers by callers who have been here before, whose answers are late in any case.
const RETURN_RESERVE: f64 = 0.35;
/// Kinds whose requests cost at most this part of the burst leave nothing to higher ranks: refusing a booking of 200 tokens saves
/// next to nothing of a limit of 65,000.
const SMALL_PART: f64 = 0.01;
/// A bucket is never charged further below empty than this, in microseconds until it is empty again.
const MOST_DEBT: f64 = 2.0 * MICROS;
/// A process that has not run for this long stood still: it is told to run each 100 ms.
const PAUSED_AFTER: Duration = Duration::from_millis(700);
/// Seconds' worth of tokens that may be used at once where the table names no burst.
const DEFAULT_BURST_SECONDS: f64 = 10.0;

/// The limits of one organisation, as one daemon applies them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OrganisationLimit {
    /// Estimated tokens a second.
    pub tokens_per_second: Option<u64>,
    /// Tokens usable at once.
    pub burst_tokens: Option<u64>,
    /// Requests in progress.
    pub concurrent: Option<u32>,
}

#[derive(Clone, Debug, Default)]
struct LimitState {
    /// When the bucket will be full again, in microseconds.
    full_at: f64,
    in_progress: u32,
    /// Tokens let through here since the start, less those given back.
    taken: i64,
    /// Tokens asked for here since the start.
    asked: u64,
    /// What is known of the others.
    forecast: LimitForecast,
    /// By kind of request, from the first request of the kind that needs it.
    paces: HashMap<RouteKey, AdmissionPace>,
}

/// What is known of the others that share an organisation's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitForecast {
    /// Tokens a second that the others let through.
    pub others_taken: f64,
    /// Tokens a second that the whole fleet is asked for.
    pub fleet_asked: f64,
    /// The time up to which the others have been counted, in the mean.
    pub counted_until: Moment,
    /// Time until the others know what this daemon does now.
    pub horizon: Duration,
}

impl LimitForecast {
    /// Tokens that the others have let through since they were counted.
    fn unknown(&self, now: Moment) -> f64 {
        self.others_taken * now.since(self.counted_until).min(LONGEST_FORECAST).as_secs_f64()
    }

    /// Tokens that the fleet is asked for until all know of what is let through now.
    fn contended(&self) -> f64 {
        self.fleet_asked * self.horizon.as_secs_f64()
    }
}

/// What others do is foreseen for this long; after that, silent ones are accounted for by what is assumed of them.
const LONGEST_FORECAST: Duration = Duration::from_millis(600);

/// Lets a part of the tokens asked for through, evenly over the requests: each adds its part, and passes once that makes
/// up a whole one. Daemons begin at different points, or the first requests of all would fare alike.
#[derive(Clone, Copy, Debug)]
struct AdmissionPace {
    credit: f64,
}

impl AdmissionPace {
    fn passes(&mut self, cost: f64, part: f64) -> bool {
        self.credit += cost * part;
        let passes = self.credit >= cost;
        self.credit -= if passes { cost } else { 0.0 };
        // What a large request leaves over must not let many small ones through at once.
        self.credit = self.credit.min(cost.max(1.0) * MOST_CREDIT);
        passes
    }
}

/// Kinds of request whose paces are kept for an organisation, at most: routes come and go.
const MOST_PACES: usize = 256;

/// Credit that is kept, in requests of the last one's size.
const MOST_CREDIT: f64 = 2.0;

impl LimitState {
    /// Where the rest of a bucket could be spent by all daemons at once before they know of each other: lets through the part of
    /// what the fleet is asked for that the limit allows.
    /// Without it, each daemon spends the same rest of the bucket.
    /// Each kind has a pace of its own: in a common one, cheap kinds use up the credit that a dear one waits for.
    fn passes_paced(&mut self, kind: RouteKey, cost: f64, rate: f64, start: f64) -> bool {
        let part = rate / self.forecast.fleet_asked.max(rate);
        if self.paces.len() >= MOST_PACES && !self.paces.contains_key(&kind) {
            self.paces.clear();
        }
        let pace = self.paces.entry(kind).or_insert(AdmissionPace { credit: cost * start });
        pace.passes(cost, part)
    }
}

/// What a request asks of its organisation's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitClaim {
    /// Its kind of request.
    pub kind: RouteKey,
    /// Tokens.
    pub cost: u32,
    /// Tokens of a usual request of its kind.
    pub usual_cost: u32,
    /// Rank of its route, 0 the highest.
    pub rank: u8,
    /// True if its caller has been here before with it.
    pub has_returned: bool,
}

/// The state of all organisations' limits in one daemon.
#[derive(Clone, Debug)]
pub struct LimitTable {
    limits: HashMap<OrganisationIndex, OrganisationLimit>,
    states: HashMap<OrganisationIndex, LimitState>,
    /// This daemon's share of each limit, 0.0 to 1.0.
    share: f64,
    tolerance: LimitTolerance,
    mechanisms: MechanismSet,
    /// When this table began with empty buckets; none if it began with full ones.
    began_empty: Option<Moment>,
    /// When this process was last known to run.
    alive_at: Option<Moment>,
    /// Where this daemon's paces begin, 0.0 to 1.0 of a request.
    pace_start: f64,
}

/// How far limits on tokens may be exceeded, where operators allow it because a fleet cannot count exactly.
/// Refusing nothing that lies below the limit is worth more to callers than the last token of exactness.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitTolerance {
    /// Share of the rate and of the burst, 0.1 for a tenth.
    pub overage: f64,
    /// Tokens beside that.
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

/// The part of the tolerance that is given to callers; the rest is for what other daemons let through and have not
/// yet told.
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
    /// Sets where this daemon's paces begin, 0.0 to 1.0 of a request: daemons draw it, so that they differ.
    pub fn set_pace_start(&mut self, start: f64) {
        self.pace_start = start.clamp(0.0, 1.0);
    }

    /// Replaces the limits; what is in progress stays counted.
    pub fn set_limits(&mut self, limits: HashMap<OrganisationIndex, OrganisationLimit>) {
        self.limits = limits;
    }

    /// Sets how far limits may be exceeded.
    pub fn set_tolerance(&mut self, tolerance: LimitTolerance) {
        self.tolerance = tolerance;
    }

    /// Switches mechanisms off.
    pub fn set_mechanisms(&mut self, mechanisms: MechanismSet) {
        self.mechanisms = mechanisms;
    }

    /// Every bucket is empty now: a new process does not know what the fleet has just let through.
    pub fn start_empty(&mut self, now: Moment) {
        self.began_empty = Some(now);
    }

    /// Notes that the process runs. After a pause all buckets are empty, as in a new process: what the others let through
    /// meanwhile is not known.
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

    /// Takes what is known of the others.
    pub fn foresee(&mut self, organisation: OrganisationIndex, forecast: LimitForecast) {
        if let Some(state) = self.states.get_mut(&organisation) {
            state.forecast = forecast;
        }
    }

    /// The state of an organisation that is met for the first time.
    fn first_state(&self, organisation: OrganisationIndex) -> LimitState {
        let limit = self.limits.get(&organisation).copied().unwrap_or_default();
        let (Some(began), Some(rate)) = (self.began_empty, limit.tokens_per_second) else {
            return LimitState::default();
        };
        let refill = self.burst(&limit, rate) / self.let_through(rate) * MICROS;
        LimitState { full_at: began.0 as f64 + refill, ..LimitState::default() }
    }

    /// The whole burst, in tokens.
    fn burst(&self, limit: &OrganisationLimit, rate: u64) -> f64 {
        self.tolerance.burst(limit, rate)
    }

    /// The rate that is let through, in tokens a second.
    fn let_through(&self, rate: u64) -> f64 {
        self.tolerance.let_through(rate)
    }

    /// Sets this daemon's share of every limit.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Takes `cost` tokens and a place in progress, or says which limit binds.
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

    /// The same for a request of a rank: lower ranks leave the last part of the bucket to higher ones. What goes wrong
    /// without it: an organisation at its limit spends it on what came first, its long notes, and its urgent requests
    /// are refused. Below the limit the bucket is full and nothing is refused.
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
            // A request larger than the whole burst passes when the bucket is full: it could never pass otherwise.
            let is_full = full_at <= time_now && unknown < f64::from(cost);
            // What decides is the usual cost of the kind: with each request's own, small ones would use up what a large
            // one waits for.
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

    /// The part of a bucket that a request leaves to others.
    fn reserve(&self, claim: LimitClaim) -> f64 {
        let by_rank = match self.mechanisms.has(Mechanism::RankReserve) {
            true => RESERVES[usize::from(claim.rank).min(RESERVES.len() - 1)],
            false => 0.0,
        };
        let is_late = claim.has_returned && self.mechanisms.has(Mechanism::ReturnReserve);
        if is_late { by_rank + (1.0 - by_rank) * RETURN_RESERVE } else { by_rank }
    }

    /// Gives back a place in progress; `unused` tokens (of work that did not run) return to the bucket.
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

    /// Charges tokens that other daemons have let through: with all of them told, the whole limit is one bucket
    /// that every daemon knows.
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
        // What was let through out of our sight is not owed for ever: after a cut heals, a debt of many seconds
        // would refuse an organisation that has long been back within its limit.
        let most = now.0 as f64 + empty + MOST_DEBT;
        state.full_at = full_at.min(most.max(state.full_at));
    }

    /// Moves an organisation's bucket a little towards what another daemon estimates. What goes wrong without
    /// it: after lost messages or a cut the daemons' buckets differ for ever, since each is refilled at the same
    /// rate, and the one with the least in it refuses everything while the others let the whole limit through.
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
        // Small gaps are what each has let through and not yet told.
        let lasting = gap.signum() * (gap.abs() - LEVEL_GAP).max(0.0);
        let step = (LEVEL_STEP / senders.max(1) as f64).min(MOST_LEVEL_STEP);
        state.full_at = own + lasting * step;
    }

    /// Tokens of an organisation asked for here since the start.
    pub fn asked(&self, organisation: OrganisationIndex) -> u64 {
        self.states.get(&organisation).map_or(0, |state| state.asked)
    }

    /// The rate that an organisation's limit lets through, in tokens a second.
    pub fn rate(&self, organisation: OrganisationIndex) -> Option<f64> {
        let rate = self.limits.get(&organisation)?.tokens_per_second?;
        Some(self.let_through(rate))
    }

    /// The time after which an organisation's bucket is full again.
    pub fn refilled_in(&self, organisation: OrganisationIndex, now: Moment) -> Duration {
        let full_at = self.states.get(&organisation).map_or(0.0, |state| state.full_at);
        Duration::from_micros((full_at - now.0 as f64).max(0.0) as u64)
    }

    /// Tokens of an organisation let through here since the start.
    pub fn taken(&self, organisation: OrganisationIndex) -> i64 {
        self.states.get(&organisation).map_or(0, |state| state.taken)
    }

    /// Requests in progress of organisations that have limits: what this daemon's share should follow.
    pub fn demand(&self) -> u64 {
        self.limits.keys().map(|organisation| u64::from(self.in_progress(*organisation))).sum()
    }

    /// The largest part of a whole limit on requests in progress that this daemon takes up. A share that was
    /// made smaller still counts for as much until they have ended: else another daemon would fill the part
    /// that was taken away while it is still in use.
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
