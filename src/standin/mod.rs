//! Stand-in upstreams on loopback for tests and benchmarks: a model engine and a plain service.
//!
//! They model the batching and the prefix cache of a single engine and inject faults on request;
//! they do not simulate machines or networks.

mod engine_model;
mod engine_server;
mod faults;
mod plain_server;

pub use engine_model::{EngineJob, EngineModel, EngineShape, EngineStep, JobId, PrefillLedger};
pub use engine_server::{EngineStandin, start_engine};
pub use faults::{FaultPlan, StandinFault};
pub use plain_server::{PlainShape, PlainStandin, start_plain};
