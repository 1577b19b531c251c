//! Handles one request from its head to its answer: validation, limits, the idempotency claim, and
//! the exchange with an upstream.

use super::request_parts::{
    EarlyRefusal, KEY_HEADER, KEY_LIMIT, MODEL_PATHS, PURPOSE_HEADER, RequestProperties,
    bearer_key, check_service, header_text, max_model_body_limit, model_properties, parse_deadline,
    parse_idempotent, read_body, stripped_uri, upstream_headers,
};
use crate::answer::{AnswerKind, RefusalAnswer};
use crate::policy::{
    ArrivedRequest, OrganisationIndex, PlacementDemand, RequestId, RequestState, RouteKey,
};
use crate::quarantine::{RequestContent, RequestFingerprint, SuspectKeys};
use crate::report::{RequestRecord, record_request};
use crate::table::{ServiceKind, ServiceRow, TierName};
use crate::traffic::access::CallerIdentity;
use crate::traffic::claim_guard::{ClaimGuard, acquire_claim, claim_response};
use crate::traffic::dispatch::{ExchangeCall, ExchangeEnd, run_exchange};
use crate::traffic::sink::AnswerSink;
use crate::traffic::state::TrafficState;
use crate::upstream::UpstreamCall;
use axum::body::Body;
use axum::extract::State;
use axum::response::IntoResponse;
use http::{HeaderMap, Request, Response};
use slog::info;
use std::pin::Pin;
use std::sync::Arc;

/// Lists the model services that the caller may use, in the format of the OpenAI models API.
pub(super) async fn list_models(
    State(state): State<Arc<TrafficState>>,
    headers: HeaderMap,
) -> Response<Body> {
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

/// Answers one request. This future lives until the answer begins, so the request is moved into a
/// separate boxed future, whose memory is released before the wait.
pub(super) fn handle_request(
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
            let stopping = Arc::clone(&state);
            tokio::spawn(run_admitted(state, admitted, Box::new(sink)));
            tokio::select! {
                biased;
                response = response => response
                    .unwrap_or_else(|_| RefusalAnswer::new(AnswerKind::Internal, "", 0.0).response(&id)),
                () = stopping.stop.answers_due(stopping.clock) => {
                    let kind = AnswerKind::StoppedRunning;
                    RefusalAnswer::new(kind, "", stopping.jitter()).response(&id)
                }
            }
        }
        Err(refusal) => {
            RefusalAnswer::new(refusal.kind, refusal.detail, state.jitter()).response(&id)
        }
    }
}

/// A request that has passed all checks before it enters its pool.
struct AdmittedRequest {
    exchange: Box<ExchangeCall>,
    service: Arc<ServiceRow>,
    tier: TierName,
    caller: CallerIdentity,
    limit: LimitGuard,
    claim: Option<ClaimGuard>,
    claim_key: Option<String>,
}

/// The share of its organisation's limit that a request holds; released on drop.
struct LimitGuard {
    state: Arc<TrafficState>,
    organisation: OrganisationIndex,
    cost: u32,
    is_charged: bool,
}

impl Drop for LimitGuard {
    fn drop(&mut self) {
        let unused = if self.is_charged { 0 } else { self.cost };
        self.state.limits().release(self.organisation, unused);
    }
}

/// Claims the idempotency key of a request that carries one. Runs in the request's own task, which
/// continues if the caller disconnects: an abandoned claim would never be settled. Returns the
/// answer if the request must not be dispatched.
async fn claim(
    state: &Arc<TrafficState>,
    admitted: &mut AdmittedRequest,
) -> Option<Response<Body>> {
    let key = admitted.claim_key.take()?;
    let call = &admitted.exchange.call;
    let id = Arc::clone(&call.id);
    // The outcome, which comes before the deadline, must be kept for the whole claim life.
    let time_left = admitted.exchange.arrived.deadline.since(state.clock.now());
    let ttl = admitted.service.claim_life_ms + time_left;
    match acquire_claim(state, &admitted.caller, &key, call, ttl).await {
        Ok(guard) => {
            admitted.exchange.is_recorded = true;
            admitted.claim = Some(guard);
            None
        }
        Err(reply) => Some(claim_response(reply, &id, state.jitter())),
    }
}

async fn run_admitted(
    state: Arc<TrafficState>,
    mut admitted: Box<AdmittedRequest>,
    sink: Box<AnswerSink>,
) {
    let progress = state.begin_request();
    if let Some(answer) = Box::pin(claim(&state, &mut admitted)).await {
        return sink.answer(answer);
    }
    let request_id = Arc::clone(&admitted.exchange.call.id);
    let Some(pool) = state.pool(&admitted.service.service) else {
        admitted.claim.take().into_iter().for_each(ClaimGuard::withdraw);
        let refusal = RefusalAnswer::new(AnswerKind::ServiceUnknown, "", state.jitter());
        return sink.answer(refusal.response(&request_id));
    };
    let arrived_at = state.clock.now();
    let end = run_exchange(&state, &pool, admitted.exchange, sink).await;
    admitted.limit.is_charged = end.upstream.is_some();
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
            info!(state.log, "no complete answer"; "request" => request_id, "kind" => kind.row().name, "upstream" => upstream);
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
        true => max_model_body_limit(&snapshot),
        false => snapshot.access.service(&path_service, &caller)?.body_limit as usize,
    };
    let body = read_body(body, body_limit).await?;
    let properties = if is_model {
        model_properties(&parts.method, &body)?
    } else {
        RequestProperties::plain(path_service, body.len())
    };
    let service = snapshot.access.service(&properties.service, &caller)?.clone();
    check_service(&service, is_model, body.len())?;
    let purpose = header_text(&parts.headers, PURPOSE_HEADER)?;
    let (tier, rank) = snapshot.access.tier(&service, &caller, purpose);
    let deadline = parse_deadline(&parts.headers, &service)?;
    let is_idempotent = parse_idempotent(&parts.headers, &service, &parts.method)?;
    let claim_key = header_text(&parts.headers, KEY_HEADER)?.map(str::to_owned);
    if claim_key.as_ref().is_some_and(|key| key.is_empty() || key.len() > KEY_LIMIT) {
        return Err(EarlyRefusal::bad(format!(
            "header {KEY_HEADER}: expected 1 to {KEY_LIMIT} bytes"
        )));
    }
    let uri =
        if is_model { parts.uri.clone() } else { stripped_uri(&parts.uri, &properties.service)? };
    let pool = state.pool(&service.service).ok_or(AnswerKind::ServiceUnknown)?;
    let cost =
        pool.estimate_cost(caller.index, rank, properties.prompt_bytes, properties.output_limit);
    let now = state.clock.now();
    state.limits().admit(caller.index, cost, now)?;
    let limit = LimitGuard { state, organisation: caller.index, cost, is_charged: false };
    let call = Box::new(UpstreamCall {
        id,
        method: parts.method,
        uri,
        headers: upstream_headers(&parts.headers, is_model),
        body,
        wants_stream: properties.wants_stream,
        is_idempotent,
    });
    let arrived = ArrivedRequest {
        id: RequestId(number),
        organisation: caller.index,
        weight: caller.weight,
        tier: rank,
        prompt_bytes: properties.prompt_bytes,
        output_limit: properties.output_limit,
        deadline: now + deadline,
        sizes: None,
        size_tenth: None,
        demand: PlacementDemand::default(),
        may_be_resumed: false,
        must_stay: false,
        route: RouteKey::default(),
        rank: 0,
        objective: None,
        patience: None,
        pause: None,
        prefix: properties.prefix,
    };
    let silence = service.silence_ms;
    let content = request_fingerprint(&caller, &service, &call);
    let keys = SuspectKeys::new(content, &service.service, &properties.parts);
    let exchange = Box::new(ExchangeCall { call, arrived, silence, keys, is_recorded: false });
    Ok(Box::new(AdmittedRequest { exchange, service, tier, caller, limit, claim: None, claim_key }))
}

/// Fingerprint of what an upstream would run, independent of the request's number.
fn request_fingerprint(
    caller: &CallerIdentity,
    service: &ServiceRow,
    call: &UpstreamCall,
) -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        organisation: caller.organisation.as_str(),
        method: call.method.as_str(),
        host: service.service.as_str(),
        path: call.uri.path_and_query().map_or("/", |path| path.as_str()),
        body: &call.body,
    })
}
