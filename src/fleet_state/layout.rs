//! Partition of the fleet into groups, and the interval between messages.

use crate::policy::FleetGroup;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// Largest fleet in which daemons report to each other without aggregators: 15 reports per 150 ms
/// cost each daemon less than the two additional hops through aggregators.
pub const MAX_MESH_SIZE: usize = 16;
/// Maximum rate at which one daemon of a mesh sends reports, over all receivers. A report costs
/// about 20 us at either end, so this is 0.4 % of a core.
const MAX_MESH_SENDS_PER_SECOND: f64 = 100.0;
/// Maximum rate at which an aggregator sends messages. With as many received, this takes 2 % of a
/// core on one daemon of each group. The interval becomes 68 ms for 291 daemons and 126 ms for
/// 1,000.
const MAX_AGGREGATOR_SENDS_PER_SECOND: f64 = 500.0;
/// Minimum interval between two reports in a mesh. Changes in between are batched into one report.
const MIN_MESH_INTERVAL: Duration = Duration::from_millis(40);
/// Minimum interval in a fleet with aggregators, where a change takes three hops to reach all
/// members.
const MIN_GROUP_INTERVAL: Duration = Duration::from_millis(50);

/// The daemons that serve callers, sorted by address and partitioned into groups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetLayout {
    addresses: Vec<SocketAddr>,
    group_count: usize,
}

impl FleetLayout {
    /// Builds a layout. Daemons that know the same addresses compute the same layout.
    pub fn new(mut addresses: Vec<SocketAddr>) -> Self {
        addresses.sort_unstable();
        addresses.dedup();
        let group_count = match addresses.len() {
            0..=MAX_MESH_SIZE => 1,
            total => (total as f64).sqrt().round() as usize,
        };
        FleetLayout { addresses, group_count }
    }

    /// Returns all addresses in ascending order.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    pub fn group_count(&self) -> usize {
        self.group_count.max(1)
    }

    /// Returns true if the fleet uses no aggregators.
    pub fn is_mesh(&self) -> bool {
        self.group_count() == 1
    }

    /// Returns the group of the daemon at `address`.
    pub fn group_of(&self, address: SocketAddr) -> FleetGroup {
        let position = self.addresses.binary_search(&address).unwrap_or(0);
        let index = FleetGroup::index_of(position, self.addresses.len(), self.group_count());
        FleetGroup { index, count: self.group_count() }
    }

    /// Returns the daemons of a group in ascending order of address.
    pub fn members(&self, group: usize) -> &[SocketAddr] {
        let total = self.addresses.len();
        let start = |group: usize| (group * total).div_ceil(self.group_count()).min(total);
        let range: Range<usize> = start(group)..start(group + 1);
        &self.addresses[range]
    }

    /// Returns the interval between two messages from one daemon to another.
    pub fn send_interval(&self) -> Duration {
        let total = self.addresses.len();
        if self.is_mesh() {
            let others = total.saturating_sub(1) as f64;
            return Duration::from_secs_f64(others / MAX_MESH_SENDS_PER_SECOND)
                .max(MIN_MESH_INTERVAL);
        }
        let sends = (total.div_ceil(self.group_count()) + self.group_count()) as f64;
        Duration::from_secs_f64(sends / MAX_AGGREGATOR_SENDS_PER_SECOND).max(MIN_GROUP_INTERVAL)
    }
}
