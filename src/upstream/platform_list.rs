//! The platform's lagging list of live and leaving VMs.
//!
//! The list is a file of JSON that something else rewrites. It only adds to what the table says; a
//! live entry never brings back an upstream that has itself said it is leaving (the upstream's state
//! chart has no way back), and an address that returns as another upstream carries a larger
//! incarnation.

use crate::policy::UpstreamSource;
use crate::table::{
    FaultList, OperatorTable, ServiceName, SoftwareVersion, UpstreamName, read_checked,
};
use futures_util::future::BoxFuture;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Why the list could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListFault {
    /// What happened.
    pub detail: String,
}

impl ListFault {
    /// A fault told by what an error says.
    pub fn from_display(error: impl std::fmt::Display) -> Self {
        ListFault { detail: error.to_string() }
    }
}

/// Where the list comes from.
pub trait UpstreamLister: Send + Sync {
    /// Reads the whole list.
    fn read(&self) -> BoxFuture<'_, Result<ListReading, ListFault>>;
}

/// One reading of the list, as far as it could be understood.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListReading {
    /// Rows that name an upstream.
    pub rows: Vec<VmRow>,
    /// Entries that do not.
    pub unread: Vec<UnreadEntry>,
    /// True if the list was read to its end.
    pub is_whole: bool,
}

/// An entry that names no upstream to use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadEntry {
    /// The upstream that it speaks of, where that much can be read.
    pub upstream: Option<UpstreamName>,
    /// Why it cannot be read; alike for entries with the same fault.
    pub cause: String,
}

impl ListReading {
    /// The list after this reading, where `known` was the list before.
    ///
    /// An upstream that only unread entries speak of stays as it was: such an entry names nothing to use, but is no word
    /// that the upstream has left either. The same holds for all that were known where the list was not read to its end.
    /// Of several rows for one upstream the latest birth counts, and among those the address that was known.
    pub fn over(&self, known: &PlatformList) -> PlatformList {
        let known_rows: BTreeMap<_, _> = known.vms.iter().map(|row| (row.key(), row)).collect();
        let mut rows: BTreeMap<_, &VmRow> = BTreeMap::new();
        for row in &self.rows {
            let before = known_rows.get(&row.key());
            let is_known = before.is_some_and(|before| before.address == row.address);
            let chosen = rows.entry(row.key()).or_insert(row);
            let is_later = row.incarnation > chosen.incarnation;
            if is_later || row.incarnation == chosen.incarnation && is_known {
                *chosen = row;
            }
        }
        let is_spoken_of = |row: &VmRow| {
            self.unread.iter().any(|entry| entry.upstream.as_ref() == Some(&row.upstream))
        };
        for row in known.vms.iter().filter(|row| !self.is_whole || is_spoken_of(row)) {
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
    /// A list that was read whole.
    fn from(list: PlatformList) -> Self {
        ListReading { rows: list.vms, unread: Vec::new(), is_whole: true }
    }
}

/// Whether a VM is to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to go.
    Leaving,
}

/// One VM of the list that carries an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct VmRow {
    /// The service whose upstream runs there.
    pub service: ServiceName,
    /// The upstream's name.
    pub upstream: UpstreamName,
    /// Its address and port.
    #[schemars(with = "String")]
    pub address: SocketAddr,
    /// Live or leaving.
    pub state: VmState,
    /// Grows when another process takes the name or address.
    #[serde(default)]
    pub incarnation: u64,
    /// Requests that it works on at once, where the platform says.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub places: Option<u32>,
    /// The version of its software, where the platform says.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SoftwareVersion>,
}

/// The platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformList {
    /// VMs, any order.
    pub vms: Vec<VmRow>,
}

impl PlatformList {
    /// Reads a list, reporting every fault at once.
    pub fn read(text: &str) -> Result<Self, FaultList> {
        read_checked(text)
    }

    /// The rows of `service` that `keep` says yes to, and all of other services.
    pub fn only(&self, service: &ServiceName, keep: impl Fn(&VmRow) -> bool) -> PlatformList {
        let vms = self.vms.iter().filter(|row| row.service != *service || keep(row));
        PlatformList { vms: vms.cloned().collect() }
    }

    /// The upstreams of `service` that the table or this list names. Leaving wins over live for the
    /// same incarnation, and the larger incarnation over the smaller.
    pub fn merged(&self, table: &OperatorTable, service: &ServiceName) -> Vec<UpstreamSource> {
        let from_table = table.upstreams.iter().filter(|row| row.service == *service).map(|row| {
            UpstreamSource {
                name: row.upstream.clone(),
                incarnation: row.incarnation,
                address: row.address,
                is_leaving: false,
                places: None,
            }
        });
        let from_list =
            self.vms.iter().filter(|row| row.service == *service).map(|row| UpstreamSource {
                name: row.upstream.clone(),
                incarnation: row.incarnation,
                address: row.address,
                is_leaving: row.state == VmState::Leaving,
                places: row.places,
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
