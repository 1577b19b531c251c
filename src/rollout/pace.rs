//! Which of a daemon's requests go to the new version: a share of those that reach the service.

/// Requests that may be owed to the new version at most: what could not be sent there is not made up for at once.
const MOST_OWED: f64 = 2.0;

/// Counts sends to the old version, and gives out the new version's share of all.
///
/// What goes wrong with a share of arrivals: where half of all arrivals are refused, the new version gets twice its share of
/// those that are served.
#[derive(Clone, Copy, Debug)]
pub struct SharePace {
    owed: f64,
}

impl SharePace {
    /// A pace that begins at `start`, 0.0 to 1.0 of a request. Daemons draw it: with few requests each, all would otherwise
    /// send their first ones to the new version at the same moment.
    pub fn new(start: f64) -> Self {
        SharePace { owed: start.clamp(0.0, 1.0) }
    }

    /// A request was sent to the old version, while `share` of all, below 1.0, is meant for the new one.
    pub fn sent_to_old(&mut self, share: f64) {
        self.owed = (self.owed + share / (1.0 - share).max(0.01)).min(MOST_OWED);
    }

    /// True if the next request is the new version's; it counts as sent there.
    pub fn take(&mut self) -> bool {
        let takes = self.owed >= 1.0;
        self.owed -= if takes { 1.0 } else { 0.0 };
        takes
    }

    /// A request that was taken for the new version did not reach it.
    pub fn give_back(&mut self) {
        self.owed = (self.owed + 1.0).min(MOST_OWED);
    }
}
