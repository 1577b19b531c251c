//! The records of one daemon: which streams began where.

use super::{AttemptKey, StreamOrigin};
use crate::fleet_state::ServiceHash;
use crate::policy::Moment;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Maximum number of records. With 49,000 streams per second that begin at 460 daemons, each record
/// kept by four of them for a minute, a daemon has 26,000.
const MAX_RECORDS: usize = 1 << 16;
/// Upper bound of the time that a peer's record is kept.
const MAX_TTL: Duration = Duration::from_secs(600);

/// A record as sent to its owners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    pub key: AttemptKey,
    pub origin: StreamOrigin,
    /// Milliseconds since the stream began, or went on.
    pub age_ms: u32,
    /// Milliseconds for which the record is still of use.
    pub ttl_ms: u32,
}

/// What a daemon knows of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KnownOrigin {
    /// The stream began here, so many milliseconds ago.
    One { origin: StreamOrigin, age_ms: u32 },
    /// Two streams of this id began at different origins; which one is meant is not known.
    Several,
}

#[derive(Clone, Copy, Debug)]
struct TableRow {
    /// `None` after records that contradict each other.
    origin: Option<StreamOrigin>,
    began_at: Moment,
    expires_at: Moment,
    /// True for a record of this daemon that its owners do not have.
    is_unsent: bool,
}

/// The records that a daemon made, or keeps for its peers.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    rows: HashMap<AttemptKey, TableRow>,
    expiries: BTreeSet<(Moment, AttemptKey)>,
}

impl OriginTable {
    /// Adds a record of this daemon, or extends the life of the known one.
    pub fn record(
        &mut self,
        key: AttemptKey,
        origin: StreamOrigin,
        ttl: Duration,
        is_unsent: bool,
        now: Moment,
    ) {
        self.insert(key, origin, (now, now + ttl), is_unsent, now);
    }

    /// Adds a record of a peer.
    pub fn record_peer(&mut self, record: &OriginRecord, now: Moment) {
        let ttl = Duration::from_millis(u64::from(record.ttl_ms)).min(MAX_TTL);
        let began_at = now.before(Duration::from_millis(u64::from(record.age_ms)));
        self.insert(record.key, record.origin, (began_at, now + ttl), false, now);
    }

    fn insert(
        &mut self,
        key: AttemptKey,
        origin: StreamOrigin,
        (began_at, expires_at): (Moment, Moment),
        is_unsent: bool,
        now: Moment,
    ) {
        self.remove_expired(now);
        let known = self.remove(key);
        let origin = match known {
            Some(known) if known.origin != Some(origin) => None,
            Some(_) | None => Some(origin),
        };
        while self.rows.len() >= MAX_RECORDS
            && let Some((_, oldest)) = self.expiries.first().copied()
        {
            self.remove(oldest);
        }
        let expires_at = known.map_or(expires_at, |known| known.expires_at.max(expires_at));
        self.rows.insert(key, TableRow { origin, began_at, expires_at, is_unsent });
        self.expiries.insert((expires_at, key));
    }

    fn remove(&mut self, key: AttemptKey) -> Option<TableRow> {
        let row = self.rows.remove(&key)?;
        self.expiries.remove(&(row.expires_at, key));
        Some(row)
    }

    fn remove_expired(&mut self, now: Moment) {
        while let Some((expires_at, key)) = self.expiries.first().copied()
            && expires_at <= now
        {
            self.remove(key);
        }
    }

    /// What is known of an attempt.
    pub fn get(&self, key: AttemptKey, now: Moment) -> Option<KnownOrigin> {
        let row = self.rows.get(&key).filter(|row| row.expires_at > now)?;
        let age_ms = now.since(row.began_at).as_millis() as u32;
        Some(row.origin.map_or(KnownOrigin::Several, |origin| KnownOrigin::One { origin, age_ms }))
    }

    /// Takes the records of a service, or of all, that were not sent to their owners.
    pub fn take_unsent(&mut self, service: Option<ServiceHash>, now: Moment) -> Vec<OriginRecord> {
        self.remove_expired(now);
        let mut records = Vec::new();
        for (key, row) in self.rows.iter_mut().filter(|(_, row)| row.is_unsent) {
            let Some(origin) = row.origin else { continue };
            if service.is_none_or(|service| service == origin.service) {
                row.is_unsent = false;
                records.push(OriginRecord {
                    key: *key,
                    origin,
                    age_ms: now.since(row.began_at).as_millis() as u32,
                    ttl_ms: row.expires_at.since(now).as_millis() as u32,
                });
            }
        }
        records
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True if there is no record.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
