//! Splitting of event streams: any line ends, any read boundaries, any cut.

use proptest::prelude::*;
use rstest::rstest;
use tarragonknot::traffic::EventSplitter;

/// One event as an engine writes it, with line ends of its own.
#[derive(Clone, Debug)]
struct WrittenEvent {
    line_end: &'static str,
    has_comment: bool,
    data_lines: usize,
}

impl WrittenEvent {
    fn text(&self, id: u64) -> String {
        let mut lines = vec![format!("id: {id}")];
        lines.extend(self.has_comment.then(|| ": a comment".to_owned()));
        lines.extend((0..self.data_lines).map(|line| format!("data: line {line} of {id}")));
        lines.push(String::new());
        lines.iter().map(|line| format!("{line}{}", self.line_end)).collect()
    }
}

fn any_event() -> impl Strategy<Value = WrittenEvent> {
    let line_end = prop_oneof![Just("\n"), Just("\r"), Just("\r\n")];
    (line_end, any::<bool>(), 1usize..4).prop_map(|(line_end, has_comment, data_lines)| {
        WrittenEvent { line_end, has_comment, data_lines }
    })
}

/// Pushes the text in parts of the given sizes, then the rest; returns what came out.
fn push_in_parts(splitter: &mut EventSplitter, text: &str, sizes: &[usize]) -> String {
    let mut rest = text.as_bytes();
    let mut passed_on = Vec::new();
    for size in sizes {
        let (part, left) = rest.split_at((*size).min(rest.len()));
        rest = left;
        passed_on.extend(splitter.push(part).into_iter().flatten());
    }
    passed_on.extend(splitter.push(rest).into_iter().flatten());
    String::from_utf8(passed_on).expect("the text is ASCII")
}

proptest! {
    /// Guards against half an event that is passed on, or a cut one that counts as whole, wherever
    /// the stream is cut and however it is read.
    #[test]
    fn only_the_whole_events_before_a_cut_are_passed_on(
        events in prop::collection::vec(any_event(), 1..6),
        cut in any::<prop::sample::Index>(),
        sizes in prop::collection::vec(1usize..9, 0..40),
    ) {
        let texts: Vec<String> = (1..).zip(&events).map(|(id, event)| event.text(id)).collect();
        let text = texts.concat();
        let cut = cut.index(text.len() + 1);
        // A carriage return ends a line by itself, so the line feed after it may be missing.
        let ends_at = |event: usize| -> usize {
            let end: usize = texts[..=event].iter().map(String::len).sum();
            if events[event].line_end == "\r\n" { end - 1 } else { end }
        };
        let whole = (0..events.len()).filter(|event| ends_at(*event) <= cut).count();
        let starts_at: usize = texts[..whole].iter().map(String::len).sum();
        let mut splitter = EventSplitter::default();

        let passed_on = push_in_parts(&mut splitter, &text[..cut], &sizes);

        prop_assert_eq!(passed_on, &text[..starts_at.min(cut)]);
        prop_assert_eq!(splitter.is_within_event(), cut > starts_at);
        prop_assert_eq!(splitter.event_count(), whole as u64);
        prop_assert_eq!(splitter.last_event_id(), (whole > 0).then_some(whole as u64));
        prop_assert!(splitter.can_resume());
    }
}

/// Guards against a stream that counts as cut though only a comment follows its last event.
#[rstest]
#[case::nothing("", false)]
#[case::comment(": still here\n", false)]
#[case::cut_comment(": still", true)]
#[case::field("id: 2\n", true)]
#[case::data_without_a_blank_line("data: x\n", true)]
#[case::cut_name("i", true)]
fn a_stream_ends_within_an_event_only_if_one_has_begun(#[case] rest: &str, #[case] within: bool) {
    let mut splitter = EventSplitter::default();

    splitter.push(format!("id: 1\ndata: x\n\n{rest}").as_bytes());

    assert_eq!(splitter.is_within_event(), within);
}

/// Guards against a first id that is missed, and against a mark in the middle of a resumed stream.
#[test]
fn a_byte_order_mark_is_no_part_of_the_first_line() {
    let mut splitter = EventSplitter::default();

    let split_mark = [splitter.push(b"\xef\xbb"), splitter.push(b"\xbfid: 1\ndata: x\n\nid: 2\n")];
    let first_id = splitter.last_event_id();
    splitter.discard_partial();
    let resumed = splitter.push(b"\xef\xbb\xbfid: 2\ndata: y\n\n");

    assert_eq!(split_mark[0], None);
    assert_eq!(split_mark[1].as_deref(), Some(&b"\xef\xbb\xbfid: 1\ndata: x\n\n"[..]));
    assert_eq!(first_id, Some(1));
    assert_eq!(resumed.as_deref(), Some(&b"id: 2\ndata: y\n\n"[..]));
    assert_eq!(splitter.last_event_id(), Some(2));
}

/// Guards against events that come twice: a stream without usable ids would begin anew elsewhere.
#[rstest]
#[case::no_id("data: x\n\n")]
#[case::no_number("id: a\ndata: x\n\n")]
#[case::empty("id\ndata: x\n\n")]
fn a_stream_with_an_event_without_an_id_is_not_resumed(#[case] event: &str) {
    let mut splitter = EventSplitter::default();

    splitter.push(format!("id: 1\ndata: x\n\n{event}").as_bytes());

    assert!(!splitter.can_resume());
}
