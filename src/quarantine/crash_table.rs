//! One daemon's table of request contents that upstreams crashed on.

use super::send_queue::SendQueue;
use super::suspect_record::{ANSWER_WINDOW, SuspectRecord};
use super::{RequestFingerprint, SignedMoment, SuspectRow, SuspectUpdate};
use crate::policy::{Moment, UpstreamHash};
use crate::table::DaemonName;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of records, about 1.5 MB. Records with the fewest crashes are evicted first, so a
/// flood of new contents does not displace quarantined ones.
const MAX_RECORDS: usize = 8_192;
/// Maximum number of completely answered contents remembered, about 200 KB.
const MAX_ANSWERED: usize = 4_096;
/// All records are sent again once a peer's digest has differed for this long. Longer than an
/// update takes to reach the whole fleet (three messages of 126 ms each at 1,000 daemons).
const RESYNC_DELAY: Duration = Duration::from_millis(1_000);
/// Minimum time between two transmissions of all records.
const RESYNC_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time between two scans for expired records.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// A quarantined content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldRequest {
    /// Fingerprint of the content.
    pub request: RequestFingerprint,
    /// Number of upstreams that crashed on it.
    pub crashes: usize,
    /// Remaining quarantine time.
    pub held_for: Duration,
    /// Time since the last upstream crashed on it.
    pub last_crash: Duration,
}

/// Numbers of contents in a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Quarantined contents.
    pub held: usize,
    /// All known contents.
    pub known: usize,
}

/// Records of the contents that upstreams crashed on, merged with those of other daemons.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    records: HashMap<RequestFingerprint, SuspectRecord>,
    answered: HashMap<RequestFingerprint, Moment>,
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
        self.records.get(&request)?.held_for(now)
    }

    /// Number of upstreams known to have crashed on a content, without crashes voided by an answer
    /// or a release.
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
        self.update_record(request, now, |record| {
            record.is_witness = true;
            record.add_crash(upstream, now.into())
        })
    }

    /// Records a complete answer to a content, which shows that the content does not crash
    /// upstreams.
    pub fn record_answer(&mut self, request: RequestFingerprint, now: Moment) {
        if self.answered.len() >= MAX_ANSWERED {
            self.answered.retain(|_, at| now.since(*at) < ANSWER_WINDOW);
        }
        if self.answered.len() < MAX_ANSWERED || self.answered.contains_key(&request) {
            self.answered.insert(request, now);
        }
        if self.records.contains_key(&request) {
            self.update_record(request, now, |record| record.record_answer(now.into()));
        }
    }

    /// Releases a content at an operator's request: crashes up to now no longer count.
    pub fn release(&mut self, request: RequestFingerprint, now: Moment) {
        self.update_record(request, now, |record| record.void_crashes(now.into()));
    }

    fn update_record(
        &mut self,
        request: RequestFingerprint,
        now: Moment,
        change: impl FnOnce(&mut SuspectRecord) -> bool,
    ) -> Option<HeldRequest> {
        let record = self.records.entry(request).or_default();
        let was_held = record.held_for(now).is_some();
        let mut has_changed = change(record);
        if let Some(at) = self.answered.get(&request).filter(|at| now.since(**at) < ANSWER_WINDOW) {
            has_changed |= record.record_answer(SignedMoment::from(*at));
        }
        let held = record.held(request, now);
        if has_changed {
            self.digest = None;
            self.peer_queue.push(request, record.crashes());
        }
        let is_cleared = was_held && held.is_none();
        if is_cleared || (has_changed && held.is_some() && record.is_witness) {
            self.voter_queue.push(request, record.crashes());
        }
        let held = held.filter(|_| !was_held);
        self.evict_excess(now);
        held
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

    /// Merges another daemon's update. Returns the contents that this puts into quarantine.
    pub fn merge_update(
        &mut self,
        from: &DaemonName,
        update: &SuspectUpdate,
        now: Moment,
    ) -> Vec<HeldRequest> {
        let held = update.rows.iter().filter_map(|row| self.merge_row(row, now)).collect();
        self.check_digest(from, update.digest, now);
        held
    }

    /// Merges a row, and returns the content if this puts it into quarantine.
    pub fn merge_row(&mut self, row: &SuspectRow, now: Moment) -> Option<HeldRequest> {
        self.update_record(row.request, now, |record| record.merge(row, now))
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

    /// Hash of the crashes that count. Their times are left out: they differ between daemons with
    /// the path and delay of the messages.
    fn digest(&mut self) -> u32 {
        if let Some(digest) = self.digest {
            return digest;
        }
        let pairs = self.records.iter().flat_map(|(request, record)| {
            record.upstreams().map(move |upstream| (request, upstream))
        });
        let hashes = pairs.map(|pair| xxh3_64(&postcard::to_stdvec(&pair).unwrap_or_default()));
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
            let is_kept = !record.is_expired(now);
            if !is_kept {
                peer_queue.remove(*request);
                voter_queue.remove(*request);
            }
            is_kept
        });
        self.answered.retain(|_, at| now.since(*at) < ANSWER_WINDOW);
        self.differing_since.retain(|_, since| now.since(*since) < RESYNC_DELAY * 10);
        if self.records.len() != before {
            self.digest = None;
        }
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
        self.digest = None;
    }

    /// Returns the quarantined contents, the one with the most recent crash first.
    pub fn held(&self, now: Moment) -> Vec<HeldRequest> {
        let records = self.records.iter();
        let mut held: Vec<HeldRequest> =
            records.filter_map(|(request, record)| record.held(*request, now)).collect();
        held.sort_unstable_by_key(|held| (held.last_crash, held.request));
        held
    }

    /// Returns the numbers of known and quarantined contents.
    pub fn sizes(&self, now: Moment) -> TableSizes {
        let is_held = |record: &&SuspectRecord| record.held_for(now).is_some();
        TableSizes {
            held: self.records.values().filter(is_held).count(),
            known: self.records.len(),
        }
    }
}
