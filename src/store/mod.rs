//! The synced files under the data folder.
//!
//! `identity.json` names the voter and the fleet; `snapshot.json` holds the last snapshot; `log.bin`
//! holds records behind it. A record is its length, a CRC-32 of its JSON, and the JSON. Nothing counts
//! as kept before the file, and for new or renamed files the folder, is synced.

mod identity;
mod journal;

pub use identity::FolderIdentity;
pub use journal::{FolderState, StoreFolder};

use snafu::Snafu;
use std::path::PathBuf;

/// Why a data folder cannot be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// A file operation failed.
    #[snafu(display("{}: {source}", path.display()))]
    Files {
        /// The file.
        path: PathBuf,
        /// The error.
        source: std::io::Error,
    },
    /// A file's contents are damaged.
    #[snafu(display("{}: damaged at byte {offset}: {detail}", path.display()))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where.
        offset: u64,
        /// What was expected.
        detail: String,
    },
    /// The folder belongs to another daemon, or is a copy of another folder.
    #[snafu(display("{}: {detail}", path.display()))]
    Foreign {
        /// The folder.
        path: PathBuf,
        /// Whose it is.
        detail: String,
    },
    /// Another process uses the folder.
    #[snafu(display("{}: in use by another process", path.display()))]
    InUse {
        /// The folder.
        path: PathBuf,
    },
}
