//! The platform's list of upstreams, shared between daemons as changes and a digest of the whole
//! list.
//!
//! Sending whole lists does not scale: with 64 daemons and 143 upstreams, each read of the list
//! costs 8 KB per daemon, which saturates links of 10 Mbit/s. Lists and all other messages are then
//! lost, and every daemon reads the list for itself and sends it too. The symptom is a number of
//! calls to the platform that grows with the fleet.

use crate::table::{DataCentreName, ServiceName, SoftwareVersion, UpstreamName};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{Read, Write};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a packed list in one part, so that a part fits into one packet.
const PART_BYTES: usize = 1_200;
/// Maximum size of an unpacked list, in bytes; a row takes about 60.
const MAX_UNPACKED_BYTES: u64 = 16 << 20;

/// Rows that the last changes touched, which are remembered so that daemons with an earlier list get
/// the difference.
const MAX_LOGGED_KEYS: usize = 8_192;

/// One upstream in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// The service it belongs to.
    pub service: ServiceName,
    pub upstream: UpstreamName,
    /// Address and port.
    pub address: SocketAddr,
    /// Increases when another process takes over the name or address.
    pub incarnation: u64,
    /// True if it is about to leave.
    pub is_leaving: bool,
    /// Number of requests it processes concurrently, if the platform reports it.
    pub places: Option<u32>,
    /// Version of its software, if the platform reports it.
    pub version: Option<SoftwareVersion>,
    /// The data centre it runs in, if the platform reports it.
    pub data_centre: Option<DataCentreName>,
    /// True while it is cold.
    pub is_cold: bool,
}

type ListKey = (ServiceName, UpstreamName);

/// The difference between two successive reads of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChange {
    /// Digest of the list before the change.
    pub base: u64,
    /// Digest of the list after the change.
    pub digest: u64,
    /// Rows that are new or differ.
    pub changed: Vec<ListedUpstream>,
    /// Keys of rows that were removed.
    pub gone: Vec<ListKey>,
}

/// A part of a packed change or list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPart {
    /// Digest of the list that the change is to be applied to; `None` for a whole list.
    pub base: Option<u64>,
    /// Digest of the list that results.
    pub digest: u64,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// This part of the packed change.
    pub bytes: Vec<u8>,
}

/// The parts of a packed change or list that have not arrived.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingParts {
    /// See [`ListPart::base`].
    pub base: Option<u64>,
    /// See [`ListPart::digest`].
    pub digest: u64,
    pub parts: Vec<u32>,
}

/// What differs between two lists, or a whole list, packed in parts that fit into one packet each.
#[derive(Clone, Debug)]
pub struct PackedChange {
    base: Option<u64>,
    digest: u64,
    chunks: Vec<Vec<u8>>,
}

impl PackedChange {
    /// See [`ListPart::base`].
    pub fn base(&self) -> Option<u64> {
        self.base
    }

    /// See [`ListPart::digest`].
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of parts.
    pub fn part_count(&self) -> u32 {
        self.chunks.len() as u32
    }

    /// One part.
    pub fn part(&self, part: u32) -> Option<ListPart> {
        let bytes = self.chunks.get(part as usize)?.clone();
        let (base, digest, parts) = (self.base, self.digest, self.part_count());
        Some(ListPart { base, digest, part, parts, bytes })
    }
}

/// Result of applying a change received from another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeVerdict {
    /// The list was up to date already.
    Known,
    /// The list is now the same as the sender's.
    Applied,
    /// The change is based on another list; the daemon must request the whole list.
    Unknown,
}

/// The list as known to one daemon.
#[derive(Clone, Debug, Default)]
pub struct SharedList {
    rows: BTreeMap<ListKey, ListedUpstream>,
    digest: Option<u64>,
    /// Sum of the hashes of the rows, from which the digest is computed.
    hash_sum: u64,
    /// What each of the last changes touched, the latest last.
    log: VecDeque<LoggedChange>,
    logged_keys: usize,
    assembly: Option<ListAssembly>,
}

/// The rows that a change touched.
#[derive(Clone, Debug)]
struct LoggedChange {
    /// Digest of the list before the change.
    base: u64,
    keys: Vec<ListKey>,
}

/// The parts of a packed change received so far.
#[derive(Clone, Debug)]
struct ListAssembly {
    base: Option<u64>,
    digest: u64,
    count: u32,
    parts: BTreeMap<u32, Vec<u8>>,
}

impl SharedList {
    /// The rows, ordered by service and name.
    pub fn rows(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.rows.values()
    }

    /// Digest of the list, or `None` while no list is known.
    pub fn digest(&self) -> Option<u64> {
        self.digest
    }

    /// True once a list is known.
    pub fn is_known(&self) -> bool {
        self.digest.is_some()
    }

    /// Digest of a list with these rows.
    pub fn digest_of(rows: impl IntoIterator<Item = ListedUpstream>) -> u64 {
        let rows = keyed(rows);
        digest_of_sum(hash_sum(&rows), rows.len())
    }

    /// Replaces the list with one just read and returns the difference.
    pub fn replace(&mut self, rows: impl IntoIterator<Item = ListedUpstream>) -> ListChange {
        self.replace_keyed(keyed(rows))
    }

    fn replace_keyed(&mut self, new: BTreeMap<ListKey, ListedUpstream>) -> ListChange {
        let changed = new.iter().filter(|(key, row)| self.rows.get(key) != Some(row));
        let changed = changed.map(|(_, row)| row.clone()).collect();
        let gone = self.rows.keys().filter(|key| !new.contains_key(key)).cloned().collect();
        let known = self.digest;
        self.hash_sum = hash_sum(&new);
        let digest = digest_of_sum(self.hash_sum, new.len());
        self.rows = new;
        self.digest = Some(digest);
        // A daemon without a list has not sent one, so no other daemon can match this base.
        let change = ListChange { base: known.unwrap_or(0), digest, changed, gone };
        if known.is_some_and(|known| known != digest) {
            self.log_change(&change);
        }
        change
    }

    /// Applies a change found by another daemon.
    pub fn apply(&mut self, change: &ListChange) -> ChangeVerdict {
        if self.digest == Some(change.digest) {
            return ChangeVerdict::Known;
        }
        if self.digest != Some(change.base) {
            return ChangeVerdict::Unknown;
        }
        let gone = change.gone.iter().map(|key| (key.clone(), None));
        let changed = change.changed.iter().map(|row| (key_of(row), Some(row)));
        let edits: BTreeMap<ListKey, Option<&ListedUpstream>> = gone.chain(changed).collect();
        let (mut sum, mut count) = (self.hash_sum, self.rows.len());
        for (key, new) in &edits {
            if let Some(old) = self.rows.get(key) {
                (sum, count) = (sum.wrapping_sub(row_hash(old)), count - 1);
            }
            if let Some(new) = new {
                (sum, count) = (sum.wrapping_add(row_hash(new)), count + 1);
            }
        }
        if digest_of_sum(sum, count) != change.digest {
            return ChangeVerdict::Unknown;
        }
        for (key, new) in edits {
            match new {
                Some(row) => drop(self.rows.insert(key, row.clone())),
                None => drop(self.rows.remove(&key)),
            }
        }
        (self.hash_sum, self.digest) = (sum, Some(change.digest));
        self.log_change(change);
        ChangeVerdict::Applied
    }

    fn log_change(&mut self, change: &ListChange) {
        let keys: Vec<ListKey> =
            change.changed.iter().map(key_of).chain(change.gone.iter().cloned()).collect();
        self.logged_keys += keys.len();
        self.log.push_back(LoggedChange { base: change.base, keys });
        while self.logged_keys > MAX_LOGGED_KEYS
            && let Some(oldest) = self.log.pop_front()
        {
            self.logged_keys -= oldest.keys.len();
        }
    }

    /// The digest `base` if what has changed since that list is known; `None` if only the whole list
    /// can be sent.
    pub fn change_base(&self, base: Option<u64>) -> Option<u64> {
        base.filter(|base| self.log.iter().any(|logged| logged.base == *base))
    }

    /// What has changed since the list with the digest `base`, packed, or the whole list if that is
    /// not known any more; `None` while no list is known.
    pub fn pack_since(&self, base: Option<u64>) -> Option<PackedChange> {
        let digest = self.digest?;
        let begin = self.log.iter().rposition(|logged| Some(logged.base) == base);
        let (base, packed) = match begin {
            Some(begin) => {
                let touched = self.log.range(begin..).flat_map(|logged| &logged.keys);
                let keys: BTreeSet<&ListKey> = touched.collect();
                let changed = keys.iter().filter_map(|key| self.rows.get(*key)).collect();
                let gone = keys.iter().filter(|key| !self.rows.contains_key(**key));
                (base, pack_rows(changed, gone.copied().collect())?)
            }
            None => (None, pack_rows(self.rows.values().collect(), Vec::new())?),
        };
        let chunks = packed.chunks(PART_BYTES).map(<[u8]>::to_vec).collect();
        Some(PackedChange { base, digest, chunks })
    }

    /// The whole list in parts.
    pub fn parts(&self) -> Vec<ListPart> {
        let Some(packed) = self.pack_since(None) else { return Vec::new() };
        (0..packed.part_count()).filter_map(|part| packed.part(part)).collect()
    }

    /// Adds a part; true once its change is complete and has been applied, or its list has replaced a
    /// different one.
    pub fn add_part(&mut self, part: ListPart) -> bool {
        let is_applicable = part.base.is_none() || part.base == self.digest;
        if self.digest == Some(part.digest) || part.part >= part.parts || !is_applicable {
            return false;
        }
        if part.parts == 1 {
            return self.apply_packed(part.base, part.digest, &part.bytes);
        }
        let is_other = self.assembly.as_ref().is_none_or(|known| !known.is_of(&part));
        if is_other {
            let (base, digest, count) = (part.base, part.digest, part.parts);
            self.assembly = Some(ListAssembly { base, digest, count, parts: BTreeMap::new() });
        }
        let Some(assembly) = &mut self.assembly else { return false };
        assembly.parts.insert(part.part, part.bytes);
        if assembly.parts.len() < assembly.count as usize {
            return false;
        }
        let Some(ListAssembly { base, digest, parts, .. }) = self.assembly.take() else {
            return false;
        };
        let packed: Vec<u8> = parts.into_values().flatten().collect();
        self.apply_packed(base, digest, &packed)
    }

    fn apply_packed(&mut self, base: Option<u64>, digest: u64, packed: &[u8]) -> bool {
        let Some((changed, gone)) = unpack_rows(packed) else { return false };
        let Some(base) = base else {
            let rows = keyed(changed);
            if digest_of_sum(hash_sum(&rows), rows.len()) != digest {
                return false;
            }
            self.replace_keyed(rows);
            return true;
        };
        self.apply(&ListChange { base, digest, changed, gone }) == ChangeVerdict::Applied
    }

    /// The parts that are missing of the change or list that is being received; `None` if none is, or
    /// if it can no longer be applied.
    pub fn missing_parts(&self) -> Option<MissingParts> {
        let assembly = self.assembly.as_ref()?;
        let is_applicable = assembly.base.is_none() || assembly.base == self.digest;
        let missing = (0..assembly.count).filter(|part| !assembly.parts.contains_key(part));
        let (base, digest) = (assembly.base, assembly.digest);
        is_applicable.then(|| MissingParts { base, digest, parts: missing.collect() })
    }
}

impl ListAssembly {
    fn is_of(&self, part: &ListPart) -> bool {
        (self.base, self.digest, self.count) == (part.base, part.digest, part.parts)
    }
}

fn key_of(row: &ListedUpstream) -> ListKey {
    (row.service.clone(), row.upstream.clone())
}

fn keyed(rows: impl IntoIterator<Item = ListedUpstream>) -> BTreeMap<ListKey, ListedUpstream> {
    rows.into_iter().map(|row| (key_of(&row), row)).collect()
}

/// Encodes rows and compresses them with DEFLATE (RFC 1951): names and addresses of upstreams have
/// long parts in common, so that a row takes a third of its bytes.
fn pack_rows(changed: Vec<&ListedUpstream>, gone: Vec<&ListKey>) -> Option<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&postcard::to_stdvec(&(changed, gone)).ok()?).ok()?;
    encoder.finish().ok()
}

fn unpack_rows(packed: &[u8]) -> Option<(Vec<ListedUpstream>, Vec<ListKey>)> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(packed).take(MAX_UNPACKED_BYTES).read_to_end(&mut bytes).ok()?;
    postcard::from_bytes(&bytes).ok()
}

fn row_hash(row: &ListedUpstream) -> u64 {
    xxh3_64(&postcard::to_stdvec(row).unwrap_or_default())
}

fn hash_sum(rows: &BTreeMap<ListKey, ListedUpstream>) -> u64 {
    rows.values().map(row_hash).fold(0, u64::wrapping_add)
}

/// Digest of a list of `count` rows. It is computed from a sum, so that a change costs no more than
/// its own rows.
fn digest_of_sum(hash_sum: u64, count: usize) -> u64 {
    xxh3_64(&[hash_sum.to_le_bytes(), (count as u64).to_le_bytes()].concat())
}
