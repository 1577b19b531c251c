//! Adapter to the users' platform: decodes its names, formats and calls into the types of this
//! crate. It translates only and makes no decisions.

mod contracts;
mod document;
mod headers;
mod instances;
mod operators;
mod pages;

pub use contracts::ContractFeatures;
pub use document::DocumentReader;
pub use headers::HeaderDialect;
pub use instances::InstanceLister;
pub use operators::operators_router;
pub use pages::{InstancePage, NextPage, read_page};

use crate::table::PrefixReuse;
use crate::traffic::PlatformInterface;
use std::sync::Arc;

/// Returns the document reader and header dialect of the platform, for a deployment with these
/// features.
pub fn interface(features: ContractFeatures, prefix_reuse: PrefixReuse) -> PlatformInterface {
    PlatformInterface {
        reader: Arc::new(DocumentReader::new(features, prefix_reuse)),
        dialect: Arc::new(HeaderDialect),
    }
}
