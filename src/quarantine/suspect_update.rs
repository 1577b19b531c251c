//! Updates between daemons about request contents and prompt parts that upstreams crashed on.

use super::RequestFingerprint;
use super::suspect_record::MAX_COMPANIONS;
use crate::policy::UpstreamHash;
use serde::{Deserialize, Serialize};

/// Maximum number of rows per message, about 1,100 bytes.
pub const MAX_ROWS: usize = 32;
/// Maximum number of upstreams accepted in one row; other versions of the daemon may store more
/// than this one does.
const MAX_CRASHES: usize = 64;
/// Maximum plausible age in milliseconds: a month.
const MAX_AGE_MS: i64 = 31 * 86_400_000;
/// Maximum time that a moment may lie in the future, in milliseconds.
const MAX_AHEAD_MS: i64 = 60_000;

/// All that is known about one content or prompt part. Rows are merged as sets, so duplicated, delayed and
/// rerouted rows are harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRow {
    /// Fingerprint of the content.
    pub request: RequestFingerprint,
    /// Upstreams that crashed on it, and how many milliseconds ago.
    pub crashes: Vec<(UpstreamHash, i64)>,
    /// Crashes that happened this many milliseconds ago or earlier do not count; negative if the
    /// cut-off is in the future.
    pub void_age_ms: Option<i64>,
    /// What else was in every request that the crashes are blamed on.
    #[serde(default)]
    pub companions: Vec<RequestFingerprint>,
}

/// The part of a message that concerns suspect contents.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// Hash of all crashes known to the sender; equal on daemons that know the same crashes.
    pub digest: u32,
    /// Rows that are new or sent again.
    pub rows: Vec<SuspectRow>,
}

impl SuspectUpdate {
    /// Returns false if the update contains values that no daemon can have observed.
    pub fn is_plausible(&self) -> bool {
        let is_plausible_age = |age: i64| (-MAX_AHEAD_MS..=MAX_AGE_MS).contains(&age);
        self.rows.len() <= MAX_ROWS
            && self.rows.iter().all(|row| {
                row.crashes.len() <= MAX_CRASHES
                    && row.companions.len() <= MAX_COMPANIONS
                    && row.crashes.iter().all(|(_, age)| is_plausible_age(*age))
                    && row.void_age_ms.is_none_or(is_plausible_age)
            })
    }
}
