//! Carries one admitted request through its exchange: the chart says what, this does it.

use super::crash_check::{BrokenRequest, BrokenUpstream, check_upstream};
use super::pool_runtime::{PlacementWord, PoolRuntime, RequestGuard};
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
use crate::upstream::{AnswerPiece, AnswerStream, OpenFault, PieceRead, PieceSource, UpstreamCall};
use bytes::Bytes;
use slog::{debug, info};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Token gaps are told to the scheduler once in this many pieces.
const GAP_STRETCH: u64 = 16;

/// How a request ended, for logs, metrics and claims.
#[derive(Clone, Debug, PartialEq)]
pub struct ExchangeEnd {
    /// The final state.
    pub state: RequestState,
    /// Why, if there is no whole answer.
    pub failure: Option<AnswerKind>,
    /// The last upstream tried.
    pub upstream: Option<UpstreamName>,
    /// Time to the first piece since arrival.
    pub first_piece: Option<Duration>,
    /// Output tokens.
    pub tokens: u32,
    /// The answer, where it was to be kept.
    pub recorded: Option<RecordedAnswer>,
    /// True if a byte may have reached an upstream.
    pub may_have_run: bool,
}

/// What is fixed about one request's run.
pub struct ExchangeCall {
    /// The request as it goes to the upstream.
    pub call: Box<UpstreamCall>,
    /// The request as the scheduler sees it.
    pub arrived: ArrivedRequest,
    /// A stream is silent after this long without a byte.
    pub silence: Duration,
    /// What the request is known by when it comes again.
    pub fingerprint: RequestFingerprint,
    /// True if the answer must be kept for resends.
    pub records: bool,
}

/// What can happen while an answer is awaited.
enum Happening {
    Read(PieceRead),
    Opened(Result<AnswerStream, OpenFault>),
    Silent,
    Deadline,
    CallerLeft,
}

/// One request being carried.
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
    gap_from: (u64, Moment),
    resumes: u32,
    arrived_at: Moment,
    first_piece: Option<Duration>,
    recorded: Option<RecordedAnswer>,
    may_have_run: bool,
}

/// Runs a request to its one end.
pub async fn run_exchange(
    state: &Arc<TrafficState>,
    pool: &Arc<PoolRuntime>,
    exchange_call: Box<ExchangeCall>,
    sink: Box<AnswerSink>,
) -> ExchangeEnd {
    let ExchangeCall { call, arrived, silence, fingerprint, records } = *exchange_call;
    let mut sink = sink;
    if records {
        sink.keep_record();
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
        gap_from: (0, Moment(0)),
        resumes: 0,
        arrived_at: state.clock.now(),
        first_piece: None,
        recorded: None,
        may_have_run: false,
    };
    let (guard, word) = pool.arrive(arrived);
    run.carry(guard, word, sink).await;
    if run.exchange.state() == RequestState::Answered {
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

    async fn carry(
        &mut self,
        mut guard: RequestGuard,
        mut word: oneshot::Receiver<PlacementWord>,
        mut sink: Box<AnswerSink>,
    ) {
        loop {
            let Some(placed) = self.wait_for_word(&mut word, &mut sink).await else { return };
            let placed = self.pass_quarantine(placed, &mut guard);
            let (upstream, name, address) = match placed {
                PlacementWord::Refuse(kind) => {
                    guard.refused();
                    self.exchange.handle(ExchangeEvent::Refused(kind), self.now());
                    return Box::pin(self.refuse(sink, kind)).await;
                }
                PlacementWord::Go { upstream, name, address } => (upstream, name, address),
            };
            self.target = Some((name, address));
            self.may_have_run = true;
            self.exchange.handle(ExchangeEvent::Placed(upstream), self.now());
            // Boxed: while a request only waits, it must not hold the room that its conversation needs.
            match Box::pin(self.converse(&mut guard, &mut sink)).await {
                ConverseEnd::Requeue => {
                    self.may_have_run = false;
                    word = guard.requeue(DispatchOutcome::NotSent);
                }
                ConverseEnd::Finish => {
                    self.recorded = sink.take_record();
                    let _ = Box::pin(sink.finish(std::mem::take(&mut self.end_mark))).await;
                    return;
                }
                ConverseEnd::Fail => {
                    let kind = self.exchange.failure();
                    return Box::pin(self.refuse(sink, kind)).await;
                }
                ConverseEnd::CallerGone => return,
            }
        }
    }

    async fn wait_for_word(
        &mut self,
        word: &mut oneshot::Receiver<PlacementWord>,
        sink: &mut AnswerSink,
    ) -> Option<PlacementWord> {
        tokio::select! {
            biased;
            placed = word => Some(placed.unwrap_or(PlacementWord::Refuse(AnswerKind::Internal))),
            () = sink.closed() => {
                self.exchange.handle(ExchangeEvent::CallerLeft, self.now());
                None
            }
        }
    }

    /// Gives the place back if the content is held back.
    fn pass_quarantine(&self, word: PlacementWord, guard: &mut RequestGuard) -> PlacementWord {
        let PlacementWord::Go { .. } = &word else { return word };
        match self.state.quarantine.check(self.state, &self.call.id, self.fingerprint) {
            Ok(()) => word,
            Err(kind) => {
                guard.end(DispatchOutcome::Cancelled);
                PlacementWord::Refuse(kind)
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

    /// Sends, relays, resumes, until the exchange ends or goes back to the queue.
    async fn converse(&mut self, guard: &mut RequestGuard, sink: &mut AnswerSink) -> ConverseEnd {
        let mut opening = Opening::First;
        loop {
            let happening = self.next_happening(opening, sink).await;
            opening = Opening::None;
            let mut piece = None;
            let actions = self.take(happening, sink, &mut piece);
            for action in actions {
                match action {
                    ExchangeAction::Relay => {
                        let Some(piece) = piece.take() else { continue };
                        if self.relay(piece, sink).await.is_err() {
                            let now = self.now();
                            self.exchange.handle(ExchangeEvent::CallerLeft, now);
                            self.cancel();
                            guard.end(DispatchOutcome::Cancelled);
                            return ConverseEnd::CallerGone;
                        }
                    }
                    ExchangeAction::Resume => {
                        self.pieces = None;
                        self.resumes += 1;
                        opening = Opening::Again;
                        debug!(self.state.log, "stream interrupted, resuming"; "request" => &*self.call.id, "pieces" => self.exchange.pieces());
                    }
                    ExchangeAction::Requeue => return ConverseEnd::Requeue,
                    ExchangeAction::Cancel => self.cancel(),
                    ExchangeAction::Release => guard.end(self.outcome()),
                    ExchangeAction::Finish => return ConverseEnd::Finish,
                    ExchangeAction::Fail => return ConverseEnd::Fail,
                    ExchangeAction::Connect | ExchangeAction::Refuse | ExchangeAction::Withdraw => {
                    }
                }
            }
            if self.exchange.state() == RequestState::Abandoned {
                return ConverseEnd::CallerGone;
            }
        }
    }

    async fn next_happening(&mut self, opening: Opening, sink: &mut AnswerSink) -> Happening {
        let now = self.now();
        let has_begun = sink.has_begun();
        let deadline = self.deadline.since(now);
        let silence = self.silence_limit();
        let address = self.target.as_ref().map(|(_, address)| *address);
        let driver = Arc::clone(&self.pool.driver);
        let after = self.exchange.pieces();
        let call = &*self.call;
        let read = async {
            match (opening, address) {
                (Opening::First, Some(address)) => {
                    Happening::Opened(driver.open(call, address).await)
                }
                (Opening::Again, Some(address)) => {
                    Happening::Opened(driver.resume(call, address, after).await)
                }
                _ => match &mut self.pieces {
                    Some(pieces) => Happening::Read(pieces.next().await),
                    None => std::future::pending().await,
                },
            }
        };
        tokio::select! {
            biased;
            happening = read => happening,
            () = sink.closed() => Happening::CallerLeft,
            () = tokio::time::sleep(silence) => Happening::Silent,
            // An answer that the caller already sees is let run on: cutting it would waste it.
            () = tokio::time::sleep(deadline), if !has_begun => Happening::Deadline,
        }
    }

    /// Plain services and whole answers say nothing while they work: silence is judged by the
    /// deadline, and for resumable whole answers by doubling waits.
    fn silence_limit(&self) -> Duration {
        if !self.pool.driver.can_resume() {
            return Duration::from_secs(3_600);
        }
        match self.call.wants_stream {
            true => self.silence,
            false => self.silence * 2u32.saturating_pow(self.resumes),
        }
    }

    /// Turns what happened into the exchange's event.
    fn take(
        &mut self,
        happening: Happening,
        sink: &mut AnswerSink,
        kept: &mut Option<AnswerPiece>,
    ) -> &'static [ExchangeAction] {
        let now = self.now();
        match happening {
            Happening::Opened(Ok(stream)) => {
                self.exchange.handle(ExchangeEvent::Opened, now);
                let AnswerStream { head, pieces } = stream;
                if let (Some(report), Some(upstream)) = (head.report, self.exchange.upstream()) {
                    self.pool.tell(PoolEvent::LoadReported { upstream, report });
                }
                let actions =
                    self.exchange.handle(ExchangeEvent::Head { echo: head.echo.as_deref() }, now);
                sink.set_head(head);
                self.pieces = Some(pieces);
                actions
            }
            Happening::Opened(Err(OpenFault::NotSent { detail })) => {
                info!(self.state.log, "upstream not reached"; "request" => &*self.call.id, "detail" => detail);
                if self.exchange.state() == RequestState::Connecting {
                    return self.exchange.handle(ExchangeEvent::NotSent, now);
                }
                if let Some(upstream) = self.exchange.upstream() {
                    self.pool
                        .tell(PoolEvent::Lifecycle { upstream, event: UpstreamEvent::Unreachable });
                }
                self.exchange.handle(ExchangeEvent::Cut, now)
            }
            Happening::Opened(Err(OpenFault::Lost { detail })) => {
                info!(self.state.log, "upstream gave no answer"; "request" => &*self.call.id, "detail" => detail);
                self.check_upstream();
                let was_resuming = self.exchange.state() == RequestState::Resuming;
                self.exchange.handle(ExchangeEvent::Opened, now);
                self.exchange.handle(
                    if was_resuming { ExchangeEvent::ResumeRefused } else { ExchangeEvent::Cut },
                    now,
                )
            }
            Happening::Read(PieceRead::Piece(piece)) => {
                let event =
                    ExchangeEvent::Piece { sequence: piece.sequence, echo: piece.echo.as_deref() };
                let actions = self.exchange.handle(event, now);
                *kept = Some(piece);
                actions
            }
            Happening::Read(PieceRead::Ended { prompt_tokens, end_mark }) => {
                self.prompt_tokens = prompt_tokens;
                self.end_mark = end_mark;
                self.exchange.handle(ExchangeEvent::Ended, now)
            }
            Happening::Read(PieceRead::Cut) => {
                self.check_upstream();
                self.exchange.handle(ExchangeEvent::Cut, now)
            }
            Happening::Silent => {
                // The request may have left this machine before the silence began.
                self.exchange.handle(ExchangeEvent::Opened, now);
                self.exchange.handle(ExchangeEvent::Silent, now)
            }
            Happening::Deadline => {
                self.exchange.handle(ExchangeEvent::Opened, now);
                self.exchange.handle(ExchangeEvent::Deadline, now)
            }
            Happening::CallerLeft => self.exchange.handle(ExchangeEvent::CallerLeft, now),
        }
    }

    /// The connection ended before the answer did: has the upstream looked at, which may have ended.
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
        self.teach(&piece);
        sink.relay(piece.bytes).await
    }

    /// Tells the scheduler what the pieces' times say of the engine.
    fn teach(&mut self, piece: &AnswerPiece) {
        let id = self.id;
        let now = self.now();
        if piece.sequence == 1 {
            self.first_piece = Some(now.since(self.arrived_at));
            self.gap_from = (1, now);
            if let (Some(after), true) =
                (self.exchange.time_to_first_piece(), self.call.wants_stream)
            {
                self.pool.tell(PoolEvent::FirstToken { id, after });
            }
            return;
        }
        let (from, at) = self.gap_from;
        let count = piece.sequence - from;
        if self.call.wants_stream && self.pool.driver.can_resume() && count >= GAP_STRETCH {
            self.gap_from = (piece.sequence, now);
            self.pool.tell(PoolEvent::TokenGap { id, gap: now.since(at) / count as u32 });
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

    /// Closes the connection and asks the upstream to stop, in the background: the caller's refusal
    /// and the place at the upstream must not wait for an upstream that does not answer.
    fn cancel(&mut self) {
        self.pieces = None;
        let Some((_, address)) = self.target.clone() else { return };
        let driver = Arc::clone(&self.pool.driver);
        let call = self.call.clone();
        tokio::spawn(async move { driver.cancel(&call, address).await });
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Opening {
    None,
    First,
    Again,
}

enum ConverseEnd {
    Requeue,
    Finish,
    Fail,
    CallerGone,
}
