//! The control loop: one task that owns the replica, the ledger, the folder and the fleet's book.
//!
//! Requests come over one channel. What has arrived is taken together, so that its entries share one
//! sync (group commit) and one message to each follower.

use super::fleet::{DaemonReport, FleetBook, ReportAnswer, ReportVerdict};
use super::joining::{
    JoinTask, JoinedFleet, ask_to_join, founding_membership, founding_voter, join_or_found,
};
use super::ledger::{
    ControlCommand, ControlLedger, ControlReply, EditOutcome, NumberedOutcome, NumberedTable,
    TableEdit,
};
use super::links::{FleetKey, PeerLinks};
use super::rpc::{
    ApplyAnswer, DaemonStatus, EditProgress, HistoryRow, JoinAnswer, LeaderAnswer, VoterRow,
};
use super::voter_folder::{OpenVoter, blank_snapshot, open_voter};
use super::voting::{lost_voters, may_join, next_step};
use super::waiters::{EntryWaiter, ForceWait, HeldReport, ReplyTo, Waiting};
use crate::claim::{ClaimCommand, ClaimReply};
use crate::policy::Moment;
use crate::replica::{
    EntryPayload, FleetId, FleetMembership, HardState, LogEntry, LogPosition, ReplicaConfig,
    ReplicaCore, ReplicaEnvelope, ReplicaOutput, ReplicaRole, ReplicaStart, SnapshotRecord,
    VoterId,
};
use crate::settings::PeerRow;
use crate::store::{FolderIdentity, FolderState, StoreError, StoreFolder};
use crate::table::{CellChange, DaemonName, VersionedTable, diff_tables};
use crate::traffic::TrafficClock;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, error, info, warn};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch};

/// How often time passes for the replica.
const TICK: Duration = Duration::from_millis(20);
/// Requests taken together at most.
const TAKEN_TOGETHER: usize = 2_048;
/// A report is answered after this long even if no order changed.
const REPORT_HOLD: Duration = Duration::from_millis(400);
/// An operator's `--wait` lasts at most this long.
const FORCE_WAIT: Duration = Duration::from_secs(10);
/// A snapshot is kept after this many entries.
const SNAPSHOT_ENTRIES: usize = 4_096;
/// A member is taken off the list after it has been dead for this long, beyond its lease.
const DEAD_FOR: Duration = Duration::from_secs(10);
/// Time between attempts to use a folder again that failed.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);
/// A voter that hears no leader for this long asks to join again.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(2);

/// What the control loop needs to start.
#[derive(Clone, Debug)]
pub struct ControlSetup {
    /// The daemon.
    pub daemon: DaemonName,
    /// Its control address.
    pub control: SocketAddr,
    /// Its data folder; none for a diskless daemon.
    pub data_folder: Option<PathBuf>,
    /// The other voters.
    pub peers: Vec<PeerRow>,
    /// The voters that found the fleet together, this one among them; empty where that is not to be done.
    pub founders: Vec<PeerRow>,
    /// True if voters that are lost are replaced by new ones without an operator.
    pub replaces_voters: bool,
    /// True if it may found a fleet when every peer answers that it belongs to none.
    pub found_fleet: bool,
    /// The fleet's key.
    pub key: FleetKey,
    /// The currency lease.
    pub lease: Duration,
    /// Times of the replica.
    pub replica: ReplicaConfig,
    /// The clock shared with traffic.
    pub clock: TrafficClock,
    /// Logs.
    pub log: Logger,
    /// Seed of random numbers.
    pub seed: u64,
}

/// A request to the control loop.
#[derive(Debug)]
#[allow(missing_docs)]
pub enum ControlRequest {
    Replica {
        envelope: Box<ReplicaEnvelope<ControlCommand>>,
        reply: oneshot::Sender<Vec<ReplicaEnvelope<ControlCommand>>>,
    },
    Report {
        report: DaemonReport,
        reply: oneshot::Sender<LeaderAnswer<ReportAnswer>>,
    },
    Claims {
        commands: Vec<ClaimCommand>,
        reply: oneshot::Sender<LeaderAnswer<Vec<ClaimReply>>>,
    },
    Join {
        voter: VoterId,
        control: SocketAddr,
        reply: oneshot::Sender<LeaderAnswer<JoinAnswer>>,
    },
    Fleet {
        reply: oneshot::Sender<Option<FleetId>>,
    },
    Apply {
        edit: Box<TableEdit>,
        wait: bool,
        reply: oneshot::Sender<LeaderAnswer<ApplyAnswer>>,
    },
    Replace {
        numbered: Box<NumberedTable>,
        reply: oneshot::Sender<LeaderAnswer<NumberedOutcome>>,
    },
    KnownTable {
        reply: oneshot::Sender<Option<VersionedTable>>,
    },
    Table {
        version: Option<u64>,
        reply: oneshot::Sender<LeaderAnswer<Option<VersionedTable>>>,
    },
    Diff {
        before: u64,
        after: u64,
        reply: oneshot::Sender<LeaderAnswer<Option<Vec<CellChange>>>>,
    },
    History {
        most: usize,
        reply: oneshot::Sender<LeaderAnswer<Vec<HistoryRow>>>,
    },
    Voters {
        reply: oneshot::Sender<LeaderAnswer<Vec<VoterRow>>>,
    },
    VoterRule {
        daemon: DaemonName,
        allowed: bool,
        reply: oneshot::Sender<LeaderAnswer<Vec<VoterRow>>>,
    },
    Status {
        reply: oneshot::Sender<DaemonStatus>,
    },
    Drain {
        reply: oneshot::Sender<()>,
    },
}

/// A way to ask the control loop.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    sender: mpsc::UnboundedSender<ControlRequest>,
}

impl ControlHandle {
    /// Sends a request and waits for its answer; none if the loop has ended.
    pub async fn ask<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.sender.send(request(sender)).ok()?;
        receiver.await.ok()
    }
}

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
        book: None,
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
        setup,
    };
    if let Some(voter) = voter {
        control.adopt(voter);
    }
    tokio::spawn(control.run(requests, replies));
    Ok(ControlHandle { sender })
}

/// Wall-clock time in milliseconds.
pub(super) fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

struct ControlLoop {
    setup: ControlSetup,
    ledger: ControlLedger,
    core: Option<ReplicaCore<ControlCommand>>,
    store: Option<StoreFolder>,
    hard: HardState,
    identity: Option<FolderIdentity>,
    book: Option<FleetBook>,
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
    sent: BTreeMap<DaemonName, Vec<super::fleet::PoolOrder>>,
}

impl ControlLoop {
    fn now(&self) -> Moment {
        self.setup.clock.now()
    }

    fn adopt(&mut self, voter: OpenVoter) {
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

    fn load_ledger(&mut self, text: &str) {
        match ControlLedger::from_text(text) {
            Ok(ledger) => self.ledger = ledger,
            Err(fault) => {
                error!(self.setup.log, "snapshot does not hold a ledger"; "fault" => fault.to_string())
            }
        }
    }

    fn start_core(
        &mut self,
        identity: &FolderIdentity,
        snapshot: SnapshotRecord,
        state: FolderState<ControlCommand>,
    ) {
        let start = ReplicaStart {
            me: identity.voter.clone(),
            hard_state: state.hard_state,
            snapshot,
            entries: state.entries,
            commit: state.commit,
        };
        let now = self.now();
        info!(self.setup.log, "voter started"; "voter" => identity.voter.to_string(), "entries" => start.entries.len());
        self.core = Some(ReplicaCore::new(self.setup.replica, start, now, &mut self.rng));
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

    fn joining(&self) -> JoinTask {
        let voter = self.identity.as_ref().map(|identity| identity.voter.clone());
        JoinTask {
            voter: voter.unwrap_or(VoterId { daemon: self.setup.daemon.clone(), folder: 0 }),
            control: self.setup.control,
            peers: self.setup.peers.iter().map(|peer| peer.control).collect(),
            may_found: self.setup.found_fleet,
            key: self.setup.key.clone(),
            log: self.setup.log.clone(),
        }
    }

    /// The voter belongs to a fleet from now on: noted in its folder before it takes part.
    fn joined(&mut self, joined: JoinedFleet) {
        let Some(mut identity) = self.identity.take() else { return };
        let (fleet, snapshot) = match joined {
            JoinedFleet::Joined(fleet) => (fleet, blank_snapshot(fleet)),
            JoinedFleet::Founded => {
                let fleet = FleetId(self.rng.random());
                let membership =
                    FleetMembership::founded(fleet, identity.voter.clone(), self.setup.control);
                (fleet, SnapshotRecord { membership, ..blank_snapshot(fleet) })
            }
            JoinedFleet::FoundedTogether => {
                let membership = founding_membership(&self.setup.founders);
                identity.voter = founding_voter(&self.setup.daemon);
                let fleet = membership.fleet;
                (fleet, SnapshotRecord { membership, ..blank_snapshot(fleet) })
            }
        };
        let Some(store) = &mut self.store else { return };
        let hard = HardState::default();
        let kept = store
            .replace::<ControlCommand>(&snapshot, &hard, &[])
            .and_then(|()| identity.set_fleet(store.path(), fleet));
        if let Err(fault) = kept {
            error!(self.setup.log, "cannot keep the fleet's identity"; "fault" => fault.to_string());
            self.identity = Some(identity);
            return;
        }
        info!(self.setup.log, "belongs to a fleet"; "fleet" => fleet.0, "founded" => !matches!(joined, JoinedFleet::Joined(_)));
        self.fleet = Some(fleet);
        let state =
            FolderState { hard_state: hard, snapshot: None, entries: Vec::new(), commit: 0 };
        self.start_core(&identity, snapshot, state);
        self.identity = Some(identity);
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

    /// A voter that hears no leader may have been removed without being told. It asks again; a leader
    /// that knows it says so, one that does not may let it in as a learner.
    fn ask_if_forgotten(&mut self, now: Moment) {
        let hears_leader = self.core.as_ref().is_none_or(|core| core.leader().is_some());
        if hears_leader {
            self.alone_since = now;
        } else if now.since(self.alone_since) >= FORGOTTEN_AFTER {
            self.alone_since = now;
            let task = self.joining();
            tokio::spawn(async move { ask_to_join(&task).await });
        }
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
            && let Err(fault) = store.keep(&output, &self.hard)
        {
            // A write that failed may be half done: what the folder holds is no longer known, so this
            // voter must not promise anything more until it has been read again.
            self.stop_voting(&fault);
            return Vec::new();
        }
        if let Some(snapshot) = &output.install {
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
            && let Err(fault) = store.note_commit::<ControlCommand>(last.at.index)
        {
            warn!(self.setup.log, "cannot note what is committed"; "fault" => fault.to_string());
        }
        self.watch_role();
        self.compact_if_long();
        answers
    }

    /// Leaves the fleet's decisions to the others until the folder can be read again.
    fn stop_voting(&mut self, fault: &StoreError) {
        error!(self.setup.log, "cannot keep the log; not voting until the folder works again"; "fault" => fault.to_string());
        self.core = None;
        self.broken_since = Some(self.now());
        self.watch_role();
    }

    /// Starts again from what the folder holds, as after a restart. What goes wrong without it: a disk that was
    /// full for a moment costs the voter for good although its process runs, and the next such disk the quorum.
    fn reopen_if_broken(&mut self, now: Moment) {
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
            Some(book),
            EntryPayload::Command(ControlCommand::Join { .. } | ControlCommand::Leave { .. }),
        ) = (&mut self.book, &entry.payload)
        {
            book.set_members(self.ledger.members());
        }
        self.answer_entry(entry.at, reply);
    }

    /// Hands an applied entry's reply to who waits for it. A waiter of another term lost its entry to a
    /// new leader: it is told to ask again.
    fn answer_entry(&mut self, at: LogPosition, reply: ControlReply) {
        while let Some((index, term, _)) = self.waiting.entries.front() {
            if *index < at.index || (*index == at.index && *term != at.term) {
                if let Some((_, _, waiter)) = self.waiting.entries.pop_front() {
                    waiter.elsewhere(None);
                }
                continue;
            }
            break;
        }
        if let Some((index, _, EntryWaiter::Claims { replies, left, .. })) =
            self.waiting.entries.front_mut()
            && *index - (*left as u64) < at.index
            && let ControlReply::Claim(claim) = &reply
        {
            replies.push(claim.clone());
            *left -= 1;
        }
        if self.waiting.entries.front().is_some_and(|(index, _, _)| *index == at.index)
            && let Some((_, _, waiter)) = self.waiting.entries.pop_front()
        {
            self.answer_waiter(waiter, reply);
        }
    }

    fn answer_waiter(&mut self, waiter: EntryWaiter, reply: ControlReply) {
        match (waiter, reply) {
            (EntryWaiter::Edit { wait, reply, .. }, ControlReply::Edit(outcome)) => {
                self.answer_edit(*outcome, wait, reply)
            }
            (EntryWaiter::Replace { reply }, ControlReply::Replace(outcome)) => {
                let _ = reply.send(LeaderAnswer::Done(outcome));
            }
            (EntryWaiter::Claims { mut replies, reply, .. }, _) => {
                self.judge_owners(&mut replies);
                let _ = reply.send(LeaderAnswer::Done(replies));
            }
            (EntryWaiter::Voters { reply }, _) => {
                let _ = reply.send(LeaderAnswer::Done(self.voter_rows()));
            }
            _ => {}
        }
    }

    /// A claim whose owner is dead will never be settled: its request may have run.
    fn judge_owners(&self, replies: &mut [ClaimReply]) {
        let now = self.now();
        let Some(book) = &self.book else { return };
        for reply in replies {
            if let ClaimReply::Running(owner) = reply
                && !book.is_owner_live(&owner.daemon, owner.boot, now)
            {
                *reply = ClaimReply::Unknown;
            }
        }
    }

    fn answer_edit(&mut self, outcome: EditOutcome, wait: bool, reply: ReplyTo<ApplyAnswer>) {
        let progress = EditProgress { is_in_force: false, lagging: Vec::new() };
        let answer = ApplyAnswer { outcome, progress };
        match &answer.outcome {
            EditOutcome::Accepted(record) => {
                let until = if wait { self.now() + FORCE_WAIT } else { Moment(0) };
                self.waiting.force.push(ForceWait {
                    version: record.version,
                    until,
                    answer,
                    reply,
                });
            }
            EditOutcome::Conflict(_) => {
                let _ = reply.send(LeaderAnswer::Done(answer));
            }
        }
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
        self.core.as_ref().is_some_and(|core| core.holds_lease(self.now()))
    }

    fn watch_role(&mut self) {
        let leads = self.core.as_ref().is_some_and(|core| core.role() == ReplicaRole::Leader);
        match (leads, self.book.is_some()) {
            (true, false) => {
                info!(self.setup.log, "leads"; "term" => self.core.as_ref().map_or(0, ReplicaCore::term));
                let term = self.core.as_ref().map_or(0, ReplicaCore::term);
                self.book =
                    Some(FleetBook::new(term, self.setup.lease, self.now(), self.ledger.members()));
                self.dead_since.clear();
                self.sent.clear();
            }
            (false, true) => {
                info!(self.setup.log, "no longer leads");
                self.book = None;
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

    fn compact_if_long(&mut self) {
        let (Some(core), Some(store)) = (&mut self.core, &mut self.store) else { return };
        let covered = core.applied_index().saturating_sub(core.log().base().index);
        if (covered as usize) < SNAPSHOT_ENTRIES {
            return;
        }
        let snapshot = core.compact(Arc::from(self.ledger.to_text()));
        if let Err(fault) = store.replace(&snapshot, &self.hard, core.log().entries()) {
            self.stop_voting(&fault);
        }
    }

    /// The leader's own work, done as time passes.
    fn lead(&mut self) {
        if !self.holds_lease() {
            return;
        }
        let now = self.now();
        let Some(core) = &mut self.core else { return };
        let lost = if self.setup.replaces_voters { lost_voters(core, now) } else { Vec::new() };
        if let Some(membership) = next_step(core, &self.ledger, &lost) {
            let text =
                membership.voters.keys().map(VoterId::to_string).collect::<Vec<String>>().join(" ");
            if let Ok(output) = core.change_membership(membership, now) {
                info!(self.setup.log, "changing voters"; "voters" => text);
                self.settle(output, None);
            }
        }
        self.drop_dead(now);
    }

    fn drop_dead(&mut self, now: Moment) {
        let Some(book) = &self.book else { return };
        let dead = book.dead(now);
        self.dead_since.retain(|daemon, _| dead.iter().any(|(name, _)| name == daemon));
        let mut gone = Vec::new();
        for (daemon, boot) in dead {
            let since = *self.dead_since.entry(daemon.clone()).or_insert(now);
            if now.since(since) >= DEAD_FOR {
                self.dead_since.insert(daemon.clone(), now);
                warn!(self.setup.log, "daemon is dead"; "name" => daemon.as_str());
                gone.push(ControlCommand::Leave { daemon, boot });
            }
        }
        gone.into_iter()
            .for_each(|command| self.proposals.push((vec![command], EntryWaiter::Nobody)));
        self.propose_taken();
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

    /// A read is answered only under the lease, so that it is never older than an answer given before.
    fn answer_read<T>(&self, value: T, reply: ReplyTo<T>) {
        let answer = if self.holds_lease() {
            LeaderAnswer::Done(value)
        } else {
            LeaderAnswer::Elsewhere(self.other_leader())
        };
        let _ = reply.send(answer);
    }

    /// The leader's address, unless that is this daemon, which then cannot answer yet.
    fn other_leader(&self) -> Option<SocketAddr> {
        self.leader_address().filter(|address| *address != self.setup.control)
    }

    fn take_edit(&mut self, edit: Box<TableEdit>, wait: bool, reply: ReplyTo<ApplyAnswer>) {
        if !self.holds_lease() {
            return drop(reply.send(LeaderAnswer::Elsewhere(self.other_leader())));
        }
        let mut edit = edit;
        edit.at = unix_millis();
        let command = ControlCommand::Edit(edit);
        self.proposals.push((vec![command], EntryWaiter::Edit { wait, reply }));
    }

    fn take_numbered(&mut self, numbered: Box<NumberedTable>, reply: ReplyTo<NumberedOutcome>) {
        if !self.holds_lease() {
            return drop(reply.send(LeaderAnswer::Elsewhere(self.other_leader())));
        }
        info!(self.setup.log, "numbered table proposed"; "version" => numbered.version,
            "held" => self.ledger.table().version, "bytes" => numbered.document.len());
        self.proposals
            .push((vec![ControlCommand::Replace(numbered)], EntryWaiter::Replace { reply }));
    }

    fn take_claims(&mut self, commands: Vec<ClaimCommand>, reply: ReplyTo<Vec<ClaimReply>>) {
        if !self.holds_lease() {
            return drop(reply.send(LeaderAnswer::Elsewhere(self.other_leader())));
        }
        let stamp = unix_millis();
        let mut commands = commands;
        for command in &mut commands {
            if let ClaimCommand::Take { at, .. } = command {
                *at = stamp;
            }
        }
        let left = commands.len();
        if left == 0 {
            return drop(reply.send(LeaderAnswer::Done(Vec::new())));
        }
        let commands = commands.into_iter().map(ControlCommand::Claim).collect();
        self.proposals.push((commands, EntryWaiter::Claims { replies: Vec::new(), left, reply }));
    }

    fn take_join(&mut self, voter: VoterId, control: SocketAddr, reply: ReplyTo<JoinAnswer>) {
        let now = self.now();
        let (true, Some(fleet)) = (self.holds_lease(), self.fleet) else {
            return drop(reply.send(LeaderAnswer::Elsewhere(self.other_leader())));
        };
        let Some(core) = &mut self.core else { return };
        let is_known = core.membership().address(&voter) == Some(control);
        if is_known {
            return drop(reply.send(LeaderAnswer::Done(JoinAnswer { fleet, is_accepted: true })));
        }
        if !may_join(core.membership(), &self.ledger, &voter, self.setup.replaces_voters) {
            return drop(reply.send(LeaderAnswer::Done(JoinAnswer { fleet, is_accepted: false })));
        }
        let membership = core.membership().with_learner(voter, control);
        match core.change_membership(membership, now) {
            Ok(output) => {
                self.settle(output, None);
                // Not accepted yet: the joiner asks again and finds itself known.
                let _ = reply.send(LeaderAnswer::Elsewhere(None));
            }
            Err(_) => drop(reply.send(LeaderAnswer::Elsewhere(None))),
        }
    }

    /// A report of a daemon that is not on the member list is held until its `Join` is committed: from
    /// then on every leader knows that it may hold a lease.
    fn take_report(&mut self, report: DaemonReport, reply: ReplyTo<ReportAnswer>) {
        let now = self.now();
        if !self.holds_lease() {
            return drop(reply.send(LeaderAnswer::Elsewhere(self.other_leader())));
        }
        let Some(book) = &mut self.book else { return };
        let (daemon, version, has_lease) =
            (report.daemon.clone(), report.version, report.has_lease);
        let boot = report.boot;
        match book.report(report, now) {
            ReportVerdict::Taken => {}
            ReportVerdict::Unknown => {
                let command = ControlCommand::Join { daemon: daemon.clone(), boot };
                self.proposals.push((vec![command], EntryWaiter::Nobody));
                self.sent.remove(&daemon);
                return drop(reply.send(LeaderAnswer::Elsewhere(None)));
            }
            ReportVerdict::OtherTerm => {
                let answer = ReportAnswer::NewTerm(book.term());
                return drop(reply.send(LeaderAnswer::Done(answer)));
            }
            ReportVerdict::Overtaken => return drop(reply.send(LeaderAnswer::Elsewhere(None))),
        }
        self.waiting.reports.retain(|held| held.daemon != daemon);
        self.waiting.reports.push(HeldReport { daemon, has_lease, version, since: now, reply });
    }

    /// Answers held reports whose orders changed or whose time is over, and edits now in force.
    fn answer_waiting(&mut self) {
        if self.waiting.reports.is_empty() && self.waiting.force.is_empty() {
            return;
        }
        if !self.holds_lease() {
            let leader = self.other_leader();
            self.waiting
                .reports
                .drain(..)
                .for_each(|held| drop(held.reply.send(LeaderAnswer::Elsewhere(leader))));
            return;
        }
        let now = self.now();
        let Some(book) = &mut self.book else { return };
        let table = self.ledger.table();
        // A daemon without a lease gets one only from a leader that knows of every floor others rely on.
        let is_complete = book.is_complete(now);
        let membership = self.core.as_ref().map(ReplicaCore::membership);
        let voters: Vec<SocketAddr> =
            membership.iter().flat_map(|membership| membership.voters.values().copied()).collect();
        for held in std::mem::take(&mut self.waiting.reports) {
            if !held.has_lease && !is_complete {
                self.waiting.reports.push(held);
                continue;
            }
            let mut orders = book.orders(&held.daemon, table, now);
            orders.voters.clone_from(&voters);
            let is_due = now.since(held.since) >= REPORT_HOLD;
            let is_news =
                held.version != table.version || self.sent.get(&held.daemon) != Some(&orders.pools);
            if is_due || is_news {
                book.sent(&held.daemon, &orders.pools);
                self.sent.insert(held.daemon, orders.pools.clone());
                let _ = held.reply.send(LeaderAnswer::Done(ReportAnswer::Orders(orders)));
            } else {
                self.waiting.reports.push(held);
            }
        }
        for mut force in std::mem::take(&mut self.waiting.force) {
            let lagging = book.lagging(force.version, now);
            if !lagging.is_empty() && now < force.until {
                self.waiting.force.push(force);
                continue;
            }
            force.answer.progress = EditProgress { is_in_force: lagging.is_empty(), lagging };
            let _ = force.reply.send(LeaderAnswer::Done(force.answer));
        }
    }

    fn voter_rows(&self) -> Vec<VoterRow> {
        let Some(core) = &self.core else { return Vec::new() };
        let membership = core.membership();
        let row = |(voter, control): (&VoterId, &SocketAddr)| VoterRow {
            voter: voter.clone(),
            control: *control,
            votes: membership.voters.contains_key(voter),
            matched: if voter == core.me() {
                Some(core.log().last().index)
            } else {
                core.matched(voter)
            },
        };
        membership.members().map(row).collect()
    }

    fn status(&self) -> DaemonStatus {
        let table = self.ledger.table();
        let role = match (&self.core, self.store.is_some()) {
            (Some(core), _) => match core.role() {
                ReplicaRole::Leader => "leader",
                ReplicaRole::Follower if core.membership().voters.contains_key(core.me()) => {
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
            log_length: self.core.as_ref().map_or(0, ReplicaCore::log_length),
            applied: self.core.as_ref().map_or(0, ReplicaCore::applied_index),
            claims: self.ledger.claim_count(),
            members: self.book.as_ref().map_or_else(Vec::new, |book| book.view(self.now())),
        }
    }
}
