//! The server for requests that peers pass on.

use crate::traffic::routed::relayed_router;
use crate::traffic::state::TrafficState;
use axum::Router;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use metrics::counter;
use slog::{debug, warn};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Delay after a failed accept, to avoid a busy loop when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest time for which a drain waits until peers have taken their answers.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A running server for peers.
#[derive(Debug)]
pub(super) struct RelayServer {
    close: watch::Sender<bool>,
    closed: watch::Receiver<bool>,
}

impl RelayServer {
    /// Closes the server; returns false if peers have not taken their answers in time.
    pub async fn close(&self) -> bool {
        self.close.send_replace(true);
        let mut closed = self.closed.clone();
        let closing = closed.wait_for(|is_closed| *is_closed);
        tokio::time::timeout(CLOSE_TIMEOUT, closing).await.is_ok()
    }
}

/// Serves requests of peers on `listener` until the relay is closed.
pub fn start_relay_server(state: Arc<TrafficState>, listener: TcpListener) {
    let (close, mut close_ordered) = watch::channel(false);
    let (closed_sender, closed) = watch::channel(false);
    state.relay.set_server(RelayServer { close, closed });
    tokio::spawn(async move {
        let graceful = GracefulShutdown::new();
        tokio::select! {
            _ = close_ordered.wait_for(|close_ordered| *close_ordered) => {}
            () = accept_peers(&state, &listener, &graceful) => {}
        }
        drop(listener);
        graceful.shutdown().await;
        closed_sender.send_replace(true);
    });
}

async fn accept_peers(
    state: &Arc<TrafficState>,
    listener: &TcpListener,
    graceful: &GracefulShutdown,
) {
    let router = relayed_router(Arc::clone(state));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve_peer(state, stream, router.clone(), graceful),
            Err(error) => {
                warn!(state.log, "accept of a peer failed"; "error" => error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn serve_peer(
    state: &Arc<TrafficState>,
    stream: TcpStream,
    router: Router,
    graceful: &GracefulShutdown,
) {
    let _ = stream.set_nodelay(true);
    let builder = auto::Builder::new(TokioExecutor::new());
    let service = TowerToHyperService::new(router);
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    let watched = graceful.watch(connection);
    let log = state.log.clone();
    tokio::spawn(async move {
        // The requests of the connection log their own ends.
        if let Err(error) = watched.await {
            counter!("tarragonknot_peer_connections_failed_total").increment(1);
            debug!(log, "peer's connection failed"; "error" => error.to_string());
        }
    });
}
