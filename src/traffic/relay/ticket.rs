//! The header that marks a request as passed on by a peer, and proves it.

use crate::stream_origin::StreamOrigin;
use sha2::{Digest, Sha256};
use std::time::Duration;
use subtle::ConstantTimeEq;

/// Name of the header. Callers' own headers of this name are dropped.
pub const RELAY_HEADER: &str = "tarragonknot-relay";
/// Name of the header of a peer's answer that says what began its stream. It is removed from the
/// answers of upstreams.
pub const ORIGIN_HEADER: &str = "tarragonknot-relay-origin";
/// Length of the authentication tag, in bytes.
const TAG_LEN: usize = 16;

/// The request that a ticket is made for.
#[derive(Clone, Copy, Debug)]
pub struct TicketSubject<'a> {
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The caller's id of the request.
    pub id: &'a str,
}

/// What the peer must know of a request that was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayTicket {
    /// Time since the request arrived at the daemon that passes it on, in whole milliseconds.
    pub waited: Duration,
    /// Number of upstreams that it was sent to there.
    pub sent: u32,
    /// Those of them that declared not to have run it.
    pub not_run: u32,
    /// What began the stream that the request resumes.
    pub origin: Option<StreamOrigin>,
}

impl RelayTicket {
    /// Number of sends that may have run the request.
    pub fn possible_runs(&self) -> u32 {
        self.sent.saturating_sub(self.not_run)
    }

    /// The header's value: `WAITED_MS,SENT,NOT_RUN,ORIGIN,TAG`, with the tag in hexadecimal. `ORIGIN`
    /// is empty for a request that resumes nothing.
    pub fn encode(&self, subject: &TicketSubject<'_>, key: &str) -> String {
        let RelayTicket { sent, not_run, .. } = self;
        let (waited, origin) = (self.waited.as_millis(), self.origin_text());
        let tag = self.tag(subject, key);
        let tag: String = tag.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{waited},{sent},{not_run},{origin},{tag}")
    }

    fn origin_text(&self) -> String {
        self.origin.map(|origin| origin.to_string()).unwrap_or_default()
    }

    /// Reads the header; `None` if it was not made for this request with the fleet's key.
    pub fn verify(text: &str, subject: &TicketSubject<'_>, key: &str) -> Option<Self> {
        let mut parts = text.splitn(5, ',');
        let waited = Duration::from_millis(parts.next()?.parse().ok()?);
        let sent = parts.next()?.parse().ok()?;
        let not_run = parts.next()?.parse().ok()?;
        let origin = match parts.next()? {
            "" => None,
            origin => Some(origin.parse().ok()?),
        };
        let ticket = RelayTicket { waited, sent, not_run, origin };
        let expected = ticket.encode(subject, key);
        bool::from(expected.as_bytes().ct_eq(text.as_bytes())).then_some(ticket)
    }

    fn tag(&self, subject: &TicketSubject<'_>, key: &str) -> [u8; TAG_LEN] {
        let origin = self.origin_text();
        let fields = [key, subject.method, subject.path, subject.id, &origin];
        let mut digest = Sha256::new();
        for field in fields {
            digest.update((field.len() as u64).to_be_bytes());
            digest.update(field);
        }
        digest.update((self.waited.as_millis() as u64).to_be_bytes());
        digest.update(self.sent.to_be_bytes());
        digest.update(self.not_run.to_be_bytes());
        digest.update(key);
        let mut tag = [0; TAG_LEN];
        tag.copy_from_slice(&digest.finalize()[..TAG_LEN]);
        tag
    }
}
