//! Checks whether an answer is whole whose upstream did not mark its end.
//!
//! An answer with neither a length nor chunks ends with its connection, and a connection also ends if
//! the upstream does. Such an answer is whole only if something shows that the upstream lives on. Silence
//! shows nothing: a busy upstream keeps a health check waiting, and the socket of an upstream that has
//! ended may still accept connections, until another process serves it.

use super::request::RoutedRequest;
use crate::report::record_end_check;
use crate::traffic::crash_check::{BrokenUpstream, probe_repeatedly};
use crate::traffic::probe::{PROBE_TIMEOUT, ProbeOutcome};
use crate::traffic::state::TrafficState;
use crate::upstream::AnswerFraming;
use http::header::HOST;
use http_body_util::Full;
use slog::info;
use std::time::{Duration, Instant};

/// Time after the end of an answer within which the other connections of an upstream that has ended are
/// closed, too. A lost segment is sent again after 200 ms at the earliest.
const CLOSING_TIME: Duration = Duration::from_millis(500);

/// What the end of an answer is judged by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndEvidence {
    /// The upstream marked the end.
    Stated,
    /// The end is within an event or a document.
    WithinContent,
    /// The end is that of a document.
    WholeDocument,
    /// A peer, which marks the end of all its answers, did not mark this one.
    UnmarkedByPeer,
    /// The upstream replied to a probe afterwards.
    Replied,
    /// The upstream sent its report afterwards, while a probe waited.
    Reported,
    /// The upstream kept another connection open, while a probe waited.
    ConnectionKept,
    /// Something else may have replied to a probe, such as a gateway before the upstream.
    GatewayReplied,
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
            EndEvidence::UnmarkedByPeer => "unmarked-by-peer",
            EndEvidence::Replied => "replied",
            EndEvidence::Reported => "reported",
            EndEvidence::ConnectionKept => "connection-kept",
            EndEvidence::GatewayReplied => "gateway-replied",
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
            EndEvidence::UnmarkedByPeer => Some("the peer's connection ended with its answer"),
            EndEvidence::Refused | EndEvidence::Closed | EndEvidence::Replaced => {
                Some("the upstream ended with its answer")
            }
            EndEvidence::Silent | EndEvidence::GatewayReplied => {
                Some("nothing shows that the upstream has not ended with its answer")
            }
            EndEvidence::Stated
            | EndEvidence::WholeDocument
            | EndEvidence::Replied
            | EndEvidence::Reported
            | EndEvidence::ConnectionKept => None,
        }
    }

    /// True if it is unknown whether the upstream has ended.
    pub fn is_uncertain(self) -> bool {
        matches!(self, EndEvidence::Silent | EndEvidence::GatewayReplied)
    }
}

impl From<ProbeOutcome> for EndEvidence {
    fn from(outcome: ProbeOutcome) -> Self {
        match outcome {
            ProbeOutcome::Answered { is_own: false, .. } => EndEvidence::GatewayReplied,
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

/// Checks within a time whether the upstream has ended with an answer that has just ended.
pub async fn check_upstream_end(
    state: &TrafficState,
    upstream: &BrokenUpstream,
    limit: Duration,
) -> EndEvidence {
    let limit = limit.min(PROBE_TIMEOUT);
    let checking = tokio::time::timeout(limit, find_evidence(state, upstream, Instant::now()));
    checking.await.unwrap_or(EndEvidence::Silent)
}

async fn find_evidence(
    state: &TrafficState,
    upstream: &BrokenUpstream,
    ended_at: Instant,
) -> EndEvidence {
    let mut signs = std::pin::pin!(other_signs(state, upstream, ended_at));
    let probed = tokio::select! {
        biased;
        outcome = probe_repeatedly(state, upstream) => EndEvidence::from(outcome),
        evidence = &mut signs => return evidence,
    };
    match probed {
        EndEvidence::GatewayReplied => {
            let signs = tokio::time::timeout(2 * CLOSING_TIME, signs).await;
            signs.unwrap_or(EndEvidence::GatewayReplied)
        }
        evidence => evidence,
    }
}

/// What else shows that the upstream lives on, or doesn't; never returns if nothing does.
async fn other_signs(
    state: &TrafficState,
    upstream: &BrokenUpstream,
    ended_at: Instant,
) -> EndEvidence {
    tokio::time::sleep(CLOSING_TIME).await;
    if state.connections().has_kept_since(upstream.address, ended_at) {
        return EndEvidence::ConnectionKept;
    }
    match ask_report(state, upstream).await {
        Some(evidence) => evidence,
        None => std::future::pending().await,
    }
}

/// Asks a model engine for its report, for which it needs no free place.
async fn ask_report(state: &TrafficState, upstream: &BrokenUpstream) -> Option<EndEvidence> {
    if !state.has_model_engines(&upstream.service) {
        return None;
    }
    let (interface, incarnation) = (state.interface()?, upstream.upstream.as_str());
    let mut call = interface.dialect.report_call(incarnation)?.map(Full::new);
    call.headers_mut().insert(HOST, upstream.address.to_string().parse().ok()?);
    let sent = state.connections().send(upstream.address, call, Duration::ZERO).await;
    let (response, _connection) = sent.ok()?;
    let metadata = interface.dialect.read_answer(response.status(), response.headers());
    match ProbeOutcome::of_reply(response.status(), &metadata, incarnation) {
        ProbeOutcome::OtherIncarnation => Some(EndEvidence::Replaced),
        ProbeOutcome::Answered { is_own: true, .. } | ProbeOutcome::Leaving => {
            Some(EndEvidence::Reported)
        }
        _ => None,
    }
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
