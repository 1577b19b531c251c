//! The replicated state machine: the table and its history, edit outcomes, claims, members, voters'
//! rules. Deterministic: every replica applies the same commands and comes to the same state.

use super::quarantine_log::QuarantineLog;
use crate::claim::{ClaimCommand, ClaimRegistry, ClaimReply};
use crate::quarantine::{RequestFingerprint, SuspectRow};
use crate::rollout::{RolloutLog, RolloutOrder, RolloutReply, RolloutStep};
use crate::table::{CellChange, DaemonName, OperatorTable, VersionedTable, diff_tables};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

/// Edits whose whole tables are kept, for `table diff`.
const KEPT_TABLES: usize = 32;
/// Edits whose records are kept.
const KEPT_EDITS: usize = 1_000;
/// Outcomes kept for resends; more than a day's edits at the planned size.
const KEPT_OUTCOMES: usize = 10_000;
/// Cells of a difference kept with a conflict.
const KEPT_CELLS: usize = 50;

/// An operator's edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableEdit {
    /// Made by the client and kept for a resend.
    pub edit_id: String,
    /// Who made it, as the operator says.
    pub operator: String,
    /// The leader's wall clock when it was proposed, in milliseconds.
    #[serde(default)]
    pub at: u64,
    /// The version it was made from.
    pub base_version: u64,
    /// The hash of that version.
    pub base_hash: String,
    /// The new table.
    pub table: OperatorTable,
}

/// An accepted edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditRecord {
    /// The version it made.
    pub version: u64,
    /// That version's hash.
    pub hash: String,
    /// The edit.
    pub edit_id: String,
    /// Who made it.
    pub operator: String,
    /// When, in milliseconds of the leader's wall clock.
    pub at: u64,
}

/// Why an edit was not accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EditConflict {
    /// The edit that came first.
    pub winner: Option<EditRecord>,
    /// What would change from the table in force to the refused one.
    pub difference: Vec<CellChange>,
}

/// What became of an edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EditOutcome {
    /// Accepted and committed.
    Accepted(EditRecord),
    /// Made from a version that is no longer in force.
    Conflict(EditConflict),
}

/// A whole table as an operator sent it, ordered by the operator's own version.
///
/// Beside edits made from a base version: where operators number their tables themselves, the highest number
/// wins, and a lower or equal one changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedTable {
    /// The operator's version.
    pub version: u64,
    /// The document, as it was sent.
    pub document: Arc<str>,
}

/// What became of a numbered table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NumberedOutcome {
    /// It is the table in force from now on.
    Taken,
    /// Its version is the one held, and so is its content: a resend.
    Held,
    /// Its version is not above the one held, and its content is not the one held; it changes nothing.
    Overtaken,
}

/// A command in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ControlCommand {
    /// Change the table.
    Edit(Box<TableEdit>),
    /// Replace the table, if the operator's version is above the one held.
    Replace(Box<NumberedTable>),
    /// Change a claim.
    Claim(ClaimCommand),
    /// A daemon may hold leases from now on.
    Join {
        /// The daemon.
        daemon: DaemonName,
        /// Its boot number.
        boot: u64,
    },
    /// A daemon holds no lease any more.
    Leave {
        /// The daemon.
        daemon: DaemonName,
        /// The boot number that left.
        boot: u64,
    },
    /// Upstreams ended under these contents.
    Quarantine {
        /// The contents.
        rows: Vec<SuspectRow>,
        /// The leader's wall clock when it was proposed, in milliseconds.
        at: u64,
    },
    /// An operator lets a content through that was held back.
    Release {
        /// The content.
        request: RequestFingerprint,
        /// The leader's wall clock when it was proposed, in milliseconds.
        at: u64,
    },
    /// An operator orders a roll-out.
    Rollout {
        /// The order.
        order: RolloutOrder,
        /// The leader's wall clock when it was proposed, in milliseconds.
        at: u64,
    },
    /// A roll-out goes on, ends, or only lasts.
    RolloutStep(RolloutStep),
    /// Whether a daemon with a data folder may become a voter.
    VoterRule {
        /// The daemon.
        daemon: DaemonName,
        /// True if it may.
        allowed: bool,
    },
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq)]
pub enum ControlReply {
    /// To an edit.
    Edit(Box<EditOutcome>),
    /// To a numbered table.
    Replace(NumberedOutcome),
    /// To a claim.
    Claim(ClaimReply),
    /// To an order of a roll-out.
    Rollout(Box<RolloutReply>),
    /// To the others.
    Done,
}

/// The state machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlLedger {
    table: VersionedTable,
    history: VecDeque<EditRecord>,
    tables: VecDeque<VersionedTable>,
    outcomes: VecDeque<KeptOutcome>,
    #[serde(skip)]
    by_edit: HashMap<String, EditOutcome>,
    claims: ClaimRegistry,
    members: BTreeMap<DaemonName, u64>,
    barred: BTreeSet<DaemonName>,
    #[serde(default)]
    quarantine: QuarantineLog,
    #[serde(default)]
    rollouts: RolloutLog,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct KeptOutcome {
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
            by_edit: HashMap::new(),
            claims: ClaimRegistry::default(),
            members: BTreeMap::new(),
            barred: BTreeSet::new(),
            quarantine: QuarantineLog::default(),
            rollouts: RolloutLog::default(),
        }
    }
}

impl ControlLedger {
    /// The state as text, for a snapshot.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// The state from a snapshot's text; an empty text is the empty state.
    pub fn from_text(text: &str) -> Result<Self, serde_json::Error> {
        if text.is_empty() {
            return Ok(ControlLedger::default());
        }
        let mut ledger: ControlLedger = serde_json::from_str(text)?;
        ledger.by_edit = ledger
            .outcomes
            .iter()
            .map(|kept| (kept.edit_id.clone(), kept.outcome.clone()))
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
            ControlCommand::RolloutStep(step) => self.rollouts.step(step),
            ControlCommand::Join { daemon, boot } => {
                self.members.insert(daemon.clone(), *boot);
            }
            ControlCommand::Leave { daemon, boot } => {
                if self.members.get(daemon) == Some(boot) {
                    self.members.remove(daemon);
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

    /// A resend of a known edit gets its first outcome, whatever happened since.
    fn edit(&mut self, edit: &TableEdit) -> EditOutcome {
        if let Some(known) = self.by_edit.get(&edit.edit_id) {
            return known.clone();
        }
        let is_current =
            edit.base_version == self.table.version && edit.base_hash == self.table.hash;
        let outcome = match is_current {
            true => EditOutcome::Accepted(self.accept(edit)),
            false => {
                let mut difference = diff_tables(&self.table.table, &edit.table);
                difference.truncate(KEPT_CELLS);
                EditOutcome::Conflict(EditConflict {
                    winner: self.history.back().cloned(),
                    difference,
                })
            }
        };
        self.keep_outcome(&edit.edit_id, &outcome);
        outcome
    }

    /// Older documents are not kept: they are large, and their operators keep them.
    fn replace(&mut self, numbered: &NumberedTable) -> NumberedOutcome {
        if numbered.version > self.table.version {
            self.table = VersionedTable::from_document(numbered.version, &numbered.document);
            return NumberedOutcome::Taken;
        }
        let is_same = numbered.version == self.table.version
            && self.table.document.as_ref() == Some(&numbered.document);
        if is_same { NumberedOutcome::Held } else { NumberedOutcome::Overtaken }
    }

    fn accept(&mut self, edit: &TableEdit) -> EditRecord {
        self.tables.push_back(self.table.clone());
        if self.tables.len() > KEPT_TABLES {
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
        if self.history.len() > KEPT_EDITS {
            self.history.pop_front();
        }
        record
    }

    fn keep_outcome(&mut self, edit_id: &str, outcome: &EditOutcome) {
        self.by_edit.insert(edit_id.to_owned(), outcome.clone());
        self.outcomes
            .push_back(KeptOutcome { edit_id: edit_id.to_owned(), outcome: outcome.clone() });
        if self.outcomes.len() > KEPT_OUTCOMES
            && let Some(oldest) = self.outcomes.pop_front()
        {
            self.by_edit.remove(&oldest.edit_id);
        }
    }

    /// The outcome of an edit that was applied before.
    pub fn outcome(&self, edit_id: &str) -> Option<&EditOutcome> {
        self.by_edit.get(edit_id)
    }

    /// The table in force.
    pub fn table(&self) -> &VersionedTable {
        &self.table
    }

    /// The table of a version, if it is still kept.
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

    /// Contents that are held back.
    pub fn quarantine(&self) -> &QuarantineLog {
        &self.quarantine
    }

    /// Roll-outs of upstreams' software.
    pub fn rollouts(&self) -> &RolloutLog {
        &self.rollouts
    }

    /// True if `daemon` may become a voter.
    pub fn may_vote(&self, daemon: &DaemonName) -> bool {
        !self.barred.contains(daemon)
    }

    /// Claims kept.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }
}
