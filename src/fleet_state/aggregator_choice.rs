//! Selects the daemon of its group that a daemon reports to.

use crate::policy::Moment;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Silence after which an aggregator is considered failed: longer than the pauses of a loaded
/// machine, but well below the one second after which an uncounted burst would exceed limits.
const GIVEN_UP_AFTER: Duration = Duration::from_millis(400);
/// Timeout for an aggregator that replaces a failed one. It is shorter because several candidates
/// in a row may be gone after the loss of half a fleet.
const NEXT_GIVEN_UP_AFTER: Duration = Duration::from_millis(250);
/// Minimum silence before an aggregator is considered failed, in message intervals.
const GIVEN_UP_PAUSES: u32 = 4;
/// A failed aggregator is tried again after this long, unless it is heard earlier.
const GIVEN_UP_FOR: Duration = Duration::from_secs(3);

/// Selects the first address of the group that has not failed recently.
///
/// All members of a group try the same addresses in the same order, so they agree soon after a loss
/// without a vote. Until they agree, each daemon is counted only where it reports, so none is
/// counted twice.
#[derive(Clone, Debug, Default)]
pub struct AggregatorChoice {
    chosen: Option<SocketAddr>,
    /// When the current aggregator was selected or last heard.
    last_heard: Moment,
    given_up: BTreeMap<SocketAddr, Moment>,
    /// Aggregators that failed since one was last heard.
    in_row: u32,
}

impl AggregatorChoice {
    /// Returns the aggregator to report to now, which may be this daemon itself.
    pub fn choose(
        &mut self,
        candidates: &[SocketAddr],
        own: SocketAddr,
        pause: Duration,
        now: Moment,
    ) -> SocketAddr {
        self.given_up.retain(|_, until| *until > now);
        let patience = if self.in_row == 0 { GIVEN_UP_AFTER } else { NEXT_GIVEN_UP_AFTER };
        let is_silent = now.since(self.last_heard) >= patience.max(pause * GIVEN_UP_PAUSES);
        if let Some(chosen) = self.chosen.filter(|chosen| *chosen != own && is_silent) {
            self.give_up(chosen, now);
        }
        let is_sound = |address: &&SocketAddr| !self.given_up.contains_key(address);
        let choice = candidates.iter().find(is_sound).copied().unwrap_or(own);
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
        self.given_up.remove(&from);
        if self.chosen == Some(from) {
            self.last_heard = now;
            self.in_row = 0;
        }
    }

    /// Excludes an aggregator for a while because it is silent or has announced that it is leaving.
    pub fn give_up(&mut self, address: SocketAddr, now: Moment) {
        self.given_up.insert(address, now + GIVEN_UP_FOR);
        self.in_row += 1;
    }
}
