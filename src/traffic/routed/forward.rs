//! Forwards an admitted request: waits for placement, sends it, and retries where the route allows.

use super::admission::{LimitGuard, RouteMatch, match_route};
use super::attempt::{OpenAnswer, SendError, send};
use super::dialect::{CallDialect, CallerMetadata};
use super::relay::{
    AnswerSource, StreamContent, StreamRelay, StreamTiming, buffered_response, stream_response,
};
use super::reserve::{NOT_RESERVED, ReservationOutcome, reserve};
use super::size_fields::SizeFields;
use super::through_peer::{PeerForward, forward_through_peers};
use crate::answer::{AnswerKind, ExecutionStatus, RefusalAnswer};
use crate::policy::{
    ArrivedRequest, DispatchOutcome, HomeRegions, Moment, PoolEvent, RateStatement, RequestId,
    RequestSizes, RouteKey, SizeDecile, UpstreamEvent, UpstreamHash, UpstreamIndex,
};
use crate::quarantine::RequestFingerprint;
use crate::report::{RouteRecord, record_rejection_bound, record_route, record_stated_rate};
use crate::rollout::{RequestGroup, VersionArm, VersionOutcome};
use crate::table::{RouteKind, RouteRow, ServiceName, SoftwareVersion, UpstreamName};
use crate::traffic::access::CallerIdentity;
use crate::traffic::crash_check::{BrokenRequest, BrokenUpstream, check_upstream};
use crate::traffic::pool_runtime::{PoolDecision, PoolRuntime, RequestGuard};
use crate::traffic::relay::RelayTicket;
use crate::traffic::rollout_gate::TrialTicket;
use crate::traffic::state::{ChosenPool, ProgressGuard, TrafficState};
use crate::upstream::AnswerFraming;
use axum::body::Body;
use bytes::Bytes;
use http::request::Parts;
use http::{Response, StatusCode};
use slog::info;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// A resumable stream without a first event, or a safe request without an answer, is sent to
/// another upstream after this many times its latency objective.
const ANSWER_TIMEOUT_FACTOR: u32 = 2;
/// Lower bound of that time: under load engines deliver first events late without having failed.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Callers are told to retry after a fraction of the remaining time between these bounds; callers
/// of the platform wait for at most a third of it.
const MIN_RETRY_FRACTION: f64 = 0.2;
const MAX_RETRY_FRACTION: f64 = 0.33;

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
    /// Regions in which the request may be served; `None` means anywhere.
    pub homes: Option<HomeRegions>,
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
}

/// The placement of a request at an upstream.
pub struct PlacedRequest {
    pub pool: Arc<PoolRuntime>,
    pub guard: RequestGuard,
    /// The request's id in its pool.
    pub number: RequestId,
    pub upstream: UpstreamIndex,
    pub name: UpstreamName,
    pub address: SocketAddr,
    /// Software version of the upstream, as listed when it was chosen.
    pub version: Option<SoftwareVersion>,
    pub sent_at: Moment,
    /// Id of the place that the upstream reserved.
    pub place_id: Option<String>,
    /// The arm of the service's roll-out that the upstream's version belongs to.
    pub arm: VersionArm,
    /// Set if the request counts towards the share of a version on trial.
    pub ticket: Option<TrialTicket>,
}

impl PlacedRequest {
    /// Describes the upstream for the crash check after a broken connection.
    pub fn broken_upstream(&self) -> BrokenUpstream {
        BrokenUpstream {
            service: self.pool.service.clone(),
            version: self.pool.version.clone(),
            upstream: self.name.clone(),
            index: self.upstream,
            incarnation: self.pool.incarnation(self.upstream),
            address: self.address,
        }
    }
}

/// The sends of one request so far. A send counts as a possible run until its end proves the
/// contrary.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendHistory {
    /// Sends, without those that wrote no byte.
    sent: u32,
    /// Sends that the upstream declared not to have run.
    not_run: u32,
}

impl SendHistory {
    /// The sends of a request at the peer that has passed it on.
    pub fn of_ticket(ticket: &RelayTicket) -> Self {
        SendHistory { sent: ticket.sent, not_run: ticket.not_run.min(ticket.sent) }
    }

    /// Number of upstreams that the request was sent to.
    pub fn sent(self) -> u32 {
        self.sent
    }

    /// Number of those that declared not to have run the request.
    pub fn not_run(self) -> u32 {
        self.not_run
    }

    /// Takes back a send to a peer that has not sent the request to any upstream that ran it.
    pub fn retract_send(&mut self) {
        self.sent -= 1;
    }

    /// True if one of them may have run the request.
    pub fn may_have_run(self) -> bool {
        self.possible_runs() > 0
    }

    /// Number of sends that may have run the request.
    pub fn possible_runs(self) -> u32 {
        self.sent - self.not_run
    }

    /// Counts a send, before its first byte is written.
    pub fn begin_send(&mut self) {
        self.sent += 1;
    }

    /// Takes the end of the last send into account. Without this call it stays a possible run.
    pub fn end_send(&mut self, error: &SendError) {
        match error {
            SendError::NotSent(_) => self.retract_send(),
            SendError::NotRun { .. } => self.not_run += 1,
            SendError::UnprovenStatus(_)
            | SendError::ConnectionBroken(_)
            | SendError::Unanswered(_)
            | SendError::NoUsableAnswer(_) => {}
        }
    }
}

impl Drop for RoutedRequest {
    /// A caller that disconnects ends the request at any stage. Without this log line the request
    /// would seem to hang forever in the logs.
    fn drop(&mut self) {
        if self.stage != RequestStage::Ended {
            let after = self.state.clock.now().since(self.arrived_at).as_millis() as u64;
            self.record("caller-left", None);
            info!(self.state.log, "caller left"; "request" => self.id(), "stage" => format!("{:?}", self.stage),
                "route" => &self.route.route, "after_ms" => after, "left_ms" => self.time_left().as_millis() as u64, self.size_fields());
        }
    }
}

impl RoutedRequest {
    /// Time left until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.state.clock.now())
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

    /// The request's id, for logs.
    pub fn id(&self) -> &str {
        self.metadata.id.as_deref().unwrap_or_default()
    }

    /// True if the request may be sent to one more upstream now; spends a unit of the retry budget.
    pub fn may_send_again(&self, service: &ServiceName, history: SendHistory) -> bool {
        let is_allowed = !history.may_have_run() || self.route.kind.may_repeat();
        // The daemon that passed the request on repeats it, as it counts the sends of all peers.
        let has_run_here =
            self.ticket.is_some_and(|ticket| history.possible_runs() > ticket.possible_runs());
        is_allowed
            && !has_run_here
            && self.state.quarantine.held_for(self.fingerprint, self.state.clock.now()).is_none()
            && history.sent() < self.route.attempts
            && !self.time_left().is_zero()
            && self.state.with_retry_budget(service, |budget| budget.try_withdraw())
    }

    /// True if a peer may serve the request, as this daemon reaches no upstream that can. A request
    /// takes one hop at most. One that is bound to regions stays here, since a peer's region is not
    /// known.
    pub fn may_pass_on(&self, kind: AnswerKind) -> bool {
        let is_unreached =
            matches!(kind, AnswerKind::UpstreamAbsent | AnswerKind::UpstreamUnreachable);
        is_unreached
            && self.state.relay.is_enabled()
            && !self.must_stay
            && self.ticket.is_none()
            && self.homes.is_none()
            && !self.time_left().is_zero()
    }

    /// Waits until the scheduler places the request at an upstream. The table is checked again
    /// before each send, since a route may have changed and a key may have been revoked while the
    /// request waited. So is the quarantine: every send passes here, whether it is the first one, a
    /// retry, or the resumption of a stream.
    ///
    /// A request that has already failed goes to the proven version, not to one on trial.
    pub async fn place(&mut self, history: SendHistory) -> Result<PlacedRequest, AnswerKind> {
        let mut changes = self.state.rollouts.subscribe();
        loop {
            self.check_quarantine()?;
            let matched = self.match_route_again(history)?;
            self.route = matched.route;
            self.caller = matched.caller;
            self.homes = matched.homes;
            let service = self.route.select_target(self.state.jitter());
            let service = service.ok_or(AnswerKind::ServiceUnknown)?.clone();
            let chosen = self.state.choose_pool(&service, history.sent() == 0);
            let chosen = chosen.ok_or(AnswerKind::UpstreamAbsent)?;
            let Some(placed) = self.wait_in_pool(chosen, &mut changes).await? else { continue };
            self.check_quarantine()?;
            let matched = self.match_route_again(history)?;
            let is_home = placed.pool.is_home(placed.upstream, matched.homes.as_ref());
            let may_use_arm = self.state.may_use_arm(&service, placed.arm);
            if matched.route.allows(&service) && may_use_arm && is_home {
                return Ok(placed);
            }
        }
    }

    /// Matches the route in the table in force, which may no longer allow a repeat.
    fn match_route_again(&self, history: SendHistory) -> Result<RouteMatch, AnswerKind> {
        let matched = match_route(&self.state.snapshot(), &self.parts, &self.metadata)?;
        match history.may_have_run() && !matched.route.kind.may_repeat() {
            true => Err(AnswerKind::UpstreamLost),
            false => Ok(matched),
        }
    }

    fn check_quarantine(&self) -> Result<(), AnswerKind> {
        self.state.quarantine.check(&self.state, self.id(), self.fingerprint)
    }

    /// Waits for the scheduler's decision, and reserves a place at the upstream that it chooses.
    /// Returns `None` if a roll-out abandons the pool meanwhile.
    async fn wait_in_pool(
        &self,
        chosen: ChosenPool,
        changes: &mut watch::Receiver<()>,
    ) -> Result<Option<PlacedRequest>, AnswerKind> {
        let ChosenPool { pool, arm, ticket } = chosen;
        let number = RequestId(self.state.new_request_id().0);
        let (mut guard, mut decision) = pool.submit(self.arrived_request(number));
        loop {
            let limit = self.time_left();
            let waited = tokio::select! {
                biased;
                waited = tokio::time::timeout(limit, &mut decision) => waited,
                Ok(()) = changes.changed() => {
                    if self.state.may_use_arm(&pool.service, arm) {
                        continue;
                    }
                    return Ok(None);
                }
            };
            let (upstream, name, address, version) = match waited {
                Ok(Ok(PoolDecision::Send { upstream, name, address, version })) => {
                    (upstream, name, address, version)
                }
                Ok(Ok(PoolDecision::Refuse(kind))) => {
                    guard.disarm();
                    return Err(kind);
                }
                Ok(Err(_)) => return Err(AnswerKind::Internal),
                Err(_) => return Err(AnswerKind::DeadlineWaiting),
            };
            let reservation = match pool.reservation() {
                Some(max_hold) => reserve(self, address, name.as_str(), max_hold).await,
                None => NOT_RESERVED,
            };
            match reservation {
                ReservationOutcome::Granted { incarnation, .. }
                    if !pool.is_same_incarnation(upstream, incarnation) =>
                {
                    // The upstream has restarted or is leaving; the reservation expires by itself.
                    decision = guard.requeue(DispatchOutcome::NoSlot);
                }
                ReservationOutcome::Granted { place_id, .. } => {
                    guard.granted();
                    let sent_at = self.state.clock.now();
                    return Ok(Some(PlacedRequest {
                        arm,
                        ticket,
                        pool,
                        guard,
                        number,
                        upstream,
                        name,
                        address,
                        version,
                        sent_at,
                        place_id,
                    }));
                }
                ReservationOutcome::Full => decision = guard.requeue(DispatchOutcome::NoSlot),
                ReservationOutcome::Gone => {
                    pool.handle_event(PoolEvent::Lifecycle {
                        upstream,
                        event: UpstreamEvent::Leaving,
                    });
                    decision = guard.requeue(DispatchOutcome::NoSlot);
                }
                ReservationOutcome::Unreachable => {
                    info!(self.state.log, "no word on a place"; "request" => self.id(), "upstream" => name.as_str());
                    decision = guard.requeue(DispatchOutcome::NotSent);
                }
            }
        }
    }

    fn arrived_request(&self, id: RequestId) -> ArrivedRequest {
        let snapshot = self.state.snapshot();
        let organisation = self.caller.as_ref().map(|caller| (caller.index, caller.weight));
        let (organisation, weight) = organisation.unwrap_or((super::NO_ORGANISATION, 1));
        ArrivedRequest {
            id,
            organisation,
            weight,
            tier: snapshot.access.route_tier(&self.route, self.caller.as_ref()),
            prompt_bytes: self.body.len(),
            output_limit: self.metadata.output_limit,
            deadline: self.deadline,
            rank: snapshot.access.route_rank(&self.route),
            objective: Some(self.objective()),
            patience: self.route.patience_ms.map(|time| self.arrived_at + time),
            pause: self.route.gap_ms,
            sizes: self.sizes,
            size_tenth: self.size_tenth,
            homes: self.homes.clone(),
            must_stay: self.must_stay,
            route: RouteKey::of(&self.route.route),
            prefix: Box::default(),
        }
    }

    /// When the first event or the answer is due. The objective of a retry counts from the caller's
    /// first attempt, so a retry is due on arrival.
    fn objective(&self) -> Moment {
        match self.has_returned {
            true => self.arrived_at,
            false => self.arrived_at + self.route.objective_ms,
        }
    }

    /// How long an upstream may stay silent before the request is sent elsewhere, if allowed.
    fn answer_timeout(&self) -> Duration {
        match self.route.kind {
            RouteKind::ResumableStream | RouteKind::Safe => {
                (self.route.objective_ms * ANSWER_TIMEOUT_FACTOR).max(MIN_ANSWER_TIMEOUT)
            }
            RouteKind::Unsafe | RouteKind::Stream => Duration::MAX,
        }
    }

    /// Sends the request to its upstream, within the time left.
    pub async fn try_send(
        &self,
        placed: &PlacedRequest,
        history: &mut SendHistory,
        last_event_id: Option<u64>,
    ) -> Result<OpenAnswer, SendError> {
        history.begin_send();
        match &placed.ticket {
            Some(ticket) => ticket.mark_sent(),
            None => self.state.rollouts.note_sent_to_old(&placed.pool.service),
        }
        let is_last_send = history.sent() >= self.route.attempts;
        let timeout = if is_last_send { Duration::MAX } else { self.answer_timeout() };
        let limit = self.time_left().min(timeout);
        let sending = send(self, placed, last_event_id);
        match tokio::time::timeout(limit, sending).await {
            Ok(answer) => answer,
            Err(_) => Err(SendError::Unanswered(limit)),
        }
    }

    /// Applies and logs the rate that the answer of an upstream states.
    pub fn note_stated_rate(&self, placed: &PlacedRequest, rate: RateStatement) {
        let Some(before) = placed.pool.state_rate(placed.upstream, rate) else { return };
        record_stated_rate(placed.name.as_str(), rate);
        info!(self.state.log, "upstream states another rate"; "request" => self.id(), "upstream" => placed.name.as_str(),
            "service" => placed.pool.service.as_str(), "rate" => format!("{rate:?}"), "before" => format!("{before:?}"));
    }

    /// Logs and records how many rejections per second an upstream states that it bears.
    pub fn note_rejection_bound(&self, placed: &PlacedRequest, bound: Option<u32>) {
        let Some(before) = placed.pool.state_rejection_bound(placed.upstream, bound) else {
            return;
        };
        record_rejection_bound(placed.name.as_str(), bound);
        info!(self.state.log, "upstream states another bound on rejections"; "request" => self.id(), "upstream" => placed.name.as_str(),
            "service" => placed.pool.service.as_str(), "per_second" => bound, "before" => before);
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
        info!(self.state.log, "sent"; "request" => self.id(), "route" => &self.route.route, "organisation" => organisation,
            "service" => placed.pool.service.as_str(), "version" => placed.version.as_ref().map(SoftwareVersion::as_str), "upstream" => placed.name.as_str(), "waited_ms" => waited,
            "send" => history.sent() + 1, "after_event" => last_event_id, "resumes" => self.metadata.resumes.as_deref(), "fingerprint" => self.fingerprint.to_string(), "table" => self.state.snapshot().version,
            "left_ms" => self.time_left().as_millis() as u64, "tokens" => self.limit.as_ref().map_or(0, |limit| limit.cost),
            "slowness" => format!("{:.2}", placed.pool.slowness(placed.upstream)), self.size_fields());
    }
}

/// Forwards a request until an answer begins or it is refused; the events of a stream follow later.
pub async fn forward(mut request: Box<RoutedRequest>) -> Response<Body> {
    let mut history = request.ticket.as_ref().map(SendHistory::of_ticket).unwrap_or_default();
    loop {
        request.stage = RequestStage::Waiting;
        let mut placed = match request.place(history).await {
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
        let sent = request.try_send(&placed, &mut history, request.metadata.last_event_id).await;
        if let Err(error) = &sent {
            history.end_send(error);
            request.set_charged(history.may_have_run());
        }
        let error = match sent {
            Ok(answer) => match relay_answer(request, placed, history, answer).await {
                AnswerOutcome::Response(response) => return response,
                AnswerOutcome::Retry(returned, error) => {
                    request = returned;
                    error
                }
            },
            Err(SendError::NotSent(detail)) => {
                info!(request.state.log, "upstream not reached"; "request" => request.id(), "detail" => detail);
                placed.pool.handle_event(PoolEvent::Lifecycle {
                    upstream: placed.upstream,
                    event: UpstreamEvent::Unreachable,
                });
                placed.guard.end(DispatchOutcome::Failed);
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
        info!(request.state.log, "no answer"; "request" => request.id(), "upstream" => name.as_str(),
            "fault" => error.to_string(), "sent" => history.sent());
        if !request.may_send_again(&service, history) {
            let kind = refusal_kind(&request, &error);
            return refuse(&mut request, kind, history);
        }
    }
}

impl RoutedRequest {
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
        let broken = BrokenRequest { id: request.id().into(), fingerprint: request.fingerprint };
        check_upstream(&request.state, placed.broken_upstream(), broken);
    }
    if let SendError::Unanswered(_) = error {
        placed.pool.handle_event(PoolEvent::Unanswered { upstream: placed.upstream });
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
    info!(request.state.log, "refused"; "request" => request.id(), "kind" => kind.row().name,
        "route" => &request.route.route, "sent" => history.sent(), "may_have_run" => history.may_have_run(), "after_ms" => waited, request.size_fields());
    RefusalAnswer::new(kind, "", request.state.jitter())
        .with_retry_after(request.retry_delay(kind))
        .response(request.id())
}

impl RoutedRequest {
    /// When to retry after a refusal for lack of capacity: late within the time that the caller may
    /// wait. The request misses its objective in any case, so an early retry gains nothing, and a
    /// burst is more likely to be over later. The time is spread so that requests refused together
    /// are not retried together.
    fn retry_delay(&self, kind: AnswerKind) -> Option<Duration> {
        if kind == AnswerKind::Quarantined {
            return self.state.quarantine.held_for(self.fingerprint, self.state.clock.now());
        }
        let is_overload = kind.row().is_shed || kind == AnswerKind::UpstreamRefused;
        let spread =
            MIN_RETRY_FRACTION + (MAX_RETRY_FRACTION - MIN_RETRY_FRACTION) * self.state.jitter();
        is_overload.then(|| self.time_left().mul_f64(spread))
    }
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
    let buffering = buffered_response(head, body);
    let error = match tokio::time::timeout(limit, buffering).await {
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
        Ok(Err(detail)) => SendError::ConnectionBroken(detail),
        Err(_) => SendError::NoUsableAnswer("incomplete answer at the deadline".to_owned()),
    };
    report_send_error(&request, &mut placed, &error);
    AnswerOutcome::Retry(request, error)
}

impl RoutedRequest {
    /// Logs and records the end of a request that got a whole answer from an upstream, or a peer.
    pub fn log_answered(&mut self, upstream: &str, status: StatusCode, framing: AnswerFraming) {
        self.stage = RequestStage::Ended;
        // A failure may precede the run, so it does not show that the content is harmless.
        if status.is_success() {
            self.state.quarantine.note_answer(self.fingerprint, self.state.clock.now());
        }
        self.record(if status.is_server_error() { "upstream-failure" } else { "answered" }, None);
        let after = self.state.clock.now().since(self.arrived_at).as_millis() as u64;
        info!(self.state.log, "answered"; "request" => self.id(), "upstream" => upstream,
            "status" => status.as_u16(), "after_ms" => after, "framing" => framing.name());
    }
}
