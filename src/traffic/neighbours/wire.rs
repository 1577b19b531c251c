//! Datagrams between daemons: what they hold, and the tag that proves the fleet's key.

use crate::policy::{CellNotice, ListChange, ListPart, WorkNotice};
use crate::table::DaemonName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;

/// Bytes of the tag that proves the fleet's key.
const TAG_BYTES: usize = 8;

/// What one daemon sends another.
#[derive(Debug, Serialize, Deserialize)]
pub enum DaemonNotice {
    /// What it sent where.
    Work(WorkNotice),
    /// The same for the daemons of its cell, more often.
    Cell(CellNotice),
    /// What its reading of the platform's list changed, mostly nothing.
    ListRead {
        /// The daemon that read it.
        daemon: DaemonName,
        /// Where it hears notices.
        address: SocketAddr,
        /// The change.
        change: ListChange,
    },
    /// It knows no list, or another one than was read, and asks for the whole.
    ListWanted {
        /// The daemon that asks.
        daemon: DaemonName,
        /// Where it hears notices.
        address: SocketAddr,
    },
    /// A part of the list that was asked for.
    ListPart(ListPart),
}

fn tag(bytes: &[u8], key: &str) -> [u8; TAG_BYTES] {
    let digest = Sha256::new().chain_update(key).chain_update(bytes).chain_update(key).finalize();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&digest[..TAG_BYTES]);
    tag
}

/// The datagram of a notice.
pub fn write_notice(notice: &DaemonNotice, key: &str) -> Vec<u8> {
    let body = postcard::to_stdvec(notice).unwrap_or_default();
    let mut bytes = tag(&body, key).to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

/// The notice in a datagram; none if it is damaged or was made without the key.
pub fn read_notice(bytes: &[u8], key: &str) -> Option<DaemonNotice> {
    let (given, body) = bytes.split_at_checked(TAG_BYTES)?;
    if given != tag(body, key) {
        return None;
    }
    postcard::from_bytes(body).ok()
}
