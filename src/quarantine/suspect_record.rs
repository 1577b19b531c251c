//! What is known of one content: which upstreams ended under it, and what cleared it.

use super::{HeldRequest, PastMoment, RequestFingerprint, SuspectRow};
use crate::policy::{Moment, UpstreamHash};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Upstreams that end under one content before it is held back. One may have ended by chance, and a second send of the same
/// request meets a second one that ends when a rack does; a third is seldom chance.
pub const CRASHES_TO_HOLD: usize = 3;
/// Upstreams that are remembered of one content: enough for the longest hold.
const MOST_CRASHES: usize = 12;
/// For how long content is held back at first. Far above a caller's patience; short enough that what was held back for a
/// fault of the upstreams is let through once that is mended.
const FIRST_HOLD: Duration = Duration::from_secs(600);
/// The longest hold: a day, in which an operator sees it.
const LONGEST_HOLD: Duration = Duration::from_secs(86_400);
/// Content under which fewer upstreams ended is forgotten after this long.
const SUSPECTED_FOR: Duration = Duration::from_secs(600);
/// Ends so soon after a whole answer of the same content do not count: whatever ends a whole rack takes many requests of one
/// popular content with it at the same moment.
pub const PROVEN_FOR: Duration = Duration::from_secs(10);

/// A popular content is answered all the time: others hear of that once in this time.
const VOID_STEP: Duration = Duration::from_secs(5);

/// One content's record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SuspectRecord {
    crashes: BTreeMap<UpstreamHash, PastMoment>,
    /// Ends up to then do not count.
    void_until: Option<PastMoment>,
    /// True if this daemon itself saw an upstream end under it.
    #[serde(skip)]
    pub is_witness: bool,
}

impl SuspectRecord {
    /// Learns that an upstream ended under it; true if that is news. Of two reports the earlier one holds.
    pub fn add_crash(&mut self, upstream: UpstreamHash, at: PastMoment) -> bool {
        if self.is_void(at) {
            return false;
        }
        if let Some(known) = self.crashes.get_mut(&upstream) {
            *known = (*known).min(at);
            return false;
        }
        self.crashes.insert(upstream, at);
        // All daemons keep the same ones, whatever the order in which they heard of them.
        let is_over = self.crashes.len() > MOST_CRASHES;
        let dropped = if is_over { self.crashes.pop_last() } else { None };
        dropped.is_none_or(|(dropped, _)| dropped != upstream)
    }

    /// Ends up to `until` do not count; true if others should hear of it.
    pub fn void(&mut self, until: PastMoment) -> bool {
        if self.void_until.is_some_and(|known| known >= until) {
            return false;
        }
        let is_step = self.void_until.is_none_or(|known| known.after(VOID_STEP) <= until);
        let before = self.crashes.len();
        self.void_until = Some(until);
        self.crashes.retain(|_, at| *at > until);
        is_step || self.crashes.len() != before
    }

    /// A whole answer came at `at`.
    pub fn prove(&mut self, at: PastMoment) -> bool {
        self.void(at.after(PROVEN_FOR))
    }

    fn is_void(&self, at: PastMoment) -> bool {
        self.void_until.is_some_and(|until| at <= until)
    }

    /// Upstreams that ended under it, as far as they count.
    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    /// The upstreams that ended under it.
    pub fn upstreams(&self) -> impl Iterator<Item = UpstreamHash> {
        self.crashes.keys().copied()
    }

    fn last_crash(&self) -> Option<PastMoment> {
        self.crashes.values().max().copied()
    }

    /// How long it is held back when it is: twice as long for each further upstream, so that content that ends upstreams
    /// once more after its hold costs fewer and fewer.
    fn hold(&self) -> Option<Duration> {
        let further = self.crashes.len().checked_sub(CRASHES_TO_HOLD)?;
        Some((FIRST_HOLD * 2u32.pow(further as u32)).min(LONGEST_HOLD))
    }

    /// What is left of its hold; none if it is not held back.
    pub fn held_for(&self, now: Moment) -> Option<Duration> {
        self.last_crash()?.after(self.hold()?).remaining(now)
    }

    /// The record where it is held back.
    pub fn held(&self, request: RequestFingerprint, now: Moment) -> Option<HeldRequest> {
        let held_for = self.held_for(now)?;
        let last_crash = self.last_crash_age(now);
        Some(HeldRequest { request, crashes: self.crashes(), held_for, last_crash })
    }

    /// When it was last seen to end an upstream, as a time before `now`.
    pub fn last_crash_age(&self, now: Moment) -> Duration {
        let age = self.last_crash().map_or(0, |at| at.age_ms(now).max(0));
        Duration::from_millis(age as u64)
    }

    /// True once it says nothing any more. After a hold it is remembered for as long again: one more end holds it back at
    /// once.
    pub fn is_over(&self, now: Moment) -> bool {
        let kept = self.hold().map_or(SUSPECTED_FOR, |hold| hold * 2);
        let crash = self.last_crash().and_then(|at| at.after(kept).remaining(now));
        let void = self.void_until.and_then(|until| until.after(SUSPECTED_FOR).remaining(now));
        crash.is_none() && void.is_none()
    }

    /// The record as a row of a message.
    pub fn row(&self, request: RequestFingerprint, now: Moment) -> SuspectRow {
        let crashes = self.crashes.iter().map(|(upstream, at)| (*upstream, at.age_ms(now)));
        SuspectRow {
            request,
            crashes: crashes.collect(),
            void_age_ms: self.void_until.map(|until| until.age_ms(now)),
        }
    }

    /// Takes a row of another daemon; true if it held news.
    pub fn take(&mut self, row: &SuspectRow, now: Moment) -> bool {
        let mut is_news = false;
        if let Some(age) = row.void_age_ms {
            is_news |= self.void(PastMoment::of_age(age, now));
        }
        for (upstream, age) in &row.crashes {
            is_news |= self.add_crash(*upstream, PastMoment::of_age(*age, now));
        }
        is_news
    }
}
