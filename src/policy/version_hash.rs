//! Identifies software versions in demands, messages and records.

use crate::table::SoftwareVersion;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a software version of a service. Two versions of one service have the same hash with a
/// probability of 1 in 4 billion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionHash(u32);

impl VersionHash {
    pub fn of(version: &SoftwareVersion) -> Self {
        VersionHash(xxh3_64(version.as_str().as_bytes()) as u32)
    }
}

impl From<u32> for VersionHash {
    fn from(number: u32) -> Self {
        VersionHash(number)
    }
}

impl fmt::LowerHex for VersionHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::LowerHex::fmt(&self.0, formatter)
    }
}
