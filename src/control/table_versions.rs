//! Distribution progress of tables: the versions in force by daemon, and the daemons that lag.

use super::fleet::MemberView;
use crate::table::DaemonName;
use serde::Serialize;

/// Maximum number of daemons named per version; a longer list would tell an operator no more.
const MAX_NAMED_DAEMONS: usize = 5;

/// The daemons on which one version is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TableVersionRow {
    /// The version.
    pub version: u64,
    /// Number of these daemons with a valid lease.
    pub live: usize,
    /// Number of these daemons whose lease has expired. Depending on their settings, they admit
    /// nothing or continue under this version.
    pub lapsed: usize,
    /// Milliseconds for which they have lagged behind the newest version; `None` for the newest.
    pub lags_ms: Option<u64>,
    /// The first few of these daemons.
    pub named: Vec<DaemonName>,
}

/// Returns the versions in force on the members, newest first.
pub fn table_versions(members: &[MemberView]) -> Vec<TableVersionRow> {
    let mut versions: Vec<u64> = members.iter().map(|member| member.version).collect();
    versions.sort_unstable_by(|a, b| b.cmp(a));
    versions.dedup();
    let newest = versions.first().copied().unwrap_or(0);
    // The age of the newest version is the longest time for which a daemon has had it in force.
    let age = members.iter().filter(|member| member.version == newest);
    let age = age.filter_map(|member| member.version_ms).max();
    let row = |version: u64| {
        let members_at = || members.iter().filter(|member| member.version == version);
        let live = members_at().filter(|member| member.is_live).count();
        TableVersionRow {
            version,
            live,
            lapsed: members_at().count() - live,
            lags_ms: age.filter(|_| version != newest),
            named: members_at()
                .map(|member| member.daemon.clone())
                .take(MAX_NAMED_DAEMONS)
                .collect(),
        }
    };
    versions.into_iter().map(row).collect()
}
