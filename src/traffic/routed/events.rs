//! Cuts a stream of server-sent events (WHATWG HTML, section 9.2) into whole events; pure.

use bytes::{Bytes, BytesMut};

/// Bytes of an event stream that are not yet passed on.
///
/// What goes wrong without it: an upstream that stops in the middle of an event leaves half of it with the
/// caller, and the event of the upstream that goes on is joined to it. One would notice by a caller that
/// cannot read an event, or reads one twice.
#[derive(Debug, Default)]
pub struct EventCutter {
    pending: BytesMut,
    last_event: Option<u64>,
    events: u64,
}

impl EventCutter {
    /// Takes bytes; returns the whole events among what is there now, none if there is none.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // Only the new bytes, and the two before them, can hold a new end of an event.
        let from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let end = last_end(&self.pending, from)?;
        let whole = self.pending.split_to(end).freeze();
        self.note(&whole);
        Some(whole)
    }

    /// What is left when the stream has ended well.
    pub fn rest(&mut self) -> Option<Bytes> {
        let rest = self.pending.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Drops half an event, before another upstream goes on.
    pub fn drop_half(&mut self) {
        self.pending.clear();
    }

    /// The id of the last whole event.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Whole events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn note(&mut self, whole: &[u8]) {
        for line in whole.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let Some(id) = line.strip_prefix(b"id:") else { continue };
            self.events += 1;
            let id = std::str::from_utf8(id).ok().and_then(|id| id.trim().parse().ok());
            self.last_event = id.or(self.last_event);
        }
    }
}

/// The end of the last whole event, looking at places from `from` on.
fn last_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = &bytes[from..];
    let plain = tail.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let with_returns = tail.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(with_returns).map(|end| from + end)
}
