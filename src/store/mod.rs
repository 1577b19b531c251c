//! Durable storage of a voter in its data folder.
//!
//! `identity.json` contains the identity of the voter and its fleet, `snapshot.json` the latest
//! snapshot, `log.bin` the records after it, and `commit.bin` the index up to which they are
//! committed. A record consists of a length, a CRC-32 of its JSON, and the JSON. Data counts as stored only once the file is synced, and for new or renamed
//! files the folder too.

mod commit_file;
mod identity;
mod journal;

pub use identity::FolderIdentity;
pub use journal::{DataFolder, FolderState};

use snafu::Snafu;
use std::path::PathBuf;

/// Error of a data folder.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// A file operation failed.
    #[snafu(display("{}: {source}", path.display()))]
    Io {
        /// Path of the file or folder.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The contents of a file are corrupt.
    #[snafu(display("{}: damaged at byte {offset}: {detail}", path.display()))]
    Damaged {
        /// Path of the file.
        path: PathBuf,
        /// Byte offset of the corrupt record.
        offset: u64,
        /// Description of the damage.
        detail: String,
    },
    /// The folder belongs to another daemon or is a copy.
    #[snafu(display("{}: {detail}", path.display()))]
    Foreign {
        /// Path of the folder.
        path: PathBuf,
        /// The actual owner.
        detail: String,
    },
    /// Another process holds the lock of the folder.
    #[snafu(display("{}: in use by another process", path.display()))]
    InUse {
        /// Path of the folder.
        path: PathBuf,
    },
}
