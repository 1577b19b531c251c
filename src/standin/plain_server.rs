//! Stand-in plain HTTP service that echoes requests and counts executions per request id.

use super::faults::{FaultPlan, StandinFault};
use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use bytes::Bytes;
use futures_util::{StreamExt, future, stream};
use http::Response;
use serde_json::json;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Timing of a plain service.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainShape {
    /// Processing time of a request.
    pub processing_time: Duration,
}

/// A running stand-in service.
pub struct PlainStandin {
    /// The address it listens on.
    pub address: SocketAddr,
    /// Faults to inject into the next requests.
    pub faults: FaultPlan,
    shape: PlainShape,
    runs: Mutex<HashMap<String, u32>>,
    running: AtomicU32,
    started: Instant,
}

/// Starts a service on a free loopback port; it runs until the runtime shuts down.
pub async fn start_plain(shape: PlainShape) -> io::Result<Arc<PlainStandin>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let service = Arc::new(PlainStandin {
        address: listener.local_addr()?,
        faults: FaultPlan::default(),
        shape,
        runs: Mutex::default(),
        running: AtomicU32::new(0),
        started: Instant::now(),
    });
    let router = Router::new().fallback(handle_request).with_state(Arc::clone(&service));
    let listener = axum::serve::ListenerExt::tap_io(listener, |stream| {
        let _ = stream.set_nodelay(true);
    });
    tokio::spawn(async move { axum::serve(listener, router).await });
    Ok(service)
}

impl PlainStandin {
    /// Returns the number of executions per request id.
    pub fn runs(&self) -> HashMap<String, u32> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn report(&self) -> Response<Body> {
        let report = json!({"named_metrics": {
            "running": self.running.load(Ordering::Relaxed),
            "stamp_us": self.started.elapsed().as_micros() as u64,
        }});
        Response::new(Body::from(report.to_string()))
    }
}

async fn handle_request(
    State(service): State<Arc<PlainStandin>>,
    request: Request,
) -> Response<Body> {
    if request.uri().path() == "/load" {
        return service.report();
    }
    let id = request
        .headers()
        .get("x-request-id")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("none")
        .to_owned();
    let path = request.uri().to_string();
    let method = request.method().to_string();
    let Ok(body) = axum::body::to_bytes(request.into_body(), 1 << 24).await else {
        return Response::new(Body::empty());
    };
    *service.runs.lock().unwrap_or_else(PoisonError::into_inner).entry(id.clone()).or_default() +=
        1;
    let fault = service.faults.next();
    service.running.fetch_add(1, Ordering::Relaxed);
    let delay =
        if let StandinFault::Delayed(time) = fault { time } else { service.shape.processing_time };
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    service.running.fetch_sub(1, Ordering::Relaxed);
    let text = json!({"method": method, "path": path, "body": String::from_utf8_lossy(&body), "request": id}).to_string();
    response(&id, Bytes::from(text), fault, service.running.load(Ordering::Relaxed))
}

fn response(id: &str, text: Bytes, fault: StandinFault, running: u32) -> Response<Body> {
    let reset = || Err(io::Error::from(io::ErrorKind::ConnectionReset));
    let body = match fault {
        StandinFault::Reset => Body::from_stream(tokio_stream::iter(vec![reset()])),
        StandinFault::Truncated(_) => {
            Body::from_stream(tokio_stream::iter(vec![Ok(text.slice(..text.len() / 2)), reset()]))
        }
        StandinFault::Paused(_, time) => {
            let (half, rest) = (text.slice(..text.len() / 2), text.slice(text.len() / 2..));
            let rest = async move {
                tokio::time::sleep(time).await;
                Ok(rest)
            };
            let half = stream::once(future::ready(Ok::<Bytes, io::Error>(half)));
            Body::from_stream(half.chain(stream::once(rest)))
        }
        StandinFault::Silent(_) => Body::from_stream(tokio_stream::pending::<io::Result<Bytes>>()),
        _ => Body::from(text),
    };
    let mut response = Response::new(body);
    let echoed_id = if fault == StandinFault::Crossed { "another-request" } else { id };
    let headers = response.headers_mut();
    headers.insert("content-type", http::HeaderValue::from_static("application/json"));
    if let Ok(value) = http::HeaderValue::from_str(echoed_id) {
        headers.insert("x-request-id", value);
    }
    let report = format!("TEXT named_metrics.running={running}");
    if let Ok(value) = http::HeaderValue::from_str(&report) {
        headers.insert("endpoint-load-metrics", value);
    }
    response
}
