//! Shares of organisations in a service that is too small for all.

use crate::burst_pool::{BurstPool, arrived, dispatched_ids, urgency_plan};
use crate::organisation_load::{FleetSums, OrganisationLoad, OrganisationOutcomes, simulate};
use rstest::rstest;
use tarragonknot::policy::{
    ArrivedRequest, Moment, OrganisationFlow, OrganisationIndex, OrganisationShares, PoolEvent,
};

const SMALL: OrganisationIndex = OrganisationIndex(0);
const LARGE: OrganisationIndex = OrganisationIndex(1);

fn flow(
    organisation: OrganisationIndex,
    weight: u32,
    (asked, taken): (f64, f64),
) -> OrganisationFlow {
    OrganisationFlow { organisation, weight, asked, taken }
}

/// Flows of which nearly all of the large organisation's demand is beyond its share.
fn contended_flows() -> Vec<OrganisationFlow> {
    vec![flow(SMALL, 1, (1.0, 1.0)), flow(LARGE, 1, (1e6, 99.0))]
}

/// Sends 2 requests of the small organisation and 20 of the large one per second, of which 10 are
/// dispatched in all.
fn contend(shares: &mut OrganisationShares, seconds: std::ops::Range<u64>) {
    for tenth in seconds.start * 10..seconds.end * 10 {
        let now = Moment::from_millis(tenth * 100);
        if tenth % 5 == 0 {
            shares.record_arrival((SMALL, 1), 100, 0.5, now);
            shares.record_dispatch(SMALL, 100, now);
        }
        for _ in 0..2 {
            shares.record_arrival((LARGE, 1), 100, 0.5, now);
        }
        if tenth % 5 != 0 {
            shares.record_dispatch(LARGE, 100, now);
        }
    }
}

/// Without sums from the fleet, a daemon's own dispatches decide.
#[test]
fn without_the_fleets_sums_own_dispatches_decide() {
    let mut shares = OrganisationShares::default();

    contend(&mut shares, 0..8);

    let now = Moment::from_millis(8_000);
    let (small, large) = (shares.ratio(SMALL, now), shares.ratio(LARGE, now));
    assert!(small == 1.0 && (0.2..0.6).contains(&large), "{small} {large}");
    assert_eq!(shares.over_share(now).collect::<Vec<_>>(), vec![LARGE]);
}

/// Guards against marks by sums that describe requests long gone.
#[test]
fn stale_sums_are_not_used() {
    let mut shares = OrganisationShares::default();
    shares.set_fleet(&contended_flows(), Moment::from_millis(0));

    let fresh = shares.ratio(LARGE, Moment::from_millis(1_900));
    let stale = shares.ratio(LARGE, Moment::from_millis(2_100));

    assert!(fresh < 0.01 && stale == 1.0, "{fresh} {stale}");
}

/// Guards against a restarted daemon that holds what it does not know against some organisations.
#[test]
fn after_a_restart_all_start_equal() {
    let shares = OrganisationShares::default();

    assert_eq!(shares.over_share(Moment::from_millis(0)).count(), 0);
}

/// Guards against state that grows with the organisations ever seen, and against old usage that
/// counts when one comes back.
#[test]
fn an_organisation_that_has_gone_is_forgotten() {
    let mut shares = OrganisationShares::default();
    contend(&mut shares, 0..8);

    let now = Moment::from_millis(80_000);
    shares.record_arrival((SMALL, 1), 100, 0.5, now);
    shares.record_dispatch(SMALL, 100, now);

    assert!(!shares.over_share(now).any(|organisation| organisation == LARGE));
}

#[rstest]
#[case::enough_for_all((50.0, 50.0), (50.0, 50.0), None)]
#[case::as_usual_in_flight((50.0, 49.0), (50.0, 49.0), None)]
#[case::both_beyond((100.0, 50.0), (100.0, 50.0), Some(0.45))]
#[case::unused_part_is_lent((10.0, 10.0), (200.0, 90.0), Some(0.4))]
fn shares_are_max_min_fair(
    #[case] small: (f64, f64),
    #[case] large: (f64, f64),
    #[case] expected: Option<f64>,
) {
    let mut shares = OrganisationShares::default();

    shares.set_fleet(&[flow(SMALL, 1, small), flow(LARGE, 1, large)], Moment(0));

    let ratio = shares.ratio(LARGE, Moment(0));
    assert!((ratio - expected.unwrap_or(1.0)).abs() < 1e-9, "{ratio}");
}

#[test]
fn shares_follow_the_weights() {
    let mut shares = OrganisationShares::default();

    let flows = [flow(SMALL, 1, (100.0, 50.0)), flow(LARGE, 3, (100.0, 50.0))];
    shares.set_fleet(&flows, Moment(0));

    let (one, three) = (shares.ratio(SMALL, Moment(0)), shares.ratio(LARGE, Moment(0)));
    assert!((three / one - 3.0).abs() < 1e-9, "{one} {three}");
}

fn pool(has_shares: bool) -> BurstPool {
    let mut plan = urgency_plan();
    plan.shares_organisations = has_shares;
    let mut pool = BurstPool::with_plan(plan);
    pool.handle_event(PoolEvent::OrganisationFlows(contended_flows()), 0);
    pool
}

fn arrive(pool: &mut BurstPool, id: u64, rank: u8, organisation: OrganisationIndex) {
    // None is refused for want of time: the order alone is tested.
    let until = Some(Moment::from_millis(9_000));
    let request = ArrivedRequest {
        organisation,
        objective: until,
        patience: until,
        ..arrived(id, rank, 10, 0)
    };
    pool.handle_event(PoolEvent::Arrived(request), 0);
}

/// Completes the running request, and returns the one that is dispatched next, until none is left.
fn dispatch_order(pool: &mut BurstPool, first: u64, millis: u64) -> Vec<u64> {
    let mut order = Vec::new();
    let mut running = Some(first);
    while let Some(id) = running {
        running = dispatched_ids(&pool.complete(id, millis)).first().copied();
        order.extend(running);
    }
    order
}

/// Guards against an order that ignores the shares, that puts them above the ranks, or that changes
/// where they are off.
#[rstest]
#[case::shared(true, vec![3, 2, 4])]
#[case::off(false, vec![2, 3, 4])]
fn within_a_rank_those_within_their_share_go_first(
    #[case] has_shares: bool,
    #[case] expected: Vec<u64>,
) {
    let mut pool = pool(has_shares);
    arrive(&mut pool, 1, 0, LARGE);
    arrive(&mut pool, 2, 0, LARGE);
    arrive(&mut pool, 3, 0, SMALL);
    arrive(&mut pool, 4, 1, SMALL);

    assert_eq!(dispatch_order(&mut pool, 1, 10), expected);
}

/// Guards against shares that leave a slot free: a request beyond its share is dispatched at once
/// where none other waits.
#[test]
fn a_free_slot_takes_a_request_beyond_its_share() {
    let mut pool = pool(true);

    let request = ArrivedRequest { organisation: LARGE, ..arrived(1, 0, 10, 0) };
    let actions = pool.handle_event(PoolEvent::Arrived(request), 0);

    assert_eq!(dispatched_ids(&actions), vec![1]);
}

fn others(load: &OrganisationLoad) -> impl Iterator<Item = usize> {
    let bursting = load.bursting.clone();
    (0..load.weights.len()).filter(move |organisation| !bursting.contains(organisation))
}

fn describe(outcomes: &OrganisationOutcomes) -> String {
    let rows = outcomes.by_organisation.iter();
    let rows = rows.map(|own| format!("{:.2}/{:.2}", own.in_time_share(), own.served_share()));
    rows.collect::<Vec<String>>().join(" ")
}

/// Guards against organisations of one rank that lose requests as often as one that sends several
/// times its usual, as they do without shares.
#[rstest]
#[case::one_daemon(1)]
#[case::seven_daemons(7)]
#[case::many_daemons(63)]
fn those_who_ask_no_more_than_usual_lose_less(#[case] daemons: usize) {
    let load = OrganisationLoad { has_one_rank: true, ..OrganisationLoad::of(daemons, &[1], 7.5) };
    let off = OrganisationLoad { has_shares: false, ..load.clone() };

    let (with, without) = (simulate(&load), simulate(&off));

    let small = |outcomes: &OrganisationOutcomes| outcomes.of(others(&load)).in_time_share();
    let all = with.of(0..16).in_time_share();
    assert!(small(&with) >= small(&without) + 0.05, "{} of {}", small(&with), small(&without));
    assert!(small(&with) >= all, "{} of {all}: {}", small(&with), describe(&with));
    // Single runs differ by about 3 %.
    let work = with.served_work / without.served_work;
    assert!(work >= 0.95, "{work} of the work without shares");
    let (idle, usual) = (with.idle_share, without.idle_share);
    assert!(
        idle <= usual + 0.01,
        "{idle} of the slots free beside waiting requests, {usual} without"
    );
}

/// Guards against organisations that ask no more than usual and are not served as if they were alone.
#[rstest]
#[case::seven_daemons(7)]
#[case::many_daemons(63)]
fn as_if_alone(#[case] daemons: usize) {
    let load = OrganisationLoad::of(daemons, &[1], 7.5);
    let calm = OrganisationLoad { has_shares: false, ..OrganisationLoad::of(daemons, &[], 1.0) };

    let (outcomes, alone) = (simulate(&load), simulate(&calm));

    let small = |outcomes: &OrganisationOutcomes| outcomes.of(others(&load)).in_time_share();
    assert!(small(&outcomes) >= small(&alone) - 0.1, "{} of {}", small(&outcomes), small(&alone));
    let all = outcomes.of(0..16).in_time_share();
    let least = others(&load).map(|own| outcomes.by_organisation[own].in_time_share());
    let least = least.fold(1.0, f64::min);
    assert!(least >= 0.7 * all, "{least} of {all}: {}", describe(&outcomes));
}

/// Guards against shares that depend on the fleet's sums: what a daemon knows itself must serve the
/// others at least as well as no shares do.
#[rstest]
#[case::absent(FleetSums::Absent, None)]
#[case::stale(FleetSums::Until(6_000_000), None)]
#[case::restart(FleetSums::Exchanged, Some(8_000_000))]
fn without_sums_the_others_fare_no_worse(
    #[case] sums: FleetSums,
    #[case] restart_at: Option<u64>,
    #[values(1, 7)] daemons: usize,
) {
    let play = |has_shares: bool, seed: u64| {
        let load = OrganisationLoad {
            sums,
            restart_at,
            has_shares,
            has_one_rank: true,
            seed,
            ..OrganisationLoad::of(daemons, &[1], 7.5)
        };
        simulate(&load).of(others(&load)).in_time_share()
    };

    // One run at one daemon has some 200 callers of the other organisations.
    let (with, without): (f64, f64) =
        ((1..=4).map(|seed| play(true, seed)).sum(), (1..=4).map(|seed| play(false, seed)).sum());

    assert!(with >= without, "{} of {}", with / 4.0, without / 4.0);
}

/// Guards against an organisation without past usage that is served worse than others, and against
/// one that leaves a share behind that nobody uses.
#[test]
fn an_organisation_may_appear_and_go() {
    let load = OrganisationLoad {
        visitor: Some(8),
        has_one_rank: true,
        ..OrganisationLoad::of(7, &[1], 7.5)
    };

    let outcomes = simulate(&load);

    let (own, all) =
        (outcomes.by_organisation[8].in_time_share(), outcomes.of(0..16).in_time_share());
    assert!(own >= 0.7 * all, "{own} of {all}");
    let later: f64 = outcomes.later.iter().map(|own| f64::from(own.served)).sum();
    let came: f64 = outcomes.later.iter().map(|own| f64::from(own.callers)).sum();
    assert!(later >= 0.9 * came, "{later} of {came}");
}
