//! The promise by size: each tenth of a kind's requests is served at least a part as often as its lane.
//!
//! An order by worth for cost alone leaves the largest requests of a kind for last, and under lasting overload the last
//! are never served. Here each tenth of each kind has an account. Each end adds the promised part of the share of requests
//! that its lane serves, and an answer takes one request away. A request that finds a whole one in its account is owed
//! service: one place in four goes to such requests before all others. What is not served stays owed to the next.

use super::{Moment, SizeTenth, TierRank};
use std::collections::HashMap;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Requests owed to one account at most.
const MOST_OWED: f64 = 2.0;
/// Requests beyond the promise that an account remembers at most.
const MOST_AHEAD: f64 = 2.0;
/// Ends over which a lane's share is a plain mean; after that a new end has the weight of one in so many.
const WARM_ENDS: f64 = 30.0;
/// Accounts kept at most; beyond, those that nobody used for [`IDLE_AFTER`] are dropped.
const MOST_ACCOUNTS: usize = 4_096;
const IDLE_AFTER: Duration = Duration::from_secs(60);

/// A kind of requests: those of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RouteKey(u64);

impl RouteKey {
    /// The kind of a route's requests.
    pub fn of(route: &str) -> Self {
        RouteKey(xxh3_64(route.as_bytes()))
    }

    /// A shorter number for messages: of 100 routes two have the same one in one table of 13.
    pub fn short(self) -> u32 {
        u32::from(self.0 as u16)
    }
}

/// Where a request counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizeClaim {
    /// Its lane: tier, and rank within it.
    pub lane: (TierRank, u8),
    /// Its kind.
    pub route: RouteKey,
    /// Its tenth by size; none if that is not known.
    pub tenth: Option<SizeTenth>,
    /// True if it is owed service.
    pub is_owed: bool,
}

/// The part of a lane's requests that is served.
#[derive(Clone, Copy, Debug)]
struct ServedShare {
    ends: f64,
    share: f64,
}

impl Default for ServedShare {
    fn default() -> Self {
        ServedShare { ends: 0.0, share: 1.0 }
    }
}

impl ServedShare {
    fn learn(&mut self, is_served: bool) {
        self.ends = (self.ends + 1.0).min(WARM_ENDS);
        self.share += (f64::from(u8::from(is_served)) - self.share) / self.ends;
    }
}

#[derive(Clone, Copy, Debug)]
struct SizeAccount {
    /// Requests that should have been served and were not, less those that were beyond the promise.
    owed: f64,
    used_at: Moment,
}

/// The accounts of one pool at one daemon.
#[derive(Clone, Debug, Default)]
pub struct SizeShares {
    lanes: HashMap<(TierRank, u8), ServedShare>,
    accounts: HashMap<(RouteKey, SizeTenth), SizeAccount>,
}

impl SizeShares {
    /// True if a request that arrives is owed service. `draw`, from 0.0..1.0, is where a new account begins: accounts of many
    /// daemons, each with few requests, would otherwise all owe their first to nobody.
    pub fn arrived(&mut self, claim: &SizeClaim, draw: f64, now: Moment) -> bool {
        let Some(tenth) = claim.tenth else { return false };
        let key = (claim.route, tenth);
        if self.accounts.len() >= MOST_ACCOUNTS && !self.accounts.contains_key(&key) {
            self.accounts.retain(|_, account| now.since(account.used_at) < IDLE_AFTER);
            if self.accounts.len() >= MOST_ACCOUNTS {
                return false;
            }
        }
        let account = self.accounts.entry(key).or_insert(SizeAccount { owed: draw, used_at: now });
        account.used_at = now;
        let is_owed = account.owed >= 1.0;
        account.owed -= f64::from(u8::from(is_owed));
        is_owed
    }

    /// Counts an end, with an answer or without, under the promise of `part`.
    pub fn ended(&mut self, claim: &SizeClaim, is_served: bool, part: f64) {
        let lane = self.lanes.entry(claim.lane).or_default();
        lane.learn(is_served);
        let promised = part * lane.share;
        let account = claim.tenth.and_then(|tenth| self.accounts.get_mut(&(claim.route, tenth)));
        let Some(account) = account else { return };
        let charged = f64::from(u8::from(claim.is_owed));
        let served = f64::from(u8::from(is_served));
        account.owed = (account.owed + charged + promised - served).clamp(-MOST_AHEAD, MOST_OWED);
    }
}
