//! Rules by which the leader changes the set of voters on its own. This module performs no I/O.
//!
//! A daemon with a data folder asks to join. It becomes a learner, catches up with the log, and is
//! then promoted to voter. If its disk was wiped, its old identity remains a voter that no process
//! can use; the old identity is removed first and the new one added afterwards, one step at a time.
//!
//! No step lowers the number of further losses that the set bears ([`losses_borne`]), unless an
//! operator has removed a voter.

use super::ledger::ControlLedger;
use crate::policy::Moment;
use crate::replica::{FleetMembership, ReplicaCore, ReplicaLag, ReplicatedCommand, VoterId};
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
/// Silence after which a learner is not promoted. A dead one would only raise the quorum.
const LEARNER_SILENCE_LIMIT: Duration = Duration::from_millis(1_000);
/// Silence after which a learner is removed. One that comes back asks to join again.
const LEARNER_RETENTION: Duration = Duration::from_millis(10_000);
/// Maximum number of entries behind the commit index at which a learner counts as caught up.
const MAX_LAG_ENTRIES: u64 = 64;

/// Members that the leader must do without.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AbsentMembers {
    /// Voters that are silent or stopping: the longest silent first, those that stop last.
    pub voters: Vec<VoterId>,
    /// Learners that are silent or stopping.
    pub learners: Vec<VoterId>,
    /// Learners that have been silent for so long that they are removed.
    pub gone_learners: Vec<VoterId>,
}

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

/// The members that are silent, and those in `stopping`, which have announced that their processes
/// are about to end.
pub fn absent_members<C: ReplicatedCommand>(
    core: &ReplicaCore<C>,
    stopping: &[VoterId],
    now: Moment,
) -> AbsentMembers {
    let silence = |id: &VoterId| match core.last_contact(id) {
        _ if id == core.id() => Duration::ZERO,
        Some(heard) => now.since(heard),
        None => Duration::MAX,
    };
    let is_absent = |id: &&VoterId, limit: Duration| silence(id) >= limit || stopping.contains(id);
    let membership = core.membership();
    let voters = membership.voters.keys().filter(|id| is_absent(id, VOTER_SILENCE_LIMIT));
    let mut voters: Vec<VoterId> = voters.cloned().collect();
    voters.sort_by_key(|id| (stopping.contains(id), std::cmp::Reverse(silence(id))));
    let learners = membership.learners.keys();
    AbsentMembers {
        voters,
        learners: learners
            .clone()
            .filter(|id| is_absent(id, LEARNER_SILENCE_LIMIT))
            .cloned()
            .collect(),
        gone_learners: learners.filter(|id| silence(id) >= LEARNER_RETENTION).cloned().collect(),
    }
}

/// Number of further voters whose loss leaves a quorum; `None` if there is no quorum without
/// `absent`.
pub fn losses_borne(membership: &FleetMembership, absent: &[VoterId]) -> Option<usize> {
    let is_present = |id: &&VoterId| !absent.contains(id);
    let present = membership.voters.keys().filter(is_present).count();
    present.checked_sub(membership.quorum())
}

/// The next membership change, if one is due.
pub fn next_membership<C: ReplicatedCommand>(
    core: &ReplicaCore<C>,
    ledger: &ControlLedger,
    absent: &AbsentMembers,
) -> Option<FleetMembership> {
    let membership = core.membership();
    let barred = membership.members().map(|(id, _)| id).find(|id| !ledger.may_vote(&id.daemon));
    if let Some(id) = barred
        && (membership.voters.len() > 1 || membership.learners.contains_key(id))
    {
        return Some(membership.without_member(id));
    }
    let learner = ready_learner(core, &absent.learners);
    learner
        .and_then(|learner| with_promoted_learner(membership, learner, &absent.voters))
        .or_else(|| without_absent_voter(membership, &absent.voters))
        .or_else(|| absent.gone_learners.first().map(|id| membership.without_member(id)))
}

/// A learner that is present and has caught up.
fn ready_learner<'a, C: ReplicatedCommand>(
    core: &'a ReplicaCore<C>,
    absent: &[VoterId],
) -> Option<&'a VoterId> {
    let is_ready = |id: &&VoterId| {
        let has_entries = core.match_index(id).is_some_and(|matched| matched > 0);
        has_entries && core.lag(id).is_some_and(|lag| is_small(lag, core)) && !absent.contains(id)
    };
    core.membership().learners.keys().find(is_ready)
}

/// True if a quorum may wait for a member that lacks this much: no more than one message, which may
/// be a single large entry.
fn is_small<C: ReplicatedCommand>(lag: ReplicaLag, core: &ReplicaCore<C>) -> bool {
    lag.entries <= MAX_LAG_ENTRIES
        && (lag.entries <= 1 || lag.bytes <= core.config().max_unacked_bytes)
}

/// The set without one of its absent voters, if it is to go.
///
/// The quorum of an even number of voters is that of the odd number below it, so an absent voter of
/// an even number only weighs on the quorum. So do two absent voters of an odd number, and they go
/// one after the other. One absent voter of an odd number stays, as it adds a vote if it comes back.
fn without_absent_voter(
    membership: &FleetMembership,
    absent: &[VoterId],
) -> Option<FleetMembership> {
    let voters = membership.voters.len();
    // Without a quorum of present voters no change can be committed.
    losses_borne(membership, absent)?;
    let is_removable = match absent.len() {
        0 => false,
        _ if voters <= 2 => false,
        1 => voters.is_multiple_of(2),
        _ => true,
    };
    is_removable.then(|| membership.without_member(&absent[0]))
}

/// The set with a learner as voter, or without the earlier identity of its daemon. Absent voters take
/// no places: the set grows before it shrinks, also beyond [`MAX_VOTERS`].
fn with_promoted_learner(
    membership: &FleetMembership,
    learner: &VoterId,
    absent: &[VoterId],
) -> Option<FleetMembership> {
    let old = membership.voters.keys().find(|id| id.daemon == learner.daemon);
    let present = membership.voters.keys().filter(|id| !absent.contains(id)).count();
    match old {
        Some(old) if membership.voters.len() > 1 => Some(membership.without_member(old)),
        None if present >= MAX_VOTERS => None,
        _ => Some(membership.with_voter(learner)),
    }
}
