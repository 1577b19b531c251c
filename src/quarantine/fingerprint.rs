//! By what a request is known again when its caller sends it anew.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::Xxh3;

/// What an upstream is given to run.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The organisation whose key the caller has; empty for callers without one.
    pub organisation: &'a str,
    /// The method.
    pub method: &'a str,
    /// The host, or the service where no host chooses it.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// Stands for all attempts of the same content.
///
/// A caller's id changes with each attempt and says nothing of what runs. Headers are left out too: a caller may word its
/// guesses anew. The organisation is a part, so no caller can make another organisation's requests look like its own. Two
/// of a million contents have the same fingerprint in one of 37 million fleets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// The fingerprint of a content.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = Xxh3::new();
        let RequestContent { organisation, method, host, path, body } = content;
        for text in [organisation, method, host, path] {
            // Lengths keep one part from running into the next.
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(body);
        RequestFingerprint(hasher.digest())
    }
}

/// Digits of a fingerprint as text.
const DIGITS: usize = 16;

/// A text that is no fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("expected {DIGITS} hexadecimal digits, as in the logs"))]
pub struct FingerprintFault;

impl FromStr for RequestFingerprint {
    type Err = FingerprintFault;

    fn from_str(text: &str) -> Result<Self, FingerprintFault> {
        let is_hexadecimal =
            text.len() == DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = is_hexadecimal.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        number.map(RequestFingerprint).ok_or(FingerprintFault)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
