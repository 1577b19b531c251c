//! What the fleet knows of where streams began, in virtual time.

use crate::origin_fleet::{HORIZON, OriginFleet, key, service, version};
use proptest::prelude::*;
use rand::Rng;
use rstest::rstest;
use std::time::Duration;
use tarragonknot::fleet_state::ServiceHash;
use tarragonknot::policy::Moment;
use tarragonknot::stream_origin::{
    AttemptKey, KnownOrigin, LookupResult, OriginMessage, OriginRecord, OriginTable, StreamOrigin,
    VersionClaim, VersionHistory, VersionReport, VersionWatch,
};
use tarragonknot::traffic::{DaemonMessage, encode_message};

/// Streams of a test.
const STREAMS: usize = 300;
/// Streams that begin at each daemon in a test of costs.
const STREAMS_PER_DAEMON: usize = 12;
/// Time for which voters remember a version longer than daemons.
const VOTER_LAG: Duration = Duration::from_secs(3);

fn origin(number: u8) -> StreamOrigin {
    StreamOrigin { service: service(), version: Some(version(number)) }
}

/// A fleet whose daemons have watched two versions for long.
fn mixed_fleet(count: usize) -> OriginFleet {
    let mut fleet = OriginFleet::new(count);
    fleet.list_everywhere(&[1, 2]);
    fleet.advance(HORIZON * 2);
    fleet
}

/// Version of the stream with this number.
fn began(number: usize) -> u8 {
    1 + (number % 2) as u8
}

/// Begins streams through daemon 0, then looks each up at a live daemon; counts those that are known.
/// Panics if one is known wrongly.
fn known_share(fleet: &mut OriginFleet, lose: impl Fn(&mut OriginFleet)) -> f64 {
    (0..STREAMS).for_each(|number| fleet.begin(0, key(number), began(number)));
    lose(fleet);
    let mut known = 0;
    for number in 0..STREAMS {
        let live: Vec<usize> =
            (1..fleet.daemons.len()).filter(|daemon| !fleet.daemons[*daemon].is_dead).collect();
        let daemon = live[fleet.rng.random_range(0..live.len())];
        match fleet.resume(daemon, key(number)).0 {
            LookupResult::Known { origin: found, .. } => {
                assert_eq!(found, origin(began(number)));
                known += 1;
            }
            LookupResult::Unknown => {}
            other => panic!("{other:?}"),
        }
    }
    known as f64 / STREAMS as f64
}

/// Guards against records that are lost with the daemon that made them.
#[rstest]
fn records_survive_the_daemon_that_made_them(#[values(7, 80, 291, 985)] daemons: usize) {
    let mut fleet = mixed_fleet(daemons);

    let share = known_share(&mut fleet, |fleet| fleet.daemons[0].is_dead = true);

    assert_eq!(share, 1.0);
}

/// Guards against records that are lost with a data centre: of what is taken up again, at least half as
/// large a share must go on as of new streams.
#[rstest]
fn records_survive_a_third_of_the_fleet(#[values(7, 80, 291, 985)] daemons: usize) {
    let mut fleet = mixed_fleet(daemons);

    let share = known_share(&mut fleet, |fleet| {
        (0..daemons).step_by(3).for_each(|daemon| fleet.daemons[daemon].is_dead = true);
    });

    assert!(share > 0.9, "{share}");
}

/// Guards against records whose owners are not found again, as the fleet has changed.
#[rstest]
fn records_are_found_after_daemons_came_and_went(#[values(7, 80, 291, 985)] daemons: usize) {
    let mut fleet = mixed_fleet(daemons);

    let share = known_share(&mut fleet, |fleet| {
        fleet.daemons[0].is_dead = true;
        let count = fleet.addresses.len();
        for (number, address) in fleet.addresses.iter_mut().enumerate().skip(1).step_by(10) {
            address.set_port(9_000 + number as u16);
        }
        for daemon in (1..count).step_by(10) {
            fleet.restart(daemon);
            fleet.list(daemon, &[1, 2]);
        }
    });

    assert!(share > 0.98, "{share}");
}

/// Guards against streams that are refused since datagrams are lost.
#[rstest]
fn records_survive_lost_datagrams(#[values(7, 291)] daemons: usize) {
    let mut fleet = mixed_fleet(daemons);
    fleet.loss = 0.1;

    let share = known_share(&mut fleet, |fleet| fleet.daemons[0].is_dead = true);

    assert!(share > 0.98, "{share}");
}

/// Guards against records that are sent without need, and against owners that have more to keep than others.
#[rstest]
fn costs_spread_evenly_and_are_none_while_one_version_serves(
    #[values(7, 80, 291, 985)] daemons: usize,
) {
    let mut single = OriginFleet::new(daemons);
    single.list_everywhere(&[1]);
    single.advance(HORIZON * 2);
    let mut mixed = mixed_fleet(daemons);

    for daemon in 0..daemons {
        for number in 0..STREAMS_PER_DAEMON {
            let number = daemon * STREAMS_PER_DAEMON + number;
            single.begin(daemon, key(number), 1);
            mixed.begin(daemon, key(number), began(number));
        }
    }

    let sent: usize = single.daemons.iter().map(|daemon| daemon.bytes).sum();
    let streams = (daemons * STREAMS_PER_DAEMON) as f64;
    let bytes: usize = mixed.daemons.iter().map(|daemon| daemon.bytes).sum();
    let records = mixed.daemons.iter().map(|daemon| daemon.table.len());
    let (most, all) = (records.clone().max().expect("daemons"), records.sum::<usize>());
    let mean = all as f64 / daemons as f64;
    println!(
        "{daemons} daemons: {:.0} bytes a stream, sent and received; records {mean:.0}, at most {most}",
        bytes as f64 / streams
    );
    assert_eq!(sent, 0);
    assert!((most as f64) < 2.0 * mean, "{most} records of {mean} in the mean");
}

/// Guards against voters that receive a datagram for each stream.
#[test]
fn a_batch_of_records_for_a_voter_stays_small() {
    let record = |number: usize| OriginRecord {
        key: key(number),
        origin: origin(began(number)),
        age_ms: 40,
        ttl_ms: HORIZON.as_millis() as u32,
    };
    let records: Vec<OriginRecord> = (0..STREAMS_PER_DAEMON).map(record).collect();

    let message = DaemonMessage::Origin(OriginMessage::Store(records));
    let len = encode_message(&message, "a key").len();

    println!("{} bytes a record", len as f64 / STREAMS_PER_DAEMON as f64);
    assert!(len <= 32 * STREAMS_PER_DAEMON, "{len} bytes");
}

/// Guards against streams from before a second version came that are refused, or go on at it.
#[rstest]
fn streams_from_before_a_second_version_are_known(#[values(7, 291)] daemons: usize) {
    let mut fleet = OriginFleet::new(daemons);
    fleet.list_everywhere(&[1]);
    fleet.advance(HORIZON);
    (0..STREAMS).for_each(|number| fleet.begin(number % daemons, key(number), 1));
    fleet.advance(Duration::from_secs(1));

    fleet.list_everywhere(&[1, 2]);
    fleet.daemons[0].is_dead = true;

    for number in 0..STREAMS {
        let found = fleet.resume(1 + number % (daemons - 1), key(number)).0;
        assert!(
            matches!(found, LookupResult::Known { origin: it, .. } if it == origin(1)),
            "{found:?}"
        );
    }
}

/// Starts all daemons again, with these versions listed.
fn restart_all(fleet: &mut OriginFleet, versions: &[u8]) {
    for daemon in 0..fleet.daemons.len() {
        fleet.restart(daemon);
        fleet.list(daemon, versions);
    }
}

/// Begins streams at version 1 while it serves alone, then starts all daemons again beside `after`, and
/// returns what each stream's lookup finds.
fn found_after_restart(daemons: usize, down_for: Duration, after: &[u8]) -> Vec<LookupResult> {
    let mut fleet = OriginFleet::new(daemons);
    fleet.list_everywhere(&[1]);
    fleet.advance(HORIZON * 2);
    (0..STREAMS).for_each(|number| fleet.begin(number % daemons, key(number), 1));
    fleet.now = fleet.now + down_for;
    restart_all(&mut fleet, after);
    (0..STREAMS).map(|number| fleet.resume(number % daemons, key(number)).0).collect()
}

/// Guards against a stream that goes on at the version which replaced its own while all daemons were
/// down, as none of them remembers the one that left.
#[rstest]
fn a_version_that_left_while_all_daemons_were_down_is_not_forgotten(
    #[values(1, 7, 80)] daemons: usize,
    #[values(100, 2_600, 9_000)] down_ms: u64,
) {
    let found = found_after_restart(daemons, Duration::from_millis(down_ms), &[2]);

    assert!(found.iter().all(|found| *found == LookupResult::Unknown), "{found:?}");
}

/// Guards against streams that are refused after a restart of all daemons, though their version has
/// been the only one all the while.
#[rstest]
fn streams_of_a_sole_version_outlive_a_restart_of_all_daemons(#[values(1, 7, 80)] daemons: usize) {
    let found = found_after_restart(daemons, Duration::from_millis(2_600), &[1]);

    assert!(found.iter().all(|found| *found == LookupResult::SoleVersion(origin(1))), "{found:?}");
}

/// Guards against records of streams that are lost when all daemons that serve callers are started
/// again at once. One voter is down, or none.
#[rstest]
fn records_outlive_a_restart_of_all_daemons(
    #[values(1, 7, 291)] daemons: usize,
    #[values(false, true)] is_voter_down: bool,
    #[values(0.0, 0.05)] loss: f64,
) {
    let mut fleet = mixed_fleet(daemons);
    fleet.loss = loss;
    (0..STREAMS).for_each(|number| fleet.begin(number % daemons, key(number), began(number)));
    fleet.voters[1].is_dead = is_voter_down;
    restart_all(&mut fleet, &[1, 2]);

    let mut known = 0;
    let mut slowest = Duration::ZERO;
    for number in 0..STREAMS {
        let (found, time) = fleet.resume(number % daemons, key(number));
        slowest = slowest.max(if loss == 0.0 { time } else { Duration::ZERO });
        match found {
            LookupResult::Known { origin: it, .. } => {
                assert_eq!(it, origin(began(number)));
                known += 1;
            }
            other => assert_eq!(other, LookupResult::Unknown),
        }
    }

    assert!(known as f64 >= 0.9 * STREAMS as f64, "{known} of {STREAMS} known");
    assert_eq!(slowest, Duration::ZERO, "a record at hand takes one exchange");
}

/// Guards against streams from before a second version came that are lost when all daemons are started
/// again right after it.
#[test]
fn records_of_a_sole_version_reach_the_voters_with_the_second_one() {
    let mut fleet = OriginFleet::new(7);
    fleet.list_everywhere(&[1]);
    fleet.advance(HORIZON * 2);
    (0..STREAMS).for_each(|number| fleet.begin(number % 7, key(number), 1));
    fleet.list_everywhere(&[1, 2]);
    restart_all(&mut fleet, &[2]);

    for number in 0..STREAMS {
        let found = fleet.resume(number % 7, key(number)).0;
        assert!(
            matches!(found, LookupResult::Known { origin: it, .. } if it == origin(1)),
            "{found:?}"
        );
    }
}

/// Guards against a voter that has just started, or heard of no daemon for long, and takes the version
/// that is reported to it for the only one.
#[test]
fn a_voter_claims_a_sole_version_only_for_the_time_that_it_knows() {
    let at = |seconds: u64| Moment::from_millis(seconds * 1_000);
    let report =
        |number: u8| VersionReport { service: service(), versions: vec![Some(version(number))] };
    let claim = |watch: &VersionWatch, seconds| watch.claim(service(), HORIZON, at(seconds));
    let mut founder = VersionWatch::new(true);
    let mut restarted = VersionWatch::new(false);

    let nothing = claim(&founder, 0);
    founder.apply_report(&report(1), at(1));
    restarted.apply_report(&report(1), at(1));
    let young = (claim(&founder, 1), claim(&restarted, 1));
    (2..40).for_each(|seconds| restarted.apply_report(&report(1), at(seconds)));
    let old = claim(&restarted, 39);
    founder.apply_report(&report(1), at(30));
    let after_gap = claim(&founder, 30);
    restarted.apply_report(&report(2), at(41));
    let replaced = claim(&restarted, 41);

    let (first, second) = (version(1), version(2));
    assert_eq!(nothing, VersionClaim::None);
    assert_eq!(young, (VersionClaim::Sole(first), VersionClaim::Recent(first)));
    assert_eq!((old, after_gap), (VersionClaim::Sole(first), VersionClaim::Recent(first)));
    assert_eq!(replaced, VersionClaim::Several);
    let other = ServiceHash::of(&"other".into());
    founder.apply_report(&VersionReport { service: other, versions: vec![Some(first)] }, at(42));
    let unheard_of = founder.claim(other, HORIZON, at(42));
    assert_eq!(unheard_of, VersionClaim::Recent(first), "it may have served during the gap");
    (42..80).for_each(|seconds| restarted.apply_report(&report(2), at(seconds)));
    assert_eq!(claim(&restarted, 79), VersionClaim::Sole(second));
}

/// Guards against a daemon that has just started, or that hears from no peer, and takes the version
/// that it lists for the only one.
#[test]
fn a_version_that_others_remember_is_not_ruled_out() {
    let mut fleet = mixed_fleet(7);
    fleet.list_everywhere(&[2]);
    (1..5).for_each(|daemon| {
        fleet.restart(daemon);
        fleet.list(daemon, &[2]);
    });

    let restarted = fleet.resume(1, key(1)).0;
    fleet.daemons[1].is_cut = true;
    let alone = fleet.resume(1, key(1)).0;
    fleet.advance(HORIZON);
    let early = fleet.resume(2, key(1)).0;
    fleet.advance(VOTER_LAG);
    let later = fleet.resume(2, key(1)).0;

    assert_eq!((restarted, alone), (LookupResult::Unknown, LookupResult::Unknown));
    assert_eq!(early, LookupResult::Unknown, "voters remember a version for longer");
    assert_eq!(later, LookupResult::SoleVersion(origin(2)));
}

/// Guards against callers who wait long for an answer that no daemon has, or that is certain.
#[test]
fn lookups_end_in_time() {
    let mut mixed = mixed_fleet(291);
    let mut single = OriginFleet::new(291);
    single.list_everywhere(&[1]);
    single.advance(HORIZON);

    let (unknown, unknown_time) = mixed.resume(5, key(1));
    let (sole, sole_time) = single.resume(5, key(1));
    (6..200).step_by(2).for_each(|daemon| single.daemons[daemon].is_dead = true);
    let mut late = Duration::ZERO;
    for number in 0..STREAMS {
        let (found, time) = single.resume(5, key(number));
        assert_eq!(found, LookupResult::SoleVersion(origin(1)));
        late = late.max(time);
    }

    assert!(late <= Duration::from_millis(180), "{late:?}");
    assert_eq!((unknown, sole), (LookupResult::Unknown, LookupResult::SoleVersion(origin(1))));
    assert!(unknown_time <= Duration::from_millis(300), "{unknown_time:?}");
    assert_eq!(sole_time, Duration::ZERO);
}

/// Guards against an id that is used for two streams and names the wrong one.
#[test]
fn an_id_of_two_streams_names_none() {
    let (now, ttl) = (Moment::from_millis(0), HORIZON);
    let mut table = OriginTable::default();
    let record = OriginRecord { key: key(1), origin: origin(2), age_ms: 0, ttl_ms: 1_000 };

    table.record(key(1), origin(1), ttl, false, now);
    table.record(key(1), origin(1), ttl, false, now);
    let same = table.get(key(1), now);
    table.record_peer(&record, now);
    let other = table.get(key(1), now);

    assert_eq!(same, Some(KnownOrigin::One { origin: origin(1), age_ms: 0 }));
    assert_eq!(other, Some(KnownOrigin::Several));
}

/// Guards against a table that grows without bound, or forgets the newest records.
#[test]
fn a_table_keeps_the_newest_records_for_their_time() {
    let mut table = OriginTable::default();
    for number in 0..70_000 {
        table.record(key(number), origin(1), HORIZON, false, Moment::from_millis(number as u64));
    }
    let now = Moment::from_millis(70_000);

    let is_kept = |table: &OriginTable, number| table.get(key(number), now).is_some();

    assert_eq!(table.len(), 24_000, "records outlive their time");
    assert!(is_kept(&table, 69_999) && !is_kept(&table, 1));
    for number in 0..70_000 {
        table.record(key(100_000 + number), origin(1), HORIZON, false, now);
    }
    assert_eq!(table.len(), 1 << 16);
    assert!(is_kept(&table, 169_999));
}

/// Guards against ids that name streams of other organisations.
#[rstest]
#[case(("a", "bc"), ("ab", "c"))]
#[case(("agents", "r1"), ("others", "r1"))]
#[case(("", "r1"), ("r1", ""))]
fn keys_of_organisations_differ(#[case] one: (&str, &str), #[case] other: (&str, &str)) {
    assert_ne!(AttemptKey::of(one.0, one.1), AttemptKey::of(other.0, other.1));
}

/// Guards against a version that is taken for the only one after too short a time, or though a route led
/// elsewhere.
#[test]
fn a_sole_version_is_claimed_only_after_the_horizon() {
    let at = |seconds: u64| Moment::from_millis(seconds * 1_000);
    let mut history = VersionHistory::default();
    let apply = |history: &mut VersionHistory, versions: &[Option<u8>], now: Moment| {
        let versions = versions.iter().map(|number| number.map(version));
        history.apply_list(service(), versions, now);
    };
    let claim = |history: &VersionHistory, now| history.claim(service(), HORIZON, now);

    let before = claim(&history, at(0));
    apply(&mut history, &[None], at(0));
    let unversioned = claim(&history, at(1));
    apply(&mut history, &[Some(1)], at(1));
    let (young, old) = (claim(&history, at(20)), claim(&history, at(30)));
    apply(&mut history, &[Some(1), Some(2)], at(30));
    let both = claim(&history, at(31));
    apply(&mut history, &[Some(2)], at(40));
    let (after, later) = (claim(&history, at(50)), claim(&history, at(65)));
    apply(&mut history, &[Some(2), None], at(66));
    let partly = claim(&history, at(67));
    apply(&mut history, &[Some(2)], at(68));
    history.record_route_change(at(70));
    let moved = claim(&history, at(71));

    assert_eq!((before, unversioned), (VersionClaim::None, VersionClaim::Unversioned));
    let (first, second) = (version(1), version(2));
    assert_eq!((young, old), (VersionClaim::Recent(first), VersionClaim::Sole(first)));
    assert_eq!((both, after), (VersionClaim::Several, VersionClaim::Several));
    assert_eq!(later, VersionClaim::Sole(second));
    assert_eq!((partly, moved), (VersionClaim::Several, VersionClaim::Several));
}

/// A step of a random play of five daemons.
#[derive(Clone, Debug)]
enum PlayStep {
    /// The list changes, at one daemon or at all.
    List {
        daemon: usize,
        versions: Vec<u8>,
    },
    Begin {
        daemon: usize,
        pick: usize,
    },
    Resume {
        daemon: usize,
        stream: usize,
    },
    Restart {
        daemon: usize,
    },
    Cut {
        daemon: usize,
        is_cut: bool,
    },
    Pass {
        millis: u64,
    },
}

fn play_step() -> impl Strategy<Value = PlayStep> {
    let daemon = 0..5usize;
    let versions = prop::sample::subsequence(vec![1u8, 2, 3], 1..=3);
    prop_oneof![
        2 => (daemon.clone(), versions)
            .prop_map(|(daemon, versions)| PlayStep::List { daemon, versions }),
        4 => (daemon.clone(), any::<usize>())
            .prop_map(|(daemon, pick)| PlayStep::Begin { daemon, pick }),
        4 => (daemon.clone(), any::<usize>())
            .prop_map(|(daemon, stream)| PlayStep::Resume { daemon, stream }),
        1 => (1..5usize).prop_map(|daemon| PlayStep::Restart { daemon }),
        1 => (1..5usize, any::<bool>()).prop_map(|(daemon, is_cut)| PlayStep::Cut { daemon, is_cut }),
        2 => (0..15_000u64).prop_map(|millis| PlayStep::Pass { millis }),
    ]
}

/// A play in which streams begin at the versions that their daemons list.
struct RandomPlay {
    fleet: OriginFleet,
    lists: Vec<Vec<u8>>,
    begun: Vec<(usize, u8, Moment)>,
    /// The list that all daemons have once time has passed.
    newest: Vec<u8>,
}

impl RandomPlay {
    fn new() -> Self {
        let mut fleet = OriginFleet::new(5);
        fleet.list_everywhere(&[1]);
        RandomPlay { fleet, lists: vec![vec![1]; 5], begun: Vec::new(), newest: vec![1] }
    }

    fn list(&mut self, daemon: usize, versions: &[u8]) {
        self.newest = versions.to_vec();
        self.lists[daemon] = versions.to_vec();
        self.fleet.list(daemon, versions);
    }

    /// Lets time pass. The list reaches all daemons within seconds.
    fn pass(&mut self, millis: u64) {
        let newest = self.newest.clone();
        (0..5).filter(|_| millis > 3_000).for_each(|daemon| self.list(daemon, &newest));
        self.fleet.advance(Duration::from_millis(millis));
    }

    fn begin(&mut self, daemon: usize, pick: usize) {
        let version = self.lists[daemon][pick % self.lists[daemon].len()];
        if !self.fleet.may_begin(daemon, version) {
            return;
        }
        let number = self.begun.len();
        self.fleet.begin(daemon, key(number), version);
        self.begun.push((number, version, self.fleet.now));
    }

    /// Panics if a stream would go on at another version than its own.
    fn resume(&mut self, daemon: usize, stream: usize) {
        if self.begun.is_empty() {
            return;
        }
        let (number, began, at) = self.begun[stream % self.begun.len()];
        if self.fleet.now.since(at) >= HORIZON {
            return;
        }
        match self.fleet.resume(daemon, key(number)).0 {
            LookupResult::Known { origin: found, .. } | LookupResult::SoleVersion(found) => {
                assert_eq!(found, origin(began), "stream {number} at daemon {daemon}");
            }
            _ => {}
        }
    }

    fn restart(&mut self, daemon: usize) {
        self.fleet.restart(daemon);
        let versions = self.lists[daemon].clone();
        self.fleet.list(daemon, &versions);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against streams that go on at another version after records were lost, daemons were cut
    /// off or started again, and the list changed at the same time everywhere. One daemon stays.
    #[test]
    fn no_order_of_losses_joins_versions(
        steps in prop::collection::vec(play_step(), 1..60),
        loss in prop_oneof![Just(0.0), Just(0.3), Just(1.0)],
    ) {
        let mut play = RandomPlay::new();
        for step in steps {
            match step {
                PlayStep::List { versions, .. } => {
                    (0..5).for_each(|daemon| play.list(daemon, &versions));
                }
                PlayStep::Begin { daemon, pick } => {
                    play.fleet.loss = loss;
                    play.begin(daemon, pick);
                    play.fleet.loss = 0.0;
                }
                PlayStep::Resume { daemon, stream } => play.resume(daemon, stream),
                PlayStep::Restart { daemon } => play.restart(daemon),
                PlayStep::Cut { daemon, is_cut } => play.fleet.daemons[daemon].is_cut = is_cut,
                PlayStep::Pass { millis } => play.pass(millis),
            }
        }
    }

    /// Guards against streams that go on at another version after all daemons were started again at once,
    /// the list changed at the same time, and voters were started again, too.
    #[test]
    fn no_restart_of_all_daemons_joins_versions(
        steps in prop::collection::vec(play_step(), 1..60),
        loss in prop_oneof![Just(0.0), Just(0.3), Just(1.0)],
    ) {
        let mut play = RandomPlay::new();
        for step in steps {
            match step {
                PlayStep::List { versions, .. } => {
                    (0..5).for_each(|daemon| play.list(daemon, &versions));
                }
                PlayStep::Begin { daemon, pick } => {
                    play.fleet.loss = loss;
                    play.begin(daemon, pick);
                    play.fleet.loss = 0.0;
                }
                PlayStep::Resume { daemon, stream } => play.resume(daemon, stream),
                PlayStep::Restart { daemon } => {
                    // A list that changes while all are down.
                    let newest = vec![daemon as u8 % 3 + 1];
                    play.lists.iter_mut().for_each(|list| *list = newest.clone());
                    play.newest = newest;
                    (0..5).for_each(|daemon| play.restart(daemon));
                }
                PlayStep::Cut { daemon, .. } => play.fleet.restart_voter(daemon % 3),
                PlayStep::Pass { millis } => play.pass(millis),
            }
        }
    }

    /// Guards against streams that go on at another version while daemons learn of a list at different
    /// moments. At most two of the daemons that keep a record start again.
    #[test]
    fn no_order_of_lists_joins_versions(steps in prop::collection::vec(play_step(), 1..60)) {
        let mut play = RandomPlay::new();
        let mut restarts = 0;
        for step in steps {
            match step {
                PlayStep::List { daemon, versions } => play.list(daemon, &versions),
                PlayStep::Begin { daemon, pick } => play.begin(daemon, pick),
                PlayStep::Resume { daemon, stream } => play.resume(daemon, stream),
                PlayStep::Restart { daemon } if restarts < 2 => {
                    restarts += 1;
                    play.restart(daemon);
                }
                PlayStep::Restart { .. } | PlayStep::Cut { .. } => {}
                PlayStep::Pass { millis } => play.pass(millis),
            }
        }
    }
}
