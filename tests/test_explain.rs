//! The `explain` command: finds the cause of a request's outcome by its id.

use crate::workdir::{WorkDir, stderr, stdout};
use rstest::rstest;
use tarragonknot::answer::ANSWER_TABLE;
use tarragonknot::cmd::explain::{explain, first_attempt};

fn line(daemon: &str, time: u64, message: &str, fields: &str) -> String {
    format!(
        r#"{{"message":"{message}","time":{time},"level":"INFO","daemon":"{daemon}"{fields},"request":"id-1"}}"#
    )
}

fn log() -> String {
    [
        "not a line of ours".to_owned(),
        line("entry-1", 1_000, "sent", r#","upstream":"i-1","waited_ms":3"#),
        line("entry-1", 1_000, "sent", r#","upstream":"i-2""#).replace("id-1", "id-2"),
        line("entry-1", 1_400, "stream broken", r#","upstream":"i-1","events":4,"detail":"reset""#),
        line("entry-1", 1_402, "sent", r#","upstream":"i-3","send":2"#),
        format!(
            "   3.1 entry-1 {}",
            line(
                "entry-1",
                1_900,
                "stream cut",
                r#","upstream":"i-3","events":9,"detail":"its time is over""#
            )
        ),
    ]
    .join("\n")
}

#[test]
fn a_requests_way_ends_with_its_cause() {
    let log = log();

    let traces = explain("id-1", log.lines());

    let steps: Vec<(u64, &str)> =
        traces[0].steps.iter().map(|step| (step.after_ms, step.message.as_str())).collect();
    assert_eq!(steps, [(0, "sent"), (400, "stream broken"), (402, "sent"), (900, "stream cut")]);
    assert_eq!(traces[0].cause, "upstream i-3 stopped after 9 events and its time is over");
    assert_eq!(traces.len(), 1);
}

/// The finding about a lost upstream is logged after the outcome of the requests it broke off.
#[test]
fn the_cause_is_the_requests_end_though_another_line_follows() {
    let end =
        line("entry-1", 1, "stream cut", r#","upstream":"i-3","events":9,"detail":"no time""#);
    let later = line("entry-1", 2, "lost with its upstream", r#","upstream":"i-3""#);

    let traces = explain("id-1", [end.as_str(), later.as_str()].into_iter());

    assert_eq!(traces[0].cause, "upstream i-3 stopped after 9 events and no time");
}

#[rstest]
#[case::left(
    "daemon",
    "this daemon left upstream i-3 after 1200 ms of silence and 9 events, and the stream was not resumed: budget-spent; \
     admitted under table 42, table 57 in force for 300 ms"
)]
#[case::broken_off(
    "upstream",
    "upstream i-3 broke off after 9 events, and the stream was not resumed: budget-spent; admitted under table 42, table 57 in \
     force for 300 ms"
)]
#[case::late("deadline", "the deadline passed after 9 events of upstream i-3")]
fn a_cut_stream_names_who_ended_it(#[case] ended_by: &str, #[case] expected: &str) {
    let fields = format!(
        r#","upstream":"i-3","events":9,"ended_by":"{ended_by}","cause":"budget-spent","silent_ms":1200,"admitted_table":42,"table":57,"table_age_ms":300"#
    );
    let line = line("entry-1", 1, "stream cut", &fields);

    let traces = explain("id-1", [line.as_str()].into_iter());

    assert_eq!(traces[0].cause, expected);
}

#[test]
fn every_kind_of_refusal_is_explained() {
    for row in ANSWER_TABLE {
        let line = line("entry-1", 1, "refused", &format!(r#","kind":"{}""#, row.name));

        let traces = explain("id-1", [line.as_str()].into_iter());

        assert!(traces[0].cause.contains(row.title), "{}: {}", row.name, traces[0].cause);
    }
}

#[test]
fn the_command_reads_several_logs_and_says_when_none_names_the_request() {
    let work = WorkDir::new();
    work.write("one.log", &log());
    work.write("two.log", &line("entry-2", 5, "caller left", r#","stage":"Sent""#));

    let found = work.run(&["explain", "id-1", "one.log", "two.log"]);
    let none = work.run(&["explain", "id-9", "one.log"]);

    let text = stdout(&found);
    assert!(text.contains("daemon entry-1") && text.contains("daemon entry-2"), "{text}");
    assert!(text.contains("cause: the caller left before an answer began"), "{text}");
    assert_eq!(none.status.code(), Some(1));
    assert!(stderr(&none).contains("no line of these logs names request id-9"));
}

/// Guards against a resumed stream whose beginning must be searched for by hand.
#[test]
fn the_attempt_that_began_a_resumed_stream_is_named() {
    let log = [
        line("entry-1", 1_000, "sent", r#","upstream":"i-1","resumes":null"#),
        line("entry-2", 2_000, "stream origin", r#","resumes":"id-0","result":"known""#),
        line("entry-2", 2_001, "sent", r#","upstream":"i-2","resumes":"id-0""#),
    ];

    let traces = explain("id-1", log.iter().map(String::as_str));

    assert_eq!(first_attempt(&traces).as_deref(), Some("id-0"));
    assert_eq!(first_attempt(&traces[..1]), None);
}
