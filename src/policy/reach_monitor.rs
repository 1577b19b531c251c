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
}

impl ReachMonitor {
    /// Records that an upstream answered on a connection.
    pub fn record_contact(&mut self) {
        self.unreached.clear();
        self.is_cut_off = false;
    }

    /// Records that an upstream could not be reached, or left a request unanswered; `listed` is the
    /// number of upstreams in the pool.
    pub fn record_failure(&mut self, upstream: UpstreamIndex, listed: usize, now: Moment) {
        self.unreached.retain(|_, at| now.since(*at) <= FAILURE_WINDOW);
        self.unreached.insert(upstream, now);
        self.is_cut_off |= self.unreached.len() >= UNREACHED_UPSTREAMS.min(listed.max(1));
    }

    /// True if the daemon probably reaches none of the pool's upstreams.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    /// True if more than one upstream failed and none has answered since, so that the failures may
    /// turn out to be this daemon's own.
    pub fn is_doubtful(&self) -> bool {
        self.is_cut_off || self.unreached.len() > 1
    }
}
