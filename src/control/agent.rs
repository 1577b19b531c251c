//! A daemon's end of the fleet: reports to the leader, carries out its orders, keeps the lease.

use super::fleet::{DaemonOrders, DaemonReport, ReportAnswer};
use super::fleet_member::{FleetMember, PoolState};
use super::links::{FleetKey, LeaderHint, connect};
use super::rpc::{ControlApiClient, LeaderAnswer};
use crate::policy::{PoolEvent, PoolScheduler};
use crate::table::{DaemonName, ServiceName};
use crate::traffic::TrafficState;
use jsonrpsee::ws_client::WsClient;
use slog::{info, warn};
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
    let AgentSettings { daemon, boot, control, lease, .. } = settings.clone();
    let member = FleetMember::new(daemon, boot, control, lease);
    let agent = FleetAgent { settings, state, member, hint, next_voter: 0 };
    tokio::spawn(agent.run());
}

struct FleetAgent {
    settings: AgentSettings,
    state: Arc<TrafficState>,
    member: FleetMember,
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

    /// Sends one report and carries out its answer.
    async fn report(&mut self, address: SocketAddr, client: &WsClient) -> bool {
        let report = self.make_report();
        let answer = tokio::select! {
            answer = tokio::time::timeout(REPORT_TIMEOUT, client.report(report)) => answer,
            // A floor has changed here: the open report is given up for a new one.
            () = self.state.floor_news.notified() => return true,
        };
        match answer {
            Ok(Ok(LeaderAnswer::Done(ReportAnswer::NewTerm(term)))) => {
                self.hint.set(Some(address));
                self.member.set_term(term);
                true
            }
            Ok(Ok(LeaderAnswer::Done(ReportAnswer::Orders(orders)))) => {
                self.hint.set(Some(address));
                self.carry_out(orders);
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
        let pools = self.state.pools();
        let states = pools
            .iter()
            .map(|(service, pool)| pool.inspect(|scheduler| pool_state(service, scheduler)));
        let states = states.collect();
        let version = self.state.snapshot().version;
        self.member.report(version, states, self.state.is_drained(), self.state.clock.now())
    }

    fn carry_out(&mut self, orders: DaemonOrders) {
        // None: the lease ran out before the answer came, so the next report asks anew.
        let Some(moves) = self.member.take(orders, self.state.clock.now()) else { return };
        if let Some(table) = &moves.table {
            self.state.apply_table(table);
        }
        let pools = self.state.pools();
        for step in moves.pools {
            let Some(pool) = pools.get(&step.service) else { continue };
            pool.tell(PoolEvent::Share { share: step.share });
            pool.tell(PoolEvent::FleetFloor(step.floor));
        }
        // Only a daemon that has the version in force may go on: one that just learned of a newer one
        // has it in force by now, and an older one is never taken.
        if self.state.snapshot().version >= moves.version && moves.version > 0 {
            if !self.state.is_current() {
                info!(self.state.log, "table is current"; "version" => moves.version);
            }
            self.state.set_current_until(moves.current_until);
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

fn pool_state(service: &ServiceName, scheduler: &PoolScheduler) -> PoolState {
    PoolState {
        service: service.clone(),
        wanted: scheduler.wanted_floor(),
        guaranteed: scheduler.guaranteed_floor(),
        demand: scheduler.demand_tokens(),
        used: scheduler.used_share(),
    }
}
