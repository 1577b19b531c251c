//! Driver for model engines with the chat and completions JSON API. Answers are server-sent events
//! (WHATWG HTML, section 9.2) or one complete JSON document.
//!
//! Requests are resumed and cancelled by id: `GET /v1/requests/ID` with `Last-Event-ID`, and
//! `DELETE` on the same path. Each event has its sequence number as event id and the request id in
//! its JSON.

use super::answer_body::{AnswerBody, BodyEnd, BodyRead};
use super::connection::{ConnectionGuard, ConnectionPool, OpenError};
use super::plain::{answer_head, open_call, poll_report};
use super::{AnswerPiece, AnswerStream, PieceRead, PieceSource, UpstreamCall, UpstreamDriver};
use crate::policy::LoadReport;
use bytes::{Bytes, BytesMut};
use eventsource_stream::{Event, EventStream, Eventsource};
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use http::header::{ACCEPT, CONTENT_TYPE, HOST};
use http::{HeaderValue, Method, Request, Response};
use http_body_util::{BodyDataStream, Full};
use hyper::body::Incoming;
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum size of an answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time for the end of a body after the end marker.
const END_TIMEOUT: Duration = Duration::from_millis(20);
/// Data of the last event of a stream.
const END_MARK: &str = "[DONE]";

/// Fields of an answer or of a streamed chunk that the daemon reads.
#[derive(Debug, Deserialize)]
struct ChunkFields {
    #[serde(default)]
    id: Option<String>,
    #[serde(default)]
    usage: Option<UsageFields>,
}

#[derive(Debug, Default, Deserialize)]
struct UsageFields {
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
}

/// Driver for model engines.
pub struct EngineDriver {
    connections: Arc<ConnectionPool>,
    /// Connections for load reports, whose late replies name no request.
    reports: Arc<ConnectionPool>,
}

impl EngineDriver {
    /// Creates a driver that uses the pool `connections`.
    pub fn new(connections: Arc<ConnectionPool>) -> Self {
        EngineDriver { connections, reports: Arc::default() }
    }

    /// Builds a request without a body for the resource of a dispatched call.
    fn request_by_id(
        call: &UpstreamCall,
        address: SocketAddr,
        method: Method,
    ) -> Result<Request<Full<Bytes>>, OpenError> {
        Request::builder()
            .method(method)
            .uri(format!("/v1/requests/{}", call.id))
            .header(HOST, address.to_string())
            .body(Full::default())
            .map_err(|error| OpenError::Lost { detail: error.to_string() })
    }
}

fn is_event_stream(response: &Response<Incoming>) -> bool {
    let content_type = response.headers().get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|text| text.starts_with("text/event-stream"))
}

fn read_answer(
    method: &Method,
    response: Response<Incoming>,
    guard: ConnectionGuard,
) -> AnswerStream {
    let head = answer_head(&response);
    let pieces: Box<dyn PieceSource> = if is_event_stream(&response) {
        let events = BodyDataStream::new(response.into_body()).eventsource();
        Box::new(EventPieces { events, guard: Some(guard), prompt_tokens: None, end_by: None })
    } else {
        let (_, body) = AnswerBody::split(method, response, guard);
        Box::new(WholeAnswer { body: Some(body), collected: BytesMut::new(), prompt_tokens: None })
    };
    AnswerStream { head, pieces }
}

impl UpstreamDriver for EngineDriver {
    fn open<'a>(
        &'a self,
        call: &'a UpstreamCall,
        address: SocketAddr,
    ) -> BoxFuture<'a, Result<AnswerStream, OpenError>> {
        Box::pin(async move {
            let (response, guard) = open_call(&self.connections, call, address).await?;
            Ok(read_answer(&call.method, response, guard))
        })
    }

    fn resume<'a>(
        &'a self,
        call: &'a UpstreamCall,
        address: SocketAddr,
        after: u64,
    ) -> BoxFuture<'a, Result<AnswerStream, OpenError>> {
        Box::pin(async move {
            let mut request = Self::request_by_id(call, address, Method::GET)?;
            request.headers_mut().insert("last-event-id", HeaderValue::from(after));
            let media_type =
                if call.wants_stream { "text/event-stream" } else { "application/json" };
            request.headers_mut().insert(ACCEPT, HeaderValue::from_static(media_type));
            let (response, guard) = self.connections.send(address, request, Duration::ZERO).await?;
            // Any other answer concerns the resume request only: passed on, its status would deny
            // that the request ran, and its body would end a truncated stream as complete.
            let is_continued = response.status().is_success()
                && (is_event_stream(&response) || !call.wants_stream);
            if !is_continued {
                let detail =
                    format!("the engine answered {} to the resume request", response.status());
                return Err(OpenError::Lost { detail });
            }
            Ok(read_answer(&Method::GET, response, guard))
        })
    }

    fn cancel<'a>(&'a self, call: &'a UpstreamCall, address: SocketAddr) -> BoxFuture<'a, ()> {
        Box::pin(async move {
            let Ok(request) = Self::request_by_id(call, address, Method::DELETE) else { return };
            let _ = tokio::time::timeout(
                CANCEL_TIMEOUT,
                self.connections.send(address, request, Duration::ZERO),
            )
            .await;
        })
    }

    fn report(&self, address: SocketAddr) -> BoxFuture<'_, Option<LoadReport>> {
        Box::pin(poll_report(&self.reports, address))
    }

    fn can_resume(&self) -> bool {
        true
    }
}

struct EventPieces {
    events: EventStream<BodyDataStream<Incoming>>,
    guard: Option<ConnectionGuard>,
    prompt_tokens: Option<u32>,
    /// When the connection is given up, once the end marker was read.
    end_by: Option<Instant>,
}

impl EventPieces {
    /// Releases the connection after the end marker. Only the end of the body may follow the
    /// marker; the connection returns to the pool if that arrives in time and is closed otherwise.
    async fn finish(&mut self, end_by: Instant) {
        let rest = tokio::time::timeout_at(end_by, self.events.next()).await;
        if matches!(rest, Ok(None)) {
            self.guard.take().into_iter().for_each(ConnectionGuard::finish);
        }
        self.guard = None;
    }

    fn piece(&mut self, event: &Event) -> AnswerPiece {
        let fields: Option<ChunkFields> = serde_json::from_str(&event.data).ok();
        let usage = fields.as_ref().and_then(|fields| fields.usage.as_ref());
        self.prompt_tokens = usage.map(|usage| usage.prompt_tokens).or(self.prompt_tokens);
        let bytes = Bytes::from(format!("id: {}\ndata: {}\n\n", event.id, event.data));
        AnswerPiece {
            sequence: event.id.parse().unwrap_or(0),
            bytes,
            echo: fields.and_then(|fields| fields.id),
            tokens: 1,
        }
    }
}

impl PieceSource for EventPieces {
    fn next(&mut self) -> BoxFuture<'_, PieceRead> {
        Box::pin(async move {
            let end_by = match self.end_by {
                Some(end_by) => end_by,
                None => match self.events.next().await {
                    Some(Ok(event)) if event.data == END_MARK => Instant::now() + END_TIMEOUT,
                    Some(Ok(event)) => return PieceRead::Piece(self.piece(&event)),
                    Some(Err(_)) | None => return PieceRead::Cut,
                },
            };
            self.end_by = Some(end_by);
            self.finish(end_by).await;
            let end_mark = Bytes::from_static(b"data: [DONE]\n\n");
            PieceRead::Ended { prompt_tokens: self.prompt_tokens, end_mark }
        })
    }
}

/// An answer that is not streamed. It is read to its end and returned as one piece.
struct WholeAnswer {
    /// `None` once the whole body was read.
    body: Option<AnswerBody>,
    collected: BytesMut,
    prompt_tokens: Option<u32>,
}

impl PieceSource for WholeAnswer {
    fn next(&mut self) -> BoxFuture<'_, PieceRead> {
        Box::pin(async move {
            let Some(body) = &mut self.body else {
                return PieceRead::Ended {
                    prompt_tokens: self.prompt_tokens,
                    end_mark: Bytes::new(),
                };
            };
            loop {
                match body.read().await {
                    BodyRead::Data(bytes)
                        if self.collected.len() + bytes.len() <= MAX_ANSWER_BYTES =>
                    {
                        self.collected.extend_from_slice(&bytes)
                    }
                    BodyRead::Ended(BodyEnd::Stated) => break,
                    _ => return PieceRead::Cut,
                }
            }
            self.body = None;
            let bytes = std::mem::take(&mut self.collected).freeze();
            let fields: Option<ChunkFields> = serde_json::from_slice(&bytes).ok();
            let usage = fields.as_ref().and_then(|fields| fields.usage.as_ref());
            self.prompt_tokens = usage.map(|usage| usage.prompt_tokens);
            let tokens = usage.map_or(0, |usage| usage.completion_tokens);
            let echo = fields.as_ref().and_then(|fields| fields.id.clone());
            PieceRead::Piece(AnswerPiece { sequence: 1, bytes, echo, tokens })
        })
    }
}
