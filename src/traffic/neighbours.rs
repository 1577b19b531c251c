//! Notices between daemons over UDP: what each has sent where, and let through of the organisations' limits.

use super::state::TrafficState;
use crate::policy::{Moment, NeighbourBook, OthersWork, PoolEvent, PoolNotice, WorkNotice};
use crate::table::{DaemonName, ServiceName, UpstreamName};
use crate::upstream::{PlatformList, VmRow, VmState};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use slog::debug;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Longest time between two notices, also where nothing has changed.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a socket error.
const FAULT_PAUSE: Duration = Duration::from_millis(40);
/// Largest notice, in bytes: one datagram.
const NOTICE_LIMIT: usize = 60 << 10;
/// Another daemon's list counts for this long. An upstream that leaves must get no new work 3 s after the list shows
/// it, and the list is read and told each second.
const LIST_LIFE: Duration = Duration::from_millis(1_800);
/// About the time between two lists of one reader, beside the pause of its notices.
const LIST_PAUSE: Duration = Duration::from_millis(1_200);
/// Bytes of the tag that proves the fleet's key.
const TAG_BYTES: usize = 8;

/// What one daemon sends another.
#[derive(Debug, Serialize, Deserialize)]
enum DaemonNotice {
    /// What it sent where.
    Work(WorkNotice),
    /// The platform's list as it was just read.
    List {
        /// The daemon that read it.
        daemon: DaemonName,
        /// The list.
        rows: Vec<ListRow>,
    },
}

/// One upstream of the list. A tuple's worth of fields without names: the list is most of what is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ListRow {
    service: ServiceName,
    upstream: UpstreamName,
    address: SocketAddr,
    incarnation: u64,
    is_leaving: bool,
    places: Option<u32>,
}

/// The neighbours of one daemon.
#[derive(Debug, Default)]
pub struct Neighbours {
    book: Mutex<NeighbourBook>,
    /// Where this daemon hears notices; none while it sends none.
    own: OnceLock<SocketAddr>,
    /// When another daemon's list was heard last.
    list_heard: Mutex<Option<Moment>>,
    /// The list that this daemon read, to be told.
    list_read: Mutex<Option<Vec<ListRow>>>,
}

impl Neighbours {
    /// The book, locked.
    pub fn book(&self) -> MutexGuard<'_, NeighbourBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// True if this daemon should read the platform's list itself: it reads for all that hear it, or whoever does
    /// has not been heard for [`LIST_LIFE`].
    pub fn must_read_list(&self, now: Moment) -> bool {
        let Some(own) = self.own.get() else { return true };
        let heard = *self.list_heard.lock().unwrap_or_else(PoisonError::into_inner);
        let book = self.book();
        let life = LIST_LIFE.max(LIST_PAUSE + book.notice_pause() * 2);
        book.is_reader(*own, now) || heard.is_none_or(|at| now.since(at) >= life)
    }

    /// Has the others told of the list that this daemon just read.
    pub fn tell_list(&self, list: &PlatformList) {
        let rows = list.vms.iter().map(|vm| ListRow {
            service: vm.service.clone(),
            upstream: vm.upstream.clone(),
            address: vm.address,
            incarnation: vm.incarnation,
            is_leaving: vm.state == VmState::Leaving,
            places: vm.places,
        });
        *self.list_read.lock().unwrap_or_else(PoisonError::into_inner) = Some(rows.collect());
    }

    fn take_list(&self) -> Option<Vec<ListRow>> {
        self.list_read.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

fn list_of(rows: Vec<ListRow>) -> PlatformList {
    let vms = rows.into_iter().map(|row| VmRow {
        service: row.service,
        upstream: row.upstream,
        address: row.address,
        state: if row.is_leaving { VmState::Leaving } else { VmState::Live },
        incarnation: row.incarnation,
        places: row.places,
    });
    PlatformList { vms: vms.collect() }
}

/// Starts to tell and to listen on a bound socket.
pub fn start_notices(
    state: Arc<TrafficState>,
    socket: UdpSocket,
    address: SocketAddr,
    key: Arc<str>,
) {
    let socket = Arc::new(socket);
    let _ = state.neighbours.own.set(address);
    tokio::spawn(listen(Arc::clone(&state), Arc::clone(&socket), Arc::clone(&key)));
    tokio::spawn(tell(state, socket, address, key));
}

async fn listen(state: Arc<TrafficState>, socket: Arc<UdpSocket>, key: Arc<str>) {
    let mut buffer = vec![0; NOTICE_LIMIT];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            // A peer that does not listen shows up here as a refused connection; there is nothing to do.
            tokio::time::sleep(FAULT_PAUSE).await;
            continue;
        };
        match read_notice(&buffer[..length], &key) {
            Some(DaemonNotice::Work(notice)) if notice.daemon != state.daemon => {
                take_notice(&state, notice)
            }
            Some(DaemonNotice::List { daemon, rows }) if daemon != state.daemon => {
                let now = state.clock.now();
                *state.neighbours.list_heard.lock().unwrap_or_else(PoisonError::into_inner) =
                    Some(now);
                state.apply_platform(list_of(rows));
            }
            Some(_) => {}
            None => debug!(state.log, "notice not read"; "from" => from.to_string()),
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

async fn tell(
    state: Arc<TrafficState>,
    socket: Arc<UdpSocket>,
    address: SocketAddr,
    key: Arc<str>,
) {
    let mut sequence = 0;
    let mut last = None;
    let mut told_at = Instant::now();
    loop {
        let now = state.clock.now();
        let totals = state.taken();
        let rates = state.limit_rates();
        let (silent, mut addresses) = {
            let mut book = state.neighbours.book();
            book.learn_own(&totals, now);
            (book.reckon_silent(&rates, now), book.addresses(now))
        };
        state.charge_taken(&silent);
        addresses.retain(|to| *to != address);
        let work = (pool_notices(&state), totals);
        if last.as_ref() != Some(&work) || told_at.elapsed() >= LONGEST_PAUSE {
            sequence += 1;
            told_at = Instant::now();
            let (pools, taken) = work.clone();
            last = Some(work);
            let daemon = state.daemon.clone();
            let refills = state.refills();
            let (boot, is_leaving) = (state.boot(), state.is_drained());
            let notice =
                WorkNotice { daemon, boot, sequence, address, pools, taken, refills, is_leaving };
            let bytes = write_notice(&DaemonNotice::Work(notice), &key);
            for to in &addresses {
                // Lost notices are made good by the next one.
                let _ = socket.try_send_to(&bytes, *to);
            }
        }
        if let Some(rows) = state.neighbours.take_list() {
            let daemon = state.daemon.clone();
            let bytes = write_notice(&DaemonNotice::List { daemon, rows }, &key);
            for to in &addresses {
                let _ = socket.try_send_to(&bytes, *to);
            }
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

fn tag(bytes: &[u8], key: &str) -> [u8; TAG_BYTES] {
    let digest = Sha256::new().chain_update(key).chain_update(bytes).chain_update(key).finalize();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&digest[..TAG_BYTES]);
    tag
}

fn write_notice(notice: &DaemonNotice, key: &str) -> Vec<u8> {
    let body = postcard::to_stdvec(notice).unwrap_or_default();
    let mut bytes = tag(&body, key).to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

fn read_notice(bytes: &[u8], key: &str) -> Option<DaemonNotice> {
    let (given, body) = bytes.split_at_checked(TAG_BYTES)?;
    if given != tag(body, key) {
        return None;
    }
    postcard::from_bytes(body).ok()
}
