//! Which software version began a stream. What two versions write does not fit together, so a stream
//! goes on only at the version that began it, also over the tries of a caller at any daemon.
//!
//! The daemon through which a stream begins records its origin ([`OriginRecord`]) and sends the record
//! to a few [`owners`] before the first event leaves. Callers mostly come back because that daemon is
//! gone, so another one asks the owners ([`OriginLookup`]). Two voters keep each record, too, and all of
//! them which versions were reported ([`VersionWatch`]), since all daemons that serve callers may be
//! started again at once. Nothing is sent while a service has had one version for longer than its streams
//! can be resumed ([`VersionHistory`]); once that ends, the records of this time are sent after all.
//!
//! A daemon's own list may be older than that of the daemon through which a stream began, and so may be
//! those of its peers. So a version counts as the only one if a majority of the voters confirms it, and
//! a new version is announced to a majority before it is used ([`AnnouncedVersions`]).
//!
//! This module is pure: it reads no clock and opens no socket.

mod announced_versions;
mod attempt_key;
mod lookup;
mod messages;
mod origin;
mod origin_table;
mod owners;
mod version_history;
mod version_watch;

pub use announced_versions::{ANNOUNCEMENT_TIMEOUT, AnnouncedVersions, UsableVersion};
pub use attempt_key::AttemptKey;
pub use lookup::{
    LookupEvidence, LookupResult, MAX_ASKED, OriginLookup, ROUND_TIMEOUT, VersionQuorum,
};
pub use messages::{OriginFinding, OriginMessage};
pub use origin::{InvalidOrigin, StreamOrigin};
pub use origin_table::{KnownOrigin, OriginRecord, OriginTable};
pub use owners::{OWNER_COUNT, owners};
pub use version_history::{VersionClaim, VersionHistory};
pub use version_watch::{VERSION_REPORT_INTERVAL, VersionReport, VersionWatch};
