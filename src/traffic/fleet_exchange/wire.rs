//! Encoding of datagrams between daemons, and the tag that authenticates them with the fleet's key.

use super::slots::SlotOffer;
use crate::fleet_state::{FleetMessage, ListMessage, MessageRefusal};
use crate::stream_origin::OriginMessage;
use crate::table::DaemonName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::net::SocketAddr;

/// Version of the message format. Messages of other versions are dropped, and both daemons continue
/// with the state that they have.
const FORMAT_VERSION: u8 = 10;
/// Length of the authentication tag in bytes.
const TAG_LEN: usize = 8;

/// A message from one daemon to another.
#[derive(Debug, Serialize, Deserialize)]
pub enum DaemonMessage {
    /// The fleet's state, or a part of it.
    State(FleetMessage),
    /// Messages about the list from builds before [`DaemonMessage::List`]; they are ignored, and
    /// such builds read the list themselves.
    RetiredListChanged,
    /// See [`DaemonMessage::RetiredListChanged`].
    RetiredListWanted,
    /// See [`DaemonMessage::RetiredListChanged`].
    RetiredListPart,
    /// A message about the platform's list.
    List {
        /// The daemon that sends the message.
        daemon: DaemonName,
        /// The address at which that daemon receives messages.
        address: SocketAddr,
        message: ListMessage,
    },
    /// A message about where streams began.
    Origin(OriginMessage),
    /// A slot that its sender has no use for.
    SlotOffer(SlotOffer),
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropCause {
    /// The datagram is shorter than its tag, was made without the fleet's key, or was damaged in
    /// transit.
    BadTag,
    /// The datagram has another version of the message format.
    OtherVersion,
    /// The tag is valid, but the message cannot be decoded.
    Unreadable,
    /// The message was decoded but refused.
    Refused(MessageRefusal),
}

impl DropCause {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            DropCause::BadTag => "bad-tag",
            DropCause::OtherVersion => "other-version",
            DropCause::Unreadable => "unreadable",
            DropCause::Refused(refusal) => refusal.name(),
        }
    }
}

fn compute_tag(bytes: &[u8], key: &str) -> [u8; TAG_LEN] {
    let digest = Sha256::new().chain_update(key).chain_update(bytes).chain_update(key).finalize();
    let mut tag = [0; TAG_LEN];
    tag.copy_from_slice(&digest[..TAG_LEN]);
    tag
}

/// Encodes a message as a datagram.
pub fn encode_message(message: &DaemonMessage, key: &str) -> Vec<u8> {
    let body = postcard::to_extend(message, vec![FORMAT_VERSION]).unwrap_or_default();
    let mut bytes = compute_tag(&body, key).to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

/// Verifies and decodes a datagram.
pub fn decode_message(bytes: &[u8], key: &str) -> Result<DaemonMessage, DropCause> {
    let (received_tag, body) = bytes.split_at_checked(TAG_LEN).ok_or(DropCause::BadTag)?;
    if received_tag != compute_tag(body, key) {
        return Err(DropCause::BadTag);
    }
    let (version, body) = body.split_first().ok_or(DropCause::Unreadable)?;
    if *version != FORMAT_VERSION {
        return Err(DropCause::OtherVersion);
    }
    postcard::from_bytes(body).map_err(|_| DropCause::Unreadable)
}
