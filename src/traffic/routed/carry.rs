//! Carries an admitted request: waits for its place, sends it, and sends it again where the route allows.

use super::attempt::{AttemptFault, OpenAnswer, send};
use super::dialect::{CallDialect, CallerFacts};
use super::door::{LimitGuard, find_entry};
use super::relay::{StreamPace, StreamRelay, stream_response, whole_response};
use super::reserve::{NO_PLACE, Reservation, reserve};
use super::size_fields::SizeFields;
use crate::answer::{AnswerKind, RefusalAnswer};
use crate::policy::{
    ArrivedRequest, DispatchOutcome, Moment, PoolEvent, RequestId, RequestSizes, RouteKey,
    SizeTenth, UpstreamHash, UpstreamIndex, UpstreamWord,
};
use crate::quarantine::RequestFingerprint;
use crate::report::{RouteRecord, record_route};
use crate::rollout::{AnswerCount, RequestGroup, VersionArm};
use crate::table::{RouteKind, RouteRow, ServiceName, UpstreamName};
use crate::traffic::access::CallerIdentity;
use crate::traffic::crash_check::{BrokenRequest, BrokenUpstream, check_upstream};
use crate::traffic::pool_runtime::{PlacementWord, PoolRuntime, RequestGuard};
use crate::traffic::rollout_gate::TrialTicket;
use crate::traffic::state::{ChosenPool, ProgressGuard, TrafficState};
use axum::body::Body;
use bytes::Bytes;
use http::Response;
use http::request::Parts;
use slog::info;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// A resumable stream without a first event is sent elsewhere after this many times its objective.
const FIRST_EVENT_PATIENCE: u32 = 2;
/// At least this long, since engines under load make first events late without being lost.
const LEAST_PATIENCE: Duration = Duration::from_millis(1_200);

/// Parts of the time left between which callers are told to return: the platform's callers wait for a third of it
/// at most.
const RETURN_LEAST: f64 = 0.2;
const RETURN_MOST: f64 = 0.33;

/// How far a request has come; told when its caller leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// It waits for a place.
    Waiting,
    /// It was sent; no answer has begun.
    Sent,
    /// Its answer has begun.
    Answering,
    /// Its end was told.
    Ended,
}

/// A request on its way.
pub struct CarriedRequest {
    pub stage: RequestStage,
    pub state: Arc<TrafficState>,
    pub dialect: Arc<dyn CallDialect>,
    pub route: Arc<RouteRow>,
    pub caller: Option<CallerIdentity>,
    pub sizes: Option<RequestSizes>,
    /// Its tenth by size among the recent requests of its route, if that is known.
    pub size_tenth: Option<SizeTenth>,
    /// When the caller's or the route's time is over, whichever is first.
    pub deadline: Moment,
    /// True if the caller named a deadline.
    pub has_deadline: bool,
    /// True if its caller has been here before with it, as far as that can be told.
    pub has_returned: bool,
    pub facts: CallerFacts,
    /// What the request is known by when it comes again.
    pub fingerprint: RequestFingerprint,
    pub parts: Parts,
    pub body: Bytes,
    pub arrived_at: Moment,
    pub limit: Option<LimitGuard>,
    /// Counts the request as in progress until it has ended.
    pub _progress: ProgressGuard,
}

/// Where a request was sent.
pub struct PlacedRequest {
    pub pool: Arc<PoolRuntime>,
    pub guard: RequestGuard,
    /// The request's number in its pool.
    pub number: RequestId,
    pub upstream: UpstreamIndex,
    pub name: UpstreamName,
    pub address: SocketAddr,
    pub sent_at: Moment,
    /// The place that the upstream reserved.
    pub place: Option<String>,
    /// The version that it has in its service's roll-out, if there is one.
    pub arm: VersionArm,
    /// The request's part of the share of a version on trial.
    pub ticket: Option<TrialTicket>,
}

impl PlacedRequest {
    /// Its upstream, as one whose connection broke.
    fn broken_upstream(&self) -> BrokenUpstream {
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

/// What the sends of one request have come to.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendCount {
    /// Upstreams that it was sent to.
    pub sent: u32,
    /// True if one of them may have run it.
    pub may_have_run: bool,
}

impl Drop for CarriedRequest {
    /// A caller that leaves ends the request wherever it is; without a line of its own such a request would seem to
    /// hang for ever to whoever reads the logs.
    fn drop(&mut self) {
        if self.stage != RequestStage::Ended {
            let after = self.state.clock.now().since(self.arrived_at).as_millis() as u64;
            self.record("caller-left", None);
            info!(self.state.log, "caller left"; "request" => self.id(), "stage" => format!("{:?}", self.stage),
                "route" => &self.route.route, "after_ms" => after, "left_ms" => self.time_left().as_millis() as u64, self.size_fields());
        }
    }
}

impl CarriedRequest {
    /// What is left of the time.
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.state.clock.now())
    }

    /// Counts the request's end; `pace` is that of a stream's events.
    pub fn record(&self, outcome: &'static str, pace: Option<&StreamPace>) {
        record_route(&RouteRecord {
            kind: self.route.kind,
            tier: &self.route.tier,
            outcome,
            size_tenth: self.size_tenth,
            is_in_time: pace.is_none_or(|pace| self.is_in_time(pace)),
            first_event: pace.and_then(|pace| pace.first_after(self.arrived_at)),
            longest_pause: pace.map(StreamPace::longest_pause),
            total: self.state.clock.now().since(self.arrived_at),
        });
    }

    /// True if a stream's first event came within its objective and no pause was too long.
    fn is_in_time(&self, pace: &StreamPace) -> bool {
        let first = pace.first_after(self.arrived_at);
        let is_steady = self.route.gap_ms.is_none_or(|gap| pace.longest_pause() <= gap);
        is_steady && first.is_some_and(|first| self.arrived_at + first <= self.objective())
    }

    /// Its size, for the lines that tell what was decided of it and how it ended.
    pub fn size_fields(&self) -> SizeFields {
        SizeFields::new(&self.facts, self.size_tenth, self.has_returned)
    }

    /// The request's id, for logs.
    pub fn id(&self) -> &str {
        self.facts.id.as_deref().unwrap_or_default()
    }

    /// True if the request may go to one more upstream now, which is paid from the budget.
    pub fn may_send_again(&self, service: &ServiceName, count: SendCount) -> bool {
        let is_allowed = !count.may_have_run || self.route.kind.may_repeat();
        is_allowed
            && self.state.quarantine.held_for(self.fingerprint, self.state.clock.now()).is_none()
            && count.sent < self.route.attempts
            && !self.time_left().is_zero()
            && self.state.with_repeats(service, |budget| budget.spend())
    }

    /// Waits for a place. Between the word and the send the table is asked again: a route may have moved and a
    /// key may have been revoked while the request waited. So is the quarantine: there is no other way to an upstream,
    /// whether for a first send, a second one, or the rest of a stream.
    ///
    /// `may_try` if the request may go to a version on trial: one that has failed already goes to what is proven.
    pub async fn place(&mut self, may_try: bool) -> Result<PlacedRequest, AnswerKind> {
        let mut news = self.state.rollouts.news();
        loop {
            self.check_quarantine()?;
            let entry = find_entry(&self.state.snapshot(), &self.parts, &self.facts)?;
            self.route = entry.route;
            self.caller = entry.caller;
            let service = self.route.target(self.state.jitter());
            let service = service.ok_or(AnswerKind::ServiceUnknown)?.clone();
            let chosen = self.state.choose_pool(&service, may_try);
            let chosen = chosen.ok_or(AnswerKind::UpstreamAbsent)?;
            let Some(placed) = self.wait_in(chosen, &mut news).await? else { continue };
            self.check_quarantine()?;
            let entry = find_entry(&self.state.snapshot(), &self.parts, &self.facts)?;
            if entry.route.allows(&service) && self.state.may_use(&service, placed.arm) {
                return Ok(placed);
            }
        }
    }

    fn check_quarantine(&self) -> Result<(), AnswerKind> {
        self.state.quarantine.check(&self.state, self.id(), self.fingerprint)
    }

    /// Waits for the scheduler's word, and for a place at the upstream that it names. None if a roll-out leaves the pool
    /// meanwhile.
    async fn wait_in(
        &self,
        chosen: ChosenPool,
        news: &mut watch::Receiver<()>,
    ) -> Result<Option<PlacedRequest>, AnswerKind> {
        let ChosenPool { pool, arm, ticket } = chosen;
        let number = RequestId(self.state.new_request_id().0);
        let (mut guard, mut word) = pool.arrive(self.arrived(number));
        loop {
            let limit = self.time_left();
            let waited = tokio::select! {
                biased;
                waited = tokio::time::timeout(limit, &mut word) => waited,
                Ok(()) = news.changed() => {
                    if self.state.may_use(&pool.service, arm) {
                        continue;
                    }
                    return Ok(None);
                }
            };
            let (upstream, name, address) = match waited {
                Ok(Ok(PlacementWord::Go { upstream, name, address })) => (upstream, name, address),
                Ok(Ok(PlacementWord::Refuse(kind))) => {
                    guard.refused();
                    return Err(kind);
                }
                Ok(Err(_)) => return Err(AnswerKind::Internal),
                Err(_) => return Err(AnswerKind::DeadlineWaiting),
            };
            let reservation = match pool.reservation() {
                Some(longest) => reserve(self, address, name.as_str(), longest).await,
                None => NO_PLACE,
            };
            match reservation {
                Reservation::Granted { incarnation, .. }
                    if !pool.is_still(upstream, incarnation) =>
                {
                    // It was born anew since, or leaves: the place lapses by itself.
                    word = guard.requeue(DispatchOutcome::Crowded);
                }
                Reservation::Granted { place, .. } => {
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
                        sent_at,
                        place,
                    }));
                }
                Reservation::Full => word = guard.requeue(DispatchOutcome::Crowded),
                Reservation::Gone => {
                    pool.tell(PoolEvent::Word { upstream, word: UpstreamWord::Leaving });
                    word = guard.requeue(DispatchOutcome::Crowded);
                }
                Reservation::Unreachable => {
                    info!(self.state.log, "no word on a place"; "request" => self.id(), "upstream" => name.as_str());
                    word = guard.requeue(DispatchOutcome::NotSent);
                }
            }
        }
    }

    fn arrived(&self, id: RequestId) -> ArrivedRequest {
        let snapshot = self.state.snapshot();
        let organisation = self.caller.as_ref().map(|caller| (caller.index, caller.weight));
        let (organisation, weight) = organisation.unwrap_or((super::NO_ORGANISATION, 1));
        ArrivedRequest {
            id,
            organisation,
            weight,
            tier: snapshot.access.route_tier(&self.route, self.caller.as_ref()),
            prompt_bytes: self.body.len(),
            output_limit: self.facts.output_limit,
            deadline: self.deadline,
            rank: snapshot.access.route_rank(&self.route),
            objective: Some(self.objective()),
            patience: self.route.patience_ms.map(|time| self.arrived_at + time),
            pause: self.route.gap_ms,
            sizes: self.sizes,
            size_tenth: self.size_tenth,
            route: RouteKey::of(&self.route.route),
            prefix: Box::default(),
        }
    }

    /// When its first event or its answer is due. A caller that has been here before counts from its first attempt, so
    /// that it is due already.
    fn objective(&self) -> Moment {
        match self.has_returned {
            true => self.arrived_at,
            false => self.arrived_at + self.route.objective_ms,
        }
    }

    /// How long an upstream may say nothing before the request goes elsewhere, if it may.
    fn patience(&self) -> Duration {
        match self.route.kind {
            RouteKind::ResumableStream | RouteKind::Safe => {
                (self.route.objective_ms * FIRST_EVENT_PATIENCE).max(LEAST_PATIENCE)
            }
            RouteKind::Unsafe | RouteKind::Stream => Duration::MAX,
        }
    }

    /// Sends to a placed upstream, within the time that is left.
    pub async fn try_send(
        &self,
        placed: &PlacedRequest,
        count: &mut SendCount,
        last_event: Option<u64>,
    ) -> Result<OpenAnswer, AttemptFault> {
        count.sent += 1;
        match &placed.ticket {
            Some(ticket) => ticket.sent(),
            None => self.state.rollouts.note_sent_to_old(&placed.pool.service),
        }
        let is_last = count.sent >= self.route.attempts;
        let patience = if is_last { Duration::MAX } else { self.patience() };
        let limit = self.time_left().min(patience);
        let place = placed.place.as_deref();
        let sending = send(self, placed.address, placed.name.as_str(), last_event, place);
        match tokio::time::timeout(limit, sending).await {
            Ok(answer) => answer,
            Err(_) => Err(AttemptFault::Lost(format!("no answer within {limit:?}"))),
        }
    }

    /// One line for each send, whether first, second or the rest of a stream.
    pub fn log_placed(&self, placed: &PlacedRequest, count: SendCount, last_event: Option<u64>) {
        let waited = placed.sent_at.since(self.arrived_at).as_millis() as u64;
        let organisation = self.caller.as_ref().map_or("", |caller| caller.organisation.as_str());
        info!(self.state.log, "sent"; "request" => self.id(), "route" => &self.route.route, "organisation" => organisation,
            "service" => placed.pool.service.as_str(), "version" => placed.pool.version.as_ref().map(|version| version.as_str()), "upstream" => placed.name.as_str(), "waited_ms" => waited,
            "send" => count.sent + 1, "after_event" => last_event, "fingerprint" => self.fingerprint.to_string(), "table" => self.state.snapshot().version,
            "left_ms" => self.time_left().as_millis() as u64, "tokens" => self.limit.as_ref().map_or(0, |limit| limit.cost),
            "slowness" => format!("{:.2}", placed.pool.slowness(placed.upstream)), self.size_fields());
    }
}

/// Carries a request to its answer's head, and a stream's events after it.
pub async fn carry(mut request: Box<CarriedRequest>) -> Response<Body> {
    let mut count = SendCount::default();
    loop {
        request.stage = RequestStage::Waiting;
        let mut placed = match request.place(count.sent == 0).await {
            Ok(placed) => placed,
            Err(kind) => return refuse(&mut request, kind, count),
        };
        request.stage = RequestStage::Sent;
        request.log_placed(&placed, count, request.facts.last_event);
        let service = placed.pool.service.clone();
        let name = placed.name.clone();
        if count.sent == 0 {
            let daemons = request.state.fleet.daemon_count();
            request.state.with_repeats(&service, |budget| budget.earn(daemons));
        }
        request.count_as_run(true);
        let sent = request.try_send(&placed, &mut count, request.facts.last_event).await;
        if let Err(AttemptFault::NotSent(_) | AttemptFault::NotRun { .. }) = sent {
            request.count_as_run(count.may_have_run);
        }
        let fault = match sent {
            Ok(answer) => match answer_caller(request, placed, count, answer).await {
                Answered::Response(response) => return response,
                Answered::Again(again, fault) => {
                    request = again;
                    fault
                }
            },
            Err(AttemptFault::NotSent(detail)) => {
                count.sent -= 1;
                info!(request.state.log, "upstream not reached"; "request" => request.id(), "detail" => detail);
                placed.pool.tell(PoolEvent::Word {
                    upstream: placed.upstream,
                    word: UpstreamWord::Unreachable,
                });
                placed.guard.end(DispatchOutcome::Failed);
                if request.time_left().is_zero() {
                    return refuse(&mut request, AnswerKind::UpstreamUnreachable, count);
                }
                continue;
            }
            Err(fault) => {
                note_fault(&request, &mut placed, &fault);
                fault
            }
        };
        request.note_run(&mut count, &fault);
        info!(request.state.log, "no answer"; "request" => request.id(), "upstream" => name.as_str(),
            "fault" => fault.to_string(), "sent" => count.sent);
        if !request.may_send_again(&service, count) {
            let kind = fault_kind(&request, &fault);
            return refuse(&mut request, kind, count);
        }
    }
}

impl CarriedRequest {
    /// Counts what came of a send for its service's roll-out, if there is one.
    pub fn note_version(&self, placed: &PlacedRequest, answer: AnswerCount) {
        let group = RequestGroup::of(RouteKey::of(&self.route.route), self.size_tenth);
        let incarnation = placed.pool.incarnation(placed.upstream);
        let service = &placed.pool.service;
        let upstream = UpstreamHash::of(service, &placed.name, incarnation);
        self.state.rollouts.note_answer(service, placed.arm, group, upstream, answer);
    }

    fn note_run(&mut self, count: &mut SendCount, fault: &AttemptFault) {
        if matches!(fault, AttemptFault::Broken(_) | AttemptFault::Lost(_)) {
            count.may_have_run = true;
        }
    }

    /// Counts the request against its organisation's limit from before it is sent: its caller may leave while an
    /// upstream runs it, and nothing would be heard of that.
    fn count_as_run(&mut self, has_run: bool) {
        self.limit.iter_mut().for_each(|limit| limit.has_run = has_run);
    }
}

/// Tells the pool how a send failed, and has the upstream looked at where it may have ended.
pub fn note_fault(request: &CarriedRequest, placed: &mut PlacedRequest, fault: &AttemptFault) {
    if let AttemptFault::Broken(_) = fault {
        let broken = BrokenRequest { id: request.id().into(), fingerprint: request.fingerprint };
        check_upstream(&request.state, placed.broken_upstream(), broken);
    }
    if let AttemptFault::NotRun { load: Some(report), .. } = fault {
        placed.pool.tell(PoolEvent::Reported { upstream: placed.upstream, report: *report });
    }
    if let AttemptFault::NotRun { is_other: true, .. } = fault {
        let word = UpstreamWord::Leaving;
        placed.pool.tell(PoolEvent::Word { upstream: placed.upstream, word });
    }
    if let AttemptFault::Broken(_) | AttemptFault::Lost(_) = fault {
        request.note_version(placed, AnswerCount::Failed);
    }
    placed.guard.end(DispatchOutcome::Failed);
}

fn fault_kind(request: &CarriedRequest, fault: &AttemptFault) -> AnswerKind {
    match fault {
        AttemptFault::NotSent(_) => AnswerKind::UpstreamUnreachable,
        AttemptFault::NotRun { .. } => AnswerKind::UpstreamRefused,
        AttemptFault::Broken(_) | AttemptFault::Lost(_) if request.time_left().is_zero() => {
            AnswerKind::DeadlineRunning
        }
        AttemptFault::Broken(_) | AttemptFault::Lost(_) => AnswerKind::UpstreamLost,
    }
}

/// The final refusal. Once a send may have run the request, nothing may say that it did not run.
fn refuse(request: &mut CarriedRequest, kind: AnswerKind, count: SendCount) -> Response<Body> {
    request.stage = RequestStage::Ended;
    let says_not_run = matches!(kind.row().status, 408 | 421 | 429 | 503);
    let kind = match count.may_have_run && says_not_run {
        true if request.time_left().is_zero() => AnswerKind::DeadlineRunning,
        true => AnswerKind::UpstreamLost,
        false => kind,
    };
    let waited = request.state.clock.now().since(request.arrived_at).as_millis() as u64;
    request.record(kind.row().name, None);
    info!(request.state.log, "refused"; "request" => request.id(), "kind" => kind.row().name,
        "route" => &request.route.route, "sent" => count.sent, "may_have_run" => count.may_have_run, "after_ms" => waited, request.size_fields());
    RefusalAnswer::new(kind, "", request.state.jitter())
        .returning_within(request.return_time(kind))
        .response(request.id())
}

impl CarriedRequest {
    /// When to come back after a refusal for want of capacity: late in the part of its time that the caller may
    /// spend waiting. It is late in any case, so an early return gains nothing, and a burst is the more likely to
    /// be over; spread, so that those refused together do not return together.
    fn return_time(&self, kind: AnswerKind) -> Option<Duration> {
        if kind == AnswerKind::Quarantined {
            return self.state.quarantine.held_for(self.fingerprint, self.state.clock.now());
        }
        let is_overload = kind.row().shed || kind == AnswerKind::UpstreamRefused;
        let spread = RETURN_LEAST + (RETURN_MOST - RETURN_LEAST) * self.state.jitter();
        is_overload.then(|| self.time_left().mul_f64(spread))
    }
}

/// What became of an answer whose head came.
enum Answered {
    Response(Response<Body>),
    /// It was not whole.
    Again(Box<CarriedRequest>, AttemptFault),
}

async fn answer_caller(
    mut request: Box<CarriedRequest>,
    mut placed: PlacedRequest,
    count: SendCount,
    answer: OpenAnswer,
) -> Answered {
    let status = answer.response.status();
    if let Some(report) = answer.facts.load {
        placed.pool.tell(PoolEvent::Reported { upstream: placed.upstream, report });
    }
    if request.route.kind.is_stream() && status.is_success() {
        request.stage = RequestStage::Answering;
        let (head, body) = answer.response.into_parts();
        let relay = StreamRelay::new(request, placed, count, body, answer.connection);
        return Answered::Response(stream_response(head, relay));
    }
    let limit = request.time_left();
    let whole = whole_response(answer.response, answer.connection);
    let fault = match tokio::time::timeout(limit, whole).await {
        Ok(Ok(response)) => {
            let is_failure = status.is_server_error();
            let outcome = match is_failure {
                true => DispatchOutcome::Failed,
                false => DispatchOutcome::Completed { prompt_tokens: None, output_tokens: 0 },
            };
            let after = request.state.clock.now().since(placed.sent_at);
            let answer = if is_failure { AnswerCount::Failed } else { AnswerCount::served(after) };
            request.note_version(&placed, answer);
            placed.guard.end(outcome);
            let ran = SendCount { may_have_run: true, ..count };
            if !is_failure || !request.may_send_again(&placed.pool.service, ran) {
                request.log_answered(&placed, status.as_u16());
                return Answered::Response(response);
            }
            // Already paid from the budget: the next send must not be asked for again.
            request.state.with_repeats(&placed.pool.service, |budget| budget.refund());
            return Answered::Again(request, AttemptFault::Lost(format!("status {status}")));
        }
        Ok(Err(detail)) => AttemptFault::Broken(detail),
        Err(_) => AttemptFault::Lost("the answer was not whole in time".to_owned()),
    };
    note_fault(&request, &mut placed, &fault);
    Answered::Again(request, fault)
}

impl CarriedRequest {
    pub fn log_answered(&mut self, placed: &PlacedRequest, status: u16) {
        self.stage = RequestStage::Ended;
        self.state.quarantine.note_answer(self.fingerprint, self.state.clock.now());
        self.record(if status < 500 { "answered" } else { "upstream-failure" }, None);
        let after = self.state.clock.now().since(self.arrived_at).as_millis() as u64;
        info!(self.state.log, "answered"; "request" => self.id(), "upstream" => placed.name.as_str(),
            "status" => status, "after_ms" => after);
    }
}
