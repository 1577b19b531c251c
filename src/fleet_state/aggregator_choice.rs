//! Selects the daemon of its group that a daemon reports to.

use crate::policy::Moment;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Silence after which an aggregator is considered failed: longer than the pauses of a loaded
/// machine, but well below the one second after which an uncounted burst would exceed limits.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for an aggregator that replaces a failed one. It is shorter because several candidates
/// in a row may be gone after the loss of half a fleet.
const REPLACEMENT_SILENCE_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum silence before an aggregator is considered failed, in message intervals.
const MIN_SILENCE_INTERVALS: u32 = 4;
/// A failed aggregator is tried again after this long, unless it is heard earlier.
const EXCLUSION_TIME: Duration = Duration::from_secs(3);

/// The selection of one daemon: the first address of its group that has not failed recently.
///
/// All members of a group try the same addresses in the same order, so they agree soon after a loss
/// without a vote. Until they agree, each daemon is counted only where it reports, so none is
/// counted twice.
#[derive(Clone, Debug, Default)]
pub struct AggregatorChoice {
    chosen: Option<SocketAddr>,
    /// When the current aggregator was selected or last heard.
    last_heard: Moment,
    excluded_until: BTreeMap<SocketAddr, Moment>,
    /// Aggregators that failed since one was last heard.
    consecutive_failures: u32,
}

impl AggregatorChoice {
    /// Returns the aggregator to report to now, which may be this daemon itself.
    pub fn choose(
        &mut self,
        candidates: &[SocketAddr],
        own: SocketAddr,
        send_interval: Duration,
        now: Moment,
    ) -> SocketAddr {
        self.excluded_until.retain(|_, until| *until > now);
        let timeout = if self.consecutive_failures == 0 {
            SILENCE_TIMEOUT
        } else {
            REPLACEMENT_SILENCE_TIMEOUT
        };
        let is_silent =
            now.since(self.last_heard) >= timeout.max(send_interval * MIN_SILENCE_INTERVALS);
        if let Some(chosen) = self.chosen.filter(|chosen| *chosen != own && is_silent) {
            self.exclude(chosen, now);
        }
        let is_eligible = |address: &&SocketAddr| !self.excluded_until.contains_key(address);
        let choice = candidates.iter().find(is_eligible).copied().unwrap_or(own);
        if self.chosen != Some(choice) {
            self.chosen = Some(choice);
            self.last_heard = now;
        }
        choice
    }

    /// Returns the current aggregator.
    pub fn chosen(&self) -> Option<SocketAddr> {
        self.chosen
    }

    /// Records a summary from an aggregator.
    pub fn record_summary(&mut self, from: SocketAddr, now: Moment) {
        self.excluded_until.remove(&from);
        if self.chosen == Some(from) {
            self.last_heard = now;
            self.consecutive_failures = 0;
        }
    }

    /// Excludes an aggregator for a while because it is silent or has announced that it is leaving.
    pub fn exclude(&mut self, address: SocketAddr, now: Moment) {
        self.excluded_until.insert(address, now + EXCLUSION_TIME);
        self.consecutive_failures += 1;
    }
}
