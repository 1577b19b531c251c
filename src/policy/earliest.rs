//! Placement by the earliest first event.

use super::placement::{PlaceFit, PlacementPolicy, PlacementQuery};
use super::{UpstreamIndex, UpstreamSet, UpstreamState, UpstreamStatus};
use rand::{Rng, RngCore};

/// An upstream that fails all its requests counts as this many times slower.
const FAILING_PRICE: f64 = 8.0;
/// Estimates are spread by up to this part at random. What goes wrong without it: daemons that know the same choose
/// the same upstream, and engines that look alike are chosen by their number. One would notice by engines with
/// queues beside idle ones, the more so the more daemons there are.
const CHOICE_SPREAD: f64 = 0.3;
/// An upstream counts as this many times slower for a request whose answer it would not end in the caller's time.
const TOO_SLOW_PRICE: f64 = 6.0;
/// Output guesses are right at the median only; an upstream should have time for this many times as much.
const GUESS_MARGIN: f64 = 1.3;
/// The same where the request can wait for another upstream: guesses are off by a factor of 1.6 at one deviation, so one
/// in twelve takes longer than this.
const SAFE_GUESS_MARGIN: f64 = 2.0;
/// Engines read prompts in parts between their steps, so at most this many tokens of prompts come between two events
/// of a stream (the given engines: parts of 2,048 tokens, events of 3 to 5).
const MOST_READ_BETWEEN_EVENTS: f64 = 8_192.0;
/// For each stream that would pause for too long an upstream counts as this many times slower. What goes wrong without
/// it: a long prompt on an engine four times slower than the rest makes every stream there late (measured: 28 % of the
/// streams on such engines, none on the others).
const STALL_PRICE: f64 = 1.0;
/// An upstream of another group counts as this many times slower: it is likely to be busy with that group's work, and a
/// new connection has its price. Less than the slowest engines of one's own, four times slower than the rest.
const AWAY_PRICE: f64 = 2.0;
/// Upstreams that are compared for one request; of more, as many are drawn at random. Keeps the cost of a placement
/// from growing with the pool, and daemons that know the same from choosing the same.
const MOST_COMPARED: usize = 64;
/// Steps before a first event, beside reading the prompt: the one under way and the one that makes it.
const STEPS_BEFORE_FIRST: f64 = 2.0;

/// The upstream with a place that should make the first event earliest.
///
/// An engine reads prompts one after the other, so the prompts that it has not read yet, of this daemon and of
/// the others, come first; each upstream's own time between events tells how its speed compares with its
/// pool's (a third of the given engines are four times slower than the rest). Engines admit in order of arrival and know no
/// tiers, so none is sent more than it works on at once.
#[derive(Debug)]
pub struct EarliestPlacement;

impl EarliestPlacement {
    /// An upstream's time between tokens, in microseconds, and how many times slower than the pool it is.
    fn pace(status: &UpstreamStatus, query: &PlacementQuery<'_>) -> (f64, f64) {
        let gap = status.gap().unwrap_or(query.speed.gap_micros);
        (gap, gap / query.speed.gap_micros.max(1.0))
    }

    /// Estimated microseconds to the first event.
    fn micros(status: &UpstreamStatus, query: &PlacementQuery<'_>) -> f64 {
        let (gap, slowness) = Self::pace(status, query);
        let unread = status.all_unread();
        let prompt = (unread as f64 + f64::from(query.prompt_tokens)) * query.speed.prefill_micros;
        let load = status.occupied().min(1.0);
        let total = prompt * slowness + STEPS_BEFORE_FIRST * gap + load * gap;
        let total = total + Self::wait_for_place(status, query, gap);
        let total = total * Self::stall_price(status, query, gap, slowness);
        let run = f64::from(query.output_tokens) * gap * GUESS_MARGIN;
        // What goes wrong without this: a long answer begins in time on an engine four times slower than the rest
        // and is cut by its deadline, after holding a place for all of it.
        let is_too_slow = total + run > query.left.as_micros() as f64;
        let total = if is_too_slow { total * TOO_SLOW_PRICE } else { total };
        let total = if status.is_home { total } else { total * AWAY_PRICE };
        total * (1.0 + FAILING_PRICE * status.failing)
    }
}

impl EarliestPlacement {
    /// Where others seem to fill the places but their word is old, the time until one becomes free.
    fn wait_for_place(status: &UpstreamStatus, query: &PlacementQuery<'_>, gap: f64) -> f64 {
        let beyond = (status.occupied() - 1.0).max(0.0) + 1.0 / status.limit.requests().max(1.0);
        let is_full = status.occupied() >= 1.0;
        let run = f64::from(query.output_tokens) * gap;
        if is_full { run * beyond } else { 0.0 }
    }

    /// True if the answer should end in the caller's time though its length is a guess, and if nobody there would have to
    /// pause for too long. What goes wrong without it: under load the slowest engines are those with room, long answers
    /// go there, hold a place for all of their callers' time and are cut (measured: a tenth of all engine time).
    fn fits(status: &UpstreamStatus, query: &PlacementQuery<'_>) -> bool {
        let (gap, slowness) = Self::pace(status, query);
        let read = f64::from(query.prompt_tokens) * query.speed.prefill_micros * slowness;
        let margin = match query.fit {
            PlaceFit::Safe => SAFE_GUESS_MARGIN,
            PlaceFit::Likely => GUESS_MARGIN,
            PlaceFit::Any => return true,
        };
        let run = f64::from(query.output_tokens) * gap * margin;
        let ends_in_time = read + run <= query.left.as_micros() as f64;
        ends_in_time && Self::stall_price(status, query, gap, slowness) <= 1.0
    }

    /// True if a live upstream that has no room now would fit.
    fn may_fit_later(set: &UpstreamSet, query: &PlacementQuery<'_>) -> bool {
        let live = set.iter().filter(|status| status.state() == UpstreamState::Live);
        let busy = live.filter(|status| !status.has_room(query.room));
        busy.take(MOST_COMPARED).any(|status| Self::fits(status, query))
    }

    /// What it costs those who run there that their events pause while the prompt is read.
    fn stall_price(
        status: &UpstreamStatus,
        query: &PlacementQuery<'_>,
        gap: f64,
        slowness: f64,
    ) -> f64 {
        let Some(pause) = query.pause else { return 1.0 };
        let unread = status.all_unread();
        let read = (unread as f64 + f64::from(query.prompt_tokens)).min(MOST_READ_BETWEEN_EVENTS);
        let stall =
            f64::from(query.event_tokens) * gap + read * query.speed.prefill_micros * slowness;
        if stall <= pause.as_micros() as f64 {
            return 1.0;
        }
        let running = status.in_flight + status.others.all_requests();
        1.0 + STALL_PRICE * f64::from(running)
    }
}

impl PlacementPolicy for EarliestPlacement {
    fn place(
        &mut self,
        set: &UpstreamSet,
        query: &PlacementQuery<'_>,
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamIndex> {
        let open = set.open(query.room);
        let start = if open.len() > MOST_COMPARED { rng.random_range(0..open.len()) } else { 0 };
        let drawn = open.iter().cycle().skip(start).take(open.len().min(MOST_COMPARED));
        let open = drawn.filter_map(|index| set.get(*index));
        let rated = open.map(|status| {
            let rests = query.now < status.rests_until;
            let unfit = !Self::fits(status, query);
            let spread = 1.0 + CHOICE_SPREAD * rng.random::<f64>();
            ((rests, unfit), Self::micros(status, query) * spread, status.index)
        });
        let best =
            rated.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)))?;
        let ((_, unfit), _, index) = best;
        let waits = unfit && Self::may_fit_later(set, query);
        (!waits).then_some(index)
    }
}
