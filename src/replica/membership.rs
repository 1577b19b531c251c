//! Identities and membership of voters.

use crate::table::DaemonName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Identifies a fleet; messages between replicas of different fleets are ignored.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct FleetId(pub u64);

/// Identifies a voter by its daemon's name and a number chosen when its data folder is created:
/// random, or 0 for voters that found a fleet together.
///
/// A voter whose disk was wiped has lost its votes and entries. If it voted under its old identity,
/// it could elect a leader that lacks committed entries; the symptom is a lost accepted edit. A new
/// folder gets a new random number, so the old identity never votes again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct VoterId {
    /// Name of the daemon.
    pub daemon: DaemonName,
    /// Number of its data folder.
    pub folder_id: u32,
}

impl fmt::Display for VoterId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}~{:08x}", self.daemon, self.folder_id)
    }
}

impl From<VoterId> for String {
    fn from(id: VoterId) -> String {
        id.to_string()
    }
}

impl TryFrom<String> for VoterId {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let parts = text.rsplit_once('~');
        let id = parts.and_then(|(daemon, folder_id)| {
            let folder_id = u32::from_str_radix(folder_id, 16).ok()?;
            Some(VoterId { daemon: daemon.into(), folder_id })
        });
        id.ok_or_else(|| format!("{text}: expected NAME~FOLDER"))
    }
}

/// The voters, and the learners that are catching up to become voters, with their control
/// addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetMembership {
    /// The fleet.
    pub fleet: FleetId,
    /// Members that vote.
    pub voters: BTreeMap<VoterId, SocketAddr>,
    /// Members that receive the log but do not vote.
    pub learners: BTreeMap<VoterId, SocketAddr>,
}

impl FleetMembership {
    /// Creates a membership with a single voter.
    pub fn single_voter(fleet: FleetId, founder: VoterId, address: SocketAddr) -> Self {
        FleetMembership {
            fleet,
            voters: BTreeMap::from([(founder, address)]),
            learners: BTreeMap::new(),
        }
    }

    /// Number of voters in a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Voters and learners: all members that receive the log.
    pub fn members(&self) -> impl Iterator<Item = (&VoterId, &SocketAddr)> {
        self.voters.iter().chain(&self.learners)
    }

    /// The control address of a member.
    pub fn address(&self, id: &VoterId) -> Option<SocketAddr> {
        self.voters.get(id).or_else(|| self.learners.get(id)).copied()
    }

    /// Returns the membership with `id` added as a learner.
    pub fn with_learner(&self, id: VoterId, address: SocketAddr) -> Self {
        let mut membership = self.clone();
        membership.learners.insert(id, address);
        membership
    }

    /// Returns the membership with the learner `id` promoted to voter.
    pub fn with_voter(&self, id: &VoterId) -> Self {
        let mut membership = self.clone();
        if let Some(address) = membership.learners.remove(id) {
            membership.voters.insert(id.clone(), address);
        }
        membership
    }

    /// Returns the membership without `id`.
    pub fn without_member(&self, id: &VoterId) -> Self {
        let mut membership = self.clone();
        membership.learners.remove(id);
        membership.voters.remove(id);
        membership
    }
}
