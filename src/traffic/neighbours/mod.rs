//! Notices between daemons over UDP: what each has sent where, and let through of the organisations' limits.

mod list;
mod wire;

use super::state::TrafficState;
use crate::policy::{
    CellNotice, Moment, NeighbourBook, OthersWork, PoolEvent, UpstreamMark, UpstreamSet,
    UpstreamState, WorkNotice,
};
use crate::table::{OrganisationName, ServiceName, UpstreamName};
use crate::upstream::PlatformList;
use list::ListExchange;
use slog::debug;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
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
    sequence: AtomicU64,
    /// The other daemons, as last looked at.
    others: AtomicUsize,
}

impl Neighbours {
    /// The book, locked.
    pub fn book(&self) -> MutexGuard<'_, NeighbourBook> {
        lock(&self.book)
    }

    /// Daemons of the fleet as far as is known, this one among them.
    pub fn daemons(&self) -> usize {
        self.others.load(Ordering::Relaxed) + 1
    }

    /// The number of the next notice.
    fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed) + 1
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
    state.limits().set_share(state.neighbours.book().limit_share());
    tokio::spawn(listen(Arc::clone(&state), socket.clone()));
    tokio::spawn(list::tell_readings(Arc::clone(&state), socket.clone()));
    tokio::spawn(tell_cell(Arc::clone(&state), socket.clone()));
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
        DaemonNotice::Cell(notice) if notice.daemon != state.daemon => {
            take_cell_notice(state, notice)
        }
        DaemonNotice::ListRead { daemon, address, change } if daemon != state.daemon => {
            list::take_change(state, socket, (&daemon, address), &change)
        }
        DaemonNotice::ListWanted { daemon, address } if daemon != state.daemon => {
            list::answer_wanted(state, socket, address)
        }
        DaemonNotice::ListPart(part) => list::take_part(state, part),
        // Its own notice, come back.
        DaemonNotice::Work(_)
        | DaemonNotice::Cell(_)
        | DaemonNotice::ListRead { .. }
        | DaemonNotice::ListWanted { .. } => {}
    }
}

fn take_notice(state: &TrafficState, notice: WorkNotice) {
    let refills = notice.refills.clone();
    let taken = state.neighbours.book().take(notice, state.clock.now());
    state.charge_taken(&taken);
    state.level_limits(&refills);
    // In a fleet of one cell each notice is of this daemon's cell; in larger ones the cell has notices of its own.
    let own = state.neighbours.own.get().copied();
    let now = state.clock.now();
    if own.is_some_and(|own| state.neighbours.book().cell(own, now).count == 1) {
        refresh_others(state);
    }
}

fn take_cell_notice(state: &TrafficState, notice: CellNotice) {
    state.neighbours.book().take_cell(notice, state.clock.now());
    refresh_others(state);
}

/// Gives each pool what the others have at its upstreams.
fn refresh_others(state: &TrafficState) {
    let Some(own) = state.neighbours.own.get() else { return };
    let (others, cell) = {
        let (book, now) = (state.neighbours.book(), state.clock.now());
        (book.others(*own, now), book.cell(*own, now))
    };
    for (service, pool) in state.pools().iter() {
        let rows = pool.inspect(|scheduler| changed_rows(service, scheduler.upstreams(), &others));
        if !rows.is_empty() {
            pool.tell(PoolEvent::Others { rows, cell });
        }
    }
}

fn changed_rows(
    service: &ServiceName,
    upstreams: &UpstreamSet,
    others: &BTreeMap<UpstreamMark, OthersWork>,
) -> Vec<(UpstreamName, OthersWork)> {
    let rows = upstreams.iter().map(|status| {
        let name = &status.source.name;
        let work = others.get(&UpstreamMark::of(service, name, status.source.incarnation));
        (name, status.others, work.copied().unwrap_or_default())
    });
    let changed = rows.filter(|(_, known, work)| known != work);
    changed.map(|(name, _, work)| (name.clone(), work)).collect()
}

/// Tells all daemons what they need of this one: its part of the organisations' limits, and its work.
async fn tell(state: Arc<TrafficState>, socket: NoticeSocket) {
    let mut told = ToldWork::default();
    loop {
        let now = state.clock.now();
        let totals = state.taken();
        let rates = state.limit_rates();
        let silent = {
            let mut book = state.neighbours.book();
            book.learn_own(&totals, now);
            let limited: Vec<OrganisationName> =
                rates.iter().map(|(organisation, _)| organisation.clone()).collect();
            state.start_round(book.limit_share(), &book.late_words(&limited));
            book.reckon_silent(&rates, now)
        };
        state.charge_taken(&silent);
        list::ask_while_unknown(&state, &socket);
        let addresses = state.neighbours.others_addresses(now);
        state.neighbours.others.store(addresses.len(), Ordering::Relaxed);
        if let Some((work, taken)) = told.news(&state, now, totals) {
            let notice = WorkNotice {
                daemon: state.daemon.clone(),
                boot: state.boot(),
                sequence: state.neighbours.next_sequence(),
                address: socket.own,
                work,
                taken,
                refills: state.refills(),
                is_leaving: state.is_drained(),
            };
            socket.send(&DaemonNotice::Work(notice), &addresses);
        }
        refresh_others(&state);
        let pause = state.neighbours.book().notice_pause();
        tokio::time::sleep(pause).await;
    }
}

/// Tells the others of this daemon's cell its work, where the fleet is larger than one cell.
async fn tell_cell(state: Arc<TrafficState>, socket: NoticeSocket) {
    let mut told = ToldWork::default();
    loop {
        let now = state.clock.now();
        let mates = state.neighbours.book().cell_addresses(socket.own, now);
        let is_whole = mates.len() >= state.neighbours.others_addresses(now).len();
        if !is_whole && let Some((work, _)) = told.news(&state, now, ()) {
            let notice = CellNotice {
                daemon: state.daemon.clone(),
                boot: state.boot(),
                sequence: state.neighbours.next_sequence(),
                work,
            };
            socket.send(&DaemonNotice::Cell(notice), &mates);
        }
        tokio::time::sleep(NeighbourBook::cell_pause(mates.len())).await;
    }
}

/// What was told last, beside `T`; nothing is told again before [`LONGEST_PAUSE`].
#[derive(Debug, Default)]
struct ToldWork<T> {
    last: Option<(Vec<(UpstreamMark, OthersWork)>, T)>,
    at: Moment,
}

impl<T: Clone + PartialEq> ToldWork<T> {
    fn news(
        &mut self,
        state: &TrafficState,
        now: Moment,
        beside: T,
    ) -> Option<(Vec<(UpstreamMark, OthersWork)>, T)> {
        let news = (own_work(state, self.at), beside);
        if self.last.as_ref() == Some(&news) && now.since(self.at) < LONGEST_PAUSE {
            return None;
        }
        self.at = now;
        self.last = Some(news.clone());
        Some(news)
    }
}

/// What this daemon has at each upstream, and the speeds that it learned since `since`.
fn own_work(state: &TrafficState, since: Moment) -> Vec<(UpstreamMark, OthersWork)> {
    let mut rows = Vec::new();
    for (service, pool) in state.pools().iter() {
        pool.inspect(|scheduler| {
            rows.extend(scheduler.upstreams().iter().filter_map(|status| {
                let learned = status.gap_micros.filter(|_| status.learned_at > since);
                let work = OthersWork {
                    requests: status.in_flight,
                    unread_tokens: status.unread_tokens,
                    gap_micros: learned.unwrap_or(0.0) as u32,
                    is_down: status.state() == UpstreamState::Suspect,
                    hinted: 0,
                };
                let mark =
                    UpstreamMark::of(service, &status.source.name, status.source.incarnation);
                (work != OthersWork::default()).then_some((mark, work))
            }));
        });
    }
    rows.sort_unstable_by_key(|(mark, _)| *mark);
    rows
}
