//! The platform's list among daemons: one reads it, and tells the others what each reading changed.

use super::wire::DaemonNotice;
use super::{NoticeSocket, lock};
use crate::policy::{ChangeVerdict, ListChange, ListPart, ListedUpstream, Moment, SharedList};
use crate::table::DaemonName;
use crate::traffic::state::TrafficState;
use crate::upstream::{PlatformList, VmRow, VmState};
use slog::info;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::Notify;

/// Another daemon's list counts for this long. An upstream that leaves must get no new work 3 s after the list shows
/// it, and the list is read and told each second.
const LIST_LIFE: Duration = Duration::from_millis(1_800);
/// A change is told this many times, since datagrams are lost and the next reading is a second away.
const CHANGE_TOLD: u32 = 3;
/// Pause between two tellings of one change.
const CHANGE_PAUSE: Duration = Duration::from_millis(120);
/// Whole lists sent within [`WHOLE_PAUSE`] at most: one of 143 upstreams takes 5 ms of a link of 10 Mbit/s, and after a
/// restart of all daemons everyone asks at once.
const MOST_WHOLE: u32 = 8;
/// See [`MOST_WHOLE`].
const WHOLE_PAUSE: Duration = Duration::from_millis(250);
/// A daemon without a list, or with another one than was read, asks no more often than this.
const ASK_PAUSE: Duration = Duration::from_millis(200);

/// The list as this daemon knows it, and what it knows of the others' readings.
#[derive(Debug, Default)]
pub struct ListExchange {
    list: Mutex<SharedList>,
    /// When another daemon's reading was heard last that this daemon's list agrees with.
    confirmed: Mutex<Option<Moment>>,
    /// The change of the last reading, to be told.
    change: Mutex<Option<ListChange>>,
    news: Notify,
    asked: Mutex<Option<Moment>>,
    /// Whole lists sent since the time named.
    sent: Mutex<(Moment, u32)>,
}

impl ListExchange {
    /// True if another daemon's reading was heard lately, and this daemon knows the same list.
    pub fn is_confirmed(&self, now: Moment) -> bool {
        lock(&self.confirmed).is_some_and(|at| now.since(at) < LIST_LIFE)
    }

    /// Takes the list that this daemon just read, and has it told.
    pub fn take_reading(&self, list: &PlatformList) {
        let change = lock(&self.list).replace(list.vms.iter().map(listed));
        *lock(&self.change) = Some(change);
        self.news.notify_one();
    }

    /// True if this daemon may ask now.
    fn may_ask(&self, now: Moment) -> bool {
        let mut asked = lock(&self.asked);
        let may = asked.is_none_or(|at| now.since(at) >= ASK_PAUSE);
        if may {
            *asked = Some(now);
        }
        may
    }

    /// True if this daemon may send one more whole list now.
    fn may_send_whole(&self, now: Moment) -> bool {
        let mut sent = lock(&self.sent);
        if now.since(sent.0) >= WHOLE_PAUSE {
            *sent = (now, 0);
        }
        sent.1 += 1;
        sent.1 <= MOST_WHOLE
    }
}

fn listed(row: &VmRow) -> ListedUpstream {
    ListedUpstream {
        service: row.service.clone(),
        upstream: row.upstream.clone(),
        address: row.address,
        incarnation: row.incarnation,
        is_leaving: row.state == VmState::Leaving,
        places: row.places,
    }
}

fn platform_list(list: &SharedList) -> PlatformList {
    let vms = list.rows().map(|row| VmRow {
        service: row.service.clone(),
        upstream: row.upstream.clone(),
        address: row.address,
        state: if row.is_leaving { VmState::Leaving } else { VmState::Live },
        incarnation: row.incarnation,
        places: row.places,
    });
    PlatformList { vms: vms.collect() }
}

/// Tells each reading of this daemon to the others.
pub async fn tell_readings(state: std::sync::Arc<TrafficState>, socket: NoticeSocket) {
    let exchange = &state.neighbours.list;
    loop {
        exchange.news.notified().await;
        let Some(change) = lock(&exchange.change).take() else { continue };
        let times = if change.base == change.digest { 1 } else { CHANGE_TOLD };
        let daemon = state.daemon.clone();
        let notice = DaemonNotice::ListRead { daemon, address: socket.own, change };
        for time in 0..times {
            if time > 0 {
                tokio::time::sleep(CHANGE_PAUSE).await;
            }
            socket.send(&notice, &state.neighbours.others_addresses(state.clock.now()));
        }
    }
}

/// Asks a neighbour for the list while none is known: a daemon that was just started must not wait for the platform.
pub fn ask_while_unknown(state: &TrafficState, socket: &NoticeSocket) {
    let exchange = &state.neighbours.list;
    let now = state.clock.now();
    if lock(&exchange.list).is_known() || !exchange.may_ask(now) {
        return;
    }
    let addresses = state.neighbours.others_addresses(now);
    let position = (state.jitter() * addresses.len() as f64) as usize;
    if let Some(address) = addresses.get(position) {
        ask(state, socket, *address);
    }
}

fn ask(state: &TrafficState, socket: &NoticeSocket, address: SocketAddr) {
    let daemon = state.daemon.clone();
    socket.send(&DaemonNotice::ListWanted { daemon, address: socket.own }, &[address]);
}

/// Takes another daemon's reading.
pub fn take_change(
    state: &TrafficState,
    socket: &NoticeSocket,
    from: (&DaemonName, SocketAddr),
    change: &ListChange,
) {
    let exchange = &state.neighbours.list;
    let now = state.clock.now();
    let (daemon, address) = from;
    let (verdict, list) = {
        let mut list = lock(&exchange.list);
        let verdict = list.take(change);
        // Mostly nothing has changed, and there is nothing to put in force.
        (verdict, (verdict == ChangeVerdict::Applied).then(|| platform_list(&list)))
    };
    match verdict {
        ChangeVerdict::Known => *lock(&exchange.confirmed) = Some(now),
        ChangeVerdict::Applied => {
            *lock(&exchange.confirmed) = Some(now);
            info!(state.log, "platform list changed"; "reader" => daemon.as_str(), "changed" => change.changed.len(),
                "gone" => change.gone.len());
            list.into_iter().for_each(|list| state.apply_platform(list));
        }
        ChangeVerdict::Unknown if exchange.may_ask(now) => ask(state, socket, address),
        ChangeVerdict::Unknown => {}
    }
}

/// Answers a daemon that asks for the whole list.
pub fn answer_wanted(state: &TrafficState, socket: &NoticeSocket, address: SocketAddr) {
    let exchange = &state.neighbours.list;
    let parts = lock(&exchange.list).parts();
    if parts.is_empty() || !exchange.may_send_whole(state.clock.now()) {
        return;
    }
    parts.into_iter().for_each(|part| socket.send(&DaemonNotice::ListPart(part), &[address]));
}

/// Takes a part of a list that was asked for.
pub fn take_part(state: &TrafficState, part: ListPart) {
    let exchange = &state.neighbours.list;
    let whole = {
        let mut list = lock(&exchange.list);
        list.take_part(part).then(|| platform_list(&list))
    };
    let Some(list) = whole else { return };
    info!(state.log, "platform list taken whole"; "upstreams" => list.vms.len());
    *lock(&exchange.confirmed) = Some(state.clock.now());
    state.apply_platform(list);
}
