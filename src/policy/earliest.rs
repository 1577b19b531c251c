//! Placement by the earliest first event.

use super::placement::{PlacementPolicy, PlacementQuery};
use super::{UpstreamIndex, UpstreamSet, UpstreamStatus};
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
    /// Estimated microseconds to the first event.
    fn micros(status: &UpstreamStatus, query: &PlacementQuery<'_>) -> f64 {
        let gap = status.gap_micros.unwrap_or(query.speed.gap_micros);
        let slowness = gap / query.speed.gap_micros.max(1.0);
        let unread = status.unread_tokens + status.others.unread_tokens;
        let prompt = (unread as f64 + f64::from(query.prompt_tokens)) * query.speed.prefill_micros;
        let load = status.used().min(1.0);
        let total = prompt * slowness + STEPS_BEFORE_FIRST * gap + load * gap;
        let run = f64::from(query.output_tokens) * gap * GUESS_MARGIN;
        // What goes wrong without this: a long answer begins in time on an engine four times slower than the rest
        // and is cut by its deadline, after holding a place for all of it.
        let is_too_slow = total + run > query.left.as_micros() as f64;
        let total = if is_too_slow { total * TOO_SLOW_PRICE } else { total };
        total * (1.0 + FAILING_PRICE * status.failing)
    }
}

impl PlacementPolicy for EarliestPlacement {
    fn place(
        &mut self,
        set: &UpstreamSet,
        query: &PlacementQuery<'_>,
        rng: &mut dyn RngCore,
    ) -> Option<UpstreamIndex> {
        let open = set.open(query.room).iter().filter_map(|index| set.get(*index));
        let rated = open.map(|status| {
            let rests = query.now < status.rests_until;
            let spread = 1.0 + CHOICE_SPREAD * rng.random::<f64>();
            (rests, Self::micros(status, query) * spread, status.index)
        });
        let best =
            rated.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)))?;
        Some(best.2)
    }
}
