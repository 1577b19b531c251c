//! Pool of HTTP/1.1 connections to upstreams, each with one exchange at a time.
//!
//! Two failures of ordinary pooling are avoided. A middlebox may have dropped the state of a
//! connection that was idle for long; a request sent on it then hangs, although new connections
//! work. And a connection whose exchange was abandoned may deliver the late answer to the next
//! caller, which shows as the echoed id of another request. An idle connection is therefore reused
//! only within a maximum time since its last complete answer, which the user of the pool chooses;
//! for the drivers it is [`DEFAULT_MAX_IDLE_TIME`], and zero for requests that are not idempotent.
//! A connection returns to the pool only after its answer was read to the end.

use crate::chart::{ChartMachine, StateChart};
use crate::chart_names;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use std::collections::HashMap;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, LazyLock, Mutex, OnceLock, PoisonError, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Maximum time since its last complete answer within which a connection is considered alive and
/// may be reused, unless the user of the pool sets another one.
pub const DEFAULT_MAX_IDLE_TIME: Duration = Duration::from_millis(1_000);
/// Safety margin before the upstream's idle timeout. By the daemon's clock the upstream may close
/// the connection slightly early, which would lose a request in transit.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Size of the buffer in which a connection's bytes are parsed, and so the maximum size of a head.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of bytes before the head of an answer, interim answers (1xx) included. The parser
/// itself bounds a single head only.
const MAX_HEAD_BYTES: usize = 4 * READ_BUFFER_BYTES;
/// Maximum number of idle connections for each address.
const MAX_IDLE_CONNECTIONS: usize = 64;

chart_names! {
    /// State of a connection.
    ConnectionState {
        /// Being opened.
        Opening,
        /// Carrying an exchange.
        Busy,
        /// In the pool.
        Idle,
        /// Closed; not used again.
        Closed,
    }
}

chart_names! {
    /// Event on a connection.
    ConnectionEvent {
        /// The connection was established.
        Opened,
        /// The connection failed.
        Failed,
        /// Its answer was read to the end.
        Finished,
        /// Its exchange was abandoned before the end of the answer.
        Abandoned,
        /// It was taken from the pool.
        Taken,
        /// It was idle for too long to be reused.
        Stale,
    }
}

chart_names! {
    /// Action of the pool on a transition.
    ConnectionAction {
        /// Return the connection to the pool.
        Keep,
    }
}

type ConnectionChart = StateChart<ConnectionState, ConnectionEvent, ConnectionAction>;
type ConnectionMachine = ChartMachine<ConnectionState, ConnectionEvent, ConnectionAction>;

static CHART: LazyLock<ConnectionChart> = LazyLock::new(|| {
    StateChart::load(include_str!("../../charts/connection.json"))
        .expect("charts/connection.json is checked by a test")
});

/// Returns the state chart of connections, loaded on first use.
pub fn connection_chart() -> &'static ConnectionChart {
    &CHART
}

/// Error of a request that received no answer head.
#[derive(Debug, Snafu)]
pub enum OpenError {
    /// No byte of the request was sent.
    #[snafu(display("nothing was sent: {detail}"))]
    NotSent {
        /// Description of the failure.
        detail: String,
    },
    /// The request may have been sent, in whole or in part.
    #[snafu(display("sent, but no answer received: {detail}"))]
    Lost {
        /// Description of the failure.
        detail: String,
    },
}

/// What is known of a connection while it is open.
#[derive(Debug, Default)]
struct ConnectionWatch {
    /// When the upstream first answered on it, and had thus accepted it. Before, it may wait in a queue
    /// that outlives the upstream's process.
    first_answer_at: OnceLock<Instant>,
    /// True while the body of an answer is read. Its reader may be slow, so that a close goes unnoticed.
    is_in_body: AtomicBool,
    has_ended: AtomicBool,
    /// Bytes read since the last body.
    head_bytes: AtomicUsize,
}

impl ConnectionWatch {
    /// True if the upstream had accepted the connection at `time`, and it is known to be open now.
    fn is_kept_since(&self, time: Instant) -> bool {
        self.first_answer_at.get().is_some_and(|answered| *answered <= time)
            && !self.is_in_body.load(Ordering::Acquire)
            && !self.has_ended.load(Ordering::Acquire)
    }

    fn set_in_body(&self, is_in_body: bool) {
        self.head_bytes.store(0, Ordering::Release);
        self.is_in_body.store(is_in_body, Ordering::Release);
    }

    /// Counts bytes that were read; fails if they are too many for a head.
    fn count_read(&self, bytes: usize) -> io::Result<()> {
        if self.is_in_body.load(Ordering::Acquire) {
            return Ok(());
        }
        let total = self.head_bytes.fetch_add(bytes, Ordering::AcqRel) + bytes;
        match total <= MAX_HEAD_BYTES {
            true => Ok(()),
            false => Err(io::Error::other("the head of the answer is too long")),
        }
    }
}

/// The socket of an upstream, which fails once the upstream sends too much before an answer.
struct UpstreamStream {
    stream: TcpStream,
    watch: Arc<ConnectionWatch>,
}

impl AsyncRead for UpstreamStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        match read {
            Poll::Ready(Ok(())) => {
                Poll::Ready(self.watch.count_read(buffer.filled().len() - before))
            }
            other => other,
        }
    }
}

impl AsyncWrite for UpstreamStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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

/// Marks the connection as ended when its task ends or is aborted.
struct WatchGuard(Arc<ConnectionWatch>);

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.0.has_ended.store(true, Ordering::Release);
    }
}

struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    machine: ConnectionMachine,
    address: SocketAddr,
    idle_since: Instant,
    /// Idle timeout last announced by the upstream.
    idle_timeout: Option<Duration>,
    /// True once an answer on this connection named its request.
    names_requests: bool,
    watch: Arc<ConnectionWatch>,
    task: JoinHandle<hyper::Result<()>>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Pool of idle connections, keyed by address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<OpenConnection>>>,
    /// The connections of each address, idle or in use.
    watches: Mutex<HashMap<SocketAddr, Vec<Weak<ConnectionWatch>>>>,
}

/// A connection in use by one exchange. It is closed if dropped before [`ConnectionGuard::finish`].
pub struct ConnectionGuard {
    pool: Arc<ConnectionPool>,
    connection: Option<OpenConnection>,
    is_reused: bool,
}

impl ConnectionGuard {
    /// Sets the idle timeout announced by the upstream.
    pub fn with_idle_timeout(mut self, time: Option<Duration>) -> Self {
        self.connection.iter_mut().for_each(|connection| connection.idle_timeout = time);
        self
    }

    /// True if the connection has carried another exchange before.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Records whether an answer names its request. Returns false if it does not although earlier
    /// answers on the connection did: it may then be a late answer to one of their requests.
    pub fn note_answer(&mut self, is_named: bool) -> bool {
        let Some(connection) = &mut self.connection else { return is_named };
        connection.names_requests |= is_named;
        is_named || !connection.names_requests
    }

    /// Resolves once the connection's task has ended.
    async fn ended(&mut self) {
        if let Some(connection) = &mut self.connection {
            let _ = (&mut connection.task).await;
        }
    }

    /// Returns the connection to the pool, after its answer was read to the end.
    pub fn finish(mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        let actions = connection.machine.step(ConnectionEvent::Finished);
        if actions.contains(&ConnectionAction::Keep) && !connection.sender.is_closed() {
            connection.idle_since = Instant::now();
            connection.watch.set_in_body(false);
            self.pool.put_idle(connection);
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if let Some(connection) = &mut self.connection {
            connection.machine.step(ConnectionEvent::Abandoned);
        }
    }
}

impl ConnectionPool {
    fn put_idle(&self, connection: OpenConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to these addresses.
    pub fn close_idle(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        addresses.into_iter().for_each(|address| drop(idle.remove(&address)));
    }

    /// Takes the most recently used idle connection. If that one was idle for too long, it and all
    /// others of the address, which are older, are closed.
    fn take(&self, address: SocketAddr, max_idle_time: Duration) -> Option<OpenConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        let mut connection = connections.pop()?;
        let idle_timeout =
            connection.idle_timeout.map(|time| time.saturating_sub(IDLE_TIMEOUT_MARGIN));
        if connection.idle_since.elapsed()
            > idle_timeout.map_or(max_idle_time, |time| time.min(max_idle_time))
        {
            connection.machine.step(ConnectionEvent::Stale);
            connections.clear();
            return None;
        }
        if connection.sender.is_closed() || !connection.sender.is_ready() {
            return None;
        }
        connection.machine.step(ConnectionEvent::Taken);
        Some(connection)
    }

    /// Adds a new connection to those of its address.
    fn watch(&self, address: SocketAddr) -> Arc<ConnectionWatch> {
        let watch = Arc::<ConnectionWatch>::default();
        let mut watches = self.watches.lock().unwrap_or_else(PoisonError::into_inner);
        let known = watches.entry(address).or_default();
        known.retain(|watch| watch.strong_count() > 0);
        known.push(Arc::downgrade(&watch));
        watch
    }

    /// True if a connection to `address` is open that the upstream had accepted at `time`.
    pub fn has_kept_since(&self, address: SocketAddr, time: Instant) -> bool {
        let watches = self.watches.lock().unwrap_or_else(PoisonError::into_inner);
        let mut known = watches.get(&address).into_iter().flatten();
        known.any(|watch| watch.upgrade().is_some_and(|watch| watch.is_kept_since(time)))
    }

    async fn connect(&self, address: SocketAddr) -> Result<OpenConnection, OpenError> {
        let not_sent = |detail: String| OpenError::NotSent { detail };
        let mut machine = connection_chart().start();
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| {
                not_sent(format!("no connection to {address} within {CONNECT_TIMEOUT:?}"))
            })?
            .map_err(|error| not_sent(format!("{address}: {error}")))?;
        let _ = stream.set_nodelay(true);
        let watch = self.watch(address);
        let io = TokioIo::new(UpstreamStream { stream, watch: Arc::clone(&watch) });
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(|error| not_sent(format!("{address}: {error}")))?;
        machine.step(ConnectionEvent::Opened);
        let guard = WatchGuard(Arc::clone(&watch));
        let task = tokio::spawn(async move {
            let _guard = guard;
            connection.await
        });
        Ok(OpenConnection {
            sender,
            machine,
            address,
            idle_since: Instant::now(),
            idle_timeout: None,
            names_requests: false,
            watch,
            task,
        })
    }

    /// Sends a request and waits for the head of the answer. A pooled connection is used if it was
    /// idle for at most `max_idle_time`; zero always opens a new connection.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        max_idle_time: Duration,
    ) -> Result<(Response<Incoming>, ConnectionGuard), OpenError> {
        let mut request = request;
        if !max_idle_time.is_zero()
            && let Some(connection) = self.take(address, max_idle_time)
        {
            match self.send_over(connection, request).await {
                Ok((response, mut guard)) => {
                    guard.is_reused = true;
                    return Ok((response, guard));
                }
                Err(SendError { unsent: Some(unsent), .. }) => request = *unsent,
                Err(SendError { detail, .. }) => return Err(OpenError::Lost { detail }),
            }
        }
        let connection = self.connect(address).await?;
        self.send_over(connection, request).await.map_err(|error| match error.unsent {
            Some(_) => OpenError::NotSent { detail: error.detail },
            None => OpenError::Lost { detail: error.detail },
        })
    }

    async fn send_over(
        self: &Arc<Self>,
        mut connection: OpenConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, ConnectionGuard), SendError> {
        let mut answer = pin!(connection.sender.try_send_request(request));
        let mut guard = ConnectionGuard {
            pool: Arc::clone(self),
            connection: Some(connection),
            is_reused: false,
        };
        let answered = tokio::select! {
            biased;
            answered = &mut answer => answered,
            () = guard.ended() => {
                // A request that was queued while the connection's task ended stays in the queue
                // until the sender is dropped too; then hyper returns it.
                guard.connection = None;
                answer.await
            }
        };
        match answered {
            Ok(response) => {
                if let Some(connection) = &guard.connection {
                    connection.watch.set_in_body(true);
                    let _ = connection.watch.first_answer_at.set(Instant::now());
                }
                Ok((response, guard))
            }
            // hyper returns the request only if it has not begun to write it.
            Err(mut error) => {
                let unsent = error.take_message().map(Box::new);
                Err(SendError { unsent, detail: error.error().to_string() })
            }
        }
    }
}

/// Returns whether a connection to `address` opens within the timeout.
pub async fn can_connect(address: SocketAddr) -> bool {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(opened, Ok(Ok(_)))
}

struct SendError {
    /// The request, if nothing of it was written.
    unsent: Option<Box<Request<Full<Bytes>>>>,
    detail: String,
}
