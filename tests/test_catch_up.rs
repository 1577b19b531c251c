//! Edits are acknowledged while voters catch up with a log of large tables.

use crate::slow_voters::{SlowFleet, StartPlan, VoterSetup};
use crate::test_packed_table::large_table;
use rstest::rstest;
use std::time::Duration;
use tarragonknot::control::pack;
use tarragonknot::replica::ReplicaConfig;

/// Time within which an edit must be acknowledged while no fault is injected.
const ACK_LIMIT: Duration = Duration::from_secs(4);
/// Time from the start of all voters within which one must lead: what daemons have to be in touch
/// before their tables count.
const ELECTION_LIMIT: Duration = Duration::from_secs(3);
const STORM_INTERVAL: Duration = Duration::from_millis(110);
const CALM_INTERVAL: Duration = Duration::from_millis(900);

/// Snapshots after a number of entries, which do not stay in memory.
fn with_snapshot_every(max_log_entries: u64) -> ReplicaConfig {
    ReplicaConfig { max_log_entries, retained_log_bytes: 0, ..ReplicaConfig::default() }
}

fn fleet_with_edits(voters: usize, latency_ms: u64, seed: u64, seconds: u64) -> SlowFleet {
    let latency = Duration::from_millis(latency_ms);
    let mut fleet = SlowFleet::new(VoterSetup { voters, latency, seed, ..VoterSetup::default() });
    fleet.run_for(Duration::from_secs(2));
    fleet.edit_every(Some(STORM_INTERVAL));
    fleet.run_for(Duration::from_secs(seconds));
    fleet.edit_every(Some(CALM_INTERVAL));
    fleet
}

/// Edits the table for `seconds` while one of three voters is cut off; returns that one and the other
/// follower.
fn edit_without_one(fleet: &mut SlowFleet, seconds: u64) -> [usize; 2] {
    fleet.run_for(Duration::from_secs(2));
    let leader = fleet.leader().expect("a leader");
    let [behind, other] = [(leader + 1) % 3, (leader + 2) % 3];
    fleet.cut_off(behind, true);
    fleet.edit_every(Some(STORM_INTERVAL));
    fleet.run_for(Duration::from_secs(seconds));
    fleet.edit_every(Some(CALM_INTERVAL));
    [behind, other]
}

/// Guards against leaders that stand still, one after the other, while they send an empty voter the
/// log.
#[rstest]
fn an_empty_voter_catches_up_without_a_change_of_leader(
    #[values((3, 1), (3, 8), (5, 1), (9, 1))] (voters, latency_ms): (usize, u64),
    #[values(true, false)] is_leader_wiped: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = fleet_with_edits(voters, latency_ms, seed, 11);
    let leader = fleet.leader().expect("a leader");
    let wiped = if is_leader_wiped { leader } else { fleet.follower() };

    fleet.wipe(wiped, Duration::from_millis(1_500));
    fleet.run_for(Duration::from_secs(2));
    let calm_since = fleet.now;
    let leader = fleet.leader();
    fleet.run_for(Duration::from_secs(12));

    let longest = fleet.longest_wait(calm_since);
    assert!(longest <= ACK_LIMIT, "an edit waited for {longest:?}");
    assert_eq!(fleet.leader(), leader, "no fault, so no election");
    assert!(fleet.is_complete(), "every voter has every edit");
}

/// Guards against edits that wait while the only voter that completes the quorum is sent what it
/// missed.
#[rstest]
fn a_voter_that_missed_edits_completes_the_quorum(
    #[values(1, 8)] latency_ms: u64,
    #[values(11, 30, 60)] seconds: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let latency = Duration::from_millis(latency_ms);
    let mut fleet = SlowFleet::new(VoterSetup { latency, seed, ..VoterSetup::default() });
    let [behind, other] = edit_without_one(&mut fleet, seconds);

    fleet.stop(other, Duration::from_secs(60));
    fleet.cut_off(behind, false);
    let calm_since = fleet.now;
    fleet.run_for(Duration::from_secs(12));

    let longest = fleet.longest_wait(calm_since);
    assert!(longest <= ACK_LIMIT, "an edit waited for {longest:?}");
}

/// Guards against edits that wait until a lost snapshot is sent again.
#[rstest]
fn a_lost_snapshot_is_sent_again_in_time(#[values(1, 2, 3)] seed: u64) {
    let setup = VoterSetup {
        table_bytes: 2_000,
        replica: with_snapshot_every(20),
        seed,
        ..VoterSetup::default()
    };
    let mut fleet = SlowFleet::new(setup);
    let [behind, other] = edit_without_one(&mut fleet, 8);

    fleet.lose_snapshots(1);
    fleet.stop(other, Duration::from_secs(60));
    fleet.cut_off(behind, false);
    let calm_since = fleet.now;
    fleet.run_for(Duration::from_secs(12));

    let longest = fleet.longest_wait(calm_since);
    assert!(longest <= ACK_LIMIT, "an edit waited for {longest:?}");
}

/// Guards against a leader that stands still while it sends a large snapshot.
#[rstest]
fn a_large_snapshot_is_sent_without_a_change_of_leader(
    #[values(0, 2)] lost_parts: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let setup = VoterSetup { replica: with_snapshot_every(1_000), seed, ..VoterSetup::default() };
    let mut fleet = SlowFleet::new(setup);
    fleet.run_for(Duration::from_secs(2));
    fleet.store_claims(600, 20_000);
    fleet.edit_every(Some(CALM_INTERVAL));

    fleet.lose_snapshots(lost_parts);
    fleet.wipe(fleet.follower(), Duration::from_millis(1_500));
    fleet.run_for(Duration::from_secs(2));
    let (calm_since, leader) = (fleet.now, fleet.leader());
    fleet.run_for(Duration::from_secs(12));

    let longest = fleet.longest_wait(calm_since);
    assert!(longest <= ACK_LIMIT, "an edit waited for {longest:?}");
    assert_eq!(fleet.leader(), leader, "no fault, so no election");
    assert!(fleet.is_complete(), "every voter has every edit");
}

/// Size of what a voter answers to a daemon that has no table, with a table of a thousand routes.
fn known_table_bytes() -> usize {
    pack(&large_table(1_000)).expect("a packed table").len()
}

/// Guards against a fleet that stays with an older table for seconds after a loss of power, as the
/// voters hand out large tables to the daemons that start, and miss each other's votes.
#[rstest]
fn voters_elect_a_leader_while_daemons_start(
    #[values(91, 182)] daemons: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    let latency = Duration::from_millis(10);
    let setup = VoterSetup { voters: 6, latency, table_bytes: 300_000, seed, ..Default::default() };
    let mut fleet = SlowFleet::new(setup);
    fleet.run_for(Duration::from_secs(3));
    let down = Duration::from_millis(500);
    (0..4).for_each(|voter| fleet.stop(voter, down));
    (4..6).for_each(|voter| fleet.wipe(voter, down));
    fleet.run_for(down);

    let answer_bytes = known_table_bytes();
    fleet.start_daemons(StartPlan { daemons, answer_bytes, is_spread: true });
    fleet.run_for(ELECTION_LIMIT);

    assert!(fleet.leader().is_some(), "no leader");
    assert_eq!(fleet.daemons_without_table(), 0);
}
