//! The fleet agent of a daemon: reports to the leader, applies its orders and renews the lease.

use super::fleet::{DaemonOrders, DaemonReport, ORGANISATION_LIMITS_POOL, ReportAnswer};
use super::fleet_member::{FleetMember, PoolState};
use super::links::{FleetKey, KnownVoters, LeaderClient, LeaderHint};
use super::packed_table::unpack;
use super::rpc::{ControlApiClient, LeaderAnswer};
use crate::policy::{PoolEvent, PoolScheduler};
use crate::table::{DaemonName, ServiceName, VersionedTable};
use crate::traffic::{TableSource, TrafficState};
use jsonrpsee::ws_client::WsClient;
use slog::{error, info, warn};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout for the answer to one report, after which the connection is considered dead. Well above
/// the time for which the leader holds a report, and well below the lease.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout for consecutive reports that each replaced an unanswered one. The leader may hold each
/// report for a while.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Delay before the next attempt when no leader is known.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Minimum interval between two questions to one voter for a newer table, while no leader answers.
const VOTER_RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of the fleet agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// The name of this daemon.
    pub daemon: DaemonName,
    /// The number of this process start.
    pub boot: u64,
    /// The address of this daemon's control interface.
    pub control: SocketAddr,
    /// Control addresses at which to look for the leader; includes this daemon's own if it is a
    /// voter.
    pub voters: KnownVoters,
    /// The key shared by the fleet.
    pub key: FleetKey,
    /// How long the table counts as current after sending a report that the leader confirms.
    pub lease: Duration,
    /// True if this daemon serves callers.
    pub serves_callers: bool,
    /// True if this daemon agrees shares of limits with the other daemons without the leader, and
    /// sheds load without the leader's orders.
    pub divides_alone: bool,
    /// True if this daemon relies on the members that a voter knows until a leader names the daemons.
    pub presumes_members: bool,
}

/// Starts the agent on the current Tokio runtime.
pub fn start_agent(settings: AgentSettings, state: Arc<TrafficState>, hint: LeaderHint) {
    let AgentSettings { daemon, boot, control, voters, key, lease, .. } = settings;
    let leader = LeaderClient::new(voters, key, hint).for_daemon(&daemon);
    let member = FleetMember::new(daemon, boot, control, lease);
    let member = if settings.serves_callers { member } else { member.without_callers() };
    let member = if settings.divides_alone { member.dividing_alone() } else { member };
    let divides_alone = settings.divides_alone;
    let presumes_members = settings.presumes_members;
    let agent = FleetAgent {
        state,
        member,
        leader,
        silent_since: None,
        divides_alone,
        presumes_members,
        asked_at: BTreeMap::new(),
    };
    tokio::spawn(agent.run());
}

struct FleetAgent {
    state: Arc<TrafficState>,
    member: FleetMember,
    leader: LeaderClient,
    /// When the earliest unanswered report was sent. Replacing a report by a newer one does not
    /// reset it; otherwise a floor that changes continuously would hide a dead connection.
    silent_since: Option<Instant>,
    divides_alone: bool,
    presumes_members: bool,
    /// When each voter was last asked for a newer table.
    asked_at: BTreeMap<SocketAddr, Instant>,
}

impl FleetAgent {
    async fn run(mut self) {
        loop {
            let is_answered = match self.leader.get().await {
                Some((address, client)) => self.report(address, &client).await,
                None => {
                    self.silent_since = None;
                    self.leader.hint().set(None);
                    false
                }
            };
            if !is_answered {
                self.ask_for_newer_table().await;
                self.leader.drop_unless_hinted();
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Sends one report and applies the answer. Returns true if the leader answered or a new report
    /// is due.
    async fn report(&mut self, address: SocketAddr, client: &WsClient) -> bool {
        let report = self.make_report();
        let since = *self.silent_since.get_or_insert_with(Instant::now);
        let until = (Instant::now() + REPORT_TIMEOUT).min(since + SILENCE_TIMEOUT);
        let until = tokio::time::Instant::from_std(until);
        let answer = tokio::select! {
            biased;
            answer = tokio::time::timeout_at(until, client.report(report)) => answer,
            // A local floor has changed: abandon the pending report and send a new one.
            () = self.state.floor_changes.notified() => return true,
        };
        self.silent_since = None;
        match answer {
            Ok(Ok(LeaderAnswer::Done(ReportAnswer::NewTerm(term)))) => {
                self.leader.hint().set(Some(address));
                self.member.set_term(term);
                // A new leader gives no orders to a daemon whose lease is over until it has heard all
                // daemons or a lease has passed.
                self.apply_newer_table(address, client).await;
                true
            }
            Ok(Ok(LeaderAnswer::Done(ReportAnswer::Orders(orders)))) => {
                self.leader.hint().set(Some(address));
                self.apply_orders(orders, address);
                true
            }
            Ok(Ok(LeaderAnswer::Elsewhere(leader))) => {
                self.leader.hint().set(leader);
                false
            }
            _ => {
                info!(self.state.log, "report not answered"; "leader" => address, "after_ms" => since.elapsed().as_millis() as u64,
                    "table" => self.state.snapshot().version);
                self.leader.hint().set(None);
                false
            }
        }
    }

    /// Takes a newer committed table from the voter that gave no orders, if this daemon may serve
    /// while cut off from the leader. After a restart of the whole fleet, voters can provide a table
    /// a second before the first leader is elected, and some of them are behind others.
    async fn ask_for_newer_table(&mut self) {
        let Some((voter, client)) = self.leader.connection() else { return };
        let known = self.state.snapshot().version;
        let is_asked = |at: &Instant| at.elapsed() < VOTER_RECHECK_INTERVAL;
        if known > 0 && self.asked_at.get(&voter).is_some_and(is_asked) {
            return;
        }
        self.apply_newer_table(voter, &client).await;
    }

    /// Puts the voter's table in force if it is newer.
    async fn apply_newer_table(&mut self, voter: SocketAddr, client: &WsClient) {
        if !self.state.may_use_expired_table() {
            return;
        }
        let known = self.state.snapshot().version;
        if known == 0
            && let Ok(Ok(daemons)) = tokio::time::timeout(REPORT_TIMEOUT, client.fleet_size()).await
        {
            self.state.fleet.expect_daemons(daemons);
        }
        let newer = tokio::time::timeout(REPORT_TIMEOUT, client.newer_table(known)).await;
        let Ok(Ok(newer)) = newer else { return };
        self.asked_at.retain(|_, at| at.elapsed() < VOTER_RECHECK_INTERVAL);
        self.asked_at.insert(voter, Instant::now());
        let Some(packed) = newer else { return };
        let Some(table) = unpack(&packed) else {
            return error!(self.state.log, "could not unpack the table"; "voter" => voter, "bytes" => packed.len());
        };
        info!(self.state.log, "applying a voter's table without confirmation by a leader"; "version" => table.version, "voter" => voter);
        self.apply_table(&table, TableSource::Voter(voter));
        if known == 0 {
            self.presume_members(client).await;
        }
    }

    /// Puts a newer table in force.
    fn apply_table(&self, table: &VersionedTable, source: TableSource) {
        if table.version > self.state.snapshot().version {
            self.state.apply_table(table);
            self.state.table_origin.record_source(source);
        }
    }

    /// Forms groups with the members that a voter's log names, so that the list of upstreams can be
    /// read and distributed before there is a leader.
    async fn presume_members(&self, client: &WsClient) {
        if !self.presumes_members {
            return;
        }
        let members = tokio::time::timeout(REPORT_TIMEOUT, client.serving_members()).await;
        if let Ok(Ok(members)) = members {
            info!(self.state.log, "using a voter's members until a leader names the daemons"; "members" => members.len());
            self.state.fleet.presume_daemons(members, self.state.clock.now());
        }
    }

    fn make_report(&mut self) -> DaemonReport {
        let states = if self.divides_alone { Vec::new() } else { self.pool_states() };
        let version = self.state.snapshot().version;
        let now = self.state.clock.now();
        let report = self.member.report(version, states, self.state.is_drained(), now);
        DaemonReport {
            suspects: self.state.quarantine.reports(now),
            knows_rollouts: self.state.rollouts.digest(),
            rollouts: self.state.rollout_reports(),
            knows_evacuated: self.state.evacuated_digest(),
            ..report
        }
    }

    fn pool_states(&self) -> Vec<PoolState> {
        let pools = self.state.pools();
        let states = pools
            .iter()
            .map(|(service, pool)| pool.inspect(|scheduler| pool_state(service, scheduler)));
        let limits = self.state.limits();
        let limits = PoolState {
            service: ORGANISATION_LIMITS_POOL.into(),
            wanted: None,
            guaranteed: None,
            demand: limits.demand(),
            utilisation: limits.largest_utilisation(),
        };
        states.chain([limits]).collect()
    }

    fn apply_orders(&mut self, mut orders: DaemonOrders, leader: SocketAddr) {
        if let Some(packed) = orders.packed.take() {
            orders.table = unpack(&packed).map(Box::new);
            if orders.table.is_none() {
                return error!(self.state.log, "could not unpack the table"; "version" => orders.version, "bytes" => packed.len());
            }
        }
        let table = orders.table.take();
        let version = orders.version;
        // `None` if the lease expired before the answer arrived; the next report asks again.
        let Some(moves) = self.member.apply(orders, self.state.clock.now()) else {
            warn!(self.state.log, "orders came after the lease"; "version" => version, "leader" => leader);
            // A table in force is committed, whether or not the lease is over.
            if let Some(table) = &table {
                self.apply_table(table, TableSource::Leader(leader));
            }
            return;
        };
        let now = self.state.clock.now();
        match &moves.serving {
            Some(serving) => self.state.fleet.set_serving_list(serving.addresses.clone(), now),
            None => self.state.fleet.confirm_serving_list(now),
        }
        self.state.origins.set_voters(moves.voters.clone());
        self.leader.set_voters(moves.voters.clone());
        self.state.quarantine.merge_rows(&self.state, &moves.suspects);
        self.state.rollouts.confirm_leader(now);
        if let Some(rollouts) = moves.rollouts {
            self.state.apply_rollouts(rollouts);
        }
        if let Some(evacuated) = moves.evacuated {
            self.state.apply_evacuated(evacuated);
        }
        if let Some(table) = &table {
            self.apply_table(table, TableSource::Leader(leader));
        }
        let pools = self.state.pools();
        for pool_move in moves.pools {
            if pool_move.service.as_str() == ORGANISATION_LIMITS_POOL {
                self.state.limits().set_share(pool_move.share);
            }
            let Some(pool) = pools.get(&pool_move.service) else { continue };
            pool.handle_event(PoolEvent::Share { share: pool_move.share });
            pool.handle_event(PoolEvent::FleetFloor(pool_move.floor));
        }
        // Renew the lease only if the version in force here is at least the leader's. A newer table
        // in this answer has been applied above, and an older one is never applied.
        if self.state.snapshot().version >= moves.version && moves.version > 0 {
            if !self.state.is_current() {
                info!(self.state.log, "table is current"; "version" => moves.version);
            }
            self.state.set_current_until(moves.current_until);
            self.state.table_origin.confirm(now);
        }
    }
}

fn pool_state(service: &ServiceName, scheduler: &PoolScheduler) -> PoolState {
    PoolState {
        service: service.clone(),
        wanted: scheduler.wanted_floor(),
        guaranteed: scheduler.guaranteed_floor(),
        demand: scheduler.demand_tokens(),
        utilisation: scheduler.max_utilisation(),
    }
}
