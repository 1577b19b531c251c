//! Asks an upstream that could not be reached whether it is still the same one.

use super::dialect::SendFacts;
use crate::policy::UpstreamWord;
use crate::traffic::state::TrafficState;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Request};
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;

/// A probe is answered within this time, or says nothing.
const PROBE_TIME: Duration = Duration::from_millis(1_000);

/// Asks the upstream at `address`; none if it says nothing.
///
/// What goes wrong with a connection alone as a sign of life: an upstream that crashed and started again at its
/// address is another incarnation, which runs nothing that is meant for the old one. One would notice by requests
/// that every daemon in turn sends there for nothing.
pub async fn probe(
    state: &TrafficState,
    address: SocketAddr,
    incarnation: &str,
    path: &str,
) -> Option<UpstreamWord> {
    let manner = state.manner()?;
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_str(&address.to_string()).ok()?);
    let facts = SendFacts {
        deadline: None,
        incarnation,
        organisation: None,
        last_event: None,
        place: None,
    };
    manner.dialect.write_send(&mut headers, &facts);
    let mut request = Request::get(path).body(Full::<Bytes>::default()).ok()?;
    *request.headers_mut() = headers;
    let sent = state.connections().send(address, request, Duration::ZERO);
    let (response, _connection) = tokio::time::timeout(PROBE_TIME, sent).await.ok()?.ok()?;
    let facts = manner.dialect.read_answer(response.status(), response.headers());
    Some(match facts.is_other_incarnation {
        true => UpstreamWord::Leaving,
        false => UpstreamWord::Answered,
    })
}
