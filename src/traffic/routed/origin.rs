//! Where the stream of a request began, and where it may go on.

use super::request::RoutedRequest;
use super::resumption::{ResumedBy, StreamResumption};
use crate::answer::AnswerKind;
use crate::report::{record_origin_lookup, record_resumption};
use crate::stream_origin::{AttemptKey, LookupResult, StreamOrigin, VersionClaim};
use crate::table::{RouteKind, ServiceName};
use crate::traffic::stream_origins::{FoundOrigin, ResumableStream};
use slog::info;

/// A stream may be resumed within this many times the timeout of its route after it began: its own
/// time, and as much for its caller to come back.
const HORIZON_TIMEOUTS: u32 = 2;

impl RoutedRequest {
    /// True if a caller takes up a stream of which it has events.
    pub fn resumes_stream(&self) -> bool {
        let has_events = self.metadata.resumes.is_some() || self.metadata.last_event_id.is_some();
        self.route.kind == RouteKind::ResumableStream && has_events
    }

    /// The resumption that the request asks for, if it does.
    pub fn caller_resumption(&self) -> Option<StreamResumption> {
        let by = if self.ticket.is_some() { ResumedBy::Peer } else { ResumedBy::Caller };
        let after_event = self.metadata.last_event_id;
        self.resumes_stream().then_some(StreamResumption { by, after_event, previous: None })
    }

    /// Finds out what began the stream that the caller takes up. A peer that passes the request on has
    /// done so already.
    pub async fn find_origin(&mut self) -> Result<(), AnswerKind> {
        if !self.resumes_stream() || self.ticket.is_some() {
            return Ok(());
        }
        let asked_at = self.state.clock.now();
        let services: Vec<ServiceName> = self.route.services().cloned().collect();
        let stream = self.resumable_stream(&services);
        let found = self.state.origins.find(&self.state, stream).await;
        record_origin_lookup(found.result.name());
        self.log_origin(&found, asked_at.0);
        self.origin = match found.result {
            LookupResult::Known { origin, .. } | LookupResult::SoleVersion(origin) => Some(origin),
            LookupResult::Unversioned => None,
            LookupResult::Ambiguous | LookupResult::Unknown => {
                return Err(AnswerKind::OriginUnknown);
            }
        };
        Ok(())
    }

    /// Records what began the stream, before its first event leaves; `began` is where that event comes
    /// from. Later tries of the caller name the attempt that brought the first event.
    pub fn record_origin(&mut self, began: StreamOrigin) {
        let origin = *self.origin.get_or_insert(began);
        if self.route.kind != RouteKind::ResumableStream || self.ticket.is_some() {
            return;
        }
        // No try can name an attempt without an id.
        if self.metadata.id.is_some() || self.metadata.resumes.is_some() {
            let services: Vec<ServiceName> = self.route.services().cloned().collect();
            self.state.origins.record(&self.state, self.resumable_stream(&services), origin);
        }
        if self.resumes_stream() {
            self.record_resumption("caller", "same-version");
        }
    }

    /// Counts a resumption by the caller, or within the answer.
    pub fn record_resumption(&self, place: &'static str, result: &'static str) {
        let service = self.route.services().next();
        record_resumption(service.map_or("", ServiceName::as_str), place, result);
    }

    /// The stream of the request, by the attempt that its caller names, or else by this one.
    fn resumable_stream<'a>(&self, services: &'a [ServiceName]) -> ResumableStream<'a> {
        let organisation = self.caller.as_ref().map_or("", |caller| caller.organisation.as_str());
        let first = self.metadata.resumes.as_deref().unwrap_or_else(|| self.id());
        let key = AttemptKey::of(organisation, first);
        ResumableStream { key, services, horizon: self.route.timeout_ms * HORIZON_TIMEOUTS }
    }

    /// Logs who knew what began the stream. `version` is empty if no upstream of it is listed here.
    fn log_origin(&self, found: &FoundOrigin, asked_at: u64) {
        let now = self.state.clock.now();
        let waited = (now.0 - asked_at) / 1_000;
        let evidence = found.evidence.as_ref();
        let names = |claims: &[VersionClaim]| {
            claims.iter().map(|claim| claim.name()).collect::<Vec<_>>().join(",")
        };
        let list = self.state.fleet.list_stamp(now);
        let result = found.result;
        let (origin, age, by) = match result {
            LookupResult::Known { origin, age_ms, by } => (Some(origin), Some(age_ms), by),
            LookupResult::SoleVersion(origin) => (Some(origin), None, None),
            _ => (None, None, None),
        };
        info!(self.state.log, "stream origin"; "request" => self.id(), "resumes" => self.metadata.resumes.as_deref(),
            "after_event" => self.metadata.last_event_id, "route" => &self.route.route, "result" => result.name(),
            "origin" => origin.map(|origin| origin.to_string()), "version" => origin.and_then(|origin| self.state.version_name(origin)),
            "known_by" => by.map(|peer| peer.to_string()), "age_ms" => age, "waited_ms" => waited,
            "own_claim" => evidence.map(|it| it.own.name()), "peer_claims" => evidence.map(|it| names(&it.peers)),
            "voter_claims" => evidence.map(|it| names(&it.voters)), "voters_asked" => evidence.map(|it| it.voters_asked),
            "list_age_ms" => list.map(|stamp| stamp.age_ms));
    }
}
