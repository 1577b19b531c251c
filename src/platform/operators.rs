//! The operator's calls.

use crate::control::{DoorAnswer, OperatorDoor};
use axum::Router;
use axum::body::Body;
use axum::extract::{DefaultBodyLimit, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use http::header::{CONTENT_TYPE, LOCATION, RETRY_AFTER};
use http::{HeaderValue, StatusCode, Uri};
use std::net::SocketAddr;
use std::sync::Arc;

/// Largest configuration, in bytes; a route takes about 300.
const CONFIG_LIMIT: usize = 64 << 20;

/// The operator's interface; other voters serve theirs on the same port.
pub fn operators_router(door: Arc<OperatorDoor>, port: u16) -> Router {
    let state = DoorState { door, port };
    Router::new()
        .route("/-/config/replace", post(replace))
        .route("/-/config/read", get(read))
        .layer(DefaultBodyLimit::max(CONFIG_LIMIT))
        .with_state(state)
}

#[derive(Clone)]
struct DoorState {
    door: Arc<OperatorDoor>,
    port: u16,
}

async fn replace(State(state): State<DoorState>, uri: Uri, body: String) -> Response {
    let answer = state.door.replace(body).await;
    state.respond(answer, &uri, |_| "{}".to_owned())
}

async fn read(State(state): State<DoorState>, uri: Uri) -> Response {
    let answer = state.door.read().await;
    state.respond(answer, &uri, |document| document.to_string())
}

impl DoorState {
    fn respond<T>(&self, answer: DoorAnswer<T>, uri: &Uri, text: impl Fn(T) -> String) -> Response {
        match answer {
            DoorAnswer::Done(value) => json(StatusCode::OK, text(value)),
            DoorAnswer::Bad(faults) => {
                let body = serde_json::json!({ "error": faults.to_string(), "faults": faults });
                json(StatusCode::BAD_REQUEST, body.to_string())
            }
            DoorAnswer::Elsewhere(leader) => {
                let place = SocketAddr::new(leader.ip(), self.port);
                let place = HeaderValue::from_str(&format!("http://{place}{}", uri.path()));
                let mut response = StatusCode::TEMPORARY_REDIRECT.into_response();
                place.into_iter().for_each(|place| {
                    response.headers_mut().insert(LOCATION, place);
                });
                response
            }
            DoorAnswer::Unsure => {
                let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
                response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
                response
            }
        }
    }
}

fn json(status: StatusCode, body: String) -> Response {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
