//! Drivers for upstreams, behind trait objects: model engines and plain services.

mod connection;
mod engine;
mod orca;
mod plain;
mod platform_list;

pub use connection::{
    ConnectionGuard, ConnectionPool, ConnectionState, OpenFault, PROVEN_ALIVE, can_connect,
    connection_chart,
};
pub use engine::EngineDriver;
pub use orca::{ORCA_HEADER, parse_orca_header, parse_orca_json};
pub use plain::{PlainDriver, end_to_end_headers};
pub use platform_list::{
    ListFault, ListReading, PlatformList, UnreadEntry, UpstreamLister, VmRow, VmState,
};

use crate::policy::LoadReport;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{HeaderMap, Method, StatusCode, Uri};
use std::net::SocketAddr;
use std::sync::Arc;

/// The header that carries a request's id to an upstream and back.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// One request as it goes to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamCall {
    /// The daemon's id for the request; the upstream echoes it.
    pub id: Arc<str>,
    /// HTTP method.
    pub method: Method,
    /// Path and query at the upstream.
    pub uri: Uri,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// True if the caller wants a stream of events.
    pub wants_stream: bool,
    /// True if repeating the request is harmless.
    pub is_idempotent: bool,
}

impl UpstreamCall {
    /// How long a kept connection may have been idle that carries this call: one that went silent swallows it,
    /// and only idempotent work may then be sent again.
    fn most_idle(&self) -> std::time::Duration {
        if self.is_idempotent { PROVEN_ALIVE } else { std::time::Duration::ZERO }
    }
}

/// The head of an upstream's answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The request id that the answer carries.
    pub echo: Option<String>,
    /// A load report that came with the answer.
    pub report: Option<LoadReport>,
}

/// One read from an answer.
#[derive(Clone, Debug)]
pub enum PieceRead {
    /// A piece.
    Piece(AnswerPiece),
    /// The answer's own end mark or declared length was reached.
    Ended {
        /// Prompt tokens as the engine counted them.
        prompt_tokens: Option<u32>,
        /// Bytes of the end mark, for the caller; empty where the body's own end is the mark.
        end_mark: Bytes,
    },
    /// The connection ended before the answer did.
    Cut,
}

/// A piece of an answer.
#[derive(Clone, Debug)]
pub struct AnswerPiece {
    /// Its number, counted from 1.
    pub sequence: u64,
    /// Bytes for the caller.
    pub bytes: Bytes,
    /// The request id that the piece carries.
    pub echo: Option<String>,
    /// Output tokens in it.
    pub tokens: u32,
}

/// Where the pieces of one answer come from.
pub trait PieceSource: Send {
    /// The next read; must not be called again after `Ended` or `Cut`. Cancel-safe: a dropped future
    /// loses no piece.
    fn next(&mut self) -> BoxFuture<'_, PieceRead>;
}

/// An answer being read.
pub struct AnswerStream {
    /// Its head.
    pub head: AnswerHead,
    /// Its pieces.
    pub pieces: Box<dyn PieceSource>,
}

/// How the daemon talks to one kind of upstream.
pub trait UpstreamDriver: Send + Sync {
    /// Sends a request; the only function that dispatches.
    fn open<'a>(
        &'a self,
        call: &'a UpstreamCall,
        address: SocketAddr,
    ) -> BoxFuture<'a, Result<AnswerStream, OpenFault>>;

    /// Attaches to a dispatched request's answer on a new connection, after piece `after`.
    fn resume<'a>(
        &'a self,
        call: &'a UpstreamCall,
        address: SocketAddr,
        after: u64,
    ) -> BoxFuture<'a, Result<AnswerStream, OpenFault>>;

    /// Asks the upstream to stop working on a request; best effort.
    fn cancel<'a>(&'a self, call: &'a UpstreamCall, address: SocketAddr) -> BoxFuture<'a, ()>;

    /// Polls a load report.
    fn report(&self, address: SocketAddr) -> BoxFuture<'_, Option<LoadReport>>;

    /// True if a connection can be opened; for upstreams that could not be reached before.
    fn probe(&self, address: SocketAddr) -> BoxFuture<'_, bool> {
        Box::pin(connection::can_connect(address))
    }

    /// True if answers can be resumed and work cancelled.
    fn can_resume(&self) -> bool;
}
