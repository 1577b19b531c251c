//! How a stream ends that has begun and is not whole: who ended it, and why.

use super::retry::RetryObstacle;
use crate::answer::AnswerKind;
use std::time::Duration;

/// Who ended an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndedBy {
    /// Its upstream, which broke it off.
    Upstream,
    /// The deadline of the request.
    Deadline,
    /// This daemon, although the upstream had not broken it off.
    Daemon,
}

impl EndedBy {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            EndedBy::Upstream => "upstream",
            EndedBy::Deadline => "deadline",
            EndedBy::Daemon => "daemon",
        }
    }
}

/// What interrupted a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamBreak {
    /// The upstream broke it off.
    BrokenOff,
    /// The upstream has sent no event for this time.
    Silent(Duration),
}

impl StreamBreak {
    /// Who ended the part of the stream before it. A silent upstream is left by this daemon.
    pub fn ended_by(self) -> EndedBy {
        match self {
            StreamBreak::BrokenOff => EndedBy::Upstream,
            StreamBreak::Silent(_) => EndedBy::Daemon,
        }
    }
}

/// Why a stream is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutCause {
    /// Its deadline has passed.
    Deadline,
    /// Its last event can't be named to another upstream: an event had no number, or its number was not
    /// above the one before.
    UnnumberedEvent,
    /// It may not be sent to another upstream.
    NoRetry(RetryObstacle),
    /// No upstream takes it.
    NoPlace(AnswerKind),
    /// No upstream had a place soon.
    NoPlaceInTime,
    /// No peer goes on with it.
    NoPeer,
    /// What its caller had not read was dropped.
    Dropped,
}

impl CutCause {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CutCause::Deadline => "deadline",
            CutCause::UnnumberedEvent => "unnumbered-event",
            CutCause::NoRetry(obstacle) => obstacle.name(),
            CutCause::NoPlace(kind) => kind.row().name,
            CutCause::NoPlaceInTime => "no-place",
            CutCause::NoPeer => "no-peer",
            CutCause::Dropped => "no-memory",
        }
    }

    /// Who ended a stream that was interrupted like this.
    pub fn ended_by(self, interruption: Option<StreamBreak>) -> EndedBy {
        match (self, interruption) {
            (CutCause::Deadline | CutCause::NoRetry(RetryObstacle::Deadline), _) => {
                EndedBy::Deadline
            }
            (_, Some(interruption)) => interruption.ended_by(),
            (_, None) => EndedBy::Daemon,
        }
    }
}
