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
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a packed list in one part, so that a part fits into one packet.
const PART_BYTES: usize = 1_200;
/// Maximum size of an unpacked list, in bytes; a row takes about 60.
const MAX_UNPACKED_BYTES: u64 = 16 << 20;

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

/// A part of a whole list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPart {
    /// Digest of the whole list.
    pub digest: u64,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// This part of the packed list.
    pub bytes: Vec<u8>,
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
    assembly: Option<ListAssembly>,
    /// The packed list in parts, with the digest for which it was packed.
    packed: Option<(u64, Vec<Vec<u8>>)>,
}

/// The parts of a whole list received so far.
#[derive(Clone, Debug)]
struct ListAssembly {
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
        let keyed = rows.into_iter().map(|row| ((row.service.clone(), row.upstream.clone()), row));
        list_digest(&keyed.collect())
    }

    /// Replaces the list with one just read and returns the difference.
    pub fn replace(&mut self, rows: impl IntoIterator<Item = ListedUpstream>) -> ListChange {
        let keyed = rows.into_iter().map(|row| ((row.service.clone(), row.upstream.clone()), row));
        let new: BTreeMap<ListKey, ListedUpstream> = keyed.collect();
        let changed = new.iter().filter(|(key, row)| self.rows.get(key) != Some(row));
        let changed = changed.map(|(_, row)| row.clone()).collect();
        let gone = self.rows.keys().filter(|key| !new.contains_key(key)).cloned().collect();
        // A daemon without a list has not sent one, so no other daemon can match this base.
        let base = self.digest.unwrap_or(0);
        let digest = list_digest(&new);
        self.rows = new;
        self.digest = Some(digest);
        ListChange { base, digest, changed, gone }
    }

    /// Applies a change found by another daemon.
    pub fn apply(&mut self, change: &ListChange) -> ChangeVerdict {
        if self.digest == Some(change.digest) {
            return ChangeVerdict::Known;
        }
        if self.digest != Some(change.base) {
            return ChangeVerdict::Unknown;
        }
        let mut rows = self.rows.clone();
        change.gone.iter().for_each(|key| drop(rows.remove(key)));
        let keyed = change.changed.iter().map(|row| {
            let key = (row.service.clone(), row.upstream.clone());
            (key, row.clone())
        });
        rows.extend(keyed);
        if list_digest(&rows) != change.digest {
            return ChangeVerdict::Unknown;
        }
        self.rows = rows;
        self.digest = Some(change.digest);
        ChangeVerdict::Applied
    }

    /// The whole list in parts, for a daemon that requests it.
    pub fn parts(&mut self) -> Vec<ListPart> {
        (0..self.part_count()).filter_map(|part| self.part(part)).collect()
    }

    /// Number of parts of the whole list; 0 while no list is known.
    pub fn part_count(&mut self) -> u32 {
        self.packed().map_or(0, |(_, chunks)| chunks.len() as u32)
    }

    /// One part of the whole list.
    pub fn part(&mut self, part: u32) -> Option<ListPart> {
        let (digest, chunks) = self.packed()?;
        let bytes = chunks.get(part as usize)?.clone();
        Some(ListPart { digest: *digest, part, parts: chunks.len() as u32, bytes })
    }

    /// Packs the list unless that was done since it last changed.
    fn packed(&mut self) -> Option<&(u64, Vec<Vec<u8>>)> {
        let digest = self.digest?;
        if self.packed.as_ref().is_none_or(|(known, _)| *known != digest) {
            let rows: Vec<&ListedUpstream> = self.rows.values().collect();
            let packed = pack_rows(&rows)?;
            let chunks = packed.chunks(PART_BYTES).map(<[u8]>::to_vec).collect();
            self.packed = Some((digest, chunks));
        }
        self.packed.as_ref()
    }

    /// Adds a part of a whole list; true once that list is complete and replaces a different one.
    pub fn add_part(&mut self, part: ListPart) -> bool {
        if self.digest == Some(part.digest) || part.part >= part.parts {
            return false;
        }
        let is_other = self.assembly.as_ref().is_none_or(|known| known.digest != part.digest);
        if is_other {
            let (digest, count) = (part.digest, part.parts);
            self.assembly = Some(ListAssembly { digest, count, parts: BTreeMap::new() });
        }
        let Some(assembly) = &mut self.assembly else { return false };
        assembly.parts.insert(part.part, part.bytes);
        if assembly.parts.len() < assembly.count as usize {
            return false;
        }
        let Some(assembly) = self.assembly.take() else { return false };
        let packed: Vec<u8> = assembly.parts.into_values().flatten().collect();
        let Some(rows) = unpack_rows(&packed) else { return false };
        self.replace(rows);
        true
    }

    /// Digest of the list that is being received, and the parts that have not arrived.
    pub fn missing_parts(&self) -> Option<(u64, Vec<u32>)> {
        let assembly = self.assembly.as_ref()?;
        let missing = (0..assembly.count).filter(|part| !assembly.parts.contains_key(part));
        Some((assembly.digest, missing.collect()))
    }
}

/// Encodes rows and compresses them with DEFLATE (RFC 1951): names and addresses of upstreams have
/// long parts in common, so that a row takes a third of its bytes.
fn pack_rows(rows: &[&ListedUpstream]) -> Option<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&postcard::to_stdvec(rows).ok()?).ok()?;
    encoder.finish().ok()
}

fn unpack_rows(packed: &[u8]) -> Option<Vec<ListedUpstream>> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(packed).take(MAX_UNPACKED_BYTES).read_to_end(&mut bytes).ok()?;
    postcard::from_bytes(&bytes).ok()
}

fn list_digest(rows: &BTreeMap<ListKey, ListedUpstream>) -> u64 {
    let rows: Vec<&ListedUpstream> = rows.values().collect();
    xxh3_64(&postcard::to_stdvec(&rows).unwrap_or_default())
}
