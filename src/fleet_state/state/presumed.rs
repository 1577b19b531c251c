//! The daemons that a voter's log names before a leader has named those that serve callers.
//!
//! They are used to find aggregators and the first reader of the platform's list. Limits and the
//! ownership of upstreams do not rely on them, since some of them may be gone.

use super::FleetState;
use crate::policy::Moment;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of daemons that read the list one after the other while none of those before them is
/// heard. More are not needed: the others read it themselves soon after.
pub const FIRST_READERS: u32 = 6;

/// Daemons that presumably serve callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PresumedDaemons {
    pub addresses: Vec<SocketAddr>,
    /// When this daemon first heard of any.
    pub since: Moment,
}

impl FleetState {
    /// Sets the daemons that a voter's log names. They are used until the leader names the daemons
    /// that serve callers.
    pub fn presume_daemons(&mut self, addresses: Vec<SocketAddr>, now: Moment) {
        if self.has_serving_list() || addresses.is_empty() {
            return;
        }
        let since = self.presumed.as_ref().map_or(now, |known| known.since);
        self.presumed = Some(PresumedDaemons { addresses, since });
        self.refresh_layout(now);
    }

    /// Returns true if this daemon should read the platform's list although no leader has named the
    /// daemons. The daemon with the lowest address reads it at once; the first aggregators after it
    /// follow at intervals of `turn` while they hear none of those before them.
    pub fn is_first_reader(&self, turn: Duration, has_list: bool, now: Moment) -> bool {
        let Some(presumed) = &self.presumed else { return false };
        let own = self.identity.address;
        let is_lowest = self.layout.addresses().first() == Some(&own);
        if is_lowest && !has_list {
            return true;
        }
        if !self.is_list_reader(now) {
            return false;
        }
        let position = match self.layout.is_mesh() {
            true => self.layout.addresses().binary_search(&own).unwrap_or(0),
            false => self.layout.group_of(own).index,
        };
        let rank = if is_lowest { 0 } else { position.max(1) } as u32;
        rank < FIRST_READERS && now.since(presumed.since) >= turn * rank
    }
}
