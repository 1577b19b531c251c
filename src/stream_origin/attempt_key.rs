//! Identifies a caller's attempt in records.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Identifies a caller's attempt by its organisation and id. The organisation is a part of it, so that
/// no caller can use or find out an id of another organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptKey(u64);

impl AttemptKey {
    /// The key of the attempt `id` of an organisation; the name is empty for callers without a key.
    pub fn of(organisation: &str, id: &str) -> Self {
        let digest = Sha256::new()
            .chain_update((organisation.len() as u64).to_be_bytes())
            .chain_update(organisation)
            .chain_update(id)
            .finalize();
        let mut bytes = [0; size_of::<u64>()];
        bytes.copy_from_slice(&digest[..size_of::<u64>()]);
        AttemptKey(u64::from_be_bytes(bytes))
    }

    /// Rank of a daemon among those that keep the record, by its address.
    pub(super) fn rank(self, daemon: &[u8]) -> u64 {
        xxh3_64_with_seed(daemon, self.0)
    }
}
