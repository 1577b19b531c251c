//! The HTTP/1.1 and HTTP/2 server for callers, with readiness and graceful drain.

mod admitted;
mod connection;
mod request_parts;

use super::drain::{DrainAction, DrainEvent, drain_chart};
use super::routed::routed_router;
use super::state::TrafficState;
use crate::report::render_metrics;
use admitted::{handle_request, list_models};
use axum::Router;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::routing::get;
use connection::{CallerStream, ConnectionRecord, FailureLog, FollowedBody};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use slog::{Logger, info, warn};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Time within which a caller must send the head of a request. The timer also runs on idle
/// connections, so it exceeds the 15 s for which callers of the given platforms keep them open.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay after a failed accept, to avoid a busy loop when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval at which the drain checks whether the last request has ended.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Times of a drain.
#[derive(Clone, Copy, Debug)]
pub struct DrainTimes {
    /// How long the daemon goes on accepting requests after it became unready.
    pub balancer_wait: Duration,
    /// Time from the signal until the process is killed.
    pub grace: Duration,
}

/// Handle of a running server.
pub struct FrontendHandle {
    /// The address that the server is bound to.
    pub address: SocketAddr,
    drain: watch::Sender<bool>,
    done: watch::Receiver<bool>,
}

impl FrontendHandle {
    /// Starts the drain; further calls have no effect.
    pub fn drain(&self) {
        self.drain.send_replace(true);
    }

    /// Returns a sender that starts the drain, for signal handlers and the control API.
    pub fn drain_sender(&self) -> watch::Sender<bool> {
        self.drain.clone()
    }

    /// Resolves once the drain is complete.
    pub fn ended(&self) -> impl Future<Output = ()> + use<> {
        let mut done = self.done.clone();
        async move {
            let _ = done.wait_for(|is_done| *is_done).await;
        }
    }

    /// Waits until the drain is complete.
    pub async fn finished(self) {
        self.ended().await;
    }
}

/// Serves callers on `listener`.
pub fn start_frontend(
    state: Arc<TrafficState>,
    listener: TcpListener,
    times: DrainTimes,
) -> std::io::Result<FrontendHandle> {
    let address = listener.local_addr()?;
    let (drain, drain_ordered) = watch::channel(false);
    let (done_sender, done) = watch::channel(false);
    tokio::spawn(async move {
        serve_until_drained(state, listener, drain_ordered, times).await;
        done_sender.send_replace(true);
    });
    Ok(FrontendHandle { address, drain, done })
}

/// Returns the handle of a daemon that serves no callers: its drain completes as soon as it starts.
pub fn without_frontend(state: Arc<TrafficState>) -> FrontendHandle {
    let (drain, mut drain_ordered) = watch::channel(false);
    let (done_sender, done) = watch::channel(false);
    tokio::spawn(async move {
        let _ = drain_ordered.wait_for(|drain_ordered| *drain_ordered).await;
        state.turn_unready();
        state.set_drained();
        info!(state.log, "drained");
        done_sender.send_replace(true);
    });
    FrontendHandle { address: SocketAddr::from(([0, 0, 0, 0], 0)), drain, done }
}

async fn serve_until_drained(
    state: Arc<TrafficState>,
    listener: TcpListener,
    mut drain_ordered: watch::Receiver<bool>,
    DrainTimes { balancer_wait, grace }: DrainTimes,
) {
    let balancer_wait = balancer_wait.min(grace / 2);
    let router = match state.interface() {
        Some(_) => routed_router(Arc::clone(&state)),
        None => frontend_router(Arc::clone(&state)),
    };
    let server = CallerServer::new(router, state.log.clone());
    let mut machine = drain_chart().start();
    let mut drain_signal = Box::pin(async {
        let _ = drain_ordered.wait_for(|drain_ordered| *drain_ordered).await;
    });
    accept_until(&state, &listener, &server, &mut drain_signal).await;
    for action in machine.step(DrainEvent::Signal) {
        if *action == DrainAction::TurnUnready {
            info!(state.log, "draining: unready, still accepting"; "balancer_wait_ms" => balancer_wait.as_millis() as u64,
                "grace_ms" => grace.as_millis() as u64);
            state.turn_unready();
            state.stop.begin(grace, state.clock.now());
        }
    }
    let mut balancer_delay = Box::pin(tokio::time::sleep(balancer_wait));
    accept_until(&state, &listener, &server, &mut balancer_delay).await;
    let actions = machine.step(DrainEvent::BalancerNoticed);
    if actions.contains(&DrainAction::StopAccepting) {
        drop(listener);
    }
    if actions.contains(&DrainAction::CloseKeepAlive) {
        info!(state.log, "draining: closing connections"; "in_progress" => state.in_progress());
        // A connection whose caller has not sent a whole request must not keep the process.
        tokio::select! {
            () = server.graceful.shutdown() => {}
            () = state.stop.connections_due(state.clock) => {
                warn!(state.log, "connections still open at the end of the grace time"; "in_progress" => state.in_progress());
            }
        }
    }
    while state.in_progress() > 0 {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
    }
    // The last request has ended once its answer is complete here, not once a peer has it.
    if !state.relay.close().await {
        warn!(state.log, "peers have not taken their answers");
    }
    if machine.step(DrainEvent::Idle).contains(&DrainAction::Exit) {
        state.set_drained();
        info!(state.log, "drained");
    }
}

async fn accept_until(
    state: &Arc<TrafficState>,
    listener: &TcpListener,
    server: &CallerServer,
    until: &mut (impl Future<Output = ()> + Unpin),
) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = &mut *until => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                server.serve(stream);
            }
            Err(error) => {
                warn!(state.log, "accept failed"; "error" => error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the connections of callers.
struct CallerServer {
    router: Router,
    graceful: GracefulShutdown,
    failures: Arc<FailureLog>,
}

impl CallerServer {
    fn new(router: Router, log: Logger) -> Self {
        let failures = Arc::new(FailureLog::new(log));
        CallerServer { router, graceful: GracefulShutdown::new(), failures }
    }

    fn serve(&self, stream: TcpStream) {
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder.http1().timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
        builder.http2().timer(TokioTimer::new()).keep_alive_interval(HEAD_TIMEOUT);
        let record = Arc::new(ConnectionRecord::default());
        let io = TokioIo::new(CallerStream::new(stream, Arc::clone(&record)));
        let (router, answers) =
            (TowerToHyperService::new(self.router.clone()), Arc::clone(&record));
        let service = service_fn(move |request: Request<Incoming>| {
            let answer = answers.begin(&request);
            let response = router.call(request);
            async move {
                let response = response.await;
                response.map(|response| response.map(|body| FollowedBody::new(body, answer)))
            }
        });
        let connection = builder.serve_connection(io, service).into_owned();
        let watched = self.graceful.watch(connection);
        let failures = Arc::clone(&self.failures);
        tokio::spawn(async move {
            if let Err(error) = watched.await {
                failures.record(&record, &*error);
            }
        });
    }
}

/// The router that serves callers, independent of a socket.
pub fn frontend_router(state: Arc<TrafficState>) -> Router {
    let requests = Arc::clone(&state);
    let service = tower::service_fn(move |request| {
        let answer = handle_request(Arc::clone(&requests), request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .route(
            "/metrics",
            get(|State(state): State<Arc<TrafficState>>| async move { render_metrics(&state) }),
        )
        .route("/v1/models", get(list_models))
        .fallback_service(service)
        .with_state(state)
}

/// The router for load balancers and metrics scrapers, served on an address of its own. Every path
/// except `/metrics` reports readiness.
pub fn readiness_router(state: Arc<TrafficState>) -> Router {
    let metrics = |State(state): State<Arc<TrafficState>>| async move { render_metrics(&state) };
    Router::new().route("/metrics", get(metrics)).fallback(ready).with_state(state)
}

async fn ready(State(state): State<Arc<TrafficState>>) -> impl IntoResponse {
    match state.is_ready() {
        true => (StatusCode::OK, "ready\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}
