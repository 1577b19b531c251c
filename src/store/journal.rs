//! Snapshot and log files of a voter.

use super::commit_file::CommitFile;
use super::{IoSnafu, StoreError};
use crate::replica::{HardState, LogEntry, ReplicaOutput, SnapshotRecord};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use slog::{Logger, warn};
use snafu::ResultExt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const SNAPSHOT_FILE: &str = "snapshot.json";
const LOG_FILE: &str = "log.bin";
const LOCK_FILE: &str = "lock";
const HEADER_BYTES: usize = 8;
/// Maximum record length in bytes; a greater length field is treated as corruption.
const MAX_RECORD_BYTES: u32 = 256 << 20;

/// A record of the log file.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum JournalRecord<C> {
    Hard(HardState),
    Truncate(u64),
    /// Entries up to this index are committed. Only in logs of earlier builds.
    Commit(u64),
    Entry(LogEntry<C>),
}

/// The stored state of a voter, as read from its data folder.
#[derive(Clone, Debug)]
pub struct FolderState<C> {
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot, if any.
    pub snapshot: Option<SnapshotRecord>,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry<C>>,
    /// The highest index known to be committed; 0 if none.
    pub commit_index: u64,
}

/// An open data folder with an exclusive lock.
#[derive(Debug)]
pub struct DataFolder {
    folder: PathBuf,
    log: File,
    commit: CommitFile,
    _lock: FolderLock,
}

/// The lock of a data folder, released on drop.
///
/// Closing the file is not enough to release it: a child process inherits every open file
/// descriptor until exec, and the lock is held as long as any duplicate is open (flock(2)), so the
/// folder would appear in use for a moment after it was closed. An explicit unlock applies to all
/// duplicates.
#[derive(Debug)]
struct FolderLock {
    file: File,
}

impl FolderLock {
    fn acquire(folder: &Path) -> Result<Self, StoreError> {
        let path = folder.join(LOCK_FILE);
        let file = File::create(&path).context(IoSnafu { path: &path })?;
        match file.try_lock() {
            Ok(()) => Ok(FolderLock { file }),
            Err(TryLockError::WouldBlock) => Err(StoreError::InUse { path: folder.to_owned() }),
            Err(TryLockError::Error(source)) => Err(StoreError::Io { path, source }),
        }
    }
}

impl Drop for FolderLock {
    fn drop(&mut self) {
        // If unlocking fails, closing the file still releases the lock.
        let _ = self.file.unlock();
    }
}

/// Creates the folder and syncs its parent. Without the latter, a power loss may remove a new
/// folder together with all files synced in it.
fn create_folder(folder: &Path) -> std::io::Result<()> {
    fs::create_dir_all(folder)?;
    match folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
        Some(parent) => File::open(parent)?.sync_all(),
        None => Ok(()),
    }
}

impl DataFolder {
    /// Opens a folder, creating it if necessary, and locks it, since two processes on one folder
    /// could vote twice in one term.
    pub fn open(folder: &Path) -> Result<Self, StoreError> {
        create_folder(folder).context(IoSnafu { path: folder })?;
        let lock = FolderLock::acquire(folder)?;
        let path = folder.join(LOG_FILE);
        let mut options = OpenOptions::new();
        let log = options
            .read(true)
            .append(true)
            .create(true)
            .open(&path)
            .context(IoSnafu { path: &path })?;
        let commit = CommitFile::open(folder)?;
        Ok(DataFolder { folder: folder.to_owned(), log, commit, _lock: lock })
    }

    /// Path of the folder.
    pub fn path(&self) -> &Path {
        &self.folder
    }

    fn file(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Reads the stored state. An incomplete last record was never synced; it is truncated with a
    /// warning. Corruption anywhere else is an error.
    pub fn load<C: DeserializeOwned>(
        &mut self,
        log: &Logger,
    ) -> Result<FolderState<C>, StoreError> {
        let snapshot = self.load_snapshot()?;
        let path = self.file(LOG_FILE);
        let mut bytes = Vec::new();
        self.log.seek(SeekFrom::Start(0)).context(IoSnafu { path: &path })?;
        self.log.read_to_end(&mut bytes).context(IoSnafu { path: &path })?;
        let base = snapshot.as_ref().map_or(0, |snapshot: &SnapshotRecord| snapshot.at.index);
        let mut state = FolderState {
            hard_state: HardState::default(),
            snapshot,
            entries: Vec::new(),
            commit_index: self.commit.index(),
        };
        let mut offset = 0;
        while offset < bytes.len() {
            let Some(record) = read_record(&bytes, offset) else {
                warn!(log, "truncated an incomplete last record"; "file" => path.display().to_string(), "offset" => offset, "bytes" => bytes.len() - offset);
                self.log.set_len(offset as u64).context(IoSnafu { path: &path })?;
                self.log.sync_all().context(IoSnafu { path: &path })?;
                break;
            };
            let damaged = |detail: String| StoreError::Damaged {
                path: path.clone(),
                offset: offset as u64,
                detail,
            };
            let text = record.map_err(damaged)?;
            let record: JournalRecord<C> =
                serde_json::from_slice(text).map_err(|error| damaged(error.to_string()))?;
            apply_record(&mut state, record, base).map_err(damaged)?;
            offset += HEADER_BYTES + text.len();
        }
        // The records read may have been written without a successful sync; they must be durable
        // before the replica relies on them.
        self.log.sync_data().context(IoSnafu { path: &path })?;
        Ok(state)
    }

    fn load_snapshot(&self) -> Result<Option<SnapshotRecord>, StoreError> {
        let path = self.file(SNAPSHOT_FILE);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(StoreError::Io { path, source }),
        };
        let damaged =
            |detail: String| StoreError::Damaged { path: path.clone(), offset: 0, detail };
        let text = match read_record(&bytes, 0) {
            Some(text) => text.map_err(damaged)?,
            None => return Err(damaged("incomplete record".to_owned())),
        };
        serde_json::from_slice(text).map(Some).map_err(|error| damaged(error.to_string()))
    }

    /// Stores and syncs the records of a replica's output.
    pub fn save<C: Serialize + Clone>(
        &mut self,
        output: &ReplicaOutput<C>,
        hard_state: &HardState,
    ) -> Result<(), StoreError> {
        if let Some(snapshot) = &output.install_snapshot {
            self.replace_with_snapshot(snapshot, hard_state, &output.entries)?;
            return Ok(());
        }
        let mut bytes = Vec::new();
        output
            .hard_state
            .iter()
            .for_each(|hard| write_record(&mut bytes, &JournalRecord::<C>::Hard(hard.clone())));
        output
            .truncate_from
            .iter()
            .for_each(|index| write_record(&mut bytes, &JournalRecord::<C>::Truncate(*index)));
        output
            .entries
            .iter()
            .for_each(|entry| write_record(&mut bytes, &JournalRecord::Entry(entry.clone())));
        if bytes.is_empty() {
            return Ok(());
        }
        let path = self.file(LOG_FILE);
        self.log.write_all(&bytes).context(IoSnafu { path: &path })?;
        self.log.sync_data().context(IoSnafu { path: &path })
    }

    /// Writes the commit index without a sync. Without it, a fleet whose voters were all killed does
    /// not know which entries are committed until it has a leader again, and daemons started in the
    /// meantime serve no callers.
    pub fn write_commit_index(&mut self, index: u64) -> Result<(), StoreError> {
        self.commit.write(index)
    }

    /// Makes the written commit index durable; returns false if it is already.
    pub fn sync_commit_index(&mut self) -> Result<bool, StoreError> {
        if self.commit.is_synced() {
            return Ok(false);
        }
        self.commit.sync().map(|()| true)
    }

    /// Stores a snapshot and starts a new log after it. The snapshot is synced before the old log
    /// is replaced; a crash in between leaves records covered by the snapshot, which loading skips.
    pub fn replace_with_snapshot<C: Serialize + Clone>(
        &mut self,
        snapshot: &SnapshotRecord,
        hard_state: &HardState,
        entries: &[LogEntry<C>],
    ) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        write_record(&mut bytes, snapshot);
        self.write_atomically(SNAPSHOT_FILE, &bytes)?;
        let mut log = Vec::new();
        write_record(&mut log, &JournalRecord::<C>::Hard(hard_state.clone()));
        entries
            .iter()
            .for_each(|entry| write_record(&mut log, &JournalRecord::Entry(entry.clone())));
        self.write_atomically(LOG_FILE, &log)?;
        let path = self.file(LOG_FILE);
        let mut options = OpenOptions::new();
        self.log = options.read(true).append(true).open(&path).context(IoSnafu { path: &path })?;
        Ok(())
    }

    fn write_atomically(&self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let path = self.file(name);
        let temporary = self.file(&format!("{name}.new"));
        let mut file = File::create(&temporary).context(IoSnafu { path: &temporary })?;
        file.write_all(bytes).context(IoSnafu { path: &temporary })?;
        file.sync_all().context(IoSnafu { path: &temporary })?;
        fs::rename(&temporary, &path).context(IoSnafu { path: &path })?;
        File::open(&self.folder)
            .and_then(|folder| folder.sync_all())
            .context(IoSnafu { path: &self.folder })
    }

    /// Renames a folder with corrupt or foreign files, so that the voter can start under a new
    /// identity; nothing is deleted.
    pub fn set_aside(folder: &Path, suffix: u64) -> Result<PathBuf, StoreError> {
        let name = folder
            .file_name()
            .map_or_else(|| "data".to_owned(), |name| name.to_string_lossy().into_owned());
        let aside = folder.with_file_name(format!("{name}.aside-{suffix}"));
        fs::rename(folder, &aside).context(IoSnafu { path: folder })?;
        Ok(aside)
    }
}

fn apply_record<C>(
    state: &mut FolderState<C>,
    record: JournalRecord<C>,
    base: u64,
) -> Result<(), String> {
    match record {
        JournalRecord::Hard(hard) => state.hard_state = hard,
        JournalRecord::Commit(index) => state.commit_index = state.commit_index.max(index),
        JournalRecord::Truncate(index) => state.entries.retain(|entry| entry.at.index < index),
        JournalRecord::Entry(entry) if entry.at.index <= base => {}
        JournalRecord::Entry(entry) => {
            let expected = state.entries.last().map_or(base, |last| last.at.index) + 1;
            if entry.at.index != expected {
                return Err(format!("expected entry {expected}, found entry {}", entry.at.index));
            }
            state.entries.push(entry);
        }
    }
    Ok(())
}

fn write_record<T: Serialize>(bytes: &mut Vec<u8>, record: &T) {
    let text = serde_json::to_vec(record).unwrap_or_default();
    bytes.extend_from_slice(&(text.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&text).to_le_bytes());
    bytes.extend_from_slice(&text);
}

/// Reads the record at `offset`: `None` if it is incomplete, an error if it is corrupt.
///
/// A crash can leave a last record whose length was written but whose contents were not. It ends in
/// zero bytes and its checksum does not match, but it was never synced and counts as incomplete.
fn read_record(bytes: &[u8], offset: usize) -> Option<Result<&[u8], String>> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?);
    let checksum = u32::from_le_bytes(header[4..].try_into().ok()?);
    if length > MAX_RECORD_BYTES {
        return Some(Err(format!("record length {length} exceeds the limit")));
    }
    let start = offset + HEADER_BYTES;
    let end = start + length as usize;
    let text = bytes.get(start..end)?;
    if crc32fast::hash(text) == checksum {
        return Some(Ok(text));
    }
    let is_last = end == bytes.len();
    if is_last && text.iter().rev().take_while(|byte| **byte == 0).count() > 0 {
        return None;
    }
    Some(Err("record checksum does not match".to_owned()))
}
