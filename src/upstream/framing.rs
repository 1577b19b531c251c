//! How the body of an HTTP/1.1 answer is delimited (RFC 9112, section 6.3), and what its end proves.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};

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

    /// True if the end of the body shows that it is complete.
    pub fn proves_end(self) -> bool {
        self != AnswerFraming::Connection
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
