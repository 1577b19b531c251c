//! The control loop: one task that owns the replica, the ledger, the folder and the registry of the fleet.
//!
//! Requests come over one channel. What has arrived is taken together, so that its entries share one
//! sync (group commit) and one message to each follower.

mod edits;
mod folder;
mod members;
mod quarantine;
mod reports;
mod rollouts;

use self::rollouts::RolloutDesk;
use super::fleet::{FleetRegistry, PoolOrder};
use super::joining::JoinedFleet;
use super::joining::join_or_found;
use super::ledger::{ControlCommand, ControlLedger, ControlReply};
use super::links::PeerLinks;
use super::packed_table::PackedTable;
use super::quarantine_log::RecentRequests;
use super::requests::{ControlHandle, ControlRequest};
use super::rpc::{DaemonStatus, LeaderAnswer};
use super::setup::ControlSetup;
use super::voter_folder::open_voter;
use super::waiters::{EntryWaiter, Waiting};
use crate::policy::Moment;
use crate::replica::{
    EntryPayload, FleetId, HardState, LogEntry, ReplicaCore, ReplicaEnvelope, ReplicaOutput,
    ReplicaRole, VoterId,
};
use crate::store::{DataFolder, FolderIdentity, StoreError};
use crate::table::{DaemonName, diff_tables};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::{info, warn};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// How often time passes for the replica.
const TICK: Duration = Duration::from_millis(20);
/// Requests taken together at most.
const TAKEN_TOGETHER: usize = 2_048;

/// Starts the control loop on the current runtime. `drain` is set by an operator's call.
pub fn start_control(
    setup: ControlSetup,
    drain: watch::Sender<bool>,
) -> Result<ControlHandle, StoreError> {
    let (sender, requests) = mpsc::unbounded_channel();
    let (reply_sender, replies) = mpsc::unbounded_channel();
    let links = PeerLinks::new(setup.key.clone(), setup.log.clone(), reply_sender);
    let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
    let voter = match &setup.data_folder {
        Some(folder) => Some(open_voter(&setup, folder, &mut rng)?),
        None => None,
    };
    let mut control = ControlLoop {
        ledger: ControlLedger::default(),
        core: None,
        store: None,
        hard: HardState::default(),
        identity: None,
        registry: None,
        fleet: None,
        links,
        rng,
        drain,
        waiting: Waiting::default(),
        proposals: Vec::new(),
        alone_since: Moment(0),
        dead_since: BTreeMap::new(),
        broken_since: None,
        sent: BTreeMap::new(),
        packed: PackedTable::default(),
        proposed_suspects: RecentRequests::default(),
        released: RecentRequests::default(),
        rollouts: RolloutDesk::default(),
        setup,
    };
    if let Some(voter) = voter {
        control.adopt(voter);
    }
    tokio::spawn(control.run(requests, replies));
    Ok(ControlHandle { sender })
}

struct ControlLoop {
    setup: ControlSetup,
    ledger: ControlLedger,
    core: Option<ReplicaCore<ControlCommand>>,
    store: Option<DataFolder>,
    hard: HardState,
    identity: Option<FolderIdentity>,
    registry: Option<FleetRegistry>,
    fleet: Option<FleetId>,
    links: PeerLinks,
    rng: ChaCha8Rng,
    drain: watch::Sender<bool>,
    waiting: Waiting,
    proposals: Vec<(Vec<ControlCommand>, EntryWaiter)>,
    /// Since when this voter has heard no leader, or asked to join.
    alone_since: Moment,
    dead_since: BTreeMap<DaemonName, Moment>,
    /// Since when the folder does not work, or when it was tried last.
    broken_since: Option<Moment>,
    /// The orders last sent to each daemon: a report is held only while they stay the same.
    sent: BTreeMap<DaemonName, Vec<PoolOrder>>,
    /// The table in force as it is sent to daemons.
    packed: PackedTable,
    /// Contents that were proposed to be held back a moment ago.
    proposed_suspects: RecentRequests,
    /// Contents that operators let through a moment ago.
    released: RecentRequests,
    /// Roll-outs that are under way, while this daemon leads.
    rollouts: RolloutDesk,
}

impl ControlLoop {
    fn now(&self) -> Moment {
        self.setup.clock.now()
    }

    async fn run(
        mut self,
        mut requests: mpsc::UnboundedReceiver<ControlRequest>,
        mut replies: mpsc::UnboundedReceiver<ReplicaEnvelope<ControlCommand>>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let (founding_sender, mut founding) = mpsc::channel(1);
        if self.store.is_some() && self.core.is_none() && !self.setup.founders.is_empty() {
            self.joined(JoinedFleet::FoundedTogether);
        }
        if self.store.is_some() && self.core.is_none() {
            tokio::spawn(join_or_found(self.joining(), founding_sender));
        }
        loop {
            tokio::select! {
                request = requests.recv() => {
                    let Some(request) = request else { return };
                    self.take(request);
                    for _ in 1..TAKEN_TOGETHER {
                        let Ok(request) = requests.try_recv() else { break };
                        self.take(request);
                    }
                    self.propose_taken();
                }
                Some(envelope) = replies.recv() => self.receive(envelope),
                Some(joined) = founding.recv() => self.joined(joined),
                _ = ticks.tick() => self.tick(),
            }
            self.answer_waiting();
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.reopen_if_broken(now);
        let Some(core) = &mut self.core else { return };
        let output = core.tick(now, &mut self.rng);
        self.settle(output, None);
        self.lead();
        self.ask_if_forgotten(now);
    }

    fn receive(&mut self, envelope: ReplicaEnvelope<ControlCommand>) {
        let now = self.now();
        let Some(core) = &mut self.core else { return };
        let output = core.receive(envelope, now, &mut self.rng);
        self.settle(output, None);
    }

    /// Does what an output asks, in the order that safety needs: sync, send, apply. Replies to
    /// `answering` are returned instead of sent.
    fn settle(
        &mut self,
        output: ReplicaOutput<ControlCommand>,
        answering: Option<&VoterId>,
    ) -> Vec<ReplicaEnvelope<ControlCommand>> {
        if let Some(hard) = &output.hard_state {
            self.hard = hard.clone();
        }
        if output.must_sync()
            && let Some(store) = &mut self.store
            && let Err(fault) = store.save(&output, &self.hard)
        {
            // A write that failed may be half done: what the folder holds is no longer known, so this
            // voter must not promise anything more until it has been read again.
            self.stop_voting(&fault);
            return Vec::new();
        }
        if let Some(snapshot) = &output.install_snapshot {
            self.load_ledger(&snapshot.state);
        }
        let mut answers = Vec::new();
        for envelope in output.messages {
            if answering == Some(&envelope.to) {
                answers.push(envelope);
            } else if let Some(address) = self.address_of(&envelope.to) {
                self.links.send(address, envelope);
            }
        }
        output.committed.iter().for_each(|entry| self.apply(entry));
        if let (Some(last), Some(store)) = (output.committed.last(), &mut self.store)
            && let Err(fault) = store.write_commit_index::<ControlCommand>(last.at.index)
        {
            warn!(self.setup.log, "cannot note what is committed"; "fault" => fault.to_string());
        }
        self.watch_role();
        self.compact_if_long();
        answers
    }

    fn address_of(&self, voter: &VoterId) -> Option<SocketAddr> {
        let known = self.core.as_ref().and_then(|core| core.membership().address(voter));
        known.or_else(|| {
            self.setup
                .peers
                .iter()
                .find(|peer| peer.daemon == voter.daemon)
                .map(|peer| peer.control)
        })
    }

    fn apply(&mut self, entry: &LogEntry<ControlCommand>) {
        let reply = match &entry.payload {
            EntryPayload::Command(command) => self.ledger.apply(command),
            EntryPayload::Empty | EntryPayload::Membership(_) => ControlReply::Done,
        };
        if let (
            Some(registry),
            EntryPayload::Command(ControlCommand::Join { .. } | ControlCommand::Leave { .. }),
        ) = (&mut self.registry, &entry.payload)
        {
            registry.set_members(self.ledger.members());
        }
        self.answer_entry(entry.at, reply);
    }

    fn propose_taken(&mut self) {
        let now = self.now();
        let mut taken = std::mem::take(&mut self.proposals);
        let Some(core) = &mut self.core else {
            return taken.into_iter().for_each(|(_, waiter)| waiter.elsewhere(None));
        };
        let commands: Vec<ControlCommand> =
            taken.iter_mut().flat_map(|(commands, _)| std::mem::take(commands)).collect();
        if commands.is_empty() {
            return;
        }
        let counts: Vec<usize> = taken.iter().map(|(_, waiter)| waiter.entry_count()).collect();
        match core.propose(commands, now) {
            Ok((first, output)) => {
                let term = core.term();
                let mut index = first - 1;
                for ((_, waiter), count) in taken.into_iter().zip(counts) {
                    index += count as u64;
                    self.waiting.entries.push_back((index, term, waiter));
                }
                self.settle(output, None);
            }
            Err(_) => {
                let leader = self.leader_address();
                taken.into_iter().for_each(|(_, waiter)| waiter.elsewhere(leader));
            }
        }
    }

    fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.core.as_ref()?.leader()?;
        self.address_of(leader)
    }

    /// True if this daemon leads and its word is the newest.
    fn holds_lease(&self) -> bool {
        self.core.as_ref().is_some_and(|core| core.has_lease(self.now()))
    }

    fn watch_role(&mut self) {
        let leads = self.core.as_ref().is_some_and(|core| core.role() == ReplicaRole::Leader);
        match (leads, self.registry.is_some()) {
            (true, false) => {
                info!(self.setup.log, "leads"; "term" => self.core.as_ref().map_or(0, ReplicaCore::term));
                let term = self.core.as_ref().map_or(0, ReplicaCore::term);
                self.registry = Some(FleetRegistry::new(
                    term,
                    self.setup.lease,
                    self.now(),
                    self.ledger.members(),
                ));
                self.dead_since.clear();
                self.sent.clear();
                self.rollouts.clear();
            }
            (false, true) => {
                info!(self.setup.log, "no longer leads");
                self.registry = None;
                let leader = self.leader_address();
                let waiting = std::mem::take(&mut self.waiting);
                waiting.entries.into_iter().for_each(|(_, _, waiter)| waiter.elsewhere(leader));
                waiting.reports.into_iter().for_each(|held| {
                    let _ = held.reply.send(LeaderAnswer::Elsewhere(leader));
                });
                // Accepted edits are committed whatever comes: their outcome stands.
                waiting.force.into_iter().for_each(|force| {
                    let _ = force.reply.send(LeaderAnswer::Done(force.answer));
                });
            }
            _ => {}
        }
    }

    fn take(&mut self, request: ControlRequest) {
        match request {
            ControlRequest::Replica { envelope, reply } => self.take_envelope(*envelope, reply),
            ControlRequest::Report { report, reply } => self.take_report(report, reply),
            ControlRequest::Claims { commands, reply } => self.take_claims(commands, reply),
            ControlRequest::Join { voter, control, reply } => self.take_join(voter, control, reply),
            ControlRequest::Fleet { reply } => drop(reply.send(self.fleet)),
            ControlRequest::Apply { edit, wait, reply } => self.take_edit(edit, wait, reply),
            ControlRequest::Replace { numbered, reply } => self.take_numbered(numbered, reply),
            ControlRequest::KnownTable { reply } => {
                let table = self.ledger.table();
                drop(reply.send((table.version > 0).then(|| table.clone())));
            }
            ControlRequest::Table { version, reply } => {
                let table = version
                    .map_or(Some(self.ledger.table()), |version| self.ledger.table_at(version))
                    .cloned();
                self.answer_read(table, reply);
            }
            ControlRequest::Diff { before, after, reply } => {
                let tables = self.ledger.table_at(before).zip(self.ledger.table_at(after));
                let difference =
                    tables.map(|(before, after)| diff_tables(&before.table, &after.table));
                self.answer_read(difference, reply);
            }
            ControlRequest::History { most, reply } => {
                let rows = self.ledger.history().rev().take(most).cloned().collect();
                self.answer_read(rows, reply);
            }
            ControlRequest::Voters { reply } => self.answer_read(self.voter_rows(), reply),
            ControlRequest::VoterRule { daemon, allowed, reply } => {
                let command = ControlCommand::VoterRule { daemon, allowed };
                self.proposals.push((vec![command], EntryWaiter::Voters { reply }));
            }
            ControlRequest::Quarantine { reply } => {
                self.answer_read(self.quarantine_rows(), reply);
            }
            ControlRequest::Release { request, reply } => self.take_release(request, reply),
            ControlRequest::Rollout { order, reply } => self.take_rollout(order, reply),
            ControlRequest::Rollouts { reply } => {
                self.answer_read(self.ledger.rollouts().iter().cloned().collect(), reply);
            }
            ControlRequest::Status { reply } => drop(reply.send(self.status())),
            ControlRequest::Drain { reply } => {
                self.drain.send_replace(true);
                let _ = reply.send(());
            }
        }
    }

    fn take_envelope(
        &mut self,
        envelope: ReplicaEnvelope<ControlCommand>,
        reply: oneshot::Sender<Vec<ReplicaEnvelope<ControlCommand>>>,
    ) {
        let now = self.now();
        let from = envelope.from.clone();
        let Some(core) = &mut self.core else { return drop(reply.send(Vec::new())) };
        let output = core.receive(envelope, now, &mut self.rng);
        let answers = self.settle(output, Some(&from));
        let _ = reply.send(answers);
    }

    /// The leader's address, unless that is this daemon, which then cannot answer yet.
    fn other_leader(&self) -> Option<SocketAddr> {
        self.leader_address().filter(|address| *address != self.setup.control)
    }

    fn status(&self) -> DaemonStatus {
        let table = self.ledger.table();
        let role = match (&self.core, self.store.is_some()) {
            (Some(core), _) => match core.role() {
                ReplicaRole::Leader => "leader",
                ReplicaRole::Follower if core.membership().voters.contains_key(core.id()) => {
                    "follower"
                }
                ReplicaRole::Follower => "learner",
                ReplicaRole::PreCandidate | ReplicaRole::Candidate => "candidate",
            },
            (None, true) => "joining",
            (None, false) => "diskless",
        };
        DaemonStatus {
            daemon: self.setup.daemon.to_string(),
            role: role.to_owned(),
            term: self.core.as_ref().map_or(0, ReplicaCore::term),
            leader: self.leader_address(),
            table_version: table.version,
            table_hash: table.hash.clone(),
            log_length: self.core.as_ref().map_or(0, ReplicaCore::log_len),
            applied: self.core.as_ref().map_or(0, ReplicaCore::applied_index),
            claims: self.ledger.claim_count(),
            members: self
                .registry
                .as_ref()
                .map_or_else(Vec::new, |registry| registry.view(self.now())),
        }
    }
}
