//! Messages between daemons and the leader about roll-outs.

use super::counts::OutcomeCounts;
use super::log::{RolloutLog, RolloutRecord};
use super::stage::RolloutStage;
use crate::table::{ServiceName, SoftwareVersion};
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

/// Fraction of the operators' limit on a new version's share that a trial uses.
const TRIAL_SHARE_FRACTION: f64 = 0.6;
/// Share of the requests that the new version receives before it receives all of them.
const EXPANDING_SHARE: f64 = 0.3;
/// Units per whole: messages carry shares in ten-thousandths.
const SHARE_SCALE: f64 = 10_000.0;

/// A roll-out as sent to the daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRow {
    pub service: ServiceName,
    /// The new version.
    pub to: SoftwareVersion,
    /// The version used before, if an earlier roll-out completed it.
    pub from: Option<SoftwareVersion>,
    /// Number of the roll-out.
    pub number: u64,
    /// Current stage.
    pub stage: RolloutStage,
    /// Share of the requests sent to the new version, in ten-thousandths.
    share: u32,
}

impl RolloutRow {
    /// Creates the row of a record; `max_trial_share` is the maximum share of a version on trial.
    pub fn new(record: &RolloutRecord, max_trial_share: f64) -> Self {
        let share = match record.stage {
            RolloutStage::Trial => max_trial_share * TRIAL_SHARE_FRACTION,
            RolloutStage::Expanding => EXPANDING_SHARE.max(max_trial_share),
            RolloutStage::Draining | RolloutStage::Completed => 1.0,
            RolloutStage::RolledBack => 0.0,
        };
        RolloutRow {
            service: record.order.service.clone(),
            to: record.order.to.clone(),
            from: record.from.clone(),
            number: record.number,
            stage: record.stage,
            share: (share.clamp(0.0, 1.0) * SHARE_SCALE) as u32,
        }
    }

    /// Share of the requests sent to the new version, 0.0 to 1.0.
    pub fn share(&self) -> f64 {
        f64::from(self.share) / SHARE_SCALE
    }
}

/// All roll-outs as sent to the daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRows(pub Vec<RolloutRow>);

impl RolloutRows {
    /// Creates the rows of all roll-outs in a log; `max_trial_share` as for [`RolloutRow::new`].
    pub fn new(log: &RolloutLog, max_trial_share: f64) -> Self {
        RolloutRows(log.iter().map(|record| RolloutRow::new(record, max_trial_share)).collect())
    }

    /// Hash of all rows; never 0, which means that no rows were received.
    pub fn digest(&self) -> u64 {
        xxh3_64(&postcard::to_stdvec(&self.0).unwrap_or_default()).max(1)
    }
}

/// Report of one daemon on one roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Number of the roll-out.
    pub number: u64,
    /// Stage that the daemon currently applies.
    pub stage: RolloutStage,
    /// Number of its requests that wait for the old version or run on it.
    pub on_old: u32,
    /// Outcomes it has counted since the roll-out started.
    #[serde(with = "packed_counts")]
    pub counts: OutcomeCounts,
}

/// Serialises counts as base64 text: the report is sent as JSON, whose map keys must be strings.
mod packed_counts {
    use super::*;

    pub fn serialize<S: Serializer>(
        counts: &OutcomeCounts,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let bytes = postcard::to_stdvec(counts).map_err(serde::ser::Error::custom)?;
        serializer.serialize_str(&STANDARD_NO_PAD.encode(bytes))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<OutcomeCounts, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD_NO_PAD.decode(text).map_err(serde::de::Error::custom)?;
        postcard::from_bytes(&bytes).map_err(serde::de::Error::custom)
    }
}
