//! The control loop: a single task that owns the replica, the ledger, the data folder and the fleet
//! registry.
//!
//! Requests arrive over one channel. All requests that have arrived are handled as one batch, so
//! that their entries share one sync (group commit) and one message to each follower.

mod commit_watch;
mod edits;
mod evacuations;
mod folder;
mod held_requests;
mod members;
mod quarantine;
mod reports;
mod rollouts;
mod voter_exit;
mod voter_losses;

use self::commit_watch::CommitWatch;
use self::held_requests::HeldRequest;
use self::rollouts::RolloutTracker;
use self::voter_exit::VoterExits;
use self::voter_losses::LossReport;
use super::fleet::{FleetRegistry, PoolOrder};
use super::joining::JoinedFleet;
use super::joining::join_or_found;
use super::ledger::{ControlCommand, ControlLedger, ControlReply};
use super::links::PeerLinks;
use super::packed_table::PackedTableCache;
use super::quarantine_log::RecentRequests;
use super::requests::{ControlHandle, ControlRequest};
use super::rpc::{DaemonStatus, LeaderAnswer};
use super::serving_history::ServingHistory;
use super::setup::ControlSetup;
use super::voter_folder::open_voter_folder;
use super::waiters::{EntryWaiter, WaiterTable};
use crate::policy::Moment;
use crate::replica::{
    EntryPayload, FleetId, HardState, LogEntry, ReplicaCore, ReplicaEnvelope, ReplicaMessage,
    ReplicaOutput, ReplicaRole, VoterId,
};
use crate::store::{DataFolder, FolderIdentity, StoreError};
use crate::table::{DaemonName, diff_tables};
use metrics::{counter, histogram};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::{info, warn};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// Interval between ticks of the replica.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Delay of a tick, and duration of a sync, from which it is logged: as long as an interval between
/// heartbeats.
const REPORTED_DELAY: Duration = Duration::from_millis(100);
/// Minimum interval between syncs of the commit index. A sync keeps the control thread waiting for
/// the disk, so a series of edits must not cause one for each.
const COMMIT_SYNC_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of requests in one batch.
const MAX_REQUEST_BATCH: usize = 2_048;

/// Starts the control loop on the current runtime. `drain` is set when an operator asks the daemon
/// to drain.
pub fn start_control(
    setup: ControlSetup,
    drain: watch::Sender<bool>,
) -> Result<ControlHandle, StoreError> {
    let (sender, requests) = mpsc::unbounded_channel();
    let (reply_sender, replies) = mpsc::unbounded_channel();
    let announces_stop = setup.replaces_voters && setup.data_folder.is_some();
    let (exit_sender, exit_decided) = watch::channel(!announces_stop);
    let links = PeerLinks::new(setup.key.clone(), setup.log.clone(), reply_sender);
    let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
    let voter = match &setup.data_folder {
        Some(folder) => Some(open_voter_folder(&setup, folder, &mut rng)?),
        None => None,
    };
    let mut control = ControlLoop {
        ledger: ControlLedger::default(),
        core: None,
        store: None,
        hard_state: HardState::default(),
        identity: None,
        registry: None,
        fleet: None,
        links,
        rng,
        drain,
        waiting: WaiterTable::default(),
        proposals: Vec::new(),
        leaderless_since: Moment(0),
        dead_since: BTreeMap::new(),
        last_tick: setup.clock.now(),
        folder_failed_at: None,
        sent_orders: BTreeMap::new(),
        serving: ServingHistory::default(),
        packed_table: PackedTableCache::default(),
        recent_suspects: RecentRequests::default(),
        recent_releases: RecentRequests::default(),
        rollout_tracker: RolloutTracker::default(),
        last_role: ReplicaRole::Follower,
        exits: VoterExits::new(exit_sender),
        loss_report: LossReport::default(),
        commit_watch: CommitWatch::default(),
        held_requests: Vec::new(),
        named_voters: 0,
        commit_synced_at: Moment(0),
        setup,
    };
    if let Some(voter) = voter {
        control.install_voter(voter);
    }
    tokio::spawn(control.run(requests, replies));
    Ok(ControlHandle { sender, exit_decided })
}

struct ControlLoop {
    setup: ControlSetup,
    ledger: ControlLedger,
    core: Option<ReplicaCore<ControlCommand>>,
    store: Option<DataFolder>,
    hard_state: HardState,
    identity: Option<FolderIdentity>,
    registry: Option<FleetRegistry>,
    fleet: Option<FleetId>,
    links: PeerLinks,
    rng: ChaCha8Rng,
    drain: watch::Sender<bool>,
    waiting: WaiterTable,
    proposals: Vec<(Vec<ControlCommand>, EntryWaiter)>,
    /// Time since which no leader has been heard, or at which the voter last asked to join.
    leaderless_since: Moment,
    dead_since: BTreeMap<DaemonName, Moment>,
    last_tick: Moment,
    /// Time at which the data folder failed or was last tried again.
    folder_failed_at: Option<Moment>,
    /// Orders last sent to each daemon. A report is held only while they are unchanged.
    sent_orders: BTreeMap<DaemonName, Vec<PoolOrder>>,
    /// The daemons that serve callers, as sent to all daemons.
    serving: ServingHistory,
    /// The table in force as sent to the daemons.
    packed_table: PackedTableCache,
    /// Contents recently proposed for quarantine.
    recent_suspects: RecentRequests,
    /// Contents recently released by operators.
    recent_releases: RecentRequests,
    /// Roll-outs in progress, while this daemon leads.
    rollout_tracker: RolloutTracker,
    /// Members whose processes are about to end, and whether this one's exit is decided.
    exits: VoterExits,
    /// The losses that the voters bear, as last logged.
    loss_report: LossReport,
    /// Entries that wait for a quorum, and times without a lease, as last logged.
    commit_watch: CommitWatch,
    /// Operators' requests that wait until it is known who leads.
    held_requests: Vec<HeldRequest>,
    /// Number of times that operators were sent to another voter.
    named_voters: usize,
    /// Role in which the replica was last seen.
    last_role: ReplicaRole,
    /// Time at which the commit index was last made durable.
    commit_synced_at: Moment,
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
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let (founding_sender, mut founding) = mpsc::channel(1);
        if self.store.is_some() && self.core.is_none() && !self.setup.founders.is_empty() {
            self.enter_fleet(JoinedFleet::FoundedTogether);
        }
        if self.store.is_some() && self.core.is_none() {
            tokio::spawn(join_or_found(self.join_task(), founding_sender));
        }
        loop {
            tokio::select! {
                request = requests.recv() => {
                    let Some(request) = request else { return };
                    self.on_request(request);
                    for _ in 1..MAX_REQUEST_BATCH {
                        let Ok(request) = requests.try_recv() else { break };
                        self.on_request(request);
                    }
                    self.propose_pending();
                }
                Some(envelope) = replies.recv() => self.receive(envelope),
                Some(joined) = founding.recv() => self.enter_fleet(joined),
                _ = ticks.tick() => self.tick(),
            }
            self.retry_held();
            self.answer_waiting();
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.record_tick_delay(now);
        self.reopen_failed_folder(now);
        let Some(core) = &mut self.core else { return };
        let output = core.tick(now, &mut self.rng);
        self.process_output(output, None);
        self.run_leader_tasks();
        self.watch_commits(now);
        self.announce_stop(now);
        self.rejoin_if_leaderless(now);
        self.sync_commit_index(now);
    }

    /// Makes the commit index durable soon after it has risen, so that voters know after a loss of
    /// power what was in force before, although no further entry was stored.
    fn sync_commit_index(&mut self, now: Moment) {
        if now.since(self.commit_synced_at) < COMMIT_SYNC_INTERVAL {
            return;
        }
        let Some(store) = &mut self.store else { return };
        match store.sync_commit_index() {
            Ok(true) => self.commit_synced_at = now,
            Ok(false) => {}
            Err(fault) => {
                self.commit_synced_at = now;
                warn!(self.setup.log, "could not sync the commit index"; "fault" => fault.to_string());
            }
        }
    }

    /// Records how late a tick is. A late control thread answers no peer, operator or daemon.
    fn record_tick_delay(&mut self, now: Moment) {
        let delay = now.since(self.last_tick).saturating_sub(TICK_INTERVAL);
        self.last_tick = now;
        histogram!("tarragonknot_control_delay_seconds").record(delay);
        if delay >= REPORTED_DELAY {
            warn!(self.setup.log, "control thread was late"; "late_ms" => delay.as_millis() as u64);
        }
    }

    fn receive(&mut self, envelope: ReplicaEnvelope<ControlCommand>) {
        let now = self.now();
        let Some(core) = &mut self.core else { return };
        let output = core.receive(envelope, now, &mut self.rng);
        self.process_output(output, None);
    }

    /// Processes the output of the replica in the order that safety requires: sync, send, apply.
    /// Messages to `answering` are returned instead of sent.
    fn process_output(
        &mut self,
        output: ReplicaOutput<ControlCommand>,
        answering: Option<&VoterId>,
    ) -> Vec<ReplicaEnvelope<ControlCommand>> {
        if let Some(hard_state) = &output.hard_state {
            self.hard_state = hard_state.clone();
        }
        if output.must_sync()
            && let Err(fault) = self.save(&output)
        {
            // A failed write may be partially complete, so the contents of the folder are unknown.
            // This voter must make no promises until the folder has been read again.
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
            && let Err(fault) = store.write_commit_index(last.at.index)
        {
            warn!(self.setup.log, "could not record the commit index"; "fault" => fault.to_string());
        }
        self.update_role();
        self.compact_if_long();
        answers
    }

    /// Stores and syncs the records of `output`, during which the control thread does nothing else.
    fn save(&mut self, output: &ReplicaOutput<ControlCommand>) -> Result<(), StoreError> {
        let started = self.now();
        let Some(store) = &mut self.store else { return Ok(()) };
        let saved = store.save(output, &self.hard_state);
        let taken = self.now().since(started);
        histogram!("tarragonknot_sync_seconds").record(taken);
        if taken >= REPORTED_DELAY {
            warn!(self.setup.log, "data folder was slow"; "taken_ms" => taken.as_millis() as u64,
                "entries" => output.entries.len());
        }
        saved
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
        if let Some(registry) = &mut self.registry
            && let EntryPayload::Command(command) = &entry.payload
        {
            match command {
                ControlCommand::Join { daemon, boot, .. } => registry.add_member(daemon, *boot),
                ControlCommand::Leave { daemon, boot } => registry.remove_member(daemon, *boot),
                _ => {}
            }
        }
        self.answer_entry(entry.at, reply);
    }

    fn propose_pending(&mut self) {
        let now = self.now();
        let mut pending = std::mem::take(&mut self.proposals);
        let Some(core) = &mut self.core else {
            return pending.into_iter().for_each(|(_, waiter)| waiter.redirect(None));
        };
        let commands: Vec<ControlCommand> =
            pending.iter_mut().flat_map(|(commands, _)| std::mem::take(commands)).collect();
        if commands.is_empty() {
            return;
        }
        let counts: Vec<usize> = pending.iter().map(|(_, waiter)| waiter.entry_count()).collect();
        match core.propose(commands, now) {
            Ok((first, output)) => {
                let term = core.term();
                let mut index = first - 1;
                for ((_, waiter), count) in pending.into_iter().zip(counts) {
                    index += count as u64;
                    self.waiting.entries.push_back((index, term, waiter));
                }
                self.process_output(output, None);
            }
            Err(_) => {
                let leader = self.leader_address();
                pending.into_iter().for_each(|(_, waiter)| waiter.redirect(leader));
            }
        }
    }

    fn leader_address(&self) -> Option<SocketAddr> {
        let leader = self.core.as_ref()?.leader()?;
        self.address_of(leader)
    }

    /// True if this daemon leads and its state is up to date.
    fn holds_lease(&self) -> bool {
        self.core.as_ref().is_some_and(|core| core.has_lease(self.now()))
    }

    /// Logs that the replica begins to request votes.
    fn record_role(&mut self) {
        let Some(core) = &self.core else { return };
        let role = core.role();
        if role != self.last_role
            && matches!(role, ReplicaRole::PreCandidate | ReplicaRole::Candidate)
        {
            info!(self.setup.log, "stands for election"; "role" => format!("{role:?}"), "term" => core.term(),
                "last_index" => core.log().last().index, "last_term" => core.log().last().term,
                "committed" => core.commit_index(), "voters" => core.membership().voters.len());
        }
        self.last_role = role;
    }

    fn update_role(&mut self) {
        self.record_role();
        let is_leader = self.core.as_ref().is_some_and(|core| core.role() == ReplicaRole::Leader);
        match (is_leader, self.registry.is_some()) {
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
                self.sent_orders.clear();
                self.serving.clear();
                self.rollout_tracker.clear();
            }
            (false, true) => {
                info!(self.setup.log, "no longer leads"; "reason" => self.leadership_end(),
                    "silent_ms" => self.silences());
                self.registry = None;
                self.loss_report.clear();
                let leader = self.leader_address();
                let mut waiting = std::mem::take(&mut self.waiting);
                for (_, _, waiter) in waiting.entries {
                    match waiter.into_requests() {
                        Ok(requests) => requests.into_iter().for_each(|request| self.hold(request)),
                        Err(waiter) => waiter.redirect(leader),
                    }
                }
                waiting.reports.redirect_all(leader);
                // Accepted edits are already committed, so their outcome is final.
                waiting.in_force.into_iter().for_each(|force| {
                    let _ = force.reply.send(LeaderAnswer::Done(force.answer));
                });
            }
            _ => {}
        }
    }

    fn leadership_end(&self) -> String {
        let reason = self.core.as_ref().map(ReplicaCore::leadership_end);
        reason.flatten().map_or_else(|| "folder failed".to_owned(), |reason| format!("{reason:?}"))
    }

    /// The time since the last reply of each other member, as text for the log.
    fn silences(&self) -> String {
        let Some(core) = &self.core else { return String::new() };
        let now = self.now();
        let others = core.membership().members().map(|(id, _)| id).filter(|id| *id != core.id());
        let silences = others.filter_map(|id| {
            let silence = now.since(core.last_contact(id)?);
            Some(format!("{} {}", id.daemon, silence.as_millis()))
        });
        silences.collect::<Vec<String>>().join(", ")
    }

    fn on_request(&mut self, request: ControlRequest) {
        if let Some(request) = self.hold_if_unsettled(request) {
            self.decide(request);
        }
    }

    fn decide(&mut self, request: ControlRequest) {
        match request {
            ControlRequest::Replica { envelope, reply } => self.on_envelope(*envelope, reply),
            ControlRequest::Report { report, reply } => self.on_report(report, reply),
            ControlRequest::Claims { commands, reply } => self.on_claims(commands, reply),
            ControlRequest::Join { voter, control, reply } => self.on_join(voter, control, reply),
            ControlRequest::VoterStopping { voter, reply } => self.on_voter_stopping(voter, reply),
            ControlRequest::Fleet { reply } => drop(reply.send(self.fleet)),
            ControlRequest::Apply { edit, wait, reply } => self.on_edit(edit, wait, reply),
            ControlRequest::Replace { numbered, reply } => self.on_numbered(numbered, reply),
            ControlRequest::FleetSize { reply } => {
                let _ = reply.send(self.ledger.members().len());
            }
            ControlRequest::ServingMembers { reply } => {
                let _ = reply.send(self.ledger.serving_addresses());
            }
            ControlRequest::KnownTable { reply } => {
                let table = self.ledger.table();
                drop(reply.send((table.version > 0).then(|| table.clone())));
            }
            ControlRequest::NewerTable { known, reply } => {
                drop(reply.send(self.newer_table(known)));
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
            ControlRequest::Release { request, reply } => self.on_release(request, reply),
            ControlRequest::Rollout { order, reply } => self.on_rollout(order, reply),
            ControlRequest::Rollouts { reply } => {
                self.answer_read(self.ledger.rollouts().iter().cloned().collect(), reply);
            }
            ControlRequest::Evacuate { order, reply } => self.on_evacuation(order, reply),
            ControlRequest::Evacuations { reply } => {
                self.answer_read(self.ledger.evacuations().iter().cloned().collect(), reply);
            }
            ControlRequest::Status { reply } => drop(reply.send(self.status())),
            ControlRequest::Drain { reply } => {
                self.drain.send_replace(true);
                let _ = reply.send(());
            }
        }
    }

    fn on_envelope(
        &mut self,
        envelope: ReplicaEnvelope<ControlCommand>,
        reply: oneshot::Sender<Vec<ReplicaEnvelope<ControlCommand>>>,
    ) {
        let now = self.now();
        let from = envelope.from.clone();
        let Some(core) = &mut self.core else { return drop(reply.send(Vec::new())) };
        let output = core.receive(envelope, now, &mut self.rng);
        let answers = self.process_output(output, Some(&from));
        self.log_refused_votes(&answers);
        let _ = reply.send(answers);
    }

    /// The committed table that this daemon knows, packed, if its version is above `known`.
    fn newer_table(&mut self, known: u64) -> Option<Arc<str>> {
        let table = self.ledger.table();
        if table.version <= known {
            return None;
        }
        let packed = self.packed_table.get(table)?;
        counter!("tarragonknot_known_tables_total").increment(1);
        info!(self.setup.log, "table sent without orders"; "version" => table.version, "known" => known,
            "bytes" => packed.len(), "committed" => self.core.as_ref().map_or(0, ReplicaCore::commit_index));
        Some(packed)
    }

    fn log_refused_votes(&self, answers: &[ReplicaEnvelope<ControlCommand>]) {
        let Some(core) = &self.core else { return };
        let is_refusal = |envelope: &&ReplicaEnvelope<ControlCommand>| {
            matches!(
                envelope.message,
                ReplicaMessage::PreVoteReply { granted: false }
                    | ReplicaMessage::VoteReply { granted: false }
            )
        };
        for refusal in answers.iter().filter(is_refusal) {
            info!(self.setup.log, "vote refused"; "candidate" => refusal.to.to_string(), "term" => core.term(),
                "last_index" => core.log().last().index, "last_term" => core.log().last().term,
                "leader" => core.leader().map_or_else(String::new, VoterId::to_string));
        }
    }

    /// The leader's address, or `None` if it is this daemon, which cannot answer yet.
    fn remote_leader(&self) -> Option<SocketAddr> {
        self.leader_address().filter(|address| *address != self.setup.control)
    }

    fn status(&self) -> DaemonStatus {
        let table = self.ledger.table();
        let (losses_borne, absent_voters) = self.loss_report.for_status();
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
            losses_borne,
            absent_voters,
            members: self
                .registry
                .as_ref()
                .map_or_else(Vec::new, |registry| registry.member_views(self.now())),
        }
    }
}
