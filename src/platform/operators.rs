//! HTTP endpoints for operators.

use crate::control::{OperatorAnswer, OperatorClient};
use crate::evacuation::{EvacuationEvent, EvacuationOrder};
use crate::rollout::{RolloutOrder, RolloutRecord, RolloutReply, RolloutStage};
use crate::table::{DataCentreName, FaultList};
use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use http::header::{CONTENT_TYPE, LOCATION, RETRY_AFTER};
use http::{HeaderValue, StatusCode, Uri};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;

/// Minimum and maximum duration of a roll-out, in seconds.
const MIN_ROLLOUT_SECONDS: f64 = 0.001;
const MAX_ROLLOUT_SECONDS: f64 = 7.0 * 86_400.0;
/// Maximum length of a service or version name, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Maximum size of a configuration document, in bytes; a route takes about 300.
const MAX_CONFIG_BYTES: usize = 64 << 20;

/// Builds the operator endpoints. Redirects to the leader use `port`, because every voter serves
/// these endpoints on the same port.
pub fn operators_router(client: Arc<OperatorClient>, port: u16) -> Router {
    let state = OperatorState { client, port };
    Router::new()
        .route("/-/config/replace", post(replace_config))
        .route("/-/config/read", get(read_config))
        .route("/-/rollouts/begin", post(begin_rollout))
        .route("/-/rollouts/{service}/read", get(read_rollout))
        .route("/-/drain/{zone}/begin", post(evacuate_zone))
        .route("/-/drain/{zone}/finish", post(return_zone))
        .layer(DefaultBodyLimit::max(MAX_CONFIG_BYTES))
        .with_state(state)
}

#[derive(Clone)]
struct OperatorState {
    client: Arc<OperatorClient>,
    port: u16,
}

async fn replace_config(State(state): State<OperatorState>, uri: Uri, body: String) -> Response {
    let answer = state.client.replace_table(body).await;
    state.respond(answer, &uri, |_| "{}".to_owned())
}

async fn read_config(State(state): State<OperatorState>, uri: Uri) -> Response {
    let answer = state.client.read_table().await;
    state.respond(answer, &uri, |document| document.to_string())
}

async fn begin_rollout(State(state): State<OperatorState>, uri: Uri, body: String) -> Response {
    let answer = match parse_order(&body) {
        Ok(order) => state.client.begin_rollout(order).await,
        Err(faults) => OperatorAnswer::Invalid(faults),
    };
    match answer {
        OperatorAnswer::Done(RolloutReply::Busy(record)) => {
            let error = format!("a roll-out to {} is under way", record.order.to);
            json_response(StatusCode::CONFLICT, serde_json::json!({ "error": error }).to_string())
        }
        answer => state.respond(answer, &uri, |_| "{}".to_owned()),
    }
}

async fn read_rollout(
    State(state): State<OperatorState>,
    Path(service): Path<String>,
    uri: Uri,
) -> Response {
    match state.client.newest_rollout(&service.as_str().into()).await {
        OperatorAnswer::Done(None) => {
            let error = format!("no roll-out of {service} was ordered");
            json_response(StatusCode::NOT_FOUND, serde_json::json!({ "error": error }).to_string())
        }
        answer => state.respond(answer, &uri, |record| rollout_json(record.as_ref())),
    }
}

async fn evacuate_zone(
    State(state): State<OperatorState>,
    Path(zone): Path<String>,
    uri: Uri,
    body: Bytes,
) -> Response {
    state.order_evacuation(&zone, EvacuationEvent::Evacuate, &uri, &body).await
}

async fn return_zone(
    State(state): State<OperatorState>,
    Path(zone): Path<String>,
    uri: Uri,
    body: Bytes,
) -> Response {
    state.order_evacuation(&zone, EvacuationEvent::Return, &uri, &body).await
}

fn rollout_json(record: Option<&RolloutRecord>) -> String {
    let Some(record) = record else { return "{}".to_owned() };
    let state = match record.stage {
        RolloutStage::Trial | RolloutStage::Expanding | RolloutStage::Draining => "running",
        RolloutStage::Completed => "completed",
        RolloutStage::RolledBack => "rolled_back",
    };
    serde_json::json!({ "state": state, "to": record.order.to }).to_string()
}

/// Parses a roll-out order and reports every missing or invalid field.
fn parse_order(body: &str) -> Result<RolloutOrder, FaultList> {
    let mut faults = FaultList::default();
    let document: Value = serde_json::from_str(body).unwrap_or_else(|error| {
        faults.add("", error, "a JSON object");
        Value::Null
    });
    if !faults.0.is_empty() {
        return Err(faults);
    }
    let mut text = |field: &str| {
        let value = document.get(field).unwrap_or(&Value::Null);
        let text = value.as_str().filter(|text| !text.is_empty() && text.len() <= MAX_NAME_BYTES);
        if text.is_none() {
            faults.add(format!("/{field}"), value, "a name");
        }
        text.unwrap_or_default().to_owned()
    };
    let (service, to) = (text("service"), text("to"));
    let duration = document.get("duration_s").unwrap_or(&Value::Null);
    let seconds = duration.as_f64().filter(|seconds| MIN_ROLLOUT_SECONDS <= *seconds);
    let seconds = seconds.filter(|seconds| *seconds <= MAX_ROLLOUT_SECONDS);
    if seconds.is_none() {
        let expected =
            format!("a number of seconds from {MIN_ROLLOUT_SECONDS} to {MAX_ROLLOUT_SECONDS}");
        faults.add("/duration_s", duration, expected);
    }
    if !faults.0.is_empty() {
        return Err(faults);
    }
    Ok(RolloutOrder {
        service: service.as_str().into(),
        to: to.as_str().into(),
        duration_ms: (seconds.unwrap_or_default() * 1_000.0) as u64,
    })
}

impl OperatorState {
    /// Gives an order that has no body. An unknown zone answers 404, a body 400; a zone that is in
    /// the wanted stage already is acknowledged, as for a resent order.
    async fn order_evacuation(
        &self,
        zone: &str,
        event: EvacuationEvent,
        uri: &Uri,
        body: &Bytes,
    ) -> Response {
        let data_centre: DataCentreName = zone.into();
        if !self.client.knows_data_centre(&data_centre) {
            let error = format!("there is no zone {zone}");
            let body = serde_json::json!({ "error": error }).to_string();
            return json_response(StatusCode::NOT_FOUND, body);
        }
        if !body.is_empty() {
            let mut faults = FaultList::default();
            faults.add("/", format!("a body of {} bytes", body.len()), "no body");
            return self.respond(OperatorAnswer::<()>::Invalid(faults), uri, |()| String::new());
        }
        let answer = self.client.evacuate(EvacuationOrder { data_centre, event }).await;
        self.respond(answer, uri, |_| "{}".to_owned())
    }

    fn respond<T>(
        &self,
        answer: OperatorAnswer<T>,
        uri: &Uri,
        to_body: impl Fn(T) -> String,
    ) -> Response {
        match answer {
            OperatorAnswer::Done(value) => json_response(StatusCode::OK, to_body(value)),
            OperatorAnswer::Invalid(faults) => {
                let body = serde_json::json!({ "error": faults.to_string(), "faults": faults });
                json_response(StatusCode::BAD_REQUEST, body.to_string())
            }
            OperatorAnswer::Elsewhere(leader) => {
                let address = SocketAddr::new(leader.ip(), self.port);
                let location = HeaderValue::from_str(&format!("http://{address}{}", uri.path()));
                let mut response = StatusCode::TEMPORARY_REDIRECT.into_response();
                location.into_iter().for_each(|location| {
                    response.headers_mut().insert(LOCATION, location);
                });
                response
            }
            OperatorAnswer::Unknown => {
                let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
                response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
                response
            }
        }
    }
}

fn json_response(status: StatusCode, body: String) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
