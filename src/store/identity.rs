//! The identity of the voter that owns a data folder.

use super::{IoSnafu, StoreError};
use crate::replica::{FleetId, VoterId};
use crate::table::DaemonName;
use rand::{Rng, RngCore};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::fs::{self, File};
use std::io::Write;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

const IDENTITY_FILE: &str = "identity.json";

/// The contents of `identity.json`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderIdentity {
    /// Identity of the voter.
    pub voter: VoterId,
    /// The fleet, if the voter has joined one.
    pub fleet: Option<FleetId>,
    /// Inode of the file itself. A copy has a different inode, which distinguishes it from the
    /// original.
    inode: u64,
}

impl FolderIdentity {
    /// Reads the identity; `None` if the folder has none. Fails if the folder belongs to another
    /// daemon or is a copy.
    pub fn load(folder: &Path, daemon: &DaemonName) -> Result<Option<Self>, StoreError> {
        let path = folder.join(IDENTITY_FILE);
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(StoreError::Io { path, source }),
        };
        let identity: FolderIdentity = serde_json::from_str(&text).map_err(|error| {
            StoreError::Damaged { path: path.clone(), offset: 0, detail: error.to_string() }
        })?;
        let inode = fs::metadata(&path).context(IoSnafu { path: &path })?.ino();
        if identity.voter.daemon != *daemon {
            let detail = format!("belongs to voter {}, not to daemon {daemon}", identity.voter);
            return Err(StoreError::Foreign { path: folder.to_owned(), detail });
        }
        if identity.inode != inode {
            let detail = format!(
                "is a copy of the folder of voter {}; a copy cannot vote as its original",
                identity.voter
            );
            return Err(StoreError::Foreign { path: folder.to_owned(), detail });
        }
        Ok(Some(identity))
    }

    /// Creates a new random identity and writes it, synced.
    pub fn create(
        folder: &Path,
        daemon: &DaemonName,
        rng: &mut dyn RngCore,
    ) -> Result<Self, StoreError> {
        let voter = VoterId { daemon: daemon.clone(), folder_id: rng.random_range(1..=u32::MAX) };
        let mut identity = FolderIdentity { voter, fleet: None, inode: 0 };
        identity.write(folder)?;
        Ok(identity)
    }

    /// Records the fleet that the voter belongs to, synced.
    pub fn set_fleet(&mut self, folder: &Path, fleet: FleetId) -> Result<(), StoreError> {
        self.fleet = Some(fleet);
        self.write(folder)
    }

    /// Writes the file in place, since its inode is known only once it exists. A crash during the
    /// write leaves an unreadable identity or one with a wrong inode, which is not used to vote.
    fn write(&mut self, folder: &Path) -> Result<(), StoreError> {
        let path = folder.join(IDENTITY_FILE);
        let context = || IoSnafu { path: path.clone() };
        let mut file = File::create(&path).with_context(|_| context())?;
        self.inode = file.metadata().with_context(|_| context())?.ino();
        let text = serde_json::to_vec(self).unwrap_or_default();
        file.write_all(&text).with_context(|_| context())?;
        file.sync_all().with_context(|_| context())?;
        File::open(folder).and_then(|folder| folder.sync_all()).with_context(|_| context())
    }
}
