//! Rules by which the leader changes the set of voters on its own. This module performs no I/O.
//!
//! A daemon with a data folder asks to join. It becomes a learner, catches up with the log, and is
//! then promoted to voter. If its disk was wiped, its old identity remains a voter that no process
//! can use; the old identity is removed first and the new one added afterwards, one step at a time.

use super::ledger::ControlLedger;
use crate::policy::Moment;
use crate::replica::{FleetMembership, ReplicaCore, ReplicatedCommand, VoterId};
use std::time::Duration;

/// Maximum number of voters that the leader adds on its own. Operators cannot exceed it either,
/// since more voters only slow commits.
pub const MAX_VOTERS: usize = 5;
/// Maximum number of spare learners kept beside a full set of voters where lost voters are replaced
/// without an operator.
const MAX_SPARE_LEARNERS: usize = 6;
/// Silence after which a voter counts as lost. It exceeds the restart time of a killed process; a
/// voter that was only cut off catches up again as a learner.
const VOTER_SILENCE_LIMIT: Duration = Duration::from_millis(3_000);
/// Maximum number of entries behind the commit index at which a learner counts as caught up.
const MAX_LAG_ENTRIES: u64 = 64;

/// True if a voter that asks to join may be added as a learner.
///
/// With `may_add_spares`, learners are accepted beyond the number needed to fill the set of voters,
/// so that they can replace lost voters.
pub fn may_join(
    membership: &FleetMembership,
    ledger: &ControlLedger,
    voter: &VoterId,
    may_add_spares: bool,
) -> bool {
    let replaces = membership.voters.keys().any(|known| known.daemon == voter.daemon);
    let has_place = membership.voters.len() < MAX_VOTERS
        || (may_add_spares && membership.learners.len() < MAX_SPARE_LEARNERS);
    ledger.may_vote(&voter.daemon) && (replaces || has_place)
}

/// Voters not heard from for [`VOTER_SILENCE_LIMIT`].
pub fn lost_voters<C: ReplicatedCommand>(core: &ReplicaCore<C>, now: Moment) -> Vec<VoterId> {
    let is_lost = |id: &&VoterId| {
        *id != core.id()
            && core.last_contact(id).is_none_or(|heard| now.since(heard) >= VOTER_SILENCE_LIMIT)
    };
    core.membership().voters.keys().filter(is_lost).cloned().collect()
}

/// The next membership change, if one is due.
pub fn next_membership<C: ReplicatedCommand>(
    core: &ReplicaCore<C>,
    ledger: &ControlLedger,
    lost: &[VoterId],
) -> Option<FleetMembership> {
    let membership = core.membership();
    let barred = membership.members().map(|(id, _)| id).find(|id| !ledger.may_vote(&id.daemon));
    if let Some(id) = barred
        && (membership.voters.len() > 1 || membership.learners.contains_key(id))
    {
        return Some(membership.without_member(id));
    }
    let is_caught_up = |id: &&VoterId| {
        core.match_index(id)
            .is_some_and(|matched| matched + MAX_LAG_ENTRIES >= core.commit_index() && matched > 0)
    };
    let learner = membership.learners.keys().find(is_caught_up);
    // A permanently lost voter adds no safety to an even number of voters, and keeps a spare out of
    // a full set.
    let has_even_count = membership.voters.len() > 2 && membership.voters.len().is_multiple_of(2);
    let may_remove_lost =
        has_even_count || (learner.is_some() && membership.voters.len() >= MAX_VOTERS);
    if let (true, [lost]) = (may_remove_lost, lost) {
        return Some(membership.without_member(lost));
    }
    let learner = learner?;
    let old = membership.voters.keys().find(|id| id.daemon == learner.daemon);
    match old {
        Some(old) if membership.voters.len() > 1 => Some(membership.without_member(old)),
        None if membership.voters.len() >= MAX_VOTERS => None,
        _ => Some(membership.with_voter(learner)),
    }
}
