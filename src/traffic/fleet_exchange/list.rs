//! Sends and receives the messages that distribute the platform's list; [`ListSync`] decides.

use super::wire::DaemonMessage;
use super::{ListStamp, MessageSocket, lock};
use crate::fleet_state::{
    BegunReading, FleetState, ListMessage, ListPeers, ListSync, OlderList, is_list_read_due,
};
use crate::policy::{ListedUpstream, Moment};
use crate::traffic::state::TrafficState;
use crate::upstream::{PlatformList, VmRow, VmState};
use slog::info;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// This daemon's copy of the list, shared with the tasks that read and send it.
#[derive(Debug, Default)]
pub struct ListExchange {
    sync: Mutex<ListSync>,
    /// Digest of the list by which requests are placed. Locked while a list is put in force, so that
    /// the last one holds.
    in_force: Mutex<Option<u64>>,
    work_notify: Notify,
}

impl ListExchange {
    /// Initialises the state; `jitter` is drawn from 0.0..1.0.
    pub fn init(&self, jitter: f64, calls_per_second: Option<f64>) {
        *lock(&self.sync) = ListSync::new(jitter).with_platform_rate(calls_per_second);
    }

    /// See [`is_list_read_due`].
    pub fn is_read_due(&self, fleet: &FleetState, known: (usize, bool), now: Moment) -> bool {
        is_list_read_due(fleet, &mut lock(&self.sync), known, now)
    }

    /// See [`ListSync::await_first_readers`].
    pub fn await_first_readers(&self) {
        lock(&self.sync).await_first_readers();
    }

    /// Returns the last reading that agrees with this daemon's list.
    pub fn stamp(&self, now: Moment) -> Option<ListStamp> {
        lock(&self.sync).stamp(now)
    }

    /// Returns true unless this daemon failed to read the list recently.
    pub fn can_read(&self, now: Moment) -> bool {
        lock(&self.sync).can_read(now)
    }

    /// Records that the list could not be read.
    pub fn record_failure(&self, now: Moment) {
        lock(&self.sync).record_failure(now);
    }

    /// See [`ListSync::begin_reading`].
    pub fn begin_reading(&self, now: Moment) -> BegunReading {
        lock(&self.sync).begin_reading(now)
    }
}

impl TrafficState {
    /// Begins a reading of the platform's list by this daemon.
    pub fn begin_list_reading(&self) -> BegunReading {
        self.fleet.list.begin_reading(self.clock.now())
    }

    /// Stores a list that this daemon has read, puts it in force and sends the change to the others,
    /// unless that of a later reading is known.
    pub fn store_list_reading(&self, reading: BegunReading, list: &PlatformList) {
        let exchange = &self.fleet.list;
        let rows = list.vms.iter().map(listed_upstream);
        lock(&exchange.sync).store_reading(reading, rows, self.clock.now());
        exchange.work_notify.notify_one();
        log_older(self);
        put_in_force(self, None);
    }
}

fn listed_upstream(row: &VmRow) -> ListedUpstream {
    ListedUpstream {
        service: row.service.clone(),
        upstream: row.upstream.clone(),
        address: row.address,
        incarnation: row.incarnation,
        is_leaving: row.state == VmState::Leaving,
        places: row.places,
        version: row.version.clone(),
        data_centre: row.data_centre.clone(),
        is_cold: row.is_cold,
    }
}

fn platform_list(sync: &ListSync) -> PlatformList {
    let vms = sync.rows().map(|row| VmRow {
        service: row.service.clone(),
        upstream: row.upstream.clone(),
        address: row.address,
        state: if row.is_leaving { VmState::Leaving } else { VmState::Live },
        incarnation: row.incarnation,
        places: row.places,
        version: row.version.clone(),
        data_centre: row.data_centre.clone(),
        is_cold: row.is_cold,
    });
    PlatformList { vms: vms.collect() }
}

/// Sends what [`ListSync`] has to send: changes from the reader to the aggregators and on to their
/// groups, parts, and requests.
pub async fn send_messages(state: Arc<TrafficState>, socket: MessageSocket) {
    let exchange = &state.fleet.list;
    loop {
        let interval = lock(&exchange.sync).tick_interval();
        match interval {
            // A message may leave something to send sooner.
            Some(interval) => {
                let _ = tokio::time::timeout(interval, exchange.work_notify.notified()).await;
            }
            None => exchange.work_notify.notified().await,
        }
        let now = state.clock.now();
        let peers = list_peers(&state, now);
        let outgoing = lock(&exchange.sync).tick(&peers, now);
        for outgoing in outgoing {
            let (daemon, address) = (state.daemon.clone(), socket.own_address);
            let message = DaemonMessage::List { daemon, address, message: outgoing.message };
            socket.send(&message, &outgoing.to);
        }
    }
}

fn list_peers(state: &TrafficState, now: Moment) -> ListPeers {
    let draw = state.jitter();
    let has_changes = lock(&state.fleet.list.sync).has_changes();
    let Some(fleet) = state.fleet.fleet() else { return ListPeers::default() };
    ListPeers {
        receivers: if has_changes { fleet.list_receivers(now) } else { Vec::new() },
        source: fleet.list_source(draw, now),
        is_forwarder: fleet.is_list_forwarder(now),
    }
}

/// Handles another daemon's statement of the last reading that it knows of.
pub fn handle_stamp(state: &TrafficState, from: SocketAddr, stamp: ListStamp) {
    let exchange = &state.fleet.list;
    let mut sync = lock(&exchange.sync);
    sync.handle_stamp(from, stamp, state.clock.now());
    if sync.tick_interval().is_some() {
        exchange.work_notify.notify_one();
    }
}

/// Handles a message from the daemon at `from`, and applies the list if it has changed.
pub fn handle_message(state: &TrafficState, from: SocketAddr, message: ListMessage) {
    let exchange = &state.fleet.list;
    let now = state.clock.now();
    let is_forwarder = state.fleet.fleet().is_some_and(|fleet| fleet.is_list_forwarder(now));
    let is_changed = lock(&exchange.sync).handle(from, message, is_forwarder, now);
    if lock(&exchange.sync).tick_interval().is_some() {
        exchange.work_notify.notify_one();
    }
    log_older(state);
    if is_changed {
        put_in_force(state, Some(from));
    }
}

/// Puts the exchange's list in force, unless it is already. `from` is the daemon that it was received
/// from; `None` if this daemon has read it.
fn put_in_force(state: &TrafficState, from: Option<SocketAddr>) {
    let exchange = &state.fleet.list;
    let mut in_force = lock(&exchange.in_force);
    let (list, stamp) = {
        let sync = lock(&exchange.sync);
        let Some(stamp) = sync.stamp(state.clock.now()).filter(|it| Some(it.digest) != *in_force)
        else {
            return;
        };
        (platform_list(&sync), stamp)
    };
    let before = state.platform_list().vms.len();
    info!(state.log, "platform list changed"; "from" => from.map(|from| from.to_string()), "upstreams" => list.vms.len(), "before" => before,
        "list" => format!("{:016x}", stamp.digest), "reading" => stamp.order.number, "reader" => stamp.order.reader, "list_age_ms" => stamp.age_ms);
    state.apply_platform_list(list);
    *in_force = Some(stamp.digest);
}

/// Logs and counts a list that was refused because this daemon knows a newer one.
fn log_older(state: &TrafficState) {
    let older = lock(&state.fleet.list.sync).take_older();
    let Some(OlderList { from, stamp }) = older else { return };
    metrics::counter!("platform_lists_refused").increment(1);
    let known = state.fleet.list.stamp(state.clock.now());
    info!(state.log, "platform list refused as older"; "from" => from.map(|from| from.to_string()), "list" => format!("{:016x}", stamp.digest),
        "reading" => stamp.order.number, "list_age_ms" => stamp.age_ms, "known_reading" => known.map(|stamp| stamp.order.number),
        "known_age_ms" => known.map(|stamp| stamp.age_ms));
}
