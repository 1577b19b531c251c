//! Request routing: forwards platform callers' requests to upstreams according to the route table.
//!
//! [`door`] reads and admits a request, [`carry`] has it placed and sends it, and [`relay`] passes
//! the events of a streaming answer on. A [`CallDialect`] reads and writes the platform's headers;
//! nothing in this module depends on header names.

mod attempt;
mod carry;
mod dialect;
mod door;
mod events;
mod index;
mod relay;
mod reserve;
mod size_fields;

use crate::policy::OrganisationIndex;

pub use dialect::{
    AnswerMetadata, CallDialect, CallerMetadata, ReservationReply, ReservationRequest, SendMetadata,
};
pub use door::routed_router;
pub use events::EventSplitter;
pub use index::RouteIndex;

/// Index shared by all callers of public routes that present no key.
const NO_ORGANISATION: OrganisationIndex = OrganisationIndex(u32::MAX);
