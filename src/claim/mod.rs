//! Claims, pure: who may dispatch a request with an idempotency key, and what became of it.
//!
//! A claim is committed by a quorum before the dispatch, and its outcome recorded after. A resend
//! through any daemon finds the claim and never leads to a second run.

use crate::table::{DaemonName, OrganisationName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// An organisation's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ClaimKey {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Its key.
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
    /// The daemon that will dispatch it.
    pub daemon: DaemonName,
    /// The daemon's boot number.
    pub boot: u64,
    /// The request's id.
    pub request: String,
}

/// An answer kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Its content type.
    pub content_type: String,
    /// Its body; absent if it was too large or not text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body: Option<String>,
}

/// What became of the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimOutcome {
    /// A whole answer came.
    Answered(RecordedAnswer),
    /// It may have run.
    Unknown,
    /// It provably did not run: the key is free again.
    NotRun,
}

/// A change of claims, as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimCommand {
    /// Take the claim.
    Take {
        /// The key.
        key: ClaimKey,
        /// Digest of the request's method, path and body.
        digest: String,
        /// Who takes it.
        owner: ClaimOwner,
        /// The leader's wall clock, in milliseconds; expiry only ever compares such stamps.
        at: u64,
        /// How long the record is kept, in milliseconds.
        life: u64,
    },
    /// Record the outcome.
    Settle {
        /// The key.
        key: ClaimKey,
        /// Who held it.
        owner: ClaimOwner,
        /// What became of it.
        outcome: ClaimOutcome,
    },
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimReply {
    /// The claim is held by the asker: it may dispatch, once.
    Granted,
    /// The key was used with another body.
    Mismatch,
    /// The first request is in progress.
    Running(ClaimOwner),
    /// The first request's answer.
    Answered(RecordedAnswer),
    /// The first request may have run.
    Unknown,
    /// The asker had already given the claim up.
    Withdrawn,
    /// The outcome is recorded, or no longer matters.
    Settled,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum ClaimState {
    Running,
    Answered(RecordedAnswer),
    Unknown,
    /// Given up before any dispatch. Kept, so that a take that arrives late is not granted.
    Withdrawn,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    digest: String,
    owner: ClaimOwner,
    state: ClaimState,
    expires: u64,
}

/// All claims of one shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimBook {
    records: BTreeMap<ClaimKey, ClaimRecord>,
    /// Records by their end; a key stands here at most once.
    #[serde(default)]
    expiry: BTreeSet<(u64, ClaimKey)>,
}

/// A claim withdrawn before it arrived is remembered this long, in milliseconds.
const WITHDRAWN_LIFE: u64 = 600_000;
/// Expired records dropped with one command, so that no command is long.
const EXPIRED_AT_ONCE: usize = 16;

impl ClaimBook {
    /// Applies a command; deterministic, as every replica must come to the same state.
    pub fn apply(&mut self, command: &ClaimCommand) -> ClaimReply {
        match command {
            ClaimCommand::Take { key, digest, owner, at, life } => {
                self.expire(*at);
                self.take(key, digest, owner, at.saturating_add(*life))
            }
            ClaimCommand::Settle { key, owner, outcome } => self.settle(key, owner, outcome),
        }
    }

    fn take(
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
            // The same request asks again because it lost the answer: it still holds the claim.
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
        self.put(key, record);
        ClaimReply::Granted
    }

    fn put(&mut self, key: &ClaimKey, record: ClaimRecord) {
        let expires = record.expires;
        if let Some(old) = self.records.insert(key.clone(), record) {
            self.expiry.remove(&(old.expires, key.clone()));
        }
        self.expiry.insert((expires, key.clone()));
    }

    /// Only the owner may settle: a late settlement of an earlier owner changes nothing.
    fn settle(&mut self, key: &ClaimKey, owner: &ClaimOwner, outcome: &ClaimOutcome) -> ClaimReply {
        let state = match outcome {
            ClaimOutcome::Answered(answer) => ClaimState::Answered(answer.clone()),
            ClaimOutcome::Unknown => ClaimState::Unknown,
            ClaimOutcome::NotRun => ClaimState::Withdrawn,
        };
        match self.records.get_mut(key) {
            Some(record) if record.owner == *owner => record.state = state,
            Some(_) => {}
            None if *outcome == ClaimOutcome::NotRun => {
                let newest = self.expiry.last().map_or(0, |(expires, _)| *expires);
                let record = ClaimRecord {
                    digest: String::new(),
                    owner: owner.clone(),
                    state,
                    expires: newest + WITHDRAWN_LIFE,
                };
                self.put(key, record);
            }
            None => {}
        }
        ClaimReply::Settled
    }

    /// Drops a few records whose time is over; a running one is kept until it is settled.
    fn expire(&mut self, now: u64) {
        let due: Vec<(u64, ClaimKey)> = self
            .expiry
            .iter()
            .take_while(|(expires, _)| *expires <= now)
            .take(EXPIRED_AT_ONCE)
            .cloned()
            .collect();
        for (expires, key) in due {
            self.expiry.remove(&(expires, key.clone()));
            self.records.remove(&key);
        }
    }

    /// Claims kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True if none are kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
