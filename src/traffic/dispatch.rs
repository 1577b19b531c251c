//! Executes the exchange of one admitted request: performs the actions that the request chart
//! orders and reports events back to it.

use super::answer_lines::{AnswerLine, AnswerLines, LineEvent, LineRole};
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
use crate::quarantine::SuspectKeys;
use crate::report::record_cut_answer;
use crate::table::UpstreamName;
use crate::upstream::{AnswerHead, AnswerPiece, AnswerStream, OpenError, PieceRead, UpstreamCall};
use bytes::Bytes;
use slog::{debug, info};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Minimum number of pieces over which a mean token gap is reported to the scheduler.
const MIN_TOKEN_GAP_PIECES: u64 = 16;

/// Maximum factor by which silences without a piece stretch the silence limit.
const MAX_SILENCE_FACTOR: u32 = 8;
/// Silence limit of upstreams that cannot resume, which are limited by the deadline.
const UNRESUMABLE_SILENCE: Duration = Duration::from_secs(3_600);

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
    /// What the request can be blamed under for a crash.
    pub keys: SuspectKeys,
    /// True if the answer must be kept for retries.
    pub is_recorded: bool,
}

/// Event observed while waiting for an answer.
enum ObservedEvent {
    Answer(LineRole, LineEvent),
    Silent,
    Deadline,
    CallerLeft,
}

/// State of a running exchange.
struct ExchangeRun<'a> {
    state: &'a Arc<TrafficState>,
    pool: &'a Arc<PoolRuntime>,
    call: Arc<UpstreamCall>,
    id: RequestId,
    deadline: Moment,
    silence: Duration,
    keys: SuspectKeys,
    exchange: Exchange,
    target: Option<(UpstreamName, SocketAddr)>,
    lines: AnswerLines,
    /// Head of the answer on the second connection.
    spare_head: Option<Box<AnswerHead>>,
    /// When the upstream last sent a part of the answer, or the request was placed.
    last_read: Moment,
    tokens: u32,
    prompt_tokens: Option<u32>,
    end_mark: Bytes,
    gap_start: (u64, Moment),
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
    let ExchangeCall { call, arrived, silence, keys, is_recorded } = *exchange_call;
    let mut sink = sink;
    if is_recorded {
        sink.start_record();
    }
    let mut run = ExchangeRun {
        state,
        pool,
        exchange: Exchange::new(Arc::clone(&call.id), pool.driver.can_resume())
            .with_deadline(arrived.deadline),
        call: Arc::from(call),
        id: arrived.id,
        deadline: arrived.deadline,
        silence,
        keys,
        target: None,
        lines: AnswerLines::default(),
        spare_head: None,
        last_read: Moment(0),
        tokens: 0,
        prompt_tokens: None,
        end_mark: Bytes::new(),
        gap_start: (0, Moment(0)),
        arrived_at: state.clock.now(),
        first_piece: None,
        recorded: None,
        may_have_run: false,
        is_success: false,
    };
    let (guard, decision) = pool.submit(arrived);
    run.execute(guard, decision, sink).await;
    if run.exchange.state() == RequestState::Answered && run.is_success {
        state.quarantine.note_answer(&run.keys, state.clock.now());
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
                    self.lines.close();
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
                    if sink.has_begun() {
                        self.log_cut(kind);
                    }
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

    /// Releases the slot and refuses the request if it is quarantined.
    fn check_quarantine(&self, decision: PoolDecision, guard: &mut RequestGuard) -> PoolDecision {
        let PoolDecision::Send { .. } = &decision else { return decision };
        match self.state.quarantine.check(self.state, &self.call.id, &self.keys) {
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
        self.last_read = self.now();
        self.lines.main = Some(self.open_line(OpenMode::Initial));
        loop {
            let observed = self.next_event(sink).await;
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
                        self.lines.main = Some(self.open_line(OpenMode::Resume));
                        debug!(self.state.log, "stream interrupted, resuming"; "request" => &*self.call.id, "pieces" => self.exchange.pieces());
                    }
                    ExchangeAction::Attach => {
                        self.lines.spare = Some(self.open_line(OpenMode::Resume));
                        self.spare_head = None;
                        info!(self.state.log, "upstream silent, resuming beside it"; "request" => &*self.call.id,
                            "pieces" => self.exchange.pieces(), "silent_ms" => self.silent_ms());
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

    /// Opens a connection to the upstream of the request.
    fn open_line(&self, mode: OpenMode) -> AnswerLine {
        let Some((_, address)) = self.target else {
            return AnswerLine::Opening(Box::pin(std::future::pending()));
        };
        let (driver, call) = (Arc::clone(&self.pool.driver), Arc::clone(&self.call));
        let after = self.exchange.pieces();
        let is_replaced =
            self.exchange.upstream().is_some_and(|upstream| self.pool.is_replaced(upstream));
        AnswerLine::Opening(Box::pin(async move {
            match mode {
                OpenMode::Initial => driver.open(&call, address).await,
                // Its successor knows nothing of the stream, and may be of another version.
                OpenMode::Resume if is_replaced => {
                    let detail = "another upstream has taken the address".to_owned();
                    Err(OpenError::Lost { detail })
                }
                OpenMode::Resume => driver.resume(&call, address, after).await,
            }
        }))
    }

    async fn next_event(&mut self, sink: &mut AnswerSink) -> ObservedEvent {
        let now = self.now();
        let has_begun = sink.has_begun();
        let deadline = self.deadline.since(now);
        let silence = self.silence_limit();
        let silent = async {
            tokio::time::sleep(silence).await;
            // After a stall of this process, bytes that have come are read first.
            tokio::task::yield_now().await;
        };
        tokio::select! {
            biased;
            (role, event) = self.lines.next() => ObservedEvent::Answer(role, event),
            () = sink.closed() => ObservedEvent::CallerLeft,
            () = silent => ObservedEvent::Silent,
            // No deadline once the caller receives the answer: aborting would waste the work done.
            () = tokio::time::sleep(deadline), if !has_begun => ObservedEvent::Deadline,
        }
    }

    /// Time without a byte after which the answer is resumed on a second connection; it doubles with
    /// each silence, up to a factor. Plain services, and engines whose answer is not a stream, send
    /// nothing while they work.
    fn silence_limit(&self) -> Duration {
        if !self.pool.driver.can_resume() {
            return UNRESUMABLE_SILENCE;
        }
        self.silence * 2u32.saturating_pow(self.exchange.silences()).min(MAX_SILENCE_FACTOR)
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
            ObservedEvent::Answer(LineRole::Main, LineEvent::Opened(opened)) => {
                self.handle_opened(opened, sink)
            }
            ObservedEvent::Answer(LineRole::Main, LineEvent::Read(read)) => {
                self.handle_read(read, sink, received_piece)
            }
            ObservedEvent::Answer(LineRole::Spare, LineEvent::Opened(opened)) => {
                self.handle_spare_opened(opened);
                &[]
            }
            ObservedEvent::Answer(LineRole::Spare, LineEvent::Read(read)) => {
                if !self.adopt_spare(&read, sink) {
                    return &[];
                }
                self.handle_read(read, sink, received_piece)
            }
            ObservedEvent::Silent => self.exchange.handle(ExchangeEvent::Silent, now),
            ObservedEvent::Deadline => {
                self.exchange.handle(ExchangeEvent::Opened, now);
                self.exchange.handle(ExchangeEvent::Deadline, now)
            }
            ObservedEvent::CallerLeft => self.exchange.handle(ExchangeEvent::CallerLeft, now),
        }
    }

    fn handle_opened(
        &mut self,
        opened: Result<AnswerStream, OpenError>,
        sink: &mut AnswerSink,
    ) -> &'static [ExchangeAction] {
        let now = self.now();
        match opened {
            Ok(AnswerStream { head, pieces }) => {
                self.lines.read(LineRole::Main, pieces);
                self.handle_head(head, sink)
            }
            Err(OpenError::NotSent { detail }) => {
                info!(self.state.log, "upstream not reached"; "request" => &*self.call.id, "detail" => detail);
                if self.exchange.state() == RequestState::Connecting {
                    return self.exchange.handle(ExchangeEvent::NotSent, now);
                }
                self.report_unreachable();
                self.handle_break(ExchangeEvent::Cut, sink)
            }
            Err(OpenError::Lost { detail }) => {
                info!(self.state.log, "upstream gave no answer"; "request" => &*self.call.id, "detail" => detail);
                self.check_upstream();
                let was_resuming = self.exchange.state() == RequestState::Resuming;
                self.exchange.handle(ExchangeEvent::Opened, now);
                let event =
                    if was_resuming { ExchangeEvent::ResumeRefused } else { ExchangeEvent::Cut };
                self.handle_break(event, sink)
            }
        }
    }

    fn handle_head(
        &mut self,
        head: AnswerHead,
        sink: &mut AnswerSink,
    ) -> &'static [ExchangeAction] {
        let now = self.now();
        self.last_read = now;
        self.exchange.handle(ExchangeEvent::Opened, now);
        self.is_success = head.status.is_success();
        if let (Some(report), Some(upstream)) = (head.report, self.exchange.upstream()) {
            self.pool.handle_event(PoolEvent::LoadReported { upstream, report });
        }
        let actions = self.exchange.handle(ExchangeEvent::Head { echo: head.echo.as_deref() }, now);
        sink.set_head(head);
        actions
    }

    fn handle_read(
        &mut self,
        read: PieceRead,
        sink: &mut AnswerSink,
        received_piece: &mut Option<AnswerPiece>,
    ) -> &'static [ExchangeAction] {
        let now = self.now();
        match read {
            PieceRead::Piece(piece) => {
                self.last_read = now;
                let event =
                    ExchangeEvent::Piece { sequence: piece.sequence, echo: piece.echo.as_deref() };
                let actions = self.exchange.handle(event, now);
                *received_piece = Some(piece);
                actions
            }
            PieceRead::Ended { prompt_tokens, end_mark } => {
                self.prompt_tokens = prompt_tokens;
                self.end_mark = end_mark;
                self.exchange.handle(ExchangeEvent::Ended, now)
            }
            PieceRead::Cut => {
                self.check_upstream();
                self.handle_break(ExchangeEvent::Cut, sink)
            }
        }
    }

    /// Handles the loss of the connection in use: `event`, or a switch to the second connection if
    /// there is one.
    fn handle_break(
        &mut self,
        event: ExchangeEvent<'_>,
        sink: &mut AnswerSink,
    ) -> &'static [ExchangeAction] {
        let now = self.now();
        if self.lines.spare.is_none() {
            return self.exchange.handle(event, now);
        }
        self.exchange.handle(ExchangeEvent::Switched, now);
        self.switch_to_spare(sink);
        &[]
    }

    /// Goes on with the second connection and closes the first.
    fn switch_to_spare(&mut self, sink: &mut AnswerSink) {
        self.lines.use_spare();
        if let Some(head) = self.spare_head.take() {
            self.handle_head(*head, sink);
        }
    }

    /// Reads on if the second connection resumes the answer. If it doesn't, only that connection is
    /// closed.
    fn handle_spare_opened(&mut self, opened: Result<AnswerStream, OpenError>) {
        let detail = match opened {
            Ok(AnswerStream { head, pieces }) if self.is_own(head.echo.as_deref()) => {
                self.spare_head = Some(Box::new(head));
                return self.lines.read(LineRole::Spare, pieces);
            }
            Ok(_) => "it names another request".to_owned(),
            Err(error) => {
                if matches!(error, OpenError::NotSent { .. }) {
                    self.report_unreachable();
                }
                error.to_string()
            }
        };
        info!(self.state.log, "not resumed beside a silent answer"; "request" => &*self.call.id, "detail" => detail);
    }

    /// Goes on with the second connection if it has brought the next part of the answer, and closes
    /// it if it can't. Returns whether it is the one in use now.
    fn adopt_spare(&mut self, read: &PieceRead, sink: &mut AnswerSink) -> bool {
        let next = self.exchange.pieces() + 1;
        let is_next = match read {
            PieceRead::Piece(piece) => {
                let is_usable = self.is_own(piece.echo.as_deref()) && piece.sequence <= next;
                if !is_usable {
                    self.lines.spare = None;
                }
                is_usable && piece.sequence == next
            }
            PieceRead::Ended { .. } => true,
            PieceRead::Cut => false,
        };
        if is_next {
            self.switch_to_spare(sink);
        }
        is_next
    }

    /// False if an answer names another request.
    fn is_own(&self, echo: Option<&str>) -> bool {
        echo.is_none_or(|echo| echo == &*self.call.id)
    }

    fn report_unreachable(&self) {
        if let Some(upstream) = self.exchange.upstream() {
            let event = UpstreamEvent::Unreachable;
            self.pool.handle_event(PoolEvent::Lifecycle { upstream, event });
        }
    }

    /// Time since the upstream last sent a part of the answer, in milliseconds.
    fn silent_ms(&self) -> u64 {
        self.now().since(self.last_read).as_millis() as u64
    }

    /// Logs and counts an answer that had begun and gets no end.
    fn log_cut(&self, kind: AnswerKind) {
        let ended_by = if kind == AnswerKind::UpstreamSilent { "daemon" } else { "upstream" };
        let cause = kind.row().name;
        record_cut_answer(ended_by, cause);
        let upstream = self.target.as_ref().map_or("", |(name, _)| name.as_str());
        let after = self.now().since(self.arrived_at);
        info!(self.state.log, "stream cut"; "request" => &*self.call.id, "upstream" => upstream,
            "service" => self.pool.service.as_str(), "events" => self.exchange.pieces(),
            "after_ms" => after.as_millis() as u64, "ended_by" => ended_by, "cause" => cause,
            "silent_ms" => self.silent_ms());
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
        let keys = self.keys.clone();
        let written_for = self.first_piece.map(|first| self.now().since(self.arrived_at + first));
        check_upstream(self.state, upstream, BrokenRequest { id, keys, written_for });
    }

    /// Forwards the next piece. The connection that brought it is the only one that is kept.
    async fn relay(&mut self, piece: AnswerPiece, sink: &mut AnswerSink) -> Result<(), CallerGone> {
        self.lines.spare = None;
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
        self.lines.close();
        let Some((_, address)) = self.target.clone() else { return };
        let driver = Arc::clone(&self.pool.driver);
        let call = Arc::clone(&self.call);
        tokio::spawn(async move { driver.cancel(&call, address).await });
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum OpenMode {
    Initial,
    Resume,
}

enum DispatchEnd {
    Requeue,
    Finish,
    Fail,
    CallerGone,
}
