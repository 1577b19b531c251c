//! The callers' front: HTTP/1.1 and HTTP/2, admission, and the answers' way back.

use super::access::CallerIdentity;
use super::claim_guard::{ClaimGuard, claim_answer, take_claim};
use super::dispatch::{ExchangeCall, ExchangeEnd, run_exchange};
use super::drain::{DrainAction, DrainEvent, drain_chart};
use super::model_call::ModelCall;
use super::routed::routed_router;
use super::sink::AnswerSink;
use super::state::{TableSnapshot, TrafficState};
use crate::answer::{AnswerKind, RefusalAnswer};
use crate::policy::{ArrivedRequest, OrganisationIndex, RequestId, RequestState, prefix_hashes};
use crate::report::{RequestRecord, record_request, render_metrics};
use crate::table::{ServiceKind, ServiceRow, TierName};
use crate::upstream::{REQUEST_ID_HEADER, UpstreamCall};
use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::routing::get;
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use slog::{info, warn};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The caller's deadline, in milliseconds.
const DEADLINE_HEADER: &str = "tarragonknot-deadline-ms";
/// `yes` or `no`: whether the request may be repeated.
const IDEMPOTENT_HEADER: &str = "tarragonknot-idempotent";
/// The caller's key for one logical request (IETF draft `idempotency-key-header`).
const KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const KEY_LIMIT: usize = 255;
/// What the request is for; assignments may match it.
const PURPOSE_HEADER: &str = "tarragonknot-purpose";
/// A caller must send its head within this time; it runs while a kept connection is idle, too, so it is above the
/// 15 s for which the given platforms' callers may keep one.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// A caller must send its body within this time.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest deadline a caller may ask for.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3_600);
/// Paths of model services.
const MODEL_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];
/// Pause after a failed accept, so that a full table of open files does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How often the end of the last request is looked for.
const IDLE_CHECK: Duration = Duration::from_millis(10);

/// A running front.
pub struct FrontHandle {
    /// The bound address.
    pub address: SocketAddr,
    drain: watch::Sender<bool>,
    done: watch::Receiver<bool>,
}

impl FrontHandle {
    /// Begins the drain; a second call changes nothing.
    pub fn drain(&self) {
        self.drain.send_replace(true);
    }

    /// A sender of the drain order, for a signal handler or an operator's call.
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

/// Starts the front on `listener`.
pub fn start_front(
    state: Arc<TrafficState>,
    listener: TcpListener,
    balancer_wait: Duration,
) -> std::io::Result<FrontHandle> {
    let address = listener.local_addr()?;
    let (drain, ordered) = watch::channel(false);
    let (done_sender, done) = watch::channel(false);
    tokio::spawn(async move {
        serve_until_drained(state, listener, ordered, balancer_wait).await;
        done_sender.send_replace(true);
    });
    Ok(FrontHandle { address, drain, done })
}

/// The handle of a daemon that serves no callers: its drain is complete as soon as it is ordered.
pub fn without_front(state: Arc<TrafficState>) -> FrontHandle {
    let (drain, mut ordered) = watch::channel(false);
    let (done_sender, done) = watch::channel(false);
    tokio::spawn(async move {
        let _ = ordered.wait_for(|ordered| *ordered).await;
        state.turn_unready();
        state.set_drained();
        info!(state.log, "drained");
        done_sender.send_replace(true);
    });
    FrontHandle { address: SocketAddr::from(([0, 0, 0, 0], 0)), drain, done }
}

async fn serve_until_drained(
    state: Arc<TrafficState>,
    listener: TcpListener,
    mut ordered: watch::Receiver<bool>,
    balancer_wait: Duration,
) {
    let router = match state.manner() {
        Some(_) => routed_router(Arc::clone(&state)),
        None => front_router(Arc::clone(&state)),
    };
    let graceful = GracefulShutdown::new();
    let mut machine = drain_chart().start();
    let mut noticed = Box::pin(async {
        let _ = ordered.wait_for(|ordered| *ordered).await;
    });
    accept_until(&state, &listener, &router, &graceful, &mut noticed).await;
    for action in machine.step(DrainEvent::Signal) {
        if *action == DrainAction::TurnUnready {
            info!(state.log, "draining: unready, still accepting"; "balancer_wait_ms" => balancer_wait.as_millis() as u64);
            state.turn_unready();
        }
    }
    let mut waited = Box::pin(tokio::time::sleep(balancer_wait));
    accept_until(&state, &listener, &router, &graceful, &mut waited).await;
    let actions = machine.step(DrainEvent::BalancerNoticed);
    if actions.contains(&DrainAction::StopAccepting) {
        drop(listener);
    }
    if actions.contains(&DrainAction::CloseKeepAlive) {
        info!(state.log, "draining: closing connections"; "in_progress" => state.in_progress());
        graceful.shutdown().await;
    }
    while state.in_progress() > 0 {
        tokio::time::sleep(IDLE_CHECK).await;
    }
    if machine.step(DrainEvent::Idle).contains(&DrainAction::Exit) {
        state.set_drained();
        info!(state.log, "drained");
    }
}

async fn accept_until(
    state: &Arc<TrafficState>,
    listener: &TcpListener,
    router: &Router,
    graceful: &GracefulShutdown,
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
                serve_connection(stream, router.clone(), graceful);
            }
            Err(error) => {
                warn!(state.log, "accept failed"; "error" => error.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn serve_connection(stream: tokio::net::TcpStream, router: Router, graceful: &GracefulShutdown) {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    builder.http2().timer(TokioTimer::new()).keep_alive_interval(HEAD_TIMEOUT);
    let service = TowerToHyperService::new(router);
    let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        let _ = watched.await;
    });
}

/// The front as a service of its own, without a socket.
pub fn front_router(state: Arc<TrafficState>) -> Router {
    let requests = Arc::clone(&state);
    let calls = tower::service_fn(move |request| {
        let answer = handle(Arc::clone(&requests), request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .route(
            "/metrics",
            get(|State(state): State<Arc<TrafficState>>| async move { render_metrics(&state) }),
        )
        .route("/v1/models", get(models))
        .fallback_service(calls)
        .with_state(state)
}

/// What the balancer and those who read metrics ask, on an address of its own; any path tells readiness.
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

/// The model services that the caller may use, in the usual list shape.
async fn models(State(state): State<Arc<TrafficState>>, headers: HeaderMap) -> Response<Body> {
    let snapshot = state.snapshot();
    let caller = match snapshot.access.identify(bearer_key(&headers)) {
        Ok(caller) => caller,
        Err(kind) => return RefusalAnswer::new(kind, "", state.jitter()).response(""),
    };
    let allowed = snapshot
        .access
        .services()
        .filter(|row| row.kind == ServiceKind::Model && row.allows(&caller.organisation));
    let mut names: Vec<&str> = allowed.map(|row| row.service.as_str()).collect();
    names.sort_unstable();
    let data: Vec<serde_json::Value> = names
        .iter()
        .map(|name| serde_json::json!({"id": name, "object": "model", "owned_by": "tarragonknot"}))
        .collect();
    axum::Json(serde_json::json!({"object": "list", "data": data})).into_response()
}

/// A refusal before admission.
struct EarlyRefusal {
    kind: AnswerKind,
    detail: String,
}

impl From<AnswerKind> for EarlyRefusal {
    fn from(kind: AnswerKind) -> Self {
        EarlyRefusal { kind, detail: String::new() }
    }
}

impl EarlyRefusal {
    fn bad(detail: impl Into<String>) -> Self {
        EarlyRefusal { kind: AnswerKind::BadRequest, detail: detail.into() }
    }
}

/// Answers one request. A waiting request holds this future until its answer begins, so the request itself is
/// moved at once into a boxed future of its own, whose room is given back before the wait.
fn handle(
    state: Arc<TrafficState>,
    request: Request<Body>,
) -> impl Future<Output = Response<Body>> {
    let (number, id) = state.new_request_id();
    let admission = Box::pin(admit(Arc::clone(&state), request, number, Arc::clone(&id)));
    answer_admitted(state, id, admission)
}

async fn answer_admitted(
    state: Arc<TrafficState>,
    id: Arc<str>,
    admission: Pin<Box<impl Future<Output = Result<Box<AdmittedRequest>, EarlyRefusal>>>>,
) -> Response<Body> {
    match admission.await {
        Ok(admitted) => {
            let streams = admitted.exchange.call.wants_stream;
            let (sink, response) = AnswerSink::new(Arc::clone(&id), streams);
            tokio::spawn(run_admitted(state, admitted, Box::new(sink)));
            response
                .await
                .unwrap_or_else(|_| RefusalAnswer::new(AnswerKind::Internal, "", 0.0).response(&id))
        }
        Err(refusal) => {
            RefusalAnswer::new(refusal.kind, refusal.detail, state.jitter()).response(&id)
        }
    }
}

/// A request that passed the checks before the pool's door.
struct AdmittedRequest {
    exchange: Box<ExchangeCall>,
    service: Arc<ServiceRow>,
    tier: TierName,
    caller: CallerIdentity,
    limit: LimitGuard,
    claim: Option<ClaimGuard>,
    claim_key: Option<String>,
}

/// An organisation's place in progress.
struct LimitGuard {
    state: Arc<TrafficState>,
    organisation: OrganisationIndex,
    cost: u32,
    has_run: bool,
}

impl Drop for LimitGuard {
    fn drop(&mut self) {
        let unused = if self.has_run { 0 } else { self.cost };
        self.state.limits().release(self.organisation, unused);
    }
}

/// Takes the claim of a request that carries a key. Runs in the request's own task, which a caller that
/// leaves does not cut off: a claim taken and then forgotten would never be settled. Returns the answer if it must not be dispatched.
async fn claim(
    state: &Arc<TrafficState>,
    admitted: &mut AdmittedRequest,
) -> Option<Response<Body>> {
    let key = admitted.claim_key.take()?;
    let call = &admitted.exchange.call;
    let id = Arc::clone(&call.id);
    match take_claim(state, &admitted.caller, &key, call, admitted.service.claim_life_ms).await {
        Ok(guard) => {
            admitted.exchange.records = true;
            admitted.claim = Some(guard);
            None
        }
        Err(reply) => Some(claim_answer(reply, &id, state.jitter())),
    }
}

async fn run_admitted(
    state: Arc<TrafficState>,
    mut admitted: Box<AdmittedRequest>,
    sink: Box<AnswerSink>,
) {
    let progress = state.begin();
    if let Some(answer) = Box::pin(claim(&state, &mut admitted)).await {
        return sink.answer(answer);
    }
    let Some(pool) = state.pool(&admitted.service.service) else { return };
    let arrived_at = state.clock.now();
    let request_id = Arc::clone(&admitted.exchange.call.id);
    let end = run_exchange(&state, &pool, admitted.exchange, sink).await;
    admitted.limit.has_run = end.upstream.is_some();
    admitted.claim.take().into_iter().for_each(|claim| claim.settle(&end));
    let total = state.clock.now().since(arrived_at);
    log_end(&state, &request_id, &end);
    record_request(&RequestRecord {
        service: &admitted.service,
        tier: &admitted.tier,
        organisation: &admitted.caller.organisation,
        failure: end.failure.filter(|_| end.state != RequestState::Abandoned),
        is_abandoned: end.state == RequestState::Abandoned,
        first_piece: end.first_piece,
        total,
        tokens: end.tokens,
    });
    drop(progress);
}

fn log_end(state: &TrafficState, request_id: &str, end: &ExchangeEnd) {
    let upstream = end.upstream.as_ref().map_or("", |name| name.as_str());
    match end.failure {
        Some(kind) if end.state != RequestState::Abandoned => {
            info!(state.log, "no whole answer"; "request" => request_id, "kind" => kind.row().name, "upstream" => upstream);
        }
        _ => {
            slog::debug!(state.log, "ended"; "request" => request_id, "state" => format!("{:?}", end.state), "upstream" => upstream)
        }
    }
}

async fn admit(
    state: Arc<TrafficState>,
    request: Request<Body>,
    number: u64,
    id: Arc<str>,
) -> Result<Box<AdmittedRequest>, EarlyRefusal> {
    if !state.is_current() {
        return Err(AnswerKind::TableStale.into());
    }
    let snapshot = state.snapshot();
    let (parts, body) = request.into_parts();
    let caller = snapshot.access.identify(bearer_key(&parts.headers))?.clone();
    let is_model = MODEL_PATHS.contains(&parts.uri.path());
    let path_service =
        parts.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default().to_owned();
    let body_limit = match is_model {
        true => largest_model_body(&snapshot),
        false => snapshot.access.service(&path_service, &caller)?.body_limit as usize,
    };
    let body = read_body(body, body_limit).await?;
    let shape = if is_model {
        model_shape(&parts.method, &body)?
    } else {
        RequestShape::plain(path_service, body.len())
    };
    let service = snapshot.access.service(&shape.service, &caller)?.clone();
    check_kind(&service, is_model, body.len())?;
    let purpose = header_text(&parts.headers, PURPOSE_HEADER)?;
    let (tier, rank) = snapshot.access.tier(&service, &caller, purpose);
    let deadline = deadline_of(&parts.headers, &service)?;
    let is_idempotent = idempotent_of(&parts.headers, &service, &parts.method)?;
    let claim_key = header_text(&parts.headers, KEY_HEADER)?.map(str::to_owned);
    if claim_key.as_ref().is_some_and(|key| key.is_empty() || key.len() > KEY_LIMIT) {
        return Err(EarlyRefusal::bad(format!(
            "header {KEY_HEADER}: expected 1 to {KEY_LIMIT} bytes"
        )));
    }
    let uri = if is_model { parts.uri.clone() } else { stripped_uri(&parts.uri, &shape.service)? };
    let pool = state.pool(&service.service).ok_or(AnswerKind::ServiceUnknown)?;
    let cost = pool.cost_of(caller.index, rank, shape.prompt_bytes, shape.output_limit);
    let now = state.clock.now();
    state.limits().admit(caller.index, cost, now)?;
    let limit = LimitGuard { state, organisation: caller.index, cost, has_run: false };
    let call = Box::new(UpstreamCall {
        id,
        method: parts.method,
        uri,
        headers: upstream_headers(&parts.headers, is_model),
        body,
        wants_stream: shape.wants_stream,
        is_idempotent,
    });
    let arrived = ArrivedRequest {
        id: RequestId(number),
        organisation: caller.index,
        weight: caller.weight,
        tier: rank,
        prompt_bytes: shape.prompt_bytes,
        output_limit: shape.output_limit,
        deadline: now + deadline,
        sizes: None,
        rank: 0,
        objective: None,
        patience: None,
        pause: None,
        prefix: shape.prefix,
    };
    let silence = service.silence_ms;
    let exchange = Box::new(ExchangeCall { call, arrived, silence, records: false });
    Ok(Box::new(AdmittedRequest { exchange, service, tier, caller, limit, claim: None, claim_key }))
}

/// What the body says of the request.
struct RequestShape {
    service: String,
    wants_stream: bool,
    prompt_bytes: usize,
    output_limit: Option<u32>,
    prefix: Box<[u64]>,
}

impl RequestShape {
    fn plain(service: String, body_bytes: usize) -> Self {
        RequestShape {
            service,
            wants_stream: false,
            prompt_bytes: body_bytes,
            output_limit: None,
            prefix: Box::default(),
        }
    }
}

fn model_shape(method: &Method, body: &Bytes) -> Result<RequestShape, EarlyRefusal> {
    if *method != Method::POST {
        return Err(EarlyRefusal::bad(format!("method {method}; expected POST")));
    }
    let call =
        ModelCall::read(body).map_err(|error| EarlyRefusal::bad(format!("body: {error}")))?;
    let text = call.prompt_text();
    let output_limit = call.output_limit();
    Ok(RequestShape {
        wants_stream: call.stream,
        prompt_bytes: text.len(),
        output_limit,
        prefix: prefix_hashes(text.as_bytes()),
        service: call.model,
    })
}

fn check_kind(service: &ServiceRow, is_model: bool, body_bytes: usize) -> Result<(), EarlyRefusal> {
    if is_model != (service.kind == ServiceKind::Model) {
        return Err(AnswerKind::ServiceUnknown.into());
    }
    if body_bytes > service.body_limit as usize {
        return Err(AnswerKind::BodyTooLarge.into());
    }
    Ok(())
}

/// The service is named inside the body, so the largest limit of any model bounds the reading.
fn largest_model_body(snapshot: &TableSnapshot) -> usize {
    let models = snapshot.access.services().filter(|row| row.kind == ServiceKind::Model);
    models.map(|row| row.body_limit as usize).max().unwrap_or(0)
}

async fn read_body(body: Body, limit: usize) -> Result<Bytes, EarlyRefusal> {
    let collected = tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
            Err(AnswerKind::BodyTooLarge.into())
        }
        Ok(Err(error)) => Err(EarlyRefusal::bad(format!("body: {error}"))),
        Err(_) => Err(EarlyRefusal::bad(format!("body: not complete within {BODY_TIMEOUT:?}"))),
    }
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, EarlyRefusal> {
    let value = headers.get(name).map(HeaderValue::to_str).transpose();
    value.map_err(|_| EarlyRefusal::bad(format!("header {name}: expected visible ASCII text")))
}

fn deadline_of(headers: &HeaderMap, service: &ServiceRow) -> Result<Duration, EarlyRefusal> {
    let Some(text) = header_text(headers, DEADLINE_HEADER)? else { return Ok(service.deadline_ms) };
    let millis: u64 = text.parse().map_err(|_| {
        EarlyRefusal::bad(format!(
            "header {DEADLINE_HEADER}: found {text}; expected whole milliseconds"
        ))
    })?;
    Ok(Duration::from_millis(millis).min(LONGEST_DEADLINE))
}

fn idempotent_of(
    headers: &HeaderMap,
    service: &ServiceRow,
    method: &Method,
) -> Result<bool, EarlyRefusal> {
    match header_text(headers, IDEMPOTENT_HEADER)? {
        None => Ok(service.is_idempotent(method.as_str())),
        Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(other) => Err(EarlyRefusal::bad(format!(
            "header {IDEMPOTENT_HEADER}: found {other}; expected yes or no"
        ))),
    }
}

/// The path and query behind the service's route.
fn stripped_uri(uri: &Uri, service: &str) -> Result<Uri, EarlyRefusal> {
    let whole = uri.path_and_query().map_or("/", |path| path.as_str());
    let rest = whole.trim_start_matches('/').strip_prefix(service).unwrap_or("/");
    let path = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    path.parse().map_err(|error| EarlyRefusal::bad(format!("path {path}: {error}")))
}

/// The caller's headers without its key, without what belongs to its connection, and without ours.
fn upstream_headers(headers: &HeaderMap, is_model: bool) -> HeaderMap {
    let mut passed = crate::upstream::end_to_end_headers(headers);
    let own = [DEADLINE_HEADER, IDEMPOTENT_HEADER, PURPOSE_HEADER, REQUEST_ID_HEADER, "expect"];
    own.iter().for_each(|name| {
        passed.remove(*name);
    });
    passed.remove(AUTHORIZATION);
    if is_model {
        passed.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    passed
}
