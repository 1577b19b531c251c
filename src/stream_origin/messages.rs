//! Messages between daemons about the origins of streams.

use super::{AttemptKey, KnownOrigin, OriginRecord, VersionClaim, VersionReport};
use crate::fleet_state::ServiceHash;
use serde::{Deserialize, Serialize};

/// A message about the origins of streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// Records for their owners.
    Store(Vec<OriginRecord>),
    /// Asks what the receiver knows of an attempt.
    Ask {
        /// Number of the question, which the answer repeats.
        number: u64,
        key: AttemptKey,
        /// The service that the stream probably began at.
        service: ServiceHash,
        /// Milliseconds for which a stream of it may be resumed.
        horizon_ms: u32,
    },
    /// The answer to a question.
    Reply { number: u64, finding: OriginFinding },
    /// The versions that a daemon lists, for voters.
    Versions(Vec<VersionReport>),
    /// Versions that a daemon will use, for voters, which reply with those that they know.
    Announce(Vec<VersionReport>),
    /// The reply to an announcement.
    Announced(Vec<VersionReport>),
}

/// What a daemon knows of an attempt, or else of the service's versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginFinding {
    Known(KnownOrigin),
    Unknown(VersionClaim),
}
