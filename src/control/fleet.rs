//! The leader's registry of the fleet's daemons. This module performs no I/O and keeps its state in
//! memory only.
//!
//! Every daemon keeps one report call open at the leader, which answers with orders when they
//! change or after a timeout. A daemon may admit requests for one lease, counted from the time at
//! which it sent its last answered report. For every daemon on the replicated member list, the
//! leader therefore knows either what the daemon has confirmed or that its lease has expired and it
//! admits nothing.
//!
//! Shares: each pool's limit is divided into [`SHARE_UNITS`]. A daemon counts with the larger of
//! the share that it reports and the share last ordered for it, and only unassigned units are given
//! out. The sum therefore never exceeds the whole limit, even if a daemon dies between an order and
//! its next report.

use crate::evacuation::EvacuatedSet;
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

/// Units of share that make up the whole limit of a pool.
pub const SHARE_UNITS: u32 = 10_000;
/// Pool name under which reports and orders carry the organisations' limits, which are divided like
/// the pools' limits. No service can have this name, since service names contain no space.
pub const ORGANISATION_LIMITS_POOL: &str = "organisation limits";
/// Minimum share of every member whatever its demand, as a fraction of its equal share.
const MIN_EQUAL_FRACTION: f64 = 0.2;
/// Factor by which clocks may differ over one lease.
const CLOCK_DRIFT_FACTOR: f64 = 1.1;
/// Minimum change of a share that is ordered, so that noise in the demand causes no orders.
const MIN_SHARE_CHANGE: u32 = SHARE_UNITS / 50;

/// One pool's state in a daemon's report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolReport {
    /// Service of the pool.
    pub service: ServiceName,
    /// Shed floor that the daemon requests.
    pub wanted: Option<TierRank>,
    /// Shed floor that the daemon enforces until the next order: no lower tier is admitted or
    /// waiting.
    pub guaranteed: Option<TierRank>,
    /// Estimated tokens of the waiting and running requests.
    pub demand: u64,
    /// Units of share in use: the ordered share, or more while work dispatched under a larger share
    /// is still running.
    pub share: u32,
}

/// Report of a daemon to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonReport {
    /// Name of the daemon.
    pub daemon: DaemonName,
    /// Boot number of the daemon.
    pub boot: u64,
    /// Term of the leader to which the report is addressed.
    pub term: u64,
    /// Increases with each report; a report that arrives after a newer one is ignored.
    pub sequence: u64,
    /// Address of the daemon's control interface.
    pub control: SocketAddr,
    /// Table version in force on the daemon; 0 if none.
    pub version: u64,
    /// State of the daemon's pools.
    pub pools: Vec<PoolReport>,
    /// True if the daemon's lease was valid when it reported. Without a lease it holds no share and
    /// admits nothing.
    pub has_lease: bool,
    /// True once the daemon is drained and admits nothing.
    pub is_leaving: bool,
    /// True if the daemon serves callers.
    #[serde(default)]
    pub serves_callers: bool,
    /// True if the daemon divides the limits with the other daemons and sheds without the leader.
    /// It needs no shares or floors and reports no pools.
    #[serde(default)]
    pub divides_alone: bool,
    /// Digest of the list of serving daemons that the daemon knows; 0 if it knows none.
    #[serde(default)]
    pub knows_serving: u64,
    /// Quarantined contents under which the daemon saw an upstream end.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectRow>,
    /// True from the daemon's start until it has received the quarantined contents.
    #[serde(default)]
    pub wants_suspects: bool,
    /// Digest of the roll-outs that the daemon knows; 0 if it has received none.
    #[serde(default)]
    pub knows_rollouts: u64,
    /// The daemon's counts for the roll-outs in progress.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutReport>,
    /// Digest of the evacuated data centres that the daemon knows; 0 if it has received none.
    #[serde(default)]
    pub knows_evacuated: u64,
    /// True if the daemon can apply a [`ServingChange`]; false in builds that know only whole lists.
    #[serde(default)]
    pub takes_serving_changes: bool,
}

/// Orders for one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolOrder {
    /// Service of the pool.
    pub service: ServiceName,
    /// Shed floor that the daemon must enforce on behalf of the others.
    pub imposed: Option<TierRank>,
    /// Shed floor that every daemon enforces.
    pub confirmed: Option<TierRank>,
    /// Units of share that the daemon may use.
    pub share: u32,
}

/// Control addresses of the live daemons that serve callers.
///
/// Sending the list with every answer would cost the leader 4 MB a second (291 addresses in 700
/// answers a second), and every daemon would parse it twice a second. Reports therefore carry the
/// digest of the list that the daemon knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingList {
    /// Control addresses in ascending order.
    pub addresses: Vec<SocketAddr>,
}

impl ServingList {
    /// Creates a list from addresses in any order.
    pub fn new(mut addresses: Vec<SocketAddr>) -> Self {
        addresses.sort_unstable();
        ServingList { addresses }
    }

    /// Digest of the list; never 0, which means that no list is known.
    pub fn digest(&self) -> u64 {
        xxh3_64(&postcard::to_stdvec(&self.addresses).unwrap_or_default()).max(1)
    }
}

/// What differs between two lists of serving daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingChange {
    /// Digest of the earlier list.
    pub base: u64,
    /// Digest of the later list.
    pub digest: u64,
    /// Addresses that only the later list has, in ascending order.
    pub added: Vec<SocketAddr>,
    /// Addresses that only the earlier list has, in ascending order.
    pub removed: Vec<SocketAddr>,
}

impl ServingList {
    /// Returns the later list of a change; `None` if the change is based on another list.
    pub fn changed(&self, change: &ServingChange) -> Option<ServingList> {
        if self.digest() != change.base {
            return None;
        }
        let kept = self.addresses.iter().filter(|address| !change.removed.contains(address));
        let list = ServingList::new(kept.chain(&change.added).copied().collect());
        (list.digest() == change.digest).then_some(list)
    }
}

/// Orders of the leader in answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DaemonOrders {
    /// Table version in force.
    pub version: u64,
    /// The table in force, if the daemon has another version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub table: Option<Box<VersionedTable>>,
    /// The same table compressed; sent over the network instead of `table`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub packed: Option<Arc<str>>,
    /// Orders for each pool.
    pub pools: Vec<PoolOrder>,
    /// Control addresses of the live daemons that serve callers, if the list differs from the one
    /// that the daemon knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub serving: Option<ServingList>,
    /// What differs from the list that the daemon knows, instead of `serving`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub serving_change: Option<Box<ServingChange>>,
    /// Control addresses of the voters.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub voters: Vec<SocketAddr>,
    /// All quarantined contents, if the daemon requested them; otherwise those released recently.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectRow>,
    /// Roll-outs of upstream software, if they differ from those that the daemon knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollouts: Option<RolloutRows>,
    /// Evacuated data centres, if they differ from those that the daemon knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuated: Option<EvacuatedSet>,
}

/// The leader's answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportAnswer {
    /// The report was accepted.
    Orders(DaemonOrders),
    /// The report was addressed to another leader; the daemon must report again for this term.
    NewTerm(u64),
}

/// Result of recording a report in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// The report is the newest of its member and was recorded.
    Recorded,
    /// The daemon's boot number is not on the member list.
    UnknownBoot,
    /// The report was addressed to another leader. Without this check, a delayed report that its
    /// sender has replaced by a later one to another leader would be taken for the sender's present
    /// state by the next leader, and the shares would add up to more than the whole.
    TermMismatch,
    /// A newer report has already been recorded.
    Superseded,
}

/// A member in the status that operators see.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Name of the daemon.
    pub daemon: DaemonName,
    /// Table version in force on the daemon.
    pub version: u64,
    /// Milliseconds since the daemon first reported that version to this leader; absent if it has
    /// not reported to this leader.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version_ms: Option<u64>,
    /// Milliseconds since the daemon's last report; absent if it has not reported to this leader.
    pub heard_ms: Option<u64>,
    /// True while the daemon's lease lasts.
    pub is_live: bool,
    /// Control address of the daemon, once it has reported.
    pub control: Option<SocketAddr>,
}

#[derive(Clone, Debug)]
struct MemberState {
    boot: u64,
    last_report_at: Option<Moment>,
    /// Time at which the member first reported its current table version.
    version_since: Option<Moment>,
    report: Option<DaemonReport>,
    /// The largest share ordered since the last report.
    max_ordered_shares: BTreeMap<ServiceName, u32>,
    /// The loosest floor imposed since the last report; `None` if all tiers were allowed.
    loosest_imposed: BTreeMap<ServiceName, Option<TierRank>>,
    /// Pools whose floor the member may be raising because of an order sent since the last report.
    raising_pools: BTreeSet<ServiceName>,
}

/// The leader's registry of the fleet's members.
#[derive(Clone, Debug)]
pub struct FleetRegistry {
    term: u64,
    lease: Duration,
    elected_at: Moment,
    members: BTreeMap<DaemonName, MemberState>,
    /// The floor imposed on each pool.
    imposed_floors: BTreeMap<ServiceName, Option<TierRank>>,
}

impl FleetRegistry {
    /// Creates the registry of a newly elected leader. Members that have not reported to it count
    /// as holding leases until one lease after `elected_at`.
    pub fn new(
        term: u64,
        lease: Duration,
        elected_at: Moment,
        members: &BTreeMap<DaemonName, u64>,
    ) -> Self {
        let mut registry = FleetRegistry {
            term,
            lease,
            elected_at,
            members: BTreeMap::new(),
            imposed_floors: BTreeMap::new(),
        };
        registry.set_members(members);
        registry
    }

    /// Applies the replicated member list.
    pub fn set_members(&mut self, members: &BTreeMap<DaemonName, u64>) {
        self.members.retain(|daemon, state| members.get(daemon) == Some(&state.boot));
        members.iter().for_each(|(daemon, boot)| self.add_member(daemon, *boot));
    }

    /// Adds a daemon to the member list, or replaces an earlier boot of it.
    pub fn add_member(&mut self, daemon: &DaemonName, boot: u64) {
        if self.members.get(daemon).is_some_and(|state| state.boot == boot) {
            return;
        }
        let fresh = MemberState {
            boot,
            last_report_at: None,
            version_since: None,
            report: None,
            max_ordered_shares: BTreeMap::new(),
            loosest_imposed: BTreeMap::new(),
            raising_pools: BTreeSet::new(),
        };
        self.members.insert(daemon.clone(), fresh);
    }

    /// Removes a boot of a daemon from the member list.
    pub fn remove_member(&mut self, daemon: &DaemonName, boot: u64) {
        if self.members.get(daemon).is_some_and(|state| state.boot == boot) {
            self.members.remove(daemon);
        }
    }

    /// The leader's term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Records a report. A daemon sends a report only after it has applied or abandoned the answer
    /// to the previous one, so the report supersedes all earlier orders.
    pub fn record(&mut self, report: DaemonReport, now: Moment) -> ReportOutcome {
        let Some(state) =
            self.members.get_mut(&report.daemon).filter(|state| state.boot == report.boot)
        else {
            return ReportOutcome::UnknownBoot;
        };
        if report.term != self.term {
            return ReportOutcome::TermMismatch;
        }
        if state.report.as_ref().is_some_and(|last| last.sequence >= report.sequence) {
            return ReportOutcome::Superseded;
        }
        state.last_report_at = Some(now);
        let previous_version = state.report.as_ref().map(|last| last.version);
        state.version_since =
            state.version_since.filter(|_| previous_version == Some(report.version)).or(Some(now));
        state.max_ordered_shares.clear();
        state.loosest_imposed.clear();
        state.raising_pools.clear();
        state.report = Some(report);
        ReportOutcome::Recorded
    }

    fn is_live(&self, state: &MemberState, now: Moment) -> bool {
        !self.is_lease_over(state.last_report_at.unwrap_or(self.elected_at), now)
    }

    fn is_lease_over(&self, since: Moment, now: Moment) -> bool {
        now.since(since) >= self.lease.mul_f64(CLOCK_DRIFT_FACTOR)
    }

    fn live_members(&self, now: Moment) -> impl Iterator<Item = (&DaemonName, &MemberState)> {
        self.members.iter().filter(move |(_, state)| self.is_live(state, now))
    }

    /// Members whose lease has expired and that may be removed from the member list.
    pub fn expired_members(&self, now: Moment) -> Vec<(DaemonName, u64)> {
        let dead = self.members.iter().filter(|(_, state)| !self.is_live(state, now));
        dead.map(|(daemon, state)| (daemon.clone(), state.boot)).collect()
    }

    /// True if this boot of the daemon is live, so that a claim held by it may still be in
    /// progress.
    pub fn is_boot_live(&self, daemon: &DaemonName, boot: u64, now: Moment) -> bool {
        self.members.get(daemon).is_some_and(|state| state.boot == boot && self.is_live(state, now))
    }

    /// Daemons that may still admit requests under a table version below `version`.
    pub fn lagging_daemons(&self, version: u64, now: Moment) -> Vec<DaemonName> {
        let is_behind = |state: &MemberState| {
            state.report.as_ref().is_none_or(|report| report.version < version)
        };
        self.live_members(now)
            .filter(|(_, state)| is_behind(state))
            .map(|(daemon, _)| daemon.clone())
            .collect()
    }

    fn pool<'a>(state: &'a MemberState, service: &ServiceName) -> Option<&'a PoolReport> {
        state.report.as_ref()?.pools.iter().find(|pool| pool.service == *service)
    }

    /// The floor that every live daemon enforces; `None` while any of them admits every tier or has
    /// not reported.
    pub fn confirmed_floor(&self, service: &ServiceName, now: Moment) -> Option<TierRank> {
        let floors = self.live_members(now).map(|(_, state)| match &state.report {
            Some(report) if report.is_leaving => Some(TierRank(0)),
            _ => Self::guaranteed_floor(state, service),
        });
        floors.collect::<Option<Vec<TierRank>>>()?.into_iter().max()
    }

    /// The floor that a member is known to enforce: the one it guaranteed, or a looser one imposed
    /// since.
    fn guaranteed_floor(state: &MemberState, service: &ServiceName) -> Option<TierRank> {
        let guaranteed = Self::pool(state, service)?.guaranteed?;
        match state.loosest_imposed.get(service) {
            Some(None) => None,
            Some(Some(loosest)) => Some(guaranteed.max(*loosest)),
            None => Some(guaranteed),
        }
    }

    /// True once every member has reported to this leader or its lease has expired.
    pub fn has_heard_all(&self, now: Moment) -> bool {
        // A member that has not reported counts as live from the election for one lease, so that
        // from then on there is none to look for.
        self.is_lease_over(self.elected_at, now)
            || self.live_members(now).all(|(_, state)| state.report.is_some())
    }

    /// The strictest floor that any live daemon wants.
    fn strictest_wanted(&self, service: &ServiceName, now: Moment) -> Option<TierRank> {
        self.live_members(now).filter_map(|(_, state)| Self::pool(state, service)?.wanted).min()
    }

    /// The floor to impose on a member. A leader to which some members have not reported does not
    /// know which daemons rely on a floor, so it relaxes none. Nor is a floor relaxed while a
    /// member may still be raising its own in response to an earlier order: that member would drop
    /// a tier while another admits a lower one again.
    fn floor_to_impose(
        &mut self,
        daemon: &DaemonName,
        service: &ServiceName,
        now: Moment,
    ) -> Option<TierRank> {
        let wanted = self.strictest_wanted(service, now);
        if !self.has_heard_all(now) {
            let own =
                self.members.get(daemon).and_then(|state| Self::pool(state, service)?.guaranteed);
            let floor = self.imposed_floors.entry(service.clone()).or_default();
            *floor = floor.iter().copied().chain(wanted).min();
            return floor.iter().copied().chain(own).min();
        }
        let floor = self.imposed_floors.get(service).copied().flatten();
        let is_looser = floor.is_some_and(|floor| wanted.is_none_or(|wanted| wanted > floor));
        let is_raising =
            self.live_members(now).any(|(_, state)| state.raising_pools.contains(service));
        if is_looser && is_raising {
            return floor;
        }
        self.imposed_floors.insert(service.clone(), wanted);
        wanted
    }

    /// Units that a member may be using: the larger of its reported and its ordered share.
    fn outstanding_units(state: &MemberState, service: &ServiceName) -> u32 {
        let held = Self::pool(state, service).map_or(0, |pool| pool.share);
        held.max(state.max_ordered_shares.get(service).copied().unwrap_or(0))
    }

    /// Units not assigned to any member; 0 while a live member has not reported, since it may hold
    /// any of them.
    fn unassigned_units(&self, service: &ServiceName, now: Moment) -> u32 {
        if !self.has_heard_all(now) {
            return 0;
        }
        let used: u32 =
            self.live_members(now).map(|(_, state)| Self::outstanding_units(state, service)).sum();
        SHARE_UNITS.saturating_sub(used)
    }

    /// The share that a daemon should have: a minimum part, and the rest in proportion to its
    /// demand.
    fn target_share(&self, daemon: &DaemonName, service: &ServiceName, now: Moment) -> u32 {
        let admits =
            |state: &MemberState| state.report.as_ref().is_none_or(|report| !report.is_leaving);
        let live: Vec<(&DaemonName, &MemberState)> =
            self.live_members(now).filter(|(_, state)| admits(state)).collect();
        if !live.iter().any(|(name, _)| *name == daemon) {
            return 0;
        }
        let demand =
            |state: &MemberState| Self::pool(state, service).map_or(0.0, |pool| pool.demand as f64);
        let total: f64 = live.iter().map(|(_, state)| demand(state)).sum();
        let own = self.members.get(daemon).map_or(0.0, demand);
        let equal = 1.0 / live.len() as f64;
        let by_demand = if total > 0.0 { own / total } else { equal };
        let part = MIN_EQUAL_FRACTION * equal + (1.0 - MIN_EQUAL_FRACTION) * by_demand;
        (part * f64::from(SHARE_UNITS)) as u32
    }

    /// Determines and records the share to order. A decrease takes effect at once; an increase is
    /// limited to unassigned units.
    fn assign_share(&mut self, daemon: &DaemonName, service: &ServiceName, now: Moment) -> u32 {
        let target = self.target_share(daemon, service, now);
        let unassigned = self.unassigned_units(service, now);
        let Some(state) = self.members.get_mut(daemon) else { return 0 };
        let held = Self::pool(state, service).map_or(0, |pool| pool.share);
        let outstanding = Self::outstanding_units(state, service);
        let is_small = target.abs_diff(held) < MIN_SHARE_CHANGE && held > 0 && target > 0;
        let share = match () {
            () if is_small => held,
            () if target <= outstanding => target,
            () => target.min(outstanding + unassigned),
        };
        let ordered = state.max_ordered_shares.entry(service.clone()).or_default();
        *ordered = share.max(*ordered);
        share
    }

    /// Orders for a member, covering the services of the table in force.
    pub fn orders(
        &mut self,
        daemon: &DaemonName,
        table: &VersionedTable,
        now: Moment,
    ) -> DaemonOrders {
        let report = self.members.get(daemon).and_then(|state| state.report.as_ref());
        let known = report.map_or(0, |report| report.version);
        let newer_table = (known != table.version).then(|| Box::new(table.clone()));
        let divides_alone = report.is_some_and(|report| report.divides_alone);
        let pools = if divides_alone { Vec::new() } else { self.pool_orders(daemon, table, now) };
        DaemonOrders {
            version: table.version,
            table: newer_table,
            packed: None,
            pools,
            serving: None,
            serving_change: None,
            voters: Vec::new(),
            suspects: Vec::new(),
            rollouts: None,
            evacuated: None,
        }
    }

    fn pool_orders(
        &mut self,
        daemon: &DaemonName,
        table: &VersionedTable,
        now: Moment,
    ) -> Vec<PoolOrder> {
        let limits = ServiceName::from(ORGANISATION_LIMITS_POOL);
        let services: BTreeSet<&ServiceName> =
            table.table.services.iter().map(|row| &row.service).chain([&limits]).collect();
        let pool_order = |service: &ServiceName| PoolOrder {
            service: service.clone(),
            imposed: self.floor_to_impose(daemon, service, now),
            confirmed: self.confirmed_floor(service, now),
            share: self.assign_share(daemon, service, now),
        };
        services.into_iter().map(pool_order).collect()
    }

    /// The list of live daemons that serve callers.
    pub fn serving_list(&self, now: Moment) -> ServingList {
        let reports = self.live_members(now).filter_map(|(_, state)| state.report.as_ref());
        let serving = reports.filter(|report| report.serves_callers && !report.is_leaving);
        ServingList::new(serving.map(|report| report.control).collect())
    }

    /// Records that orders were sent; the member may act on them from now on.
    pub fn record_sent_orders(&mut self, daemon: &DaemonName, orders: &[PoolOrder]) {
        let Some(state) = self.members.get_mut(daemon) else { return };
        for order in orders {
            let guaranteed = Self::pool(state, &order.service).and_then(|pool| pool.guaranteed);
            if order
                .imposed
                .is_some_and(|imposed| guaranteed.is_none_or(|guaranteed| imposed < guaranteed))
            {
                state.raising_pools.insert(order.service.clone());
            }
            let loosest =
                state.loosest_imposed.entry(order.service.clone()).or_insert(order.imposed);
            *loosest = loosest.zip(order.imposed).map(|(before, now)| before.max(now));
        }
    }

    /// Boot numbers of the live daemons that have reported, serve callers and are not drained.
    pub fn serving_boots(&self, now: Moment) -> BTreeMap<DaemonName, u64> {
        let serves = |state: &MemberState| {
            let report = state.report.as_ref();
            report.is_some_and(|report| report.serves_callers && !report.is_leaving)
        };
        let serving = self.live_members(now).filter(|(_, state)| serves(state));
        serving.map(|(daemon, state)| (daemon.clone(), state.boot)).collect()
    }

    /// Number of live daemons.
    pub fn live_count(&self, now: Moment) -> usize {
        self.live_members(now).count()
    }

    /// All members, for the operators' status.
    pub fn member_views(&self, now: Moment) -> Vec<MemberView> {
        let view = |(daemon, state): (&DaemonName, &MemberState)| MemberView {
            daemon: daemon.clone(),
            version: state.report.as_ref().map_or(0, |report| report.version),
            version_ms: state.version_since.map(|since| now.since(since).as_millis() as u64),
            heard_ms: state.last_report_at.map(|at| now.since(at).as_millis() as u64),
            is_live: self.is_live(state, now),
            control: state.report.as_ref().map(|report| report.control),
        };
        self.members.iter().map(view).collect()
    }
}
