//! Streams of server-sent events as engines may write them, and as their callers read them.

/// Mark that may stand at the start of a stream.
pub const BYTE_ORDER_MARK: &str = "\u{feff}";

/// How an engine writes an event, apart from its id.
#[derive(Clone, Copy, Debug)]
pub struct EventShape {
    pub line_end: &'static str,
    /// Lines before the data.
    pub before: &'static [&'static str],
    /// Lines of data.
    pub data_lines: usize,
    /// True if the id follows the data.
    pub is_id_last: bool,
    /// Lines between this event and the next one, blank ones included.
    pub after: &'static [&'static str],
}

impl EventShape {
    /// The bytes of an event.
    pub fn text(&self, id: u64) -> String {
        let id_line = format!("id: {id}");
        let mut lines: Vec<String> = self.before.iter().map(|line| (*line).to_owned()).collect();
        lines.extend((!self.is_id_last).then(|| id_line.clone()));
        lines.extend((0..self.data_lines).map(|line| format!("data: {}", data_line(id, line))));
        lines.extend(self.is_id_last.then_some(id_line));
        lines.push(String::new());
        lines.extend(self.after.iter().map(|line| (*line).to_owned()));
        lines.iter().map(|line| format!("{line}{}", self.line_end)).collect()
    }
}

fn data_line(id: u64, line: usize) -> String {
    format!("line {line} of {id}")
}

/// The lines of data that a caller reads from an event.
pub fn expected_data(id: u64, data_lines: usize) -> String {
    (0..data_lines).map(|line| data_line(id, line)).collect::<Vec<_>>().join("\n")
}

/// An event as a caller reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadEvent {
    pub id: String,
    pub data: String,
}

/// Reads the whole events of one answer by the HTML standard, section 9.2.6. What follows the last of
/// them is dropped, as the standard says of an answer that ends within an event.
pub fn read_events(answer: &[u8]) -> Vec<ReadEvent> {
    let text = String::from_utf8_lossy(answer).into_owned();
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(&text);
    let text = text.replace("\r\n", "\n").replace('\r', "\n");
    let mut lines: Vec<&str> = text.split('\n').collect();
    lines.pop();
    let (mut events, mut id, mut data) = (Vec::new(), String::new(), Vec::new());
    for line in lines {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match (line, name) {
            ("", _) if data.is_empty() => {}
            ("", _) => {
                events.push(ReadEvent { id: id.clone(), data: data.join("\n") });
                data.clear();
            }
            (_, "id") => id = value.to_owned(),
            (_, "data") => data.push(value),
            _ => {}
        }
    }
    events
}

/// The ids of events, which are numbers.
pub fn event_ids(events: &[ReadEvent]) -> Vec<u64> {
    events.iter().map(|event| event.id.parse().expect("ids are numbers")).collect()
}
