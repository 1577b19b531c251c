//! The platform's list of engines.

use crate::upstream::{
    ConnectionPool, ListFault, PROVEN_ALIVE, PlatformList, UpstreamLister, VmRow, VmState,
};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::Request;
use http::header::HOST;
use http_body_util::{BodyExt, Full, Limited};
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;

/// Largest page, in bytes.
const PAGE_LIMIT: usize = 4 << 20;
/// Pages read at most; a list without an end must not be read for ever.
const MOST_PAGES: usize = 1_000;

#[derive(Debug, Deserialize)]
struct InstancePage {
    instances: Vec<WireInstance>,
    /// The token of the page that follows; here it is no number of tokens.
    #[serde(default)]
    next_token: Option<String>,
}

#[derive(Debug, Deserialize)]
struct WireInstance {
    id: String,
    service: String,
    address: SocketAddr,
    state: WireState,
    #[serde(default)]
    slots: Option<u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Ready,
    Draining,
    #[serde(other)]
    Other,
}

/// Reads the list over HTTP, page by page.
pub struct InstanceLister {
    address: SocketAddr,
    connections: Arc<ConnectionPool>,
}

impl InstanceLister {
    /// A reader of the list at `address`.
    pub fn new(address: SocketAddr, connections: Arc<ConnectionPool>) -> Self {
        InstanceLister { address, connections }
    }

    async fn page(&self, token: Option<&str>) -> Result<InstancePage, ListFault> {
        let query = token.map_or_else(String::new, |token| format!("?page_token={token}"));
        let request = Request::get(format!("/instances{query}"))
            .header(HOST, self.address.to_string())
            .body(Full::<Bytes>::default())
            .map_err(ListFault::from_display)?;
        let sent = self.connections.send(self.address, request, PROVEN_ALIVE * 3).await;
        let (response, connection) = sent.map_err(ListFault::from_display)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), PAGE_LIMIT).collect().await;
        let body = body.map_err(ListFault::from_display)?;
        connection.finish();
        if !status.is_success() {
            return Err(ListFault { detail: format!("status {status}") });
        }
        serde_json::from_slice(&body.to_bytes()).map_err(ListFault::from_display)
    }
}

impl UpstreamLister for InstanceLister {
    fn read(&self) -> BoxFuture<'_, Result<PlatformList, ListFault>> {
        Box::pin(async move {
            let mut vms = Vec::new();
            let mut token = None;
            for _ in 0..MOST_PAGES {
                let page = self.page(token.as_deref()).await?;
                vms.extend(page.instances.iter().map(WireInstance::vm));
                token = page.next_token;
                if token.is_none() {
                    return Ok(PlatformList { vms });
                }
            }
            Err(ListFault { detail: "the list has no end".to_owned() })
        })
    }
}

impl WireInstance {
    /// Each start of an engine has an id of its own, so that the id names the incarnation.
    fn vm(&self) -> VmRow {
        let state = if self.state == WireState::Ready { VmState::Live } else { VmState::Leaving };
        VmRow {
            service: self.service.as_str().into(),
            upstream: self.id.as_str().into(),
            address: self.address,
            state,
            incarnation: 0,
            places: self.slots,
        }
    }
}
