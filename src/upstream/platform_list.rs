//! The platform's lagging list of live and leaving VMs.
//!
//! The list is a file of JSON that something else rewrites. It only adds to what the table says; a
//! live entry never brings back an upstream that has itself said it is leaving (the upstream's state
//! chart has no way back), and an address that returns as another upstream carries a larger
//! incarnation.

use crate::policy::UpstreamSource;
use crate::table::{FaultList, OperatorTable, ServiceName, UpstreamName, read_checked};
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
    fn read(&self) -> BoxFuture<'_, Result<PlatformList, ListFault>>;
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
