//! The moment of an acknowledgement on real data folders: one disk is lost and every other machine loses power.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use slog::{Discard, Logger, o};
use std::collections::{BTreeMap, VecDeque};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tarragonknot::policy::Moment;
use tarragonknot::replica::{
    EntryPayload, FleetId, FleetMembership, HardState, InitialState, LogPosition, ReplicaConfig,
    ReplicaCore, ReplicaEnvelope, ReplicaOutput, ReplicaRole, SnapshotRecord, VoterId,
};
use tarragonknot::store::DataFolder;
use tempfile::TempDir;

/// What the operator was told is accepted.
const EDIT: &str = "the acknowledged edit";
/// Virtual time within which voters must have a leader.
const LEADER_TIME: Duration = Duration::from_secs(10);
const TICK: Duration = Duration::from_millis(20);

fn voter_id(number: usize) -> VoterId {
    VoterId { daemon: format!("core-{number}").as_str().into(), folder_id: 1 }
}

fn founding_snapshot(count: usize) -> SnapshotRecord {
    let address = |number| std::net::SocketAddr::from(([10, 0, 0, number as u8 + 1], 7_600));
    let voters = (0..count).map(|number| (voter_id(number), address(number))).collect();
    let membership = FleetMembership { voters, fleet: FleetId(1), ..FleetMembership::default() };
    SnapshotRecord { at: LogPosition::default(), membership, state: Arc::from("") }
}

/// A voter on a folder of its own. What it promises goes out only after it was synced.
struct FolderVoter {
    folder: TempDir,
    store: DataFolder,
    core: ReplicaCore<String>,
    hard: HardState,
    /// Bytes of its log that a sync covered.
    synced: u64,
}

impl FolderVoter {
    fn found(number: usize, count: usize, rng: &mut ChaCha8Rng) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let mut store = DataFolder::open(folder.path()).expect("open");
        store.load::<String>(&Logger::root(Discard, o!())).expect("load");
        let snapshot = founding_snapshot(count);
        store.replace_with_snapshot::<String>(&snapshot, &HardState::default(), &[]).expect("kept");
        drop(store);
        Self::start(folder, number, Moment(1), rng)
    }

    fn start(folder: TempDir, number: usize, now: Moment, rng: &mut ChaCha8Rng) -> Self {
        let mut store = DataFolder::open(folder.path()).expect("open");
        let state = store.load::<String>(&Logger::root(Discard, o!())).expect("load");
        let start = InitialState {
            id: voter_id(number),
            hard_state: state.hard_state.clone(),
            snapshot: state.snapshot.expect("the founding snapshot"),
            entries: state.entries,
            commit_index: state.commit_index,
        };
        let core = ReplicaCore::new(ReplicaConfig::default(), start, now, rng);
        let synced = log_length(folder.path());
        FolderVoter { folder, store, core, hard: state.hard_state, synced }
    }

    /// Keeps what an output asks for, and gives its messages and what is committed.
    fn settle(
        &mut self,
        output: ReplicaOutput<String>,
    ) -> (Vec<ReplicaEnvelope<String>>, Vec<String>) {
        if let Some(hard) = &output.hard_state {
            self.hard = hard.clone();
        }
        if output.must_sync() {
            self.store.save(&output, &self.hard).expect("kept");
            self.synced = log_length(self.folder.path());
        }
        let committed: Vec<String> =
            output.committed.iter().filter_map(|entry| command(&entry.payload)).collect();
        if let Some(last) = output.committed.last() {
            // Not synced: a note that is lost is found out anew.
            self.store.write_commit_index::<String>(last.at.index).expect("noted");
        }
        (output.messages, committed)
    }

    /// Loses power: what no sync covered is gone, but for some bytes of it.
    fn lose_power(self, torn: u64) -> TempDir {
        let FolderVoter { folder, store, synced, .. } = self;
        drop(store);
        let file = std::fs::File::options().write(true).open(folder.path().join("log.bin"));
        let length = log_length(folder.path());
        file.expect("the log").set_len((synced + torn).min(length)).expect("cut");
        folder
    }
}

fn command(payload: &EntryPayload<String>) -> Option<String> {
    if let EntryPayload::Command(command) = payload { Some(command.clone()) } else { None }
}

fn log_length(folder: &Path) -> u64 {
    std::fs::metadata(folder.join("log.bin")).map_or(0, |file| file.len())
}

/// Voters in virtual time. Messages to or from those in `deaf` are lost.
struct VoterFleet {
    voters: BTreeMap<usize, FolderVoter>,
    deaf: Vec<usize>,
    now: Moment,
    rng: ChaCha8Rng,
}

impl VoterFleet {
    fn found(count: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(9);
        let voters = (0..count).map(|number| (number, FolderVoter::found(number, count, &mut rng)));
        VoterFleet { voters: voters.collect(), deaf: Vec::new(), now: Moment(1), rng }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |voter: &&usize| self.voters[*voter].core.role() == ReplicaRole::Leader;
        self.voters.keys().find(leads).copied()
    }

    /// Delivers messages until none is left; gives what anybody saw committed.
    fn deliver(&mut self, from: usize, output: ReplicaOutput<String>) -> Vec<String> {
        let mut committed = Vec::new();
        let mut queue = VecDeque::from([(from, output)]);
        while let Some((number, output)) = queue.pop_front() {
            let Some(voter) = self.voters.get_mut(&number) else { continue };
            let (messages, mut seen) = voter.settle(output);
            committed.append(&mut seen);
            for envelope in messages {
                let to = (0..9).find(|number| voter_id(*number) == envelope.to);
                let Some(to) =
                    to.filter(|to| !self.deaf.contains(to) && !self.deaf.contains(&number))
                else {
                    continue;
                };
                let Some(receiver) = self.voters.get_mut(&to) else { continue };
                let output = receiver.core.receive(envelope, self.now, &mut self.rng);
                queue.push_back((to, output));
            }
        }
        committed
    }

    /// Lets time pass until there is a leader, and some more for what it commits. Gives what was committed.
    fn run(&mut self) -> Vec<String> {
        let mut committed = Vec::new();
        let until = self.now + LEADER_TIME;
        while self.now < until {
            self.now = self.now + TICK;
            for number in self.voters.keys().copied().collect::<Vec<usize>>() {
                let Some(voter) = self.voters.get_mut(&number) else { continue };
                let output = voter.core.tick(self.now, &mut self.rng);
                committed.append(&mut self.deliver(number, output));
            }
        }
        committed
    }
}

/// Symptom: an edit that was acknowledged is gone after the last fault of a day. Sequence: the leader acknowledges it as
/// soon as a quorum has it; at that moment one voter's disk is lost, and every other machine, voters that do not count
/// and daemons among them, loses power: what no sync covered is gone or torn. Cause: a promise that goes out before
/// its sync, or a quorum that counts a voter that has written but not synced.
#[rstest]
fn an_acknowledged_edit_outlives_the_loss_of_disks_and_of_all_power(
    #[values((3, 1), (5, 2))] (count, lost): (usize, usize),
    #[values(0, 1, 2)] first_lost: usize,
    #[values(0, 7, 10_000)] torn: u64,
) {
    let mut fleet = VoterFleet::found(count);
    fleet.run();
    let leader = fleet.leader().expect("a leader");
    // As few voters as may be have the edit when it is acknowledged.
    let followers: Vec<usize> = (0..count).filter(|number| *number != leader).collect();
    fleet.deaf = followers[count / 2..].to_vec();
    let now = fleet.now;
    let voter = fleet.voters.get_mut(&leader).expect("the leader");
    let (_, output) = voter.core.propose(vec![EDIT.to_owned()], now).expect("it leads");
    let acknowledged = fleet.deliver(leader, output);
    assert!(acknowledged.contains(&EDIT.to_owned()), "a quorum acknowledged it");

    // The lost disks are those of holders first, in turn: the leader's, a follower's.
    let holders: Vec<usize> = [leader].into_iter().chain(followers).collect();
    let wiped: Vec<usize> = (0..lost).map(|step| holders[(first_lost + step) % count]).collect();
    let voters = std::mem::take(&mut fleet.voters);
    fleet.now = fleet.now + Duration::from_secs(1);
    fleet.deaf.clear();
    for (number, voter) in voters {
        let folder = voter.lose_power(torn);
        if !wiped.contains(&number) {
            let voter = FolderVoter::start(folder, number, fleet.now, &mut fleet.rng);
            fleet.voters.insert(number, voter);
        }
    }

    let committed = fleet.run();

    let leader = fleet.leader().expect("a leader after the fault");
    let voter = &fleet.voters[&leader];
    assert!(committed.contains(&EDIT.to_owned()), "leader {leader} knows {committed:?}");
    assert!(voter.core.commit_index() >= 1);
}
