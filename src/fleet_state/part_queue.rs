//! The parts of lists and changes that a daemon has to send, at a pace that leaves room on its link.

use super::{ListStamp, ReadingOrder};
use crate::policy::{ListPart, MissingParts, Moment, PackedChange, SharedList};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

/// Rate at which a daemon sends parts: half of a link of 10 Mbit/s.
const PARTS_PER_SECOND: f64 = 500.0;
/// Parts that may be sent at once after a pause.
const MAX_PART_BURST: f64 = 8.0;
/// Requests are ignored while this many parts wait, so that a daemon which can't be served soon asks
/// another one.
const MAX_WAITING_PARTS: usize = 150;
/// Number of packed changes that are kept for further receivers and for repeats of lost parts.
const MAX_TRANSFERS: usize = 8;

/// A packed change or list, and the reading that gave it.
#[derive(Clone, Debug)]
struct Transfer {
    packed: Arc<PackedChange>,
    order: ReadingOrder,
    read_at: Moment,
}

impl Transfer {
    fn is_of(&self, base: Option<u64>, digest: u64) -> bool {
        (self.packed.base(), self.packed.digest()) == (base, digest)
    }

    fn stamp(&self, now: Moment) -> ListStamp {
        let age_ms = now.since(self.read_at).as_millis() as u32;
        ListStamp { digest: self.packed.digest(), order: self.order, age_ms }
    }
}

/// A daemon that waits for parts.
#[derive(Debug)]
struct PartRequest {
    to: SocketAddr,
    /// Digest of its list; `None` if it has none.
    base: Option<u64>,
    /// What is sent to it and the parts still to be sent; `None` before the first, so that a daemon
    /// that waits gets the list of the time when its turn comes.
    begun: Option<(Transfer, VecDeque<u32>)>,
}

/// The parts to send, one daemon after the other: the first soon has all and passes it on.
#[derive(Debug, Default)]
pub struct PartQueue {
    requests: VecDeque<PartRequest>,
    /// The last changes that were packed, the latest last.
    transfers: VecDeque<Transfer>,
    /// Parts that may be sent now, and when that was last computed.
    budget: f64,
    budget_at: Moment,
}

/// A part and its receiver.
#[derive(Debug)]
pub struct DuePart {
    pub to: SocketAddr,
    pub stamp: ListStamp,
    pub part: ListPart,
}

/// The list to send: this daemon's.
#[derive(Clone, Copy, Debug)]
pub struct SentList<'a> {
    pub list: &'a SharedList,
    pub order: ReadingOrder,
    pub read_at: Moment,
}

impl PartQueue {
    /// Returns true if there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Queues what a daemon lacks that has the list with the digest `base`, or none. One that waits
    /// already gets it in its turn.
    pub fn push(&mut self, to: SocketAddr, base: Option<u64>) {
        let mut waiting = self.requests.iter_mut().filter(|request| request.begun.is_none());
        match waiting.find(|request| request.to == to) {
            Some(request) => request.base = base,
            None => self.requests.push_back(PartRequest { to, base, begun: None }),
        }
    }

    /// Queues what a daemon asks for, unless it is being sent or too many others wait. `rest` has the
    /// parts that it lacks of a change that it has begun to receive.
    pub fn request(
        &mut self,
        (to, base): (SocketAddr, Option<u64>),
        rest: Option<MissingParts>,
        sent: SentList<'_>,
    ) {
        let is_queued = self.requests.iter().any(|request| request.to == to);
        if is_queued || self.waiting_parts(sent) >= MAX_WAITING_PARTS {
            return;
        }
        let begun = rest.and_then(|rest| {
            let known = self.transfers.iter().find(|it| it.is_of(rest.base, rest.digest))?;
            Some((known.clone(), rest.parts.into()))
        });
        self.requests.push_back(PartRequest { to, base, begun });
    }

    fn waiting_parts(&mut self, sent: SentList<'_>) -> usize {
        let bases: Vec<Option<u64>> =
            self.requests.iter().filter(|it| it.begun.is_none()).map(|it| it.base).collect();
        let waiting = bases.into_iter().filter_map(|base| self.transfer(base, sent));
        let waiting: usize = waiting.map(|it| it.packed.part_count() as usize).sum();
        let begun = self.requests.iter().filter_map(|request| request.begun.as_ref());
        waiting + begun.map(|(_, parts)| parts.len()).sum::<usize>()
    }

    /// The packed change from the list with the digest `base` to this daemon's, if there is any.
    fn transfer(&mut self, base: Option<u64>, sent: SentList<'_>) -> Option<Transfer> {
        let digest = sent.list.digest().filter(|digest| base != Some(*digest))?;
        let base = sent.list.change_base(base);
        let (order, read_at) = (sent.order, sent.read_at);
        if let Some(known) = self.transfers.iter_mut().find(|it| it.is_of(base, digest)) {
            // The list may have been confirmed by a later reading since.
            (known.order, known.read_at) = (order, read_at);
            return Some(known.clone());
        }
        let packed = Arc::new(sent.list.pack_since(base)?);
        let transfer = Transfer { packed, order, read_at };
        if self.transfers.len() >= MAX_TRANSFERS {
            self.transfers.pop_front();
        }
        self.transfers.push_back(transfer.clone());
        Some(transfer)
    }

    /// Removes and returns the parts to send now.
    pub fn due_parts(&mut self, sent: SentList<'_>, now: Moment) -> Vec<DuePart> {
        let earned = now.since(self.budget_at).as_secs_f64() * PARTS_PER_SECOND;
        self.budget = (self.budget + earned).min(MAX_PART_BURST);
        self.budget_at = now;
        let mut due = Vec::new();
        while self.budget >= 1.0
            && let Some(request) = self.requests.pop_front()
        {
            let begun = request.begun.or_else(|| {
                let transfer = self.transfer(request.base, sent)?;
                let parts = (0..transfer.packed.part_count()).collect();
                Some((transfer, parts))
            });
            let Some((transfer, mut parts)) = begun else { continue };
            let next = parts.pop_front().and_then(|part| transfer.packed.part(part));
            let Some(part) = next else { continue };
            self.budget -= 1.0;
            due.push(DuePart { to: request.to, stamp: transfer.stamp(now), part });
            if !parts.is_empty() {
                self.requests.push_front(PartRequest { begun: Some((transfer, parts)), ..request });
            }
        }
        due
    }

    /// Number of parts of the change from the list with the digest `base` to this daemon's.
    pub fn change_parts(&mut self, base: Option<u64>, sent: SentList<'_>) -> usize {
        self.transfer(base, sent).map_or(0, |it| it.packed.part_count() as usize)
    }
}
