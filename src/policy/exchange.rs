//! One request's life from waiting to its single end, as a state chart.
//!
//! The chart (`charts/request.json`) gives the order of states; this module adds the counts that
//! decide between its events: pieces seen, resume attempts, echoed ids.

use super::{Moment, UpstreamIndex};
use crate::answer::AnswerKind;
use crate::chart::{ChartMachine, StateChart};
use crate::chart_names;
use std::sync::{Arc, LazyLock};
use std::time::Duration;

/// Resume attempts for one request before its stream counts as lost.
const RESUME_ATTEMPTS: u32 = 3;

chart_names! {
    /// Where a request is.
    RequestState {
        /// In the queue; nothing sent.
        Waiting,
        /// An upstream is chosen; its connection is being opened; nothing sent.
        Connecting,
        /// Sent; no answer yet.
        Sent,
        /// The answer is arriving.
        Streaming,
        /// The answer stopped; being picked up again on a new connection, without a new dispatch.
        Resuming,
        /// Ended: the caller has the whole answer.
        Answered,
        /// Ended: refused, not run.
        Refused,
        /// Ended: dispatched, but no whole answer.
        Failed,
        /// Ended: the caller left.
        Abandoned,
    }
}

chart_names! {
    /// What happens to a request, as the chart names it.
    RequestEvent {
        /// The scheduler chose an upstream.
        Placed,
        /// The scheduler refused.
        Refused,
        /// The connection failed before a byte was sent.
        NotSent,
        /// The request was sent.
        Opened,
        /// The answer's head came and echoes the request's id.
        Head,
        /// An id of another request came back.
        Crossed,
        /// A new piece of the answer came.
        Piece,
        /// The answer's end mark or declared length was reached.
        Ended,
        /// The connection ended before the answer did, and the upstream can resume.
        Cut,
        /// No byte for too long, and the upstream can resume.
        Silent,
        /// The stream is attached again.
        Resumed,
        /// The answer ended early, and cannot be resumed.
        Lost,
        /// The caller closed its side.
        CallerLeft,
        /// The deadline passed.
        Deadline,
    }
}

chart_names! {
    /// What the traffic code must do.
    ExchangeAction {
        /// Open a connection to the chosen upstream and send.
        Connect,
        /// Send the refusal.
        Refuse,
        /// Take the request out of the queue.
        Withdraw,
        /// Give the request back to the scheduler; nothing was sent.
        Requeue,
        /// Pass the piece to the caller.
        Relay,
        /// Open the stream again on a new connection, from the next piece.
        Resume,
        /// Tell the upstream to stop, and close the connection.
        Cancel,
        /// Give back the place at the upstream.
        Release,
        /// End the caller's answer well.
        Finish,
        /// Tell the caller that there is no whole answer; never as if complete.
        Fail,
    }
}

/// The chart of a request.
pub type RequestChart = StateChart<RequestState, RequestEvent, ExchangeAction>;

static CHART: LazyLock<RequestChart> = LazyLock::new(|| {
    StateChart::load(include_str!("../../charts/request.json"))
        .expect("charts/request.json is checked by a test")
});

/// The request chart, loaded once.
pub fn request_chart() -> &'static RequestChart {
    &CHART
}

/// What the traffic code saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeEvent<'a> {
    /// The scheduler chose an upstream.
    Placed(UpstreamIndex),
    /// The scheduler refused.
    Refused(AnswerKind),
    /// The connection failed before a byte was sent.
    NotSent,
    /// The request was sent, or its stream opened again.
    Opened,
    /// An answer's head; `echo` is the request id it carries, if any.
    Head {
        /// The echoed id.
        echo: Option<&'a str>,
    },
    /// A piece with its number, counted from 1, and the id it carries, if any.
    Piece {
        /// Its number.
        sequence: u64,
        /// The echoed id.
        echo: Option<&'a str>,
    },
    /// The end mark or declared length.
    Ended,
    /// The connection ended early.
    Cut,
    /// No byte for longer than the silence limit.
    Silent,
    /// The upstream does not know the request, or would not resume.
    ResumeRefused,
    /// The caller closed its side.
    CallerLeft,
    /// The deadline passed.
    Deadline,
}

/// One request's exchange.
#[derive(Debug)]
pub struct Exchange {
    machine: ChartMachine<RequestState, RequestEvent, ExchangeAction>,
    id: Arc<str>,
    can_resume: bool,
    resumes: u32,
    pieces: u64,
    upstream: Option<UpstreamIndex>,
    failure: Option<AnswerKind>,
    sent_at: Option<Moment>,
    first_piece: Option<Duration>,
}

impl Exchange {
    /// The exchange of a request that is waiting; `id` is what the upstream must echo.
    pub fn new(id: impl Into<Arc<str>>, can_resume: bool) -> Self {
        Exchange {
            machine: request_chart().start(),
            id: id.into(),
            can_resume,
            resumes: 0,
            pieces: 0,
            upstream: None,
            failure: None,
            sent_at: None,
            first_piece: None,
        }
    }

    /// Takes an event; returns what to do, in order.
    pub fn on(&mut self, event: ExchangeEvent<'_>, now: Moment) -> &'static [ExchangeAction] {
        let Some(event) = self.classify(event, now) else { return &[] };
        self.machine.step(event)
    }

    /// Turns what was seen into the chart's event, by counts and ids.
    fn classify(&mut self, event: ExchangeEvent<'_>, now: Moment) -> Option<RequestEvent> {
        let chart_event = match event {
            ExchangeEvent::Placed(upstream) => {
                self.upstream = Some(upstream);
                RequestEvent::Placed
            }
            ExchangeEvent::Refused(kind) => {
                self.failure = Some(kind);
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
                self.interrupted(RequestEvent::Cut, AnswerKind::UpstreamLost)
            }
            ExchangeEvent::Cut => {
                self.interrupted(RequestEvent::Cut, AnswerKind::UpstreamTruncated)
            }
            ExchangeEvent::Silent => {
                self.interrupted(RequestEvent::Silent, AnswerKind::UpstreamSilent)
            }
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

    /// A piece that came before is dropped: a resumed stream may begin earlier than asked. A gap in
    /// the numbers means that pieces are missing; the stream is opened again from the last good one.
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
            return Some(self.interrupted(RequestEvent::Cut, AnswerKind::UpstreamTruncated));
        }
        self.pieces = sequence;
        if self.first_piece.is_none() {
            self.first_piece = self.sent_at.map(|sent| now.since(sent));
        }
        Some(RequestEvent::Piece)
    }

    /// The stream stopped early: resume if the upstream can and attempts are left, else lost.
    fn interrupted(&mut self, event: RequestEvent, kind: AnswerKind) -> RequestEvent {
        if !self.can_resume || self.resumes >= RESUME_ATTEMPTS {
            return self.fail(RequestEvent::Lost, kind);
        }
        self.resumes += 1;
        event
    }

    fn fail(&mut self, event: RequestEvent, kind: AnswerKind) -> RequestEvent {
        if !self.machine.is_final() {
            self.failure = Some(kind);
        }
        event
    }

    /// Where the request is.
    pub fn state(&self) -> RequestState {
        self.machine.state()
    }

    /// True once the request has ended, one way or another.
    pub fn is_final(&self) -> bool {
        self.machine.is_final()
    }

    /// Why there is no whole answer.
    pub fn failure(&self) -> AnswerKind {
        self.failure.unwrap_or(AnswerKind::UpstreamLost)
    }

    /// Pieces passed on so far; a resume asks for what follows.
    pub fn pieces(&self) -> u64 {
        self.pieces
    }

    /// The chosen upstream.
    pub fn upstream(&self) -> Option<UpstreamIndex> {
        self.upstream
    }

    /// Time from sending to the first piece.
    pub fn first_piece(&self) -> Option<Duration> {
        self.first_piece
    }
}
