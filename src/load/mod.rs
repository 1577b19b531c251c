//! Load generator: models of two firms' requests, a caller that checks every answer, and a summary.

mod caller;
mod profile;
mod summary;

pub use caller::{CallOutcome, CallResult, LoadCaller};
pub use profile::{
    LoadProfile, PlannedRequest, PolicyChoice, ProfileKind, RequestKind, TrafficClass, nonce,
};
pub use summary::{LoadSummary, TierSummary};
