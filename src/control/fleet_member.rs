//! A daemon's side of the fleet's agreement; pure. What it reports, what it takes from orders, and until
//! when it may admit.

use super::fleet::{DaemonOrders, DaemonReport, PoolReport, SHARE_UNITS, ServingList};
use crate::policy::{FloorOrder, Moment, TierRank};
use crate::quarantine::SuspectRow;
use crate::rollout::RolloutRows;
use crate::table::{DaemonName, ServiceName, VersionedTable};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// One pool's numbers at the time of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolState {
    /// The pool.
    pub service: ServiceName,
    /// The floor it wants.
    pub wanted: Option<TierRank>,
    /// The floor it keeps until the next order.
    pub guaranteed: Option<TierRank>,
    /// Estimated tokens waiting and running.
    pub demand: u64,
    /// The part of the limit that running work takes up, 0.0 to 1.0.
    pub used: f64,
}

/// What a pool must do under new orders.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolMove {
    /// The pool.
    pub service: ServiceName,
    /// The share of the limit that may be used, 0.0 to 1.0.
    pub share: f64,
    /// The fleet's word on its floor.
    pub floor: FloorOrder,
}

/// What a daemon must do under new orders, in this order.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberMove {
    /// A newer table to put in force.
    pub table: Option<Box<VersionedTable>>,
    /// Moves by pool.
    pub pools: Vec<PoolMove>,
    /// The daemon may admit until then, if it has `version` in force.
    pub current_until: Moment,
    /// The version in force in the fleet.
    pub version: u64,
    /// The live daemons that serve callers, if they are others than before.
    pub serving: Option<ServingList>,
    /// Control addresses of the voters.
    pub voters: Vec<SocketAddr>,
    /// Contents that are held back, or were released.
    pub suspects: Vec<SuspectRow>,
    /// Roll-outs, if they are others than before.
    pub rollouts: Option<RolloutRows>,
}

/// A daemon as a member of the fleet.
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
    /// Digest of the list of daemons that it took last.
    knows_serving: u64,
    /// True until it has received the contents that are held back.
    wants_suspects: bool,
}

impl FleetMember {
    /// A member that has reported nothing and holds nothing.
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
            knows_serving: 0,
            wants_suspects: true,
        }
    }

    /// A member that serves no callers.
    pub fn without_callers(mut self) -> Self {
        self.serves_callers = false;
        self
    }

    /// A member that divides limits with the other daemons itself and sheds by itself.
    pub fn dividing_alone(mut self) -> Self {
        self.divides_alone = true;
        self
    }

    /// The next report. It ends the wait for the answer to the one before: orders that come late for an
    /// earlier report must not be taken, since the leader counts only what was ordered after the last.
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
            // The leader may have given the shares away since.
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
            knows_serving: self.knows_serving,
            suspects: Vec::new(),
            wants_suspects: self.wants_suspects,
            knows_rollouts: 0,
            rollouts: Vec::new(),
        }
    }

    /// Work sent under a larger share still runs: it counts until it has ended.
    fn pool_report(&self, pool: PoolState) -> PoolReport {
        let ordered = self.shares.get(&pool.service).copied().unwrap_or(0);
        let used = (pool.used.clamp(0.0, 1.0) * f64::from(SHARE_UNITS)) as u32;
        PoolReport {
            service: pool.service,
            wanted: pool.wanted,
            guaranteed: pool.guaranteed,
            demand: pool.demand,
            share: ordered.max(used),
        }
    }

    /// Another leader answers: the next report is for its term.
    pub fn set_term(&mut self, term: u64) {
        self.term = term;
    }

    /// Takes the answer to the last report. The lease runs from before that report was sent: the answer
    /// shows that the leader led at some moment after it. None if the lease that the report spoke of has
    /// run out since: the leader may have counted this daemon as dead, and given its shares and its place
    /// in the agreement on floors away, before it read the report.
    pub fn take(&mut self, orders: DaemonOrders, now: Moment) -> Option<MemberMove> {
        if self.had_lease && now >= self.lease_until {
            return None;
        }
        self.lease_until = self.sent_at + self.lease;
        self.wants_suspects = false;
        if let Some(serving) = &orders.serving {
            self.knows_serving = serving.digest();
        }
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
            pools.push(PoolMove {
                share: f64::from(order.share) / f64::from(SHARE_UNITS),
                floor,
                service: order.service,
            });
        }
        Some(MemberMove {
            table: orders.table,
            pools,
            current_until: self.lease_until,
            version: orders.version,
            serving: orders.serving,
            voters: orders.voters,
            suspects: orders.suspects,
            rollouts: orders.rollouts,
        })
    }
}
