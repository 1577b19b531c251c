//! Requests under which upstreams end, held back by the whole fleet; pure: no clock, no socket.
//!
//! What goes wrong without it: a request that ends each upstream that begins to run it is sent to a second one, and its
//! caller sends it again under another id to another daemon. Each daemon, and each attempt, takes it for new, and one
//! caller ends a pool's upstreams faster than they start again. One would notice by `tarragonknot_upstreams_ended_total`
//! rising on several daemons, and by the same fingerprint in lines `lost with its upstream`.
//!
//! So daemons count by content ([`RequestFingerprint`]) which upstreams ended under it ([`CrashTable`]), and tell each
//! other ([`SuspectNews`]): only the fleet's sum shows that one content was on every upstream that ended. Content under
//! which [`CRASHES_TO_HOLD`] upstreams have ended is held back. A whole answer clears it: what only was there when
//! upstreams ended for another reason is answered elsewhere, while what ends every upstream never is.

mod crash_table;
mod fingerprint;
mod news_queue;
mod past_moment;
mod suspect_news;
mod suspect_record;

pub use crash_table::{CrashTable, HeldRequest, TableSizes};
pub use fingerprint::{FingerprintFault, RequestContent, RequestFingerprint};
pub use past_moment::PastMoment;
pub use suspect_news::{SuspectNews, SuspectRow};
pub use suspect_record::{CRASHES_TO_HOLD, SuspectRecord};
