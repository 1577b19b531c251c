//! The voters' log of quarantined contents, and its distribution to daemons.

use crate::workdir::{WorkDir, stderr};
use rstest::rstest;
use tarragonknot::control::{ControlCommand, ControlLedger, FleetMember, QuarantineLog};
use tarragonknot::policy::{Moment, UpstreamHash};
use tarragonknot::quarantine::{CrashTable, RequestFingerprint, SuspectRow};

const CONTENT: RequestFingerprint = RequestFingerprint(0x07e2_31c6_8511_4121);
/// Wall-clock time of the first report, in milliseconds.
const REPORT_TIME_MS: u64 = 1_780_000_000_000;

fn upstream(number: usize) -> UpstreamHash {
    UpstreamHash::of(&"pool".into(), &format!("e{number}").as_str().into(), 1)
}

fn row(request: RequestFingerprint, crashes: usize) -> SuspectRow {
    let crashes = (0..crashes).map(|number| (upstream(number), 1_000)).collect();
    SuspectRow { request, crashes, void_age_ms: None, companions: Vec::new() }
}

/// Returns a ledger to which the content was reported at `REPORT_TIME_MS`.
fn ledger() -> ControlLedger {
    let mut ledger = ControlLedger::default();
    ledger.apply(&ControlCommand::Quarantine { rows: vec![row(CONTENT, 3)], at: REPORT_TIME_MS });
    ledger
}

/// Guards against quarantined content crashing upstreams again after all daemons and voters are
/// killed at once and restarted. This happens if the records are kept only in the daemons' memory.
#[test]
fn what_is_held_back_outlives_the_restart_of_everything() {
    let snapshot = ledger().to_json();

    let ledger = ControlLedger::from_json(&snapshot).expect("a snapshot");
    let mut daemon = CrashTable::default();
    // The daemon has been up for 2 s; the last crash on the content was a minute before.
    let now = Moment::from_millis(2_000);
    let rows = ledger.quarantine().rows(None, REPORT_TIME_MS + 60_000);
    daemon.merge_rows(&rows, now);

    let held = daemon.held(now);
    assert_eq!(held.len(), 1);
    assert_eq!((held[0].request, held[0].crashes), (CONTENT, 3));
    assert_eq!(held[0].last_crash.as_secs(), 61);
}

/// A snapshot written by a version without a quarantine log.
#[test]
fn a_snapshot_without_contents_is_read() {
    let mut snapshot: serde_json::Value =
        serde_json::from_str(&ControlLedger::default().to_json()).expect("JSON");
    snapshot.as_object_mut().expect("an object").remove("quarantine");

    let ledger = ControlLedger::from_json(&snapshot.to_string()).expect("a snapshot");

    assert_eq!(ledger.quarantine().held(REPORT_TIME_MS), []);
}

#[test]
fn a_released_content_is_let_through_and_daemons_hear_of_it() {
    let mut ledger = ledger();
    let mut daemon = CrashTable::default();
    let now = Moment::from_millis(100_000);
    daemon.merge_rows(&ledger.quarantine().rows(None, REPORT_TIME_MS)[..1], now);
    assert!(daemon.held_for(CONTENT, now).is_some());

    ledger.apply(&ControlCommand::Release { request: CONTENT, at: REPORT_TIME_MS + 500 });

    assert_eq!(ledger.quarantine().held(REPORT_TIME_MS + 600), []);
    let rows = ledger.quarantine().rows(Some(CONTENT), REPORT_TIME_MS + 600);
    daemon.merge_rows(&rows, now);
    assert_eq!(daemon.held_for(CONTENT, now), None);
}

/// Hundreds of daemons report the same content; a report is proposed for the log only if it adds to
/// the stored record.
#[rstest]
#[case::unknown(0, 3, true)]
#[case::the_same(3, 3, false)]
#[case::fewer(4, 3, false)]
#[case::one_more(3, 4, true)]
fn a_report_is_news_only_where_it_says_more(
    #[case] known: usize,
    #[case] reported: usize,
    #[case] is_news: bool,
) {
    let mut log = QuarantineLog::default();
    if known > 0 {
        log.merge(&[row(CONTENT, known)], REPORT_TIME_MS);
    }

    assert_eq!(log.is_news(&row(CONTENT, reported)), is_news);
}

/// Guards against quarantining cleared content again after a restart. The content is quarantined
/// and logged; a run in progress completes and clears it; daemons restart. This happens if only
/// crashes are reported to the voters.
#[test]
fn voters_hear_that_a_content_was_cleared() {
    let mut ledger = ledger();
    let mut daemon = CrashTable::default();
    let now = Moment::from_millis(100_000);
    daemon.merge_rows(&ledger.quarantine().rows(None, REPORT_TIME_MS), now);
    assert_eq!(daemon.reports(now), [], "other daemons saw the crashes");

    daemon.record_answer(CONTENT, now);
    let rows = daemon.reports(now);

    assert!(ledger.quarantine().is_news(&rows[0]));
    ledger.apply(&ControlCommand::Quarantine { rows, at: REPORT_TIME_MS + 1_000 });
    assert_eq!(ledger.quarantine().held(REPORT_TIME_MS + 1_000), []);
}

#[test]
fn the_log_is_bounded_and_keeps_what_ended_most_upstreams() {
    let mut log = QuarantineLog::default();
    log.merge(&[row(CONTENT, 5)], REPORT_TIME_MS);
    for number in 0..5_000 {
        log.merge(&[row(RequestFingerprint(number), 3)], REPORT_TIME_MS);
    }

    let held = log.held(REPORT_TIME_MS);
    assert!(held.len() <= 1_024, "{}", held.len());
    assert_eq!(held[0].fingerprint, CONTENT.to_string());
}

/// A daemon that has just started requests all quarantined contents in each report until it gets an
/// answer: here in two reports before the answer, not in the third.
#[test]
fn a_daemon_asks_for_what_is_held_back_until_it_was_told() {
    let mut member = FleetMember::new(
        "entry-1".into(),
        1,
        "127.0.0.1:7600".parse().expect("an address"),
        std::time::Duration::from_secs(3),
    );
    let now = Moment::from_millis(1_000);

    let first = member.report(0, Vec::new(), false, now);
    let again = member.report(0, Vec::new(), false, now);
    member.apply(serde_json::from_str(r#"{"version":1,"pools":[]}"#).expect("orders"), now);
    let later = member.report(1, Vec::new(), false, now);

    assert!(first.wants_suspects && again.wants_suspects);
    assert!(!later.wants_suspects);
}

#[rstest]
#[case::too_short("7e2")]
#[case::no_number("07e231c68511412g")]
#[case::a_sign("+7e231c685114121")]
fn a_fingerprint_that_is_none_is_refused_with_what_is_expected(#[case] text: &str) {
    let work = WorkDir::new();
    work.write("key", "secret");

    let ended = work.run(&[
        "quarantine",
        "release",
        text,
        "--control",
        "127.0.0.1:1",
        "--fleet-key-file",
        "key",
    ]);

    assert_eq!(ended.status.code(), Some(2));
    assert!(stderr(&ended).contains("expected 16 hexadecimal digits"), "{}", stderr(&ended));
    assert_eq!(CONTENT.to_string().parse(), Ok(CONTENT));
}
