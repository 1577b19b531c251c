//! Idempotency claim of a request: acquired before its dispatch, settled when it ends.

use super::access::CallerIdentity;
use super::dispatch::ExchangeEnd;
use super::state::TrafficState;
use crate::answer::{AnswerKind, RefusalAnswer};
use crate::claim::{ClaimKey, ClaimOutcome, ClaimOwner, ClaimReply, RecordedAnswer};
use crate::policy::RequestState;
use crate::table::hex;
use crate::upstream::{REQUEST_ID_HEADER, UpstreamCall};
use axum::body::Body;
use http::{HeaderValue, Response, StatusCode, header};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::time::Duration;

/// Header that marks an answer replayed from the claim's record.
const REPLAYED_HEADER: &str = "idempotency-replayed";

/// A claim held by a request. If it is dropped unsettled because the task was cancelled, it is
/// settled as unknown, since the request may have been sent.
pub struct ClaimGuard {
    state: Arc<TrafficState>,
    key: ClaimKey,
    owner: ClaimOwner,
    is_open: bool,
}

impl ClaimGuard {
    /// Records the outcome of the request.
    pub fn settle(mut self, end: &ExchangeEnd) {
        let outcome = match (&end.recorded, end.state) {
            (Some(answer), RequestState::Answered) => ClaimOutcome::Answered(answer.clone()),
            _ if end.may_have_run => ClaimOutcome::Unknown,
            _ => ClaimOutcome::NotRun,
        };
        self.record(outcome);
    }

    /// Releases the key: the request was not dispatched.
    pub fn withdraw(mut self) {
        self.record(ClaimOutcome::NotRun);
    }

    fn record(&mut self, outcome: ClaimOutcome) {
        self.is_open = false;
        if let Some(client) = self.state.claims() {
            client.settle(&self.key, &self.owner, outcome);
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if self.is_open {
            self.record(ClaimOutcome::Unknown);
        }
    }
}

/// Acquires the claim for a request. The error contains the reply that determines the answer, or
/// `None` if the claim could not be recorded.
pub async fn acquire_claim(
    state: &Arc<TrafficState>,
    caller: &CallerIdentity,
    key: &str,
    call: &UpstreamCall,
    ttl: Duration,
) -> Result<ClaimGuard, Option<ClaimReply>> {
    let client = state.claims().ok_or(None)?;
    let key = ClaimKey { organisation: caller.organisation.clone(), key: key.to_owned() };
    let owner = ClaimOwner {
        daemon: state.daemon.clone(),
        boot: state.boot(),
        request: call.id.to_string(),
    };
    match client.acquire(&key, request_digest(call), &owner, ttl).await {
        Some(ClaimReply::Granted) => {
            Ok(ClaimGuard { state: Arc::clone(state), key, owner, is_open: true })
        }
        reply => Err(reply),
    }
}

/// SHA-256 of method, path and body, which must all match for a retry to count as the same request.
fn request_digest(call: &UpstreamCall) -> String {
    let mut digest = Sha256::new();
    digest.update(call.method.as_str());
    digest.update([0]);
    digest.update(call.uri.to_string());
    digest.update([0]);
    digest.update(&call.body);
    hex(&digest.finalize())
}

/// Builds the answer to a request whose claim was not granted.
pub fn claim_response(reply: Option<ClaimReply>, id: &str, jitter: f64) -> Response<Body> {
    let kind = match reply {
        Some(ClaimReply::Answered(answer)) => match replay(answer, id) {
            Some(response) => return response,
            None => AnswerKind::ClaimAnswered,
        },
        Some(ClaimReply::Mismatch) => AnswerKind::ClaimMismatch,
        Some(ClaimReply::Running(_)) => AnswerKind::ClaimRunning,
        Some(ClaimReply::Unknown) => AnswerKind::ClaimUnknown,
        _ => AnswerKind::ClaimUnavailable,
    };
    RefusalAnswer::new(kind, "", jitter).response(id)
}

/// Builds the response from the recorded answer; `None` if its body was not kept.
fn replay(answer: RecordedAnswer, id: &str) -> Option<Response<Body>> {
    let mut response = Response::new(Body::from(answer.body?));
    *response.status_mut() = StatusCode::from_u16(answer.status).ok()?;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_str(&answer.content_type).ok()?);
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    headers.insert(REQUEST_ID_HEADER, HeaderValue::from_str(id).ok()?);
    Some(response)
}
