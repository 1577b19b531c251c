//! Relays answers to callers: plain ones once complete, streams event by event as they arrive.

use super::attempt::SendError;
use super::events::EventSplitter;
use super::forward::{PlacedRequest, RequestStage, RoutedRequest, SendHistory, report_send_error};
use crate::answer::RAN_HEADER;
use crate::policy::{DispatchOutcome, Moment, PoolEvent};
use crate::report::record_stream_end;
use crate::rollout::VersionOutcome;
use crate::upstream::{AnswerFraming, ConnectionGuard, end_to_end_headers};
use axum::body::Body;
use bytes::Bytes;
use futures_util::stream;
use http::header::CONTENT_LENGTH;
use http::{Response, response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
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

/// Buffers an answer that is not a stream; fails if it is incomplete or too large.
pub async fn buffered_response(
    answer: Response<Incoming>,
    connection: ConnectionGuard,
) -> Result<Response<Body>, String> {
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, ANSWER_LIMIT_BYTES)
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    connection.finish();
    let mut response = build_response(&head, Body::from(body.to_bytes()));
    response.headers_mut().remove(CONTENT_LENGTH);
    Ok(response)
}

fn build_response(head: &response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end_headers(&head.headers);
    response.headers_mut().remove(RAN_HEADER);
    response
}

/// Builds the response that relays a stream.
pub fn stream_response(head: response::Parts, relay: StreamRelay) -> Response<Body> {
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
    response
}

enum RelayStep {
    Events(Bytes),
    Done,
    Cut,
}

/// A stream being relayed. Dropped when the caller disconnects, which closes the connection to the
/// upstream.
pub struct StreamRelay {
    request: Box<RoutedRequest>,
    placed: PlacedRequest,
    history: SendHistory,
    body: Incoming,
    framing: AnswerFraming,
    connection: Option<ConnectionGuard>,
    splitter: EventSplitter,
    /// Event count and time at the start of the current gap measurement.
    gap_start: Option<(u64, Moment)>,
    timing: StreamTiming,
    has_ended: bool,
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
        placed: PlacedRequest,
        history: SendHistory,
        body: Incoming,
        framing: AnswerFraming,
        connection: ConnectionGuard,
    ) -> Self {
        StreamRelay {
            request,
            placed,
            history,
            body,
            framing,
            connection: Some(connection),
            splitter: EventSplitter::default(),
            gap_start: None,
            timing: StreamTiming::default(),
            has_ended: false,
        }
    }

    async fn next_step(&mut self) -> RelayStep {
        if self.has_ended {
            return RelayStep::Done;
        }
        loop {
            let limit = self.request.time_left().min(self.pause_timeout());
            let frame = tokio::time::timeout(limit, self.body.frame()).await;
            let error = match frame {
                Ok(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    match self.splitter.push(&bytes) {
                        Some(events) => {
                            self.report_timing();
                            return RelayStep::Events(events);
                        }
                        None => continue,
                    }
                }
                Ok(None) => return self.end(),
                Ok(Some(Err(error))) => SendError::ConnectionBroken(error.to_string()),
                Err(_) if self.request.time_left().is_zero() => {
                    return self.cut("the deadline has passed");
                }
                Err(_) => SendError::NoUsableAnswer(format!("no event within {limit:?}")),
            };
            if !self.resume_elsewhere(error).await {
                return self.cut("no other upstream can resume it");
            }
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

    /// Finishes a stream that the upstream ended normally.
    fn end(&mut self) -> RelayStep {
        self.has_ended = true;
        self.connection.take().into_iter().for_each(ConnectionGuard::finish);
        let output_tokens = self.splitter.event_count() as u32;
        self.placed.guard.end(DispatchOutcome::Completed { prompt_tokens: None, output_tokens });
        self.log_ended();
        self.splitter.take_remainder().map_or(RelayStep::Done, RelayStep::Events)
    }

    /// Records and logs the stream's timing, which shows whether the caller was served in time.
    fn log_ended(&mut self) {
        let unfinished_bytes = self.splitter.pending_bytes();
        record_stream_end(self.framing, unfinished_bytes > 0);
        self.request.stage = RequestStage::Ended;
        let (now, quarantine) = (self.request.state.clock.now(), &self.request.state.quarantine);
        quarantine.note_answer(self.request.fingerprint, now);
        let arrived = self.request.arrived_at;
        self.request.record("answered", Some(&self.timing));
        let first = self.timing.first_event_after(arrived).unwrap_or_default();
        let after = now.since(arrived);
        info!(self.request.state.log, "answered"; "request" => self.request.id(), "upstream" => self.placed.name.as_str(),
            "status" => 200, "after_ms" => after.as_millis() as u64, "first_ms" => first.as_millis() as u64,
            "pause_ms" => self.timing.longest_pause.as_millis() as u64, "events" => self.splitter.event_count(),
            "framing" => self.framing.name(), "unfinished_bytes" => unfinished_bytes, self.request.size_fields());
    }

    fn cut(&mut self, detail: &str) -> RelayStep {
        self.has_ended = true;
        self.request.stage = RequestStage::Ended;
        self.request.record("cut", Some(&self.timing));
        if self.connection.is_some() {
            self.request.record_version_answer(&self.placed, VersionOutcome::Failed);
        }
        self.connection = None;
        self.placed.guard.end(DispatchOutcome::Failed);
        info!(self.request.state.log, "stream cut"; "request" => self.request.id(), "upstream" => self.placed.name.as_str(),
            "events" => self.splitter.event_count(), "detail" => detail, self.request.size_fields());
        RelayStep::Cut
    }

    /// Resumes the stream elsewhere after its last complete event; false if no upstream may or can.
    async fn resume_elsewhere(&mut self, error: SendError) -> bool {
        // Closing the connection first makes the upstream stop before another one begins.
        self.connection = None;
        info!(self.request.state.log, "stream broken"; "request" => self.request.id(), "upstream" => self.placed.name.as_str(),
            "events" => self.splitter.event_count(), "detail" => error.to_string());
        report_send_error(&self.request, &mut self.placed, &error);
        while self.request.may_send_again(&self.placed.pool.service.clone(), self.history) {
            let Ok(placed) = self.request.place(self.history).await else { return false };
            self.placed = placed;
            let last_event_id =
                self.splitter.last_event_id().or(self.request.metadata.last_event_id);
            self.request.log_send(&self.placed, self.history, last_event_id);
            let answer =
                self.request.try_send(&self.placed, &mut self.history, last_event_id).await;
            match answer {
                Ok(answer) if answer.response.status().is_success() => {
                    self.splitter.discard_partial();
                    self.gap_start = None;
                    self.body = answer.response.into_body();
                    self.framing = answer.framing;
                    self.connection = Some(answer.connection);
                    return true;
                }
                Ok(_) => {
                    self.request.record_version_answer(&self.placed, VersionOutcome::Failed);
                    self.placed.guard.end(DispatchOutcome::Failed);
                }
                Err(error) => report_send_error(&self.request, &mut self.placed, &error),
            }
        }
        false
    }

    /// Reports the event timing to the scheduler, which learns the upstream's speed from it.
    fn report_timing(&mut self) {
        let now = self.request.state.clock.now();
        self.timing.record_event(now);
        let events = self.splitter.event_count();
        let id = self.placed.number;
        match self.gap_start {
            None => {
                self.gap_start = Some((events, now));
                let after = now.since(self.placed.sent_at);
                self.request.record_version_answer(&self.placed, VersionOutcome::served(after));
                self.placed.pool.handle_event(PoolEvent::FirstToken { id, after });
            }
            Some((from, at)) if events >= from + GAP_REPORT_EVENTS => {
                self.gap_start = Some((events, now));
                let count = (events - from) as u32 * self.placed.pool.event_tokens();
                self.placed
                    .pool
                    .handle_event(PoolEvent::TokenGap { id, gap: now.since(at) / count });
            }
            Some(_) => {}
        }
    }
}
