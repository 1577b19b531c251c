//! Admission: reads a caller's request, matches its route and organisation, and applies the limits.

use super::dialect::{CallDialect, CallerMetadata};
use super::forward::forward;
use super::request::{RequestStage, RoutedRequest};
use super::size_fields::SizeFields;
use crate::answer::{AnswerKind, RefusalAnswer};
use crate::policy::{
    HomeRegions, LimitClaim, Moment, NoCommonRegion, OrganisationIndex, RequestSizes, RouteKey,
};
use crate::quarantine::{RequestContent, RequestFingerprint};
use crate::report::record_size;
use crate::table::RouteRow;
use crate::traffic::access::CallerIdentity;
use crate::traffic::memory_budget::{MemoryBudget, MemoryGuard, NoMemory};
use crate::traffic::relay::{RELAY_HEADER, RelayTicket, TicketSubject};
use crate::traffic::state::{TableSnapshot, TrafficState};
use axum::Router;
use axum::body::Body;
use bytes::{Bytes, BytesMut};
use http::header::HOST;
use http::request::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use slog::{info, warn};
use std::convert::Infallible;
use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a request body, in bytes: the given platform's own limit of 4 MiB.
const BODY_LIMIT_BYTES: usize = 4 << 20;
/// Time within which a caller must send the whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Fraction of its deadline after which a caller over its organisation's limit is told to retry: as
/// late as the caller may, since an organisation stays over its limit for seconds.
const LIMIT_RETRY_FRACTION: f64 = 0.3;
/// How long a request waits for the daemon's first table.
const FIRST_TABLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a request waits for the daemon's first list of upstreams. Callers connect as soon as
/// the daemon listens, and a refusal would cost each of them its only retry. Meanwhile the limits
/// of organisations, which start empty in a new process, fill up.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Deadline of requests that state none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// The HTTP service that answers callers by route.
pub fn routed_router(state: Arc<TrafficState>) -> Router {
    let service = tower::service_fn(move |request| {
        let answer = answer_request(Arc::clone(&state), request, None);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    Router::new().fallback_service(service)
}

/// The HTTP service that answers requests that peers pass on.
pub fn relayed_router(state: Arc<TrafficState>) -> Router {
    let service = tower::service_fn(move |request| {
        let answer = answer_relayed(Arc::clone(&state), request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    Router::new().fallback_service(service)
}

async fn answer_relayed(state: Arc<TrafficState>, request: Request<Body>) -> Response<Body> {
    let Some(ticket) = read_ticket(&state, &request) else {
        warn!(state.log, "dropped a relayed request without a valid ticket");
        return refusal(&state, AnswerKind::NotAllowed, "");
    };
    let Some(_place) = state.relay.begin_receiving() else {
        return refusal(&state, AnswerKind::Draining, "");
    };
    if !state.is_ready() {
        return refusal(&state, AnswerKind::Draining, "");
    }
    answer_request(state, request, Some(ticket)).await
}

fn read_ticket(state: &TrafficState, request: &Request<Body>) -> Option<RelayTicket> {
    let metadata = state.interface()?.dialect.read_caller(request.headers());
    let subject = TicketSubject {
        method: request.method().as_str(),
        path: request.uri().path_and_query().map_or("/", |path| path.as_str()),
        id: metadata.id.as_deref().unwrap_or_default(),
    };
    let text = request.headers().get(RELAY_HEADER)?.to_str().ok()?;
    RelayTicket::verify(text, &subject, state.relay.key()?)
}

async fn answer_request(
    state: Arc<TrafficState>,
    request: Request<Body>,
    ticket: Option<RelayTicket>,
) -> Response<Body> {
    let Some(manner) = state.interface() else { return refusal(&state, AnswerKind::Internal, "") };
    let dialect = Arc::clone(&manner.dialect);
    let waited = ticket.as_ref().map_or(Duration::ZERO, |ticket| ticket.waited);
    let arrived_at = state.clock.now().before(waited);
    let metadata = dialect.read_caller(request.headers());
    let caller_deadline = metadata.deadline;
    let id: Arc<str> = Arc::from(metadata.id.clone().unwrap_or_default());
    let admitted = tokio::select! {
        biased;
        admitted = admit(&state, dialect, request, metadata, (arrived_at, ticket)) => admitted,
        () = state.stop.answers_due(state.clock) => Err(AnswerKind::Draining),
    };
    match admitted {
        Ok(admitted) => {
            let answer = tokio::select! {
                biased;
                answer = forward(admitted) => answer,
                () = state.stop.answers_due(state.clock) => {
                    info!(state.log, "refused"; "request" => &*id, "kind" => AnswerKind::StoppedRunning.row().name);
                    RefusalAnswer::new(AnswerKind::StoppedRunning, "", state.jitter()).response(&id)
                }
            };
            if answer.status().is_success() {
                state.start_times.record_answer(&state.log, state.clock.now());
            }
            answer
        }
        Err(kind) => {
            let now = state.clock.now();
            info!(state.log, "refused"; "request" => &*id, "kind" => kind.row().name, "table" => state.snapshot().version,
                "table_age_ms" => now.since(state.table_since()).as_millis() as u64, state.table_origin.fields(now));
            let refusal = RefusalAnswer::new(kind, "", state.jitter());
            let is_over_limit = kind == AnswerKind::RateLimited;
            let wait = caller_deadline
                .filter(|_| is_over_limit)
                .map(|time| time.mul_f64(LIMIT_RETRY_FRACTION));
            refusal.with_retry_after(wait).response(&id)
        }
    }
}

fn refusal(state: &TrafficState, kind: AnswerKind, id: &str) -> Response<Body> {
    RefusalAnswer::new(kind, "", state.jitter()).response(id)
}

async fn admit(
    state: &Arc<TrafficState>,
    dialect: Arc<dyn CallDialect>,
    request: Request<Body>,
    metadata: CallerMetadata,
    (arrived_at, ticket): (Moment, Option<RelayTicket>),
) -> Result<Box<RoutedRequest>, AnswerKind> {
    // Without a table, routes and keys cannot be checked, so they must not be reported as unknown.
    if !wait_for_table(state).await {
        return Err(AnswerKind::TableStale);
    }
    state.wait_for_upstream_list(FIRST_LIST_TIMEOUT).await;
    let (parts, body) = request.into_parts();
    let snapshot = state.snapshot();
    let matched = match_route(&snapshot, &parts, &metadata)?;
    let table = snapshot.version;
    let (body, memory) = read_body(&state.memory, body).await?;
    let fingerprint = request_fingerprint(&matched, &parts, &body);
    let progress = state.begin_request();
    let has_returned =
        metadata.deadline.is_some_and(|time| state.is_retry(&matched.route.route, time));
    let tokens = metadata.prompt_tokens.map(|prompt| prompt + metadata.output_limit.unwrap_or(0));
    let sizes = request_sizes(&metadata);
    let size_tenth = sizes.and_then(|sizes| state.size_decile(&matched.route.route, sizes));
    // A peer that has sent the request to an upstream that may have run it has charged it too.
    let is_charged = ticket.is_some_and(|ticket| ticket.possible_runs() > 0);
    let limit = match &matched.caller {
        Some(caller) if !is_charged => {
            let snapshot = state.snapshot();
            let cost = snapshot.access.charged_units(caller, tokens);
            let rank = snapshot.access.route_rank(&matched.route);
            let now = state.clock.now();
            let usual_cost = state.usual_cost(&matched.route.route, cost);
            let route = RouteKey::of(&matched.route.route);
            let claim = LimitClaim { route, cost, usual_cost, rank, has_returned };
            let admitted = state.limits().admit_claim(caller.index, claim, now);
            if admitted.is_err() {
                let wait = state.limits().time_to_full(caller.index, now);
                let rate = state.limits().rate(caller.index).unwrap_or_default();
                info!(state.log, "over the limit"; "request" => metadata.id.as_deref().unwrap_or_default(),
                    "organisation" => caller.organisation.as_str(), "tokens" => cost, "refilled_ms" => wait.as_millis() as u64,
                    "rate" => rate as u64, "rank" => rank, "route" => &matched.route.route,
                    SizeFields::new(&metadata, size_tenth, has_returned));
                record_size(matched.route.kind, &matched.route.tier, size_tenth, "rate-limited");
            }
            admitted?;
            Some(LimitGuard {
                state: Arc::clone(state),
                organisation: caller.index,
                cost,
                is_charged: false,
            })
        }
        Some(_) | None => None,
    };
    // The daemon that passed the request on ends it by the table that admitted it there.
    let timeout = if ticket.is_some() { Duration::MAX } else { matched.route.timeout_ms };
    let wait = metadata.deadline.unwrap_or(DEFAULT_DEADLINE).min(timeout);
    Ok(Box::new(RoutedRequest {
        stage: RequestStage::Waiting,
        state: Arc::clone(state),
        dialect,
        route: matched.route,
        caller: matched.caller,
        table,
        homes: matched.homes,
        origin: ticket.and_then(|ticket| ticket.origin),
        sizes,
        size_tenth,
        fingerprint,
        deadline: arrived_at + wait,
        has_deadline: metadata.deadline.is_some(),
        has_returned,
        metadata,
        parts,
        body,
        arrived_at,
        limit,
        ticket,
        must_stay: false,
        _progress: progress,
        _memory: memory,
    }))
}

/// Waits up to [`FIRST_TABLE_TIMEOUT`] for the first table; returns whether one is current. A new
/// daemon receives it within a fraction of a second, but callers connect as soon as it listens, and
/// a refusal would cost each of them its only retry.
async fn wait_for_table(state: &TrafficState) -> bool {
    let table_arrival = async {
        loop {
            let table_change = state.table_changes.notified();
            if state.is_current() {
                return;
            }
            table_change.await;
        }
    };
    state.is_current() || tokio::time::timeout(FIRST_TABLE_TIMEOUT, table_arrival).await.is_ok()
}

/// Fingerprint of what an upstream would run, independent of the caller's id of this attempt.
fn request_fingerprint(matched: &RouteMatch, parts: &Parts, body: &[u8]) -> RequestFingerprint {
    let caller = matched.caller.as_ref();
    RequestFingerprint::of(&RequestContent {
        organisation: caller.map_or("", |caller| caller.organisation.as_str()),
        method: parts.method.as_str(),
        host: &matched.route.host,
        path: parts.uri.path_and_query().map_or("/", |path| path.as_str()),
        body,
    })
}

/// The route and the caller that the table gives for a request.
pub struct RouteMatch {
    pub route: Arc<RouteRow>,
    pub caller: Option<CallerIdentity>,
    /// Regions in which the request may be served; `None` means anywhere.
    pub homes: Option<HomeRegions>,
}

/// Finds the route of a request and the organisation of its key. Called again before each send,
/// since the table may have changed while the request waited.
pub fn match_route(
    snapshot: &TableSnapshot,
    parts: &Parts,
    metadata: &CallerMetadata,
) -> Result<RouteMatch, AnswerKind> {
    let access = &snapshot.access;
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let route = access.routes().find(host, parts.uri.path()).ok_or(AnswerKind::ServiceUnknown)?;
    let needs_key = !route.is_public && !access.table().organisations.is_empty();
    let caller = match needs_key {
        true => Some(access.identify(metadata.key.as_deref())?.clone()),
        false => access.identify(metadata.key.as_deref()).ok().cloned(),
    };
    let regions = caller.as_ref().and_then(|caller| caller.regions.as_deref());
    let homes = HomeRegions::of(route.regions.as_deref(), regions);
    let homes = homes.map_err(|NoCommonRegion| AnswerKind::RegionConflict)?;
    Ok(RouteMatch { route: Arc::clone(route), caller, homes })
}

/// The caller's output estimate is correct at the median; the output limit caps it.
fn request_sizes(metadata: &CallerMetadata) -> Option<RequestSizes> {
    let prompt = metadata.prompt_tokens?;
    let limit = metadata.output_limit.unwrap_or(u32::MAX);
    let output = metadata.output_guess.unwrap_or(limit).min(limit);
    Some(RequestSizes { prompt, output })
}

/// Reads a request's body; its memory is counted if there is a bound.
async fn read_body(budget: &MemoryBudget, body: Body) -> Result<(Bytes, MemoryGuard), AnswerKind> {
    let mut memory = budget.guard();
    let limited = Limited::new(body, BODY_LIMIT_BYTES);
    if budget.is_bounded() {
        let reading = tokio::time::timeout(BODY_TIMEOUT, read_counted(limited, &mut memory));
        let body = reading.await.unwrap_or(Err(AnswerKind::BadRequest))?;
        return Ok((body, memory));
    }
    match tokio::time::timeout(BODY_TIMEOUT, limited.collect()).await {
        Ok(Ok(body)) => Ok((body.to_bytes(), memory)),
        Ok(Err(error)) => Err(body_fault(&*error)),
        Err(_) => Err(AnswerKind::BadRequest),
    }
}

/// Reads a body whose memory is reserved as it arrives, so that a caller that sends slowly holds no
/// more than it has sent.
async fn read_counted(
    mut body: Limited<Body>,
    memory: &mut MemoryGuard,
) -> Result<Bytes, AnswerKind> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| body_fault(&*error))?;
        let Ok(bytes) = frame.into_data() else { continue };
        memory.grow_body(bytes.len()).await.map_err(|NoMemory| AnswerKind::MemoryFull)?;
        collected.extend_from_slice(&bytes);
    }
    Ok(collected.freeze())
}

fn body_fault(error: &(dyn Error + 'static)) -> AnswerKind {
    match error.is::<LengthLimitError>() {
        true => AnswerKind::BodyTooLarge,
        false => AnswerKind::BadRequest,
    }
}

/// The share of its organisation's limit that a request holds; released on drop.
pub struct LimitGuard {
    state: Arc<TrafficState>,
    organisation: OrganisationIndex,
    pub cost: u32,
    pub is_charged: bool,
}

impl Drop for LimitGuard {
    fn drop(&mut self) {
        let unused = if self.is_charged { 0 } else { self.cost };
        self.state.limits().release(self.organisation, unused);
    }
}
