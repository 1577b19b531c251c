//! Small stand-ins for what the system meets: a model engine and a plain service, on loopback.
//!
//! Not simulators of machines or networks: one engine's batching and cache, and faults on order.

mod engine_model;
mod engine_server;
mod faults;
mod plain_server;

pub use engine_model::{EngineJob, EngineModel, EngineShape, EngineStep, JobId, PrefillLedger};
pub use engine_server::{EngineStandin, start_engine};
pub use faults::{FaultPlan, StandinFault};
pub use plain_server::{PlainShape, PlainStandin, start_plain};
