//! The leader's rules for changing voters by itself; pure.
//!
//! A daemon with a data folder asks to join. It becomes a learner, catches up, and then votes. If its
//! disk was wiped, its old identity is still a voter that nobody can use any more: the old identity is
//! removed first and the new one added after, one step at a time.

use super::ledger::ControlLedger;
use crate::policy::Moment;
use crate::replica::{FleetMembership, ReplicaCore, VoterId};
use std::fmt::Debug;
use std::time::Duration;

/// Voters the leader adds by itself; operators may not go beyond either, as more only slow commits.
pub const MOST_VOTERS: usize = 5;
/// Learners that are kept beside a full set of voters, where lost voters are replaced without an operator.
const MOST_SPARES: usize = 6;
/// A voter unheard for this long is lost. Above the time in which a killed process is back; a voter that was
/// only cut off catches up again as a learner.
const LOST_AFTER: Duration = Duration::from_millis(3_000);
/// A learner this close to the commit index is caught up.
const CAUGHT_UP: u64 = 64;

/// Whether a voter that asks may be let in as a learner.
///
/// `keeps_spares`: more learners than are needed as voters are let in, to take the place of lost voters.
pub fn may_join(
    membership: &FleetMembership,
    ledger: &ControlLedger,
    voter: &VoterId,
    keeps_spares: bool,
) -> bool {
    let replaces = membership.voters.keys().any(|known| known.daemon == voter.daemon);
    let has_place = membership.voters.len() < MOST_VOTERS
        || (keeps_spares && membership.learners.len() < MOST_SPARES);
    ledger.may_vote(&voter.daemon) && (replaces || has_place)
}

/// Voters that have not been heard for [`LOST_AFTER`].
pub fn lost_voters<C: Clone + Debug>(core: &ReplicaCore<C>, now: Moment) -> Vec<VoterId> {
    let is_lost = |id: &&VoterId| {
        *id != core.id() && core.last_contact(id).is_none_or(|heard| now.since(heard) >= LOST_AFTER)
    };
    core.membership().voters.keys().filter(is_lost).cloned().collect()
}

/// The next step of change, if one is due.
pub fn next_step<C: Clone + Debug>(
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
            .is_some_and(|matched| matched + CAUGHT_UP >= core.commit_index() && matched > 0)
    };
    let learner = membership.learners.keys().find(is_caught_up);
    // A voter that is lost for good makes an even number of voters no safer and a full set keep a spare out.
    let has_even = membership.voters.len() > 2 && membership.voters.len().is_multiple_of(2);
    let is_in_the_way = has_even || (learner.is_some() && membership.voters.len() >= MOST_VOTERS);
    if let (true, [lost]) = (is_in_the_way, lost) {
        return Some(membership.without_member(lost));
    }
    let learner = learner?;
    let old = membership.voters.keys().find(|id| id.daemon == learner.daemon);
    match old {
        Some(old) if membership.voters.len() > 1 => Some(membership.without_member(old)),
        None if membership.voters.len() >= MOST_VOTERS => None,
        _ => Some(membership.with_voter(learner)),
    }
}
