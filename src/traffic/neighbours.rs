//! Notices between daemons over UDP: what each has sent where, and let through of the organisations' limits.

use super::state::TrafficState;
use crate::policy::{NeighbourBook, OthersWork, PoolEvent, PoolNotice, WorkNotice};
use crate::table::UpstreamName;
use sha2::{Digest, Sha256};
use slog::debug;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Longest time between two notices, also where nothing has changed.
const LONGEST_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a socket error.
const FAULT_PAUSE: Duration = Duration::from_millis(40);
/// Largest notice, in bytes: one datagram.
const NOTICE_LIMIT: usize = 32 << 10;
/// Bytes of the tag that proves the fleet's key.
const TAG_BYTES: usize = 8;

/// The neighbours of one daemon.
#[derive(Debug, Default)]
pub struct Neighbours {
    book: Mutex<NeighbourBook>,
}

impl Neighbours {
    /// The book, locked.
    pub fn book(&self) -> MutexGuard<'_, NeighbourBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts to tell and to listen on a bound socket.
pub fn start_notices(
    state: Arc<TrafficState>,
    socket: UdpSocket,
    address: SocketAddr,
    key: Arc<str>,
) {
    let socket = Arc::new(socket);
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
            Some(notice) if notice.daemon != state.daemon => take_notice(&state, notice),
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
            let bytes = write_notice(&notice, &key);
            for to in &addresses {
                // Lost notices are made good by the next one.
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

fn write_notice(notice: &WorkNotice, key: &str) -> Vec<u8> {
    let body = postcard::to_stdvec(notice).unwrap_or_default();
    let mut bytes = tag(&body, key).to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

fn read_notice(bytes: &[u8], key: &str) -> Option<WorkNotice> {
    let (given, body) = bytes.split_at_checked(TAG_BYTES)?;
    if given != tag(body, key) {
        return None;
    }
    postcard::from_bytes(body).ok()
}
