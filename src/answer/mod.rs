//! Responses that the daemon generates itself, and the table that maps each kind to its response.
//!
//! Refusals are problem documents (RFC 9457) with the extension members `kind` and `ran`.

use crate::upstream::REQUEST_ID_HEADER;
use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Header of refusals with their [`ExecutionStatus`]. It is removed from the answers of upstreams,
/// whose bodies may look like a refusal.
pub const RAN_HEADER: &str = "tarragonknot-ran";

/// Whether a refused request was executed at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionStatus {
    /// No byte of the request reached an upstream.
    No,
    /// At least one byte was sent, and no complete answer was received.
    Unknown,
    /// The request was executed and answered earlier.
    Yes,
}

impl ExecutionStatus {
    /// Name, as in problem documents.
    pub fn name(self) -> &'static str {
        match self {
            ExecutionStatus::No => "no",
            ExecutionStatus::Unknown => "unknown",
            ExecutionStatus::Yes => "yes",
        }
    }
}

/// Whether and when the caller should retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryHint {
    /// A retry would be refused again; no `Retry-After` header is sent.
    Never,
    /// Retry after this delay; the response adds jitter of up to twice the delay.
    After(Duration),
}

/// Reason why the daemon responds instead of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerKind {
    /// The request could not be parsed; the detail gives the location.
    BadRequest,
    /// The request has no bearer key.
    KeyMissing,
    /// The bearer key belongs to no organisation.
    KeyUnknown,
    /// The organisation has no access to the service.
    NotAllowed,
    /// No service matches the path or the model name.
    ServiceUnknown,
    /// The body exceeds the service's size limit.
    BodyTooLarge,
    /// The organisation has exceeded its token rate.
    RateLimited,
    /// The organisation has reached its limit of concurrent requests.
    ConcurrencyLimited,
    /// Shed: the pool has no capacity for this tier.
    Overloaded,
    /// Shed: evicted from the queue to make room for a higher tier.
    Evicted,
    /// Shed: the deadline passed, or would pass, in the queue.
    DeadlineWaiting,
    /// The deadline is too short for the estimated run time of the request.
    DeadlineTooShort,
    /// The pool has no live upstream.
    UpstreamAbsent,
    /// This daemon cannot confirm that its table is current.
    TableStale,
    /// This daemon is shutting down and accepts no new requests.
    Draining,
    /// No connection to any upstream tried could be opened; nothing was sent.
    UpstreamUnreachable,
    /// Every upstream tried reported that it did not execute the request.
    UpstreamRefused,
    /// The upstream ended the exchange before its answer was complete.
    UpstreamLost,
    /// The upstream's answer ended before its end marker or declared length.
    UpstreamTruncated,
    /// The upstream's answer carried the id of another request.
    UpstreamCrossed,
    /// The upstream stopped sending, and the stream could not be resumed.
    UpstreamSilent,
    /// The deadline passed while the request was running.
    DeadlineRunning,
    /// The idempotency key was used before with another body.
    ClaimMismatch,
    /// The first request with this idempotency key is still in progress.
    ClaimRunning,
    /// The first request with this idempotency key may have been executed; its outcome is unknown.
    ClaimUnknown,
    /// The first request with this idempotency key was answered; its answer was not stored.
    ClaimAnswered,
    /// The idempotency claim could not be recorded, so the request was not dispatched.
    ClaimUnavailable,
    /// Upstream processes ended while running the same content, so the request is quarantined.
    Quarantined,
    /// Internal error of the daemon, which may have occurred after the dispatch.
    Internal,
    /// The upstream failed with a status that tells callers "not run", without stating that it did
    /// not run the request.
    UpstreamFailed,
    /// The route and the organisation allow no region in common.
    RegionConflict,
    /// No upstream of the version that began the resumed stream is left.
    VersionAbsent,
    /// It is not known which version began the resumed stream, and several may have.
    OriginUnknown,
    /// Every upstream has asked this daemon for rest.
    UpstreamResting,
    /// The prompt and the maximum output do not fit into the memory of one engine.
    ExceedsMemory,
    /// The daemon has no memory left for the request's body.
    MemoryFull,
    /// The daemon had no memory left for the answer and dropped it.
    AnswerDropped,
    /// This daemon was stopped before the answer began; the request may have run.
    StoppedRunning,
}

/// Row of the response table.
#[derive(Clone, Copy, Debug)]
pub struct AnswerRow {
    /// Kind described by this row.
    pub kind: AnswerKind,
    /// Name in problem documents, logs and metrics.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Execution status reported in the refusal.
    pub ran: ExecutionStatus,
    /// Retry advice.
    pub retry: RetryHint,
    /// True if the refusal counts as load shedding.
    pub is_shed: bool,
    /// Short human-readable title.
    pub title: &'static str,
}

const RETRY_IN_1S: RetryHint = RetryHint::After(Duration::from_secs(1));
const RETRY_IN_2S: RetryHint = RetryHint::After(Duration::from_secs(2));
const RETRY_IN_5S: RetryHint = RetryHint::After(Duration::from_secs(5));

macro_rules! answer_rows {
    ($($kind:ident $name:literal $status:literal $ran:ident $retry:expr, $shed:literal, $title:literal;)*) => {
        /// Response table, with one row per kind in the order of [`AnswerKind`].
        pub const ANSWER_TABLE: &[AnswerRow] = &[
            $(AnswerRow {
                kind: AnswerKind::$kind,
                name: $name,
                status: $status,
                ran: ExecutionStatus::$ran,
                retry: $retry,
                is_shed: $shed,
                title: $title,
            },)*
        ];
    };
}

answer_rows! {
    BadRequest "bad-request" 400 No RetryHint::Never, false, "The request could not be read";
    KeyMissing "key-missing" 401 No RetryHint::Never, false, "A bearer key is required";
    KeyUnknown "key-unknown" 401 No RetryHint::Never, false, "The bearer key is not known";
    NotAllowed "not-allowed" 403 No RetryHint::Never, false, "The organisation may not use this service";
    ServiceUnknown "service-unknown" 404 No RetryHint::Never, false, "No such service";
    BodyTooLarge "body-too-large" 413 No RetryHint::Never, false, "The body is too large";
    RateLimited "rate-limited" 429 No RETRY_IN_1S, false, "The organisation's token rate is used up";
    ConcurrencyLimited "concurrency-limited" 429 No RETRY_IN_1S, false, "The organisation has too many requests in progress";
    Overloaded "overloaded" 503 No RETRY_IN_2S, true, "The pool has no room for this tier";
    Evicted "evicted" 503 No RETRY_IN_2S, true, "Removed from the queue for a higher tier";
    DeadlineWaiting "deadline-waiting" 503 No RETRY_IN_2S, true, "The deadline cannot be met by waiting";
    DeadlineTooShort "deadline-too-short" 422 No RetryHint::Never, false, "The deadline is shorter than the work takes";
    UpstreamAbsent "upstream-absent" 503 No RETRY_IN_5S, false, "The service has no live upstream";
    TableStale "table-stale" 503 No RETRY_IN_1S, false, "This daemon cannot confirm its table";
    Draining "draining" 503 No RETRY_IN_1S, false, "This daemon is shutting down";
    UpstreamUnreachable "upstream-unreachable" 503 No RETRY_IN_1S, false, "No upstream could be reached";
    UpstreamRefused "upstream-refused" 503 No RETRY_IN_1S, false, "No upstream took the request";
    UpstreamLost "upstream-lost" 502 Unknown RETRY_IN_1S, false, "The upstream ended without an answer";
    UpstreamTruncated "upstream-truncated" 502 Unknown RETRY_IN_1S, false, "The upstream's answer was cut short";
    UpstreamCrossed "upstream-crossed" 502 Unknown RETRY_IN_1S, false, "The upstream answered another request";
    UpstreamSilent "upstream-silent" 504 Unknown RETRY_IN_1S, false, "The upstream fell silent";
    DeadlineRunning "deadline-running" 504 Unknown RETRY_IN_1S, false, "The deadline passed while the work ran";
    ClaimMismatch "claim-mismatch" 422 No RetryHint::Never, false, "The idempotency key was used with another body";
    ClaimRunning "claim-running" 409 Unknown RETRY_IN_1S, false, "The first request with this key is in progress";
    ClaimUnknown "claim-unknown" 409 Unknown RetryHint::Never, false, "The first request with this key may have run";
    ClaimAnswered "claim-answered" 409 Yes RetryHint::Never, false, "The first request with this key was answered, and its answer is not kept";
    ClaimUnavailable "claim-unavailable" 503 No RETRY_IN_1S, false, "The claim could not be recorded";
    Quarantined "quarantined" 503 No RETRY_IN_5S, false, "Held back: upstreams ended while they ran this request";
    Internal "internal" 500 Unknown RETRY_IN_1S, false, "A fault of this daemon";
    UpstreamFailed "upstream-failed" 502 Unknown RETRY_IN_1S, false, "The upstream failed and may have run the request";
    RegionConflict "region-conflict" 403 No RetryHint::Never, false, "The route and the organisation allow no region in common";
    VersionAbsent "version-absent" 503 No RetryHint::Never, false, "No upstream of the version that began the stream is left";
    OriginUnknown "origin-unknown" 503 No RETRY_IN_1S, false, "The version that began the stream is not known";
    UpstreamResting "upstream-resting" 503 No RETRY_IN_1S, false, "Every upstream has asked for rest";
    ExceedsMemory "exceeds-memory" 503 No RetryHint::Never, false, "The request does not fit into the memory of an engine";
    MemoryFull "memory-full" 503 No RETRY_IN_1S, false, "The daemon has no memory left for the body";
    AnswerDropped "answer-dropped" 502 Unknown RETRY_IN_1S, false, "The daemon had no memory left for the answer";
    StoppedRunning "stopped-running" 502 Unknown RETRY_IN_1S, false, "The daemon stopped while the work ran";
}

/// True if callers of routes take the status as a promise that the request has not run and never
/// will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

impl AnswerKind {
    /// Row of this kind in [`ANSWER_TABLE`].
    pub fn row(self) -> &'static AnswerRow {
        &ANSWER_TABLE[self as usize]
    }
}

impl fmt::Display for AnswerKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.row().name)
    }
}

/// Body of a refusal: an RFC 9457 problem document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// URN of the kind.
    #[serde(rename = "type")]
    pub kind_uri: String,
    /// Title of the kind.
    pub title: String,
    /// HTTP status code, as in the response.
    pub status: u16,
    /// Explanation specific to this refusal; may be empty.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
    /// Kind of the refusal.
    pub kind: AnswerKind,
    /// Whether the request was executed.
    pub ran: ExecutionStatus,
    /// Request id assigned by the daemon.
    pub request_id: String,
}

/// A refusal with its detail and retry delay.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusalAnswer {
    /// Kind of the refusal.
    pub kind: AnswerKind,
    /// Explanation specific to this refusal.
    pub detail: String,
    /// Default `Retry-After` value, in whole seconds.
    pub default_retry_seconds: Option<u64>,
    /// Computed `Retry-After` value, which takes precedence; may include fractions of a second.
    pub computed_retry_after: Option<Duration>,
}

impl RefusalAnswer {
    /// Creates a refusal of `kind`. `jitter`, in 0.0..1.0, spreads the retry delay so that callers
    /// refused together do not retry together.
    pub fn new(kind: AnswerKind, detail: impl Into<String>, jitter: f64) -> Self {
        let default_retry_seconds = match kind.row().retry {
            RetryHint::Never => None,
            RetryHint::After(base) => Some(jittered_seconds(base, jitter)),
        };
        RefusalAnswer {
            kind,
            detail: detail.into(),
            default_retry_seconds,
            computed_retry_after: None,
        }
    }

    /// Sets a computed retry delay, which overrides the default of the kind.
    pub fn with_retry_after(mut self, time: Option<Duration>) -> Self {
        self.computed_retry_after = time;
        self
    }

    /// Problem document of this refusal.
    pub fn body(&self, request_id: &str) -> ProblemBody {
        let row = self.kind.row();
        ProblemBody {
            kind_uri: format!("urn:tarragonknot:{}", row.name),
            title: row.title.to_owned(),
            status: row.status,
            detail: self.detail.clone(),
            kind: self.kind,
            ran: row.ran,
            request_id: request_id.to_owned(),
        }
    }

    /// Complete HTTP response, which an upstream's answer cannot be mistaken for.
    pub fn response(&self, request_id: &str) -> Response<axum::body::Body> {
        let body = serde_json::to_vec(&self.body(request_id)).unwrap_or_default();
        let mut response = Response::new(axum::body::Body::from(body));
        *response.status_mut() =
            StatusCode::from_u16(self.kind.row().status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        headers.insert(RAN_HEADER, HeaderValue::from_static(self.kind.row().ran.name()));
        if let Ok(value) = HeaderValue::from_str(request_id) {
            headers.insert(REQUEST_ID_HEADER, value);
        }
        let computed = self.computed_retry_after.map(|time| format!("{:.1}", time.as_secs_f64()));
        if let Some(value) = computed.and_then(|text| HeaderValue::from_str(&text).ok()) {
            headers.insert(header::RETRY_AFTER, value);
        } else if let Some(seconds) = self.default_retry_seconds {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Returns one to three times `base`, by `jitter`, in whole seconds and at least one second.
fn jittered_seconds(base: Duration, jitter: f64) -> u64 {
    let spread = base.as_secs_f64() * (1.0 + 2.0 * jitter.clamp(0.0, 1.0));
    (spread.round() as u64).max(1)
}
