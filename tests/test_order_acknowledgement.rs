//! Operators' orders are acknowledged in time whenever the voters are calm.

use crate::order_clients::OrderClients;
use crate::slow_voters::VoterSetup;
use crate::test_voter_losses::{ALL_STEPS, FleetStep, LossPlay};
use rand::seq::IndexedRandom;
use rstest::rstest;
use std::time::Duration;
use tarragonknot::replica::ReplicaConfig;

/// Time within which an order must be acknowledged while the voters are calm.
const ACK_LIMIT: Duration = Duration::from_secs(4);
/// Time within which a voter that was away for two seconds has nearly all entries.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(1);
/// Entries that may be on their way to a voter that has caught up.
const MAX_LAG_ENTRIES: u64 = 64;
const ORDER_INTERVAL: Duration = Duration::from_millis(500);
const CLAIM_INTERVAL: Duration = Duration::from_millis(10);
/// Number of seeds.
const PLAYS: u64 = 16;
/// Claims whose answers make up a snapshot that takes a slow voter long to store.
const CLAIMS: usize = 260;
const CLAIM_BYTES: usize = 10_000;
/// Messages of 256 KiB for the snapshot of these claims.
const SNAPSHOT_PARTS: usize = 12;
/// Time after the last trouble from which the voters count as stable, and operators' lists are right.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time within which an order should be acknowledged once the voters are stable.
const CALM_ACK_LIMIT: Duration = Duration::from_secs(1);
const CALM_TIME: Duration = Duration::from_secs(12);

/// A fleet whose operators give an order each half second, beside claims.
fn play_with_orders(setup: VoterSetup) -> LossPlay {
    let seed = setup.seed;
    let mut play = LossPlay::with_setup(setup, 1);
    play.fleet.add_clients(OrderClients::new(ORDER_INTERVAL, seed));
    play.fleet.claim_every(CLAIM_INTERVAL);
    play.fleet.run_for(Duration::from_secs(4));
    play
}

/// Takes the steps, and returns the longest wait of an order in the calm after them: from the last
/// step on, and from the time on at which the voters count as stable.
fn longest_waits_after(play: &mut LossPlay, steps: &[FleetStep]) -> [Duration; 2] {
    steps.iter().for_each(|step| play.apply(*step));
    let calm_since = play.fleet.now;
    play.fleet.run_for(CALM_TIME);
    let now = play.fleet.now;
    [calm_since, calm_since + CONTACT_TIME]
        .map(|since| play.fleet.clients().longest_wait(since, now))
}

/// Guards against a former leader that keeps entries which were never committed: a quorum that needs
/// it commits nothing.
#[rstest]
fn a_voter_with_entries_of_its_own_catches_up(
    #[values(3, 5)] voters: usize,
    #[values(1, 8)] latency_ms: u64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let latency = Duration::from_millis(latency_ms);
    let mut play = play_with_orders(VoterSetup { voters, latency, seed, ..VoterSetup::default() });
    let former = play.fleet.leader().expect("a leader");
    play.fleet.cut_off(former, true);
    play.fleet.run_for(Duration::from_secs(2));

    play.fleet.cut_off(former, false);
    play.fleet.run_for(CATCH_UP_LIMIT);

    let (lag, states) = (play.fleet.lag(former), play.fleet.states());
    assert!(lag.is_some_and(|lag| lag <= MAX_LAG_ENTRIES), "lacks {lag:?} entries; {states:#?}");
}

/// Guards against parts of a snapshot that are sent again while the member still stores them, because
/// proposals come quickly.
#[rstest]
fn a_snapshot_is_not_sent_again_for_each_proposal(#[values(1, 2, 3)] seed: u64) {
    let replica = ReplicaConfig { retained_log_bytes: 0, ..ReplicaConfig::default() };
    let setup = VoterSetup { replica, seed, table_bytes: 1_000, ..VoterSetup::default() };
    let mut play = play_with_orders(setup);
    play.fleet.store_claims(CLAIMS, CLAIM_BYTES);
    play.fleet.claim_every(Duration::from_millis(5));
    let behind = play.fleet.follower();

    play.fleet.wipe(behind, Duration::from_millis(500));
    play.fleet.run_for(Duration::from_secs(4));

    let (sent, parts) = (play.fleet.snapshots_sent, SNAPSHOT_PARTS);
    assert!(play.fleet.is_member(behind), "{sent} messages; {:#?}", play.fleet.states());
    assert!(sent <= parts, "{sent} messages for a snapshot of {parts} parts or fewer");
}

/// Guards against a spare voter that was removed while it was cut off, and never joins again as it
/// keeps its last leader.
#[test]
fn a_learner_that_was_removed_joins_again() {
    let mut play = play_with_orders(VoterSetup { voters: 5, ..VoterSetup::default() });
    let spare = play.fleet.add_machine();
    play.fleet.run_for(Duration::from_secs(3));
    assert!(play.fleet.is_member(spare));

    play.fleet.cut_off(spare, true);
    play.fleet.run_for(Duration::from_secs(12));
    assert!(!play.fleet.is_member(spare), "removed after 10 s");
    play.fleet.cut_off(spare, false);
    play.fleet.run_for(Duration::from_secs(4));

    assert!(play.fleet.is_member(spare));
}

/// Guards against a learner that becomes a voter while it lacks megabytes, for which a quorum then
/// waits.
#[rstest]
fn a_learner_votes_only_once_it_lacks_little(#[values(1, 2, 3, 4)] seed: u64) {
    let mut play = play_with_orders(VoterSetup { seed, ..VoterSetup::default() });
    play.fleet.edit_every(Some(Duration::from_millis(60)));
    play.fleet.run_for(Duration::from_secs(2));
    let wiped = play.fleet.follower();
    play.fleet.wipe(wiped, Duration::from_millis(500));

    let mut lag = None;
    for _ in 0..2_000 {
        play.fleet.run_for(Duration::from_millis(5));
        lag = lag.or(play.fleet.voter_lag_bytes(wiped));
    }

    let limit = ReplicaConfig::default().max_unacked_bytes + 75_000;
    assert!(lag.is_some_and(|lag| lag <= limit), "votes while it lacks {lag:?} bytes");
}

/// Guards against orders without an acknowledgement although the voters have been calm for long.
#[rstest]
fn orders_are_acknowledged_in_the_calm_after_troubles(
    #[values(3, 5)] voters: usize,
    #[values(1, 6)] count: usize,
) {
    for seed in 0..PLAYS {
        let mut play = play_with_orders(VoterSetup { voters, seed, ..VoterSetup::default() });
        let steps: Vec<FleetStep> =
            (0..count).map(|_| *ALL_STEPS.choose(&mut play.rng).expect("a step")).collect();

        let [longest, in_calm] = longest_waits_after(&mut play, &steps);

        let (done, states) = (&play.done, play.fleet.states());
        assert!(longest <= ACK_LIMIT, "waited for {longest:?} after {done:#?}; {states:#?}");
        assert!(in_calm <= CALM_ACK_LIMIT, "waited for {in_calm:?} after {done:#?}; {states:#?}");
    }
}
