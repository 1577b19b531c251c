//! The platform's list of engines.

use super::pages::{InstancePage, NextPage, read_page};
use crate::upstream::{
    ConnectionPool, DEFAULT_MAX_IDLE_TIME, ListError, ListReading, UpstreamLister,
};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::Request;
use http::header::HOST;
use http_body_util::{BodyExt, Full, Limited};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Largest page, in bytes.
const PAGE_LIMIT: usize = 4 << 20;
/// Pages read at most; a list without an end must not be read for ever.
const MOST_PAGES: usize = 1_000;

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

    async fn page(&self, token: Option<&str>) -> Result<InstancePage, ListError> {
        let query = token.map_or_else(String::new, |token| format!("?page_token={token}"));
        let request = Request::get(format!("/instances{query}"))
            .header(HOST, self.address.to_string())
            .body(Full::<Bytes>::default())
            .map_err(ListError::from_display)?;
        let sent = self.connections.send(self.address, request, DEFAULT_MAX_IDLE_TIME * 3).await;
        let (response, connection) = sent.map_err(ListError::from_display)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), PAGE_LIMIT).collect().await;
        let body = body.map_err(ListError::from_display)?;
        connection.finish();
        if !status.is_success() {
            return Err(ListError { detail: format!("status {status}") });
        }
        Ok(read_page(&body.to_bytes()))
    }
}

impl UpstreamLister for InstanceLister {
    fn read(&self) -> BoxFuture<'_, Result<ListReading, ListError>> {
        Box::pin(async move {
            let mut reading = ListReading::default();
            let mut read = BTreeSet::new();
            let mut token: Option<String> = None;
            for _ in 0..MOST_PAGES {
                let page = self.page(token.as_deref()).await?;
                reading.rows.extend(page.rows);
                reading.unread.extend(page.unread);
                let next = match page.next {
                    NextPage::None => {
                        reading.is_whole = true;
                        return Ok(reading);
                    }
                    // A token that repeats would lead round and round.
                    NextPage::Token(next) if read.insert(next.clone()) => next,
                    NextPage::Token(_) | NextPage::Unknown => return Ok(reading),
                };
                token = Some(next);
            }
            Ok(reading)
        })
    }
}
