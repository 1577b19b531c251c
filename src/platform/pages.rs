//! Decodes a page of the platform's list entry by entry, so that an invalid entry affects only
//! itself.
//!
//! Decoding the page as one typed value would make the whole list unreadable because of a single
//! entry with a missing field or invalid UTF-8, and no change of any engine would be seen any more.

use crate::upstream::{UnreadEntry, VmRow, VmState};
use http::HeaderValue;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Replaces invalid UTF-8 in lossily decoded text.
const REPLACEMENT_CHAR: char = '\u{FFFD}';

/// A page of the list.
#[derive(Debug, Default, PartialEq)]
pub struct InstancePage {
    /// Valid entries.
    pub rows: Vec<VmRow>,
    /// Entries that could not be decoded.
    pub unread: Vec<UnreadEntry>,
    /// The page that follows.
    pub next: NextPage,
}

/// The page that follows a page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum NextPage {
    /// This is the last page.
    #[default]
    None,
    /// The token of the next page.
    Token(String),
    /// The reference to the next page is unreadable.
    Unknown,
}

/// An entry with the fields that the platform requires; others, such as `models`, are ignored.
#[derive(Debug, Deserialize)]
struct WireInstance {
    id: String,
    service: String,
    address: SocketAddr,
    zone: String,
    version: String,
    state: WireState,
    slots: u32,
    cold_left_ms: f64,
    /// Start time of the engine in Unix milliseconds by its own clock; 0 if not reported.
    #[serde(default)]
    born: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
}

/// Decodes a page. Invalid UTF-8 or JSON invalidates only the entries that contain it.
pub fn read_page(bytes: &[u8]) -> InstancePage {
    let text = String::from_utf8_lossy(bytes);
    match serde_json::from_str::<Value>(&text) {
        Ok(page) => decode_value(&page),
        Err(_) => decode_entries(&text),
    }
}

fn decode_value(page: &Value) -> InstancePage {
    let Some(entries) = page.get("instances").and_then(Value::as_array) else {
        return InstancePage { next: NextPage::Unknown, ..InstancePage::default() };
    };
    let mut decoded = InstancePage { next: next_page(page), ..InstancePage::default() };
    entries.iter().for_each(|entry| decoded.add_entry(entry));
    decoded
}

fn next_page(page: &Value) -> NextPage {
    match page.get("next_token") {
        None | Some(Value::Null) => NextPage::None,
        Some(Value::String(token)) if is_header_safe(token) => NextPage::Token(token.clone()),
        Some(_) => NextPage::Unknown,
    }
}

/// Decodes the entries of a page that is not valid JSON as a whole, as far as their boundaries can
/// be found.
fn decode_entries(text: &str) -> InstancePage {
    let Some(split) = SplitPage::of(text) else {
        return InstancePage { next: NextPage::Unknown, ..InstancePage::default() };
    };
    let envelope = serde_json::from_str::<Value>(&split.envelope);
    let mut page = InstancePage {
        next: envelope.map_or(NextPage::Unknown, |page| next_page(&page)),
        ..InstancePage::default()
    };
    for entry in split.entries {
        match serde_json::from_str(entry) {
            Ok(entry) => page.add_entry(&entry),
            Err(error) => page.unread.push(UnreadEntry { upstream: None, cause: cause_of(&error) }),
        }
    }
    page
}

/// A page split at the boundaries of its entries.
struct SplitPage<'a> {
    entries: Vec<&'a str>,
    /// The page with an empty list in place of its entries; empty if the list is not closed.
    envelope: String,
}

impl<'a> SplitPage<'a> {
    fn of(text: &'a str) -> Option<Self> {
        let name_start = text.find("\"instances\"")?;
        let list_start = name_start + text[name_start..].find('[')?;
        let mut scanner = BracketScanner::default();
        let mut entries = Vec::new();
        let mut start = None;
        for (idx, byte) in text.bytes().enumerate().skip(list_start + 1) {
            let was_outside = scanner.depth == 0;
            if was_outside && byte == b']' {
                let envelope = format!("{}[]{}", &text[..list_start], &text[idx + 1..]);
                return Some(SplitPage { entries, envelope });
            }
            scanner.step(byte);
            if was_outside && scanner.depth == 1 {
                start = Some(idx);
            }
            if scanner.depth == 0
                && let Some(start) = start.take()
            {
                entries.push(&text[start..=idx]);
            }
        }
        Some(SplitPage { entries, envelope: String::new() })
    }
}

/// Tracks the nesting depth of brackets outside strings.
#[derive(Default)]
struct BracketScanner {
    depth: usize,
    is_in_string: bool,
    is_escaped: bool,
}

impl BracketScanner {
    fn step(&mut self, byte: u8) {
        if self.is_in_string {
            let ends = byte == b'"' && !self.is_escaped;
            self.is_escaped = byte == b'\\' && !self.is_escaped;
            self.is_in_string = !ends;
            return;
        }
        match byte {
            b'"' => self.is_in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}

impl InstancePage {
    fn add_entry(&mut self, entry: &Value) {
        match read_entry(entry) {
            Ok(row) => self.rows.push(row),
            Err(cause) => {
                let id = entry.get("id").and_then(Value::as_str).filter(|id| is_header_safe(id));
                self.unread.push(UnreadEntry { upstream: id.map(Into::into), cause });
            }
        }
    }
}

fn read_entry(entry: &Value) -> Result<VmRow, String> {
    if entry.to_string().contains(REPLACEMENT_CHAR) {
        return Err("entry contains invalid UTF-8".to_owned());
    }
    let instance = WireInstance::deserialize(entry).map_err(|error| cause_of(&error))?;
    instance.vm()
}

/// Returns the error's message without line and column, so that equal causes have equal texts.
fn cause_of(error: &serde_json::Error) -> String {
    let text = error.to_string();
    text.split(" at line ").next().unwrap_or_default().to_owned()
}

/// True for text that can be sent in a header and in a query. If the id could not be sent in a
/// header, an engine could not detect and refuse a request meant for another instance.
fn is_header_safe(text: &str) -> bool {
    !text.is_empty()
        && text.bytes().all(|byte| byte.is_ascii_graphic())
        && HeaderValue::from_str(text).is_ok()
}

impl WireInstance {
    fn vm(&self) -> Result<VmRow, String> {
        if !is_header_safe(&self.id) || self.service.is_empty() {
            return Err("invalid id or empty service name".to_owned());
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err("unspecified IP address or port 0".to_owned());
        }
        if self.slots == 0 {
            return Err("slots must not be 0".to_owned());
        }
        Ok(VmRow {
            service: self.service.as_str().into(),
            upstream: self.id.as_str().into(),
            address: self.address,
            state: match self.state {
                WireState::Ready => VmState::Live,
                WireState::Draining => VmState::Leaving,
            },
            incarnation: self.born,
            places: Some(self.slots),
            version: Some(self.version.as_str().into()),
            data_centre: Some(self.zone.as_str().into()),
            is_cold: self.cold_left_ms > 0.0,
        })
    }
}
