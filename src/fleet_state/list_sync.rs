//! Distribution of the platform's list: one daemon reads it, sends the others what each reading
//! changed, and daemons that lack a list, or have another one, get it in parts from any daemon that
//! has it.
//!
//! The whole list grows with the number of upstreams, and at the start of a fleet every daemon lacks
//! it. A sender therefore paces the parts, so that they do not fill its link; a requester asks only
//! for the parts that it lacks; and daemons that have received the list pass it on. Without this,
//! lost parts cost whole lists, most daemons of a fleet of 985 gave up and read the list from the
//! platform, and the platform refused most of the 15,000 calls.

use super::{BegunReading, ListFreshness, ListStamp, ReadingClock, ReadingOrder};
use crate::policy::{ChangeVerdict, ListChange, ListPart, ListedUpstream, Moment, SharedList};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of times that a change is sent, since datagrams are lost. A daemon that misses all of
/// them requests the list.
const CHANGE_SENDS: u32 = 2;
/// Pause between two transmissions of one change.
const CHANGE_RESEND_DELAY: Duration = Duration::from_millis(120);
/// A change with more rows is not sent, since it does not fit into a datagram; daemons notice by the
/// digests that they have another list, and request it in parts.
const MAX_CHANGE_ROWS: usize = 500;
/// Rate at which a daemon sends parts of the list: a third of a link of 10 Mbit/s.
const PARTS_PER_SECOND: f64 = 330.0;
/// Parts that may be sent at once after a pause.
const MAX_PART_BURST: f64 = 4.0;
/// Number of daemons that may wait for parts from this one. Further ones are ignored, and ask
/// another daemon.
const MAX_WAITING_DAEMONS: usize = 3;
/// Interval of ticks while changes or parts are to be sent.
const SEND_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of ticks while a list is needed.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Silence after which the rest of a list is requested again.
const STALL_TIMEOUT: Duration = Duration::from_millis(300);
/// A list of a later reading is refused if it is older than this daemon's list by more than this.
/// Daemons that have never heard of each other may number their readings by clocks that differ, and
/// stated ages lack the time that messages took.
const MAX_AGE_ERROR: Duration = Duration::from_secs(3);

/// A message about the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListMessage {
    /// What a reading changed, and the last reading that gave the changed list.
    Change { stamp: ListStamp, change: ListChange },
    /// A request for parts of the list with this digest, or for the whole list if the receiver has
    /// another one or no part is named.
    Wanted { digest: u64, parts: Vec<u32> },
    /// A part of the list, and the last reading that gave it.
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

/// A change that is being sent.
#[derive(Clone, Debug)]
struct PendingChange {
    change: ListChange,
    /// The reading that gave the changed list, and when that began.
    order: ReadingOrder,
    read_at: Moment,
    sends_left: u32,
    next_at: Moment,
}

/// A daemon that waits for parts of the list.
#[derive(Clone, Debug)]
struct PartRequest {
    to: SocketAddr,
    /// Parts still to be sent.
    parts: VecDeque<u32>,
}

/// This daemon's copy of the list and its part in the distribution.
#[derive(Clone, Debug, Default)]
pub struct ListSync {
    list: SharedList,
    /// The last reading that agrees with the list.
    order: ReadingOrder,
    clock: ReadingClock,
    /// See [`ReadingOrder::reader`].
    reader: u32,
    freshness: ListFreshness,
    changes: Vec<PendingChange>,
    requests: VecDeque<PartRequest>,
    /// Parts that may be sent now, and when that was last computed.
    part_budget: f64,
    budget_at: Moment,
    /// The daemon whose list differs from this one's and is to be requested.
    wanted_from: Option<SocketAddr>,
    /// True if a request was allowed and has not been sent yet.
    may_request: bool,
    /// When the last part was received, and from which daemon.
    last_part: Option<(Moment, SocketAddr)>,
    /// The last list that was refused and not yet taken by [`ListSync::take_older`].
    older: Option<OlderList>,
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
        let is_first = !self.list.is_known();
        let change = self.list.replace(rows);
        self.adopt(reading.order, reading.begun_at, now);
        if !is_first && change.base != change.digest {
            self.queue_change(change, now);
        }
    }

    /// Records that this daemon's list was replaced by that of a reading.
    fn adopt(&mut self, order: ReadingOrder, read_at: Moment, now: Moment) {
        self.order = order;
        self.freshness.replace(read_at, now);
    }

    /// True if the list of a reading should take the place of this daemon's list.
    fn is_newer(&self, stamp: &ListStamp, now: Moment) -> bool {
        let Some(age) = self.freshness.age(now) else { return true };
        let stated = Duration::from_millis(u64::from(stamp.age_ms));
        stamp.order > self.order && stated <= age + MAX_AGE_ERROR
    }

    fn queue_change(&mut self, change: ListChange, now: Moment) {
        let read_at = now.before(self.freshness.age(now).unwrap_or_default());
        if change.changed.len() + change.gone.len() <= MAX_CHANGE_ROWS {
            let (order, sends_left) = (self.order, CHANGE_SENDS);
            self.changes.push(PendingChange { change, order, read_at, sends_left, next_at: now });
        }
    }

    /// Handles another daemon's statement of the last reading that it knows of.
    pub fn handle_stamp(&mut self, from: SocketAddr, stamp: ListStamp, now: Moment) {
        self.clock.observe(&stamp, now);
        if self.list.digest() == Some(stamp.digest) {
            self.confirm_by(&stamp, now);
        } else if self.is_newer(&stamp, now) && self.freshness.record_mismatch(now) {
            self.wanted_from = Some(from);
            self.may_request = true;
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
            ListMessage::Change { stamp, change } => {
                self.handle_change(from, (stamp, change), is_forwarder, now)
            }
            ListMessage::Wanted { digest, parts } => {
                self.handle_request(from, digest, parts);
                false
            }
            ListMessage::Part { stamp, part } => self.handle_part(from, (stamp, part), now),
        }
    }

    fn handle_change(
        &mut self,
        from: SocketAddr,
        (stamp, change): (ListStamp, ListChange),
        is_forwarder: bool,
        now: Moment,
    ) -> bool {
        if !self.check_order(from, &stamp, now) {
            return false;
        }
        match self.list.apply(&change) {
            ChangeVerdict::Known => false,
            ChangeVerdict::Applied => {
                self.adopt(stamp.order, stamp.read_at(now), now);
                if is_forwarder {
                    self.queue_change(change, now);
                }
                true
            }
            ChangeVerdict::Unknown => {
                self.wanted_from = Some(from);
                false
            }
        }
    }

    /// Returns true if the list with this stamp should take the place of this daemon's list.
    fn check_order(&mut self, from: SocketAddr, stamp: &ListStamp, now: Moment) -> bool {
        self.clock.observe(stamp, now);
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

    fn handle_request(&mut self, from: SocketAddr, digest: u64, parts: Vec<u32>) {
        let has_same = self.list.digest() == Some(digest) && !parts.is_empty();
        let parts: VecDeque<u32> = match has_same {
            true => parts.into(),
            false => (0..self.list.part_count()).collect(),
        };
        if parts.is_empty() {
            return;
        }
        if let Some(known) = self.requests.iter_mut().find(|request| request.to == from) {
            known.parts = parts;
        } else if self.requests.len() < MAX_WAITING_DAEMONS {
            self.requests.push_back(PartRequest { to: from, parts });
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
        // Parts of two lists at a time would keep either from being completed.
        let other = self.list.missing_parts().filter(|(digest, _)| *digest != part.digest);
        if other.is_some() && self.is_receiving(now) {
            return false;
        }
        self.last_part = Some((now, from));
        let is_complete = self.list.add_part(part);
        if is_complete {
            self.adopt(stamp.order, stamp.read_at(now), now);
            self.wanted_from = None;
        }
        is_complete
    }

    /// Returns true while the parts of a list arrive.
    fn is_receiving(&self, now: Moment) -> bool {
        let is_recent = self.last_part.is_some_and(|(at, _)| now.since(at) < STALL_TIMEOUT);
        is_recent && self.list.missing_parts().is_some()
    }

    /// Returns true if there are changes to send.
    pub fn has_changes(&self) -> bool {
        !self.changes.is_empty()
    }

    /// Returns the time until the next call of [`ListSync::tick`]; none while there is nothing to
    /// send or request.
    pub fn tick_interval(&self) -> Option<Duration> {
        if self.has_changes() || !self.requests.is_empty() {
            return Some(SEND_INTERVAL);
        }
        let is_needed = !self.list.is_known() || self.wanted_from.is_some();
        is_needed.then_some(REQUEST_INTERVAL)
    }

    /// Returns the messages to send at `now`.
    pub fn tick(&mut self, peers: &ListPeers, now: Moment) -> Vec<ListOutgoing> {
        let mut outgoing = self.due_changes(&peers.receivers, now);
        outgoing.extend(self.due_parts(now));
        outgoing.extend(self.due_request(peers.source, now));
        outgoing
    }

    fn due_changes(&mut self, receivers: &[SocketAddr], now: Moment) -> Vec<ListOutgoing> {
        let mut outgoing = Vec::new();
        for pending in self.changes.iter_mut().filter(|pending| pending.next_at <= now) {
            pending.sends_left -= 1;
            pending.next_at = now + CHANGE_RESEND_DELAY;
            if !receivers.is_empty() {
                let age_ms = now.since(pending.read_at).as_millis() as u32;
                let (change, order) = (pending.change.clone(), pending.order);
                let stamp = ListStamp { digest: change.digest, order, age_ms };
                let message = ListMessage::Change { stamp, change };
                outgoing.push(ListOutgoing { to: receivers.to_vec(), message });
            }
        }
        self.changes.retain(|pending| pending.sends_left > 0);
        outgoing
    }

    /// Sends parts as far as the pace allows, to one waiting daemon after the other: the first soon
    /// has the whole list and passes it on.
    fn due_parts(&mut self, now: Moment) -> Vec<ListOutgoing> {
        let earned = now.since(self.budget_at).as_secs_f64() * PARTS_PER_SECOND;
        self.part_budget = (self.part_budget + earned).min(MAX_PART_BURST);
        self.budget_at = now;
        let Some(stamp) = self.stamp(now) else { return Vec::new() };
        let mut outgoing = Vec::new();
        while self.part_budget >= 1.0
            && let Some(request) = self.requests.front_mut()
        {
            let (to, next) = (request.to, request.parts.pop_front());
            if request.parts.is_empty() {
                self.requests.pop_front();
            }
            if let Some(part) = next.and_then(|part| self.list.part(part)) {
                self.part_budget -= 1.0;
                outgoing.push(ListOutgoing {
                    to: vec![to],
                    message: ListMessage::Part { stamp, part },
                });
            }
        }
        outgoing
    }

    /// Requests the list, or the parts of it that are missing, unless they are arriving.
    fn due_request(&mut self, source: Option<SocketAddr>, now: Moment) -> Option<ListOutgoing> {
        let is_needed = !self.list.is_known() || self.wanted_from.is_some();
        if !is_needed || self.is_receiving(now) {
            return None;
        }
        if !std::mem::take(&mut self.may_request) && !self.freshness.may_request(now) {
            return None;
        }
        let sender = self.last_part.filter(|_| self.list.missing_parts().is_some());
        // A sender that has fallen silent is asked once more, and then another daemon.
        self.last_part = None;
        let to = sender.map(|(_, from)| from).or(self.wanted_from).or(source)?;
        if sender.is_none() {
            self.wanted_from = None;
        }
        let (digest, parts) = self.list.missing_parts().unwrap_or_default();
        Some(ListOutgoing { to: vec![to], message: ListMessage::Wanted { digest, parts } })
    }
}
