//! Regions in which a request may be served.

use crate::table::RegionName;
use std::collections::BTreeSet;
use std::sync::Arc;

/// The regions that a route and an organisation allow for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeRegions(Arc<BTreeSet<RegionName>>);

/// Error: no region is allowed by both a route and an organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoCommonRegion;

impl HomeRegions {
    /// Combines the regions of a route with those of an organisation; both bind. `None` if neither
    /// restricts the request.
    pub fn of(
        route: Option<&[RegionName]>,
        organisation: Option<&[RegionName]>,
    ) -> Result<Option<Self>, NoCommonRegion> {
        let allowed: BTreeSet<RegionName> = match (route, organisation) {
            (None, None) => return Ok(None),
            (Some(one), None) | (None, Some(one)) => one.iter().cloned().collect(),
            (Some(route), Some(organisation)) => {
                route.iter().filter(|region| organisation.contains(region)).cloned().collect()
            }
        };
        if allowed.is_empty() {
            return Err(NoCommonRegion);
        }
        Ok(Some(HomeRegions(Arc::new(allowed))))
    }

    /// Returns true if an upstream in `region` may serve the request. One whose region is unknown
    /// may not.
    pub fn allow(&self, region: Option<&RegionName>) -> bool {
        region.is_some_and(|region| self.0.contains(region))
    }
}
