//! Files of the data folder: torn and damaged records, copied and foreign folders.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::{Discard, Logger, o};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
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

/// Writes entries 1 to 5 to a data folder and closes it.
fn write_entries(folder: &Path) {
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
    write_entries(folder.path());
    let hard_state = HardState { term: 7, vote: None };
    let mut store = DataFolder::open(folder.path()).unwrap();
    store.load::<String>(&log()).unwrap();

    store
        .save(
            &ReplicaOutput::<String> {
                hard_state: Some(hard_state.clone()),
                ..ReplicaOutput::default()
            },
            &hard_state,
        )
        .unwrap();
    store
        .save(&ReplicaOutput { truncate_from: Some(4), ..output(vec![entry(4)]) }, &hard_state)
        .unwrap();
    drop(store);
    let state = reload(folder.path()).unwrap();

    assert_eq!(state.hard_state, hard_state);
    assert_eq!(state.entries, (1..=4).map(entry).collect::<Vec<_>>());
}

/// Guards against a closed data folder being reported as in use when a child process is spawned
/// while the folder closes. Between fork and exec the child holds a copy of the lock file's
/// descriptor, and the lock lasts as long as any copy.
#[test]
fn a_closed_folder_is_free_although_programs_start() {
    let folder = tempfile::tempdir().unwrap();
    let is_done = Arc::new(AtomicBool::new(false));
    let spawners = (0..4).map(|_| thread::spawn(spawn_programs_until(is_done.clone())));
    let spawners: Vec<_> = spawners.collect();

    let failures = (0..2_000).filter_map(|_| DataFolder::open(folder.path()).err()).count();
    is_done.store(true, Ordering::Relaxed);
    spawners.into_iter().for_each(|spawner| spawner.join().unwrap());

    assert_eq!(failures, 0);
}

fn spawn_programs_until(is_done: Arc<AtomicBool>) -> impl FnOnce() + Send {
    move || {
        while !is_done.load(Ordering::Relaxed) {
            let status = Command::new(env!("CARGO_BIN_EXE_tarragonknot")).arg("--version").output();
            assert!(status.unwrap().status.success());
        }
    }
}

/// Guards against a voter failing to start after a power cut during a write. The incomplete last
/// record was never synced and so never acknowledged; it is truncated.
#[rstest::rstest]
#[case::inside_the_text(3)]
#[case::inside_the_header(70)]
fn a_torn_last_record_is_cut_off(#[case] missing: u64) {
    let folder = tempfile::tempdir().unwrap();
    write_entries(folder.path());
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

/// Guards against a fleet that serves no requests until it elects a leader, after every process was
/// killed and daemons ask a restarted voter for its table. This happens if the voter does not know
/// which entries are committed. A commit index that is lost or torn leaves the one before.
#[rstest::rstest]
fn a_note_of_what_is_committed_is_read_back_and_may_be_torn(#[values(0, 1)] kept: usize) {
    let folder = tempfile::tempdir().unwrap();
    write_entries(folder.path());
    let mut store = DataFolder::open(folder.path()).unwrap();
    store.load::<String>(&log()).unwrap();
    store.write_commit_index(3).unwrap();
    drop(store);
    let mut store = DataFolder::open(folder.path()).unwrap();
    store.load::<String>(&log()).unwrap();
    let before = unsynced_files(folder.path());
    store.write_commit_index(4).unwrap();
    drop(store);
    let whole = reload(folder.path()).unwrap();
    lose_write(folder.path(), &before, &unsynced_files(folder.path()), kept);

    let torn = reload(folder.path()).unwrap();

    assert_eq!((whole.commit_index, torn.commit_index), (4, 3));
    assert_eq!(torn.entries, whole.entries);
}

/// Guards against a voter that does not know what is committed after an update: earlier builds wrote
/// the commit index into the log.
#[test]
fn a_commit_index_in_the_log_of_an_earlier_build_is_read() {
    let folder = tempfile::tempdir().unwrap();
    write_entries(folder.path());
    let path = folder.path().join("log.bin");
    let text = br#"{"commit":3}"#;
    let mut bytes = std::fs::read(&path).unwrap();
    bytes.extend_from_slice(&(text.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(text).to_le_bytes());
    bytes.extend_from_slice(text);
    std::fs::write(&path, bytes).unwrap();

    let state = reload(folder.path()).unwrap();

    assert_eq!((state.commit_index, state.entries.len()), (3, 5));
}

/// Guards against a voter that loses its vote with its power: of several writes after the last sync
/// each may be whole, missing or torn, and a lost commit index before a kept one reads as damage.
#[rstest::rstest]
#[case::missing(0)]
#[case::torn(10)]
fn a_commit_index_lost_before_a_kept_one_is_no_damage(#[case] kept: usize) {
    let folder = tempfile::tempdir().unwrap();
    write_entries(folder.path());
    let mut store = DataFolder::open(folder.path()).unwrap();
    store.load::<String>(&log()).unwrap();
    let before = unsynced_files(folder.path());
    store.write_commit_index(3).unwrap();
    let after = unsynced_files(folder.path());
    store.write_commit_index(4).unwrap();
    drop(store);
    lose_write(folder.path(), &before, &after, kept);

    let state = reload(folder.path());
    let again = reload(folder.path());

    let state = state.expect("no damage");
    assert_eq!(state.entries, (1..=5).map(entry).collect::<Vec<_>>());
    assert_eq!(again.expect("no damage").entries, state.entries);
}

/// Contents of the files of a data folder.
fn unsynced_files(folder: &Path) -> BTreeMap<PathBuf, Vec<u8>> {
    let files = std::fs::read_dir(folder).unwrap().map(|file| file.unwrap().path());
    files.map(|path| (path.clone(), std::fs::read(path).unwrap())).collect()
}

/// Loses what was written between `before` and `after`, apart from its first `kept` bytes, where no
/// later write has replaced it.
fn lose_write(
    folder: &Path,
    before: &BTreeMap<PathBuf, Vec<u8>>,
    after: &BTreeMap<PathBuf, Vec<u8>>,
    kept: usize,
) {
    for (path, mut bytes) in unsynced_files(folder) {
        let (old, new) = (&before[&path], &after[&path]);
        let is_written = |at: &usize| old.get(*at) != new.get(*at);
        let written: Vec<usize> = (0..new.len()).filter(is_written).collect();
        for at in written.into_iter().skip(kept) {
            if bytes[at] == new[at] {
                bytes[at] = old.get(at).copied().unwrap_or(0);
            }
        }
        std::fs::write(path, bytes).unwrap();
    }
}

/// Guards against a voter voting after losing entries that it has acknowledged. A bit of an old
/// record flips on disk, and the damage is mistaken for a torn last record.
#[test]
fn damage_elsewhere_is_an_error_that_names_the_place() {
    let folder = tempfile::tempdir().unwrap();
    write_entries(folder.path());
    let path = folder.path().join("log.bin");
    let mut bytes = std::fs::read(&path).unwrap();
    bytes[20] ^= 1;
    std::fs::write(&path, bytes).unwrap();

    let error = reload(folder.path()).unwrap_err();

    assert!(matches!(&error, StoreError::Damaged { offset: 0, .. }), "{error}");
    assert!(error.to_string().contains("log.bin: damaged at byte 0"), "{error}");
}

#[test]
fn a_damaged_snapshot_is_an_error() {
    let folder = tempfile::tempdir().unwrap();
    write_entries(folder.path());
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

/// Guards against two voters with one identity voting twice in one term, after a data folder is
/// copied to another VM or given to another daemon. File contents alone do not identify a folder:
/// the copied file has another inode, and the daemon name must match.
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
    let _in_use = DataFolder::open(folder.path()).unwrap();

    assert!(matches!(DataFolder::open(folder.path()), Err(StoreError::InUse { .. })));
}
