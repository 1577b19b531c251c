//! The connections on which the answer to one request is awaited and read: the one in use and,
//! while that one is silent, a second one on which the answer is being resumed.

use crate::upstream::{AnswerStream, OpenError, PieceRead, PieceSource};
use futures_util::future::BoxFuture;

/// A connection on which an answer is awaited or read.
pub enum AnswerLine {
    /// The head of the answer is awaited.
    Opening(BoxFuture<'static, Result<AnswerStream, OpenError>>),
    /// The answer is being read.
    Reading(Box<dyn PieceSource>),
}

impl AnswerLine {
    async fn next(&mut self) -> LineEvent {
        match self {
            AnswerLine::Opening(opened) => LineEvent::Opened(opened.await),
            AnswerLine::Reading(pieces) => LineEvent::Read(pieces.next().await),
        }
    }
}

/// What a connection brought.
pub enum LineEvent {
    /// The head of the answer, or the reason why there is none.
    Opened(Result<AnswerStream, OpenError>),
    /// A part of the body.
    Read(PieceRead),
}

impl LineEvent {
    /// True if the connection brings nothing further before it is set again.
    fn is_last(&self) -> bool {
        !matches!(self, LineEvent::Read(PieceRead::Piece(_)))
    }
}

/// Which of the connections brought an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineRole {
    /// The one in use.
    Main,
    /// The one on which the answer is being resumed beside it.
    Spare,
}

/// The connections of one request.
#[derive(Default)]
pub struct AnswerLines {
    pub main: Option<AnswerLine>,
    pub spare: Option<AnswerLine>,
}

impl AnswerLines {
    /// Waits for the next event. A connection that has brought its head or its last part must be
    /// set again to be read on. Cancel-safe.
    pub async fn next(&mut self) -> (LineRole, LineEvent) {
        let AnswerLines { main, spare } = self;
        let (role, event) = tokio::select! {
            biased;
            event = next_of(main) => (LineRole::Main, event),
            event = next_of(spare) => (LineRole::Spare, event),
        };
        if event.is_last() {
            *self.line_mut(role) = None;
        }
        (role, event)
    }

    fn line_mut(&mut self, role: LineRole) -> &mut Option<AnswerLine> {
        match role {
            LineRole::Main => &mut self.main,
            LineRole::Spare => &mut self.spare,
        }
    }

    /// Reads the answer that begins on a connection.
    pub fn read(&mut self, role: LineRole, pieces: Box<dyn PieceSource>) {
        *self.line_mut(role) = Some(AnswerLine::Reading(pieces));
    }

    /// Uses the second connection in place of the first.
    pub fn use_spare(&mut self) {
        self.main = self.spare.take();
    }

    /// Closes all connections.
    pub fn close(&mut self) {
        *self = AnswerLines::default();
    }
}

async fn next_of(line: &mut Option<AnswerLine>) -> LineEvent {
    match line {
        Some(line) => line.next().await,
        None => std::future::pending().await,
    }
}
