//! Replication under seeded fault schedules, and mutation tests that show the checks can fail.

use crate::schedule::{BrokenRule, Schedule};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Arc;
use tarragonknot::policy::Moment;
use tarragonknot::replica::{
    EntryPayload, FleetId, FleetMembership, HardState, InitialState, LogEntry, LogPosition,
    ReplicaConfig, ReplicaCore, ReplicaEnvelope, ReplicaMessage, SnapshotPart, SnapshotRecord,
    VoterId,
};

const CI_SEEDS: u64 = 200;
const FAULT_SECONDS: u64 = 8;

/// Guards against lost accepted edits, claims granted twice, two leaders answering at once and
/// reads that go backwards. Each seed determines message loss, delay, reordering, crashes, pauses,
/// partitions and wiped disks. The invariants are checked after every step, so any departure from
/// the protocol fails.
#[test]
fn invariants_hold_under_fixed_seeds() {
    let mut commits = 0;
    let (mut edits, mut claims, mut terms) = (0, 0, 0);

    let failures: Vec<String> = (0..CI_SEEDS)
        .filter_map(|seed| match Schedule::new(seed, BrokenRule::Nothing).run(FAULT_SECONDS) {
            Ok(totals) => {
                commits += totals.commits;
                edits += totals.edits;
                claims += totals.claims;
                terms += totals.terms;
                None
            }
            Err(violation) => Some(format!("seed {seed}: {violation}")),
        })
        .collect();

    assert_eq!(failures, Vec::<String>::new());
    assert!(commits > CI_SEEDS * 20, "{commits} commits");
    assert!(edits > CI_SEEDS as usize && claims > CI_SEEDS as usize && terms > CI_SEEDS as usize);
}

/// Guards against losing an accepted edit after two crashes (seed 3804 of the long run). A follower
/// is sent a snapshot up to entry 1; entries 2 and 3, sent later, overtake it and are acknowledged;
/// the snapshot arrives; the leader, which has committed entry 3, crashes. The follower had
/// replaced its whole log by the snapshot and dropped the entries that it had acknowledged.
#[test]
fn a_snapshot_that_was_overtaken_drops_nothing() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let id = |name: &str| VoterId { daemon: name.into(), folder_id: 1 };
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let voters = BTreeMap::from([(id("leader"), address(1)), (id("follower"), address(2))]);
    let membership = FleetMembership { voters, ..FleetMembership::default() };
    let snapshot = |index| SnapshotRecord {
        at: LogPosition { term: 1.min(index), index },
        membership: membership.clone(),
        state: Arc::from(""),
    };
    let start = InitialState {
        id: id("follower"),
        hard_state: HardState::default(),
        snapshot: snapshot(0),
        entries: Vec::new(),
        commit_index: 0,
    };
    let mut core: ReplicaCore<u32> =
        ReplicaCore::new(ReplicaConfig::default(), start, Moment(1), &mut rng);
    let entry = |index| LogEntry {
        at: LogPosition { term: 1, index },
        payload: EntryPayload::Command(index as u32),
    };
    let envelope = |message| ReplicaEnvelope {
        fleet: FleetId::default(),
        from: id("leader"),
        to: id("follower"),
        term: 1,
        message,
    };
    let append = ReplicaMessage::Append {
        previous: LogPosition::default(),
        entries: vec![entry(1), entry(2), entry(3)],
        commit: 0,
        round: 2,
    };

    core.receive(envelope(append), Moment(2), &mut rng);
    let output = core.receive(
        envelope(ReplicaMessage::Snapshot { snapshot: snapshot(1), round: 1 }),
        Moment(3),
        &mut rng,
    );

    assert_eq!(core.log().last(), LogPosition { term: 1, index: 3 });
    assert_eq!(core.commit_index(), 1);
    assert_eq!(output.install_snapshot, None);
    assert_eq!(output.committed, vec![entry(1)]);
}

/// Guards against a snapshot that is joined from the parts of two leaders, whose texts may differ.
#[test]
fn parts_of_two_leaders_are_not_joined() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let id = |name: &str| VoterId { daemon: name.into(), folder_id: 1 };
    let at = LogPosition { term: 1, index: 9 };
    let start = InitialState {
        id: id("learner"),
        hard_state: HardState::default(),
        snapshot: SnapshotRecord {
            at: LogPosition::default(),
            membership: FleetMembership::default(),
            state: Arc::from(""),
        },
        entries: Vec::new(),
        commit_index: 0,
    };
    let mut core: ReplicaCore<u32> =
        ReplicaCore::new(ReplicaConfig::default(), start, Moment(1), &mut rng);
    let part = |leader: &str, term, offset, text: &str, is_last| ReplicaEnvelope {
        fleet: FleetId::default(),
        from: id(leader),
        to: id("learner"),
        term,
        message: ReplicaMessage::SnapshotPart {
            part: SnapshotPart {
                at,
                membership: FleetMembership::default(),
                offset,
                text: text.to_owned(),
                is_last,
            },
            round: 1,
        },
    };

    core.receive(part("one", 2, 0, "abc", false), Moment(2), &mut rng);
    let joined = core.receive(part("two", 3, 3, "fed", true), Moment(3), &mut rng);
    core.receive(part("two", 3, 0, "cba", false), Moment(4), &mut rng);
    let whole = core.receive(part("two", 3, 3, "fed", true), Moment(5), &mut rng);

    assert_eq!(joined.install_snapshot, None);
    let asked = ReplicaMessage::SnapshotPartReply { at, received: 0, round: 1 };
    assert_eq!(joined.messages[0].message, asked);
    let state = whole.install_snapshot.map(|snapshot| snapshot.state.to_string());
    assert_eq!(state.as_deref(), Some("cbafed"));
}

#[rstest]
#[case::skip_sync(BrokenRule::SkipSync)]
#[case::skip_lease_check(BrokenRule::SkipLeaseCheck)]
#[case::keep_wiped_identity(BrokenRule::KeepWipedIdentity)]
#[case::forget_edit_ids(BrokenRule::ForgetEditIds)]
fn a_broken_rule_is_caught(#[case] rule: BrokenRule) {
    let violation =
        (0..CI_SEEDS).find_map(|seed| Schedule::new(seed, rule).run(FAULT_SECONDS).err());

    assert!(violation.is_some(), "{rule:?} was not detected by {CI_SEEDS} seeds");
    println!("{rule:?}: {}", violation.unwrap_or_default());
}
