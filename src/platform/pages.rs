//! One page of the platform's list, decoded entry by entry: a bad entry costs itself alone.
//!
//! What goes wrong with a page that is decoded as one value: another writer's entry with a missing field, or bytes
//! that are no text, makes the whole list unreadable, and no change of any engine is heard of any more.

use crate::upstream::{UnreadEntry, VmRow, VmState};
use http::HeaderValue;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Stands where bytes were that are no text.
const UNREADABLE: char = '\u{FFFD}';

/// A page of the list.
#[derive(Debug, Default, PartialEq)]
pub struct InstancePage {
    /// Entries that name an engine.
    pub rows: Vec<VmRow>,
    /// Entries that do not.
    pub unread: Vec<UnreadEntry>,
    /// Where the list goes on.
    pub next: NextPage,
}

/// Where the list goes on after a page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum NextPage {
    /// Nowhere: it was the last page.
    #[default]
    None,
    /// On the page of this token.
    Token(String),
    /// The page does not say it in a way that can be read.
    Unknown,
}

/// An entry with the fields that each has by the platform's page. `models` and the like are passed over.
#[derive(Debug, Deserialize)]
struct WireInstance {
    id: String,
    service: String,
    address: SocketAddr,
    #[serde(rename = "zone")]
    _zone: String,
    version: String,
    state: WireState,
    slots: u32,
    #[serde(rename = "cold_left_ms")]
    _cold_left_ms: f64,
    /// Unix millisecond of the engine's start by its own clock; 0 where it does not say.
    #[serde(default)]
    born: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
}

/// Decodes a page. Bytes that are no text, and text that is no JSON, cost the entries that hold them.
pub fn read_page(bytes: &[u8]) -> InstancePage {
    let text = String::from_utf8_lossy(bytes);
    match serde_json::from_str::<Value>(&text) {
        Ok(page) => of_value(&page),
        Err(_) => of_pieces(&text),
    }
}

fn of_value(page: &Value) -> InstancePage {
    let Some(entries) = page.get("instances").and_then(Value::as_array) else {
        return InstancePage { next: NextPage::Unknown, ..InstancePage::default() };
    };
    let mut read = InstancePage { next: next_page(page), ..InstancePage::default() };
    entries.iter().for_each(|entry| read.take(entry));
    read
}

fn next_page(page: &Value) -> NextPage {
    match page.get("next_token") {
        None | Some(Value::Null) => NextPage::None,
        Some(Value::String(token)) if is_word(token) => NextPage::Token(token.clone()),
        Some(_) => NextPage::Unknown,
    }
}

/// Decodes a page that is no JSON as a whole: its entries one by one, as far as their ends can be found.
fn of_pieces(text: &str) -> InstancePage {
    let Some(cut) = CutPage::of(text) else {
        return InstancePage { next: NextPage::Unknown, ..InstancePage::default() };
    };
    let around = serde_json::from_str::<Value>(&cut.around);
    let mut read = InstancePage {
        next: around.map_or(NextPage::Unknown, |page| next_page(&page)),
        ..InstancePage::default()
    };
    for entry in cut.entries {
        match serde_json::from_str(entry) {
            Ok(entry) => read.take(&entry),
            Err(error) => read.unread.push(UnreadEntry { upstream: None, cause: cause_of(&error) }),
        }
    }
    read
}

/// A page cut at its entries' ends.
struct CutPage<'a> {
    entries: Vec<&'a str>,
    /// What stands around the entries, with an empty list in their place.
    around: String,
}

impl<'a> CutPage<'a> {
    fn of(text: &'a str) -> Option<Self> {
        let name = text.find("\"instances\"")?;
        let open = name + text[name..].find('[')?;
        let mut scan = BracketScan::default();
        let mut entries = Vec::new();
        let mut start = None;
        for (at, byte) in text.bytes().enumerate().skip(open + 1) {
            let was_outside = scan.depth == 0;
            if was_outside && byte == b']' {
                let around = format!("{}[]{}", &text[..open], &text[at + 1..]);
                return Some(CutPage { entries, around });
            }
            scan.step(byte);
            if was_outside && scan.depth == 1 {
                start = Some(at);
            }
            if scan.depth == 0
                && let Some(start) = start.take()
            {
                entries.push(&text[start..=at]);
            }
        }
        Some(CutPage { entries, around: String::new() })
    }
}

/// Counts brackets outside of strings.
#[derive(Default)]
struct BracketScan {
    depth: usize,
    is_string: bool,
    is_escaped: bool,
}

impl BracketScan {
    fn step(&mut self, byte: u8) {
        if self.is_string {
            let ends = byte == b'"' && !self.is_escaped;
            self.is_escaped = byte == b'\\' && !self.is_escaped;
            self.is_string = !ends;
            return;
        }
        match byte {
            b'"' => self.is_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
    }
}

impl InstancePage {
    fn take(&mut self, entry: &Value) {
        match read_entry(entry) {
            Ok(row) => self.rows.push(row),
            Err(cause) => {
                let id = entry.get("id").and_then(Value::as_str).filter(|id| is_word(id));
                self.unread.push(UnreadEntry { upstream: id.map(Into::into), cause });
            }
        }
    }
}

fn read_entry(entry: &Value) -> Result<VmRow, String> {
    if entry.to_string().contains(UNREADABLE) {
        return Err("bytes that are no text".to_owned());
    }
    let instance = WireInstance::deserialize(entry).map_err(|error| cause_of(&error))?;
    instance.vm()
}

/// Why an entry cannot be read, without the place in its text, so that like causes read alike.
fn cause_of(error: &serde_json::Error) -> String {
    let text = error.to_string();
    text.split(" at line ").next().unwrap_or_default().to_owned()
}

/// True for text that may stand in a header and in a query: an id that no header can carry could not be named to the
/// engine, which would then run what is meant for another one.
fn is_word(text: &str) -> bool {
    !text.is_empty()
        && text.bytes().all(|byte| byte.is_ascii_graphic())
        && HeaderValue::from_str(text).is_ok()
}

impl WireInstance {
    fn vm(&self) -> Result<VmRow, String> {
        if !is_word(&self.id) || self.service.is_empty() {
            return Err("an id or a service that is no word".to_owned());
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            return Err("an address that nobody has".to_owned());
        }
        if self.slots == 0 {
            return Err("no slots".to_owned());
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
        })
    }
}
