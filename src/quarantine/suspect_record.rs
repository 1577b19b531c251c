//! Record of one content or prompt part: the upstreams that crashed on it, and when it was cleared.

use super::{HeldRequest, RequestFingerprint, SignedMoment, SuspectRow};
use crate::policy::{Moment, UpstreamHash};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of upstreams that crash on a content before it is quarantined. One crash may be a
/// coincidence, and a rack failure can also hit a second upstream to which the same request was
/// sent again; a third is rarely a coincidence.
pub const CRASHES_TO_HOLD: usize = 3;
/// Number of upstreams that crash on a prompt part before it is quarantined. Sound requests share
/// parts: two contents that crash upstreams, each sent twice, make four crashes of what they have in
/// common.
pub const PART_CRASHES_TO_HOLD: usize = 5;
/// Maximum number of crashes stored per content: enough to reach the longest quarantine.
const MAX_CRASHES: usize = 12;
/// Maximum number of companions stored.
pub const MAX_COMPANIONS: usize = 8;
/// Duration of the first quarantine. Much longer than callers keep retrying, yet short enough that
/// content quarantined because of faulty upstreams is released once they are repaired.
const INITIAL_HOLD: Duration = Duration::from_secs(600);
/// Maximum quarantine: a day, which gives an operator time to notice it.
const MAX_HOLD: Duration = Duration::from_secs(86_400);
/// Content with too few crashes for a quarantine, and the cut-off of cleared content, are forgotten
/// after this long.
const SUSPECT_RETENTION: Duration = Duration::from_secs(600);
/// Crashes within this time after a complete answer to the same content do not count: a rack
/// failure interrupts many requests of one popular content at the same moment.
pub const ANSWER_WINDOW: Duration = Duration::from_secs(10);

/// Minimum advance of the cut-off that is announced to other daemons. Popular content is answered
/// continuously, and this limits the announcements to one per interval.
const VOID_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);

/// Crashes on one content or prompt part.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SuspectRecord {
    crashes: BTreeMap<UpstreamHash, SignedMoment>,
    /// Crashes up to this moment do not count.
    void_until: Option<SignedMoment>,
    /// What else was in every request that the crashes are blamed on, in ascending order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    companions: Vec<RequestFingerprint>,
    /// True if this daemon itself saw an upstream crash on the content.
    #[serde(skip)]
    pub is_witness: bool,
}

impl SuspectRecord {
    /// Adds a crash of an upstream, blamed on a request that also had the companions; returns true if
    /// this is news. Of two reports on the same upstream, the earlier time is kept.
    pub fn add_crash(
        &mut self,
        upstream: UpstreamHash,
        at: SignedMoment,
        companions: &[RequestFingerprint],
    ) -> bool {
        if self.is_void(at) {
            return false;
        }
        let has_fewer_companions = self.restrict_companions(companions);
        self.insert_crash(upstream, at) || has_fewer_companions
    }

    /// Keeps the companions that are among the given ones; returns true if that changes them.
    fn restrict_companions(&mut self, companions: &[RequestFingerprint]) -> bool {
        if self.crashes.is_empty() {
            self.companions = companions.iter().copied().take(MAX_COMPANIONS).collect();
            return !self.companions.is_empty();
        }
        let before = self.companions.len();
        self.companions.retain(|companion| companions.contains(companion));
        self.companions.len() != before
    }

    fn insert_crash(&mut self, upstream: UpstreamHash, at: SignedMoment) -> bool {
        if let Some(known) = self.crashes.get_mut(&upstream) {
            *known = (*known).min(at);
            return false;
        }
        self.crashes.insert(upstream, at);
        // Which crash is dropped does not depend on the order of arrival, so all daemons keep the
        // same ones.
        let is_excess = self.crashes.len() > MAX_CRASHES;
        let dropped = if is_excess { self.crashes.pop_last() } else { None };
        dropped.is_none_or(|(dropped, _)| dropped != upstream)
    }

    /// Voids all crashes up to `until`; returns true if other daemons should be told.
    pub fn void_crashes(&mut self, until: SignedMoment) -> bool {
        if self.void_until.is_some_and(|known| known >= until) {
            return false;
        }
        let is_due =
            self.void_until.is_none_or(|known| known.after(VOID_ANNOUNCE_INTERVAL) <= until);
        let before = self.crashes.len();
        self.void_until = Some(until);
        self.crashes.retain(|_, at| *at > until);
        if self.crashes.is_empty() {
            self.companions.clear();
        }
        is_due || self.crashes.len() != before
    }

    /// Records a complete answer received at `at`; returns true if other daemons should be told.
    pub fn record_answer(&mut self, at: SignedMoment) -> bool {
        self.void_crashes(at.after(ANSWER_WINDOW))
    }

    fn is_void(&self, at: SignedMoment) -> bool {
        self.void_until.is_some_and(|until| at <= until)
    }

    /// Number of crashes that count.
    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    /// The upstreams whose crashes count.
    pub fn upstreams(&self) -> impl Iterator<Item = UpstreamHash> {
        self.crashes.keys().copied()
    }

    /// The last upstream of a record that is full, and may therefore lack others after it.
    pub fn last_if_full(&self) -> Option<UpstreamHash> {
        let is_full = self.crashes.len() == MAX_CRASHES;
        self.crashes.keys().next_back().copied().filter(|_| is_full)
    }

    /// True if this suspect may have been present at all crashes of another one.
    pub fn covers(&self, other: &SuspectRecord) -> bool {
        let last = self.last_if_full();
        other.upstreams().all(|upstream| {
            self.crashes.contains_key(&upstream) || last.is_some_and(|last| upstream > last)
        })
    }

    /// The companions that may be to blame in place of this suspect, since they were present at all
    /// of its crashes; `find` looks their records up.
    pub fn accomplices<'a>(
        &self,
        find: impl Fn(&RequestFingerprint) -> Option<&'a SuspectRecord>,
    ) -> impl Iterator<Item = RequestFingerprint> {
        let companions = self.companions.iter();
        companions.filter(move |key| find(key).is_some_and(|other| other.covers(self))).copied()
    }

    /// What else was in every request that the crashes are blamed on.
    pub fn companions(&self) -> &[RequestFingerprint] {
        &self.companions
    }

    fn last_crash(&self) -> Option<SignedMoment> {
        self.crashes.values().max().copied()
    }

    /// Duration of the quarantine, or none if there are too few crashes. It doubles with each
    /// further upstream, so that content which keeps crashing upstreams after its release does so
    /// less and less often.
    fn hold_duration(&self, key: RequestFingerprint) -> Option<Duration> {
        let required = if key.is_part() { PART_CRASHES_TO_HOLD } else { CRASHES_TO_HOLD };
        let extra_crashes = self.crashes.len().checked_sub(required)?;
        Some((INITIAL_HOLD * 2u32.pow(extra_crashes as u32)).min(MAX_HOLD))
    }

    /// Returns the remaining quarantine time, or none if the content is not quarantined.
    pub fn held_for(&self, key: RequestFingerprint, now: Moment) -> Option<Duration> {
        self.last_crash()?.after(self.hold_duration(key)?).remaining(now)
    }

    /// Describes the quarantined content, or returns none if it is not quarantined.
    pub fn held(&self, request: RequestFingerprint, now: Moment) -> Option<HeldRequest> {
        let held_for = self.held_for(request, now)?;
        let last_crash = self.last_crash_age(now);
        Some(HeldRequest { request, crashes: self.crashes(), held_for, last_crash })
    }

    /// Time from the last crash to `now`; zero if there is none.
    pub fn last_crash_age(&self, now: Moment) -> Duration {
        let age = self.last_crash().map_or(0, |at| at.age_ms(now).max(0));
        Duration::from_millis(age as u64)
    }

    /// Returns true once the record is no longer needed. After a quarantine it is kept for the same
    /// duration again, so that one more crash quarantines the content at once.
    pub fn is_expired(&self, key: RequestFingerprint, now: Moment) -> bool {
        let kept = self.hold_duration(key).map_or(SUSPECT_RETENTION, |hold| hold * 2);
        let crash = self.last_crash().and_then(|at| at.after(kept).remaining(now));
        let void = self.void_until.and_then(|until| until.after(SUSPECT_RETENTION).remaining(now));
        crash.is_none() && void.is_none()
    }

    /// Converts the record into a row of a message.
    pub fn row(&self, request: RequestFingerprint, now: Moment) -> SuspectRow {
        let crashes = self.crashes.iter().map(|(upstream, at)| (*upstream, at.age_ms(now)));
        SuspectRow {
            request,
            crashes: crashes.collect(),
            void_age_ms: self.void_until.map(|until| until.age_ms(now)),
            companions: self.companions.clone(),
        }
    }

    /// Merges a row from another daemon; returns true if it contained anything new.
    pub fn merge(&mut self, row: &SuspectRow, now: Moment) -> bool {
        let mut has_changed = false;
        if let Some(age) = row.void_age_ms {
            has_changed |= self.void_crashes(SignedMoment::from_age_ms(age, now));
        }
        for (upstream, age) in &row.crashes {
            let at = SignedMoment::from_age_ms(*age, now);
            has_changed |= self.add_crash(*upstream, at, &row.companions);
        }
        has_changed
    }
}
