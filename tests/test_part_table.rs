//! Blame of prompt parts in a daemon's crash table: who is held for crashes that many were present at.

use proptest::prelude::*;
use rstest::rstest;
use tarragonknot::policy::{Moment, UpstreamHash};
use tarragonknot::quarantine::{
    CrashEvidence, CrashTable, PART_CRASHES_TO_HOLD, PromptPart, RequestFingerprint, SuspectKeys,
};

fn upstream(number: usize) -> UpstreamHash {
    UpstreamHash::of(&"pool".into(), &format!("e{number}").as_str().into(), 1)
}

fn millis(count: u64) -> Moment {
    Moment::from_millis(count)
}

fn part(name: &str) -> RequestFingerprint {
    RequestFingerprint::of_part(&"pool".into(), PromptPart::of(name.as_bytes()))
}

/// A request with a content of its own and these parts.
fn request(content: u64, parts: &[&str]) -> SuspectKeys {
    let parts: Vec<PromptPart> = parts.iter().map(|name| PromptPart::of(name.as_bytes())).collect();
    SuspectKeys::new(RequestFingerprint(content * 2), &"pool".into(), &parts)
}

/// Records that an upstream crashed while it ran these requests.
fn crash(table: &mut CrashTable, number: usize, lost: &[&SuspectKeys], now: Moment) {
    for keys in lost {
        table.record_request_crash(keys, upstream(number), CrashEvidence::Certain, now);
    }
}

fn is_held(table: &CrashTable, keys: &SuspectKeys, now: Moment) -> bool {
    table.find_held(keys, now).is_some()
}

/// Guards against upstreams lost to unlike requests that share a part.
#[test]
fn a_part_that_ends_enough_upstreams_is_held_in_requests_never_seen_before() {
    let mut table = CrashTable::default();
    for number in 0..PART_CRASHES_TO_HOLD {
        crash(&mut table, number, &[&request(number as u64, &["bad"])], millis(100_000));
    }

    assert!(is_held(&table, &request(77, &["bad", "other"]), millis(100_001)));
    assert!(!is_held(&table, &request(77, &["other"]), millis(100_001)));
}

/// Guards against sound requests held for a first part, a caller's or a route's, that many share.
#[test]
fn a_part_that_others_have_answers_on_is_not_held() {
    let mut table = CrashTable::default();
    for number in 0..6 {
        let now = millis(100_000 + number * 500);
        table.record_request_answer(&request(900 + number, &["first", "a"]), now);
        crash(&mut table, number as usize, &[&request(number, &["first", "bad"])], now);
    }

    let now = millis(103_000);
    assert!(is_held(&table, &request(77, &["first", "bad"]), now));
    assert!(!is_held(&table, &request(77, &["first", "a"]), now));
    assert!(!is_held(&table, &request(78, &["first"]), now));
}

/// Guards against sound requests held since they were lost with upstreams that a part has ended.
#[test]
fn bystanders_of_a_held_part_are_not_held() {
    let mut table = CrashTable::default();
    let bystander = request(500, &["first", "rare"]);
    for number in 0..5 {
        let culprit = request(number as u64, &["first", "bad"]);
        let lost: &[&SuspectKeys] = if number < 3 { &[&culprit, &bystander] } else { &[&culprit] };
        crash(&mut table, number, lost, millis(100_000 + number as u64 * 100));
    }

    let now = millis(101_000);
    assert!(is_held(&table, &request(77, &["first", "bad"]), now));
    assert!(!is_held(&table, &bystander, now), "its content or part is held");
    assert!(!is_held(&table, &request(78, &["rare"]), now));
}

/// Guards against a flood of crashes that a full record no longer shows, which would blame others.
#[test]
fn bystanders_are_not_held_however_many_upstreams_a_part_has_ended() {
    let mut table = CrashTable::default();
    for number in 0..60 {
        let culprit = request(number as u64, &["bad"]);
        let bystander = request(1_000 + number as u64 / 4, &["rare"]);
        crash(&mut table, number, &[&culprit, &bystander], millis(100_000 + number as u64 * 100));
        if number % 10 == 9 {
            crash(&mut table, 100 + number, &[&culprit], millis(100_050 + number as u64 * 100));
        }
    }

    let now = millis(107_000);
    assert!(is_held(&table, &request(7_777, &["bad"]), now));
    for content in 1_000..1_015 {
        assert!(!is_held(&table, &request(content, &[]), now), "content {content}");
    }
}

/// Guards against sound requests held for a part that two culprits had in common, and against culprits
/// that go free as that part explains a part of their crashes.
#[test]
fn two_culprits_are_held_in_place_of_what_they_have_in_common() {
    let mut table = CrashTable::default();
    let poison = |common: &str| request(500, &["first", common]);
    for number in 0..2 {
        crash(&mut table, number, &[&poison("a")], millis(100_000));
        let keys = request(number as u64, &["first", "a", "bad"]);
        crash(&mut table, 2 + number, &[&keys], millis(100_100));
    }
    table.record_request_answer(&request(900, &["first", "b"]), millis(101_000));
    crash(&mut table, 4, &[&poison("b")], millis(102_000));
    for number in 5..8 {
        let keys = request(number as u64, &["first", "b", "bad"]);
        crash(&mut table, number, &[&keys], millis(102_000));
    }

    let now = millis(102_100);
    assert!(is_held(&table, &poison("c"), now));
    assert!(is_held(&table, &request(77, &["first", "c", "bad"]), now));
    assert!(!is_held(&table, &request(78, &["first", "a"]), now));
}

/// Guards against sound requests held before anyone has an answer, for what two contents that crash
/// upstreams have in common.
#[test]
fn two_culprits_that_are_sent_twice_hold_nothing_in_common() {
    let mut table = CrashTable::default();
    for number in 0..4 {
        let content = 500 + number as u64 / 2;
        crash(&mut table, number, &[&request(content, &["first", "a"])], millis(100_000));
    }

    assert!(!is_held(&table, &request(77, &["first", "a"]), millis(100_100)));
}

/// Guards against sound requests held for a part that so far came only together with the crashing one.
#[test]
fn parts_that_always_came_together_hold_only_requests_with_all_of_them() {
    let mut table = CrashTable::default();
    for number in 0..PART_CRASHES_TO_HOLD {
        crash(&mut table, number, &[&request(number as u64, &["twin", "bad"])], millis(100_000));
    }
    let now = millis(100_100);
    assert!(is_held(&table, &request(77, &["twin", "bad", "x"]), now));
    assert!(!is_held(&table, &request(78, &["twin"]), now));

    table.record_request_answer(&request(78, &["twin"]), now);

    assert!(is_held(&table, &request(79, &["bad"]), millis(100_200)), "its twin is cleared");
}

/// Guards against a culprit that goes free as one request without its companion is let through.
#[test]
fn a_crash_without_its_companion_holds_the_part_alone() {
    let mut table = CrashTable::default();
    for number in 0..PART_CRASHES_TO_HOLD {
        crash(&mut table, number, &[&request(number as u64, &["twin", "bad"])], millis(100_000));
    }
    assert!(!is_held(&table, &request(50, &["bad"]), millis(100_100)));

    crash(&mut table, 30, &[&request(50, &["bad"])], millis(100_200));

    assert!(is_held(&table, &request(51, &["bad"]), millis(100_300)));
    assert!(!is_held(&table, &request(52, &["twin"]), millis(100_300)));
}

/// Guards against a rack's end, or a release, held against the first part that all its requests share.
#[rstest]
#[case::at_one_moment(0)]
#[case::within_seconds(500)]
fn upstreams_that_end_by_themselves_hold_nothing(#[case] gap: u64) {
    let mut table = CrashTable::default();
    table.record_request_answer(&request(900, &["first", "a"]), millis(99_000));
    for number in 0..5 {
        let lost = request(number, &["first", "a"]);
        crash(&mut table, number as usize, &[&lost], millis(100_000 + number * gap));
    }

    let now = millis(103_000);
    assert!(!is_held(&table, &request(77, &["first", "a"]), now));
    assert_eq!(table.held(now), []);
}

/// Guards against a daemon's own lost connections held against what was on its way at the time.
#[test]
fn doubtful_crashes_count_only_against_what_is_suspect() {
    let mut table = CrashTable::default();
    let mut record = |number: usize, keys: &SuspectKeys, evidence| {
        table.record_request_crash(keys, upstream(number), evidence, millis(100_000));
    };
    record(0, &request(0, &["bad"]), CrashEvidence::Certain);
    for number in 1..PART_CRASHES_TO_HOLD {
        let keys = request(number as u64, &["bad", "sound"]);
        record(number, &keys, CrashEvidence::Doubtful);
    }

    assert!(is_held(&table, &request(77, &["bad"]), millis(100_001)));
    assert!(!is_held(&table, &request(77, &["sound"]), millis(100_001)));
}

/// A part that upstreams of another service answer may still crash those of this one.
#[test]
fn an_answer_by_another_service_clears_nothing() {
    let mut table = CrashTable::default();
    let name = PromptPart::of(b"bad");
    let elsewhere = SuspectKeys::new(RequestFingerprint(900), &"other-pool".into(), &[name]);
    for number in 0..PART_CRASHES_TO_HOLD {
        table.record_request_answer(&elsewhere, millis(100_000));
        crash(&mut table, number, &[&request(number as u64, &["bad"])], millis(100_000));
    }

    assert!(is_held(&table, &request(77, &["bad"]), millis(100_001)));
}

/// Guards against parts of busy routes that are forgotten as answered, as contents fill the memory.
#[test]
fn many_answered_contents_do_not_displace_answered_parts() {
    let mut table = CrashTable::default();
    for number in 0..10_000 {
        table.record_request_answer(&request(number, &["a"]), millis(100_000 + number / 10));
    }
    table.record_request_answer(&request(20_000, &["late"]), millis(101_000));
    for number in 0..PART_CRASHES_TO_HOLD {
        crash(&mut table, number, &[&request(30_000 + number as u64, &["late"])], millis(101_500));
    }

    assert!(!is_held(&table, &request(77, &["late"]), millis(101_600)));
}

proptest! {
    /// Daemons that receive the same rows in any order hold the same requests.
    #[test]
    fn daemons_agree_whatever_the_order_of_rows(
        crashes in prop::collection::vec((0usize..8, 0u64..6, 0usize..8), 1..24),
        rotation in any::<usize>(),
    ) {
        let names = ["a", "b", "c"];
        let parts = |set: usize| -> Vec<&str> {
            (0..3).filter(|bit| set & (1 << bit) != 0).map(|bit| names[bit]).collect()
        };
        let now = millis(100_000);
        let mut rows = Vec::new();
        for (number, content, set) in &crashes {
            let mut witness = CrashTable::default();
            crash(&mut witness, *number, &[&request(*content, &parts(*set))], now);
            rows.extend(witness.next_update(now).rows);
        }
        let mut first = CrashTable::default();
        first.merge_rows(&rows, now);
        let middle = rotation % rows.len();
        rows.rotate_left(middle);
        rows.reverse();
        let mut second = CrashTable::default();
        rows.iter().for_each(|row| _ = second.merge_rows(std::slice::from_ref(row), now));

        prop_assert_eq!(first.held(now), second.held(now));
        prop_assert_eq!(first.next_update(now).digest, second.next_update(now).digest);
        for set in 0..8 {
            let keys = request(99, &parts(set));
            prop_assert_eq!(is_held(&first, &keys, now), is_held(&second, &keys, now));
        }
    }
}

#[test]
fn logs_and_lists_tell_parts_from_contents() {
    assert_eq!((part("a").kind(), request(3, &[]).content.kind()), ("part", "content"));
}
