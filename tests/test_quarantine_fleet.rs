//! Content under which upstreams end, known by whole fleets in virtual time.

use crate::fleet_play::FleetSimulation;
use rstest::rstest;
use tarragonknot::policy::{Moment, UpstreamHash};
use tarragonknot::quarantine::RequestFingerprint;

const CONTENT: RequestFingerprint = RequestFingerprint(7);

fn upstream(number: usize) -> UpstreamHash {
    UpstreamHash::of(&"pool".into(), &format!("e{number}").as_str().into(), 1)
}

/// Three daemons, far from each other in the fleet, see an upstream end each.
fn crash_three(play: &mut FleetSimulation) {
    let count = play.daemons.len();
    for (number, daemon) in [0, count / 2, count - 1].into_iter().enumerate() {
        let now = play.now;
        play.daemons[daemon].crashes.record_crash(CONTENT, upstream(number), now);
    }
}

fn holding(play: &FleetSimulation) -> usize {
    let now = play.now;
    let daemons = play.daemons.iter().filter(|daemon| daemon.is_running);
    daemons.filter(|daemon| daemon.crashes.held_for(CONTENT, now).is_some()).count()
}

fn running(play: &FleetSimulation) -> usize {
    play.daemons.iter().filter(|daemon| daemon.is_running).count()
}

/// Symptom: upstreams end in rows under one content. Sequence: its caller tries one daemon after the other. Cause: each
/// daemon knew of its own upstream alone. All must know within the time in which daemons hear of each other, by the
/// operators' bound: 3 s in small fleets, 5 s in large ones.
#[rstest]
#[case::seven(7, 1_000)]
#[case::sixty(60, 1_500)]
#[case::three_hundred(300, 2_000)]
#[case::a_thousand(1_000, 3_000)]
fn ends_seen_by_three_daemons_are_soon_held_against_the_content_by_all(
    #[case] count: usize,
    #[case] millis: u64,
) {
    let mut play = FleetSimulation::lossless(count, 1);
    play.run(3_000, true);

    crash_three(&mut play);
    play.run(millis, true);

    assert_eq!(holding(&play), count);
}

/// One message in five is lost.
#[test]
fn lost_messages_are_made_good() {
    let mut play = FleetSimulation::new(60, 3, Box::new(|_, _, _, draw| usize::from(draw > 0.2)));
    play.run(3_000, true);

    crash_three(&mut play);
    play.run(2_500, true);

    assert_eq!(holding(&play), 60);
}

/// Symptom: content that was held back ends upstreams again after a restart. Sequence: daemons are killed and start with
/// empty tables. Cause: news is told once, to those who listen then.
#[rstest]
#[case::seven(7)]
#[case::sixty(60)]
fn daemons_that_start_anew_are_told(#[case] count: usize) {
    let mut play = FleetSimulation::lossless(count, 5);
    play.run(3_000, true);
    crash_three(&mut play);
    play.run(3_000, true);

    // Aggregators among them: the first of each group, and every third daemon.
    let restarted: Vec<usize> = (0..count).filter(|number| number % 3 == 0).collect();
    restarted.iter().for_each(|number| play.kill(*number));
    play.run(1_200, true);
    restarted.iter().for_each(|number| play.start(*number));
    play.run(4_000, true);

    assert_eq!(holding(&play), running(&play));
}

/// Those who saw the ends are gone a moment after they told.
#[test]
fn what_is_known_outlives_those_who_saw_it() {
    let mut play = FleetSimulation::lossless(60, 7);
    play.run(3_000, true);
    crash_three(&mut play);
    play.run(200, true);

    [0, 30, 59].into_iter().for_each(|number| play.kill(number));
    play.run(3_000, true);

    assert_eq!(holding(&play), 57);
}

/// Two halves hear nothing of each other for a while; each sees a part of the ends.
#[rstest]
#[case::seven(7)]
#[case::sixty(60)]
fn halves_that_were_cut_apart_learn_of_each_other(#[case] count: usize) {
    let cut = move |from: usize, to: usize, now: Moment, _| {
        let is_cut = (Moment::from_millis(5_000)..Moment::from_millis(12_000)).contains(&now);
        usize::from(!(is_cut && (from < count / 2) != (to < count / 2)))
    };
    let mut play = FleetSimulation::new(count, 9, Box::new(cut));
    play.run(5_000, true);
    crash_three(&mut play);
    play.run(4_000, true);
    let during = holding(&play);

    play.run(6_000, true);

    assert!(during < count, "the cut kept nothing apart");
    assert_eq!(holding(&play), count);
}

/// Bytes and messages while a thousand contents are told of at once, and after it.
#[test]
fn a_thousand_contents_at_once_cost_a_bounded_number_of_bytes() {
    let mut play = FleetSimulation::lossless(60, 11);
    play.run(3_000, true);
    let bytes =
        |play: &FleetSimulation| play.daemons.iter().map(|daemon| daemon.bytes).sum::<u64>() / 60;
    let start = bytes(&play);
    play.run(4_000, true);
    let calm = bytes(&play) - start;

    for number in 0..3_000 {
        let (daemon, now) = (number % 60, play.now);
        let content = RequestFingerprint(100 + number as u64 / 3);
        play.daemons[daemon].crashes.record_crash(content, upstream(number), now);
    }
    let start = bytes(&play);
    play.run(12_000, true);
    let flood = bytes(&play) - start;
    let start = bytes(&play);
    play.run(4_000, true);
    let after = bytes(&play) - start;

    let now = play.now;
    let least = play.daemons.iter().map(|daemon| daemon.crashes.sizes(now).held).min();
    assert_eq!(least, Some(1_000));
    println!(
        "bytes a daemon and second: calm {}, flood {}, after {}",
        calm / 4,
        flood / 12,
        after / 4
    );
    assert!(flood / 12 < 12 * (calm / 4), "calm {} flood {}", calm / 4, flood / 12);
    assert!(after < calm + calm / 5, "calm {calm} after {after}");
}
