//! The connections of callers: what ends one below its answers, and the answers that end with it.

use axum::body::Body;
use bytes::Bytes;
use http::{Method, Request, Version};
use http_body::{Frame, SizeHint};
use metrics::counter;
use slog::{Logger, info};
use std::error::Error;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Time within which a caller must take a byte of what is written to it. Until then its answer is not
/// read further and occupies its place at the upstream.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of failed connections that are logged in a [`LOG_INTERVAL`]; all are counted.
const MAX_LOGGED_FAILURES: u64 = 32;
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What is known of the answers on a connection.
#[derive(Debug, Default)]
pub(super) struct ConnectionRecord {
    /// Answers that were dropped before their end.
    unfinished: AtomicU64,
    /// True if an answer was cut.
    is_cut: AtomicBool,
    /// True if only the end of the connection marks the end of an answer.
    is_unframed: AtomicBool,
}

impl ConnectionRecord {
    /// Begins to follow the answer to a request.
    pub fn begin<B>(self: &Arc<Self>, request: &Request<B>) -> AnswerRecord {
        if request.version() == Version::HTTP_10 {
            self.is_unframed.store(true, Ordering::Relaxed);
        }
        let is_whole = request.method() == Method::HEAD;
        AnswerRecord { connection: Arc::clone(self), stage: "waiting", is_whole }
    }

    /// Answers that were dropped before their end.
    fn unfinished(&self) -> u64 {
        self.unfinished.load(Ordering::Relaxed)
    }
}

/// An answer on a connection, from its request to its end.
#[derive(Debug)]
pub(super) struct AnswerRecord {
    connection: Arc<ConnectionRecord>,
    stage: &'static str,
    is_whole: bool,
}

impl Drop for AnswerRecord {
    fn drop(&mut self) {
        if !self.is_whole {
            self.connection.unfinished.fetch_add(1, Ordering::Relaxed);
            counter!("tarragonknot_answers_unfinished_total", "stage" => self.stage).increment(1);
        }
    }
}

/// The body of an answer, which notes how it ends.
#[derive(Debug)]
pub(super) struct FollowedBody {
    body: Body,
    record: AnswerRecord,
}

impl FollowedBody {
    pub fn new(body: Body, mut record: AnswerRecord) -> Self {
        record.stage = "answering";
        record.is_whole |= http_body::Body::is_end_stream(&body);
        FollowedBody { body, record }
    }
}

impl http_body::Body for FollowedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.record.is_whole = true,
            Poll::Ready(Some(Err(_))) => {
                self.record.connection.is_cut.store(true, Ordering::Relaxed);
            }
            Poll::Ready(Some(Ok(_))) => self.record.is_whole |= self.body.is_end_stream(),
            Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The socket of a caller.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    record: Arc<ConnectionRecord>,
    /// Runs while the caller takes no bytes.
    write_limit: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub fn new(stream: TcpStream, record: Arc<ConnectionRecord>) -> Self {
        CallerStream { stream, record, write_limit: None }
    }

    /// Fails a write that has been pending for too long.
    fn limit_write<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.write_limit = None;
            return written;
        }
        let limit =
            self.write_limit.get_or_insert_with(|| Box::pin(tokio::time::sleep(WRITE_TIMEOUT)));
        limit.as_mut().poll(context).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Drop for CallerStream {
    /// Without frames, only a reset tells the caller that its answer was cut.
    fn drop(&mut self) {
        let record = &self.record;
        if record.is_unframed.load(Ordering::Relaxed) && record.is_cut.load(Ordering::Relaxed) {
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.limit_write(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.limit_write(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Logs and counts connections of callers that failed.
#[derive(Debug)]
pub(super) struct FailureLog {
    log: Logger,
    /// Start of the current interval, lines in it, and lines left out since the last one.
    lines: Mutex<(Instant, u64, u64)>,
}

impl FailureLog {
    pub fn new(log: Logger) -> Self {
        FailureLog { log, lines: Mutex::new((Instant::now(), 0, 0)) }
    }

    /// Records the failure of a connection. A cut answer has a line of its own, and no answer ends
    /// with a connection that carries none.
    pub fn record(&self, record: &ConnectionRecord, error: &(dyn Error + 'static)) {
        let cause = failure_cause(error);
        counter!("tarragonknot_caller_connections_failed_total", "cause" => cause).increment(1);
        if cause == "answer-cut" || record.unfinished() == 0 {
            return;
        }
        if let Some(omitted) = self.begin_line() {
            info!(self.log, "caller's connection failed"; "cause" => cause, "error" => error_text(error),
                "unfinished" => record.unfinished(), "lines_omitted" => omitted);
        }
    }

    /// Takes one of the lines of the current interval; returns the number of those left out before.
    fn begin_line(&self) -> Option<u64> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let (start, count, omitted) = &mut *lines;
        if start.elapsed() >= LOG_INTERVAL {
            (*start, *count) = (Instant::now(), 0);
        }
        if *count >= MAX_LOGGED_FAILURES {
            *omitted += 1;
            return None;
        }
        *count += 1;
        Some(std::mem::take(omitted))
    }
}

/// Name of what ended a connection.
fn failure_cause(error: &(dyn Error + 'static)) -> &'static str {
    let kinds = causes_of(error).filter_map(|error| error.downcast_ref::<io::Error>());
    let kind = kinds.map(io::Error::kind).next();
    match (error.downcast_ref::<hyper::Error>(), kind) {
        (Some(error), _) if error.is_user() => "answer-cut",
        (Some(error), _) if error.is_incomplete_message() => "caller-closed",
        (Some(error), _) if error.is_timeout() => "head-timeout",
        (Some(error), _) if error.is_parse() => "bad-request",
        (_, Some(io::ErrorKind::TimedOut)) => "caller-takes-nothing",
        (_, Some(io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe)) => "caller-reset",
        _ => "other",
    }
}

/// An error and its causes.
fn causes_of<'a>(
    error: &'a (dyn Error + 'static),
) -> impl Iterator<Item = &'a (dyn Error + 'static)> {
    std::iter::successors(Some(error), |error| (*error).source())
}

/// The error with its causes.
fn error_text(error: &(dyn Error + 'static)) -> String {
    causes_of(error).map(ToString::to_string).collect::<Vec<_>>().join(": ")
}
