//! The order of readings of the platform's list: an older list takes the place of a newer one nowhere,
//! and a list is as old everywhere as its reading.

use crate::burst_pool::{BurstPool, urgency_plan};
use crate::list_fleet::{Condition, FleetEvent, ListFleet, ListSchedule, address, upstream};
use crate::session::source;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::time::Duration;
use tarragonknot::fleet_state::{ListPeers, ListStamp, ListSync};
use tarragonknot::policy::{ListedUpstream, Moment, PoolEvent, UpstreamSource};

fn at(millis: u64) -> Moment {
    Moment::from_millis(10_000 + millis)
}

/// The list of a version: the third upstream leaves in the first version and is gone in the second.
fn rows(version: usize) -> Vec<ListedUpstream> {
    let listed = |number: usize| upstream(number, version == 1 && number == 3);
    (0..40).filter(|number| version < 2 || *number != 3).map(listed).collect()
}

fn read(sync: &mut ListSync, version: usize, millis: u64) {
    let begun = sync.begin_reading(at(millis));
    sync.store_reading(begun, rows(version), at(millis));
}

/// Exchanges messages and statements among the daemons `members` from one time to another, in steps of
/// 10 ms.
fn exchange(syncs: &mut [ListSync], members: &[usize], from_millis: u64, to_millis: u64) {
    for millis in (from_millis..to_millis).step_by(10) {
        for number in members {
            let others: Vec<usize> = members.iter().copied().filter(|it| it != number).collect();
            let receivers = others.iter().map(|other| address(*other)).collect();
            let source = others.get(millis as usize / 10 % others.len()).map(|it| address(*it));
            let peers = ListPeers { receivers, source, is_forwarder: false };
            for outgoing in syncs[*number].tick(&peers, at(millis)) {
                for to in others.iter().filter(|other| outgoing.to.contains(&address(**other))) {
                    let message = outgoing.message.clone();
                    syncs[*to].handle(address(*number), message, false, at(millis));
                }
            }
            let Some(stamp) = syncs[*number].stamp(at(millis)).filter(|_| millis % 100 == 0) else {
                continue;
            };
            for other in others {
                syncs[other].handle_stamp(address(*number), stamp, at(millis));
            }
        }
    }
}

fn new_syncs<const N: usize>() -> [ListSync; N] {
    std::array::from_fn(|number| ListSync::new((number as f64 + 0.5) / N as f64))
}

/// Guards against a list that counts as just read at a daemon which received it late.
#[test]
fn a_received_list_is_as_old_as_its_reading() {
    let mut syncs: [ListSync; 2] = new_syncs();
    read(&mut syncs[0], 0, 0);

    exchange(&mut syncs, &[0, 1], 4_000, 5_000);

    let age = syncs[1].stamp(at(5_000)).map(|stamp| stamp.age_ms);
    assert!(age.is_some_and(|age| age >= 4_900), "{age:?} ms");
}

/// Guards against a daemon that lists an upstream as live again after a daemon with an older list has
/// passed that list on.
#[rstest]
#[case::leaving(1)]
#[case::gone(2)]
fn an_older_list_does_not_take_the_place_of_a_newer_one(#[case] version: usize) {
    let mut syncs: [ListSync; 3] = new_syncs();
    read(&mut syncs[0], 0, 0);
    read(&mut syncs[1], version, 3_000);

    // The third daemon gets the older list late, and the second one hears of it.
    exchange(&mut syncs, &[0, 2], 4_000, 4_500);
    exchange(&mut syncs, &[0, 1, 2], 4_500, 9_000);

    for (number, sync) in syncs.iter().enumerate() {
        assert!(sync.rows().cloned().eq(sorted(rows(version))), "list of daemon {number}");
    }
}

/// Guards against a side of a fleet that was cut apart whose older list wins, once they hear each other
/// again, because that side has read more often.
#[test]
fn the_sides_of_a_fleet_that_was_cut_apart_agree_on_the_latest_reading() {
    let mut syncs: [ListSync; 4] = new_syncs();
    read(&mut syncs[0], 0, 0);
    exchange(&mut syncs, &[0, 1, 2, 3], 0, 1_000);
    for millis in (1_000..5_000).step_by(100) {
        read(&mut syncs[0], 0, millis);
        exchange(&mut syncs, &[0, 1], millis, millis + 100);
    }
    read(&mut syncs[2], 1, 4_500);
    exchange(&mut syncs, &[2, 3], 4_500, 6_000);
    read(&mut syncs[2], 2, 6_000);
    exchange(&mut syncs, &[2, 3], 6_000, 7_000);

    for millis in (7_000..9_000).step_by(10) {
        exchange(&mut syncs, &[0, 1, 2, 3], millis, millis + 10);
        let is_latest = |sync: &ListSync| sync.rows().cloned().eq(sorted(rows(2)));
        assert!(syncs[2..].iter().all(is_latest), "at {millis} ms");
    }

    assert!(syncs.iter().all(|sync| sync.rows().cloned().eq(sorted(rows(2)))));
}

fn sorted(mut rows: Vec<ListedUpstream>) -> Vec<ListedUpstream> {
    rows.sort_by(|one, other| one.upstream.cmp(&other.upstream));
    rows
}

/// Guards against an upstream that has left and is used again because an older list names it.
#[test]
fn an_upstream_that_left_does_not_return_with_an_older_list() {
    let mut pool = BurstPool::with_plan(urgency_plan());
    let listed = UpstreamSource { incarnation: 7, ..source("e1", 1) };
    let leaving = UpstreamSource { is_leaving: true, ..listed.clone() };
    pool.handle_event(PoolEvent::Sources(vec![listed.clone()]), 0);
    pool.handle_event(PoolEvent::Sources(vec![leaving]), 1_000);
    pool.handle_event(PoolEvent::Sources(Vec::new()), 2_000);

    pool.handle_event(PoolEvent::Sources(vec![listed]), 3_000);

    assert_eq!(pool.scheduler.upstreams().live_count(), 0);
}

/// Guards against an upstream that is kept out for ever because it once left under the same name and
/// incarnation.
#[test]
fn an_upstream_that_left_returns_once_no_older_list_can_be_about() {
    let mut pool = BurstPool::with_plan(urgency_plan());
    let listed = UpstreamSource { incarnation: 7, ..source("e1", 1) };
    let leaving = UpstreamSource { is_leaving: true, ..listed.clone() };
    pool.handle_event(PoolEvent::Sources(vec![leaving]), 1_000);
    pool.handle_event(PoolEvent::Sources(Vec::new()), 2_000);

    pool.handle_event(PoolEvent::Sources(Vec::new()), 12_000);
    pool.handle_event(PoolEvent::Sources(vec![listed]), 12_100);

    assert_eq!(pool.scheduler.upstreams().live_count(), 1);
}

/// A schedule of a list that is replaced by a tenth in each second.
fn release(upstreams: usize, first_change: u64) -> ListSchedule {
    ListSchedule { upstreams, growth: 1, leaving: upstreams / 33, versions: 13, first_change }
}

/// Guards against a daemon's list that is replaced by an older one in a fleet whose daemons die, freeze
/// and are cut off at any time.
#[rstest]
fn no_daemons_list_goes_back(
    #[values(5, 40)] daemons: usize,
    #[values(0.01, 0.2)] loss: f64,
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut events: Vec<FleetEvent> = Vec::new();
    for _ in 0..12 {
        let (begin, daemon) = (rng.random_range(2_000..14_000), rng.random_range(0..daemons));
        let conditions = [Condition::Frozen, Condition::Cut, Condition::Dead];
        let condition = conditions[rng.random_range(0..conditions.len())];
        events.push((begin, daemon, condition));
        events.push((begin + rng.random_range(300..6_000), daemon, Condition::Running));
    }
    let fleet = ListFleet::new(daemons, release(daemons * 3, 4_000), seed).with_known_list();

    let figures = fleet.with_loss(loss).with_events(events).run(22_000);

    assert_eq!(figures.regressions, 0);
}

/// The times of the users' deployments of each size: after `drain_ms` an upstream that leaves must get
/// no request any more, and a second of it is left for requests on their way.
fn change_bound(daemons: usize) -> Duration {
    let drain = match daemons {
        0..=16 => 3_000,
        17..=99 => 4_000,
        100.. => 5_000,
    };
    Duration::from_millis(drain - 1_000)
}

/// Guards against a change of the list that reaches a daemon after the upstream that it names as
/// leaving may get no request any more.
#[rstest]
#[case::seven(7, 140)]
#[case::sixty(60, 180)]
#[case::three_hundred(300, 900)]
#[case::a_thousand(985, 2_955)]
#[case::two_thousand(2_000, 3_000)]
fn a_change_is_known_to_all_in_time(#[case] daemons: usize, #[case] upstreams: usize) {
    let fleet = ListFleet::new(daemons, release(upstreams, 3_000), 1).with_known_list();

    let figures = fleet.counting_from(1).run(18_000);

    print_figures("change", daemons, &figures);
    assert!(figures.worst_millis <= change_bound(daemons).as_millis() as u64);
    assert_eq!((figures.regressions, figures.refused_calls), (0, 0));
}

fn print_figures(what: &str, daemons: usize, figures: &crate::list_fleet::FleetFigures) {
    println!(
        "{what}, {daemons} daemons: p99 {} ms, worst {} ms, {} calls ({} refused), {} regressions, {} bytes (mean {})",
        figures.p99_millis(),
        figures.worst_millis,
        figures.calls,
        figures.refused_calls,
        figures.regressions,
        figures.most_sent,
        figures.mean_sent
    );
}

/// Guards against changes that come late beside lost messages, and against readers that are missed.
#[rstest]
#[case::losses(0.1, None)]
#[case::reader_killed(0.01, Some(Condition::Dead))]
#[case::reader_frozen(0.01, Some(Condition::Frozen))]
#[case::reader_cut_off(0.01, Some(Condition::Cut))]
fn a_change_is_known_in_time_beside_faults(
    #[case] loss: f64,
    #[case] fault: Option<Condition>,
    #[values(7, 60, 300)] daemons: usize,
) {
    // The first reader and its successor fail in turn and come back.
    let events = fault.into_iter().flat_map(|condition| {
        [(5_200, 0, condition), (9_200, 0, Condition::Running), (9_900, 1, condition)]
            .into_iter()
            .chain([(13_000, 1, Condition::Running)])
    });
    let fleet = ListFleet::new(daemons, release(daemons * 3, 3_000), 1).with_known_list();

    let figures = fleet.with_loss(loss).with_events(events.collect()).counting_from(1).run(18_000);

    print_figures(&format!("{fault:?}, loss {loss}"), daemons, &figures);
    let bound = change_bound(daemons) + Duration::from_millis(1_000);
    assert!(figures.worst_millis <= bound.as_millis() as u64);
    assert_eq!(figures.regressions, 0);
}

/// Guards against a fleet that still refuses requests when its traffic begins, because the list grew
/// while it spread, and against its calls to the platform.
#[rstest]
#[case::three_hundred(300, 900)]
#[case::a_thousand(985, 2_955)]
fn a_list_that_grows_while_it_spreads_reaches_all(#[case] daemons: usize, #[case] rows: usize) {
    let schedule =
        ListSchedule { upstreams: rows, growth: 7, leaving: 0, versions: 7, first_change: 2_000 };
    let fleet = ListFleet::new(daemons, schedule, 1);

    // The last version is listed at 7 s.
    let figures = fleet.counting_from(7_000).run(20_000);

    print_figures("growth", daemons, &figures);
    assert!(figures.worst_millis <= change_bound(daemons).as_millis() as u64);
    assert_eq!((figures.regressions, figures.refused_calls), (0, 0));
}

/// Guards against a daemon that asks for the list of a reading that its own list has overtaken, however
/// recent that reading claims to be.
#[test]
fn the_list_of_an_earlier_reading_is_not_requested() {
    let mut syncs: [ListSync; 2] = new_syncs();
    read(&mut syncs[0], 0, 0);
    let stamp = syncs[0].stamp(at(0)).expect("a list is known");
    syncs[1].handle_stamp(address(0), stamp, at(0));
    read(&mut syncs[1], 1, 1_000);
    let peers = ListPeers { source: Some(address(0)), ..ListPeers::default() };

    let mut outgoing = Vec::new();
    for millis in (1_000..4_000).step_by(50) {
        let stamp = ListStamp { age_ms: 0, ..stamp };
        syncs[1].handle_stamp(address(0), stamp, at(millis));
        outgoing.extend(syncs[1].tick(&peers, at(millis)));
    }

    assert!(outgoing.is_empty(), "{outgoing:?}");
}

/// Guards against a reading that takes the place of a later one that ended before it.
#[test]
fn a_reading_that_was_overtaken_is_not_stored() {
    let mut syncs: [ListSync; 2] = new_syncs();
    read(&mut syncs[0], 0, 0);
    exchange(&mut syncs, &[0, 1], 0, 500);
    let slow = syncs[0].begin_reading(at(1_000));
    let stamp = ListStamp { digest: 1, order: slow.order, age_ms: 0 };
    syncs[1].handle_stamp(address(0), stamp, at(1_000));
    read(&mut syncs[1], 1, 1_100);
    exchange(&mut syncs, &[0, 1], 1_100, 2_000);

    syncs[0].store_reading(slow, rows(0), at(2_500));

    assert!(syncs[0].rows().cloned().eq(sorted(rows(1))));
    assert!(syncs[0].take_older().is_some_and(|older| older.from.is_none()));
}

/// Guards against a daemon that waits for one change and is sent only the next one, which it cannot
/// apply.
#[test]
fn a_daemon_that_waits_for_a_change_gets_the_next_one_with_it() {
    let mut reader = ListSync::new(0.5);
    read(&mut reader, 0, 0);
    let mut last = ListSync::new(0.9);
    let stamp = reader.stamp(at(0)).expect("a list is known");
    let parts = reader.rows().cloned().collect::<Vec<ListedUpstream>>();
    let begun = last.begin_reading(at(0));
    last.store_reading(begun, parts, at(0));
    assert_eq!(last.stamp(at(0)).map(|known| known.digest), Some(stamp.digest));
    let receivers = (1..40).map(address).collect();
    let peers = ListPeers { receivers, source: None, is_forwarder: true };
    let mut wanted = 0;

    for millis in (1_000..2_000).step_by(10) {
        match millis {
            1_000 => read(&mut reader, 1, 1_000),
            1_010 => read(&mut reader, 2, 1_010),
            _ => {}
        }
        for outgoing in reader.tick(&peers, at(millis)) {
            if outgoing.to == [address(39)] {
                last.handle(address(0), outgoing.message, false, at(millis));
            }
        }
        let source = Some(address(0));
        wanted += last.tick(&ListPeers { source, ..ListPeers::default() }, at(millis)).len();
    }

    assert_eq!((last.rows().count(), wanted), (rows(2).len(), 0));
}
