//! What a request demands of the upstream that serves it.

use super::{HomeRegions, UpstreamSource, VersionHash};
use crate::table::UpstreamName;

/// What a request demands of the upstream that serves it. It is checked when an upstream is chosen,
/// and again after a wait and before each send.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementDemand {
    /// Regions in which it may be served; `None` means anywhere.
    pub homes: Option<HomeRegions>,
    /// The version that began the stream that it resumes; `None` if it may run at any.
    pub version: Option<VersionHash>,
    /// An upstream that it would leave, and that must not serve it again.
    pub except: Option<UpstreamName>,
    /// True for a new stream that may be resumed. It begins only at a version that the voters know, so
    /// that every daemon can tell it from others.
    pub needs_announced: bool,
}

impl PlacementDemand {
    /// True if any upstream may serve the request.
    pub fn is_empty(&self) -> bool {
        self.homes.is_none()
            && self.version.is_none()
            && self.except.is_none()
            && !self.needs_announced
    }

    /// True if the upstream may serve the request. One whose region or version is unknown equals no
    /// other.
    pub fn allows(&self, source: &UpstreamSource) -> bool {
        let is_home = self.homes.as_ref().is_none_or(|homes| homes.allow(source.region.as_ref()));
        let has_version = self
            .version
            .is_none_or(|version| source.version.as_ref().map(VersionHash::of) == Some(version));
        let is_known = !(self.needs_announced && source.is_unannounced);
        is_home && has_version && is_known && self.except.as_ref() != Some(&source.name)
    }
}
