//! Which upstream a request goes to: cells of the fleet, others' word on speed, and pauses of those who run there.

use crate::burst_pool::{BurstPool, arrived, urgency_plan};
use crate::session::source;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tarragonknot::policy::{
    CellNotice, FleetCell, Moment, NeighbourBook, OthersWork, PoolAction, PoolEvent, RequestId,
    RequestSizes, UpstreamIndex, UpstreamMark, WorkNotice,
};

const NOW: Moment = Moment::from_millis(10_000);

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, (number / 256) as u8, 0, (number % 256) as u8], 7_600))
}

/// The book of one daemon in a fleet of `count`, all named by the leader.
fn book(count: u16) -> NeighbourBook {
    let mut book = NeighbourBook::default();
    book.set_named((0..count).map(address).collect());
    book
}

#[test]
fn a_small_fleet_is_one_cell() {
    let book = book(7);

    assert_eq!(book.cell(address(3), NOW).count, 1);
    assert_eq!(book.cell_addresses(address(3), NOW).len(), 6);
}

/// Symptom: on a fleet of 64 a third of all sends go to engines that are full. Sequence: each daemon tells 63 others
/// what it sent, each 0.63 s; runs last half a second. Cause: the cost of notices grows with the fleet, so they are
/// made seldom.
#[test]
fn a_large_fleet_is_many_cells_in_which_word_is_fresh() {
    let book = book(64);
    let mut cells: BTreeMap<usize, BTreeSet<SocketAddr>> = BTreeMap::new();
    for number in 0..64 {
        let own = address(number);
        let mut mates: BTreeSet<SocketAddr> = book.cell_addresses(own, NOW).into_iter().collect();
        mates.insert(own);
        let known = cells.entry(book.cell(own, NOW).index).or_insert_with(|| mates.clone());
        assert_eq!(*known, mates, "daemons of a cell agree on it");
    }
    let pause = NeighbourBook::cell_pause(7);

    assert_eq!(cells.len(), 8);
    assert!(cells.values().all(|mates| mates.len() == 8));
    assert!(pause <= Duration::from_millis(80), "{pause:?}");
}

fn notice(number: u16, sequence: u64, requests: u32) -> WorkNotice {
    WorkNotice {
        daemon: format!("entry-{number}").as_str().into(),
        boot: 1,
        sequence,
        address: address(number),
        work: vec![(mark(), work(requests, 0))],
        taken: Vec::new(),
        refills: Vec::new(),
        is_leaving: false,
    }
}

fn mark() -> UpstreamMark {
    UpstreamMark::of(&"pool".into(), &"e1".into(), 0)
}

fn work(requests: u32, gap_micros: u32) -> OthersWork {
    OthersWork { requests, gap_micros, ..OthersWork::default() }
}

#[test]
fn only_what_is_known_well_takes_up_places() {
    let mut book = book(64);
    book.take(notice(1, 1, 2), NOW);
    book.take(notice(60, 1, 3), NOW);

    let others = book.others(address(0), NOW)[&mark()];

    assert_eq!((others.requests, others.hinted), (2, 3));
}

#[test]
fn a_notice_that_was_overtaken_is_passed_over() {
    let mut book = book(64);
    book.take(notice(1, 1, 2), NOW);
    let cell = |sequence, requests| CellNotice {
        daemon: "entry-1".into(),
        boot: 1,
        sequence,
        work: vec![(mark(), work(requests, 0))],
    };
    book.take_cell(cell(3, 1), NOW);
    book.take_cell(cell(2, 4), NOW);

    assert_eq!(book.others(address(0), NOW)[&mark()].requests, 1);
}

#[test]
fn what_one_daemon_learned_of_an_engines_speed_all_know() {
    let mut book = book(64);
    let mut told = notice(60, 1, 0);
    told.work = vec![(mark(), work(0, 24_000))];
    book.take(notice(60, 0, 0), NOW);
    book.take(told, NOW);
    book.take(notice(60, 2, 0), NOW + Duration::from_secs(1));

    let later = book.others(address(0), NOW + Duration::from_secs(30));
    let much_later = NOW + Duration::from_secs(90);
    book.reckon_silent(&[], much_later);

    assert_eq!(later[&mark()].gap_micros, 24_000);
    assert!(!book.others(address(0), much_later).contains_key(&mark()));
}

/// A pool of `count` engines with three places each, numbered from 1, of which this daemon's cell is the first of
/// `cells`.
fn pool_of(count: u16, cells: usize) -> BurstPool {
    let mut plan = urgency_plan();
    plan.first_guess = 3;
    plan.event_tokens = 3;
    let mut pool = BurstPool::with_plan(plan);
    let sources = (1..=count).map(|number| source(&format!("e{number:03}"), number)).collect();
    pool.tell(PoolEvent::Sources(sources), 0);
    let cell = FleetCell { index: 0, count: cells };
    pool.tell(PoolEvent::Others { rows: Vec::new(), cell }, 0);
    pool
}

fn chosen(actions: &[PoolAction]) -> Option<UpstreamIndex> {
    actions.iter().find_map(|action| match action {
        PoolAction::Dispatch { upstream, .. } => Some(*upstream),
        PoolAction::Refuse { .. } => None,
    })
}

#[test]
fn a_cells_engines_are_used_first_and_others_once_they_are_full() {
    let mut pool = pool_of(40, 4);
    let placed: Vec<u32> =
        (1..=31).filter_map(|id| chosen(&pool.arrive(id, 0, 10))).map(|index| index.0).collect();

    assert!(placed[..30].iter().all(|index| *index <= 10), "{placed:?}");
    assert!(placed[30] > 10, "{placed:?}");
}

#[test]
fn a_small_pool_is_shared_by_all_cells() {
    let mut pool = pool_of(3, 8);
    let placed: BTreeSet<u32> =
        (1..=9).filter_map(|id| chosen(&pool.arrive(id, 0, 10))).map(|index| index.0).collect();

    assert_eq!(placed, BTreeSet::from([1, 2, 3]));
}

/// Symptom: a third of all streams are late from the first second on. Sequence: a daemon that has sent nothing yet
/// to an engine four times slower than the rest sends there. Cause: each daemon learns the engines' speeds by itself.
#[test]
fn an_engine_that_another_daemon_knows_to_be_slow_is_used_last() {
    let mut pool = pool_of(2, 1);
    let rows = vec![("e001".into(), work(0, 24_000)), ("e002".into(), work(0, 6_000))];
    pool.tell(PoolEvent::Others { rows, cell: FleetCell::default() }, 1);
    let placed: Vec<u32> =
        (1..=3).filter_map(|id| chosen(&pool.arrive(id, 0, 10))).map(|index| index.0).collect();

    assert_eq!(placed, [2, 2, 2]);
}

/// Symptom: every stream on a slow engine pauses for longer than its route allows. Sequence: a prompt of 6,000 tokens
/// comes to an engine that reads it in 0.36 s, between the steps of three streams. Cause: placement by the first event
/// of the new request alone.
#[test]
fn a_long_prompt_does_not_make_running_streams_pause() {
    let mut pool = pool_of(2, 1);
    // The second engine is three times slower, and idle enough to begin first; streams run on it.
    let rows = vec![
        ("e001".into(), OthersWork { unread_tokens: 30_000, gap_micros: 6_000, ..work(0, 0) }),
        ("e002".into(), work(2, 18_000)),
    ];
    pool.tell(PoolEvent::Others { rows, cell: FleetCell::default() }, 1);
    let mut long = arrived(1, 0, 10, 10);
    long.sizes = Some(RequestSizes { prompt: 6_000, output: 10 });
    let mut without_bound = long.clone();
    long.pause = Some(Duration::from_millis(300));
    without_bound.id = RequestId(2);

    let bound = chosen(&pool.tell(PoolEvent::Arrived(long), 10));
    pool.end(1, 11);
    let unbound = chosen(&pool.tell(PoolEvent::Arrived(without_bound), 12));

    assert_eq!((bound, unbound), (Some(UpstreamIndex(1)), Some(UpstreamIndex(2))));
}
