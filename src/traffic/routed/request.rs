//! A request that was admitted, from its admission to its end.

use super::admission::LimitGuard;
use super::dialect::{CallDialect, CallerMetadata};
use super::relay::StreamTiming;
use super::size_fields::SizeFields;
use super::table_fields::TableFields;
use crate::answer::AnswerKind;
use crate::policy::{HomeRegions, Moment, RequestSizes, SizeDecile};
use crate::quarantine::{RequestFingerprint, SuspectKeys};
use crate::report::{RouteRecord, record_route};
use crate::stream_origin::StreamOrigin;
use crate::table::{RouteRow, ServiceName};
use crate::traffic::access::CallerIdentity;
use crate::traffic::memory_budget::MemoryGuard;
use crate::traffic::relay::RelayTicket;
use crate::traffic::state::{ProgressGuard, TrafficState};
use crate::upstream::AnswerFraming;
use bytes::Bytes;
use http::StatusCode;
use http::request::Parts;
use slog::info;
use std::sync::Arc;
use std::time::Duration;

/// Progress of a request, logged when its caller disconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// The request waits for placement.
    Waiting,
    /// The request was sent; no answer has begun.
    Sent,
    /// The answer has begun.
    Answering,
    /// The end of the request has been logged.
    Ended,
}

/// A request that was admitted and has not ended.
pub struct RoutedRequest {
    pub stage: RequestStage,
    pub state: Arc<TrafficState>,
    pub dialect: Arc<dyn CallDialect>,
    pub route: Arc<RouteRow>,
    pub caller: Option<CallerIdentity>,
    /// Version of the table that admitted the request.
    pub table: u64,
    /// Regions in which the request may be served; `None` means anywhere.
    pub homes: Option<HomeRegions>,
    /// What began its stream, once its caller has an event of it.
    pub origin: Option<StreamOrigin>,
    pub sizes: Option<RequestSizes>,
    /// Decile of its size among the recent requests of its route, if known.
    pub size_tenth: Option<SizeDecile>,
    /// The earlier of the caller's deadline and the route's timeout.
    pub deadline: Moment,
    /// True if the caller stated a deadline.
    pub has_deadline: bool,
    /// True if this appears to be a retry by its caller.
    pub has_returned: bool,
    pub metadata: CallerMetadata,
    /// Identifies the same request when it is sent again.
    pub fingerprint: RequestFingerprint,
    pub parts: Parts,
    pub body: Bytes,
    pub arrived_at: Moment,
    pub limit: Option<LimitGuard>,
    /// Set if a peer has passed the request on.
    pub ticket: Option<RelayTicket>,
    /// True if no peer can take the request.
    pub must_stay: bool,
    /// Counts the request as in progress until dropped.
    pub _progress: ProgressGuard,
    /// Memory of the body.
    pub _memory: MemoryGuard,
}
impl Drop for RoutedRequest {
    /// A caller that disconnects ends the request at any stage. Without this log line the request
    /// would seem to hang forever in the logs.
    fn drop(&mut self) {
        if self.stage != RequestStage::Ended {
            let after = self.state.clock.now().since(self.arrived_at).as_millis() as u64;
            let (message, outcome) = match std::thread::panicking() {
                true => ("request panicked", "panicked"),
                false if self.is_stopped() => ("stopped before the answer", "stopped"),
                false => ("caller left", "caller-left"),
            };
            self.record(outcome, None);
            info!(self.state.log, "{}", message; "request" => self.id(), "stage" => format!("{:?}", self.stage),
                "route" => &self.route.route, "after_ms" => after, "left_ms" => self.time_left().as_millis() as u64,
                self.table_fields(), self.size_fields());
        }
    }
}

impl RoutedRequest {
    /// Time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.state.clock.now())
    }

    /// True once the stopping daemon answers whatever has no answer yet.
    fn is_stopped(&self) -> bool {
        let now = self.state.clock.now();
        self.state.stop.times().is_some_and(|times| times.answers_until <= now)
    }

    /// Time left in which the request may be sent. A daemon that stops sends only what is likely to
    /// be answered before its process is killed.
    pub fn time_to_send(&self) -> Duration {
        let Some(times) = self.state.stop.times() else { return Duration::MAX };
        let usual = self.state.answer_time(&self.route.route).unwrap_or(self.route.objective_ms);
        let needed = usual.min(self.time_left());
        times.answers_until.since(self.state.clock.now() + needed)
    }

    /// Records the end of the request in the metrics; `timing` is the timing of a stream's events.
    pub fn record(&self, outcome: &'static str, timing: Option<&StreamTiming>) {
        record_route(&RouteRecord {
            kind: self.route.kind,
            tier: &self.route.tier,
            outcome,
            size_tenth: self.size_tenth,
            is_in_time: timing.is_none_or(|timing| self.is_in_time(timing)),
            first_event: timing.and_then(|timing| timing.first_event_after(self.arrived_at)),
            longest_pause: timing.map(StreamTiming::longest_pause),
            total: self.state.clock.now().since(self.arrived_at),
        });
    }

    /// True if a stream's first event met its objective and no pause exceeded the route's limit.
    fn is_in_time(&self, timing: &StreamTiming) -> bool {
        let first = timing.first_event_after(self.arrived_at);
        let is_steady = self.route.gap_ms.is_none_or(|gap| timing.longest_pause() <= gap);
        is_steady && first.is_some_and(|first| self.arrived_at + first <= self.objective())
    }

    /// Size fields for log lines about the decisions on the request and its end.
    pub fn size_fields(&self) -> SizeFields {
        SizeFields::new(&self.metadata, self.size_tenth, self.has_returned)
    }

    /// Table fields for log lines about the end of the request.
    pub fn table_fields(&self) -> TableFields {
        TableFields::new(&self.state, self.table)
    }

    /// What the request can be blamed under for a crash of the service's upstreams.
    pub fn suspect_keys(&self, service: &ServiceName) -> SuspectKeys {
        SuspectKeys::new(self.fingerprint, service, &self.metadata.prompt_parts)
    }

    /// Records that the request received a whole answer with the status of a success. A failure may
    /// precede the run, so it does not show that the content is harmless.
    pub fn note_whole_answer(&self, keys: &SuspectKeys) {
        self.state.quarantine.note_answer(keys, self.state.clock.now());
    }

    /// Remaining quarantine time of the request at a service; `None` if it may be sent.
    pub fn held_for(&self, service: &ServiceName) -> Option<Duration> {
        self.state.quarantine.held_for(&self.suspect_keys(service), self.state.clock.now())
    }

    /// The request's id, for logs.
    pub fn id(&self) -> &str {
        self.metadata.id.as_deref().unwrap_or_default()
    }

    /// True if a peer may serve the request, as this daemon reaches no upstream that can, or all rest. A
    /// request takes one hop at most. One that is bound to regions stays here, since a peer's region is
    /// not known.
    pub fn may_pass_on(&self, kind: AnswerKind) -> bool {
        let is_unreached = matches!(
            kind,
            AnswerKind::UpstreamAbsent
                | AnswerKind::UpstreamUnreachable
                | AnswerKind::VersionAbsent
                | AnswerKind::UpstreamResting
        );
        is_unreached
            && self.state.relay.is_enabled()
            && !self.must_stay
            && self.ticket.is_none()
            && self.homes.is_none()
            && !self.time_left().is_zero()
    }

    /// When the first event or the answer is due. The objective of a retry counts from the caller's
    /// first attempt, so a retry is due on arrival.
    pub fn objective(&self) -> Moment {
        match self.has_returned {
            true => self.arrived_at,
            false => self.arrived_at + self.route.objective_ms,
        }
    }

    /// Logs and records the end of a request that got a whole answer from an upstream, or a peer.
    pub fn log_answered(&mut self, upstream: &str, status: StatusCode, framing: AnswerFraming) {
        self.stage = RequestStage::Ended;
        self.record(if status.is_server_error() { "upstream-failure" } else { "answered" }, None);
        let after = self.state.clock.now().since(self.arrived_at).as_millis() as u64;
        info!(self.state.log, "answered"; "request" => self.id(), "upstream" => upstream,
            "status" => status.as_u16(), "after_ms" => after, "framing" => framing.name());
    }
}
