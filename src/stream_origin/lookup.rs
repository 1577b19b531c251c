//! Finds out which version began a stream that a caller resumes: from the daemons that keep its
//! record, or else from what the fleet knows of the service's versions.

use super::{KnownOrigin, OriginFinding, StreamOrigin, VersionClaim};
use crate::fleet_state::ServiceHash;
use crate::policy::VersionHash;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of owners that have been asked after each round. The first covers an owner that has changed;
/// the others find records whose owners this daemon does not know, as the fleet has changed.
const ROUND_SIZES: [usize; 3] = [4, 8, 16];
/// Maximum number of daemons that are asked.
pub const MAX_ASKED: usize = ROUND_SIZES[ROUND_SIZES.len() - 1];
/// Time that replies may take before the next round; daemons in other regions reply within 50 ms.
pub const ROUND_TIMEOUT: Duration = Duration::from_millis(60);
/// Rounds in which all are asked again, for lost datagrams and for records that are on their way.
const REPEATED_ROUNDS: usize = 2;

/// What began a stream, and who knew it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupResult {
    /// A record names it.
    Known { origin: StreamOrigin, age_ms: u32, by: Option<SocketAddr> },
    /// The service has had this version alone.
    SoleVersion(StreamOrigin),
    /// The upstreams of the service state no version.
    Unversioned,
    /// Two streams of this id began at different versions.
    Ambiguous,
    /// No daemon has a record of it, and several versions may have begun it.
    Unknown,
}

/// What a daemon knows of its peers when it looks a stream up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerContact {
    /// It is the only daemon that serves callers.
    Alone,
    /// It has peers, and its list of upstreams was read a moment ago, whether by them or by itself.
    FreshList,
    /// It has peers, and its list of upstreams may be out of date.
    StaleList,
}

/// The claims that a result without a record rests on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupEvidence {
    pub own: VersionClaim,
    pub peers: Vec<VersionClaim>,
    pub voters: Vec<VersionClaim>,
    /// Number of voters that were asked.
    pub voters_asked: usize,
}

/// A question to the owners of a record, and their replies so far.
#[derive(Clone, Debug)]
pub struct OriginLookup {
    service: ServiceHash,
    own_claim: VersionClaim,
    peers: PeerContact,
    /// The daemons to ask, the first owner first.
    owners: Vec<SocketAddr>,
    /// The voters to ask, which are asked in every round until they reply.
    voters: Vec<SocketAddr>,
    round: usize,
    replied: BTreeSet<SocketAddr>,
    claims: Vec<VersionClaim>,
    voter_claims: Vec<VersionClaim>,
}

impl LookupResult {
    /// The result of a record; `by` is the peer that has it, or `None` for this daemon.
    pub fn of_known(known: KnownOrigin, by: Option<SocketAddr>) -> Self {
        match known {
            KnownOrigin::One { origin, age_ms } => LookupResult::Known { origin, age_ms, by },
            KnownOrigin::Several => LookupResult::Ambiguous,
        }
    }

    /// Name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            LookupResult::Known { .. } => "known",
            LookupResult::SoleVersion(_) => "sole-version",
            LookupResult::Unversioned => "unversioned",
            LookupResult::Ambiguous => "ambiguous",
            LookupResult::Unknown => "unknown",
        }
    }
}

impl OriginLookup {
    /// Creates the question of a daemon that itself claims `own_claim`, to `owners`, the first owner
    /// first.
    pub fn new(
        service: ServiceHash,
        own_claim: VersionClaim,
        peers: PeerContact,
        owners: Vec<SocketAddr>,
    ) -> Self {
        OriginLookup {
            service,
            own_claim,
            peers,
            owners,
            voters: Vec::new(),
            round: 0,
            replied: BTreeSet::new(),
            claims: Vec::new(),
            voter_claims: Vec::new(),
        }
    }

    /// Asks these voters, too.
    pub fn with_voters(self, voters: Vec<SocketAddr>) -> Self {
        OriginLookup { voters, ..self }
    }

    /// The daemons to ask next; `None` once all rounds are over, or the fleet agrees on one version.
    pub fn next_round(&mut self) -> Option<Vec<SocketAddr>> {
        if self.is_agreed(true) || self.round >= ROUND_SIZES.len() + REPEATED_ROUNDS {
            return None;
        }
        if self.round > 0 && self.asked().len() == self.owners.len() {
            self.round = self.round.max(ROUND_SIZES.len());
            self.replied.clear();
        }
        self.round += 1;
        let asked = self.asked().iter().chain(&self.voters);
        Some(asked.filter(|daemon| !self.replied.contains(daemon)).copied().collect())
    }

    /// The claims of those that have replied.
    pub fn evidence(&self) -> LookupEvidence {
        LookupEvidence {
            own: self.own_claim,
            peers: self.claims.clone(),
            voters: self.voter_claims.clone(),
            voters_asked: self.voters.len(),
        }
    }

    /// The service that the stream probably began at.
    pub fn service(&self) -> ServiceHash {
        self.service
    }

    /// The daemons that have been asked.
    fn asked(&self) -> &[SocketAddr] {
        let size = match self.round {
            0 => 0,
            round => ROUND_SIZES.get(round - 1).copied().unwrap_or(MAX_ASKED),
        };
        &self.owners[..size.min(self.owners.len())]
    }

    /// True if the next round need not wait for its time: all have replied, and there are more to ask
    /// or one version is agreed on.
    pub fn may_go_on(&self) -> bool {
        let has_more = self.asked().len() < self.owners.len();
        self.is_round_complete() && (has_more || self.is_agreed(false))
    }

    /// Takes a reply into account; returns a result if it is decisive.
    pub fn handle_reply(
        &mut self,
        from: SocketAddr,
        finding: OriginFinding,
    ) -> Option<LookupResult> {
        self.replied.insert(from);
        match finding {
            OriginFinding::Known(known) => Some(LookupResult::of_known(known, Some(from))),
            OriginFinding::Unknown(claim) => {
                match self.voters.contains(&from) {
                    true => self.voter_claims.push(claim),
                    false => self.claims.push(claim),
                }
                None
            }
        }
    }

    /// True if those that have replied agree on one version that one of them remembers, or there is none
    /// to agree on. They suffice once the round is over.
    fn is_agreed(&self, is_round_over: bool) -> bool {
        if self.own_claim == VersionClaim::Unversioned {
            return true;
        }
        if self.round == 0 || !matches!(self.result(), LookupResult::SoleVersion(_)) {
            return false;
        }
        self.is_round_complete() || (is_round_over && !self.claims.is_empty())
    }

    /// True if all that were asked have replied.
    fn is_round_complete(&self) -> bool {
        self.asked().iter().all(|owner| self.replied.contains(owner))
    }

    /// The result once no record was found.
    pub fn result(&self) -> LookupResult {
        let version = match self.own_claim {
            VersionClaim::Unversioned => return LookupResult::Unversioned,
            VersionClaim::Sole(version) if self.may_rely_on_itself() => version,
            VersionClaim::Recent(version) if self.is_remembered(version) => version,
            _ => return LookupResult::Unknown,
        };
        match self.claims.iter().all(|claim| Self::agrees(*claim, version)) {
            true => {
                let origin = StreamOrigin { service: self.service, version: Some(version) };
                LookupResult::SoleVersion(origin)
            }
            false => LookupResult::Unknown,
        }
    }

    /// True if a peer has watched the service's versions for long enough, or else voters have and agree
    /// on `version`. Daemons that have just started only know what they see: the version before may
    /// have left while all were down.
    fn is_remembered(&self, version: VersionHash) -> bool {
        let has_sole = |claims: &[VersionClaim]| {
            claims.iter().any(|claim| matches!(claim, VersionClaim::Sole(_)))
        };
        let voters_agree = || self.voter_claims.iter().all(|claim| Self::agrees(*claim, version));
        has_sole(&self.claims) || (has_sole(&self.voter_claims) && voters_agree())
    }

    /// True if a peer has replied, or there is none.
    fn has_heard(&self) -> bool {
        !self.claims.is_empty() || self.peers == PeerContact::Alone
    }

    /// A daemon that hears from no peer may have missed versions, unless its list is fresh.
    fn may_rely_on_itself(&self) -> bool {
        self.has_heard() || self.peers == PeerContact::FreshList
    }

    fn agrees(claim: VersionClaim, version: VersionHash) -> bool {
        match claim {
            VersionClaim::Sole(known) | VersionClaim::Recent(known) => known == version,
            VersionClaim::None => true,
            VersionClaim::Several | VersionClaim::Unversioned => false,
        }
    }
}
