//! Exchange of the fleet's state over UDP: collects this daemon's own state, sends and receives
//! messages, and applies what they report to limits and pools.

mod list;
mod shares;
mod slots;
mod wire;

pub use slots::SlotOffer;
pub use wire::{DaemonMessage, DropCause, decode_message, encode_message};

use super::state::TrafficState;
use crate::fleet_state::{
    BucketEstimates, DaemonIdentity, FirstCount, FleetMessage, FleetRole, FleetState, FlowRow,
    ListStamp, LocalState, MessageRefusal, OrganisationHash, OutgoingMessage, ServiceHash,
    WaitingRow, WorkRow,
};
use crate::policy::{
    Moment, PeerWaiting, PeerWork, PoolEvent, UpstreamHash, UpstreamSet, UpstreamState,
};
use crate::stream_origin::OriginMessage;
use crate::table::{ServiceName, UpstreamName};
use list::ListExchange;
use slog::{info, warn};
use slots::OfferChannel;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Pause after a socket error.
const SOCKET_ERROR_DELAY: Duration = Duration::from_millis(40);
/// Maximum length of a datagram, in bytes.
const MAX_DATAGRAM_LEN: usize = 60 << 10;

/// This daemon's view of the fleet, and the state of its message exchange.
#[derive(Debug, Default)]
pub struct FleetExchange {
    /// None until the exchange is started.
    fleet: OnceLock<Mutex<FleetState>>,
    /// None until the exchange is started.
    socket: OnceLock<MessageSocket>,
    list: ListExchange,
    offers: OfferChannel,
    /// Kinds of datagram faults already logged. Each kind is logged once and always counted.
    logged_causes: Mutex<BTreeSet<DropCause>>,
    daemon_count: AtomicUsize,
    /// Number of daemons that a voter knows; 0 if none was asked.
    expected_daemons: AtomicUsize,
    /// Notified when a voter has named the daemons.
    presumed: Notify,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FleetExchange {
    fn fleet(&self) -> Option<MutexGuard<'_, FleetState>> {
        self.fleet.get().map(lock)
    }

    /// Sets the leader's list of daemons that serve callers.
    pub fn set_serving_list(&self, serving_list: Vec<SocketAddr>, now: Moment) {
        if let Some(mut fleet) = self.fleet() {
            fleet.set_serving_list(serving_list, now);
        }
    }

    /// Records that the leader's list is unchanged.
    pub fn confirm_serving_list(&self, now: Moment) {
        if let Some(mut fleet) = self.fleet() {
            fleet.confirm_serving_list(now);
        }
    }

    /// Returns the number of known daemons in the fleet, including this one.
    pub fn daemon_count(&self) -> usize {
        self.daemon_count.load(Ordering::Relaxed).max(1)
    }

    /// Control addresses of the daemons that serve callers, including this one.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.fleet().map_or_else(Vec::new, |fleet| fleet.addresses().to_vec())
    }

    /// The daemons that serve callers, and which of them is this one.
    pub fn peer_addresses(&self) -> PeerAddresses {
        let own = self.socket.get().map(|socket| socket.own_address);
        let Some(fleet) = self.fleet() else {
            return PeerAddresses { own, addresses: Vec::new(), is_complete: true };
        };
        let addresses = fleet.addresses().to_vec();
        PeerAddresses { own, addresses, is_complete: fleet.has_serving_list() }
    }

    /// True if this daemon exchanges messages with others.
    pub fn is_exchanging(&self) -> bool {
        self.socket.get().is_some()
    }

    /// Returns the last reading that agrees with this daemon's list of upstreams.
    pub fn list_stamp(&self, now: Moment) -> Option<ListStamp> {
        self.fleet.get()?;
        self.list.stamp(now)
    }

    /// Sends a message to other daemons.
    pub fn send(&self, message: &DaemonMessage, addresses: &[SocketAddr]) {
        if let Some(socket) = self.socket.get() {
            socket.send(message, addresses);
        }
    }

    /// Sends messages to other daemons, with a pause after each `burst` of them.
    pub fn send_paced(
        &self,
        mut messages: Vec<(SocketAddr, DaemonMessage)>,
        burst: usize,
        pause: Duration,
    ) {
        let Some(socket) = self.socket.get().cloned() else { return };
        let send = |messages: &[(SocketAddr, DaemonMessage)], socket: &MessageSocket| {
            messages.iter().for_each(|(address, message)| socket.send(message, &[*address]));
        };
        let later = messages.split_off(messages.len().min(burst));
        send(&messages, &socket);
        if later.is_empty() {
            return;
        }
        tokio::spawn(async move {
            for messages in later.chunks(burst) {
                tokio::time::sleep(pause).await;
                send(messages, &socket);
            }
        });
    }

    /// Returns true if this daemon should read the platform's list itself: it is the reader for the
    /// fleet, or its list has not been confirmed for too long. `has_table` is true if it could
    /// serve callers once it has a list.
    pub fn is_list_read_due(&self, has_table: bool, now: Moment) -> bool {
        let Some(fleet) = self.fleet() else { return true };
        let expected = self.expected_daemons.load(Ordering::Relaxed);
        self.list.is_read_due(&fleet, (expected, has_table), now)
    }

    /// Sets the daemons that a voter's log names, until the leader names those that serve callers.
    pub fn presume_daemons(&self, addresses: Vec<SocketAddr>, now: Moment) {
        let Some(mut fleet) = self.fleet() else { return };
        if !addresses.is_empty() && !fleet.has_serving_list() {
            fleet.presume_daemons(addresses, now);
            self.list.await_first_readers();
            self.presumed.notify_one();
        }
    }

    /// Completes when [`presume_daemons`](Self::presume_daemons) was called.
    pub async fn presumed(&self) {
        self.presumed.notified().await;
    }

    /// Records how many daemons a voter knows; until the leader has named them, this daemon cannot
    /// tell otherwise how many have started at the same time.
    pub fn expect_daemons(&self, daemons: usize) {
        self.expected_daemons.store(daemons, Ordering::Relaxed);
    }

    /// Records that the platform did not let this daemon read the list, so that another daemon
    /// takes over.
    pub fn record_read_failure(&self, now: Moment) {
        self.list.record_failure(now);
    }
}

/// The daemons that serve callers.
#[derive(Clone, Debug)]
pub struct PeerAddresses {
    /// The address of this one; `None` before the exchange is started.
    pub own: Option<SocketAddr>,
    /// All that are known, this one included.
    pub addresses: Vec<SocketAddr>,
    /// False until the leader has named them.
    pub is_complete: bool,
}

impl PeerAddresses {
    /// True if no other daemon is known.
    pub fn is_alone(&self) -> bool {
        self.addresses.iter().all(|address| Some(*address) == self.own)
    }
}

/// The UDP socket for messages between daemons.
#[derive(Clone, Debug)]
pub struct MessageSocket {
    socket: Arc<UdpSocket>,
    own_address: SocketAddr,
    key: Arc<str>,
}

impl MessageSocket {
    /// Sends a message. Send errors are ignored, since later messages make up for lost ones.
    fn send(&self, message: &DaemonMessage, addresses: &[SocketAddr]) {
        if addresses.is_empty() {
            return;
        }
        let bytes = encode_message(message, &self.key);
        for address in addresses {
            let _ = self.socket.try_send_to(&bytes, *address);
        }
        metrics::counter!("fleet_messages_sent").increment(addresses.len() as u64);
        metrics::counter!("fleet_bytes_sent").increment((bytes.len() * addresses.len()) as u64);
    }
}

/// Starts sending and receiving messages on a bound socket. `calls_per_second` is the rate of calls
/// that the platform takes from all daemons that read its list, if it is known.
pub fn start_exchange(
    state: Arc<TrafficState>,
    socket: UdpSocket,
    address: SocketAddr,
    key: Arc<str>,
    calls_per_second: Option<f64>,
) {
    let socket = MessageSocket { socket: Arc::new(socket), own_address: address, key };
    let identity = DaemonIdentity { daemon: state.daemon.clone(), boot: state.boot(), address };
    let fleet = FleetState::new(identity);
    state.limits().set_share(fleet.limit_share());
    state.limits().set_initial_credit(state.jitter());
    let _ = state.fleet.fleet.set(Mutex::new(fleet));
    let _ = state.fleet.socket.set(socket.clone());
    state.fleet.list.init(state.jitter(), calls_per_second);
    tokio::spawn(receive_messages(Arc::clone(&state), socket.clone()));
    tokio::spawn(list::send_messages(Arc::clone(&state), socket.clone()));
    tokio::spawn(slots::send_offers(Arc::clone(&state)));
    let origins = Arc::clone(&state);
    tokio::spawn(async move { origins.origins.send_to_voters(&origins).await });
    tokio::spawn(send_messages(state, socket));
}

/// Receives messages of the daemons that serve callers at a voter, which keeps their records of streams.
pub fn start_voter_exchange(
    state: Arc<TrafficState>,
    socket: UdpSocket,
    address: SocketAddr,
    key: Arc<str>,
) {
    let socket = MessageSocket { socket: Arc::new(socket), own_address: address, key };
    let _ = state.fleet.socket.set(socket.clone());
    tokio::spawn(receive_messages(state, socket));
}

async fn receive_messages(state: Arc<TrafficState>, socket: MessageSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_LEN];
    loop {
        let Ok((len, from)) = socket.socket.recv_from(&mut buffer).await else {
            // The peer of an earlier send may not be listening, which is reported here as a refused
            // connection. There is nothing to do.
            tokio::time::sleep(SOCKET_ERROR_DELAY).await;
            continue;
        };
        match decode_message(&buffer[..len], &socket.key) {
            Ok(message) => handle_message(&state, message, from),
            Err(cause) => record_drop(&state, cause, from),
        }
    }
}

/// Counts a dropped datagram, and logs each kind of fault once.
fn record_drop(state: &TrafficState, cause: DropCause, from: SocketAddr) {
    metrics::counter!("fleet_messages_dropped", "cause" => cause.name()).increment(1);
    let is_usual = cause == DropCause::Refused(MessageRefusal::Overtaken);
    if !is_usual && lock(&state.fleet.logged_causes).insert(cause) {
        warn!(state.log, "dropped a message from another daemon"; "cause" => cause.name(), "from" => from.to_string());
    }
}

fn handle_message(state: &TrafficState, message: DaemonMessage, from: SocketAddr) {
    match message {
        DaemonMessage::State(message) if message.source().daemon != state.daemon => {
            if let Err(refusal) = handle_state(state, message) {
                record_drop(state, DropCause::Refused(refusal), from);
            }
        }
        DaemonMessage::List { daemon, address, message } if daemon != state.daemon => {
            list::handle_message(state, address, message)
        }
        DaemonMessage::Origin(message) => {
            let now = state.clock.now();
            let is_acknowledged = matches!(message, OriginMessage::Announced(_));
            let reply = state.origins.handle_message(message, from, now);
            if let Some(reply) = reply {
                state.fleet.send(&DaemonMessage::Origin(reply), &[from]);
            }
            if is_acknowledged {
                state.origins.use_announced(state);
            }
        }
        DaemonMessage::SlotOffer(offer) => slots::handle_offer(state, offer),
        // This daemon's own message, received back, or one of an earlier build.
        DaemonMessage::State(_)
        | DaemonMessage::List { .. }
        | DaemonMessage::RetiredListChanged
        | DaemonMessage::RetiredListWanted
        | DaemonMessage::RetiredListPart => {}
    }
}

fn handle_state(state: &TrafficState, message: FleetMessage) -> Result<(), MessageRefusal> {
    let now = state.clock.now();
    let (stamp, address) = (message.list(), message.source().address);
    let (daemon, suspects) = (message.source().daemon.clone(), message.suspects().clone());
    let is_summary = matches!(message, FleetMessage::Summary(_));
    let Some(mut fleet) = state.fleet.fleet() else { return Ok(()) };
    let estimates = fleet.receive(message, now)?;
    let charges = fleet.drain_charges();
    let first_counts = fleet.drain_first_counts();
    let is_mesh = fleet.role(now) == FleetRole::Mesh;
    drop(fleet);
    log_first_counts(state, &first_counts);
    if let Some(stamp) = stamp {
        list::handle_stamp(state, address, stamp);
    }
    state.quarantine.merge_news(state, &daemon, &suspects);
    apply_charges(state, &charges);
    apply_estimates(state, &estimates);
    // An aggregator receives many messages per interval, and applies them together when it sends
    // its own.
    if is_summary || is_mesh {
        refresh_limits_and_pools(state);
    }
    Ok(())
}

/// Logs and counts the first messages of sources of counters.
fn log_first_counts(state: &TrafficState, first_counts: &[FirstCount]) {
    for FirstCount { source, level, baseline, tokens } in first_counts {
        let labels = [("level", *level), ("baseline", *baseline)];
        metrics::counter!("fleet_first_counts", &labels).increment(1);
        info!(state.log, "counters heard for the first time"; "source" => source.as_str(), "level" => *level,
            "baseline" => *baseline, "tokens" => *tokens);
    }
}

/// Charges the limits with the tokens that other daemons admitted.
fn apply_charges(state: &TrafficState, charges: &[(OrganisationHash, i64)]) {
    if charges.is_empty() {
        return;
    }
    let snapshot = state.snapshot();
    let now = state.clock.now();
    let mut limits = state.limits();
    for (organisation, tokens) in charges {
        if let Some(index) = snapshot.access.token_limited_by_hash(*organisation) {
            limits.charge(index, *tokens, now);
        }
    }
}

/// Moves the buckets towards the estimates of another daemon.
fn apply_estimates(state: &TrafficState, estimates: &BucketEstimates) {
    let snapshot = state.snapshot();
    let now = state.clock.now();
    let mut limits = state.limits();
    for row in &estimates.rows {
        if let Some(index) = snapshot.access.token_limited_by_hash(row.organisation) {
            let refill = Duration::from_millis(u64::from(row.refill_ms));
            limits.converge(index, refill, estimates.senders, now);
        }
    }
}

/// Passes the known state of the other daemons to the limits and to each pool.
fn refresh_limits_and_pools(state: &TrafficState) {
    let now = state.clock.now();
    let snapshot = state.snapshot();
    let Some(fleet) = state.fleet.fleet() else { return };
    let (others, group) = (fleet.others_work(now), fleet.group());
    let (waiting, group_delay) = (fleet.others_waiting(now), fleet.group_delay(now));
    let share = fleet.limit_share();
    let forecast = fleet.forecasts(now);
    let limited = snapshot.access.token_limited_hashes();
    let forecasts: Vec<_> = limited.map(|(hash, index)| (index, forecast(hash))).collect();
    drop(forecast);
    let owners = fleet.owners();
    drop(fleet);
    let mut limits = state.limits();
    limits.set_share(share);
    forecasts.into_iter().for_each(|(index, forecast)| limits.set_forecast(index, forecast));
    drop(limits);
    let has_peers = state.relay.is_enabled() && state.fleet.daemon_count() > 1;
    for (service, pool) in state.pools().iter() {
        if pool.inspect(|scheduler| scheduler.reach().has_peers() != has_peers) {
            pool.handle_event(PoolEvent::Peers { has_peers });
        }
        if pool.inspect(|scheduler| !Arc::ptr_eq(scheduler.upstreams().owners(), &owners)) {
            pool.handle_event(PoolEvent::Owners(Arc::clone(&owners)));
        }
        let levels = waiting.get(&ServiceHash::of(service)).cloned().unwrap_or_default();
        let waiting = PeerWaiting { levels, age: group_delay };
        let (rows, is_changed) = pool.inspect(|scheduler| {
            let upstreams = scheduler.upstreams();
            let is_changed = upstreams.group() != group || *scheduler.peer_waiting() != waiting;
            (changed_rows(&pool.service, upstreams, &others), is_changed)
        });
        if !rows.is_empty() || is_changed {
            pool.handle_event(PoolEvent::PeerLoad { rows, group, waiting });
        }
    }
}

fn changed_rows(
    service: &ServiceName,
    upstreams: &UpstreamSet,
    others: &BTreeMap<UpstreamHash, PeerWork>,
) -> Vec<(UpstreamName, PeerWork)> {
    let rows = upstreams.iter().map(|status| {
        let name = &status.source.name;
        let work = others.get(&UpstreamHash::of(service, name, status.source.incarnation));
        (name, status.peer_work, work.copied().unwrap_or_default())
    });
    let changed = rows.filter(|(_, known, work)| known != work);
    changed.map(|(name, _, work)| (name.clone(), work)).collect()
}

/// The last logged values of the fleet's state.
#[derive(Debug, Default, PartialEq)]
struct LoggedState {
    role: Option<FleetRole>,
    is_list_reader: bool,
    /// True while less than half of the fleet is covered.
    is_partial: bool,
}

/// Sends this daemon's messages periodically.
async fn send_messages(state: Arc<TrafficState>, socket: MessageSocket) {
    let mut logged = LoggedState::default();
    let mut collected_at = Moment::default();
    loop {
        let now = state.clock.now();
        let local = local_state(&state, collected_at);
        collected_at = now;
        let rates = limit_rates(&state);
        let Some((outgoing, charges, send_interval)) = state.fleet.fleet().map(|mut fleet| {
            let outgoing = fleet.tick(local, &rates, now);
            state.fleet.daemon_count.store(fleet.addresses().len(), Ordering::Relaxed);
            log_changes(&state, &fleet, &mut logged, now);
            log_first_counts(&state, &fleet.drain_first_counts());
            (outgoing, fleet.drain_charges(), fleet.send_interval())
        }) else {
            return;
        };
        apply_charges(&state, &charges);
        for OutgoingMessage { to, message } in outgoing {
            socket.send(&DaemonMessage::State(message), &to);
        }
        refresh_limits_and_pools(&state);
        shares::refresh_shares(&state);
        tokio::time::sleep(send_interval).await;
    }
}

/// Updates the metrics, and logs a line when this daemon's role or the coverage of its sums
/// changes.
fn log_changes(state: &TrafficState, fleet: &FleetState, logged: &mut LoggedState, now: Moment) {
    let (covered_daemons, daemons) = (fleet.covered_daemons(now), fleet.addresses().len());
    let age = fleet.sums_age(now);
    metrics::gauge!("fleet_sums_daemons").set(covered_daemons as f64);
    metrics::gauge!("fleet_sums_age_seconds").set(age.as_secs_f64());
    if let Some(stamp) = state.fleet.list.stamp(now) {
        let age = Duration::from_millis(u64::from(stamp.age_ms));
        metrics::gauge!("platform_list_age_seconds").set(age.as_secs_f64());
    }
    let current = LoggedState {
        role: Some(fleet.role(now)),
        is_list_reader: fleet.has_serving_list() && fleet.is_list_reader(now),
        is_partial: covered_daemons * 2 < daemons,
    };
    if current != *logged {
        info!(state.log, "fleet state"; "role" => format!("{:?}", fleet.role(now)), "reads_list" => current.is_list_reader,
            "covers" => covered_daemons, "daemons" => daemons, "age_ms" => age.as_millis() as u64);
        *logged = current;
    }
}

/// Collects this daemon's local state; speeds are those learned since `since`.
fn local_state(state: &TrafficState, since: Moment) -> LocalState {
    let now = state.clock.now();
    LocalState {
        flows: own_flows(state),
        work: own_work(state, since, now),
        waiting: own_waiting(state),
        list: state.fleet.list.stamp(now),
        can_read_list: state.fleet.list.can_read(now),
        has_left: state.is_drained(),
        suspects: state.quarantine.next_news(now),
    }
}

fn own_flows(state: &TrafficState) -> Vec<FlowRow> {
    let snapshot = state.snapshot();
    let now = state.clock.now();
    let limits = state.limits();
    let rows = snapshot.access.token_limited_hashes().map(|(organisation, index)| FlowRow {
        organisation,
        taken: limits.admitted_tokens(index),
        asked: limits.requested_tokens(index),
        refill_ms: limits.time_to_full(index, now).as_millis() as u32,
    });
    rows.filter(|row| row.asked != 0 || row.refill_ms != 0).collect()
}

fn limit_rates(state: &TrafficState) -> Vec<(OrganisationHash, f64)> {
    let snapshot = state.snapshot();
    let limits = state.limits();
    let limited = snapshot.access.token_limited_hashes();
    limited.filter_map(|(hash, index)| Some((hash, limits.rate(index)?))).collect()
}

/// Collects the requests waiting at this daemon.
fn own_waiting(state: &TrafficState) -> Vec<WaitingRow> {
    let pools = state.pools();
    let rows = pools.iter().flat_map(|(service, pool)| {
        let service = ServiceHash::of(service);
        let levels = pool.inspect(|scheduler| scheduler.waiting_levels());
        let row = move |(level, count)| WaitingRow { service, level, count };
        levels.iter().map(row).collect::<Vec<WaitingRow>>()
    });
    rows.collect()
}

/// Collects this daemon's requests at each upstream, and the speeds learned since `since`.
fn own_work(state: &TrafficState, since: Moment, now: Moment) -> Vec<WorkRow> {
    let mut rows = Vec::new();
    for pool in state.pools().values() {
        let service = &pool.service;
        pool.inspect(|scheduler| {
            // A daemon that may reach none of the upstreams knows nothing of any one of them.
            let is_doubtful = scheduler.reach().is_doubtful();
            rows.extend(scheduler.upstreams().iter().filter_map(|status| {
                let learned = status.gap_micros.filter(|_| status.gap_measured_at > since);
                let work = PeerWork {
                    requests: status.in_flight,
                    unread_tokens: status.unread_tokens,
                    gap_micros: learned.unwrap_or(0.0) as u32,
                    is_down: !is_doubtful && status.state() == UpstreamState::Suspect,
                    is_leaving: false,
                    stated_rate: status.rate_pace.report(now),
                    hinted: 0,
                };
                let hash =
                    UpstreamHash::of(service, &status.source.name, status.source.incarnation);
                (work != PeerWork::default()).then_some((hash, work))
            }));
            let announced = scheduler.upstreams().announced_departures(now);
            rows.extend(announced.map(|(name, incarnation)| {
                let work = PeerWork { is_leaving: true, ..PeerWork::default() };
                (UpstreamHash::of(service, name, incarnation), work)
            }));
        });
    }
    rows.sort_unstable_by_key(|(hash, _)| *hash);
    rows
}
