//! Splits a stream of server-sent events (WHATWG HTML, section 9.2) into complete events.

use bytes::{Buf, Bytes, BytesMut};

/// Mark that may stand at the start of a stream, before its first line.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Buffers the bytes of an event stream until they form complete events.
///
/// If partial events were passed on, an upstream that stops in the middle of an event would leave
/// half of it with the caller, and the first event of the upstream that resumes the stream would be
/// appended to it: the caller would fail to parse an event, or would read one twice.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Number of pending bytes that were read.
    scanned: usize,
    /// Offset of the current line in the pending bytes.
    line_start: usize,
    last_byte: Option<u8>,
    /// True if the last complete line was blank, which ends an event.
    is_after_blank_line: bool,
    event: EventFields,
    /// True once the bytes before the first line were read.
    has_begun: bool,
    /// True if the stream continues one of another upstream.
    is_resumed: bool,
    last_event_id: Option<u64>,
    /// Id of the first event of the current upstream.
    first_event_id: Option<u64>,
    event_count: u64,
    has_unnumbered_event: bool,
}

impl EventSplitter {
    /// Appends bytes; returns all complete events in the buffer, or `None` if there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(bytes);
        if !self.has_begun && !self.read_byte_order_mark() {
            return None;
        }
        let end = self.scan()?;
        self.scanned -= end;
        self.line_start -= end;
        Some(self.pending.split_to(end).freeze())
    }

    /// True if the bytes so far end within an event or a line. Comments are not part of an event.
    pub fn is_within_event(&self) -> bool {
        self.event.is_open || self.line_start < self.pending.len()
    }

    /// Returns the rest after the last event of a complete stream.
    pub fn take_remainder(&mut self) -> Option<Bytes> {
        let remainder = self.pending.split().freeze();
        (!remainder.is_empty()).then_some(remainder)
    }

    /// Number of buffered bytes that do not form a complete event.
    pub fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// True if another upstream can resume the stream after its last complete event, which is named
    /// by its id.
    pub fn can_resume(&self) -> bool {
        !self.has_unnumbered_event
    }

    /// Discards a partial event before another upstream resumes the stream.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        (self.scanned, self.line_start, self.last_byte) = (0, 0, None);
        self.event = EventFields::default();
        self.has_begun = false;
        self.is_resumed = true;
        self.first_event_id = None;
    }

    /// Id of the first complete event since the stream began or was resumed.
    pub fn first_event_id(&self) -> Option<u64> {
        self.first_event_id
    }

    /// Id of the last complete event.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Number of complete events so far.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Reads a byte order mark before the first line; false if more bytes are needed to recognise it.
    /// That of a resumed stream is removed, as it would stand in the middle of the caller's stream.
    fn read_byte_order_mark(&mut self) -> bool {
        let is_prefix = BYTE_ORDER_MARK.starts_with(&self.pending);
        if is_prefix && self.pending.len() < BYTE_ORDER_MARK.len() {
            return false;
        }
        self.has_begun = true;
        match (self.pending.starts_with(BYTE_ORDER_MARK), self.is_resumed) {
            (true, true) => self.pending.advance(BYTE_ORDER_MARK.len()),
            (true, false) => self.line_start = BYTE_ORDER_MARK.len(),
            (false, _) => {}
        }
        self.scanned = self.line_start;
        true
    }

    /// Reads the new bytes; returns the end of the last complete event. Lines end with a line feed,
    /// a carriage return, or both.
    fn scan(&mut self) -> Option<usize> {
        let mut complete_end = None;
        for at in self.scanned..self.pending.len() {
            let byte = self.pending[at];
            let is_second_of_pair = byte == b'\n' && self.last_byte == Some(b'\r');
            self.last_byte = Some(byte);
            if !matches!(byte, b'\n' | b'\r') {
                continue;
            }
            if !is_second_of_pair {
                self.end_line(at);
            }
            self.line_start = at + 1;
            if self.is_after_blank_line {
                complete_end = Some(at + 1);
            }
        }
        self.scanned = self.pending.len();
        complete_end
    }

    fn end_line(&mut self, end: usize) {
        let line = &self.pending[self.line_start..end];
        self.is_after_blank_line = line.is_empty();
        if !line.is_empty() {
            return self.event.read_line(line);
        }
        let event = std::mem::take(&mut self.event);
        let id = event.id.flatten();
        self.first_event_id = self.first_event_id.or(id);
        self.last_event_id = id.or(self.last_event_id);
        self.event_count += u64::from(event.has_data || event.id.is_some());
        self.has_unnumbered_event |= event.has_data && event.id.flatten().is_none();
    }
}

/// Fields of the event that is being read.
#[derive(Debug, Default)]
struct EventFields {
    /// True once a line of the event other than a comment was read.
    is_open: bool,
    has_data: bool,
    /// The event's id, if it has one; `Some(None)` if it is not a number.
    id: Option<Option<u64>>,
}

impl EventFields {
    fn read_line(&mut self, line: &[u8]) {
        let mut parts = line.splitn(2, |byte| *byte == b':');
        let (name, value) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
        self.is_open |= !name.is_empty();
        match name {
            b"data" => self.has_data = true,
            b"id" => {
                let id = std::str::from_utf8(value).ok().and_then(|id| id.trim().parse().ok());
                self.id = Some(id);
            }
            _ => {}
        }
    }
}
