//! Content fingerprint that identifies a request across its caller's attempts.

use super::PromptPart;
use crate::table::ServiceName;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// Bit that tells the fingerprints of prompt parts from those of contents.
const PART_MARK: u64 = 1 << 63;

/// The parts of a request that determine what an upstream runs.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Organisation that the caller's key belongs to; empty for callers without a key.
    pub organisation: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Host, or the service name if the service is not chosen by host.
    pub host: &'a str,
    /// Path and query string.
    pub path: &'a str,
    /// Request body.
    pub body: &'a [u8],
}

/// Identifies all attempts of the same content, or all requests of a service that share a prompt part.
///
/// The request id is left out, since it changes with each attempt and has no influence on what
/// runs. Headers are left out as well, since a caller may vary the hints that it sends in them. The
/// organisation is included, so no caller can produce the fingerprint of another organisation's
/// request. Among a million contents, the probability that two have the same fingerprint is 1 in
/// 37 million.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Computes the fingerprint of a content.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = Xxh3::new();
        let RequestContent { organisation, method, host, path, body } = content;
        for text in [organisation, method, host, path] {
            // Length prefixes keep the boundaries between the parts unambiguous.
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(body);
        RequestFingerprint(hasher.digest() & !PART_MARK)
    }

    /// Computes the fingerprint of a prompt part at a service.
    pub fn of_part(service: &ServiceName, part: PromptPart) -> Self {
        let seed = xxh3_64(service.as_str().as_bytes());
        RequestFingerprint(xxh3_64_with_seed(&part.number().to_le_bytes(), seed) | PART_MARK)
    }

    /// Name of what the fingerprint identifies, for logs, metrics and operators.
    pub fn kind(self) -> &'static str {
        if self.is_part() { "part" } else { "content" }
    }

    /// True for a prompt part.
    pub fn is_part(self) -> bool {
        self.0 & PART_MARK != 0
    }
}

/// Number of hexadecimal digits of a fingerprint in text form.
const HEX_DIGITS: usize = 16;

/// Error for text that is not a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("expected {HEX_DIGITS} hexadecimal digits, as in the logs"))]
pub struct FingerprintError;

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        let is_hexadecimal =
            text.len() == HEX_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = is_hexadecimal.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        number.map(RequestFingerprint).ok_or(FingerprintError)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
