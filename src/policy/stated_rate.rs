//! Bounds the requests that the fleet sends to an upstream that states how many a second it takes.
//!
//! The rate holds for all daemons together, also while they know of each other late. Therefore a few
//! daemons, the upstream's owners, share the rate, and the others send it nothing. All daemons
//! cannot share it: each of them may send a request at the same moment, which an upstream with a
//! rate of one a second does not bear from a large fleet.
//!
//! The owners learn from the answers when the limit ends and report it to the others. If no daemon
//! reports anything of the upstream for a while, because its owners have no requests for it, the
//! others send it one request each, spread so that they stay below the rate.

use super::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Lowest rate at which the owners send requests, per second: an upstream that gets none cannot
/// state that its limit has ended.
const MIN_RATE: f64 = 0.1;
/// Requests that an owner may send at once after a pause, in seconds of its rate, beside one.
const BURST_SECONDS: f64 = 0.1;
/// Owners of an upstream that states any rate, and requests per second for each further one. More of
/// them use the rate better, but each may send a request at once, and former owners may go on for a
/// moment.
const MIN_OWNERS: usize = 3;
const RATE_PER_OWNER: f64 = 2.0;
/// Age to which a daemon reports to the others what an upstream stated to it.
const STATEMENT_TTL: Duration = Duration::from_secs(5);
/// Age to which what an upstream stated to this daemon overrides the reports of others.
const OWN_STATEMENT_PRIORITY: Duration = Duration::from_millis(1_500);
/// Time without any statement after which daemons that are no owners send a request.
const RECHECK_DELAY: Duration = Duration::from_secs(10);
/// Requests of these daemons together, as a share of the rate.
const RECHECK_SHARE: f64 = 0.25;

/// What an answer says of the rate at which its upstream takes requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateStatement {
    /// No limit is stated.
    Unlimited,
    /// At most this many requests per second from all daemons together; finite and not negative.
    Limited(f64),
}

/// A statement as daemons report it to each other: 0 for none, otherwise thousandths of a request per
/// second and one, or the maximum for no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateReport(u32);

impl RateReport {
    const UNLIMITED: u32 = u32::MAX;

    /// Encodes a statement.
    pub fn new(rate: RateStatement) -> Self {
        match rate {
            RateStatement::Unlimited => RateReport(Self::UNLIMITED),
            RateStatement::Limited(rate) => {
                let thousandths = (rate * 1_000.0).min(f64::from(Self::UNLIMITED - 2));
                RateReport(1 + thousandths as u32)
            }
        }
    }

    /// The statement, if there is one.
    pub fn statement(self) -> Option<RateStatement> {
        match self.0 {
            0 => None,
            Self::UNLIMITED => Some(RateStatement::Unlimited),
            code => Some(RateStatement::Limited(f64::from(code - 1) / 1_000.0)),
        }
    }

    /// Combines the reports of two daemons; the lower rate counts.
    pub fn merge(self, other: RateReport) -> RateReport {
        match (self.0, other.0) {
            (0, code) | (code, 0) => RateReport(code),
            (one, two) => RateReport(one.min(two)),
        }
    }
}

/// What is known of the rate that one upstream states, and the requests that this daemon may send it.
#[derive(Clone, Debug)]
pub struct RatePace {
    rate: RateStatement,
    share: RateShare,
    /// When the upstream last stated it to this daemon.
    stated_at: Option<Moment>,
    /// When the upstream first stated to this daemon that its limit has ended.
    ended_at: Option<Moment>,
    /// Requests that this daemon may send as an owner at `filled_at`; negative after requests beyond
    /// the rate.
    tokens: f64,
    filled_at: Moment,
    /// When this daemon may send a request without being an owner.
    recheck_at: Moment,
}

impl Default for RatePace {
    fn default() -> Self {
        RatePace {
            rate: RateStatement::Unlimited,
            share: RateShare::default(),
            stated_at: None,
            ended_at: None,
            tokens: 0.0,
            filled_at: Moment(0),
            recheck_at: Moment(0),
        }
    }
}

/// This daemon's part in the requests to an upstream that states a rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateShare {
    /// True if this daemon is one of the owners.
    pub is_owner: bool,
    /// Number of owners, at least 1.
    pub owners: usize,
    /// Number of daemons.
    pub daemons: usize,
    /// This daemon's place in the time over which requests of the others are spread, from 0.0 to 1.0.
    pub place: f64,
}

/// Number of owners of an upstream that states `rate`.
pub fn owner_count(rate: RateStatement) -> usize {
    match rate {
        RateStatement::Unlimited => MIN_OWNERS,
        RateStatement::Limited(rate) => {
            ((rate / RATE_PER_OWNER) as usize).saturating_add(MIN_OWNERS)
        }
    }
}

impl RatePace {
    /// The rate, by the last statement known.
    pub fn rate(&self) -> RateStatement {
        self.rate
    }

    /// True if the upstream states a limit, by the last statement known.
    pub fn is_limited(&self) -> bool {
        self.rate != RateStatement::Unlimited
    }

    /// Applies what an answer to this daemon states.
    pub fn record_statement(&mut self, rate: RateStatement, share: RateShare, now: Moment) {
        self.stated_at = Some(now);
        let is_limited = rate != RateStatement::Unlimited;
        if is_limited || self.is_limited() {
            self.ended_at = (!is_limited).then_some(now);
        }
        self.set_rate(rate, share, now);
    }

    /// Applies the report of other daemons, unless the upstream has just stated something to this one.
    pub fn record_report(&mut self, report: RateReport, share: RateShare, now: Moment) {
        let reported = report.statement();
        let is_own_newer = self.stated_at.is_some_and(|at| now.since(at) < OWN_STATEMENT_PRIORITY);
        if !is_own_newer {
            self.set_rate(reported.unwrap_or(self.rate), share, now);
        }
    }

    fn set_rate(&mut self, rate: RateStatement, share: RateShare, now: Moment) {
        self.fill(now);
        let was_owner = self.is_limited() && self.share.is_owner;
        if !was_owner {
            // What other daemons have sent until now is not known here.
            self.tokens = 0.0;
        }
        (self.rate, self.share) = (rate, share);
        if let RateStatement::Limited(rate) = rate {
            let spread = share.daemons as f64 / (RECHECK_SHARE * rate.max(MIN_RATE));
            self.recheck_at = now + RECHECK_DELAY + Duration::from_secs_f64(spread * share.place);
        }
    }

    /// Applies another share, after the daemons have changed.
    pub fn set_share(&mut self, share: RateShare, now: Moment) {
        self.set_rate(self.rate, share, now);
    }

    /// This daemon's part of the rate, in requests per second; `None` without a limit.
    pub fn own_rate(&self) -> Option<f64> {
        match self.rate {
            RateStatement::Unlimited => None,
            RateStatement::Limited(_) if !self.share.is_owner => Some(0.0),
            RateStatement::Limited(rate) => {
                Some(rate.max(MIN_RATE) / self.share.owners.max(1) as f64)
            }
        }
    }

    fn tokens_at(&self, now: Moment) -> f64 {
        let Some(rate) = self.own_rate() else { return self.tokens };
        let filled = self.tokens + rate * now.since(self.filled_at).as_secs_f64();
        filled.min(1.0 + rate * BURST_SECONDS)
    }

    fn fill(&mut self, now: Moment) {
        self.tokens = self.tokens_at(now);
        self.filled_at = now;
    }

    /// True if this daemon may send a request now. `has_report` is true while other daemons report what
    /// the upstream states.
    pub fn has_room(&self, has_report: bool, now: Moment) -> bool {
        match (self.rate, self.share.is_owner) {
            (RateStatement::Unlimited, _) => true,
            (RateStatement::Limited(_), true) => self.tokens_at(now) >= 1.0,
            (RateStatement::Limited(_), false) => !has_report && now >= self.recheck_at,
        }
    }

    /// Records a request.
    pub fn record_send(&mut self, now: Moment) {
        self.fill(now);
        self.tokens -= 1.0;
        // Until its answer, which states the rate again.
        self.recheck_at = now + RECHECK_DELAY;
    }

    /// Takes back the last request, of which no byte was sent.
    pub fn retract_send(&mut self) {
        self.tokens += 1.0;
    }

    /// The report for the other daemons.
    pub fn report(&self, now: Moment) -> RateReport {
        let since = match self.rate {
            RateStatement::Unlimited => self.ended_at,
            RateStatement::Limited(_) => self.stated_at,
        };
        let is_current = since.is_some_and(|at| now.since(at) < STATEMENT_TTL);
        if is_current { RateReport::new(self.rate) } else { RateReport::default() }
    }

    /// True if the upstream states a limit and this daemon is none of those that send it requests.
    pub fn is_left_to_owners(&self) -> bool {
        self.is_limited() && !self.share.is_owner
    }
}
