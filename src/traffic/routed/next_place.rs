//! The search for another place while a request's upstream is silent.
//!
//! Silence alone is no reason to give up an answer: the upstream may be sound, and every other way may
//! turn out to be closed. So a request leaves a silent upstream only once it has a retry and a place at
//! another one.

use super::admission::RouteMatch;
use super::placing::{PlacedRequest, PlacingRule};
use super::request::RoutedRequest;
use super::send_history::SendHistory;
use super::stream_end::CutCause;
use crate::table::{ServiceName, UpstreamName};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Time between two searches for a place.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait of a search for a place. A waiting search holds no retry, which others may need.
const SEARCH_TIME: Duration = Duration::from_millis(250);
/// Time in which bytes that have arrived are read before a silence counts. After a stall of this
/// process its timers are due before its sockets were looked at.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// A timer that is late by more shows another stall.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(100);
/// Stalls in a row after which a silence counts all the same.
const MAX_STALLS: usize = 8;

/// Where a request goes on, once its retry is withdrawn from the budget.
pub enum NextPlace {
    /// At an upstream of this daemon, which has a place for it.
    Here(Box<PlacedRequest>, RouteMatch),
    /// Through a peer, as this daemon reaches no upstream.
    ThroughPeer,
}

/// A request that an upstream leaves without an answer, or without the rest of it.
pub struct SilentSend<'a> {
    pub service: &'a ServiceName,
    /// The silent upstream; `None` for a peer.
    pub upstream: Option<&'a UpstreamName>,
    pub history: SendHistory,
    pub rule: PlacingRule,
}

/// Waits until this process has run without a stall for a time.
pub async fn settle() {
    for _ in 0..MAX_STALLS {
        let due = Instant::now() + SETTLE_TIME;
        sleep_until(due).await;
        if due.elapsed() <= MAX_TIMER_DELAY {
            return;
        }
    }
}

impl RoutedRequest {
    /// Withdraws a retry and waits for a place for one more send, at any upstream but one, or returns why
    /// there is none.
    pub async fn find_next_place(
        &self,
        service: &ServiceName,
        history: SendHistory,
        rule: PlacingRule,
        except: Option<&UpstreamName>,
    ) -> Result<NextPlace, CutCause> {
        self.withdraw_retry(service, history, rule).map_err(CutCause::NoRetry)?;
        match self.find_place(history, rule, except).await {
            Ok((placed, matched)) => Ok(NextPlace::Here(Box::new(placed), matched)),
            Err(kind) if self.may_pass_on(kind) => Ok(NextPlace::ThroughPeer),
            Err(kind) => Err(CutCause::NoPlace(kind)),
        }
    }

    /// Searches until there are a place and a retry, or none can be had any more.
    pub async fn search_next_place(&self, send: SilentSend<'_>) -> Result<NextPlace, CutCause> {
        loop {
            match self.search_once(&send).await {
                Err(CutCause::NoRetry(obstacle)) if obstacle.is_final() => {
                    return Err(CutCause::NoRetry(obstacle));
                }
                Err(_) => sleep(SEARCH_INTERVAL).await,
                next => return next,
            }
        }
    }

    /// The retry is withdrawn only once there is a place, so that a search keeps none from requests
    /// whose upstreams have failed.
    async fn search_once(&self, send: &SilentSend<'_>) -> Result<NextPlace, CutCause> {
        let SilentSend { service, history, rule, .. } = *send;
        self.check_retry(service, history, rule).map_err(CutCause::NoRetry)?;
        let placing = self.find_place(history, rule, send.upstream);
        let next = match timeout(SEARCH_TIME, placing).await {
            Ok(Ok((placed, matched))) => NextPlace::Here(Box::new(placed), matched),
            // The upstream may be sound unless this daemon reaches none.
            Ok(Err(kind)) if self.may_pass_on(kind) && self.is_cut_off(service) => {
                NextPlace::ThroughPeer
            }
            Ok(Err(kind)) => return Err(CutCause::NoPlace(kind)),
            Err(_) => return Err(CutCause::NoPlaceInTime),
        };
        self.withdraw_retry(service, history, rule).map_err(CutCause::NoRetry)?;
        Ok(next)
    }

    fn is_cut_off(&self, service: &ServiceName) -> bool {
        self.state.pool(service).is_some_and(|pool| pool.is_cut_off())
    }
}
