//! The control loop's use of the data folder: start-up, log compaction and recovery from I/O
//! errors.

use super::ControlLoop;
use crate::control::ledger::{ControlCommand, ControlLedger};
use crate::control::voter_folder::{VoterFolder, empty_snapshot, open_voter_folder};
use crate::policy::Moment;
use crate::replica::{InitialState, ReplicaCore, SnapshotRecord};
use crate::store::{FolderIdentity, FolderState, StoreError};
use slog::{error, info, warn};
use std::sync::Arc;
use std::time::Duration;

/// Delay between attempts to reopen a failed data folder.
const REOPEN_RETRY_DELAY: Duration = Duration::from_millis(500);

impl ControlLoop {
    pub(super) fn install_voter(&mut self, voter: VoterFolder) {
        let VoterFolder { store, identity, state } = voter;
        self.store = Some(store);
        self.hard_state = state.hard_state.clone();
        if let Some(fleet) = identity.fleet {
            self.fleet = Some(fleet);
            let snapshot = state.snapshot.clone().unwrap_or_else(|| empty_snapshot(fleet));
            self.load_ledger(&snapshot.state);
            self.start_core(&identity, snapshot, state);
        }
        self.identity = Some(identity);
    }

    pub(super) fn load_ledger(&mut self, text: &str) {
        match ControlLedger::from_json(text) {
            Ok(ledger) => self.ledger = ledger,
            Err(fault) => {
                error!(self.setup.log, "snapshot does not contain a valid ledger"; "fault" => fault.to_string())
            }
        }
    }

    pub(super) fn start_core(
        &mut self,
        identity: &FolderIdentity,
        snapshot: SnapshotRecord,
        state: FolderState<ControlCommand>,
    ) {
        let start = InitialState {
            id: identity.voter.clone(),
            hard_state: state.hard_state,
            snapshot,
            entries: state.entries,
            commit_index: state.commit_index,
        };
        let now = self.now();
        info!(self.setup.log, "voter started"; "voter" => identity.voter.to_string(), "entries" => start.entries.len());
        self.core = Some(ReplicaCore::new(self.setup.replica, start, now, &mut self.rng));
    }

    /// Stops taking part in votes until the data folder can be read again.
    pub(super) fn stop_voting(&mut self, fault: &StoreError) {
        error!(self.setup.log, "could not write to the data folder; not voting until it can be used again"; "fault" => fault.to_string());
        self.core = None;
        self.folder_failed_at = Some(self.now());
        self.update_role();
    }

    /// Restarts the voter from the contents of its data folder, as after a process restart. Without
    /// this, a disk that was full for a moment would disable the voter permanently although its
    /// process runs, and the next such disk would cost the quorum.
    pub(super) fn reopen_failed_folder(&mut self, now: Moment) {
        let Some(since) =
            self.folder_failed_at.filter(|since| now.since(*since) >= REOPEN_RETRY_DELAY)
        else {
            return;
        };
        let Some(folder) = self.setup.data_folder.clone() else { return };
        self.folder_failed_at = Some(now);
        // The lock on the folder must be released before it is taken again.
        self.store = None;
        match open_voter_folder(&self.setup, &folder, &mut self.rng) {
            Ok(voter) => {
                info!(self.setup.log, "data folder can be used again"; "after_ms" => now.since(since).as_millis() as u64);
                self.folder_failed_at = None;
                self.install_voter(voter);
            }
            Err(fault) => {
                warn!(self.setup.log, "data folder cannot be used yet"; "fault" => fault.to_string());
            }
        }
    }

    pub(super) fn compact_if_long(&mut self) {
        let (Some(core), Some(store)) = (&mut self.core, &mut self.store) else { return };
        if !core.should_compact() {
            return;
        }
        let started = self.setup.clock.now();
        let snapshot = core.compact(Arc::from(self.ledger.to_json()));
        let entries = core.entries_after_snapshot();
        let stored = store.replace_with_snapshot(&snapshot, &self.hard_state, entries);
        info!(self.setup.log, "snapshot written"; "index" => snapshot.at.index, "bytes" => snapshot.state.len(),
            "taken_ms" => self.now().since(started).as_millis() as u64);
        if let Err(fault) = stored {
            self.stop_voting(&fault);
        }
    }
}
