//! Which rows go into the next message.

use super::RequestFingerprint;
use super::suspect_news::MOST_ROWS;
use std::collections::{BTreeMap, HashMap};

/// A row is sent with this many messages: each is lost now and then.
const TOLD_TIMES: u8 = 4;

/// A row's place in the queue: rows with more ends first, then in the order in which they came.
type QueuePlace = (std::cmp::Reverse<usize>, u64);

/// Rows that wait to be sent.
#[derive(Clone, Debug, Default)]
pub struct NewsQueue {
    places: HashMap<RequestFingerprint, (QueuePlace, u8)>,
    order: BTreeMap<QueuePlace, RequestFingerprint>,
    next: u64,
}

impl NewsQueue {
    /// A row changed, or is to be sent anew; `crashes` of it count.
    pub fn push(&mut self, request: RequestFingerprint, crashes: usize) {
        self.put(request, crashes, TOLD_TIMES);
    }

    fn put(&mut self, request: RequestFingerprint, crashes: usize, times: u8) {
        self.remove(request);
        self.next += 1;
        let place = (std::cmp::Reverse(crashes), self.next);
        self.places.insert(request, (place, times));
        self.order.insert(place, request);
    }

    /// A row is not known any more.
    pub fn remove(&mut self, request: RequestFingerprint) {
        if let Some((place, _)) = self.places.remove(&request) {
            self.order.remove(&place);
        }
    }

    /// True if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// The rows of the next message.
    pub fn next_rows(&mut self) -> Vec<RequestFingerprint> {
        let chosen: Vec<RequestFingerprint> =
            self.order.values().take(MOST_ROWS).copied().collect();
        for request in &chosen {
            let Some(((crashes, _), times)) = self.places.get(request).copied() else { continue };
            match times {
                0 | 1 => self.remove(*request),
                _ => self.put(*request, crashes.0, times - 1),
            }
        }
        chosen
    }
}
