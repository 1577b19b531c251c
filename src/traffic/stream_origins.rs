//! A daemon's part in knowing where streams began: it keeps records, sends them to their owners, and
//! asks for those of streams that callers resume.

use super::fleet_exchange::{DaemonMessage, PeerAddresses};
use super::state::TrafficState;
use crate::fleet_state::ServiceHash;
use crate::policy::{Moment, UpstreamSource, VersionHash};
use crate::report::record_unannounced;
use crate::stream_origin::{
    AnnouncedVersions, AttemptKey, LookupEvidence, LookupResult, MAX_ASKED, OWNER_COUNT,
    OriginFinding, OriginLookup, OriginMessage, OriginRecord, OriginTable, ROUND_TIMEOUT,
    StreamOrigin, VERSION_REPORT_INTERVAL, VersionClaim, VersionHistory, VersionQuorum,
    VersionWatch, owners,
};
use crate::table::ServiceName;
use slog::info;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;

/// How long a daemon that has just started waits for the names of its peers, and between two looks.
const PEERS_TIMEOUT: Duration = Duration::from_millis(300);
const PEERS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of records in a datagram, some 12 KB.
const MAX_BATCH: usize = 500;
/// Datagrams sent at a time when many records are due, and the pause after them.
const BATCHES_AT_ONCE: usize = 64;
const BATCH_PAUSE: Duration = Duration::from_millis(10);
/// Number of voters that keep each record.
const VOTER_COPIES: usize = 2;
/// Delay within which the records of streams that begin are sent to voters. Voters are few and small,
/// so one datagram carries many.
const VOTER_BATCH_DELAY: Duration = Duration::from_millis(100);

type FindingSender = mpsc::UnboundedSender<(SocketAddr, OriginFinding)>;

/// Records of streams, the versions that were listed, and questions that wait for replies.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    table: Mutex<OriginTable>,
    history: Mutex<VersionHistory>,
    voters: Mutex<VoterAddresses>,
    /// The listed versions that voters have heard of.
    announced: Mutex<AnnouncedVersions>,
    /// Records that are still to be sent to voters.
    unsent_to_voters: Mutex<Vec<OriginRecord>>,
    /// The versions that were reported to this daemon, if it is a voter.
    watch: Mutex<Option<VersionWatch>>,
    questions: Mutex<HashMap<u64, FindingSender>>,
    next_question: AtomicU64,
}

/// The voters' control addresses, as far as they are known.
#[derive(Clone, Debug, Default)]
struct VoterAddresses {
    addresses: Vec<SocketAddr>,
    /// True if they are those in office, as the leader named them.
    are_named: bool,
}

/// The stream of a route's request.
#[derive(Clone, Copy, Debug)]
pub struct ResumableStream<'a> {
    /// The attempt that brought its first event; of a caller that does not name it, the attempt itself,
    /// which no record names.
    pub key: AttemptKey,
    /// The services that the route sends requests to.
    pub services: &'a [ServiceName],
    /// Time within which a stream of the route may be resumed after it began.
    pub horizon: Duration,
}

/// The result of a lookup.
#[derive(Clone, Debug)]
pub struct FoundOrigin {
    pub result: LookupResult,
    /// The claims of those that replied; `None` if this daemon has a record.
    pub evidence: Option<LookupEvidence>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StreamOrigins {
    /// Applies the listed upstreams of a service. With a new version beside the known one, records
    /// that needed no owner get theirs.
    pub fn apply_sources(
        &self,
        state: &TrafficState,
        service: &ServiceName,
        sources: &[UpstreamSource],
    ) {
        let (service, now) = (ServiceHash::of(service), state.clock.now());
        let version = |source: &UpstreamSource| source.version.as_ref().map(VersionHash::of);
        let is_added = lock(&self.history).apply_list(service, sources.iter().map(version), now);
        let listed = sources.iter().filter_map(version).collect();
        lock(&self.announced).apply_list(service, &listed, now);
        self.report_versions(state, Some(service));
        if is_added {
            self.send_unsent(state, Some(service));
        }
    }

    /// Sets the voters in office, which keep records and versions.
    pub fn set_voters(&self, voters: Vec<SocketAddr>) {
        if !voters.is_empty() {
            lock(&self.announced).set_voters(&voters);
            *lock(&self.voters) = VoterAddresses { addresses: voters, are_named: true };
        }
    }

    /// Sets the voters that the settings name, which may have been replaced.
    pub fn set_seed_voters(&self, voters: Vec<SocketAddr>) {
        *lock(&self.voters) = VoterAddresses { addresses: voters, are_named: false };
    }

    fn voters(&self) -> Vec<SocketAddr> {
        lock(&self.voters).addresses.clone()
    }

    /// The listed versions of a service at which no stream that may be resumed begins yet.
    pub fn held_back(&self, state: &TrafficState, service: &ServiceName) -> BTreeSet<VersionHash> {
        match state.fleet.is_exchanging() && lock(&self.voters).are_named {
            true => lock(&self.announced).held_back(ServiceHash::of(service)),
            false => BTreeSet::new(),
        }
    }

    /// Announces versions to the voters that no majority of them has heard of.
    pub fn announce_versions(&self, state: &TrafficState) {
        let pending = lock(&self.announced).pending();
        let voters = self.voters();
        if !pending.is_empty() && !voters.is_empty() {
            state.fleet.send(&DaemonMessage::Origin(OriginMessage::Announce(pending)), &voters);
        }
    }

    /// Lets streams begin at the versions that may be used now.
    pub fn use_announced(&self, state: &TrafficState) {
        let usable = lock(&self.announced).update(state.clock.now());
        for version in &usable {
            let name = state.version_name(version.origin);
            info!(state.log, "version may be used"; "origin" => version.origin.to_string(), "version" => name,
                "voters_heard" => version.heard, "waited_ms" => version.waited.as_millis() as u64);
        }
        if !usable.is_empty() {
            state.refresh_sources();
        }
    }

    /// Number of listed versions of which no majority of the voters has heard.
    pub fn unannounced_count(&self) -> usize {
        lock(&self.announced).pending().iter().map(|report| report.versions.len()).sum()
    }

    /// Makes this daemon keep the versions that are reported to it.
    pub fn watch_versions(&self, is_from_founding: bool) {
        *lock(&self.watch) = Some(VersionWatch::new(is_from_founding));
    }

    /// Tells the voters which versions are listed, of all services or of one.
    fn report_versions(&self, state: &TrafficState, service: Option<ServiceHash>) {
        let reports = lock(&self.history).reports(service);
        let voters = self.voters();
        if !reports.is_empty() && !voters.is_empty() {
            state.fleet.send(&DaemonMessage::Origin(OriginMessage::Versions(reports)), &voters);
        }
    }

    /// Sends the voters what they keep, for as long as the daemon runs.
    pub async fn send_to_voters(&self, state: &TrafficState) {
        let mut reported_at = state.clock.now();
        loop {
            tokio::time::sleep(VOTER_BATCH_DELAY).await;
            let now = state.clock.now();
            if now.since(reported_at) >= VERSION_REPORT_INTERVAL {
                reported_at = now;
                self.report_versions(state, None);
            }
            self.use_announced(state);
            self.announce_versions(state);
            record_unannounced(self.unannounced_count());
            let records = std::mem::take(&mut *lock(&self.unsent_to_voters));
            let voters = self.voters();
            send_records(state, &records, |key| owners(key, &voters, None, VOTER_COPIES));
        }
    }

    /// Records that a route has changed its services.
    pub fn record_route_change(&self, state: &TrafficState) {
        lock(&self.history).record_route_change(state.clock.now());
        self.send_unsent(state, None);
    }

    /// Number of records kept here.
    pub fn record_count(&self) -> usize {
        lock(&self.table).len()
    }

    /// Records where a stream began, or went on, and sends the record to its owners unless any daemon
    /// can tell.
    pub fn record(&self, state: &TrafficState, stream: ResumableStream<'_>, origin: StreamOrigin) {
        let Some(version) = origin.version else { return };
        let (now, horizon, key) = (state.clock.now(), stream.horizon, stream.key);
        let is_evident = stream.services.len() == 1
            && lock(&self.history).is_evident(origin.service, version, horizon, now);
        lock(&self.table).record(key, origin, horizon, is_evident, now);
        if !is_evident {
            let ttl_ms = horizon.as_millis() as u32;
            self.send_to_owners(state, &[OriginRecord { key, origin, age_ms: 0, ttl_ms }]);
        }
    }

    /// Sends records to their owners, at once if there are few, and soon to voters.
    fn send_to_owners(&self, state: &TrafficState, records: &[OriginRecord]) {
        let peers = state.fleet.peer_addresses();
        send_records(state, records, |key| owners(key, &peers.addresses, peers.own, OWNER_COUNT));
        if !self.voters().is_empty() {
            lock(&self.unsent_to_voters).extend_from_slice(records);
        }
    }

    fn send_unsent(&self, state: &TrafficState, service: Option<ServiceHash>) {
        let records = lock(&self.table).take_unsent(service, state.clock.now());
        if !records.is_empty() {
            info!(state.log, "sending records of streams"; "records" => records.len());
            self.send_to_owners(state, &records);
        }
    }

    /// Finds out what began a stream.
    pub async fn find(&self, state: &TrafficState, stream: ResumableStream<'_>) -> FoundOrigin {
        let now = state.clock.now();
        if let Some(known) = lock(&self.table).get(stream.key, now) {
            return FoundOrigin { result: LookupResult::of_known(known, None), evidence: None };
        }
        let Some(service) = stream.services.first() else {
            return FoundOrigin { result: LookupResult::Unknown, evidence: None };
        };
        let claim = self.own_claim(stream, now);
        let asking =
            OriginLookup::new(ServiceHash::of(service), claim, VersionQuorum::Unknown, Vec::new());
        let peers = tokio::select! {
            biased;
            peers = known_peers(state) => peers,
            found = self.ask_voters(state, stream, asking.with_voters(self.voters())) => return found,
        };
        let owners = owners(stream.key, &peers.addresses, peers.own, MAX_ASKED);
        let VoterAddresses { addresses: voters, are_named } = lock(&self.voters).clone();
        let quorum = match are_named {
            _ if !state.fleet.is_exchanging() => VersionQuorum::Own,
            true => VersionQuorum::Voters,
            false => VersionQuorum::Unknown,
        };
        let lookup = OriginLookup::new(ServiceHash::of(service), claim, quorum, owners);
        self.ask(state, stream, lookup.with_voters(voters)).await
    }

    /// What this daemon's lists say of the version that began a stream.
    fn own_claim(&self, stream: ResumableStream<'_>, now: Moment) -> VersionClaim {
        let claim = |service: &ServiceName| {
            lock(&self.history).claim(ServiceHash::of(service), stream.horizon, now)
        };
        match stream.services.iter().map(claim).collect::<Vec<_>>()[..] {
            [claim] => claim,
            // Any of the services may have begun it.
            ref claims if claims.iter().all(|it| *it == VersionClaim::Unversioned) => {
                VersionClaim::Unversioned
            }
            _ => VersionClaim::Several,
        }
    }

    /// Asks the voters alone; completes only if one has a record.
    async fn ask_voters(
        &self,
        state: &TrafficState,
        stream: ResumableStream<'_>,
        lookup: OriginLookup,
    ) -> FoundOrigin {
        let found = self.ask(state, stream, lookup).await;
        match found.result {
            LookupResult::Known { .. } | LookupResult::Ambiguous => found,
            _ => std::future::pending().await,
        }
    }

    async fn ask(
        &self,
        state: &TrafficState,
        stream: ResumableStream<'_>,
        mut lookup: OriginLookup,
    ) -> FoundOrigin {
        let key = stream.key;
        // Replies to questions of an earlier process at this address must not match.
        let number = state.boot().wrapping_add(self.next_question.fetch_add(1, Ordering::Relaxed));
        let (sender, mut replies) = mpsc::unbounded_channel();
        lock(&self.questions).insert(number, sender);
        let _question = QuestionGuard { origins: self, number };
        while let Some(asked) = lookup.next_round() {
            let horizon_ms = stream.horizon.as_millis() as u32;
            let message = OriginMessage::Ask { number, key, service: lookup.service(), horizon_ms };
            state.fleet.send(&DaemonMessage::Origin(message), &asked);
            let round = tokio::time::sleep(ROUND_TIMEOUT);
            tokio::pin!(round);
            while !lookup.may_go_on() {
                tokio::select! {
                    () = &mut round => break,
                    Some((from, finding)) = replies.recv() => {
                        if let Some(result) = lookup.handle_reply(from, finding) {
                            return FoundOrigin { result, evidence: Some(lookup.evidence()) };
                        }
                    }
                }
            }
        }
        // A record or a list may have come while replies were awaited.
        let now = state.clock.now();
        lookup.set_own_claim(self.own_claim(stream, now));
        let known =
            lock(&self.table).get(key, now).map(|known| LookupResult::of_known(known, None));
        let result = known.unwrap_or_else(|| lookup.result());
        FoundOrigin { result, evidence: Some(lookup.evidence()) }
    }

    /// What this daemon can say of the streams of a service: as a voter by the reports of others, else
    /// by the lists that it has seen.
    fn claim(&self, service: ServiceHash, horizon: Duration, now: Moment) -> VersionClaim {
        let history = lock(&self.history);
        match lock(&self.watch).as_ref() {
            Some(_) if history.has_moved_route(horizon, now) => VersionClaim::Several,
            Some(watch) => watch.claim(service, horizon, now),
            None => history.claim(service, horizon, now),
        }
    }

    /// Handles a message of a peer, and returns the reply to it.
    pub fn handle_message(
        &self,
        message: OriginMessage,
        from: SocketAddr,
        now: Moment,
    ) -> Option<OriginMessage> {
        match message {
            OriginMessage::Store(records) => {
                let mut table = lock(&self.table);
                records.iter().for_each(|record| table.record_peer(record, now));
                None
            }
            OriginMessage::Ask { number, key, service, horizon_ms } => {
                let known = lock(&self.table).get(key, now);
                let horizon = Duration::from_millis(u64::from(horizon_ms));
                let finding = match known {
                    Some(known) => OriginFinding::Known(known),
                    None => OriginFinding::Unknown(self.claim(service, horizon, now)),
                };
                Some(OriginMessage::Reply { number, finding })
            }
            OriginMessage::Versions(reports) => {
                if let Some(watch) = lock(&self.watch).as_mut() {
                    reports.iter().for_each(|report| watch.apply_report(report, now));
                }
                None
            }
            OriginMessage::Announce(reports) => {
                let history = lock(&self.history);
                let heard = match lock(&self.watch).as_mut() {
                    Some(watch) => {
                        reports.iter().for_each(|report| watch.apply_report(report, now));
                        reports
                    }
                    None => reports.iter().map(|report| history.listed_of(report)).collect(),
                };
                Some(OriginMessage::Announced(heard))
            }
            OriginMessage::Announced(heard) => {
                lock(&self.announced).apply_reply(from, &heard);
                None
            }
            OriginMessage::Reply { number, finding } => {
                if let Some(sender) = lock(&self.questions).get(&number) {
                    let _ = sender.send((from, finding));
                }
                None
            }
        }
    }
}

/// The peers, once the leader has named them to a daemon that has just started.
async fn known_peers(state: &TrafficState) -> PeerAddresses {
    let first_names = async {
        loop {
            let peers = state.fleet.peer_addresses();
            if peers.is_complete {
                return peers;
            }
            tokio::time::sleep(PEERS_POLL_INTERVAL).await;
        }
    };
    let peers = tokio::time::timeout(PEERS_TIMEOUT, first_names).await;
    peers.unwrap_or_else(|_| state.fleet.peer_addresses())
}

/// Removes a question once its answer is no longer waited for.
struct QuestionGuard<'a> {
    origins: &'a StreamOrigins,
    number: u64,
}

impl Drop for QuestionGuard<'_> {
    fn drop(&mut self) {
        lock(&self.origins.questions).remove(&self.number);
    }
}

/// Sends records to their owners, at once if there are few.
fn send_records(
    state: &TrafficState,
    records: &[OriginRecord],
    owners_of: impl Fn(AttemptKey) -> Vec<SocketAddr>,
) {
    let mut by_owner: BTreeMap<SocketAddr, Vec<OriginRecord>> = BTreeMap::new();
    for record in records {
        for owner in owners_of(record.key) {
            by_owner.entry(owner).or_default().push(*record);
        }
    }
    let batches = by_owner.into_iter().flat_map(|(owner, records)| {
        let chunks: Vec<Vec<OriginRecord>> = records.chunks(MAX_BATCH).map(<[_]>::to_vec).collect();
        chunks.into_iter().map(move |chunk| (owner, OriginMessage::Store(chunk)))
    });
    let message = |(owner, message)| (owner, DaemonMessage::Origin(message));
    state.fleet.send_paced(batches.map(message).collect(), BATCHES_AT_ONCE, BATCH_PAUSE);
}
