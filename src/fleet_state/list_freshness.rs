//! Whether a daemon's copy of the platform's list is fresh, and what it does when it is not.

use crate::policy::Moment;
use std::time::Duration;

/// A list that agreed with a reading counts for this long. An upstream that leaves must get no new work 3 s after the list
/// shows it; the list is read each second, and a reader that is lost is followed by another within half a second.
const LIST_LIFE: Duration = Duration::from_millis(1_800);
/// A daemon without any list, but with a table, waits so long for the others' list before it reads the platform's. After a
/// loss of the whole fleet there is no leader for a second or two, who would name the others, and callers are there.
const FIRST_WAIT: Duration = Duration::from_millis(250);
/// Daemons that have just started read within this time after that, evenly spread.
const FIRST_SPREAD: Duration = Duration::from_millis(500);
/// Daemons whose list is overdue read it for themselves within this time for each 100 daemons, evenly spread: after the loss of
/// the reader most hear of another reading first. Beyond two such times the fleet would exceed the platform's rate.
const SPREAD_PER_HUNDRED: Duration = Duration::from_millis(1_000);
/// The spread at most: an upstream that leaves must not get work for longer.
const MOST_SPREAD: Duration = Duration::from_millis(3_000);
/// A daemon that could not read the list lets others read it for this long.
const UNREAD_PAUSE: Duration = Duration::from_secs(5);
/// Another list than one's own must be named for this long before the whole is asked for: the change is on its way.
const DIFFERS_FOR: Duration = Duration::from_millis(250);
/// A daemon without a list, or with another one than was read, asks no more often than this.
const ASK_PAUSE: Duration = Duration::from_millis(200);

/// When what was heard of the list.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListFreshness {
    /// Since when this daemon has had a table, and so callers whom it could serve.
    needed_since: Option<Moment>,
    /// Where this daemon stands among those whose list is overdue, 0.0 to 1.0.
    place: f64,
    /// The last reading that agrees with this daemon's list.
    confirmed: Option<Moment>,
    /// The last reading that this daemon could not make.
    failed: Option<Moment>,
    /// Since when a newer reading of another list has been heard of.
    differs_since: Option<Moment>,
    asked: Option<Moment>,
}

impl ListFreshness {
    /// Of a daemon that knows no list; `place` is drawn from 0.0..1.0.
    pub fn new(place: f64) -> Self {
        ListFreshness { place, ..ListFreshness::default() }
    }

    /// True if this daemon has not known for too long that its list agrees with a reading, in a fleet of `daemons`. Without a
    /// table it needs no list.
    pub fn is_overdue(&mut self, daemons: usize, has_table: bool, now: Moment) -> bool {
        self.needed_since = self.needed_since.or(has_table.then_some(now));
        let spread = (SPREAD_PER_HUNDRED * daemons as u32 / 100).min(MOST_SPREAD);
        match (self.confirmed, self.needed_since) {
            (Some(at), _) => now.since(at) >= LIST_LIFE + spread.mul_f64(self.place),
            // It does not know how many others have just started, too.
            (None, Some(since)) => {
                now.since(since) >= FIRST_WAIT + FIRST_SPREAD.mul_f64(self.place)
            }
            (None, None) => false,
        }
    }

    /// Time since the last reading that agrees with this daemon's list.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// True unless this daemon failed to read the list lately.
    pub fn can_read(&self, now: Moment) -> bool {
        self.failed.is_none_or(|at| now.since(at) >= UNREAD_PAUSE)
    }

    /// This daemon has read the list.
    pub fn read(&mut self, now: Moment) {
        self.confirm(now);
        self.failed = None;
    }

    /// This daemon could not read the list.
    pub fn fail(&mut self, now: Moment) {
        self.failed = Some(now);
    }

    /// A reading at a time agrees with this daemon's list.
    pub fn confirm(&mut self, at: Moment) {
        self.confirmed = self.confirmed.max(Some(at));
        self.differs_since = None;
    }

    /// A reading at a time gave another list. True if it is time to ask for the whole of it: it is newer than what this
    /// daemon knows of, and the change has not come by itself.
    pub fn hear_of_another(&mut self, read_at: Moment, now: Moment) -> bool {
        if self.confirmed.is_some_and(|at| at >= read_at) {
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        now.since(since) >= DIFFERS_FOR && self.may_ask(now)
    }

    /// True if this daemon may ask another one for the list now; it then does.
    pub fn may_ask(&mut self, now: Moment) -> bool {
        let may = self.asked.is_none_or(|at| now.since(at) >= ASK_PAUSE);
        if may {
            self.asked = Some(now);
        }
        may
    }
}
