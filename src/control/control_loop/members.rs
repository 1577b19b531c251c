//! Fleet membership: founding, joining, and the removal of lost voters and dead daemons.

use super::ControlLoop;
use crate::control::joining::{
    JoinTask, JoinedFleet, founding_membership, founding_voter, request_join,
};
use crate::control::ledger::ControlCommand;
use crate::control::rpc::{JoinAnswer, LeaderAnswer, VoterRow};
use crate::control::voter_folder::empty_snapshot;
use crate::control::voting::{AbsentMembers, absent_members, may_join, next_membership};
use crate::control::waiters::{EntryWaiter, LeaderReplySender};
use crate::policy::Moment;
use crate::replica::{FleetId, FleetMembership, HardState, ReplicaCore, SnapshotRecord, VoterId};
use crate::store::FolderState;
use rand::Rng;
use slog::{error, info, warn};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after the expiry of its lease at which a dead member is removed from the member list.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(10);
/// Time without a leader after which a voter asks to join again.
const REJOIN_DELAY: Duration = Duration::from_secs(2);

/// The identities of members, for the log.
pub(super) fn names(members: &BTreeMap<VoterId, SocketAddr>) -> String {
    members.keys().map(VoterId::to_string).collect::<Vec<String>>().join(" ")
}

/// What each learner lacks, for the log.
fn learner_lags(core: &ReplicaCore<ControlCommand>) -> String {
    let lag = |id: &VoterId| {
        let lag = core.lag(id)?;
        Some(format!("{id} entries {} bytes {}", lag.entries, lag.bytes))
    };
    core.membership().learners.keys().filter_map(lag).collect::<Vec<String>>().join(", ")
}

impl ControlLoop {
    pub(super) fn join_task(&self) -> JoinTask {
        let voter = self.identity.as_ref().map(|identity| identity.voter.clone());
        JoinTask {
            voter: voter.unwrap_or(VoterId { daemon: self.setup.daemon.clone(), folder_id: 0 }),
            control: self.setup.control,
            peers: self.setup.peers.iter().map(|peer| peer.control).collect(),
            may_found: self.setup.may_found_fleet,
            key: self.setup.key.clone(),
            log: self.setup.log.clone(),
        }
    }

    /// Records in the data folder that the voter belongs to a fleet, and only then starts the
    /// replica.
    pub(super) fn enter_fleet(&mut self, joined: JoinedFleet) {
        let Some(mut identity) = self.identity.take() else { return };
        let (fleet, snapshot) = match joined {
            JoinedFleet::Joined(fleet) => (fleet, empty_snapshot(fleet)),
            JoinedFleet::Founded => {
                let fleet = FleetId(self.rng.random());
                let membership = FleetMembership::single_voter(
                    fleet,
                    identity.voter.clone(),
                    self.setup.control,
                );
                (fleet, SnapshotRecord { membership, ..empty_snapshot(fleet) })
            }
            JoinedFleet::FoundedTogether => {
                let membership = founding_membership(&self.setup.founders);
                identity.voter = founding_voter(&self.setup.daemon);
                let fleet = membership.fleet;
                (fleet, SnapshotRecord { membership, ..empty_snapshot(fleet) })
            }
        };
        let Some(store) = &mut self.store else { return };
        let initial_state = HardState::default();
        let kept = store
            .replace_with_snapshot::<ControlCommand>(&snapshot, &initial_state, &[])
            .and_then(|()| identity.set_fleet(store.path(), fleet));
        if let Err(fault) = kept {
            error!(self.setup.log, "could not store the fleet's identity"; "fault" => fault.to_string());
            self.identity = Some(identity);
            return;
        }
        info!(self.setup.log, "belongs to a fleet"; "fleet" => fleet.0, "founded" => !matches!(joined, JoinedFleet::Joined(_)));
        self.fleet = Some(fleet);
        let state = FolderState {
            hard_state: initial_state,
            snapshot: None,
            entries: Vec::new(),
            commit_index: 0,
        };
        self.start_core(&identity, snapshot, state);
        self.identity = Some(identity);
    }

    /// Asks to join again if no leader has been heard for a while, since the voter may have been
    /// removed without being notified. A leader whose membership contains the voter says so; one
    /// whose membership does not may add it as a learner.
    pub(super) fn rejoin_if_leaderless(&mut self, now: Moment) {
        let has_leader = self.core.as_ref().is_none_or(|core| core.leader().is_some());
        if has_leader || self.is_stopping() {
            self.leaderless_since = now;
        } else if now.since(self.leaderless_since) >= REJOIN_DELAY {
            self.leaderless_since = now;
            let task = self.join_task();
            tokio::spawn(async move { request_join(&task).await });
        }
    }

    /// Performs the leader's periodic work.
    pub(super) fn run_leader_tasks(&mut self) {
        if !self.holds_lease() {
            return;
        }
        let now = self.now();
        self.report_losses(now);
        let absent = self.absent_members(now);
        let Some(core) = &mut self.core else { return };
        if let Some(membership) = next_membership(core, &self.ledger, &absent) {
            let (voters, learners) = (names(&membership.voters), names(&membership.learners));
            let lags = learner_lags(core);
            if let Ok(output) = core.change_membership(membership, now) {
                info!(self.setup.log, "changing voters"; "voters" => voters, "learners" => learners,
                    "learner_lags" => lags, "absent" => format!("{:?}", absent.voters));
                self.process_output(output, None);
            }
        }
        self.remove_dead_members(now);
        self.advance_rollouts(now);
    }

    /// The members that this daemon, as leader, must do without. Where operators replace voters,
    /// none is missed.
    pub(super) fn absent_members(&self, now: Moment) -> AbsentMembers {
        let Some(core) = &self.core else { return AbsentMembers::default() };
        let absent = absent_members(core, &self.stopping_members(now), now);
        match self.setup.replaces_voters {
            true => absent,
            false => AbsentMembers { voters: Vec::new(), ..absent },
        }
    }

    pub(super) fn remove_dead_members(&mut self, now: Moment) {
        let Some(registry) = &self.registry else { return };
        let dead = registry.expired_members(now);
        self.dead_since.retain(|daemon, _| dead.iter().any(|(name, _)| name == daemon));
        let mut leave_commands = Vec::new();
        for (daemon, boot) in dead {
            let since = *self.dead_since.entry(daemon.clone()).or_insert(now);
            if now.since(since) >= DEAD_MEMBER_RETENTION {
                self.dead_since.insert(daemon.clone(), now);
                warn!(self.setup.log, "daemon is dead"; "name" => daemon.as_str());
                leave_commands.push(ControlCommand::Leave { daemon, boot });
            }
        }
        leave_commands
            .into_iter()
            .for_each(|command| self.proposals.push((vec![command], EntryWaiter::NoReply)));
        self.propose_pending();
    }

    pub(super) fn on_join(
        &mut self,
        voter: VoterId,
        control: SocketAddr,
        reply: LeaderReplySender<JoinAnswer>,
    ) {
        let now = self.now();
        let (true, Some(fleet)) = (self.holds_lease(), self.fleet) else {
            return drop(reply.send(LeaderAnswer::Elsewhere(self.remote_leader())));
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
                self.process_output(output, None);
                // Not accepted yet: the voter asks again and is then found in the membership.
                let _ = reply.send(LeaderAnswer::Elsewhere(None));
            }
            Err(_) => drop(reply.send(LeaderAnswer::Elsewhere(None))),
        }
    }

    pub(super) fn voter_rows(&self) -> Vec<VoterRow> {
        let Some(core) = &self.core else { return Vec::new() };
        let membership = core.membership();
        let row = |(voter, control): (&VoterId, &SocketAddr)| VoterRow {
            voter: voter.clone(),
            control: *control,
            votes: membership.voters.contains_key(voter),
            matched: if voter == core.id() {
                Some(core.log().last().index)
            } else {
                core.match_index(voter)
            },
        };
        membership.members().map(row).collect()
    }
}
