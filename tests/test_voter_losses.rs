//! After every change of its machines that a deployment allows, the set of voters bears the next loss
//! of disks that it allows.

use crate::slow_voters::{SlowFleet, VoterSetup};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::time::Duration;

/// Time after its start until which a machine counts as lost, where one disk or two may be lost at
/// once.
const CATCH_UP: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(6)];
/// Time within which a new fleet has elected a leader.
const FOUNDING_TIME: Duration = Duration::from_secs(3);
/// Steps of one schedule.
const STEPS: usize = 10;
/// Maximum number of machines that run.
const MAX_MACHINES: usize = 7;

/// A change of the machines after which the next one may come. What is lost without a signal may be as
/// many machines at once as the fleet tolerates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetStep {
    /// A machine is added.
    Add,
    /// The successor starts first; its predecessor gets SIGTERM once the successor has caught up.
    ReplaceAfter,
    /// A machine is removed without a signal, and its successor starts later.
    ReplaceBefore,
    /// A machine loses its disk and comes back.
    LoseDisk,
    /// A machine loses power and comes back with its disk.
    LosePower,
    /// A machine is cut off from all others for a while.
    CutOff,
    /// A process gets SIGTERM and starts again.
    Restart,
    /// All processes get SIGTERM in turn, each once the one before is back.
    RollingRestart,
}

pub const ALL_STEPS: [FleetStep; 8] = [
    FleetStep::Add,
    FleetStep::ReplaceAfter,
    FleetStep::ReplaceBefore,
    FleetStep::LoseDisk,
    FleetStep::LosePower,
    FleetStep::CutOff,
    FleetStep::Restart,
    FleetStep::RollingRestart,
];

/// A fleet, the number of disks that may be lost at once, and what has been done to it.
pub struct LossPlay {
    pub fleet: SlowFleet,
    tolerance: usize,
    catch_up: Duration,
    pub rng: ChaCha8Rng,
    pub done: Vec<String>,
}

impl LossPlay {
    fn new(voters: usize, tolerance: usize, seed: u64) -> Self {
        let setup = VoterSetup { voters, table_bytes: 1_000, seed, ..VoterSetup::default() };
        Self::with_setup(setup, tolerance)
    }

    /// A fleet as `setup` says, once it has elected a leader.
    pub fn with_setup(setup: VoterSetup, tolerance: usize) -> Self {
        let seed = setup.seed;
        let mut fleet = SlowFleet::new(setup);
        fleet.run_for(FOUNDING_TIME);
        let catch_up = CATCH_UP[tolerance - 1];
        let rng = ChaCha8Rng::seed_from_u64(seed);
        LossPlay { fleet, tolerance, catch_up, rng, done: vec![format!("seed {seed}")] }
    }

    fn millis(&mut self, min: u64, max: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(min..=max))
    }

    /// A running machine; often the one that leads.
    fn target(&mut self) -> usize {
        let running = self.fleet.running();
        match self.fleet.leader() {
            Some(leader) if self.rng.random_bool(0.4) => leader,
            _ => *running.choose(&mut self.rng).expect("a running machine"),
        }
    }

    /// As many machines as may be lost at once, or fewer.
    fn targets(&mut self) -> Vec<usize> {
        let count = self.rng.random_range(1..=self.tolerance);
        let mut targets: Vec<usize> = (0..count).map(|_| self.target()).collect();
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    pub fn apply(&mut self, step: FleetStep) {
        let target = self.target();
        let targets = self.targets();
        let leader = self.fleet.leader();
        self.done.push(format!("{step:?} {target} or {targets:?} (leader {leader:?})"));
        match step {
            FleetStep::Add => {
                if self.fleet.running().len() < MAX_MACHINES {
                    self.fleet.add_machine();
                    self.fleet.run_for(self.catch_up);
                }
            }
            FleetStep::ReplaceAfter => {
                self.fleet.add_machine();
                let pause = self.catch_up + self.millis(0, 2_000);
                self.fleet.run_for(pause);
                self.terminate(target, None);
            }
            FleetStep::ReplaceBefore => {
                targets.iter().for_each(|target| self.fleet.remove(*target));
                let pause = self.millis(0, 2_000);
                self.fleet.run_for(pause);
                targets.iter().for_each(|_| _ = self.fleet.add_machine());
                self.fleet.run_for(self.catch_up);
            }
            FleetStep::LoseDisk => {
                let pause = self.millis(500, 2_000);
                targets.iter().for_each(|target| self.fleet.wipe(*target, pause));
                self.fleet.run_for(pause + self.catch_up);
            }
            FleetStep::LosePower => {
                let pause = self.millis(300, 8_000);
                targets.iter().for_each(|target| self.fleet.stop(*target, pause));
                self.fleet.run_for(pause + self.catch_up);
            }
            FleetStep::CutOff => {
                let pause = self.millis(500, 8_000);
                targets.iter().for_each(|target| self.fleet.cut_off(*target, true));
                self.fleet.run_for(pause);
                targets.iter().for_each(|target| self.fleet.cut_off(*target, false));
                self.fleet.run_for(self.catch_up);
            }
            FleetStep::Restart => {
                let pause = self.millis(300, 1_500);
                self.terminate(target, Some(pause));
                self.fleet.run_for(self.catch_up);
            }
            FleetStep::RollingRestart => {
                let mut running = self.fleet.running();
                running.shuffle(&mut self.rng);
                for machine in running {
                    let pause = self.millis(300, 1_500);
                    self.terminate(machine, Some(pause));
                }
                self.fleet.run_for(self.catch_up);
            }
        }
    }

    /// Sends SIGTERM and waits for the end, and for the next start if there is one.
    fn terminate(&mut self, machine: usize, pause: Option<Duration>) {
        self.fleet.terminate(machine, pause);
        let stop_time = Duration::from_millis(650);
        self.fleet.run_for(stop_time + pause.unwrap_or_default());
    }

    /// Number of further disks whose loss leaves a quorum of running voters with their disks.
    fn losses_borne(&self) -> Option<usize> {
        let voters = self.fleet.voter_machines()?;
        let running = voters.iter().filter(|(_, machine)| machine.is_some()).count();
        running.checked_sub(voters.len() / 2 + 1)
    }

    fn check(&mut self) {
        if self.fleet.leader().is_none() {
            // A voter that has led stops without a successor: its followers elect one.
            self.fleet.run_for(Duration::from_millis(1_500));
        }
        let borne = self.losses_borne();
        assert!(
            borne.is_some_and(|borne| borne >= self.tolerance),
            "bears {borne:?} losses of {} after {:#?}; voters {:?}",
            self.tolerance,
            self.done,
            self.fleet.voter_machines()
        );
    }
}

/// Guards against a set of voters that a lost disk leaves without a quorum, although the losses before
/// it were those that the deployment allows.
#[rstest]
#[case::three_voters(3, 1)]
#[case::four_voters(4, 1)]
#[case::five_voters(5, 1)]
#[case::five_voters_of_which_two_may_go(5, 2)]
#[case::nine_voters_of_which_two_may_go(9, 2)]
fn the_voters_bear_the_next_loss(#[case] voters: usize, #[case] tolerance: usize) {
    for seed in 0..60 {
        let mut play = LossPlay::new(voters, tolerance, seed);
        for _ in 0..STEPS {
            let step = *ALL_STEPS.choose(&mut play.rng).expect("a step");
            play.apply(step);
            play.check();
        }
    }
}

/// Guards against two predecessors that stay in a set of five when both were replaced as planned.
#[test]
fn two_planned_replacements_leave_no_predecessor() {
    let mut play = LossPlay::new(3, 1, 1);
    play.fleet.add_machine();
    play.fleet.run_for(play.catch_up);
    play.fleet.add_machine();
    play.fleet.run_for(play.catch_up);
    play.terminate(2, None);
    play.fleet.run_for(Duration::from_secs(7));

    play.terminate(1, None);

    play.check();
}

/// Guards against a set of three that shrinks to two while a voter restarts.
#[test]
fn three_voters_stay_three_while_each_restarts() {
    let mut play = LossPlay::new(3, 1, 2);
    for machine in 0..3 {
        play.fleet.terminate(machine, Some(Duration::from_millis(900)));
        for _ in 0..20 {
            play.fleet.run_for(Duration::from_millis(100));
            let voters = play.fleet.voter_machines();
            assert!(voters.is_none_or(|voters| voters.len() == 3), "after {machine} stopped");
        }
    }
}
