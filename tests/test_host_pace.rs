//! The pace of an upstream's VM is told from the steady speed of the upstream.

use crate::burst_pool::{BurstPool, arrived, dispatched_ids, urgency_plan};
use crate::session::source;
use crate::sized_load::{SizedLoad, in_time_fraction, simulate_with};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::time::Duration;
use tarragonknot::policy::{
    DispatchOutcome, FleetGroup, HostPace, LoadReport, Mechanism, MechanismSet, Moment,
    PacePercent, PeerPace, PeerWaiting, PeerWork, PoolAction, PoolEvent, RequestId, UpstreamIndex,
    UpstreamStatus,
};

const ENGINE: UpstreamIndex = UpstreamIndex(0);
/// Time between tokens of an engine of the usual speed at the usual pace.
const GAP_MICROS: f64 = 5_000.0;
/// Time for which a VM keeps its pace, and the share of paces that are slow.
const PACE_MS: u64 = 600;
const SLOW_SHARE: f64 = 0.15;

fn percent(figure: f64) -> PacePercent {
    PacePercent::from_figure(figure).expect("a readable pace")
}

fn pace_report(figure: f64) -> LoadReport {
    LoadReport { pace: Some(percent(figure)), ..LoadReport::default() }
}

/// One engine that is `steady` times as slow as usual, on a VM whose pace `paces` gives in percent
/// for each [`PACE_MS`].
struct PacedEngine {
    pool: BurstPool,
    steady: f64,
    paces: Vec<f64>,
    /// The pace that the engine reports, if not the true one, in percent.
    stated: Option<f64>,
    next_id: u64,
}

impl PacedEngine {
    fn new(steady: f64, paces: Vec<f64>, disabled: &[Mechanism]) -> Self {
        let mut plan = urgency_plan();
        plan.mechanisms = MechanismSet::without(disabled);
        PacedEngine { pool: BurstPool::with_plan(plan), steady, paces, stated: None, next_id: 1 }
    }

    fn pace_at(&self, millis: u64) -> f64 {
        self.paces[(millis / PACE_MS) as usize % self.paces.len()]
    }

    /// Time between tokens at `millis`, in microseconds.
    fn gap_at(&self, millis: u64) -> f64 {
        GAP_MICROS * self.steady * self.pace_at(millis) / 100.0
    }

    /// Serves requests one after the other until `end`, each with 48 tokens and a prompt that takes
    /// as long as 8 of them. The engine reports its pace in the head of each answer only.
    fn serve_until(&mut self, end: u64) {
        let mut now = 1_000;
        while now < end {
            let id = RequestId(self.next_id);
            self.next_id += 1;
            let actions = self.pool.arrive(id.0, 0, now);
            assert_eq!(dispatched_ids(&actions), [id.0]);
            let first = (self.gap_at(now) * 8.0 / 1_000.0) as u64;
            now += first;
            let report = pace_report(self.stated.unwrap_or_else(|| self.pace_at(now)));
            self.pool.handle_event(PoolEvent::LoadReported { upstream: ENGINE, report }, now);
            let after = Duration::from_millis(first);
            self.pool.handle_event(PoolEvent::FirstToken { id, after }, now);
            for _ in 0..4 {
                let gap = Duration::from_micros(self.gap_at(now) as u64);
                now += gap.as_millis() as u64 * 12;
                self.pool.handle_event(PoolEvent::TokenGap { id, gap }, now);
            }
            self.pool.complete(id.0, now);
            now += 5;
        }
    }

    fn learned_gap(&self) -> f64 {
        let status = self.pool.scheduler.upstreams().get(ENGINE).expect("a known engine");
        status.gap_micros.expect("a measured engine")
    }
}

/// Paces of a VM of which `share` are slow by a factor of 2.5.
fn changing_paces(share: f64, seed: u64) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..500).map(|_| if rng.random::<f64>() < share { 250.0 } else { 100.0 }).collect()
}

/// Root of the mean squared relative error of the learned speed, over 200 times.
fn learning_error(steady: f64, paces: impl Fn(u64) -> Vec<f64>, disabled: &[Mechanism]) -> f64 {
    let errors = (0..200).map(|seed| {
        let mut engine = PacedEngine::new(steady, paces(seed), disabled);
        engine.serve_until(6_000 + seed * 37);
        (engine.learned_gap() / (GAP_MICROS * steady) - 1.0).powi(2)
    });
    (errors.sum::<f64>() / 200.0).sqrt()
}

/// Guards against a usual engine being taken for a slow one, or a slow one for a usual one, because
/// its VM was slow or fast while it was measured.
#[rstest]
#[case::steady_engine_on_a_changing_vm(0.68, SLOW_SHARE)]
#[case::steady_engine_on_a_vm_that_changes_often(0.68, 0.5)]
#[case::slow_engine_on_a_usual_vm(3.0, 0.0)]
#[case::slow_engine_on_a_changing_vm(3.0, SLOW_SHARE)]
fn steady_speed_and_pace_are_told_apart(#[case] steady: f64, #[case] share: f64) {
    let paces = |seed| changing_paces(share, seed);

    let with = learning_error(steady, paces, &[]);
    let without = learning_error(steady, paces, &[Mechanism::HostPace]);

    println!("learning error {steady} {share}: {with:.3}, without the part {without:.3}");
    assert!(with < 0.2 && with <= without, "{with} {without}");
}

/// Guards against a change of behaviour where upstreams report no pace.
#[test]
fn without_reports_the_measured_time_is_learned() {
    let mut pool = BurstPool::new();
    pool.arrive(1, 0, 10);
    let gap = Duration::from_micros(7_000);
    pool.handle_event(PoolEvent::TokenGap { id: RequestId(1), gap }, 20);

    let status = pool.scheduler.upstreams().get(ENGINE).expect("a known engine");

    assert_eq!((status.gap_micros, status.pace.now(Moment::from_millis(20))), (Some(7_000.0), 1.0));
}

/// Guards against the run times of a plain service being learned as its speed while its VM is slow.
#[test]
fn the_run_time_of_a_plain_service_is_learned_without_the_pace() {
    let mut plan = urgency_plan();
    plan.counts_tokens = false;
    let mut pool = BurstPool::with_plan(plan);
    for number in 0..200 {
        let (id, at) = (number + 1, number * 100);
        let pace = if number % 12 >= 6 { 250.0 } else { 100.0 };
        pool.arrive(id, 0, at);
        let end = at + (15.0 * pace / 100.0) as u64;
        let report = pace_report(pace);
        pool.handle_event(PoolEvent::LoadReported { upstream: ENGINE, report }, end);
        let outcome = DispatchOutcome::Completed { prompt_tokens: None, output_tokens: 0 };
        pool.handle_event(PoolEvent::Ended { id: RequestId(id), outcome }, end);
    }

    let status = pool.scheduler.upstreams().get(ENGINE).expect("a known upstream");
    let gap = status.gap_micros.expect("a measured upstream");
    assert!((13_000.0..17_500.0).contains(&gap), "{gap}");
}

#[test]
fn a_pace_gives_way_to_the_mean_of_the_reported_ones() {
    let mut pace = HostPace::default();
    let at = |tenths: u64| Moment::from_millis(tenths * 100);
    (0..90).for_each(|period| {
        pace.record(percent(if period % 3 == 0 { 250.0 } else { 100.0 }), at(period * 6));
    });
    pace.record(percent(250.0), at(540));

    let ages = [0, 3, 6, 20].map(|age| pace.now(at(540 + age)));

    assert_eq!(ages[0], 2.5);
    assert!(ages[1] > ages[2] && ages[1] < 2.5, "{ages:?}");
    assert!((1.3..1.7).contains(&ages[2]), "{ages:?}");
    assert!(ages[3] < ages[2], "{ages:?}");
    assert_eq!(pace.now(at(600)), 1.0);
}

/// Guards against reports of one busy time counting more than those of several idle ones.
#[test]
fn many_reports_of_one_pace_count_as_one() {
    let mut pace = HostPace::default();
    (0..20).for_each(|period| pace.record(percent(100.0), Moment::from_millis(period * 600)));
    (0..400).for_each(|step| pace.record(percent(250.0), Moment::from_millis(12_000 + step)));

    let mean = pace.now(Moment::from_millis(13_000));

    assert!(mean < 1.2, "{mean}");
}

#[test]
fn a_report_that_was_overtaken_is_ignored() {
    let mut pace = HostPace::default();
    pace.record(percent(250.0), Moment::from_millis(900));
    pace.record(percent(100.0), Moment::from_millis(800));

    assert_eq!(pace.now(Moment::from_millis(900)), 2.5);
}

#[rstest]
#[case(0.0, None)]
#[case(-250.0, None)]
#[case(f64::NAN, None)]
#[case(f64::INFINITY, None)]
#[case(1e9, None)]
#[case(0.4, Some(0.1))]
#[case(9.0, Some(0.1))]
#[case(100.0, Some(1.0))]
#[case(250.0, Some(2.5))]
#[case(20_000.0, Some(10.0))]
fn figures_that_are_no_pace_count_as_not_reported(
    #[case] figure: f64,
    #[case] factor: Option<f64>,
) {
    assert_eq!(PacePercent::from_figure(figure).map(PacePercent::factor), factor);
}

/// Guards against an engine that always reports a wrong pace being taken for a slow or a fast one.
#[rstest]
#[case(1_000.0)]
#[case(10.0)]
fn what_an_engine_always_reports_cancels_out(#[case] stated: f64) {
    let mut engine = PacedEngine::new(1.0, vec![100.0], &[]);
    engine.stated = Some(stated);
    engine.serve_until(5_000);

    let expected = |status: &UpstreamStatus, millis| {
        status.gap_micros.expect("measured") * status.pace.now(Moment::from_millis(millis))
    };
    let status = engine.pool.scheduler.upstreams().get(ENGINE).expect("a known engine");

    for millis in [5_000, 5_500, 8_000, 60_000] {
        let ratio = expected(status, millis) / GAP_MICROS;
        assert!((0.7..1.4).contains(&ratio), "{millis}: {ratio}");
    }
}

/// Guards against an engine without requests being avoided for ever on account of its last report.
#[test]
fn a_reported_pace_ends_without_further_reports() {
    let mut pace = HostPace::default();
    (0..100).for_each(|step| pace.record(percent(1_000.0), Moment::from_millis(step * 600)));

    assert!(pace.now(Moment::from_millis(60_000)) > 5.0);
    assert_eq!(pace.now(Moment::from_millis(66_000)), 1.0);
}

/// Guards against the pace of a VM being kept for the next incarnation of an upstream, which may run
/// on another one.
#[test]
fn an_upstream_that_restarts_under_its_name_has_no_pace() {
    let mut pool = BurstPool::new();
    let mut first = source("e1", 1);
    first.incarnation = 1;
    pool.handle_event(PoolEvent::Sources(vec![first]), 0);
    let known = |pool: &BurstPool| {
        let upstreams = pool.scheduler.upstreams();
        let index = upstreams.find(&"e1".into()).expect("a known upstream");
        (index, upstreams.get(index).expect("a known upstream").pace.last())
    };
    let (index, _) = known(&pool);
    pool.handle_event(PoolEvent::LoadReported { upstream: index, report: pace_report(250.0) }, 10);
    assert!(known(&pool).1.is_some());

    pool.handle_event(PoolEvent::IncarnationReported { upstream: index, incarnation: 2 }, 20);

    let (later, pace) = known(&pool);
    assert!(later != index);
    assert_eq!(pace, None);
}

#[test]
fn a_pool_without_the_part_ignores_paces() {
    let mut plan = urgency_plan();
    plan.mechanisms = MechanismSet::without(&[Mechanism::HostPace]);
    let mut pool = BurstPool::with_plan(plan);
    pool.handle_event(PoolEvent::LoadReported { upstream: ENGINE, report: pace_report(250.0) }, 10);
    pool.handle_event(PoolEvent::PaceReported { upstream: ENGINE, pace: percent(250.0) }, 10);
    pool.handle_event(PoolEvent::Arrived(arrived(1, 0, 10, 10)), 10);

    let status = pool.scheduler.upstreams().get(ENGINE).expect("a known engine");

    assert_eq!(status.pace.last(), None);
}

/// The engine, numbered from 0, that the next request goes to in a pool of two.
fn placed_on(pool: &mut BurstPool, id: u64, millis: u64) -> Option<u32> {
    let actions = pool.arrive(id, 0, millis);
    actions.iter().find_map(|action| match action {
        PoolAction::Dispatch { upstream, .. } => Some(upstream.0),
        PoolAction::Refuse { .. } => None,
    })
}

fn two_engines() -> BurstPool {
    let mut plan = urgency_plan();
    plan.first_guess = 4;
    let mut pool = BurstPool::with_plan(plan);
    pool.handle_event(PoolEvent::Sources(vec![source("e1", 1), source("e2", 2)]), 0);
    pool
}

/// Guards against requests being sent to an engine whose VM is known to be slow while another engine
/// is free, whether the daemon learned of it itself or from another one.
#[rstest]
#[case::from_the_engine(true)]
#[case::from_another_daemon(false)]
fn an_engine_on_a_slow_vm_is_used_last(#[case] is_own_report: bool) {
    let mut pool = two_engines();
    let event = match is_own_report {
        true => PoolEvent::LoadReported { upstream: ENGINE, report: pace_report(250.0) },
        false => {
            let at = Moment::from_millis(90);
            let pace = PeerPace::new(percent(250.0), at, Moment::from_millis(95));
            let rows = vec![("e1".into(), PeerWork { pace, ..PeerWork::default() })];
            let (group, waiting) = (FleetGroup::default(), PeerWaiting::default());
            PoolEvent::PeerLoad { rows, group, waiting }
        }
    };
    pool.handle_event(event, 100);

    let placed = (1..=3).map(|id| {
        let placed = placed_on(&mut pool, id, 100 + 2 * id);
        pool.complete(id, 101 + 2 * id);
        placed
    });
    let placed: Vec<_> = placed.collect();

    assert_eq!(placed, [Some(1); 3]);
}

/// Guards against an engine getting no requests for ever because it once reported a high pace; it
/// cannot report another one without any.
#[test]
fn an_engine_that_reported_a_high_pace_is_used_again() {
    let mut pool = two_engines();
    for step in 0..50 {
        let report = pace_report(1_000.0);
        pool.handle_event(PoolEvent::LoadReported { upstream: ENGINE, report }, step * 600);
    }

    let placed = (1..=40).map(|id| {
        let placed = placed_on(&mut pool, id, 36_000 + id * 50);
        pool.complete(id, 36_000 + id * 50 + 40);
        placed
    });

    assert!(placed.filter(|placed| *placed == Some(0)).count() > 0);
}

#[test]
fn a_pace_in_a_message_is_read_with_its_age() {
    let at = Moment::from_millis(10_000);
    let sent = PeerPace::new(percent(250.0), at, Moment::from_millis(10_190));

    let (pace, seen) = sent.read(Moment::from_millis(20_190)).expect("a pace");

    assert_eq!((pace, seen), (percent(250.0), Moment::from_millis(19_990)));
    assert_eq!(PeerPace::new(percent(250.0), at, Moment::from_millis(12_000)), PeerPace::default());
    assert_eq!(PeerPace::default().read(at), None);
}

/// Guards against two daemons that keep an outdated pace in use by repeating each other's messages.
#[test]
fn a_pace_from_another_daemon_is_not_sent_on() {
    let mut pace = HostPace::default();
    pace.record_remote(percent(250.0), Moment::from_millis(100));

    assert_eq!(pace.own_report(Moment::from_millis(110)), PeerPace::default());
}

/// Guards against requests being late on slow VMs while others are free. Prints the shares for the
/// design note.
#[rstest]
#[case::one_daemon(1)]
#[case::seven_daemons(7)]
#[case::sixty_three_daemons(63)]
fn more_callers_are_served_in_time_on_changing_vms(#[case] daemons: usize) {
    let share = |disabled: &[Mechanism], load: f64, seed: u64| {
        let load = SizedLoad { seed, ..SizedLoad::on_changing_hosts(daemons, load) };
        let disabled = MechanismSet::without(disabled);
        in_time_fraction(&simulate_with(&load, |plan| plan.mechanisms = disabled.clone()))
    };
    let mean = |disabled: &[Mechanism], load: f64| {
        (1..=3).map(|seed| share(disabled, load, seed)).sum::<f64>() / 3.0
    };

    for load in [0.6, 0.8, 1.0] {
        let (with, without) = (mean(&[], load), mean(&[Mechanism::HostPace], load));
        println!(
            "{daemons} daemons, load {load}: {with:.4} in time, without the part {without:.4}"
        );
        assert!(with >= without - 0.005, "{daemons} {load}: {with} {without}");
    }
}
