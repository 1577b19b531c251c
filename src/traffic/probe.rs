//! Probes whether an upstream is alive and still the same incarnation.

use super::routed::{AnswerMetadata, SendMetadata};
use super::state::TrafficState;
use crate::upstream::{OpenError, can_connect};
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which an unanswered upstream counts as silent. Longer than the connect timeout of one
/// second, so that an unreachable upstream is distinguished from a busy one.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Path that is requested if the service has no health path.
const DEFAULT_HEALTH_PATH: &str = "/";

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The upstream answered.
    Answered {
        /// How much longer the upstream is cold, if it says that it is.
        cold_left: Option<Duration>,
        /// False if something else may have answered, such as a gateway before the upstream.
        is_own: bool,
    },
    /// The upstream answered that it leaves.
    Leaving,
    /// Another incarnation uses the upstream's address.
    OtherIncarnation,
    /// No connection could be opened.
    Refused,
    /// The connection ended without an answer.
    Closed,
    /// The upstream accepted the connection, but did not answer in time.
    Silent,
}

impl ProbeOutcome {
    /// Reads a reply to a request that names the expected incarnation.
    pub fn of_reply(status: StatusCode, metadata: &AnswerMetadata, incarnation: &str) -> Self {
        let named = metadata.incarnation.as_deref();
        if metadata.is_other_incarnation || named.is_some_and(|name| name != incarnation) {
            return ProbeOutcome::OtherIncarnation;
        }
        if metadata.is_leaving {
            return ProbeOutcome::Leaving;
        }
        let is_gateway_status = matches!(
            status,
            StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
        );
        let is_own = !is_gateway_status || named.is_some() || metadata.is_not_run;
        ProbeOutcome::Answered { cold_left: metadata.cold_left, is_own }
    }
}

/// Probes the upstream at `address` over a new connection.
///
/// A successful connect alone does not prove that the upstream is alive. An upstream that crashed
/// and restarted at its address is another incarnation, which runs no request meant for the old
/// one, and a proxy in front of a dead upstream still accepts connections. Without the check, every
/// daemon in turn would send requests there in vain.
pub async fn probe(
    state: &TrafficState,
    address: SocketAddr,
    incarnation: &str,
    path: Option<&str>,
) -> ProbeOutcome {
    let Some((interface, request)) =
        state.interface().zip(probe_request(state, address, incarnation, path))
    else {
        let is_open = can_connect(address).await;
        return match is_open {
            true => ProbeOutcome::Answered { cold_left: None, is_own: false },
            false => ProbeOutcome::Refused,
        };
    };
    let sent = state.connections().send(address, request, Duration::ZERO);
    match tokio::time::timeout(PROBE_TIMEOUT, sent).await {
        Ok(Ok((response, _connection))) => {
            let metadata = interface.dialect.read_answer(response.status(), response.headers());
            ProbeOutcome::of_reply(response.status(), &metadata, incarnation)
        }
        Ok(Err(OpenError::NotSent { .. })) => ProbeOutcome::Refused,
        Ok(Err(OpenError::Lost { .. })) => ProbeOutcome::Closed,
        Err(_) => ProbeOutcome::Silent,
    }
}

/// Builds the request; `None` if no platform interface is configured, or the address is not a valid
/// header value.
fn probe_request(
    state: &TrafficState,
    address: SocketAddr,
    incarnation: &str,
    path: Option<&str>,
) -> Option<Request<Full<Bytes>>> {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_str(&address.to_string()).ok()?);
    let metadata = SendMetadata {
        deadline: None,
        incarnation,
        organisation: None,
        last_event_id: None,
        place_id: None,
    };
    state.interface()?.dialect.write_upstream_headers(&mut headers, &metadata);
    let path = path.unwrap_or(DEFAULT_HEALTH_PATH);
    let mut request = Request::get(path).body(Full::<Bytes>::default()).ok()?;
    *request.headers_mut() = headers;
    Some(request)
}
