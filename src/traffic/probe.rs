//! Asks an upstream whether it lives, and whether it is still the same one.

use super::routed::SendMetadata;
use super::state::TrafficState;
use crate::upstream::{OpenFault, can_connect};
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Request};
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;

/// A probe is answered within this time, or the upstream counts as silent. Longer than the second in which a connection
/// must open, so that an upstream that cannot be reached is told from one that is busy.
const PROBE_TIME: Duration = Duration::from_millis(1_300);
/// Asked for where a service names no path of its own.
const DEFAULT_PATH: &str = "/";

/// What came of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The upstream answered.
    Answered,
    /// Another incarnation has its address.
    OtherIncarnation,
    /// No connection could be opened.
    Refused,
    /// The connection ended without an answer.
    Closed,
    /// It took the connection and said nothing in time.
    Silent,
}

/// Asks the upstream at `address` over a new connection.
///
/// What goes wrong with a connection alone as a sign of life: an upstream that crashed and started again at its
/// address is another incarnation, which runs nothing that is meant for the old one, and a proxy before a dead upstream
/// takes connections all the same. One would notice by requests that every daemon in turn sends there for nothing.
pub async fn probe(
    state: &TrafficState,
    address: SocketAddr,
    incarnation: &str,
    path: Option<&str>,
) -> ProbeOutcome {
    let Some((manner, request)) =
        state.manner().zip(probe_request(state, address, incarnation, path))
    else {
        let is_open = can_connect(address).await;
        return if is_open { ProbeOutcome::Answered } else { ProbeOutcome::Refused };
    };
    let sent = state.connections().send(address, request, Duration::ZERO);
    match tokio::time::timeout(PROBE_TIME, sent).await {
        Ok(Ok((response, _connection))) => {
            let metadata = manner.dialect.read_answer(response.status(), response.headers());
            match metadata.is_other_incarnation {
                true => ProbeOutcome::OtherIncarnation,
                false => ProbeOutcome::Answered,
            }
        }
        Ok(Err(OpenFault::NotSent { .. })) => ProbeOutcome::Refused,
        Ok(Err(OpenFault::Lost { .. })) => ProbeOutcome::Closed,
        Err(_) => ProbeOutcome::Silent,
    }
}

/// None where no platform's manner of speaking is served, or the address makes no header.
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
    state.manner()?.dialect.write_upstream_headers(&mut headers, &metadata);
    let path = path.unwrap_or(DEFAULT_PATH);
    let mut request = Request::get(path).body(Full::<Bytes>::default()).ok()?;
    *request.headers_mut() = headers;
    Some(request)
}
