//! The leader's rules for changing voters by itself; pure.
//!
//! A daemon with a data folder asks to join. It becomes a learner, catches up, and then votes. If its
//! disk was wiped, its old identity is still a voter that nobody can use any more: the old identity is
//! removed first and the new one added after, one step at a time.

use super::ledger::ControlLedger;
use crate::replica::{FleetMembership, ReplicaCore, VoterId};
use std::fmt::Debug;

/// Voters the leader adds by itself; operators may not go beyond either, as more only slow commits.
pub const MOST_VOTERS: usize = 5;
/// A learner this close to the commit index is caught up.
const CAUGHT_UP: u64 = 64;

/// Whether a voter that asks may be let in as a learner.
pub fn may_join(membership: &FleetMembership, ledger: &ControlLedger, voter: &VoterId) -> bool {
    let replaces = membership.voters.keys().any(|known| known.daemon == voter.daemon);
    ledger.may_vote(&voter.daemon) && (replaces || membership.voters.len() < MOST_VOTERS)
}

/// The next step of change, if one is due.
pub fn next_step<C: Clone + Debug>(
    core: &ReplicaCore<C>,
    ledger: &ControlLedger,
) -> Option<FleetMembership> {
    let membership = core.membership();
    let barred = membership.members().map(|(id, _)| id).find(|id| !ledger.may_vote(&id.daemon));
    if let Some(id) = barred
        && (membership.voters.len() > 1 || membership.learners.contains_key(id))
    {
        return Some(membership.without(id));
    }
    let is_caught_up = |id: &&VoterId| {
        core.matched(id)
            .is_some_and(|matched| matched + CAUGHT_UP >= core.commit_index() && matched > 0)
    };
    let learner = membership.learners.keys().find(is_caught_up)?;
    let old = membership.voters.keys().find(|id| id.daemon == learner.daemon);
    match old {
        Some(old) if membership.voters.len() > 1 => Some(membership.without(old)),
        _ => Some(membership.with_voter(learner)),
    }
}
