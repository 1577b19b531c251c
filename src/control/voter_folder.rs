//! Opening a voter's data folder.

use super::ledger::ControlCommand;
use super::setup::{ControlSetup, unix_millis};
use crate::replica::{FleetId, FleetMembership, LogPosition, SnapshotRecord};
use crate::store::{DataFolder, FolderIdentity, FolderState, StoreError};
use rand_chacha::ChaCha8Rng;
use slog::error;
use std::path::Path;
use std::sync::Arc;

/// A voter's folder, open, with what it holds.
pub struct OpenVoter {
    /// The folder.
    pub store: DataFolder,
    /// Whose it is.
    pub identity: FolderIdentity,
    /// What it holds.
    pub state: FolderState<ControlCommand>,
}

/// Opens the folder. A damaged or copied one is set aside, and the voter starts again under a new
/// identity, to be filled by the others: it must not vote from what it may have lost.
pub fn open_voter(
    setup: &ControlSetup,
    folder: &Path,
    rng: &mut ChaCha8Rng,
) -> Result<OpenVoter, StoreError> {
    match read_voter(setup, folder, rng) {
        Err(fault @ (StoreError::Damaged { .. } | StoreError::Foreign { .. })) => {
            let is_other_daemon = matches!(&fault, StoreError::Foreign { detail, .. } if detail.starts_with("belongs"));
            if is_other_daemon {
                return Err(fault);
            }
            let aside = DataFolder::set_aside(folder, unix_millis())?;
            error!(setup.log, "data folder set aside; joining again under a new identity";
                "fault" => fault.to_string(), "aside" => aside.display().to_string());
            read_voter(setup, folder, rng)
        }
        read => read,
    }
}

fn read_voter(
    setup: &ControlSetup,
    folder: &Path,
    rng: &mut ChaCha8Rng,
) -> Result<OpenVoter, StoreError> {
    let mut store = DataFolder::open(folder)?;
    let identity = match FolderIdentity::load(folder, &setup.daemon)? {
        Some(identity) => identity,
        None => FolderIdentity::create(folder, &setup.daemon, rng)?,
    };
    let state = store.load(&setup.log)?;
    Ok(OpenVoter { store, identity, state })
}

/// The snapshot of a voter that has nothing yet.
pub fn blank_snapshot(fleet: FleetId) -> SnapshotRecord {
    let membership = FleetMembership { fleet, ..FleetMembership::default() };
    SnapshotRecord { at: LogPosition::default(), membership, state: Arc::from("") }
}
