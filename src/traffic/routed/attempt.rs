//! Sends a request to one upstream and waits for the head of the answer.

use super::carry::CarriedRequest;
use super::dialect::{AnswerMetadata, SendMetadata};
use crate::policy::LoadReport;
use crate::upstream::{ConnectionGuard, OpenFault, end_to_end_headers};
use http::header::{CONTENT_LENGTH, EXPECT, HOST};
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest idle time after which a connection is reused. Longer than the gap between requests to
/// one upstream, since opening connections loads upstreams; shorter than the time after which a
/// network device in between may drop an idle connection without notice.
const KEPT_ALIVE: Duration = Duration::from_secs(10);

/// Why a send failed before an answer began.
#[derive(Debug)]
pub enum AttemptFault {
    /// No byte was sent.
    NotSent(String),
    /// The upstream reports that it did not run the request.
    NotRun {
        /// True if the upstream is not the expected incarnation.
        is_other: bool,
        /// The load that the upstream reports.
        load: Option<LoadReport>,
    },
    /// The connection closed before the answer was complete. The request may have run, and the
    /// upstream may have terminated.
    Broken(String),
    /// No usable answer came, although the connection stayed open. The request may have run.
    Lost(String),
}

impl fmt::Display for AttemptFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AttemptFault::NotSent(detail) => write!(formatter, "nothing was sent: {detail}"),
            AttemptFault::NotRun { is_other: true, .. } => {
                formatter.write_str("the upstream is another incarnation")
            }
            AttemptFault::NotRun { is_other: false, .. } => {
                formatter.write_str("the upstream did not run the request")
            }
            AttemptFault::Broken(detail) | AttemptFault::Lost(detail) => {
                write!(formatter, "the request may have run: {detail}")
            }
        }
    }
}

/// An answer whose head has been received.
pub struct OpenAnswer {
    pub response: Response<Incoming>,
    pub metadata: AnswerMetadata,
    pub connection: ConnectionGuard,
}

/// Sends the request. `last_event_id` is the id of the event after which a stream resumes.
pub async fn send(
    request: &CarriedRequest,
    address: SocketAddr,
    incarnation: &str,
    last_event_id: Option<u64>,
    place_id: Option<&str>,
) -> Result<OpenAnswer, AttemptFault> {
    let call = make_call(request, incarnation, last_event_id, place_id)?;
    let connections = request.state.connections();
    let sent = connections.send(address, call, KEPT_ALIVE).await;
    let (response, connection) = sent.map_err(|fault| match fault {
        OpenFault::NotSent { detail } => AttemptFault::NotSent(detail),
        OpenFault::Lost { detail } => AttemptFault::Broken(detail),
    })?;
    let metadata = request.dialect.read_answer(response.status(), response.headers());
    let connection = connection.kept_for(metadata.idle_timeout);
    let is_own = metadata.echoed_id.is_none() || metadata.echoed_id == request.metadata.id;
    if !is_own {
        // A late answer to another request: the rest of the connection is unreliable too.
        return Err(AttemptFault::Lost("the answer carries the id of another request".to_owned()));
    }
    if metadata.is_not_run {
        let is_other = metadata.is_other_incarnation;
        return Err(AttemptFault::NotRun { is_other, load: metadata.load });
    }
    if response.status().is_success() && !metadata.is_signed {
        return Err(AttemptFault::Lost("the answer is not signed".to_owned()));
    }
    Ok(OpenAnswer { response, metadata, connection })
}

fn make_call(
    request: &CarriedRequest,
    incarnation: &str,
    last_event_id: Option<u64>,
    place_id: Option<&str>,
) -> Result<Request<Full<bytes::Bytes>>, AttemptFault> {
    let path = request.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut call = Request::builder()
        .method(request.parts.method.clone())
        .uri(path)
        .body(Full::new(request.body.clone()))
        .map_err(|error| AttemptFault::NotSent(error.to_string()))?;
    let headers = call.headers_mut();
    *headers = passed_headers(&request.parts.headers);
    let left = request.has_deadline.then(|| request.time_left());
    let metadata = SendMetadata {
        deadline: left,
        incarnation,
        organisation: request.caller.as_ref().map(|caller| caller.organisation.as_str()),
        last_event_id,
        place_id,
    };
    request.dialect.write_upstream_headers(headers, &metadata);
    Ok(call)
}

/// The caller's end-to-end headers. `Content-Length` and `Expect` are dropped: the body is buffered
/// and sent whole, with a newly computed length.
fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = end_to_end_headers(headers);
    passed.remove(CONTENT_LENGTH);
    passed.remove(EXPECT);
    if let Some(host) = headers.get(HOST) {
        passed.insert(HOST, host.clone());
    }
    passed
}
