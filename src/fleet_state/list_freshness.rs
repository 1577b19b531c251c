//! Freshness of a daemon's copy of the platform's list, and when the daemon reads or requests the
//! list itself.

use super::state::FIRST_READERS;
use crate::policy::Moment;
use std::time::Duration;

/// A list is fresh for this long after a reading that confirmed it. An upstream that is leaving
/// must get no new work 3 s after the list shows it; the list is read every second, and a lost
/// reader is replaced within 500 ms.
const CONFIRMED_TTL: Duration = Duration::from_millis(1_800);
/// Delay before a daemon that has a table but no list reads the platform's list itself, to leave
/// time for the list of other daemons. After the loss of the whole fleet there is no leader for one
/// or two seconds to name the other daemons, and callers are already connected.
const INITIAL_READ_DELAY: Duration = Duration::from_millis(250);
/// Daemons that have just started spread their first read evenly over at least this period, which
/// begins after [`INITIAL_READ_DELAY`].
const INITIAL_READ_SPREAD: Duration = Duration::from_millis(500);
/// Part of the platform's rate of calls that reads of daemons may take which read because they lack
/// the list of others. The rest is left to the reader: if its calls were refused, too, all would lack
/// a new list, and read ever more.
const OWN_READ_RATE_SHARE: f64 = 0.5;
/// Minimum time after which the next of the first readers takes over from one that is not heard.
/// Daemons that lose power together get their tables within about this time of each other.
const MIN_READ_TURN: Duration = Duration::from_millis(75);
/// Daemons for each page of the list, if the list is as long as usual: three upstreams for each
/// daemon, and 200 on a page.
const DAEMONS_PER_PAGE: f64 = 64.0;
/// Rate of calls that the platform is assumed to take if the settings state none.
const DEFAULT_CALLS_PER_SECOND: f64 = 100.0;
/// Daemons that hear of no reading spread their reads evenly over at least this period for each 100
/// daemons, so that most learn of another daemon's reading first when the reader is lost.
const OVERDUE_SPREAD_PER_HUNDRED: Duration = Duration::from_millis(1_000);
/// Maximum of that period.
const MAX_OVERDUE_SPREAD: Duration = Duration::from_millis(3_000);
/// A list that is older than [`CONFIRMED_TTL`] by this is overdue although readings are heard of; in
/// a large fleet by the period above, as word of a reading takes longer there.
const MIN_LAG: Duration = Duration::from_millis(700);
/// A daemon that failed to read the list leaves it to other daemons for this long.
const READ_FAILURE_BACKOFF: Duration = Duration::from_secs(5);
/// Minimum pause after a failure before a daemon whose list is overdue tries again.
const MIN_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Another daemon must report a different list for this long before the full list is requested,
/// because the change is usually on its way.
const MISMATCH_GRACE: Duration = Duration::from_millis(250);
/// Minimum interval between requests for the list from a daemon that has no list, or one that
/// differs from the last reading.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Times of the last events that concern the list.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListFreshness {
    /// When this daemon first had a table, and so could serve callers.
    needed_since: Option<Moment>,
    /// Position of this daemon within the spread of overdue reads, 0.0 to 1.0.
    jitter: f64,
    /// The last reading that agrees with this daemon's list.
    confirmed_at: Option<Moment>,
    /// When this daemon heard of that reading.
    heard_at: Moment,
    /// The last failed attempt of this daemon to read the list.
    failed_at: Option<Moment>,
    /// When a newer reading of a different list was first reported.
    mismatch_since: Option<Moment>,
    requested_at: Option<Moment>,
    /// Rate of calls that the platform takes from all daemons, if the settings state it.
    calls_per_second: Option<f64>,
    /// True if other daemons are known that read the list first.
    has_first_readers: bool,
}

impl ListFreshness {
    /// Creates the state of a daemon without a list. `jitter` is drawn from 0.0..1.0.
    pub fn new(jitter: f64) -> Self {
        ListFreshness { jitter, ..ListFreshness::default() }
    }

    /// Sets the rate of calls that the platform takes from all daemons.
    pub fn with_platform_rate(mut self, calls_per_second: Option<f64>) -> Self {
        self.calls_per_second = calls_per_second;
        self
    }

    /// Returns true if this daemon's list has not been confirmed by a reading for too long, in a
    /// fleet of `daemons` that may share one; 1 if it hears of no other. A daemon without a table
    /// needs no list.
    pub fn is_overdue(&mut self, daemons: usize, has_table: bool, now: Moment) -> bool {
        self.needed_since = self.needed_since.or(has_table.then_some(now));
        let read_spread = self.read_spread(daemons);
        let retry_pause = read_spread.max(MIN_RETRY_PAUSE);
        if self.failed_at.is_some_and(|at| now.since(at) < retry_pause) {
            return false;
        }
        let heard_spread =
            (OVERDUE_SPREAD_PER_HUNDRED * daemons as u32 / 100).min(MAX_OVERDUE_SPREAD);
        match (self.confirmed_at, self.needed_since) {
            (Some(at), _) => {
                let silence = heard_spread.max(read_spread).mul_f64(self.jitter);
                let lag = heard_spread.max(MIN_LAG) + read_spread.mul_f64(self.jitter);
                now.since(self.heard_at) >= CONFIRMED_TTL + silence
                    || now.since(at) >= CONFIRMED_TTL + lag
            }
            (None, Some(since)) => {
                let spread = read_spread.max(INITIAL_READ_SPREAD);
                let turns = if self.has_first_readers { FIRST_READERS - 1 } else { 0 };
                let delay = INITIAL_READ_DELAY + self.read_turn(daemons) * turns;
                now.since(since) >= delay + spread.mul_f64(self.jitter)
            }
            (None, None) => false,
        }
    }

    /// Period over which `daemons` spread their own reads, so that the platform takes the calls. In a
    /// small fleet a read is the fastest way to a list; in a large one nearly all daemons get the list
    /// from others before their turn comes.
    fn read_spread(&self, daemons: usize) -> Duration {
        Duration::from_secs_f64(daemons as f64 * self.read_seconds(daemons))
    }

    /// Returns the time that one of the first readers in a fleet of `daemons` leaves to the one
    /// before it.
    pub fn read_turn(&self, daemons: usize) -> Duration {
        Duration::from_secs_f64(self.read_seconds(daemons)).max(MIN_READ_TURN)
    }

    /// Seconds between two reads of the whole list that take no more calls than daemons may that
    /// read for themselves.
    fn read_seconds(&self, daemons: usize) -> f64 {
        let pages = 1.0 + daemons as f64 / DAEMONS_PER_PAGE;
        let rate = self.calls_per_second.unwrap_or(DEFAULT_CALLS_PER_SECOND);
        pages / (rate * OWN_READ_RATE_SHARE).max(1.0)
    }

    /// Records that other daemons are known that read the list first, so that this one's own first
    /// read leaves them time.
    pub fn await_first_readers(&mut self) {
        self.has_first_readers = true;
    }

    /// Returns when the last reading that agrees with this daemon's list began; the epoch if there was
    /// none.
    pub fn confirmed_at(&self) -> Moment {
        self.confirmed_at.unwrap_or_default()
    }

    /// Returns the time since the last reading that agrees with this daemon's list.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns true unless this daemon failed to read the list recently.
    pub fn can_read(&self, now: Moment) -> bool {
        self.failed_at.is_none_or(|at| now.since(at) >= READ_FAILURE_BACKOFF)
    }

    /// Records that this daemon could read the list.
    pub fn record_success(&mut self) {
        self.failed_at = None;
    }

    /// Records that this daemon failed to read the list.
    pub fn record_failure(&mut self, now: Moment) {
        self.failed_at = Some(now);
    }

    /// Records that a reading at this moment agrees with this daemon's list.
    pub fn confirm(&mut self, now: Moment) {
        self.confirm_earlier(now, now);
    }

    /// Records that a reading at time `at` agrees with this daemon's list.
    pub fn confirm_earlier(&mut self, at: Moment, now: Moment) {
        if self.confirmed_at < Some(at) {
            self.confirmed_at = Some(at);
            self.heard_at = now;
        }
        self.mismatch_since = None;
    }

    /// Records that this daemon's list was replaced by that of a reading at time `at`.
    pub fn replace(&mut self, at: Moment, now: Moment) {
        (self.confirmed_at, self.heard_at, self.mismatch_since) = (Some(at), now, None);
    }

    /// Records that this daemon heard of a reading newer than any before.
    pub fn record_news(&mut self, now: Moment) {
        self.heard_at = now;
    }

    /// Records that a newer reading gave a different list. Returns true if the full list should be
    /// requested now, since the change has not arrived in time.
    pub fn record_mismatch(&mut self, now: Moment) -> bool {
        let since = *self.mismatch_since.get_or_insert(now);
        now.since(since) >= MISMATCH_GRACE && self.may_request(now)
    }

    /// Returns true if this daemon may request the list now, and if so records the request.
    pub fn may_request(&mut self, now: Moment) -> bool {
        let is_allowed = self.requested_at.is_none_or(|at| now.since(at) >= MIN_REQUEST_INTERVAL);
        if is_allowed {
            self.requested_at = Some(now);
        }
        is_allowed
    }
}
