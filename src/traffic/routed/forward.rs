//! Forwards an admitted request: waits for placement, sends it, and retries where the route allows.

use super::attempt::{OpenAnswer, SendError, send};
use super::next_place::{NextPlace, SilentSend, settle};
use super::placing::{PlacedRequest, PlacingRule};
use super::refusal::{refusal_kind, refuse};
use super::relay::{
    AnswerSource, BufferError, StreamContent, StreamRelay, buffered_response, stream_response,
};
use super::request::{RequestStage, RoutedRequest};
use super::send_history::SendHistory;
use super::size_fields::KeptTokens;
use super::through_peer::{PeerForward, forward_through_peers};
use crate::answer::AnswerKind;
use crate::policy::{DispatchOutcome, PoolEvent, RouteKey, UpstreamEvent, UpstreamHash};
use crate::rollout::{RequestGroup, VersionArm, VersionOutcome};
use crate::table::{RouteKind, SoftwareVersion, UpstreamName};
use crate::traffic::crash_check::{BrokenRequest, check_upstream, has_ended};
use axum::body::Body;
use http::Response;
use slog::info;
use std::pin::pin;
use std::time::Duration;

/// Another place is looked for once a resumable stream has had no first event, or a safe request no
/// answer, for this many times its latency objective.
const ANSWER_TIMEOUT_FACTOR: u32 = 2;
/// Lower bound of that time: under load engines deliver first events late without having failed.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// How a send ended.
pub enum SendResult {
    /// An answer began, or none comes.
    Ended(Result<Box<OpenAnswer>, SendError>),
    /// The upstream was silent, and there is another place.
    Left(NextPlace, SendError),
}

impl RoutedRequest {
    /// How long an upstream may stay silent before another place is looked for, if allowed.
    fn answer_timeout(&self) -> Duration {
        match self.route.kind {
            RouteKind::ResumableStream | RouteKind::Safe => {
                (self.route.objective_ms * ANSWER_TIMEOUT_FACTOR).max(MIN_ANSWER_TIMEOUT)
            }
            RouteKind::Unsafe | RouteKind::Stream => Duration::MAX,
        }
    }

    /// Sends the request to its upstream and waits for the head of the answer, within the time left.
    /// While the upstream is silent for long, another place is looked for.
    pub async fn try_send(
        &self,
        placed: &PlacedRequest,
        history: &mut SendHistory,
        last_event_id: Option<u64>,
        rule: PlacingRule,
    ) -> SendResult {
        history.begin_send();
        match &placed.ticket {
            Some(ticket) => ticket.mark_sent(),
            None if placed.arm == VersionArm::Old => {
                self.state.rollouts.note_sent_to_old(&placed.pool.service);
            }
            None => {}
        }
        let limit = self.time_left();
        let mut sending = pin!(send(self, placed, last_event_id));
        let silence = self.answer_timeout().min(limit);
        if let Ok(answer) = tokio::time::timeout(silence, &mut sending).await {
            return SendResult::Ended(answer.map(Box::new));
        }
        if self.time_left().is_zero() {
            return SendResult::Ended(Err(SendError::Unanswered(limit)));
        }
        let next = Box::pin(self.leave_silent(placed, *history, rule));
        let ended = Box::pin(self.notice_end(placed, rule));
        tokio::select! {
            biased;
            answer = sending => SendResult::Ended(answer.map(Box::new)),
            () = tokio::time::sleep(self.time_left()) => {
                SendResult::Ended(Err(SendError::Unanswered(limit)))
            }
            next = next => SendResult::Left(next, SendError::Unanswered(silence)),
            error = ended => SendResult::Ended(Err(error)),
        }
    }

    /// Returns once a silent upstream turns out to have ended, so that its request is not kept waiting
    /// in vain. An answer that has begun may still arrive, and is waited for.
    async fn notice_end(&self, placed: &PlacedRequest, rule: PlacingRule) -> SendError {
        let is_waiting = rule == PlacingRule::InForce;
        match is_waiting && has_ended(&self.state, &placed.broken_upstream()).await {
            true => SendError::ConnectionBroken("the upstream has ended".to_owned()),
            false => std::future::pending().await,
        }
    }

    /// Finds another place for a request that its upstream leaves unanswered; never returns if there
    /// is none.
    async fn leave_silent(
        &self,
        placed: &PlacedRequest,
        history: SendHistory,
        rule: PlacingRule,
    ) -> NextPlace {
        settle().await;
        placed.pool.handle_event(PoolEvent::Unanswered { upstream: placed.upstream });
        info!(self.state.log, "upstream silent"; "request" => self.id(), "upstream" => placed.name.as_str(),
            "sent" => history.sent(), "left_ms" => self.time_left().as_millis() as u64);
        let (service, upstream) = (&placed.pool.service, Some(&placed.name));
        let send = SilentSend { service, upstream, history, rule };
        match self.search_next_place(send).await {
            Ok(next) => next,
            Err(_) => std::future::pending().await,
        }
    }

    /// Logs a send: the first one, a retry, or the resumption of a stream.
    pub fn log_send(
        &self,
        placed: &PlacedRequest,
        history: SendHistory,
        last_event_id: Option<u64>,
    ) {
        let waited = placed.sent_at.since(self.arrived_at).as_millis() as u64;
        let organisation = self.caller.as_ref().map_or("", |caller| caller.organisation.as_str());
        let list = self.state.fleet.list_stamp(placed.sent_at);
        info!(self.state.log, "sent"; "request" => self.id(), "route" => &self.route.route, "organisation" => organisation,
            "service" => placed.pool.service.as_str(), "version" => placed.version.as_ref().map(SoftwareVersion::as_str), "upstream" => placed.name.as_str(), "waited_ms" => waited,
            "send" => history.sent() + 1, "after_event" => last_event_id, "resumes" => self.metadata.resumes.as_deref(), "fingerprint" => self.fingerprint.to_string(),
            "parts" => self.suspect_keys(&placed.pool.service).parts_text(), "table" => self.state.snapshot().version,
            "list" => list.map(|stamp| format!("{:016x}", stamp.digest)), "reading" => list.map(|stamp| stamp.order.number),
            "list_age_ms" => list.map(|stamp| stamp.age_ms),
            "left_ms" => self.time_left().as_millis() as u64, "tokens" => self.limit.as_ref().map_or(0, |limit| limit.cost),
            "slowness" => format!("{:.2}", placed.pool.slowness(placed.upstream)), self.size_fields(),
            KeptTokens(placed.pool.kept_tokens(placed.number)));
    }
}

/// Forwards a request until an answer begins or it is refused; the events of a stream follow later.
pub async fn forward(mut request: Box<RoutedRequest>) -> Response<Body> {
    let mut history = request.ticket.as_ref().map(SendHistory::of_ticket).unwrap_or_default();
    if let Err(kind) = request.find_origin().await {
        return refuse(&mut request, kind, history);
    }
    let mut found = None;
    loop {
        request.stage = RequestStage::Waiting;
        let placed = match found.take() {
            Some(placed) => Ok(placed),
            None => request.place(history).await,
        };
        let mut placed = match placed {
            Ok(placed) => placed,
            Err(kind) if request.may_pass_on(kind) => {
                match forward_through_peers(request, history).await {
                    PeerForward::Answered(response) => return response,
                    PeerForward::NotTaken(returned, sends) => {
                        (request, history) = (returned, sends);
                        request.must_stay = true;
                        continue;
                    }
                }
            }
            Err(kind) => return refuse(&mut request, kind, history),
        };
        request.stage = RequestStage::Sent;
        request.log_send(&placed, history, request.metadata.last_event_id);
        let service = placed.pool.service.clone();
        let name = placed.name.clone();
        if history.sent() == 0 {
            let daemons = request.state.fleet.daemon_count();
            request.state.with_retry_budget(&service, |budget| budget.deposit(daemons));
        }
        request.set_charged(true);
        let last_event_id = request.metadata.last_event_id;
        let sent = request.try_send(&placed, &mut history, last_event_id, PlacingRule::InForce);
        let sent = match sent.await {
            SendResult::Ended(sent) => sent,
            SendResult::Left(next, error) => {
                log_unanswered(&request, &name, history, &error);
                report_send_error(&request, &mut placed, &error);
                found = request.take_place(next);
                continue;
            }
        };
        if let Err(error) = &sent {
            history.end_send(error);
            request.set_charged(history.may_have_run());
            if !history.may_have_run() {
                info!(request.state.log, "charge withdrawn"; "request" => request.id(), "upstream" => name.as_str(),
                    "tokens" => request.limit.as_ref().map_or(0, |limit| limit.cost), "cause" => error.to_string());
            }
        }
        let error = match sent {
            Ok(answer) => match relay_answer(request, placed, history, *answer).await {
                AnswerOutcome::Response(response) => return response,
                AnswerOutcome::Retry(returned, error) => {
                    request = returned;
                    error
                }
            },
            Err(SendError::NotSent(detail)) => {
                info!(request.state.log, "upstream not reached"; "request" => request.id(), "detail" => &detail);
                report_send_error(&request, &mut placed, &SendError::NotSent(detail));
                if request.time_left().is_zero() {
                    return refuse(&mut request, AnswerKind::UpstreamUnreachable, history);
                }
                continue;
            }
            Err(error) => {
                report_send_error(&request, &mut placed, &error);
                error
            }
        };
        log_unanswered(&request, &name, history, &error);
        if !request.may_send_again(&service, history) {
            let kind = refusal_kind(&request, &error);
            return refuse(&mut request, kind, history);
        }
    }
}

fn log_unanswered(
    request: &RoutedRequest,
    upstream: &UpstreamName,
    history: SendHistory,
    error: &SendError,
) {
    info!(request.state.log, "no answer"; "request" => request.id(), "upstream" => upstream.as_str(),
        "fault" => error.to_string(), "sent" => history.sent());
}

impl RoutedRequest {
    /// Takes over the terms of a place; `None` if the request goes on through a peer.
    fn take_place(&mut self, next: NextPlace) -> Option<PlacedRequest> {
        match next {
            NextPlace::Here(placed, matched) => {
                self.apply_match(matched);
                Some(*placed)
            }
            NextPlace::ThroughPeer => None,
        }
    }

    /// Counts the result of a send for the service's roll-out, if there is one.
    pub fn record_version_answer(&self, placed: &PlacedRequest, answer: VersionOutcome) {
        let group = RequestGroup::of(RouteKey::of(&self.route.route), self.size_tenth);
        let incarnation = placed.pool.incarnation(placed.upstream);
        let service = &placed.pool.service;
        let upstream = UpstreamHash::of(service, &placed.name, incarnation);
        self.state.rollouts.note_answer(service, placed.arm, group, upstream, answer);
    }

    /// Sets whether the request is charged to its organisation's limit. It is charged before it is
    /// sent, since the outcome stays unknown if the caller disconnects while an upstream runs it.
    fn set_charged(&mut self, is_charged: bool) {
        self.limit.iter_mut().for_each(|limit| limit.is_charged = is_charged);
    }
}

/// Reports a failed send to the pool, and checks the upstream if it may have crashed.
pub fn report_send_error(request: &RoutedRequest, placed: &mut PlacedRequest, error: &SendError) {
    if let SendError::ConnectionBroken(_) = error {
        let now = request.state.clock.now();
        let broken = BrokenRequest {
            id: request.id().into(),
            keys: request.suspect_keys(&placed.pool.service),
            written_for: placed.first_event_at.map(|at| now.since(at)),
        };
        check_upstream(&request.state, placed.broken_upstream(), broken);
    }
    if let SendError::Unanswered(_) = error {
        placed.pool.handle_event(PoolEvent::Unanswered { upstream: placed.upstream });
    }
    if let SendError::NotSent(_) = error {
        let event = UpstreamEvent::Unreachable;
        placed.pool.handle_event(PoolEvent::Lifecycle { upstream: placed.upstream, event });
    }
    if let SendError::NotRun { load: Some(report), .. } = error {
        placed
            .pool
            .handle_event(PoolEvent::LoadReported { upstream: placed.upstream, report: *report });
    }
    if let SendError::NotRun { is_other_incarnation: true, .. } = error {
        let event = UpstreamEvent::Leaving;
        placed.pool.handle_event(PoolEvent::Lifecycle { upstream: placed.upstream, event });
    }
    if !matches!(error, SendError::NotSent(_) | SendError::NotRun { .. }) {
        request.record_version_answer(placed, VersionOutcome::Failed);
    }
    placed.guard.end(DispatchOutcome::Failed);
}

/// Result of reading an answer after its head.
enum AnswerOutcome {
    Response(Response<Body>),
    /// The answer was incomplete or a server error, and another send may follow.
    Retry(Box<RoutedRequest>, SendError),
}

async fn relay_answer(
    mut request: Box<RoutedRequest>,
    mut placed: PlacedRequest,
    history: SendHistory,
    answer: OpenAnswer,
) -> AnswerOutcome {
    let OpenAnswer { head, metadata, body } = answer;
    let status = head.status;
    if let Some(report) = metadata.load {
        placed.pool.handle_event(PoolEvent::LoadReported { upstream: placed.upstream, report });
    }
    let content = StreamContent::of(&head);
    let is_stream = request.route.kind.is_stream() && content != StreamContent::Other;
    if is_stream && status.is_success() {
        request.stage = RequestStage::Answering;
        let relay =
            StreamRelay::new(request, AnswerSource::Upstream(placed), history, content, body);
        return AnswerOutcome::Response(stream_response(head, relay));
    }
    let limit = request.time_left();
    let framing = body.framing();
    let reading = buffered_response(&request, &placed, head, body);
    let buffered = tokio::time::timeout(limit, reading).await;
    let error = match buffered {
        Ok(Ok(response)) => {
            let is_failure = status.is_server_error();
            let outcome = match is_failure {
                true => DispatchOutcome::Failed,
                false => DispatchOutcome::Completed { prompt_tokens: None, output_tokens: 0 },
            };
            let after = request.state.clock.now().since(placed.sent_at);
            let answer =
                if is_failure { VersionOutcome::Failed } else { VersionOutcome::served(after) };
            request.record_version_answer(&placed, answer);
            placed.guard.end(outcome);
            if status.is_success() {
                request.state.record_answer_time(&request.route.route, after);
                request.note_whole_answer(&request.suspect_keys(&placed.pool.service));
            }
            if !is_failure || !request.may_send_again(&placed.pool.service, history) {
                request.log_answered(placed.name.as_str(), status, framing);
                return AnswerOutcome::Response(response);
            }
            // `may_send_again` has spent a unit of the budget, and `forward` calls it again.
            request.state.with_retry_budget(&placed.pool.service, |budget| budget.refund());
            return AnswerOutcome::Retry(
                request,
                SendError::NoUsableAnswer(format!("status {status}")),
            );
        }
        Ok(Err(BufferError::NoMemory)) => {
            // Another send would meet the same lack of memory, which says nothing of the upstream.
            placed.guard.end(DispatchOutcome::Cancelled);
            let response = refuse(&mut request, AnswerKind::AnswerDropped, history);
            return AnswerOutcome::Response(response);
        }
        Ok(Err(BufferError::Unusable(detail))) => SendError::ConnectionBroken(detail),
        Err(_) => SendError::NoUsableAnswer("incomplete answer at the deadline".to_owned()),
    };
    report_send_error(&request, &mut placed, &error);
    AnswerOutcome::Retry(request, error)
}
