//! Splits a stream of server-sent events (WHATWG HTML, section 9.2) into complete events.

use super::event_order::{EventOrder, JoinFault};
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
    order: EventOrder,
    event_count: u64,
    /// Why the events of the current upstream are held back.
    join_fault: Option<JoinFault>,
}

impl EventSplitter {
    /// A splitter for a stream that its caller resumes after an event.
    pub fn resuming(after: Option<u64>) -> Self {
        EventSplitter { order: EventOrder::after(after), ..EventSplitter::default() }
    }

    /// Appends bytes; returns all complete events in the buffer, or `None` if there are none. Returns
    /// none of an upstream whose first event does not go on after the last one.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        if self.join_fault.is_some() {
            return None;
        }
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
        self.order.can_resume()
    }

    /// Why the answer of the current upstream does not go on after the last event.
    pub fn join_fault(&self) -> Option<JoinFault> {
        self.join_fault
    }

    /// Discards a partial event before another upstream resumes the stream.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        (self.scanned, self.line_start, self.last_byte) = (0, 0, None);
        self.event = EventFields::default();
        self.has_begun = false;
        self.is_resumed = true;
        self.join_fault = None;
        self.order.begin_part();
    }

    /// Id of the first complete event since the stream began or was resumed.
    pub fn first_event_id(&self) -> Option<u64> {
        self.order.first_of_part()
    }

    /// Id of the last complete event, or of the one that the stream was resumed after.
    pub fn last_event_id(&self) -> Option<u64> {
        self.order.last()
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
            if !is_second_of_pair && let Err(fault) = self.end_line(at) {
                self.join_fault = Some(fault);
                break;
            }
            self.line_start = at + 1;
            if self.is_after_blank_line {
                complete_end = Some(at + 1);
            }
        }
        self.scanned = self.pending.len();
        complete_end
    }

    fn end_line(&mut self, end: usize) -> Result<(), JoinFault> {
        let line = &self.pending[self.line_start..end];
        self.is_after_blank_line = line.is_empty();
        if !line.is_empty() {
            self.event.read_line(line);
            return Ok(());
        }
        let event = std::mem::take(&mut self.event);
        let id = event.id.flatten();
        if event.has_data || id.is_some() {
            self.order.record(id)?;
        }
        self.event_count += u64::from(event.has_data || event.id.is_some());
        Ok(())
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
