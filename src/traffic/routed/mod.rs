//! Requests by route: what a platform's callers send, carried to upstreams under the routes' rules.
//!
//! The way of a request: [`door`] reads and admits it, [`carry`] has it placed and sends it, [`relay`] passes
//! a stream's events on. What the headers say is read by a [`CallDialect`]; nothing here knows their names.

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

pub use dialect::{AnswerFacts, CallDialect, CallerFacts, PlaceWanted, PlaceWord, SendFacts};
pub use door::routed_router;
pub use events::EventCutter;
pub use index::RouteIndex;

/// Stands for callers of public routes without a key, together.
const NO_ORGANISATION: OrganisationIndex = OrganisationIndex(u32::MAX);
