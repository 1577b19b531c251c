//! The platform's list of live and leaving VMs, which may be out of date.
//!
//! The list is written by another program and read as a JSON document or over the platform's
//! interface. It only adds upstreams to those of the table. An upstream that has itself announced
//! that it is leaving stays so even if the list has it as live: the upstream's state chart has no
//! transition back. A name or address that is taken by another process has a larger incarnation.

use crate::policy::UpstreamSource;
use crate::table::{
    DataCentreName, FaultList, OperatorTable, ServiceName, SoftwareVersion, UpstreamName,
    read_checked,
};
use futures_util::future::BoxFuture;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Error of reading the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListError {
    /// Description of the failure.
    pub detail: String,
}

impl ListError {
    /// Creates an error with the message of another error.
    pub fn from_display(error: impl std::fmt::Display) -> Self {
        ListError { detail: error.to_string() }
    }
}

/// Source of the platform's list.
pub trait UpstreamLister: Send + Sync {
    /// Reads the whole list.
    fn read(&self) -> BoxFuture<'_, Result<ListReading, ListError>>;
}

/// Result of reading the list once; entries that could not be parsed are reported separately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListReading {
    /// Rows of valid entries.
    pub rows: Vec<VmRow>,
    /// Entries that could not be parsed.
    pub unread: Vec<UnreadEntry>,
    /// True if the list was read to the end.
    pub is_whole: bool,
}

/// An entry of the list that could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadEntry {
    /// Name of its upstream, if that could be read.
    pub upstream: Option<UpstreamName>,
    /// Cause of the failure; the same text for all entries with the same fault.
    pub cause: String,
}

impl ListReading {
    /// Returns the list that results from this reading, given the previous list `known`.
    ///
    /// An upstream with only unread entries keeps its previous row: such an entry cannot be used,
    /// but does not show that the upstream has left. If the list was not read to the end, all
    /// upstreams without a new row keep their previous one. Of several rows for one upstream, the
    /// one with the largest incarnation is used, and among equal incarnations the one with the
    /// known address.
    pub fn applied_to(&self, known: &PlatformList) -> PlatformList {
        let known_rows: BTreeMap<_, _> = known.vms.iter().map(|row| (row.key(), row)).collect();
        let mut rows: BTreeMap<_, &VmRow> = BTreeMap::new();
        for row in &self.rows {
            let known_row = known_rows.get(&row.key());
            let is_known = known_row.is_some_and(|known| known.address == row.address);
            let chosen = rows.entry(row.key()).or_insert(row);
            let is_later = row.incarnation > chosen.incarnation;
            if is_later || row.incarnation == chosen.incarnation && is_known {
                *chosen = row;
            }
        }
        let has_unread_entry = |row: &VmRow| {
            self.unread.iter().any(|entry| entry.upstream.as_ref() == Some(&row.upstream))
        };
        for row in known.vms.iter().filter(|row| !self.is_whole || has_unread_entry(row)) {
            rows.entry(row.key()).or_insert(row);
        }
        PlatformList { vms: rows.into_values().cloned().collect() }
    }
}

impl VmRow {
    fn key(&self) -> (ServiceName, UpstreamName) {
        (self.service.clone(), self.upstream.clone())
    }
}

impl From<PlatformList> for ListReading {
    /// Converts a list that was read to the end without unread entries.
    fn from(list: PlatformList) -> Self {
        ListReading { rows: list.vms, unread: Vec::new(), is_whole: true }
    }
}

/// Lifecycle state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be shut down.
    Leaving,
}

/// A VM of the list that runs an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct VmRow {
    /// Service of the upstream.
    pub service: ServiceName,
    /// The upstream's name.
    pub upstream: UpstreamName,
    /// Address and port of the upstream.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    pub state: VmState,
    /// Increases whenever another process takes the name or address.
    #[serde(default)]
    pub incarnation: u64,
    /// Number of requests that it processes concurrently, if the platform reports it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub places: Option<u32>,
    /// Software version, if the platform reports it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SoftwareVersion>,
    /// The data centre it runs in, if the platform reports it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentreName>,
    /// True while the upstream is cold: it has started or returned to work recently.
    #[serde(default)]
    pub is_cold: bool,
}

/// The platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformList {
    /// VMs, in any order.
    pub vms: Vec<VmRow>,
}

impl PlatformList {
    /// Parses a list and reports all faults at once.
    pub fn read(text: &str) -> Result<Self, FaultList> {
        read_checked(text)
    }

    /// Returns the rows of `service` for which `keep` is true, and all rows of other services.
    pub fn filter_service(
        &self,
        service: &ServiceName,
        keep: impl Fn(&VmRow) -> bool,
    ) -> PlatformList {
        let vms = self.vms.iter().filter(|row| row.service != *service || keep(row));
        PlatformList { vms: vms.cloned().collect() }
    }

    /// Returns the upstreams of `service` in the table or this list. If an upstream is in both, the
    /// row with the larger incarnation is used; for equal incarnations, leaving overrides live.
    pub fn upstream_sources(
        &self,
        table: &OperatorTable,
        service: &ServiceName,
    ) -> Vec<UpstreamSource> {
        let from_table = table.upstreams.iter().filter(|row| row.service == *service).map(|row| {
            UpstreamSource {
                incarnation: row.incarnation,
                ..UpstreamSource::new(row.upstream.clone(), row.address)
            }
        });
        let from_list =
            self.vms.iter().filter(|row| row.service == *service).map(|row| UpstreamSource {
                incarnation: row.incarnation,
                is_leaving: row.state == VmState::Leaving,
                places: row.places,
                version: row.version.clone(),
                data_centre: row.data_centre.clone(),
                is_cold: row.is_cold,
                ..UpstreamSource::new(row.upstream.clone(), row.address)
            });
        let mut merged: BTreeMap<UpstreamName, UpstreamSource> = BTreeMap::new();
        for source in from_table.chain(from_list) {
            match merged.get_mut(&source.name) {
                Some(known) if known.incarnation > source.incarnation => {}
                Some(known) if known.incarnation == source.incarnation => {
                    known.is_leaving |= source.is_leaving
                }
                _ => {
                    merged.insert(source.name.clone(), source);
                }
            }
        }
        merged.into_values().collect()
    }
}
