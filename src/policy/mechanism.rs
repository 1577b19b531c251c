//! Mechanisms of the policy that can be switched off one by one, to measure what each is worth.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A mechanism of the policy for requests with objectives.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Mechanism {
    /// Among requests of one lane those worth most for what they cost go first; without it, those due first.
    SizeOrder,
    /// A caller that has been here before is late from the start; without it, its objective begins anew.
    KnownReturns,
    /// One place in so many goes round among the lanes.
    LaneTurns,
    /// Within an organisation's limit, callers that have been here before leave a part to newcomers.
    ReturnReserve,
    /// Within an organisation's limit, lower ranks leave a part to higher ones.
    RankReserve,
    /// Times of first events are a base and a part for each token; without it, a time for each token alone.
    FirstEvents,
    /// A request waits for an engine that should end it in time without making others pause.
    FitPlaces,
    /// Each tenth by size of a kind is served at least a part as often as its lane.
    SizeShare,
    /// A caller that has been here before and has no prospect of a place is refused at once, not when its time is over.
    LateRefusal,
    /// Where upstreams queue by themselves, requests that are late anyway wait here until those queues are short.
    LateWait,
    /// A late request leaves places to the requests of other daemons that are worth more for their cost.
    GroupOrder,
}

/// The mechanisms that are switched off.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MechanismSet {
    off: Vec<Mechanism>,
}

impl MechanismSet {
    /// All but `off`.
    pub fn without(off: &[Mechanism]) -> Self {
        MechanismSet { off: off.to_vec() }
    }

    /// True if it is used.
    pub fn has(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}
