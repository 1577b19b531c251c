//! The load tool: models of the two firms' requests, callers that check every answer, and a summary.

mod caller;
mod profile;
mod summary;

pub use caller::{CallOutcome, CallResult, LoadCaller};
pub use profile::{
    LoadProfile, PlannedRequest, PolicyChoice, ProfileKind, RequestKind, TrafficClass, nonce,
};
pub use summary::{LoadSummary, TierSummary};
