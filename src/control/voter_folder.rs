//! Opens the data folder of a voter.

use super::ledger::ControlCommand;
use super::setup::{ControlSetup, unix_millis};
use crate::replica::{FleetId, FleetMembership, LogPosition, SnapshotRecord};
use crate::store::{DataFolder, FolderIdentity, FolderState, StoreError};
use rand_chacha::ChaCha8Rng;
use slog::error;
use std::path::Path;
use std::sync::Arc;

/// The opened data folder of a voter, with its contents.
pub struct VoterFolder {
    /// The open folder.
    pub store: DataFolder,
    /// The identity of the voter that owns it.
    pub identity: FolderIdentity,
    /// The snapshot and log read from it.
    pub state: FolderState<ControlCommand>,
}

/// Opens the folder. A damaged or copied folder is set aside, and the voter rejoins under a new
/// identity and receives its state from the others. It must not vote from a state that may have
/// lost entries.
pub fn open_voter_folder(
    setup: &ControlSetup,
    folder: &Path,
    rng: &mut ChaCha8Rng,
) -> Result<VoterFolder, StoreError> {
    match load_voter_folder(setup, folder, rng) {
        Err(fault @ (StoreError::Damaged { .. } | StoreError::Foreign { .. })) => {
            let is_other_daemon = matches!(&fault, StoreError::Foreign { detail, .. } if detail.starts_with("belongs"));
            if is_other_daemon {
                return Err(fault);
            }
            let aside = DataFolder::set_aside(folder, unix_millis())?;
            error!(setup.log, "data folder set aside; joining again under a new identity";
                "fault" => fault.to_string(), "aside" => aside.display().to_string());
            load_voter_folder(setup, folder, rng)
        }
        read => read,
    }
}

fn load_voter_folder(
    setup: &ControlSetup,
    folder: &Path,
    rng: &mut ChaCha8Rng,
) -> Result<VoterFolder, StoreError> {
    let mut store = DataFolder::open(folder)?;
    let identity = match FolderIdentity::load(folder, &setup.daemon)? {
        Some(identity) => identity,
        None => FolderIdentity::create(folder, &setup.daemon, rng)?,
    };
    let state = store.load(&setup.log)?;
    Ok(VoterFolder { store, identity, state })
}

/// Returns the snapshot of a voter without any state.
pub fn empty_snapshot(fleet: FleetId) -> SnapshotRecord {
    let membership = FleetMembership { fleet, ..FleetMembership::default() };
    SnapshotRecord { at: LogPosition::default(), membership, state: Arc::from("") }
}
