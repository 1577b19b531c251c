//! Which daemon of its group a daemon reports to.

use crate::policy::Moment;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// An aggregator that has not been heard for this long is given up: longer than the pauses of a loaded machine, short
/// beside the second after which limits would be exceeded by a burst that nobody counts.
const GIVEN_UP_AFTER: Duration = Duration::from_millis(400);
/// The same for the one that takes its place: after the loss of half a fleet several in a row are gone.
const NEXT_GIVEN_UP_AFTER: Duration = Duration::from_millis(250);
/// Pauses between messages that a silence is longer than.
const GIVEN_UP_PAUSES: u32 = 4;
/// One that was given up is tried again after this long, unless it is heard before.
const GIVEN_UP_FOR: Duration = Duration::from_secs(3);

/// The choice of one daemon: the first of its group's addresses that has not been given up.
///
/// All members of a group try the same addresses in the same order, so they agree soon after a loss without a vote. While
/// they do not, each is counted where it reports, so nobody is counted twice.
#[derive(Clone, Debug, Default)]
pub struct AggregatorChoice {
    chosen: Option<SocketAddr>,
    /// When the present one was chosen, or heard last.
    heard: Moment,
    given_up: BTreeMap<SocketAddr, Moment>,
    /// Aggregators given up since one was heard last.
    in_row: u32,
}

impl AggregatorChoice {
    /// The aggregator to report to now, which may be this daemon itself.
    pub fn choose(
        &mut self,
        candidates: &[SocketAddr],
        own: SocketAddr,
        pause: Duration,
        now: Moment,
    ) -> SocketAddr {
        self.given_up.retain(|_, until| *until > now);
        let patience = if self.in_row == 0 { GIVEN_UP_AFTER } else { NEXT_GIVEN_UP_AFTER };
        let is_silent = now.since(self.heard) >= patience.max(pause * GIVEN_UP_PAUSES);
        if let Some(chosen) = self.chosen.filter(|chosen| *chosen != own && is_silent) {
            self.give_up(chosen, now);
        }
        let is_sound = |address: &&SocketAddr| !self.given_up.contains_key(address);
        let choice = candidates.iter().find(is_sound).copied().unwrap_or(own);
        if self.chosen != Some(choice) {
            self.chosen = Some(choice);
            self.heard = now;
        }
        choice
    }

    /// The present choice.
    pub fn chosen(&self) -> Option<SocketAddr> {
        self.chosen
    }

    /// A summary came from an aggregator.
    pub fn hear(&mut self, from: SocketAddr, now: Moment) {
        self.given_up.remove(&from);
        if self.chosen == Some(from) {
            self.heard = now;
            self.in_row = 0;
        }
    }

    /// Passes an aggregator over for a while: it is silent, or says that it leaves.
    pub fn give_up(&mut self, address: SocketAddr, now: Moment) {
        self.given_up.insert(address, now + GIVEN_UP_FOR);
        self.in_row += 1;
    }
}
