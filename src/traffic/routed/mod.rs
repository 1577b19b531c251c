//! Request routing: forwards platform callers' requests to upstreams according to the route table.
//!
//! [`admission`] reads and admits a request, [`forward`] has it placed and sends it, and [`relay`]
//! passes the events of a streaming answer on. A [`CallDialect`] reads and writes the platform's
//! headers; nothing in this module depends on header names.

mod admission;
mod attempt;
mod dialect;
mod end_check;
mod event_order;
mod events;
mod forward;
mod index;
mod next_place;
mod origin;
mod placing;
mod refusal;
mod relay;
mod request;
mod reserve;
mod resumption;
mod retry;
mod send_history;
mod size_fields;
mod statements;
mod stream_end;
mod table_fields;
mod through_peer;

use crate::policy::OrganisationIndex;

pub use admission::{relayed_router, routed_router};
pub use dialect::{
    AnswerMetadata, CallDialect, CallerMetadata, ReservationReply, ReservationRequest, SendMetadata,
};
pub use event_order::JoinFault;
pub use events::EventSplitter;
pub use index::RouteIndex;

/// Index shared by all callers of public routes that present no key.
const NO_ORGANISATION: OrganisationIndex = OrganisationIndex(u32::MAX);
