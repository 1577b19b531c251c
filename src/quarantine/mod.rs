//! Requests under which upstreams end; pure: no clock, no socket.

mod fingerprint;

pub use fingerprint::{RequestContent, RequestFingerprint};
