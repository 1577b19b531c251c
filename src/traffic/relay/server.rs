//! The server for requests that peers pass on.

use crate::traffic::routed::relayed_router;
use crate::traffic::state::TrafficState;
use axum::serve::ListenerExt;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Serves requests of peers on `listener`.
pub fn start_relay_server(state: Arc<TrafficState>, listener: TcpListener) {
    let router = relayed_router(state);
    let listener = listener.tap_io(|stream| {
        let _ = stream.set_nodelay(true);
    });
    tokio::spawn(async move { axum::serve(listener, router).await });
}
