//! Who votes.

use crate::table::DaemonName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// A fleet's identity: voters of different fleets never talk.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct FleetId(pub u64);

/// A voter's identity: its daemon's name, and a number drawn when its data folder was made.
///
/// What goes wrong without the number: a voter whose disk was wiped has forgotten its votes and
/// entries; voting under its old identity it can elect a leader that lacks committed entries. One
/// would notice by an accepted edit that is gone. A new folder draws a new number, so the old identity
/// can never vote again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct VoterId {
    /// The daemon.
    pub daemon: DaemonName,
    /// The number of its data folder.
    pub folder: u32,
}

impl fmt::Display for VoterId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}~{:08x}", self.daemon, self.folder)
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
        let id = parts.and_then(|(daemon, folder)| {
            let folder = u32::from_str_radix(folder, 16).ok()?;
            Some(VoterId { daemon: daemon.into(), folder })
        });
        id.ok_or_else(|| format!("{text}: expected NAME~FOLDER"))
    }
}

/// The voters, and the learners that are catching up to become voters, with control addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetMembership {
    /// The fleet.
    pub fleet: FleetId,
    /// Who votes.
    pub voters: BTreeMap<VoterId, SocketAddr>,
    /// Who is sent the log but does not vote.
    pub learners: BTreeMap<VoterId, SocketAddr>,
}

impl FleetMembership {
    /// A fleet of one.
    pub fn founded(fleet: FleetId, founder: VoterId, address: SocketAddr) -> Self {
        FleetMembership {
            fleet,
            voters: BTreeMap::from([(founder, address)]),
            learners: BTreeMap::new(),
        }
    }

    /// Voters needed to decide.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Everyone the leader sends the log to.
    pub fn members(&self) -> impl Iterator<Item = (&VoterId, &SocketAddr)> {
        self.voters.iter().chain(&self.learners)
    }

    /// The address of a member.
    pub fn address(&self, id: &VoterId) -> Option<SocketAddr> {
        self.voters.get(id).or_else(|| self.learners.get(id)).copied()
    }

    /// With `id` as a learner.
    pub fn with_learner(&self, id: VoterId, address: SocketAddr) -> Self {
        let mut membership = self.clone();
        membership.learners.insert(id, address);
        membership
    }

    /// With the learner `id` as a voter.
    pub fn with_voter(&self, id: &VoterId) -> Self {
        let mut membership = self.clone();
        if let Some(address) = membership.learners.remove(id) {
            membership.voters.insert(id.clone(), address);
        }
        membership
    }

    /// Without `id`.
    pub fn without(&self, id: &VoterId) -> Self {
        let mut membership = self.clone();
        membership.learners.remove(id);
        membership.voters.remove(id);
        membership
    }
}
