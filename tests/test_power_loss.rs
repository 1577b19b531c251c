//! Durability of an acknowledged edit on real data folders: disks are lost and every other machine
//! loses power right after the acknowledgement.

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

/// The edit that is acknowledged to the operator.
const EDIT: &str = "the acknowledged edit";
/// Virtual time within which the voters must elect a leader.
const ELECTION_TIME: Duration = Duration::from_secs(10);
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

/// A voter with its own data folder. It sends messages only after syncing what they acknowledge.
struct FolderVoter {
    folder: TempDir,
    store: DataFolder,
    core: ReplicaCore<String>,
    hard_state: HardState,
    /// Bytes of the log that have been synced.
    synced_len: u64,
    /// The synced contents of the file of the commit index.
    synced_commit: Vec<u8>,
}

impl FolderVoter {
    fn found(number: usize, count: usize, rng: &mut ChaCha8Rng) -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let mut store = DataFolder::open(folder.path()).expect("open");
        store.load::<String>(&Logger::root(Discard, o!())).expect("load");
        let snapshot = founding_snapshot(count);
        store
            .replace_with_snapshot::<String>(&snapshot, &HardState::default(), &[])
            .expect("saved");
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
        let synced_len = log_len(folder.path());
        let synced_commit = commit_file(folder.path());
        let hard_state = state.hard_state;
        FolderVoter { folder, store, core, hard_state, synced_len, synced_commit }
    }

    /// Syncs the commit index, as the control loop does some time after it has risen.
    fn sync_commit_index(&mut self) {
        if self.store.sync_commit_index().expect("synced") {
            self.synced_commit = commit_file(self.folder.path());
        }
    }

    /// Persists what an output requires; returns its messages and the committed commands.
    fn persist(
        &mut self,
        output: ReplicaOutput<String>,
    ) -> (Vec<ReplicaEnvelope<String>>, Vec<String>) {
        if let Some(hard_state) = &output.hard_state {
            self.hard_state = hard_state.clone();
        }
        if output.must_sync() {
            self.store.save(&output, &self.hard_state).expect("saved");
            self.synced_len = log_len(self.folder.path());
        }
        let committed: Vec<String> =
            output.committed.iter().filter_map(|entry| command(&entry.payload)).collect();
        if let Some(last) = output.committed.last() {
            // Not synced: a lost commit index is determined again once there is a leader.
            self.store.write_commit_index(last.at.index).expect("commit index written");
        }
        (output.messages, committed)
    }

    /// Simulates a power loss: unsynced bytes are lost, apart from the first `torn` of them.
    fn lose_power(self, torn: u64) -> TempDir {
        let FolderVoter { folder, store, synced_len, synced_commit, .. } = self;
        drop(store);
        std::fs::write(folder.path().join("commit.bin"), synced_commit).expect("written");
        let file = std::fs::File::options().write(true).open(folder.path().join("log.bin"));
        let length = log_len(folder.path());
        file.expect("the log").set_len((synced_len + torn).min(length)).expect("truncated");
        folder
    }
}

fn command(payload: &EntryPayload<String>) -> Option<String> {
    if let EntryPayload::Command(command) = payload { Some(command.clone()) } else { None }
}

fn commit_file(folder: &Path) -> Vec<u8> {
    std::fs::read(folder.join("commit.bin")).expect("the commit index")
}

fn log_len(folder: &Path) -> u64 {
    std::fs::metadata(folder.join("log.bin")).map_or(0, |file| file.len())
}

/// Voters in virtual time. Messages to or from those in `isolated` are lost.
struct VoterFleet {
    voters: BTreeMap<usize, FolderVoter>,
    isolated: Vec<usize>,
    now: Moment,
    rng: ChaCha8Rng,
}

impl VoterFleet {
    fn found(count: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(9);
        let voters = (0..count).map(|number| (number, FolderVoter::found(number, count, &mut rng)));
        VoterFleet { voters: voters.collect(), isolated: Vec::new(), now: Moment(1), rng }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |voter: &&usize| self.voters[*voter].core.role() == ReplicaRole::Leader;
        self.voters.keys().find(leads).copied()
    }

    /// Delivers messages until none is left; returns the commands that any voter saw committed.
    fn deliver(&mut self, from: usize, output: ReplicaOutput<String>) -> Vec<String> {
        let mut committed = Vec::new();
        let mut queue = VecDeque::from([(from, output)]);
        while let Some((number, output)) = queue.pop_front() {
            let Some(voter) = self.voters.get_mut(&number) else { continue };
            let (messages, mut seen) = voter.persist(output);
            committed.append(&mut seen);
            for envelope in messages {
                let to = (0..9).find(|number| voter_id(*number) == envelope.to);
                let Some(to) =
                    to.filter(|to| !self.isolated.contains(to) && !self.isolated.contains(&number))
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

    /// Advances virtual time by `ELECTION_TIME`; returns the commands committed meanwhile.
    fn run(&mut self) -> Vec<String> {
        let mut committed = Vec::new();
        let deadline = self.now + ELECTION_TIME;
        while self.now < deadline {
            self.now = self.now + TICK;
            for number in self.voters.keys().copied().collect::<Vec<usize>>() {
                let Some(voter) = self.voters.get_mut(&number) else { continue };
                voter.sync_commit_index();
                let output = voter.core.tick(self.now, &mut self.rng);
                committed.append(&mut self.deliver(number, output));
            }
        }
        committed
    }
}

/// Guards against losing an acknowledged edit. The leader acknowledges it as soon as a quorum has
/// it; at that moment voters' disks are lost (one of three, two of five) and every other machine,
/// including daemons and voters outside that quorum, loses power, so unsynced data is gone or torn.
/// This happens if an acknowledgement is sent before its sync, or if a quorum counts a voter that
/// has written but not synced.
#[rstest]
fn an_acknowledged_edit_outlives_the_loss_of_disks_and_of_all_power(
    #[values((3, 1), (5, 2))] (count, lost): (usize, usize),
    #[values(0, 1, 2)] first_lost: usize,
    #[values(0, 7, 10_000)] torn: u64,
) {
    let mut fleet = VoterFleet::found(count);
    fleet.run();
    let leader = fleet.leader().expect("a leader");
    // Only a minimal quorum has the edit when it is acknowledged.
    let followers: Vec<usize> = (0..count).filter(|number| *number != leader).collect();
    fleet.isolated = followers[count / 2..].to_vec();
    let now = fleet.now;
    let voter = fleet.voters.get_mut(&leader).expect("the leader");
    let (_, output) = voter.core.propose(vec![EDIT.to_owned()], now).expect("the voter leads");
    let acknowledged = fleet.deliver(leader, output);
    assert!(acknowledged.contains(&EDIT.to_owned()), "a quorum acknowledged it");

    // The first lost disk is that of each holder of the edit in turn: the leader, then a follower.
    let holders: Vec<usize> = [leader].into_iter().chain(followers).collect();
    let wiped: Vec<usize> = (0..lost).map(|step| holders[(first_lost + step) % count]).collect();
    let voters = std::mem::take(&mut fleet.voters);
    fleet.now = fleet.now + Duration::from_secs(1);
    fleet.isolated.clear();
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

/// Guards against voters that hand out an older table after a loss of power everywhere: an edit that
/// has been in force for seconds is the last one, so no later sync covers the index up to which
/// entries are committed.
#[rstest]
fn what_is_committed_is_known_after_a_loss_of_all_power(#[values(3, 6)] count: usize) {
    let mut fleet = VoterFleet::found(count);
    fleet.run();
    let leader = fleet.leader().expect("a leader");
    let now = fleet.now;
    let voter = fleet.voters.get_mut(&leader).expect("the leader");
    let (index, output) = voter.core.propose(vec![EDIT.to_owned()], now).expect("it leads");
    fleet.deliver(leader, output);
    fleet.run();

    let voters = std::mem::take(&mut fleet.voters);
    let restarted = voters.into_iter().map(|(number, voter)| {
        FolderVoter::start(voter.lose_power(0), number, fleet.now, &mut fleet.rng)
    });
    let known: Vec<u64> = restarted.map(|voter| voter.core.commit_index()).collect();

    assert!(known.iter().all(|known| *known >= index), "{known:?} of {index}");
}
