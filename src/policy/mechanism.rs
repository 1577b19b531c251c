//! Policy mechanisms that can be disabled individually to measure their effect.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A mechanism of the policy for requests with objectives.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// Orders requests of one lane by their worth relative to their cost instead of by due time.
    SizeOrder,
    /// Treats retries as late from the start instead of restarting their objective.
    KnownReturns,
    /// Assigns a fixed share of the slots to the lanes in rotation.
    LaneTurns,
    /// Within an organisation's limit, reserves a share for new requests that retries may not use.
    ReturnReserve,
    /// Within an organisation's limit, reserves a share for higher ranks that lower ranks may not
    /// use.
    RankReserve,
    /// Models the time to first event as a base plus a time per token instead of a time per token
    /// alone.
    FirstEvents,
    /// Lets a request wait for an engine that should finish it in time without stalling other
    /// streams.
    FitPlaces,
    /// Serves each size decile of a kind of request at a minimum share of its lane's service rate.
    SizeShare,
    /// Refuses a retry that is unlikely to get a slot at once instead of when its time has run out.
    LateRefusal,
    /// Holds requests that are already late in this daemon until the queues inside the upstreams
    /// are short.
    LateWait,
    /// Makes a late request yield slots to other daemons' requests that are worth more for their
    /// cost.
    GroupOrder,
}

/// The set of enabled mechanisms, stored as the disabled ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MechanismSet {
    disabled: Vec<Mechanism>,
}

impl MechanismSet {
    /// Creates a set of all mechanisms except `disabled`.
    pub fn without(disabled: &[Mechanism]) -> Self {
        MechanismSet { disabled: disabled.to_vec() }
    }

    /// True if the mechanism is enabled.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}
