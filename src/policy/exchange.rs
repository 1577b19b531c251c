//! Life cycle of one request, from waiting to its single final state, as a state chart.
//!
//! The chart (`charts/request.json`) defines the transitions; this module keeps the data that
//! selects its events: received pieces, resume attempts and echoed ids.

use super::{Moment, UpstreamIndex};
use crate::answer::AnswerKind;
use crate::chart::{ChartMachine, StateChart};
use crate::chart_names;
use std::sync::{Arc, LazyLock};
use std::time::Duration;

/// Maximum resume attempts for one request after breaks by its upstream before its stream counts as
/// lost; after the deadline, also the maximum number of silences without a piece.
const MAX_RESUME_ATTEMPTS: u32 = 3;

chart_names! {
    /// State of a request.
    RequestState {
        /// In the queue; nothing sent.
        Waiting,
        /// An upstream is chosen; its connection is being opened; nothing sent.
        Connecting,
        /// Sent; no answer yet.
        Sent,
        /// The answer is arriving.
        Streaming,
        /// The answer was broken off and is being resumed on a new connection, without a new
        /// dispatch.
        Resuming,
        /// Final: the whole answer was sent to the caller.
        Answered,
        /// Final: refused without being run.
        Refused,
        /// Final: dispatched, but without a whole answer.
        Failed,
        /// Final: the caller disconnected.
        Abandoned,
    }
}

chart_names! {
    /// Event of the request chart.
    RequestEvent {
        /// The scheduler chose an upstream.
        Placed,
        /// The scheduler refused the request.
        Refused,
        /// The connection failed before a byte was sent.
        NotSent,
        /// The request was sent.
        Opened,
        /// The answer's head arrived, without the id of another request.
        Head,
        /// The answer carries the id of another request.
        Crossed,
        /// A new piece of the answer arrived.
        Piece,
        /// The answer's end marker or declared length was reached.
        Ended,
        /// The connection ended before the answer did, and the upstream can resume.
        Cut,
        /// No byte arrived for too long, and the upstream can resume.
        Silent,
        /// The stream was resumed.
        Resumed,
        /// The connection ended before the answer did, while another one was already being opened.
        Switched,
        /// The answer ended early and cannot be resumed.
        Lost,
        /// The caller closed its connection.
        CallerLeft,
        /// The deadline passed.
        Deadline,
    }
}

chart_names! {
    /// Action for the traffic code to execute.
    ExchangeAction {
        /// Open a connection to the chosen upstream and send the request.
        Connect,
        /// Send the refusal to the caller.
        Refuse,
        /// Remove the request from the queue.
        Withdraw,
        /// Return the request to the scheduler; nothing was sent.
        Requeue,
        /// Forward the piece to the caller.
        Relay,
        /// Reopen the stream on a new connection, from the next piece.
        Resume,
        /// Reopen the stream on a second connection, from the next piece, and go on reading the
        /// first; the one that brings the next piece first is kept.
        Attach,
        /// Cancel the work at the upstream and close the connection.
        Cancel,
        /// Free the slot at the upstream.
        Release,
        /// Complete the caller's answer.
        Finish,
        /// Report the failure to the caller; a partial answer must never look complete.
        Fail,
    }
}

/// State chart of a request.
pub type RequestChart = StateChart<RequestState, RequestEvent, ExchangeAction>;

static CHART: LazyLock<RequestChart> = LazyLock::new(|| {
    StateChart::load(include_str!("../../charts/request.json"))
        .expect("charts/request.json is checked by a test")
});

/// The request chart, loaded on first use.
pub fn request_chart() -> &'static RequestChart {
    &CHART
}

/// Event observed by the traffic code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeEvent<'a> {
    /// The scheduler chose an upstream.
    Placed(UpstreamIndex),
    /// The scheduler refused the request.
    Refused(AnswerKind),
    /// The connection failed before a byte was sent.
    NotSent,
    /// The request was sent, or its stream was reopened.
    Opened,
    /// The head of an answer.
    Head {
        /// The request id that the upstream echoes, if any.
        echo: Option<&'a str>,
    },
    /// A piece of the answer.
    Piece {
        /// Sequence number, counted from 1.
        sequence: u64,
        /// The request id that the upstream echoes, if any.
        echo: Option<&'a str>,
    },
    /// The end marker or declared length was reached.
    Ended,
    /// The connection ended before the answer did.
    Cut,
    /// No byte arrived on any connection for longer than the silence limit.
    Silent,
    /// The connection ended before the answer did, while another one was already being opened.
    Switched,
    /// The upstream does not know the request, or refused to resume it.
    ResumeRefused,
    /// The caller closed its connection.
    CallerLeft,
    /// The deadline passed.
    Deadline,
}

/// The exchange of one request with its upstream.
#[derive(Debug)]
pub struct Exchange {
    machine: ChartMachine<RequestState, RequestEvent, ExchangeAction>,
    id: Arc<str>,
    is_resumable: bool,
    resume_attempts: u32,
    /// Silences since the last piece.
    silences: u32,
    deadline: Option<Moment>,
    pieces: u64,
    upstream: Option<UpstreamIndex>,
    failure: Option<AnswerKind>,
    sent_at: Option<Moment>,
    time_to_first_piece: Option<Duration>,
}

impl Exchange {
    /// Creates the exchange of a waiting request; an id echoed by the upstream must equal `id`.
    pub fn new(id: impl Into<Arc<str>>, is_resumable: bool) -> Self {
        Exchange {
            machine: request_chart().start(),
            id: id.into(),
            is_resumable,
            resume_attempts: 0,
            silences: 0,
            deadline: None,
            pieces: 0,
            upstream: None,
            failure: None,
            sent_at: None,
            time_to_first_piece: None,
        }
    }

    /// Sets the deadline, before which silence never ends the answer.
    pub fn with_deadline(mut self, deadline: Moment) -> Self {
        self.deadline = Some(deadline);
        self
    }

    /// Processes an event and returns the actions to execute, in order.
    pub fn handle(&mut self, event: ExchangeEvent<'_>, now: Moment) -> &'static [ExchangeAction] {
        let Some(event) = self.classify(event, now) else { return &[] };
        self.machine.step(event)
    }

    /// Maps an observed event to an event of the chart; `None` if it is to be ignored.
    fn classify(&mut self, event: ExchangeEvent<'_>, now: Moment) -> Option<RequestEvent> {
        let chart_event = match event {
            ExchangeEvent::Placed(upstream) => {
                self.upstream = Some(upstream);
                RequestEvent::Placed
            }
            ExchangeEvent::Refused(kind) => {
                // Once an upstream is chosen, the refusal is ignored and proves nothing.
                if self.state() == RequestState::Waiting {
                    self.failure = Some(kind);
                }
                RequestEvent::Refused
            }
            ExchangeEvent::NotSent => RequestEvent::NotSent,
            ExchangeEvent::Opened => {
                self.sent_at = self.sent_at.or(Some(now));
                RequestEvent::Opened
            }
            ExchangeEvent::Head { echo } => self.classify_head(echo),
            ExchangeEvent::Piece { sequence, echo } => {
                return self.classify_piece(sequence, echo, now);
            }
            ExchangeEvent::Ended => RequestEvent::Ended,
            ExchangeEvent::Cut if self.pieces == 0 => {
                self.resume_or_fail(RequestEvent::Cut, AnswerKind::UpstreamLost)
            }
            ExchangeEvent::Cut => {
                self.resume_or_fail(RequestEvent::Cut, AnswerKind::UpstreamTruncated)
            }
            ExchangeEvent::Silent => return self.classify_silence(now),
            ExchangeEvent::Switched => RequestEvent::Switched,
            ExchangeEvent::ResumeRefused => self.fail(RequestEvent::Lost, AnswerKind::UpstreamLost),
            ExchangeEvent::CallerLeft => RequestEvent::CallerLeft,
            ExchangeEvent::Deadline => {
                self.fail(RequestEvent::Deadline, AnswerKind::DeadlineRunning)
            }
        };
        Some(chart_event)
    }

    fn classify_head(&mut self, echo: Option<&str>) -> RequestEvent {
        match echo {
            Some(echo) if echo != &*self.id => {
                self.fail(RequestEvent::Crossed, AnswerKind::UpstreamCrossed)
            }
            _ if self.machine.state() == RequestState::Resuming => RequestEvent::Resumed,
            _ => RequestEvent::Head,
        }
    }

    /// Drops duplicate pieces, since a resumed stream may begin earlier than requested. A gap in
    /// the sequence numbers means that pieces are missing; the stream is resumed after the last
    /// contiguous one.
    fn classify_piece(
        &mut self,
        sequence: u64,
        echo: Option<&str>,
        now: Moment,
    ) -> Option<RequestEvent> {
        if echo.is_some_and(|echo| echo != &*self.id) {
            return Some(self.fail(RequestEvent::Crossed, AnswerKind::UpstreamCrossed));
        }
        if sequence <= self.pieces {
            return None;
        }
        if sequence > self.pieces + 1 {
            return Some(self.resume_or_fail(RequestEvent::Cut, AnswerKind::UpstreamTruncated));
        }
        self.pieces = sequence;
        self.silences = 0;
        if self.time_to_first_piece.is_none() {
            self.time_to_first_piece = self.sent_at.map(|sent| now.since(sent));
        }
        Some(RequestEvent::Piece)
    }

    /// A silence opens a second connection and proves nothing about the first. Only after the
    /// deadline, which an answer that has begun may pass, does a series of them end the answer.
    fn classify_silence(&mut self, now: Moment) -> Option<RequestEvent> {
        self.silences = self.silences.saturating_add(1);
        let is_late = self.deadline.is_some_and(|deadline| now >= deadline);
        match self.is_resumable {
            _ if is_late && self.silences > MAX_RESUME_ATTEMPTS => {
                Some(self.fail(RequestEvent::Lost, AnswerKind::UpstreamSilent))
            }
            true => Some(RequestEvent::Silent),
            false => None,
        }
    }

    /// Selects the event for a stream that ended early: `event` if it can be resumed and attempts
    /// are left, otherwise lost.
    fn resume_or_fail(&mut self, event: RequestEvent, kind: AnswerKind) -> RequestEvent {
        if !self.is_resumable || self.resume_attempts >= MAX_RESUME_ATTEMPTS {
            return self.fail(RequestEvent::Lost, kind);
        }
        self.resume_attempts += 1;
        event
    }

    fn fail(&mut self, event: RequestEvent, kind: AnswerKind) -> RequestEvent {
        if !self.machine.is_final() {
            self.failure = Some(kind);
        }
        event
    }

    /// Current state of the request.
    pub fn state(&self) -> RequestState {
        self.machine.state()
    }

    /// True once the request is in a final state.
    pub fn is_final(&self) -> bool {
        self.machine.is_final()
    }

    /// The reason why there is no whole answer.
    pub fn failure(&self) -> AnswerKind {
        self.failure.unwrap_or(AnswerKind::UpstreamLost)
    }

    /// Number of silences since the last piece.
    pub fn silences(&self) -> u32 {
        self.silences
    }

    /// Number of pieces forwarded so far; a resume starts after them.
    pub fn pieces(&self) -> u64 {
        self.pieces
    }

    pub fn upstream(&self) -> Option<UpstreamIndex> {
        self.upstream
    }

    /// Time from sending the request to the first piece.
    pub fn time_to_first_piece(&self) -> Option<Duration> {
        self.time_to_first_piece
    }
}
