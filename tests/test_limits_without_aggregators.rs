//! Organisation limits of a large fleet whose aggregators are replaced while an organisation asks for
//! many times its limit.

use rstest::rstest;
use tarragonknot::fleet_state::FleetRole;
use tarragonknot::policy::LimitTolerance;

use crate::fleet_play::{FleetSimulation, LoadOutcome, RATE};

/// Tokens of one request.
const COST: u32 = 4_000;
/// Fraction by which the limit may be exceeded.
const OVERAGE: f64 = 0.1;
/// Tokens by which the limit may be exceeded besides.
const SLACK: u64 = 45_000;
/// Length of the window in which the limit holds, in seconds.
const WINDOW_SECONDS: usize = 8;

/// A way in which daemons go and come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Churn {
    None,
    /// A third of the aggregators are killed every other second and start again a second later.
    ThirdOfAggregatorsKilled,
    /// All aggregators are killed every fourth second and start again a second later.
    AllAggregatorsKilled,
    /// A fifth of the aggregators announce each second that they leave, are gone a second later,
    /// and start again another second later.
    FifthOfAggregatorsLeave,
    /// One aggregator is killed each second and starts again a second later.
    OneAggregatorKilled,
    /// A twelfth of all daemons are killed each second and start again a second later.
    TwelfthOfDaemonsKilled,
    /// A third of the aggregators are cut off from all other daemons every other second, for a
    /// second, and go on admitting requests.
    ThirdOfAggregatorsCutOff,
}

/// A fleet under churn, and the daemons to stop and start next.
struct ChurnPlay {
    fleet: FleetSimulation,
    churn: Churn,
    /// Daemons to kill in the next second.
    leaving: Vec<usize>,
    /// Daemons to start in the next second.
    stopped: Vec<usize>,
}

impl ChurnPlay {
    fn new(daemons: usize, churn: Churn, seed: u64) -> Self {
        let mut fleet = FleetSimulation::lossless(daemons, seed);
        fleet.set_tolerance(LimitTolerance { overage: OVERAGE, slack: SLACK });
        fleet.run(2_400, true);
        ChurnPlay { fleet, churn, leaving: Vec::new(), stopped: Vec::new() }
    }

    fn aggregators(&self) -> Vec<usize> {
        let now = self.fleet.now;
        let daemons = self.fleet.daemons.iter().enumerate();
        let aggregators = daemons.filter(|(_, daemon)| {
            daemon.is_running && !daemon.has_left && daemon.fleet.role(now) == FleetRole::Aggregator
        });
        aggregators.map(|(number, _)| number).collect()
    }

    /// Applies the churn of the second `second`.
    fn change(&mut self, second: usize) {
        self.fleet.is_cut_off.clear();
        for number in std::mem::take(&mut self.stopped) {
            self.fleet.start(number);
        }
        for number in std::mem::take(&mut self.leaving) {
            self.fleet.kill(number);
            self.stopped.push(number);
        }
        let aggregators = self.aggregators();
        let every = |nth: usize| aggregators.iter().copied().skip(second % nth).step_by(nth);
        let affected: Vec<usize> = match self.churn {
            Churn::None => Vec::new(),
            Churn::ThirdOfAggregatorsKilled | Churn::ThirdOfAggregatorsCutOff => {
                if second.is_multiple_of(2) { every(3).collect() } else { Vec::new() }
            }
            Churn::AllAggregatorsKilled => {
                if second.is_multiple_of(4) {
                    every(1).collect()
                } else {
                    Vec::new()
                }
            }
            Churn::FifthOfAggregatorsLeave => every(5).collect(),
            Churn::OneAggregatorKilled => every(aggregators.len().max(1)).collect(),
            Churn::TwelfthOfDaemonsKilled => {
                (0..self.fleet.daemons.len()).skip(second % 12).step_by(12).collect()
            }
        };
        for number in affected {
            match self.churn {
                Churn::FifthOfAggregatorsLeave => {
                    self.fleet.daemons[number].has_left = true;
                    self.leaving.push(number);
                }
                Churn::ThirdOfAggregatorsCutOff => {
                    self.fleet.is_cut_off.insert(number);
                }
                _ => {
                    self.fleet.kill(number);
                    self.stopped.push(number);
                }
            }
        }
    }

    /// Offers `load_factor` times the limit for some seconds while daemons go and come back.
    fn offer(&mut self, load_factor: f64, seconds: usize) -> LoadOutcome {
        let daemons = self.fleet.daemons.len();
        let mut outcome = LoadOutcome::default();
        for second in 0..seconds {
            self.change(second);
            let part = self
                .fleet
                .offer_load((load_factor, COST), 1, |draw| (draw * daemons as f64) as usize);
            outcome.admitted.extend(part.admitted);
            outcome.requests += part.requests;
            outcome.refused += part.refused;
        }
        outcome
    }
}

/// Guards against exceeding the limit while daemons, aggregators above all, are lost and replaced:
/// tokens admitted during the change of an aggregator were missing from the sums of all daemons.
#[rstest]
fn a_change_of_aggregator_loses_no_admissions(
    #[values(74, 291)] daemons: usize,
    #[values(
        Churn::None,
        Churn::ThirdOfAggregatorsKilled,
        Churn::AllAggregatorsKilled,
        Churn::FifthOfAggregatorsLeave,
        Churn::OneAggregatorKilled,
        Churn::TwelfthOfDaemonsKilled,
        Churn::ThirdOfAggregatorsCutOff
    )]
    churn: Churn,
    #[values(1, 2, 3)] seed: u64,
    #[values(3.0, 6.0)] load_factor: f64,
) {
    let mut play = ChurnPlay::new(daemons, churn, seed);
    play.offer(0.5, 4);

    let outcome = play.offer(load_factor, 16);

    let window = (RATE * WINDOW_SECONDS as u64 + RATE) as f64;
    let allowed = window * (1.0 + OVERAGE) + SLACK as f64;
    let admitted = outcome.max_admitted(WINDOW_SECONDS) as f64;
    assert!(admitted <= allowed, "{:.3} of what is allowed: {outcome:?}", admitted / allowed);
}

/// Guards against refusing an organisation below its limit while aggregators change, since admissions
/// are estimated where they are counted as well.
#[rstest]
fn a_change_of_aggregator_refuses_little_below_the_limit(
    #[values(74, 291)] daemons: usize,
    #[values(
        Churn::ThirdOfAggregatorsKilled,
        Churn::FifthOfAggregatorsLeave,
        Churn::OneAggregatorKilled
    )]
    churn: Churn,
) {
    let mut play = ChurnPlay::new(daemons, churn, 1);
    play.offer(0.5, 2);

    let outcome = play.offer(0.7, 12);

    assert!(outcome.refused * 50 <= outcome.requests, "{outcome:?}");
}

/// Guards against an aggregator that takes over again and charges what the other groups admitted since
/// it last did.
#[test]
fn an_aggregator_that_takes_over_again_charges_nothing_twice() {
    let mut play = ChurnPlay::new(74, Churn::None, 1);
    let members_of_the_first_group = |draw: f64| 1 + (draw * 7.0) as usize;
    let others = |draw: f64| 20 + (draw * 50.0) as usize;
    let mut outcome = LoadOutcome::default();
    for second in 0..16 {
        match second {
            2 | 11 => play.fleet.kill(0),
            3 => play.fleet.start(0),
            _ => {}
        }
        let part = match second < 11 {
            true => play.fleet.offer_load((0.8, 1_000), 1, others),
            false => play.fleet.offer_load((0.8, 1_000), 1, members_of_the_first_group),
        };
        outcome.requests += part.requests;
        outcome.refused += part.refused;
    }

    assert!(outcome.refused * 50 <= outcome.requests, "{outcome:?}");
}
