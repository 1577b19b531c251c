//! The file that holds the index up to which entries are committed.
//!
//! It is written without a sync, and after a loss of power each such write may be whole, missing or
//! torn. It is therefore kept apart from the log, in which every record but the last was synced, and
//! has two slots: the one with the index that was synced last is never overwritten.

use super::{IoSnafu, StoreError};
use snafu::ResultExt;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "commit.bin";
const INDEX_BYTES: usize = 8;
/// Bytes of a slot: an index and its CRC-32, both in little-endian order.
const SLOT_BYTES: usize = INDEX_BYTES + 4;
const SLOT_COUNT: usize = 2;

/// The open file of the commit index.
#[derive(Debug)]
pub struct CommitFile {
    path: PathBuf,
    file: File,
    /// The highest index read from a slot; 0 if none.
    index: u64,
    /// The slot to be written next.
    slot: usize,
    is_synced: bool,
}

impl CommitFile {
    /// Opens the file of a data folder, creating it if necessary. Slots that are not whole are empty.
    pub fn open(folder: &Path) -> Result<Self, StoreError> {
        let path = folder.join(FILE_NAME);
        let mut options = OpenOptions::new();
        let options = options.read(true).write(true).create(true).truncate(false);
        let mut file = options.open(&path).context(IoSnafu { path: &path })?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).context(IoSnafu { path: &path })?;
        let slots: Vec<u64> = bytes.chunks(SLOT_BYTES).take(SLOT_COUNT).map(read_slot).collect();
        let newest = (0..slots.len()).max_by_key(|slot| slots[*slot]);
        let index = newest.map_or(0, |slot| slots[slot]);
        // What was read may not be durable; it must be before another slot replaces it.
        file.sync_data().context(IoSnafu { path: &path })?;
        let slot = newest.map_or(0, |slot| (slot + 1) % SLOT_COUNT);
        Ok(CommitFile { path, file, index, slot, is_synced: true })
    }

    /// The index that was read when the file was opened, or written since.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Writes the index without a sync.
    pub fn write(&mut self, index: u64) -> Result<(), StoreError> {
        let mut bytes = index.to_le_bytes().to_vec();
        bytes.extend_from_slice(&crc32fast::hash(&index.to_le_bytes()).to_le_bytes());
        let offset = (self.slot * SLOT_BYTES) as u64;
        let path = &self.path;
        self.file.seek(SeekFrom::Start(offset)).context(IoSnafu { path })?;
        self.file.write_all(&bytes).context(IoSnafu { path })?;
        self.index = index;
        self.is_synced = false;
        Ok(())
    }

    /// False if an index was written that a loss of power may lose.
    pub fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Makes the written index durable.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        self.file.sync_data().context(IoSnafu { path: &self.path })?;
        if !self.is_synced {
            self.slot = (self.slot + 1) % SLOT_COUNT;
        }
        self.is_synced = true;
        Ok(())
    }
}

/// Reads the index of a slot; 0 if the slot is empty or torn.
fn read_slot(bytes: &[u8]) -> u64 {
    let index = bytes.get(..INDEX_BYTES).and_then(|index| index.try_into().ok());
    let checksum = bytes.get(INDEX_BYTES..).and_then(|checksum| checksum.try_into().ok());
    match (index.map(u64::from_le_bytes), checksum.map(u32::from_le_bytes)) {
        (Some(index), Some(checksum)) if crc32fast::hash(&index.to_le_bytes()) == checksum => index,
        _ => 0,
    }
}
