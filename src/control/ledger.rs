//! The replicated state machine: the table and its history, edit outcomes, claims, members,
//! roll-outs, evacuations, quarantined contents and voter rules. It is deterministic: every replica applies the
//! same commands and reaches the same state.

use super::quarantine_log::QuarantineLog;
use crate::claim::{ClaimCommand, ClaimRegistry, ClaimReply};
use crate::evacuation::{EvacuationLog, EvacuationOrder, EvacuationRecord};
use crate::quarantine::{RequestFingerprint, SuspectRow};
use crate::replica::ReplicatedCommand;
use crate::rollout::{RolloutLog, RolloutOrder, RolloutReply, RolloutStep};
use crate::table::{CellChange, DaemonName, OperatorTable, VersionedTable, diff_tables};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of edits whose complete tables are retained for `table diff`.
const MAX_STORED_TABLES: usize = 32;
/// Number of edits whose records are retained.
const MAX_STORED_EDITS: usize = 1_000;
/// Number of outcomes retained for resent edits; more than one day's edits at the planned fleet
/// size.
const MAX_STORED_OUTCOMES: usize = 10_000;
/// Maximum number of differing cells stored with a conflict.
const MAX_CONFLICT_CELLS: usize = 50;

/// Approximate sizes of what log entries contain, in bytes.
const TABLE_ROW_BYTES: usize = 256;
const CLAIM_BYTES: usize = 256;
const SUSPECT_ROW_BYTES: usize = 256;

/// Table edit by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableEdit {
    /// Id chosen by the client, which reuses it when it resends the edit.
    pub edit_id: String,
    /// Operator's name, as given by the operator.
    pub operator: String,
    /// Wall-clock time of the leader at the proposal, in milliseconds.
    #[serde(default)]
    pub at: u64,
    /// Version on which the edit is based.
    pub base_version: u64,
    /// Hash of the base version.
    pub base_hash: String,
    /// New table.
    pub table: OperatorTable,
}

/// Record of an accepted edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRecord {
    /// Version created by the edit.
    pub version: u64,
    /// Hash of that version.
    pub hash: String,
    /// Id of the edit.
    pub edit_id: String,
    /// Operator who made the edit.
    pub operator: String,
    /// Wall-clock time of the leader at the proposal, in milliseconds.
    pub at: u64,
}

/// Details of a rejected edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EditConflict {
    /// The edit that was applied first.
    pub winner: Option<EditRecord>,
    /// Cells that differ between the table in force and the rejected one.
    pub difference: Vec<CellChange>,
}

/// Outcome of an edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EditOutcome {
    /// The edit was accepted and committed.
    Accepted(EditRecord),
    /// The edit was based on a version that is no longer in force.
    Conflict(EditConflict),
}

/// A complete table sent by an operator and ordered by the operator's own version number.
///
/// An alternative to edits based on a version, for operators that number their tables themselves:
/// the highest number wins, and a lower or equal one changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedTable {
    /// Operator's version number.
    pub version: u64,
    /// Document as it was received.
    pub document: Arc<str>,
}

/// Outcome of a numbered table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NumberedOutcome {
    /// The table is now in force.
    Taken,
    /// The version and the content equal those in force; the table was resent.
    Held,
    /// The version is not above the one in force and the content differs; nothing changes.
    Overtaken,
}

/// Command in the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ControlCommand {
    /// Changes the table.
    Edit(Box<TableEdit>),
    /// Replaces the table if the operator's version is above the one in force.
    Replace(Box<NumberedTable>),
    /// Changes a claim.
    Claim(ClaimCommand),
    /// Adds a daemon that may hold leases from now on.
    Join {
        /// Name of the daemon.
        daemon: DaemonName,
        /// Boot number of the daemon.
        boot: u64,
        /// Control address of the daemon if it serves callers; `None` otherwise, and in entries of
        /// builds that did not record it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        serves_at: Option<SocketAddr>,
    },
    /// Removes a daemon that no longer holds a lease.
    Leave {
        /// Name of the daemon.
        daemon: DaemonName,
        /// Boot number of the daemon that is removed.
        boot: u64,
    },
    /// Records upstreams that ended while running these contents.
    Quarantine {
        /// Crash records of the contents.
        rows: Vec<SuspectRow>,
        /// Wall-clock time of the leader at the proposal, in milliseconds.
        at: u64,
    },
    /// Releases a quarantined content on behalf of an operator.
    Release {
        /// Fingerprint of the content.
        request: RequestFingerprint,
        /// Wall-clock time of the leader at the proposal, in milliseconds.
        at: u64,
    },
    /// Starts a roll-out ordered by an operator.
    Rollout {
        /// Order for the roll-out.
        order: RolloutOrder,
        /// Wall-clock time of the leader at the proposal, in milliseconds.
        at: u64,
    },
    /// Advances or ends a roll-out, or only records its elapsed time.
    RolloutStep(RolloutStep),
    /// Sets whether a daemon with a data folder may become a voter.
    VoterRule {
        /// Name of the daemon.
        daemon: DaemonName,
        /// True if the daemon may become a voter.
        allowed: bool,
    },
    /// Evacuates a data centre or returns it to use, ordered by an operator.
    Evacuation {
        /// Order for the data centre.
        order: EvacuationOrder,
        /// Wall-clock time of the leader at the proposal, in milliseconds.
        at: u64,
    },
}

impl ReplicatedCommand for ControlCommand {
    fn size_bytes(&self) -> usize {
        match self {
            ControlCommand::Edit(edit) => edit.table.row_count() * TABLE_ROW_BYTES,
            ControlCommand::Replace(numbered) => numbered.document.len(),
            ControlCommand::Claim(claim) => CLAIM_BYTES + claim.body_bytes(),
            ControlCommand::Quarantine { rows, .. } => rows.len() * SUSPECT_ROW_BYTES,
            _ => 0,
        }
    }
}

/// Reply to a command.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlReply {
    /// Outcome of an edit.
    Edit(Box<EditOutcome>),
    /// Outcome of a numbered table.
    Replace(NumberedOutcome),
    /// Reply to a claim command.
    Claim(ClaimReply),
    /// Reply to a roll-out order.
    Rollout(Box<RolloutReply>),
    /// Stage of the data centre after an evacuation order.
    Evacuation(EvacuationRecord),
    /// Reply to all other commands.
    Done,
}

/// State of the replicated state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlLedger {
    table: VersionedTable,
    history: VecDeque<EditRecord>,
    tables: VecDeque<VersionedTable>,
    outcomes: VecDeque<StoredOutcome>,
    #[serde(skip)]
    outcomes_by_edit_id: HashMap<String, EditOutcome>,
    claims: ClaimRegistry,
    members: BTreeMap<DaemonName, u64>,
    /// Control addresses of the members that serve callers.
    #[serde(default)]
    serving: BTreeMap<DaemonName, SocketAddr>,
    barred: BTreeSet<DaemonName>,
    #[serde(default)]
    quarantine: QuarantineLog,
    #[serde(default)]
    rollouts: RolloutLog,
    #[serde(default)]
    evacuations: EvacuationLog,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredOutcome {
    edit_id: String,
    outcome: EditOutcome,
}

impl Default for ControlLedger {
    fn default() -> Self {
        ControlLedger {
            table: VersionedTable::new(0, OperatorTable::default()),
            history: VecDeque::new(),
            tables: VecDeque::new(),
            outcomes: VecDeque::new(),
            outcomes_by_edit_id: HashMap::new(),
            claims: ClaimRegistry::default(),
            members: BTreeMap::new(),
            serving: BTreeMap::new(),
            barred: BTreeSet::new(),
            quarantine: QuarantineLog::default(),
            rollouts: RolloutLog::default(),
            evacuations: EvacuationLog::default(),
        }
    }
}

impl ControlLedger {
    /// Serialises the state for a snapshot.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Restores the state from a snapshot; an empty text is the empty state.
    pub fn from_json(text: &str) -> Result<Self, serde_json::Error> {
        if text.is_empty() {
            return Ok(ControlLedger::default());
        }
        let mut ledger: ControlLedger = serde_json::from_str(text)?;
        ledger.outcomes_by_edit_id = ledger
            .outcomes
            .iter()
            .map(|stored| (stored.edit_id.clone(), stored.outcome.clone()))
            .collect();
        Ok(ledger)
    }

    /// Applies a command.
    pub fn apply(&mut self, command: &ControlCommand) -> ControlReply {
        match command {
            ControlCommand::Edit(edit) => return ControlReply::Edit(Box::new(self.edit(edit))),
            ControlCommand::Replace(numbered) => {
                return ControlReply::Replace(self.replace(numbered));
            }
            ControlCommand::Claim(claim) => return ControlReply::Claim(self.claims.apply(claim)),
            ControlCommand::Rollout { order, at } => {
                return ControlReply::Rollout(Box::new(self.rollouts.begin(order, *at)));
            }
            ControlCommand::Evacuation { order, at } => {
                return ControlReply::Evacuation(self.evacuations.apply(order, *at));
            }
            ControlCommand::RolloutStep(step) => self.rollouts.step(step),
            ControlCommand::Join { daemon, boot, serves_at } => {
                self.members.insert(daemon.clone(), *boot);
                match serves_at {
                    Some(address) => self.serving.insert(daemon.clone(), *address),
                    None => self.serving.remove(daemon),
                };
            }
            ControlCommand::Leave { daemon, boot } => {
                if self.members.get(daemon) == Some(boot) {
                    self.members.remove(daemon);
                    self.serving.remove(daemon);
                }
            }
            ControlCommand::Quarantine { rows, at } => self.quarantine.merge(rows, *at),
            ControlCommand::Release { request, at } => self.quarantine.release(*request, *at),
            ControlCommand::VoterRule { daemon, allowed: true } => {
                self.barred.remove(daemon);
            }
            ControlCommand::VoterRule { daemon, allowed: false } => {
                self.barred.insert(daemon.clone());
            }
        }
        ControlReply::Done
    }

    /// Applies an edit. A resent edit receives its first outcome, whatever has happened since.
    fn edit(&mut self, edit: &TableEdit) -> EditOutcome {
        if let Some(known) = self.outcomes_by_edit_id.get(&edit.edit_id) {
            return known.clone();
        }
        let is_current =
            edit.base_version == self.table.version && edit.base_hash == self.table.hash;
        let outcome = match is_current {
            true => EditOutcome::Accepted(self.accept(edit)),
            false => {
                let mut difference = diff_tables(&self.table.table, &edit.table);
                difference.truncate(MAX_CONFLICT_CELLS);
                EditOutcome::Conflict(EditConflict {
                    winner: self.history.back().cloned(),
                    difference,
                })
            }
        };
        self.store_outcome(&edit.edit_id, &outcome);
        outcome
    }

    /// Replaces the table if the version is higher. Older documents are not retained: they are
    /// large, and the operators keep them.
    fn replace(&mut self, numbered: &NumberedTable) -> NumberedOutcome {
        self.outcome_of(numbered).unwrap_or_else(|| {
            self.table = VersionedTable::from_document(numbered.version, &numbered.document);
            NumberedOutcome::Taken
        })
    }

    /// The outcome of a numbered table that changes nothing; `None` if it would be taken.
    pub fn outcome_of(&self, numbered: &NumberedTable) -> Option<NumberedOutcome> {
        if numbered.version > self.table.version {
            return None;
        }
        let is_same = numbered.version == self.table.version
            && self.table.document.as_ref() == Some(&numbered.document);
        Some(if is_same { NumberedOutcome::Held } else { NumberedOutcome::Overtaken })
    }

    fn accept(&mut self, edit: &TableEdit) -> EditRecord {
        self.tables.push_back(self.table.clone());
        if self.tables.len() > MAX_STORED_TABLES {
            self.tables.pop_front();
        }
        self.table = VersionedTable::new(self.table.version + 1, edit.table.clone());
        let record = EditRecord {
            version: self.table.version,
            hash: self.table.hash.clone(),
            edit_id: edit.edit_id.clone(),
            operator: edit.operator.clone(),
            at: edit.at,
        };
        self.history.push_back(record.clone());
        if self.history.len() > MAX_STORED_EDITS {
            self.history.pop_front();
        }
        record
    }

    fn store_outcome(&mut self, edit_id: &str, outcome: &EditOutcome) {
        self.outcomes_by_edit_id.insert(edit_id.to_owned(), outcome.clone());
        self.outcomes
            .push_back(StoredOutcome { edit_id: edit_id.to_owned(), outcome: outcome.clone() });
        if self.outcomes.len() > MAX_STORED_OUTCOMES
            && let Some(oldest) = self.outcomes.pop_front()
        {
            self.outcomes_by_edit_id.remove(&oldest.edit_id);
        }
    }

    /// Outcome of an edit that was already applied.
    pub fn outcome(&self, edit_id: &str) -> Option<&EditOutcome> {
        self.outcomes_by_edit_id.get(edit_id)
    }

    /// The table in force.
    pub fn table(&self) -> &VersionedTable {
        &self.table
    }

    /// The table of a version, if it is still retained.
    pub fn table_at(&self, version: u64) -> Option<&VersionedTable> {
        let mut tables = self.tables.iter().chain([&self.table]);
        tables.find(|table| table.version == version)
    }

    /// Accepted edits, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &EditRecord> {
        self.history.iter()
    }

    /// Daemons that may hold leases, with their boot numbers.
    pub fn members(&self) -> &BTreeMap<DaemonName, u64> {
        &self.members
    }

    /// Control addresses of the members that serve callers. Some may have ended.
    pub fn serving_addresses(&self) -> Vec<SocketAddr> {
        self.serving.values().copied().collect()
    }

    /// Quarantined contents.
    pub fn quarantine(&self) -> &QuarantineLog {
        &self.quarantine
    }

    /// Roll-outs of upstream software.
    pub fn rollouts(&self) -> &RolloutLog {
        &self.rollouts
    }

    /// Evacuations of data centres.
    pub fn evacuations(&self) -> &EvacuationLog {
        &self.evacuations
    }

    /// True if `daemon` may become a voter.
    pub fn may_vote(&self, daemon: &DaemonName) -> bool {
        !self.barred.contains(daemon)
    }

    /// Number of retained claims.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }
}
