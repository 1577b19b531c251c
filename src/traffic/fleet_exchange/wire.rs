//! Datagrams between daemons: what they hold, and the tag that proves the fleet's key.

use crate::fleet_state::{FleetMessage, MessageRefusal};
use crate::policy::{ListChange, ListPart};
use crate::table::DaemonName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;

/// The version of these messages: a daemon that speaks another one is not understood, and both go on with what they know.
const VERSION: u8 = 6;
/// Bytes of the tag that proves the fleet's key.
const TAG_BYTES: usize = 8;

/// What one daemon sends another.
#[derive(Debug, Serialize, Deserialize)]
pub enum DaemonMessage {
    /// The fleet's state, or a part of it.
    State(FleetMessage),
    /// What a reading of the platform's list changed.
    ListChanged {
        /// The daemon that read it, or passes it on.
        daemon: DaemonName,
        /// Where it hears messages.
        address: SocketAddr,
        /// The change.
        change: ListChange,
    },
    /// It knows no list, or another one than was read, and asks for the whole.
    ListWanted {
        /// The daemon that asks.
        daemon: DaemonName,
        /// Where it hears messages.
        address: SocketAddr,
    },
    /// A part of the list that was asked for.
    ListPart(ListPart),
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MessageFault {
    /// It is shorter than its tag, or was made without the fleet's key, or was damaged on its way.
    BadTag,
    /// It was made by a daemon that speaks another version.
    OtherVersion,
    /// It was made with the key and cannot be read.
    Unreadable,
    /// It says what cannot be.
    Refused(MessageRefusal),
}

impl MessageFault {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            MessageFault::BadTag => "bad-tag",
            MessageFault::OtherVersion => "other-version",
            MessageFault::Unreadable => "unreadable",
            MessageFault::Refused(refusal) => refusal.name(),
        }
    }
}

fn tag(bytes: &[u8], key: &str) -> [u8; TAG_BYTES] {
    let digest = Sha256::new().chain_update(key).chain_update(bytes).chain_update(key).finalize();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&digest[..TAG_BYTES]);
    tag
}

/// The datagram of a message.
pub fn write_message(message: &DaemonMessage, key: &str) -> Vec<u8> {
    let body = postcard::to_extend(message, vec![VERSION]).unwrap_or_default();
    let mut bytes = tag(&body, key).to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

/// The message in a datagram.
pub fn read_message(bytes: &[u8], key: &str) -> Result<DaemonMessage, MessageFault> {
    let (given, body) = bytes.split_at_checked(TAG_BYTES).ok_or(MessageFault::BadTag)?;
    if given != tag(body, key) {
        return Err(MessageFault::BadTag);
    }
    let (version, body) = body.split_first().ok_or(MessageFault::Unreadable)?;
    if *version != VERSION {
        return Err(MessageFault::OtherVersion);
    }
    postcard::from_bytes(body).map_err(|_| MessageFault::Unreadable)
}
