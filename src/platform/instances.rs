//! HTTP client for the platform's list of engines.

use super::pages::{InstancePage, NextPage, read_page};
use crate::upstream::{
    ConnectionPool, DEFAULT_MAX_IDLE_TIME, ListError, ListReading, UpstreamLister,
};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::header::HOST;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a page, in bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;
/// Pause before a page is requested again that the platform refused for its rate of calls. Giving up
/// would waste the pages before it.
const REFUSED_PAGE_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of requests for one page.
const MAX_PAGE_TRIES: usize = 10;
/// Maximum number of pages per reading; bounds the work if a list never ends.
const MAX_PAGES: usize = 1_000;

/// Reads the paginated list over HTTP.
pub struct InstanceLister {
    address: SocketAddr,
    connections: Arc<ConnectionPool>,
}

impl InstanceLister {
    /// Creates a lister for the list served at `address`.
    pub fn new(address: SocketAddr, connections: Arc<ConnectionPool>) -> Self {
        InstanceLister { address, connections }
    }

    async fn fetch_page(&self, token: Option<&str>) -> Result<InstancePage, ListError> {
        for _ in 1..MAX_PAGE_TRIES {
            let (status, page) = self.request_page(token).await?;
            if status != StatusCode::TOO_MANY_REQUESTS {
                return checked_page(status, page);
            }
            tokio::time::sleep(REFUSED_PAGE_PAUSE).await;
        }
        let (status, page) = self.request_page(token).await?;
        checked_page(status, page)
    }

    async fn request_page(&self, token: Option<&str>) -> Result<(StatusCode, Bytes), ListError> {
        let query = token.map_or_else(String::new, |token| format!("?page_token={token}"));
        let request = Request::get(format!("/instances{query}"))
            .header(HOST, self.address.to_string())
            .body(Full::<Bytes>::default())
            .map_err(ListError::from_display)?;
        let sent = self.connections.send(self.address, request, DEFAULT_MAX_IDLE_TIME * 3).await;
        let (response, connection) = sent.map_err(ListError::from_display)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_PAGE_BYTES).collect().await;
        let body = body.map_err(ListError::from_display)?;
        connection.finish();
        Ok((status, body.to_bytes()))
    }
}

fn checked_page(status: StatusCode, page: Bytes) -> Result<InstancePage, ListError> {
    if !status.is_success() {
        return Err(ListError { detail: format!("status {status}") });
    }
    Ok(read_page(&page))
}

impl UpstreamLister for InstanceLister {
    fn read(&self) -> BoxFuture<'_, Result<ListReading, ListError>> {
        Box::pin(async move {
            let mut reading = ListReading::default();
            let mut seen_tokens = BTreeSet::new();
            let mut token: Option<String> = None;
            for _ in 0..MAX_PAGES {
                let page = self.fetch_page(token.as_deref()).await?;
                reading.rows.extend(page.rows);
                reading.unread.extend(page.unread);
                let next = match page.next {
                    NextPage::None => {
                        reading.is_whole = true;
                        return Ok(reading);
                    }
                    // A repeated token would make the pagination loop.
                    NextPage::Token(next) if seen_tokens.insert(next.clone()) => next,
                    NextPage::Token(_) | NextPage::Unknown => return Ok(reading),
                };
                token = Some(next);
            }
            Ok(reading)
        })
    }
}
