//! Idempotency claims: which request may be dispatched under an idempotency key, and its outcome.
//!
//! A quorum commits the claim before the dispatch and the outcome afterwards. A retry through any
//! daemon finds the claim and never causes a second execution. This module performs no I/O.

use crate::table::{DaemonName, OrganisationName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Idempotency key, scoped to an organisation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ClaimKey {
    /// Organisation that uses the key.
    pub organisation: OrganisationName,
    /// Key chosen by the organisation.
    pub key: String,
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.organisation, self.key)
    }
}

impl From<ClaimKey> for String {
    fn from(key: ClaimKey) -> String {
        key.to_string()
    }
}

impl TryFrom<String> for ClaimKey {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        match text.split_once('/') {
            Some((organisation, key)) => {
                Ok(ClaimKey { organisation: organisation.into(), key: key.to_owned() })
            }
            None => Err(format!("{text}: expected ORGANISATION/KEY")),
        }
    }
}

/// The request that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOwner {
    /// Daemon that dispatches the request.
    pub daemon: DaemonName,
    /// Boot number of the daemon.
    pub boot: u64,
    /// Request id.
    pub request: String,
}

/// Answer stored for retries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body; absent if it was too large or not text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

/// Outcome of the request that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimOutcome {
    /// The request received a complete answer.
    Answered(RecordedAnswer),
    /// The request may have been executed.
    Unknown,
    /// The request was provably not executed; the key may be claimed again.
    NotRun,
}

/// Command to change a claim, as stored in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimCommand {
    /// Acquires a claim.
    #[serde(rename = "take")]
    Acquire {
        /// Key of the claim.
        key: ClaimKey,
        /// Digest of the request method, path and body.
        digest: String,
        /// Request that acquires the claim.
        owner: ClaimOwner,
        /// Wall-clock time of the leader, in milliseconds. Expiry compares only such timestamps.
        #[serde(rename = "at")]
        timestamp_ms: u64,
        /// Lifetime of the record, in milliseconds.
        #[serde(rename = "life")]
        ttl_ms: u64,
    },
    /// Records the outcome of a claim.
    Settle {
        /// Key of the claim.
        key: ClaimKey,
        /// Request that holds the claim.
        owner: ClaimOwner,
        /// Outcome of the request.
        outcome: ClaimOutcome,
    },
}

impl ClaimCommand {
    /// Size of the recorded body of an answer, in bytes.
    pub fn body_bytes(&self) -> usize {
        match self {
            ClaimCommand::Settle { outcome: ClaimOutcome::Answered(answer), .. } => {
                answer.body.as_ref().map_or(0, String::len)
            }
            _ => 0,
        }
    }
}

/// Reply to a [`ClaimCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimReply {
    /// The requester holds the claim and may dispatch once.
    Granted,
    /// The key was used with a different request.
    Mismatch,
    /// The first request with the key is still in progress.
    Running(ClaimOwner),
    /// The first request was answered.
    Answered(RecordedAnswer),
    /// The first request may have been executed; its outcome is unknown.
    Unknown,
    /// The requester had already withdrawn its claim.
    Withdrawn,
    /// The outcome is recorded or no longer relevant.
    Settled,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ClaimState {
    Running,
    Answered(RecordedAnswer),
    Unknown,
    /// Withdrawn before any dispatch. Stored so that a delayed acquisition is not granted.
    Withdrawn,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    digest: String,
    owner: ClaimOwner,
    state: ClaimState,
    expires: u64,
}

/// Claims of one shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimRegistry {
    records: BTreeMap<ClaimKey, ClaimRecord>,
    /// Keys ordered by expiry time; each key occurs at most once.
    #[serde(default)]
    expiry: BTreeSet<(u64, ClaimKey)>,
}

/// Lifetime, in milliseconds, of the record of a claim withdrawn before its acquisition arrived.
const WITHDRAWN_TTL_MS: u64 = 600_000;
/// Maximum number of expired records removed per command, to bound the time a command takes.
const MAX_EXPIRED_PER_COMMAND: usize = 16;

impl ClaimRegistry {
    /// Applies a command. Deterministic, so that all replicas reach the same state.
    pub fn apply(&mut self, command: &ClaimCommand) -> ClaimReply {
        match command {
            ClaimCommand::Acquire { key, digest, owner, timestamp_ms, ttl_ms } => {
                self.remove_expired(*timestamp_ms);
                self.acquire(key, digest, owner, timestamp_ms.saturating_add(*ttl_ms))
            }
            ClaimCommand::Settle { key, owner, outcome } => self.set_outcome(key, owner, outcome),
        }
    }

    fn acquire(
        &mut self,
        key: &ClaimKey,
        digest: &str,
        owner: &ClaimOwner,
        expires: u64,
    ) -> ClaimReply {
        let Some(record) = self.records.get(key) else {
            return self.grant(key, digest, owner, expires);
        };
        match &record.state {
            ClaimState::Withdrawn if record.owner == *owner => ClaimReply::Withdrawn,
            ClaimState::Withdrawn => self.grant(key, digest, owner, expires),
            _ if record.digest != digest => ClaimReply::Mismatch,
            // The owner retries because it missed the reply; it still holds the claim.
            ClaimState::Running if record.owner == *owner => ClaimReply::Granted,
            ClaimState::Running => ClaimReply::Running(record.owner.clone()),
            ClaimState::Answered(answer) => ClaimReply::Answered(answer.clone()),
            ClaimState::Unknown => ClaimReply::Unknown,
        }
    }

    fn grant(
        &mut self,
        key: &ClaimKey,
        digest: &str,
        owner: &ClaimOwner,
        expires: u64,
    ) -> ClaimReply {
        let record = ClaimRecord {
            digest: digest.to_owned(),
            owner: owner.clone(),
            state: ClaimState::Running,
            expires,
        };
        self.insert_record(key, record);
        ClaimReply::Granted
    }

    fn insert_record(&mut self, key: &ClaimKey, record: ClaimRecord) {
        let expires = record.expires;
        if let Some(replaced) = self.records.insert(key.clone(), record) {
            self.expiry.remove(&(replaced.expires, key.clone()));
        }
        self.expiry.insert((expires, key.clone()));
    }

    /// Records an outcome. Only the owner may do so: a delayed command of an earlier owner has no
    /// effect.
    fn set_outcome(
        &mut self,
        key: &ClaimKey,
        owner: &ClaimOwner,
        outcome: &ClaimOutcome,
    ) -> ClaimReply {
        let state = match outcome {
            ClaimOutcome::Answered(answer) => ClaimState::Answered(answer.clone()),
            ClaimOutcome::Unknown => ClaimState::Unknown,
            ClaimOutcome::NotRun => ClaimState::Withdrawn,
        };
        match self.records.get_mut(key) {
            Some(record) if record.owner == *owner => record.state = state,
            Some(_) => {}
            None if *outcome == ClaimOutcome::NotRun => {
                let latest_expiry = self.expiry.last().map_or(0, |(expires, _)| *expires);
                let record = ClaimRecord {
                    digest: String::new(),
                    owner: owner.clone(),
                    state,
                    expires: latest_expiry + WITHDRAWN_TTL_MS,
                };
                self.insert_record(key, record);
            }
            None => {}
        }
        ClaimReply::Settled
    }

    /// Removes a bounded number of expired records, whatever their state.
    fn remove_expired(&mut self, now: u64) {
        let expired: Vec<(u64, ClaimKey)> = self
            .expiry
            .iter()
            .take_while(|(expires, _)| *expires <= now)
            .take(MAX_EXPIRED_PER_COMMAND)
            .cloned()
            .collect();
        for (expires, key) in expired {
            self.expiry.remove(&(expires, key.clone()));
            self.records.remove(&key);
        }
    }

    /// Number of stored claims.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no claims are stored.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
