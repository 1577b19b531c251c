//! Optional parts that a deployment's contracts call for.

/// The contract of deployments where memory and capacity are short at times.
const PRESSURE: &str = "pressure";

/// The optional parts that a deployment's contracts enable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ContractFeatures {
    /// Capacity that is too small for all is shared among the organisations.
    pub shares_organisations: bool,
    /// Memory held for callers, and that of upstreams, is bounded.
    pub bounds_memory: bool,
    /// Slots that a daemon leaves unused are offered to others that wait.
    pub offers_slots: bool,
    /// Daemons use the members that a voter names until a leader names the daemons.
    pub presumes_members: bool,
}

impl ContractFeatures {
    /// Returns the features that contracts of these names enable.
    pub fn of(contracts: &[String]) -> Self {
        let has_pressure = contracts.iter().any(|name| name == PRESSURE);
        ContractFeatures {
            shares_organisations: has_pressure,
            bounds_memory: has_pressure,
            offers_slots: has_pressure,
            presumes_members: has_pressure,
        }
    }
}
