//! What the other daemons have sent where, as they tell; pure.
//!
//! What goes wrong without it: each daemon sees only its own requests at an engine and reports that are seconds
//! old, so several choose the same engine at once; and each applies an organisation's whole limit by itself. One
//! would notice by engines with long queues beside idle ones, and by limits exceeded as often as there are daemons.

use super::{Moment, OthersWork};
use crate::table::{DaemonName, OrganisationName, ServiceName, UpstreamName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A neighbour's work counts for this long after its last notice: it may have died, and its requests with it.
const WORK_LIFE: Duration = Duration::from_millis(1_000);
/// A neighbour unheard for this long is taken to go on as before with the organisations' limits: it may be cut off
/// from us and still serve callers.
const SILENT_AFTER: Duration = Duration::from_millis(600);
/// A silent neighbour is forgotten after this long, if the leader does not name it any more.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);
/// The leader's list counts as fresh for this long.
const NAMES_LIFE: Duration = Duration::from_secs(2);
/// Time over which a neighbour's rate is averaged.
const RATE_TIME: Duration = Duration::from_secs(2);

/// What a daemon tells the others, each time anew and whole, so that a lost notice does no harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkNotice {
    /// The daemon.
    pub daemon: DaemonName,
    /// Its boot number.
    pub boot: u64,
    /// Rises with each notice.
    pub sequence: u64,
    /// Where notices to it go.
    pub address: SocketAddr,
    /// Its requests at upstreams, by pool; upstreams without any are left out.
    pub pools: Vec<PoolNotice>,
    /// Tokens that it has let through since its boot, by organisation.
    pub taken: Vec<(OrganisationName, i64)>,
}

/// A daemon's requests at the upstreams of one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolNotice {
    /// The pool.
    pub service: ServiceName,
    /// Work by upstream.
    pub upstreams: Vec<(UpstreamName, OthersWork)>,
}

#[derive(Clone, Debug)]
struct NeighbourState {
    notice: WorkNotice,
    heard: Moment,
    /// Until when its silence has been reckoned with.
    reckoned: Moment,
    /// Tokens a second, by organisation.
    rates: BTreeMap<OrganisationName, f64>,
}

/// The other daemons as one daemon knows them.
#[derive(Clone, Debug, Default)]
pub struct NeighbourBook {
    named: Vec<SocketAddr>,
    /// When the leader named them.
    named_at: Option<Moment>,
    known: BTreeMap<DaemonName, NeighbourState>,
}

impl NeighbourBook {
    /// Takes the leader's list of daemons that serve callers.
    pub fn set_named(&mut self, named: Vec<SocketAddr>, now: Moment) {
        self.named = named;
        self.named_at = Some(now);
    }

    /// Where notices go: to those whom the leader names, and to those who were heard lately.
    pub fn addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let heard = self.known.values().filter(|state| now.since(state.heard) < FORGOTTEN_AFTER);
        let mut addresses: Vec<SocketAddr> =
            heard.map(|state| state.notice.address).chain(self.named.iter().copied()).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Takes a notice. Returns the tokens that its daemon has let through since its last one.
    pub fn take(&mut self, notice: WorkNotice, now: Moment) -> Vec<(OrganisationName, i64)> {
        let Some(state) = self.known.get_mut(&notice.daemon) else {
            let daemon = notice.daemon.clone();
            let rates = BTreeMap::new();
            self.known.insert(daemon, NeighbourState { notice, heard: now, reckoned: now, rates });
            return Vec::new();
        };
        if state.notice.boot == notice.boot && state.notice.sequence >= notice.sequence {
            return Vec::new();
        }
        let is_new_boot = state.notice.boot != notice.boot;
        let mut taken = Vec::new();
        let elapsed = now.since(state.heard);
        for (organisation, total) in &notice.taken {
            let before = state.notice.taken.iter().find(|(name, _)| name == organisation);
            let before = before.filter(|_| !is_new_boot).map_or(0, |(_, total)| *total);
            let delta = total - before;
            state.learn_rate(organisation, delta, elapsed);
            taken.push((organisation.clone(), delta));
        }
        // What was reckoned during its silence is not charged twice.
        let silent = state.reckoned.since(state.heard).as_secs_f64();
        if silent > SILENT_AFTER.as_secs_f64() {
            for (organisation, delta) in &mut taken {
                let rate = state.rates.get(organisation).copied().unwrap_or(0.0);
                *delta -= ((rate * silent) as i64).min(*delta).max(0);
            }
        }
        state.notice = notice;
        state.heard = now;
        state.reckoned = now;
        taken
    }

    /// The tokens that silent neighbours have probably let through since this was asked last.
    pub fn reckon_silent(&mut self, now: Moment) -> Vec<(OrganisationName, i64)> {
        let named = &self.named;
        let is_fresh = self.named_at.is_some_and(|at| now.since(at) < NAMES_LIFE);
        self.known.retain(|_, state| {
            let silent = now.since(state.heard);
            // While the leader is heard, one that it does not name any more serves nobody.
            let limit = if is_fresh { SILENT_AFTER } else { FORGOTTEN_AFTER };
            named.contains(&state.notice.address) || silent < limit
        });
        let silent = self.known.values_mut().filter(|state| now.since(state.heard) >= SILENT_AFTER);
        let mut taken = Vec::new();
        for state in silent {
            let seconds = now.since(state.reckoned).as_secs_f64();
            state.reckoned = now;
            let rates = state.rates.iter();
            taken.extend(rates.map(|(name, rate)| (name.clone(), (rate * seconds) as i64)));
        }
        taken
    }

    /// The work of all neighbours together at each upstream of a pool.
    pub fn others(&self, service: &ServiceName, now: Moment) -> BTreeMap<UpstreamName, OthersWork> {
        let mut sums: BTreeMap<UpstreamName, OthersWork> = BTreeMap::new();
        let fresh = self.known.values().filter(|state| now.since(state.heard) < WORK_LIFE);
        let pools = fresh.flat_map(|state| &state.notice.pools);
        let rows = pools.filter(|pool| pool.service == *service).flat_map(|pool| &pool.upstreams);
        for (upstream, work) in rows {
            let sum = sums.entry(upstream.clone()).or_default();
            sum.requests += work.requests;
            sum.unread_tokens += work.unread_tokens;
        }
        sums
    }

    /// Neighbours heard lately.
    pub fn heard_count(&self, now: Moment) -> usize {
        self.known.values().filter(|state| now.since(state.heard) < WORK_LIFE).count()
    }
}

impl NeighbourState {
    fn learn_rate(&mut self, organisation: &OrganisationName, delta: i64, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().max(0.001);
        let weight = (seconds / RATE_TIME.as_secs_f64()).min(1.0);
        let rate = self.rates.entry(organisation.clone()).or_default();
        *rate += (delta.max(0) as f64 / seconds - *rate) * weight;
    }
}
