//! Client of the claim registry for request handling: batches claim commands and sends them to the
//! leader.

use super::links::{FleetKey, KnownVoters, LeaderClient, LeaderHint};
use super::rpc::{ControlApiClient, LeaderAnswer};
use crate::claim::{ClaimCommand, ClaimKey, ClaimOutcome, ClaimOwner, ClaimReply};
use jsonrpsee::ws_client::WsClient;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{Semaphore, mpsc, oneshot};

/// Maximum number of commands in one call.
const MAX_BATCH_COMMANDS: usize = 512;
/// Maximum number of concurrent calls.
const MAX_CONCURRENT_CALLS: usize = 4;
/// Time within which a call must be answered before it is repeated. Acquiring a claim twice for the
/// same owner is harmless.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time within which a claim must be committed; after that the attempt is abandoned and the claim
/// withdrawn.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time for which the recording of an outcome is retried.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// Settings of a [`ClaimClient`].
#[derive(Clone, Debug)]
pub struct ClaimClientSettings {
    /// Control addresses at which to look for the leader.
    pub voters: KnownVoters,
    /// Shared key of the fleet.
    pub key: FleetKey,
    /// Last known address of the leader.
    pub hint: LeaderHint,
}

#[derive(Debug)]
struct PendingCommand {
    command: ClaimCommand,
    deadline: Instant,
    reply: Option<oneshot::Sender<Option<ClaimReply>>>,
}

/// Handle for acquiring and settling claims.
#[derive(Clone, Debug)]
pub struct ClaimClient {
    sender: mpsc::UnboundedSender<PendingCommand>,
}

impl ClaimClient {
    /// Starts the background task on the current runtime.
    pub fn start(settings: ClaimClientSettings) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        let client = ClaimClient { sender };
        tokio::spawn(run_batches(settings, receiver, client.clone()));
        client
    }

    /// Acquires a claim. Returns `None` if it could not be committed in time; the claim is then
    /// withdrawn in the background, and the request must not be dispatched.
    pub async fn acquire(
        &self,
        key: &ClaimKey,
        digest: String,
        owner: &ClaimOwner,
        ttl: Duration,
    ) -> Option<ClaimReply> {
        let ttl_ms = ttl.as_millis() as u64;
        let command = ClaimCommand::Acquire {
            key: key.clone(),
            digest,
            owner: owner.clone(),
            timestamp_ms: 0,
            ttl_ms,
        };
        let (sender, receiver) = oneshot::channel();
        let deadline = Instant::now() + ACQUIRE_TIMEOUT;
        self.sender.send(PendingCommand { command, deadline, reply: Some(sender) }).ok()?;
        let reply = receiver.await.ok().flatten();
        if reply.is_none() {
            self.settle(key, owner, ClaimOutcome::NotRun);
        }
        reply
    }

    /// Records the outcome of a claim in the background.
    pub fn settle(&self, key: &ClaimKey, owner: &ClaimOwner, outcome: ClaimOutcome) {
        let command = ClaimCommand::Settle { key: key.clone(), owner: owner.clone(), outcome };
        let _ = self.sender.send(PendingCommand {
            command,
            deadline: Instant::now() + SETTLE_TIMEOUT,
            reply: None,
        });
    }
}

async fn run_batches(
    settings: ClaimClientSettings,
    mut receiver: mpsc::UnboundedReceiver<PendingCommand>,
    client: ClaimClient,
) {
    let calls = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
    let ClaimClientSettings { voters, key, hint } = settings;
    let mut leader = LeaderClient::new(voters, key, hint.clone());
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, MAX_BATCH_COMMANDS).await > 0 {
        let Ok(permit) = Arc::clone(&calls).acquire_owned().await else { return };
        let rpc_client = leader.get().await.map(|(_, rpc_client)| rpc_client);
        let call = send_batch(std::mem::take(&mut batch), rpc_client, hint.clone(), client.clone());
        tokio::spawn(async move {
            let _permit = permit;
            call.await;
        });
    }
}

async fn send_batch(
    batch: Vec<PendingCommand>,
    leader: Option<Arc<WsClient>>,
    hint: LeaderHint,
    client: ClaimClient,
) {
    let commands: Vec<ClaimCommand> = batch.iter().map(|pending| pending.command.clone()).collect();
    let answer = match &leader {
        Some(leader) => tokio::time::timeout(CALL_TIMEOUT, leader.claims(commands)).await.ok(),
        None => None,
    };
    match answer {
        Some(Ok(LeaderAnswer::Done(replies))) if replies.len() == batch.len() => {
            for (pending, reply) in batch.into_iter().zip(replies) {
                pending.reply.into_iter().for_each(|sender| drop(sender.send(Some(reply.clone()))));
            }
            return;
        }
        Some(Ok(LeaderAnswer::Elsewhere(leader))) => hint.set(leader),
        _ => hint.set(None),
    }
    tokio::time::sleep(RETRY_DELAY).await;
    let now = Instant::now();
    for pending in batch {
        match pending.deadline > now {
            true => drop(client.sender.send(pending)),
            false => pending.reply.into_iter().for_each(|sender| drop(sender.send(None))),
        }
    }
}
