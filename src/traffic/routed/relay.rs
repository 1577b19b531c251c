//! Relays answers to callers: plain ones once complete, streams event by event as they arrive.

use super::attempt::SendError;
use super::end_check::{CheckedEnd, EndDecision, EndEvidence, check_upstream_end};
use super::events::EventSplitter;
use super::forward::{SendResult, report_send_error};
use super::next_place::{NextPlace, SilentSend, settle};
use super::placing::{PlacedRequest, PlacingRule};
use super::request::{RequestStage, RoutedRequest};
use super::resumption::{PartEnd, ResumedBy, StreamResumption};
use super::send_history::SendHistory;
use super::stream_end::{CutCause, EndedBy, StreamBreak};
use super::through_peer::{PeerAnswer, PeerHop, PeerOutcome, send_through_peers};
use crate::answer::RAN_HEADER;
use crate::policy::{DispatchOutcome, Moment, PoolEvent};
use crate::quarantine::SuspectKeys;
use crate::report::{record_cut_answer, record_stream_end};
use crate::rollout::VersionOutcome;
use crate::table::UpstreamName;
use crate::traffic::memory_budget::NoMemory;
use crate::traffic::relay::ORIGIN_HEADER;
use crate::upstream::{
    AnswerBody, AnswerFraming, BodyEnd, BodyError, BodyRead, end_to_end_headers,
};
use axum::body::Body;
use bytes::Bytes;
use futures_util::stream;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderValue, Response, response};
use serde::de::IgnoredAny;
use slog::info;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;

/// Maximum size of a buffered answer, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;
/// Size of an incomplete event beyond which memory is reserved for it, and of a reservation, in bytes.
const EVENT_MEMORY_STEP: usize = 1 << 20;
/// Another place is looked for once a stream has paused for this many times the route's `gap_ms`.
const PAUSE_TIMEOUT_FACTOR: u32 = 4;
/// Lower bound of that time, and the time itself for routes without `gap_ms`.
const MIN_PAUSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between two searches for a peer that goes on with a stream.
const PEER_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for a place at any upstream but one, which may be the only one.
const AVOIDING_SEARCH_TIME: Duration = Duration::from_millis(500);
/// Event gaps are reported to the scheduler once per this many events.
const GAP_REPORT_EVENTS: u64 = 4;

/// Why an answer could not be buffered.
#[derive(Debug)]
pub enum BufferError {
    /// It is incomplete or too large.
    Unusable(String),
    /// The daemon had no memory left for it.
    NoMemory,
}

/// Buffers an answer that is not a stream; fails if it is incomplete or too large. An answer whose
/// end is unstated is complete if its content or its upstream shows it.
pub async fn buffered_response(
    request: &RoutedRequest,
    placed: &PlacedRequest,
    head: response::Parts,
    body: AnswerBody,
) -> Result<Response<Body>, BufferError> {
    let reading = BodyReading { request, source: BodySource::Upstream(placed), head: &head };
    let body = reading.whole_body(body).await?;
    let mut response = build_response(&head, body);
    response.headers_mut().remove(CONTENT_LENGTH);
    Ok(response)
}

/// Where an answer that is not a stream comes from.
pub enum BodySource<'a> {
    /// An upstream.
    Upstream(&'a PlacedRequest),
    /// A peer.
    Peer(SocketAddr),
}

impl BodySource<'_> {
    fn name(&self) -> String {
        match self {
            BodySource::Upstream(placed) => placed.name.to_string(),
            BodySource::Peer(address) => address.to_string(),
        }
    }
}

/// An answer that is not a stream and is being read.
pub struct BodyReading<'a> {
    pub request: &'a RoutedRequest,
    pub source: BodySource<'a>,
    pub head: &'a response::Parts,
}

impl BodyReading<'_> {
    /// Reads the body, as for [`buffered_response`].
    pub async fn whole_body(&self, body: AnswerBody) -> Result<Body, BufferError> {
        if self.request.state.memory.bounds_whole_answers() {
            return self.held_body(body).await;
        }
        let framing = body.framing();
        let collected = body.collect(ANSWER_LIMIT_BYTES).await;
        let (bytes, end) = collected.map_err(|error| BufferError::Unusable(error.to_string()))?;
        self.check_end(framing, end, || bytes.to_vec()).await?;
        Ok(Body::from(bytes))
    }

    /// Reads a body whose memory is counted until it is written to the caller.
    async fn held_body(&self, mut body: AnswerBody) -> Result<Body, BufferError> {
        let framing = body.framing();
        let (writer, held) = self.request.state.memory.begin_answer(self.request.id());
        loop {
            let read = tokio::select! {
                biased;
                () = writer.dropped() => return Err(BufferError::NoMemory),
                read = body.read() => read,
            };
            match read {
                BodyRead::Data(bytes) if writer.unread() + bytes.len() > ANSWER_LIMIT_BYTES => {
                    let error = BodyError::TooLarge { limit: ANSWER_LIMIT_BYTES };
                    return Err(BufferError::Unusable(error.to_string()));
                }
                BodyRead::Data(bytes) => {
                    writer.push(&bytes).map_err(|NoMemory| BufferError::NoMemory)?;
                }
                BodyRead::Ended(end) => {
                    tokio::select! {
                        biased;
                        () = writer.dropped() => return Err(BufferError::NoMemory),
                        checked = self.check_end(framing, end, || writer.copy_unread()) => checked?,
                    }
                    writer.finish();
                    return Ok(held.into_body(self.request.time_left()));
                }
                BodyRead::Broken(source) => {
                    let error = BodyError::Incomplete { source };
                    return Err(BufferError::Unusable(error.to_string()));
                }
            }
        }
    }

    /// Checks that a body whose end is unstated is whole.
    async fn check_end(
        &self,
        framing: AnswerFraming,
        end: BodyEnd,
        bytes: impl FnOnce() -> Vec<u8>,
    ) -> Result<(), BufferError> {
        let evidence = match end {
            BodyEnd::Stated => EndEvidence::Stated,
            BodyEnd::Unstated => self.find_evidence(bytes).await,
        };
        let checked = CheckedEnd { upstream: self.source.name(), framing, evidence };
        match evidence.fault() {
            None => {
                checked.report(self.request, EndDecision::Whole);
                Ok(())
            }
            Some(fault) => {
                checked.report(self.request, EndDecision::Discarded);
                Err(BufferError::Unusable(fault.to_owned()))
            }
        }
    }

    /// What shows whether a body whose end is unstated is whole.
    async fn find_evidence(&self, bytes: impl FnOnce() -> Vec<u8>) -> EndEvidence {
        let document = is_json(self.head).then(|| document_evidence(&bytes())).flatten();
        match (document, &self.source) {
            (Some(evidence), _) => evidence,
            (None, BodySource::Upstream(placed)) => {
                let (state, limit) = (&self.request.state, self.request.time_left());
                check_upstream_end(state, &placed.broken_upstream(), limit).await
            }
            (None, BodySource::Peer(_)) => EndEvidence::UnmarkedByPeer,
        }
    }
}

fn is_json(head: &response::Parts) -> bool {
    media_type(head).is_some_and(|name| name.eq_ignore_ascii_case("application/json"))
}

/// The media type of an answer, without parameters.
fn media_type(head: &response::Parts) -> Option<&str> {
    let value = head.headers.get(CONTENT_TYPE)?.to_str().ok()?;
    value.split(';').next().map(str::trim)
}

/// What an answer's media type says of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamContent {
    /// Server-sent events.
    Events,
    /// Not stated.
    Unstated,
    /// Anything else.
    Other,
}

impl StreamContent {
    /// Reads the media type.
    pub fn of(head: &response::Parts) -> Self {
        match media_type(head) {
            None => StreamContent::Unstated,
            Some(name) if name.eq_ignore_ascii_case("text/event-stream") => StreamContent::Events,
            Some(_) => StreamContent::Other,
        }
    }
}

/// What the bytes of a JSON document say of its end; `None` if it may go on, as a number does.
fn document_evidence(bytes: &[u8]) -> Option<EndEvidence> {
    match serde_json::from_slice::<IgnoredAny>(bytes) {
        Err(_) => Some(EndEvidence::WithinContent),
        Ok(_) if bytes.last().is_some_and(u8::is_ascii_digit) => None,
        Ok(_) => Some(EndEvidence::WholeDocument),
    }
}

fn build_response(head: &response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end_headers(&head.headers);
    response.headers_mut().remove(RAN_HEADER);
    response.headers_mut().remove(ORIGIN_HEADER);
    response
}

/// Builds the response that relays a stream.
pub fn stream_response(head: response::Parts, relay: StreamRelay) -> Response<Body> {
    let origin = relay.origin_for_peer();
    let body = match relay.request.state.memory.is_bounded() {
        true => held_stream(relay),
        false => direct_stream(relay),
    };
    let mut response = build_response(&head, body);
    response.headers_mut().remove(CONTENT_LENGTH);
    if let Some(origin) = origin {
        response.headers_mut().insert(ORIGIN_HEADER, origin);
    }
    response
}

/// The body of a stream that is read from its upstream as its caller takes it.
fn direct_stream(relay: StreamRelay) -> Body {
    Body::from_stream(stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next_step().await {
            RelayStep::Events(bytes) => Some((Ok(bytes), Some(relay))),
            // The error aborts the connection, so that a truncated stream does not look complete.
            RelayStep::Cut => Some((Err(io::Error::from(io::ErrorKind::UnexpectedEof)), None)),
            RelayStep::Done => None,
        }
    }))
}

/// The body of a stream that is read at its upstream's speed, so that a caller that reads slowly does
/// not hold the place there. It is cut if its relay ends without having finished it.
fn held_stream(mut relay: StreamRelay) -> Body {
    let time_left = relay.request.time_left();
    let (writer, mut held) = relay.request.state.memory.begin_answer(relay.request.id());
    let reading = tokio::spawn(async move {
        loop {
            let step = tokio::select! {
                biased;
                () = writer.dropped() => None,
                step = relay.next_step() => Some(step),
            };
            match step {
                Some(RelayStep::Events(bytes)) if writer.push(&bytes).is_ok() => {}
                Some(RelayStep::Done) => return writer.finish(),
                Some(RelayStep::Cut) => return,
                Some(RelayStep::Events(_)) | None => return relay.drop_unread(),
            }
            writer.wait_for_room().await;
        }
    });
    held.end_with_body(reading.abort_handle());
    held.into_body(time_left)
}

enum RelayStep {
    Events(Bytes),
    Done,
    Cut,
}

/// What comes first while a stream is read.
enum RelayEvent {
    Read(BodyRead),
    /// The stream can go on elsewhere, while its upstream is silent.
    NextSource(NextSource),
    Deadline,
}

/// Where a stream goes on that leaves a silent upstream.
enum NextSource {
    /// An upstream of this daemon, which has a place for it.
    Place(Box<PlacedRequest>),
    /// A peer, which has begun to answer.
    Peer(Box<PeerAnswer>),
}

/// How a send that is to resume a stream ended.
enum ResumeResult {
    Resumed,
    /// The upstream was silent; the stream has another place, or may go on through a peer.
    Left(Option<Box<PlacedRequest>>),
    Failed,
}

/// Looks for another place until there is one, while the old body is still read. A daemon that is cut
/// off from its upstreams asks its peers.
async fn find_next_source(
    request: &mut RoutedRequest,
    history: &mut SendHistory,
    source: &AnswerSource,
    last_event_id: Option<u64>,
    content: StreamContent,
) -> NextSource {
    let (service, rule) = (source.service(), PlacingRule::Admitted);
    let upstream = source.placed().map(|placed| &placed.name);
    settle().await;
    loop {
        let send = SilentSend { service, upstream, history: *history, rule };
        match request.search_next_place(send).await {
            Ok(NextPlace::Here(placed, _)) => return NextSource::Place(placed),
            Ok(NextPlace::ThroughPeer) => {
                if let Some(answer) = ask_peers(request, history, last_event_id, content).await {
                    return NextSource::Peer(answer);
                }
                tokio::time::sleep(PEER_INTERVAL).await;
            }
            Err(_) => return std::future::pending().await,
        }
    }
}

/// The answer of a peer that resumes the stream at the version that began it.
async fn ask_peers(
    request: &mut RoutedRequest,
    history: &mut SendHistory,
    last_event_id: Option<u64>,
    content: StreamContent,
) -> Option<Box<PeerAnswer>> {
    let (origin, sent) = (request.origin, history.sent());
    let outcome = send_through_peers(request, history, last_event_id).await;
    if history.sent() == sent
        && let Some(service) = request.route.services().next()
    {
        request.state.with_retry_budget(service, |budget| budget.refund());
    }
    match outcome {
        PeerOutcome::Answered(answer)
            if may_hold_rest(&answer.head, &answer.body, content)
                && origin.is_none_or(|origin| answer.hop.origin == origin) =>
        {
            Some(answer)
        }
        _ => None,
    }
}

/// True if an answer may hold the rest of a stream of this content. One that has no body, or a body of
/// another media type, does not say that the stream is complete.
fn may_hold_rest(head: &response::Parts, body: &AnswerBody, content: StreamContent) -> bool {
    let has_body = body.framing() != AnswerFraming::NoBody;
    head.status.is_success() && has_body && StreamContent::of(head) == content
}

/// What an answer says that does not hold the rest of a stream.
fn unusable_answer(head: &response::Parts) -> String {
    format!("status {}, media type {}", head.status, media_type(head).unwrap_or("not stated"))
}

/// Where the answer to a request comes from.
pub enum AnswerSource {
    /// An upstream.
    Upstream(PlacedRequest),
    /// A peer, which has sent the request to an upstream.
    Peer(PeerHop),
}

/// A stream being relayed. Dropped when the caller disconnects, which closes the connection to the
/// upstream.
pub struct StreamRelay {
    request: Box<RoutedRequest>,
    source: AnswerSource,
    history: SendHistory,
    /// `None` once the stream was broken, which closes the connection.
    body: Option<AnswerBody>,
    framing: AnswerFraming,
    content: StreamContent,
    splitter: EventSplitter,
    /// Event count and time at the start of the current gap measurement.
    gap_start: Option<(u64, Moment)>,
    timing: StreamTiming,
    /// What interrupted the stream last.
    interruption: Option<StreamBreak>,
    /// How the last part ended that was not whole.
    part_end: Option<PartEnd>,
    /// The resumption whose first event is awaited.
    resumption: Option<StreamResumption>,
    has_ended: bool,
    has_recorded_origin: bool,
    /// An upstream at which the stream is not resumed.
    avoided: Option<UpstreamName>,
    /// Memory reserved for the event that is being read.
    event_memory: Option<OwnedSemaphorePermit>,
}

/// Timing of a stream's events as seen by the caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamTiming {
    first: Option<Moment>,
    last: Option<Moment>,
    longest_pause: Duration,
}

impl StreamTiming {
    /// Time from `start` to the first event; `None` before the first event.
    pub fn first_event_after(&self, start: Moment) -> Option<Duration> {
        self.first.map(|at| at.since(start))
    }

    /// Longest pause between two events so far.
    pub fn longest_pause(&self) -> Duration {
        self.longest_pause
    }

    fn record_event(&mut self, now: Moment) {
        self.first = self.first.or(Some(now));
        let pause = self.last.map_or(Duration::ZERO, |last| now.since(last));
        self.longest_pause = self.longest_pause.max(pause);
        self.last = Some(now);
    }
}

impl StreamRelay {
    pub fn new(
        request: Box<RoutedRequest>,
        source: AnswerSource,
        history: SendHistory,
        content: StreamContent,
        body: AnswerBody,
    ) -> Self {
        let resumption = request.caller_resumption();
        let after = resumption.as_ref().and_then(|resumption| resumption.after_event);
        let splitter = EventSplitter::resuming(after);
        StreamRelay {
            request,
            source,
            history,
            framing: body.framing(),
            content,
            body: Some(body),
            splitter,
            gap_start: None,
            timing: StreamTiming::default(),
            interruption: None,
            part_end: None,
            resumption,
            has_ended: false,
            has_recorded_origin: false,
            avoided: None,
            event_memory: None,
        }
    }

    /// What began the stream, for the answer to a peer that has passed the request on.
    fn origin_for_peer(&self) -> Option<HeaderValue> {
        self.request.ticket.as_ref()?;
        HeaderValue::from_str(&self.source.origin().to_string()).ok()
    }

    async fn next_step(&mut self) -> RelayStep {
        if self.has_ended {
            return RelayStep::Done;
        }
        loop {
            let mut checked = None;
            let error = match self.next_event().await {
                RelayEvent::Read(BodyRead::Data(bytes)) => match self.take_events(&bytes) {
                    Ok(Some(events)) => return RelayStep::Events(events),
                    Ok(None) => continue,
                    Err(error) => error,
                },
                RelayEvent::Read(BodyRead::Ended(end)) => {
                    let end = self.check_end(end).await;
                    let Some(fault) = end.evidence.fault() else {
                        end.report(&self.request, EndDecision::Whole);
                        return self.end();
                    };
                    self.record_end();
                    self.avoid_uncertain(end.evidence);
                    checked = Some(end);
                    fault.to_owned()
                }
                RelayEvent::Read(BodyRead::Broken(error)) => error.to_string(),
                RelayEvent::Deadline => return self.cut(CutCause::Deadline),
                RelayEvent::NextSource(next) => match self.leave_for(next).await {
                    Ok(()) => continue,
                    Err(cause) => return self.cut_unresumed(cause),
                },
            };
            let resumed = self.resume_broken(SendError::ConnectionBroken(error)).await;
            if let Some(end) = checked {
                let decision = match resumed {
                    Ok(()) => EndDecision::Resumed,
                    Err(_) => EndDecision::Cut,
                };
                end.report(&self.request, decision);
            }
            if let Err(cause) = resumed {
                return self.cut_unresumed(cause);
            }
        }
    }

    /// Takes bytes of the body; returns the complete events. Fails if the stream can't go on with them.
    fn take_events(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, String> {
        let events = self.splitter.push(bytes);
        if let Some(fault) = self.splitter.join_fault() {
            return Err(fault.to_string());
        }
        if events.is_some() {
            self.interruption = None;
            self.event_memory = None;
            self.record_origin();
            self.log_resumed();
            self.report_timing();
        } else if !self.reserve_event_memory() {
            return Err(format!("no event ends within {} bytes", self.splitter.pending_bytes()));
        }
        Ok(events)
    }

    /// Reads the body. While the upstream is silent for long, another place is looked for; whichever
    /// comes first is returned.
    async fn next_event(&mut self) -> RelayEvent {
        let silence = self.pause_timeout();
        let limit = self.request.time_left();
        // Bytes that are always ready never let a timeout end.
        if limit.is_zero() {
            return RelayEvent::Deadline;
        }
        let Some(body) = &mut self.body else { return RelayEvent::Deadline };
        if let Ok(read) = tokio::time::timeout(silence.min(limit), body.read()).await {
            return RelayEvent::Read(read);
        }
        let limit = self.request.time_left();
        if limit.is_zero() {
            return RelayEvent::Deadline;
        }
        self.log_silence(silence);
        self.interruption = Some(StreamBreak::Silent(silence));
        let last_event_id = self.last_event_id();
        let content = self.content;
        let StreamRelay { request, history, body, source, splitter, .. } = self;
        let Some(body) = body else { return RelayEvent::Deadline };
        let search = Box::pin(async {
            match splitter.can_resume() {
                true => find_next_source(request, history, source, last_event_id, content).await,
                false => std::future::pending().await,
            }
        });
        tokio::select! {
            biased;
            read = body.read() => RelayEvent::Read(read),
            () = tokio::time::sleep(limit) => RelayEvent::Deadline,
            next = search => RelayEvent::NextSource(next),
        }
    }

    fn last_event_id(&self) -> Option<u64> {
        self.splitter.last_event_id().or(self.request.metadata.last_event_id)
    }

    fn log_silence(&self, silence: Duration) {
        info!(self.request.state.log, "upstream silent"; "request" => self.request.id(), "upstream" => self.source.name(),
            "events" => self.splitter.event_count(), "silent_ms" => silence.as_millis() as u64, "sent" => self.history.sent(),
            "left_ms" => self.request.time_left().as_millis() as u64);
    }

    /// Logs that the first event after a resumption has arrived.
    fn log_resumed(&mut self) {
        if self.splitter.first_event_id().is_none() {
            return;
        }
        let Some(resumption) = self.resumption.take() else { return };
        let previous = resumption.previous.as_ref();
        info!(self.request.state.log, "stream resumed"; "request" => self.request.id(), "by" => resumption.by.name(),
            "route" => &self.request.route.route, "resumes" => self.request.metadata.resumes.as_deref(), "upstream" => self.source.name(),
            "last_event" => previous.and_then(|part| part.last_event), "after_event" => resumption.after_event,
            "first_event" => self.splitter.first_event_id(), "previous" => previous.map(|part| &*part.source),
            "ended_by" => previous.map(|part| part.ended_by.name()), "detail" => previous.map(|part| &*part.detail));
    }

    /// Records what began the stream, before its first event leaves.
    fn record_origin(&mut self) {
        if self.has_recorded_origin {
            return;
        }
        self.has_recorded_origin = true;
        self.request.record_origin(self.source.origin());
    }

    /// Reserves memory for the event that is being read; false if the daemon has none left. An upstream
    /// may write an event without end.
    fn reserve_event_memory(&mut self) -> bool {
        let needed = self.splitter.pending_bytes() / EVENT_MEMORY_STEP;
        let held = self.event_memory.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let missing = needed.saturating_sub(held) as u32;
        if missing == 0 {
            return true;
        }
        let memory = Arc::clone(&self.request.state.event_memory);
        let Ok(more) = memory.try_acquire_many_owned(missing) else { return false };
        match &mut self.event_memory {
            Some(known) => known.merge(more),
            None => self.event_memory = Some(more),
        }
        true
    }

    /// Checks a body that ends here. No framing makes half an event complete, but content of no
    /// stated type may be something else.
    async fn check_end(&self, end: BodyEnd) -> CheckedEnd {
        let evidence = match (end, self.source.placed()) {
            (BodyEnd::Stated, _) if self.content == StreamContent::Unstated => EndEvidence::Stated,
            _ if self.splitter.is_within_event() => EndEvidence::WithinContent,
            (BodyEnd::Stated, _) => EndEvidence::Stated,
            (BodyEnd::Unstated, None) => EndEvidence::UnmarkedByPeer,
            (BodyEnd::Unstated, Some(placed)) => {
                let (state, limit) = (&self.request.state, self.request.time_left());
                check_upstream_end(state, &placed.broken_upstream(), limit).await
            }
        };
        CheckedEnd { upstream: self.source.name(), framing: self.framing, evidence }
    }

    /// Keeps the stream from an upstream of which it is unknown whether it has ended.
    fn avoid_uncertain(&mut self, evidence: EndEvidence) {
        let placed = self.source.placed().filter(|_| evidence.is_uncertain());
        self.avoided = placed.map(|placed| placed.name.clone());
    }

    /// How long the upstream may pause before another place is looked for.
    fn pause_timeout(&self) -> Duration {
        let counted_sends = PlacingRule::Admitted.counted_sends(self.history);
        if !self.request.route.kind.may_repeat() || counted_sends >= self.request.route.attempts {
            return Duration::MAX;
        }
        let gap = self.request.route.gap_ms.unwrap_or_default() * PAUSE_TIMEOUT_FACTOR;
        let first = self.request.route.objective_ms * 2;
        gap.max(MIN_PAUSE_TIMEOUT).max(if self.splitter.event_count() == 0 {
            first
        } else {
            Duration::ZERO
        })
    }

    /// Finishes a complete stream.
    fn end(&mut self) -> RelayStep {
        self.has_ended = true;
        self.body = None;
        self.record_end();
        let output_tokens = self.splitter.event_count() as u32;
        if let Some(placed) = self.source.placed() {
            let time = self.request.state.clock.now().since(placed.sent_at);
            self.request.state.record_answer_time(&self.request.route.route, time);
        }
        self.source.end(DispatchOutcome::Completed { prompt_tokens: None, output_tokens });
        self.log_ended();
        self.splitter.take_remainder().map_or(RelayStep::Done, RelayStep::Events)
    }

    /// Records and logs the stream's timing, which shows whether the caller was served in time.
    fn log_ended(&mut self) {
        self.request.stage = RequestStage::Ended;
        let now = self.request.state.clock.now();
        self.request.note_whole_answer(&self.answered_keys());
        let arrived = self.request.arrived_at;
        self.request.record("answered", Some(&self.timing));
        let first = self.timing.first_event_after(arrived).unwrap_or_default();
        let after = now.since(arrived);
        info!(self.request.state.log, "answered"; "request" => self.request.id(), "upstream" => self.source.name(),
            "status" => 200, "after_ms" => after.as_millis() as u64, "first_ms" => first.as_millis() as u64,
            "pause_ms" => self.timing.longest_pause.as_millis() as u64, "events" => self.splitter.event_count(),
            "last_event" => self.splitter.last_event_id(), "framing" => self.framing.name(), self.request.size_fields());
    }

    /// What the whole stream clears. An upstream that wrote no event has not begun on the parts; what
    /// a peer's upstream wrote is known to the peer.
    fn answered_keys(&self) -> SuspectKeys {
        match self.source.placed() {
            Some(placed) if self.splitter.event_count() > 0 => {
                self.request.suspect_keys(&placed.pool.service)
            }
            _ => SuspectKeys::of_content(self.request.fingerprint),
        }
    }

    fn record_end(&self) {
        record_stream_end(self.framing, self.splitter.is_within_event());
    }

    /// Cuts a stream that goes on nowhere.
    fn cut_unresumed(&mut self, cause: CutCause) -> RelayStep {
        if self.has_recorded_origin && self.request.route.kind.may_repeat() {
            self.request.record_resumption("answer", "broken-off");
        }
        self.cut(cause)
    }

    /// Ends a stream whose unread events were dropped, unless it was read whole.
    fn drop_unread(&mut self) {
        if !self.has_ended {
            self.cut(CutCause::Dropped);
        }
    }

    fn cut(&mut self, cause: CutCause) -> RelayStep {
        self.has_ended = true;
        self.request.stage = RequestStage::Ended;
        self.request.record("cut", Some(&self.timing));
        // A lack of memory here says nothing of the upstream.
        let is_own_fault = cause == CutCause::Dropped;
        if self.body.is_some() && !is_own_fault {
            self.record_failure();
        }
        self.body = None;
        self.source.end(match is_own_fault {
            true => DispatchOutcome::Cancelled,
            false => DispatchOutcome::Failed,
        });
        let ended_by = cause.ended_by(self.interruption);
        record_cut_answer(ended_by.name(), cause.name());
        let after = self.request.state.clock.now().since(self.request.arrived_at);
        info!(self.request.state.log, "stream cut"; "request" => self.request.id(), "upstream" => self.source.name(),
            "route" => &self.request.route.route, "events" => self.splitter.event_count(), "after_ms" => after.as_millis() as u64,
            "last_event" => self.splitter.last_event_id(), "sent" => self.history.sent(), "ended_by" => ended_by.name(), "cause" => cause.name(),
            "silent_ms" => self.silent_ms(), self.request.table_fields(), self.request.size_fields());
        RelayStep::Cut
    }

    /// Length of the silence that interrupted the stream, if one did, in milliseconds.
    fn silent_ms(&self) -> Option<u64> {
        match self.interruption {
            Some(StreamBreak::Silent(time)) => Some(time.as_millis() as u64),
            Some(StreamBreak::BrokenOff) | None => None,
        }
    }

    fn record_failure(&self) {
        if let Some(placed) = self.source.placed() {
            self.request.record_version_answer(placed, VersionOutcome::Failed);
        }
    }

    /// Leaves a silent upstream for a place that the stream has elsewhere.
    async fn leave_for(&mut self, next: NextSource) -> Result<(), CutCause> {
        let silence = self.silent_ms().unwrap_or_default();
        let error = SendError::NoUsableAnswer(format!("no event within {silence} ms"));
        self.close_source(&error);
        match next {
            NextSource::Peer(answer) => {
                self.adopt(AnswerSource::Peer(answer.hop), answer.body);
                Ok(())
            }
            NextSource::Place(placed) => self.resume_at(Some(placed)).await,
        }
    }

    /// Resumes a stream that its upstream broke off, or returns why none may or can.
    async fn resume_broken(&mut self, error: SendError) -> Result<(), CutCause> {
        self.interruption = Some(StreamBreak::BrokenOff);
        self.close_source(&error);
        match self.splitter.can_resume() {
            true => self.resume_at(None).await,
            false => Err(CutCause::UnnumberedEvent),
        }
    }

    /// Closes the connection, which makes the upstream stop before another one begins.
    fn close_source(&mut self, error: &SendError) {
        self.body = None;
        let last_event = self.splitter.last_event_id();
        let ended_by = self.interruption.map_or(EndedBy::Daemon, StreamBreak::ended_by);
        let (source, detail) = (self.source.name(), error.to_string());
        info!(self.request.state.log, "stream broken"; "request" => self.request.id(), "upstream" => &source,
            "events" => self.splitter.event_count(), "last_event" => last_event, "first_event" => self.splitter.first_event_id(),
            "ended_by" => ended_by.name(), "framing" => self.framing.name(),
            "unfinished_bytes" => self.splitter.pending_bytes(), "silent_ms" => self.silent_ms(), "detail" => &detail);
        self.part_end = Some(PartEnd { source, ended_by, detail, last_event });
        if let AnswerSource::Upstream(placed) = &mut self.source {
            report_send_error(&self.request, placed, error);
        }
    }

    /// Resumes the stream after its last complete event, at first at a place that it has already. A
    /// stream that was taken from a silent upstream is not given up while there may be another place.
    async fn resume_at(&mut self, place: Option<Box<PlacedRequest>>) -> Result<(), CutCause> {
        let last_event_id = self.last_event_id();
        let mut was_left = place.is_some();
        let mut found = place;
        loop {
            let placed = match found.take() {
                Some(placed) => placed,
                None => match self.next_place(was_left).await? {
                    NextPlace::Here(placed, _) => placed,
                    NextPlace::ThroughPeer if self.resume_through_peers(last_event_id).await => {
                        return Ok(());
                    }
                    NextPlace::ThroughPeer if was_left => {
                        tokio::time::sleep(PEER_INTERVAL.min(self.request.time_left())).await;
                        continue;
                    }
                    NextPlace::ThroughPeer => return Err(CutCause::NoPeer),
                },
            };
            match self.send_to(*placed, last_event_id).await {
                ResumeResult::Resumed => return Ok(()),
                ResumeResult::Left(next) => {
                    was_left = true;
                    found = next;
                }
                ResumeResult::Failed if was_left => {}
                ResumeResult::Failed => self.interruption = Some(StreamBreak::BrokenOff),
            }
        }
    }

    /// Waits for the next place of a stream that no upstream has.
    async fn next_place(&self, was_left: bool) -> Result<NextPlace, CutCause> {
        let (service, history, rule) = (self.source.service(), self.history, PlacingRule::Admitted);
        if !was_left {
            let Some(avoided) = &self.avoided else {
                return self.request.find_next_place(service, history, rule, None).await;
            };
            let found = self.request.find_next_place(service, history, rule, Some(avoided));
            let found = tokio::time::timeout(AVOIDING_SEARCH_TIME, found).await;
            return found.unwrap_or(Err(CutCause::NoPlaceInTime));
        }
        let send = SilentSend { service, upstream: None, history, rule };
        let search = self.request.search_next_place(send);
        let found = tokio::time::timeout(self.request.time_left(), search).await;
        found.unwrap_or(Err(CutCause::Deadline))
    }

    /// Sends the request to an upstream, which resumes its stream.
    async fn send_to(
        &mut self,
        mut placed: PlacedRequest,
        last_event_id: Option<u64>,
    ) -> ResumeResult {
        self.request.log_send(&placed, self.history, last_event_id);
        let rule = PlacingRule::Admitted;
        let sent = self.request.try_send(&placed, &mut self.history, last_event_id, rule).await;
        let result = match sent {
            SendResult::Ended(Ok(answer))
                if may_hold_rest(&answer.head, &answer.body, self.content) =>
            {
                self.adopt(AnswerSource::Upstream(placed), answer.body);
                return ResumeResult::Resumed;
            }
            SendResult::Ended(Ok(answer)) => {
                self.log_not_resumed(&placed, &unusable_answer(&answer.head));
                self.request.record_version_answer(&placed, VersionOutcome::Failed);
                placed.guard.end(DispatchOutcome::Failed);
                ResumeResult::Failed
            }
            SendResult::Ended(Err(error)) => {
                self.log_not_resumed(&placed, &error.to_string());
                self.history.end_send(&error);
                report_send_error(&self.request, &mut placed, &error);
                ResumeResult::Failed
            }
            SendResult::Left(next, error) => {
                self.log_not_resumed(&placed, &error.to_string());
                report_send_error(&self.request, &mut placed, &error);
                match next {
                    NextPlace::Here(next, _) => ResumeResult::Left(Some(next)),
                    NextPlace::ThroughPeer => ResumeResult::Left(None),
                }
            }
        };
        self.source = AnswerSource::Upstream(placed);
        result
    }

    fn log_not_resumed(&self, placed: &PlacedRequest, fault: &str) {
        info!(self.request.state.log, "stream not resumed"; "request" => self.request.id(), "upstream" => placed.name.as_str(),
            "after_event" => self.last_event_id(), "sent" => self.history.sent(), "fault" => fault);
    }

    async fn resume_through_peers(&mut self, last_event_id: Option<u64>) -> bool {
        let answer =
            ask_peers(&mut self.request, &mut self.history, last_event_id, self.content).await;
        let is_resumed = answer.is_some();
        answer
            .into_iter()
            .for_each(|answer| self.adopt(AnswerSource::Peer(answer.hop), answer.body));
        is_resumed
    }

    /// Goes on with the body of an answer that resumes the stream.
    fn adopt(&mut self, source: AnswerSource, body: AnswerBody) {
        self.request.record_resumption("answer", "same-version");
        self.splitter.discard_partial();
        self.event_memory = None;
        self.gap_start = None;
        self.interruption = None;
        self.resumption = Some(StreamResumption {
            by: ResumedBy::Entry,
            after_event: self.last_event_id(),
            previous: self.part_end.take(),
        });
        self.source = source;
        self.framing = body.framing();
        self.body = Some(body);
    }

    /// Reports the event timing to the scheduler, which learns the upstream's speed from it.
    fn report_timing(&mut self) {
        let now = self.request.state.clock.now();
        self.timing.record_event(now);
        let events = self.splitter.event_count();
        let AnswerSource::Upstream(placed) = &mut self.source else { return };
        let id = placed.number;
        placed.first_event_at = placed.first_event_at.or(Some(now));
        let placed = &*placed;
        match self.gap_start {
            None => {
                self.gap_start = Some((events, now));
                let after = now.since(placed.sent_at);
                self.request.record_version_answer(placed, VersionOutcome::served(after));
                placed.pool.handle_event(PoolEvent::FirstToken { id, after });
            }
            Some((from, at)) if events >= from + GAP_REPORT_EVENTS => {
                self.gap_start = Some((events, now));
                let count = (events - from) as u32 * placed.pool.event_tokens();
                placed.pool.handle_event(PoolEvent::TokenGap { id, gap: now.since(at) / count });
            }
            Some(_) => {}
        }
    }
}
