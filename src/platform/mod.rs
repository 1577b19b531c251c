//! The adapter to the users' platform: names, formats and calls, decoded once into types of our own words.
//! It translates and decides nothing.

mod document;
mod headers;
mod instances;
mod operators;
mod pages;

pub use document::DocumentReader;
pub use headers::HeaderDialect;
pub use instances::InstanceLister;
pub use operators::operators_router;
pub use pages::{InstancePage, NextPage, read_page};

use crate::traffic::PlatformInterface;
use std::sync::Arc;

/// The platform's manner of speaking.
pub fn manner() -> PlatformInterface {
    PlatformInterface { reader: Arc::new(DocumentReader), dialect: Arc::new(HeaderDialect) }
}
