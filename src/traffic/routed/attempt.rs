//! Sends a request to one upstream and waits for the head of the answer.

use super::dialect::{AnswerMetadata, SendMetadata};
use super::placing::PlacedRequest;
use super::request::RoutedRequest;
use crate::answer::promises_not_run;
use crate::policy::LoadReport;
use crate::report::record_failed_answer;
use crate::traffic::relay::RELAY_HEADER;
use crate::upstream::{AnswerBody, ConnectionGuard, OpenError, end_to_end_headers};
use http::header::{CONTENT_LENGTH, EXPECT, HOST};
use http::{HeaderMap, Request, StatusCode, response};
use http_body_util::Full;
use slog::info;
use std::fmt;
use std::time::Duration;

/// Longest idle time after which a connection is reused. Longer than the gap between requests to
/// one upstream, since opening connections loads upstreams; shorter than the time after which a
/// network device in between may drop an idle connection without notice.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// Why a send failed before an answer began.
#[derive(Debug)]
pub enum SendError {
    /// No byte was sent.
    NotSent(String),
    /// The upstream reports that it did not run the request.
    NotRun {
        /// True if the upstream is not the expected incarnation.
        is_other_incarnation: bool,
        /// The load that the upstream reports.
        load: Option<LoadReport>,
    },
    /// The upstream failed with a status that would promise the caller that the request did not run,
    /// but did not state so itself. The request may have run.
    UnprovenStatus(StatusCode),
    /// The connection closed before the answer was complete. The request may have run, and the
    /// upstream may have terminated.
    ConnectionBroken(String),
    /// No answer began within this time, although the connection stayed open. The request may have
    /// run.
    Unanswered(Duration),
    /// No usable answer came, although the connection stayed open. The request may have run.
    NoUsableAnswer(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::NotSent(detail) => write!(formatter, "nothing was sent: {detail}"),
            SendError::NotRun { is_other_incarnation: true, .. } => {
                formatter.write_str("the upstream is another incarnation")
            }
            SendError::NotRun { is_other_incarnation: false, .. } => {
                formatter.write_str("the upstream did not run the request")
            }
            SendError::UnprovenStatus(status) => {
                write!(formatter, "the request may have run: status {status}")
            }
            SendError::Unanswered(limit) => {
                write!(formatter, "the request may have run: no answer within {limit:?}")
            }
            SendError::ConnectionBroken(detail) | SendError::NoUsableAnswer(detail) => {
                write!(formatter, "the request may have run: {detail}")
            }
        }
    }
}

/// An answer whose head has been received.
pub struct OpenAnswer {
    pub head: response::Parts,
    pub metadata: AnswerMetadata,
    pub body: AnswerBody,
}

/// The request that an answer names by the id that it echoes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EchoedId {
    /// The request that was sent.
    Own,
    /// Another request.
    Other,
    /// None, although the request has an id.
    Absent,
    /// None, as the request has no id.
    Anonymous,
}

impl EchoedId {
    fn of(metadata: &AnswerMetadata, own_id: Option<&str>) -> Self {
        match (metadata.echoed_id.as_deref(), own_id) {
            (None, None) => EchoedId::Anonymous,
            (None, Some(_)) => EchoedId::Absent,
            (echoed_id, own_id) if echoed_id == own_id => EchoedId::Own,
            (Some(_), _) => EchoedId::Other,
        }
    }

    fn name(self) -> &'static str {
        match self {
            EchoedId::Own => "own",
            EchoedId::Other => "other",
            EchoedId::Absent | EchoedId::Anonymous => "absent",
        }
    }

    /// Why the answer can't be that of the request; `None` if it can.
    fn mismatch(self) -> Option<&'static str> {
        match self {
            EchoedId::Own | EchoedId::Anonymous => None,
            EchoedId::Other => Some("the answer carries the id of another request"),
            EchoedId::Absent => Some("the answer carries no request id"),
        }
    }
}

/// Sends the request. `last_event_id` is the id of the event after which a stream resumes.
pub async fn send(
    request: &RoutedRequest,
    placed: &PlacedRequest,
    last_event_id: Option<u64>,
) -> Result<OpenAnswer, SendError> {
    let (incarnation, place_id) = (placed.name.as_str(), placed.place_id.as_deref());
    let upstream_request = build_upstream_request(request, incarnation, last_event_id, place_id)?;
    let connections = request.state.connections();
    let opened = connections.send(placed.address, upstream_request, MAX_IDLE_TIME).await;
    let (response, connection) = opened.map_err(|fault| match fault {
        OpenError::NotSent { detail } => SendError::NotSent(detail),
        OpenError::Lost { detail } => SendError::ConnectionBroken(detail),
    })?;
    let metadata = request.dialect.read_answer(response.status(), response.headers());
    let echoed_id = EchoedId::of(&metadata, request.metadata.id.as_deref());
    if !response.status().is_success() || !metadata.is_signed {
        log_failed_answer(request, incarnation, response.status(), &metadata, &connection);
    }
    let connection = connection.with_idle_timeout(metadata.idle_timeout);
    // Upstreams echo the id of each request, but not in replies to reservations or idle timeouts,
    // which may arrive late on the same connection. The connection is dropped: what is still to come
    // on it is unreliable too.
    if let Some(detail) = echoed_id.mismatch() {
        return Err(SendError::NoUsableAnswer(detail.to_owned()));
    }
    request.apply_statements(placed.answering_upstream(), &metadata);
    let status = response.status();
    if metadata.is_not_run && echoed_id == EchoedId::Own && !status.is_success() {
        let is_other_incarnation = metadata.is_other_incarnation;
        return Err(SendError::NotRun { is_other_incarnation, load: metadata.load });
    }
    if promises_not_run(status) {
        return Err(SendError::UnprovenStatus(status));
    }
    if status.is_success() && !metadata.is_signed {
        return Err(SendError::NoUsableAnswer("the answer is not signed".to_owned()));
    }
    let (head, body) = AnswerBody::split(&request.parts.method, response, connection);
    Ok(OpenAnswer { head, metadata, body })
}

/// Logs and counts an answer that is not a signed success, with the evidence of whether the upstream
/// ran the request.
fn log_failed_answer(
    request: &RoutedRequest,
    incarnation: &str,
    status: StatusCode,
    metadata: &AnswerMetadata,
    connection: &ConnectionGuard,
) {
    let echoed_id = EchoedId::of(metadata, request.metadata.id.as_deref()).name();
    record_failed_answer(status, echoed_id, metadata.is_not_run);
    info!(request.state.log, "failed answer"; "request" => request.id(), "upstream" => incarnation, "status" => status.as_u16(),
        "echoed_id" => echoed_id, "says_not_run" => metadata.is_not_run, "signed" => metadata.is_signed,
        "rest_ms" => metadata.rest.map(|time| time.as_millis() as u64), "leaving" => metadata.is_leaving, "reused_connection" => connection.is_reused());
}

fn build_upstream_request(
    request: &RoutedRequest,
    incarnation: &str,
    last_event_id: Option<u64>,
    place_id: Option<&str>,
) -> Result<Request<Full<bytes::Bytes>>, SendError> {
    let path = request.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut upstream_request = Request::builder()
        .method(request.parts.method.clone())
        .uri(path)
        .body(Full::new(request.body.clone()))
        .map_err(|error| SendError::NotSent(error.to_string()))?;
    let headers = upstream_request.headers_mut();
    *headers = forwarded_headers(&request.parts.headers);
    let time_left = request.has_deadline.then(|| request.time_left());
    let metadata = SendMetadata {
        deadline: time_left,
        incarnation,
        organisation: request.caller.as_ref().map(|caller| caller.organisation.as_str()),
        last_event_id,
        place_id,
    };
    request.dialect.write_upstream_headers(headers, &metadata);
    Ok(upstream_request)
}

/// The caller's end-to-end headers. `Content-Length` and `Expect` are dropped: the body is buffered
/// and sent whole, with a newly computed length. So is the relay's header, which only daemons set.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end_headers(headers);
    forwarded.remove(CONTENT_LENGTH);
    forwarded.remove(EXPECT);
    forwarded.remove(RELAY_HEADER);
    if let Some(host) = headers.get(HOST) {
        forwarded.insert(HOST, host.clone());
    }
    forwarded
}
