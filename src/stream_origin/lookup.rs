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

/// Who must confirm that a service has had one version alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionQuorum {
    /// None: the daemon exchanges no messages with others, so no stream began elsewhere.
    Own,
    /// A majority of the voters.
    Voters,
    /// The voters in office are not known, so nothing can be confirmed.
    Unknown,
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
    quorum: VersionQuorum,
    /// The daemons to ask, the first owner first.
    owners: Vec<SocketAddr>,
    /// The voters to ask, which are asked in every round until they reply.
    voters: Vec<SocketAddr>,
    round: usize,
    replied: BTreeSet<SocketAddr>,
    claims: Vec<(SocketAddr, VersionClaim)>,
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
        quorum: VersionQuorum,
        owners: Vec<SocketAddr>,
    ) -> Self {
        OriginLookup {
            service,
            own_claim,
            quorum,
            owners,
            voters: Vec::new(),
            round: 0,
            replied: BTreeSet::new(),
            claims: Vec::new(),
        }
    }

    /// Asks these voters, too.
    pub fn with_voters(self, voters: Vec<SocketAddr>) -> Self {
        OriginLookup { voters, ..self }
    }

    /// The daemons to ask next; `None` once all rounds are over, or the fleet agrees on one version.
    pub fn next_round(&mut self) -> Option<Vec<SocketAddr>> {
        let is_over = self.round > 0 && (self.is_agreed() || self.has_none_to_ask());
        if is_over || self.round >= ROUND_SIZES.len() + REPEATED_ROUNDS {
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
        let claims = |are_voters: bool| {
            let claims = self.claims.iter();
            let chosen = claims.filter(|(from, _)| self.voters.contains(from) == are_voters);
            chosen.map(|(_, claim)| *claim).collect()
        };
        LookupEvidence {
            own: self.own_claim,
            peers: claims(false),
            voters: claims(true),
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
        self.is_round_complete() && (has_more || self.is_agreed() || self.has_none_to_ask())
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
                self.claims.push((from, claim));
                None
            }
        }
    }

    /// True if one version is confirmed. Owners that have not replied by the end of a round are not
    /// waited for.
    fn is_agreed(&self) -> bool {
        self.result() != LookupResult::Unknown
    }

    fn has_none_to_ask(&self) -> bool {
        self.owners.is_empty() && self.voters.is_empty()
    }

    /// True if all that were asked have replied.
    fn is_round_complete(&self) -> bool {
        self.asked().iter().all(|owner| self.replied.contains(owner))
    }

    /// Replaces the claim of this daemon, whose list may have changed since the lookup began.
    pub fn set_own_claim(&mut self, claim: VersionClaim) {
        self.own_claim = claim;
    }

    /// The result once no record was found.
    pub fn result(&self) -> LookupResult {
        let origin = |version| StreamOrigin { service: self.service, version: Some(version) };
        let (version, result) = match self.own_claim {
            VersionClaim::Unversioned => (None, LookupResult::Unversioned),
            VersionClaim::Sole(version) => {
                (Some(version), LookupResult::SoleVersion(origin(version)))
            }
            VersionClaim::Recent(version) if self.is_remembered() => {
                (Some(version), LookupResult::SoleVersion(origin(version)))
            }
            _ => return LookupResult::Unknown,
        };
        match self.is_confirmed(version) {
            true => result,
            false => LookupResult::Unknown,
        }
    }

    /// True if a majority of the voters knows `version` alone, and none that has replied knows another.
    /// A stream begins at a version only once a majority of the voters has heard of it, so one of those
    /// that reply knows any version that could have begun the stream, however old the lists of this
    /// daemon and of its peers are. Voters that have just started may have forgotten a version: if they
    /// are needed for the majority, most of the peers that were asked must agree, too.
    fn is_confirmed(&self, version: Option<VersionHash>) -> bool {
        let names = |claim| Self::names_alone(claim, version);
        let has_watched = |claim| names(claim) && !matches!(claim, VersionClaim::Recent(_));
        let is_contradicted =
            self.claims.iter().any(|(_, claim)| *claim != VersionClaim::None && !names(*claim));
        let has_quorum = match self.quorum {
            VersionQuorum::Own => true,
            VersionQuorum::Unknown => false,
            VersionQuorum::Voters => {
                let peers_agree = || self.owners.is_empty() || self.most_claim(self.asked(), names);
                self.most_claim(&self.voters, has_watched)
                    || (self.most_claim(&self.voters, names) && peers_agree())
            }
        };
        has_quorum && !is_contradicted
    }

    /// True if more than half of these daemons have replied with such a claim.
    fn most_claim(&self, daemons: &[SocketAddr], agrees: impl Fn(VersionClaim) -> bool) -> bool {
        let has_claimed = |daemon: &&SocketAddr| {
            self.claims.iter().any(|(from, claim)| from == *daemon && agrees(*claim))
        };
        daemons.iter().filter(has_claimed).count() > daemons.len() / 2
    }

    /// True if a peer or a voter has watched the service's versions for long enough. Daemons that have
    /// just started only know what they see: the version before may have left while all were down.
    fn is_remembered(&self) -> bool {
        self.claims.iter().any(|(_, claim)| matches!(claim, VersionClaim::Sole(_)))
    }

    fn names_alone(claim: VersionClaim, version: Option<VersionHash>) -> bool {
        match claim {
            VersionClaim::Sole(known) | VersionClaim::Recent(known) => Some(known) == version,
            VersionClaim::Unversioned => version.is_none(),
            VersionClaim::None | VersionClaim::Several => false,
        }
    }
}
