//! Daemons that record and look up where streams began, in virtual time.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tarragonknot::fleet_state::ServiceHash;
use tarragonknot::policy::{Moment, VersionHash};
use tarragonknot::stream_origin::{
    AnnouncedVersions, AttemptKey, LookupResult, MAX_ASKED, OWNER_COUNT, OriginFinding,
    OriginLookup, OriginMessage, OriginRecord, OriginTable, ROUND_TIMEOUT, StreamOrigin,
    VERSION_REPORT_INTERVAL, VersionHistory, VersionQuorum, VersionWatch, owners,
};
use tarragonknot::traffic::{DaemonMessage, encode_message};

/// Time within which a stream may be resumed.
pub const HORIZON: Duration = Duration::from_secs(24);
/// Bytes of the headers of IP and UDP.
const DATAGRAM_HEADER_LEN: usize = 28;

pub fn version(number: u8) -> VersionHash {
    VersionHash::of(&format!("v{number}").as_str().into())
}

pub fn service() -> ServiceHash {
    ServiceHash::of(&"pool".into())
}

pub fn key(number: usize) -> AttemptKey {
    AttemptKey::of("agents", &format!("r{number}"))
}

/// Number of voters, and of those that keep each record.
const VOTERS: usize = 3;
const VOTER_COPIES: usize = 2;
/// Daemons whose reports the voters hear; all list the same.
const REPORTERS: usize = 5;

/// A voter, which keeps records and versions for the daemons that serve callers.
#[derive(Clone, Debug)]
pub struct OriginVoter {
    pub table: OriginTable,
    pub watch: VersionWatch,
    pub is_dead: bool,
    /// Machines exchange messages with those of the same side.
    pub side: usize,
}

/// One daemon.
#[derive(Clone, Debug, Default)]
pub struct OriginDaemon {
    pub table: OriginTable,
    pub history: VersionHistory,
    pub announced: AnnouncedVersions,
    pub is_dead: bool,
    /// True if no message reaches it or leaves it.
    pub is_cut: bool,
    /// Machines exchange messages with those of the same side.
    pub side: usize,
    /// Bytes that it sent and received, with the headers of datagrams.
    pub bytes: usize,
    pub messages: usize,
}

/// A fleet of daemons.
pub struct OriginFleet {
    pub daemons: Vec<OriginDaemon>,
    pub voters: Vec<OriginVoter>,
    voter_addresses: Vec<SocketAddr>,
    pub addresses: Vec<SocketAddr>,
    pub now: Moment,
    pub rng: ChaCha8Rng,
    /// Share of the datagrams that are lost.
    pub loss: f64,
}

impl OriginFleet {
    pub fn new(count: usize) -> Self {
        Self::with_voters(count, VOTERS)
    }

    pub fn with_voters(count: usize, voters: usize) -> Self {
        let address = |number: u32| SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number), 7_600));
        let voter_address =
            |number: u32| SocketAddr::from((Ipv4Addr::from(0x0a80_0000 + number), 7_600));
        let voter_addresses: Vec<SocketAddr> = (1..=voters as u32).map(voter_address).collect();
        let mut daemon = OriginDaemon::default();
        daemon.announced.set_voters(&voter_addresses);
        let (table, watch) = (OriginTable::default(), VersionWatch::new(true));
        OriginFleet {
            daemons: vec![daemon; count],
            voters: vec![OriginVoter { table, watch, is_dead: false, side: 0 }; voters],
            voter_addresses,
            addresses: (1..=count as u32).map(address).collect(),
            now: Moment::from_millis(0),
            rng: ChaCha8Rng::seed_from_u64(3),
            loss: 0.0,
        }
    }

    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while end.since(self.now) >= VERSION_REPORT_INTERVAL {
            self.now = self.now + VERSION_REPORT_INTERVAL;
            let count = self.daemons.len().min(REPORTERS);
            (0..count).for_each(|daemon| self.report(daemon));
        }
        self.now = end;
    }

    /// True if messages pass between a daemon and a voter.
    pub fn reaches_voter(&self, daemon: usize, voter: usize) -> bool {
        let (daemon, voter) = (&self.daemons[daemon], &self.voters[voter]);
        !daemon.is_dead && !daemon.is_cut && !voter.is_dead && daemon.side == voter.side
    }

    /// True if messages pass between a daemon and a majority of the voters.
    pub fn reaches_majority(&self, daemon: usize) -> bool {
        let voters = 0..self.voters.len();
        voters.filter(|voter| self.reaches_voter(daemon, *voter)).count() > self.voters.len() / 2
    }

    /// True if a message between a daemon and a voter arrives.
    fn passes(&mut self, daemon: usize, voter: usize) -> bool {
        self.rng.random::<f64>() >= self.loss && self.reaches_voter(daemon, voter)
    }

    /// Tells the voters which versions a daemon lists.
    pub fn report(&mut self, daemon: usize) {
        let (reports, now) = (self.daemons[daemon].history.reports(None), self.now);
        for voter in 0..self.voters.len() {
            if self.passes(daemon, voter) {
                let watch = &mut self.voters[voter].watch;
                reports.iter().for_each(|report| watch.apply_report(report, now));
            }
        }
    }

    /// Announces the new versions of a daemon to the voters.
    pub fn announce(&mut self, daemon: usize) {
        let (pending, now) = (self.daemons[daemon].announced.pending(), self.now);
        for voter in 0..self.voters.len() {
            if !pending.is_empty() && self.passes(daemon, voter) {
                let watch = &mut self.voters[voter].watch;
                pending.iter().for_each(|report| watch.apply_report(report, now));
                if self.passes(daemon, voter) {
                    let address = self.voter_addresses[voter];
                    self.daemons[daemon].announced.apply_reply(address, &pending);
                }
            }
        }
        self.daemons[daemon].announced.update(now);
    }

    /// True if streams may begin at a version through a daemon that lists it.
    pub fn may_begin(&mut self, daemon: usize, number: u8) -> bool {
        let (announced, now) = (&mut self.daemons[daemon].announced, self.now);
        announced.update(now);
        !announced.held_back(service()).contains(&version(number))
    }

    /// Starts a voter again, which knows nothing.
    pub fn restart_voter(&mut self, voter: usize) {
        let (table, watch) = (OriginTable::default(), VersionWatch::new(false));
        let side = self.voters[voter].side;
        self.voters[voter] = OriginVoter { table, watch, is_dead: false, side };
    }

    /// Applies a list with these versions at one daemon.
    pub fn list(&mut self, daemon: usize, versions: &[u8]) {
        let now = self.now;
        let listed: BTreeSet<VersionHash> = versions.iter().copied().map(version).collect();
        let known = &mut self.daemons[daemon];
        let rows = listed.iter().copied().map(Some);
        let is_added = known.history.apply_list(service(), rows, now);
        known.announced.apply_list(service(), &listed, now);
        self.report(daemon);
        self.announce(daemon);
        if is_added {
            let records = self.daemons[daemon].table.take_unsent(Some(service()), now);
            self.send_to_owners(daemon, &records);
        }
    }

    pub fn list_everywhere(&mut self, versions: &[u8]) {
        (0..self.daemons.len()).for_each(|daemon| self.list(daemon, versions));
    }

    /// Begins a stream through a daemon.
    pub fn begin(&mut self, daemon: usize, key: AttemptKey, began: u8) {
        let origin = StreamOrigin { service: service(), version: Some(version(began)) };
        let now = self.now;
        let known = &mut self.daemons[daemon];
        let is_evident = known.history.is_evident(service(), version(began), HORIZON, now);
        known.table.record(key, origin, HORIZON, is_evident, now);
        if !is_evident {
            let ttl_ms = HORIZON.as_millis() as u32;
            self.send_to_owners(daemon, &[OriginRecord { key, origin, age_ms: 0, ttl_ms }]);
        }
    }

    fn send_to_owners(&mut self, daemon: usize, records: &[OriginRecord]) {
        let mut by_owner: BTreeMap<SocketAddr, Vec<OriginRecord>> = BTreeMap::new();
        for record in records {
            let own = Some(self.addresses[daemon]);
            for owner in owners(record.key, &self.addresses, own, OWNER_COUNT) {
                by_owner.entry(owner).or_default().push(*record);
            }
        }
        self.send_to_voters(daemon, records);
        for (owner, records) in by_owner {
            let message = OriginMessage::Store(records.clone());
            if let Some(owner) = self.deliver(daemon, owner, message) {
                let now = self.now;
                let table = &mut self.daemons[owner].table;
                records.iter().for_each(|record| table.record_peer(record, now));
            }
        }
    }

    fn send_to_voters(&mut self, daemon: usize, records: &[OriginRecord]) {
        let now = self.now;
        for record in records {
            for owner in owners(record.key, &self.voter_addresses, None, VOTER_COPIES) {
                let position = self.voter_addresses.iter().position(|address| *address == owner);
                let voter = position.expect("a voter");
                if self.passes(daemon, voter) {
                    self.voters[voter].table.record_peer(record, now);
                }
            }
        }
    }

    /// Counts a datagram; returns its receiver unless it is lost.
    fn deliver(&mut self, from: usize, to: SocketAddr, message: OriginMessage) -> Option<usize> {
        let len = encode_message(&DaemonMessage::Origin(message), "a key").len();
        let to = self.addresses.iter().position(|address| *address == to)?;
        let is_lost = self.rng.random::<f64>() < self.loss;
        for daemon in [from, to] {
            self.daemons[daemon].bytes += len + DATAGRAM_HEADER_LEN;
            self.daemons[daemon].messages += 1;
        }
        (!is_lost && self.reaches(from, to)).then_some(to)
    }

    /// True if messages pass between two daemons.
    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_reached =
            |number: usize| !self.daemons[number].is_dead && !self.daemons[number].is_cut;
        let is_same_side = self.daemons[from].side == self.daemons[to].side;
        is_reached(from) && is_reached(to) && is_same_side
    }

    /// Begins a lookup at a daemon, unless it has the record itself.
    pub fn lookup(&self, daemon: usize, key: AttemptKey) -> Result<OriginLookup, LookupResult> {
        if let Some(known) = self.daemons[daemon].table.get(key, self.now) {
            return Err(LookupResult::of_known(known, None));
        }
        let claim = self.daemons[daemon].history.claim(service(), HORIZON, self.now);
        let asked = owners(key, &self.addresses, Some(self.addresses[daemon]), MAX_ASKED);
        let lookup = OriginLookup::new(service(), claim, VersionQuorum::Voters, asked);
        Ok(lookup.with_voters(self.voter_addresses.clone()))
    }

    /// Ends a lookup that found no record among its replies.
    pub fn conclude(
        &self,
        daemon: usize,
        key: AttemptKey,
        lookup: &mut OriginLookup,
    ) -> LookupResult {
        if let Some(known) = self.daemons[daemon].table.get(key, self.now) {
            return LookupResult::of_known(known, None);
        }
        lookup.set_own_claim(self.daemons[daemon].history.claim(service(), HORIZON, self.now));
        lookup.result()
    }

    /// The reply of a daemon or a voter to a question that reaches it now; `None` if it does not, or
    /// if the reply is lost.
    pub fn reply(
        &mut self,
        daemon: usize,
        asked: SocketAddr,
        key: AttemptKey,
    ) -> Option<OriginFinding> {
        if let Some(voter) = self.voter_addresses.iter().position(|address| *address == asked) {
            let is_reached = self.passes(daemon, voter);
            let known = &self.voters[voter];
            return is_reached.then(|| match known.table.get(key, self.now) {
                Some(known) => OriginFinding::Known(known),
                None => OriginFinding::Unknown(known.watch.claim(service(), HORIZON, self.now)),
            });
        }
        let horizon_ms = HORIZON.as_millis() as u32;
        let ask = OriginMessage::Ask { number: 1, key, service: service(), horizon_ms };
        let receiver = self.deliver(daemon, asked, ask)?;
        let known = &self.daemons[receiver];
        let finding = match known.table.get(key, self.now) {
            Some(known) => OriginFinding::Known(known),
            None => OriginFinding::Unknown(known.history.claim(service(), HORIZON, self.now)),
        };
        let reply = OriginMessage::Reply { number: 1, finding };
        self.deliver(receiver, self.addresses[daemon], reply)?;
        Some(finding)
    }

    /// Looks a stream up at a daemon, and returns what it finds and the time that it takes.
    pub fn resume(&mut self, daemon: usize, key: AttemptKey) -> (LookupResult, Duration) {
        let mut lookup = match self.lookup(daemon, key) {
            Ok(lookup) => lookup,
            Err(found) => return (found, Duration::ZERO),
        };
        let mut time = Duration::ZERO;
        while let Some(asked) = lookup.next_round() {
            for peer in asked {
                let finding = self.reply(daemon, peer, key);
                let found = finding.and_then(|finding| lookup.handle_reply(peer, finding));
                if let Some(found) = found {
                    return (found, time);
                }
            }
            if !lookup.may_go_on() {
                time += ROUND_TIMEOUT;
            }
        }
        (self.conclude(daemon, key, &mut lookup), time)
    }

    /// Ends a daemon, or starts it again knowing nothing.
    pub fn restart(&mut self, daemon: usize) {
        let OriginDaemon { bytes, messages, side, .. } = self.daemons[daemon];
        self.daemons[daemon] = OriginDaemon { bytes, messages, side, ..OriginDaemon::default() };
        self.daemons[daemon].announced.set_voters(&self.voter_addresses);
    }
}
