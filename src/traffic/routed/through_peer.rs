//! Passes a request on through a peer that reaches the upstreams.

use super::attempt::{SendError, forwarded_headers};
use super::placing::{PlacedRequest, PlacingRule};
use super::refusal::{refusal_kind, refuse};
use super::relay::{
    AnswerSource, BodyReading, BodySource, BufferError, StreamContent, StreamRelay, stream_response,
};
use super::request::{RequestStage, RoutedRequest};
use super::send_history::SendHistory;
use crate::answer::{AnswerKind, ExecutionStatus, ProblemBody, RAN_HEADER};
use crate::policy::DispatchOutcome;
use crate::quarantine::SuspectKeys;
use crate::report::record_relayed;
use crate::stream_origin::StreamOrigin;
use crate::table::ServiceName;
use crate::traffic::relay::{ORIGIN_HEADER, RELAY_HEADER, RelayTicket, TicketSubject};
use crate::upstream::{AnswerBody, BodyError, OpenError, end_to_end_headers};
use axum::body::Body;
use bytes::Bytes;
use http::header::{AUTHORIZATION, HeaderName};
use http::{HeaderValue, Request, Response, response};
use http_body_util::Full;
use slog::info;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;

/// Maximum number of peers that one request is offered to.
const MAX_PEERS: usize = 3;
/// Longest idle time after which a connection to a peer is reused; peers keep them open for longer.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);
/// Maximum size of a peer's refusal, in bytes.
const REFUSAL_LIMIT_BYTES: usize = 64 << 10;
/// Header of the HTML standard that names the last event of a stream that is resumed.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// A request that a peer has taken.
pub struct PeerHop {
    pub peer: SocketAddr,
    /// The service that the request is counted for.
    pub service: ServiceName,
    /// Where the peer's stream comes from; its version is unknown if the peer does not name it.
    pub origin: StreamOrigin,
    /// Counts the request as passed on until dropped.
    _place: OwnedSemaphorePermit,
}

/// A peer's answer whose head has been received.
pub struct PeerAnswer {
    pub hop: PeerHop,
    pub head: response::Parts,
    pub body: AnswerBody,
}

/// How passing a request on ended.
pub enum PeerOutcome {
    /// A peer answers it, from an upstream or because it may have run.
    Answered(Box<PeerAnswer>),
    /// A peer refuses it, and it has not run; another peer would do the same.
    Refused(response::Parts, Bytes),
    /// No peer answers it. Its sends tell whether one may have run it.
    NotTaken,
    /// A peer took it and did not answer.
    Lost(SendError),
}

/// Result of offering a request to one peer.
enum OfferResult {
    Answered(response::Parts, AnswerBody),
    Refused(response::Parts, Bytes),
    /// The peer can't serve it, but another may.
    Unable(AnswerKind),
    Failed(SendError),
}

/// Result of passing a request on.
pub enum PeerForward {
    Answered(Response<Body>),
    /// No peer answers the request, which is returned with its sends.
    NotTaken(Box<RoutedRequest>, SendHistory),
}

/// Passes the request on through a peer and answers it.
pub async fn forward_through_peers(
    mut request: Box<RoutedRequest>,
    mut history: SendHistory,
) -> PeerForward {
    request.stage = RequestStage::Sent;
    let last_event_id = request.metadata.last_event_id;
    let response = match send_through_peers(&mut request, &mut history, last_event_id).await {
        PeerOutcome::Answered(answer) => pass_answer(request, history, *answer).await,
        PeerOutcome::Refused(head, bytes) => {
            request.stage = RequestStage::Ended;
            request.record("refused-by-peer", None);
            info!(request.state.log, "refused by a peer"; "request" => request.id(), "status" => head.status.as_u16());
            peer_response(&head, Body::from(bytes))
        }
        PeerOutcome::NotTaken => return PeerForward::NotTaken(request, history),
        PeerOutcome::Lost(error) => {
            let kind = refusal_kind(&request, &error);
            refuse(&mut request, kind, history)
        }
    };
    PeerForward::Answered(response)
}

async fn pass_answer(
    mut request: Box<RoutedRequest>,
    history: SendHistory,
    answer: PeerAnswer,
) -> Response<Body> {
    let PeerAnswer { hop, head, body } = answer;
    let is_other = request.origin.is_some_and(|origin| origin != hop.origin);
    if is_other && head.status.is_success() {
        let detail = "the peer's stream is of another version".to_owned();
        let kind = refusal_kind(&request, &SendError::NoUsableAnswer(detail));
        return refuse(&mut request, kind, history);
    }
    let content = StreamContent::of(&head);
    let is_stream = request.route.kind.is_stream() && content != StreamContent::Other;
    if is_stream && head.status.is_success() {
        request.stage = RequestStage::Answering;
        let relay = StreamRelay::new(request, AnswerSource::Peer(hop), history, content, body);
        return stream_response(head, relay);
    }
    let framing = body.framing();
    let time_left = request.time_left();
    let source = BodySource::Peer(hop.peer);
    let reading = BodyReading { request: &request, source, head: &head };
    let whole = tokio::time::timeout(time_left, reading.whole_body(body)).await;
    match whole {
        Ok(Ok(body)) => {
            if head.status.is_success() {
                request.note_whole_answer(&SuspectKeys::of_content(request.fingerprint));
            }
            request.log_answered(&hop.peer.to_string(), head.status, framing);
            peer_response(&head, body)
        }
        Ok(Err(BufferError::NoMemory)) => refuse(&mut request, AnswerKind::AnswerDropped, history),
        Ok(Err(BufferError::Unusable(detail))) => {
            let kind = refusal_kind(&request, &SendError::ConnectionBroken(detail));
            refuse(&mut request, kind, history)
        }
        Err(_) => refuse(&mut request, AnswerKind::DeadlineRunning, history),
    }
}

/// Builds the response that passes a peer's answer on. Unlike an upstream, a peer may say whether a
/// request has run.
fn peer_response(head: &response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end_headers(&head.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    response.headers_mut().remove(ORIGIN_HEADER);
    response
}

/// Offers the request to peers, one after the other, until one takes it.
pub async fn send_through_peers(
    request: &mut RoutedRequest,
    history: &mut SendHistory,
    last_event_id: Option<u64>,
) -> PeerOutcome {
    let state = Arc::clone(&request.state);
    let peers = state.relay.peers(&state);
    let Some(place) = state.relay.begin_sending().filter(|_| !peers.is_empty()) else {
        return PeerOutcome::NotTaken;
    };
    let Some(service) = request.route.select_target(state.jitter()).cloned() else {
        return PeerOutcome::NotTaken;
    };
    let mut tried = Vec::new();
    let may_offer = |request: &RoutedRequest| {
        !request.time_left().is_zero() && !request.time_to_send().is_zero()
    };
    while tried.len() < MAX_PEERS && may_offer(request) {
        let now = state.clock.now();
        let chosen = state.relay.choice().choose(&peers, &tried, now, &mut state.new_rng());
        let Some(peer) = chosen else { break };
        tried.push(peer);
        log_offer(request, peer, *history);
        let has_other = tried.len() < MAX_PEERS && tried.len() < peers.len();
        let result = offer(request, history, peer, (last_event_id, has_other)).await;
        let error = match result {
            OfferResult::Answered(head, body) => {
                record_relayed("answered");
                release_claim(request);
                let origin = head.headers.get(ORIGIN_HEADER);
                let origin = origin.and_then(|value| value.to_str().ok()?.parse().ok());
                let origin = origin.unwrap_or_else(|| StreamOrigin::new(&service, None));
                let hop = PeerHop { peer, service, origin, _place: place };
                return PeerOutcome::Answered(Box::new(PeerAnswer { hop, head, body }));
            }
            OfferResult::Refused(head, bytes) => {
                record_relayed("refused");
                release_claim(request);
                return PeerOutcome::Refused(head, bytes);
            }
            OfferResult::Unable(kind) => {
                record_relayed("unable");
                info!(state.log, "peer can't serve a request"; "request" => request.id(), "peer" => peer.to_string(), "kind" => kind.row().name);
                // That it has no upstream of one version says nothing of other requests.
                if kind != AnswerKind::VersionAbsent {
                    state.relay.choice().avoid(peer, state.clock.now());
                }
                continue;
            }
            OfferResult::Failed(error) => error,
        };
        record_relayed("failed");
        info!(state.log, "peer gave no answer"; "request" => request.id(), "peer" => peer.to_string(), "fault" => error.to_string());
        state.relay.choice().avoid(peer, state.clock.now());
        let has_run = !matches!(error, SendError::NotSent(_));
        if has_run && !request.may_send_again(&service, *history) {
            return PeerOutcome::Lost(error);
        }
    }
    PeerOutcome::NotTaken
}

/// Releases the claim on the organisation's limit, which the peer has charged.
fn release_claim(request: &mut RoutedRequest) {
    request.limit = request.limit.take().filter(|limit| limit.is_charged);
}

async fn offer(
    request: &RoutedRequest,
    history: &mut SendHistory,
    peer: SocketAddr,
    (last_event_id, has_other): (Option<u64>, bool),
) -> OfferResult {
    let built = match build_request(request, *history, last_event_id) {
        Ok(built) => built,
        Err(error) => return OfferResult::Failed(error),
    };
    let method = built.method().clone();
    history.begin_send();
    let limit = request.time_left();
    let mut sending = pin!(request.state.connections().send(peer, built, MAX_IDLE_TIME));
    let mut sent = tokio::time::timeout(offer_timeout(request), &mut sending).await;
    if sent.is_err() && !(has_other && request.may_leave_peer(*history)) {
        sent = tokio::time::timeout(request.time_left(), sending).await;
    }
    let sent = match sent {
        Ok(Ok(sent)) => Ok(sent),
        Ok(Err(OpenError::NotSent { detail })) => Err(SendError::NotSent(detail)),
        Ok(Err(OpenError::Lost { detail })) => Err(SendError::ConnectionBroken(detail)),
        Err(_) => Err(SendError::Unanswered(limit)),
    };
    let (answer, connection) = match sent {
        Ok(sent) => sent,
        Err(error) => {
            history.end_send(&error);
            return OfferResult::Failed(error);
        }
    };
    let (head, body) = AnswerBody::split(&method, answer, connection);
    match execution_status(&head) {
        None => return OfferResult::Answered(head, body),
        Some(ran) if ran != ExecutionStatus::No.name() => {
            let detail = format!("the peer answered {}", head.status);
            return OfferResult::Failed(SendError::NoUsableAnswer(detail));
        }
        Some(_) => {}
    }
    let refusal = body.collect(REFUSAL_LIMIT_BYTES).await;
    history.retract_send();
    read_refusal(head, refusal.map(|(bytes, _)| bytes))
}

impl RoutedRequest {
    /// True if another peer can be asked in place of one that has not answered.
    fn may_leave_peer(&self, history: SendHistory) -> bool {
        let service = self.route.services().next();
        service
            .is_some_and(|service| self.check_retry(service, history, PlacingRule::InForce).is_ok())
    }
}

/// A request that may be repeated leaves time to ask another peer, in case this one has stopped.
fn offer_timeout(request: &RoutedRequest) -> Duration {
    match request.route.kind.may_repeat() {
        true => request.time_left() / 2,
        false => request.time_left(),
    }
}

/// Whether the request has run, as a refusal of the peer's own states it. The answers of upstreams
/// don't have the header.
fn execution_status(head: &response::Parts) -> Option<&str> {
    head.headers.get(RAN_HEADER).and_then(|value| value.to_str().ok())
}

fn read_refusal(head: response::Parts, body: Result<Bytes, BodyError>) -> OfferResult {
    let Ok(bytes) = body else { return OfferResult::Unable(AnswerKind::Internal) };
    let problem: Option<ProblemBody> = serde_json::from_slice(&bytes).ok();
    match problem.map(|problem| problem.kind) {
        Some(kind) if !concerns_peer_only(kind) => OfferResult::Refused(head, bytes),
        Some(kind) => OfferResult::Unable(kind),
        None => OfferResult::Unable(AnswerKind::Internal),
    }
}

/// True for a refusal that another peer may not give: this daemon has found the request's route and
/// key in its own table, which may be newer than the peer's.
fn concerns_peer_only(kind: AnswerKind) -> bool {
    matches!(
        kind,
        AnswerKind::UpstreamAbsent
            | AnswerKind::UpstreamUnreachable
            | AnswerKind::TableStale
            | AnswerKind::Draining
            | AnswerKind::KeyMissing
            | AnswerKind::KeyUnknown
            | AnswerKind::NotAllowed
            | AnswerKind::ServiceUnknown
            | AnswerKind::RegionConflict
            | AnswerKind::VersionAbsent
            | AnswerKind::UpstreamResting
            | AnswerKind::MemoryFull
    )
}

fn build_request(
    request: &RoutedRequest,
    history: SendHistory,
    last_event_id: Option<u64>,
) -> Result<Request<Full<Bytes>>, SendError> {
    let fault = |detail: String| SendError::NotSent(detail);
    let path = request.parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let method = request.parts.method.clone();
    let key = request.state.relay.key().ok_or_else(|| fault("the relay is off".to_owned()))?;
    let ticket = RelayTicket {
        waited: request.state.clock.now().since(request.arrived_at),
        sent: history.sent(),
        not_run: history.not_run(),
        origin: request.origin,
    };
    let subject = TicketSubject { method: method.as_str(), path, id: request.id() };
    let ticket = HeaderValue::from_str(&ticket.encode(&subject, key));
    let ticket = ticket.map_err(|error| fault(error.to_string()))?;
    let mut built = Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(request.body.clone()))
        .map_err(|error| fault(error.to_string()))?;
    *built.headers_mut() = forwarded_headers(&request.parts.headers);
    let headers = built.headers_mut();
    if let Some(key) = request.parts.headers.get(AUTHORIZATION) {
        headers.insert(AUTHORIZATION, key.clone());
    }
    headers.insert(RELAY_HEADER, ticket);
    if let Some(id) = last_event_id {
        headers.insert(LAST_EVENT_ID, HeaderValue::from(id));
    }
    Ok(built)
}

fn log_offer(request: &RoutedRequest, peer: SocketAddr, history: SendHistory) {
    info!(request.state.log, "sent through a peer"; "request" => request.id(), "route" => &request.route.route, "peer" => peer.to_string(),
        "send" => history.sent() + 1, "waited_ms" => request.state.clock.now().since(request.arrived_at).as_millis() as u64,
        "left_ms" => request.time_left().as_millis() as u64);
}

impl AnswerSource {
    /// Name of the upstream, or address of the peer, for logs.
    pub fn name(&self) -> String {
        match self {
            AnswerSource::Upstream(placed) => placed.name.to_string(),
            AnswerSource::Peer(hop) => hop.peer.to_string(),
        }
    }

    /// The service that the request is counted for.
    pub fn service(&self) -> &ServiceName {
        match self {
            AnswerSource::Upstream(placed) => &placed.pool.service,
            AnswerSource::Peer(hop) => &hop.service,
        }
    }

    /// Where the events come from.
    pub fn origin(&self) -> StreamOrigin {
        match self {
            AnswerSource::Upstream(placed) => placed.origin(),
            AnswerSource::Peer(hop) => hop.origin,
        }
    }

    /// The placement at an upstream of this daemon.
    pub fn placed(&self) -> Option<&PlacedRequest> {
        match self {
            AnswerSource::Upstream(placed) => Some(placed),
            AnswerSource::Peer(_) => None,
        }
    }

    /// Reports the end of the request to its pool; a peer does so by itself.
    pub fn end(&mut self, outcome: DispatchOutcome) {
        if let AnswerSource::Upstream(placed) = self {
            placed.guard.end(outcome);
        }
    }
}
