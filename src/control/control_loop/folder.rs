//! The loop's end of the data folder: starting from it, keeping it short, and what happens when it fails.

use super::ControlLoop;
use crate::control::ledger::{ControlCommand, ControlLedger};
use crate::control::voter_folder::{OpenVoter, blank_snapshot, open_voter};
use crate::policy::Moment;
use crate::replica::{InitialState, ReplicaCore, SnapshotRecord};
use crate::store::{FolderIdentity, FolderState, StoreError};
use slog::{error, info, warn};
use std::sync::Arc;
use std::time::Duration;

/// A snapshot is kept after this many entries.
const SNAPSHOT_ENTRIES: usize = 4_096;
/// Time between attempts to use a folder again that failed.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

impl ControlLoop {
    pub(super) fn adopt(&mut self, voter: OpenVoter) {
        let OpenVoter { store, identity, state } = voter;
        self.store = Some(store);
        self.hard = state.hard_state.clone();
        if let Some(fleet) = identity.fleet {
            self.fleet = Some(fleet);
            let snapshot = state.snapshot.clone().unwrap_or_else(|| blank_snapshot(fleet));
            self.load_ledger(&snapshot.state);
            self.start_core(&identity, snapshot, state);
        }
        self.identity = Some(identity);
    }

    pub(super) fn load_ledger(&mut self, text: &str) {
        match ControlLedger::from_text(text) {
            Ok(ledger) => self.ledger = ledger,
            Err(fault) => {
                error!(self.setup.log, "snapshot does not hold a ledger"; "fault" => fault.to_string())
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

    /// Leaves the fleet's decisions to the others until the folder can be read again.
    pub(super) fn stop_voting(&mut self, fault: &StoreError) {
        error!(self.setup.log, "cannot keep the log; not voting until the folder works again"; "fault" => fault.to_string());
        self.core = None;
        self.broken_since = Some(self.now());
        self.watch_role();
    }

    /// Starts again from what the folder holds, as after a restart. What goes wrong without it: a disk that was
    /// full for a moment costs the voter for good although its process runs, and the next such disk the quorum.
    pub(super) fn reopen_if_broken(&mut self, now: Moment) {
        let Some(since) = self.broken_since.filter(|since| now.since(*since) >= REOPEN_PAUSE)
        else {
            return;
        };
        let Some(folder) = self.setup.data_folder.clone() else { return };
        self.broken_since = Some(now);
        // The folder's lock goes before it is taken again.
        self.store = None;
        match open_voter(&self.setup, &folder, &mut self.rng) {
            Ok(voter) => {
                info!(self.setup.log, "folder works again"; "after_ms" => now.since(since).as_millis() as u64);
                self.broken_since = None;
                self.adopt(voter);
            }
            Err(fault) => {
                warn!(self.setup.log, "folder does not work yet"; "fault" => fault.to_string());
            }
        }
    }

    pub(super) fn compact_if_long(&mut self) {
        let (Some(core), Some(store)) = (&mut self.core, &mut self.store) else { return };
        let covered = core.applied_index().saturating_sub(core.log().base().index);
        if (covered as usize) < SNAPSHOT_ENTRIES {
            return;
        }
        let snapshot = core.compact(Arc::from(self.ledger.to_text()));
        if let Err(fault) = store.replace_with_snapshot(&snapshot, &self.hard, core.log().entries())
        {
            self.stop_voting(&fault);
        }
    }
}
