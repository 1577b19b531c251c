//! Connections to other daemons' control interfaces.

use super::ledger::ControlCommand;
use super::rpc::ControlApiClient;
use crate::replica::{ReplicaEnvelope, ReplicaMessage, VoterId};
use crate::table::DaemonName;
use http::{HeaderMap, HeaderValue, header};
use jsonrpsee::core::ClientError;
use jsonrpsee::ws_client::{PingConfig, WsClient, WsClientBuilder};
use slog::{Logger, debug, info, warn};
use snafu::Snafu;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for the answer to a short message, after which the connection is considered dead and the
/// next message opens a new one. It is below the minimum election timeout, so that a single dead
/// connection does not cause an election.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Bytes that a peer must store in a millisecond; a large message has this much more time.
const MIN_BYTES_PER_MS: u64 = 500;
/// Maximum timeout for the answer to a message of any size.
const BULK_CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Duration from which an answered call to a peer is logged.
const LONG_CALL: Duration = Duration::from_millis(100);
/// Maximum number of messages queued for one peer; further ones are dropped, as by a lossy network.
const PEER_QUEUE_CAPACITY: usize = 256;
/// Maximum number of concurrent calls to one peer.
const MAX_PEER_CALLS: usize = 32;
/// Maximum size of a message, in bytes.
pub const MAX_MESSAGE_BYTES: u32 = 256 << 20;
/// Maximum number of unanswered calls on one connection.
const MAX_PENDING_CALLS: usize = 4_096;
/// Interval between WebSocket pings, which detect dead connections.
const PING_INTERVAL: Duration = Duration::from_secs(5);

/// The key shared by the fleet. Its `Debug` output hides the value, so it is never logged.
#[derive(Clone)]
pub struct FleetKey(Arc<str>);

impl FleetKey {
    /// Reads the key from a file, without surrounding white space.
    pub fn read(path: &Path) -> std::io::Result<Self> {
        let text = std::fs::read_to_string(path)?;
        match text.trim() {
            "" => {
                Err(std::io::Error::new(std::io::ErrorKind::InvalidData, "the key file is empty"))
            }
            key => Ok(FleetKey(Arc::from(key))),
        }
    }

    /// The well-known key of a fleet without a secret one: anyone who can reach the control
    /// interface may call it.
    pub fn unprotected() -> Self {
        FleetKey::from_text("open")
    }

    /// Creates a key from its text.
    pub fn from_text(text: &str) -> Self {
        FleetKey(Arc::from(text))
    }

    /// Returns the value of the `Authorization` header.
    pub fn bearer(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FleetKey(hidden)")
    }
}

/// The presumed control address of the leader, shared within the process. It may be outdated: a
/// daemon that is not the leader redirects the caller.
#[derive(Clone, Debug, Default)]
pub struct LeaderHint(Arc<Mutex<Option<SocketAddr>>>);

impl LeaderHint {
    /// Returns the presumed address of the leader, if one is known.
    pub fn get(&self) -> Option<SocketAddr> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the presumed address.
    pub fn set(&self, leader: Option<SocketAddr>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = leader;
    }
}

/// The voters named in the settings; replaced when the settings are reloaded.
#[derive(Clone, Debug, Default)]
pub struct KnownVoters(Arc<Mutex<Vec<SocketAddr>>>);

impl KnownVoters {
    /// Creates the list from `voters`.
    pub fn new(voters: Vec<SocketAddr>) -> Self {
        KnownVoters(Arc::new(Mutex::new(voters)))
    }

    /// Replaces the list.
    pub fn set(&self, voters: Vec<SocketAddr>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = voters;
    }

    /// Returns the current list.
    pub fn get(&self) -> Vec<SocketAddr> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// An error of a call to a control interface.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection could not be opened.
    #[snafu(display("{address}: cannot connect: {detail}"))]
    Unreachable {
        /// Whom.
        address: SocketAddr,
        /// What happened.
        detail: String,
    },
    /// The daemon rejected the fleet key.
    #[snafu(display("{address}: the fleet key is not accepted"))]
    KeyRefused {
        /// Whom.
        address: SocketAddr,
    },
    /// The call failed or was not answered in time.
    #[snafu(display("{address}: {detail}"))]
    Failed {
        /// Whom.
        address: SocketAddr,
        /// What happened.
        detail: String,
    },
    /// No leader was found in time.
    #[snafu(display("no leader could be reached; the quorum may be lost"))]
    NoLeader,
}

/// Opens a WebSocket connection to a control interface.
pub async fn connect(address: SocketAddr, key: &FleetKey) -> Result<WsClient, CallError> {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_str(&key.bearer());
    let value = value.map_err(|_| CallError::Failed {
        address,
        detail: "the fleet key is not visible ASCII".to_owned(),
    })?;
    headers.insert(header::AUTHORIZATION, value);
    let builder = WsClientBuilder::default()
        .set_headers(headers)
        .connection_timeout(CONNECT_TIMEOUT)
        .request_timeout(BULK_CALL_TIMEOUT)
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .max_concurrent_requests(MAX_PENDING_CALLS)
        .enable_ws_ping(PingConfig::new().ping_interval(PING_INTERVAL))
        .set_tcp_no_delay(true);
    let connecting =
        tokio::time::timeout(CONNECT_TIMEOUT, builder.build(format!("ws://{address}")));
    match connecting.await {
        Ok(Ok(client)) => Ok(client),
        Ok(Err(error)) if error.to_string().contains("401") => {
            Err(CallError::KeyRefused { address })
        }
        Ok(Err(error)) => Err(CallError::Unreachable { address, detail: error.to_string() }),
        Err(_) => Err(CallError::Unreachable {
            address,
            detail: format!("no answer within {CONNECT_TIMEOUT:?}"),
        }),
    }
}

/// A client with one connection: to the presumed leader or, if none is known, to each known voter
/// in turn.
pub struct LeaderClient {
    /// The voters named in the settings.
    settings_voters: KnownVoters,
    /// The voters most recently listed by a leader.
    listed_voters: Vec<SocketAddr>,
    key: FleetKey,
    hint: LeaderHint,
    voter_idx: usize,
    connection: Option<(SocketAddr, Arc<WsClient>)>,
}

impl LeaderClient {
    /// Creates a client that is not connected yet.
    pub fn new(settings_voters: KnownVoters, key: FleetKey, hint: LeaderHint) -> Self {
        LeaderClient {
            settings_voters,
            listed_voters: Vec::new(),
            key,
            hint,
            voter_idx: 0,
            connection: None,
        }
    }

    /// Begins with a voter that depends on the name of the daemon, so that daemons that start together
    /// do not all ask the same voter first.
    pub fn for_daemon(mut self, daemon: &DaemonName) -> Self {
        self.voter_idx = xxh3_64(daemon.as_str().as_bytes()) as usize;
        self
    }

    /// Returns the presumed address of the leader.
    pub fn hint(&self) -> &LeaderHint {
        &self.hint
    }

    /// Returns the connection and its address, connecting first if necessary.
    pub async fn get(&mut self) -> Option<(SocketAddr, Arc<WsClient>)> {
        let address = self.hint.get().or_else(|| self.next_voter())?;
        let is_open = |(known, client): &(SocketAddr, Arc<WsClient>)| {
            *known == address && client.is_connected()
        };
        if !self.connection.as_ref().is_some_and(is_open) {
            let client = connect(address, &self.key).await.ok();
            self.connection = client.map(|client| (address, Arc::new(client)));
        }
        self.connection.clone()
    }

    /// Returns the existing connection and its address, if any.
    pub fn connection(&self) -> Option<(SocketAddr, Arc<WsClient>)> {
        self.connection.clone()
    }

    /// Drops the connection unless it leads to the presumed leader. A connection that gave no
    /// answer may be dead for good although new ones work.
    pub fn drop_unless_hinted(&mut self) {
        let hint = self.hint.get();
        self.connection.take_if(|(known, _)| Some(*known) != hint);
    }

    /// Replaces the list of voters received from a leader. The voters from the settings remain in
    /// use, in case all of the listed ones are replaced while this daemon is cut off.
    pub fn set_voters(&mut self, voters: Vec<SocketAddr>) {
        if !voters.is_empty() {
            self.listed_voters = voters;
        }
    }

    fn next_voter(&mut self) -> Option<SocketAddr> {
        let known: Vec<SocketAddr> =
            self.listed_voters.iter().copied().chain(self.settings_voters.get()).collect();
        self.voter_idx = self.voter_idx.wrapping_add(1) % known.len().max(1);
        known.get(self.voter_idx).copied()
    }
}

/// Channel for the replies of peers.
pub type ReplySender = mpsc::UnboundedSender<ReplicaEnvelope<ControlCommand>>;

/// Connections to the other replicas.
pub struct PeerLinks {
    key: FleetKey,
    log: Logger,
    replies: ReplySender,
    links: BTreeMap<VoterId, PeerLink>,
}

struct PeerLink {
    address: SocketAddr,
    sender: mpsc::Sender<ReplicaEnvelope<ControlCommand>>,
}

impl PeerLinks {
    /// Creates an empty set of links that sends replies to `replies`.
    pub fn new(key: FleetKey, log: Logger, replies: ReplySender) -> Self {
        PeerLinks { key, log, replies, links: BTreeMap::new() }
    }

    /// Queues a message for the replica at `address`; drops it if the queue is full.
    pub fn send(&mut self, address: SocketAddr, envelope: ReplicaEnvelope<ControlCommand>) {
        let to = envelope.to.clone();
        if self.links.get(&to).is_none_or(|link| link.address != address || link.sender.is_closed())
        {
            let (sender, receiver) = mpsc::channel(PEER_QUEUE_CAPACITY);
            tokio::spawn(run_link(
                address,
                self.key.clone(),
                self.log.clone(),
                receiver,
                self.replies.clone(),
            ));
            self.links.insert(to.clone(), PeerLink { address, sender });
        }
        if let Some(link) = self.links.get(&to) {
            let _ = link.sender.try_send(envelope);
        }
    }
}

/// Sends the messages for one peer over one connection, reconnecting when a call is not answered.
async fn run_link(
    address: SocketAddr,
    key: FleetKey,
    log: Logger,
    mut receiver: mpsc::Receiver<ReplicaEnvelope<ControlCommand>>,
    replies: ReplySender,
) {
    let calls = Arc::new(tokio::sync::Semaphore::new(MAX_PEER_CALLS));
    let (broken_sender, mut broken) = mpsc::channel::<()>(1);
    let mut client: Option<Arc<WsClient>> = None;
    while let Some(envelope) = receiver.recv().await {
        if broken.try_recv().is_ok() {
            client = None;
        }
        let open = match &client {
            Some(open) if open.is_connected() => Arc::clone(open),
            _ => match connect(address, &key).await {
                Ok(open) => Arc::clone(client.insert(Arc::new(open))),
                Err(error) => {
                    debug!(log, "could not connect to peer"; "error" => error.to_string());
                    client = None;
                    continue;
                }
            },
        };
        let Ok(permit) = Arc::clone(&calls).acquire_owned().await else { return };
        let replies = replies.clone();
        let broken_sender = broken_sender.clone();
        let log = log.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let limit = call_timeout(&envelope);
            let call = PeerCall::new(address, &envelope, log);
            match tokio::time::timeout(limit, open.replica(envelope)).await {
                Ok(Ok(envelopes)) => {
                    call.log_answered();
                    envelopes.into_iter().for_each(|reply| {
                        let _ = replies.send(reply);
                    });
                }
                Ok(Err(ClientError::Call(_))) => {}
                _ => {
                    call.log_unanswered();
                    let _ = broken_sender.try_send(());
                }
            }
        });
    }
}

fn call_timeout(envelope: &ReplicaEnvelope<ControlCommand>) -> Duration {
    let transfer = Duration::from_millis(envelope.message.size_bytes() as u64 / MIN_BYTES_PER_MS);
    (CALL_TIMEOUT + transfer).min(BULK_CALL_TIMEOUT)
}

/// A call to a peer, as it appears in the log.
struct PeerCall {
    peer: SocketAddr,
    kind: &'static str,
    entries: usize,
    sent_at: Instant,
    log: Logger,
}

impl PeerCall {
    fn new(peer: SocketAddr, envelope: &ReplicaEnvelope<ControlCommand>, log: Logger) -> Self {
        let (kind, entries) = match &envelope.message {
            ReplicaMessage::Append { entries, .. } if entries.is_empty() => ("heartbeat", 0),
            ReplicaMessage::Append { entries, .. } => ("entries", entries.len()),
            ReplicaMessage::Snapshot { .. } | ReplicaMessage::SnapshotPart { .. } => {
                ("snapshot", 0)
            }
            _ => ("vote", 0),
        };
        PeerCall { peer, kind, entries, sent_at: Instant::now(), log }
    }

    /// Logs a call that took long. The number of concurrent calls bounds the number of lines.
    fn log_answered(&self) {
        let taken = self.sent_at.elapsed();
        if taken >= LONG_CALL {
            info!(self.log, "peer answered late"; "peer" => self.peer, "kind" => self.kind,
                "entries" => self.entries, "taken_ms" => taken.as_millis() as u64);
        }
    }

    fn log_unanswered(&self) {
        warn!(self.log, "peer did not answer"; "peer" => self.peer, "kind" => self.kind,
            "entries" => self.entries, "taken_ms" => self.sent_at.elapsed().as_millis() as u64);
    }
}
