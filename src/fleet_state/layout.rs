//! How the fleet is cut into groups, and how often their members speak.

use crate::policy::FleetGroup;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// Daemons up to this number report to each other without aggregators: 15 reports in 150 ms cost each of them less
/// than the two further steps that sums would take.
pub const MESH_SIZE: usize = 16;
/// Reports that one daemon of a small fleet sends in a second at most, to all others together. A report costs near
/// 20 us at either end (measured), so this is 0.4 % of a core.
const MESH_SENDS_A_SECOND: f64 = 100.0;
/// Messages that an aggregator sends in a second at most. With as many received that is 2 % of a core, on one daemon
/// of each group; 291 daemons then speak each 68 ms and 1,000 each 126 ms.
const AGGREGATOR_SENDS_A_SECOND: f64 = 500.0;
/// Least time between two reports of a small fleet: what was sent meanwhile goes into one report.
const LEAST_MESH_PAUSE: Duration = Duration::from_millis(40);
/// The same where there are aggregators, which each member hears of three steps later.
const LEAST_GROUP_PAUSE: Duration = Duration::from_millis(50);

/// The daemons that serve callers, in order of their addresses, cut into groups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetLayout {
    addresses: Vec<SocketAddr>,
    groups: usize,
}

impl FleetLayout {
    /// The layout of a fleet; daemons that know the same addresses agree on it.
    pub fn new(mut addresses: Vec<SocketAddr>) -> Self {
        addresses.sort_unstable();
        addresses.dedup();
        let groups = match addresses.len() {
            0..=MESH_SIZE => 1,
            total => (total as f64).sqrt().round() as usize,
        };
        FleetLayout { addresses, groups }
    }

    /// All addresses, in order.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Number of groups.
    pub fn groups(&self) -> usize {
        self.groups.max(1)
    }

    /// True if the fleet needs no aggregators.
    pub fn is_mesh(&self) -> bool {
        self.groups() == 1
    }

    /// The group of the daemon at `address`.
    pub fn group_of(&self, address: SocketAddr) -> FleetGroup {
        let position = self.addresses.binary_search(&address).unwrap_or(0);
        let index = FleetGroup::index_of(position, self.addresses.len(), self.groups());
        FleetGroup { index, count: self.groups() }
    }

    /// The daemons of a group, in order of their addresses.
    pub fn members(&self, group: usize) -> &[SocketAddr] {
        let total = self.addresses.len();
        let start = |group: usize| (group * total).div_ceil(self.groups()).min(total);
        let range: Range<usize> = start(group)..start(group + 1);
        &self.addresses[range]
    }

    /// Time between two messages of one daemon to another.
    pub fn pause(&self) -> Duration {
        let total = self.addresses.len();
        if self.is_mesh() {
            let others = total.saturating_sub(1) as f64;
            return Duration::from_secs_f64(others / MESH_SENDS_A_SECOND).max(LEAST_MESH_PAUSE);
        }
        let sends = (total.div_ceil(self.groups()) + self.groups()) as f64;
        Duration::from_secs_f64(sends / AGGREGATOR_SENDS_A_SECOND).max(LEAST_GROUP_PAUSE)
    }
}
