//! Upstream drivers, used as trait objects: one for model engines and one for plain services.

mod answer_body;
mod connection;
mod engine;
mod orca;
mod plain;
mod platform_list;

pub use answer_body::{AnswerBody, AnswerFraming, BodyEnd, BodyError, BodyRead};
pub use connection::{
    ConnectionGuard, ConnectionPool, ConnectionState, DEFAULT_MAX_IDLE_TIME, OpenError,
    can_connect, connection_chart,
};
pub use engine::EngineDriver;
pub use orca::{ORCA_HEADER, parse_orca_header, parse_orca_json};
pub use plain::{PlainDriver, end_to_end_headers};
pub use platform_list::{
    ListError, ListReading, PlatformList, UnreadEntry, UpstreamLister, VmRow, VmState,
};

use crate::policy::LoadReport;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{HeaderMap, Method, StatusCode, Uri};
use std::net::SocketAddr;
use std::sync::Arc;

/// Header with the request id, sent to the upstream and echoed in its answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamCall {
    /// Request id assigned by the daemon and echoed by the upstream.
    pub id: Arc<str>,
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// True if the caller asked for a stream of server-sent events.
    pub wants_stream: bool,
    /// True if the request may safely be sent more than once.
    pub is_idempotent: bool,
}

impl UpstreamCall {
    /// Returns the longest idle time after which a pooled connection may carry this call. It is
    /// zero for a request that is not idempotent: a dead connection would lose it, and it could not
    /// be sent again.
    fn max_idle_time(&self) -> std::time::Duration {
        if self.is_idempotent { DEFAULT_MAX_IDLE_TIME } else { std::time::Duration::ZERO }
    }
}

/// Status and headers of an upstream's answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    pub status: StatusCode,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Request id echoed in the answer.
    pub echo: Option<String>,
    /// Load report in the answer's headers.
    pub report: Option<LoadReport>,
}

/// Result of reading from an answer.
#[derive(Clone, Debug)]
pub enum PieceRead {
    /// The next piece.
    Piece(AnswerPiece),
    /// The answer is complete: its end marker or declared length was reached.
    Ended {
        /// Number of prompt tokens reported by the engine.
        prompt_tokens: Option<u32>,
        /// End marker to forward to the caller; empty if the end of the body marks the end.
        end_mark: Bytes,
    },
    /// The connection ended before the answer was complete.
    Cut,
}

/// A piece of an answer.
#[derive(Clone, Debug)]
pub struct AnswerPiece {
    /// Sequence number, starting at 1.
    pub sequence: u64,
    /// Bytes to forward to the caller.
    pub bytes: Bytes,
    /// Request id echoed in the piece.
    pub echo: Option<String>,
    /// Number of output tokens.
    pub tokens: u32,
}

/// Source of the pieces of one answer.
pub trait PieceSource: Send {
    /// Reads the next piece. Must not be called again after `Ended` or `Cut`. Cancel-safe: dropping
    /// the future loses no piece.
    fn next(&mut self) -> BoxFuture<'_, PieceRead>;
}

/// An answer being read.
pub struct AnswerStream {
    /// Status and headers.
    pub head: AnswerHead,
    /// Source of the body's pieces.
    pub pieces: Box<dyn PieceSource>,
}

/// Protocol of one kind of upstream.
pub trait UpstreamDriver: Send + Sync {
    /// Dispatches a request. No other function starts work on an upstream.
    fn open<'a>(
        &'a self,
        call: &'a UpstreamCall,
        address: SocketAddr,
    ) -> BoxFuture<'a, Result<AnswerStream, OpenError>>;

    /// Continues reading the answer to a dispatched request on a new connection, after piece
    /// `after`.
    fn resume<'a>(
        &'a self,
        call: &'a UpstreamCall,
        address: SocketAddr,
        after: u64,
    ) -> BoxFuture<'a, Result<AnswerStream, OpenError>>;

    /// Asks the upstream to cancel a request. Failures are ignored.
    fn cancel<'a>(&'a self, call: &'a UpstreamCall, address: SocketAddr) -> BoxFuture<'a, ()>;

    /// Polls a load report.
    fn report(&self, address: SocketAddr) -> BoxFuture<'_, Option<LoadReport>>;

    /// Returns whether a connection can be opened; used for upstreams that were unreachable.
    fn probe(&self, address: SocketAddr) -> BoxFuture<'_, bool> {
        Box::pin(connection::can_connect(address))
    }

    /// Returns whether answers can be resumed and requests cancelled.
    fn can_resume(&self) -> bool;
}
