//! Distribution of quarantined contents through whole fleets in virtual time.

use crate::fleet_play::FleetSimulation;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::collections::VecDeque;
use std::time::Duration;
use tarragonknot::policy::{Moment, UpstreamHash};
use tarragonknot::quarantine::{CrashEvidence, PromptPart, RequestFingerprint, SuspectKeys};

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

/// A request that is like no other, with these prompt parts.
fn unlike_request(content: u64, parts: &[u64]) -> SuspectKeys {
    let parts: Vec<PromptPart> =
        parts.iter().map(|part| PromptPart::of(&part.to_le_bytes())).collect();
    SuspectKeys::new(RequestFingerprint(content * 2), &"pool".into(), &parts)
}

/// Counts of a play in which requests with one prompt part crash upstreams.
#[derive(Debug, Default)]
struct PartPlay {
    sends: usize,
    /// Sends later than the bound after the fifth crash.
    late_sends: usize,
    sound: usize,
    sound_held: usize,
}

/// Plays 8 s in which a request with the part arrives anywhere every `gap` ms, and as many sound ones,
/// which share their first part and one of 40 others; one of those is lost with each upstream.
fn play_part(count: usize, gap: u64, seed: u64) -> PartPlay {
    const FIRST: u64 = 1;
    const BAD: u64 = 2;
    const CONTACT_MILLIS: u64 = 3_000;
    const RUN_MILLIS: u64 = 100;
    let mut play = FleetSimulation::lossless(count, seed);
    play.run(3_000, true);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut counts = PartPlay::default();
    let mut due: VecDeque<(Moment, usize, SuspectKeys, usize)> = VecDeque::new();
    let mut crashes = Vec::new();
    for step in 0..8_000 / gap {
        let common = 100 + rng.random_range(0..40);
        let sound = unlike_request(1_000_000 + step, &[FIRST, common]);
        let bad = unlike_request(step, &[FIRST, BAD, common]);
        let (here, there) = (rng.random_range(0..count), rng.random_range(0..count));
        let now = play.now;
        let table = &mut play.daemons[here].crashes;
        counts.sound += 1;
        counts.sound_held += usize::from(table.find_held(&sound, now).is_some());
        table.record_request_answer(&sound, now);
        let table = &mut play.daemons[there].crashes;
        if table.find_held(&bad, now).is_none() {
            let fifth = crashes.get(4).copied();
            counts.sends += 1;
            counts.late_sends += usize::from(fifth.is_some_and(|fifth: Moment| {
                now.since(fifth) > Duration::from_millis(CONTACT_MILLIS)
            }));
            due.push_back((now + Duration::from_millis(RUN_MILLIS), there, bad, counts.sends));
        }
        play.run(gap, step % 8 == 0);
        while due.front().is_some_and(|(at, ..)| *at <= play.now) {
            let Some((_, daemon, keys, number)) = due.pop_front() else { break };
            let bystander = unlike_request(2_000_000 + step, &[FIRST, common]);
            let elsewhere = rng.random_range(0..count);
            for (daemon, lost) in [(daemon, keys), (elsewhere, bystander)] {
                let (now, table) = (play.now, &mut play.daemons[daemon].crashes);
                table.record_request_crash(&lost, upstream(number), CrashEvidence::Certain, now);
            }
            crashes.push(play.now);
        }
    }
    counts
}

/// Guards against news of a part that comes too late, or holds what was lost beside it.
#[rstest]
#[case::seven(7)]
#[case::sixty(60)]
#[case::three_hundred(300)]
#[case::whole_fleet(985)]
fn a_part_that_ends_upstreams_is_held_by_all_in_time(#[case] count: usize) {
    let plays: Vec<PartPlay> = (1..=2).map(|seed| play_part(count, 50, seed)).collect();

    for play in plays {
        println!("{count} daemons: {play:?}");
        assert!(play.late_sends <= 3, "{play:?}");
        assert_eq!(play.sound_held, 0, "{play:?}");
    }
}
