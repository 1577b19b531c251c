//! News between peers of requests under which upstreams ended.

use super::RequestFingerprint;
use crate::policy::UpstreamHash;
use serde::{Deserialize, Serialize};

/// Rows in one message, at most: near 1,100 bytes.
pub const MOST_ROWS: usize = 32;
/// Upstreams in one row, at most, whatever another version keeps.
const MOST_CRASHES: usize = 64;
/// The largest age that makes sense, in milliseconds: a month.
const MOST_AGE_MS: i64 = 31 * 86_400_000;
/// How far a moment may lie ahead, in milliseconds.
const MOST_AHEAD_MS: i64 = 60_000;

/// All that is known of one content. Rows are merged as sets, so a row that comes twice, late or by another way does no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRow {
    /// The content.
    pub request: RequestFingerprint,
    /// The upstreams that ended under it, and how many milliseconds ago.
    pub crashes: Vec<(UpstreamHash, i64)>,
    /// Ends up to so many milliseconds ago do not count; below nought where that moment is still to come.
    pub void_age_ms: Option<i64>,
}

/// A message's part on suspects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNews {
    /// Stands for all that the sender knows; daemons that know the same have the same.
    pub digest: u32,
    /// Rows that are new, or are sent again.
    pub rows: Vec<SuspectRow>,
}

impl SuspectNews {
    /// False if it says what no daemon can have seen.
    pub fn is_plausible(&self) -> bool {
        let has_sense = |age: i64| (-MOST_AHEAD_MS..=MOST_AGE_MS).contains(&age);
        self.rows.len() <= MOST_ROWS
            && self.rows.iter().all(|row| {
                row.crashes.len() <= MOST_CRASHES
                    && row.crashes.iter().all(|(_, age)| has_sense(*age))
                    && row.void_age_ms.is_none_or(has_sense)
            })
    }
}
