//! Requests that are unlike but for one prompt part, which crashes the engines that run them.

use crate::crashing_parts::{BAD_PART, PartCrashes};
use crate::routed_fleet::{EngineAction, KEY};
use http::StatusCode;
use rstest::rstest;

/// Requests with the part, and as many sound ones between them.
const ATTEMPT_COUNT: usize = 12;
/// Maximum number of sends: three before the part is held back, and three after that.
const MAX_SENDS: usize = 3 + 3;

/// A prompt whose first part all requests share, with the bad part in the given place.
fn bad_prompt(place: usize, number: usize) -> String {
    let mut parts = vec!["f157:60".to_owned(), format!("a{number:03x}:400")];
    parts.insert(place, format!("{BAD_PART}:300"));
    parts.push(format!("e{number:03x}:200"));
    parts.join(",")
}

fn sound_prompt(number: usize) -> String {
    format!("f157:60,a{number:03x}:400,c{number:03x}:200")
}

/// Guards against requests that share a prompt part crashing one engine after another, as each is new.
#[rstest]
#[case::first("/resumable/x", 0, EngineAction::CrashAfter(1, 2))]
#[case::in_the_middle("/resumable/x", 1, EngineAction::CrashAfter(1, 2))]
#[case::last_but_one("/resumable/x", 2, EngineAction::CrashAfter(1, 2))]
#[case::before_an_event("/resumable/x", 1, EngineAction::Crash)]
#[case::stream_that_may_run_once("/stream/x", 1, EngineAction::CrashAfter(1, 1))]
#[case::safe("/safe/x", 1, EngineAction::Crash)]
#[case::unsafe_that_may_run_once("/unsafe/x", 1, EngineAction::Crash)]
#[tokio::test]
async fn unlike_requests_whose_part_ends_engines_are_held_back(
    #[case] path: &str,
    #[case] place: usize,
    #[case] crash: EngineAction,
) {
    let mut park = PartCrashes::start(crash).await;

    let mut served = 0;
    for number in 0..ATTEMPT_COUNT {
        let sound = park.attempt(100 + number, path, &sound_prompt(number)).await;
        served += usize::from(sound.status == StatusCode::OK && sound.is_whole);
        park.attempt(number, path, &bad_prompt(place, number)).await;
    }

    let sends = park.send_count();
    assert!(sends <= MAX_SENDS, "{sends} sends");
    assert_eq!(served, ATTEMPT_COUNT, "sound requests served");
}

/// Guards against a part held that was only there when engines ended for reasons of their own.
#[tokio::test]
async fn engines_that_end_by_themselves_hold_no_part() {
    const CALLS: usize = 40;
    let mut park = PartCrashes::start_ending_each(6).await;

    let mut served = 0;
    for number in 0..CALLS {
        let answer = park.attempt(number, "/resumable/x", &sound_prompt(number)).await;
        served += usize::from(answer.status == StatusCode::OK && answer.is_whole);
    }

    assert_eq!(served, CALLS);
}

/// Guards against a prompt header that blames what no other request has, or fails the request.
#[rstest]
#[case::one_part("f157:60")]
#[case::none("")]
#[case::not_hexadecimal("f157:60,zz:3,aa:1")]
#[case::without_tokens("f157,aa:1")]
#[case::not_a_list(";;;")]
#[tokio::test]
async fn requests_without_a_readable_common_part_are_blamed_for_their_content_alone(
    #[case] prompt: &str,
) {
    let mut park = PartCrashes::start(EngineAction::Crash).await;
    for number in 0..4 {
        let daemon = &park.daemons[0];
        let headers = [("tarragonknot-prefix-hash", prompt), ("x-note", BAD_PART)];
        daemon.stream_for(KEY, "/unsafe/x", &format!("bad-{number}"), &headers).await;
        park.replace_crashed().await;
    }

    let answer = park.attempt(9, "/unsafe/x", prompt).await;

    assert_eq!((answer.status, park.send_count()), (StatusCode::OK, 4));
}
