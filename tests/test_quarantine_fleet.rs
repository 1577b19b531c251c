//! Distribution of quarantined contents through whole fleets in virtual time.

use crate::fleet_play::FleetSimulation;
use rstest::rstest;
use tarragonknot::policy::{Moment, UpstreamHash};
use tarragonknot::quarantine::RequestFingerprint;

const CONTENT: RequestFingerprint = RequestFingerprint(7);

fn upstream(number: usize) -> UpstreamHash {
    UpstreamHash::of(&"pool".into(), &format!("e{number}").as_str().into(), 1)
}

/// Records one upstream crash on each of three daemons that are far apart in the fleet.
fn crash_three(play: &mut FleetSimulation) {
    let count = play.daemons.len();
    for (number, daemon) in [0, count / 2, count - 1].into_iter().enumerate() {
        let now = play.now;
        play.daemons[daemon].crashes.record_crash(CONTENT, upstream(number), now);
    }
}

fn quarantining_count(play: &FleetSimulation) -> usize {
    let now = play.now;
    let daemons = play.daemons.iter().filter(|daemon| daemon.is_running);
    daemons.filter(|daemon| daemon.crashes.held_for(CONTENT, now).is_some()).count()
}

fn running_count(play: &FleetSimulation) -> usize {
    play.daemons.iter().filter(|daemon| daemon.is_running).count()
}

/// Guards against one content crashing one upstream after another while its caller tries one daemon
/// after another. This happens if each daemon knows only the crashes of its own upstreams. All must
/// know within the operators' bound for news between daemons: 3 s in small fleets, 5 s in large
/// ones.
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

    assert_eq!(quarantining_count(&play), count);
}

/// Updates reach every daemon although one message in five is lost.
#[test]
fn lost_messages_are_made_good() {
    let mut play = FleetSimulation::new(60, 3, Box::new(|_, _, _, draw| usize::from(draw > 0.2)));
    play.run(3_000, true);

    crash_three(&mut play);
    play.run(2_500, true);

    assert_eq!(quarantining_count(&play), 60);
}

/// Guards against quarantined content crashing upstreams again after daemons are killed and restart
/// with empty tables. This happens if updates are sent once, to the daemons then running.
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

    assert_eq!(quarantining_count(&play), running_count(&play));
}

/// The daemons that recorded the crashes are killed shortly after they sent their updates.
#[test]
fn what_is_known_outlives_those_who_saw_it() {
    let mut play = FleetSimulation::lossless(60, 7);
    play.run(3_000, true);
    crash_three(&mut play);
    play.run(200, true);

    [0, 30, 59].into_iter().for_each(|number| play.kill(number));
    play.run(3_000, true);

    assert_eq!(quarantining_count(&play), 57);
}

/// A partition separates two halves of the fleet for a while; each half sees some of the crashes.
#[rstest]
#[case::seven(7)]
#[case::sixty(60)]
fn halves_that_were_cut_apart_learn_of_each_other(#[case] count: usize) {
    let partition = move |from: usize, to: usize, now: Moment, _| {
        let is_partitioned =
            (Moment::from_millis(5_000)..Moment::from_millis(12_000)).contains(&now);
        usize::from(!(is_partitioned && (from < count / 2) != (to < count / 2)))
    };
    let mut play = FleetSimulation::new(count, 9, Box::new(partition));
    play.run(5_000, true);
    crash_three(&mut play);
    play.run(4_000, true);
    let during = quarantining_count(&play);

    play.run(6_000, true);

    assert!(during < count, "the partition did not separate the halves");
    assert_eq!(quarantining_count(&play), count);
}

/// Bounds the bytes sent while a thousand contents are reported at once, and afterwards.
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
    let min_held = play.daemons.iter().map(|daemon| daemon.crashes.sizes(now).held).min();
    assert_eq!(min_held, Some(1_000));
    println!(
        "bytes a daemon and second: calm {}, flood {}, after {}",
        calm / 4,
        flood / 12,
        after / 4
    );
    assert!(flood / 12 < 12 * (calm / 4), "calm {} flood {}", calm / 4, flood / 12);
    assert!(after < calm + calm / 5, "calm {calm} after {after}");
}
