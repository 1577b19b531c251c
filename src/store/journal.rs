//! Snapshot and log files.

use super::{FilesSnafu, StoreError};
use crate::replica::{HardState, LogEntry, ReplicaOutput, SnapshotRecord};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use slog::{Logger, warn};
use snafu::ResultExt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const SNAPSHOT: &str = "snapshot.json";
const LOG: &str = "log.bin";
const LOCK: &str = "lock";
const HEADER_BYTES: usize = 8;
/// A length above this is damage, not a record.
const RECORD_LIMIT: u32 = 256 << 20;

/// One record of the log file.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum JournalRecord<C> {
    Hard(HardState),
    Truncate(u64),
    /// Entries up to this index are committed. Written without a sync: it may be lost, and is then learned again
    /// from a leader.
    Commit(u64),
    Entry(LogEntry<C>),
}

/// What a folder holds.
#[derive(Clone, Debug)]
pub struct FolderState<C> {
    /// Term and vote.
    pub hard_state: HardState,
    /// The snapshot, if any was kept.
    pub snapshot: Option<SnapshotRecord>,
    /// Entries behind it.
    pub entries: Vec<LogEntry<C>>,
    /// The last index known to be committed; 0 if none is.
    pub commit: u64,
}

/// An open data folder, locked for this process.
#[derive(Debug)]
pub struct StoreFolder {
    folder: PathBuf,
    log: File,
    _lock: FolderLock,
}

/// The lock of a data folder, given back when dropped.
///
/// Closing the file alone is not enough: a child process that is being started holds a copy of every open
/// file until its program is loaded, and the lock lasts as long as a copy does (flock(2)). The folder would
/// look in use for a moment after it was closed. Unlocking takes effect for all copies.
#[derive(Debug)]
struct FolderLock {
    file: File,
}

impl FolderLock {
    fn take(folder: &Path) -> Result<Self, StoreError> {
        let path = folder.join(LOCK);
        let file = File::create(&path).context(FilesSnafu { path: &path })?;
        match file.try_lock() {
            Ok(()) => Ok(FolderLock { file }),
            Err(TryLockError::WouldBlock) => Err(StoreError::InUse { path: folder.to_owned() }),
            Err(TryLockError::Error(source)) => Err(StoreError::Files { path, source }),
        }
    }
}

impl Drop for FolderLock {
    fn drop(&mut self) {
        // A failure leaves what closing does.
        let _ = self.file.unlock();
    }
}

/// Makes the folder, and its name durable: after a power cut a new folder may be gone with all that was synced
/// in it, unless the folder above was synced, too.
fn make_folder(folder: &Path) -> std::io::Result<()> {
    fs::create_dir_all(folder)?;
    match folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
        Some(parent) => File::open(parent)?.sync_all(),
        None => Ok(()),
    }
}

impl StoreFolder {
    /// Opens a folder, making it if need be, and locks it: two processes over one folder would vote
    /// twice in one term.
    pub fn open(folder: &Path) -> Result<Self, StoreError> {
        make_folder(folder).context(FilesSnafu { path: folder })?;
        let lock = FolderLock::take(folder)?;
        let path = folder.join(LOG);
        let mut options = OpenOptions::new();
        let log = options
            .read(true)
            .append(true)
            .create(true)
            .open(&path)
            .context(FilesSnafu { path: &path })?;
        Ok(StoreFolder { folder: folder.to_owned(), log, _lock: lock })
    }

    /// The folder.
    pub fn path(&self) -> &Path {
        &self.folder
    }

    fn file(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// Reads everything back. A last record that is not complete was never synced: it is cut off with a
    /// log line. Damage anywhere else is an error.
    pub fn load<C: DeserializeOwned>(
        &mut self,
        log: &Logger,
    ) -> Result<FolderState<C>, StoreError> {
        let snapshot = self.load_snapshot()?;
        let path = self.file(LOG);
        let mut bytes = Vec::new();
        self.log.seek(SeekFrom::Start(0)).context(FilesSnafu { path: &path })?;
        self.log.read_to_end(&mut bytes).context(FilesSnafu { path: &path })?;
        let base = snapshot.as_ref().map_or(0, |snapshot: &SnapshotRecord| snapshot.at.index);
        let mut state = FolderState {
            hard_state: HardState::default(),
            snapshot,
            entries: Vec::new(),
            commit: 0,
        };
        let mut offset = 0;
        while offset < bytes.len() {
            let Some(record) = read_record(&bytes, offset) else {
                warn!(log, "cut off an incomplete last record"; "file" => path.display().to_string(), "offset" => offset, "bytes" => bytes.len() - offset);
                self.log.set_len(offset as u64).context(FilesSnafu { path: &path })?;
                self.log.sync_all().context(FilesSnafu { path: &path })?;
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
            replay(&mut state, record, base).map_err(damaged)?;
            offset += HEADER_BYTES + text.len();
        }
        // What was read may have been written without a sync that succeeded; from now on it is relied upon.
        self.log.sync_data().context(FilesSnafu { path: &path })?;
        Ok(state)
    }

    fn load_snapshot(&self) -> Result<Option<SnapshotRecord>, StoreError> {
        let path = self.file(SNAPSHOT);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(StoreError::Files { path, source }),
        };
        let damaged =
            |detail: String| StoreError::Damaged { path: path.clone(), offset: 0, detail };
        let text = match read_record(&bytes, 0) {
            Some(text) => text.map_err(damaged)?,
            None => return Err(damaged("a complete record".to_owned())),
        };
        serde_json::from_slice(text).map(Some).map_err(|error| damaged(error.to_string()))
    }

    /// Keeps what an output asks for; returns once it is synced.
    pub fn keep<C: Serialize + Clone>(
        &mut self,
        output: &ReplicaOutput<C>,
        hard_state: &HardState,
    ) -> Result<(), StoreError> {
        if let Some(snapshot) = &output.install {
            self.replace(snapshot, hard_state, &output.entries)?;
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
        let path = self.file(LOG);
        self.log.write_all(&bytes).context(FilesSnafu { path: &path })?;
        self.log.sync_data().context(FilesSnafu { path: &path })
    }

    /// Notes what is committed, without a sync. What goes wrong without it: a fleet whose voters were all killed
    /// cannot say which of its entries are committed before it has a leader again, so that daemons that start
    /// meanwhile serve nobody. A note that is lost does no harm.
    pub fn note_commit<C: Serialize>(&mut self, index: u64) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        write_record(&mut bytes, &JournalRecord::<C>::Commit(index));
        let path = self.file(LOG);
        self.log.write_all(&bytes).context(FilesSnafu { path: &path })
    }

    /// Keeps a snapshot and begins a new log behind it. The snapshot is in place, synced, before the old
    /// log goes; a crash in between leaves records that the snapshot covers, which loading passes over.
    pub fn replace<C: Serialize + Clone>(
        &mut self,
        snapshot: &SnapshotRecord,
        hard_state: &HardState,
        entries: &[LogEntry<C>],
    ) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        write_record(&mut bytes, snapshot);
        self.write_whole(SNAPSHOT, &bytes)?;
        let mut log = Vec::new();
        write_record(&mut log, &JournalRecord::<C>::Hard(hard_state.clone()));
        entries
            .iter()
            .for_each(|entry| write_record(&mut log, &JournalRecord::Entry(entry.clone())));
        self.write_whole(LOG, &log)?;
        let path = self.file(LOG);
        let mut options = OpenOptions::new();
        self.log =
            options.read(true).append(true).open(&path).context(FilesSnafu { path: &path })?;
        Ok(())
    }

    fn write_whole(&self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        let path = self.file(name);
        let temporary = self.file(&format!("{name}.new"));
        let mut file = File::create(&temporary).context(FilesSnafu { path: &temporary })?;
        file.write_all(bytes).context(FilesSnafu { path: &temporary })?;
        file.sync_all().context(FilesSnafu { path: &temporary })?;
        fs::rename(&temporary, &path).context(FilesSnafu { path: &path })?;
        File::open(&self.folder)
            .and_then(|folder| folder.sync_all())
            .context(FilesSnafu { path: &self.folder })
    }

    /// Moves damaged or foreign files aside, so that the voter can start again under a new identity;
    /// nothing is deleted.
    pub fn set_aside(folder: &Path, suffix: u64) -> Result<PathBuf, StoreError> {
        let name = folder
            .file_name()
            .map_or_else(|| "data".to_owned(), |name| name.to_string_lossy().into_owned());
        let aside = folder.with_file_name(format!("{name}.aside-{suffix}"));
        fs::rename(folder, &aside).context(FilesSnafu { path: folder })?;
        Ok(aside)
    }
}

fn replay<C>(
    state: &mut FolderState<C>,
    record: JournalRecord<C>,
    base: u64,
) -> Result<(), String> {
    match record {
        JournalRecord::Hard(hard) => state.hard_state = hard,
        JournalRecord::Commit(index) => state.commit = state.commit.max(index),
        JournalRecord::Truncate(index) => state.entries.retain(|entry| entry.at.index < index),
        JournalRecord::Entry(entry) if entry.at.index <= base => {}
        JournalRecord::Entry(entry) => {
            let expected = state.entries.last().map_or(base, |last| last.at.index) + 1;
            if entry.at.index != expected {
                return Err(format!("entry {expected}, found entry {}", entry.at.index));
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

/// The record at `offset`: none if the file ends inside it, an error if it is complete but damaged.
///
/// A crash can leave a last record whose length was written but whose contents were not; that looks
/// like damage of the last record, and since it was never synced it counts as incomplete too.
fn read_record(bytes: &[u8], offset: usize) -> Option<Result<&[u8], String>> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?);
    let sum = u32::from_le_bytes(header[4..].try_into().ok()?);
    if length > RECORD_LIMIT {
        return Some(Err(format!("a record length, found {length}")));
    }
    let start = offset + HEADER_BYTES;
    let end = start + length as usize;
    let text = bytes.get(start..end)?;
    if crc32fast::hash(text) == sum {
        return Some(Ok(text));
    }
    let is_last = end == bytes.len();
    if is_last && text.iter().rev().take_while(|byte| **byte == 0).count() > 0 {
        return None;
    }
    Some(Err("a record whose checksum matches".to_owned()))
}
