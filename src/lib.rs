//! tarragonknot: a request scheduler between callers and heterogeneous upstreams.
//!
//! Requests pass through admission, placement, dispatch and answer, in this order. Control state
//! reaches traffic only as immutable snapshots. The code under [`policy`], [`fleet_state`],
//! [`quarantine`], [`rollout`] and [`evacuation`] is pure: it maps state, event and time to actions.

pub mod answer;
pub mod chart;
pub mod claim;
pub mod clock;
pub mod cmd;
pub mod control;
pub mod daemon;
pub mod evacuation;
pub mod experiment;
pub mod fleet_state;
pub mod load;
pub mod platform;
pub mod policy;
pub mod quarantine;
pub mod replica;
pub mod report;
pub mod rollout;
pub mod settings;
pub mod standin;
pub mod store;
pub mod stream_origin;
pub mod table;
pub mod traffic;
pub mod upstream;
