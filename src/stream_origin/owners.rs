//! The daemons that keep the record of an attempt.

use super::AttemptKey;
use std::net::{IpAddr, SocketAddr};

/// Number of daemons that a record is sent to, besides the one that made it. The record survives as
/// long as one of them does.
pub const OWNER_COUNT: usize = 3;

/// The daemons that keep the record of an attempt, by rendezvous hashing (Thaler and Ravishankar,
/// 1998): at most `count` of `daemons` without the one at `own`, the first owner first. Daemons that
/// know the same addresses agree, and few owners change when a daemon comes or goes.
pub fn owners(
    key: AttemptKey,
    daemons: &[SocketAddr],
    own: Option<SocketAddr>,
    count: usize,
) -> Vec<SocketAddr> {
    let others = daemons.iter().filter(|daemon| Some(**daemon) != own);
    let mut ranked: Vec<(u64, SocketAddr)> =
        others.map(|daemon| (key.rank(&address_bytes(*daemon)), *daemon)).collect();
    if ranked.len() > count && count > 0 {
        ranked.select_nth_unstable_by(count - 1, |a, b| b.cmp(a));
    }
    ranked.truncate(count);
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, daemon)| daemon).collect()
}

/// The IP address in 16 bytes and the port in two.
fn address_bytes(address: SocketAddr) -> [u8; 18] {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut bytes = [0; 18];
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
    bytes
}
