//! Which part of the fleet a daemon belongs to, and so which upstreams it uses first.

/// A group of daemons, by place in the order of addresses, so that those of one data centre mostly meet.
///
/// What goes wrong without groups: every daemon uses every upstream, so connections are hardly ever met again, and
/// each place that becomes free is asked for by the whole fleet. One would notice by new connections as many as
/// requests, and by calls for places that are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetGroup {
    /// Its number, from 0.
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
    /// The group of the one at `position` among `total` in order.
    pub fn of(position: usize, total: usize, count: usize) -> usize {
        position * count / total.max(1)
    }
}
