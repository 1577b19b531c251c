//! The body of an HTTP/1.1 answer: how it is delimited (RFC 9112, section 6.3), and what its end
//! proves.

use super::connection::ConnectionGuard;
use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, Response, StatusCode, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use snafu::Snafu;

/// How the end of an answer's body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFraming {
    /// The answer has no body.
    NoBody,
    /// A declared length.
    Length,
    /// Chunks, of which the last one is marked.
    Chunks,
    /// The body lasts until the connection closes, so that a truncated one looks like a whole one.
    Connection,
}

impl AnswerFraming {
    /// Framing of the answer to a request of this method.
    pub fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        let has_no_body = method == Method::HEAD
            || status.is_informational()
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        if has_no_body {
            AnswerFraming::NoBody
        } else if let Some(codings) = headers.get_all(TRANSFER_ENCODING).iter().next_back() {
            // Only chunks as the last coding mark their end.
            let last = codings.to_str().unwrap_or_default().rsplit(',').next().unwrap_or_default();
            match last.trim().eq_ignore_ascii_case("chunked") {
                true => AnswerFraming::Chunks,
                false => AnswerFraming::Connection,
            }
        } else if headers.contains_key(CONTENT_LENGTH) {
            AnswerFraming::Length
        } else {
            AnswerFraming::Connection
        }
    }

    /// What the end of a body with this framing proves.
    fn end(self) -> BodyEnd {
        match self {
            AnswerFraming::NoBody | AnswerFraming::Length | AnswerFraming::Chunks => {
                BodyEnd::Stated
            }
            AnswerFraming::Connection => BodyEnd::Unstated,
        }
    }

    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AnswerFraming::NoBody => "none",
            AnswerFraming::Length => "length",
            AnswerFraming::Chunks => "chunks",
            AnswerFraming::Connection => "connection",
        }
    }
}

/// What the end of a body proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The upstream marked the end, so the body is what it meant to send.
    Stated,
    /// The connection was closed without an error. A truncated body ends like this too.
    Unstated,
}

/// Result of reading from a body.
#[derive(Debug)]
pub enum BodyRead {
    /// The next bytes.
    Data(Bytes),
    /// The body has ended.
    Ended(BodyEnd),
    /// The connection broke before the end of the body.
    Broken(hyper::Error),
}

/// Why a body could not be read whole.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection broke before the end of the body.
    #[snafu(display("{source}"))]
    Incomplete {
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The body is too large.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// The maximum size, in bytes.
        limit: usize,
    },
}

/// The body of an answer, with the connection that it is read from. The connection returns to its
/// pool once the body was read to a stated end, and is closed if the body is dropped before.
pub struct AnswerBody {
    body: Incoming,
    framing: AnswerFraming,
    connection: Option<ConnectionGuard>,
}

impl AnswerBody {
    /// Splits an answer to a request of this method.
    pub fn split(
        method: &Method,
        answer: Response<Incoming>,
        connection: ConnectionGuard,
    ) -> (response::Parts, Self) {
        let (head, body) = answer.into_parts();
        let framing = AnswerFraming::of(method, head.status, &head.headers);
        (head, AnswerBody { body, framing, connection: Some(connection) })
    }

    /// How the body is delimited.
    pub fn framing(&self) -> AnswerFraming {
        self.framing
    }

    /// Reads the next bytes. Must not be called again after the end. Cancel-safe.
    pub async fn read(&mut self) -> BodyRead {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return BodyRead::Data(bytes);
                    }
                }
                Some(Err(error)) => return BodyRead::Broken(error),
                None => return BodyRead::Ended(self.end()),
            }
        }
    }

    /// Reads the whole body, of at most `limit` bytes.
    pub async fn collect(mut self, limit: usize) -> Result<(Bytes, BodyEnd), BodyError> {
        let mut collected = BytesMut::new();
        loop {
            match self.read().await {
                BodyRead::Data(bytes) if collected.len() + bytes.len() > limit => {
                    return TooLargeSnafu { limit }.fail();
                }
                BodyRead::Data(bytes) => collected.extend_from_slice(&bytes),
                BodyRead::Ended(end) => return Ok((collected.freeze(), end)),
                BodyRead::Broken(source) => return Err(BodyError::Incomplete { source }),
            }
        }
    }

    fn end(&mut self) -> BodyEnd {
        let end = self.framing.end();
        let connection = self.connection.take();
        connection.filter(|_| end == BodyEnd::Stated).into_iter().for_each(ConnectionGuard::finish);
        end
    }
}
