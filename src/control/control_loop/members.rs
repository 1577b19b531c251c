//! Who belongs to the fleet: founding, joining, lost voters and dead daemons.

use super::ControlLoop;
use crate::control::joining::{
    JoinTask, JoinedFleet, ask_to_join, founding_membership, founding_voter,
};
use crate::control::ledger::ControlCommand;
use crate::control::rpc::{JoinAnswer, LeaderAnswer, VoterRow};
use crate::control::voter_folder::blank_snapshot;
use crate::control::voting::{lost_voters, may_join, next_step};
use crate::control::waiters::{EntryWaiter, ReplyTo};
use crate::policy::Moment;
use crate::replica::{FleetId, FleetMembership, HardState, SnapshotRecord, VoterId};
use crate::store::FolderState;
use rand::Rng;
use slog::{error, info, warn};
use std::net::SocketAddr;
use std::time::Duration;

/// A member is taken off the list after it has been dead for this long, beyond its lease.
const DEAD_FOR: Duration = Duration::from_secs(10);
/// A voter that hears no leader for this long asks to join again.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(2);

impl ControlLoop {
    pub(super) fn joining(&self) -> JoinTask {
        let voter = self.identity.as_ref().map(|identity| identity.voter.clone());
        JoinTask {
            voter: voter.unwrap_or(VoterId { daemon: self.setup.daemon.clone(), folder_id: 0 }),
            control: self.setup.control,
            peers: self.setup.peers.iter().map(|peer| peer.control).collect(),
            may_found: self.setup.found_fleet,
            key: self.setup.key.clone(),
            log: self.setup.log.clone(),
        }
    }

    /// The voter belongs to a fleet from now on: noted in its folder before it takes part.
    pub(super) fn joined(&mut self, joined: JoinedFleet) {
        let Some(mut identity) = self.identity.take() else { return };
        let (fleet, snapshot) = match joined {
            JoinedFleet::Joined(fleet) => (fleet, blank_snapshot(fleet)),
            JoinedFleet::Founded => {
                let fleet = FleetId(self.rng.random());
                let membership = FleetMembership::single_voter(
                    fleet,
                    identity.voter.clone(),
                    self.setup.control,
                );
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
            .replace_with_snapshot::<ControlCommand>(&snapshot, &hard, &[])
            .and_then(|()| identity.set_fleet(store.path(), fleet));
        if let Err(fault) = kept {
            error!(self.setup.log, "cannot keep the fleet's identity"; "fault" => fault.to_string());
            self.identity = Some(identity);
            return;
        }
        info!(self.setup.log, "belongs to a fleet"; "fleet" => fleet.0, "founded" => !matches!(joined, JoinedFleet::Joined(_)));
        self.fleet = Some(fleet);
        let state =
            FolderState { hard_state: hard, snapshot: None, entries: Vec::new(), commit_index: 0 };
        self.start_core(&identity, snapshot, state);
        self.identity = Some(identity);
    }

    /// A voter that hears no leader may have been removed without being told. It asks again; a leader
    /// that knows it says so, one that does not may let it in as a learner.
    pub(super) fn ask_if_forgotten(&mut self, now: Moment) {
        let hears_leader = self.core.as_ref().is_none_or(|core| core.leader().is_some());
        if hears_leader {
            self.alone_since = now;
        } else if now.since(self.alone_since) >= FORGOTTEN_AFTER {
            self.alone_since = now;
            let task = self.joining();
            tokio::spawn(async move { ask_to_join(&task).await });
        }
    }

    /// The leader's own work, done as time passes.
    pub(super) fn lead(&mut self) {
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
        self.direct_rollouts(now);
    }

    pub(super) fn drop_dead(&mut self, now: Moment) {
        let Some(registry) = &self.registry else { return };
        let dead = registry.dead(now);
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

    pub(super) fn take_join(
        &mut self,
        voter: VoterId,
        control: SocketAddr,
        reply: ReplyTo<JoinAnswer>,
    ) {
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
