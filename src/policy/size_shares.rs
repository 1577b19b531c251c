//! Minimum service by request size: each size decile of a route is served at least a guaranteed
//! fraction as often as its lane (tier and rank).
//!
//! An order by value density alone leaves the largest requests of a route for last, and under
//! lasting overload the last are never served. Each decile of each route therefore has an account
//! of its service deficit. Every request that ends adds the guaranteed fraction of the lane's
//! served share, and one that was answered subtracts 1. A request that arrives at a deficit of at
//! least 1 is underserved: one dispatch in four goes to such requests before all others. If it
//! is not served, the deficit passes on to the next.

use super::{Moment, SizeDecile, TierRank};
use std::collections::HashMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Largest deficit of one account, in requests.
const MAX_DEFICIT: f64 = 2.0;
/// Largest surplus that an account remembers, in requests beyond the guarantee.
const MAX_SURPLUS: f64 = 2.0;
/// Number of ended requests over which a lane's share is a plain mean; after that it is an
/// exponential moving average with the reciprocal as weight.
const WARM_UP_COUNT: f64 = 30.0;
/// Maximum number of accounts; once reached, those unused for [`IDLE_AFTER`] are dropped.
const MAX_ACCOUNTS: usize = 4_096;
const IDLE_AFTER: Duration = Duration::from_secs(60);

/// Identifies a route by a hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RouteKey(u64);

impl RouteKey {
    /// The key of the route named `route`.
    pub fn of(route: &str) -> Self {
        RouteKey(xxh3_64(route.as_bytes()))
    }

    /// A shorter hash for messages. With 100 routes, one table in 13 has two that collide.
    pub fn short(self) -> u32 {
        u32::from(self.0 as u16)
    }
}

/// Identifies the accounts that a request counts towards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizeClaim {
    /// Its lane: tier and rank within the tier.
    pub lane: (TierRank, u8),
    /// Its route.
    pub route: RouteKey,
    /// Its decile by size, if known.
    pub decile: Option<SizeDecile>,
    /// True if it was marked as underserved on arrival.
    pub is_underserved: bool,
}

/// The fraction of a lane's requests that is served.
#[derive(Clone, Copy, Debug)]
struct ServedShare {
    end_count: f64,
    share: f64,
}

impl Default for ServedShare {
    fn default() -> Self {
        ServedShare { end_count: 0.0, share: 1.0 }
    }
}

impl ServedShare {
    fn learn(&mut self, is_served: bool) {
        self.end_count = (self.end_count + 1.0).min(WARM_UP_COUNT);
        self.share += (f64::from(u8::from(is_served)) - self.share) / self.end_count;
    }
}

#[derive(Clone, Copy, Debug)]
struct SizeAccount {
    /// Requests due under the guarantee but not served, less those served beyond it.
    deficit: f64,
    used_at: Moment,
}

/// The service accounts of one pool in one daemon.
#[derive(Clone, Debug, Default)]
pub struct SizeShares {
    lanes: HashMap<(TierRank, u8), ServedShare>,
    accounts: HashMap<(RouteKey, SizeDecile), SizeAccount>,
}

impl SizeShares {
    /// Charges an arriving request to its account; true if the request is underserved. `draw`, a
    /// random number from 0.0..1.0, is the initial deficit of a new account: otherwise the accounts
    /// of many daemons with few requests each would never reach a deficit of 1.
    pub fn record_arrival(&mut self, claim: &SizeClaim, draw: f64, now: Moment) -> bool {
        let Some(decile) = claim.decile else { return false };
        let key = (claim.route, decile);
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(&key) {
            self.accounts.retain(|_, account| now.since(account.used_at) < IDLE_AFTER);
            if self.accounts.len() >= MAX_ACCOUNTS {
                return false;
            }
        }
        let account =
            self.accounts.entry(key).or_insert(SizeAccount { deficit: draw, used_at: now });
        account.used_at = now;
        let is_underserved = account.deficit >= 1.0;
        account.deficit -= f64::from(u8::from(is_underserved));
        is_underserved
    }

    /// Counts a request that ended, answered or not, under a guarantee of the fraction `guarantee`.
    pub fn record_end(&mut self, claim: &SizeClaim, is_served: bool, guarantee: f64) {
        let lane = self.lanes.entry(claim.lane).or_default();
        lane.learn(is_served);
        let guaranteed = guarantee * lane.share;
        let account = claim.decile.and_then(|decile| self.accounts.get_mut(&(claim.route, decile)));
        let Some(account) = account else { return };
        let charged = f64::from(u8::from(claim.is_underserved));
        let served = f64::from(u8::from(is_served));
        account.deficit =
            (account.deficit + charged + guaranteed - served).clamp(-MAX_SURPLUS, MAX_DEFICIT);
    }
}
