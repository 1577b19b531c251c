//! What the log says of a resumption: who resumed a stream, why, and between which events.

use super::stream_end::EndedBy;

/// Who resumed a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumedBy {
    /// Its caller, with a new request.
    Caller,
    /// A peer, which has passed the request on.
    Peer,
    /// This daemon, within the answer.
    Entry,
}

impl ResumedBy {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            ResumedBy::Caller => "caller",
            ResumedBy::Peer => "peer",
            ResumedBy::Entry => "entry",
        }
    }
}

/// How the part of a stream before a resumption ended.
#[derive(Clone, Debug)]
pub struct PartEnd {
    /// The upstream or peer that wrote it.
    pub source: String,
    pub ended_by: EndedBy,
    pub detail: String,
    /// Id of the last event that was passed on.
    pub last_event: Option<u64>,
}

/// A resumption whose first event has not arrived.
#[derive(Clone, Debug)]
pub struct StreamResumption {
    pub by: ResumedBy,
    /// Id of the event that the upstream was asked to go on after.
    pub after_event: Option<u64>,
    /// The part before, if it belongs to the same answer.
    pub previous: Option<PartEnd>,
}
