//! A daemon's end of the fleet: reports to the leader, carries out its orders, keeps the lease.

use super::fleet::{DaemonOrders, DaemonReport, PoolReport, SHARE_UNITS};
use super::links::{FleetKey, LeaderHint, connect};
use super::rpc::{ControlApiClient, LeaderAnswer};
use crate::policy::{Moment, PoolEvent, PoolScheduler, TierRank};
use crate::table::{DaemonName, ServiceName};
use crate::traffic::TrafficState;
use jsonrpsee::ws_client::WsClient;
use slog::{info, warn};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A report is answered within this time, or its connection counts as silent. Well above how long the
/// leader holds one, well below the lease.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);
/// Time before the next try when no leader is known.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What the agent needs.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The daemon.
    pub daemon: DaemonName,
    /// Its boot number.
    pub boot: u64,
    /// Its control address.
    pub control: SocketAddr,
    /// Control addresses to look for the leader at; its own among them if it is a voter.
    pub voters: Vec<SocketAddr>,
    /// The fleet's key.
    pub key: FleetKey,
    /// How long the table counts as current after a report was sent.
    pub lease: Duration,
}

/// Starts the agent on the current runtime.
pub fn start_agent(settings: AgentSettings, state: Arc<TrafficState>, hint: LeaderHint) {
    let agent =
        FleetAgent { settings, state, shares: BTreeMap::new(), sequence: 0, hint, next_voter: 0 };
    tokio::spawn(agent.run());
}

/// The floors that a report asked for.
type WantedFloors = BTreeMap<ServiceName, Option<TierRank>>;

struct FleetAgent {
    settings: AgentSettings,
    state: Arc<TrafficState>,
    shares: BTreeMap<ServiceName, u32>,
    sequence: u64,
    hint: LeaderHint,
    next_voter: usize,
}

impl FleetAgent {
    async fn run(mut self) {
        let mut client: Option<(SocketAddr, WsClient)> = None;
        loop {
            let address = self.hint.get().unwrap_or_else(|| self.some_voter());
            if client.as_ref().is_none_or(|(known, open)| *known != address || !open.is_connected())
            {
                client =
                    connect(address, &self.settings.key).await.ok().map(|open| (address, open));
            }
            let is_answered = match &client {
                Some((address, open)) => self.report(*address, open).await,
                None => false,
            };
            if !is_answered {
                if client.is_none() {
                    self.hint.set(None);
                }
                client = client.filter(|(known, _)| Some(*known) == self.hint.get());
                self.check_lease();
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    fn some_voter(&mut self) -> SocketAddr {
        let voters = &self.settings.voters;
        self.next_voter = (self.next_voter + 1) % voters.len().max(1);
        voters.get(self.next_voter).copied().unwrap_or(self.settings.control)
    }

    /// Sends one report and carries out its answer. The lease runs from before the sending: the answer
    /// shows that the leader led at some moment after that.
    async fn report(&mut self, address: SocketAddr, client: &WsClient) -> bool {
        let sent_at = self.state.clock.now();
        let report = self.make_report();
        let wanted = report.pools.iter().map(|pool| (pool.service.clone(), pool.wanted)).collect();
        let answer = tokio::select! {
            answer = tokio::time::timeout(REPORT_TIMEOUT, client.report(report)) => answer,
            // A floor has changed here: the open report is given up for a new one.
            () = self.state.floor_news.notified() => return true,
        };
        match answer {
            Ok(Ok(LeaderAnswer::Done(orders))) => {
                self.hint.set(Some(address));
                self.carry_out(orders, sent_at, &wanted);
                true
            }
            Ok(Ok(LeaderAnswer::Elsewhere(leader))) => {
                self.hint.set(leader);
                false
            }
            _ => {
                self.hint.set(None);
                false
            }
        }
    }

    fn make_report(&mut self) -> DaemonReport {
        self.sequence += 1;
        let pools = self.state.pools();
        let rows = pools.iter().map(|(service, pool)| {
            let ordered = self.shares.get(service).copied().unwrap_or(0);
            pool.inspect(|scheduler| pool_report(service, scheduler, ordered))
        });
        DaemonReport {
            daemon: self.settings.daemon.clone(),
            boot: self.settings.boot,
            sequence: self.sequence,
            control: self.settings.control,
            version: self.state.snapshot().version,
            pools: rows.collect(),
            is_leaving: self.state.is_drained(),
        }
    }

    fn carry_out(&mut self, orders: DaemonOrders, sent_at: Moment, wanted: &WantedFloors) {
        if let Some(table) = &orders.table {
            self.state.apply_table(table);
        }
        let pools = self.state.pools();
        for order in orders.pools {
            let Some(pool) = pools.get(&order.service) else { continue };
            let share = f64::from(order.share) / f64::from(SHARE_UNITS);
            pool.tell(PoolEvent::Share { share });
            self.shares.insert(order.service.clone(), order.share);
            let wanted_then = wanted.get(&order.service).copied().flatten();
            pool.tell(PoolEvent::FleetFloor {
                wanted_then,
                confirmed: order.confirmed,
                imposed: order.imposed,
            });
        }
        // Only a daemon that has the version in force may go on: one that just learned of a newer one
        // has it in force by now, and an older one is never taken.
        if self.state.snapshot().version >= orders.version && orders.version > 0 {
            if !self.state.is_current() {
                info!(self.state.log, "table is current"; "version" => orders.version);
            }
            self.state.set_current_until(sent_at + self.settings.lease);
        }
    }

    /// Once the lease has run out nothing that waits may be dispatched any more.
    fn check_lease(&self) {
        if self.state.is_current() {
            return;
        }
        for pool in self.state.pools().values() {
            if pool.status().waiting > 0 {
                warn!(self.state.log, "lease ran out; refusing what waits"; "service" => pool.service.as_str());
                pool.tell(PoolEvent::LeaseLapsed);
            }
        }
    }
}

fn pool_report(service: &ServiceName, scheduler: &PoolScheduler, ordered: u32) -> PoolReport {
    let used = scheduler.used_share() * f64::from(SHARE_UNITS);
    PoolReport {
        service: service.clone(),
        wanted: scheduler.wanted_floor(),
        kept: scheduler.kept_floor(),
        demand: scheduler.demand_tokens(),
        share: ordered.max(used.min(f64::from(SHARE_UNITS)) as u32),
    }
}
