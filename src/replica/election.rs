//! Leader election: pre-vote, vote and step-down.

use super::core::{LeadershipEnd, PeerProgress, ReplicaCore, ReplicaRole};
use super::log::{EntryPayload, LogPosition, ReplicatedCommand};
use super::membership::VoterId;
use super::messages::ReplicaMessage;
use crate::policy::Moment;
use rand::RngCore;

impl<C: ReplicatedCommand> ReplicaCore<C> {
    /// Starts a pre-vote, which checks whether an election would succeed. Without it, a replica
    /// that was partitioned returns with a higher term and deposes a working leader. The symptom is
    /// an election after each partition heals.
    pub(super) fn start_pre_vote(&mut self, now: Moment, rng: &mut dyn RngCore) {
        self.role = ReplicaRole::PreCandidate;
        self.leader = None;
        self.start_vote_count(now, rng);
        if self.votes.len() >= self.membership().quorum() {
            return self.start_election(now, rng);
        }
        let last = self.log.last();
        let term = self.hard_state.term + 1;
        for peer in self.other_voters() {
            self.send_in_term(peer, term, ReplicaMessage::PreVote { last });
        }
    }

    /// Starts a new vote count with its own vote and restarts the election timeout.
    fn start_vote_count(&mut self, now: Moment, rng: &mut dyn RngCore) {
        self.votes.clear();
        self.votes.insert(self.id.clone());
        self.reset_election_timer(now, rng);
    }

    pub(super) fn other_voters(&self) -> Vec<VoterId> {
        self.membership().voters.keys().filter(|id| **id != self.id).cloned().collect()
    }

    /// True if a leader was in contact within the minimum election timeout, or if this replica
    /// holds the lease itself. The leader's lease relies on such replicas refusing votes.
    fn has_leader_contact(&self, now: Moment) -> bool {
        let has_recent_contact = self
            .last_leader_contact
            .is_some_and(|last_contact| now.since(last_contact) < self.config.election_timeout);
        has_recent_contact || (self.role == ReplicaRole::Leader && now < self.lease_until)
    }

    pub(super) fn on_pre_vote(&mut self, from: VoterId, term: u64, last: LogPosition, now: Moment) {
        let granted =
            term > self.hard_state.term && last >= self.log.last() && !self.has_leader_contact(now);
        let reply_term = if granted { term } else { self.hard_state.term };
        self.send_in_term(from, reply_term, ReplicaMessage::PreVoteReply { granted });
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        from: VoterId,
        term: u64,
        granted: bool,
        now: Moment,
        rng: &mut dyn RngCore,
    ) {
        if !granted {
            self.adopt_term(term, now, rng);
            return;
        }
        if self.role != ReplicaRole::PreCandidate
            || term != self.hard_state.term + 1
            || !self.is_other_voter(&from)
        {
            return;
        }
        self.votes.insert(from);
        if self.votes.len() >= self.membership().quorum() {
            self.start_election(now, rng);
        }
    }

    fn is_other_voter(&self, id: &VoterId) -> bool {
        *id != self.id && self.membership().voters.contains_key(id)
    }

    fn start_election(&mut self, now: Moment, rng: &mut dyn RngCore) {
        self.role = ReplicaRole::Candidate;
        self.hard_state.term += 1;
        self.hard_state.vote = Some(self.id.clone());
        self.store_hard_state();
        self.start_vote_count(now, rng);
        if self.votes.len() >= self.membership().quorum() {
            return self.become_leader(now);
        }
        let last = self.log.last();
        for peer in self.other_voters() {
            self.send(peer, ReplicaMessage::Vote { last });
        }
    }

    pub(super) fn on_vote(
        &mut self,
        from: VoterId,
        term: u64,
        last: LogPosition,
        now: Moment,
        rng: &mut dyn RngCore,
    ) {
        if self.has_leader_contact(now) {
            return;
        }
        self.adopt_term(term, now, rng);
        let may_vote_for_sender = self.hard_state.vote.as_ref().is_none_or(|vote| *vote == from);
        let granted =
            term == self.hard_state.term && may_vote_for_sender && last >= self.log.last();
        if granted {
            self.hard_state.vote = Some(from.clone());
            self.store_hard_state();
            self.reset_election_timer(now, rng);
        }
        self.send(from, ReplicaMessage::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(
        &mut self,
        from: VoterId,
        term: u64,
        granted: bool,
        now: Moment,
        rng: &mut dyn RngCore,
    ) {
        if self.adopt_term(term, now, rng) {
            return;
        }
        let is_valid_vote = granted
            && term == self.hard_state.term
            && self.role == ReplicaRole::Candidate
            && self.is_other_voter(&from);
        if !is_valid_vote {
            return;
        }
        self.votes.insert(from);
        if self.votes.len() >= self.membership().quorum() {
            self.become_leader(now);
        }
    }

    fn become_leader(&mut self, now: Moment) {
        self.role = ReplicaRole::Leader;
        self.leader = Some(self.id.clone());
        self.progress.clear();
        self.sent_rounds.clear();
        self.lease_until = Moment(0);
        self.refresh_progress(now);
        self.carry_over_silence();
        self.append_payload(EntryPayload::Empty);
        self.broadcast(now);
        self.advance_commit();
    }

    /// Counts the silence of the leader before from its last message. Counted from this election, a
    /// leader that is gone for good would weigh on the quorum for longer than other voters.
    fn carry_over_silence(&mut self) {
        let Some(former) = self.last_leader.take() else { return };
        if let (false, Some(heard), Some(progress)) =
            (self.votes.contains(&former), self.last_leader_contact, self.progress.get_mut(&former))
        {
            progress.last_contact = heard;
        }
    }

    /// Adds progress records for new members and removes those of former members.
    pub(super) fn refresh_progress(&mut self, now: Moment) {
        let next_index = self.log.last().index + 1;
        let members: Vec<VoterId> = self.membership().members().map(|(id, _)| id.clone()).collect();
        self.progress.retain(|id, _| members.contains(id));
        for id in members {
            let fresh = PeerProgress {
                match_index: 0,
                next_index,
                acked_round: 0,
                last_contact: now,
                unacked_bytes: 0,
                rewound_round: 0,
                snapshot: None,
            };
            self.progress.entry(id).or_insert(fresh);
        }
    }

    /// Adopts `term` and becomes a follower if it is newer than the current term; true if it is.
    pub(super) fn adopt_term(&mut self, term: u64, now: Moment, rng: &mut dyn RngCore) -> bool {
        if term <= self.hard_state.term {
            return false;
        }
        self.hard_state.term = term;
        self.hard_state.vote = None;
        self.store_hard_state();
        self.step_down(LeadershipEnd::NewerTerm, now, rng);
        true
    }

    pub(super) fn store_hard_state(&mut self) {
        self.output.hard_state = Some(self.hard_state.clone());
    }

    pub(super) fn step_down(&mut self, reason: LeadershipEnd, now: Moment, rng: &mut dyn RngCore) {
        if self.role == ReplicaRole::Leader {
            self.leadership_end = Some(reason);
        }
        self.role = ReplicaRole::Follower;
        self.leader = None;
        self.lease_until = Moment(0);
        self.reset_election_timer(now, rng);
    }

    /// Accepts the sender of an append or snapshot as leader; false if its term is outdated.
    pub(super) fn accept_leader(
        &mut self,
        from: &VoterId,
        term: u64,
        now: Moment,
        rng: &mut dyn RngCore,
    ) -> bool {
        self.adopt_term(term, now, rng);
        if term < self.hard_state.term {
            return false;
        }
        self.role = ReplicaRole::Follower;
        self.leader = Some(from.clone());
        self.last_leader = Some(from.clone());
        self.last_leader_contact = Some(now);
        self.reset_election_timer(now, rng);
        true
    }
}
