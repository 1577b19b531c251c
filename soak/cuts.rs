//! Cuts daemons off from each other. Daemons address each other directly, so no proxy stands between them:
//! a filter at the sockets of this run's own processes drops what comes from the other side of the cut.

use crate::context::{AddressKind, CONTROL_PORT, RELAY_PORT, SoakContext, lock};
use crate::fleet::{self, ProcessName};
use rustix::process::{Pid, PidfdFlags, PidfdGetfdFlags, pidfd_getfd, pidfd_open};
use socket2::{SockAddr, SockFilter, SockRef, Type};
use std::fmt;
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval at which connections that were opened during a cut are cut as well.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);
/// Instructions of socket filters: load a word of the packet, jump if equal, return.
const LOAD_WORD: u16 = 0x20;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;
/// Place of the source address in the packet's IPv4 header.
const SOURCE_ADDRESS: u32 = 0xfff0_0000 + 12;

/// Directions that a cut concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutWay {
    Both,
    /// The entries hear nothing of the others.
    In,
    /// The others receive no datagrams of the entries.
    Out,
}

/// Two entries, or twice the same, that are cut off from all other daemons.
#[derive(Clone, Copy, Debug)]
pub struct DaemonCut {
    pub entries: [usize; 2],
    pub way: CutWay,
    pub time: Duration,
}

/// Number of the cuts, and why the last one that failed did so.
#[derive(Debug, Default)]
pub struct CutRecord(Mutex<(usize, Option<io::Error>)>);

impl fmt::Display for CutRecord {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &*lock(&self.0) {
            (cuts, None) => write!(formatter, "{cuts} cuts between daemons"),
            (cuts, Some(error)) => {
                write!(formatter, "{cuts} cuts between daemons, not all: {error}")
            }
        }
    }
}

/// Starts a cut, which ends by itself.
pub fn start(ctx: &Arc<SoakContext>, cut: DaemonCut) {
    lock(&ctx.cuts.0).0 += 1;
    let ctx = Arc::clone(ctx);
    tokio::spawn(async move {
        let ends_at = Instant::now() + cut.time;
        while Instant::now() < ends_at {
            cut.filter_sockets(&ctx, true);
            tokio::time::sleep(SCAN_INTERVAL).await;
        }
        cut.filter_sockets(&ctx, false);
        cut.entries.iter().for_each(|entry| fleet::record_fault(&ctx, ProcessName::Entry(*entry)));
        ctx.record_contact_change();
    });
}

impl DaemonCut {
    fn is_inside(&self, name: ProcessName) -> bool {
        self.entries.iter().any(|entry| ProcessName::Entry(*entry) == name)
    }

    /// Addresses whose datagrams a process does not receive.
    fn blocked_addresses(&self, ctx: &SoakContext, name: ProcessName) -> Vec<Ipv4Addr> {
        let is_inside = self.is_inside(name);
        let is_blocked = self.way == CutWay::Both || (self.way == CutWay::In) == is_inside;
        let others = fleet::process_names(ctx)
            .into_iter()
            .filter(|other| is_blocked && self.is_inside(*other) != is_inside);
        let address_of = |name| match name {
            ProcessName::Voter(number) => ctx.ip(AddressKind::Voter, number),
            ProcessName::Entry(number) => ctx.ip(AddressKind::Entry, number),
        };
        let v4_of = |ip| match ip {
            IpAddr::V4(ip) => Some(ip),
            IpAddr::V6(_) => None,
        };
        others.map(address_of).filter_map(v4_of).collect()
    }

    /// Sets or removes the filters of all processes.
    fn filter_sockets(&self, ctx: &SoakContext, is_cut: bool) {
        for (name, pid) in fleet::process_ids(ctx) {
            let blocked = self.blocked_addresses(ctx, name);
            let is_deaf = self.is_inside(name) && self.way != CutWay::Out;
            let filtered = daemon_sockets(pid).and_then(|sockets| {
                sockets
                    .iter()
                    .try_for_each(|socket| filter_socket(socket, &blocked, is_deaf, is_cut))
            });
            // A process may have ended.
            if let Err(error) = filtered
                && error.kind() == io::ErrorKind::PermissionDenied
            {
                lock(&ctx.cuts.0).1 = Some(error);
            }
        }
    }
}

/// The sockets of a process.
fn daemon_sockets(pid: Pid) -> io::Result<Vec<OwnedFd>> {
    let process = pidfd_open(pid, PidfdFlags::empty())?;
    let mut sockets = Vec::new();
    for file in std::fs::read_dir(format!("/proc/{pid}/fd"))?.flatten() {
        let target = std::fs::read_link(file.path()).unwrap_or_default();
        let number = file.file_name().to_string_lossy().parse();
        if let (true, Ok(number)) = (target.to_string_lossy().starts_with("socket:"), number) {
            match pidfd_getfd(&process, number, PidfdGetfdFlags::empty()) {
                Err(error) if error == rustix::io::Errno::PERM => return Err(error.into()),
                socket => sockets.extend(socket),
            }
        }
    }
    Ok(sockets)
}

/// Filters the socket for datagrams by their source. Connections with other daemons receive nothing at a
/// process that is deaf; their source is the same for all.
fn filter_socket(
    socket: &OwnedFd,
    blocked: &[Ipv4Addr],
    is_deaf: bool,
    is_cut: bool,
) -> io::Result<()> {
    let socket = SockRef::from(socket);
    let port = |address: io::Result<SockAddr>| address.ok()?.as_socket().map(|it| it.port());
    let ports = [port(socket.local_addr()), port(socket.peer_addr())];
    let is_daemons = ports.contains(&Some(CONTROL_PORT)) || ports.contains(&Some(RELAY_PORT));
    let program = match socket.r#type()? {
        Type::DGRAM if is_daemons && !blocked.is_empty() => drop_sources(blocked),
        Type::STREAM if is_daemons && is_deaf => vec![SockFilter::new(RETURN, 0, 0, 0)],
        _ => return Ok(()),
    };
    if is_cut {
        return socket.attach_filter(&program);
    }
    // That there is no filter to remove is no error.
    let _ = socket.detach_filter();
    Ok(())
}

/// A filter that drops packets of these sources.
fn drop_sources(sources: &[Ipv4Addr]) -> Vec<SockFilter> {
    let jumps = sources.iter().enumerate().map(|(idx, source)| {
        let distance = (sources.len() - idx) as u8;
        SockFilter::new(JUMP_IF_EQUAL, distance, 0, u32::from(*source))
    });
    let load = std::iter::once(SockFilter::new(LOAD_WORD, 0, 0, SOURCE_ADDRESS));
    let ends = [SockFilter::new(RETURN, 0, 0, u32::MAX), SockFilter::new(RETURN, 0, 0, 0)];
    load.chain(jumps).chain(ends).collect()
}
