//! One daemon's table of request contents and prompt parts that upstreams crashed on.

use super::explanation::held_suspects;
use super::send_queue::SendQueue;
use super::suspect_record::{ANSWER_WINDOW, SuspectRecord};
use super::{RequestFingerprint, SignedMoment, SuspectKeys, SuspectRow, SuspectUpdate};
use crate::policy::{Moment, UpstreamHash};
use crate::table::DaemonName;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of records, about 1.5 MB. Records with the fewest crashes are evicted first, so a
/// flood of new contents does not displace quarantined ones.
const MAX_RECORDS: usize = 8_192;
/// Maximum numbers of completely answered contents and of parts remembered, about 200 KB each.
const MAX_ANSWERED: usize = 4_096;
/// All records are sent again once a peer's digest has differed for this long. Longer than an
/// update takes to reach the whole fleet (three messages of 126 ms each at 1,000 daemons).
const RESYNC_DELAY: Duration = Duration::from_millis(1_000);
/// Minimum time between two transmissions of all records.
const RESYNC_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time between two scans for expired records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// How sure it is that an upstream crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashEvidence {
    /// It has ended.
    Certain,
    /// This daemon may have lost its connections instead. That counts only against what upstreams
    /// have crashed on before: a cut breaks unlike requests, while a culprit is there each time.
    Doubtful,
}

/// A quarantined content or prompt part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldRequest {
    /// Fingerprint of the content or part.
    pub request: RequestFingerprint,
    /// Number of upstreams that crashed on it.
    pub crashes: usize,
    /// Remaining quarantine time.
    pub held_for: Duration,
    /// Time since the last upstream crashed on it.
    pub last_crash: Duration,
}

/// Numbers of contents and parts in a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Quarantined ones.
    pub held: usize,
    /// All known ones.
    pub known: usize,
}

/// Whole answers of the recent past.
#[derive(Clone, Debug, Default)]
struct AnswerTimes(HashMap<RequestFingerprint, Moment>);

impl AnswerTimes {
    fn insert(&mut self, key: RequestFingerprint, now: Moment) {
        if self.0.len() >= MAX_ANSWERED {
            self.expire(now);
        }
        if self.0.len() < MAX_ANSWERED || self.0.contains_key(&key) {
            self.0.insert(key, now);
        }
    }

    fn expire(&mut self, now: Moment) {
        self.0.retain(|_, at| now.since(*at) < ANSWER_WINDOW);
    }

    fn recent(&self, key: RequestFingerprint, now: Moment) -> Option<Moment> {
        self.0.get(&key).copied().filter(|at| now.since(*at) < ANSWER_WINDOW)
    }
}

/// Records of what upstreams crashed on, merged with those of other daemons.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    records: HashMap<RequestFingerprint, SuspectRecord>,
    /// The suspects that explain the crashes, and whether the records have changed since.
    held: HashSet<RequestFingerprint>,
    is_held_outdated: bool,
    answered_contents: AnswerTimes,
    answered_parts: AnswerTimes,
    peer_queue: SendQueue,
    /// Reports for the voters: quarantined contents on which this daemon itself saw a crash, and
    /// contents that were cleared.
    voter_queue: SendQueue,
    /// Cached digest of the records; none if they have changed since.
    digest: Option<u32>,
    /// Peers whose digest differs from this daemon's, and since when.
    differing_since: BTreeMap<DaemonName, Moment>,
    last_resync: Option<Moment>,
    last_expiry: Moment,
}

impl CrashTable {
    /// Returns the remaining quarantine time of a content, or none if it may be sent.
    pub fn held_for(&self, request: RequestFingerprint, now: Moment) -> Option<Duration> {
        self.held_request(request, now).map(|held| held.held_for)
    }

    /// Returns what a request is held back for, or none if it may be sent. A suspect that always came
    /// together with others that may be to blame in its place holds only requests that have all of
    /// them.
    pub fn find_held(&self, keys: &SuspectKeys, now: Moment) -> Option<HeldRequest> {
        let held = keys.iter().filter_map(|key| self.held_request(key, now));
        let mut applicable = held.filter(|held| {
            let record = self.records.get(&held.request);
            let find = |key: &RequestFingerprint| self.records.get(key);
            record.is_some_and(|record| record.accomplices(find).all(|key| keys.contains(key)))
        });
        applicable.next()
    }

    fn held_request(&self, key: RequestFingerprint, now: Moment) -> Option<HeldRequest> {
        self.held.get(&key).and_then(|key| self.records.get(key)?.held(*key, now))
    }

    /// Decides again which suspects are held, and returns those that were not held before.
    fn refresh_held(&mut self, now: Moment) -> Vec<HeldRequest> {
        if !std::mem::take(&mut self.is_held_outdated) {
            return Vec::new();
        }
        let suspects = held_suspects(self.records.iter(), now);
        let added = suspects.iter().filter(|(key, _)| !self.held.contains(key));
        let added = added.filter_map(|(key, record)| record.held(*key, now)).collect();
        self.held = suspects.into_iter().map(|(key, _)| key).collect();
        added
    }

    /// Number of upstreams known to have crashed on a content or part, without crashes voided by an
    /// answer or a release.
    pub fn crashes(&self, request: RequestFingerprint) -> usize {
        self.records.get(&request).map_or(0, SuspectRecord::crashes)
    }

    /// Records that an upstream crashed while running a content. Returns the content if this puts
    /// it into quarantine.
    pub fn record_crash(
        &mut self,
        request: RequestFingerprint,
        upstream: UpstreamHash,
        now: Moment,
    ) -> Option<HeldRequest> {
        self.add_crash(request, upstream, &[], now);
        self.refresh_held(now).into_iter().find(|held| held.request == request)
    }

    /// Records that an upstream crashed while running a request. Returns what this puts into
    /// quarantine.
    pub fn record_request_crash(
        &mut self,
        keys: &SuspectKeys,
        upstream: UpstreamHash,
        evidence: CrashEvidence,
        now: Moment,
    ) -> Vec<HeldRequest> {
        let is_blamed =
            |key: &RequestFingerprint| evidence == CrashEvidence::Certain || self.crashes(*key) > 0;
        let blamed: Vec<RequestFingerprint> = keys.iter().filter(is_blamed).collect();
        for key in blamed {
            let companions: Vec<_> = keys.iter().filter(|other| *other != key).collect();
            self.add_crash(key, upstream, &companions, now);
        }
        self.refresh_held(now)
    }

    fn add_crash(
        &mut self,
        key: RequestFingerprint,
        upstream: UpstreamHash,
        companions: &[RequestFingerprint],
        now: Moment,
    ) {
        self.update_record(key, now, |record| {
            record.is_witness = true;
            record.add_crash(upstream, now.into(), companions)
        });
    }

    /// Records a complete answer to a content, which shows that the content does not crash
    /// upstreams.
    pub fn record_answer(&mut self, request: RequestFingerprint, now: Moment) {
        self.answered_contents.insert(request, now);
        self.clear(request, now);
        self.refresh_held(now);
    }

    /// Records a complete answer to a request, which clears its content and its parts.
    pub fn record_request_answer(&mut self, keys: &SuspectKeys, now: Moment) {
        self.record_answer(keys.content, now);
        for part in &keys.parts {
            self.answered_parts.insert(*part, now);
            self.clear(*part, now);
        }
        self.refresh_held(now);
    }

    fn clear(&mut self, key: RequestFingerprint, now: Moment) {
        if self.records.contains_key(&key) {
            self.update_record(key, now, |record| record.record_answer(now.into()));
        }
    }

    /// Releases a content or part at an operator's request: crashes up to now no longer count.
    pub fn release(&mut self, request: RequestFingerprint, now: Moment) {
        self.update_record(request, now, |record| record.void_crashes(now.into()));
        self.refresh_held(now);
    }

    fn update_record(
        &mut self,
        request: RequestFingerprint,
        now: Moment,
        change: impl FnOnce(&mut SuspectRecord) -> bool,
    ) {
        let answers = [&self.answered_contents, &self.answered_parts];
        let answered_at = answers.into_iter().find_map(|times| times.recent(request, now));
        let record = self.records.entry(request).or_default();
        let was_suspect = record.held_for(request, now).is_some();
        if !was_suspect {
            self.held.remove(&request);
        }
        let mut has_changed = change(record);
        if let Some(at) = answered_at {
            has_changed |= record.record_answer(SignedMoment::from(at));
        }
        let (crashes, is_witness) = (record.crashes(), record.is_witness);
        let is_suspect = record.held_for(request, now).is_some();
        if has_changed {
            self.digest = None;
            self.peer_queue.push(request, crashes);
        }
        let is_cleared = was_suspect && !is_suspect;
        if is_cleared || (has_changed && is_suspect && is_witness) {
            self.voter_queue.push(request, crashes);
        }
        self.is_held_outdated |= has_changed && (was_suspect || is_suspect);
        self.evict_excess(now);
    }

    /// Returns the update for the next message to other daemons.
    pub fn next_update(&mut self, now: Moment) -> SuspectUpdate {
        self.expire(now);
        let chosen = self.peer_queue.next_rows();
        SuspectUpdate { rows: self.rows(&chosen, now), digest: self.digest() }
    }

    /// Returns the next report to the voters: quarantined contents on which this daemon itself saw
    /// a crash, and contents that were cleared.
    pub fn reports(&mut self, now: Moment) -> Vec<SuspectRow> {
        let chosen = self.voter_queue.next_rows();
        self.rows(&chosen, now)
    }

    fn rows(&self, chosen: &[RequestFingerprint], now: Moment) -> Vec<SuspectRow> {
        let records =
            chosen.iter().filter_map(|request| Some((request, self.records.get(request)?)));
        records.map(|(request, record)| record.row(*request, now)).collect()
    }

    /// Merges another daemon's update. Returns what this puts into quarantine.
    pub fn merge_update(
        &mut self,
        from: &DaemonName,
        update: &SuspectUpdate,
        now: Moment,
    ) -> Vec<HeldRequest> {
        let held = self.merge_rows(&update.rows, now);
        self.check_digest(from, update.digest, now);
        held
    }

    /// Merges rows, and returns what this puts into quarantine.
    pub fn merge_rows(&mut self, rows: &[SuspectRow], now: Moment) -> Vec<HeldRequest> {
        for row in rows {
            self.update_record(row.request, now, |record| record.merge(row, now));
        }
        self.refresh_held(now)
    }

    /// Queues all records again if the digest of a peer keeps differing: the peer has just started,
    /// or was cut off while updates were distributed.
    fn check_digest(&mut self, from: &DaemonName, digest: u32, now: Moment) {
        if self.digest() == digest {
            self.differing_since.remove(from);
            return;
        }
        let since = *self.differing_since.entry(from.clone()).or_insert(now);
        let is_paused = self.last_resync.is_some_and(|at| now.since(at) < RESYNC_INTERVAL);
        if now.since(since) < RESYNC_DELAY || is_paused || !self.peer_queue.is_empty() {
            return;
        }
        self.last_resync = Some(now);
        self.differing_since.clear();
        for (request, record) in &self.records {
            self.peer_queue.push(*request, record.crashes());
        }
    }

    /// Hash of the crashes that count, and of the companions. Times are left out: they differ between
    /// daemons with the path and delay of the messages.
    fn digest(&mut self) -> u32 {
        if let Some(digest) = self.digest {
            return digest;
        }
        let crashes = self.records.iter().flat_map(|(request, record)| {
            record.upstreams().map(move |upstream| encode(&(request, upstream)))
        });
        let companions = self.records.iter().flat_map(|(request, record)| {
            record.companions().iter().map(move |other| encode(&(request, other)))
        });
        let hashes = crashes.chain(companions).map(|bytes| xxh3_64(&bytes));
        let digest = hashes.fold(0, |sum, hash| sum ^ hash) as u32;
        self.digest = Some(digest);
        digest
    }

    fn expire(&mut self, now: Moment) {
        if now.since(self.last_expiry) < EXPIRY_INTERVAL {
            return;
        }
        self.last_expiry = now;
        let before = self.records.len();
        let (peer_queue, voter_queue) = (&mut self.peer_queue, &mut self.voter_queue);
        self.records.retain(|request, record| {
            let is_kept = !record.is_expired(*request, now);
            if !is_kept {
                peer_queue.remove(*request);
                voter_queue.remove(*request);
            }
            is_kept
        });
        self.answered_contents.expire(now);
        self.answered_parts.expire(now);
        self.differing_since.retain(|_, since| now.since(*since) < RESYNC_DELAY * 10);
        if self.records.len() != before {
            self.digest = None;
        }
        // A suspect whose time is over explains no crashes any more.
        self.is_held_outdated = true;
        self.refresh_held(now);
    }

    /// Evicts a quarter of the records if there are too many, so that eviction does not run for
    /// each new record.
    fn evict_excess(&mut self, now: Moment) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let rank = |record: &SuspectRecord| {
            (record.crashes(), std::cmp::Reverse(record.last_crash_age(now)))
        };
        let mut ranked: Vec<_> =
            self.records.iter().map(|(request, record)| (rank(record), *request)).collect();
        ranked.sort_unstable();
        for (_, request) in ranked.into_iter().take(MAX_RECORDS / 4) {
            self.records.remove(&request);
            self.peer_queue.remove(request);
            self.voter_queue.remove(request);
        }
        self.is_held_outdated = true;
        self.digest = None;
    }

    /// Returns what is quarantined, the one with the most recent crash first.
    pub fn held(&self, now: Moment) -> Vec<HeldRequest> {
        let mut held: Vec<HeldRequest> =
            self.held.iter().filter_map(|key| self.held_request(*key, now)).collect();
        held.sort_unstable_by_key(|held| (held.last_crash, held.request));
        held
    }

    /// Returns the numbers of known and quarantined contents and parts.
    pub fn sizes(&self, now: Moment) -> TableSizes {
        TableSizes { held: self.held(now).len(), known: self.records.len() }
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}
