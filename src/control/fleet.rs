//! How the daemons act together, as the leader sees it; pure and kept in memory only.
//!
//! Every daemon has one call open to the leader: it reports, and is answered with orders when they
//! change or after a while. A daemon may admit for one lease from when it sent its last answered
//! report. So the leader knows of every daemon in the replicated member list either what it has
//! confirmed, or that its lease has run out and it admits nothing.
//!
//! Shares: the limit of each pool is divided into [`SHARE_UNITS`]. A daemon counts with the larger of
//! what it says it holds and what it was last ordered; only what nobody counts with is given out. So
//! the sum never exceeds the whole, whoever dies between order and report.

use crate::policy::{Moment, TierRank};
use crate::quarantine::SuspectRow;
use crate::rollout::{RolloutReport, RolloutRows};
use crate::table::{DaemonName, ServiceName, VersionedTable};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The whole of a pool's limit, in units of shares.
pub const SHARE_UNITS: u32 = 10_000;
/// Stands for the organisations' limits among the pools of reports and orders: they are divided as the pools'
/// limits are. No service can have this name, since a name has no space.
pub const LIMITS: &str = "organisation limits";
/// Share that every member is given whatever its demand, as a part of its equal share.
const LEAST_PART: f64 = 0.2;
/// Clocks may differ by this factor over one lease.
const DRIFT_MARGIN: f64 = 1.1;
/// A share is changed only by more than this, so that noise in demand orders nothing.
const SHARE_STEP: u32 = SHARE_UNITS / 50;

/// What a daemon says of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolReport {
    /// The pool.
    pub service: ServiceName,
    /// The floor it wants.
    pub wanted: Option<TierRank>,
    /// The floor it keeps until the next order: it admits no tier below, and holds none waiting.
    pub guaranteed: Option<TierRank>,
    /// Estimated tokens waiting and running.
    pub demand: u64,
    /// Units of share it holds: what it was ordered, or more while work sent under a larger share runs.
    pub share: u32,
}

/// A daemon's report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonReport {
    /// The daemon.
    pub daemon: DaemonName,
    /// Its boot number.
    pub boot: u64,
    /// The term of the leader that the report is made for.
    pub term: u64,
    /// Rises with each report: one that was overtaken on the way is passed over.
    pub sequence: u64,
    /// Where its control interface is.
    pub control: SocketAddr,
    /// The table version in force there; 0 if none yet.
    pub version: u64,
    /// Its pools.
    pub pools: Vec<PoolReport>,
    /// True if its lease was valid when it reported; without one it holds no share and admits nothing.
    pub has_lease: bool,
    /// True once it is drained and admits nothing.
    pub is_leaving: bool,
    /// True if it serves callers.
    #[serde(default)]
    pub serves_callers: bool,
    /// True if it divides the limits with the other daemons itself and sheds by itself: it needs no shares and no
    /// floors, and reports no pools.
    #[serde(default)]
    pub divides_alone: bool,
    /// Digest of the list of daemons that it knows; 0 if it knows none.
    #[serde(default)]
    pub knows_serving: u64,
    /// Contents that are held back and under which it saw an upstream end.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectRow>,
    /// True from its start until it has received the contents that are held back.
    #[serde(default)]
    pub wants_suspects: bool,
    /// Digest of the roll-outs that it knows; 0 if it has received none.
    #[serde(default)]
    pub knows_rollouts: u64,
    /// What it saw of roll-outs that are under way.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutReport>,
}

/// Orders for one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolOrder {
    /// The pool.
    pub service: ServiceName,
    /// The floor to keep for others.
    pub imposed: Option<TierRank>,
    /// The floor that every daemon keeps.
    pub confirmed: Option<TierRank>,
    /// Units of share it may use.
    pub share: u32,
}

/// Control addresses of the live daemons that serve callers.
///
/// What goes wrong if it goes with each answer: 291 addresses in 700 answers a second are 4 MB a second for the leader, and
/// each daemon reads them anew twice a second. So a report names the digest of the list that it knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingList {
    /// The addresses, in order.
    pub addresses: Vec<SocketAddr>,
}

impl ServingList {
    /// A list of daemons in any order.
    pub fn new(mut addresses: Vec<SocketAddr>) -> Self {
        addresses.sort_unstable();
        ServingList { addresses }
    }

    /// A number that stands for the whole list; never 0, which stands for none.
    pub fn digest(&self) -> u64 {
        xxh3_64(&postcard::to_stdvec(&self.addresses).unwrap_or_default()).max(1)
    }
}

/// The leader's answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonOrders {
    /// The version in force.
    pub version: u64,
    /// Its table, if the daemon has another version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table: Option<Box<VersionedTable>>,
    /// The same table compressed, in whose place it goes over the network.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub packed: Option<Arc<str>>,
    /// Orders by pool.
    pub pools: Vec<PoolOrder>,
    /// Control addresses of the live daemons that serve callers, where they are others than the daemon knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub serving: Option<ServingList>,
    /// Control addresses of the voters.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub voters: Vec<SocketAddr>,
    /// Contents that are held back, for a daemon that wants them, and those that were released a moment ago.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectRow>,
    /// Roll-outs of upstreams' software, where they are others than the daemon knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollouts: Option<RolloutRows>,
}

/// The leader's answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportAnswer {
    /// Orders.
    Orders(DaemonOrders),
    /// The report was made for another leader; report again for this term.
    NewTerm(u64),
}

/// What the registry makes of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportVerdict {
    /// It is the member's newest word.
    Taken,
    /// The daemon's boot is not on the member list.
    Unknown,
    /// It was made for another leader. What goes wrong without this check: a report that was long under
    /// way, and given up by its sender for a later one to another leader, would be taken for the
    /// sender's present state by the next leader. One would notice by shares that add up to more than
    /// the whole.
    OtherTerm,
    /// A newer report overtook it.
    Overtaken,
}

/// A member as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// The daemon.
    pub daemon: DaemonName,
    /// The version in force there.
    pub version: u64,
    /// Milliseconds since it first reported that version to this leader; absent if this leader has not heard it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version_ms: Option<u64>,
    /// Milliseconds since its last report; absent if this leader has not heard it.
    pub heard_ms: Option<u64>,
    /// True while its lease lasts.
    pub is_live: bool,
    /// Its control address, once heard.
    pub control: Option<SocketAddr>,
}

#[derive(Clone, Debug)]
struct MemberState {
    boot: u64,
    heard: Option<Moment>,
    /// When it first reported the version that it has.
    version_since: Option<Moment>,
    report: Option<DaemonReport>,
    /// The largest share ordered since that report.
    ordered: BTreeMap<ServiceName, u32>,
    /// The loosest floor imposed since that report; none where every tier was allowed again.
    loosened: BTreeMap<ServiceName, Option<TierRank>>,
    /// Pools whose floor the member may be raising, by an order sent since that report.
    tightening: BTreeSet<ServiceName>,
}

/// The leader's registry of the fleet.
#[derive(Clone, Debug)]
pub struct FleetRegistry {
    term: u64,
    lease: Duration,
    began: Moment,
    members: BTreeMap<DaemonName, MemberState>,
    /// The floor imposed on each pool.
    levels: BTreeMap<ServiceName, Option<TierRank>>,
}

impl FleetRegistry {
    /// The registry of a leader that was elected at `began`. Members it has not heard count as holding
    /// leases until one lease after that.
    pub fn new(
        term: u64,
        lease: Duration,
        began: Moment,
        members: &BTreeMap<DaemonName, u64>,
    ) -> Self {
        let mut registry =
            FleetRegistry { term, lease, began, members: BTreeMap::new(), levels: BTreeMap::new() };
        registry.set_members(members);
        registry
    }

    /// Takes the replicated member list.
    pub fn set_members(&mut self, members: &BTreeMap<DaemonName, u64>) {
        self.members.retain(|daemon, state| members.get(daemon) == Some(&state.boot));
        for (daemon, boot) in members {
            let fresh = MemberState {
                boot: *boot,
                heard: None,
                version_since: None,
                report: None,
                ordered: BTreeMap::new(),
                loosened: BTreeMap::new(),
                tightening: BTreeSet::new(),
            };
            self.members.entry(daemon.clone()).or_insert(fresh);
        }
    }

    /// The leader's term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Takes a report. A daemon sends one only after it has taken over, or given up,
    /// the answer to the one before, so the report replaces every earlier order.
    pub fn report(&mut self, report: DaemonReport, now: Moment) -> ReportVerdict {
        let Some(state) =
            self.members.get_mut(&report.daemon).filter(|state| state.boot == report.boot)
        else {
            return ReportVerdict::Unknown;
        };
        if report.term != self.term {
            return ReportVerdict::OtherTerm;
        }
        if state.report.as_ref().is_some_and(|last| last.sequence >= report.sequence) {
            return ReportVerdict::Overtaken;
        }
        state.heard = Some(now);
        let had = state.report.as_ref().map(|last| last.version);
        state.version_since =
            state.version_since.filter(|_| had == Some(report.version)).or(Some(now));
        state.ordered.clear();
        state.loosened.clear();
        state.tightening.clear();
        state.report = Some(report);
        ReportVerdict::Taken
    }

    fn is_live(&self, state: &MemberState, now: Moment) -> bool {
        let since = state.heard.unwrap_or(self.began);
        now.since(since) < self.lease.mul_f64(DRIFT_MARGIN)
    }

    fn live(&self, now: Moment) -> impl Iterator<Item = (&DaemonName, &MemberState)> {
        self.members.iter().filter(move |(_, state)| self.is_live(state, now))
    }

    /// Members whose lease ran out and that may be taken off the list.
    pub fn dead(&self, now: Moment) -> Vec<(DaemonName, u64)> {
        let dead = self.members.iter().filter(|(_, state)| !self.is_live(state, now));
        dead.map(|(daemon, state)| (daemon.clone(), state.boot)).collect()
    }

    /// True if the daemon's boot is live: a claim it holds may still be running.
    pub fn is_owner_live(&self, daemon: &DaemonName, boot: u64, now: Moment) -> bool {
        self.members.get(daemon).is_some_and(|state| state.boot == boot && self.is_live(state, now))
    }

    /// Daemons that may still admit under a version below `version`.
    pub fn lagging(&self, version: u64, now: Moment) -> Vec<DaemonName> {
        let is_behind = |state: &MemberState| {
            state.report.as_ref().is_none_or(|report| report.version < version)
        };
        self.live(now)
            .filter(|(_, state)| is_behind(state))
            .map(|(daemon, _)| daemon.clone())
            .collect()
    }

    fn pool<'a>(state: &'a MemberState, service: &ServiceName) -> Option<&'a PoolReport> {
        state.report.as_ref()?.pools.iter().find(|pool| pool.service == *service)
    }

    /// The floor that every live daemon keeps; none while one admits every tier, or is unheard.
    pub fn confirmed(&self, service: &ServiceName, now: Moment) -> Option<TierRank> {
        let kept = self.live(now).map(|(_, state)| match &state.report {
            Some(report) if report.is_leaving => Some(TierRank(0)),
            _ => Self::kept(state, service),
        });
        kept.collect::<Option<Vec<TierRank>>>()?.into_iter().max()
    }

    /// The floor that a member surely keeps: its word, unless a looser floor was imposed since.
    fn kept(state: &MemberState, service: &ServiceName) -> Option<TierRank> {
        let guaranteed = Self::pool(state, service)?.guaranteed?;
        match state.loosened.get(service) {
            Some(None) => None,
            Some(Some(loosened)) => Some(guaranteed.max(*loosened)),
            None => Some(guaranteed),
        }
    }

    /// True once every member has been heard by this leader, or its lease has run out.
    pub fn is_complete(&self, now: Moment) -> bool {
        self.live(now).all(|(_, state)| state.report.is_some())
    }

    /// The strictest floor that a live daemon wants.
    fn wanted(&self, service: &ServiceName, now: Moment) -> Option<TierRank> {
        self.live(now).filter_map(|(_, state)| Self::pool(state, service)?.wanted).min()
    }

    /// The floor to impose on a member. A leader that has not heard everybody does not know who relies on
    /// a floor, so it loosens none. And no floor is loosened while a member may still be raising its own
    /// on the strength of an earlier order: it would drop a tier while another takes a lower one back.
    fn imposed_on(
        &mut self,
        daemon: &DaemonName,
        service: &ServiceName,
        now: Moment,
    ) -> Option<TierRank> {
        let wanted = self.wanted(service, now);
        if !self.is_complete(now) {
            let own =
                self.members.get(daemon).and_then(|state| Self::pool(state, service)?.guaranteed);
            let level = self.levels.entry(service.clone()).or_default();
            *level = level.iter().copied().chain(wanted).min();
            return level.iter().copied().chain(own).min();
        }
        let level = self.levels.get(service).copied().flatten();
        let is_looser = level.is_some_and(|level| wanted.is_none_or(|wanted| wanted > level));
        let is_tightening = self.live(now).any(|(_, state)| state.tightening.contains(service));
        if is_looser && is_tightening {
            return level;
        }
        self.levels.insert(service.clone(), wanted);
        wanted
    }

    /// Units that a member may be using: the larger of its word and the leader's.
    fn outstanding(state: &MemberState, service: &ServiceName) -> u32 {
        let held = Self::pool(state, service).map_or(0, |pool| pool.share);
        held.max(state.ordered.get(service).copied().unwrap_or(0))
    }

    /// Units that nobody counts with; none while a live member is unheard, since it may hold any.
    fn free(&self, service: &ServiceName, now: Moment) -> u32 {
        if !self.is_complete(now) {
            return 0;
        }
        let used: u32 = self.live(now).map(|(_, state)| Self::outstanding(state, service)).sum();
        SHARE_UNITS.saturating_sub(used)
    }

    /// The share that a daemon's demand earns: a least part, and the rest by demand.
    fn earned(&self, daemon: &DaemonName, service: &ServiceName, now: Moment) -> u32 {
        let admits =
            |state: &MemberState| state.report.as_ref().is_none_or(|report| !report.is_leaving);
        let live: Vec<(&DaemonName, &MemberState)> =
            self.live(now).filter(|(_, state)| admits(state)).collect();
        if !live.iter().any(|(name, _)| *name == daemon) {
            return 0;
        }
        let demand =
            |state: &MemberState| Self::pool(state, service).map_or(0.0, |pool| pool.demand as f64);
        let total: f64 = live.iter().map(|(_, state)| demand(state)).sum();
        let own = self.members.get(daemon).map_or(0.0, demand);
        let equal = 1.0 / live.len() as f64;
        let by_demand = if total > 0.0 { own / total } else { equal };
        let part = LEAST_PART * equal + (1.0 - LEAST_PART) * by_demand;
        (part * f64::from(SHARE_UNITS)) as u32
    }

    /// The share to order, noting it: less at once, more only out of what is free.
    fn order_share(&mut self, daemon: &DaemonName, service: &ServiceName, now: Moment) -> u32 {
        let earned = self.earned(daemon, service, now);
        let free = self.free(service, now);
        let Some(state) = self.members.get_mut(daemon) else { return 0 };
        let held = Self::pool(state, service).map_or(0, |pool| pool.share);
        let outstanding = Self::outstanding(state, service);
        let is_small = earned.abs_diff(held) < SHARE_STEP && held > 0 && earned > 0;
        let share = match () {
            () if is_small => held,
            () if earned <= outstanding => earned,
            () => earned.min(outstanding + free),
        };
        let ordered = state.ordered.entry(service.clone()).or_default();
        *ordered = share.max(*ordered);
        share
    }

    /// Orders for a member, for the services of the table in force.
    pub fn orders(
        &mut self,
        daemon: &DaemonName,
        table: &VersionedTable,
        now: Moment,
    ) -> DaemonOrders {
        let report = self.members.get(daemon).and_then(|state| state.report.as_ref());
        let known = report.map_or(0, |report| report.version);
        let newer = (known != table.version).then(|| Box::new(table.clone()));
        let divides_alone = report.is_some_and(|report| report.divides_alone);
        let pools = if divides_alone { Vec::new() } else { self.pool_orders(daemon, table, now) };
        DaemonOrders {
            version: table.version,
            table: newer,
            packed: None,
            pools,
            serving: None,
            voters: Vec::new(),
            suspects: Vec::new(),
            rollouts: None,
        }
    }

    fn pool_orders(
        &mut self,
        daemon: &DaemonName,
        table: &VersionedTable,
        now: Moment,
    ) -> Vec<PoolOrder> {
        let limits = ServiceName::from(LIMITS);
        let services: BTreeSet<&ServiceName> =
            table.table.services.iter().map(|row| &row.service).chain([&limits]).collect();
        let order = |service: &ServiceName| PoolOrder {
            service: service.clone(),
            imposed: self.imposed_on(daemon, service, now),
            confirmed: self.confirmed(service, now),
            share: self.order_share(daemon, service, now),
        };
        services.into_iter().map(order).collect()
    }

    /// Control addresses of the live daemons that serve callers.
    /// The live daemons that serve callers.
    pub fn serving(&self, now: Moment) -> ServingList {
        let reports = self.live(now).filter_map(|(_, state)| state.report.as_ref());
        let serving = reports.filter(|report| report.serves_callers && !report.is_leaving);
        ServingList::new(serving.map(|report| report.control).collect())
    }

    /// Notes that orders were sent: from now on the member may act on them.
    pub fn sent(&mut self, daemon: &DaemonName, orders: &[PoolOrder]) {
        let Some(state) = self.members.get_mut(daemon) else { return };
        for order in orders {
            let guaranteed = Self::pool(state, &order.service).and_then(|pool| pool.guaranteed);
            if order
                .imposed
                .is_some_and(|imposed| guaranteed.is_none_or(|guaranteed| imposed < guaranteed))
            {
                state.tightening.insert(order.service.clone());
            }
            let loosened = state.loosened.entry(order.service.clone()).or_insert(order.imposed);
            *loosened = loosened.zip(order.imposed).map(|(before, now)| before.max(now));
        }
    }

    /// Boots of the live daemons that serve callers and have not drained, as far as they were heard.
    pub fn serving_boots(&self, now: Moment) -> BTreeMap<DaemonName, u64> {
        let serves = |state: &MemberState| {
            let report = state.report.as_ref();
            report.is_some_and(|report| report.serves_callers && !report.is_leaving)
        };
        let serving = self.live(now).filter(|(_, state)| serves(state));
        serving.map(|(daemon, state)| (daemon.clone(), state.boot)).collect()
    }

    /// Live daemons.
    pub fn live_count(&self, now: Moment) -> usize {
        self.live(now).count()
    }

    /// All members, for operators.
    pub fn view(&self, now: Moment) -> Vec<MemberView> {
        let view = |(daemon, state): (&DaemonName, &MemberState)| MemberView {
            daemon: daemon.clone(),
            version: state.report.as_ref().map_or(0, |report| report.version),
            version_ms: state.version_since.map(|since| now.since(since).as_millis() as u64),
            heard_ms: state.heard.map(|heard| now.since(heard).as_millis() as u64),
            is_live: self.is_live(state, now),
            control: state.report.as_ref().map(|report| report.control),
        };
        self.members.iter().map(view).collect()
    }
}
