//! Checks whether an answer is whole whose upstream did not mark its end.
//!
//! An answer with neither a length nor chunks ends with its connection, and a connection also ends if
//! the upstream does.

use super::request::RoutedRequest;
use crate::report::record_end_check;
use crate::traffic::crash_check::{BrokenUpstream, probe_repeatedly};
use crate::traffic::probe::ProbeOutcome;
use crate::traffic::state::TrafficState;
use crate::upstream::AnswerFraming;
use slog::info;

/// What the end of an answer is judged by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndEvidence {
    /// The upstream marked the end.
    Stated,
    /// The end is within an event or a document.
    WithinContent,
    /// The end is that of a document.
    WholeDocument,
    /// No upstream of this daemon can be asked.
    Unchecked,
    /// The upstream replied to a probe afterwards.
    Replied,
    /// The upstream accepted a probe's connection and did not reply.
    Silent,
    /// The upstream refused a probe's connection.
    Refused,
    /// The upstream closed the connections of probes without a reply.
    Closed,
    /// Another incarnation replied to a probe.
    Replaced,
}

impl EndEvidence {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            EndEvidence::Stated => "stated",
            EndEvidence::WithinContent => "within-content",
            EndEvidence::WholeDocument => "whole-document",
            EndEvidence::Unchecked => "unchecked",
            EndEvidence::Replied => "replied",
            EndEvidence::Silent => "silent",
            EndEvidence::Refused => "refused",
            EndEvidence::Closed => "closed",
            EndEvidence::Replaced => "replaced",
        }
    }

    /// Why the answer is incomplete; `None` if it counts as whole.
    pub fn fault(self) -> Option<&'static str> {
        match self {
            EndEvidence::WithinContent => Some("the answer ended within an event or a document"),
            EndEvidence::Refused | EndEvidence::Closed | EndEvidence::Replaced => {
                Some("the upstream ended with its answer")
            }
            EndEvidence::Stated
            | EndEvidence::WholeDocument
            | EndEvidence::Unchecked
            | EndEvidence::Replied
            | EndEvidence::Silent => None,
        }
    }
}

impl From<ProbeOutcome> for EndEvidence {
    fn from(outcome: ProbeOutcome) -> Self {
        match outcome {
            ProbeOutcome::Answered { .. } | ProbeOutcome::Leaving => EndEvidence::Replied,
            ProbeOutcome::Silent => EndEvidence::Silent,
            ProbeOutcome::Refused => EndEvidence::Refused,
            ProbeOutcome::Closed => EndEvidence::Closed,
            ProbeOutcome::OtherIncarnation => EndEvidence::Replaced,
        }
    }
}

/// What becomes of an answer that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndDecision {
    /// It counts as whole.
    Whole,
    /// A stream that goes on elsewhere.
    Resumed,
    /// A stream that is cut.
    Cut,
    /// A plain answer that its caller doesn't get.
    Discarded,
}

impl EndDecision {
    fn name(self) -> &'static str {
        match self {
            EndDecision::Whole => "whole",
            EndDecision::Resumed => "resumed",
            EndDecision::Cut => "cut",
            EndDecision::Discarded => "discarded",
        }
    }
}

/// Whether the upstream has ended, as it shows right after its answer has.
pub async fn check_upstream_end(state: &TrafficState, upstream: &BrokenUpstream) -> EndEvidence {
    probe_repeatedly(state, upstream).await.into()
}

/// An end that was checked.
#[derive(Clone, Debug)]
pub struct CheckedEnd {
    /// Name of the upstream, or address of the peer.
    pub upstream: String,
    pub framing: AnswerFraming,
    pub evidence: EndEvidence,
}

impl CheckedEnd {
    /// Logs and counts the end, unless its upstream marked it.
    pub fn report(&self, request: &RoutedRequest, decision: EndDecision) {
        if self.evidence == EndEvidence::Stated {
            return;
        }
        let (evidence, decision) = (self.evidence.name(), decision.name());
        record_end_check(self.framing, evidence, decision);
        info!(request.state.log, "answer's end checked"; "request" => request.id(), "upstream" => &self.upstream,
            "framing" => self.framing.name(), "evidence" => evidence, "decision" => decision);
    }
}
