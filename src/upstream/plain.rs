//! Driver for plain HTTP services. Any method and path is accepted; bodies are forwarded unchanged.

use super::answer_body::{AnswerBody, BodyEnd, BodyRead};
use super::connection::{ConnectionGuard, ConnectionPool, DEFAULT_MAX_IDLE_TIME, OpenError};
use super::orca::{ORCA_HEADER, parse_orca_header, parse_orca_json};
use super::{
    AnswerHead, AnswerPiece, AnswerStream, PieceRead, PieceSource, REQUEST_ID_HEADER, UpstreamCall,
    UpstreamDriver,
};
use crate::policy::LoadReport;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, TE, TRAILER, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Path of the polled load report.
const REPORT_PATH: &str = "/load";
/// Maximum size of a polled report, in bytes.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Hop-by-hop headers (RFC 9110, section 7.6.1), which are not forwarded, and `Host`, which is set
/// anew.
const HOP_BY_HOP_HEADERS: [HeaderName; 6] =
    [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, HOST];

/// Copies the end-to-end headers, without hop-by-hop headers and those named in `Connection`.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let is_end_to_end = |name: &HeaderName| {
        !HOP_BY_HOP_HEADERS.contains(name)
            && name != "keep-alive"
            && name != "proxy-connection"
            && !connection_options.iter().any(|option| option == name.as_str())
    };
    headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Builds the HTTP request for the upstream.
fn upstream_request(
    call: &UpstreamCall,
    address: SocketAddr,
) -> Result<Request<Full<Bytes>>, OpenError> {
    let not_sent = |detail: String| OpenError::NotSent { detail };
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(call.uri.clone())
        .body(Full::new(call.body.clone()))
        .map_err(|error| not_sent(error.to_string()))?;
    let headers = request.headers_mut();
    *headers = call.headers.clone();
    headers.remove(CONTENT_LENGTH);
    let host =
        HeaderValue::from_str(&address.to_string()).map_err(|error| not_sent(error.to_string()))?;
    headers.insert(HOST, host);
    let id = HeaderValue::from_str(&call.id).map_err(|error| not_sent(error.to_string()))?;
    headers.insert(REQUEST_ID_HEADER, id);
    Ok(request)
}

/// Sends the call and reads the head of its answer.
pub async fn open_call(
    connections: &Arc<ConnectionPool>,
    call: &UpstreamCall,
    address: SocketAddr,
) -> Result<(Response<Incoming>, ConnectionGuard), OpenError> {
    let request = upstream_request(call, address)?;
    let (response, mut guard) = connections.send(address, request, call.max_idle_time()).await?;
    let is_named = response.headers().contains_key(REQUEST_ID_HEADER);
    if !guard.note_answer(is_named) {
        let detail = format!("an answer {} on a reused connection has no id", response.status());
        return Err(OpenError::Lost { detail });
    }
    Ok((response, guard))
}

/// Extracts the parts of an answer's head that the daemon uses.
pub fn answer_head(response: &Response<Incoming>) -> AnswerHead {
    let text = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
    AnswerHead {
        status: response.status(),
        headers: end_to_end_headers(response.headers()),
        echo: text(REQUEST_ID_HEADER).map(str::to_owned),
        report: text(ORCA_HEADER).and_then(parse_orca_header),
    }
}

/// Polls the load report of an upstream; used by both drivers.
pub async fn poll_report(
    connections: &Arc<ConnectionPool>,
    address: SocketAddr,
) -> Option<LoadReport> {
    let request =
        Request::get(REPORT_PATH).header(HOST, address.to_string()).body(Full::default()).ok()?;
    let poll = async {
        let (response, guard) =
            connections.send(address, request, DEFAULT_MAX_IDLE_TIME).await.ok()?;
        let (head, body) = AnswerBody::split(&Method::GET, response, guard);
        // A truncated report is not valid JSON, so an unstated end does no harm.
        let (body, _) = body.collect(MAX_REPORT_BYTES).await.ok()?;
        (head.status == StatusCode::OK).then(|| parse_orca_json(&body)).flatten()
    };
    tokio::time::timeout(REPORT_TIMEOUT, poll).await.ok().flatten()
}

/// Driver for plain services.
pub struct PlainDriver {
    connections: Arc<ConnectionPool>,
    /// Connections for load reports, whose late replies name no request.
    reports: Arc<ConnectionPool>,
}

impl PlainDriver {
    /// Creates a driver that uses the pool `connections`.
    pub fn new(connections: Arc<ConnectionPool>) -> Self {
        PlainDriver { connections, reports: Arc::default() }
    }
}

impl UpstreamDriver for PlainDriver {
    fn open<'a>(
        &'a self,
        call: &'a UpstreamCall,
        address: SocketAddr,
    ) -> BoxFuture<'a, Result<AnswerStream, OpenError>> {
        Box::pin(async move {
            let (response, guard) = open_call(&self.connections, call, address).await?;
            let head = answer_head(&response);
            let (_, body) = AnswerBody::split(&call.method, response, guard);
            let pieces = BodyPieces { body, sequence: 0 };
            Ok(AnswerStream { head, pieces: Box::new(pieces) })
        })
    }

    fn resume<'a>(
        &'a self,
        _: &'a UpstreamCall,
        _: SocketAddr,
        _: u64,
    ) -> BoxFuture<'a, Result<AnswerStream, OpenError>> {
        Box::pin(async {
            Err(OpenError::Lost { detail: "plain services cannot resume answers".to_owned() })
        })
    }

    fn cancel<'a>(&'a self, _: &'a UpstreamCall, _: SocketAddr) -> BoxFuture<'a, ()> {
        Box::pin(async {})
    }

    fn report(&self, address: SocketAddr) -> BoxFuture<'_, Option<LoadReport>> {
        Box::pin(poll_report(&self.reports, address))
    }

    fn can_resume(&self) -> bool {
        false
    }
}

/// Pieces of a body, of which only a stated end counts as complete.
struct BodyPieces {
    body: AnswerBody,
    sequence: u64,
}

impl PieceSource for BodyPieces {
    fn next(&mut self) -> BoxFuture<'_, PieceRead> {
        Box::pin(async move {
            match self.body.read().await {
                BodyRead::Data(bytes) => {
                    self.sequence += 1;
                    PieceRead::Piece(AnswerPiece {
                        sequence: self.sequence,
                        bytes,
                        echo: None,
                        tokens: 0,
                    })
                }
                BodyRead::Ended(BodyEnd::Stated) => {
                    PieceRead::Ended { prompt_tokens: None, end_mark: Bytes::new() }
                }
                BodyRead::Ended(BodyEnd::Unstated) | BodyRead::Broken(_) => PieceRead::Cut,
            }
        })
    }
}
