//! One send of a request to one upstream, up to the head of its answer.

use super::carry::CarriedRequest;
use super::dialect::{AnswerFacts, SendFacts};
use crate::policy::LoadReport;
use crate::upstream::{ConnectionGuard, OpenFault, end_to_end_headers};
use http::header::{CONTENT_LENGTH, EXPECT, HOST};
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// A kept connection is used again within this time of its last answer. Longer than the gap between requests to
/// one upstream, since new connections cost the upstreams; shorter than what lies between tells of one that went
/// silent.
const KEPT_ALIVE: Duration = Duration::from_secs(10);

/// How a send ended before an answer began.
#[derive(Debug)]
pub enum AttemptFault {
    /// No byte left this machine.
    NotSent(String),
    /// The upstream says that it did not run the request.
    NotRun {
        /// True if it is another incarnation than the one meant.
        is_other: bool,
        /// Its load.
        load: Option<LoadReport>,
    },
    /// The connection ended before the answer did: it may have run, and the upstream may have ended.
    Broken(String),
    /// It may have run; the connection held.
    Lost(String),
}

impl fmt::Display for AttemptFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AttemptFault::NotSent(detail) => write!(formatter, "nothing was sent: {detail}"),
            AttemptFault::NotRun { is_other: true, .. } => {
                formatter.write_str("another incarnation")
            }
            AttemptFault::NotRun { is_other: false, .. } => {
                formatter.write_str("it did not run it")
            }
            AttemptFault::Broken(detail) | AttemptFault::Lost(detail) => {
                write!(formatter, "it may have run: {detail}")
            }
        }
    }
}

/// An answer whose head has come.
pub struct OpenAnswer {
    pub response: Response<Incoming>,
    pub facts: AnswerFacts,
    pub connection: ConnectionGuard,
}

/// Sends the request; `last_event` is the event after which a stream goes on.
pub async fn send(
    request: &CarriedRequest,
    address: SocketAddr,
    incarnation: &str,
    last_event: Option<u64>,
    place: Option<&str>,
) -> Result<OpenAnswer, AttemptFault> {
    let call = make_call(request, incarnation, last_event, place)?;
    let connections = request.state.connections();
    let sent = connections.send(address, call, KEPT_ALIVE).await;
    let (response, connection) = sent.map_err(|fault| match fault {
        OpenFault::NotSent { detail } => AttemptFault::NotSent(detail),
        OpenFault::Lost { detail } => AttemptFault::Broken(detail),
    })?;
    let facts = request.dialect.read_answer(response.status(), response.headers());
    let connection = connection.kept_for(facts.keeps_idle);
    let is_own = facts.echo.is_none() || facts.echo == request.facts.id;
    if !is_own {
        // Another request's late answer: what else comes on this connection is not to be trusted either.
        return Err(AttemptFault::Lost("the answer bears another request's id".to_owned()));
    }
    if facts.is_not_run {
        let is_other = facts.is_other_incarnation;
        return Err(AttemptFault::NotRun { is_other, load: facts.load });
    }
    if response.status().is_success() && !facts.is_signed {
        return Err(AttemptFault::Lost("the answer is not signed".to_owned()));
    }
    Ok(OpenAnswer { response, facts, connection })
}

fn make_call(
    request: &CarriedRequest,
    incarnation: &str,
    last_event: Option<u64>,
    place: Option<&str>,
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
    let facts = SendFacts {
        deadline: left,
        incarnation,
        organisation: request.caller.as_ref().map(|caller| caller.organisation.as_str()),
        last_event,
        place,
    };
    request.dialect.write_send(headers, &facts);
    Ok(call)
}

/// The caller's headers that concern more than one connection. The body is sent whole, with a length of ours.
fn passed_headers(headers: &HeaderMap) -> HeaderMap {
    let mut passed = end_to_end_headers(headers);
    passed.remove(CONTENT_LENGTH);
    passed.remove(EXPECT);
    if let Some(host) = headers.get(HOST) {
        passed.insert(HOST, host.clone());
    }
    passed
}
