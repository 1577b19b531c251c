//! Placement on the upstream with the earliest expected first event.

use super::placement::{PlacementPolicy, PlacementQuery, RequiredFit};
use super::{
    Moment, PrefixHolders, PrefixMark, PrefixPlan, SentPrompt, UpstreamIndex, UpstreamSet,
    UpstreamStatus, prefix_holders,
};
use rand::{Rng, RngCore};

/// An upstream that fails every request has its estimate increased by this multiple.
const FAILURE_PENALTY: f64 = 8.0;
/// Estimates are increased by a random factor of up to this share. Otherwise daemons with the same
/// information choose the same upstream, and among equal engines the lowest index always wins. The
/// symptom is engines with queues next to idle ones, and it grows with the number of daemons.
const ESTIMATE_JITTER: f64 = 0.3;
/// Factor applied to the estimate of an upstream that would not finish the answer before the
/// caller's deadline.
const MISSED_DEADLINE_PENALTY: f64 = 6.0;
/// Output estimates are medians, so an upstream should have time for this multiple of the estimated
/// output.
const OUTPUT_MARGIN: f64 = 1.3;
/// The same margin for requests that can wait for another upstream. Estimates are off by a factor
/// of 1.6 at one standard deviation, so one answer in twelve takes longer than this.
const SAFE_OUTPUT_MARGIN: f64 = 2.0;
/// Engines prefill prompts in chunks between decoding steps, so at most this many prompt tokens are
/// processed between two events of a stream (engines use chunks of 2,048 tokens and events of 3 to
/// 5 tokens).
const MAX_PREFILL_TOKENS_BETWEEN_EVENTS: f64 = 8_192.0;
/// Added to the estimate's factor for each running stream that would pause for too long. Without
/// this penalty, a long prompt on an engine four times slower than the others delays every stream
/// there: 28 % of the streams on such engines were late, and none on the others.
const STALL_PENALTY: f64 = 1.0;
/// Factor applied to the estimate of an upstream of another group, which is likely to be busy with
/// that group's work and needs a new connection. It is below the slowness of the slowest engines of
/// this daemon's own group, which are four times slower than the others.
const OTHER_GROUP_PENALTY: f64 = 2.0;
/// Maximum number of upstreams compared for one request; in larger pools, the comparison starts at
/// a random position. This bounds the cost of a placement and keeps daemons with the same
/// information from choosing the same upstream.
const MAX_CANDIDATES: usize = 64;
/// Engine steps before a first event in addition to prefill: the step in progress and the one that
/// produces the event.
const STEPS_BEFORE_FIRST_EVENT: f64 = 2.0;

/// Chooses the upstream with a free slot and the earliest expected first event.
///
/// An engine prefills prompts one after the other, so the unread prompts already there, sent by
/// this daemon or by others, are processed first. The upstream's own time between events gives its
/// speed relative to the pool (a third of the engines are four times slower than the others).
/// Engines admit requests in order of arrival and ignore tiers, so no engine is sent more requests
/// than it can run concurrently.
///
/// Prompt tokens that an upstream is expected to hold shorten its estimate by the time to process them,
/// so that they never outweigh a longer wait. They change neither which upstreams are excluded nor
/// which ones count as unfit.
#[derive(Debug, Default)]
pub struct EarliestPlacement {
    holders: Option<Box<dyn PrefixHolders>>,
    kept_tokens: u32,
    changed_choices: u64,
}

/// The estimate of one upstream, to be compared with others: what excludes it, the microseconds with
/// and without the time saved by the tokens that it holds, and these tokens.
#[derive(Clone, Copy, Debug)]
struct UpstreamRating {
    index: UpstreamIndex,
    exclusion: (bool, bool),
    micros: f64,
    full_micros: f64,
    held_tokens: f64,
}

impl EarliestPlacement {
    /// Creates the policy; `prefix` selects how it learns what upstreams hold.
    pub fn new(prefix: PrefixPlan) -> Self {
        EarliestPlacement { holders: prefix_holders(prefix), ..EarliestPlacement::default() }
    }

    /// Returns an upstream's time between tokens in microseconds, and its slowdown relative to the
    /// pool.
    fn gap_and_slowness(status: &UpstreamStatus, query: &PlacementQuery<'_>) -> (f64, f64) {
        let gap = status.gap().unwrap_or(query.speed.gap_micros);
        (gap, gap / query.speed.gap_micros.max(1.0))
    }

    /// Estimates the microseconds until the first event if the upstream holds `held_tokens` of the
    /// prompt.
    fn first_event_micros(
        status: &UpstreamStatus,
        query: &PlacementQuery<'_>,
        held_tokens: f64,
    ) -> f64 {
        let (gap, slowness) = Self::gap_and_slowness(status, query);
        let unread = status.total_unread_tokens();
        let prompt = (unread as f64 + f64::from(query.prompt_tokens)) * query.speed.prefill_micros;
        let load = status.occupancy().min(1.0);
        let saved = held_tokens * query.speed.prefill_micros * slowness;
        let full = prompt * slowness + STEPS_BEFORE_FIRST_EVENT * gap + load * gap;
        let full = full + Self::slot_wait_micros(status, query, gap);
        let stall = Self::stall_penalty(status, query, gap, slowness);
        let total = (full - saved) * stall;
        let run = f64::from(query.output_tokens) * gap * OUTPUT_MARGIN;
        // Without this factor, a long answer starts on time on an engine four times slower than the
        // others and is then cut by its deadline, having held a slot for its entire duration.
        let is_too_slow = full * stall + run > query.time_left.as_micros() as f64;
        let total = if is_too_slow { total * MISSED_DEADLINE_PENALTY } else { total };
        // A cold upstream, or one that states a rate, is used by its owners alone, whatever their groups.
        let is_preferred =
            status.is_in_group || status.is_cold(query.now) || status.rate_pace.is_limited();
        let total = if is_preferred { total } else { total * OTHER_GROUP_PENALTY };
        total * (1.0 + FAILURE_PENALTY * status.failure_rate)
    }
}

impl EarliestPlacement {
    /// Estimates the wait for a free slot where the latest, possibly outdated, information shows
    /// all slots in use.
    fn slot_wait_micros(status: &UpstreamStatus, query: &PlacementQuery<'_>, gap: f64) -> f64 {
        let excess = (status.occupancy() - 1.0).max(0.0) + 1.0 / status.limit.requests().max(1.0);
        let is_full = status.occupancy() >= 1.0;
        let run = f64::from(query.output_tokens) * gap;
        if is_full { run * excess } else { 0.0 }
    }

    /// Returns true if the answer should finish before the caller's deadline despite the
    /// uncertainty of its length, and if no stream running there would pause for too long. Without
    /// this rule, under load the slowest engines are the ones with free slots; long answers go
    /// there, hold a slot until their callers' deadlines and are cut, which wasted a tenth of all
    /// engine time.
    fn fits(status: &UpstreamStatus, query: &PlacementQuery<'_>) -> bool {
        let (gap, slowness) = Self::gap_and_slowness(status, query);
        let prefill_micros = f64::from(query.prompt_tokens) * query.speed.prefill_micros * slowness;
        let margin = match query.required_fit {
            RequiredFit::Safe => SAFE_OUTPUT_MARGIN,
            RequiredFit::Likely => OUTPUT_MARGIN,
            RequiredFit::Any => return true,
        };
        let run = f64::from(query.output_tokens) * gap * margin;
        let ends_in_time = prefill_micros + run <= query.time_left.as_micros() as f64;
        ends_in_time && Self::stall_penalty(status, query, gap, slowness) <= 1.0
    }

    /// Returns true if a live upstream that has no free capacity now would fit.
    fn may_fit_later(set: &UpstreamSet, query: &PlacementQuery<'_>) -> bool {
        let usable = set.iter().filter(|status| status.takes_requests_here());
        let is_full = |status: &UpstreamStatus| {
            !status.has_capacity(query.capacity) || !query.has_memory(status)
        };
        let busy = usable.filter(|status| is_full(status) && query.suits(status));
        busy.take(MAX_CANDIDATES).any(|status| Self::fits(status, query))
    }

    /// Penalty factor for the pause that prefilling the prompt causes in the streams running there.
    fn stall_penalty(
        status: &UpstreamStatus,
        query: &PlacementQuery<'_>,
        gap: f64,
        slowness: f64,
    ) -> f64 {
        let Some(pause) = query.max_pause else { return 1.0 };
        let unread = status.total_unread_tokens();
        let prefill_tokens =
            (unread as f64 + f64::from(query.prompt_tokens)).min(MAX_PREFILL_TOKENS_BETWEEN_EVENTS);
        let stall = f64::from(query.event_tokens) * gap
            + prefill_tokens * query.speed.prefill_micros * slowness;
        if stall <= pause.as_micros() as f64 {
            return 1.0;
        }
        let running = status.in_flight + status.peer_work.total_requests();
        1.0 + STALL_PENALTY * f64::from(running)
    }
}

impl UpstreamRating {
    /// True if this upstream is preferred to another one by exclusion, then `micros`, then index.
    fn is_before(&self, other: &Self, micros: impl Fn(&Self) -> f64) -> bool {
        let by_exclusion = self.exclusion.cmp(&other.exclusion);
        let by_time = by_exclusion.then(micros(self).total_cmp(&micros(other)));
        by_time.then(self.index.cmp(&other.index)).is_lt()
    }
}

impl PlacementPolicy for EarliestPlacement {
    fn place(
        &mut self,
        set: &UpstreamSet,
        query: &PlacementQuery<'_>,
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamIndex> {
        self.kept_tokens = 0;
        if let Some(holders) = &mut self.holders {
            holders.review(set, query);
        }
        let holders = &self.holders;
        let open = query.open(set);
        let start = if open.len() > MAX_CANDIDATES { rng.random_range(0..open.len()) } else { 0 };
        let sample = open.iter().cycle().skip(start).take(open.len().min(MAX_CANDIDATES));
        // A holder outside the sample of a large pool is compared as well.
        let is_sampled = open.len() <= MAX_CANDIDATES;
        let extra = holders.iter().filter(|_| !is_sampled).flat_map(|holders| holders.holders());
        let extra = extra.filter(|index| open.contains(index));
        let open = sample.chain(extra).filter_map(|index| set.get(*index));
        let rated = open.map(|status| {
            let is_backed_off = query.now < status.backoff_until;
            let is_unfit = !Self::fits(status, query);
            let jitter = 1.0 + ESTIMATE_JITTER * rng.random::<f64>();
            let held_tokens =
                holders.as_ref().map_or(0.0, |holders| holders.held_tokens(status, query));
            let full_micros = Self::first_event_micros(status, query, 0.0) * jitter;
            let micros = match held_tokens > 0.0 {
                true => Self::first_event_micros(status, query, held_tokens) * jitter,
                false => full_micros,
            };
            let exclusion = (is_backed_off, is_unfit);
            UpstreamRating { index: status.index, exclusion, micros, full_micros, held_tokens }
        });
        // Of the ratings with and without held tokens, the best of each.
        let choice = rated.fold(None, |best: Option<(UpstreamRating, UpstreamRating)>, rating| {
            let Some((kept, full)) = best else { return Some((rating, rating)) };
            let is_better = rating.is_before(&kept, |rating| rating.micros);
            let is_better_in_full = rating.is_before(&full, |rating| rating.full_micros);
            let kept = if is_better { rating } else { kept };
            Some((kept, if is_better_in_full { rating } else { full }))
        });
        let (best, without) = choice?;
        let should_wait = best.exclusion.1 && Self::may_fit_later(set, query);
        if should_wait {
            return None;
        }
        self.kept_tokens = best.held_tokens as u32;
        self.changed_choices += u64::from(best.index != without.index);
        Some(best.index)
    }

    fn kept_tokens(&self) -> u32 {
        self.kept_tokens
    }

    fn record_send(&mut self, prompt: SentPrompt<'_>, upstream: UpstreamIndex, now: Moment) {
        if let Some(holders) = &mut self.holders {
            holders.record_send(prompt, upstream, now);
        }
    }

    fn retract_send(&mut self, prefix: &[PrefixMark], upstream: UpstreamIndex) {
        if let Some(holders) = &mut self.holders {
            holders.retract_send(prefix, upstream);
        }
    }

    fn changed_choices(&self) -> u64 {
        self.changed_choices
    }
}
