//! Traffic: the callers' front, dispatch and relay. Reads control state through snapshots only.

mod access;
mod claim_guard;
mod dispatch;
mod drain;
mod front;
mod model_call;
mod pool_runtime;
mod sink;
mod state;

pub use access::{AccessIndex, CallerIdentity, OrganisationNumbers};
pub use drain::{DrainAction, DrainEvent, DrainState, drain_chart};
pub use front::{FrontHandle, front_router, start_front};
pub use pool_runtime::{PoolRuntime, RequestGuard};
pub use state::{TableSnapshot, TrafficClock, TrafficState};
