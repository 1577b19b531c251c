//! Slots that one daemon leaves unused are offered to daemons of its group that have requests waiting.

use crate::burst_pool::{BurstPool, arrived, dispatched_ids, urgency_plan};
use crate::shared_places::{OfferMode, OfferOutcome, SecondOutcomes, simulate_offers};
use rstest::rstest;
use std::time::Duration;
use tarragonknot::fleet_state::{
    DaemonIdentity, Departure, FleetMessage, FleetState, MemberReport, MessageSource, OfferTarget,
    ServiceHash, WaitingRow,
};
use tarragonknot::policy::{
    DensityLevel, DispatchOutcome, FleetGroup, Moment, PeerWaiting, PeerWork, PoolEvent, RequestId,
    UpstreamIndex, WaitingLevels,
};
use tarragonknot::quarantine::SuspectUpdate;
use tarragonknot::table::ServiceName;

/// Load in each second, as a fraction of capacity: a burst, as on the deployments that are short of
/// room at times, between calm seconds.
const LOADS: [f64; 10] = [0.8, 0.8, 1.1, 1.1, 1.1, 1.1, 1.1, 0.8, 0.8, 0.8];
const BURST: std::ops::Range<usize> = 2..7;

fn plays(mode: OfferMode) -> Vec<OfferOutcome> {
    (1..=4).map(|seed| simulate_offers(&LOADS, mode, seed)).collect()
}

fn in_time(plays: &[OfferOutcome], seconds: std::ops::Range<usize>) -> f64 {
    let counted = plays.iter().flat_map(|play| play.seconds[seconds.clone()].to_vec());
    SecondOutcomes::in_time_fraction(&counted.collect::<Vec<SecondOutcomes>>())
}

fn mean_used(plays: &[OfferOutcome]) -> f64 {
    let used: Vec<f64> = plays.iter().flat_map(|play| play.used[BURST].to_vec()).collect();
    used.iter().sum::<f64>() / used.len() as f64
}

/// Guards against slots that stay free until the next reports while requests wait at other daemons.
#[test]
fn in_a_burst_more_slots_are_used_and_more_requests_are_in_time() {
    let (without, with) = (plays(OfferMode::Off), plays(OfferMode::On));

    let used = (mean_used(&without), mean_used(&with));
    let served = (in_time(&without, BURST), in_time(&with, BURST));
    assert!(used.1 > used.0, "used {used:?}, in time {served:?}");
    assert!(served.1 > served.0, "used {used:?}, in time {served:?}");
}

/// Guards against offers that harm where they do not arrive.
#[test]
fn lost_offers_leave_service_as_it_is_without_them() {
    let (without, lost) = (plays(OfferMode::Off), plays(OfferMode::Lost));

    assert!(lost.iter().all(|play| play.offers > 0));
    assert_eq!(in_time(&without, 0..10), in_time(&lost, 0..10));
}

/// Guards against messages while nobody waits for a slot.
#[test]
fn a_calm_fleet_sends_no_offers() {
    let outcome = simulate_offers(&[0.3, 0.3], OfferMode::On, 1);

    assert_eq!(outcome.offers, 0);
}

fn group_waits(count: u32) -> PoolEvent {
    let mut levels = WaitingLevels::default();
    levels.add(DensityLevel::of(1.0), count);
    let waiting = PeerWaiting { levels, age: Duration::from_millis(100) };
    let work = PeerWork { requests: 0, ..PeerWork::default() };
    PoolEvent::PeerLoad { rows: vec![("e1".into(), work)], group: FleetGroup::default(), waiting }
}

/// Guards against offers where the deployment's settings do not ask for them, of slots that are used
/// here, or while nobody else waits.
#[rstest]
#[case::on((true, true), 1, 0, 1)]
#[case::off((false, true), 1, 0, 0)]
#[case::no_reservations((true, false), 1, 0, 0)]
#[case::nobody_waits((true, true), 0, 0, 0)]
#[case::own_request_takes_it((true, true), 1, 1, 0)]
fn a_slot_is_offered_if_it_is_unused_and_wanted(
    #[case] (has_slot_offers, has_reservations): (bool, bool),
    #[case] group_waiting: u32,
    #[case] own_waiting: u64,
    #[case] offers: usize,
) {
    let mut plan = urgency_plan();
    (plan.has_slot_offers, plan.has_reservations) = (has_slot_offers, has_reservations);
    let mut pool = BurstPool::with_plan(plan);
    pool.arrive(1, 0, 0);
    pool.handle_event(PoolEvent::Granted(RequestId(1)), 1);
    (0..own_waiting).for_each(|more| drop(pool.arrive(2 + more, 0, 1)));
    pool.handle_event(group_waits(group_waiting), 5);

    pool.complete(1, 10);

    assert_eq!(pool.scheduler.take_unused_slots().len(), offers);
}

/// Guards against a daemon that keeps counting a slot as used that another one has told it is free.
#[test]
fn an_offered_slot_goes_to_a_waiting_request() {
    let mut pool = BurstPool::new();
    let busy = PeerWork { requests: 1, ..PeerWork::default() };
    let (group, waiting) = (FleetGroup::default(), PeerWaiting::default());
    pool.handle_event(PoolEvent::PeerLoad { rows: vec![("e1".into(), busy)], group, waiting }, 0);
    let before = pool.handle_event(PoolEvent::Arrived(arrived(1, 0, 10, 1)), 1);

    let after = pool.handle_event(PoolEvent::SlotFreed { upstream: UpstreamIndex(0) }, 2);

    assert_eq!((dispatched_ids(&before), dispatched_ids(&after)), (vec![], vec![1]));
}

/// Guards against an offer for a request that never held a slot.
#[test]
fn a_refused_reservation_offers_nothing() {
    let mut plan = urgency_plan();
    (plan.has_slot_offers, plan.has_reservations) = (true, true);
    let mut pool = BurstPool::with_plan(plan);
    pool.handle_event(group_waits(1), 0);
    pool.arrive(1, 0, 1);

    pool.handle_event(PoolEvent::Ended { id: RequestId(1), outcome: DispatchOutcome::NoSlot }, 3);

    assert_eq!(pool.scheduler.take_unused_slots(), []);
}

fn service() -> ServiceHash {
    ServiceHash::of(&ServiceName::from("pool"))
}

fn address(number: u16) -> std::net::SocketAddr {
    format!("10.0.0.{number}:7600").parse().expect("an address")
}

/// A fleet of three daemons, in which each reports to all, as seen by the first.
fn three_daemons() -> FleetState {
    let identity = DaemonIdentity { daemon: "d1".into(), boot: 1, address: address(1) };
    let mut fleet = FleetState::new(identity);
    fleet.set_serving_list((1..=3).map(address).collect(), Moment::from_millis(0));
    fleet
}

fn report(number: u16, sequence: u64, waiting: u32) -> FleetMessage {
    let name = format!("d{number}");
    let source =
        MessageSource { daemon: name.as_str().into(), boot: 1, sequence, address: address(number) };
    let row = WaitingRow { service: service(), level: DensityLevel::of(1.0), count: waiting };
    FleetMessage::Report(MemberReport {
        source,
        flows: Vec::new(),
        is_whole: true,
        counted: Vec::new(),
        work: Vec::new(),
        waiting: vec![row],
        list: None,
        can_read_list: true,
        departure: Departure::Stays,
        suspects: SuspectUpdate::default(),
    })
}

/// Guards against a daemon that is offered all slots, more than it has requests for, while others
/// wait too.
#[test]
fn offers_go_to_those_that_wait_and_no_more_than_they_can_use() {
    let (mut fleet, now) = (three_daemons(), Moment::from_millis(10));
    fleet.receive(report(2, 1, 2), now).expect("a new report");
    fleet.receive(report(3, 1, 1), now).expect("a new report");

    let targets: Vec<_> = (0..4).map(|_| fleet.offer_slot(service(), now)).collect();

    let member = |number| Some(OfferTarget::Member(address(number)));
    assert_eq!(targets[0], member(2));
    assert_eq!(targets.iter().filter(|target| **target == member(2)).count(), 2);
    assert_eq!(targets.iter().filter(|target| **target == member(3)).count(), 1);
    assert_eq!(targets[3], None);
}

/// Guards against offers to a daemon that has fallen silent.
#[test]
fn a_silent_daemon_is_offered_nothing() {
    let mut fleet = three_daemons();
    fleet.receive(report(2, 1, 5), Moment::from_millis(10)).expect("a new report");

    assert_eq!(fleet.offer_slot(service(), Moment::from_millis(5_000)), None);
}
