//! Log replication: heartbeats, entries, snapshots, commits and the leader lease.

use super::core::{ReplicaCore, ReplicaRole};
use super::log::{LogEntry, LogPosition, MemoryLog};
use super::membership::VoterId;
use super::messages::{ReplicaMessage, SnapshotRecord};
use crate::policy::Moment;
use rand::RngCore;

/// Maximum number of heartbeat rounds whose send time is remembered.
const ROUNDS_KEPT: usize = 256;
/// Number of heartbeat rounds after which an unacknowledged snapshot is sent again.
const SNAPSHOT_ROUNDS: u64 = 40;

impl<C: Clone + std::fmt::Debug> ReplicaCore<C> {
    pub(super) fn tick_leader(&mut self, now: Moment, rng: &mut dyn RngCore) {
        if !self.hears_quorum(now) {
            return self.step_down(now, rng);
        }
        if now >= self.heartbeat_at {
            self.broadcast(now);
            self.advance_commit();
        }
    }

    /// Check-quorum: true if a majority of voters replied within the minimum election timeout.
    /// Without it, a leader that is partitioned from the majority never steps down. The symptom is
    /// operators' calls that hang there instead of failing.
    fn hears_quorum(&self, now: Moment) -> bool {
        let is_heard = |id: &&VoterId| {
            **id == self.me
                || self
                    .progress
                    .get(id)
                    .is_some_and(|progress| now.since(progress.heard) < self.config.election)
        };
        self.membership().voters.keys().filter(is_heard).count() >= self.membership().quorum()
    }

    /// Starts a heartbeat round and sends every other member the entries it lacks.
    pub(super) fn broadcast(&mut self, now: Moment) {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > ROUNDS_KEPT {
            self.rounds.pop_front();
        }
        self.heartbeat_at = now + self.config.heartbeat;
        let members: Vec<VoterId> =
            self.progress.keys().filter(|id| **id != self.me).cloned().collect();
        members.into_iter().for_each(|id| self.send_entries(id));
        self.extend_lease();
    }

    fn send_entries(&mut self, to: VoterId) {
        let round = self.round;
        let Some(progress) = self.progress.get_mut(&to) else { return };
        let is_waiting = progress.snapshot_round.is_some_and(|sent| round < sent + SNAPSHOT_ROUNDS);
        let previous_index = progress.next - 1;
        let Some(term) = self.log.term_at(previous_index).filter(|_| !is_waiting) else {
            if !is_waiting {
                progress.snapshot_round = Some(round);
                let snapshot = self.snapshot.clone();
                return self.send(to, ReplicaMessage::Snapshot { snapshot, round });
            }
            // An empty heartbeat prevents an election by the follower while the snapshot is in
            // transit.
            let message = ReplicaMessage::Append {
                previous: self.snapshot.at,
                entries: Vec::new(),
                commit: 0,
                round,
            };
            return self.send(to, message);
        };
        let previous = LogPosition { term, index: previous_index };
        let entries = self.log.from(progress.next, self.config.batch).to_vec();
        progress.next += entries.len() as u64;
        let commit = self.commit;
        self.send(to, ReplicaMessage::Append { previous, entries, commit, round });
    }

    pub(super) fn on_append(
        &mut self,
        from: VoterId,
        previous: LogPosition,
        entries: Vec<LogEntry<C>>,
        commit: u64,
        round: u64,
    ) {
        if previous.index > self.log.base().index
            && self.log.term_at(previous.index) != Some(previous.term)
        {
            let hint = self.log.last().index.min(previous.index.saturating_sub(1)).max(self.commit);
            return self
                .send(from, ReplicaMessage::AppendReply { accepted: false, index: hint, round });
        }
        let mut matched = previous.index.max(self.log.base().index);
        for entry in entries {
            if entry.at.index <= self.log.base().index {
                continue;
            }
            matched = entry.at.index;
            match self.log.term_at(entry.at.index) {
                Some(term) if term == entry.at.term => {}
                known => {
                    if known.is_some() {
                        self.log.truncate(entry.at.index);
                        self.out.truncate_from = Some(entry.at.index);
                        self.refresh_membership();
                    }
                    self.keep_entry(entry);
                }
            }
        }
        self.commit = self.commit.max(commit.min(matched));
        self.send(from, ReplicaMessage::AppendReply { accepted: true, index: matched, round });
    }

    pub(super) fn on_snapshot(&mut self, from: VoterId, snapshot: SnapshotRecord, round: u64) {
        let is_in_log = self.log.term_at(snapshot.at.index) == Some(snapshot.at.term);
        if snapshot.at.index > self.commit && is_in_log {
            // Entries after the snapshot may already have been acknowledged, if their message
            // overtook the snapshot, and the leader may have committed them, so they must not be
            // dropped. The log contains everything that the snapshot does, so only the commit index
            // advances.
            self.commit = snapshot.at.index;
        } else if snapshot.at.index > self.commit {
            self.log = MemoryLog::new(snapshot.at);
            self.install_applied(snapshot.at.index);
            self.snapshot = snapshot.clone();
            self.refresh_membership();
            self.out.install = Some(snapshot);
        }
        let index = self.commit;
        self.send(from, ReplicaMessage::AppendReply { accepted: true, index, round });
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
        progress.heard = now;
        progress.acked_round = progress.acked_round.max(round);
        if accepted {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
            if progress
                .snapshot_round
                .is_some_and(|sent| round >= sent && index >= self.snapshot.at.index)
            {
                progress.snapshot_round = None;
                progress.next = progress.matched + 1;
            }
        } else {
            progress.next = (index + 1).max(progress.matched + 1);
        }
        // While a snapshot is in transit, replying to a rejected heartbeat with another one would
        // loop without end.
        let must_send = progress.snapshot_round.is_none()
            && progress.next <= self.log.last().index
            && (!accepted || progress.next == progress.matched + 1);
        self.extend_lease();
        self.advance_commit();
        if must_send {
            self.send_entries(from.clone());
        }
    }

    /// Extends the lease, which starts when the latest round acknowledged by a quorum was sent:
    /// each voter of the quorum refuses votes for the minimum election timeout from then or later.
    fn extend_lease(&mut self) {
        let mut acked: Vec<u64> =
            self.membership().voters.keys().map(|id| self.acked_round(id)).collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        let Some(round) = acked.get(self.membership().quorum() - 1).copied() else { return };
        let sent =
            self.rounds.iter().rev().find(|(known, _)| *known <= round).map(|(_, sent)| *sent);
        if let Some(sent) = sent {
            let lease = self.config.election.mul_f64(self.config.lease_share);
            self.lease_until = self.lease_until.max(sent + lease);
        }
    }

    fn acked_round(&self, id: &VoterId) -> u64 {
        if *id == self.me {
            self.round
        } else {
            self.progress.get(id).map_or(0, |progress| progress.acked_round)
        }
    }

    /// Commits the entries stored by a quorum, if the last of them is of the current term (Raft,
    /// section 5.4.2).
    pub(super) fn advance_commit(&mut self) {
        let last = self.log.last().index;
        let mut matched: Vec<u64> = self
            .membership()
            .voters
            .keys()
            .map(|id| if *id == self.me { last } else { self.matched(id).unwrap_or(0) })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(self.membership().quorum() - 1).copied() else { return };
        if index <= self.commit || self.log.term_at(index) != Some(self.hard.term) {
            return;
        }
        self.commit = index;
        self.leave_if_removed();
    }

    /// Steps down as leader once a membership without this replica is committed.
    fn leave_if_removed(&mut self) {
        if self.membership_index() <= self.commit && !self.is_voter() {
            self.role = ReplicaRole::Follower;
            self.leader = None;
            self.lease_until = Moment(0);
        }
    }
}
