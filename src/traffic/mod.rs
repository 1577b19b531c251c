//! Data plane: accepts callers' requests, dispatches them and relays the answers. It reads control
//! state only through snapshots.

mod access;
mod answer_lines;
mod claim_guard;
mod crash_check;
mod dispatch;
mod drain;
mod fleet_exchange;
mod frontend;
mod memory_budget;
mod model_call;
mod pool_runtime;
mod probe;
mod quarantine_gate;
mod relay;
mod rollout_gate;
mod routed;
mod sink;
mod start_times;
mod state;
mod stop_plan;
mod stream_origins;
mod table_source;

pub use access::{AccessIndex, CallerIdentity, OrganisationIndices};
pub use drain::{DrainAction, DrainEvent, DrainState, drain_chart};
pub use fleet_exchange::{
    DaemonMessage, DropCause, FleetExchange, decode_message, encode_message, start_exchange,
    start_voter_exchange,
};
pub use frontend::{
    DrainTimes, FrontendHandle, frontend_router, readiness_router, start_frontend, without_frontend,
};
pub use memory_budget::{
    AnswerNumber, AnswerWriter, HeldBody, MemoryBudget, MemoryGuard, MemoryLedger, NoMemory,
};
pub use pool_runtime::{PoolRuntime, RequestGuard};
pub use probe::{ProbeOutcome, probe};
pub use relay::{PeerChoice, RelayTicket, TicketSubject, start_relay_server};
pub use routed::{
    AnswerMetadata, CallDialect, CallerMetadata, EventSplitter, JoinFault, ReservationReply,
    ReservationRequest, RouteIndex, SendMetadata,
};
pub use state::{PlatformInterface, TableSnapshot, TrafficState};
pub use stop_plan::StopPlan;
pub use stream_origins::{ResumableStream, StreamOrigins};
pub use table_source::{TableOrigin, TableSource};
