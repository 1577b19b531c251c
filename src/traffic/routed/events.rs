//! Splits a stream of server-sent events (WHATWG HTML, section 9.2) into complete events.

use bytes::{Bytes, BytesMut};

/// Buffers the bytes of an event stream until they form complete events.
///
/// If partial events were passed on, an upstream that stops in the middle of an event would leave
/// half of it with the caller, and the first event of the upstream that resumes the stream would be
/// appended to it: the caller would fail to parse an event, or would read one twice.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_event_id: Option<u64>,
    event_count: u64,
}

impl EventSplitter {
    /// Appends bytes; returns all complete events in the buffer, or `None` if there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // A new terminator may span up to three bytes before the new ones (`\r\n\r\n`).
        let from = self.pending.len().saturating_sub(3);
        self.pending.extend_from_slice(bytes);
        let end = find_last_end(&self.pending, from)?;
        let complete = self.pending.split_to(end).freeze();
        self.record_ids(&complete);
        Some(complete)
    }

    /// Returns the unterminated rest after the stream has ended normally.
    pub fn take_remainder(&mut self) -> Option<Bytes> {
        let remainder = self.pending.split().freeze();
        (!remainder.is_empty()).then_some(remainder)
    }

    /// Number of buffered bytes that do not form a complete event.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Discards a partial event before another upstream resumes the stream.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Id of the last complete event.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Number of complete events with an id so far.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    fn record_ids(&mut self, complete: &[u8]) {
        for line in complete.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let Some(id) = line.strip_prefix(b"id:") else { continue };
            self.event_count += 1;
            let id = std::str::from_utf8(id).ok().and_then(|id| id.trim().parse().ok());
            self.last_event_id = id.or(self.last_event_id);
        }
    }
}

/// Returns the end of the last complete event, searching from offset `from`.
fn find_last_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = &bytes[from..];
    let lf_end = tail.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf_end = tail.windows(4).rposition(|quad| quad == b"\r\n\r\n").map(|at| at + 4);
    lf_end.max(crlf_end).map(|end| from + end)
}
