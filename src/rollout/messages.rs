//! What daemons and the leader say to each other of roll-outs.

use super::counts::AnswerCounts;
use super::log::{RolloutLog, RolloutRecord};
use super::stage::RolloutStage;
use crate::table::{ServiceName, SoftwareVersion};
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

/// Part of the operators' bound on a new version's share that a trial uses.
const TRIAL_USE: f64 = 0.6;
/// Share of the requests that go to the new version before it gets all.
const EXPANDING_SHARE: f64 = 0.3;
/// Unit of shares in messages.
const SHARE_UNITS: f64 = 10_000.0;

/// A roll-out as daemons need it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRow {
    /// The service.
    pub service: ServiceName,
    /// The new version.
    pub to: SoftwareVersion,
    /// The version in use before, if an earlier roll-out completed it.
    pub from: Option<SoftwareVersion>,
    /// The roll-out's number.
    pub number: u64,
    /// How far it has come.
    pub stage: RolloutStage,
    /// Share of the requests that goes to the new version, in ten thousandths.
    share: u32,
}

impl RolloutRow {
    /// The row of a record; `bound` is the largest share that a version on trial may get.
    pub fn new(record: &RolloutRecord, bound: f64) -> Self {
        let share = match record.stage {
            RolloutStage::Trial => bound * TRIAL_USE,
            RolloutStage::Expanding => EXPANDING_SHARE.max(bound),
            RolloutStage::Draining | RolloutStage::Completed => 1.0,
            RolloutStage::RolledBack => 0.0,
        };
        RolloutRow {
            service: record.order.service.clone(),
            to: record.order.to.clone(),
            from: record.from.clone(),
            number: record.number,
            stage: record.stage,
            share: (share.clamp(0.0, 1.0) * SHARE_UNITS) as u32,
        }
    }

    /// Share of the requests that goes to the new version, 0.0 to 1.0.
    pub fn share(&self) -> f64 {
        f64::from(self.share) / SHARE_UNITS
    }
}

/// All roll-outs as daemons need them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRows(pub Vec<RolloutRow>);

impl RolloutRows {
    /// The rows of a log.
    pub fn new(log: &RolloutLog, bound: f64) -> Self {
        RolloutRows(log.iter().map(|record| RolloutRow::new(record, bound)).collect())
    }

    /// A number that stands for all rows; never 0, which stands for none received.
    pub fn digest(&self) -> u64 {
        xxh3_64(&postcard::to_stdvec(&self.0).unwrap_or_default()).max(1)
    }
}

/// What one daemon says of one roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The roll-out.
    pub number: u64,
    /// The stage that the daemon acts on.
    pub stage: RolloutStage,
    /// Its requests that wait for the old version or run on it.
    pub on_old: u32,
    /// The answers that it saw since the roll-out began.
    #[serde(with = "packed_counts")]
    pub counts: AnswerCounts,
}

/// Counts as text: the keys of the map are no strings, and the report goes as JSON.
mod packed_counts {
    use super::*;

    pub fn serialize<S: Serializer>(
        counts: &AnswerCounts,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let bytes = postcard::to_stdvec(counts).map_err(serde::ser::Error::custom)?;
        serializer.serialize_str(&STANDARD_NO_PAD.encode(bytes))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<AnswerCounts, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD_NO_PAD.decode(text).map_err(serde::de::Error::custom)?;
        postcard::from_bytes(&bytes).map_err(serde::de::Error::custom)
    }
}
