//! Evacuation of data centres: on an operator's order, nothing more is sent to the upstreams of a
//! data centre until the order is withdrawn.
//!
//! This module is pure. The voters store the orders ([`EvacuationLog`]), and the leader sends the
//! daemons the data centres that are evacuated ([`EvacuatedSet`]).

mod evacuated_set;
mod log;
mod stage;

pub use evacuated_set::EvacuatedSet;
pub use log::{EvacuationLog, EvacuationOrder, EvacuationRecord};
pub use stage::{EvacuationChart, EvacuationEvent, EvacuationStage, evacuation_chart};
