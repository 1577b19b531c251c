//! Writes an answer to its caller: one head, then a body that either completes or is visibly
//! aborted.

use crate::answer::{AnswerKind, RAN_HEADER, RefusalAnswer};
use crate::claim::RecordedAnswer;
use crate::upstream::{AnswerHead, REQUEST_ID_HEADER};
use axum::body::Body;
use bytes::Bytes;
use futures_util::{Stream, StreamExt, future, stream};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response};
use std::io;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;

/// Number of pieces buffered between the upstream and a slow caller.
const BODY_CHANNEL_PIECES: usize = 64;
/// An answer that is not a stream is buffered up to this many bytes before its head is sent, so
/// that an upstream that breaks off can still be reported as a refusal.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Size in bytes up to which an answer is recorded for retries; a larger one is recorded without
/// its body.
const MAX_RECORD_BYTES: usize = 16 << 10;

/// The caller closed its connection.
#[derive(Debug, PartialEq, Eq)]
pub struct CallerGone;

/// Writer of one answer to its caller.
pub struct AnswerSink {
    request_id: Arc<str>,
    head_sender: Option<oneshot::Sender<Response<Body>>>,
    body_sender: Option<mpsc::Sender<io::Result<Bytes>>>,
    /// Reports that the body is complete; if it is dropped, the body is aborted.
    end_sender: Option<oneshot::Sender<()>>,
    head: Option<Box<AnswerHead>>,
    buffered: Vec<Bytes>,
    buffered_bytes: usize,
    is_stream: bool,
    record: Option<RecordedAnswer>,
    record_bytes: Vec<u8>,
}

impl AnswerSink {
    /// Creates a sink and the receiver of its response. With `is_stream`, pieces are forwarded at
    /// once.
    pub fn new(request_id: Arc<str>, is_stream: bool) -> (Self, oneshot::Receiver<Response<Body>>) {
        let (sender, receiver) = oneshot::channel();
        let sink = AnswerSink {
            request_id,
            head_sender: Some(sender),
            body_sender: None,
            end_sender: None,
            head: None,
            buffered: Vec::new(),
            buffered_bytes: 0,
            is_stream,
            record: None,
            record_bytes: Vec::new(),
        };
        (sink, receiver)
    }

    /// Completes when the caller closes its connection.
    pub async fn closed(&mut self) {
        match (&mut self.head_sender, &self.body_sender) {
            (Some(head), _) => head.closed().await,
            (None, Some(body)) => body.closed().await,
            (None, None) => std::future::pending().await,
        }
    }

    /// True once any part of an answer was sent to the caller.
    pub fn has_begun(&self) -> bool {
        self.head_sender.is_none()
    }

    /// Sets the upstream's head, which is sent with the first piece. Later heads are ignored.
    pub fn set_head(&mut self, head: AnswerHead) {
        if self.head.is_none() {
            if let Some(record) = &mut self.record {
                let content_type =
                    head.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
                record.status = head.status.as_u16();
                record.content_type = content_type.unwrap_or_default().to_owned();
            }
            self.head = Some(Box::new(head));
        }
    }

    /// Starts recording the answer for retries; its body is kept only if it is small and text.
    pub fn start_record(&mut self) {
        self.record = Some(RecordedAnswer { status: 0, content_type: String::new(), body: None });
    }

    /// Returns the recorded answer; the body is absent if it was streamed, too large or not text.
    pub fn take_record(&mut self) -> Option<RecordedAnswer> {
        let mut record = self.record.take()?;
        let bytes = std::mem::take(&mut self.record_bytes);
        record.body = if bytes.len() <= MAX_RECORD_BYTES && !self.is_stream {
            String::from_utf8(bytes).ok()
        } else {
            None
        };
        Some(record)
    }

    /// Forwards a piece; waits while the caller is slow.
    pub async fn relay(&mut self, bytes: Bytes) -> Result<(), CallerGone> {
        if self.record.is_some() && self.record_bytes.len() <= MAX_RECORD_BYTES {
            self.record_bytes.extend_from_slice(&bytes);
        }
        if self.body_sender.is_none() {
            self.buffered_bytes += bytes.len();
            self.buffered.push(bytes);
            if !self.is_stream && self.buffered_bytes <= MAX_BUFFERED_BYTES {
                return Ok(());
            }
            return self.begin_body().await;
        }
        self.send(Ok(bytes)).await
    }

    async fn begin_body(&mut self) -> Result<(), CallerGone> {
        let (sender, receiver) = mpsc::channel(BODY_CHANNEL_PIECES);
        let (end_sender, end) = oneshot::channel();
        let response = self.response(Body::from_stream(body_stream(receiver, end)));
        let head_sender = self.head_sender.take().ok_or(CallerGone)?;
        head_sender.send(response).map_err(|_| CallerGone)?;
        self.body_sender = Some(sender);
        self.end_sender = Some(end_sender);
        for bytes in std::mem::take(&mut self.buffered) {
            self.send(Ok(bytes)).await?;
        }
        Ok(())
    }

    async fn send(&mut self, frame: io::Result<Bytes>) -> Result<(), CallerGone> {
        match &self.body_sender {
            Some(sender) => sender.send(frame).await.map_err(|_| CallerGone),
            None => Err(CallerGone),
        }
    }

    fn response(&mut self, body: Body) -> Response<Body> {
        let mut response = Response::new(body);
        if let Some(head) = self.head.take() {
            *response.status_mut() = head.status;
            *response.headers_mut() = head.headers;
            response.headers_mut().remove(RAN_HEADER);
        }
        if let Ok(value) = HeaderValue::from_str(&self.request_id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        response
    }

    /// Sends a complete response in place of an upstream's answer.
    pub fn answer(mut self, response: Response<Body>) {
        if let Some(sender) = self.head_sender.take() {
            let _ = sender.send(response);
        }
    }

    /// Completes the answer.
    pub async fn finish(mut self, end_mark: Bytes) -> Result<(), CallerGone> {
        if self.is_stream && self.body_sender.is_none() {
            self.begin_body().await?;
        }
        if let Some(end_sender) = self.end_sender.take() {
            if !end_mark.is_empty() {
                self.send(Ok(end_mark)).await?;
            }
            return end_sender.send(()).map_err(|()| CallerGone);
        }
        let body = std::mem::take(&mut self.buffered).concat();
        let response = self.response(Body::from(body));
        let head_sender = self.head_sender.take().ok_or(CallerGone)?;
        head_sender.send(response).map_err(|_| CallerGone)
    }

    /// Reports that there is no whole answer: as a refusal if nothing was sent yet, otherwise as an
    /// error event, in a stream, and an aborted connection. The body must never look complete.
    pub async fn fail(mut self, refusal: &RefusalAnswer) {
        if let Some(sender) = self.head_sender.take() {
            let _ = sender.send(refusal.response(&self.request_id));
            return;
        }
        if self.is_stream {
            let problem =
                serde_json::to_string(&refusal.body(&self.request_id)).unwrap_or_default();
            let _ = self.send(Ok(Bytes::from(format!("event: error\ndata: {problem}\n\n")))).await;
        }
        let cut = io::Error::new(io::ErrorKind::UnexpectedEof, kind_name(refusal.kind));
        let _ = self.send(Err(cut)).await;
    }
}

/// The pieces of a body, followed by an error unless `end` reports that they are complete: the
/// sender may also be dropped by a panic.
fn body_stream(
    pieces: mpsc::Receiver<io::Result<Bytes>>,
    end: oneshot::Receiver<()>,
) -> impl Stream<Item = io::Result<Bytes>> {
    let cut = async { end.await.err().map(|_| Err(io::ErrorKind::UnexpectedEof.into())) };
    ReceiverStream::new(pieces).chain(stream::once(cut).filter_map(future::ready))
}

fn kind_name(kind: AnswerKind) -> &'static str {
    kind.row().name
}
