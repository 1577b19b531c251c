//! Relays answers to callers: plain ones once complete, streams event by event as they arrive.

use super::attempt::SendError;
use super::events::EventSplitter;
use super::forward::report_send_error;
use super::placing::PlacedRequest;
use super::request::{RequestStage, RoutedRequest};
use super::send_history::SendHistory;
use super::stream_end::{CutCause, StreamBreak};
use super::through_peer::{PeerHop, PeerOutcome, send_through_peers};
use crate::answer::{AnswerKind, RAN_HEADER};
use crate::policy::{DispatchOutcome, Moment, PoolEvent};
use crate::report::{record_cut_answer, record_stream_end};
use crate::rollout::VersionOutcome;
use crate::traffic::crash_check::has_ended;
use crate::traffic::relay::ORIGIN_HEADER;
use crate::upstream::{AnswerBody, AnswerFraming, BodyEnd, BodyRead, end_to_end_headers};
use axum::body::Body;
use bytes::Bytes;
use futures_util::stream;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderValue, Response, response};
use serde::de::IgnoredAny;
use slog::info;
use std::io;
use std::time::Duration;

/// Maximum size of a buffered answer, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;
/// A stream that pauses for this many times the route's `gap_ms` is resumed elsewhere, if allowed.
const PAUSE_TIMEOUT_FACTOR: u32 = 4;
/// Lower bound of that time, and the time itself for routes without `gap_ms`.
const MIN_PAUSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Event gaps are reported to the scheduler once per this many events.
const GAP_REPORT_EVENTS: u64 = 4;

/// Buffers an answer that is not a stream; fails if it is incomplete or too large. An answer whose
/// end is unstated counts as complete unless its content shows that it is not.
pub async fn buffered_response(
    head: response::Parts,
    body: AnswerBody,
) -> Result<Response<Body>, String> {
    let bytes = whole_body(&head, body).await?;
    let mut response = build_response(&head, Body::from(bytes));
    response.headers_mut().remove(CONTENT_LENGTH);
    Ok(response)
}

/// Reads the body of an answer that is not a stream, as for [`buffered_response`].
pub async fn whole_body(head: &response::Parts, body: AnswerBody) -> Result<Bytes, String> {
    let collected = body.collect(ANSWER_LIMIT_BYTES).await;
    let (bytes, end) = collected.map_err(|error| error.to_string())?;
    if end == BodyEnd::Unstated && is_json(head) && !is_complete_json(&bytes) {
        return Err("the connection ended within a JSON document".to_owned());
    }
    Ok(bytes)
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

fn is_complete_json(bytes: &[u8]) -> bool {
    serde_json::from_slice::<IgnoredAny>(bytes).is_ok()
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
    let events = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next_step().await {
            RelayStep::Events(bytes) => Some((Ok(bytes), Some(relay))),
            // The error aborts the connection, so that a truncated stream does not look complete.
            RelayStep::Cut => Some((Err(io::Error::from(io::ErrorKind::UnexpectedEof)), None)),
            RelayStep::Done => None,
        }
    });
    let mut response = build_response(&head, Body::from_stream(events));
    response.headers_mut().remove(CONTENT_LENGTH);
    if let Some(origin) = origin {
        response.headers_mut().insert(ORIGIN_HEADER, origin);
    }
    response
}

enum RelayStep {
    Events(Bytes),
    Done,
    Cut,
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
    has_ended: bool,
    has_recorded_origin: bool,
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
        StreamRelay {
            request,
            source,
            history,
            framing: body.framing(),
            content,
            body: Some(body),
            splitter: EventSplitter::default(),
            gap_start: None,
            timing: StreamTiming::default(),
            interruption: None,
            has_ended: false,
            has_recorded_origin: false,
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
            let limit = self.request.time_left().min(self.pause_timeout());
            let Some(body) = &mut self.body else {
                return self.cut(CutCause::NoPlace(AnswerKind::UpstreamLost));
            };
            let error = match tokio::time::timeout(limit, body.read()).await {
                Ok(BodyRead::Data(bytes)) => match self.splitter.push(&bytes) {
                    Some(events) => {
                        self.record_origin();
                        self.report_timing();
                        return RelayStep::Events(events);
                    }
                    None => continue,
                },
                Ok(BodyRead::Ended(end)) => match self.find_break(end).await {
                    None => return self.end(),
                    Some(detail) => {
                        self.record_end();
                        SendError::ConnectionBroken(detail.to_owned())
                    }
                },
                Ok(BodyRead::Broken(error)) => SendError::ConnectionBroken(error.to_string()),
                Err(_) if self.request.time_left().is_zero() => {
                    return self.cut(CutCause::Deadline);
                }
                Err(_) => SendError::NoUsableAnswer(format!("no event within {limit:?}")),
            };
            self.interruption = Some(match error {
                SendError::NoUsableAnswer(_) => StreamBreak::Silent(limit),
                _ => StreamBreak::BrokenOff,
            });
            if let Err(cause) = self.resume_elsewhere(error).await {
                if self.has_recorded_origin && self.request.route.kind.may_repeat() {
                    self.request.record_resumption("answer", "broken-off");
                }
                return self.cut(cause);
            }
        }
    }

    /// Records what began the stream, before its first event leaves.
    fn record_origin(&mut self) {
        if self.has_recorded_origin {
            return;
        }
        self.has_recorded_origin = true;
        self.request.record_origin(self.source.origin());
    }

    /// Why a body that ends here is incomplete; `None` if it is complete. No framing makes half an
    /// event complete, but content of no stated type may be something else. An unstated end between
    /// two events is that of a whole stream, unless the upstream ended with it.
    async fn find_break(&self, end: BodyEnd) -> Option<&'static str> {
        let is_within_event = self.splitter.is_within_event();
        match (end, self.source.placed()) {
            (BodyEnd::Stated, _) if self.content == StreamContent::Unstated => None,
            _ if is_within_event => Some("the stream ended within an event"),
            (BodyEnd::Unstated, Some(placed))
                if has_ended(&self.request.state, &placed.broken_upstream()).await =>
            {
                Some("the upstream ended with its stream")
            }
            _ => None,
        }
    }

    /// How long the upstream may pause before the stream is resumed elsewhere.
    fn pause_timeout(&self) -> Duration {
        if !self.request.route.kind.may_repeat()
            || self.history.sent() >= self.request.route.attempts
        {
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
        self.source.end(DispatchOutcome::Completed { prompt_tokens: None, output_tokens });
        self.log_ended();
        self.splitter.take_remainder().map_or(RelayStep::Done, RelayStep::Events)
    }

    /// Records and logs the stream's timing, which shows whether the caller was served in time.
    fn log_ended(&mut self) {
        self.request.stage = RequestStage::Ended;
        let (now, quarantine) = (self.request.state.clock.now(), &self.request.state.quarantine);
        quarantine.note_answer(self.request.fingerprint, now);
        let arrived = self.request.arrived_at;
        self.request.record("answered", Some(&self.timing));
        let first = self.timing.first_event_after(arrived).unwrap_or_default();
        let after = now.since(arrived);
        info!(self.request.state.log, "answered"; "request" => self.request.id(), "upstream" => self.source.name(),
            "status" => 200, "after_ms" => after.as_millis() as u64, "first_ms" => first.as_millis() as u64,
            "pause_ms" => self.timing.longest_pause.as_millis() as u64, "events" => self.splitter.event_count(),
            "framing" => self.framing.name(), self.request.size_fields());
    }

    fn record_end(&self) {
        record_stream_end(self.framing, self.splitter.is_within_event());
    }

    fn cut(&mut self, cause: CutCause) -> RelayStep {
        self.has_ended = true;
        self.request.stage = RequestStage::Ended;
        self.request.record("cut", Some(&self.timing));
        if self.body.is_some() {
            self.record_failure();
        }
        self.body = None;
        self.source.end(DispatchOutcome::Failed);
        let ended_by = cause.ended_by(self.interruption);
        record_cut_answer(ended_by.name(), cause.name());
        let after = self.request.state.clock.now().since(self.request.arrived_at);
        info!(self.request.state.log, "stream cut"; "request" => self.request.id(), "upstream" => self.source.name(),
            "route" => &self.request.route.route, "events" => self.splitter.event_count(), "after_ms" => after.as_millis() as u64,
            "sent" => self.history.sent(), "ended_by" => ended_by.name(), "cause" => cause.name(),
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

    /// Resumes the stream elsewhere after its last complete event, or returns why none may or can.
    async fn resume_elsewhere(&mut self, error: SendError) -> Result<(), CutCause> {
        // Closing the connection first makes the upstream stop before another one begins.
        self.body = None;
        info!(self.request.state.log, "stream broken"; "request" => self.request.id(), "upstream" => self.source.name(),
            "events" => self.splitter.event_count(), "framing" => self.framing.name(),
            "unfinished_bytes" => self.splitter.pending_bytes(), "silent_ms" => self.silent_ms(), "detail" => error.to_string());
        if let AnswerSource::Upstream(placed) = &mut self.source {
            report_send_error(&self.request, placed, &error);
        }
        if !self.splitter.can_resume() {
            return Err(CutCause::UnnumberedEvent);
        }
        let last_event_id = self.splitter.last_event_id().or(self.request.metadata.last_event_id);
        loop {
            let service = self.source.service().clone();
            self.request.withdraw_retry(&service, self.history).map_err(CutCause::NoRetry)?;
            let mut placed = match self.request.place(self.history).await {
                Ok(placed) => placed,
                Err(kind) if self.request.may_pass_on(kind) => {
                    let is_resumed = self.resume_through_peers(last_event_id).await;
                    return is_resumed.then_some(()).ok_or(CutCause::NoPeer);
                }
                Err(kind) => return Err(CutCause::NoPlace(kind)),
            };
            self.request.log_send(&placed, self.history, last_event_id);
            let answer = self.request.try_send(&placed, &mut self.history, last_event_id).await;
            match answer {
                Ok(answer) if answer.head.status.is_success() => {
                    self.adopt(AnswerSource::Upstream(placed), answer.body);
                    return Ok(());
                }
                Ok(_) => {
                    self.request.record_version_answer(&placed, VersionOutcome::Failed);
                    placed.guard.end(DispatchOutcome::Failed);
                }
                Err(error) => report_send_error(&self.request, &mut placed, &error),
            }
            self.source = AnswerSource::Upstream(placed);
        }
    }

    async fn resume_through_peers(&mut self, last_event_id: Option<u64>) -> bool {
        let (request, history) = (&mut self.request, &mut self.history);
        let origin = request.origin;
        match send_through_peers(request, history, last_event_id).await {
            PeerOutcome::Answered(answer)
                if answer.head.status.is_success()
                    && origin.is_none_or(|origin| answer.hop.origin == origin) =>
            {
                self.adopt(AnswerSource::Peer(answer.hop), answer.body);
                true
            }
            _ => false,
        }
    }

    /// Goes on with the body of an answer that resumes the stream.
    fn adopt(&mut self, source: AnswerSource, body: AnswerBody) {
        self.request.record_resumption("answer", "same-version");
        self.splitter.discard_partial();
        self.gap_start = None;
        self.source = source;
        self.framing = body.framing();
        self.body = Some(body);
    }

    /// Reports the event timing to the scheduler, which learns the upstream's speed from it.
    fn report_timing(&mut self) {
        let now = self.request.state.clock.now();
        self.timing.record_event(now);
        let events = self.splitter.event_count();
        let Some(placed) = self.source.placed() else { return };
        let id = placed.number;
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
