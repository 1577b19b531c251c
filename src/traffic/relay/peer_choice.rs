//! Chooses the peer that a request is passed on through.

use crate::policy::Moment;
use rand::Rng;
use rand::seq::IndexedRandom;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A peer that could not take a request is not asked again for this long.
const AVOID_TIME: Duration = Duration::from_millis(1_000);

/// Peers that recently could not take a request.
#[derive(Clone, Debug, Default)]
pub struct PeerChoice {
    avoided: HashMap<SocketAddr, Moment>,
}

impl PeerChoice {
    /// Chooses among the peers at random, so that the requests of a daemon that is cut off spread over
    /// the fleet. Those that were `tried` for this request, or recently could not take one, are left
    /// out: if no daemon reaches the upstreams, few requests are passed on in vain.
    pub fn choose(
        &mut self,
        peers: &[SocketAddr],
        tried: &[SocketAddr],
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        self.avoided.retain(|_, until| *until > now);
        let is_able =
            |peer: &&SocketAddr| !tried.contains(peer) && !self.avoided.contains_key(peer);
        let able: Vec<SocketAddr> = peers.iter().filter(is_able).copied().collect();
        able.choose(rng).copied()
    }

    /// Records that a peer could not take a request.
    pub fn avoid(&mut self, peer: SocketAddr, now: Moment) {
        self.avoided.insert(peer, now + AVOID_TIME);
    }
}
