//! Executes the exchange of one admitted request: performs the actions that the request chart
//! orders and reports events back to it.

use super::crash_check::{BrokenRequest, BrokenUpstream, check_upstream};
use super::pool_runtime::{PoolDecision, PoolRuntime, RequestGuard};
use super::sink::{AnswerSink, CallerGone};
use super::state::TrafficState;
use crate::answer::{AnswerKind, RefusalAnswer};
use crate::claim::RecordedAnswer;
use crate::policy::{
    ArrivedRequest, DispatchOutcome, Exchange, ExchangeAction, ExchangeEvent, Moment, PoolEvent,
    RequestId, RequestState, UpstreamEvent,
};
use crate::quarantine::RequestFingerprint;
use crate::table::UpstreamName;
use crate::upstream::{AnswerPiece, AnswerStream, OpenError, PieceRead, PieceSource, UpstreamCall};
use bytes::Bytes;
use slog::{debug, info};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Minimum number of pieces over which a mean token gap is reported to the scheduler.
const MIN_TOKEN_GAP_PIECES: u64 = 16;

/// Result of a request, for logs, metrics and claims.
#[derive(Clone, Debug, PartialEq)]
pub struct ExchangeEnd {
    pub state: RequestState,
    /// Reason why there is no whole answer.
    pub failure: Option<AnswerKind>,
    /// Last upstream that the request was placed at.
    pub upstream: Option<UpstreamName>,
    /// Time from arrival to the first piece.
    pub first_piece: Option<Duration>,
    pub tokens: u32,
    /// Recorded answer, if one was to be kept.
    pub recorded: Option<RecordedAnswer>,
    /// True if an upstream may have received any byte of the request.
    pub may_have_run: bool,
}

/// Fixed inputs of an exchange.
pub struct ExchangeCall {
    /// Request as sent to the upstream.
    pub call: Box<UpstreamCall>,
    /// Request as submitted to the scheduler.
    pub arrived: ArrivedRequest,
    /// Time without a byte after which a stream counts as silent.
    pub silence: Duration,
    /// Identifies the same request when it is sent again.
    pub fingerprint: RequestFingerprint,
    /// True if the answer must be kept for retries.
    pub is_recorded: bool,
}

/// Event observed while waiting for an answer.
enum ObservedEvent {
    Read(PieceRead),
    Opened(Result<AnswerStream, OpenError>),
    Silent,
    Deadline,
    CallerLeft,
}

/// State of a running exchange.
struct ExchangeRun<'a> {
    state: &'a Arc<TrafficState>,
    pool: &'a Arc<PoolRuntime>,
    call: Box<UpstreamCall>,
    id: RequestId,
    deadline: Moment,
    silence: Duration,
    fingerprint: RequestFingerprint,
    exchange: Exchange,
    target: Option<(UpstreamName, SocketAddr)>,
    pieces: Option<Box<dyn PieceSource>>,
    tokens: u32,
    prompt_tokens: Option<u32>,
    end_mark: Bytes,
    gap_start: (u64, Moment),
    resumes: u32,
    arrived_at: Moment,
    first_piece: Option<Duration>,
    recorded: Option<RecordedAnswer>,
    may_have_run: bool,
    /// True if the last head of an answer had the status of a success.
    is_success: bool,
}

/// Runs a request to its final state.
pub async fn run_exchange(
    state: &Arc<TrafficState>,
    pool: &Arc<PoolRuntime>,
    exchange_call: Box<ExchangeCall>,
    sink: Box<AnswerSink>,
) -> ExchangeEnd {
    let ExchangeCall { call, arrived, silence, fingerprint, is_recorded } = *exchange_call;
    let mut sink = sink;
    if is_recorded {
        sink.start_record();
    }
    let mut run = ExchangeRun {
        state,
        pool,
        exchange: Exchange::new(Arc::clone(&call.id), pool.driver.can_resume()),
        call,
        id: arrived.id,
        deadline: arrived.deadline,
        silence,
        fingerprint,
        target: None,
        pieces: None,
        tokens: 0,
        prompt_tokens: None,
        end_mark: Bytes::new(),
        gap_start: (0, Moment(0)),
        resumes: 0,
        arrived_at: state.clock.now(),
        first_piece: None,
        recorded: None,
        may_have_run: false,
        is_success: false,
    };
    let (guard, decision) = pool.submit(arrived);
    run.execute(guard, decision, sink).await;
    if run.exchange.state() == RequestState::Answered && run.is_success {
        state.quarantine.note_answer(fingerprint, state.clock.now());
    }
    ExchangeEnd {
        state: run.exchange.state(),
        failure: (run.exchange.state() != RequestState::Answered).then(|| run.exchange.failure()),
        upstream: run.target.map(|(name, _)| name),
        first_piece: run.first_piece,
        tokens: run.tokens,
        recorded: run.recorded,
        may_have_run: run.may_have_run,
    }
}

impl ExchangeRun<'_> {
    fn now(&self) -> Moment {
        self.state.clock.now()
    }

    async fn execute(
        &mut self,
        mut guard: RequestGuard,
        mut decision: oneshot::Receiver<PoolDecision>,
        mut sink: Box<AnswerSink>,
    ) {
        loop {
            let Some(placed) = self.await_decision(&mut decision, &mut sink).await else { return };
            let placed = self.check_quarantine(placed, &mut guard);
            let (upstream, name, address) = match placed {
                PoolDecision::Refuse(kind) => {
                    guard.disarm();
                    self.exchange.handle(ExchangeEvent::Refused(kind), self.now());
                    return Box::pin(self.refuse(sink, kind)).await;
                }
                PoolDecision::Send { upstream, name, address, .. } => (upstream, name, address),
            };
            self.target = Some((name, address));
            self.may_have_run = true;
            self.exchange.handle(ExchangeEvent::Placed(upstream), self.now());
            // Boxed so that a waiting request does not occupy the memory of the larger future.
            match Box::pin(self.run_dispatch(&mut guard, &mut sink)).await {
                DispatchEnd::Requeue => {
                    self.may_have_run = false;
                    decision = guard.requeue(DispatchOutcome::NotSent);
                }
                DispatchEnd::Finish => {
                    self.recorded = sink.take_record();
                    let _ = Box::pin(sink.finish(std::mem::take(&mut self.end_mark))).await;
                    return;
                }
                DispatchEnd::Fail => {
                    let kind = self.exchange.failure();
                    return Box::pin(self.refuse(sink, kind)).await;
                }
                DispatchEnd::CallerGone => return,
            }
        }
    }

    async fn await_decision(
        &mut self,
        decision: &mut oneshot::Receiver<PoolDecision>,
        sink: &mut AnswerSink,
    ) -> Option<PoolDecision> {
        tokio::select! {
            biased;
            placed = decision => Some(placed.unwrap_or(PoolDecision::Refuse(AnswerKind::Internal))),
            () = sink.closed() => {
                self.exchange.handle(ExchangeEvent::CallerLeft, self.now());
                None
            }
        }
    }

    /// Releases the slot and refuses the request if its content is quarantined.
    fn check_quarantine(&self, decision: PoolDecision, guard: &mut RequestGuard) -> PoolDecision {
        let PoolDecision::Send { .. } = &decision else { return decision };
        match self.state.quarantine.check(self.state, &self.call.id, self.fingerprint) {
            Ok(()) => decision,
            Err(kind) => {
                guard.end(DispatchOutcome::Cancelled);
                PoolDecision::Refuse(kind)
            }
        }
    }

    async fn refuse(&mut self, sink: Box<AnswerSink>, kind: AnswerKind) {
        let detail = match &self.target {
            Some((name, _)) if kind.row().ran == crate::answer::ExecutionStatus::Unknown => {
                format!("upstream {name}")
            }
            _ => String::new(),
        };
        sink.fail(&RefusalAnswer::new(kind, detail, self.state.jitter())).await;
    }

    /// Sends the request, relays the answer and resumes it as needed, until the exchange ends or
    /// the request is requeued.
    async fn run_dispatch(
        &mut self,
        guard: &mut RequestGuard,
        sink: &mut AnswerSink,
    ) -> DispatchEnd {
        let mut open_mode = OpenMode::Initial;
        loop {
            let observed = self.next_event(open_mode, sink).await;
            open_mode = OpenMode::None;
            let mut piece = None;
            let actions = self.handle_event(observed, sink, &mut piece);
            for action in actions {
                match action {
                    ExchangeAction::Relay => {
                        let Some(piece) = piece.take() else { continue };
                        if self.relay(piece, sink).await.is_err() {
                            let now = self.now();
                            self.exchange.handle(ExchangeEvent::CallerLeft, now);
                            self.cancel();
                            guard.end(DispatchOutcome::Cancelled);
                            return DispatchEnd::CallerGone;
                        }
                    }
                    ExchangeAction::Resume => {
                        self.pieces = None;
                        self.resumes += 1;
                        open_mode = OpenMode::Resume;
                        debug!(self.state.log, "stream interrupted, resuming"; "request" => &*self.call.id, "pieces" => self.exchange.pieces());
                    }
                    ExchangeAction::Requeue => return DispatchEnd::Requeue,
                    ExchangeAction::Cancel => self.cancel(),
                    ExchangeAction::Release => guard.end(self.outcome()),
                    ExchangeAction::Finish => return DispatchEnd::Finish,
                    ExchangeAction::Fail => return DispatchEnd::Fail,
                    ExchangeAction::Connect | ExchangeAction::Refuse | ExchangeAction::Withdraw => {
                    }
                }
            }
            if self.exchange.state() == RequestState::Abandoned {
                return DispatchEnd::CallerGone;
            }
        }
    }

    async fn next_event(&mut self, open_mode: OpenMode, sink: &mut AnswerSink) -> ObservedEvent {
        let now = self.now();
        let has_begun = sink.has_begun();
        let deadline = self.deadline.since(now);
        let silence = self.silence_limit();
        let address = self.target.as_ref().map(|(_, address)| *address);
        let driver = Arc::clone(&self.pool.driver);
        let after = self.exchange.pieces();
        let upstream = self.exchange.upstream();
        let is_replaced = open_mode == OpenMode::Resume
            && upstream.is_some_and(|upstream| self.pool.is_replaced(upstream));
        let call = &*self.call;
        let read = async {
            match (open_mode, address) {
                (OpenMode::Initial, Some(address)) => {
                    ObservedEvent::Opened(driver.open(call, address).await)
                }
                // Its successor knows nothing of the stream, and may be of another version.
                (OpenMode::Resume, _) if is_replaced => {
                    let detail = "another upstream has taken the address".to_owned();
                    ObservedEvent::Opened(Err(OpenError::Lost { detail }))
                }
                (OpenMode::Resume, Some(address)) => {
                    ObservedEvent::Opened(driver.resume(call, address, after).await)
                }
                _ => match &mut self.pieces {
                    Some(pieces) => ObservedEvent::Read(pieces.next().await),
                    None => std::future::pending().await,
                },
            }
        };
        tokio::select! {
            biased;
            observed = read => observed,
            () = sink.closed() => ObservedEvent::CallerLeft,
            () = tokio::time::sleep(silence) => ObservedEvent::Silent,
            // No deadline once the caller receives the answer: aborting would waste the work done.
            () = tokio::time::sleep(deadline), if !has_begun => ObservedEvent::Deadline,
        }
    }

    /// Time without a byte after which an upstream counts as silent. Plain services, and engines
    /// whose answer is not a stream, send nothing while they work. An upstream that cannot resume
    /// is limited by the deadline only; for a resumable answer that is not a stream, the limit
    /// doubles with each resume.
    fn silence_limit(&self) -> Duration {
        if !self.pool.driver.can_resume() {
            return Duration::from_secs(3_600);
        }
        match self.call.wants_stream {
            true => self.silence,
            false => self.silence * 2u32.saturating_pow(self.resumes),
        }
    }

    /// Passes an observed event to the exchange and returns the actions to execute.
    fn handle_event(
        &mut self,
        observed: ObservedEvent,
        sink: &mut AnswerSink,
        received_piece: &mut Option<AnswerPiece>,
    ) -> &'static [ExchangeAction] {
        let now = self.now();
        match observed {
            ObservedEvent::Opened(Ok(stream)) => {
                self.exchange.handle(ExchangeEvent::Opened, now);
                let AnswerStream { head, pieces } = stream;
                self.is_success = head.status.is_success();
                if let (Some(report), Some(upstream)) = (head.report, self.exchange.upstream()) {
                    self.pool.handle_event(PoolEvent::LoadReported { upstream, report });
                }
                let actions =
                    self.exchange.handle(ExchangeEvent::Head { echo: head.echo.as_deref() }, now);
                sink.set_head(head);
                self.pieces = Some(pieces);
                actions
            }
            ObservedEvent::Opened(Err(OpenError::NotSent { detail })) => {
                info!(self.state.log, "upstream not reached"; "request" => &*self.call.id, "detail" => detail);
                if self.exchange.state() == RequestState::Connecting {
                    return self.exchange.handle(ExchangeEvent::NotSent, now);
                }
                if let Some(upstream) = self.exchange.upstream() {
                    self.pool.handle_event(PoolEvent::Lifecycle {
                        upstream,
                        event: UpstreamEvent::Unreachable,
                    });
                }
                self.exchange.handle(ExchangeEvent::Cut, now)
            }
            ObservedEvent::Opened(Err(OpenError::Lost { detail })) => {
                info!(self.state.log, "upstream gave no answer"; "request" => &*self.call.id, "detail" => detail);
                self.check_upstream();
                let was_resuming = self.exchange.state() == RequestState::Resuming;
                self.exchange.handle(ExchangeEvent::Opened, now);
                self.exchange.handle(
                    if was_resuming { ExchangeEvent::ResumeRefused } else { ExchangeEvent::Cut },
                    now,
                )
            }
            ObservedEvent::Read(PieceRead::Piece(piece)) => {
                let event =
                    ExchangeEvent::Piece { sequence: piece.sequence, echo: piece.echo.as_deref() };
                let actions = self.exchange.handle(event, now);
                *received_piece = Some(piece);
                actions
            }
            ObservedEvent::Read(PieceRead::Ended { prompt_tokens, end_mark }) => {
                self.prompt_tokens = prompt_tokens;
                self.end_mark = end_mark;
                self.exchange.handle(ExchangeEvent::Ended, now)
            }
            ObservedEvent::Read(PieceRead::Cut) => {
                self.check_upstream();
                self.exchange.handle(ExchangeEvent::Cut, now)
            }
            ObservedEvent::Silent => {
                // The request may have been sent before the silence began.
                self.exchange.handle(ExchangeEvent::Opened, now);
                self.exchange.handle(ExchangeEvent::Silent, now)
            }
            ObservedEvent::Deadline => {
                self.exchange.handle(ExchangeEvent::Opened, now);
                self.exchange.handle(ExchangeEvent::Deadline, now)
            }
            ObservedEvent::CallerLeft => self.exchange.handle(ExchangeEvent::CallerLeft, now),
        }
    }

    /// Starts a crash check after the connection ended before the answer did, since the upstream
    /// may have terminated.
    fn check_upstream(&self) {
        let (Some((name, address)), Some(index)) = (&self.target, self.exchange.upstream()) else {
            return;
        };
        let upstream = BrokenUpstream {
            service: self.pool.service.clone(),
            version: self.pool.version.clone(),
            upstream: name.clone(),
            index,
            incarnation: self.pool.incarnation(index),
            address: *address,
        };
        let id = Arc::clone(&self.call.id);
        check_upstream(self.state, upstream, BrokenRequest { id, fingerprint: self.fingerprint });
    }

    async fn relay(&mut self, piece: AnswerPiece, sink: &mut AnswerSink) -> Result<(), CallerGone> {
        self.tokens += piece.tokens;
        self.report_timing(&piece);
        sink.relay(piece.bytes).await
    }

    /// Reports the time to the first token and the token gaps of a stream to the scheduler.
    fn report_timing(&mut self, piece: &AnswerPiece) {
        let id = self.id;
        let now = self.now();
        if piece.sequence == 1 {
            self.first_piece = Some(now.since(self.arrived_at));
            self.gap_start = (1, now);
            if let (Some(after), true) =
                (self.exchange.time_to_first_piece(), self.call.wants_stream)
            {
                self.pool.handle_event(PoolEvent::FirstToken { id, after });
            }
            return;
        }
        let (from, at) = self.gap_start;
        let count = piece.sequence - from;
        if self.call.wants_stream && self.pool.driver.can_resume() && count >= MIN_TOKEN_GAP_PIECES
        {
            self.gap_start = (piece.sequence, now);
            self.pool.handle_event(PoolEvent::TokenGap { id, gap: now.since(at) / count as u32 });
        }
    }

    fn outcome(&self) -> DispatchOutcome {
        match self.exchange.state() {
            RequestState::Answered => DispatchOutcome::Completed {
                prompt_tokens: self.prompt_tokens,
                output_tokens: self.tokens,
            },
            RequestState::Abandoned => DispatchOutcome::Cancelled,
            _ => DispatchOutcome::Failed,
        }
    }

    /// Closes the connection and cancels the work at the upstream in the background. Neither the
    /// caller's refusal nor the release of the slot may wait for an upstream that does not respond.
    fn cancel(&mut self) {
        self.pieces = None;
        let Some((_, address)) = self.target.clone() else { return };
        let driver = Arc::clone(&self.pool.driver);
        let call = self.call.clone();
        tokio::spawn(async move { driver.cancel(&call, address).await });
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum OpenMode {
    None,
    Initial,
    Resume,
}

enum DispatchEnd {
    Requeue,
    Finish,
    Fail,
    CallerGone,
}
