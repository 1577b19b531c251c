//! Pools that no service or version in force uses any more, kept while requests use them.

use crate::policy::Moment;
use crate::table::ServiceName;
use crate::traffic::pool_runtime::PoolRuntime;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time for which a pool is kept in any case, since a request that was admitted under the table
/// before may not have reached it yet.
const MIN_KEEP_TIME: Duration = Duration::from_secs(1);

/// Pools by their names.
pub type PoolMap = HashMap<ServiceName, Arc<PoolRuntime>>;

struct OutgoingPool {
    pool: Arc<PoolRuntime>,
    since: Moment,
}

/// Pools that left the table in force. Each takes part in ticks, lists and reports to peers until
/// no request holds it, and returns with its places taken if its service does.
#[derive(Default)]
pub struct OutgoingPools(Mutex<HashMap<ServiceName, OutgoingPool>>);

impl OutgoingPools {
    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, OutgoingPool>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks up a pool.
    pub fn get(&self, name: &ServiceName) -> Option<Arc<PoolRuntime>> {
        self.lock().get(name).map(|outgoing| Arc::clone(&outgoing.pool))
    }

    /// Adds the pools of `old` that are not in `new`.
    pub fn add_missing(&self, old: &PoolMap, new: &PoolMap, now: Moment) {
        let mut known = self.lock();
        for (name, pool) in old.iter().filter(|(name, _)| !new.contains_key(*name)) {
            let pool = Arc::clone(pool);
            known.insert(name.clone(), OutgoingPool { pool, since: now });
        }
    }

    /// Removes the pools that are in use again.
    pub fn remove_returned(&self, pools: &PoolMap) {
        self.lock().retain(|name, _| !pools.contains_key(name));
    }

    /// Removes the pools that no request holds.
    pub fn release_idle(&self, now: Moment) {
        self.lock().retain(|_, outgoing| {
            // All other references are taken from this map, whose lock is held.
            let is_held = Arc::strong_count(&outgoing.pool) > 1;
            is_held || now.since(outgoing.since) < MIN_KEEP_TIME
        });
    }

    /// Returns `pools` together with the outgoing ones.
    pub fn joined_with(&self, pools: Arc<PoolMap>) -> Arc<PoolMap> {
        let known = self.lock();
        if known.is_empty() {
            return pools;
        }
        let outgoing = known.iter().map(|(name, it)| (name.clone(), Arc::clone(&it.pool)));
        let mut joined: PoolMap = outgoing.collect();
        joined.extend(pools.iter().map(|(name, pool)| (name.clone(), Arc::clone(pool))));
        Arc::new(joined)
    }
}
