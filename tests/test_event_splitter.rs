//! Splitting of event streams: any line ends, any read boundaries, any cut.

use crate::stream_reader::{
    BYTE_ORDER_MARK, EventShape, ReadEvent, event_ids, expected_data, read_events,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
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

/// Guards against events that come twice or are left out: an id that is not above the one before does
/// not tell how far the stream has got.
#[rstest]
#[case::the_same("id: 3\ndata: x\n\n")]
#[case::a_lower_one("id: 2\ndata: x\n\n")]
fn a_stream_whose_ids_do_not_increase_is_not_resumed(#[case] event: &str) {
    let mut splitter = EventSplitter::default();

    splitter.push(format!("id: 3\ndata: x\n\n{event}").as_bytes());

    assert!(!splitter.can_resume());
}

/// Guards against streams that are cut although the pages ask only for increasing ids.
#[rstest]
#[case::one_event("id: 1\ndata: x\n\n", "id: 5\ndata: y\n\n")]
#[case::uneven_steps("id: 1\ndata: x\n\nid: 4\ndata: x\n\n", "id: 9\ndata: y\n\n")]
#[case::after_a_comment("id: 1\ndata: x\n\n", ": a comment\n\nid: 2\ndata: y\n\n")]
fn a_part_whose_first_id_is_later_is_passed_on(#[case] begun: &str, #[case] rest: &str) {
    let mut splitter = EventSplitter::default();
    splitter.push(begun.as_bytes());

    splitter.discard_partial();
    let passed_on = splitter.push(rest.as_bytes());

    assert_eq!(passed_on.as_deref(), Some(rest.as_bytes()));
    assert_eq!(splitter.join_fault(), None);
}

/// Events of a whole stream.
const EVENTS: u64 = 8;

/// What one engine writes of a stream until its connection ends.
#[derive(Clone, Debug)]
struct WrittenPart {
    has_mark: bool,
    /// Shapes of the events, by their ids.
    shapes: Vec<EventShape>,
    /// Where it is cut; `None` if it is whole.
    cut: Option<prop::sample::Index>,
    /// Sizes of the reads; what follows them is read at once.
    reads: Vec<usize>,
}

impl WrittenPart {
    /// The bytes of the events from `first` on, up to the cut.
    fn bytes(&self, first: u64) -> Vec<u8> {
        let mark = if self.has_mark { BYTE_ORDER_MARK } else { "" };
        let events = (first..=EVENTS).map(|id| self.shapes[id as usize - 1].text(id));
        let mut bytes = format!("{mark}{}", events.collect::<String>()).into_bytes();
        self.cut.iter().for_each(|cut| bytes.truncate(cut.index(bytes.len() + 1)));
        bytes
    }

    /// Pushes the part as it is read; returns what is passed on.
    fn push(&self, splitter: &mut EventSplitter, first: u64) -> Vec<u8> {
        let bytes = self.bytes(first);
        let mut rest = bytes.as_slice();
        let mut passed_on = Vec::new();
        for size in self.reads.iter().chain([&usize::MAX]) {
            let (read, left) = rest.split_at((*size).min(rest.len()));
            rest = left;
            passed_on.extend(splitter.push(read).into_iter().flatten());
        }
        passed_on
    }
}

fn any_shape(line_end: &'static str) -> impl Strategy<Value = EventShape> {
    let before = prop::sample::select(vec![
        &[] as &'static [&'static str],
        &["tarragonknot-weight-versions: 2"],
        &["retry: 100", "event: piece"],
        &[": a comment"],
    ]);
    let after = prop::sample::select(vec![
        &[] as &'static [&'static str],
        &[": a comment"],
        &["", ": a comment", "", ""],
        &["retry: 100", ""],
    ]);
    (before, 1usize..4, any::<bool>(), after).prop_map(
        move |(before, data_lines, is_id_last, after)| EventShape {
            line_end,
            before,
            data_lines,
            is_id_last,
            after,
        },
    )
}

fn any_part(is_cut: bool) -> impl Strategy<Value = WrittenPart> {
    let shapes = prop::sample::select(vec!["\n", "\r", "\r\n"])
        .prop_flat_map(|line_end| prop::collection::vec(any_shape(line_end), EVENTS as usize));
    let cut = any::<prop::sample::Index>();
    let reads = prop::collection::vec(1usize..40, 0..60);
    (any::<bool>(), shapes, cut, reads).prop_map(move |(has_mark, shapes, cut, reads)| {
        WrittenPart { has_mark, shapes, cut: is_cut.then_some(cut), reads }
    })
}

/// Answers that hold one part and some that resume it, and the byte up to which the caller gets each.
fn any_broken_answers() -> impl Strategy<Value = Vec<(Vec<WrittenPart>, prop::sample::Index)>> {
    let parts = prop::collection::vec(any_part(true), 1..4);
    prop::collection::vec((parts, any::<prop::sample::Index>()), 0..4)
}

/// The events of a stream whose data is that of their ids.
fn sound_ids(events: &[ReadEvent]) -> Vec<u64> {
    let ids = event_ids(events);
    let lines = |event: &ReadEvent| event.data.split('\n').count();
    let is_sound = |event: &ReadEvent, id: u64| event.data == expected_data(id, lines(event));
    let sound = events.iter().zip(&ids).filter(|(event, id)| is_sound(event, **id));
    sound.map(|(_, id)| *id).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::with_cases(1_000)
    })]

    /// Guards against events that are lost, come twice or out of order, wherever the parts of a stream
    /// are cut and read, and whoever resumes it.
    #[test]
    fn a_resumed_stream_has_each_event_once(
        broken in any_broken_answers(),
        last in (prop::collection::vec(any_part(true), 0..3), any_part(false)),
    ) {
        let mut ids: Vec<u64> = Vec::new();
        for (parts, received) in broken {
            let caller_has = ids.last().copied();
            let mut splitter = EventSplitter::resuming(caller_has);
            let mut answer = Vec::new();
            for part in parts {
                let first = splitter.last_event_id().map_or(1, |id| id + 1);
                answer.extend(part.push(&mut splitter, first));
                prop_assert!(splitter.can_resume());
                prop_assert_eq!(splitter.join_fault(), None);
                splitter.discard_partial();
            }
            answer.truncate(received.index(answer.len() + 1));
            ids.extend(sound_ids(&read_events(&answer)));
        }
        let mut splitter = EventSplitter::resuming(ids.last().copied());
        let mut answer = Vec::new();
        let (parts, whole) = last;
        for part in parts.iter().chain([&whole]) {
            splitter.discard_partial();
            let first = splitter.last_event_id().map_or(1, |id| id + 1);
            answer.extend(part.push(&mut splitter, first));
        }

        ids.extend(sound_ids(&read_events(&answer)));

        prop_assert_eq!(ids, (1..=EVENTS).collect::<Vec<_>>());
        prop_assert!(!splitter.is_within_event());
    }

    /// Guards against events of an engine that does not go on after the last event, which a caller would
    /// read as those that follow.
    #[test]
    fn a_part_that_does_not_follow_is_not_passed_on(
        begun in any_part(true),
        false_part in any_part(false),
        false_first in 1..=EVENTS,
        part in any_part(false),
    ) {
        let mut splitter = EventSplitter::default();
        let mut answer = begun.push(&mut splitter, 1);
        let next = splitter.last_event_id().map_or(1, |id| id + 1);
        // One event alone doesn't show that ids count up by one.
        prop_assume!(next > 2 && next <= EVENTS && false_first != next);

        splitter.discard_partial();
        let passed_on = false_part.push(&mut splitter, false_first);
        let fault = splitter.join_fault();
        splitter.discard_partial();
        answer.extend(part.push(&mut splitter, next));

        prop_assert!(read_events(&passed_on).is_empty(), "{passed_on:?}");
        prop_assert!(fault.is_some());
        prop_assert_eq!(splitter.join_fault(), None);
        prop_assert_eq!(sound_ids(&read_events(&answer)), (1..=EVENTS).collect::<Vec<_>>());
    }
}
