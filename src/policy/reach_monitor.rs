//! Tells a daemon that is cut off from all upstreams of a pool from upstreams that fail one by one.

use super::{Moment, UpstreamIndex};
use std::collections::BTreeMap;
use std::time::Duration;

/// A daemon counts as cut off once this many upstreams in a row, or all if there are fewer, could not
/// be reached.
const UNREACHED_UPSTREAMS: usize = 3;
/// Failures older than this are no longer counted.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);

/// The reach of one daemon to the upstreams of one pool.
#[derive(Debug, Default)]
pub struct ReachMonitor {
    /// Upstreams that could not be reached since the last contact with any of them, and when.
    unreached: BTreeMap<UpstreamIndex, Moment>,
    is_cut_off: bool,
    /// Number of contacts so far.
    contacts: u64,
    /// True if the fleet has other daemons that may reach the upstreams.
    has_peers: bool,
}

impl ReachMonitor {
    /// Records that an upstream answered on a connection.
    pub fn record_contact(&mut self) {
        self.unreached.clear();
        self.is_cut_off = false;
        self.contacts += 1;
    }

    /// Records that no connection to an upstream could be opened; `listed` is the number of upstreams
    /// in the pool.
    pub fn record_unreachable(&mut self, upstream: UpstreamIndex, listed: usize, now: Moment) {
        self.record_failure(upstream, UNREACHED_UPSTREAMS.min(listed.max(1)), now);
    }

    /// Records that an upstream left a request unanswered; `is_last` tells whether none of the others
    /// can be reached. Otherwise it may just be slow.
    pub fn record_unanswered(&mut self, upstream: UpstreamIndex, is_last: bool, now: Moment) {
        let required = if is_last { 1 } else { UNREACHED_UPSTREAMS };
        self.record_failure(upstream, required, now);
    }

    fn record_failure(&mut self, upstream: UpstreamIndex, required: usize, now: Moment) {
        self.unreached.retain(|_, at| now.since(*at) <= FAILURE_WINDOW);
        self.unreached.insert(upstream, now);
        self.is_cut_off |= self.unreached.len() >= required;
    }

    /// Number of contacts so far.
    pub fn contacts(&self) -> u64 {
        self.contacts
    }

    /// Sets whether the fleet has other daemons, through which requests can be sent. Without them the
    /// daemon never counts as cut off, and goes on trying the upstreams one by one.
    pub fn set_has_peers(&mut self, has_peers: bool) {
        self.has_peers = has_peers;
    }

    /// True if the fleet has other daemons.
    pub fn has_peers(&self) -> bool {
        self.has_peers
    }

    /// True if the daemon probably reaches none of the pool's upstreams, and peers may.
    pub fn is_cut_off(&self) -> bool {
        self.has_peers && self.is_cut_off
    }

    /// True if more than one upstream failed and none has answered since, so that the failures may
    /// turn out to be this daemon's own.
    pub fn is_doubtful(&self) -> bool {
        self.has_peers && (self.is_cut_off || self.unreached.len() > 1)
    }
}
