//! tarragonknot: a request scheduler between callers and unlike upstreams.
//!
//! Data flows one way: caller, admission, placement, dispatch, answer. Control state reaches traffic
//! as immutable snapshots only. Everything under [`policy`], [`fleet_state`], [`quarantine`] and [`rollout`] is pure: state, event and time in,
//! actions out.

pub mod answer;
pub mod chart;
pub mod claim;
pub mod clock;
pub mod cmd;
pub mod control;
pub mod daemon;
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
pub mod table;
pub mod traffic;
pub mod upstream;
