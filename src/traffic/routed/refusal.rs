//! Refusals of admitted requests.

use super::attempt::SendError;
use super::request::{RequestStage, RoutedRequest};
use super::send_history::SendHistory;
use crate::answer::{AnswerKind, ExecutionStatus, RefusalAnswer};
use axum::body::Body;
use http::Response;
use slog::info;
use std::time::Duration;

/// Callers are told to retry after a fraction of the remaining time between these bounds; callers
/// of the platform wait for at most a third of it.
const MIN_RETRY_FRACTION: f64 = 0.2;
const MAX_RETRY_FRACTION: f64 = 0.33;
pub fn refusal_kind(request: &RoutedRequest, error: &SendError) -> AnswerKind {
    match error {
        SendError::NotSent(_) => AnswerKind::UpstreamUnreachable,
        SendError::NotRun { .. } => AnswerKind::UpstreamRefused,
        SendError::UnprovenStatus(_) => AnswerKind::UpstreamFailed,
        SendError::ConnectionBroken(_)
        | SendError::Unanswered(_)
        | SendError::NoUsableAnswer(_) => match request.time_left().is_zero() {
            true => AnswerKind::DeadlineRunning,
            false => AnswerKind::UpstreamLost,
        },
    }
}

/// Refuses the request. Once a send may have run it, the answer must not claim that it did not run.
pub fn refuse(
    request: &mut RoutedRequest,
    kind: AnswerKind,
    history: SendHistory,
) -> Response<Body> {
    request.stage = RequestStage::Ended;
    let claims_not_run = kind.row().ran == ExecutionStatus::No;
    let kind = match history.may_have_run() && claims_not_run {
        true if request.time_left().is_zero() => AnswerKind::DeadlineRunning,
        true => AnswerKind::UpstreamLost,
        false => kind,
    };
    let waited = request.state.clock.now().since(request.arrived_at).as_millis() as u64;
    request.record(kind.row().name, None);
    if request.resumes_stream() {
        request.record_resumption("caller", resumption_result(kind));
    }
    let organisation = request.caller.as_ref().map_or("", |caller| caller.organisation.as_str());
    info!(request.state.log, "refused"; "request" => request.id(), "kind" => kind.row().name,
        "route" => &request.route.route, "organisation" => organisation, "sent" => history.sent(), "may_have_run" => history.may_have_run(), "after_ms" => waited,
        request.table_fields(), request.size_fields());
    RefusalAnswer::new(kind, "", request.state.jitter())
        .with_retry_after(request.retry_delay(kind))
        .response(request.id())
}

/// Result of taking a stream up, for metrics.
fn resumption_result(kind: AnswerKind) -> &'static str {
    match kind {
        AnswerKind::OriginUnknown => "unknown",
        AnswerKind::VersionAbsent => "none-left",
        _ => "refused",
    }
}

impl RoutedRequest {
    /// When to retry after a refusal for lack of capacity: late within the time that the caller may
    /// wait. The request misses its objective in any case, so an early retry gains nothing, and a
    /// burst is more likely to be over later. The time is spread so that requests refused together
    /// are not retried together.
    fn retry_delay(&self, kind: AnswerKind) -> Option<Duration> {
        if kind == AnswerKind::Quarantined {
            return self.route.services().filter_map(|service| self.held_for(service)).max();
        }
        if kind == AnswerKind::UpstreamResting {
            return self.route.services().filter_map(|service| self.state.rest_left(service)).min();
        }
        let is_overload = kind.row().is_shed || kind == AnswerKind::UpstreamRefused;
        let spread =
            MIN_RETRY_FRACTION + (MAX_RETRY_FRACTION - MIN_RETRY_FRACTION) * self.state.jitter();
        is_overload.then(|| self.time_left().mul_f64(spread))
    }
}
