//! Selects the requests of a daemon that go to the new version: a fixed share of those sent to
//! upstreams.

/// Upper bound of the credit, in requests, so that requests which could not be sent to the new
/// version are not made up for in a burst.
const MAX_CREDIT: f64 = 2.0;

/// Credit counter that allots the new version its share of all requests sent.
///
/// The share is based on requests sent to the old version rather than on arrivals: if half of the
/// arrivals were refused, the new version would receive twice its share of the requests served.
#[derive(Clone, Copy, Debug)]
pub struct SharePacer {
    credit: f64,
}

impl SharePacer {
    /// Creates a counter with an initial credit of `start` requests, 0.0 to 1.0. Daemons draw it at
    /// random: with few requests each, all of them would otherwise send their first request to the
    /// new version at the same moment.
    pub fn new(start: f64) -> Self {
        SharePacer { credit: start.clamp(0.0, 1.0) }
    }

    /// Records a request sent to the old version; `share`, below 1.0, is the new version's share of
    /// all requests.
    pub fn record_old_send(&mut self, share: f64) {
        self.credit = (self.credit + share / (1.0 - share).max(0.01)).min(MAX_CREDIT);
    }

    /// Returns true if the next request goes to the new version, and deducts it from the credit.
    pub fn try_take(&mut self) -> bool {
        let is_allotted = self.credit >= 1.0;
        self.credit -= if is_allotted { 1.0 } else { 0.0 };
        is_allotted
    }

    /// Returns the credit of a request that was allotted to the new version but did not reach it.
    pub fn refund(&mut self) {
        self.credit = (self.credit + 1.0).min(MAX_CREDIT);
    }
}
