//! Voters whose processes are about to end.
//!
//! A process that gets SIGTERM cannot tell whether its machine comes back. It announces its end to
//! the leader, which removes it from the voters at once where the set bears as many losses without
//! it. The silence by which the leader would notice its end later is time in which a further loss
//! could leave no quorum. A voter that is back joins again.

use super::ControlLoop;
use crate::control::links::{FleetKey, connect};
use crate::control::rpc::{ControlApiClient, LeaderAnswer, VoterExit};
use crate::control::voting::next_membership;
use crate::control::waiters::LeaderReplySender;
use crate::policy::Moment;
use crate::replica::{ReplicaCore, VoterId};
use slog::{Logger, info};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;

/// Interval between two announcements of a voter that stops.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after its last announcement for which a member counts as stopping. It is below the time that
/// a removed voter takes to join again.
const ANNOUNCEMENT_TTL: Duration = Duration::from_millis(1_000);

/// Members that have announced their end, and what is known of this daemon's own.
pub struct VoterExits {
    announced: BTreeMap<VoterId, Moment>,
    sent_at: Moment,
    decided: watch::Sender<bool>,
}

impl VoterExits {
    /// `decided` is set to true once the leader has decided on this daemon's exit.
    pub fn new(decided: watch::Sender<bool>) -> Self {
        VoterExits { announced: BTreeMap::new(), sent_at: Moment(0), decided }
    }
}

impl ControlLoop {
    /// True once this daemon drains.
    pub(super) fn is_stopping(&self) -> bool {
        *self.drain.borrow()
    }

    /// The members whose processes are about to end, as far as they have announced it here.
    pub(super) fn stopping_members(&self, now: Moment) -> Vec<VoterId> {
        let is_recent = |(_, at): &(&VoterId, &Moment)| now.since(**at) < ANNOUNCEMENT_TTL;
        let own = self.core.as_ref().filter(|_| self.is_stopping()).map(ReplicaCore::id);
        let announced = self.exits.announced.iter().filter(is_recent).map(|(id, _)| id);
        announced.chain(own).cloned().collect()
    }

    /// Announces this daemon's end while it drains.
    pub(super) fn announce_stop(&mut self, now: Moment) {
        let is_due = now.since(self.exits.sent_at) >= ANNOUNCEMENT_INTERVAL;
        if !self.setup.replaces_voters || !self.is_stopping() || !is_due {
            return;
        }
        self.exits.sent_at = now;
        let Some(core) = &self.core else {
            self.exits.decided.send_replace(true);
            return;
        };
        let voter = core.id().clone();
        if self.holds_lease() {
            let exit = self.exit_of(&voter, now);
            return record_exit(&self.setup.log, &self.exits.decided, exit);
        }
        let Some(leader) = self.leader_address() else { return };
        let (key, log) = (self.setup.key.clone(), self.setup.log.clone());
        let decided = self.exits.decided.clone();
        tokio::spawn(async move {
            if let Some(exit) = ask_leader(leader, &key, voter).await {
                record_exit(&log, &decided, exit);
            }
        });
    }

    pub(super) fn on_voter_stopping(
        &mut self,
        voter: VoterId,
        reply: LeaderReplySender<VoterExit>,
    ) {
        if !self.holds_lease() {
            return drop(reply.send(LeaderAnswer::Elsewhere(self.remote_leader())));
        }
        let now = self.now();
        self.exits.announced.retain(|_, at| now.since(*at) < ANNOUNCEMENT_TTL);
        if self.exits.announced.insert(voter.clone(), now).is_none() {
            info!(self.setup.log, "a member is stopping"; "member" => voter.to_string());
        }
        let exit = self.exit_of(&voter, now);
        let _ = reply.send(LeaderAnswer::Done(exit));
    }

    /// What becomes of a member that is stopping, on the leader.
    fn exit_of(&self, voter: &VoterId, now: Moment) -> VoterExit {
        let Some(core) = &self.core else { return VoterExit::Pending };
        if core.is_change_pending() {
            return VoterExit::Pending;
        }
        let is_voter = core.membership().voters.contains_key(voter);
        match next_membership(core, &self.ledger, &self.absent_members(now)) {
            _ if !is_voter => VoterExit::Left,
            Some(_) => VoterExit::Pending,
            None => VoterExit::Stays,
        }
    }
}

async fn ask_leader(leader: SocketAddr, key: &FleetKey, voter: VoterId) -> Option<VoterExit> {
    let client = connect(leader, key).await.ok()?;
    match client.voter_stopping(voter).await {
        Ok(LeaderAnswer::Done(exit)) => Some(exit),
        _ => None,
    }
}

/// Records the leader's decision, and logs the first one.
fn record_exit(log: &Logger, decided: &watch::Sender<bool>, exit: VoterExit) {
    let is_first = exit != VoterExit::Pending && !decided.send_replace(true);
    if is_first {
        info!(log, "exit from the voters decided"; "exit" => format!("{exit:?}"));
    }
}
