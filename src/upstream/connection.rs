//! Connections to upstreams, HTTP/1.1, one exchange at a time.
//!
//! What goes wrong with ordinary pooling: a connection idle for long has been forgotten by something
//! in between and swallows the request; a connection whose exchange was abandoned delivers the late
//! answer to the next caller. One would notice by requests that hang although new connections work,
//! or by an echoed id of another request. So an idle connection is used again only within
//! [`PROVEN_ALIVE`] of its last complete answer, never for a non-idempotent request, and a connection
//! returns to the pool only after its answer was read to the end.

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
use std::net::SocketAddr;
use std::sync::{Arc, LazyLock, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// A connection that ended a whole answer this recently counts as proven alive.
pub const PROVEN_ALIVE: Duration = Duration::from_millis(1_000);
/// An upstream that closes idle connections after some time may do so a little sooner by our clock: the request
/// under way then would be lost.
const CLOSING_MARGIN: Duration = Duration::from_millis(500);
/// Opening a connection takes at most this long.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle connections kept for each address.
const IDLE_LIMIT: usize = 64;

chart_names! {
    /// Where a connection is.
    ConnectionState {
        /// Being opened.
        Opening,
        /// Carrying an exchange.
        Busy,
        /// In the pool.
        Idle,
        /// Never used again.
        Closed,
    }
}

chart_names! {
    /// What happens to a connection.
    ConnectionEvent {
        /// It is open.
        Opened,
        /// It failed.
        Failed,
        /// Its answer was read to the end.
        Finished,
        /// Its exchange was given up.
        Abandoned,
        /// It was taken from the pool.
        Taken,
        /// It was idle for too long.
        Stale,
    }
}

chart_names! {
    /// What the pool does.
    ConnectionAction {
        /// Put the connection into the pool.
        Keep,
    }
}

type ConnectionChart = StateChart<ConnectionState, ConnectionEvent, ConnectionAction>;
type ConnectionMachine = ChartMachine<ConnectionState, ConnectionEvent, ConnectionAction>;

static CHART: LazyLock<ConnectionChart> = LazyLock::new(|| {
    StateChart::load(include_str!("../../charts/connection.json"))
        .expect("charts/connection.json is checked by a test")
});

/// The connection chart, loaded once.
pub fn connection_chart() -> &'static ConnectionChart {
    &CHART
}

/// Why no answer's head came.
#[derive(Debug, Snafu)]
pub enum OpenFault {
    /// Provably no byte was sent.
    #[snafu(display("nothing was sent: {detail}"))]
    NotSent {
        /// What happened.
        detail: String,
    },
    /// Something may have been sent.
    #[snafu(display("sent, but no answer: {detail}"))]
    Lost {
        /// What happened.
        detail: String,
    },
}

struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    machine: ConnectionMachine,
    address: SocketAddr,
    idle_since: Instant,
    /// How long the upstream keeps it open while idle, as it said last.
    kept_for: Option<Duration>,
    task: AbortHandle,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections by address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<OpenConnection>>>,
}

/// A connection carrying one exchange. Dropped before [`ConnectionGuard::finish`], it closes.
pub struct ConnectionGuard {
    pool: Arc<ConnectionPool>,
    connection: Option<OpenConnection>,
}

impl ConnectionGuard {
    /// Notes how long the upstream will keep the connection open while idle.
    pub fn kept_for(mut self, time: Option<Duration>) -> Self {
        self.connection.iter_mut().for_each(|connection| connection.kept_for = time);
        self
    }

    /// The answer was read to the end: the connection may be used again.
    pub fn finish(mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        let actions = connection.machine.step(ConnectionEvent::Finished);
        if actions.contains(&ConnectionAction::Keep) && !connection.sender.is_closed() {
            connection.idle_since = Instant::now();
            self.pool.keep(connection);
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
    fn keep(&self, connection: OpenConnection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < IDLE_LIMIT {
            connections.push(connection);
        }
    }

    /// An idle connection proven alive, the latest used first; older ones are closed.
    fn take(&self, address: SocketAddr, most_idle: Duration) -> Option<OpenConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        let mut connection = connections.pop()?;
        let kept_for = connection.kept_for.map(|time| time.saturating_sub(CLOSING_MARGIN));
        if connection.idle_since.elapsed() > kept_for.map_or(most_idle, |time| time.min(most_idle))
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

    async fn connect(&self, address: SocketAddr) -> Result<OpenConnection, OpenFault> {
        let not_sent = |detail: String| OpenFault::NotSent { detail };
        let mut machine = connection_chart().start();
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| {
                not_sent(format!("no connection to {address} within {CONNECT_TIMEOUT:?}"))
            })?
            .map_err(|error| not_sent(format!("{address}: {error}")))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(format!("{address}: {error}")))?;
        machine.step(ConnectionEvent::Opened);
        let task = tokio::spawn(connection).abort_handle();
        Ok(OpenConnection {
            sender,
            machine,
            address,
            idle_since: Instant::now(),
            kept_for: None,
            task,
        })
    }

    /// Sends a request and waits for the answer's head. A kept connection is used if it was idle for at most
    /// `most_idle`; zero rules all out.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        most_idle: Duration,
    ) -> Result<(Response<Incoming>, ConnectionGuard), OpenFault> {
        let mut request = request;
        if !most_idle.is_zero()
            && let Some(connection) = self.take(address, most_idle)
        {
            match self.send_over(connection, request).await {
                Ok(answer) => return Ok(answer),
                Err(SendFault { unsent: Some(unsent), .. }) => request = *unsent,
                Err(SendFault { detail, .. }) => return Err(OpenFault::Lost { detail }),
            }
        }
        let connection = self.connect(address).await?;
        self.send_over(connection, request).await.map_err(|fault| match fault.unsent {
            Some(_) => OpenFault::NotSent { detail: fault.detail },
            None => OpenFault::Lost { detail: fault.detail },
        })
    }

    async fn send_over(
        self: &Arc<Self>,
        mut connection: OpenConnection,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, ConnectionGuard), SendFault> {
        let answer = connection.sender.try_send_request(request);
        let guard = ConnectionGuard { pool: Arc::clone(self), connection: Some(connection) };
        match answer.await {
            Ok(response) => Ok((response, guard)),
            // The library gives the request back only if it never began to write it.
            Err(mut error) => {
                let unsent = error.take_message().map(Box::new);
                Err(SendFault { unsent, detail: error.error().to_string() })
            }
        }
    }
}

/// True if a connection to `address` opens in time.
pub async fn can_connect(address: SocketAddr) -> bool {
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(opened, Ok(Ok(_)))
}

struct SendFault {
    unsent: Option<Box<Request<Full<Bytes>>>>,
    detail: String,
}
