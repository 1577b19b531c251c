//! Notices between daemons over UDP: what each has sent where, and let through of the organisations' limits.

mod list;
mod wire;

use super::state::TrafficState;
use crate::policy::{Moment, NeighbourBook, OthersWork, PoolEvent, PoolNotice, WorkNotice};
use crate::table::UpstreamName;
use crate::upstream::PlatformList;
use list::ListExchange;
use slog::debug;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use wire::{DaemonNotice, read_notice, write_notice};

/// Longest time between two notices, also where nothing has changed.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a socket error.
const FAULT_PAUSE: Duration = Duration::from_millis(40);
/// Largest notice, in bytes: one datagram.
const NOTICE_LIMIT: usize = 60 << 10;
/// The neighbours of one daemon.
#[derive(Debug, Default)]
pub struct Neighbours {
    book: Mutex<NeighbourBook>,
    /// Where this daemon hears notices; none while it sends none.
    own: OnceLock<SocketAddr>,
    list: ListExchange,
}

impl Neighbours {
    /// The book, locked.
    pub fn book(&self) -> MutexGuard<'_, NeighbourBook> {
        lock(&self.book)
    }

    /// True if this daemon should read the platform's list itself: it reads for all that hear it, or whoever does
    /// has not been heard lately, or tells of a list that this daemon does not know.
    pub fn must_read_list(&self, now: Moment) -> bool {
        let Some(own) = self.own.get() else { return true };
        self.book().is_reader(*own, now) || !self.list.is_confirmed(now)
    }

    /// Takes the list that this daemon just read, and has the others told.
    pub fn take_reading(&self, list: &PlatformList) {
        self.list.take_reading(list);
    }

    /// Where notices to the others go.
    fn others_addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let mut addresses = self.book().addresses(now);
        addresses.retain(|address| Some(address) != self.own.get());
        addresses
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The socket over which notices go.
#[derive(Clone)]
pub struct NoticeSocket {
    socket: Arc<UdpSocket>,
    own: SocketAddr,
    key: Arc<str>,
}

impl NoticeSocket {
    /// Sends a notice. Lost ones are made good by later ones.
    fn send(&self, notice: &DaemonNotice, addresses: &[SocketAddr]) {
        let bytes = write_notice(notice, &self.key);
        for address in addresses {
            let _ = self.socket.try_send_to(&bytes, *address);
        }
    }
}

/// Starts to tell and to listen on a bound socket.
pub fn start_notices(
    state: Arc<TrafficState>,
    socket: UdpSocket,
    address: SocketAddr,
    key: Arc<str>,
) {
    let socket = NoticeSocket { socket: Arc::new(socket), own: address, key };
    let _ = state.neighbours.own.set(address);
    tokio::spawn(listen(Arc::clone(&state), socket.clone()));
    tokio::spawn(list::tell_readings(Arc::clone(&state), socket.clone()));
    tokio::spawn(tell(state, socket));
}

async fn listen(state: Arc<TrafficState>, socket: NoticeSocket) {
    let mut buffer = vec![0; NOTICE_LIMIT];
    loop {
        let Ok((length, from)) = socket.socket.recv_from(&mut buffer).await else {
            // A peer that does not listen shows up here as a refused connection; there is nothing to do.
            tokio::time::sleep(FAULT_PAUSE).await;
            continue;
        };
        match read_notice(&buffer[..length], &socket.key) {
            Some(notice) => take(&state, &socket, notice),
            None => debug!(state.log, "notice not read"; "from" => from.to_string()),
        }
    }
}

fn take(state: &TrafficState, socket: &NoticeSocket, notice: DaemonNotice) {
    match notice {
        DaemonNotice::Work(notice) if notice.daemon != state.daemon => take_notice(state, notice),
        DaemonNotice::ListRead { daemon, address, change } if daemon != state.daemon => {
            list::take_change(state, socket, (&daemon, address), &change)
        }
        DaemonNotice::ListWanted { daemon, address } if daemon != state.daemon => {
            list::answer_wanted(state, socket, address)
        }
        DaemonNotice::ListPart(part) => list::take_part(state, part),
        DaemonNotice::Work(_) | DaemonNotice::ListRead { .. } | DaemonNotice::ListWanted { .. } => {
        }
    }
}

fn take_notice(state: &TrafficState, notice: WorkNotice) {
    let refills = notice.refills.clone();
    let taken = state.neighbours.book().take(notice, state.clock.now());
    state.charge_taken(&taken);
    state.level_limits(&refills);
    refresh_others(state);
}

/// Gives each pool what the others have at its upstreams.
fn refresh_others(state: &TrafficState) {
    let now = state.clock.now();
    for (service, pool) in state.pools().iter() {
        let others = state.neighbours.book().others(service, now);
        let rows = pool.inspect(|scheduler| changed_rows(scheduler.upstreams(), &others));
        if !rows.is_empty() {
            pool.tell(PoolEvent::Others(rows));
        }
    }
}

fn changed_rows(
    upstreams: &crate::policy::UpstreamSet,
    others: &BTreeMap<UpstreamName, OthersWork>,
) -> Vec<(UpstreamName, OthersWork)> {
    let rows = upstreams.iter().map(|status| {
        let name = &status.source.name;
        (name, status.others, others.get(name).copied().unwrap_or_default())
    });
    let changed = rows.filter(|(_, known, work)| known != work);
    changed.map(|(name, _, work)| (name.clone(), work)).collect()
}

async fn tell(state: Arc<TrafficState>, socket: NoticeSocket) {
    let mut sequence = 0;
    let mut last = None;
    let mut told_at = Instant::now();
    loop {
        let now = state.clock.now();
        let totals = state.taken();
        let rates = state.limit_rates();
        let silent = {
            let mut book = state.neighbours.book();
            book.learn_own(&totals, now);
            book.reckon_silent(&rates, now)
        };
        state.charge_taken(&silent);
        list::ask_while_unknown(&state, &socket);
        let work = (pool_notices(&state), totals);
        if last.as_ref() != Some(&work) || told_at.elapsed() >= LONGEST_PAUSE {
            sequence += 1;
            told_at = Instant::now();
            let (pools, taken) = work.clone();
            last = Some(work);
            let notice = WorkNotice {
                daemon: state.daemon.clone(),
                boot: state.boot(),
                sequence,
                address: socket.own,
                pools,
                taken,
                refills: state.refills(),
                is_leaving: state.is_drained(),
            };
            socket.send(&DaemonNotice::Work(notice), &state.neighbours.others_addresses(now));
        }
        refresh_others(&state);
        let pause = state.neighbours.book().notice_pause();
        tokio::time::sleep(pause).await;
    }
}

fn pool_notices(state: &TrafficState) -> Vec<PoolNotice> {
    let pools = state.pools();
    let mut notices: Vec<PoolNotice> = pools
        .iter()
        .map(|(service, pool)| PoolNotice {
            service: service.clone(),
            upstreams: pool.inspect(|scheduler| {
                let busy = scheduler.upstreams().iter().filter(|status| status.in_flight > 0);
                let work = busy.map(|status| {
                    let work = OthersWork {
                        requests: status.in_flight,
                        unread_tokens: status.unread_tokens,
                    };
                    (status.source.name.clone(), work)
                });
                work.collect()
            }),
        })
        .collect();
    notices.sort_by(|a, b| a.service.cmp(&b.service));
    notices
}
