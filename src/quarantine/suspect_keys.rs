//! The fingerprints under which a request can be blamed for the crash of an upstream.

use super::RequestFingerprint;
use crate::table::ServiceName;
use xxhash_rust::xxh3::xxh3_64;

/// A part of a prompt that several requests may share, as a hash of what its caller calls it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPart(u64);

impl PromptPart {
    /// Identifies a part by its name.
    pub fn of(name: &[u8]) -> Self {
        PromptPart(xxh3_64(name))
    }

    /// The number that identifies the part.
    pub(super) fn number(self) -> u64 {
        self.0
    }
}

/// The content of a request, and the parts of its prompt, as they appear at one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectKeys {
    /// Fingerprint of the whole content.
    pub content: RequestFingerprint,
    /// Fingerprints of the prompt's parts, in ascending order.
    pub parts: Box<[RequestFingerprint]>,
}

impl SuspectKeys {
    /// The keys of a request at a service. A part that upstreams of one service answer may still crash
    /// those of another, so its fingerprint depends on the service.
    pub fn new(content: RequestFingerprint, service: &ServiceName, parts: &[PromptPart]) -> Self {
        let parts = parts.iter().map(|part| RequestFingerprint::of_part(service, *part));
        let mut parts: Vec<RequestFingerprint> = parts.collect();
        parts.sort_unstable();
        parts.dedup();
        SuspectKeys { content, parts: parts.into_boxed_slice() }
    }

    /// The keys of a request whose prompt has no known parts.
    pub fn of_content(content: RequestFingerprint) -> Self {
        SuspectKeys { content, parts: Box::default() }
    }

    /// The content, then the parts.
    pub fn iter(&self) -> impl Iterator<Item = RequestFingerprint> {
        std::iter::once(self.content).chain(self.parts.iter().copied())
    }

    /// True if the request has this key.
    pub fn contains(&self, key: RequestFingerprint) -> bool {
        key == self.content || self.parts.binary_search(&key).is_ok()
    }

    /// The parts as text for logs, separated by commas.
    pub fn parts_text(&self) -> String {
        let parts: Vec<String> = self.parts.iter().map(RequestFingerprint::to_string).collect();
        parts.join(",")
    }
}
