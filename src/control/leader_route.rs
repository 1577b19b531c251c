//! Where a daemon sends operators' requests, which only the leader may decide. This module performs no
//! I/O.

use crate::policy::Moment;
use crate::replica::{ReplicaCore, ReplicaRole, ReplicatedCommand, VoterId};

/// Silence of a leader from which nobody is sent to it, in intervals between heartbeats. It may have
/// ended, and a caller that is sent there waits for its own timeout.
const MAX_SILENCE_HEARTBEATS: u32 = 2;
/// Time without a leader from which a voter is presumed to be cut off from the others, in minimum
/// election timeouts: several elections.
const CUT_OFF_TIMEOUTS: u32 = 4;

/// Where a request that only the leader may decide is to go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderRoute {
    /// This daemon leads and holds the lease.
    Here,
    /// Another voter leads, or knows more than this one.
    Elsewhere(VoterId),
    /// It is not known yet: an election is under way, or the leader or its lease is in doubt.
    Unsettled,
}

/// Returns where a request is to go. A voter that seems to be cut off names the other voters in turn,
/// `turn` being the number of those it has named so far.
pub fn leader_route<C: ReplicatedCommand>(
    core: &ReplicaCore<C>,
    turn: usize,
    now: Moment,
) -> LeaderRoute {
    if core.has_lease(now) {
        return LeaderRoute::Here;
    }
    if core.role() == ReplicaRole::Leader {
        return LeaderRoute::Unsettled;
    }
    let config = core.config();
    let silence = core.leader_heard().map(|heard| now.since(heard)).unwrap_or_default();
    match core.leader() {
        Some(leader) if silence < config.heartbeat_interval * MAX_SILENCE_HEARTBEATS => {
            LeaderRoute::Elsewhere(leader.clone())
        }
        None if silence >= config.election_timeout * CUT_OFF_TIMEOUTS => other_voter(core, turn),
        _ => LeaderRoute::Unsettled,
    }
}

fn other_voter<C: ReplicatedCommand>(core: &ReplicaCore<C>, turn: usize) -> LeaderRoute {
    let others: Vec<&VoterId> =
        core.membership().voters.keys().filter(|id| *id != core.id()).collect();
    let voter = others.get(turn % others.len().max(1));
    voter.map_or(LeaderRoute::Unsettled, |voter| LeaderRoute::Elsewhere((*voter).clone()))
}
