//! Compresses tables for transfer to daemons, once for all of them.
//!
//! Plain tables overload the leader: a table with 1,312 additional routes is 400 KB, which a leader
//! with a seventh of a core has to write 74 times. Reports then exceed their timeout, and the
//! daemons reconnect and are sent the table again. The symptom is daemons that refuse new routes
//! for seconds after the edit was acknowledged.

use crate::table::VersionedTable;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use std::io::{Read, Write};
use std::sync::Arc;

/// Maximum size of an unpacked table, in bytes; a route takes about 300.
const MAX_UNPACKED_BYTES: u64 = 256 << 20;

/// Encodes a table as JSON, compressed with DEFLATE (RFC 1951), in base64 (RFC 4648).
pub fn pack(table: &VersionedTable) -> Option<Arc<str>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    serde_json::to_writer(&mut encoder, table).ok()?;
    encoder.flush().ok()?;
    let bytes = encoder.finish().ok()?;
    Some(Arc::from(STANDARD.encode(bytes)))
}

/// Decodes a packed table; returns `None` if it is corrupt.
pub fn unpack(packed: &str) -> Option<VersionedTable> {
    let bytes = STANDARD.decode(packed).ok()?;
    let mut text = Vec::new();
    DeflateDecoder::new(bytes.as_slice()).take(MAX_UNPACKED_BYTES).read_to_end(&mut text).ok()?;
    serde_json::from_slice(&text).ok()
}

/// Caches the packed form of the table in force.
#[derive(Debug, Default)]
pub struct PackedTableCache {
    cached: Option<(u64, String, Arc<str>)>,
}

impl PackedTableCache {
    /// Returns the packed form of `table`, packing it only if it differs from the cached one.
    pub fn get(&mut self, table: &VersionedTable) -> Option<Arc<str>> {
        if let Some((version, hash, packed)) = &self.cached
            && *version == table.version
            && *hash == table.hash
        {
            return Some(Arc::clone(packed));
        }
        let packed = pack(table)?;
        self.cached = Some((table.version, table.hash.clone(), Arc::clone(&packed)));
        Some(packed)
    }
}
