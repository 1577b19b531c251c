//! Asks an upstream for a place before a request is sent there.
//!
//! What goes wrong without it: many daemons know late what the others have sent, choose the same engine, and the request
//! waits there behind others while places elsewhere are free (measured on a fleet of 64: a third of all sends, of which
//! 28 % began late; of the others almost none). Also, an engine that says nothing is found out before the request is
//! there, which may be sent once only.

use super::carry::CarriedRequest;
use super::dialect::{PlaceWanted, PlaceWord};
use http::Request;
use http::header::HOST;
use http_body_util::{BodyExt, Full, Limited};
use std::net::SocketAddr;
use std::time::Duration;

/// An upstream answers within this time, or counts as unreachable. Far above the way there and back (at most 10 ms on
/// the given platform), below the objective of the shortest route.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// A connection that was idle for longer is not used.
const KEPT_ALIVE: Duration = Duration::from_secs(10);
/// A place is held for this long at most: the request follows at once.
const HELD_FOR: Duration = Duration::from_millis(1_000);
/// Largest answer, in bytes.
const ANSWER_LIMIT: usize = 4 << 10;

/// What came of asking.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The request may be sent, with the place's name where there is one.
    Granted {
        /// The place's name.
        place: Option<String>,
        /// The upstream's incarnation, where it says.
        incarnation: Option<u64>,
    },
    /// There is no place.
    Full,
    /// The upstream has gone; another one has its address.
    Gone,
    /// It does not answer.
    Unreachable,
}

/// Granted where no places are reserved.
pub const NO_PLACE: Reservation = Reservation::Granted { place: None, incarnation: None };

/// Asks the upstream at `address` for a place for a request.
pub async fn reserve(
    request: &CarriedRequest,
    address: SocketAddr,
    incarnation: &str,
    longest: Duration,
) -> Reservation {
    let facts = &request.facts;
    let output = facts.output_limit.or(facts.output_guess).unwrap_or(0);
    let tokens = facts.prompt_tokens.unwrap_or(0).saturating_add(output);
    let wanted = PlaceWanted { incarnation, tokens, held_for: HELD_FOR.min(longest) };
    let Some(call) = request.dialect.place_call(&wanted) else { return NO_PLACE };
    let limit = ANSWER_TIME.min(request.time_left());
    match tokio::time::timeout(limit, ask(request, address, call)).await {
        Ok(Some(PlaceWord::Reserved { place, incarnation })) => {
            Reservation::Granted { place: Some(place), incarnation }
        }
        Ok(Some(PlaceWord::Full)) => Reservation::Full,
        Ok(Some(PlaceWord::OtherIncarnation)) => Reservation::Gone,
        Ok(Some(PlaceWord::Unknown)) => NO_PLACE,
        Ok(None) | Err(_) => Reservation::Unreachable,
    }
}

/// The upstream's word; none if none came.
async fn ask(
    request: &CarriedRequest,
    address: SocketAddr,
    call: Request<bytes::Bytes>,
) -> Option<PlaceWord> {
    let mut call = call.map(Full::new);
    call.headers_mut().insert(HOST, address.to_string().parse().ok()?);
    let sent = request.state.connections().send(address, call, KEPT_ALIVE).await;
    let (response, connection) = sent.ok()?;
    let facts = request.dialect.read_answer(response.status(), response.headers());
    let connection = connection.kept_for(facts.keeps_idle);
    let status = response.status();
    let body = Limited::new(response.into_body(), ANSWER_LIMIT).collect().await.ok()?.to_bytes();
    connection.finish();
    Some(request.dialect.read_place(status, &body))
}
