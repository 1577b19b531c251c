//! The search for another place while a request's upstream is silent.
//!
//! Silence alone is no reason to give up an answer: the upstream may be sound, and every other way may
//! turn out to be closed. So a request leaves its upstream only for a place that it has.

use super::admission::RouteMatch;
use super::placing::{PlacedRequest, PlacingRule};
use super::request::RoutedRequest;
use super::retry::RetryPermit;
use super::send_history::SendHistory;
use super::stream_end::CutCause;
use crate::answer::AnswerKind;
use crate::table::ServiceName;
use std::time::Duration;
use tokio::time::Instant;

/// Time between two searches for a place.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which bytes that have arrived are read before a silence counts. After a stall of this
/// process its timers are due before its sockets were looked at.
const SETTLE_TIME: Duration = Duration::from_millis(50);
/// A timer that is late by more shows another stall.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(100);

/// Where a request goes on, with the retry that this takes.
pub enum NextPlace {
    /// At an upstream of this daemon, which has a place for it.
    Here { placed: Box<PlacedRequest>, matched: RouteMatch, permit: RetryPermit },
    /// Through a peer, as this daemon reaches no upstream.
    ThroughPeer(RetryPermit),
}

/// Waits until this process has run without a stall for a time.
pub async fn settle() {
    loop {
        let due = Instant::now() + SETTLE_TIME;
        tokio::time::sleep_until(due).await;
        if due.elapsed() <= MAX_TIMER_DELAY {
            return;
        }
    }
}

impl RoutedRequest {
    /// Takes a retry and a place for one more send, or returns why there is none now.
    pub async fn find_next_place(
        &self,
        service: &ServiceName,
        history: SendHistory,
        rule: PlacingRule,
    ) -> Result<NextPlace, CutCause> {
        let permit = self.retry_permit(service, history, rule).map_err(CutCause::NoRetry)?;
        match self.find_place(history, rule).await {
            Ok((placed, matched)) => {
                Ok(NextPlace::Here { placed: Box::new(placed), matched, permit })
            }
            Err(kind) if self.may_pass_on(kind) => Ok(NextPlace::ThroughPeer(permit)),
            Err(kind) => Err(CutCause::NoPlace(kind)),
        }
    }

    /// Searches until there is a place, or none can be found any more. Used while an upstream that
    /// may be sound has the request, so a peer counts only if this daemon reaches no upstream.
    pub async fn await_next_place(
        &self,
        service: &ServiceName,
        history: SendHistory,
        rule: PlacingRule,
    ) -> Result<NextPlace, CutCause> {
        settle().await;
        loop {
            match self.find_next_place(service, history, rule).await {
                Ok(NextPlace::ThroughPeer(_)) if !self.is_cut_off(service) => {}
                Ok(next) => return Ok(next),
                Err(cause) if cause.is_final() => return Err(cause),
                Err(_) => {}
            }
            tokio::time::sleep(SEARCH_INTERVAL).await;
        }
    }

    fn is_cut_off(&self, service: &ServiceName) -> bool {
        self.state.pool(service).is_some_and(|pool| pool.is_cut_off())
    }
}

impl CutCause {
    /// True if another search would end the same way.
    fn is_final(self) -> bool {
        match self {
            CutCause::NoRetry(obstacle) => obstacle.is_final(),
            CutCause::NoPlace(kind) => kind == AnswerKind::DeadlineWaiting,
            CutCause::Deadline | CutCause::UnnumberedEvent => true,
            CutCause::NoPeer => false,
        }
    }
}
