//! Assigns upstreams to daemons, which own them while they are cold or state a rate.

use super::{RateShare, RateStatement, owner_count};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Points per daemon on the ring of owners, so that the daemons own about equally many upstreams.
const POINTS_PER_DAEMON: u64 = 8;

/// Assigns each upstream to one daemon by consistent hashing (Karger et al., 1997), so that few
/// owners change when a daemon comes or goes. Daemons that know the same addresses agree.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OwnerRing {
    points: Vec<(u64, SocketAddr)>,
    own: Option<SocketAddr>,
}

impl OwnerRing {
    /// Creates the ring of `daemons` as seen by the one at `own`.
    pub fn new(daemons: &[SocketAddr], own: SocketAddr) -> Self {
        let points_of = |daemon: &SocketAddr| {
            let (daemon, text) = (*daemon, daemon.to_string());
            (0..POINTS_PER_DAEMON)
                .map(move |point| (xxh3_64_with_seed(text.as_bytes(), point), daemon))
        };
        let mut points: Vec<(u64, SocketAddr)> = daemons.iter().flat_map(points_of).collect();
        points.sort_unstable();
        OwnerRing { points, own: Some(own) }
    }

    /// Returns true if no daemon is known.
    pub fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// This daemon's part in the requests to an upstream that states `rate`. `salt` changes its place
    /// among the daemons that are no owners.
    pub fn rate_share(&self, upstream: SocketAddr, rate: RateStatement, salt: u64) -> RateShare {
        let daemons = self.points.len() / POINTS_PER_DAEMON as usize;
        let owners = owner_count(rate).min(daemons).max(1);
        let text = format!("{:?} {upstream}", self.own);
        let place = xxh3_64_with_seed(text.as_bytes(), salt) as f64 / u64::MAX as f64;
        let is_owner = owners == daemons || self.is_among_owners(upstream, owners);
        RateShare { is_owner, owners, daemons, place }
    }

    /// Returns true if this daemon owns the upstream at an address. On an empty ring it owns none: a
    /// daemon that does not know the others cannot tell which of them do.
    pub fn is_owner(&self, upstream: SocketAddr) -> bool {
        self.is_among_owners(upstream, 1)
    }

    /// Returns true if this daemon is one of the `count` daemons that follow the upstream's place on
    /// the ring.
    fn is_among_owners(&self, upstream: SocketAddr, count: usize) -> bool {
        let place = xxh3_64_with_seed(upstream.to_string().as_bytes(), POINTS_PER_DAEMON);
        let next = self.points.partition_point(|(point, _)| *point < place);
        let (before, after) = self.points.split_at(next);
        let mut owners = BTreeSet::new();
        let mut first =
            after.iter().chain(before).map(|(_, daemon)| *daemon).take_while(|daemon| {
                owners.insert(*daemon);
                owners.len() <= count
            });
        first.any(|daemon| Some(daemon) == self.own)
    }
}
