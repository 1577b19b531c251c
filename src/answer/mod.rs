//! The closed list of answers the system gives itself, and the one table from kind to answer.
//!
//! Refusals are problem documents (RFC 9457) with two members of our own: `kind` and `ran`.

use crate::upstream::REQUEST_ID_HEADER;
use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// What is known of a refused request's execution at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RanWord {
    /// No byte of the request reached an upstream.
    No,
    /// A byte was sent and no complete answer came back.
    Unknown,
    /// The request ran, and was answered before.
    Yes,
}

/// Whether and when a caller should come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryHint {
    /// The same request would be refused again; no `Retry-After` is sent.
    Never,
    /// Worth another try after about this long; the answer adds jitter of up to the same length.
    After(Duration),
}

/// Every reason for which the system answers instead of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerKind {
    /// The request could not be read; the detail names the place.
    BadRequest,
    /// No bearer key was given.
    KeyMissing,
    /// The bearer key belongs to no organisation.
    KeyUnknown,
    /// The organisation may not use the service.
    NotAllowed,
    /// No service answers at this path, or no service has this model name.
    ServiceUnknown,
    /// The body is larger than the service's limit.
    BodyTooLarge,
    /// The organisation's token rate is used up.
    RateLimited,
    /// The organisation has as many requests in progress as it may have.
    ConcurrencyLimited,
    /// Shed: the pool has no room for this tier.
    Overloaded,
    /// Shed: removed from the queue to make room for a higher tier.
    Evicted,
    /// Shed: the deadline would pass, or passed, in the queue.
    DeadlineWaiting,
    /// The deadline is shorter than the request's own estimated run time.
    DeadlineTooShort,
    /// The pool has no live upstream.
    UpstreamAbsent,
    /// This daemon cannot confirm that its table is current.
    TableStale,
    /// This daemon is shutting down and takes no new work.
    Draining,
    /// Every upstream tried refused the connection; nothing was sent.
    UpstreamUnreachable,
    /// Every upstream tried says that it did not run the request.
    UpstreamRefused,
    /// The upstream ended the exchange without a complete answer.
    UpstreamLost,
    /// The upstream's answer ended before its end mark or declared length.
    UpstreamTruncated,
    /// The upstream's answer carried another request's id.
    UpstreamCrossed,
    /// The upstream fell silent and the stream could not be resumed.
    UpstreamSilent,
    /// The deadline passed while the upstream worked.
    DeadlineRunning,
    /// The idempotency key was used before with another body.
    ClaimMismatch,
    /// The first request with this idempotency key is still in progress.
    ClaimRunning,
    /// The first request with this idempotency key may have run; its outcome is not known.
    ClaimUnknown,
    /// The first request with this idempotency key was answered; its answer is not kept.
    ClaimAnswered,
    /// The claim could not be recorded, so the request was not dispatched.
    ClaimUnavailable,
    /// Upstreams ended while they ran this content, so it is held back.
    Quarantined,
    /// A fault of the daemon itself before dispatch.
    Internal,
}

/// One row of the table from kind to answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerRow {
    /// The kind the row is for.
    pub kind: AnswerKind,
    /// The name used in problem documents, logs and metrics.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// What the refusal says about execution.
    pub ran: RanWord,
    /// Whether to come back.
    pub retry: RetryHint,
    /// True where the refusal counts as shedding of a tier.
    pub shed: bool,
    /// One sentence for people.
    pub title: &'static str,
}

const SECOND: RetryHint = RetryHint::After(Duration::from_secs(1));
const SHORTLY: RetryHint = RetryHint::After(Duration::from_secs(2));
const LATER: RetryHint = RetryHint::After(Duration::from_secs(5));

macro_rules! answer_rows {
    ($($kind:ident $name:literal $status:literal $ran:ident $retry:expr, $shed:literal, $title:literal;)*) => {
        /// The one table from kind to answer, in the order of [`AnswerKind`].
        pub const ANSWER_TABLE: &[AnswerRow] = &[
            $(AnswerRow {
                kind: AnswerKind::$kind,
                name: $name,
                status: $status,
                ran: RanWord::$ran,
                retry: $retry,
                shed: $shed,
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
    RateLimited "rate-limited" 429 No SECOND, false, "The organisation's token rate is used up";
    ConcurrencyLimited "concurrency-limited" 429 No SECOND, false, "The organisation has too many requests in progress";
    Overloaded "overloaded" 503 No SHORTLY, true, "The pool has no room for this tier";
    Evicted "evicted" 503 No SHORTLY, true, "Removed from the queue for a higher tier";
    DeadlineWaiting "deadline-waiting" 503 No SHORTLY, true, "The deadline cannot be met by waiting";
    DeadlineTooShort "deadline-too-short" 422 No RetryHint::Never, false, "The deadline is shorter than the work takes";
    UpstreamAbsent "upstream-absent" 503 No LATER, false, "The service has no live upstream";
    TableStale "table-stale" 503 No SECOND, false, "This daemon cannot confirm its table";
    Draining "draining" 503 No SECOND, false, "This daemon is shutting down";
    UpstreamUnreachable "upstream-unreachable" 503 No SECOND, false, "No upstream could be reached";
    UpstreamRefused "upstream-refused" 503 No SECOND, false, "No upstream took the request";
    UpstreamLost "upstream-lost" 502 Unknown SECOND, false, "The upstream ended without an answer";
    UpstreamTruncated "upstream-truncated" 502 Unknown SECOND, false, "The upstream's answer was cut short";
    UpstreamCrossed "upstream-crossed" 502 Unknown SECOND, false, "The upstream answered another request";
    UpstreamSilent "upstream-silent" 504 Unknown SECOND, false, "The upstream fell silent";
    DeadlineRunning "deadline-running" 504 Unknown SECOND, false, "The deadline passed while the work ran";
    ClaimMismatch "claim-mismatch" 422 No RetryHint::Never, false, "The idempotency key was used with another body";
    ClaimRunning "claim-running" 409 Unknown SECOND, false, "The first request with this key is in progress";
    ClaimUnknown "claim-unknown" 409 Unknown RetryHint::Never, false, "The first request with this key may have run";
    ClaimAnswered "claim-answered" 409 Yes RetryHint::Never, false, "The first request with this key was answered, and its answer is not kept";
    ClaimUnavailable "claim-unavailable" 503 No SECOND, false, "The claim could not be recorded";
    Quarantined "quarantined" 503 No LATER, false, "Held back: upstreams ended while they ran this request";
    Internal "internal" 500 No SECOND, false, "A fault of this daemon";
}

impl AnswerKind {
    /// The kind's row in [`ANSWER_TABLE`].
    pub fn row(self) -> &'static AnswerRow {
        &ANSWER_TABLE[self as usize]
    }
}

impl fmt::Display for AnswerKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.row().name)
    }
}

/// The body of a refusal, an RFC 9457 problem document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// A URN naming the kind.
    #[serde(rename = "type")]
    pub kind_uri: String,
    /// One sentence, the same for each kind.
    pub title: String,
    /// HTTP status code, repeated.
    pub status: u16,
    /// What was special about this refusal; may be empty.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
    /// The error kind's name.
    pub kind: AnswerKind,
    /// Whether the request ran.
    pub ran: RanWord,
    /// The daemon's id for the request.
    pub request_id: String,
}

/// A refusal ready to be sent: the kind, a detail and the seconds to wait, if any.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusalAnswer {
    /// Why.
    pub kind: AnswerKind,
    /// What was special about it.
    pub detail: String,
    /// Seconds for `Retry-After`.
    pub retry_seconds: Option<u64>,
    /// A time to return that is known better than by the kind; may hold parts of a second.
    pub retry_after: Option<Duration>,
}

impl RefusalAnswer {
    /// A refusal of `kind`; `jitter` in 0.0..1.0 spreads the callers' return over the hint's length,
    /// so that callers refused together do not come back together.
    pub fn new(kind: AnswerKind, detail: impl Into<String>, jitter: f64) -> Self {
        let retry_seconds = match kind.row().retry {
            RetryHint::Never => None,
            RetryHint::After(base) => Some(spread_seconds(base, jitter)),
        };
        RefusalAnswer { kind, detail: detail.into(), retry_seconds, retry_after: None }
    }

    /// Names the time to return, where it is known better than by the kind.
    pub fn returning_within(mut self, time: Option<Duration>) -> Self {
        self.retry_after = time;
        self
    }

    /// The problem document for this refusal.
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

    /// The whole HTTP response.
    pub fn response(&self, request_id: &str) -> Response<axum::body::Body> {
        let body = serde_json::to_vec(&self.body(request_id)).unwrap_or_default();
        let mut response = Response::new(axum::body::Body::from(body));
        *response.status_mut() =
            StatusCode::from_u16(self.kind.row().status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Ok(value) = HeaderValue::from_str(request_id) {
            headers.insert(REQUEST_ID_HEADER, value);
        }
        let exact = self.retry_after.map(|time| format!("{:.1}", time.as_secs_f64()));
        if let Some(value) = exact.and_then(|text| HeaderValue::from_str(&text).ok()) {
            headers.insert(header::RETRY_AFTER, value);
        } else if let Some(seconds) = self.retry_seconds {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Between `base` and three times `base`, in whole seconds, at least one.
fn spread_seconds(base: Duration, jitter: f64) -> u64 {
    let spread = base.as_secs_f64() * (1.0 + 2.0 * jitter.clamp(0.0, 1.0));
    (spread.round() as u64).max(1)
}
