//! A daemon's crash table, which maps request contents to upstream crashes, and its merging.

use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;
use tarragonknot::policy::{Moment, UpstreamHash};
use tarragonknot::quarantine::{
    CRASHES_TO_HOLD, CrashTable, RequestFingerprint, SuspectRow, SuspectUpdate,
};

const CONTENT: RequestFingerprint = RequestFingerprint(7);

fn upstream(number: usize) -> UpstreamHash {
    UpstreamHash::of(&"pool".into(), &format!("e{number}").as_str().into(), 1)
}

fn seconds(count: u64) -> Moment {
    Moment::from_millis(count * 1_000)
}

/// Returns a table in which `count` upstreams crashed on the content, one second apart, starting at
/// second `from`.
fn table_with(count: usize, from: u64) -> CrashTable {
    let mut table = CrashTable::default();
    for number in 0..count {
        table.record_crash(CONTENT, upstream(number), seconds(from + number as u64));
    }
    table
}

#[rstest]
#[case::two_may_be_chance(CRASHES_TO_HOLD - 1, false)]
#[case::three_are_not(CRASHES_TO_HOLD, true)]
fn content_is_held_back_once_enough_upstreams_have_ended(
    #[case] crashes: usize,
    #[case] is_held: bool,
) {
    let table = table_with(crashes, 100);

    assert_eq!(table.held_for(CONTENT, seconds(110)).is_some(), is_held);
    assert_eq!(table.held_for(RequestFingerprint(8), seconds(110)), None);
}

/// Two requests with one content on one upstream, or two daemons reporting the same crash, count as
/// one crash.
#[test]
fn an_upstream_that_ended_once_counts_once() {
    let mut table = CrashTable::default();
    for second in 100..110 {
        table.record_crash(CONTENT, upstream(0), seconds(second));
    }

    assert_eq!(table.held_for(CONTENT, seconds(110)), None);
}

/// Guards against quarantining a harmless popular request in the whole fleet. It runs on most
/// upstreams of a rack that loses power, and each crash counts against every request on the
/// upstream, however often that content was answered just before or since.
#[rstest]
#[case::answered_just_before(vec![99], 100)]
#[case::answered_since(vec![101], 100)]
#[case::answered_by_another_daemon_since(vec![], 100)]
fn a_whole_answer_clears_content_that_only_was_there(
    #[case] answers: Vec<u64>,
    #[case] crash: u64,
) {
    let mut table = CrashTable::default();
    let at = |second| seconds(second);
    answers
        .iter()
        .filter(|second| **second < crash)
        .for_each(|second| table.record_answer(CONTENT, at(*second)));
    for number in 0..10 {
        table.record_crash(CONTENT, upstream(number), at(crash));
    }
    answers
        .iter()
        .filter(|second| **second >= crash)
        .for_each(|second| table.record_answer(CONTENT, at(*second)));
    if answers.is_empty() {
        let mut other_table = CrashTable::default();
        other_table.record_answer(CONTENT, at(99));
        other_table.merge_update(&"first".into(), &table.next_update(at(101)), at(101));
        table.merge_update(&"other".into(), &other_table.next_update(at(102)), at(102));
    }

    assert_eq!(table.held_for(CONTENT, at(103)), None);
    let update = table.next_update(at(103));
    let mut late = table_with(10, 100);
    late.merge_update(&"table".into(), &update, at(110));
    assert_eq!(late.held_for(CONTENT, at(111)), None, "{update:?}");
}

/// An old answer does not clear content, since the upstreams may have changed in the meantime.
#[test]
fn an_old_answer_does_not_speak_for_content_that_ends_upstreams_now() {
    let mut table = CrashTable::default();
    table.record_answer(CONTENT, seconds(60));
    for number in 0..3 {
        table.record_crash(CONTENT, upstream(number), seconds(100 + number as u64));
    }

    assert!(table.held_for(CONTENT, seconds(110)).is_some());
}

#[test]
fn a_hold_ends_by_itself_and_comes_back_at_once_and_longer() {
    let mut table = table_with(3, 100);
    let first = table.held_for(CONTENT, seconds(102)).expect("quarantined");

    let after = seconds(102) + first + Duration::from_secs(1);
    assert_eq!(table.held_for(CONTENT, after), None);
    let held = table.record_crash(CONTENT, upstream(9), after).expect("quarantined again");

    assert_eq!((held.crashes, held.held_for), (4, first * 2));
}

#[test]
fn an_operator_lets_content_through_everywhere() {
    let mut table = table_with(5, 100);
    let mut other_table = table_with(5, 100);

    table.release(CONTENT, seconds(120));
    other_table.merge_update(&"table".into(), &table.next_update(seconds(121)), seconds(121));

    assert_eq!(table.held_for(CONTENT, seconds(122)), None);
    assert_eq!(other_table.held_for(CONTENT, seconds(122)), None);
    for number in 10..13 {
        table.record_crash(CONTENT, upstream(number), seconds(130));
    }
    assert!(
        table.held_for(CONTENT, seconds(131)).is_some(),
        "the content may be quarantined again"
    );
}

/// Guards against a daemon running out of memory or admitting quarantined content when callers send
/// many contents that crash an upstream. This happens if the table is unbounded, or if it evicts
/// quarantined content first.
#[test]
fn a_flood_of_contents_is_bounded_and_drives_out_nothing_that_is_held_back() {
    let mut table = table_with(3, 100);
    for number in 0..50_000 {
        table.record_crash(RequestFingerprint(1_000 + number), upstream(1), seconds(103));
        table.record_answer(RequestFingerprint(100_000 + number), seconds(103));
    }

    assert!(table.sizes(seconds(104)).known <= 8_192, "{:?}", table.sizes(seconds(104)));
    assert!(table.held_for(CONTENT, seconds(104)).is_some());
    let first = table.next_update(seconds(104));
    assert!(first.is_plausible());
    assert_eq!(first.rows[0].request, CONTENT, "quarantined content is sent first");
    let bytes = postcard::to_stdvec(&first).expect("serialised").len();
    assert!(bytes < 1_400, "{bytes} bytes in one message");
}

#[test]
fn what_is_over_is_forgotten() {
    let mut table = table_with(2, 100);

    table.next_update(seconds(100 + 650));

    assert_eq!(table.sizes(seconds(100 + 650)).known, 0);
}

/// Values that no daemon can produce, in messages of an unknown sender or another version.
#[rstest]
#[case::too_many_rows(33, 0, 0, None)]
#[case::too_many_upstreams(1, 65, 0, None)]
#[case::an_age_beyond_sense(1, 1, i64::MAX, None)]
#[case::an_end_that_is_to_come(1, 1, -3_600_000, None)]
#[case::cleared_for_ever(1, 1, 0, Some(i64::MIN))]
fn absurd_news_is_refused(
    #[case] rows: usize,
    #[case] crashes: usize,
    #[case] age: i64,
    #[case] void_age_ms: Option<i64>,
) {
    let crashes = (0..crashes).map(|number| (upstream(number), age)).collect();
    let row = SuspectRow { request: CONTENT, crashes, void_age_ms, companions: Vec::new() };
    let update = SuspectUpdate { digest: 0, rows: vec![row; rows] };

    assert!(!update.is_plausible());
}

proptest! {
    /// Merging is independent of order, duplication and path: the same contents are quarantined for
    /// the same upstreams.
    #[test]
    fn rows_merge_to_the_same_in_any_order(
        rows in prop::collection::vec((0u64..4, 0usize..16, 0i64..20_000), 1..40),
        order in any::<u64>(),
    ) {
        let now = seconds(100);
        let row = |(request, crash, age): &(u64, usize, i64)| SuspectRow {
            request: RequestFingerprint(*request),
            crashes: vec![(upstream(*crash), *age)],
            void_age_ms: None,
            companions: Vec::new(),
        };
        let mut first = CrashTable::default();
        let mut second = CrashTable::default();
        rows.iter().for_each(|entry| _ = first.merge_rows(&[row(entry)], now));
        let mut shuffled = rows.clone();
        shuffled.rotate_left(order as usize % rows.len());
        shuffled.reverse();
        shuffled.extend(rows.clone());
        shuffled.iter().for_each(|entry| _ = second.merge_rows(&[row(entry)], now));

        prop_assert_eq!(first.held(now), second.held(now));
        prop_assert_eq!(first.next_update(now).digest, second.next_update(now).digest);
    }
}
