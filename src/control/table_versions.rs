//! How far a table has come: which daemons have which version in force, and who lags since when.

use super::fleet::MemberView;
use crate::table::DaemonName;
use serde::Serialize;

/// Daemons that are named for one version, at most: a page of names tells an operator no more than the first few.
const MOST_NAMED: usize = 5;

/// The daemons at one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TableVersionRow {
    /// The version.
    pub version: u64,
    /// Daemons with a valid lease that have it in force.
    pub live: usize,
    /// Daemons whose lease has run out, which admit nothing or go on under it, as they are set.
    pub lapsed: usize,
    /// For how long they have lagged behind the newest version, in milliseconds; none at the newest.
    pub lags_ms: Option<u64>,
    /// The first of them.
    pub named: Vec<DaemonName>,
}

/// The versions that members have in force, the newest first.
pub fn table_versions(members: &[MemberView]) -> Vec<TableVersionRow> {
    let mut versions: Vec<u64> = members.iter().map(|member| member.version).collect();
    versions.sort_unstable_by(|a, b| b.cmp(a));
    versions.dedup();
    let newest = versions.first().copied().unwrap_or(0);
    // The newest version is as old as the first daemon that had it.
    let age = members.iter().filter(|member| member.version == newest);
    let age = age.filter_map(|member| member.version_ms).max();
    let row = |version: u64| {
        let at = || members.iter().filter(|member| member.version == version);
        let live = at().filter(|member| member.is_live).count();
        TableVersionRow {
            version,
            live,
            lapsed: at().count() - live,
            lags_ms: age.filter(|_| version != newest),
            named: at().map(|member| member.daemon.clone()).take(MOST_NAMED).collect(),
        }
    };
    versions.into_iter().map(row).collect()
}
