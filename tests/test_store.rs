//! The files under the data folder: torn and damaged records, copied and foreign folders.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::{Discard, Logger, o};
use std::path::Path;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use tarragonknot::replica::{
    EntryPayload, FleetMembership, HardState, LogEntry, LogPosition, ReplicaOutput, SnapshotRecord,
};
use tarragonknot::store::{DataFolder, FolderIdentity, FolderState, StoreError};

fn log() -> Logger {
    Logger::root(Discard, o!())
}

fn entry(index: u64) -> LogEntry<String> {
    LogEntry {
        at: LogPosition { term: 1, index },
        payload: EntryPayload::Command(format!("command-{index}")),
    }
}

fn output(entries: Vec<LogEntry<String>>) -> ReplicaOutput<String> {
    ReplicaOutput { entries, ..ReplicaOutput::default() }
}

/// A folder with the entries 1 to 5, closed.
fn filled(folder: &Path) {
    let mut store = DataFolder::open(folder).unwrap();
    store.load::<String>(&log()).unwrap();
    (1..=5)
        .for_each(|index| store.save(&output(vec![entry(index)]), &HardState::default()).unwrap());
}

fn reload(folder: &Path) -> Result<FolderState<String>, StoreError> {
    DataFolder::open(folder)?.load(&log())
}

#[test]
fn what_was_kept_is_read_back() {
    let folder = tempfile::tempdir().unwrap();
    filled(folder.path());
    let hard = HardState { term: 7, vote: None };
    let mut store = DataFolder::open(folder.path()).unwrap();
    store.load::<String>(&log()).unwrap();

    store
        .save(
            &ReplicaOutput::<String> { hard_state: Some(hard.clone()), ..ReplicaOutput::default() },
            &hard,
        )
        .unwrap();
    store.save(&ReplicaOutput { truncate_from: Some(4), ..output(vec![entry(4)]) }, &hard).unwrap();
    drop(store);
    let state = reload(folder.path()).unwrap();

    assert_eq!(state.hard_state, hard);
    assert_eq!(state.entries, (1..=4).map(entry).collect::<Vec<_>>());
}

/// Symptom: a data folder that was closed is now and then still in use.
/// Sequence: a program is started in the moment in which the folder closes. Cause: the child has a copy of the
/// lock's file until its program is loaded, and a lock lasts as long as a copy does.
#[test]
fn a_closed_folder_is_free_although_programs_start() {
    let folder = tempfile::tempdir().unwrap();
    let done = Arc::new(AtomicBool::new(false));
    let starts = (0..4).map(|_| thread::spawn(start_programs_until(done.clone())));
    let starts: Vec<_> = starts.collect();

    let faults = (0..2_000).filter_map(|_| DataFolder::open(folder.path()).err()).count();
    done.store(true, Ordering::Relaxed);
    starts.into_iter().for_each(|start| start.join().unwrap());

    assert_eq!(faults, 0);
}

fn start_programs_until(done: Arc<AtomicBool>) -> impl FnOnce() + Send {
    move || {
        while !done.load(Ordering::Relaxed) {
            let status = Command::new(env!("CARGO_BIN_EXE_tarragonknot")).arg("--version").output();
            assert!(status.unwrap().status.success());
        }
    }
}

/// Symptom: a voter does not start after a power cut.
/// Sequence: the machine stops in the middle of a write. Cause: a last record that is not complete; it was
/// never synced, so nobody was told of it, and it is cut off.
#[rstest::rstest]
#[case::inside_the_text(3)]
#[case::inside_the_header(70)]
fn a_torn_last_record_is_cut_off(#[case] missing: u64) {
    let folder = tempfile::tempdir().unwrap();
    filled(folder.path());
    let path = folder.path().join("log.bin");
    let file = std::fs::File::options().write(true).open(&path).unwrap();
    let length = file.metadata().unwrap().len();
    file.set_len(length - missing).unwrap();

    let state = reload(folder.path()).unwrap();
    let again = reload(folder.path()).unwrap();

    assert_eq!(state.entries, (1..=4).map(entry).collect::<Vec<_>>());
    assert_eq!(again.entries, state.entries);
    assert!(std::fs::metadata(&path).unwrap().len() < length - missing);
}

/// Symptom: a fleet whose voters were all killed serves nobody until it has a leader again.
/// Sequence: entries are committed; every process is killed; daemons start and ask a voter for its table. Cause: a
/// voter that does not know what is committed. A note that was torn is as good as none.
#[test]
fn a_note_of_what_is_committed_is_read_back_and_may_be_torn() {
    let folder = tempfile::tempdir().unwrap();
    filled(folder.path());
    let mut store = DataFolder::open(folder.path()).unwrap();
    store.load::<String>(&log()).unwrap();
    store.write_commit_index::<String>(3).unwrap();
    store.write_commit_index::<String>(4).unwrap();
    drop(store);
    let whole = reload(folder.path()).unwrap();
    let path = folder.path().join("log.bin");
    let file = std::fs::File::options().write(true).open(&path).unwrap();
    file.set_len(file.metadata().unwrap().len() - 2).unwrap();

    let torn = reload(folder.path()).unwrap();

    assert_eq!((whole.commit_index, torn.commit_index), (4, 3));
    assert_eq!(torn.entries, whole.entries);
}

/// Symptom: a voter votes although it has lost entries it promised to keep.
/// Sequence: a bit of an old record changes on the disk. Cause: taking damage for a torn end.
#[test]
fn damage_elsewhere_is_an_error_that_names_the_place() {
    let folder = tempfile::tempdir().unwrap();
    filled(folder.path());
    let path = folder.path().join("log.bin");
    let mut bytes = std::fs::read(&path).unwrap();
    bytes[20] ^= 1;
    std::fs::write(&path, bytes).unwrap();

    let fault = reload(folder.path()).unwrap_err();

    assert!(matches!(&fault, StoreError::Damaged { offset: 0, .. }), "{fault}");
    assert!(fault.to_string().contains("log.bin: damaged at byte 0"), "{fault}");
}

#[test]
fn a_damaged_snapshot_is_an_error() {
    let folder = tempfile::tempdir().unwrap();
    filled(folder.path());
    let mut store = DataFolder::open(folder.path()).unwrap();
    let snapshot = SnapshotRecord {
        at: LogPosition { term: 1, index: 3 },
        membership: FleetMembership::default(),
        state: Arc::from("the state"),
    };
    store.replace_with_snapshot(&snapshot, &HardState::default(), &[entry(4), entry(5)]).unwrap();
    drop(store);
    let state = reload(folder.path()).unwrap();
    let path = folder.path().join("snapshot.json");
    let mut bytes = std::fs::read(&path).unwrap();
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    std::fs::write(&path, bytes).unwrap();

    assert_eq!(state.snapshot, Some(snapshot));
    assert_eq!(state.entries, vec![entry(4), entry(5)]);
    assert!(matches!(reload(folder.path()), Err(StoreError::Damaged { .. })));
}

/// Symptom: two voters with one identity vote twice in one term.
/// Sequence: a data folder is copied to another VM, or given to another daemon. Cause: an identity that is
/// only a file. The copy's file has another inode, and the name must match.
#[test]
fn a_copied_or_foreign_folder_is_told_from_the_original() {
    let folder = tempfile::tempdir().unwrap();
    let copy = tempfile::tempdir().unwrap();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let identity = FolderIdentity::create(folder.path(), &"entry-1".into(), &mut rng).unwrap();
    std::fs::copy(folder.path().join("identity.json"), copy.path().join("identity.json")).unwrap();

    let original = FolderIdentity::load(folder.path(), &"entry-1".into()).unwrap();
    let copied = FolderIdentity::load(copy.path(), &"entry-1".into()).unwrap_err();
    let foreign = FolderIdentity::load(folder.path(), &"entry-2".into()).unwrap_err();

    assert_eq!(original, Some(identity));
    assert!(copied.to_string().contains("is a copy of the folder"), "{copied}");
    assert!(foreign.to_string().contains("belongs to voter entry-1~"), "{foreign}");
}

#[test]
fn a_folder_is_used_by_one_process_at_a_time() {
    let folder = tempfile::tempdir().unwrap();
    let _held = DataFolder::open(folder.path()).unwrap();

    assert!(matches!(DataFolder::open(folder.path()), Err(StoreError::InUse { .. })));
}
