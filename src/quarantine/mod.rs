//! Fleet-wide quarantine of requests that crash upstreams. This module is pure: it reads no clock
//! and opens no socket.
//!
//! Without it, a request that crashes every upstream that starts to run it is sent to a second
//! upstream, and its caller retries it under another id through another daemon. Each daemon treats
//! each attempt as a new request, so a single caller can crash the upstreams of a pool faster than
//! they restart. This shows as `tarragonknot_upstreams_ended_total` rising on several daemons, and
//! as log lines `lost with its upstream` with the same fingerprint.
//!
//! Daemons therefore identify requests by content ([`RequestFingerprint`]), record the upstreams
//! that crashed while running each content ([`CrashTable`]), and exchange these records
//! ([`SuspectUpdate`]): only the fleet-wide sum shows that one content was running on every crashed
//! upstream. Content that coincides with the crashes of [`CRASHES_TO_HOLD`] upstreams is held in
//! quarantine. A complete answer clears it: content that was merely present when upstreams crashed
//! for another reason is answered elsewhere, whereas content that crashes every upstream never is.

mod crash_table;
mod explanation;
mod fingerprint;
mod send_queue;
mod signed_moment;
mod suspect_keys;
mod suspect_record;
mod suspect_update;

pub use crash_table::{CrashEvidence, CrashTable, HeldRequest, TableSizes};
pub use explanation::held_suspects;
pub use fingerprint::{FingerprintError, RequestContent, RequestFingerprint};
pub use signed_moment::SignedMoment;
pub use suspect_keys::{PromptPart, SuspectKeys};
pub use suspect_record::{CRASHES_TO_HOLD, PART_CRASHES_TO_HOLD, SuspectRecord};
pub use suspect_update::{SuspectRow, SuspectUpdate};
