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

/// Least time between two notices of one daemon: what was sent meanwhile is told together.
const LEAST_PAUSE: Duration = Duration::from_millis(40);
/// Notices that one daemon sends in a second at most, to all others together: the cost of a notice is near
/// 20 us at either end, and 100 of them are 0.2 % of a core.
const MOST_A_SECOND: f64 = 100.0;
/// A neighbour's work counts for this long after its last notice, or for some pauses between notices where those
/// are longer: it may have died, and its requests with it.
const WORK_LIFE: Duration = Duration::from_millis(1_000);
/// A neighbour unheard for this long, or for some pauses, is taken to go on as before with the organisations'
/// limits: it may be cut off from us and still serve callers.
const SILENT_AFTER: Duration = Duration::from_millis(600);
/// Pauses between notices that a silence is longer than.
const SILENT_PAUSES: u32 = 3;
/// What was reckoned for a silent neighbour beyond what it turns out to have let through is given back, up to this
/// many seconds' worth: after a longer silence the bucket has been refilled meanwhile.
const REFUND_SECONDS: f64 = 2.0;
/// A silent neighbour is forgotten after this long, though the leader may have done so before: a daemon that is cut
/// off from the voters goes on serving, and looks the same as a dead one. Above the cuts that are usual.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);
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
    /// Milliseconds until each organisation's bucket is full again, as it reckons.
    pub refills: Vec<(OrganisationName, u32)>,
    /// True once it has drained and lets nothing through any more.
    pub is_leaving: bool,
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
    /// Tokens reckoned since its last notice, by organisation.
    assumed: BTreeMap<OrganisationName, AssumedTokens>,
    /// Its part of all that was let through when it was last heard, by organisation. Worked out later it would be too
    /// small: this daemon takes more as soon as the other's charges stay away.
    parts: BTreeMap<OrganisationName, f64>,
    flow: TokenFlow,
}

/// Tokens reckoned for a silent neighbour.
#[derive(Clone, Copy, Debug, Default)]
struct AssumedTokens {
    /// All of them.
    sum: f64,
    /// Those that may be given back.
    refundable: f64,
}

/// Tokens a second that a daemon lets through, by organisation.
#[derive(Clone, Debug, Default)]
struct TokenFlow {
    rates: BTreeMap<OrganisationName, f64>,
}

impl TokenFlow {
    fn learn(&mut self, organisation: &OrganisationName, delta: i64, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().max(0.001);
        let weight = (seconds / RATE_TIME.as_secs_f64()).min(1.0);
        let rate = self.rates.entry(organisation.clone()).or_default();
        *rate += (delta.max(0) as f64 / seconds - *rate) * weight;
    }

    fn rate(&self, organisation: &OrganisationName) -> f64 {
        self.rates.get(organisation).copied().unwrap_or(0.0)
    }
}

/// This daemon's own totals, as of when they were looked at last.
#[derive(Clone, Debug, Default)]
struct OwnFlow {
    totals: BTreeMap<OrganisationName, i64>,
    at: Option<Moment>,
    flow: TokenFlow,
}

/// The other daemons as one daemon knows them.
#[derive(Clone, Debug, Default)]
pub struct NeighbourBook {
    named: Vec<SocketAddr>,
    known: BTreeMap<DaemonName, NeighbourState>,
    own: OwnFlow,
}

impl NeighbourBook {
    /// Takes the leader's list of daemons that serve callers.
    pub fn set_named(&mut self, named: Vec<SocketAddr>) {
        self.named = named;
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

    /// Takes a notice. Returns the tokens that its daemon has let through since its last one, less what was
    /// reckoned while it was silent.
    pub fn take(&mut self, notice: WorkNotice, now: Moment) -> Vec<(OrganisationName, i64)> {
        let Some(state) = self.known.get_mut(&notice.daemon) else {
            if notice.is_leaving {
                return Vec::new();
            }
            let daemon = notice.daemon.clone();
            let assumed = BTreeMap::new();
            let flow = TokenFlow::default();
            let parts = BTreeMap::new();
            let state = NeighbourState { notice, heard: now, reckoned: now, assumed, parts, flow };
            self.known.insert(daemon, state);
            return Vec::new();
        };
        let is_new_boot = state.notice.boot != notice.boot;
        if !is_new_boot && state.notice.sequence >= notice.sequence {
            return Vec::new();
        }
        let mut taken = Vec::new();
        let elapsed = now.since(state.heard);
        for (organisation, total) in &notice.taken {
            let before = state.notice.taken.iter().find(|(name, _)| name == organisation);
            let before = before.filter(|_| !is_new_boot).map_or(0, |(_, total)| *total);
            let delta = total - before;
            state.flow.learn(organisation, delta, elapsed);
            let assumed = state.assumed.get(organisation).copied().unwrap_or_default();
            let charge = (delta - assumed.sum as i64).max(-(assumed.refundable as i64));
            taken.push((organisation.clone(), charge));
        }
        state.assumed.clear();
        if notice.is_leaving {
            self.known.remove(&notice.daemon);
            return taken;
        }
        state.notice = notice;
        state.heard = now;
        state.reckoned = now;
        let daemon = state.notice.daemon.clone();
        self.learn_parts(&daemon);
        taken
    }

    /// Notes a neighbour's part of all that is let through now.
    fn learn_parts(&mut self, daemon: &DaemonName) {
        let Some(state) = self.known.get(daemon) else { return };
        let part = |organisation: &OrganisationName| {
            let others: f64 = self.known.values().map(|other| other.flow.rate(organisation)).sum();
            let sum = others + self.own.flow.rate(organisation);
            let equal = 1.0 / (self.known.len() + 1) as f64;
            if sum > 1.0 { state.flow.rate(organisation) / sum } else { equal }
        };
        let names = state.notice.taken.iter().map(|(organisation, _)| organisation);
        let parts = names.map(|organisation| (organisation.clone(), part(organisation))).collect();
        self.known.entry(daemon.clone()).and_modify(|state| state.parts = parts);
    }

    /// Learns what this daemon itself lets through, from its totals.
    pub fn learn_own(&mut self, totals: &[(OrganisationName, i64)], now: Moment) {
        let elapsed = self.own.at.map_or(Duration::ZERO, |at| now.since(at));
        for (organisation, total) in totals {
            let before = self.own.totals.insert(organisation.clone(), *total).unwrap_or(0);
            self.own.flow.learn(organisation, total - before, elapsed);
        }
        self.own.at = Some(now);
    }

    /// The tokens that silent neighbours may have let through since this was asked last, given the rates that the
    /// limits let through. Each is reckoned with its part of all that was let through when it was last heard, so
    /// that daemons that hear nothing of each other still keep to the whole between them.
    pub fn reckon_silent(
        &mut self,
        limits: &[(OrganisationName, f64)],
        now: Moment,
    ) -> Vec<(OrganisationName, i64)> {
        self.forget_gone(now);
        let mut taken = Vec::new();
        let silent_after = self.silent_after();
        for (organisation, limit) in limits {
            let equal = 1.0 / (self.known.len() + 1) as f64;
            let is_silent = |state: &&mut NeighbourState| now.since(state.heard) >= silent_after;
            for state in self.known.values_mut().filter(is_silent) {
                let part = state.parts.get(organisation).copied().unwrap_or(equal);
                let tokens = limit * part * now.since(state.reckoned).as_secs_f64();
                let assumed = state.assumed.entry(organisation.clone()).or_default();
                assumed.sum += tokens;
                assumed.refundable = assumed.sum.min(limit * part * REFUND_SECONDS);
                taken.push((organisation.clone(), tokens as i64));
            }
        }
        let silent = self.known.values_mut().filter(|state| now.since(state.heard) >= silent_after);
        silent.for_each(|state| state.reckoned = now);
        taken
    }

    /// Time between two notices of one daemon in a fleet of this size.
    pub fn notice_pause(&self) -> Duration {
        let others = self.known.len().max(self.named.len()) as f64;
        Duration::from_secs_f64(others / MOST_A_SECOND).max(LEAST_PAUSE)
    }

    fn silent_after(&self) -> Duration {
        SILENT_AFTER.max(self.notice_pause() * SILENT_PAUSES)
    }

    fn forget_gone(&mut self, now: Moment) {
        let named = &self.named;
        self.known.retain(|_, state| {
            named.contains(&state.notice.address) || now.since(state.heard) < FORGOTTEN_AFTER
        });
    }

    /// True if the daemon at `own` is the one that reads the platform's list for all that hear each other: the one
    /// with the lowest address among those heard lately. Where they do not hear each other, each side has one.
    pub fn is_reader(&self, own: SocketAddr, now: Moment) -> bool {
        let life = self.work_life();
        let fresh = self.known.values().filter(|state| now.since(state.heard) < life);
        fresh.map(|state| state.notice.address).all(|address| own < address)
    }

    fn work_life(&self) -> Duration {
        WORK_LIFE.max(self.notice_pause() * SILENT_PAUSES)
    }

    /// The work of all neighbours together at each upstream of a pool.
    pub fn others(&self, service: &ServiceName, now: Moment) -> BTreeMap<UpstreamName, OthersWork> {
        let mut sums: BTreeMap<UpstreamName, OthersWork> = BTreeMap::new();
        let life = self.work_life();
        let fresh = self.known.values().filter(|state| now.since(state.heard) < life);
        let pools = fresh.flat_map(|state| &state.notice.pools);
        let rows = pools.filter(|pool| pool.service == *service).flat_map(|pool| &pool.upstreams);
        for (upstream, work) in rows {
            let sum = sums.entry(upstream.clone()).or_default();
            sum.requests += work.requests;
            sum.unread_tokens += work.unread_tokens;
        }
        sums
    }
}
