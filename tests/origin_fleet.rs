//! Daemons that record and look up where streams began, in virtual time.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tarragonknot::fleet_state::ServiceHash;
use tarragonknot::policy::{Moment, VersionHash};
use tarragonknot::stream_origin::{
    AttemptKey, LookupResult, MAX_ASKED, OWNER_COUNT, OriginFinding, OriginLookup, OriginMessage,
    OriginRecord, OriginTable, PeerContact, ROUND_TIMEOUT, StreamOrigin, VERSION_REPORT_INTERVAL,
    VersionClaim, VersionHistory, VersionWatch, owners,
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
}

/// One daemon.
#[derive(Clone, Debug, Default)]
pub struct OriginDaemon {
    pub table: OriginTable,
    pub history: VersionHistory,
    pub is_dead: bool,
    /// True if no message reaches it or leaves it.
    pub is_cut: bool,
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
        let address = |number: u32| SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + number), 7_600));
        let voter_address =
            |number: u32| SocketAddr::from((Ipv4Addr::from(0x0a80_0000 + number), 7_600));
        let (table, watch) = (OriginTable::default(), VersionWatch::new(true));
        OriginFleet {
            daemons: vec![OriginDaemon::default(); count],
            voters: vec![OriginVoter { table, watch, is_dead: false }; VOTERS],
            voter_addresses: (1..=VOTERS as u32).map(voter_address).collect(),
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

    /// Tells the voters which versions a daemon lists.
    fn report(&mut self, daemon: usize) {
        let sender = &self.daemons[daemon];
        if sender.is_dead || sender.is_cut {
            return;
        }
        let (reports, now) = (sender.history.reports(None), self.now);
        for voter in self.voters.iter_mut().filter(|voter| !voter.is_dead) {
            reports.iter().for_each(|report| voter.watch.apply_report(report, now));
        }
    }

    /// Starts a voter again, which knows nothing.
    pub fn restart_voter(&mut self, voter: usize) {
        let (table, watch) = (OriginTable::default(), VersionWatch::new(false));
        self.voters[voter] = OriginVoter { table, watch, is_dead: false };
    }

    /// Applies a list with these versions at one daemon.
    pub fn list(&mut self, daemon: usize, versions: &[u8]) {
        let now = self.now;
        let versions = versions.iter().map(|number| Some(version(*number)));
        let is_added = self.daemons[daemon].history.apply_list(service(), versions, now);
        self.report(daemon);
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
        let claim = known.history.claim(service(), HORIZON, now);
        let is_evident = claim == VersionClaim::Sole(version(began));
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
        let is_heard = !self.daemons[daemon].is_dead && !self.daemons[daemon].is_cut;
        for record in records {
            for owner in owners(record.key, &self.voter_addresses, None, VOTER_COPIES) {
                let is_lost = self.rng.random::<f64>() < self.loss;
                let position = self.voter_addresses.iter().position(|address| *address == owner);
                let voter = &mut self.voters[position.expect("a voter")];
                if is_heard && !is_lost && !voter.is_dead {
                    voter.table.record_peer(record, now);
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
        let is_reached =
            |number: usize| !self.daemons[number].is_dead && !self.daemons[number].is_cut;
        (!is_lost && is_reached(from) && is_reached(to)).then_some(to)
    }

    /// Looks a stream up at a daemon, and returns what it finds and the time that it takes.
    pub fn resume(&mut self, daemon: usize, key: AttemptKey) -> (LookupResult, Duration) {
        let now = self.now;
        if let Some(known) = self.daemons[daemon].table.get(key, now) {
            return (LookupResult::of_known(known, None), Duration::ZERO);
        }
        let claim = self.daemons[daemon].history.claim(service(), HORIZON, now);
        let asked = owners(key, &self.addresses, Some(self.addresses[daemon]), MAX_ASKED);
        let contact = match self.daemons[daemon].is_cut {
            true => PeerContact::StaleList,
            false => PeerContact::FreshList,
        };
        let mut lookup = OriginLookup::new(service(), claim, contact, asked)
            .with_voters(self.voter_addresses.clone());
        let mut time = Duration::ZERO;
        while let Some(asked) = lookup.next_round() {
            for peer in asked {
                if let Some(result) = self.ask(daemon, peer, key, &mut lookup) {
                    return (result, time);
                }
            }
            if !lookup.may_go_on() {
                time += ROUND_TIMEOUT;
            }
        }
        (lookup.result(), time)
    }

    fn ask(
        &mut self,
        daemon: usize,
        peer: SocketAddr,
        key: AttemptKey,
        lookup: &mut OriginLookup,
    ) -> Option<LookupResult> {
        if let Some(voter) = self.voter_addresses.iter().position(|address| *address == peer) {
            return self.ask_voter(daemon, voter, key, lookup);
        }
        let horizon_ms = HORIZON.as_millis() as u32;
        let ask = OriginMessage::Ask { number: 1, key, service: service(), horizon_ms };
        let receiver = self.deliver(daemon, peer, ask)?;
        let known = &self.daemons[receiver];
        let finding = match known.table.get(key, self.now) {
            Some(known) => OriginFinding::Known(known),
            None => OriginFinding::Unknown(known.history.claim(service(), HORIZON, self.now)),
        };
        let reply = OriginMessage::Reply { number: 1, finding };
        self.deliver(receiver, self.addresses[daemon], reply)?;
        lookup.handle_reply(peer, finding)
    }

    fn ask_voter(
        &mut self,
        daemon: usize,
        voter: usize,
        key: AttemptKey,
        lookup: &mut OriginLookup,
    ) -> Option<LookupResult> {
        let is_lost = self.rng.random::<f64>() < self.loss;
        let known = &self.voters[voter];
        if is_lost || known.is_dead || self.daemons[daemon].is_cut {
            return None;
        }
        let finding = match known.table.get(key, self.now) {
            Some(known) => OriginFinding::Known(known),
            None => OriginFinding::Unknown(known.watch.claim(service(), HORIZON, self.now)),
        };
        lookup.handle_reply(self.voter_addresses[voter], finding)
    }

    /// Ends a daemon, or starts it again knowing nothing.
    pub fn restart(&mut self, daemon: usize) {
        let (bytes, messages) = (self.daemons[daemon].bytes, self.daemons[daemon].messages);
        self.daemons[daemon] = OriginDaemon { bytes, messages, ..OriginDaemon::default() };
    }
}
