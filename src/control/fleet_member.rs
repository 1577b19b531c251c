//! A daemon's membership of the fleet: what it reports, which orders it accepts, and until when it
//! may admit requests. This module performs no I/O.

use super::fleet::{DaemonOrders, DaemonReport, PoolReport, SHARE_UNITS, ServingList};
use crate::evacuation::EvacuatedSet;
use crate::policy::{FloorOrder, Moment, TierRank};
use crate::quarantine::SuspectRow;
use crate::rollout::RolloutRows;
use crate::table::{DaemonName, ServiceName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// State of one pool at the time of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolState {
    /// Service of the pool.
    pub service: ServiceName,
    /// Shed floor that the pool wants.
    pub wanted: Option<TierRank>,
    /// Shed floor that the pool enforces until the next order.
    pub guaranteed: Option<TierRank>,
    /// Estimated tokens of the waiting and running requests.
    pub demand: u64,
    /// Fraction of the limit used by running requests, 0.0 to 1.0.
    pub utilisation: f64,
}

/// Change to one pool required by new orders.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolChange {
    /// Service of the pool.
    pub service: ServiceName,
    /// Fraction of the limit that may be used, 0.0 to 1.0.
    pub share: f64,
    /// Order for the pool's shed floor.
    pub floor: FloorOrder,
}

/// Changes that new orders require of a daemon, to be applied in the order of the fields.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberChange {
    /// Changes to the pools.
    pub pools: Vec<PoolChange>,
    /// Time until which the daemon may admit requests, provided that it has `version` in force.
    pub current_until: Moment,
    /// Table version in force in the fleet.
    pub version: u64,
    /// Live daemons that serve callers, if the list has changed.
    pub serving: Option<ServingList>,
    /// Control addresses of the voters.
    pub voters: Vec<SocketAddr>,
    /// Contents that are quarantined or were released.
    pub suspects: Vec<SuspectRow>,
    /// Roll-outs, if they have changed.
    pub rollouts: Option<RolloutRows>,
    /// Evacuated data centres, if they have changed.
    pub evacuated: Option<EvacuatedSet>,
}

/// Membership of a daemon in the fleet.
#[derive(Clone, Debug)]
pub struct FleetMember {
    daemon: DaemonName,
    boot: u64,
    control: SocketAddr,
    lease: Duration,
    term: u64,
    sequence: u64,
    shares: BTreeMap<ServiceName, u32>,
    wanted: BTreeMap<ServiceName, Option<TierRank>>,
    sent_at: Moment,
    had_lease: bool,
    lease_until: Moment,
    serves_callers: bool,
    divides_alone: bool,
    /// The last list of serving daemons received, with its digest; none before the first, and after
    /// a change that could not be applied.
    serving: Option<(u64, ServingList)>,
    /// True until the quarantined contents have been received.
    wants_suspects: bool,
}

impl FleetMember {
    /// Creates a member that has not reported and holds no share.
    pub fn new(daemon: DaemonName, boot: u64, control: SocketAddr, lease: Duration) -> Self {
        FleetMember {
            daemon,
            boot,
            control,
            lease,
            term: 0,
            sequence: 0,
            shares: BTreeMap::new(),
            wanted: BTreeMap::new(),
            sent_at: Moment(0),
            had_lease: false,
            lease_until: Moment(0),
            serves_callers: true,
            divides_alone: false,
            serving: None,
            wants_suspects: true,
        }
    }

    /// Marks the member as not serving callers.
    pub fn without_callers(mut self) -> Self {
        self.serves_callers = false;
        self
    }

    /// Marks the member as dividing limits with the other daemons and shedding without the leader.
    pub fn dividing_alone(mut self) -> Self {
        self.divides_alone = true;
        self
    }

    /// Creates the next report, which supersedes the previous one. Late orders for an earlier
    /// report must not be applied, since the leader counts only the orders sent after the last
    /// report.
    pub fn report(
        &mut self,
        version: u64,
        pools: Vec<PoolState>,
        is_leaving: bool,
        now: Moment,
    ) -> DaemonReport {
        self.sequence += 1;
        self.sent_at = now;
        self.had_lease = now < self.lease_until;
        if !self.had_lease {
            // The leader may have given the shares to other daemons since the lease expired.
            self.shares.clear();
        }
        self.wanted = pools.iter().map(|pool| (pool.service.clone(), pool.wanted)).collect();
        let pools = pools.into_iter().map(|pool| self.pool_report(pool)).collect();
        DaemonReport {
            daemon: self.daemon.clone(),
            boot: self.boot,
            term: self.term,
            sequence: self.sequence,
            control: self.control,
            version,
            pools,
            has_lease: self.had_lease,
            is_leaving,
            serves_callers: self.serves_callers,
            divides_alone: self.divides_alone,
            knows_serving: self.serving.as_ref().map_or(0, |(digest, _)| *digest),
            suspects: Vec::new(),
            wants_suspects: self.wants_suspects,
            knows_rollouts: 0,
            rollouts: Vec::new(),
            knows_evacuated: 0,
            takes_serving_changes: true,
        }
    }

    /// Includes work dispatched under a larger share, which counts until it has ended.
    fn pool_report(&self, pool: PoolState) -> PoolReport {
        let ordered = self.shares.get(&pool.service).copied().unwrap_or(0);
        let used = (pool.utilisation.clamp(0.0, 1.0) * f64::from(SHARE_UNITS)) as u32;
        PoolReport {
            service: pool.service,
            wanted: pool.wanted,
            guaranteed: pool.guaranteed,
            demand: pool.demand,
            share: ordered.max(used),
        }
    }

    /// Sets the term for the next report after the leader has changed.
    pub fn set_term(&mut self, term: u64) {
        self.term = term;
    }

    /// Returns the new list of serving daemons, if the orders bring one.
    fn receive_serving(&mut self, orders: &DaemonOrders) -> Option<ServingList> {
        if orders.serving.is_none() && orders.serving_change.is_none() {
            return None;
        }
        let known = self.serving.take().map(|(_, list)| list);
        let changed = known.zip(orders.serving_change.as_ref());
        let changed = changed.and_then(|(known, change)| known.changed(change));
        let list = orders.serving.clone().or(changed)?;
        self.serving = Some((list.digest(), list.clone()));
        Some(list)
    }

    /// Applies the answer to the last report. The lease runs from the time at which that report was
    /// sent, since the answer proves that the leader was in office at some time after it. Returns
    /// `None` if the lease that the report was made under has expired since: before reading the
    /// report, the leader may have counted this daemon as dead, given its shares away and stopped
    /// relying on its floors. A table in the orders does not depend on the lease and is ignored here.
    pub fn apply(&mut self, orders: DaemonOrders, now: Moment) -> Option<MemberChange> {
        if self.had_lease && now >= self.lease_until {
            return None;
        }
        self.lease_until = self.sent_at + self.lease;
        self.wants_suspects = false;
        let serving = self.receive_serving(&orders);
        let is_fresh = !self.had_lease;
        let mut pools = Vec::with_capacity(orders.pools.len());
        for order in orders.pools {
            self.shares.insert(order.service.clone(), order.share);
            let floor = FloorOrder {
                reported_wanted: self.wanted.get(&order.service).copied().flatten(),
                confirmed: order.confirmed,
                imposed: order.imposed,
                is_fresh,
            };
            pools.push(PoolChange {
                share: f64::from(order.share) / f64::from(SHARE_UNITS),
                floor,
                service: order.service,
            });
        }
        Some(MemberChange {
            pools,
            current_until: self.lease_until,
            version: orders.version,
            serving,
            voters: orders.voters,
            suspects: orders.suspects,
            rollouts: orders.rollouts,
            evacuated: orders.evacuated,
        })
    }
}
