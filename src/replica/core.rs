//! The replica state machine: its state, inputs and outputs.

use super::ProposalError;
use super::log::{EntryPayload, LogEntry, LogPosition, MemoryLog, ReplicatedCommand};
use super::membership::{FleetMembership, VoterId};
use super::messages::{HardState, ReplicaEnvelope, ReplicaMessage, SnapshotRecord};
use super::transfer::{IncomingSnapshot, OutgoingSnapshot};
use crate::policy::Moment;
use rand::{Rng, RngCore};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Random addition to the election timeout, as a share of its minimum, which makes split votes
/// rare. It is small because pre-votes make split votes cheap, and the timeout is time without a
/// leader.
pub const ELECTION_JITTER_SHARE: f64 = 0.5;

/// Size of applied entries from which a snapshot replaces them, in sizes of the previous snapshot.
/// It bounds the writing of snapshots to a part of the writing of the log.
const SNAPSHOT_RATIO: usize = 4;

/// Timing and batching parameters of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplicaConfig {
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Minimum time without a leader before an election; the maximum is longer by the share
    /// [`ELECTION_JITTER_SHARE`].
    pub election_timeout: Duration,
    /// Duration of a leader's lease as a share of the minimum election timeout; the remainder
    /// allows for clock drift between replicas.
    pub lease_share: f64,
    /// Maximum number of entries in one message.
    pub max_batch_entries: usize,
    /// Size that unacknowledged entries sent to a member may reach, in bytes; a larger entry is
    /// sent alone. Writing or reading a message keeps the control thread from all else, so the time
    /// that this takes must stay below the heartbeat interval.
    pub max_unacked_bytes: usize,
    /// Number of applied entries after which a snapshot replaces them.
    pub max_log_entries: u64,
    /// Size of applied entries from which a snapshot replaces them, in bytes. The log is what an
    /// empty voter must be sent and a restarted one must read, and a quorum may wait for either.
    pub max_log_bytes: usize,
    /// Size of the newest entries that stay in memory when a snapshot replaces them, in bytes, so
    /// that a member which lacks only those needs no snapshot.
    pub retained_log_bytes: usize,
}

impl Default for ReplicaConfig {
    fn default() -> Self {
        ReplicaConfig {
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(500),
            lease_share: 0.8,
            max_batch_entries: 1_024,
            max_unacked_bytes: 256 << 10,
            max_log_entries: 4_096,
            max_log_bytes: 2 << 20,
            retained_log_bytes: 512 << 10,
        }
    }
}

/// Current role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Accepts entries from a leader, or waits for one.
    Follower,
    /// Requests pre-votes.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Replicates its log to the other members.
    Leader,
}

/// Why a replica stopped leading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipEnd {
    /// A quorum did not reply within the minimum election timeout.
    QuorumSilent,
    /// Another replica has a newer term.
    NewerTerm,
    /// The replica was removed from the voters.
    Removed,
}

/// What a member lacks of the committed entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLag {
    /// Number of entries.
    pub entries: u64,
    /// Size of these entries, and of the snapshot if some are only in that, in bytes.
    pub bytes: usize,
}

/// The leader's view of another member.
#[derive(Clone, Debug)]
pub(super) struct PeerProgress {
    pub(super) match_index: u64,
    pub(super) next_index: u64,
    pub(super) acked_round: u64,
    pub(super) last_contact: Moment,
    /// Size of the entries sent and not acknowledged.
    pub(super) unacked_bytes: usize,
    /// The round in which `next_index` was last set back. Rejections of earlier messages are outdated.
    pub(super) rewound_round: u64,
    /// The snapshot that the member is being sent.
    pub(super) snapshot: Option<OutgoingSnapshot>,
}

/// Work for the driver, in this order: write and sync the records, send the messages, apply the
/// committed entries.
#[derive(Clone, Debug)]
pub struct ReplicaOutput<C> {
    /// Term and vote to store.
    pub hard_state: Option<HardState>,
    /// Delete stored entries from this index on before storing the new ones.
    pub truncate_from: Option<u64>,
    /// Entries to store.
    pub entries: Vec<LogEntry<C>>,
    /// A received snapshot, to store in place of all earlier records and to load into the state
    /// machine.
    pub install_snapshot: Option<SnapshotRecord>,
    /// Messages to send.
    pub messages: Vec<ReplicaEnvelope<C>>,
    /// Entries to apply, in order.
    pub committed: Vec<LogEntry<C>>,
}

impl<C> Default for ReplicaOutput<C> {
    fn default() -> Self {
        ReplicaOutput {
            hard_state: None,
            truncate_from: None,
            entries: Vec::new(),
            install_snapshot: None,
            messages: Vec::new(),
            committed: Vec::new(),
        }
    }
}

impl<C> ReplicaOutput<C> {
    /// True if the output contains records to sync.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some()
            || self.truncate_from.is_some()
            || !self.entries.is_empty()
            || self.install_snapshot.is_some()
    }
}

/// The stored state that a replica starts from.
#[derive(Clone, Debug)]
pub struct InitialState<C> {
    /// The replica's own identity.
    pub id: VoterId,
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot; its state is already loaded into the state machine.
    pub snapshot: SnapshotRecord,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry<C>>,
    /// The highest index known to be committed; 0 if none.
    pub commit_index: u64,
}

/// A member of the replicated log, as voter or learner.
#[derive(Debug)]
pub struct ReplicaCore<C> {
    pub(super) config: ReplicaConfig,
    pub(super) id: VoterId,
    pub(super) role: ReplicaRole,
    pub(super) hard_state: HardState,
    pub(super) log: MemoryLog<C>,
    pub(super) snapshot: SnapshotRecord,
    /// The membership in force and the index of its entry, cached to avoid a search of the log.
    membership: FleetMembership,
    membership_index: u64,
    pub(super) commit_index: u64,
    applied_index: u64,
    /// Size of the entries applied since the snapshot.
    applied_bytes: usize,
    pub(super) leader: Option<VoterId>,
    pub(super) last_leader_contact: Option<Moment>,
    /// The replica that was last accepted as leader, which may have ended since.
    pub(super) last_leader: Option<VoterId>,
    pub(super) election_at: Moment,
    pub(super) heartbeat_at: Moment,
    pub(super) votes: BTreeSet<VoterId>,
    pub(super) progress: BTreeMap<VoterId, PeerProgress>,
    pub(super) round: u64,
    pub(super) sent_rounds: VecDeque<(u64, Moment)>,
    pub(super) lease_until: Moment,
    pub(super) leadership_end: Option<LeadershipEnd>,
    /// A snapshot that is received in parts.
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    pub(super) output: ReplicaOutput<C>,
}

impl<C: ReplicatedCommand> ReplicaCore<C> {
    /// Creates a replica after a start. It waits for a full election timeout before an election,
    /// and refuses votes for the minimum timeout: after a restart it no longer knows its leader,
    /// whose lease may still be valid.
    pub fn new(
        config: ReplicaConfig,
        start: InitialState<C>,
        now: Moment,
        rng: &mut dyn RngCore,
    ) -> Self {
        let mut log = MemoryLog::new(start.snapshot.at);
        start.entries.into_iter().for_each(|entry| log.push(entry));
        let commit_index = start.commit_index.min(log.last().index).max(start.snapshot.at.index);
        let mut core = ReplicaCore {
            config,
            id: start.id,
            role: ReplicaRole::Follower,
            hard_state: start.hard_state,
            log,
            membership: start.snapshot.membership.clone(),
            membership_index: start.snapshot.at.index,
            commit_index,
            applied_index: start.snapshot.at.index,
            applied_bytes: 0,
            snapshot: start.snapshot,
            leader: None,
            last_leader_contact: Some(now),
            last_leader: None,
            election_at: now,
            heartbeat_at: now,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            round: 0,
            sent_rounds: VecDeque::new(),
            lease_until: Moment(0),
            leadership_end: None,
            incoming_snapshot: None,
            output: ReplicaOutput::default(),
        };
        core.refresh_membership();
        core.reset_election_timer(now, rng);
        if core.membership.voters.len() == 1 && core.is_voter() {
            // No other replica can hold a lease.
            core.election_at = now;
        }
        core
    }

    /// Processes timeouts up to `now`.
    pub fn tick(&mut self, now: Moment, rng: &mut dyn RngCore) -> ReplicaOutput<C> {
        match self.role {
            ReplicaRole::Leader => self.tick_leader(now, rng),
            _ if now < self.election_at => {}
            _ if self.is_voter() => self.start_pre_vote(now, rng),
            // Without a leader, a learner asks to join again.
            _ => self.leader = None,
        }
        self.take_output()
    }

    /// Processes a received message; messages of other fleets or for other replicas are ignored.
    pub fn receive(
        &mut self,
        envelope: ReplicaEnvelope<C>,
        now: Moment,
        rng: &mut dyn RngCore,
    ) -> ReplicaOutput<C> {
        if envelope.fleet == self.membership().fleet && envelope.to == self.id {
            self.dispatch(envelope, now, rng);
        }
        self.take_output()
    }

    fn dispatch(&mut self, envelope: ReplicaEnvelope<C>, now: Moment, rng: &mut dyn RngCore) {
        let ReplicaEnvelope { from, term, message, .. } = envelope;
        match message {
            ReplicaMessage::PreVote { last } => self.on_pre_vote(from, term, last, now),
            ReplicaMessage::PreVoteReply { granted } => {
                self.on_pre_vote_reply(from, term, granted, now, rng)
            }
            ReplicaMessage::Vote { last } => self.on_vote(from, term, last, now, rng),
            ReplicaMessage::VoteReply { granted } => {
                self.on_vote_reply(from, term, granted, now, rng)
            }
            ReplicaMessage::Append { previous, entries, commit, round } => {
                if self.follows(&from, term, round, now, rng) {
                    self.on_append(from, previous, entries, commit, round);
                }
            }
            ReplicaMessage::Snapshot { snapshot, round } => {
                if self.follows(&from, term, round, now, rng) {
                    self.on_snapshot(from, snapshot, round);
                }
            }
            ReplicaMessage::SnapshotPart { part, round } => {
                if self.follows(&from, term, round, now, rng) {
                    self.on_snapshot_part(from, part, round);
                }
            }
            ReplicaMessage::AppendReply { accepted, index, round } => {
                if self.is_reply_to_leader(term, now, rng) {
                    self.on_append_reply(&from, accepted, index, round, now);
                }
            }
            ReplicaMessage::SnapshotPartReply { at, received, round } => {
                if self.is_reply_to_leader(term, now, rng) {
                    self.on_snapshot_part_reply(&from, at, received, round, now);
                }
            }
        }
    }

    /// Accepts the sender as leader; otherwise sends it the current term and returns false.
    fn follows(
        &mut self,
        from: &VoterId,
        term: u64,
        round: u64,
        now: Moment,
        rng: &mut dyn RngCore,
    ) -> bool {
        let follows = self.accept_leader(from, term, now, rng);
        if !follows {
            let refusal = ReplicaMessage::AppendReply { accepted: false, index: 0, round };
            self.send(from.clone(), refusal);
        }
        follows
    }

    /// True for a reply of the current term to this replica as leader.
    fn is_reply_to_leader(&mut self, term: u64, now: Moment, rng: &mut dyn RngCore) -> bool {
        !self.adopt_term(term, now, rng)
            && term == self.hard_state.term
            && self.role == ReplicaRole::Leader
    }

    /// Appends commands to the log as leader and returns the index of the first. They are committed
    /// later.
    pub fn propose(
        &mut self,
        commands: Vec<C>,
        now: Moment,
    ) -> Result<(u64, ReplicaOutput<C>), ProposalError> {
        if self.role != ReplicaRole::Leader {
            return Err(ProposalError::NotLeader { leader: self.leader.clone() });
        }
        let first = self.log.last().index + 1;
        commands
            .into_iter()
            .for_each(|command| self.append_payload(EntryPayload::Command(command)));
        self.broadcast(now);
        self.advance_commit();
        Ok((first, self.take_output()))
    }

    /// Proposes a membership change. Rejected while another change is uncommitted, or before this
    /// leader has committed an entry of its own term; otherwise changes by two leaders can lead to
    /// disjoint quorums (Ongaro, 2015).
    pub fn change_membership(
        &mut self,
        membership: FleetMembership,
        now: Moment,
    ) -> Result<ReplicaOutput<C>, ProposalError> {
        if self.role != ReplicaRole::Leader {
            return Err(ProposalError::NotLeader { leader: self.leader.clone() });
        }
        let has_committed = self.log.term_at(self.commit_index) == Some(self.hard_state.term);
        if !has_committed || self.is_change_pending() {
            return Err(ProposalError::ChangePending);
        }
        self.append_payload(EntryPayload::Membership(membership));
        self.refresh_progress(now);
        self.broadcast(now);
        self.advance_commit();
        Ok(self.take_output())
    }

    /// True while the newest membership is not committed.
    pub fn is_change_pending(&self) -> bool {
        self.membership_index > self.commit_index
    }

    /// True if a snapshot should replace the applied entries.
    pub fn should_compact(&self) -> bool {
        let applied = self.applied_index.saturating_sub(self.snapshot.at.index);
        let max_bytes = self.config.max_log_bytes.max(SNAPSHOT_RATIO * self.snapshot.state.len());
        applied >= self.config.max_log_entries || self.applied_bytes >= max_bytes
    }

    /// Replaces the applied entries by a snapshot of the applied state. The driver must store and
    /// sync the returned record before it deletes the entries from its files. The newest of them
    /// stay in memory for members that lack only these.
    pub fn compact(&mut self, state: std::sync::Arc<str>) -> SnapshotRecord {
        let index = self.applied_index;
        let at =
            LogPosition { term: self.log.term_at(index).unwrap_or(self.snapshot.at.term), index };
        let membership = self.membership_at(index).clone();
        self.snapshot = SnapshotRecord { at, membership, state };
        self.applied_bytes = 0;
        self.log.compact(at, self.config.retained_log_bytes);
        self.snapshot.clone()
    }

    pub(super) fn append_payload(&mut self, payload: EntryPayload<C>) {
        let at = LogPosition { term: self.hard_state.term, index: self.log.last().index + 1 };
        let entry = LogEntry { at, payload };
        self.append_entry(entry);
    }

    /// Appends an entry to the log and to the records to sync.
    pub(super) fn append_entry(&mut self, entry: LogEntry<C>) {
        if let EntryPayload::Membership(membership) = &entry.payload {
            self.membership = membership.clone();
            self.membership_index = entry.at.index;
        }
        self.log.push(entry.clone());
        self.output.entries.push(entry);
    }

    /// Recomputes the membership in force after the log was truncated or replaced.
    pub(super) fn refresh_membership(&mut self) {
        self.membership = self.membership_at(u64::MAX).clone();
        let is_change = |entry: &&LogEntry<C>| matches!(entry.payload, EntryPayload::Membership(_));
        let newest = self.log.entries().iter().rev().find(is_change);
        self.membership_index = newest.map_or(self.snapshot.at.index, |entry| entry.at.index);
    }

    pub(super) fn send(&mut self, to: VoterId, message: ReplicaMessage<C>) {
        let term = self.hard_state.term;
        self.send_in_term(to, term, message);
    }

    pub(super) fn send_in_term(&mut self, to: VoterId, term: u64, message: ReplicaMessage<C>) {
        let fleet = self.membership().fleet;
        let from = self.id.clone();
        self.output.messages.push(ReplicaEnvelope { fleet, from, to, term, message });
    }

    fn take_output(&mut self) -> ReplicaOutput<C> {
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1) else { break };
            self.applied_bytes += entry.size_bytes();
            self.output.committed.push(entry.clone());
            self.applied_index += 1;
        }
        std::mem::take(&mut self.output)
    }

    pub(super) fn set_applied_index(&mut self, index: u64) {
        self.commit_index = index;
        self.applied_index = index;
        self.applied_bytes = 0;
    }

    /// The entries after the snapshot.
    pub fn entries_after_snapshot(&self) -> &[LogEntry<C>] {
        self.log.entries_in(self.snapshot.at.index + 1..u64::MAX)
    }

    /// The membership in force: the latest one in the log, committed or not.
    pub fn membership(&self) -> &FleetMembership {
        &self.membership
    }

    fn membership_at(&self, index: u64) -> &FleetMembership {
        let entries = self.log.entries().iter().rev().filter(|entry| entry.at.index <= index);
        entries
            .filter_map(|entry| match &entry.payload {
                EntryPayload::Membership(membership) => Some(membership),
                _ => None,
            })
            .next()
            .unwrap_or(&self.snapshot.membership)
    }

    pub(super) fn membership_index(&self) -> u64 {
        self.membership_index
    }

    pub(super) fn is_voter(&self) -> bool {
        self.membership().voters.contains_key(&self.id)
    }

    pub(super) fn reset_election_timer(&mut self, now: Moment, rng: &mut dyn RngCore) {
        let min_micros = self.config.election_timeout.as_micros() as u64;
        let max_micros = min_micros + (min_micros as f64 * ELECTION_JITTER_SHARE) as u64;
        self.election_at = now + Duration::from_micros(rng.random_range(min_micros..=max_micros));
    }

    /// This replica's own identity.
    pub fn id(&self) -> &VoterId {
        &self.id
    }

    /// The current role.
    pub fn role(&self) -> ReplicaRole {
        self.role
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The current leader, if known.
    pub fn leader(&self) -> Option<&VoterId> {
        self.leader.as_ref()
    }

    /// The highest index known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// The highest index handed out for application to the state machine.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Number of entries after the snapshot.
    pub fn log_len(&self) -> usize {
        self.entries_after_snapshot().len()
    }

    /// The log in memory.
    pub fn log(&self) -> &MemoryLog<C> {
        &self.log
    }

    /// True while no other leader can have been elected and every entry committed in an earlier
    /// term has been applied, so that a local read is linearisable.
    pub fn has_lease(&self, now: Moment) -> bool {
        self.role == ReplicaRole::Leader
            && now < self.lease_until
            && self.log.term_at(self.commit_index) == Some(self.hard_state.term)
    }

    /// Why this replica last stopped leading; `None` if it never led.
    pub fn leadership_end(&self) -> Option<LeadershipEnd> {
        self.leadership_end
    }

    /// Expiry of the leader lease.
    pub fn lease_until(&self) -> Moment {
        self.lease_until
    }

    /// Highest index at which a member's log is known to match the leader's.
    pub fn match_index(&self, id: &VoterId) -> Option<u64> {
        self.progress.get(id).map(|progress| progress.match_index)
    }

    /// The committed entries that a member has not acknowledged, as far as this leader knows. `None`
    /// if it is no member.
    pub fn lag(&self, id: &VoterId) -> Option<ReplicaLag> {
        let matched = self.match_index(id)?;
        let missing = self.log.entries_in(matched + 1..self.commit_index + 1);
        let lacks_snapshot = matched < self.log.base().index;
        let snapshot_bytes = if lacks_snapshot { self.snapshot.state.len() } else { 0 };
        Some(ReplicaLag {
            entries: self.commit_index.saturating_sub(matched),
            bytes: snapshot_bytes + missing.iter().map(LogEntry::size_bytes).sum::<usize>(),
        })
    }

    /// Timing and batching parameters.
    pub fn config(&self) -> &ReplicaConfig {
        &self.config
    }

    /// Time of the last message of the leader, or of the start.
    pub fn leader_heard(&self) -> Option<Moment> {
        self.last_leader_contact
    }

    /// Time of the last reply from a member. If it has not replied since this replica's election: the
    /// time of the election or, of the leader before, that of its last message. Known to a leader
    /// only.
    pub fn last_contact(&self, id: &VoterId) -> Option<Moment> {
        self.progress.get(id).map(|progress| progress.last_contact)
    }
}
