//! Splits a stream of server-sent events (WHATWG HTML, section 9.2) into complete events.

use bytes::{Bytes, BytesMut};

/// Buffers the bytes of an event stream until they form complete events.
///
/// If partial events were passed on, an upstream that stops in the middle of an event would leave
/// half of it with the caller, and the first event of the upstream that resumes the stream would be
/// appended to it: the caller would fail to parse an event, or would read one twice.
#[derive(Debug, Default)]
pub struct EventCutter {
    pending: BytesMut,
    last_event: Option<u64>,
    events: u64,
}

impl EventCutter {
    /// Appends bytes; returns all complete events in the buffer, or `None` if there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // A new terminator may span up to three bytes before the new ones (`\r\n\r\n`).
        let from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let end = last_end(&self.pending, from)?;
        let whole = self.pending.split_to(end).freeze();
        self.note(&whole);
        Some(whole)
    }

    /// Returns the unterminated rest after the stream has ended normally.
    pub fn rest(&mut self) -> Option<Bytes> {
        let rest = self.pending.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Discards a partial event before another upstream resumes the stream.
    pub fn drop_half(&mut self) {
        self.pending.clear();
    }

    /// Id of the last complete event.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Number of complete events with an id so far.
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

/// Returns the end of the last complete event, searching from offset `from`.
fn last_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = &bytes[from..];
    let plain = tail.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let with_returns = tail.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(with_returns).map(|end| from + end)
}
