//! Log replication: heartbeats, entries, snapshots, commits and the leader lease.

use super::core::{LeadershipEnd, PeerProgress, ReplicaConfig, ReplicaCore, ReplicaRole};
use super::log::{LogEntry, LogPosition, MemoryLog, ReplicatedCommand};
use super::membership::VoterId;
use super::messages::{ReplicaMessage, SnapshotPart, SnapshotRecord};
use super::transfer::{OutgoingSnapshot, PartOutcome, receive_part};
use crate::policy::Moment;
use rand::RngCore;

/// Maximum number of heartbeat rounds whose send time is remembered.
const MAX_SENT_ROUNDS: usize = 256;
/// Time after which an unacknowledged snapshot, or part of one, is sent again, in intervals between
/// heartbeats: several times as long as a member takes to store a part, and a fraction of the time
/// within which an edit must be acknowledged, since a quorum may wait for this member.
const SNAPSHOT_RETRY_HEARTBEATS: u32 = 10;

impl<C: ReplicatedCommand> ReplicaCore<C> {
    pub(super) fn tick_leader(&mut self, now: Moment, rng: &mut dyn RngCore) {
        if !self.has_quorum_contact(now) {
            return self.step_down(LeadershipEnd::QuorumSilent, now, rng);
        }
        if now >= self.heartbeat_at {
            self.broadcast(now);
            self.advance_commit();
        }
    }

    /// Check-quorum: true if a majority of voters replied within the minimum election timeout.
    /// Without it, a leader that is partitioned from the majority never steps down. The symptom is
    /// operators' calls that hang there instead of failing.
    fn has_quorum_contact(&self, now: Moment) -> bool {
        let has_contact = |id: &&VoterId| {
            **id == self.id
                || self
                    .progress
                    .get(id)
                    .is_some_and(|peer| now.since(peer.last_contact) < self.config.election_timeout)
        };
        self.membership().voters.keys().filter(has_contact).count() >= self.membership().quorum()
    }

    /// Starts a round, whose number every message carries until the next one starts.
    fn start_round(&mut self, now: Moment) {
        self.round += 1;
        self.sent_rounds.push_back((self.round, now));
        if self.sent_rounds.len() > MAX_SENT_ROUNDS {
            self.sent_rounds.pop_front();
        }
    }

    /// Starts a heartbeat round and sends every other member the entries it lacks.
    pub(super) fn broadcast(&mut self, now: Moment) {
        self.start_round(now);
        self.heartbeat_at = now + self.config.heartbeat_interval;
        let members: Vec<VoterId> =
            self.progress.keys().filter(|id| **id != self.id).cloned().collect();
        members.into_iter().for_each(|id| self.send_entries(id, now));
        self.extend_lease();
    }

    fn send_entries(&mut self, to: VoterId, now: Moment) {
        let round = self.round;
        let Some(progress) = self.progress.get_mut(&to) else { return };
        let previous_index = progress.next_index - 1;
        let term = self.log.term_at(previous_index).filter(|_| progress.snapshot.is_none());
        let Some(term) = term else { return self.send_snapshot(to, now) };
        let previous = LogPosition { term, index: previous_index };
        let entries = next_batch(&self.log, progress, &self.config).to_vec();
        progress.unacked_bytes += entries.iter().map(LogEntry::size_bytes).sum::<usize>();
        progress.next_index += entries.len() as u64;
        let commit = self.commit_index;
        self.send(to, ReplicaMessage::Append { previous, entries, commit, round });
    }

    /// Sends the next part of the snapshot, or a heartbeat while a part is on its way.
    fn send_snapshot(&mut self, to: VoterId, now: Moment) {
        let round = self.round;
        let retry_delay = self.config.heartbeat_interval * SNAPSHOT_RETRY_HEARTBEATS;
        let Some(progress) = self.progress.get_mut(&to) else { return };
        if let Some(outgoing) = &mut progress.snapshot {
            if now.since(outgoing.sent_at) < retry_delay {
                // The empty heartbeat prevents an election by the follower.
                let previous = outgoing.record.at;
                let entries = Vec::new();
                let message = ReplicaMessage::Append { previous, entries, commit: 0, round };
                return self.send(to, message);
            }
            outgoing.sent_at = now;
        }
        self.send_snapshot_part(to, now);
    }

    fn send_snapshot_part(&mut self, to: VoterId, now: Moment) {
        let round = self.round;
        let max_bytes = self.config.max_unacked_bytes;
        let Some(progress) = self.progress.get_mut(&to) else { return };
        let outgoing = progress
            .snapshot
            .get_or_insert_with(|| OutgoingSnapshot::new(self.snapshot.clone(), now));
        let message = match outgoing.record.state.len() <= max_bytes {
            true => ReplicaMessage::Snapshot { snapshot: outgoing.record.clone(), round },
            false => ReplicaMessage::SnapshotPart { part: outgoing.part(max_bytes), round },
        };
        self.send(to, message);
    }

    pub(super) fn on_append(
        &mut self,
        from: VoterId,
        previous: LogPosition,
        entries: Vec<LogEntry<C>>,
        commit: u64,
        round: u64,
    ) {
        let known_term = self.log.term_at(previous.index);
        if previous.index > self.log.base().index && known_term != Some(previous.term) {
            // Only committed entries are sure to match the leader's. To try the entries before a
            // conflict one by one takes a round trip each, and does not end while heartbeats, which
            // ask at the end of what has been sent, set the search back.
            let is_conflict = known_term.is_some();
            let index = if is_conflict { self.commit_index } else { self.log.last().index };
            return self.send(from, ReplicaMessage::AppendReply { accepted: false, index, round });
        }
        let mut match_index = previous.index.max(self.log.base().index);
        for entry in entries {
            if entry.at.index <= self.log.base().index {
                continue;
            }
            match_index = entry.at.index;
            match self.log.term_at(entry.at.index) {
                Some(term) if term == entry.at.term => {}
                conflicting_term => {
                    if conflicting_term.is_some() {
                        self.log.truncate_from(entry.at.index);
                        self.output.truncate_from = Some(entry.at.index);
                        self.refresh_membership();
                    }
                    self.append_entry(entry);
                }
            }
        }
        self.commit_index = self.commit_index.max(commit.min(match_index));
        self.send(from, ReplicaMessage::AppendReply { accepted: true, index: match_index, round });
    }

    pub(super) fn on_snapshot(&mut self, from: VoterId, snapshot: SnapshotRecord, round: u64) {
        let is_in_log = self.log.term_at(snapshot.at.index) == Some(snapshot.at.term);
        if snapshot.at.index > self.commit_index && is_in_log {
            // Entries after the snapshot may already have been acknowledged, if their message
            // overtook the snapshot, and the leader may have committed them, so they must not be
            // dropped. The log contains everything that the snapshot does, so only the commit index
            // advances.
            self.commit_index = snapshot.at.index;
        } else if snapshot.at.index > self.commit_index {
            self.log = MemoryLog::new(snapshot.at);
            self.set_applied_index(snapshot.at.index);
            self.snapshot = snapshot.clone();
            self.refresh_membership();
            self.output.install_snapshot = Some(snapshot);
        }
        let index = self.commit_index;
        self.send(from, ReplicaMessage::AppendReply { accepted: true, index, round });
    }

    pub(super) fn on_snapshot_part(&mut self, from: VoterId, part: SnapshotPart, round: u64) {
        let at = part.at;
        if at.index <= self.commit_index {
            let index = self.commit_index;
            let message = ReplicaMessage::AppendReply { accepted: true, index, round };
            return self.send(from, message);
        }
        match receive_part(&mut self.incoming_snapshot, part, self.hard_state.term) {
            PartOutcome::Complete(snapshot) => self.on_snapshot(from, snapshot, round),
            PartOutcome::Continue(received) => {
                self.send(from, ReplicaMessage::SnapshotPartReply { at, received, round });
            }
        }
    }

    pub(super) fn on_snapshot_part_reply(
        &mut self,
        from: &VoterId,
        at: LogPosition,
        received: usize,
        round: u64,
        now: Moment,
    ) {
        let Some(progress) = self.progress.get_mut(from) else { return };
        progress.last_contact = now;
        progress.acked_round = progress.acked_round.max(round);
        let outgoing = progress.snapshot.as_mut().filter(|outgoing| outgoing.record.at == at);
        let has_next = outgoing.is_some_and(|outgoing| outgoing.continue_at(received, now));
        self.extend_lease();
        if has_next {
            self.send_snapshot_part(from.clone(), now);
        }
    }

    pub(super) fn on_append_reply(
        &mut self,
        from: &VoterId,
        accepted: bool,
        index: u64,
        round: u64,
        now: Moment,
    ) {
        let Some(progress) = self.progress.get_mut(from) else { return };
        progress.last_contact = now;
        progress.acked_round = progress.acked_round.max(round);
        if accepted {
            progress.match_index = progress.match_index.max(index);
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            let has_snapshot =
                progress.snapshot.as_ref().is_some_and(|sent| index >= sent.record.at.index);
            if has_snapshot {
                progress.snapshot = None;
                progress.next_index = progress.match_index + 1;
            }
        }
        let unacked = self.log.entries_in(progress.match_index + 1..progress.next_index);
        progress.unacked_bytes = unacked.iter().map(LogEntry::size_bytes).sum();
        // Heartbeats are rejected while a snapshot is in transit.
        let is_sending_snapshot = progress.snapshot.is_some();
        let has_more = !next_batch(&self.log, progress, &self.config).is_empty();
        let must_rewind = !accepted && round >= progress.rewound_round;
        self.extend_lease();
        self.advance_commit();
        if must_rewind && !is_sending_snapshot {
            self.rewind(from, index, now);
        } else if accepted && has_more && !is_sending_snapshot {
            self.send_entries(from.clone(), now);
        }
    }

    /// Sends a member the entries after `index` again, or for the first time. The messages sent before
    /// are rejected as well, so the new one starts a round.
    fn rewind(&mut self, to: &VoterId, index: u64, now: Moment) {
        self.start_round(now);
        let round = self.round;
        let Some(progress) = self.progress.get_mut(to) else { return };
        progress.next_index = (index + 1).max(progress.match_index + 1);
        progress.unacked_bytes = 0;
        progress.rewound_round = round;
        self.send_entries(to.clone(), now);
    }

    /// Extends the lease, which starts when the latest round acknowledged by a quorum was sent:
    /// each voter of the quorum refuses votes for the minimum election timeout from then or later.
    fn extend_lease(&mut self) {
        let mut acked_rounds: Vec<u64> =
            self.membership().voters.keys().map(|id| self.acked_round(id)).collect();
        acked_rounds.sort_unstable_by(|a, b| b.cmp(a));
        let Some(round) = acked_rounds.get(self.membership().quorum() - 1).copied() else { return };
        let sent = self
            .sent_rounds
            .iter()
            .rev()
            .find(|(number, _)| *number <= round)
            .map(|(_, sent)| *sent);
        if let Some(sent) = sent {
            let lease = self.config.election_timeout.mul_f64(self.config.lease_share);
            self.lease_until = self.lease_until.max(sent + lease);
        }
    }

    fn acked_round(&self, id: &VoterId) -> u64 {
        if *id == self.id {
            self.round
        } else {
            self.progress.get(id).map_or(0, |progress| progress.acked_round)
        }
    }

    /// Commits the entries stored by a quorum, if the last of them is of the current term (Raft,
    /// section 5.4.2).
    pub(super) fn advance_commit(&mut self) {
        let last = self.log.last().index;
        let mut indices: Vec<u64> = self
            .membership()
            .voters
            .keys()
            .map(|id| if *id == self.id { last } else { self.match_index(id).unwrap_or(0) })
            .collect();
        indices.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = indices.get(self.membership().quorum() - 1).copied() else { return };
        if index <= self.commit_index || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit_index = index;
        self.step_down_if_removed();
    }

    /// Steps down as leader once a membership without this replica is committed.
    fn step_down_if_removed(&mut self) {
        if self.membership_index() <= self.commit_index && !self.is_voter() {
            self.role = ReplicaRole::Follower;
            self.leader = None;
            self.lease_until = Moment(0);
            self.leadership_end = Some(LeadershipEnd::Removed);
        }
    }
}

/// The next entries for a member: at most as many as its unacknowledged bytes allow.
fn next_batch<'a, C: ReplicatedCommand>(
    log: &'a MemoryLog<C>,
    progress: &PeerProgress,
    config: &ReplicaConfig,
) -> &'a [LogEntry<C>] {
    let end = progress.next_index + config.max_batch_entries as u64;
    let candidates = log.entries_in(progress.next_index..end);
    let mut unacked_bytes = progress.unacked_bytes;
    let fits = |entry: &&LogEntry<C>| {
        let is_first = unacked_bytes == 0;
        unacked_bytes += entry.size_bytes();
        is_first || unacked_bytes <= config.max_unacked_bytes
    };
    let count = candidates.iter().take_while(fits).count();
    &candidates[..count]
}
