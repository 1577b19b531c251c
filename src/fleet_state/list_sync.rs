//! Distribution of the platform's list: one daemon reads it, sends the others what each reading
//! changed, and daemons that lack a list, or have another one, get it in parts from any daemon that
//! has it.
//!
//! The whole list grows with the number of upstreams, and at the start of a fleet every daemon lacks
//! it. A sender therefore paces the parts, so that they do not fill its link; a requester asks only
//! for the parts that it lacks; and daemons that have received the list pass it on. Without this,
//! lost parts cost whole lists, most daemons of a fleet of 985 gave up and read the list from the
//! platform, and the platform refused most of the 15,000 calls.

use super::part_queue::{DuePart, PartQueue, SentList};
use super::{BegunReading, ListFreshness, ListStamp, ReadingClock, ReadingOrder};
use crate::policy::{ListPart, ListedUpstream, MissingParts, Moment, SharedList};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// A change that takes more parts is not sent to those that have not asked for it. They learn by the
/// digests that another list is newer, and get it from whoever has it by then.
const MAX_PUSHED_PARTS: usize = 8;
/// Interval of ticks while changes or parts are to be sent.
const SEND_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of ticks while a list is needed.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Silence after which the rest of a list is requested again.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum interval between requests for the first list from daemons that state a reading.
const MIN_HOLDER_REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// A list of a later reading is refused if it is older than this daemon's list by more than this.
/// Daemons that have never heard of each other may number their readings by clocks that differ, and
/// stated ages lack the time that messages took.
const MAX_AGE_ERROR: Duration = Duration::from_secs(3);

/// A message about the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListMessage {
    /// A request for what has changed since the sender's list, given by its digest and reading, or
    /// for the whole list. `rest` has the parts that it lacks of one that it has begun to receive.
    Wanted { known: Option<(u64, ReadingOrder)>, rest: Option<MissingParts> },
    /// A part of a change or list, and the last reading that gave the list that results.
    Part { stamp: ListStamp, part: ListPart },
}

/// A message and its receivers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListOutgoing {
    /// Addresses of the receivers.
    pub to: Vec<SocketAddr>,
    pub message: ListMessage,
}

/// Other daemons, as far as the distribution of the list needs them.
#[derive(Clone, Debug, Default)]
pub struct ListPeers {
    /// Receivers of changes.
    pub receivers: Vec<SocketAddr>,
    /// A daemon to ask for the list.
    pub source: Option<SocketAddr>,
    /// True if this daemon forwards changes to its group.
    pub is_forwarder: bool,
}

/// A list that was refused because this daemon knows a newer one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OlderList {
    /// The daemon that sent it; `None` if this daemon read it.
    pub from: Option<SocketAddr>,
    pub stamp: ListStamp,
}

/// This daemon's copy of the list and its part in the distribution.
#[derive(Debug, Default)]
pub struct ListSync {
    list: SharedList,
    /// The last reading that agrees with the list.
    order: ReadingOrder,
    /// The last reading that this daemon has heard of.
    heard_order: ReadingOrder,
    clock: ReadingClock,
    /// See [`ReadingOrder::reader`].
    reader: u32,
    freshness: ListFreshness,
    queue: PartQueue,
    /// Digest of the list before the changes that are to be sent to the receivers of changes.
    push_base: Option<u64>,
    /// The daemon whose list differs from this one's and is to be requested.
    wanted_from: Option<SocketAddr>,
    /// True if the daemon with the newer list was asked last and nothing has arrived since; another one
    /// is asked next.
    is_unanswered: bool,
    /// True if a request was allowed and has not been sent yet.
    may_request: bool,
    /// When the last part was received, and from which daemon.
    last_part: Option<(Moment, SocketAddr)>,
    /// The last list that was refused and not yet taken by [`ListSync::take_older`].
    older: Option<OlderList>,
    /// True if a daemon without a list asks the first one that states a reading, instead of waiting
    /// for its next request.
    asks_holders: bool,
    /// When such a request was last allowed.
    asked_holder_at: Option<Moment>,
}

impl ListSync {
    /// Creates the state of a daemon without a list. `jitter` is drawn from 0.0..1.0.
    pub fn new(jitter: f64) -> Self {
        let reader = (jitter * f64::from(u32::MAX)) as u32;
        ListSync { reader, freshness: ListFreshness::new(jitter), ..ListSync::default() }
    }

    /// See [`ListFreshness::with_platform_rate`].
    pub fn with_platform_rate(mut self, calls_per_second: Option<f64>) -> Self {
        self.freshness = self.freshness.with_platform_rate(calls_per_second);
        self
    }

    /// The rows of the list, ordered by service and name.
    pub fn rows(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.list.rows()
    }

    /// True once a list is known.
    pub fn is_known(&self) -> bool {
        self.list.is_known()
    }

    /// See [`ListFreshness::is_overdue`].
    pub fn is_overdue(&mut self, daemons: usize, has_table: bool, now: Moment) -> bool {
        self.freshness.is_overdue(daemons, has_table, now)
    }

    /// See [`ListFreshness::read_turn`].
    pub fn read_turn(&self, daemons: usize) -> Duration {
        self.freshness.read_turn(daemons)
    }

    /// Records that other daemons are known before a leader has named any: they read the list first,
    /// and the first one that states a reading is asked for it.
    pub fn await_first_readers(&mut self) {
        self.freshness.await_first_readers();
        self.asks_holders = true;
    }

    /// See [`ListFreshness::can_read`].
    pub fn can_read(&self, now: Moment) -> bool {
        self.freshness.can_read(now)
    }

    /// Records that this daemon could not read the list.
    pub fn record_failure(&mut self, now: Moment) {
        self.freshness.record_failure(now);
    }

    /// Returns the last reading that agrees with this daemon's list.
    pub fn stamp(&self, now: Moment) -> Option<ListStamp> {
        let age_ms = self.freshness.age(now)?.as_millis() as u32;
        Some(ListStamp { digest: self.list.digest()?, order: self.order, age_ms })
    }

    /// Removes and returns the last list that was refused because this daemon knows a newer one.
    pub fn take_older(&mut self) -> Option<OlderList> {
        self.older.take()
    }

    /// Begins a reading of the platform's list.
    pub fn begin_reading(&self, now: Moment) -> BegunReading {
        let number = self.clock.next_number(self.order.number, now);
        BegunReading { order: ReadingOrder { number, reader: self.reader }, begun_at: now }
    }

    /// Stores a list that this daemon has read, unless that of a later reading has arrived since the
    /// reading began.
    pub fn store_reading(
        &mut self,
        reading: BegunReading,
        rows: impl IntoIterator<Item = ListedUpstream>,
        now: Moment,
    ) {
        self.freshness.record_success();
        if self.list.is_known() && reading.order <= self.order {
            let age_ms = now.since(reading.begun_at).as_millis() as u32;
            let digest = SharedList::digest_of(rows);
            let stamp = ListStamp { digest, order: reading.order, age_ms };
            self.older = Some(OlderList { from: None, stamp });
            return;
        }
        let before = self.list.digest();
        self.list.replace(rows);
        self.adopt(reading.order, reading.begun_at, now);
        self.queue_change(before);
    }

    /// Records that this daemon's list was replaced by that of a reading.
    fn adopt(&mut self, order: ReadingOrder, read_at: Moment, now: Moment) {
        self.order = order;
        (self.wanted_from, self.is_unanswered) = (None, false);
        self.freshness.replace(read_at, now);
    }

    /// True if the list of a reading should take the place of this daemon's list.
    fn is_newer(&self, stamp: &ListStamp, now: Moment) -> bool {
        let Some(age) = self.freshness.age(now) else { return true };
        let stated = Duration::from_millis(u64::from(stamp.age_ms));
        stamp.order > self.order && stated <= age + MAX_AGE_ERROR
    }

    /// Queues the change from the list with the digest `before` for the receivers of changes. A daemon
    /// without a list asks for it.
    fn queue_change(&mut self, before: Option<u64>) {
        if before != self.list.digest() {
            self.push_base = self.push_base.or(before);
        }
    }

    /// Handles another daemon's statement of the last reading that it knows of.
    pub fn handle_stamp(&mut self, from: SocketAddr, stamp: ListStamp, now: Moment) {
        self.observe(&stamp, now);
        if self.list.digest() == Some(stamp.digest) {
            self.confirm_by(&stamp, now);
        } else if self.asks_holders && !self.list.is_known() {
            self.ask_holder(from, now);
        } else if self.is_newer(&stamp, now) && self.freshness.record_mismatch(now) {
            self.wanted_from = Some(from);
            self.may_request = true;
        }
    }

    /// Requests the first list from a daemon that has one. The request replaces those to daemons of
    /// which it is not known whether they have one.
    fn ask_holder(&mut self, from: SocketAddr, now: Moment) {
        let is_recent =
            self.asked_holder_at.is_some_and(|at| now.since(at) < MIN_HOLDER_REQUEST_INTERVAL);
        if !is_recent && !self.is_receiving(now) {
            self.asked_holder_at = Some(now);
            (self.wanted_from, self.is_unanswered, self.may_request) = (Some(from), false, true);
        }
    }

    fn observe(&mut self, stamp: &ListStamp, now: Moment) {
        self.clock.observe(stamp, now);
        if stamp.order > self.heard_order {
            self.heard_order = stamp.order;
            self.freshness.record_news(now);
        }
    }

    /// Applies a stamp with the digest of this daemon's list.
    fn confirm_by(&mut self, stamp: &ListStamp, now: Moment) {
        if stamp.order > self.order {
            self.order = stamp.order;
            self.freshness.confirm_earlier(stamp.read_at(now), now);
        }
    }

    /// Handles a message from the daemon at `from`; true if this daemon's list has changed.
    pub fn handle(
        &mut self,
        from: SocketAddr,
        message: ListMessage,
        is_forwarder: bool,
        now: Moment,
    ) -> bool {
        match message {
            ListMessage::Wanted { known, rest } => {
                self.handle_request(from, known, rest);
                false
            }
            ListMessage::Part { stamp, part } => {
                let before = self.list.digest();
                let is_changed = self.handle_part(from, (stamp, part), now);
                if is_changed && is_forwarder {
                    self.queue_change(before);
                }
                is_changed
            }
        }
    }

    /// Returns true if the list with this stamp should take the place of this daemon's list.
    fn check_order(&mut self, from: SocketAddr, stamp: &ListStamp, now: Moment) -> bool {
        self.observe(stamp, now);
        if self.list.digest() == Some(stamp.digest) {
            self.confirm_by(stamp, now);
            return false;
        }
        let is_newer = self.is_newer(stamp, now);
        if !is_newer {
            self.older = Some(OlderList { from: Some(from), stamp: *stamp });
        }
        is_newer
    }

    fn handle_request(
        &mut self,
        from: SocketAddr,
        known: Option<(u64, ReadingOrder)>,
        rest: Option<MissingParts>,
    ) {
        let is_newer = known
            .is_none_or(|(digest, order)| self.order > order && self.list.digest() != Some(digest));
        if self.list.is_known() && is_newer {
            let read_at = self.freshness.confirmed_at();
            let sent = SentList { list: &self.list, order: self.order, read_at };
            self.queue.request((from, known.map(|(digest, _)| digest)), rest, sent);
        }
    }

    fn handle_part(
        &mut self,
        from: SocketAddr,
        (stamp, part): (ListStamp, ListPart),
        now: Moment,
    ) -> bool {
        if !self.check_order(from, &stamp, now) {
            return false;
        }
        if part.base.is_some() && part.base != self.list.digest() {
            // A change before this one is missing.
            self.wanted_from = Some(from);
            return false;
        }
        // Parts of two changes at a time would keep either from being completed.
        let is_other =
            |missing: &MissingParts| (missing.base, missing.digest) != (part.base, part.digest);
        let is_interrupting =
            part.parts > 1 && self.list.missing_parts().is_some_and(|it| is_other(&it));
        if is_interrupting && self.is_receiving(now) {
            return false;
        }
        if part.parts > 1 {
            self.last_part = Some((now, from));
        }
        let is_complete = self.list.add_part(part);
        if is_complete {
            self.adopt(stamp.order, stamp.read_at(now), now);
        }
        is_complete
    }

    /// Returns true while the parts of a list arrive.
    fn is_receiving(&self, now: Moment) -> bool {
        let is_recent = self.last_part.is_some_and(|(at, _)| now.since(at) < STALL_TIMEOUT);
        is_recent && self.list.missing_parts().is_some()
    }

    /// Returns true if there is a change for the receivers of changes.
    pub fn has_changes(&self) -> bool {
        self.push_base.is_some()
    }

    /// Returns the time until the next call of [`ListSync::tick`]; none while there is nothing to
    /// send or request.
    pub fn tick_interval(&self) -> Option<Duration> {
        if self.has_changes() || !self.queue.is_empty() {
            return Some(SEND_INTERVAL);
        }
        let is_needed = !self.list.is_known() || self.wanted_from.is_some();
        is_needed.then_some(REQUEST_INTERVAL)
    }

    /// Returns the messages to send at `now`.
    pub fn tick(&mut self, peers: &ListPeers, now: Moment) -> Vec<ListOutgoing> {
        let read_at = self.freshness.confirmed_at();
        let sent = SentList { list: &self.list, order: self.order, read_at };
        if let Some(base) = self.push_base.take() {
            let parts = self.queue.change_parts(Some(base), sent);
            let receivers = peers.receivers.iter().filter(|_| parts <= MAX_PUSHED_PARTS);
            receivers.for_each(|to| self.queue.push(*to, Some(base)));
        }
        let due = self.queue.due_parts(sent, now).into_iter();
        let mut outgoing: Vec<ListOutgoing> = due
            .map(|DuePart { to, stamp, part }| ListOutgoing {
                to: vec![to],
                message: ListMessage::Part { stamp, part },
            })
            .collect();
        outgoing.extend(self.due_request(peers.source, now));
        outgoing
    }

    /// Requests what this daemon lacks, unless it is arriving.
    fn due_request(&mut self, source: Option<SocketAddr>, now: Moment) -> Option<ListOutgoing> {
        let is_needed = !self.list.is_known() || self.wanted_from.is_some();
        if !is_needed || self.is_receiving(now) {
            return None;
        }
        if !std::mem::take(&mut self.may_request) && !self.freshness.may_request(now) {
            return None;
        }
        let rest = self.list.missing_parts();
        let sender = self.last_part.filter(|_| rest.is_some()).map(|(_, from)| from);
        // A sender that has fallen silent is asked once more, and then another daemon.
        self.last_part = None;
        let newer = self.wanted_from.filter(|_| !self.is_unanswered);
        let to = sender.or(newer).or(source).or(self.wanted_from)?;
        self.is_unanswered = sender.is_none() && !self.is_unanswered;
        if sender.is_none() {
            self.wanted_from = None;
        }
        let known = self.list.digest().map(|digest| (digest, self.order));
        Some(ListOutgoing { to: vec![to], message: ListMessage::Wanted { known, rest } })
    }
}
