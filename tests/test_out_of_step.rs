//! Streams that are taken up at a daemon that is out of step beside a release, in virtual time.

use crate::origin_fleet::{HORIZON, OriginFleet, key, service, version};
use crate::release_play::{PlayReport, PlaySettings, ReleasePlay};
use rstest::rstest;
use std::time::Duration;
use tarragonknot::stream_origin::{ANNOUNCEMENT_TIMEOUT, LookupResult, StreamOrigin};

/// Plays of each kind.
const PLAYS: u64 = 120;

/// A fleet in which version 1 has served alone for long.
fn settled_fleet(daemons: usize, voters: usize) -> OriginFleet {
    let mut fleet = OriginFleet::with_voters(daemons, voters);
    fleet.list_everywhere(&[1]);
    fleet.advance(HORIZON * 2);
    fleet
}

fn sole(number: u8) -> LookupResult {
    LookupResult::SoleVersion(StreamOrigin { service: service(), version: Some(version(number)) })
}

/// What the last daemon finds of a stream that begins at version 2 through daemon 0, which then ends.
/// `cut` daemons, the last ones, are cut off from all others before they list that version, and `reached`
/// voters with them. `None` if the stream may not begin.
fn found_out_of_step(
    mut fleet: OriginFleet,
    cut: usize,
    reached: usize,
    age: Duration,
) -> Option<LookupResult> {
    let count = fleet.daemons.len();
    fleet.daemons[count - cut..].iter_mut().for_each(|daemon| daemon.side = 1);
    fleet.voters[..reached].iter_mut().for_each(|voter| voter.side = 1);
    (0..count - cut).for_each(|daemon| fleet.list(daemon, &[1, 2]));
    if !fleet.may_begin(0, 2) {
        return None;
    }
    fleet.begin(0, key(1), 2);
    fleet.daemons[0].is_dead = true;
    fleet.advance(age);
    Some(fleet.resume(count - 1, key(1)).0)
}

/// Guards against a stream that goes on at another version, as the daemon where it is taken up has not
/// read the list for a moment.
#[rstest]
fn a_daemon_with_an_older_list_joins_no_versions(
    #[values(7, 80)] daemons: usize,
    #[values(3, 5, 9)] voters: usize,
    #[values(1, 2, 3)] cut: usize,
    #[values(0, 1, 2)] reached: usize,
    #[values(20, 900, 2_900)] age_ms: u64,
) {
    let fleet = settled_fleet(daemons, voters);

    let found = found_out_of_step(fleet, cut, reached, Duration::from_millis(age_ms));

    assert_ne!(found, Some(sole(1)));
    assert_eq!(found.is_some(), reached <= voters / 2, "streams begin beside a majority");
}

/// Guards against a stream that goes on at the version which a daemon listed when a lookup began, though
/// the list has changed since.
#[test]
fn a_list_that_changes_during_a_lookup_counts() {
    let mut fleet = settled_fleet(7, 5);
    let mut lookup = fleet.lookup(6, key(1)).expect("there is no record");
    let asked = lookup.next_round().expect("there are others to ask");
    for peer in asked {
        let finding = fleet.reply(6, peer, key(1)).expect("all are reached");
        assert_eq!(lookup.handle_reply(peer, finding), None);
    }

    let before = lookup.result();
    fleet.list(6, &[1, 2]);
    let after = fleet.conclude(6, key(1), &mut lookup);

    assert_eq!((before, after), (sole(1), LookupResult::Unknown));
}

/// Guards against a daemon that trusts voters which have just started and forgotten a version.
#[rstest]
#[case::alone(1, LookupResult::Unknown)]
#[case::in_touch(0, sole(1))]
fn voters_that_have_just_started_do_not_suffice(
    #[case] cut: usize,
    #[case] expected: LookupResult,
) {
    let mut fleet = settled_fleet(7, 5);
    fleet.daemons[7 - cut..].iter_mut().for_each(|daemon| daemon.side = 1);
    fleet.voters[..3].iter_mut().for_each(|voter| voter.side = cut);
    (0..3).for_each(|voter| fleet.restart_voter(voter));
    fleet.advance(Duration::from_secs(1));
    (0..7).for_each(|daemon| fleet.report(daemon));

    let found = fleet.resume(6, key(1)).0;

    assert_eq!(found, expected);
}

/// Guards against new upstreams that stay unused for long, as the voters do not hear of their version.
#[rstest]
#[case::all_voters(0, Duration::ZERO)]
#[case::a_minority_is_down(2, Duration::ZERO)]
#[case::a_majority_is_down(3, ANNOUNCEMENT_TIMEOUT)]
fn a_new_version_is_used_as_soon_as_a_majority_knows_it(
    #[case] down: usize,
    #[case] delay: Duration,
) {
    let mut fleet = settled_fleet(7, 5);
    fleet.voters[..down].iter_mut().for_each(|voter| voter.is_dead = true);
    fleet.list_everywhere(&[1, 2]);

    let is_early = !delay.is_zero() && fleet.may_begin(0, 2);
    fleet.now = fleet.now + delay;
    let is_used = fleet.may_begin(0, 2);

    assert_eq!((is_early, is_used), (false, true));
}

/// Guards against a daemon that has just started and uses no upstream, as all versions are new to it.
#[test]
fn a_daemon_that_has_just_started_uses_what_it_lists() {
    let mut fleet = settled_fleet(7, 5);
    fleet.voters.iter_mut().for_each(|voter| voter.is_dead = true);

    fleet.restart(3);
    fleet.list(3, &[1, 2]);

    assert!(fleet.may_begin(3, 1) && fleet.may_begin(3, 2));
}

/// Guards against streams that go on at another version beside a release, while single daemons or groups
/// are cut off, stand still, do not read the list or are started again, and replies are late or lost.
#[rstest]
fn no_release_joins_versions_at_daemons_out_of_step(
    #[values(1, 3, 5)] group_size: usize,
    #[values(0.0, 0.2)] loss: f64,
    #[values(false, true)] restarts_voters: bool,
) {
    let settings = PlaySettings { loss, group_size, restarts_voters };
    let mut sum = PlayReport::default();

    for seed in 0..PLAYS {
        let report = ReleasePlay::new(seed, settings).play();
        sum.joined.extend(report.joined.iter().map(|text| format!("seed {seed}: {text}")));
        sum.gone_on += report.gone_on;
        sum.refused += report.refused;
        sum.gone_on_in_touch += report.gone_on_in_touch;
        sum.refused_in_touch += report.refused_in_touch;
        sum.begun_at_new += report.begun_at_new;
    }

    println!(
        "group of {group_size}, loss {loss}, voters restart {restarts_voters}: {} joined, {} gone on, {} refused; in touch {} and {}; {} began at the new version",
        sum.joined.len(),
        sum.gone_on,
        sum.refused,
        sum.gone_on_in_touch,
        sum.refused_in_touch,
        sum.begun_at_new
    );
    assert_eq!(sum.joined, Vec::<String>::new());
    assert!(sum.begun_at_new > 0, "no stream began at the new version");
    let taken_up = sum.gone_on_in_touch + sum.refused_in_touch;
    assert!(2 * sum.gone_on_in_touch >= taken_up, "under half of {taken_up} went on");
}
