//! The platform's list of upstreams as daemons tell it to each other: what changed, and a digest of the whole.
//!
//! What goes wrong with whole lists: 64 daemons and 143 upstreams make 8 KB for each daemon and reading, which fills
//! links of 10 Mbit/s, so that lists and all other messages are lost, every daemon reads the list for itself and tells
//! it too. One would notice by calls to the platform that grow with the fleet.

use crate::table::{ServiceName, SoftwareVersion, UpstreamName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// Rows in one part of a whole list: about 1,200 bytes, so that a part is one packet.
const PART_ROWS: usize = 25;

/// One upstream of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// Its service.
    pub service: ServiceName,
    /// Its name.
    pub upstream: UpstreamName,
    /// Its address and port.
    pub address: SocketAddr,
    /// Grows when another process takes the name or address.
    pub incarnation: u64,
    /// True if it is about to go.
    pub is_leaving: bool,
    /// Requests that it works on at once, where the platform says.
    pub places: Option<u32>,
    /// The version of its software, where the platform says.
    pub version: Option<SoftwareVersion>,
}

type ListKey = (ServiceName, UpstreamName);

/// What a reading of the list changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChange {
    /// Digest of the list before.
    pub base: u64,
    /// Digest of the list after.
    pub digest: u64,
    /// Rows that are new or differ.
    pub changed: Vec<ListedUpstream>,
    /// Rows that are there no more.
    pub gone: Vec<ListKey>,
}

/// A part of a whole list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPart {
    /// Digest of the whole list.
    pub digest: u64,
    /// Number of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Its rows.
    pub rows: Vec<ListedUpstream>,
}

/// What a daemon makes of another one's change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeVerdict {
    /// It knew that list already.
    Known,
    /// Its list is now the same.
    Applied,
    /// It knows another list than the one that changed, and must ask for the whole.
    Unknown,
}

/// The list as one daemon knows it.
#[derive(Clone, Debug, Default)]
pub struct SharedList {
    rows: BTreeMap<ListKey, ListedUpstream>,
    digest: Option<u64>,
    assembly: Option<ListAssembly>,
}

/// Parts of a list that came so far.
#[derive(Clone, Debug)]
struct ListAssembly {
    digest: u64,
    parts: BTreeMap<u32, Vec<ListedUpstream>>,
}

impl SharedList {
    /// Its rows, in order of their services and names.
    pub fn rows(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.rows.values()
    }

    /// Digest of the list; none while none is known.
    pub fn digest(&self) -> Option<u64> {
        self.digest
    }

    /// True once a list is known.
    pub fn is_known(&self) -> bool {
        self.digest.is_some()
    }

    /// Takes a list as it was just read, and tells what it changed.
    pub fn replace(&mut self, rows: impl IntoIterator<Item = ListedUpstream>) -> ListChange {
        let keyed = rows.into_iter().map(|row| ((row.service.clone(), row.upstream.clone()), row));
        let new: BTreeMap<ListKey, ListedUpstream> = keyed.collect();
        let changed = new.iter().filter(|(key, row)| self.rows.get(key) != Some(row));
        let changed = changed.map(|(_, row)| row.clone()).collect();
        let gone = self.rows.keys().filter(|key| !new.contains_key(key)).cloned().collect();
        // A daemon that knew no list has told none: nobody has its base.
        let base = self.digest.unwrap_or(0);
        let digest = digest_of(&new);
        self.rows = new;
        self.digest = Some(digest);
        ListChange { base, digest, changed, gone }
    }

    /// Takes what another daemon's reading changed.
    pub fn take(&mut self, change: &ListChange) -> ChangeVerdict {
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
        if digest_of(&rows) != change.digest {
            return ChangeVerdict::Unknown;
        }
        self.rows = rows;
        self.digest = Some(change.digest);
        ChangeVerdict::Applied
    }

    /// The whole list in parts, for a daemon that asks for it.
    pub fn parts(&self) -> Vec<ListPart> {
        let Some(digest) = self.digest else { return Vec::new() };
        let rows: Vec<ListedUpstream> = self.rows.values().cloned().collect();
        let count = rows.len().div_ceil(PART_ROWS) as u32;
        let chunks = rows.chunks(PART_ROWS).enumerate();
        let parts = chunks.map(|(part, rows)| ListPart {
            digest,
            part: part as u32,
            parts: count,
            rows: rows.to_vec(),
        });
        parts.collect()
    }

    /// Takes a part of a whole list; true once the list is whole and differs from what was known.
    pub fn take_part(&mut self, part: ListPart) -> bool {
        if self.digest == Some(part.digest) {
            return false;
        }
        let is_other = self.assembly.as_ref().is_none_or(|known| known.digest != part.digest);
        if is_other {
            self.assembly = Some(ListAssembly { digest: part.digest, parts: BTreeMap::new() });
        }
        let Some(assembly) = &mut self.assembly else { return false };
        assembly.parts.insert(part.part, part.rows);
        if assembly.parts.len() < part.parts as usize {
            return false;
        }
        let rows: Vec<ListedUpstream> =
            std::mem::take(&mut assembly.parts).into_values().flatten().collect();
        self.assembly = None;
        self.replace(rows);
        true
    }
}

fn digest_of(rows: &BTreeMap<ListKey, ListedUpstream>) -> u64 {
    let rows: Vec<&ListedUpstream> = rows.values().collect();
    xxh3_64(&postcard::to_stdvec(&rows).unwrap_or_default())
}
