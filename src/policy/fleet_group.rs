//! Groups of daemons, which decide the upstreams that a daemon prefers.

/// A group of daemons. Daemons are grouped by their position in the order of addresses, so that
/// those of one data centre mostly share a group.
///
/// Without groups, every daemon uses every upstream: connections are hardly ever reused, and the
/// whole fleet competes for each slot that becomes free. The symptoms are as many new connections
/// as requests, and refused reservations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetGroup {
    /// Number of this group, from 0.
    pub index: usize,
    /// Number of groups.
    pub count: usize,
}

impl Default for FleetGroup {
    fn default() -> Self {
        FleetGroup { index: 0, count: 1 }
    }
}

impl FleetGroup {
    /// The group of the daemon at `position` of `total`, if they form `count` groups.
    pub fn index_of(position: usize, total: usize, count: usize) -> usize {
        position * count / total.max(1)
    }
}
